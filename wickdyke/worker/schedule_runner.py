"""Runs the schedule: one lock guards it, and after each event its actions are carried out.

Nothing that is done under the lock waits: messages go to write buffers, loads to threads of their own.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from wickdyke.worker.actions import Action
from wickdyke.worker.schedule import Schedule

MIN_WAIT = 0.001  # s between two checks of what is due
MAX_WAIT = 1.0  # s between two checks of what is due


def monotonic_ms() -> float:
    """The monotonic time in ms."""
    return time.monotonic() * 1000


class ScheduleRunner:
    """The schedule with its lock. `handlers` carry out its actions, by the action's type."""

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

    def run(self, stopped: threading.Event) -> None:
        """Carries out the actions that become due by time alone, until `stopped` is set."""
        with self.lock:
            while not stopped.is_set():
                self.schedule.advance(monotonic_ms())
                self._perform()
                remaining = (self.schedule.next_deadline - monotonic_ms()) / 1000
                self.changed.wait(min(MAX_WAIT, max(MIN_WAIT, remaining)))

    def wake(self) -> None:
        """Has `run` check at once whether it is stopped."""
        with self.lock:
            self.changed.notify_all()

    def _perform(self) -> None:
        while (action := self.schedule.next_action()) is not None:
            self.handlers[type(action)](action)
        self.changed.notify()
