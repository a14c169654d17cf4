"""The states of a connection to a worker, and what its end shows of that worker."""

from enum import Enum, auto

from wickdyke.platform.reachability import Liveness


class ConnectionState(Enum):
    """The states of a connection, in their order."""

    CONNECTING = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


class EndCause(Enum):
    """What the end of a connection shows of its worker."""

    PLAIN = "plain"  # that it ended the connection, or could not be reached
    INVALID_ANSWER = "invalid answer"  # it has just sent something
    RESET_EARLY = "reset early"  # it had accepted the connection, and reset it at once
    INCONCLUSIVE = "inconclusive"  # the connect failed, perhaps because of the connection or this machine alone


LIVENESS = {EndCause.RESET_EARLY: Liveness.ALIVE, EndCause.INCONCLUSIVE: Liveness.UNKNOWN}  # else it is gone
