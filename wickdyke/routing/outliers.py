"""Outlier detection: temporarily ejects workers that are unreachable, fail or are silent."""

from collections import Counter
from collections.abc import Callable

from wickdyke.routing.latency import WORKER_RECORDS, LatencyEstimator
from wickdyke.routing.model import (
    Outcome,
    ResultSample,
    Worker,
)
from wickdyke.routing.readiness import Readiness
from wickdyke.routing.replicas import clear_replicas
from wickdyke.routing.slow_start import SlowStartGuard

FIRST_EJECTION_TIME = 1500.0  # ms, doubled at each ejection
MAX_EJECTION_TIME = 4000.0  # ms
MIN_FAILURES = 3  # recent failures from which a worker may be ejected
FAILURE_SHARE = 0.5  # fraction of the recent results that failures must exceed to eject a worker
MAX_RESULT_AGE = 5000.0  # ms for which a result counts
NETWORK_FAULT_SHARE = 0.25  # fraction of recent workers; more unreached ones without a lost connection: network fault
# Silence is measured in multiples of the expected latency.
SILENCE_THRESHOLD = 26.0  # silence, summed over all attempts, from which a worker counts as silent
MAX_SILENCE_PER_ATTEMPT = 6.0
SILENCE_PER_FAILED_CHECK = 9.0
MIN_EXPECTED_LATENCY = 80.0  # ms; lower bound of the expected latency by which silence is divided
SILENT_LOAD_TIMES = 2  # load times without an answer after which an ejected worker counts as silent again
ANSWERED_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS})  # the worker sent an answer
REACHABILITY_OUTCOMES = ANSWERED_OUTCOMES | {Outcome.UNREACHED, Outcome.CONNECTION_LOST}
RESULT_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHED})
FAILURE_OUTCOMES = frozenset({Outcome.ERROR, Outcome.CONNECTION_LOST})


