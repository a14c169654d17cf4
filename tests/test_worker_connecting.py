"""Connections to workers that are established late or never, and what that shows of the worker."""

import socket
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import ASCII_A, ASCII_B, FullListener, LoopCase, no_descriptor, reset
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import connection_pool, resp, worker_client, worker_command, worker_connection


class Connecting(LoopCase):
    """Connections on a loop, to listeners that let nobody in, or late."""

    def setUp(self):
        super().setUp()
        self.pool = connection_pool.ConnectionPool(20)

    def upstream(self, address, dial=40.0):
        made = worker_client.WorkerClient(
            "w",
            address,
            lambda event: self.recorded.append((event.command.ident, event.outcome)),
            self.loop,
            self.pool,
            worker_client.WorkerClientSettings(dial, 10000.0, ()),
        )
        self.addCleanup(made.close)
        return made

    def command(self, ident=ASCII_A, kind=CommandKind.ATTEMPT):
        return worker_command.Command(
            kind, None, ident, resp.command(b"invoke", ident, b"lane=look,name=x,ttl=9", b"b")
        )

    def held(self):
        """A worker client to a worker that answers nothing by itself, and what came there: (socket, command)."""
        held = []
        worker = rig.Worker(lambda _, sock, parts: (held.append((sock, parts)), True)[1])
        self.addCleanup(worker.close)
        self.recorded.clear()
        return self.upstream(worker.address, dial=60000.0), held

    def elsewhere(self, upstream):
        """From now on nobody lets that worker client in; where it went before."""
        here, (host, _, port) = upstream.target, FullListener(self).address.rpartition(":")
        upstream.target = host, int(port)
        return here

    def test_one_late_connection_is_not_a_worker_that_is_away(self):
        """The first that does not come up is tried again; with the second in a row nobody is there."""
        upstream = self.upstream(FullListener(self).address)
        dials = []
        init = worker_connection.WorkerConnection.__init__
        with patch.object(
            worker_connection.WorkerConnection,
            "__init__",
            lambda *to: (dials.append(list(self.recorded)), init(*to))[1],
        ):
            upstream.send(self.command())
            self.until(lambda: self.recorded)
        self.assertEqual((dials, self.recorded), ([[], []], [(ASCII_A, "unreached")]))

    def test_late_ones_that_were_begun_together_count_once(self):
        upstream = self.upstream(FullListener(self).address, dial=60000.0)
        for at in range(5):
            upstream.send(self.command(b"%016d" % at))
        for conn in list(upstream.connections):
            conn._connect_timed_out()
        self.assertEqual(
            (upstream.reachability.consecutive_timeouts, self.recorded, len(upstream.connections)), (1, [], 5)
        )
        upstream.connections[0]._connect_timed_out()
        self.assertEqual([outcome for _, outcome in self.recorded], ["unreached"])

    def test_one_that_came_up_takes_the_misses_back(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        upstream = self.upstream(worker.address, dial=60000.0)
        upstream.reachability.consecutive_timeouts = 1
        upstream.send(self.command())
        self.until(lambda: self.recorded)
        self.assertEqual((self.recorded, upstream.reachability.consecutive_timeouts), ([(ASCII_A, "ok")], 0))

    def test_what_waits_for_a_connection_goes_on_one_that_idles(self):
        upstream, held = self.held()
        upstream.send(self.command())
        self.until(lambda: held)
        self.elsewhere(upstream)
        upstream.send(self.command(ASCII_B))
        self.assertEqual([conn.commands_in_flight for conn in upstream.connections], [1, 1])
        for at in range(2):
            self.until(lambda at=at: len(held) > at)
            held[at][0].sendall(rig.bulk(held[at][1][1], b"ACK", b"-", b""))
        self.assertIs(held[0][0], held[1][0])
        self.until(lambda: len(self.recorded) == 2)
        self.assertEqual(self.recorded, [(ASCII_A, "ok"), (ASCII_B, "ok")])

    def test_a_drain_ends_what_has_not_gone(self):
        """(told how) -> what waits for a connection ends as never sent; nothing goes out later."""
        for how in ("withdraw_all_unsent", "drain"):
            with self.subTest(how):
                self.recorded.clear()
                upstream = self.upstream(FullListener(self).address, dial=60000.0)
                upstream.send(self.command())
                upstream.send(self.command(b"t1", CommandKind.PREWARM))
                getattr(upstream, how)()
                self.assertEqual(sorted(self.recorded), [(ASCII_A, "unsent"), (b"t1", "unsent")])
                self.assertEqual(
                    [conn.commands_in_flight for conn in upstream.all_connections()],
                    [0] * len(upstream.all_connections()),
                )

    def test_no_descriptor_is_no_word_of_the_worker(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        upstream = self.upstream(worker.address)
        with no_descriptor():
            upstream.send(self.command())
            upstream.send(self.command(b"t1", CommandKind.HEALTH_CHECK))
        self.assertEqual(self.recorded, [(ASCII_A, "unsent"), (b"t1", "unsent")])
        self.assertEqual((self.pool.used, upstream.all_connections()), (0, []))
        upstream.send(self.command(ASCII_B))
        self.until(lambda: len(self.recorded) == 3)
        self.assertEqual(self.recorded[2], (ASCII_B, "ok"))

    def test_doubt_where_no_descriptor_is_left(self):
        """The only connection ends with an attempt on it, and none can be made: that tells of no restart."""
        worker = rig.Worker(lambda _, sock, parts: (reset(sock), True)[1])
        self.addCleanup(worker.close)
        upstream = self.upstream(worker.address)
        upstream.send(self.command())
        self.until(lambda: upstream.connections and upstream.connections[0].established)
        with no_descriptor():
            self.until(lambda: self.recorded)
        self.assertEqual(
            (self.recorded, upstream.probe.unresolved, upstream.probe.connection), ([(ASCII_A, "error")], [], None)
        )

    def test_a_late_check_is_made_again_before_a_worker_is_gone(self):
        """(dials that come to nothing after the cut) -> error where a later one is met, cut where none is."""
        for misses, outcome in ((1, "error"), (2, "cut")):
            with self.subTest(misses):
                upstream, held = self.held()
                upstream.send(self.command())
                self.until(lambda held=held: held)
                here = self.elsewhere(upstream)
                held[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda upstream=upstream: upstream.probe.connection is not None)
                for _ in range(misses):
                    self.assertEqual(self.recorded, [])
                    if misses == 1:
                        upstream.target = here
                    upstream.probe.connection._connect_timed_out()
                self.until(lambda: self.recorded)
                self.assertEqual(self.recorded, [(ASCII_A, outcome)])

    def test_doubted_and_taken_back_retired_or_over(self):
        """(what meets an attempt in doubt) -> one end at most, and nothing kept."""
        for how in ("cancel", "forget", "retire"):
            with self.subTest(how):
                upstream, held = self.held()
                upstream.send(order := self.command())
                self.until(lambda held=held: held)
                self.elsewhere(upstream)
                held[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda upstream=upstream: upstream.probe.unresolved)
                if how == "cancel":
                    self.assertEqual(upstream.cancel(order, lambda: None), "cancelled")
                elif how == "forget":
                    self.assertTrue(upstream.abandon(order))
                else:
                    upstream.drain()
                    self.assertFalse(upstream.closed)
                self.assertFalse(upstream.withdraw_unsent(order))
                for _ in range(2):
                    if upstream.probe.connection is not None:
                        upstream.probe.connection._connect_timed_out()
                self.assertEqual(self.recorded, [(ASCII_A, "cut")] if how == "retire" else [])
                self.assertEqual((upstream.probe.unresolved, upstream.closed), ([], how == "retire"))

    def test_an_answer_that_stops_short(self):
        """The connection is of no further use, also where its attempt was only forgotten or ended by itself."""
        for how in ("forget", "answered"):
            with self.subTest(how):
                upstream, held = self.held()
                upstream.send(order := self.command())
                self.until(lambda held=held: held)
                whole = rig.bulk(ASCII_A, b"ACK", b"-", b"body")
                held[0][0].sendall(whole[:-4] if how == "forget" else whole + whole[:-4])
                self.until(lambda upstream=upstream: upstream.connections[0].answer_parser.has_partial_answer)
                if how == "forget":
                    self.assertTrue(upstream.abandon(order))
                self.assertFalse(any(conn.accepts(ASCII_B) for conn in upstream.connections))
                upstream.send(self.command(ASCII_B))
                self.until(lambda held=held: len(held) == 2)
                self.assertIsNot(held[0][0], held[1][0])

    def test_a_second_answer_that_comes_late(self):
        """It meets no later attempt of the same id on that connection: that one goes on another."""
        upstream, socks = self.held()
        upstream.send(self.command())
        self.until(lambda: socks)
        full = rig.bulk(ASCII_A, b"AGAIN", b"-", b"")
        socks[0][0].sendall(full)
        self.until(lambda: self.recorded)
        upstream.send(self.command())
        self.until(lambda: len(socks) == 2)
        self.assertIsNot(socks[0][0], socks[1][0])
        socks[0][0].sendall(full)
        self.until(lambda: self.pool.counts["strays"])
        self.assertEqual(self.recorded, [(ASCII_A, "full")])
        socks[1][0].sendall(rig.bulk(ASCII_A, b"ACK", b"-", b""))
        self.until(lambda: len(self.recorded) == 2)
        self.assertEqual(self.recorded[1], (ASCII_A, "ok"))


if __name__ == "__main__":
    unittest.main()
