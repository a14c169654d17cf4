"""Readiness: whether a worker may be sent new work, given the age of the information on it.

The endpoint list is a cached view. Discovery reports when a worker drains; while discovery is unreachable, the gateway
is treated as informed of the drain a fixed time after the connection broke. The list is therefore a lease on the
readiness of all workers, renewed by every message from discovery. Once it has expired, each worker needs a lease of its
own. That lease is renewed by the worker's answers to health checks and by the work that it accepts, counted from when
these were sent, and lasts for the grace period within which a drain has to take effect. A worker that answers that it
is not ready, or whose process has ended, is sent nothing.

Where the host never reports messages from discovery, the list does not expire.
"""

import math
from collections.abc import Callable, Iterable
from heapq import nlargest

from wickdyke.routing.health_checks import HealthChecker
from wickdyke.routing.model import EndpointState, Outcome, Worker
from wickdyke.routing.replicas import clear_replicas
from wickdyke.routing.slow_start import SlowStartGuard

# ms after the loss of discovery from which the gateway is treated as informed of what discovery would have reported.
# The protocol gives 2 s after a broken connection and 4 s after a silent one; as the two cannot always be told apart,
# the shorter time applies.
OUTAGE_NOTICE_DELAY = 2000.0
# ms since the last message from discovery within which no update can be missing: discovery sends one each second.
MAX_DISCOVERY_SILENCE = 1500.0
GRACE_FRACTION = 0.8  # fraction of the drain's grace period; the rest covers the time between decision and transmission
MIN_WORKER_LEASE = 20.0  # ms, for grace periods near 0; every time limit of the protocol has 50 ms of tolerance
MIN_VIEW_LEASE = 100.0  # ms since the host last read what discovery sends; it may be busy for that long
MAX_ANSWER_WAIT = 40.0  # ms without an answer to a health check after which another worker is checked
UNANSWERED_RETRY_DELAY = 1000.0  # ms until a worker that did not answer is checked again
IN_USE_WINDOW = 2000.0  # ms since its last answer for which a worker counts as in use
MAX_CHECKED_IN_ADVANCE = 8  # workers in use that are checked as soon as the list expires
EARLIEST_TIME = -math.inf  # ms; stands for a time that is unknown or an event that has not occurred


