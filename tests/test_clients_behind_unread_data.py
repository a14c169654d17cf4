"""Clients that leave behind data that the front end has not read yet."""

import contextlib
import select
import socket
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import SteppedClockCase, request
from wickdyke.platform import client_connection, withdrawals
from wickdyke.platform.client_connection import MAX_OPEN_REQUESTS
from wickdyke.transport.system_facts import Look, LookResult

BUSY_TIME = 300.0  # ms for which the front end reads no client
REQUESTS = 16
SMALL_BODY = bytes(3000)  # with which the receive buffer holds all requests and the close behind them
LARGE_BODY = bytes(16 * 1024)  # with which the client's kernel keeps back a part of the requests, and the close


class UnreadCloses(SteppedClockCase):
    """A client sends many requests at once and closes, while the front end serves others."""

    def send_and_close(self, body):
        """Sends requests on a new connection and closes it; returns once all that can come has come."""
        client = self.client()
        client.send(request(1))  # from now on a connection to the worker is open
        self.assertEqual(self.answer(client)[1], "answer")
        (connection,) = self.service.client_server.clients.values()
        client.send(b"".join(request(number, body=body) for number in range(2, REQUESTS + 2)))
        client.close()
        self.assertTrue(select.select([connection.sock], [], [], rig.TIMEOUT)[0])

    def assert_no_attempt(self, worker, body):
        """Fails if an attempt begins for a client that left BUSY_TIME before its requests are read."""
        self.send_and_close(body)
        self.now += BUSY_TIME
        with patch.object(client_connection, "MAX_READ_TIME", -1.0):  # each turn ends after one read
            self.until(lambda: not self.service.client_server.clients, "the close")
        self.advance(500.0, 20.0, settle=True)
        self.assertEqual(len(worker.received(b"invoke")), 1)
        self.assertEqual(self.service.coordinator.requests.by_id, {})

    def test_a_close_behind_data_of_several_turns(self):
        """Guards against attempts for a client whose close is known, while what it sent before is still unread."""
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        self.assert_no_attempt(worker, SMALL_BODY)

    def test_a_close_that_a_full_receive_buffer_holds_back(self):
        """Guards against attempts for a client whose close waits in its own kernel, behind requests beyond a buffer."""
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        self.assert_no_attempt(worker, LARGE_BODY)

    def test_a_close_that_is_held_back_after_a_read(self):
        """Guards against attempts for a client whose last data, and close, come only after room was made (issue 65).

        Each case: bytes of the bodies. The requests come one by one and exceed what the kernel takes by little.
        """
        for size in range(3000, 4001, 100):
            with self.subTest(size=size):
                worker = self.worker()
                self.front_end(worker.address)
                self.discovery_heard()
                client = self.client()
                client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                client.send(request(1))
                self.assertEqual(self.answer(client)[1], "answer")
                (connection,) = self.service.client_server.clients.values()
                for number in range(2, MAX_OPEN_REQUESTS + 1):
                    client.send(request(number, body=bytes(size)))
                client.close()
                self.assertTrue(select.select([connection.sock], [], [], rig.TIMEOUT)[0])
                self.now += BUSY_TIME
                with patch.object(client_connection, "MAX_READ_TIME", -1.0):  # each turn ends after one read
                    self.until(lambda: not self.service.client_server.clients, "the close")
                self.advance(500.0, 20.0, settle=True)
                self.assertEqual(len(worker.received(b"invoke")), 1)
                self.close_front_end()

    def test_a_burst_beyond_a_receive_buffer_is_served(self):
        """A client that stays is served, also where its burst waited while the front end was busy."""
        for busy_time in (0.0, BUSY_TIME):
            with self.subTest(busy_time=busy_time):
                self.front_end(self.worker().address)
                self.discovery_heard()
                client = self.client()
                self.until(lambda: self.service.client_server.clients)
                client.send(b"".join(request(number, body=LARGE_BODY) for number in range(1, 9)))
                self.now += busy_time
                answers = [self.final_answer(client, 1000.0) for _ in range(8)]
                self.assertEqual({word for _, word, _ in answers}, {"answer"})
                self.close_front_end()

    def test_a_client_whose_leaving_can_not_be_seen_is_refused(self):
        """A client that sends without pause, more than is read, is answered, and costs no attempt."""
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        client = self.client()
        self.until(lambda: self.service.client_server.clients)
        client.sock.setblocking(False)
        frames = b"".join(request(number) for number in range(1, 40000))
        with contextlib.suppress(BlockingIOError):
            while True:
                frames = frames[client.sock.send(frames) :]
        self.now += BUSY_TIME
        with patch.object(client_connection, "MAX_READ_TIME", -1.0):
            self.service.run_once()
            self.service.run_once()
        self.assertEqual(worker.received(b"invoke"), [])
        client.sock.settimeout(rig.TIMEOUT)
        answers = [client.answer() for _ in range(32)]
        self.assertLessEqual({word for _, word, _ in answers}, {"shed", "exception"})


class UnreadClosesNotReported(UnreadCloses):
    """The same where the system does not tell that a close has arrived behind unread data."""

    def setUp(self):
        super().setUp()
        patch.object(withdrawals, "close_reported", lambda sock: None).start()


class UnreadClosesWithoutLooks(UnreadClosesNotReported):
    """The same where, besides, data can't be looked at without being read."""

    def setUp(self):
        super().setUp()
        patch.object(withdrawals, "look", lambda sock, buffer: LookResult(Look.UNKNOWN)).start()


if __name__ == "__main__":
    unittest.main()
