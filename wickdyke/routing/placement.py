"""Places the functions of a cell on the fewest lowest-latency workers that their demand needs, within memory."""

from dataclasses import dataclass
from math import ceil, inf, sqrt

from wickdyke.routing.active_workers import ActiveWorkers, CandidateScope
from wickdyke.routing.cells import Cell
from wickdyke.routing.demand import DemandEstimator
from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import Function, Replica, Worker, replica_of
from wickdyke.routing.samples import mean
from wickdyke.routing.settings import CostWeights, FunctionCache, GatewayInstance

REPLACE_AFTER = 5000.0  # ms for which a function keeps its workers, over what is not our share
FILL_UTILIZATION = 0.7  # of its cores up to which a worker is given our part
HEADROOM = 1.5  # deviations of its concurrency that a replica keeps free
FAIR_SHARE_SLACK = 1.2  # times its even part of our load that a worker is given
KEEP_FACTOR = 1.4  # times that part that it may keep
SMALL_LOAD = 0.15  # of a worker's room: what is little used may go over it
CLOSE_LOAD = 0.75  # of the room of its workers less one, over which a function keeps them all
HOT_FACTOR = 1.2  # times the mean utilization over which a worker is given nothing new
HOT_LEAST = 0.8  # utilization that is never hot
SPREAD = 0.2  # of a worker's room that one function is to take, where nothing tells how wanted it is
FALLBACK_WORKERS = 8  # looked at where none has room
KEEPER_CALLS = 3.0  # calls of others within an idle timeout that keep a replica loaded
LEAST_ROOM = 1e-9


@dataclass(slots=True)
class PlacementPass:
    """What one pass over a cell's functions knows and uses up. Loads are lanes, memory is MB."""

    own_demand: dict[Function, float]  # by our own requests
    fleet_demand: dict[Function, float]  # by all front ends' requests
    demand: dict[Function, float]  # our part of that, as cores are busy with it
    memory: dict[Function, float]  # our part of a replica
    share: float  # our part of what the workers do
    capacity: dict[Worker, float]  # lanes that we may use of each worker
    room: dict[Worker, float]  # what is left of that
    budget: dict[Worker, float]  # MB that are left of our part
    kept: dict[Function, list[Worker]]  # workers that functions placed of late stay on


