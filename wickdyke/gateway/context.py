"""What the coordinator and its parts share."""

import os
import time
import traceback
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wickdyke.gateway.events import Event
from wickdyke.gateway.router_driver import RouterDriver
from wickdyke.transport.timers import Timers


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * 1000


@dataclass(slots=True)
class Context:
    """The settings, the log, counts, timers, the router and the event queue of one coordinator."""

    config: Any
    log: Any
    driver: RouterDriver
    post: Callable[[Event], None]
    timers: Timers = field(default_factory=Timers)
    counts: Counter[str] = field(default_factory=Counter)

    def now(self) -> float:
        """Monotonic time in ms."""
        return clock()

    def inform(self, name: str, *args: object) -> None:
        """Tells the router one thing: the input of that name."""
        self.driver.inform(clock(), name, *args)

    def guarded(self, act: Callable, *args: object) -> None:
        """Calls that; an exception is counted and logged, as it must not end the one thread that all depend on."""
        try:
            act(*args)
        except Exception as error:
            self.counts["faults"] += 1
            last = traceback.extract_tb(error.__traceback__)[-1]
            where = f"{os.path.basename(last.filename)}:{last.lineno}"
            self.log.error("fault in the coordinator", why=f"{type(error).__name__}: {error}", where=where)
