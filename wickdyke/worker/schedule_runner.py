"""Runs the schedule under one lock, and carries out its actions after each event.

Nothing blocks while it holds the lock: messages go to write buffers, and each load has a thread of its own.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from wickdyke.worker.actions import Action
from wickdyke.worker.schedule import Schedule

MIN_WAIT = 0.001  # s, shortest wait for the next deadline
MAX_WAIT = 1.0  # s, longest wait for the next deadline


def monotonic_ms() -> float:
    """The monotonic time in ms."""
    return time.monotonic() * 1000


class ScheduleRunner:
    """The schedule with its lock. `handlers` holds the function that carries out each type of action."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.handlers: dict[type[Action], Callable[[Any], None]] = {}

    @contextmanager
    def event(self) -> Iterator[Schedule]:
        """Holds the lock while an event is reported to the schedule, then carries out the actions."""
        with self.lock:
            self.schedule.advance(monotonic_ms())
            yield self.schedule
            self._perform()

    def run(self, stop_event: threading.Event) -> None:
        """Carries out the actions that become due as time passes, until `stop_event` is set."""
        with self.lock:
            while not stop_event.is_set():
                self.schedule.advance(monotonic_ms())
                self._perform()
                remaining = (self.schedule.next_deadline - monotonic_ms()) / 1000
                self.changed.wait(min(MAX_WAIT, max(MIN_WAIT, remaining)))

    def wake(self) -> None:
        """Wakes `run`, which then checks whether it has to stop."""
        with self.lock:
            self.changed.notify_all()

    def _perform(self) -> None:
        while (action := self.schedule.next_action()) is not None:
            self.handlers[type(action)](action)
        self.changed.notify()
