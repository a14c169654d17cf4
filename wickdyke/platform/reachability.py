"""Whether a worker counts as away, from the connections to it that could not be made."""

import errno
from enum import Enum, auto

from wickdyke.transport.event_loop import clock

# Of the errors of connect(2) and socket(2), ECONNREFUSED alone is an answer of the worker's machine that no process
# listens there. These mean that no route to it exists, of this machine for a moment or of the worker for long. The
# others are of this machine (descriptors, memory, ports, permissions, a signal) and show nothing about a worker.
NO_ROUTE_ERRORS = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ETIMEDOUT)
AWAY_AFTER = 1000.0  # ms of connects that find no route, none as far from the last, before a worker counts as away
CONNECT_TIMEOUTS = 2  # connects in a row that time out, each begun after the last, before a worker counts as away


class Liveness(Enum):
    """What a connection has shown of its worker."""

    ALIVE = auto()
    GONE = auto()
    UNKNOWN = auto()


class Reachability:
    """What the connects to one worker have shown so far."""

    def __init__(self) -> None:
        self.timeouts_in_row = 0  # of connects
        self.timed_out_at = float("-inf")  # when the last of them did (ms)
        self.no_route_since = float("inf")  # the first connect in a row that found no route (ms)
        self.no_route_at = float("-inf")  # the last one (ms)

    def connect_timed_out(self, begun_at: float) -> bool:
        """Counts a connect, begun at that time (ms), that timed out. Returns whether the worker counts as away."""
        # One connection of many is established late or never, and the router treats a worker it could not reach as one
        # that starts anew: all that is loaded there forgotten, slow start for the whole ramp. That costs time where a
        # machine has vanished: the first command there learns it one time-out later.
        if begun_at >= self.timed_out_at:
            self.timeouts_in_row += 1
            self.timed_out_at = clock()
        return self.timeouts_in_row >= CONNECT_TIMEOUTS

    def is_inconclusive(self, code: int) -> bool:
        """Counts a connect that failed with that errno. Returns whether it shows nothing about the worker."""
        # A moment in which this machine finds no route to any worker would be treated as one in which all start anew:
        # all that is loaded forgotten, all in slow start. That costs time where a worker's machine has vanished: what
        # is sent there until that is detected ends as never sent.
        if code == errno.ECONNREFUSED:
            return False
        if code not in NO_ROUTE_ERRORS:
            return True
        now = clock()
        if now - self.no_route_at >= AWAY_AFTER:
            self.no_route_since = now
        self.no_route_at = now
        return now - self.no_route_since < AWAY_AFTER

    def connected(self) -> None:
        """Records that a connection was established."""
        self.timeouts_in_row = 0
        self.reached()

    def reached(self) -> None:
        """Records that the worker sent something, or a connection was established: there is a route."""
        self.no_route_at = float("-inf")
