"""Places the functions of a cell on the fewest workers that their demand needs, the fastest first, within memory.

Demand and capacity are measured in concurrency: the average number of requests that are being processed at once.
"""

from dataclasses import dataclass
from math import ceil, inf, sqrt

from wickdyke.routing.active_workers import ActiveWorkers, CandidateScope
from wickdyke.routing.cells import Cell
from wickdyke.routing.demand import DemandEstimator
from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import (
    Function,
    Replica,
    Worker,
)
from wickdyke.routing.replicas import replica_of
from wickdyke.routing.samples import mean
from wickdyke.routing.settings import CostWeights, FunctionCache, GatewayInstance

MIN_ASSIGNMENT_TIME = 5000.0  # ms for which a function stays on its workers, divided by 1 minus this front end's share
FILL_UTILIZATION = 0.7  # utilization up to which this front end fills its share of a worker
HEADROOM = 1.5  # standard deviations of the concurrency that are kept free
FAIR_SHARE_SLACK = 1.2  # multiple of an even share of this front end's load that a worker may be given
KEPT_CAPACITY_FACTOR = 1.4  # multiple of a worker's capacity up to which functions stay on it
SMALL_LOAD = 0.15  # fraction of the mean capacity; smaller loads may exceed a worker's free capacity
MAX_LOAD_AFTER_REMOVAL = 0.75  # fraction of the capacity of one worker less, over which a function keeps its workers
HOT_UTILIZATION_FACTOR = 1.2  # multiple of the mean utilization above which a worker is given nothing new
MIN_HOT_UTILIZATION = 0.8  # utilization below which no worker counts as hot
MAX_CAPACITY_FRACTION = 0.2  # fraction of a worker's capacity for one function where workers do not report concurrency
MAX_FALLBACK_WORKERS = 8  # workers compared where none has free capacity
MIN_REQUESTS_KEEPING_LOADED = 3.0  # other front ends' requests within an idle timeout that keep a replica loaded
MIN_CAPACITY = 1e-9  # lower bound of capacities and shares that are divisors


@dataclass(slots=True)
class PlacementPass:
    """The inputs of one pass over a cell's functions, and the capacity left. Loads are concurrency, memory is MB.

    "Own" and "share" refer to this front end.
    """

    own_demand: dict[Function, float]  # demand of own requests
    fleet_demand: dict[Function, float]  # demand of all front ends' requests
    demand: dict[Function, float]  # own share of the fleet's demand, in busy cores
    memory: dict[Function, float]  # own share of a replica's memory
    share: float  # own share of the workers' load
    capacity: dict[Worker, float]  # load that this front end may put on each worker
    free_capacity: dict[Worker, float]  # part of `capacity` that is left
    free_memory: dict[Worker, float]  # MB of own memory budget that are left
    kept_workers: dict[Function, list[Worker]]  # workers on which recently placed functions stay

    def reserve(self, function: Function, workers: list[Worker], replicas: int) -> None:
        """Subtracts the load and the memory of `replicas` replicas of the function on each of `workers`."""
        load = self.demand[function] / len(workers)
        for worker in workers:
            self.free_capacity[worker] -= load
            self.free_memory[worker] -= self.memory[function] * replicas


