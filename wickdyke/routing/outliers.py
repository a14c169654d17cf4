"""Outlier detection: which workers are sent nothing for a while, by symptom: unreachable, failing or silent."""

from collections import Counter
from collections.abc import Callable

from wickdyke.routing.latency import WORKER_RECORDS, LatencyEstimator
from wickdyke.routing.model import Outcome, ResultSample, Worker, clear_replicas
from wickdyke.routing.slow_start import SlowStartGuard

EJECTION = 1500.0  # ms at first, doubled each time
EJECTION_MOST = 4000.0  # ms
BAD_RESULTS_LEAST = 3  # bad results that eject a worker
BAD_SHARE = 0.5  # part of the results that is bad
RESULT_AGE = 5000.0  # ms for which a result counts
NETWORK_FAULT_SHARE = 0.25  # of the workers met of late, unreached and no connection lost: it is the network
SILENT_TOTAL = 26.0  # expected latencies that attempts have been silent for in all
SILENT_EACH = 6.0  # expected latencies that one attempt counts for at most
SILENT_FAILED_CHECK = 9.0  # expected latencies that a failed health check counts for
EXPECTED_LEAST = 80.0  # ms that an attempt is expected to take at least
LOADS_SILENT = 2  # load times after which an ejected worker is silent again
CLEAR_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS})  # the worker answered
TELLING_OUTCOMES = CLEAR_OUTCOMES | {Outcome.UNREACHED, Outcome.CONNECTION_LOST}
RESULT_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHED})
FAILURES = frozenset({Outcome.ERROR, Outcome.CONNECTION_LOST})


class OutlierDetector:
    """Ejects workers, and takes them back once they answer. `log_note` takes lines for the log."""

    def __init__(self, log_note: Callable[[str], None], latency: LatencyEstimator, slow_start: SlowStartGuard) -> None:
        self.log_note, self.latency, self.slow_start = log_note, latency, slow_start
        self.ejected: dict[Worker, None] = {}
        self.last_outcomes: dict[Worker, tuple[float, str]] = {}  # of the workers met of late, with their time
        self.network_fault = False

    def forget(self, worker: Worker) -> None:
        """The worker is listed no more."""
        self.ejected.pop(worker, None)
        self.last_outcomes.pop(worker, None)

    def record(self, worker: Worker, outcome: str, now: float) -> None:
        """Enters how an attempt, a prewarm or a health check ended at a worker."""
        worker.open_records(WORKER_RECORDS)
        if outcome in TELLING_OUTCOMES:
            self.last_outcomes[worker] = now, outcome
        unreached = outcome == Outcome.UNREACHED
        if (unreached or self.network_fault) and self._detect_network_fault(now) and unreached:
            worker.ejected_until = now + EJECTION_MOST
            return
        if unreached or outcome == Outcome.CONNECTION_LOST:
            # The list tells late that a worker has started anew, with nothing loaded. That misleads after a break of
            # the network.
            clear_replicas(worker)
            self.slow_start.connection_lost(worker, now)
        if outcome in CLEAR_OUTCOMES:
            worker.last_heard, worker.failed_checks = now, 0
        self._take_back(worker, outcome, now)
        self._judge(worker, outcome, now)

    def _take_back(self, worker: Worker, outcome: str, now: float) -> None:
        if outcome == Outcome.OK and worker.ejections and worker.ejected_until <= now:  # not one sent before
            worker.ejections -= 1
            if not worker.ejections:
                self.ejected.pop(worker, None)
                self.log_note(f"worker {worker.endpoint.ident} answers again")

    def _judge(self, worker: Worker, outcome: str, now: float) -> None:
        if outcome in RESULT_OUTCOMES:
            worker.recent_results.append(ResultSample(now, outcome == Outcome.OK))
        recent = [result.good for result in worker.recent_results if now - result.at < RESULT_AGE]
        bad = recent.count(False)
        if worker.ejected_until > now:
            return
        often = bad >= BAD_RESULTS_LEAST and bad > BAD_SHARE * len(recent)
        failing = outcome in FAILURES and (often or bad and worker.ejections)
        if outcome == Outcome.UNREACHED or failing:
            self.eject(worker, now, f"{outcome}, {bad} of {len(recent)} bad")

    def _detect_network_fault(self, now: float) -> bool:
        """Whether new connections fail everywhere while none is lost: that is not the workers.

        Taken for restarts, all that is known of them would go. The same is seen in a break of the network; it misleads
        where many workers vanish at once.
        """
        self.last_outcomes = {
            w: (at, outcome) for w, (at, outcome) in self.last_outcomes.items() if now - at < RESULT_AGE
        }
        met = Counter(outcome for _, outcome in self.last_outcomes.values())
        unreached = met[Outcome.UNREACHED]
        many = unreached >= BAD_RESULTS_LEAST and unreached > NETWORK_FAULT_SHARE * len(self.last_outcomes)
        lasts = self.network_fault and unreached > 0  # until all are reached
        fault = not met[Outcome.CONNECTION_LOST] and (many or lasts)
        if fault != self.network_fault:
            state = "fail" if fault else "work"
            self.log_note(f"new connections {state}: {unreached} of {len(self.last_outcomes)}")
        if fault:
            self._pardon_unreached()
        self.network_fault = fault
        return fault

    def _pardon_unreached(self) -> None:
        for worker in list(self.ejected):
            if self.last_outcomes.get(worker, (0.0, ""))[1] == Outcome.UNREACHED:
                del self.ejected[worker]
                worker.ejections = 0
                worker.warming_since = worker.endpoint.started_at

    def is_silent(self, worker: Worker, now: float) -> bool:
        """Whether it has answered nothing for far longer than expected."""
        if worker.ejections:  # a replica pushed out of memory would have loaded again
            return any(
                now - attempt.sent_at > LOADS_SILENT * self.latency.load_time(attempt.request.function)
                for attempt in worker.in_flight
            )
        waiting = [each for each in worker.in_flight if worker.last_heard <= each.sent_at and each.warm]
        silences = ((now - each.sent_at) / max(each.expected_latency, EXPECTED_LEAST) for each in waiting)
        failed_checks = SILENT_FAILED_CHECK * worker.failed_checks
        return failed_checks + sum(min(SILENT_EACH, silence) for silence in silences) >= SILENT_TOTAL

    def eject(self, worker: Worker, now: float, why: str) -> None:
        """Leaves the worker alone for a while, longer each time."""
        worker.ejected_until = now + min(EJECTION_MOST, EJECTION * 2**worker.ejections)
        worker.ejections += 1
        self.ejected[worker] = None
        self.log_note(f"worker {worker.endpoint.ident} ejected for {worker.ejected_until - now:.0f} ms: {why}")
