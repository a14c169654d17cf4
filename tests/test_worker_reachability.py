"""What failed connections show of a worker: time-outs, missing routes, faults of this machine."""

import errno
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.worker_fault_rig import IDENTS, Faults, WorkerConnectionCase
from wickdyke.platform import reachability, worker_client
from wickdyke.transport import event_loop


class Unreachable(WorkerConnectionCase):
    """What is learned of a worker from connections that can't be made."""

    def setUp(self):
        super().setUp()
        self.now = event_loop.clock()  # the loop's own timers go on by the real one
        for module in (worker_client, reachability):
            started = patch.object(module, "clock", lambda: self.now)
            started.start()
            self.addCleanup(started.stop)

    def outcome(self, upstream, at):
        before = len(self.recorded)
        upstream.send(self.command(at))
        self.end(before + 1)
        return self.recorded[-1][1]

    def test_refused_is_a_worker_that_is_away(self):
        for name in ("connect", "SO_ERROR"):
            with self.subTest(name), self.prepare(Faults(name, 1, errno.ECONNREFUSED)):
                upstream = self.upstream(self.workers()[0])
                self.assertEqual(self.outcome(upstream, 0), "unreached")
                upstream.close()

    def test_no_way_for_long_is_a_worker_that_is_away(self):
        """A moment of any number of tries tells nothing; a second of them does, and one that succeeds ends it."""
        for name in ("connect", "SO_ERROR"):
            for code in (errno.ENETUNREACH, errno.EHOSTUNREACH):
                with self.subTest(name, code=code), self.prepare(Faults(name, 1, code, 99)):
                    upstream = self.upstream(self.workers()[0])
                    found = []
                    for at in range(5):
                        found.append(self.outcome(upstream, at))
                        self.now += 300.0
                    self.assertEqual(found, ["unsent"] * 4 + ["unreached"])
                    self.faults.name = ""
                    self.assertEqual(self.outcome(upstream, 5), "ok")
                    self.assertEqual(self.pool.used, 1)
                    upstream.connections[0].end("idle")
                    self.faults.name, self.faults.many = name, 999
                    self.assertEqual(self.outcome(upstream, 6), "unsent")
                    upstream.close()

    def test_answers_take_back_no_late_connection(self):
        """Of one that answers and takes no new connection: the second that is late tells, as before."""
        with self.prepare(Faults()):
            upstream = self.upstream(self.workers()[0])
            self.assertEqual(self.outcome(upstream, 0), "ok")
            upstream.reachability.consecutive_timeouts, upstream.reachability.last_timeout_at = 1, self.now
            self.assertEqual(self.outcome(upstream, 1), "ok")
            self.assertEqual(upstream.reachability.consecutive_timeouts, 1)
            upstream.close()

    def test_each_doubt_has_its_own_checks(self):
        """One that was taken back while it was looked into costs the next none of its connections."""
        worker = rig.Worker(lambda *_: True)  # it answers nothing
        self.addCleanup(worker.close)
        with self.prepare(Faults()):
            upstream = self.upstream(worker)
            upstream.probe.connect_count = worker_client.MAX_SENDS
            upstream.send(command := self.command(0))
            self.until(lambda: self.faults.begun)
            command.connection.end("ended by the worker")
            self.assertEqual(
                (self.recorded, upstream.probe.unresolved, upstream.probe.connect_count), ([], [command], 1)
            )
            self.end(1)
            self.assertEqual(
                (self.recorded, upstream.probe.unresolved, upstream.probe.connect_count),
                ([(IDENTS[0], "error")], [], 0),
            )
            upstream.close()

    def test_moments_far_apart_tell_nothing(self):
        for name in ("connect", "SO_ERROR"):
            with self.subTest(name), self.prepare(Faults(name, 1, errno.ENETUNREACH, 99)):
                upstream = self.upstream(self.workers()[0])
                for at in range(4):
                    self.assertEqual(self.outcome(upstream, at), "unsent")
                    self.now += 60000.0
                upstream.close()

    def test_a_fault_of_our_own_tells_nothing_of_the_worker(self):
        """What nobody foresaw ends a connection that is being made: what waited for it has one end, never ran."""
        with self.prepare(Faults()):
            upstream = self.upstream(self.workers()[0])
            upstream.send(self.command(0))
            upstream.connections[0].broken()
            self.end(1)
            self.assertIn(self.recorded[0][1], ("ok", "unsent"))
            upstream.close()

    def test_a_cut_of_our_own_tells_nothing_of_the_worker(self):
        """The desk cuts a worker client that does not read: what waits for a connection there goes on another."""
        with self.prepare(Faults()):
            upstream = self.upstream(self.workers()[0])
            upstream.send(self.command(0))
            upstream.disconnect()
            self.end(1)
            self.assertEqual((self.recorded, self.pool.used), ([(IDENTS[0], "ok")], 1))
            upstream.close()
            self.assertEqual(self.pool.used, 0)


if __name__ == "__main__":
    unittest.main()
