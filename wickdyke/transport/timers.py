"""Calls that are due at times of the monotonic clock, in the order of their times."""

import heapq
import itertools
from collections.abc import Callable, Iterator

Call = tuple[Callable, tuple]


class Timers:
    """A heap of calls; whoever owns it runs those that are due."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.order = itertools.count()  # among calls of one time

    def at(self, when: float, act: Callable, *args: object) -> None:
        """Adds a call that is due at that time (ms)."""
        heapq.heappush(self.heap, (when, next(self.order), act, args))

    def next_at(self) -> float:
        """When the next call is due (ms)."""
        return self.heap[0][0] if self.heap else float("inf")

    def due(self, now: float) -> Iterator[Call]:
        """The calls that are due by then, one by one: what a call adds for now is among them."""
        while self.heap and self.heap[0][0] <= now:
            _, _, act, args = heapq.heappop(self.heap)
            yield act, args
