"""The workers of a cell that functions are placed on: the fewest for the load, in this front end's zone if possible."""

from itertools import accumulate
from math import log

from wickdyke.routing.cells import Cell
from wickdyke.routing.latency import MAX_SAMPLE_AGE, LatencyEstimator
from wickdyke.routing.model import Worker
from wickdyke.routing.ranking import Candidates
from wickdyke.routing.samples import mean

TARGET_UTILIZATION = 0.4  # utilization at which active workers are meant to run
MAX_LOAD_AFTER_REMOVAL = 0.75  # a worker is removed only if the others could carry the load divided by this
SLOWDOWN_GRADE_FACTOR = 1.3  # ratio of adjacent slowdown grades; coarse, so that all front ends order workers alike
CROWDED_UTILIZATION = 0.85  # utilization of the front end's zone from which other zones are used
RELIEVED_UTILIZATION = 0.75  # utilization of the front end's zone below which other zones are used less again
MIN_UTILIZATION_DIFFERENCE = 0.2  # by which the other zones' utilization must be lower for them to be used
INITIAL_OTHER_ZONES_WEIGHT = 0.125  # fraction of their size with which other zones' workers count at first
MIN_HEALTHY_FRACTION = 0.5  # fraction of workers in the front end's zone; if no more are healthy, all zones count fully
UNLIMITED_WORKERS = 10**6  # initial number of active workers, above the size of any fleet


class CandidateScope:
    """The workers that functions of a cell may be placed on.

    Where traffic between zones has a cost, each front end places functions in its own zone, as placements across the
    fleet would send attempts to other zones. While its own zone is overloaded and others are not, the other zones'
    workers count with a fraction of their size (`other_zones_weight`). The disadvantage is memory: a function needs
    replicas in each zone.
    """

    def __init__(self, cell: Cell, zone: int | None) -> None:
        """Creates the scope of a cell for front ends of `zone`; None where zones make no difference."""
        self.cell = cell
        self.zone = zone
        self.other_zones_weight = 0.0  # fraction of their size with which other zones' workers count now
        self.ranked_other_zones_weight = 0.0  # the weight for which `candidates` was created
        self.workers: list[Worker] = []
        self.candidates = Candidates([])

    def invalidate(self) -> None:
        """Forces new candidates at the next update; call it when the cell's workers or their sizes have changed."""
        self.workers = []

    def update(self, now: float) -> list[Worker]:
        """Updates and returns the workers in scope at `now` (ms)."""
        workers = self.cell.ready_workers
        own_zone_workers = [worker for worker in workers if self.zone in (None, worker.endpoint.zone)]
        self._adjust_other_zones_weight(workers, now)
        healthy = sum(not worker.ejections for worker in own_zone_workers)
        other_zones_weight = self.other_zones_weight if healthy > MIN_HEALTHY_FRACTION * len(own_zone_workers) else 1.0
        in_scope = list(workers) if other_zones_weight else own_zone_workers
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
        own_zone = mean([worker.utilization for worker in reporting if worker.endpoint.zone == self.zone], 0.0)
        other_zones = mean([worker.utilization for worker in reporting if worker.endpoint.zone != self.zone], 0.0)
        if own_zone >= CROWDED_UTILIZATION and other_zones < own_zone - MIN_UTILIZATION_DIFFERENCE:
            self.other_zones_weight = min(1.0, max(INITIAL_OTHER_ZONES_WEIGHT, 2 * self.other_zones_weight))
        elif own_zone < RELIEVED_UTILIZATION or other_zones > own_zone:
            self.other_zones_weight *= 0.5 * (self.other_zones_weight > INITIAL_OTHER_ZONES_WEIGHT)


class ActiveWorkers:
    """Selects the fewest workers that carry a load, the fastest kinds first; all front ends order them alike."""

    def __init__(self, latency: LatencyEstimator) -> None:
        """Creates a selection without workers."""
        self.latency = latency
        self.capacity: dict[Worker, float] = {}  # concurrency of each worker, relative to the speed of the average one
        self.count = UNLIMITED_WORKERS

    def select(self, workers: list[Worker], load: float, memory: float) -> list[Worker]:
        """Returns workers that carry `load` at the target utilization and have `memory` MB in their budgets."""
        grades = self._grades(workers)
        order = sorted(workers, key=lambda worker: (grades[worker.endpoint.kind], worker.endpoint.ident))
        self.capacity = {
            worker: self.latency.cores(worker) / SLOWDOWN_GRADE_FACTOR ** grades[worker.endpoint.kind]
            for worker in order
        }
        capacities = accumulate(self.capacity[worker] * TARGET_UTILIZATION for worker in order)
        budgets = accumulate(worker.memory_budget for worker in order)
        sums = list(zip(capacities, budgets, strict=True))

        def workers_for(needed_capacity: float) -> int:
            counts = (
                count
                for count, (capacity_sum, memory_sum) in enumerate(sums, 1)
                if capacity_sum >= needed_capacity and memory_sum >= memory
            )
            return next(counts, len(sums))

        # Removes at most one worker per period, and only with capacity to spare.
        self.count -= workers_for(load / MAX_LOAD_AFTER_REMOVAL) < self.count
        self.count = max(workers_for(load), min(self.count, len(order)))
        return order[: self.count]

    def _grades(self, workers: list[Worker]) -> dict[int, int]:
        average = self.latency.average_slowdown
        slowdowns = {worker.endpoint.kind: self.latency.usual_slowdown(worker) / average for worker in workers}
        return {kind: round(log(slowdown) / log(SLOWDOWN_GRADE_FACTOR)) for kind, slowdown in slowdowns.items()}
