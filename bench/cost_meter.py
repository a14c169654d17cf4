"""Meters for the cost of front ends: processor time, decisions and bytes."""

import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass, field

FRAMES = 4  # of a call stack that are kept of an allocation


def product_bytes() -> int:
    """Bytes that wickdyke's own code has allocated, without the simulation; `tracemalloc` has to keep FRAMES."""
    traces = tracemalloc.take_snapshot().traces
    return sum(
        trace.size for trace in traces if any("wickdyke" in frame.filename.split("/") for frame in trace.traceback)
    )


@dataclass(slots=True)
class Costs:
    """What one front end spent: processor seconds in all and for control, the longest turn, and messages."""

    processor: float = 0.0
    control: float = 0.0
    longest: float = 0.0
    longest_at: float = 0.0
    turns: int = 0
    decisions: Counter = field(default_factory=Counter)
    answers: Counter = field(default_factory=Counter)


class Meter:
    """Processor time (s) spent within some functions, counted once where they call each other."""

    def __init__(self) -> None:
        self.depth, self.seconds, self.calls = 0, 0.0, Counter()

    def wrap(self, owner: object, name: str) -> None:
        """Measures a function from now on, if its owner has it."""
        inner = getattr(owner, name, None)
        if inner is None:
            return

        def measured(*args: object, **more: object) -> object:
            self.calls[name] += 1
            if self.depth:
                return inner(*args, **more)
            self.depth, started = 1, time.process_time()
            try:
                return inner(*args, **more)
            finally:
                self.depth = 0
                self.seconds += time.process_time() - started

        setattr(owner, name, measured)
