"""Updates the records that decisions depend on with the results of attempts and prewarms."""

from dataclasses import dataclass

from wickdyke.routing.concurrency import adapt_limit
from wickdyke.routing.in_flight import ConcurrencyLimited, GlobalConcurrency, end_activity, finish_attempt
from wickdyke.routing.inputs import AttemptFinished
from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import (
    Attempt,
    LoadNote,
    Outcome,
    Replica,
)
from wickdyke.routing.outliers import OutlierDetector
from wickdyke.routing.prewarming import PrewarmLimiter
from wickdyke.routing.selection import MAX_FULL_WAIT
from wickdyke.routing.settings import FunctionCache
from wickdyke.routing.slow_start import SlowStartGuard

MEMORY_SHORTAGE_TIME = 1000.0  # ms for which a worker is assumed to lack memory after it had none for a replica
BUDGET_GROWTH = 1.25  # factor of a worker's memory budget after a successful prewarm
BUDGET_SHRINK = 0.7  # factor of the budget after a prewarm that was rejected or failed, or when memory is short


@dataclass(slots=True)
class ResultRecorder:
    """Updates replicas, estimates and memory budgets with results."""

    cache: FunctionCache
    latency: LatencyEstimator
    slow_start: SlowStartGuard
    prewarm_limiter: PrewarmLimiter
    outliers: OutlierDetector
    global_concurrency: GlobalConcurrency

    def attempt_finished(self, attempt: Attempt, finished: AttemptFinished, now: float) -> None:
        """Records the result of an attempt that ended at `now` (ms)."""
        _, _, outcome, _, load_note, concurrent, load = finished
        worker = attempt.replica.worker
        function = attempt.request.function
        if load_note in (LoadNote.STARTED_LOAD, LoadNote.AWAITED_LOAD):
            end_activity(attempt, (worker, self.global_concurrency), now)
            attempt.expected_loaded = False
        self._adapt_limits(attempt, outcome, now)
        end_activity(attempt, (worker, self.global_concurrency), now)
        if attempt.outcome is None:
            self.global_concurrency.in_flight.remove(attempt)
        finish_attempt(attempt, outcome)
        if attempt.expected_loaded or load_note == LoadNote.ALREADY_LOADED:
            self.latency.record_attempt(attempt, outcome, now)
        if outcome == Outcome.OK:
            self._attempt_served(attempt, load_note, concurrent, now)
        elif outcome == Outcome.MISS:
            _record_miss(attempt.replica, now)
        elif outcome == Outcome.FULL:
            self._attempt_rejected(attempt.replica, concurrent, now)
        # Errors of functions that were never verified, which may not exist or may be broken, are not evidence against
        # the worker. This hides a worker that fails all functions that no other worker has served.
        is_evidence = function.verified or outcome != Outcome.ERROR
        self.outliers.record(worker, outcome if is_evidence else Outcome.MISS, now)
        self.latency.record_report(worker, load, now)

    def _adapt_limits(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        policy = attempt.request.route_policy
        timed_out = outcome == Outcome.TIMEOUT and policy is not None and policy.attempt_timeout is not None
        if not attempt.expected_loaded or not (outcome == Outcome.OK or timed_out):
            return
        pools: list[tuple[ConcurrencyLimited, int]] = [(attempt.replica.worker, attempt.active_at_worker)]
        # Next to other attempts of this front end at the worker, the latency tells only about that worker.
        if not attempt.active_at_worker:
            pools.append((self.global_concurrency, attempt.active_in_total))
        for pool, active in pools:
            if attempt.sent_at >= pool.limit_lowered_at:
                adapt_limit(pool, attempt, active, timed_out, now)

    def _attempt_served(self, attempt: Attempt, load_note: LoadNote | None, concurrent: int, now: float) -> None:
        request = attempt.request
        replica = attempt.replica
        function = request.function
        if self.cache.reports_concurrency:
            function.concurrency_samples.append((replica.worker, concurrent))
        self.slow_start.request_served(request, now)
        if (
            replica.loading_since is not None
            and load_note in (LoadNote.STARTED_LOAD, None)
            and not attempt.expected_loaded
        ):
            elapsed = now - replica.loading_since - self.latency.expected_work(request)
            self.latency.record_load(function, elapsed, load_note == LoadNote.STARTED_LOAD)
        replica.loaded_replicas = max(1, replica.loaded_replicas)
        replica.last_used = now
        replica.loading_since = None
        self.prewarm_limiter.verify(function, now)

    def _attempt_rejected(self, replica: Replica, concurrent: int, now: float) -> None:
        # Full workers answer at once, and their low latency would attract more requests, so the replica is paused. The
        # cost is capacity where the worker is full only briefly.
        function = replica.function
        worker = replica.worker
        gap = (now - function.request_times[0]) / len(function.request_times)
        pause = max(MAX_FULL_WAIT, gap * (1 - function.cell.placement.own_share))
        replica.full_until = now + min(pause, self.cache.idle_timeout / 2)
        if not concurrent and self.cache.reports_concurrency and not replica.in_flight:  # no memory for a replica
            if worker.memory_short_until <= now:
                worker.memory_budget *= BUDGET_SHRINK
            worker.memory_short_until = now + MEMORY_SHORTAGE_TIME
            replica.loaded_replicas = 0
            replica.last_used = 0.0

    def prewarm_finished(self, replica: Replica, outcome: Outcome, replicas: int, elapsed: float, now: float) -> None:
        """Records the result of a prewarm that took `elapsed` ms and left `replicas` replicas loaded."""
        worker = replica.worker
        function = replica.function
        replica.prewarm_sent_at = None
        replica.loading_since = None
        if outcome == Outcome.OK:
            self.latency.record_load(function, 0.0 if replica.loaded_replicas else elapsed)
            worker.last_answer_at = now
            replica.loaded_replicas = replicas
            replica.last_used = now
            self.prewarm_limiter.verify(function, now)
            maximum = self.cache.memory_on(worker.endpoint)
            worker.memory_budget = min(worker.memory_budget * BUDGET_GROWTH, maximum)
        elif outcome in (Outcome.FULL, Outcome.ERROR):
            replica.loaded_replicas = replicas
            replica.full_until = now + self.cache.idle_timeout / 8
            worker.memory_budget = max(worker.memory_budget * BUDGET_SHRINK, function.memory)
        else:
            self.outliers.record(worker, outcome, now)


def _record_miss(replica: Replica, now: float) -> None:
    replica.loaded_replicas = 0
    replica.loading_since = None
    replica.last_miss = now
