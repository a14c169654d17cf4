"""Actions that a scenario runs at set times, in the order of their times."""

import heapq
import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wickdyke.fault_injection.trace import clock


@dataclass(slots=True, frozen=True, order=True)
class ScheduledAction:
    """An action due at a time of the trace's clock (ms); actions of the same time run in the order of scheduling."""

    due_at: float
    sequence: int
    action: Callable[..., object] = field(compare=False)
    arguments: tuple[Any, ...] = field(compare=False)


class Timeline:
    """Scheduled actions. Any thread may schedule; one thread runs what is due."""

    started_at: float  # trace clock, ms; set by start()

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._actions: list[ScheduledAction] = []
        self._sequence = itertools.count()

    def start(self) -> None:
        """Set the time from which elapsed time counts to now."""
        self.started_at = clock()

    def timestamped(self, text: str) -> str:
        """The text behind the seconds elapsed since the start, as shown to a person."""
        return f"{(clock() - self.started_at) / 1000:6.1f} s  {text}"

    def schedule(self, delay: float, action: Callable[..., object], *arguments: object) -> None:
        """Have an action run `delay` ms from now."""
        with self._lock:
            scheduled = ScheduledAction(clock() + delay, next(self._sequence), action, arguments)
            heapq.heappush(self._actions, scheduled)

    def run_due(self) -> None:
        """Run every action that is due, also those that become due meanwhile; raises what an action raises."""
        while (scheduled := self._pop_due()) is not None:
            scheduled.action(*scheduled.arguments)

    def _pop_due(self) -> ScheduledAction | None:
        with self._lock:
            if self._actions and self._actions[0].due_at <= clock():
                return heapq.heappop(self._actions)
            return None
