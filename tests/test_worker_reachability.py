"""What failed connects show about a worker: timeouts, missing routes, faults of this machine."""

import errno
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.worker_fault_rig import IDENTS, Faults, WorkerConnectionCase
from wickdyke.platform import reachability, worker_client
from wickdyke.transport import event_loop


class ReachabilityTest(WorkerConnectionCase):
    """Whether a worker counts as unreachable after failed connects."""

    def setUp(self):
        super().setUp()
        self.now = event_loop.clock()  # timers of the event loop use the real clock
        for module in (worker_client, reachability):
            patcher = patch.object(module, "clock", lambda: self.now)
            patcher.start()
            self.addCleanup(patcher.stop)

    def outcome(self, client, index):
        count_before = len(self.recorded)
        client.send(self.command(index))
        self.wait_for_outcomes(count_before + 1)
        return self.recorded[-1][1]

    def test_a_refused_connect_means_unreachable(self):
        for name in ("connect", "SO_ERROR"):
            with self.subTest(name), self.prepare(Faults(name, 1, errno.ECONNREFUSED)):
                client = self.make_client(self.make_workers()[0])
                self.assertEqual(self.outcome(client, 0), "unreached")
                client.close()

    def test_no_route_for_a_second_means_unreachable(self):
        """Any number of connects within a second is inconclusive; an established connection restarts that second."""
        for name in ("connect", "SO_ERROR"):
            for code in (errno.ENETUNREACH, errno.EHOSTUNREACH):
                with self.subTest(name, code=code), self.prepare(Faults(name, 1, code, 99)):
                    client = self.make_client(self.make_workers()[0])
                    outcomes = []
                    for index in range(5):
                        outcomes.append(self.outcome(client, index))
                        self.now += 300.0
                    self.assertEqual(outcomes, ["unsent"] * 4 + ["unreached"])
                    self.faults.name = ""
                    self.assertEqual(self.outcome(client, 5), "ok")
                    self.assertEqual(self.pool.used, 1)
                    client.connections[0].end("idle")
                    self.faults.name, self.faults.count = name, 999
                    self.assertEqual(self.outcome(client, 6), "unsent")
                    client.close()

    def test_answers_do_not_reset_the_count_of_timeouts(self):
        """If a worker answers on old connections but accepts no new one, the second timeout still counts."""
        with self.prepare(Faults()):
            client = self.make_client(self.make_workers()[0])
            self.assertEqual(self.outcome(client, 0), "ok")
            client.reachability.consecutive_timeouts, client.reachability.last_timeout_at = 1, self.now
            self.assertEqual(self.outcome(client, 1), "ok")
            self.assertEqual(client.reachability.consecutive_timeouts, 1)
            client.close()

    def test_the_count_of_probes_starts_anew_for_each_loss(self):
        """Probes made for commands that were lost earlier don't reduce the number of probes for the next loss."""
        worker = rig.Worker(lambda *_: True)  # it never answers
        self.addCleanup(worker.close)
        with self.prepare(Faults()):
            client = self.make_client(worker)
            client.probe.connect_count = worker_client.MAX_SENDS
            client.send(command := self.command(0))
            self.until(lambda: self.faults.sent_idents)
            command.connection.end("ended by the worker")
            self.assertEqual((self.recorded, client.probe.unresolved, client.probe.connect_count), ([], [command], 1))
            self.wait_for_outcomes(1)
            self.assertEqual(
                (self.recorded, client.probe.unresolved, client.probe.connect_count),
                ([(IDENTS[0], "error")], [], 0),
            )
            client.close()

    def test_no_route_at_times_far_apart_is_inconclusive(self):
        for name in ("connect", "SO_ERROR"):
            with self.subTest(name), self.prepare(Faults(name, 1, errno.ENETUNREACH, 99)):
                client = self.make_client(self.make_workers()[0])
                for index in range(4):
                    self.assertEqual(self.outcome(client, index), "unsent")
                    self.now += 60000.0
                client.close()

    def test_an_exception_in_a_handler_is_inconclusive(self):
        """An unexpected exception closes a connection that is being established; its command ends once."""
        with self.prepare(Faults()):
            client = self.make_client(self.make_workers()[0])
            client.send(self.command(0))
            client.connections[0].broken()
            self.wait_for_outcomes(1)
            self.assertIn(self.recorded[0][1], ("ok", "unsent"))
            client.close()

    def test_disconnecting_is_inconclusive(self):
        """The coordinator disconnects a client: a command that waits for a connection is sent on another."""
        with self.prepare(Faults()):
            client = self.make_client(self.make_workers()[0])
            client.send(self.command(0))
            client.disconnect()
            self.wait_for_outcomes(1)
            self.assertEqual((self.recorded, self.pool.used), ([(IDENTS[0], "ok")], 1))
            client.close()
            self.assertEqual(self.pool.used, 0)


if __name__ == "__main__":
    unittest.main()
