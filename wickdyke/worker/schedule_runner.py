"""Runs the schedule: one lock guards it, each event is followed by the actions it leads to.

What is done under the lock never waits: messages go to write buffers, loads to threads of their own.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from wickdyke.worker.actions import Action
from wickdyke.worker.schedule import Schedule

WAIT_LEAST, WAIT_MOST = 0.001, 1.0  # s between two looks at what is due


def monotonic_ms() -> float:
    """Monotonic ms."""
    return time.monotonic() * 1000


class ScheduleRunner:
    """The schedule with its lock. `handlers` carry out its actions, by type."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.handlers: dict[type[Action], Callable[[Any], None]] = {}

    @contextmanager
    def event(self) -> Iterator[Schedule]:
        """Holds the lock while an event is reported to the schedule, then carries out what that leads to."""
        with self.lock:
            self.schedule.advance(monotonic_ms())
            yield self.schedule
            self._perform()

    def run(self, stopped: threading.Event) -> None:
        """Carries out what becomes due by time alone, until `stopped` is set."""
        with self.lock:
            while not stopped.is_set():
                self.schedule.advance(monotonic_ms())
                self._perform()
                left = (self.schedule.next_deadline - monotonic_ms()) / 1000
                self.changed.wait(min(WAIT_MOST, max(WAIT_LEAST, left)))

    def wake(self) -> None:
        """Has `run` look whether it is stopped."""
        with self.lock:
            self.changed.notify_all()

    def _perform(self) -> None:
        while (action := self.schedule.next_action()) is not None:
            self.handlers[type(action)](action)
        self.changed.notify()
