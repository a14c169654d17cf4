"""The router: a deterministic state machine that takes inputs and returns decisions.

The host advances the router's time and passes inputs, which only update state. It then calls `decide` until that
returns None, and carries out the decisions. `wake_at` is the time at which the host must advance the router if there is
no earlier input.
"""

import math
from collections import deque

from wickdyke.routing.cells import Cell
from wickdyke.routing.concurrency import INITIAL_LIMIT
from wickdyke.routing.control_budget import ControlBudget
from wickdyke.routing.decisions import Decision, FollowEndpoints, LogNote
from wickdyke.routing.demand import MAX_REQUEST_TIMES
from wickdyke.routing.dispatcher import Dispatcher
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.health_checks import CHECK_INTERVAL, URGENT_CHECK_INTERVAL, HealthChecker
from wickdyke.routing.in_flight import GlobalConcurrency
from wickdyke.routing.inputs import AttemptFinished, RequestReceived, WorkerLoad
from wickdyke.routing.latency import (
    MAX_DURATION_SAMPLES,
    MAX_LOAD_REPORTS,
    MAX_OBJECTIVE_SHARES,
    LatencyEstimator,
    is_overdue,
)
from wickdyke.routing.model import (
    Attempt,
    Endpoint,
    Function,
    Outcome,
    Request,
    RequestClass,
    Worker,
)
from wickdyke.routing.outliers import MIN_EXPECTED_LATENCY, OutlierDetector
from wickdyke.routing.periods import TICK_INTERVAL
from wickdyke.routing.placement import Placement
from wickdyke.routing.placement_schedule import PlacementSchedule
from wickdyke.routing.prewarming import Prewarmer, PrewarmLimiter, PrewarmPlan
from wickdyke.routing.process_identity import is_as_decided
from wickdyke.routing.readiness import Readiness
from wickdyke.routing.results import ResultRecorder
from wickdyke.routing.retries import RetryBudgets, schedule_retry
from wickdyke.routing.samples import Recent
from wickdyke.routing.seeded_random import SeededRandom, name_hash
from wickdyke.routing.selection import ReplicaSelector
from wickdyke.routing.settings import AttemptLimits, RouterSettings
from wickdyke.routing.slow_start import SlowStartGuard

SINGLE_CELL_LIMIT = 128  # workers; a fleet of at most this size is a single cell
CELL_CAPACITY = 48  # maximum number of workers of a cell in a larger fleet
POINTS_PER_FUNCTION = 16  # points of a function on the hash ring
MAX_FUNCTIONS = 16384  # functions that the router keeps at most, whatever its settings allow
# Fraction of the functions that may be unverified. Anyone can request functions that do not exist, and these must not
# take the place of functions in use.
UNVERIFIED_FRACTION = 1 / 8
# Waiting requests up to which all of them are dispatched again at once when a worker answers a health check while the
# endpoint list is expired; more wait for the next tick.
MAX_RETRIED_ON_ANSWER = 64


