"""Scheduled actions of a scenario, run in order of their times."""

import heapq
import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wickdyke.fault_injection.trace import clock


@dataclass(slots=True, frozen=True, order=True)
class ScheduledAction:
    """An action and its due time (trace clock, ms); actions due at the same time run in order of scheduling."""

    due_at: float
    sequence: int
    action: Callable[..., object] = field(compare=False)
    arguments: tuple[Any, ...] = field(compare=False)


class Timeline:
    """Scheduled actions. Any thread may schedule them; one thread runs those that are due."""

    started_at: float  # trace clock, ms; set by start()

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._actions: list[ScheduledAction] = []
        self._sequence = itertools.count()

    def start(self) -> None:
        """Starts to count the elapsed time."""
        self.started_at = clock()

    def timestamped(self, text: str) -> str:
        """Returns the text, prefixed with the seconds elapsed since the start."""
        return f"{(clock() - self.started_at) / 1000:6.1f} s  {text}"

    def schedule(self, delay: float, action: Callable[..., object], *arguments: object) -> None:
        """Schedules an action to run `delay` ms from now."""
        with self._lock:
            scheduled = ScheduledAction(clock() + delay, next(self._sequence), action, arguments)
            heapq.heappush(self._actions, scheduled)

    def run_due(self) -> None:
        """Runs every due action, including those that become due meanwhile; raises what an action raises."""
        while (scheduled := self._pop_due()) is not None:
            scheduled.action(*scheduled.arguments)

    def _pop_due(self) -> ScheduledAction | None:
        with self._lock:
            if self._actions and self._actions[0].due_at <= clock():
                return heapq.heappop(self._actions)
            return None
