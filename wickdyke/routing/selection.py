"""Which replica an attempt goes to: the placed worker of lowest latency, else one that all front ends agree on."""

from collections.abc import Callable, Iterable
from itertools import islice

from wickdyke.routing.active_workers import TARGET_UTILIZATION
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.model import Effect, Function, Outcome, Replica, Request, Worker, active_attempts, replica_of
from wickdyke.routing.outliers import OutlierDetector
from wickdyke.routing.placement import Placement
from wickdyke.routing.ranking import rendezvous_rank
from wickdyke.routing.seeded_random import SeededRandom

TIE = 0.02  # part by which latencies that count as equal differ
TIE_STEPS = 99
FULL_WAIT = 250.0  # ms for which a full replica is waited for
FIRST_CHOICES = 5  # agreed workers that a new function's first request may go to
WORKERS_LOOKED_AT = 8  # of each ranking, for one request
FURTHER_CELLS = 2  # that a function may use beside its home

CanServe = Callable[[Worker], bool]


def has_memory_for(worker: Worker, function: Function, placement: Placement, now: float) -> bool:
    """Whether the worker is believed to have memory for one more replica.

    With memory short each load pushes out another, and requests ask in vain. That misleads where full answers have
    another cause; loaded replicas are used anyway.
    """
    memory = placement.cache.memory_on(worker.endpoint)
    if worker.memory_short_until > now:
        return False
    return not memory or worker.pinned_memory() * memory + function.memory <= memory


class ReplicaSelector:
    """Chooses a replica for a request's next attempt."""

    def __init__(self, fleet: Fleet, outliers: OutlierDetector, random: SeededRandom) -> None:
        self.fleet, self.outliers, self.random = fleet, outliers, random

    def choose(self, request: Request, can_serve: CanServe, now: float) -> Replica | None:
        """The replica, new if need be; None where the request has to wait. `can_serve` tells of each worker."""
        function = request.function
        placement = self.fleet.home_of(function).placement
        if trial := self._ejected_worker_to_try(request, placement, can_serve):
            return replica_of(function, trial)
        withdrawn_from = {each.replica.worker for each in request.attempts if each.withdrawn}
        usable = [each for each in function.replicas if each.worker not in withdrawn_from and can_serve(each.worker)]
        if replica := self._best_known(request, usable, placement, now):
            return replica
        loaded_but_full = [
            each for each in usable if placement.latency.is_loaded(each, now) and each.full_until <= now + FULL_WAIT
        ]
        if loaded_but_full and (placement.explicit_loads or any(_below_limit(e.worker, now) for e in loaded_but_full)):
            return None  # a load elsewhere would come too late and crowd the package store
        can_take_new = self._taker(function, placement, bool(loaded_but_full), withdrawn_from, can_serve, now)
        return self._new_replica(request, placement, can_take_new)

    def _ejected_worker_to_try(self, request: Request, placement: Placement, can_serve: CanServe) -> Worker | None:
        """An ejected worker of the function's home, whose time is up: one request tries it."""
        if request.attempts or request.request_class.effect != Effect.IDEMPOTENT:
            return None
        members = placement.cell.members
        trial = [w for w in self.outliers.ejected if w.endpoint.ident in members and can_serve(w)]
        return min(trial, key=lambda worker: rendezvous_rank(request.function, worker), default=None)

    def _best_known(self, request: Request, usable: list[Replica], placement: Placement, now: float) -> Replica | None:
        tried = _tried(request, placement)
        known = [each for each in usable if _has_capacity(each, now)]
        loaded = [each for each in known if placement.latency.is_loaded(each, now)]
        untried = [each for each in loaded if each.worker not in tried]
        placed = [each for each in untried if each.placed]
        for group in (placed, untried, loaded):
            if group:
                return self._lowest_latency(request, group, placement, now)
        coming = [
            each
            for each in known
            if each.loading_since is not None
            or each.placed
            and has_memory_for(each.worker, request.function, placement, now)
        ]
        if not coming:
            return None
        if placement.explicit_loads and all(each.loading_since is None for each in coming):
            # After misses each front end would load a replica elsewhere, and memory would fill: so the first by rank.
            # That hurts where that worker is crowded, until the replica is loaded.
            return min(coming, key=lambda each: rendezvous_rank(request.function, each.worker))
        return self._lowest_latency(request, coming, placement, now)

    def _lowest_latency(self, request: Request, group: Iterable[Replica], placement: Placement, now: float) -> Replica:
        def latency(replica: Replica) -> float:
            expected = placement.latency.expected_latency(replica, request, now)
            return expected * (1 + TIE * self.random.below(TIE_STEPS) / TIE_STEPS)

        return min(group, key=latency)

    def _taker(
        self,
        function: Function,
        placement: Placement,
        loaded_but_full: bool,
        withdrawn_from: set[Worker],
        can_serve: CanServe,
        now: float,
    ) -> CanServe:
        def can_take_new(worker: Worker) -> bool:
            return (
                worker not in withdrawn_from
                and can_serve(worker)
                and _below_limit(worker, now)
                and has_memory_for(worker, function, placement, now)
                and not (loaded_but_full and worker.utilization > TARGET_UTILIZATION)
            )

        return can_take_new

    def _new_replica(self, request: Request, placement: Placement, can_take_new: CanServe) -> Replica | None:
        """A replica at a worker that can take one: at active workers before others, at home before the next cells.

        A function whose only home is slow and at its limit would be rejected while other workers idle. That hurts
        where the crowding is over sooner than a load.
        """
        function = request.function
        for cell in self.fleet.near(function, 1 + FURTHER_CELLS):
            ranking, active = cell.placement.ranking(function), cell.placement.active
            for pool in ((worker for worker in ranking if worker in active), ranking):
                free = [worker for worker in islice(pool, WORKERS_LOOKED_AT) if can_take_new(worker)]
                if free:
                    return replica_of(function, self._pick(request, placement, free))
        return None

    def _pick(self, request: Request, placement: Placement, free: list[Worker]) -> Worker:
        # Until its first placement each of hundreds of front ends would go to the same agreed worker, as it would at a
        # start of all at once. That hurts functions which few call: they may be loaded at several.
        is_new = not (request.attempts or request.function.replicas)
        tried = _tried(request, placement)
        untried = [worker for worker in free if worker not in tried] or free
        if placement.explicit_loads and is_new:
            return untried[self.random.below(min(FIRST_CHOICES, len(untried)))]
        return untried[0]


def _tried(request: Request, placement: Placement) -> set[Worker]:
    """Workers not to be tried again; one that only missed may have been prewarmed since."""
    return {
        attempt.replica.worker
        for attempt in request.attempts
        if attempt.outcome != Outcome.MISS or not placement.explicit_loads
    }


def _below_limit(worker: Worker, now: float) -> bool:
    return active_attempts(worker, now) < worker.concurrency_limit


def _has_capacity(replica: Replica, now: float) -> bool:
    return replica.full_until <= now and _below_limit(replica.worker, now) and replica.in_flight < replica.concurrency()
