"""What front ends may spend on health checks and prewarms.

Those of many front ends would cost more than the requests themselves: they are paid for by our own traffic.
"""

PER_REQUEST = 0.5  # health checks or prewarms that a request pays for
SAVED_MOST = 8.0
SPARE = SAVED_MOST / 2  # above which workers are checked that no decision hangs on


class ControlBudget:
    """A token bucket filled by requests; health checks and prewarms draw on it."""

    def __init__(self) -> None:
        self.tokens = SAVED_MOST

    def request_received(self) -> None:
        """A request pays in."""
        self.tokens = min(SAVED_MOST, self.tokens + PER_REQUEST)

    def covers_one(self) -> bool:
        """Whether one more is paid for."""
        return self.tokens >= 1

    def has_spare(self) -> bool:
        """Whether there is enough for what no decision hangs on."""
        return self.tokens > SPARE

    def spend(self) -> None:
        """Pays for one."""
        self.tokens -= 1
