"""Timed actions, run one after the other by one thread."""

import heapq
import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from wickdyke.fault_injection.trace import clock


@dataclass(order=True, slots=True)
class ScheduledAction:
    """An action and when it is due (ms, monotonic); actions due at once run in the order of their numbers."""

    due_at: float
    number: int
    run: Callable[[], None] = field(compare=False)


class Scheduler:
    """Runs actions when they are due, holding the lock that guards the worker's state."""

    def __init__(self, lock: threading.RLock) -> None:
        self.lock = lock
        self.changed = threading.Condition(lock)
        self.actions: list[ScheduledAction] = []
        self.numbers = itertools.count()
        threading.Thread(target=self._run, daemon=True).start()

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Runs `action` in `delay_ms`; may be called from any thread."""
        with self.lock:
            heapq.heappush(self.actions, ScheduledAction(clock() + delay_ms, next(self.numbers), action))
            self.changed.notify()

    def _run(self) -> None:
        while True:
            with self.lock:
                while not self.actions or self.actions[0].due_at > clock():
                    self.changed.wait((self.actions[0].due_at - clock()) / 1000 if self.actions else None)
                heapq.heappop(self.actions).run()
