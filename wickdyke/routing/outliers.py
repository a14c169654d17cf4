"""Outlier detection: which workers are sent nothing for a while, by symptom: unreachable, failing or silent."""

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

FIRST_EJECTION_TIME = 1500.0  # ms, doubled each time
MAX_EJECTION_TIME = 4000.0  # ms
MIN_FAILURES = 3  # failures that eject a worker
FAILURE_SHARE = 0.5  # part of the results above which failures eject it
MAX_RESULT_AGE = 5000.0  # ms for which a result counts
NETWORK_FAULT_SHARE = 0.25  # of the recent workers unreached, and no connection lost: it is the network
SILENCE_THRESHOLD = 26.0  # expected latencies of silence, over all attempts, from which a worker counts as silent
MAX_SILENCE_PER_ATTEMPT = 6.0  # expected latencies
SILENCE_PER_FAILED_CHECK = 9.0  # expected latencies
MIN_EXPECTED_LATENCY = 80.0  # ms
SILENT_LOAD_TIMES = 2  # load times after which an ejected worker counts as silent again
ANSWERED_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS})  # the worker answered
REACHABILITY_OUTCOMES = ANSWERED_OUTCOMES | {Outcome.UNREACHED, Outcome.CONNECTION_LOST}
RESULT_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHED})
FAILURE_OUTCOMES = frozenset({Outcome.ERROR, Outcome.CONNECTION_LOST})


class OutlierDetector:
    """Ejects workers, and readmits them once they answer."""

    def __init__(
        self,
        log_note: Callable[[str], None],
        latency: LatencyEstimator,
        slow_start: SlowStartGuard,
        readiness: Readiness,
    ) -> None:
        """A detector without ejected workers; `log_note` writes a line to the log."""
        self.log_note = log_note
        self.latency = latency
        self.slow_start = slow_start
        self.readiness = readiness
        self.ejected: dict[Worker, None] = {}
        self.last_outcomes: dict[Worker, tuple[float, Outcome]] = {}  # of recent workers, with their time (ms)
        self.network_fault = False

    def forget(self, worker: Worker) -> None:
        """Drops a worker that is no longer listed."""
        self.ejected.pop(worker, None)
        self.last_outcomes.pop(worker, None)

    def record(self, worker: Worker, outcome: Outcome, now: float) -> None:
        """Enters how an attempt, a prewarm or a health check ended at a worker."""
        worker.open_records(WORKER_RECORDS)
        if outcome in REACHABILITY_OUTCOMES:
            self.last_outcomes[worker] = now, outcome
        unreached = outcome == Outcome.UNREACHED
        if (unreached or self.network_fault) and self._detect_network_fault(now) and unreached:
            worker.ejected_until = now + MAX_EJECTION_TIME
            return
        if unreached or outcome == Outcome.CONNECTION_LOST:
            # The list shows only later that a worker has restarted, with nothing loaded. After a break of the network
            # this is wrong.
            clear_replicas(worker)
            self.slow_start.connection_lost(worker, now)
            self.readiness.process_ended(worker, now)
        if outcome in ANSWERED_OUTCOMES:
            worker.last_answer_at = now
            worker.failed_checks = 0
        self._readmit(worker, outcome, now)
        self._eject_if_failing(worker, outcome, now)

    def _readmit(self, worker: Worker, outcome: Outcome, now: float) -> None:
        if outcome == Outcome.OK and worker.ejections and worker.ejected_until <= now:  # not one sent before
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
        often = failures >= MIN_FAILURES and failures > FAILURE_SHARE * len(recent)
        again = failures > 0 and worker.ejections > 0
        failing = outcome in FAILURE_OUTCOMES and (often or again)
        if outcome == Outcome.UNREACHED or failing:
            self.eject(worker, now, f"{outcome}, {failures} of {len(recent)} bad")

    def _detect_network_fault(self, now: float) -> bool:
        """Whether new connections fail everywhere while none is lost: a fault of the network, not of the workers.

        If it were taken for restarts, all state of the workers would be dropped. The conclusion is wrong where many
        workers vanish at once.
        """
        self.last_outcomes = {
            worker: (at, outcome) for worker, (at, outcome) in self.last_outcomes.items() if now - at < MAX_RESULT_AGE
        }
        counts = Counter(outcome for _, outcome in self.last_outcomes.values())
        unreached = counts[Outcome.UNREACHED]
        begins = unreached >= MIN_FAILURES and unreached > NETWORK_FAULT_SHARE * len(self.last_outcomes)
        continues = self.network_fault and unreached > 0  # until all are reached
        fault = not counts[Outcome.CONNECTION_LOST] and (begins or continues)
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
        """Whether it has answered nothing for far longer than expected."""
        if worker.ejections:  # a replica pushed out of memory would have loaded again
            return any(
                now - attempt.sent_at > SILENT_LOAD_TIMES * self.latency.load_time(attempt.request.function)
                for attempt in worker.in_flight
            )
        unanswered = [
            attempt for attempt in worker.in_flight if worker.last_answer_at <= attempt.sent_at and attempt.warm
        ]
        silences = (
            (now - attempt.sent_at) / max(attempt.expected_latency, MIN_EXPECTED_LATENCY) for attempt in unanswered
        )
        failed_checks = SILENCE_PER_FAILED_CHECK * worker.failed_checks
        return failed_checks + sum(min(MAX_SILENCE_PER_ATTEMPT, silence) for silence in silences) >= SILENCE_THRESHOLD

    def eject(self, worker: Worker, now: float, reason: str) -> None:
        """Sends the worker nothing for a while, longer each time; `reason` is logged."""
        worker.ejected_until = now + min(MAX_EJECTION_TIME, FIRST_EJECTION_TIME * 2**worker.ejections)
        worker.ejections += 1
        self.ejected[worker] = None
        self.log_note(f"worker {worker.endpoint.ident} ejected for {worker.ejected_until - now:.0f} ms: {reason}")
