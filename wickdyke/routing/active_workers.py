"""The workers of a cell that functions are placed on: those of its zones, and of them the fewest for the load."""

from itertools import accumulate
from math import log

from wickdyke.routing.cells import Cell
from wickdyke.routing.latency import MAX_SAMPLE_AGE, LatencyEstimator
from wickdyke.routing.model import Worker
from wickdyke.routing.ranking import Candidates
from wickdyke.routing.samples import mean

TARGET_UTILIZATION = 0.4  # up to which an active worker is to be used
MAX_LOAD_AFTER_REMOVAL = 0.75  # a worker is removed only if the others could carry the load over this
SLOWDOWN_GRADE_FACTOR = 1.3  # between grades of paces; coarse, so that all front ends order workers alike
CROWDED_UTILIZATION = 0.85  # of our zone, from which other zones are used
RELIEVED_UTILIZATION = 0.75  # of our zone, below which they are no longer
MIN_UTILIZATION_DIFFERENCE = 0.2  # by which the other zones' utilization has to be lower
INITIAL_OTHER_ZONES_WEIGHT = 0.125  # part with which other zones' workers count at first
MIN_HEALTHY_FRACTION = 0.5  # of our zone's workers; with fewer healthy ones all zones count
UNLIMITED_WORKERS = 10**6  # workers


class CandidateScope:
    """The workers that functions of a cell may be placed on.

    Where crossing zones has a cost, each zone is placed by itself, as homes all over the fleet would make attempts
    cross. Other zones' workers count in part (`reach`) while ours is more crowded. That is worse where replicas in each
    zone fill the memory.
    """

    def __init__(self, cell: Cell, zone: int | None) -> None:
        """The scope of a cell; with `zone` None all zones count as one."""
        self.cell = cell
        self.zone = zone
        self.other_zones_weight = 0.0  # part with which other zones' workers count now
        self.ranked_other_zones_weight = 0.0  # the same, as `candidates` were made
        self.workers: list[Worker] = []
        self.candidates = Candidates([])

    def invalidate(self) -> None:
        """To be called when the cell's workers, or their sizes, have changed."""
        self.workers = []

    def update(self, now: float) -> list[Worker]:
        """The workers in scope now (ms)."""
        workers = self.cell.ready_workers
        own = [worker for worker in workers if self.zone in (None, worker.endpoint.zone)]
        self._adjust_other_zones_weight(workers, now)
        healthy = sum(not worker.ejections for worker in own)
        other_zones_weight = self.other_zones_weight if healthy > MIN_HEALTHY_FRACTION * len(own) else 1.0
        in_scope = list(workers) if other_zones_weight else own
        if in_scope != self.workers or other_zones_weight != self.ranked_other_zones_weight:
            self.workers = in_scope
            self.ranked_other_zones_weight = other_zones_weight
            self.candidates = Candidates(in_scope, self.zone, other_zones_weight)
        return self.workers

    def _adjust_other_zones_weight(self, workers: list[Worker], now: float) -> None:
        reporting = [
            worker
            for worker in workers
            if worker.load_reports and now - worker.load_reports[-1].received_at < MAX_SAMPLE_AGE
        ]
        ours = mean([worker.utilization for worker in reporting if worker.endpoint.zone == self.zone], 0.0)
        others = mean([worker.utilization for worker in reporting if worker.endpoint.zone != self.zone], 0.0)
        if ours >= CROWDED_UTILIZATION and others < ours - MIN_UTILIZATION_DIFFERENCE:
            self.other_zones_weight = min(1.0, max(INITIAL_OTHER_ZONES_WEIGHT, 2 * self.other_zones_weight))
        elif ours < RELIEVED_UTILIZATION or others > ours:
            self.other_zones_weight *= 0.5 * (self.other_zones_weight > INITIAL_OTHER_ZONES_WEIGHT)


class ActiveWorkers:
    """The fewest workers, of the fastest kinds first, that carry a load; all front ends order them alike."""

    def __init__(self, latency: LatencyEstimator) -> None:
        """No workers are selected yet."""
        self.latency = latency
        self.capacity: dict[Worker, float] = {}  # lanes of the average worker that each is worth
        self.count = UNLIMITED_WORKERS

    def select(self, workers: list[Worker], load: float, memory: float) -> list[Worker]:
        """Those that carry `load` lanes at the target utilization and have `memory` MB in their budgets."""
        grades = self._grades(workers)
        order = sorted(workers, key=lambda worker: (grades[worker.endpoint.kind], worker.endpoint.ident))
        self.capacity = {
            worker: self.latency.cores(worker) / SLOWDOWN_GRADE_FACTOR ** grades[worker.endpoint.kind]
            for worker in order
        }
        lanes = accumulate(self.capacity[worker] * TARGET_UTILIZATION for worker in order)
        budgets = accumulate(worker.memory_budget for worker in order)
        sums = list(zip(lanes, budgets, strict=True))

        def workers_for(needed_lanes: float) -> int:
            counts = (
                count
                for count, (lanes_sum, memory_sum) in enumerate(sums, 1)
                if lanes_sum >= needed_lanes and memory_sum >= memory
            )
            return next(counts, len(sums))

        self.count -= (
            workers_for(load / MAX_LOAD_AFTER_REMOVAL) < self.count
        )  # one a period, and only with capacity to spare
        self.count = max(workers_for(load), min(self.count, len(order)))
        return order[: self.count]

    def _grades(self, workers: list[Worker]) -> dict[int, int]:
        average = self.latency.average_slowdown
        slowdowns = {worker.endpoint.kind: self.latency.usual_slowdown(worker) / average for worker in workers}
        return {kind: round(log(slowdown) / log(SLOWDOWN_GRADE_FACTOR)) for kind, slowdown in slowdowns.items()}