class Placement:
    """Where the functions of one cell are placed."""

    def __init__(
        self,
        cell: Cell,
        latency: LatencyEstimator,
        cache: FunctionCache,
        instance: GatewayInstance,
        costs: CostWeights,
        since: float,
    ) -> None:
        self.cell, self.latency, self.cache = cell, latency, cache
        self.explicit_loads = not cache.loads_on_demand  # an attempt that misses costs a round trip only
        self.front_ends = instance.count
        zone = instance.zone if costs.cross_zone > 0 and self.explicit_loads else None
        self.scope = CandidateScope(cell, zone)
        self.demand = DemandEstimator(latency, cache, since)
        self.pool = ActiveWorkers(latency)
        self.active: dict[Worker, None] = {}  # the workers that functions are placed on, in order
        self.mean_room = 1.0  # lanes of an active worker that we may use
        self.hot_utilization = inf  # over which a worker is given nothing new
        self.own_share = 1.0  # our part of what the workers do

    def ranking(self, function: Function) -> list[Worker]:
        """The workers in scope in the function's own order, which all front ends agree on."""
        candidates = self.scope.candidates
        if function.ranked_from is not candidates:
            function.ranking, function.ranked_from = candidates.ranked(function), candidates
        return function.ranking

    def run(self, cells: list[Cell], now: float) -> None:
        """Places all functions called within the idle timeout anew."""
        used = self._functions_in_use(now)
        self._survey(used, cells, now)
        this_pass = self._begin_pass(used, now)
        for function in sorted(this_pass.demand, key=lambda each: (-this_pass.demand[each], each.name)):
            self._place(function, this_pass, now)

    def _functions_in_use(self, now: float) -> list[Function]:
        called = self.cell.called_since(now - self.cache.idle_timeout)
        return [function for function in called if function.verified or self.explicit_loads]

    def _survey(self, used: list[Function], cells: list[Cell], now: float) -> None:
        calls = sum(len(function.recent_calls) for function in used)
        work = sum(len(function.recent_calls) * self.latency.usual_work(function) for function in used)
        self.latency.survey(self.cell, cells, work / max(1, calls), now)

    def _begin_pass(self, used: list[Function], now: float) -> PlacementPass:
        own_demand = {function: self.demand.own_lanes(function, now) for function in used}
        own = sum(own_demand.values())
        everyone, workers = len(self.cell.ready), self.scope.update(now)
        even = min(1.0, everyone / len(workers) / self.front_ends)
        share = self.demand.own_share(workers, own, even)
        scale = self._crowding(workers, own, share)
        fleet_demand = {
            function: max(self.demand.fleet_lanes(function, load, share), load) for function, load in own_demand.items()
        }
        demand = {function: load * scale * share for function, load in fleet_demand.items()}
        memory = {function: function.memory * load / fleet_demand[function] for function, load in own_demand.items()}
        well = [worker for worker in workers if not worker.ejections] or workers
        self._activate(workers, well, own * scale / share, sum(memory.values()))
        capacity = self._capacity(well, sum(demand.values()), share)
        self.own_share = share
        self.mean_room = max(LEAST_ROOM, mean([capacity[worker] for worker in self.active], 1.0))
        budget = {worker: worker.memory_budget for worker in well}
        kept = self._kept(demand, share, now)
        return PlacementPass(own_demand, fleet_demand, demand, memory, share, capacity, dict(capacity), budget, kept)

    def _crowding(self, workers: list[Worker], own: float, share: float) -> float:
        """Busy cores over busy lanes: crowding makes requests stay longer, but takes no more cores."""
        reported = mean([worker.utilization for worker in workers if worker.load_reports], 0.0)
        busy = reported * sum(map(self.latency.cores, workers)) * share
        return busy / own if busy and own else 1.0

    def _activate(self, workers: list[Worker], well: list[Worker], load: float, memory: float) -> None:
        active = self.pool.select(workers, load, memory)
        active = [worker for worker in active if not worker.ejections] or well
        self.active = dict.fromkeys(active)
        reported = mean([worker.utilization for worker in active if worker.load_reports], 0.0)
        self.hot_utilization = max(HOT_LEAST, HOT_FACTOR * reported)

    def _capacity(self, well: list[Worker], demand: float, share: float) -> dict[Worker, float]:
        capacity = self.pool.capacity
        even = FAIR_SHARE_SLACK * demand / sum(capacity[worker] for worker in self.active)
        return {
            worker: max(even * capacity[worker], FILL_UTILIZATION * share * self.latency.cores(worker))
            for worker in well
        }

    def _kept(self, demand: dict[Function, float], share: float, now: float) -> dict[Function, list[Worker]]:
        keep_for = REPLACE_AFTER / max(1 - share, LEAST_ROOM)  # a front end that is alone keeps them
        return {
            function: [each.worker for each in function.replicas if each.placed and each.worker in self.active]
            for function in demand
            if now - function.placed_at < keep_for
        }

    def _place(self, function: Function, this_pass: PlacementPass, now: float) -> None:
        demand = this_pass.demand[function]
        kept = this_pass.kept.get(function, [])
        chosen = self.choose_workers(function, demand, kept, this_pass)
        each = demand / len(chosen) / this_pass.share
        copies = max(1, ceil((each + HEADROOM * sqrt(each)) / function.concurrency))
        if function not in this_pass.kept:
            function.placed_at = now
        for worker in chosen:
            this_pass.room[worker] -= demand / len(chosen)
            this_pass.budget[worker] -= this_pass.memory[function] * copies
        others = this_pass.fleet_demand[function] - this_pass.own_demand[function]
        calls = others / self.latency.usual_work(function) * self.cache.idle_timeout / len(chosen)
        for worker in chosen:
            replica_of(function, worker)
        for replica in function.replicas:
            # Prewarming further copies would spend the few prewarms that the quota allows: where attempts ask first,
            # workers add copies themselves as concurrency is used up. Where they do not, requests queue.
            replica.placed = replica.worker in chosen
            replica.wanted = 1 if self.explicit_loads else copies
            if replica.placed and calls > KEEPER_CALLS:
                self._believe_kept(replica, now)

    def _believe_kept(self, replica: Replica, now: float) -> None:
        """Others call it often enough to keep it loaded, unless we were told otherwise."""
        if self.explicit_loads:
            believed = now - replica.last_miss > self.latency.load_time(replica.function)
        else:
            believed = bool(replica.last_used)
        if believed and replica.worker.memory_short_until <= now:
            replica.loaded, replica.last_used = max(1, replica.loaded), now

    def choose_workers(
        self, function: Function, load: float, kept: list[Worker], this_pass: PlacementPass
    ) -> list[Worker]:
        """The workers for `load` lanes of the function: those it keeps, then by its ranking those with room."""
        room, capacity = this_pass.room, this_pass.capacity
        many = self._workers_needed(load, len(kept))
        chosen = [w for w in kept if room[w] + (KEEP_FACTOR - 1) * capacity[w] >= load / many][:many]
        # What is little used fills no cores, and must not move to and fro.
        leeway = KEEP_FACTOR - 1 if load / many < SMALL_LOAD * self.mean_room else 0.0
        ranking = [] if len(chosen) == many else [w for w in self.ranking(function) if w in self.active]
        over_budget: list[Worker] = []
        for worker in ranking:
            if worker in chosen or worker.utilization > self.hot_utilization:
                continue
            if room[worker] + leeway * capacity[worker] < load / many:
                continue
            fits = this_pass.budget[worker] >= this_pass.memory[function]
            (chosen if fits else over_budget).append(worker)
            if len(chosen) == many:
                break
        chosen += over_budget[: many - len(chosen)]
        return chosen or kept[:many] or [max(ranking[:FALLBACK_WORKERS], key=room.__getitem__)]

    def _workers_needed(self, load: float, kept: int) -> int:
        room = self.mean_room
        spread = 1.0 if self.cache.reports_concurrency else SPREAD
        many = max(1, ceil(load / room / spread))
        return max(many, kept * (load > (kept - 1) * room * CLOSE_LOAD))