class Placement:
    """Assigns the functions of one cell to workers."""

    def __init__(
        self,
        cell: Cell,
        latency: LatencyEstimator,
        cache: FunctionCache,
        instance: GatewayInstance,
        costs: CostWeights,
        since: float,
    ) -> None:
        """Creates an empty placement; requests are counted since `since` (ms)."""
        self.cell = cell
        self.latency = latency
        self.cache = cache
        self.explicit_loads = not cache.loads_on_demand  # a miss then costs only a round trip
        self.front_end_count = instance.count
        zone = instance.zone if costs.cross_zone > 0 and self.explicit_loads else None
        self.scope = CandidateScope(cell, zone)
        self.demand_estimator = DemandEstimator(latency, cache, since)
        self.active_workers = ActiveWorkers(latency)
        self.selected_workers: dict[Worker, None] = {}  # the workers that functions are placed on, in order
        self.mean_capacity = 1.0  # load that this front end may put on an active worker, on average
        self.hot_utilization = inf  # utilization above which a worker is given nothing new
        self.own_share = 1.0  # this front end's share of the workers' load

    def ranking(self, function: Function) -> list[Worker]:
        """Returns the workers in scope in the function's order, which all front ends agree on."""
        candidates = self.scope.candidates
        if function.ranked_from is not candidates:
            function.ranking, function.ranked_from = candidates.ranked(function), candidates
        return function.ranking

    def run(self, cells: list[Cell], now: float) -> None:
        """Places all functions requested within the idle timeout, in descending order of demand."""
        used = self._functions_in_use(now)
        self._update_estimates(used, cells, now)
        this_pass = self._begin_pass(used, now)
        for function in sorted(this_pass.demand, key=lambda used: (-this_pass.demand[used], used.name)):
            self._place(function, this_pass, now)

    def _functions_in_use(self, now: float) -> list[Function]:
        requested = self.cell.functions_requested_since(now - self.cache.idle_timeout)
        return [function for function in requested if function.verified or self.explicit_loads]

    def _update_estimates(self, used: list[Function], cells: list[Cell], now: float) -> None:
        request_count = sum(len(function.request_times) for function in used)
        work = sum(len(function.request_times) * self.latency.usual_work(function) for function in used)
        self.latency.update_estimates(self.cell, cells, work / max(1, request_count), now)

    # ---- inputs of a pass ----

    def _begin_pass(self, used: list[Function], now: float) -> PlacementPass:
        workers = self.scope.update(now)
        own_demand = {function: self.demand_estimator.own_demand(function, now) for function in used}
        own_total = sum(own_demand.values())
        share = self._share(workers, own_total)
        cores_per_request = self._cores_per_request(workers, own_total, share)
        fleet_demand = {
            function: max(self.demand_estimator.fleet_demand(function, load, share), load)
            for function, load in own_demand.items()
        }
        demand = {function: load * cores_per_request * share for function, load in fleet_demand.items()}
        memory = {function: function.memory * load / fleet_demand[function] for function, load in own_demand.items()}
        healthy = [worker for worker in workers if not worker.ejections] or workers
        self._select_active(workers, healthy, own_total * cores_per_request / share, sum(memory.values()))
        capacity = self._capacity(healthy, sum(demand.values()), share)
        self.own_share = share
        self.mean_capacity = max(MIN_CAPACITY, mean([capacity[worker] for worker in self.selected_workers], 1.0))
        return PlacementPass(
            own_demand=own_demand,
            fleet_demand=fleet_demand,
            demand=demand,
            memory=memory,
            share=share,
            capacity=capacity,
            free_capacity=dict(capacity),
            free_memory={worker: worker.memory_budget for worker in healthy},
            kept_workers=self._kept_workers(demand, share, now),
        )

    def _share(self, workers: list[Worker], own_total: float) -> float:
        """Returns this front end's share of the workers' load; close to an even share where there are few reports."""
        even = min(1.0, len(self.cell.ready_workers) / len(workers) / self.front_end_count)
        return self.demand_estimator.own_share(workers, own_total, even)

    def _cores_per_request(self, workers: list[Worker], own_total: float, share: float) -> float:
        """Returns busy cores per request in flight: contention prolongs requests, but uses no more cores."""
        reported = mean([worker.utilization for worker in workers if worker.load_reports], 0.0)
        busy_cores = reported * sum(map(self.latency.cores, workers)) * share
        return busy_cores / own_total if busy_cores and own_total else 1.0

    def _select_active(self, workers: list[Worker], healthy: list[Worker], load: float, memory: float) -> None:
        selected = self.active_workers.select(workers, load, memory)
        active = [worker for worker in selected if not worker.ejections] or healthy
        self.selected_workers = dict.fromkeys(active)
        reported = mean([worker.utilization for worker in active if worker.load_reports], 0.0)
        self.hot_utilization = max(MIN_HOT_UTILIZATION, HOT_UTILIZATION_FACTOR * reported)

    def _capacity(self, healthy: list[Worker], demand: float, share: float) -> dict[Worker, float]:
        """Returns the load that this front end may put on each worker.

        This is an even share of its demand with some slack, or its share of the worker's cores if that is larger.
        """
        relative = self.active_workers.capacity
        even = FAIR_SHARE_SLACK * demand / sum(relative[worker] for worker in self.selected_workers)
        return {
            worker: max(even * relative[worker], FILL_UTILIZATION * share * self.latency.cores(worker))
            for worker in healthy
        }

    def _kept_workers(self, demand: dict[Function, float], share: float, now: float) -> dict[Function, list[Worker]]:
        keep_for = MIN_ASSIGNMENT_TIME / max(1 - share, MIN_CAPACITY)  # a single front end keeps its workers
        return {
            function: [
                replica.worker
                for replica in function.replicas
                if replica.is_placed and replica.worker in self.selected_workers
            ]
            for function in demand
            if now - function.placed_at < keep_for
        }

    # ---- placing one function ----

    def _place(self, function: Function, this_pass: PlacementPass, now: float) -> None:
        kept = this_pass.kept_workers.get(function, [])
        chosen = self.choose_workers(function, this_pass.demand[function], kept, this_pass)
        replicas = self._replicas_needed(function, this_pass, len(chosen))
        if function not in this_pass.kept_workers:
            function.placed_at = now
        this_pass.reserve(function, chosen, replicas)
        for worker in chosen:
            replica_of(function, worker)
        kept_by_others = self._other_front_ends_requests(function, this_pass, len(chosen)) > MIN_REQUESTS_KEEPING_LOADED
        for replica in function.replicas:
            # Where attempts may miss, one replica is wanted: more would use up the few prewarms that the quota allows,
            # and workers add replicas themselves as concurrency is used up. Where they do not, requests queue.
            replica.is_placed = replica.worker in chosen
            replica.wanted_replicas = 1 if self.explicit_loads else replicas
            if replica.is_placed and kept_by_others:
                self._assume_kept_loaded(replica, now)

    def _replicas_needed(self, function: Function, this_pass: PlacementPass, workers: int) -> int:
        """Returns the replicas on each of `workers` workers that the fleet's requests need, with some headroom."""
        concurrency = this_pass.demand[function] / workers / this_pass.share
        return max(1, ceil((concurrency + HEADROOM * sqrt(concurrency)) / function.concurrency))

    def _other_front_ends_requests(self, function: Function, this_pass: PlacementPass, workers: int) -> float:
        """Returns the requests of other front ends that each of `workers` workers receives within an idle timeout."""
        others_demand = this_pass.fleet_demand[function] - this_pass.own_demand[function]
        return others_demand / self.latency.usual_work(function) * self.cache.idle_timeout / workers

    def _assume_kept_loaded(self, replica: Replica, now: float) -> None:
        """Assumes that other front ends' requests keep the replica loaded, unless own attempts showed otherwise."""
        if self.explicit_loads:
            likely_loaded = now - replica.last_miss > self.latency.load_time(replica.function)
        else:
            likely_loaded = bool(replica.last_used)
        if likely_loaded and replica.worker.memory_short_until <= now:
            replica.loaded_replicas = max(1, replica.loaded_replicas)
            replica.last_used = now

    def choose_workers(
        self, function: Function, load: float, kept: list[Worker], this_pass: PlacementPass
    ) -> list[Worker]:
        """Returns the workers for `load` of the function: those of `kept` with capacity, then others by its ranking.

        Where no worker has free capacity, the function stays on `kept`, or goes to the worker with the most free
        capacity of the first MAX_FALLBACK_WORKERS of its ranking.
        """
        needed = self._workers_needed(load, len(kept))
        load_each = load / needed
        chosen = [
            worker
            for worker in kept
            if this_pass.free_capacity[worker] + (KEPT_CAPACITY_FACTOR - 1) * this_pass.capacity[worker] >= load_each
        ][:needed]
        if len(chosen) == needed:
            return chosen
        ranking = [worker for worker in self.ranking(function) if worker in self.selected_workers]
        self._add_workers(chosen, needed, function, load_each, ranking, this_pass)
        if chosen or kept:
            return chosen or kept[:needed]
        return [max(ranking[:MAX_FALLBACK_WORKERS], key=this_pass.free_capacity.__getitem__)]

    def _add_workers(
        self,
        chosen: list[Worker],
        needed: int,
        function: Function,
        load_each: float,
        ranking: list[Worker],
        this_pass: PlacementPass,
    ) -> None:
        """Adds workers with free capacity until `needed` are chosen, those with free memory first."""
        # A small load hardly uses cores, and must not move back and forth between workers.
        slack = KEPT_CAPACITY_FACTOR - 1 if load_each < SMALL_LOAD * self.mean_capacity else 0.0
        short_of_memory: list[Worker] = []
        for worker in ranking:
            if worker in chosen or worker.utilization > self.hot_utilization:
                continue
            if this_pass.free_capacity[worker] + slack * this_pass.capacity[worker] < load_each:
                continue
            has_memory = this_pass.free_memory[worker] >= this_pass.memory[function]
            (chosen if has_memory else short_of_memory).append(worker)
            if len(chosen) == needed:
                break
        chosen += short_of_memory[: needed - len(chosen)]

    def _workers_needed(self, load: float, kept_count: int) -> int:
        """Returns the number of workers for `load`; at least `kept_count` while the kept workers are well utilized."""
        capacity = self.mean_capacity
        fraction = 1.0 if self.cache.reports_concurrency else MAX_CAPACITY_FRACTION
        needed = max(1, ceil(load / capacity / fraction))
        well_used = load > (kept_count - 1) * capacity * MAX_LOAD_AFTER_REMOVAL
        return max(needed, kept_count if well_used else 0)
