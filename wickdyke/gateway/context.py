"""The state that the coordinator shares with its parts."""

import math
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ParamSpec

from wickdyke.gateway.config import CoordinatorConfig
from wickdyke.gateway.events import Event
from wickdyke.gateway.exception_log import ExceptionLog
from wickdyke.gateway.interfaces import Log
from wickdyke.gateway.router_driver import RouterDriver
from wickdyke.routing.model import Attempt, Worker
from wickdyke.transport.timers import Timers

MS_PER_SECOND = 1000
Args = ParamSpec("Args")


def clock() -> float:
    """Returns the monotonic time in ms."""
    return time.monotonic() * MS_PER_SECOND


@dataclass(slots=True)
class Context:
    """The settings, log, counters, timers, router and event queue of one coordinator."""

    config: CoordinatorConfig
    log: Log
    exceptions: ExceptionLog
    driver: RouterDriver
    post: Callable[[Event], None]
    timers: Timers = field(default_factory=Timers)
    counts: Counter[str] = field(default_factory=Counter)
    # When it was last seen what discovery has reported (monotonic ms); infinite where the host follows it in a thread.
    discovery_seen_at: Callable[[], float] = lambda: math.inf

    def now(self) -> float:
        """Returns the monotonic time in ms."""
        return clock()

    def apply_input(self, name: str, *args: object) -> None:
        """Passes one input to the router; `name` is the router's method that takes the input."""
        self.driver.apply_input(clock(), name, *args)

    def may_send(self, worker: Worker, now: float) -> bool:
        """Returns whether new work may be sent to the worker at `now` (ms), which may be long after the decision."""
        return self.driver.router.may_send(worker, now, self.discovery_seen_at())

    def is_as_decided(self, attempt: Attempt, process_changed_at: float) -> bool:
        """Returns whether an attempt that begins now goes to the process that it was decided for."""
        return self.driver.router.is_as_decided(attempt, process_changed_at)

    def run_guarded(self, action: Callable[Args, object], *args: Args.args, **options: Args.kwargs) -> None:
        """Calls `action`, and counts and logs an exception: it must not end the thread that all requests depend on."""
        try:
            action(*args, **options)
        except Exception as error:  # noqa: BLE001 - no exception may affect the other requests
            self.counts["faults"] += 1
            self.exceptions.record("unhandled exception in the coordinator", error)
