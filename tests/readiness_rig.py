"""A router that was told when discovery was heard, and what it asks and sends."""

import unittest

from tests.helpers import Fleet
from wickdyke.routing.decisions import HealthCheck, Prewarm
from wickdyke.routing.model import Outcome
from wickdyke.routing.readiness import GRACE_FRACTION, NEVER, OUTAGE_NOTICE_DELAY

GRACE = 1000.0  # ms, for a drain, in the settings of Fleet
WORKER_LEASE = GRACE_FRACTION * GRACE
LIST_LEASE = OUTAGE_NOTICE_DELAY + WORKER_LEASE


class ReadinessCase(unittest.TestCase):
    """A router that was told that discovery is heard."""

    def fleet(self, workers=4, **more):
        self.front_end = Fleet(workers, health_checks=True, **more)
        router = self.front_end.router
        router.health_checker.check_in_turn = (
            lambda elapsed, now: None
        )  # leaves out checks for load reports, which get no answer
        for worker in router.workers.values():
            worker.check_sent_at = None
        return self.front_end

    def heard(self, at=None):
        self.front_end.router.advance(self.front_end.clock)
        self.front_end.router.discovery_heard(self.front_end.clock if at is None else at)
        return self.front_end.pull()

    def expire(self):
        """The list has just expired; what was asked then is answered as ready, and that has run out as well."""
        decisions = self.front_end.pass_time(LIST_LEASE + 100.0)
        for worker in asked(decisions):
            self.answer(worker)
        self.front_end.pass_time(WORKER_LEASE + 50.0)

    def answer(self, worker, outcome=Outcome.OK, same_process_since=NEVER):
        self.front_end.router.advance(self.front_end.clock)
        self.front_end.router.health_checked(worker, outcome, None, same_process_since)
        return self.front_end.pull()

    def refresh(self, worker):
        """The worker is asked, and proves ready."""
        record = self.front_end.router.workers[worker]
        self.front_end.router.readiness.health_checker.check_now(record, self.front_end.clock)
        self.front_end.pull()
        return self.answer(worker)


def asked(decisions):
    """The workers that were health checked."""
    return [decision.worker.endpoint.ident for decision in decisions if isinstance(decision, HealthCheck)]


def prewarmed(decisions):
    """The workers that prewarms were sent to."""
    return [decision.worker.endpoint.ident for decision in decisions if isinstance(decision, Prewarm)]
