"""The lease by which a client counts as present. No attempt begins for a client whose lease has expired."""

import math

LEASE_TERM = 100.0  # ms for which a client counts as present after it was seen


class PresenceLease:
    """Renewed when it is seen that nothing waits on a client's connection, and so no close either.

    A close waits behind all data: unread data in the kernel, or data that the client's kernel keeps until there is
    room. So unread data says nothing of whether its sender is still there, however little it is.
    """

    def __init__(self) -> None:
        self.seen_at = -math.inf  # ms; when the client was certainly there
        self.last_read_at = -math.inf  # ms; when data was last read

    def data_read(self, now: float) -> None:
        """Records that data was read, behind which more data or a close may follow."""
        self.last_read_at = now

    def renew(self, now: float) -> None:
        """Records that nothing waits on the connection now."""
        self.seen_at = now

    def nothing_waited(self, at: float) -> None:
        """Records that, by the last polls, nothing waited at that time (ms) but data that was read since."""
        if at > self.last_read_at:
            self.seen_at = max(at, self.seen_at)

    def is_valid(self, now: float) -> bool:
        """Returns whether the client counts as present at `now` (ms)."""
        return now - self.seen_at <= LEASE_TERM
