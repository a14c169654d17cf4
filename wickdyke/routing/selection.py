"""Selects the replica for an attempt: the placed one of lowest latency, else a worker that all front ends agree on."""

from collections.abc import Callable, Iterable
from itertools import islice

from wickdyke.routing.active_workers import TARGET_UTILIZATION
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.in_flight import active_attempts
from wickdyke.routing.model import (
    Effect,
    Function,
    Outcome,
    Replica,
    Request,
    Worker,
)
from wickdyke.routing.outliers import OutlierDetector
from wickdyke.routing.placement import Placement
from wickdyke.routing.ranking import rendezvous_rank
from wickdyke.routing.replicas import replica_of
from wickdyke.routing.seeded_random import SeededRandom

TIE_FRACTION = 0.02  # relative difference of latencies below which they count as equal
TIE_STEPS = 99  # values of the random number that breaks ties
MAX_FULL_WAIT = 250.0  # ms for which a request waits for capacity at a full replica
MAX_FIRST_CHOICES = 5  # first workers of the ranking that a new function's first request may go to
MAX_WORKERS_COMPARED = 8  # workers of each ranking, for one request
FURTHER_CELLS = 2  # cells that a function may use in addition to its home cell

CanServe = Callable[[Worker], bool]


def has_memory_for(worker: Worker, function: Function, placement: Placement, now: float) -> bool:
    """Returns whether the worker is assumed to have memory for one more replica of the function.

    When memory is short, each load evicts another replica, whose requests then miss. The assumption is wrong where
    the worker rejected work for another reason; replicas that are already loaded are used regardless.
    """
    memory = placement.cache.memory_on(worker.endpoint)
    if worker.memory_short_until > now:
        return False
    return not memory or worker.pinned_memory() * memory + function.memory <= memory


class ReplicaSelector:
    """Selects a replica for a request's next attempt."""

    def __init__(self, fleet: Fleet, outliers: OutlierDetector, random: SeededRandom) -> None:
        """Creates a selector among the workers of `fleet`; `random` breaks ties."""
        self.fleet = fleet
        self.outliers = outliers
        self.random = random

    def choose(self, request: Request, can_serve: CanServe, now: float) -> Replica | None:
        """Returns a replica, new if necessary, on a worker that `can_serve`; None where the request has to wait."""
        function = request.function
        placement = self.fleet.home_of(function).placement
        if recovering_worker := self._recovering_worker_to_try(request, placement, can_serve):
            return replica_of(function, recovering_worker)
        withdrawn_from = _withdrawn_from(request)
        usable_replicas = _usable_replicas(request, withdrawn_from, can_serve)
        if replica := self._best_existing(request, usable_replicas, placement, now):
            return replica
        loaded_but_full = _loaded_but_full(usable_replicas, placement, now)
        if loaded_but_full and (placement.explicit_loads or _any_below_limit(loaded_but_full, now)):
            return None  # a load on another worker would take too long and add load on the package store

        def can_load(worker: Worker) -> bool:
            return (
                worker not in withdrawn_from
                and can_serve(worker)
                and _below_limit(worker, now)
                and has_memory_for(worker, function, placement, now)
                and not (loaded_but_full and worker.utilization > TARGET_UTILIZATION)
            )

        return self._new_replica(request, placement, can_load)

    def choose_loaded(self, request: Request, can_serve: CanServe, now: float) -> Replica | None:
        """Returns the best replica that is loaded and has capacity, on a worker that `can_serve`; None without one."""
        placement = self.fleet.home_of(request.function).placement
        usable_replicas = _usable_replicas(request, _withdrawn_from(request), can_serve)
        loaded = [replica for replica in usable_replicas if placement.latency.is_loaded(replica, now)]
        return self._best_existing(request, loaded, placement, now)

    def _recovering_worker_to_try(self, request: Request, placement: Placement, can_serve: CanServe) -> Worker | None:
        """Returns an ejected worker of the function's home cell whose ejection time is over: one request probes it."""
        if request.attempts or request.request_class.effect != Effect.IDEMPOTENT:
            return None
        members = placement.cell.members
        recovering_workers = [
            worker for worker in self.outliers.ejected if worker.endpoint.ident in members and can_serve(worker)
        ]
        return min(recovering_workers, key=lambda worker: rendezvous_rank(request.function, worker), default=None)

    def _best_existing(
        self, request: Request, usable_replicas: list[Replica], placement: Placement, now: float
    ) -> Replica | None:
        """Returns the best replica with capacity: loaded before loading, untried before tried, placed before others."""
        with_capacity = [replica for replica in usable_replicas if _has_capacity(replica, now)]
        loaded = [replica for replica in with_capacity if placement.latency.is_loaded(replica, now)]
        tried_workers = _tried_workers(request, placement)
        untried = [replica for replica in loaded if replica.worker not in tried_workers]
        placed = [replica for replica in untried if replica.is_placed]
        if candidates := placed or untried or loaded:
            return self._lowest_latency(request, candidates, placement, now)
        loading = [replica for replica in with_capacity if _is_or_may_be_loading(replica, placement, now)]
        if not loading:
            return None
        if placement.explicit_loads and all(replica.loading_since is None for replica in loading):
            # All front ends load at the worker of the lowest rank: otherwise, after misses, each would load a replica
            # at another worker and fill the memory. The cost is latency where that worker is busy, until it has loaded.
            return min(loading, key=lambda replica: rendezvous_rank(request.function, replica.worker))
        return self._lowest_latency(request, loading, placement, now)

    def _lowest_latency(
        self, request: Request, replicas: Iterable[Replica], placement: Placement, now: float
    ) -> Replica:
        def latency(replica: Replica) -> float:
            expected = placement.latency.expected_latency(replica, request, now)
            return expected * (1 + TIE_FRACTION * self.random.below(TIE_STEPS) / TIE_STEPS)

        return min(replicas, key=latency)

    def _new_replica(self, request: Request, placement: Placement, can_load: CanServe) -> Replica | None:
        """Returns a replica on a worker that can load one: active workers first, the home cell before the next cells.

        Without the next cells, requests would be rejected while the home cell is slow and at its limit and other
        workers are idle. The cost is memory where the home cell recovers before the load ends.
        """
        function = request.function
        for cell in self.fleet.nearest_cells(function, 1 + FURTHER_CELLS):
            ranking = cell.placement.ranking(function)
            active = cell.placement.selected_workers
            for workers in ((worker for worker in ranking if worker in active), ranking):
                free = [worker for worker in islice(workers, MAX_WORKERS_COMPARED) if can_load(worker)]
                if free:
                    return replica_of(function, self._choose_worker(request, placement, free))
        return None

    def _choose_worker(self, request: Request, placement: Placement, free: list[Worker]) -> Worker:
        # Before a function's first placement, hundreds of front ends would all send to the first worker of the ranking,
        # as they would when all start at once. A random choice avoids that. The cost is memory: a function with few
        # requests may be loaded on several workers.
        is_new = not (request.attempts or request.function.replicas)
        tried_workers = _tried_workers(request, placement)
        untried = [worker for worker in free if worker not in tried_workers] or free
        if placement.explicit_loads and is_new:
            return untried[self.random.below(min(MAX_FIRST_CHOICES, len(untried)))]
        return untried[0]