class OutlierDetector:
    """Ejects workers, and readmits them once they answer successfully."""

    def __init__(
        self,
        log_note: Callable[[str], None],
        latency: LatencyEstimator,
        slow_start: SlowStartGuard,
        readiness: Readiness,
    ) -> None:
        """Creates a detector without ejected workers; `log_note` writes a line to the log."""
        self.log_note = log_note
        self.latency = latency
        self.slow_start = slow_start
        self.readiness = readiness
        self.ejected: dict[Worker, None] = {}
        self.last_outcomes: dict[Worker, tuple[float, Outcome]] = {}  # time (ms) and outcome, of recent workers
        self.network_fault = False

    def remove_worker(self, worker: Worker) -> None:
        """Removes a worker that is no longer listed."""
        self.ejected.pop(worker, None)
        self.last_outcomes.pop(worker, None)

    def record(self, worker: Worker, outcome: Outcome, now: float) -> None:
        """Records the outcome of an attempt, a prewarm or a health check at a worker."""
        worker.open_records(WORKER_RECORDS)
        if outcome in REACHABILITY_OUTCOMES:
            self.last_outcomes[worker] = now, outcome
        unreached = outcome == Outcome.UNREACHED
        if (unreached or self.network_fault) and self._detect_network_fault(now) and unreached:
            worker.ejected_until = now + MAX_EJECTION_TIME
            return
        if unreached or outcome == Outcome.CONNECTION_LOST:
            # The worker has probably restarted with nothing loaded, which the endpoint list shows only later. The
            # assumption is wrong after a network interruption.
            clear_replicas(worker)
            self.slow_start.connection_lost(worker, now)
            self.readiness.process_ended(worker, now)
        if outcome in ANSWERED_OUTCOMES:
            worker.last_answer_at = now
            worker.failed_checks = 0
        self._readmit(worker, outcome, now)
        self._eject_if_failing(worker, outcome, now)

    def _readmit(self, worker: Worker, outcome: Outcome, now: float) -> None:
        # An answer during the ejection may belong to an attempt that was sent before it.
        if outcome == Outcome.OK and worker.ejections and worker.ejected_until <= now:
            worker.ejections -= 1
            if not worker.ejections:
                self.ejected.pop(worker, None)
                self.log_note(f"worker {worker.endpoint.ident} answers again")

    def _eject_if_failing(self, worker: Worker, outcome: Outcome, now: float) -> None:
        if outcome in RESULT_OUTCOMES:
            worker.recent_results.append(ResultSample(now, outcome == Outcome.OK))
        recent = [result.succeeded for result in worker.recent_results if now - result.at < MAX_RESULT_AGE]
        failures = recent.count(False)
        if worker.ejected_until > now:
            return
        fails_often = failures >= MIN_FAILURES and failures > FAILURE_SHARE * len(recent)
        fails_again = failures > 0 and worker.ejections > 0
        failing = outcome in FAILURE_OUTCOMES and (fails_often or fails_again)
        if outcome == Outcome.UNREACHED or failing:
            self.eject(worker, now, f"{outcome}, {failures} of {len(recent)} bad")

    def _detect_network_fault(self, now: float) -> bool:
        """Returns whether new connections fail widely while none is lost: a fault of the network, not of the workers.

        If such failures were taken for restarts, all state of the workers would be dropped. The conclusion is wrong
        where many workers disappear at once.
        """
        self.last_outcomes = {
            worker: (at, outcome) for worker, (at, outcome) in self.last_outcomes.items() if now - at < MAX_RESULT_AGE
        }
        counts = Counter(outcome for _, outcome in self.last_outcomes.values())
        unreached = counts[Outcome.UNREACHED]
        fault_starts = unreached >= MIN_FAILURES and unreached > NETWORK_FAULT_SHARE * len(self.last_outcomes)
        fault_persists = self.network_fault and unreached > 0  # until no recent worker is unreached
        fault = not counts[Outcome.CONNECTION_LOST] and (fault_starts or fault_persists)
        if fault != self.network_fault:
            state = "fail" if fault else "work"
            self.log_note(f"new connections {state}: {unreached} of {len(self.last_outcomes)}")
        if fault:
            self._readmit_unreached()
        self.network_fault = fault
        return fault

    def _readmit_unreached(self) -> None:
        for worker in list(self.ejected):
            last = self.last_outcomes.get(worker)
            if last is not None and last[1] == Outcome.UNREACHED:
                del self.ejected[worker]
                worker.ejections = 0
                worker.warming_since = worker.endpoint.started_at

    def is_silent(self, worker: Worker, now: float) -> bool:
        """Returns whether the worker has left attempts and health checks unanswered for far longer than expected."""
        if worker.ejections:  # allows for loads: replicas may have been evicted in the meantime
            return any(
                now - attempt.sent_at > SILENT_LOAD_TIMES * self.latency.load_time(attempt.request.function)
                for attempt in worker.in_flight
            )
        unanswered = [
            attempt
            for attempt in worker.in_flight
            if worker.last_answer_at <= attempt.sent_at and attempt.expected_loaded
        ]
        silences = (
            (now - attempt.sent_at) / max(attempt.expected_latency, MIN_EXPECTED_LATENCY) for attempt in unanswered
        )
        failed_checks = SILENCE_PER_FAILED_CHECK * worker.failed_checks
        return failed_checks + sum(min(MAX_SILENCE_PER_ATTEMPT, silence) for silence in silences) >= SILENCE_THRESHOLD

    def eject(self, worker: Worker, now: float, reason: str) -> None:
        """Ejects the worker for a time that doubles with each ejection, up to MAX_EJECTION_TIME; logs `reason`."""
        worker.ejected_until = now + min(MAX_EJECTION_TIME, FIRST_EJECTION_TIME * 2**worker.ejections)
        worker.ejections += 1
        self.ejected[worker] = None
        self.log_note(f"worker {worker.endpoint.ident} ejected for {worker.ejected_until - now:.0f} ms: {reason}")
