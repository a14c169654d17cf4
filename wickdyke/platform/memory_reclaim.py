"""Frees memory that the buffers of client connections hold, while all of them together hold more than their budget.

The connection that holds most gives way, whichever of them was read or written last:

- A client that does not read its answers is disconnected, the one with the most unsent bytes first.
- Otherwise the incomplete frame that was begun first is discarded. Frames of clients that send at once are complete
  within milliseconds, so it is one of a client that sends slowly or has stopped in the middle. Its connection stays
  open, and its request is rejected once its last byte has come: no request that was sent whole is left unanswered.
"""

from typing import Protocol

from wickdyke.platform import thrift
from wickdyke.platform.memory_budget import MemoryBudget


class BufferedConnection(Protocol):
    """A client connection, as the reclaimer sees it."""

    @property
    def has_discardable_frame(self) -> bool:
        """Whether `discard_frame` would free memory."""

    def discard_frame(self) -> None:
        """Drops what was received of an incomplete frame, whose request will be rejected."""

    @property
    def unsent_bytes(self) -> int:
        """The bytes of answers that wait to be sent."""

    def drop_unsent(self) -> None:
        """Closes the connection, whose client does not read its answers."""


class MemoryReclaimer:
    """The client connections whose buffers hold memory that can be freed."""

    def __init__(self) -> None:
        self.with_incomplete_frame: dict[BufferedConnection, None] = {}  # in the order in which the frames were begun
        self.with_unsent_answers: set[BufferedConnection] = set()

    def frame_begun(self, connection: BufferedConnection) -> None:
        """Records that an incomplete frame of the connection, if there is one, was begun just now."""
        self.with_incomplete_frame.pop(connection, None)

    def update(self, connection: BufferedConnection) -> None:
        """Records what the connection's buffers hold now."""
        if connection.has_discardable_frame:
            self.with_incomplete_frame.setdefault(connection)
        else:
            self.with_incomplete_frame.pop(connection, None)
        if connection.unsent_bytes:
            self.with_unsent_answers.add(connection)
        else:
            self.with_unsent_answers.discard(connection)

    def reclaim(self, budget: MemoryBudget) -> None:
        """Frees memory of one connection after the other for as long as the budget is exceeded."""
        while budget.exceeded and self._free_one():
            pass

    def _free_one(self) -> bool:
        """Frees the memory of one connection; returns False where none holds any."""
        slowest = max(self.with_unsent_answers, key=lambda connection: connection.unsent_bytes, default=None)
        oldest = next(iter(self.with_incomplete_frame), None)
        if slowest is not None and (oldest is None or slowest.unsent_bytes > thrift.MAX_FRAME_SIZE):
            slowest.drop_unsent()
            return True
        if oldest is not None:
            oldest.discard_frame()
            return True
        return False
