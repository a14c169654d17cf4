"""Limits the rate in bytes per second of all senders of a process together."""


class RateLimiter:
    """Tells each sender how long to wait before it sends. The caller passes the time; times are ms."""

    def __init__(self, bytes_per_second: float) -> None:
        self.ms_per_byte = 1000 / bytes_per_second
        self.next_free_at = 0.0

    def reserve(self, now: float, size: int) -> float:
        """Reserves the sending of `size` bytes after all earlier reservations. Returns the ms to wait until then."""
        start = max(now, self.next_free_at)
        self.next_free_at = start + size * self.ms_per_byte
        return start - now
