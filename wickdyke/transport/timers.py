"""Calls that are due at times of the monotonic clock, in the order of their times."""

import heapq
import itertools
from collections.abc import Callable, Iterator

Callback = Callable[..., object]
Arguments = tuple[object, ...]


class Timers:
    """A heap of calls, by their times. Its owner runs those that are due."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callback, Arguments]] = []
        self.order = itertools.count()  # of calls that are due at the same time

    def at(self, when: float, callback: Callback, *args: object) -> None:
        """Adds a call of `callback(*args)` that is due at `when` (ms)."""
        heapq.heappush(self.heap, (when, next(self.order), callback, args))

    def next_deadline(self) -> float:
        """Returns when the next call is due (ms); infinite where none is."""
        return self.heap[0][0] if self.heap else float("inf")

    def due(self, now: float) -> Iterator[tuple[Callback, Arguments]]:
        """Yields the calls that are due by `now` (ms), one by one: what a call adds for `now` is among them."""
        while self.heap and self.heap[0][0] <= now:
            _, _, callback, args = heapq.heappop(self.heap)
            yield callback, args
