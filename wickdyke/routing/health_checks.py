"""Health checks: requests to workers for a load report, limited by the control budget."""

from collections import deque
from collections.abc import Iterable
from math import ceil

from wickdyke.routing.control_budget import ControlBudget
from wickdyke.routing.decisions import Decision, HealthCheck
from wickdyke.routing.model import EndpointState, Outcome, Worker

CHECK_INTERVAL = 1000.0  # ms between checks of a worker
URGENT_CHECK_INTERVAL = 300.0  # ms between checks of a worker where a decision depends on the result


class HealthChecker:
    """Sends health checks, and keeps track of the workers that did not answer them."""

    def __init__(self, enabled: bool, budget: ControlBudget, decisions: deque[Decision]) -> None:
        """Creates a checker that appends its checks to `decisions`."""
        self.enabled = enabled
        self.budget = budget
        self.decisions = decisions
        self.check_rotation: deque[Worker] = deque()  # workers on whose reports decisions depend, checked in turn
        self.unresponsive_workers: list[Worker] = []

    def check(self, worker: Worker, interval: float, now: float) -> None:
        """Checks the worker, unless a report was received or a check was sent within the last `interval` ms."""
        reported = worker.load_reports[-1].received_at if worker.load_reports else 0.0
        if (
            self.enabled
            and self.budget.has_token()
            and worker.endpoint.state == EndpointState.READY
            and now - max(reported, worker.last_check_at) >= interval
        ):
            self.budget.spend()
            self._send(worker, now)

    def check_now(self, worker: Worker, now: float) -> None:
        """Checks the worker at once, regardless of the budget, unless a check of it is in flight.

        Used where work waits for the worker's answer.
        """
        if self.enabled and worker.endpoint.state == EndpointState.READY and worker.check_sent_at is None:
            self._send(worker, now)

    def _send(self, worker: Worker, now: float) -> None:
        worker.last_check_at = now
        worker.check_sent_at = now
        self.decisions.append(HealthCheck(worker))

    def check_in_turn(self, elapsed: float, now: float) -> None:
        """Checks the next workers of the rotation, at a rate that checks each worker once in CHECK_INTERVAL ms.

        `elapsed` is the time since the last call (ms).
        """
        if not self.budget.has_spare_tokens():
            return
        for _ in range(ceil(len(self.check_rotation) * elapsed / CHECK_INTERVAL)):
            self.check_rotation.rotate(-1)
            self.check(self.check_rotation[0], CHECK_INTERVAL, now)

    def set_rotation(self, workers: Iterable[Worker]) -> None:
        """Sets the workers that are checked in turn."""
        self.check_rotation = deque(workers)

    def check_finished(self, worker: Worker, outcome: Outcome, now: float) -> None:
        """Records the outcome of a check of the worker."""
        if outcome == Outcome.OK and worker.failed_checks:  # the worker answers again: its ejection ends
            worker.ejected_until = min(worker.ejected_until, now)
        worker.failed_checks = worker.failed_checks + 1 if outcome == Outcome.TIMEOUT else 0
        self.unresponsive_workers = [
            other for other in self.unresponsive_workers if other.failed_checks and other is not worker
        ]
        if worker.failed_checks:
            self.unresponsive_workers.append(worker)
