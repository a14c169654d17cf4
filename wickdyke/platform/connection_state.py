"""The states of a connection to a worker, and what the end of a connection shows about the worker."""

from enum import Enum, auto

from wickdyke.platform.reachability import Liveness


class ConnectionState(Enum):
    """The states of a connection, in their order."""

    CONNECTING = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


class EndCause(Enum):
    """Why a connection ended, and what that shows about the worker."""

    CLOSED_OR_UNREACHABLE = "plain"  # the worker closed it, or was unreachable
    INVALID_ANSWER = "invalid answer"  # the worker is alive, as it has just sent data
    RESET_EARLY = "reset early"  # the worker accepted the connection and reset it at once
    INCONCLUSIVE = "inconclusive"  # the cause may be this connection or this machine alone


LIVENESS_BY_CAUSE = {EndCause.RESET_EARLY: Liveness.ALIVE, EndCause.INCONCLUSIVE: Liveness.UNKNOWN}  # otherwise DOWN
