"""Limits the rate of bytes that all senders of a process share."""


class RateLimiter:
    """Gives each sender the time to wait before it may send. It has no clock of its own; times are ms."""

    def __init__(self, bytes_per_second: float) -> None:
        self.ms_per_byte = 1000 / bytes_per_second
        self.free_at = 0.0

    def reserve(self, now: float, size: int) -> float:
        """The ms to wait before `size` bytes may be sent; they are sent in the order of their reservations."""
        start = max(now, self.free_at)
        self.free_at = start + size * self.ms_per_byte
        return start - now
