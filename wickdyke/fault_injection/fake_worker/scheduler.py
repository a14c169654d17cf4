"""Scheduled actions, run one after another by one thread."""

import heapq
import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from wickdyke.fault_injection.trace import clock


@dataclass(order=True, slots=True)
class ScheduledAction:
    """An action and its due time (ms, monotonic); actions due at the same time run in order of their numbers."""

    due_at: float
    number: int
    run: Callable[[], None] = field(compare=False)


class Scheduler:
    """Runs actions when they are due, with the lock held that guards the worker's state."""

    def __init__(self, lock: threading.RLock) -> None:
        self.lock = lock
        self.actions_changed = threading.Condition(lock)
        self.actions: list[ScheduledAction] = []
        self.sequence_numbers = itertools.count()
        threading.Thread(target=self._run, daemon=True).start()

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules `action` to run after `delay_ms`; may be called from any thread."""
        with self.lock:
            heapq.heappush(self.actions, ScheduledAction(clock() + delay_ms, next(self.sequence_numbers), action))
            self.actions_changed.notify()

    def _run(self) -> None:
        while True:
            with self.lock:
                while not self.actions or self.actions[0].due_at > clock():
                    self.actions_changed.wait((self.actions[0].due_at - clock()) / 1000 if self.actions else None)
                heapq.heappop(self.actions).run()
