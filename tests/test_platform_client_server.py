"""The platform's client server: requests, errors, limits on connections, silent clients."""

import socket
import struct
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from wickdyke.gateway.events import ClientClosed, RequestReceived
from wickdyke.platform import client_connection, client_server
from wickdyke.routing.model import RequestClass
from wickdyke.transport.event_loop import clock
from wickdyke.transport.sockets import Received


class ClientServerCase(LoopCase):
    """Clients of the platform's client server, on real sockets."""

    def setUp(self):
        super().setUp()
        request_classes = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        self.address = rig.free_address()
        host, port = self.address.split(":")
        self.server = client_server.ClientServer(
            self.loop,
            client_server.ClientServerSettings((host, int(port)), request_classes, 20),
            self.recorded.append,
            lambda: "",
            Mock(),
        )
        self.server.listen()
        self.addCleanup(self.server.close_listener)
        self.addCleanup(lambda: [client.close() for client in list(self.server.clients.values())])

    def client(self):
        client = rig.Client(self.address)
        self.addCleanup(client.close)
        return client

    def answer(self, client):
        self.until(client.waits, "an answer")
        return client.answer()

    def test_a_request_reaches_the_coordinator_as_it_was_sent(self):
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(), b"\x00\xff"))
        self.until(lambda: self.recorded)
        (received,) = self.recorded
        pending = received.pending
        parameters = pending.params
        self.assertEqual(
            (
                parameters.ident,
                parameters.function,
                parameters.input,
                parameters.memory_mb,
                parameters.concurrency,
                pending.time_left,
                pending.request_class.name,
            ),
            (b"9b1f03aa5c7e2d41", "7f3a9c21e0b4d655", b"\x00\xff", 512.0, 2, 1500.0, "look"),
        )
        pending.succeed(b"done", 1)
        pending.reject("late")  # no second answer is sent
        self.assertEqual(self.answer(client), (1, "answer", b"done"))
        for word in ("shed", "fault"):
            self.recorded.clear()
            client.send(rig.dispatch(2 if word == "shed" else 3, rig.fields()))
            self.until(lambda: self.recorded)
            pending = self.recorded[0].pending
            pending.reject("x") if word == "shed" else pending.fail("x")
            self.assertEqual(self.answer(client)[1], word)

    def test_invalid_requests_get_an_exception_and_are_not_posted(self):
        """Each case: the data sent, and the kind of answer. No request is posted to the coordinator."""

        def dispatch_with(**overrides):
            return rig.dispatch(1, {k: v for k, v in rig.fields(**overrides).items() if v is not None})

        for case, data, word in (
            ("no class", dispatch_with(c="nosuch"), "exception"),
            ("no id", dispatch_with(i=None), "exception"),
            ("short id", dispatch_with(i="9b1f"), "exception"),
            ("id in upper case", dispatch_with(i="9B1F03AA5C7E2D41"), "exception"),
            ("digits that are not ASCII", dispatch_with(i="\uff19b1f03aa5c7e2d4"), "exception"),
            ("no function", dispatch_with(o=""), "exception"),
            ("unknown field", dispatch_with(zz="1"), "exception"),
            ("time nan", dispatch_with(d="nan"), "exception"),
            ("time inf", dispatch_with(d="inf"), "exception"),
            ("negative time", dispatch_with(d="-5"), "exception"),
            ("time of 0", dispatch_with(d="0"), "exception"),
            ("huge time", dispatch_with(d="9" * 40), "exception"),
            ("time with spaces", dispatch_with(d=" 15"), "exception"),
            ("negative memory", dispatch_with(tags="memory_mb:-1"), "exception"),
            ("too many lanes", dispatch_with(tags="lanes:1e9"), "exception"),
            ("unknown tag", dispatch_with(tags="zz:1"), "exception"),
            ("tag without a value", dispatch_with(tags="memory_mb"), "exception"),
            ("body too large", rig.dispatch(1, rig.fields(), b"x" * 17000), "exception"),
            ("unknown method", rig.framed(rig.message("drop", 1, b"\x00")), "exception"),
            ("negative length", struct.pack(">i", -5) + b"x" * 50, "exception"),
            ("length of 60 MiB", struct.pack(">i", 60 << 20) + b"x" * 5000, "exception"),
            ("random bytes", rig.framed(b"\xde\xad\xbe\xef" * 5), "exception"),
        ):
            with self.subTest(case):
                client = self.client()
                client.send(data)
                self.assertEqual(self.answer(client)[1], word)
                self.assertEqual([event for event in self.recorded if isinstance(event, RequestReceived)], [])

    def test_numbers_and_ids_in_use_are_refused(self):
        """A request whose id is in use is refused; a reused number ends the connection after the open answers."""
        client = self.client()
        client.send(rig.dispatch(1, rig.fields()) + rig.dispatch(2, rig.fields(), b"other"))
        self.assertEqual(self.answer(client)[:2], (2, "exception"))
        self.assertEqual(len(self.recorded), 1)
        client.send(rig.dispatch(2, rig.fields("a" * 16)))
        self.assertEqual(self.answer(client)[1], "exception")
        self.recorded[0].pending.reject("x")
        self.assertEqual(self.answer(client)[1], "shed")
        self.assertEqual(self.answer(client)[1], "closed")
        self.assertEqual((len(self.recorded), self.server.open_requests), (1, {}))

    def test_at_most_32_open_requests_per_connection(self):
        client = self.client()
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}")) for n in range(1, 35)))
        self.assertEqual([self.answer(client)[:2] for _ in range(2)], [(33, "exception"), (34, "exception")])
        self.assertEqual(len(self.recorded), 32)

    def connected_clients(self):
        """Returns the server's connections of two clients, both of which have had an answer."""
        clients = [self.client(), self.client()]
        self.until(lambda: len(self.server.clients) == len(clients))
        for client in clients:
            client.send(rig.alive(1))
            self.answer(client)
        return self.server.clients.values()

    def read_all_refilled(self, connection, after_first_read=lambda: None):
        """Reads all of a connection whose data is replaced as soon as it is read; returns the number of bytes read."""
        read = []

        def refilled(sock, size):
            if len(read) == 1:
                after_first_read()
            frames = rig.cancel(1, 1)
            read.append(frames * (size // len(frames)))
            return Received(read[-1])

        with patch.object(client_connection, "receive", refilled):
            self.server.read_all(connection)
        return sum(map(len, read))

    def test_a_client_that_sends_faster_than_it_is_read_does_not_hold_up_the_others(self):
        """Guards against reads to the end of such a client that take seconds, while usual clients stay unread."""
        greedy, usual = self.connected_clients()
        size = self.read_all_refilled(greedy)
        held_by_kernel = greedy.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertLess(size, held_by_kernel + client_connection.READ_SIZE)
        self.assertLess(held_by_kernel, 1 << 18)
        turns = self.loop.turns
        fds = [usual.sock.fileno(), greedy.sock.fileno()]
        turns.wait(fds)
        self.assertEqual(sorted(reversed(fds), key=turns.expected_finish), fds)

    def test_data_that_waited_long_does_not_raise_the_limit_of_what_is_read_at_once(self):
        """Guards against each of the consecutive calls reading as much as all of them may, on a busy machine."""
        greedy, _ = self.connected_clients()

        def continue_reading():
            client_connection.MAX_READ_TIME = 1e9

        with (
            patch.object(self.loop, "unread_for", lambda sock, now: 2 * client_connection.UNREAD_AGE_THRESHOLD),
            patch.object(client_connection, "MAX_READ_TIME", -1.0),  # the first call ends after one read
        ):
            size = self.read_all_refilled(greedy, after_first_read=continue_reading)
        held_by_kernel = greedy.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertLess(size, held_by_kernel + client_connection.READ_SIZE)

    def client_with_unread_data(self, data):
        """Returns the connection and the open request of a client whose further data has arrived, but was not read."""
        client = self.client()
        client.send(rig.dispatch(1, rig.fields()))
        self.until(lambda: self.recorded)
        (connection,) = self.server.clients.values()
        client.send(data)
        connection.sock.recv(len(data), socket.MSG_PEEK | socket.MSG_WAITALL)
        connection.observer.last_looked_at = connection.waiting_since = 0.0  # long ago
        return connection, self.recorded[0].pending

    def test_requests_stay_unread_while_it_is_seen_that_their_client_waits(self):
        """Guards against attempts each of which has a flooding client's requests handled ahead of all others."""
        requests = b"".join(rig.dispatch(n, rig.fields(f"{n:016x}")) for n in range(2, 9))
        connection, pending = self.client_with_unread_data(requests)
        before = connection.bytes_read
        self.assertTrue(pending.is_client_waiting())
        self.assertEqual((connection.bytes_read, len(self.recorded)), (before, 1))
        self.until(lambda: len(self.recorded) == 8)

    def test_a_cancel_behind_unread_requests_is_seen_before_an_attempt(self):
        request = rig.dispatch(2, rig.fields("a" * 16))
        _, pending = self.client_with_unread_data(request + rig.cancel(3, 1))
        self.assertFalse(pending.is_client_waiting())

    def test_a_client_whose_data_waits_is_not_silent(self):
        """Guards against a sweep that reads all that flooding clients have sent, for seconds, or that closes them."""
        request = rig.dispatch(2, rig.fields("a" * 16))
        connection, _ = self.client_with_unread_data(request[8:])
        connection.frame_parser.buffer = request[:8]
        before = connection.bytes_read
        self.server._sweep()
        self.assertEqual((connection.bytes_read, connection.ending, connection.closed), (before, False, False))
        self.until(lambda: len(self.recorded) == 2)

    def test_requests_cancelled_before_they_are_handled_are_closed(self):
        client = self.client()
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}")) + rig.cancel(n, n) for n in range(1, 9)))
        self.until(lambda: len(self.recorded) == 16)
        self.assertTrue(all(event.pending.closed for event in self.recorded))
        client.send(rig.dispatch(9, rig.fields()))
        self.until(lambda: len(self.recorded) == 17)
        client.close()
        self.until(lambda: isinstance(self.recorded[-1], ClientClosed))
        self.assertEqual((self.server.open_requests, self.server.clients), ({}, {}))

    def test_silent_and_incomplete_clients_are_closed_and_answered_ones_stay(self):
        with patch.object(client_server, "SILENCE_TIMEOUT", 100.0):
            silent, incomplete, answered = self.client(), self.client(), self.client()
            incomplete.send(rig.dispatch(1, rig.fields())[:30])
            answered.send(rig.alive(1))
            self.assertEqual(self.answer(answered)[1], "bad")  # not serving yet
            for client in (silent, incomplete):
                self.assertEqual(self.answer(client)[1], "closed")
            deadline = clock() + 400
            self.until(lambda: clock() > deadline)
            self.assertEqual(len(self.server.clients), 1)

    def test_at_the_connection_limit_new_connections_stay(self):
        idle = self.client()
        idle.send(rig.alive(1))
        self.answer(idle)
        new = [self.client() for _ in range(20)]
        self.until(lambda: self.server.last_connection_number == 21)
        self.assertEqual(self.answer(idle)[1], "closed")
        for client in new:
            client.send(rig.alive(1))
            self.assertEqual(self.answer(client)[1], "bad")

    def test_at_the_connection_limit_silent_connections_are_closed_first(self):
        answered = self.client()
        answered.send(rig.alive(1))
        self.answer(answered)
        waiting_client = self.client()
        waiting_client.send(rig.dispatch(1, rig.fields()))
        self.until(lambda: self.recorded)
        silent = [self.client() for _ in range(18)]
        self.until(lambda: len(self.server.clients) == 20)
        for client in self.server.clients.values():
            client.waiting_since -= client_server.NEW_CONNECTION_TIME
        newest = self.client()
        newest.send(rig.alive(1))
        self.assertEqual(self.answer(newest)[1], "bad")
        self.assertEqual(self.answer(silent[0])[1], "closed")
        answered.send(rig.alive(2))
        self.assertEqual(self.answer(answered)[1], "bad")
        self.recorded[0].pending.succeed(b"", 1)
        self.assertEqual(self.answer(waiting_client)[1], "answer")


if __name__ == "__main__":
    unittest.main()
