"""Readiness: whether a worker may be sent new work, by the age of what is known of it.

The endpoint list is a cached view. A worker that drains is reported by discovery, and where discovery is out of reach
the drain counts as known all the same, a fixed time after it broke off. So the list is a lease on the readiness of
all workers, renewed whenever discovery is heard. Once it has expired, each worker needs a lease of its own: it is
renewed by the worker's answer to a health check and by work that it accepted, as of when these were sent, and lasts
for the grace within which a drain has to take effect. A worker that answers that it is not ready, or whose process has
ended, is sent nothing.

A host that never reports when discovery was heard has a list that does not expire.
"""

import math
from collections.abc import Callable, Iterable
from heapq import nlargest

from wickdyke.routing.health_checks import HealthChecker
from wickdyke.routing.model import EndpointState, Outcome, Worker
from wickdyke.routing.replicas import clear_replicas
from wickdyke.routing.slow_start import SlowStartGuard

# ms after discovery broke off at which what it would have reported counts as known, at the earliest: the protocol says
# 2 s after a break and 4 s after a silence, and which of the two it was does not always show.
OUTAGE_NOTICE_DELAY = 2000.0
MAX_DISCOVERY_SILENCE = (
    1500.0  # ms after discovery was heard within which no news can be missing: it is heard each second
)
GRACE_FRACTION = 0.8  # of the grace for a drain; the rest is for the way from the decision to the wire
MIN_WORKER_LEASE = 20.0  # ms, where there is next to no grace; every limit of the protocol has 50 ms of slack
MAX_ANSWER_WAIT = 40.0  # ms without an answer to a health check after which another worker is asked
UNANSWERED_RETRY_DELAY = 1000.0  # ms until a worker that did not answer is asked again
IN_USE_WINDOW = 2000.0  # ms since its last answer for which a worker counts as in use
MAX_CHECKED_IN_ADVANCE = 8  # workers in use that are asked when the list expires
NEVER = -math.inf


