"""Connections to workers that are established late or never, and what that shows of the worker."""

import socket
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import ASCII_A, ASCII_B, Full, Turned, no_descriptor, reset
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import connection_pool, resp, worker_client, worker_command, worker_connection


class Dialled(Turned):
    """Links on a loop, to listeners that let nobody in, or late."""

    def setUp(self):
        super().setUp()
        self.pool = connection_pool.ConnectionPool(20)

    def link(self, address, dial=40.0):
        made = worker_client.WorkerClient(
            "w",
            address,
            lambda event: self.told.append((event.command.ident, event.outcome)),
            self.loop,
            self.pool,
            worker_client.WorkerClientSettings(dial, 10000.0, ()),
        )
        self.addCleanup(made.close)
        return made

    def order(self, ident=ASCII_A, kind=CommandKind.ATTEMPT):
        return worker_command.Command(
            kind, None, ident, resp.command(b"invoke", ident, b"lane=look,name=x,ttl=9", b"b")
        )

    def held(self):
        """A link to a worker that answers nothing by itself, and what came there: (socket, command)."""
        held = []
        worker = rig.Worker(lambda _, sock, parts: (held.append((sock, parts)), True)[1])
        self.addCleanup(worker.close)
        self.told.clear()
        return self.link(worker.address, dial=60000.0), held

    def elsewhere(self, link):
        """From now on nobody lets that link in; where it went before."""
        here, (host, _, port) = link.target, Full(self).address.rpartition(":")
        link.target = host, int(port)
        return here

    def test_one_late_connection_is_not_a_worker_that_is_away(self):
        """The first that does not come up is tried again; with the second in a row nobody is there."""
        link = self.link(Full(self).address)
        dials = []
        init = worker_connection.WorkerConnection.__init__
        with patch.object(
            worker_connection.WorkerConnection, "__init__", lambda *to: (dials.append(list(self.told)), init(*to))[1]
        ):
            link.send(self.order())
            self.until(lambda: self.told)
        self.assertEqual((dials, self.told), ([[], []], [(ASCII_A, "unreached")]))

    def test_late_ones_that_were_begun_together_count_once(self):
        link = self.link(Full(self).address, dial=60000.0)
        for at in range(5):
            link.send(self.order(b"%016d" % at))
        for conn in list(link.connections):
            conn._timed_out()
        self.assertEqual((link.reachability.timeouts_in_row, self.told, len(link.connections)), (1, [], 5))
        link.connections[0]._timed_out()
        self.assertEqual([outcome for _, outcome in self.told], ["unreached"])

    def test_one_that_came_up_takes_the_misses_back(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        link = self.link(worker.address, dial=60000.0)
        link.reachability.timeouts_in_row = 1
        link.send(self.order())
        self.until(lambda: self.told)
        self.assertEqual((self.told, link.reachability.timeouts_in_row), ([(ASCII_A, "ok")], 0))

    def test_what_waits_for_a_connection_goes_on_one_that_idles(self):
        link, held = self.held()
        link.send(self.order())
        self.until(lambda: held)
        self.elsewhere(link)
        link.send(self.order(ASCII_B))
        self.assertEqual([conn.commands_in_flight for conn in link.connections], [1, 1])
        for at in range(2):
            self.until(lambda at=at: len(held) > at)
            held[at][0].sendall(rig.bulk(held[at][1][1], b"ACK", b"-", b""))
        self.assertIs(held[0][0], held[1][0])
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(self.told, [(ASCII_A, "ok"), (ASCII_B, "ok")])

    def test_a_drain_ends_what_has_not_gone(self):
        """(told how) -> what waits for a connection ends as never sent; nothing goes out later."""
        for how in ("withdraw_all_unsent", "drain"):
            with self.subTest(how):
                self.told.clear()
                link = self.link(Full(self).address, dial=60000.0)
                link.send(self.order())
                link.send(self.order(b"t1", CommandKind.PREWARM))
                getattr(link, how)()
                self.assertEqual(sorted(self.told), [(ASCII_A, "unsent"), (b"t1", "unsent")])
                self.assertEqual(
                    [conn.commands_in_flight for conn in link.all_connections()], [0] * len(link.all_connections())
                )

    def test_no_descriptor_is_no_word_of_the_worker(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        link = self.link(worker.address)
        with no_descriptor():
            link.send(self.order())
            link.send(self.order(b"t1", CommandKind.HEALTH_CHECK))
        self.assertEqual(self.told, [(ASCII_A, "unsent"), (b"t1", "unsent")])
        self.assertEqual((self.pool.used, link.all_connections()), (0, []))
        link.send(self.order(ASCII_B))
        self.until(lambda: len(self.told) == 3)
        self.assertEqual(self.told[2], (ASCII_B, "ok"))

    def test_doubt_where_no_descriptor_is_left(self):
        """The only connection ends with a call-out on it, and none can be made: that tells of no restart."""
        worker = rig.Worker(lambda _, sock, parts: (reset(sock), True)[1])
        self.addCleanup(worker.close)
        link = self.link(worker.address)
        link.send(self.order())
        self.until(lambda: link.connections and link.connections[0].up)
        with no_descriptor():
            self.until(lambda: self.told)
        self.assertEqual((self.told, link.probe.unresolved, link.probe.connection), ([(ASCII_A, "error")], [], None))

    def test_a_late_check_is_made_again_before_a_worker_is_gone(self):
        """(dials that come to nothing after the cut) -> error where a later one is met, cut where none is."""
        for misses, outcome in ((1, "error"), (2, "cut")):
            with self.subTest(misses):
                link, held = self.held()
                link.send(self.order())
                self.until(lambda held=held: held)
                here = self.elsewhere(link)
                held[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda link=link: link.probe.connection is not None)
                for _ in range(misses):
                    self.assertEqual(self.told, [])
                    if misses == 1:
                        link.target = here
                    link.probe.connection._timed_out()
                self.until(lambda: self.told)
                self.assertEqual(self.told, [(ASCII_A, outcome)])

    def test_doubted_and_taken_back_retired_or_over(self):
        """(what meets a call-out in doubt) -> one end at most, and nothing kept."""
        for how in ("cancel", "forget", "retire"):
            with self.subTest(how):
                link, held = self.held()
                link.send(order := self.order())
                self.until(lambda held=held: held)
                self.elsewhere(link)
                held[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda link=link: link.probe.unresolved)
                if how == "cancel":
                    self.assertEqual(link.cancel(order, lambda: None), "cancelled")
                elif how == "forget":
                    self.assertTrue(link.abandon(order))
                else:
                    link.drain()
                    self.assertFalse(link.closed)
                self.assertFalse(link.withdraw_unsent(order))
                for _ in range(2):
                    if link.probe.connection is not None:
                        link.probe.connection._timed_out()
                self.assertEqual(self.told, [(ASCII_A, "cut")] if how == "retire" else [])
                self.assertEqual((link.probe.unresolved, link.closed), ([], how == "retire"))

    def test_an_answer_that_stops_short(self):
        """The connection is of no further use, also where its call-out was only forgotten or ended by itself."""
        for how in ("forget", "answered"):
            with self.subTest(how):
                link, held = self.held()
                link.send(order := self.order())
                self.until(lambda held=held: held)
                whole = rig.bulk(ASCII_A, b"ACK", b"-", b"body")
                held[0][0].sendall(whole[:-4] if how == "forget" else whole + whole[:-4])
                self.until(lambda link=link: link.connections[0].answers.begun)
                if how == "forget":
                    self.assertTrue(link.abandon(order))
                self.assertFalse(any(conn.accepts(ASCII_B) for conn in link.connections))
                link.send(self.order(ASCII_B))
                self.until(lambda held=held: len(held) == 2)
                self.assertIsNot(held[0][0], held[1][0])

    def test_a_second_answer_that_comes_late(self):
        """It meets no later call-out of the same id on that connection: that one goes on another."""
        link, socks = self.held()
        link.send(self.order())
        self.until(lambda: socks)
        full = rig.bulk(ASCII_A, b"AGAIN", b"-", b"")
        socks[0][0].sendall(full)
        self.until(lambda: self.told)
        link.send(self.order())
        self.until(lambda: len(socks) == 2)
        self.assertIsNot(socks[0][0], socks[1][0])
        socks[0][0].sendall(full)
        self.until(lambda: self.pool.counts["strays"])
        self.assertEqual(self.told, [(ASCII_A, "full")])
        socks[1][0].sendall(rig.bulk(ASCII_A, b"ACK", b"-", b""))
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(self.told[1], (ASCII_A, "ok"))


if __name__ == "__main__":
    unittest.main()
