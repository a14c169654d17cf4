"""Prewarms that wait for their connection: when they count in the quota, and until when they may be sent."""

import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import SteppedClockCase, request, settings
from tests.front_end_rig import FullListener
from tests.helpers import listed_endpoint
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.routing.decisions import Prewarm
from wickdyke.routing.model import Worker
from wickdyke.routing.prewarming import PrewarmLimiter
from wickdyke.routing.settings import PrewarmQuota

WINDOW = 1000.0  # ms
MAX_WAIT = 250.0  # ms


class QuotaOfPrewarmsThatWait(unittest.TestCase):
    """A worker counts a prewarm when it arrives, which may be long after its decision."""

    def setUp(self):
        self.limiter = PrewarmLimiter(PrewarmQuota(1.0, 0.0, WINDOW), MAX_WAIT)
        self.worker = Worker.from_endpoint(listed_endpoint("a"), 1000.0, 1.0)

    def allowed_from(self):
        """Returns the first time (whole ms) after a prewarm that was decided at 0 at which another one may be sent."""
        return next(at for at in range(5000) if self.limiter.may_send(self.worker, False, float(at)))

    def test_a_prewarm_counts_from_when_it_began(self):
        """Guards against two windows' prewarms in one at the workers: (ms waited) -> when the next one is allowed."""
        for waited, allowed_from in ((0.0, 1001), (100.0, 1101), (None, 1251)):  # None: there is no result yet
            with self.subTest(waited=waited):
                self.setUp()
                self.limiter.sent(0.0)
                if waited is not None:
                    self.limiter.finished(0.0, waited)
                self.assertEqual(self.allowed_from(), allowed_from)

    def test_it_must_begin_while_it_may_still_count_as_waiting(self):
        self.assertEqual(self.limiter.must_begin_before(7.0), 7.0 + MAX_WAIT)
        without_quota = PrewarmLimiter(PrewarmQuota(0.0, 0.0, 0.0), MAX_WAIT)
        self.assertEqual(without_quota.must_begin_before(7.0), float("inf"))


class PrewarmsThatWaitForAConnection(SteppedClockCase):
    """A prewarm whose connection is established some time after its decision."""

    def prewarm_waits(self):
        """Lets a prewarm wait for a connection.

        Returns the worker's client, the command, and the calls that report results to the router.
        """
        self.listener = FullListener(self)
        self.front_end(self.listener.address, settings=settings({"dial-timeout": 60000000}))
        self.discovery_heard()
        client = self.client()
        client.send(request(1))
        coordinator = self.service.coordinator
        self.until(lambda: coordinator.router.functions, "the request")
        (function,) = coordinator.router.functions.values()
        results = patch.object(
            coordinator.router, "prewarm_finished", wraps=coordinator.router.prewarm_finished
        ).start()
        worker = coordinator.router.workers["w0"]
        coordinator._prewarm(Prewarm(worker, function, 1, self.now + MAX_WAIT))
        upstream = coordinator.workers.clients["w0"]
        (command,) = (
            command for command in upstream.shared_connection.pending_commands if command.kind == CommandKind.PREWARM
        )
        return upstream, command, results

    def test_the_router_learns_how_long_it_waited(self):
        upstream, command, results = self.prewarm_waits()
        self.now += MAX_WAIT / 2
        sock = self.listener.accept(upstream.shared_connection, self.until)
        self.assertTrue(command.send_started)
        sock.sendall(rig.bulk(command.ident, b"ACK", b"units=1", b""))
        self.until(lambda: results.call_args, "the result")
        _, _, outcome, replicas, elapsed, waited = results.call_args.args
        self.assertEqual((outcome, replicas, elapsed, waited), ("ok", 1, MAX_WAIT / 2, MAX_WAIT / 2))

    def test_it_is_not_sent_after_the_time_by_which_it_must_begin(self):
        upstream, command, _ = self.prewarm_waits()
        self.now += MAX_WAIT
        self.listener.accept(upstream.shared_connection, self.until)
        self.until(lambda: self.service.coordinator.counts["prewarms_unsent"], "the end of the prewarm")
        self.assertFalse(command.send_started)


if __name__ == "__main__":
    unittest.main()
