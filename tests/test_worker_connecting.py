"""Connections to workers that are established late or never, and what that shows about the worker."""

import socket
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import ASCII_A, ASCII_B, FullListener, LoopCase, no_descriptor, reset
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import connection_pool, resp, worker_client, worker_command, worker_connection


class ConnectingTest(LoopCase):
    """Connections on an event loop, to listeners that accept no connections or accept them late."""

    def setUp(self):
        super().setUp()
        self.pool = connection_pool.ConnectionPool(20)

    def make_client(self, address, connect_timeout=40.0):
        created = worker_client.WorkerClient(
            "w",
            address,
            lambda event: self.recorded.append((event.command.ident, event.outcome)),
            self.loop,
            self.pool,
            worker_client.WorkerClientSettings(connect_timeout, 10000.0, ()),
        )
        self.addCleanup(created.close)
        return created

    def command(self, ident=ASCII_A, kind=CommandKind.ATTEMPT):
        return worker_command.Command(
            kind, None, ident, resp.command(b"invoke", ident, b"lane=look,name=x,ttl=9", b"b")
        )

    def make_unanswered_client(self):
        """Returns a client of a worker that does not answer, and a list that collects (socket, command) there."""
        unanswered = []
        worker = rig.Worker(lambda _, sock, parts: (unanswered.append((sock, parts)), True)[1])
        self.addCleanup(worker.close)
        self.recorded.clear()
        return self.make_client(worker.address, connect_timeout=60000.0), unanswered

    def redirect_to_full_listener(self, client):
        """Redirects the client to a listener that accepts no connections; returns its previous address."""
        address_before, (host, _, port) = client.target, FullListener(self).address.rpartition(":")
        client.target = host, int(port)
        return address_before

    def test_a_worker_is_unreachable_after_two_timeouts(self):
        """The first connect that times out is repeated; after a second in a row the worker is unreachable."""
        client = self.make_client(FullListener(self).address)
        connects = []
        original_init = worker_connection.WorkerConnection.__init__
        with patch.object(
            worker_connection.WorkerConnection,
            "__init__",
            lambda *args: (connects.append(list(self.recorded)), original_init(*args))[1],
        ):
            client.send(self.command())
            self.until(lambda: self.recorded)
        self.assertEqual((connects, self.recorded), ([[], []], [(ASCII_A, "unreached")]))

    def test_connects_started_together_count_as_one_timeout(self):
        client = self.make_client(FullListener(self).address, connect_timeout=60000.0)
        for index in range(5):
            client.send(self.command(b"%016d" % index))
        for connection in list(client.connections):
            connection._connect_timed_out()
        self.assertEqual((client.reachability.consecutive_timeouts, self.recorded, len(client.connections)), (1, [], 5))
        client.connections[0]._connect_timed_out()
        self.assertEqual([outcome for _, outcome in self.recorded], ["unreached"])

    def test_an_established_connection_resets_the_count_of_timeouts(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        client = self.make_client(worker.address, connect_timeout=60000.0)
        client.reachability.consecutive_timeouts = 1
        client.send(self.command())
        self.until(lambda: self.recorded)
        self.assertEqual((self.recorded, client.reachability.consecutive_timeouts), ([(ASCII_A, "ok")], 0))

    def test_a_waiting_command_is_sent_on_a_connection_that_becomes_idle(self):
        client, unanswered = self.make_unanswered_client()
        client.send(self.command())
        self.until(lambda: unanswered)
        self.redirect_to_full_listener(client)
        client.send(self.command(ASCII_B))
        self.assertEqual([connection.commands_in_flight for connection in client.connections], [1, 1])
        for index in range(2):
            self.until(lambda index=index: len(unanswered) > index)
            unanswered[index][0].sendall(rig.bulk(unanswered[index][1][1], b"ACK", b"-", b""))
        self.assertIs(unanswered[0][0], unanswered[1][0])
        self.until(lambda: len(self.recorded) == 2)
        self.assertEqual(self.recorded, [(ASCII_A, "ok"), (ASCII_B, "ok")])

    def test_a_drain_ends_unsent_commands(self):
        """Commands that wait for a connection end as unsent with either method, and are not sent later."""
        for method in ("withdraw_all_unsent", "drain"):
            with self.subTest(method):
                self.recorded.clear()
                client = self.make_client(FullListener(self).address, connect_timeout=60000.0)
                client.send(self.command())
                client.send(self.command(b"t1", CommandKind.PREWARM))
                getattr(client, method)()
                self.assertEqual(sorted(self.recorded), [(ASCII_A, "unsent"), (b"t1", "unsent")])
                self.assertEqual(
                    [connection.commands_in_flight for connection in client.all_connections()],
                    [0] * len(client.all_connections()),
                )

    def test_lack_of_descriptors_is_inconclusive(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        client = self.make_client(worker.address)
        with no_descriptor():
            client.send(self.command())
            client.send(self.command(b"t1", CommandKind.HEALTH_CHECK))
        self.assertEqual(self.recorded, [(ASCII_A, "unsent"), (b"t1", "unsent")])
        self.assertEqual((self.pool.used, client.all_connections()), (0, []))
        client.send(self.command(ASCII_B))
        self.until(lambda: len(self.recorded) == 3)
        self.assertEqual(self.recorded[2], (ASCII_B, "ok"))

    def test_a_lost_answer_without_a_descriptor_for_a_probe(self):
        """The only connection ends with an attempt on it and no probe can be opened: this does not show a restart."""
        worker = rig.Worker(lambda _, sock, parts: (reset(sock), True)[1])
        self.addCleanup(worker.close)
        client = self.make_client(worker.address)
        client.send(self.command())
        self.until(lambda: client.connections and client.connections[0].established)
        with no_descriptor():
            self.until(lambda: self.recorded)
        self.assertEqual(
            (self.recorded, client.probe.unresolved, client.probe.connection), ([(ASCII_A, "error")], [], None)
        )

    def test_a_probe_that_times_out_is_repeated(self):
        """After the connection is lost: ERROR if the second probe is established, CONNECTION_LOST if both time out."""
        for timeouts, outcome in ((1, "error"), (2, "cut")):
            with self.subTest(timeouts):
                client, unanswered = self.make_unanswered_client()
                client.send(self.command())
                self.until(lambda unanswered=unanswered: unanswered)
                address_before = self.redirect_to_full_listener(client)
                unanswered[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda client=client: client.probe.connection is not None)
                for _ in range(timeouts):
                    self.assertEqual(self.recorded, [])
                    if timeouts == 1:
                        client.target = address_before
                    client.probe.connection._connect_timed_out()
                self.until(lambda: self.recorded)
                self.assertEqual(self.recorded, [(ASCII_A, outcome)])

    def test_an_unresolved_attempt_is_cancelled_abandoned_or_drained(self):
        """An attempt whose answer was lost has at most one outcome, and nothing is left of it."""
        for method in ("cancel", "abandon", "drain"):
            with self.subTest(method):
                client, unanswered = self.make_unanswered_client()
                client.send(command := self.command())
                self.until(lambda unanswered=unanswered: unanswered)
                self.redirect_to_full_listener(client)
                unanswered[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda client=client: client.probe.unresolved)
                if method == "cancel":
                    self.assertEqual(client.cancel(command, lambda: None), "cancelled")
                elif method == "abandon":
                    self.assertTrue(client.abandon(command))
                else:
                    client.drain()
                    self.assertFalse(client.closed)
                self.assertFalse(client.withdraw_unsent(command))
                for _ in range(2):
                    if client.probe.connection is not None:
                        client.probe.connection._connect_timed_out()
                self.assertEqual(self.recorded, [(ASCII_A, "cut")] if method == "drain" else [])
                self.assertEqual((client.probe.unresolved, client.closed), ([], method == "drain"))

    def test_an_incomplete_answer(self):
        """A connection with an incomplete answer is not used again, whether its attempt was abandoned or answered."""
        for case in ("abandon", "answered"):
            with self.subTest(case):
                client, unanswered = self.make_unanswered_client()
                client.send(command := self.command())
                self.until(lambda unanswered=unanswered: unanswered)
                answer = rig.bulk(ASCII_A, b"ACK", b"-", b"body")
                unanswered[0][0].sendall(answer[:-4] if case == "abandon" else answer + answer[:-4])
                self.until(lambda client=client: client.connections[0].answer_reader.has_partial_answer)
                if case == "abandon":
                    self.assertTrue(client.abandon(command))
                self.assertFalse(any(connection.accepts(ASCII_B) for connection in client.connections))
                client.send(self.command(ASCII_B))
                self.until(lambda unanswered=unanswered: len(unanswered) == 2)
                self.assertIsNot(unanswered[0][0], unanswered[1][0])

    def test_a_duplicate_answer_that_arrives_late(self):
        """A later attempt of the same id is sent on another connection, so a duplicate answer can't end it."""
        client, unanswered = self.make_unanswered_client()
        client.send(self.command())
        self.until(lambda: unanswered)
        answer = rig.bulk(ASCII_A, b"AGAIN", b"-", b"")
        unanswered[0][0].sendall(answer)
        self.until(lambda: self.recorded)
        client.send(self.command())
        self.until(lambda: len(unanswered) == 2)
        self.assertIsNot(unanswered[0][0], unanswered[1][0])
        unanswered[0][0].sendall(answer)
        self.until(lambda: self.pool.counts["strays"])
        self.assertEqual(self.recorded, [(ASCII_A, "full")])
        unanswered[1][0].sendall(rig.bulk(ASCII_A, b"ACK", b"-", b""))
        self.until(lambda: len(self.recorded) == 2)
        self.assertEqual(self.recorded[1], (ASCII_A, "ok"))


if __name__ == "__main__":
    unittest.main()
