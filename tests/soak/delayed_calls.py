"""Calls that are due later, made by one thread."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable


class DelayedCalls:
    """Makes calls in the order of their times (Unix s)."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.heap: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = itertools.count()
        self.closed = False
        threading.Thread(target=self._run, daemon=True).start()

    def after(self, seconds: float, call: Callable[[], object]) -> None:
        """Makes the call after that time."""
        with self.condition:
            heapq.heappush(self.heap, (time.time() + seconds, next(self.numbers), call))
            self.condition.notify()

    def close(self) -> None:
        """Makes no more calls."""
        with self.condition:
            self.closed = True
            self.condition.notify()

    def _run(self) -> None:
        while (call := self._next()) is not None:
            call()

    def _next(self) -> Callable[[], object] | None:
        with self.condition:
            while not self.closed:
                wait = self.heap[0][0] - time.time() if self.heap else None
                if wait is not None and wait <= 0:
                    return heapq.heappop(self.heap)[2]
                self.condition.wait(wait)
        return None
