"""Meters for the cost of front ends: processor time, decisions and bytes."""

import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass, field

TRACEBACK_FRAMES = 4  # that `tracemalloc` keeps for each allocation


def wickdyke_bytes() -> int:
    """Returns the bytes allocated by wickdyke's own code, without those of the simulation.

    `tracemalloc` must have been started with TRACEBACK_FRAMES.
    """
    traces = tracemalloc.take_snapshot().traces
    return sum(
        trace.size for trace in traces if any("wickdyke" in frame.filename.split("/") for frame in trace.traceback)
    )


@dataclass(slots=True)
class Costs:
    """The cost of one front end. A turn is one input to the router with the decisions that follow from it."""

    cpu_seconds: float = 0.0
    control_cpu_seconds: float = 0.0
    longest_turn_seconds: float = 0.0
    longest_turn_at: float = 0.0  # simulated ms
    turn_count: int = 0
    decisions: Counter = field(default_factory=Counter)  # by name
    answers: Counter = field(default_factory=Counter)  # by answer


class CpuMeter:
    """Measures the processor time (s) within some functions, counted once where they call each other."""

    def __init__(self) -> None:
        self.depth, self.seconds, self.calls = 0, 0.0, Counter()

    def wrap(self, owner: object, name: str) -> None:
        """Replaces the owner's function `name` by one that is measured; does nothing where the owner has none."""
        function = getattr(owner, name, None)
        if function is None:
            return

        def measured(*args: object, **keywords: object) -> object:
            self.calls[name] += 1
            if self.depth:
                return function(*args, **keywords)
            self.depth, started_at = 1, time.process_time()
            try:
                return function(*args, **keywords)
            finally:
                self.depth = 0
                self.seconds += time.process_time() - started_at

        setattr(owner, name, measured)