class Readiness:
    """Keeps the leases. `list_was_expired`: whether the endpoint list's lease had expired at the last `update`."""

    def __init__(
        self,
        drain_grace: float,
        slow_start: SlowStartGuard,
        health_checker: HealthChecker,
        log_note: Callable[[str], None],
    ) -> None:
        """Creates leases that do not expire until the host first reports a message from discovery.

        `drain_grace` (ms) is the grace period of a drain; `log_note` writes a line to the log.
        """
        self.slow_start = slow_start
        self.health_checker = health_checker
        self.log_note = log_note
        self.worker_lease = max(MIN_WORKER_LEASE, GRACE_FRACTION * drain_grace)
        self.list_lease = OUTAGE_NOTICE_DELAY + self.worker_lease
        self.discovery_heard_at: float | None = None  # ms; None where the host does not report it
        self.discovery_lost_at = EARLIEST_TIME  # ms; updates since then may be missing, however short the outage was
        self.list_valid_until = math.inf  # ms
        self.list_was_expired = False
        self.not_ready: dict[Worker, None] = {}  # workers that answered as not ready, or whose process has ended
        self.proved_ready: set[Worker] = set()  # workers that, since the list expired, have answered as ready

    # ---- information received ----

    def discovery_heard(self, at: float) -> None:
        """Records that the endpoint list was complete at `at` (ms); -inf where its age is unknown."""
        self.discovery_heard_at = at if self.discovery_heard_at is None else max(at, self.discovery_heard_at)
        self._renew_list()

    def discovery_lost(self, at: float) -> None:
        """Records that the host was suspended from `at` (ms) on and is now disconnected from discovery.

        Discovery may have been reachable during that time, so OUTAGE_NOTICE_DELAY does not apply: the gateway is
        treated as informed at once of what discovery reported.
        """
        if self.discovery_heard_at is not None:
            self.discovery_lost_at = max(at, self.discovery_lost_at)
            self._renew_list()

    def _renew_list(self) -> None:
        assert self.discovery_heard_at is not None
        self.list_valid_until = self.discovery_heard_at + self.list_lease
        if self.discovery_heard_at <= self.discovery_lost_at:
            self.list_valid_until = min(self.list_valid_until, self.discovery_lost_at + self.worker_lease)

    def work_accepted(self, worker: Worker, sent_at: float) -> None:
        """Records that the worker accepted work that was sent at `sent_at` (ms)."""
        worker.ready_at = max(worker.ready_at, sent_at)

    def work_rejected(self, worker: Worker, now: float) -> None:
        """Ends the worker's lease: a worker that rejects work may be full or draining, so earlier answers are void."""
        if self.list_expired(now):
            worker.ready_at = EARLIEST_TIME

    def check_finished(self, worker: Worker, outcome: Outcome, same_process_since: float | None, now: float) -> None:
        """Records the outcome of a health check of the worker.

        `same_process_since`: the earliest time (ms) since which the worker's connections show the same process.
        """
        check_sent_at = worker.check_sent_at
        worker.check_sent_at = None
        if outcome == Outcome.NOT_READY:
            self._exclude(worker, "not ready", now)
        elif outcome == Outcome.OK and check_sent_at is not None:
            self._record_ready(worker, check_sent_at, same_process_since, now)

    def process_ended(self, worker: Worker, now: float) -> None:
        """Records that, by its connections, the worker's process has ended.

        While updates from discovery may be missing, the next process at its address may be another worker that is not
        on the list yet, so the worker is sent nothing.
        """
        if self.updates_may_be_missing(now) and self.health_checker.enabled:
            self._exclude(worker, "its process ended", now)

    def remove_worker(self, worker: Worker) -> None:
        """Removes a worker that is no longer listed, or is listed as restarted."""
        self.not_ready.pop(worker, None)
        self.proved_ready.discard(worker)

    def list_expired(self, now: float) -> bool:
        """Returns whether the endpoint list's lease has expired."""
        return now >= self.list_valid_until

    def view_is_current(self, discovery_seen_at: float, now: float) -> bool:
        """Returns whether a drain that was reported after `discovery_seen_at` (ms) need not have taken effect yet."""
        return now < discovery_seen_at + max(self.worker_lease, MIN_VIEW_LEASE)

    def updates_may_be_missing(self, now: float) -> bool:
        """Returns whether discovery is silent, so that updates may be missing although the list may still be valid."""
        return self.discovery_heard_at is not None and now - self.discovery_heard_at >= MAX_DISCOVERY_SILENCE

    def _exclude(self, worker: Worker, reason: str, now: float) -> None:
        if worker.not_ready_since is None:
            self.log_note(f"worker {worker.endpoint.ident} sent no more work: {reason}")
            worker.not_ready_since = now
        self.not_ready[worker] = None

    def _record_ready(self, worker: Worker, check_sent_at: float, same_process_since: float | None, now: float) -> None:
        process_since = EARLIEST_TIME if same_process_since is None else same_process_since
        is_new_process = process_since > worker.same_process_since
        worker.same_process_since = max(process_since, worker.same_process_since)
        if worker.not_ready_since is not None:
            restarted = process_since > worker.not_ready_since
            if restarted and self.updates_may_be_missing(now):
                return  # it may be another worker at the same address
            self._readmit(worker, restarted, now)
        elif is_new_process and self.discovery_heard_at is not None and process_since > self.discovery_heard_at:
            self._record_restart(worker, now)
        worker.ready_at = max(worker.ready_at, check_sent_at)
        if self.list_was_expired and worker not in self.proved_ready:
            self.proved_ready.add(worker)
            self.log_note(f"worker {worker.endpoint.ident} proved ready")

    def _readmit(self, worker: Worker, restarted: bool, now: float) -> None:
        worker.not_ready_since = None
        self.not_ready.pop(worker, None)
        self.log_note(f"worker {worker.endpoint.ident} ready again")
        if restarted:
            self._record_restart(worker, now)

    def _record_restart(self, worker: Worker, now: float) -> None:
        # Discovery will report the actual start. Until then the worker counts as started now, with nothing loaded: its
        # slow start may be longer than necessary, but not shorter.
        clear_replicas(worker)
        self.slow_start.connection_lost(worker, now)

    # ---- decisions ----

    def update(self, now: float) -> bool:
        """Logs when the list expires or is valid again; returns whether it has just expired."""
        had_expired = self.list_was_expired
        self.list_was_expired = self.list_expired(now)
        if self.list_was_expired == had_expired:
            return False
        self.proved_ready.clear()
        self.log_note(f"endpoint list {'expired' if self.list_was_expired else 'valid again'}")
        return self.list_was_expired

    def may_send(self, worker: Worker, now: float) -> bool:
        """Returns whether new work may be sent to the worker at `now` (ms)."""
        if worker.not_ready_since is not None or worker.endpoint.state != EndpointState.READY:
            return False
        return now < self.list_valid_until or now < worker.ready_at + self.worker_lease

    def require_ready(self, worker: Worker, now: float) -> bool:
        """Returns whether new work may be sent to the worker now; checks the worker where that needs its answer."""
        if self.may_send(worker, now):
            return True
        if self.may_choose(worker, now):
            self.health_checker.check_now(worker, now)
        return False

    def check_workers_in_use(self, workers: Iterable[Worker], now: float) -> None:
        """Checks the workers that answered most recently, before requests have to wait for them.

        Called when the endpoint list has expired.
        """
        in_use = [worker for worker in workers if now - worker.last_answer_at < IN_USE_WINDOW]
        for worker in nlargest(MAX_CHECKED_IN_ADVANCE, in_use, key=lambda worker: worker.last_answer_at):
            self.require_ready(worker, now)

    def may_choose(self, worker: Worker, now: float) -> bool:
        """Returns whether the worker is a candidate: it may be sent work, or its answer may be waited for."""
        if worker.not_ready_since is not None:
            return False
        if now < self.list_valid_until or now < worker.ready_at + self.worker_lease:
            return True
        if worker.check_sent_at is not None and now - worker.check_sent_at >= MAX_ANSWER_WAIT:
            return False
        return not worker.failed_checks or now - worker.last_check_at >= UNANSWERED_RETRY_DELAY
