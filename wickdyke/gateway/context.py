"""What the coordinator and its parts share."""

import os
import time
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ParamSpec

from wickdyke.gateway.config import CoordinatorConfig
from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import Log
from wickdyke.gateway.router_driver import RouterDriver
from wickdyke.transport.timers import Timers

MS_PER_SECOND = 1000
Args = ParamSpec("Args")


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * MS_PER_SECOND


@dataclass(slots=True)
class Context:
    """The settings, the log, counts, timers, the router and the event queue of one coordinator."""

    config: CoordinatorConfig
    log: Log
    driver: RouterDriver
    post: Callable[[Event], None]
    timers: Timers = field(default_factory=Timers)
    counts: Counter[str] = field(default_factory=Counter)

    def now(self) -> float:
        """Monotonic time in ms."""
        return clock()

    def inform(self, name: str, *args: object) -> None:
        """Gives the router one input: the one of that name."""
        self.driver.inform(clock(), name, *args)

    def guarded(self, action: Callable[Args, object], *args: Args.args, **options: Args.kwargs) -> None:
        """Calls `action`; an exception is counted and logged, as it must not end the thread that all depend on."""
        try:
            action(*args, **options)
        except Exception as error:  # noqa: BLE001 - whatever it is, the other requests go on
            self.counts["faults"] += 1
            last = traceback.extract_tb(error.__traceback__)[-1]
            where = f"{os.path.basename(last.filename)}:{last.lineno}"
            self.log.error(
                "unhandled exception in the coordinator", reason=f"{type(error).__name__}: {error}", where=where
            )
