"""Random draws of requests."""

import random
from dataclasses import dataclass

from wickdyke.fault_injection.load_client.plan import LoadPlan, RequestKind, TrafficChange

POPULARITY_EXPONENT = 0.8  # of the Pareto distribution of calls over functions
MAX_FUNCTION = 10**6
SHORT_DEADLINE_FACTOR = 0.3
WORK_LOG_MEAN = -0.08  # with WORK_LOG_DEVIATION, a mean of 1
WORK_LOG_DEVIATION = 0.4


@dataclass(frozen=True, slots=True)
class HotFunctions:
    """Functions that get a `share` of all requests, beside the others."""

    count: int
    share: float


@dataclass(frozen=True, slots=True)
class GeneratedRequest:
    """A request as it was drawn. Times are in ms."""

    kind: RequestKind
    function: str
    time_left_ms: float
    work_ms: float


class RequestGenerator:
    """Draws requests as the plan and later changes state. The same seed and changes give the same requests."""

    def __init__(self, plan: LoadPlan, rng: random.Random) -> None:
        self.plan = plan
        self.rng = rng
        self.hot = HotFunctions(0, 0.0)
        self.one_time_share = 0.0
        self.short_deadline_share = 0.0

    def change(self, change: TrafficChange) -> None:
        """Draws in another way from now on."""
        if change.hot is not None:
            self.hot = HotFunctions(*change.hot)
        if change.one_time_share is not None:
            self.one_time_share = change.one_time_share
        if change.short_deadline_share is not None:
            self.short_deadline_share = change.short_deadline_share

    def generate(self, number: int) -> GeneratedRequest:
        """Draws one request; `number` counts those before it."""
        kind = self.rng.choices(self.plan.kinds, [kind.weight for kind in self.plan.kinds])[0]
        function = self._function(kind, number)
        deadline_factor = SHORT_DEADLINE_FACTOR if self.rng.random() < self.short_deadline_share else 1.0
        work_ms = kind.work_ms * self.rng.lognormvariate(WORK_LOG_MEAN, WORK_LOG_DEVIATION)
        return GeneratedRequest(kind, function, kind.deadline_ms * deadline_factor, work_ms)

    def _function(self, kind: RequestKind, number: int) -> str:
        hot = self.hot  # another thread may put others in its place
        rank = min(int(self.rng.paretovariate(POPULARITY_EXPONENT)) - 1, MAX_FUNCTION) % kind.functions
        if self.rng.random() < hot.share:
            return f"{kind.method}/hot{self.rng.randrange(hot.count)}"
        if self.rng.random() < self.one_time_share:
            return f"{kind.method}/once{number}"
        return f"{kind.method}/{rank}"
