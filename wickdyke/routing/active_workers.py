"""Which of a cell's workers functions are placed on: those of its zones, and of them the fewest that carry the load."""

from itertools import accumulate
from math import log

from wickdyke.routing.cells import Cell
from wickdyke.routing.latency import SAMPLE_AGE, LatencyEstimator
from wickdyke.routing.model import Worker
from wickdyke.routing.ranking import Candidates
from wickdyke.routing.samples import mean

TARGET_UTILIZATION = 0.4  # up to which an active worker is to be used
CLOSE_LOAD = 0.75  # a worker is closed only if the others would carry the load over this
GRADE = 1.3  # step of paces by which workers are ordered, so that front ends come to the same order
CROWDED = 0.85  # utilization of our zone from which others are used
EASED = 0.75  # utilization of our zone under which they are no longer
BELOW = 0.2  # by which others' utilization is to be less
FIRST_REACH = 0.125  # part with which other zones' workers count at first
LOCAL_LEAST = 0.5  # part of our zone's workers that are to be well, or all zones count
UNLIMITED = 10**6


class CandidateScope:
    """The workers that functions of a cell may be placed on.

    Where crossing zones costs, homes all over the fleet would make attempts cross: each zone is placed by itself. Other
    zones' workers count in part (`reach`) while ours is more crowded. That misleads where replicas in each zone crowd
    memory.
    """

    def __init__(self, cell: Cell, zone: int | None) -> None:
        self.cell, self.zone = cell, zone  # zone None: all zones are one
        self.reach = self.ranked_reach = 0.0
        self.workers: list[Worker] = []
        self.candidates = Candidates([])

    def invalidate(self) -> None:
        """The cell's workers, or their sizes, have changed."""
        self.workers = []

    def update(self, now: float) -> list[Worker]:
        """The workers in scope now (ms)."""
        workers = self.cell.ready
        own = [worker for worker in workers if self.zone in (None, worker.endpoint.zone)]
        self._adjust_reach(workers, now)
        well = sum(not worker.ejections for worker in own) > LOCAL_LEAST * len(own)
        reach = self.reach if well else 1.0
        in_scope = list(workers) if reach else own
        if in_scope != self.workers or reach != self.ranked_reach:
            self.workers, self.ranked_reach = in_scope, reach
            self.candidates = Candidates(in_scope, self.zone, reach)
        return self.workers

    def _adjust_reach(self, workers: list[Worker], now: float) -> None:
        heard = [w for w in workers if w.load_reports and now - w.load_reports[-1].received_at < SAMPLE_AGE]
        ours = mean([w.utilization for w in heard if w.endpoint.zone == self.zone], 0.0)
        others = mean([w.utilization for w in heard if w.endpoint.zone != self.zone], 0.0)
        if ours >= CROWDED and others < ours - BELOW:
            self.reach = min(1.0, max(FIRST_REACH, 2 * self.reach))
        elif ours < EASED or others > ours:
            self.reach *= 0.5 * (self.reach > FIRST_REACH)


class ActiveWorkers:
    """The fewest workers, quickest kinds first, that carry a load. All front ends come to the same order."""

    def __init__(self, latency: LatencyEstimator) -> None:
        self.latency = latency
        self.capacity: dict[Worker, float] = {}  # lanes of the average worker
        self.count = UNLIMITED

    def select(self, workers: list[Worker], load: float, memory: float) -> list[Worker]:
        """Those that carry `load` lanes at the target utilization and have `memory` MB in their budgets."""
        grades = self._grades(workers)
        order = sorted(workers, key=lambda worker: (grades[worker.endpoint.kind], worker.endpoint.ident))
        self.capacity = {w: self.latency.cores(w) / GRADE ** grades[w.endpoint.kind] for w in order}
        lanes = accumulate(self.capacity[worker] * TARGET_UTILIZATION for worker in order)
        budgets = accumulate(worker.memory_budget for worker in order)
        sums = list(zip(lanes, budgets, strict=True))

        def enough(need: float) -> int:
            fits = (n for n, (power, room) in enumerate(sums, 1) if power >= need and room >= memory)
            return next(fits, len(sums))

        self.count -= enough(load / CLOSE_LOAD) < self.count  # one a period, and only with room to spare
        self.count = max(enough(load), min(self.count, len(order)))
        return order[: self.count]

    def _grades(self, workers: list[Worker]) -> dict[int, int]:
        average = self.latency.average_pace
        paces = {worker.endpoint.kind: self.latency.usual_pace(worker) / average for worker in workers}
        return {kind: round(log(pace) / log(GRADE)) for kind, pace in paces.items()}
