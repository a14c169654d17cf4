"""Dispatches open requests: forwards, queues, hedges, withdraws, rejects or fails them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from wickdyke.routing.decisions import Cancel, Decision, Fail, Forward, Reject
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.in_flight import GlobalConcurrency, active_attempts, begin_activity, begin_attempt
from wickdyke.routing.latency import (
    MAX_REPORT_AGE,
    MIN_OVERDUE,
    OVERDUE_FACTOR,
    WORKER_RECORDS,
    LatencyEstimator,
)
from wickdyke.routing.model import (
    Attempt,
    Effect,
    Function,
    Outcome,
    Replica,
    Request,
    RequestClass,
    Worker,
)
from wickdyke.routing.outliers import OutlierDetector
from wickdyke.routing.periods import TICK_INTERVAL
from wickdyke.routing.placement import FILL_UTILIZATION
from wickdyke.routing.prewarming import Prewarmer, PrewarmLimiter, PrewarmPlan
from wickdyke.routing.process_identity import is_listed_process, may_repeat_at
from wickdyke.routing.readiness import Readiness
from wickdyke.routing.retries import (
    attempts_allowed,
    key_expires_at,
    may_attempt_at,
    may_reject,
    may_wait,
    must_begin_before,
    within_retry_budget,
)
from wickdyke.routing.selection import ReplicaSelector
from wickdyke.routing.settings import AttemptLimits, FunctionCache
from wickdyke.routing.slow_start import SlowStartGuard

MIN_TIME_FOR_ATTEMPT = 2 * TICK_INTERVAL  # ms that must remain until a request's deadline for another attempt
RETRY_INTERVAL = 3 * TICK_INTERVAL  # ms between searches for a worker for a retry
LATE_FACTOR = 1.5  # a request counts as late where its expected latency times this exceeds its objective


class RequestKind(NamedTuple):
    """What a replica search depends on: requests of the same kind find the same replicas."""

    function: Function
    request_class: RequestClass
    is_first_attempt: bool


@dataclass(slots=True)
class Dispatcher:
    """Owns the open requests and appends decisions on them to `decisions`."""

    limits: AttemptLimits
    cache: FunctionCache
    latency: LatencyEstimator
    slow_start: SlowStartGuard
    prewarm_limiter: PrewarmLimiter
    prewarmer: Prewarmer
    selector: ReplicaSelector
    readiness: Readiness
    outliers: OutlierDetector
    fleet: Fleet
    global_concurrency: GlobalConcurrency
    decisions: deque[Decision]
    requests: dict[int, Request] = field(default_factory=dict)
    dispatch_queue: deque[Request] = field(default_factory=deque)  # requests to dispatch now
    waiting_requests: list[Request] = field(default_factory=list)  # requests to dispatch again at the next tick
    unplaceable: set[RequestKind] = field(default_factory=set)  # kinds for which no replica was found at this time

    def open(self, request: Request) -> None:
        """Adds a new request."""
        self.requests[request.ident] = request
        self.dispatch_queue.append(request)

    def attempt_failed(self, request: Request) -> None:
        """Queues a request for dispatch after one of its attempts ended without a final answer."""
        if not request.queued:
            request.queued = True
            self.dispatch_queue.append(request)

    def retry_waiting(self, rank: Callable[[Request], tuple[float, float]]) -> None:
        """Queues all waiting requests for dispatch, in ascending order of `rank`."""
        self.waiting_requests.sort(key=rank)
        self.dispatch_queue.extend(self.waiting_requests)
        self.waiting_requests = []

    def close(self, request: Request) -> None:
        """Closes a request that is answered or whose client is gone, and cancels its attempts in flight."""
        request.closed = True
        in_flight = [attempt for attempt in request.attempts if attempt.outcome is None]
        if self.limits.cancel:
            self.decisions.extend(map(Cancel, in_flight))
        if not in_flight:
            self.requests.pop(request.ident, None)
            self.fleet.request_closed(request.function)

    def dispatch(self, request: Request, now: float) -> None:
        """Forwards, queues, rejects or fails a request that has no attempt in flight."""
        request.queued = False
        if request.closed or any(attempt.outcome is None for attempt in request.attempts):
            return
        may_attempt = self._may_attempt(request, now)
        replica = None
        if may_attempt and now >= request.not_before:
            replica = self.find_replica(request, set(), now)
        if replica and self._rejected_early(replica, request, now):
            may_attempt = False
        if replica and may_attempt and self._forward_or_prewarm(replica, request, now):
            return
        if may_attempt and self._may_wait(request, now):
            self._wait(request, replica, now)
        else:
            self._give_up(request)

    def _may_attempt(self, request: Request, now: float) -> bool:
        if not request.route_policy:
            return True
        last_outcome = request.attempts[-1].outcome if request.attempts else None
        attempts_left = len(request.attempts) < attempts_allowed(request, self.limits)
        return attempts_left and within_retry_budget(request, last_outcome, now)

    # ---- finding a replica ----

    def find_replica(self, request: Request, excluded: set[Worker], now: float) -> Replica | None:
        """Returns a replica for the next attempt, not on an `excluded` worker; None where there is none now."""
        if now >= request.deadline - MIN_TIME_FOR_ATTEMPT or self._all_attempts_in_use(now):
            return None
        # With thousands of waiting requests, one search for each would take longer than a tick. A failed search
        # therefore counts for all requests of the same kind, until the next input.
        kind = RequestKind(request.function, request.request_class, not request.attempts)
        if kind in self.unplaceable:
            return None
        replica = self._choose(request, excluded, now)
        if replica is not None and not self.readiness.may_send(replica.worker, now):
            replica = self._choose_proved(replica, request, excluded, now)
        if replica is None and not request.attempts:
            self.unplaceable.add(kind)
        return replica

    def _all_attempts_in_use(self, now: float) -> bool:
        limited = not self.cache.loads_on_demand
        return limited and active_attempts(self.global_concurrency, now) >= self.global_concurrency.concurrency_limit

    def _choose(self, request: Request, excluded: set[Worker], now: float) -> Replica | None:
        can_serve = self._make_filter(request, excluded, now)
        expires_soon = key_expires_at(request) - now < self.limits.connect_timeout
        if self.outliers.network_fault or expires_soon:  # a new connection may fail, or be established too late
            idle_timeout = self.limits.idle_timeout

            def is_connected(worker: Worker) -> bool:
                return worker.last_answer_at != 0.0 and now - worker.last_answer_at < idle_timeout and can_serve(worker)

            if connected := self.selector.choose(request, is_connected, now):
                return connected
        return self.selector.choose(request, can_serve, now)

    def _choose_proved(self, preferred: Replica, request: Request, excluded: set[Worker], now: float) -> Replica | None:
        """Returns a loaded replica on a worker known as ready, or checks the `preferred` worker and returns None.

        Checking whichever worker has the lowest latency would cost a health check for almost every request.
        """
        can_serve = self._make_filter(request, excluded, now)

        def is_proved(worker: Worker) -> bool:
            return self.readiness.may_send(worker, now) and can_serve(worker)

        proved_replica = self.selector.choose_loaded(request, is_proved, now)
        if proved_replica is None:
            self.readiness.require_ready(preferred.worker, now)
        return proved_replica

    def _make_filter(self, request: Request, excluded: set[Worker], now: float) -> Callable[[Worker], bool]:
        allowed = attempts_allowed(request, self.limits)
        missed_workers = {
            attempt.replica.worker
            for attempt in request.attempts
            if attempt.outcome == Outcome.MISS
            and attempt.replica.prewarm_sent_at is None
            and not self.latency.is_loaded(attempt.replica, now)
        }

        list_expired = self.readiness.list_expired(now)

        def can_serve(worker: Worker) -> bool:
            return (
                worker not in excluded
                and worker.ejected_until <= now
                and worker.not_ready_since is None
                and (not list_expired or self.readiness.may_choose(worker, now))
                and not (worker in missed_workers and not self.prewarm_limiter.may_send(worker, False, now))
                and not (worker.ejections and (worker.in_flight or worker.failed_checks))
                and self.slow_start.admits(worker, request, now)
                and may_attempt_at(request, worker, allowed, now)
                and may_repeat_at(request, worker, self.readiness.discovery_heard_at)
            )

        return can_serve

    # ---- forwarding ----

    def _rejected_early(self, replica: Replica, request: Request, now: float) -> bool:
        """Returns whether to reject a request because its first attempt would be late at a worker that is full.

        In an overload each of many front ends sends little, and queueing at the workers makes all answers late.
        Requests are rejected needlessly where the last load report covered a short burst.
        """
        if request.attempts or self.cache.loads_on_demand or not replica.worker.load_reports:
            return False
        report = replica.worker.load_reports[-1]
        full = now - report.received_at < MAX_REPORT_AGE and (report.utilization or 0.0) >= FILL_UTILIZATION
        if not full or not self.latency.is_loaded(replica, now):
            return False
        expected = self.latency.expected_latency(replica, request, now)
        return now + LATE_FACTOR * expected > request.objective_at

    def _forward_or_prewarm(self, replica: Replica, request: Request, now: float) -> bool:
        """Forwards the request, unless it must wait for a prewarm of the replica; returns whether it was forwarded."""
        prewarmed = replica.prewarm_sent_at is not None and replica.prewarm_sent_at < now
        if (
            self.cache.loads_on_demand
            or self.latency.is_loaded(replica, now)
            or prewarmed
            or self._may_risk_miss(replica, request, now)
        ):
            if request.attempts and request.retry_budget and request.route_policy and request.route_policy.budget_terms:
                request.retry_budget.retries.append(now)
            self.forward(request, replica, now)
            return True
        if replica.prewarm_sent_at is None:  # an attempt now would miss, or could overtake the prewarm
            self.prewarmer.send(PrewarmPlan(replica, 1, False), now)
        return False

    def _may_risk_miss(self, replica: Replica, request: Request, now: float) -> bool:
        """Returns whether an attempt may be sent although the function may not be loaded on that worker.

        Otherwise each of many front ends would spend its prewarm quota on replicas that other front ends have already
        prewarmed. A miss proves that the function is not loaded, but adds latency where misses are slow.
        """
        load_time = self.latency.load_time(replica.function)
        another_left = len(request.attempts) + 1 < attempts_allowed(request, self.limits)
        tried_before = any(attempt.replica is replica for attempt in request.attempts)
        return another_left and now - replica.last_miss > load_time and not tried_before

    def forward(self, request: Request, replica: Replica, now: float) -> None:
        """Sends the next attempt to the replica."""
        worker = replica.worker
        expected_loaded = self.latency.is_loaded(replica, now)
        worker.open_records(WORKER_RECORDS)
        expected = self.latency.expected_latency(replica, request, now)
        active_at_worker = active_attempts(worker, now)
        active_in_total = active_attempts(self.global_concurrency, now)
        overdue_at = now + max(MIN_OVERDUE, OVERDUE_FACTOR * expected)
        number = len(request.attempts)
        attempt = Attempt(  # positional arguments, as keyword arguments take twice the time
            request, number, replica, now, expected, expected_loaded, active_at_worker, active_in_total, overdue_at
        )
        if request.request_class.effect == Effect.KEYED:
            attempt.begin_before = must_begin_before(request, now)
            attempt.process_changed_at = worker.process_changed_at
            attempt.to_listed_process = is_listed_process(worker, self.readiness.discovery_heard_at)
        begin_attempt(attempt)
        self.global_concurrency.in_flight.append(attempt)
        if expected_loaded:
            begin_activity(attempt, (worker, self.global_concurrency))
        self.slow_start.attempt_sent(worker, request, now)
        timeout = request.route_policy.attempt_timeout if request.route_policy else None
        self.decisions.append(Forward(request, worker, timeout))
        if expected_loaded:
            replica.last_used = now
        elif self.cache.loads_on_demand:
            replica.loading_since = replica.loading_since or now

    # ---- waiting and giving up ----

    def _may_wait(self, request: Request, now: float) -> bool:
        if now >= request.deadline - MIN_TIME_FOR_ATTEMPT or not may_wait(request):
            return False
        if len(request.attempts) >= attempts_allowed(request, self.limits):
            return False
        return not self._is_late(request, now)

    def _is_late(self, request: Request, now: float) -> bool:
        """Returns whether the usual latency exceeds the objective, or the route's queue timeout has passed."""
        usual = self.latency.expected_work(request) * self.latency.average_slowdown
        late = now + usual >= request.objective_at
        policy = request.route_policy
        if not policy:
            return late
        timeout = policy.queue_timeout
        queued_too_long = not request.attempts and timeout is not None and now - request.received_at >= timeout
        return (late and now >= request.not_before) or queued_too_long

    def _wait(self, request: Request, replica: Replica | None, now: float) -> None:
        request.queued = True
        quota_used_up = request.attempts and not replica and not self.cache.loads_on_demand
        if quota_used_up and not self.readiness.list_expired(now):
            request.not_before = max(request.not_before, now + RETRY_INTERVAL)
        self.waiting_requests.append(request)

    def _give_up(self, request: Request) -> None:
        if may_reject(request):
            usual = self.latency.expected_work(request) * self.latency.average_slowdown
            self.decisions.append(Reject(request, min(self.limits.retry_after, usual) or None))
        else:
            self.decisions.append(Fail(request))
        self.close(request)

    # ---- hedging and withdrawing ----

    def hedge(self, request: Request, now: float) -> None:
        """Sends another attempt while the last one is unanswered, if the route's policy and hedge tokens allow.

        This guards against workers that are slow or lose answers; under load it doubles the work. The first answer
        counts, and the other attempts are cancelled.
        """
        hedging = request.route_policy.hedge if request.route_policy else None
        budget = request.retry_budget
        if hedging is None or budget is None or not self.limits.hedging or budget.hedge_tokens < 1:
            return
        in_flight = [attempt for attempt in request.attempts if attempt.outcome is None]
        if request.closed or not 0 < len(in_flight) < hedging.max_in_flight:
            return
        if now - in_flight[-1].sent_at < hedging.after:
            return
        if replica := self.find_replica(request, {attempt.replica.worker for attempt in in_flight}, now):
            budget.hedge_tokens -= 1
            self.forward(request, replica, now)

    def withdraw_from(self, worker: Worker, now: float) -> None:
        """Cancels the unanswered attempts at an ejected worker that another worker may serve.

        Otherwise a request would use up its time at a worker that hangs. A worker may continue the work after a
        cancel, so that it is done twice: attempts stay where a worker is only slow and answers other requests.
        """
        if not self.limits.cancel or worker.ejected_until <= now:
            return
        for attempt in worker.in_flight:
            if self._may_withdraw(attempt, worker, now):
                attempt.withdrawn = True
                self.decisions.append(Cancel(attempt))

    def _may_withdraw(self, attempt: Attempt, worker: Worker, now: float) -> bool:
        request = attempt.request
        if request.closed or attempt.withdrawn or request.request_class.effect != Effect.IDEMPOTENT:
            return False
        if len(request.attempts) >= attempts_allowed(request, self.limits):
            return False
        if worker.last_answer_at > attempt.sent_at or not within_retry_budget(request, Outcome.CANCELLED, now):
            return False
        withdrawn_from = {other.replica.worker for other in request.attempts if other.withdrawn} | {worker}
        return any(other.ejected_until <= now for other in self.fleet.ready_workers(withdrawn_from))
