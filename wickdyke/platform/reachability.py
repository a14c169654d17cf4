"""Decides from failed connects whether a worker counts as unreachable."""

import errno
from enum import Enum, auto

from wickdyke.transport.event_loop import clock

# Of the errors of connect(2) and socket(2), only ECONNREFUSED is an answer of the worker's machine: no process listens
# there. The errors below mean that there is no route to the worker: either briefly because of this machine, or for
# longer because of the worker. All others are local (descriptors, memory, ports, permissions, a signal) and show
# nothing about a worker.
NO_ROUTE_ERRORS = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ETIMEDOUT)
# ms for which connects must find no route, with no gap as long between them, before a worker counts as unreachable
NO_ROUTE_DURATION = 1000.0
# Consecutive connects that time out, each started after the previous timeout, before a worker counts as unreachable.
MAX_CONNECT_TIMEOUTS = 2


class Liveness(Enum):
    """What a connection has shown about its worker."""

    ALIVE = auto()
    DOWN = auto()
    UNKNOWN = auto()


class Reachability:
    """The recent results of connects to one worker."""

    def __init__(self) -> None:
        self.consecutive_timeouts = 0  # connects that timed out since the last success
        self.last_timeout_at = float("-inf")  # when the last connect timed out (ms)
        self.no_route_since = float("inf")  # the first of the consecutive connects that found no route (ms)
        self.last_no_route_at = float("-inf")  # the last connect that found no route (ms)

    def connect_timed_out(self, started_at: float) -> bool:
        """Records a connect, started at that time (ms), that timed out. Returns whether the worker is unreachable."""
        # Now and then a single connect is late or fails. The router treats an unreachable worker as restarted: it drops
        # the record of the loaded functions and applies the whole slow start. So one timeout is not enough. The cost:
        # if the machine is really down, the first command sent there learns that one timeout later.
        if started_at >= self.last_timeout_at:
            self.consecutive_timeouts += 1
            self.last_timeout_at = clock()
        return self.consecutive_timeouts >= MAX_CONNECT_TIMEOUTS

    def is_inconclusive(self, code: int) -> bool:
        """Records a connect that failed with that errno. Returns whether it shows nothing about the worker."""
        # If this machine briefly had no route to any worker, all would be treated as restarted: the record of their
        # loaded functions dropped, and all in slow start. So no route counts only after a while. The cost: if a
        # worker's machine is really down, commands sent there until that is detected end as unsent.
        if code == errno.ECONNREFUSED:
            return False
        if code not in NO_ROUTE_ERRORS:
            return True
        now = clock()
        if now - self.last_no_route_at >= NO_ROUTE_DURATION:
            self.no_route_since = now
        self.last_no_route_at = now
        return now - self.no_route_since < NO_ROUTE_DURATION

    def connected(self) -> None:
        """Records that a connection was established."""
        self.consecutive_timeouts = 0
        self.route_found()

    def route_found(self) -> None:
        """Records that there is a route: the worker sent data, or a connection was established."""
        self.last_no_route_at = float("-inf")