def _withdrawn_from(request: Request) -> set[Worker]:
    """Returns the workers from which an attempt of the request was withdrawn."""
    return {attempt.replica.worker for attempt in request.attempts if attempt.withdrawn}


def _usable_replicas(request: Request, withdrawn_from: set[Worker], can_serve: CanServe) -> list[Replica]:
    """Returns the function's replicas on workers that can serve the request."""
    return [
        replica
        for replica in request.function.replicas
        if replica.worker not in withdrawn_from and can_serve(replica.worker)
    ]


def _tried_workers(request: Request, placement: Placement) -> set[Worker]:
    """Returns the workers not to be tried again; a worker that missed may have been prewarmed in the meantime."""
    return {
        attempt.replica.worker
        for attempt in request.attempts
        if attempt.outcome != Outcome.MISS or not placement.explicit_loads
    }


def _loaded_but_full(replicas: list[Replica], placement: Placement, now: float) -> list[Replica]:
    """Returns the loaded replicas that are expected to have capacity within MAX_FULL_WAIT."""
    return [
        replica
        for replica in replicas
        if placement.latency.is_loaded(replica, now) and replica.full_until <= now + MAX_FULL_WAIT
    ]


def _is_or_may_be_loading(replica: Replica, placement: Placement, now: float) -> bool:
    if replica.loading_since is not None:
        return True
    return replica.is_placed and has_memory_for(replica.worker, replica.function, placement, now)


def _any_below_limit(replicas: list[Replica], now: float) -> bool:
    return any(_below_limit(replica.worker, now) for replica in replicas)


def _below_limit(worker: Worker, now: float) -> bool:
    return active_attempts(worker, now) < worker.concurrency_limit


def _has_capacity(replica: Replica, now: float) -> bool:
    if replica.full_until > now or not _below_limit(replica.worker, now):
        return False
    return replica.in_flight < replica.concurrency()
