"""The workers of a cell that functions are placed on: those of its zones, and of them the fewest for the load."""

from itertools import accumulate
from math import log

from wickdyke.routing.cells import Cell
from wickdyke.routing.latency import SAMPLE_AGE, LatencyEstimator
from wickdyke.routing.model import Worker
from wickdyke.routing.ranking import Candidates
from wickdyke.routing.samples import mean

TARGET_UTILIZATION = 0.4  # up to which an active worker is to be used
CLOSE_LOAD = 0.75  # a worker is removed only if the others could carry the load over this
GRADE_FACTOR = 1.3  # between grades of paces; coarse, so that all front ends order workers alike
CROWDED_UTILIZATION = 0.85  # of our zone, from which other zones are used
RELIEVED_UTILIZATION = 0.75  # of our zone, below which they are no longer
MIN_DIFFERENCE = 0.2  # by which the other zones' utilization has to be lower
INITIAL_REACH = 0.125  # part with which other zones' workers count at first
MIN_HEALTHY_PART = 0.5  # of our zone's workers; with fewer healthy ones all zones count
UNLIMITED = 10**6  # workers


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
        self.reach = 0.0  # part with which other zones' workers count now
        self.ranked_reach = 0.0  # the same, as `candidates` were made
        self.workers: list[Worker] = []
        self.candidates = Candidates([])

    def invalidate(self) -> None:
        """To be called when the cell's workers, or their sizes, have changed."""
        self.workers = []

    def update(self, now: float) -> list[Worker]:
        """The workers in scope now (ms)."""
        workers = self.cell.ready
        own = [worker for worker in workers if self.zone in (None, worker.endpoint.zone)]
        self._adjust_reach(workers, now)
        healthy = sum(not worker.ejections for worker in own)
        reach = self.reach if healthy > MIN_HEALTHY_PART * len(own) else 1.0
        in_scope = list(workers) if reach else own
        if in_scope != self.workers or reach != self.ranked_reach:
            self.workers = in_scope
            self.ranked_reach = reach
            self.candidates = Candidates(in_scope, self.zone, reach)
        return self.workers

    def _adjust_reach(self, workers: list[Worker], now: float) -> None:
        reporting = [
            worker
            for worker in workers
            if worker.load_reports and now - worker.load_reports[-1].received_at < SAMPLE_AGE
        ]
        ours = mean([worker.utilization for worker in reporting if worker.endpoint.zone == self.zone], 0.0)
        others = mean([worker.utilization for worker in reporting if worker.endpoint.zone != self.zone], 0.0)
        if ours >= CROWDED_UTILIZATION and others < ours - MIN_DIFFERENCE:
            self.reach = min(1.0, max(INITIAL_REACH, 2 * self.reach))
        elif ours < RELIEVED_UTILIZATION or others > ours:
            self.reach *= 0.5 * (self.reach > INITIAL_REACH)


class ActiveWorkers:
    """The fewest workers, of the fastest kinds first, that carry a load; all front ends order them alike."""

    def __init__(self, latency: LatencyEstimator) -> None:
        """No workers are selected yet."""
        self.latency = latency
        self.capacity: dict[Worker, float] = {}  # lanes of the average worker that each is worth
        self.count = UNLIMITED

    def select(self, workers: list[Worker], load: float, memory: float) -> list[Worker]:
        """Those that carry `load` lanes at the target utilization and have `memory` MB in their budgets."""
        grades = self._grades(workers)
        order = sorted(workers, key=lambda worker: (grades[worker.endpoint.kind], worker.endpoint.ident))
        self.capacity = {
            worker: self.latency.cores(worker) / GRADE_FACTOR ** grades[worker.endpoint.kind] for worker in order
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

        self.count -= workers_for(load / CLOSE_LOAD) < self.count  # one a period, and only with capacity to spare
        self.count = max(workers_for(load), min(self.count, len(order)))
        return order[: self.count]

    def _grades(self, workers: list[Worker]) -> dict[int, int]:
        average = self.latency.average_pace
        paces = {worker.endpoint.kind: self.latency.usual_pace(worker) / average for worker in workers}
        return {kind: round(log(pace) / log(GRADE_FACTOR)) for kind, pace in paces.items()}
