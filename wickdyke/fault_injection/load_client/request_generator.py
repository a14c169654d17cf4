"""Generates random requests."""

import random
from dataclasses import dataclass

from wickdyke.fault_injection.load_client.plan import LoadPlan, RequestKind, TrafficChange

POPULARITY_EXPONENT = 0.8  # of the Pareto distribution of calls over functions
MAX_FUNCTION_RANK = 10**6
SHORT_DEADLINE_FACTOR = 0.3
WORK_LOG_MEAN = -0.08  # together with WORK_LOG_DEVIATION this gives a mean of 1
WORK_LOG_DEVIATION = 0.4


@dataclass(frozen=True, slots=True)
class HotFunctions:
    """A number of functions that get a `share` of all requests, in addition to the other functions."""

    count: int
    share: float


@dataclass(frozen=True, slots=True)
class GeneratedRequest:
    """A randomly generated request. Times are in ms."""

    kind: RequestKind
    function: str
    time_left_ms: float
    work_ms: float


class RequestGenerator:
    """Generates requests from a plan and its changes; the same seed and changes give the same requests."""

    def __init__(self, plan: LoadPlan, rng: random.Random) -> None:
        self.plan = plan
        self.rng = rng
        self.hot = HotFunctions(0, 0.0)
        self.one_time_share = 0.0
        self.short_deadline_share = 0.0

    def change(self, change: TrafficChange) -> None:
        """Applies a change to all later requests."""
        if change.hot is not None:
            self.hot = HotFunctions(*change.hot)
        if change.one_time_share is not None:
            self.one_time_share = change.one_time_share
        if change.short_deadline_share is not None:
            self.short_deadline_share = change.short_deadline_share

    def generate(self, number: int) -> GeneratedRequest:
        """Returns a random request; `number` is the number of requests before it."""
        kind = self.rng.choices(self.plan.kinds, [kind.weight for kind in self.plan.kinds])[0]
        function = self._choose_function(kind, number)
        deadline_factor = SHORT_DEADLINE_FACTOR if self.rng.random() < self.short_deadline_share else 1.0
        work_ms = kind.work_ms * self.rng.lognormvariate(WORK_LOG_MEAN, WORK_LOG_DEVIATION)
        return GeneratedRequest(kind, function, kind.deadline_ms * deadline_factor, work_ms)

    def _choose_function(self, kind: RequestKind, number: int) -> str:
        hot = self.hot  # read once, as another thread may replace it
        rank = min(int(self.rng.paretovariate(POPULARITY_EXPONENT)) - 1, MAX_FUNCTION_RANK) % kind.function_count
        if self.rng.random() < hot.share:
            return f"{kind.method}/hot{self.rng.randrange(hot.count)}"
        if self.rng.random() < self.one_time_share:
            return f"{kind.method}/once{number}"
        return f"{kind.method}/{rank}"