class Router:
    """Makes the decisions of one front end, which depend only on its settings, seed and inputs."""

    def __init__(
        self,
        now: float,
        seed: int,
        request_classes: list[RequestClass],
        settings: RouterSettings,
    ) -> None:
        """Creates a router that starts at `now` (ms) with an empty endpoint list; `seed` fixes its random numbers."""
        instance = settings.instance
        cache = settings.function_cache
        self.now = now
        self.wake_at = now
        self.request_classes = request_classes
        self.instance = instance
        self.cache = cache
        self.function_limit = min(MAX_FUNCTIONS, settings.function_limits.maximum)
        for request_class in request_classes:
            request_class.durations = deque(maxlen=MAX_DURATION_SAMPLES)
        self.log_notes: deque[str] = deque()
        self.decisions: deque[Decision] = deque()
        self.planned_prewarms: deque[PrewarmPlan] = deque()
        self.random = SeededRandom(seed)
        self.discovery = settings.discovery
        self.following_endpoints = settings.discovery.pushed
        self.latency = LatencyEstimator(cache, instance, settings.tenant_quotas)
        self.slow_start = SlowStartGuard(settings.slow_start, instance)
        self.prewarm_limiter = PrewarmLimiter(settings.prewarm_quota, settings.attempt_limits.connect_timeout)
        self.control_budget = ControlBudget()
        self.health_checker = HealthChecker(settings.attempt_limits.health_checks, self.control_budget, self.decisions)
        self.readiness = Readiness(
            settings.discovery.drain_grace, self.slow_start, self.health_checker, self.log_notes.append
        )
        self.outliers = OutlierDetector(self.log_notes.append, self.latency, self.slow_start, self.readiness)
        self.retry_budgets = RetryBudgets()
        self.global_concurrency = GlobalConcurrency(
            load_reports=deque(maxlen=MAX_LOAD_REPORTS), objective_shares=deque(maxlen=MAX_OBJECTIVE_SHARES)
        )

        self.fleet = self._make_fleet(settings, now)
        self._assemble(settings.attempt_limits, now)

    def _make_fleet(self, settings: RouterSettings, now: float) -> Fleet:
        def make_worker(endpoint: Endpoint) -> Worker:
            memory = settings.function_cache.memory_on(endpoint) / settings.instance.count
            return Worker.from_endpoint(endpoint, memory, INITIAL_LIMIT)

        def make_placement(cell: Cell) -> Placement:
            return Placement(cell, self.latency, settings.function_cache, settings.instance, settings.cost_weights, now)

        return Fleet(SINGLE_CELL_LIMIT, CELL_CAPACITY, POINTS_PER_FUNCTION, make_worker, make_placement)

    def _assemble(self, limits: AttemptLimits, now: float) -> None:
        """Creates the components that make decisions from those that hold state."""
        cache = self.cache
        latency = self.latency
        fleet = self.fleet
        self.prewarmer = Prewarmer(
            cache, self.prewarm_limiter, self.control_budget, latency, self.decisions, self.readiness
        )
        self.results = ResultRecorder(
            cache, latency, self.slow_start, self.prewarm_limiter, self.outliers, self.global_concurrency
        )
        self.schedule = PlacementSchedule(fleet, cache, self.slow_start, self.global_concurrency, self.random, now, now)
        self.dispatcher = Dispatcher(
            limits=limits,
            cache=cache,
            latency=latency,
            slow_start=self.slow_start,
            prewarm_limiter=self.prewarm_limiter,
            prewarmer=self.prewarmer,
            selector=ReplicaSelector(fleet, self.outliers, self.random),
            readiness=self.readiness,
            outliers=self.outliers,
            fleet=fleet,
            global_concurrency=self.global_concurrency,
            decisions=self.decisions,
        )

    @property
    def workers(self) -> dict[str, Worker]:
        """Returns the listed workers by identifier."""
        return self.fleet.workers

    @property
    def functions(self) -> dict[str, Function]:
        """Returns the functions in use by name."""
        return self.fleet.functions

    @property
    def requests(self) -> dict[int, Request]:
        """Returns the requests that are open or have attempts in flight, by identifier."""
        return self.dispatcher.requests

    # ---- inputs, which only update state ----

    def advance(self, now: float) -> None:
        """Sets the router's time (ms)."""
        self.now = now
        self.dispatcher.unplaceable.clear()

    def endpoints_changed(self, endpoints: list[Endpoint], whole: bool | None) -> None:
        """Applies entries of the endpoint list.

        `whole`: True where `endpoints` is the complete list, False where it holds changed entries, and None where the
        subscription has ended and must be renewed.
        """
        if whole is None:
            self.following_endpoints = self.discovery.pushed
        changes = self.fleet.update(endpoints, bool(whole))
        for worker in changes.removed:
            self.outliers.remove_worker(worker)
            self.readiness.remove_worker(worker)
            self.prewarmer.release(worker)
            successor = self.workers.get(worker.endpoint.ident)
            self.slow_start.carry_over(worker, successor)
            if successor is not None:
                successor.process_changed_at = worker.process_changed_at
        for cell in changes.cells:
            self.health_checker.set_rotation(cell.ready_workers)
            cell.placement.scope.invalidate()  # the same workers may have new sizes
            cell.placement.scope.update(self.now)

    def process_changed(self, ident: str, at: float) -> None:
        """Records that since `at` (ms) another process may listen at the worker's address.

        `at` is infinite while no connection to it was established after all earlier ones had ended.
        """
        if worker := self.workers.get(ident):
            worker.process_changed_at = at

    def discovery_heard(self, at: float) -> None:
        """Records that the endpoint list was complete at `at` (ms); -inf where its age is unknown.

        The list never expires where the host never calls this method.
        """
        expired = self.readiness.list_expired(self.now)
        self.readiness.discovery_heard(at)
        if expired and not self.readiness.list_expired(self.now):
            self.wake_at = self.now

    def discovery_lost(self, at: float) -> None:
        """Records that the host was suspended from `at` (ms) on and is now disconnected from discovery."""
        self.readiness.discovery_lost(at)
        self.wake_at = min(self.wake_at, max(self.now, self.readiness.list_valid_until))

    def request_received(self, received: RequestReceived) -> None:
        """Opens a request, and adds its function if that is new."""
        ident, time_left, request_class, name, _, _, _, work, is_repeat, policy, waited = received
        now = self.now
        function = self.functions.get(name)
        if function is None:
            function = self._new_function(received)
        function.last_request_at = now
        function.request_times.append(now)
        self.fleet.function_requested(function)
        self.control_budget.request_received()
        self.fleet.home_of(function).requests_since_placement += 1
        wanted = policy.latency_objective if policy else request_class.latency_objective
        objective = now + min(time_left, wanted + request_class.objective_per_work * (work or 0.0))
        request = Request(ident, function, request_class, now, now + time_left, objective, work, is_repeat, policy)
        if policy:
            request.retry_budget = self.retry_budgets.request_received(policy, now)
        self.prewarm_limiter.request_received(function, now - waited, now)
        if work is not None:
            function.durations.append(work)
            request_class.durations.append(work)
        self.dispatcher.open(request)
        self.wake_at = min(self.wake_at, now + TICK_INTERVAL)

    def _new_function(self, received: RequestReceived) -> Function:
        function = Function(
            name=received.function_name,
            request_class=received.request_class,
            memory=received.memory,
            concurrency=received.concurrency,
            load_hint=received.load_hint or 0,
            request_times=Recent(MAX_REQUEST_TIMES),
            durations=Recent(MAX_DURATION_SAMPLES),
            load_times=Recent(MAX_DURATION_SAMPLES),
            concurrency_samples=Recent(MAX_DURATION_SAMPLES),
            name_hash=name_hash(received.function_name),
            last_request_at=self.now,
        )
        self.fleet.add_function(function)
        self.fleet.evict_functions(self.function_limit, int(self.function_limit * UNVERIFIED_FRACTION))
        return function

    def answer_begun(self, ident: int, number: int) -> None:
        """Closes a request whose answer's first byte was sent to the client: no other answer may follow."""
        if ident in self.requests:
            self.requests[ident].closed = True

    def attempt_finished(self, finished: AttemptFinished) -> None:
        """Records the outcome of an attempt; ignored where the request is not open or the attempt was never sent."""
        now = self.now
        request = self.requests.get(finished.ident)
        if request is None or finished.number >= len(request.attempts):
            return
        attempt = request.attempts[finished.number]
        self.results.attempt_finished(attempt, finished, now)
        self.fleet.function_used(request.function)
        if finished.outcome == Outcome.OK:
            self.readiness.work_accepted(attempt.replica.worker, attempt.sent_at)
        elif finished.outcome == Outcome.FULL:
            self.readiness.work_rejected(attempt.replica.worker, now)
        request.closed = request.closed or finished.final
        if request.route_policy and finished.outcome != Outcome.OK:
            schedule_retry(request, request.route_policy, finished.outcome, self.random, now)
        if request.closed:
            self.dispatcher.close(request)
        else:
            self.dispatcher.attempt_failed(request)

    def client_gone(self, ident: int) -> None:
        """Closes a request whose client closed its connection or cancelled the request."""
        if request := self.requests.get(ident):
            self.dispatcher.close(request)

    def prewarm_finished(
        self, worker_ident: str, name: str, outcome: Outcome, replicas: int, elapsed: float, waited: float = 0.0
    ) -> None:
        """Records the outcome of a prewarm that took `elapsed` ms and left `replicas` replicas loaded.

        `waited`: how long after its decision its first byte was sent (ms).
        """
        worker, function = self.workers.get(worker_ident), self.functions.get(name)
        replica = worker.replicas.get(function) if worker and function else None
        if replica is not None:
            if replica.prewarm_sent_at is not None:
                self.prewarm_limiter.finished(replica.prewarm_sent_at, waited)
            self.results.prewarm_finished(replica, outcome, replicas, elapsed, self.now)
            self.fleet.function_used(replica.function)
            if outcome == Outcome.FULL:
                self.readiness.work_rejected(replica.worker, self.now)

    def health_checked(
        self, ident: str, outcome: Outcome, load: WorkerLoad | None, same_process_since: float | None = None
    ) -> None:
        """Records the outcome of a health check of the worker `ident`, with the load that it reported.

        `same_process_since`: the earliest time (ms) since which the worker's connections show the same process.
        """
        worker = self.workers.get(ident)
        if worker is None:
            return
        now = self.now
        self.latency.record_report(worker, load, now)
        self.health_checker.check_finished(worker, outcome, now)
        if outcome == Outcome.UNREACHED:
            self.outliers.record(worker, outcome, now)
        elif outcome == Outcome.CONNECTION_LOST:
            self.readiness.process_ended(worker, now)
        self.readiness.check_finished(worker, outcome, same_process_since, now)
        self.wake_at = min(self.wake_at, now + TICK_INTERVAL)
        if self.readiness.list_expired(now):
            self._readiness_answered(worker, outcome)

    def _readiness_answered(self, worker: Worker, outcome: Outcome) -> None:
        """Reconsiders the prewarms and requests that may have waited for the worker's answer."""
        released_plans = self.prewarmer.release(worker)
        if self.readiness.may_send(worker, self.now):
            self.planned_prewarms.extend(released_plans)
        answered = outcome in (Outcome.OK, Outcome.NOT_READY)
        if answered and len(self.dispatcher.waiting_requests) <= MAX_RETRIED_ON_ANSWER:  # otherwise at the next tick
            self.dispatcher.retry_waiting(self._rank)

    # ---- decisions ----

    def decide(self) -> Decision | None:
        """Returns the next decision, or None where there is none at this time."""
        if self.now >= self.wake_at:
            self._tick()
        while not (self.log_notes or self.decisions):
            if self.dispatcher.dispatch_queue:
                self.dispatcher.dispatch(self.dispatcher.dispatch_queue.popleft(), self.now)
            elif self.planned_prewarms:
                self.prewarmer.send(self.planned_prewarms.popleft(), self.now)
            else:
                return None
        return LogNote(self.log_notes.popleft()) if self.log_notes else self.decisions.popleft()

    def _tick(self) -> None:
        now = self.now
        if not self.following_endpoints:
            self.following_endpoints = True
            self.decisions.append(FollowEndpoints(True))
        if self.readiness.update(now):
            self.readiness.check_workers_in_use(self.workers.values(), now)
        self._check_silent_workers(now)
        for worker in [*self.outliers.ejected, *self.readiness.not_ready]:
            self.health_checker.check(worker, CHECK_INTERVAL, now)
        self.health_checker.check_in_turn(TICK_INTERVAL, now)
        hedgeable = [attempt.request for attempt in self.global_concurrency.in_flight if attempt.request.route_policy]
        if self.retry_budgets:
            for request in dict.fromkeys(hedgeable):
                self.dispatcher.hedge(request, now)
        self.dispatcher.retry_waiting(self._rank)
        if now >= self.schedule.next_at:
            self._place(now)
        busy = self.requests or self.health_checker.unresponsive_workers
        self.wake_at = min(self.schedule.next_at, now + TICK_INTERVAL if busy else self.schedule.next_at)
        if not self.readiness.list_was_expired:
            self.wake_at = min(self.wake_at, self.readiness.list_valid_until)
        if self.readiness.not_ready:
            self.wake_at = min(self.wake_at, now + CHECK_INTERVAL)

    def may_send(self, worker: Worker, now: float, discovery_seen_at: float = math.inf) -> bool:
        """Returns whether new work may be sent to the worker at `now` (ms).

        The host checks this before it sends, which may be later than the decision to send. `discovery_seen_at` is when
        the host last saw what discovery has reported (ms): since then the worker may have been reported as draining.
        """
        return self.readiness.view_is_current(discovery_seen_at, now) and self.readiness.may_send(worker, now)

    def is_as_decided(self, attempt: Attempt, process_changed_at: float) -> bool:
        """Returns whether an attempt that begins now goes to the process that it was decided for.

        `process_changed_at` is what the host would pass to `process_changed` now.
        """
        return is_as_decided(attempt, process_changed_at)

    def _check_silent_workers(self, now: float) -> None:
        # No attempt outside this list can be overdue yet.
        suspects = [
            attempt.replica.worker
            for attempt in self.global_concurrency.in_flight
            if now - attempt.sent_at >= MIN_EXPECTED_LATENCY or attempt.replica.worker.ejections
        ]
        for worker in dict.fromkeys(suspects + self.health_checker.unresponsive_workers):
            self.dispatcher.withdraw_from(worker, now)
            if worker.ejected_until <= now and self.outliers.is_silent(worker, now):
                self.outliers.eject(worker, now, f"silent with {len(worker.in_flight)} in flight")
            oldest = worker.in_flight[0] if worker.in_flight else None
            if oldest and worker.last_answer_at <= oldest.sent_at and is_overdue(oldest, now):
                # The result decides whether the worker is ejected.
                self.health_checker.check(worker, URGENT_CHECK_INTERVAL, now)

    def _rank(self, request: Request) -> tuple[float, float]:
        """Returns the sort key of a waiting request: its route's priority, then its weight, or its weight over work."""
        priority = request.route_policy.priority if request.route_policy else 0
        work = 1 if self.instance.weight_by_work else self.latency.expected_work(request)
        return -priority, -request.request_class.priority_weight / work

    def _place(self, now: float) -> None:
        cell = self.schedule.due_cell(now)
        if cell is None or not cell.ready_workers:
            return
        cell.placement.run(list(self.fleet.cells.values()), now)
        if self.cache.may_prewarm:
            self.planned_prewarms.extend(self.prewarmer.plan(cell, now))
        # Only workers with a placed function are checked in turn: no decision depends on the reports of others.
        replicas = (replica for function in cell.functions.values() for replica in function.replicas)
        homes = {replica.worker: None for replica in replicas if replica.is_placed}
        self.health_checker.set_rotation(homes or cell.ready_workers)
