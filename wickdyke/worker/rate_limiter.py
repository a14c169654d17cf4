"""A rate that all senders share."""


class RateLimiter:
    """Tells each sender how long to wait. It has no clock of its own; times are ms."""

    def __init__(self, bytes_per_second: float) -> None:
        self.ms_per_byte = 1000 / bytes_per_second
        self.free_at = 0.0

    def reserve(self, now: float, size: int) -> float:
        """The ms until so many bytes may be sent; they go in the order of their reservations."""
        start = max(now, self.free_at)
        self.free_at = start + size * self.ms_per_byte
        return start - now