class Readiness:
    """Keeps the leases. `in_doubt` is whether that of the endpoint list had expired at the last `update`."""

    def __init__(
        self,
        drain_grace: float,
        slow_start: SlowStartGuard,
        health_checker: HealthChecker,
        log_note: Callable[[str], None],
    ) -> None:
        """All workers are as the list says until the host reports when discovery was heard. `drain_grace` is in ms."""
        self.slow_start = slow_start
        self.health_checker = health_checker
        self.log_note = log_note
        self.worker_lease = max(MIN_WORKER_LEASE, GRACE_FRACTION * drain_grace)
        self.list_lease = OUTAGE_NOTICE_DELAY + self.worker_lease
        self.heard_at: float | None = None  # ms; None where the host does not report it
        self.lost_at = NEVER  # ms; what discovery has reported since then may be missing, however short its outage was
        self.list_valid_until = math.inf  # ms
        self.list_was_expired = False
        self.not_ready: dict[Worker, None] = {}  # workers that said so, or whose process has ended
        self.proved_ready: set[Worker] = set()  # since the list expired

    # ---- what is known ----

    def discovery_heard(self, at: float) -> None:
        """The endpoint list was complete at that time (ms); -inf where it is of unknown age."""
        self.heard_at = at if self.heard_at is None else max(at, self.heard_at)
        self._renew_list()

    def discovery_lost(self, at: float) -> None:
        """The host did not run from that time on (ms) and has no connection to discovery now.

        Discovery may have been in reach all the while, so that the time after which it counts as broken off says
        nothing: what it reported counts as known at once.
        """
        if self.heard_at is not None:
            self.lost_at = max(at, self.lost_at)
            self._renew_list()

    def _renew_list(self) -> None:
        assert self.heard_at is not None
        self.list_valid_until = self.heard_at + self.list_lease
        if self.heard_at <= self.lost_at:
            self.list_valid_until = min(self.list_valid_until, self.lost_at + self.worker_lease)

    def work_accepted(self, worker: Worker, sent_at: float) -> None:
        """The worker has accepted work that was sent then (ms)."""
        worker.ready_at = max(worker.ready_at, sent_at)

    def work_rejected(self, worker: Worker, now: float) -> None:
        """The worker rejected work: it may be full, or drain, so that no earlier answer counts any more."""
        if self.list_expired(now):
            worker.ready_at = NEVER

    def checked(self, worker: Worker, outcome: Outcome, same_process_since: float | None, now: float) -> None:
        """A health check of the worker ended.

        `same_process_since`: as far as its connections show, the process that answered has run since then (ms).
        """
        check_sent_at = worker.check_sent_at
        worker.check_sent_at = None
        if outcome == Outcome.NOT_READY:
            self._exclude(worker, "not ready", now)
        elif outcome == Outcome.OK and check_sent_at is not None:
            self._ready(worker, check_sent_at, same_process_since, now)

    def process_ended(self, worker: Worker, now: float) -> None:
        """Connections show that the worker's process has ended.

        While news may be missing, what answers at its address next may be another worker, that the list has not named.
        """
        if self.updates_may_be_missing(now) and self.health_checker.enabled:
            self._exclude(worker, "its process ended", now)

    def forget(self, worker: Worker) -> None:
        """Drops a worker that is no longer listed, or is listed as restarted."""
        self.not_ready.pop(worker, None)
        self.proved_ready.discard(worker)

    def list_expired(self, now: float) -> bool:
        """Whether the endpoint list is too old to send by it alone."""
        return now >= self.list_valid_until

    def updates_may_be_missing(self, now: float) -> bool:
        """Whether discovery is heard no more, though the list may still be valid."""
        return self.heard_at is not None and now - self.heard_at >= MAX_DISCOVERY_SILENCE

    def _exclude(self, worker: Worker, reason: str, now: float) -> None:
        if worker.not_ready_since is None:
            self.log_note(f"worker {worker.endpoint.ident} sent no more work: {reason}")
            worker.not_ready_since = now
        self.not_ready[worker] = None

    def _ready(self, worker: Worker, check_sent_at: float, same_process_since: float | None, now: float) -> None:
        process_since = NEVER if same_process_since is None else same_process_since
        is_new_process = process_since > worker.same_process_since
        worker.same_process_since = max(process_since, worker.same_process_since)
        if worker.not_ready_since is not None:
            restarted = process_since > worker.not_ready_since
            if restarted and self.updates_may_be_missing(now):
                return  # perhaps another worker at that address
            self._readmit(worker, restarted, now)
        elif is_new_process and self.heard_at is not None and process_since > self.heard_at:
            self._restarted(worker, now)
        worker.ready_at = max(worker.ready_at, check_sent_at)
        if self.list_was_expired and worker not in self.proved_ready:
            self.proved_ready.add(worker)
            self.log_note(f"worker {worker.endpoint.ident} proved ready")

    def _readmit(self, worker: Worker, restarted: bool, now: float) -> None:
        worker.not_ready_since = None
        self.not_ready.pop(worker, None)
        self.log_note(f"worker {worker.endpoint.ident} ready again")
        if restarted:
            self._restarted(worker, now)

    def _restarted(self, worker: Worker, now: float) -> None:
        # Discovery would report the start. Until it is heard, the worker counts as started now: nothing is loaded
        # there, and its slow start takes longer than it need rather than shorter.
        clear_replicas(worker)
        self.slow_start.connection_lost(worker, now)

    # ---- what follows ----

    def update(self, now: float) -> bool:
        """Notes whether the list has expired or is valid again; returns whether it has just expired."""
        was_in_doubt = self.list_was_expired
        self.list_was_expired = self.list_expired(now)
        if self.list_was_expired == was_in_doubt:
            return False
        self.proved_ready.clear()
        self.log_note(f"endpoint list {'expired' if self.list_was_expired else 'valid again'}")
        return self.list_was_expired

    def may_send(self, worker: Worker, now: float) -> bool:
        """Whether new work may go out to the worker now."""
        if worker.not_ready_since is not None or worker.endpoint.state != EndpointState.READY:
            return False
        return now < self.list_valid_until or now < worker.ready_at + self.worker_lease

    def require_ready(self, worker: Worker, now: float) -> bool:
        """Whether new work may go out to the worker now; where that needs an answer of the worker, it is asked."""
        if self.may_send(worker, now):
            return True
        if self.may_choose(worker, now):
            self.health_checker.check_now(worker, now)
        return False

    def check_workers_in_use(self, workers: Iterable[Worker], now: float) -> None:
        """Asks the workers heard of last, before requests wait for their answers: the endpoint list has expired."""
        in_use = [worker for worker in workers if now - worker.last_answer_at < IN_USE_WINDOW]
        for worker in nlargest(MAX_CHECKED_IN_ADVANCE, in_use, key=lambda worker: worker.last_answer_at):
            self.require_ready(worker, now)

    def may_choose(self, worker: Worker, now: float) -> bool:
        """Whether the worker is worth choosing: it may be sent work, or an answer of it may be waited for."""
        if worker.not_ready_since is not None:
            return False
        if now < self.list_valid_until or now < worker.ready_at + self.worker_lease:
            return True
        if worker.check_sent_at is not None and now - worker.check_sent_at >= MAX_ANSWER_WAIT:
            return False
        return not worker.failed_checks or now - worker.last_check_at >= UNANSWERED_RETRY_DELAY
