"""The states of a connection to a worker, and what its end shows of that worker."""

from enum import Enum, auto

from wickdyke.platform.reachability import Liveness


class ConnectionState(Enum):
    """How far a connection has come."""

    CONNECTING = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


class EndCause(Enum):
    """What the end of a connection shows of its worker."""

    PLAIN = "plain"  # nothing beside the end itself
    INVALID_ANSWER = "invalid answer"  # the worker has just sent something
    RESET_EARLY = "reset early"  # it was there, and ended the connection as it came up
    INCONCLUSIVE = "inconclusive"  # it did not come up, which may be the connection, or this machine, alone


LIVENESS = {EndCause.RESET_EARLY: Liveness.ALIVE, EndCause.INCONCLUSIVE: Liveness.UNKNOWN}  # else it is gone
