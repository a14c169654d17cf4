"""Health checks: asking workers for a load report, as far as our traffic pays for it."""

from collections import deque
from collections.abc import Iterable
from math import ceil

from wickdyke.routing.control_budget import ControlBudget
from wickdyke.routing.decisions import Decision, HealthCheck
from wickdyke.routing.model import EndpointState, Outcome, Worker

CHECK_EVERY = 1000.0  # ms between checks of a worker
CHECK_SOON = 300.0  # ms, where a decision hangs on it


class HealthChecker:
    """Sends health checks, and keeps which workers did not answer them."""

    def __init__(self, enabled: bool, budget: ControlBudget, decisions: deque[Decision]) -> None:
        self.enabled, self.budget, self.decisions = enabled, budget, decisions
        self.rota: deque[Worker] = deque()  # workers whose reports decide something, in turn
        self.unanswered: list[Worker] = []

    def check(self, worker: Worker, every: float, now: float) -> None:
        """Asks the worker for a report, unless one came or was asked for within `every` ms."""
        reported = worker.load_reports[-1].received_at if worker.load_reports else 0.0
        if (
            self.enabled
            and self.budget.covers_one()
            and worker.endpoint.state == EndpointState.READY
            and now - max(reported, worker.last_checked) >= every
        ):
            worker.last_checked = now
            self.budget.spend()
            self.decisions.append(HealthCheck(worker))

    def check_in_turn(self, tick: float, now: float) -> None:
        """Goes on through the rota, at a pace that asks each worker once in a while."""
        if not self.budget.has_spare():
            return
        for _ in range(ceil(len(self.rota) * tick / CHECK_EVERY)):
            self.rota.rotate(-1)
            self.check(self.rota[0], CHECK_EVERY, now)

    def watch(self, workers: Iterable[Worker]) -> None:
        """Sets the workers to be asked in turn."""
        self.rota = deque(workers)

    def finished(self, worker: Worker, outcome: str, now: float) -> None:
        """Enters how a check ended."""
        if outcome == Outcome.OK and worker.failed_checks:  # it speaks again: it may be tried now
            worker.ejected_until = min(worker.ejected_until, now)
        worker.failed_checks = worker.failed_checks + 1 if outcome == Outcome.TIMEOUT else 0
        others = [each for each in self.unanswered if each.failed_checks and each is not worker]
        self.unanswered = others + [worker] * (worker.failed_checks > 0)
