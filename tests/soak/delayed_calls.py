"""Runs delayed callbacks in one thread."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable


class DelayedCalls:
    """A queue of callbacks that one thread calls when they are due, in the order of their times (Unix s)."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.heap: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = itertools.count()
        self.closed = False
        threading.Thread(target=self._run, daemon=True).start()

    def after(self, seconds: float, callback: Callable[[], object]) -> None:
        """Schedules a callback after so many seconds."""
        with self.condition:
            heapq.heappush(self.heap, (time.time() + seconds, next(self.numbers), callback))
            self.condition.notify()

    def close(self) -> None:
        """Stops the thread; no more callbacks are called."""
        with self.condition:
            self.closed = True
            self.condition.notify()

    def _run(self) -> None:
        while (callback := self._next()) is not None:
            callback()

    def _next(self) -> Callable[[], object] | None:
        with self.condition:
            while not self.closed:
                wait = self.heap[0][0] - time.time() if self.heap else None
                if wait is not None and wait <= 0:
                    return heapq.heappop(self.heap)[2]
                self.condition.wait(wait)
        return None
