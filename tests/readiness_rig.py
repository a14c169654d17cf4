"""A router that is informed of messages from discovery, and helpers that read its health checks and prewarms."""

import unittest

from tests.helpers import FrontEnd
from wickdyke.routing.decisions import HealthCheck, Prewarm
from wickdyke.routing.model import Outcome
from wickdyke.routing.readiness import EARLIEST_TIME, GRACE_FRACTION, OUTAGE_NOTICE_DELAY

GRACE = 1000.0  # ms, the grace period of a drain in the settings of FrontEnd
WORKER_LEASE = GRACE_FRACTION * GRACE
LIST_LEASE = OUTAGE_NOTICE_DELAY + WORKER_LEASE


class ReadinessCase(unittest.TestCase):
    """Base class of tests on the leases of the endpoint list and of workers."""

    def start_front_end(self, workers=4, **more):
        """Creates and returns a front end with health checks on demand only."""
        self.front_end = FrontEnd(workers, health_checks=True, **more)
        router = self.front_end.router
        router.health_checker.check_in_turn = (
            lambda elapsed, now: None
        )  # leaves out checks for load reports, which get no answer
        for worker in router.workers.values():
            worker.check_sent_at = None
        return self.front_end

    def heard(self, at=None):
        """Reports a message from discovery, by default now; returns the decisions."""
        self.front_end.router.advance(self.front_end.clock)
        self.front_end.router.discovery_heard(self.front_end.clock if at is None else at)
        return self.front_end.take_decisions()

    def expire(self):
        """Lets the endpoint list expire, answers the resulting health checks, and lets those leases expire too."""
        decisions = self.front_end.advance_time(LIST_LEASE + 100.0)
        for worker in checked(decisions):
            self.answer(worker)
        self.front_end.advance_time(WORKER_LEASE + 50.0)

    def answer(self, worker, outcome=Outcome.OK, same_process_since=EARLIEST_TIME):
        """Answers the health check of a worker; returns the decisions."""
        self.front_end.router.advance(self.front_end.clock)
        self.front_end.router.health_checked(worker, outcome, None, same_process_since)
        return self.front_end.take_decisions()

    def refresh(self, worker):
        """Checks the worker and answers that it is ready; returns the decisions that follow."""
        record = self.front_end.router.workers[worker]
        self.front_end.router.readiness.health_checker.check_now(record, self.front_end.clock)
        self.front_end.take_decisions()
        return self.answer(worker)


def checked(decisions):
    """Returns the identifiers of the workers that were sent health checks."""
    return [decision.worker.endpoint.ident for decision in decisions if isinstance(decision, HealthCheck)]


def prewarmed(decisions):
    """Returns the identifiers of the workers that were sent prewarms."""
    return [decision.worker.endpoint.ident for decision in decisions if isinstance(decision, Prewarm)]
