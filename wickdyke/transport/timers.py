"""Callbacks that are due at times of the monotonic clock."""

import heapq
import itertools
from collections.abc import Callable, Iterator

Callback = Callable[..., object]
Arguments = tuple[object, ...]


class Timers:
    """A heap of callbacks ordered by their due times. Its owner calls those that are due."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callback, Arguments]] = []
        self.sequence_numbers = itertools.count()  # the order of callbacks that are due at the same time

    def at(self, when: float, callback: Callback, *args: object) -> None:
        """Schedules `callback(*args)` for `when` (ms)."""
        heapq.heappush(self.heap, (when, next(self.sequence_numbers), callback, args))

    def next_deadline(self) -> float:
        """Returns when the next callback is due (ms), or infinity if there is none."""
        return self.heap[0][0] if self.heap else float("inf")

    def due(self, now: float) -> Iterator[tuple[Callback, Arguments]]:
        """Removes and yields the callbacks due by `now` (ms), including those added for `now` by an earlier one."""
        while self.heap and self.heap[0][0] <= now:
            _, _, callback, args = heapq.heappop(self.heap)
            yield callback, args
