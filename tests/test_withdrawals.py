"""Clients that cancel or close while requests of theirs wait unread, and data that is left where it is."""

import socket
import unittest

from tests import platform_rig as rig
from wickdyke.platform.client_connection import MAX_OPEN_REQUESTS
from wickdyke.platform.withdrawals import ClientState, WithdrawalDetector, has_unread_data

BUFFER_SIZE = 1 << 17
REQUESTS = b"".join(rig.dispatch(n, rig.fields(f"{n:016x}"), b"body") for n in range(1, MAX_OPEN_REQUESTS))


class Withdrawals(unittest.TestCase):
    """Looks at a TCP connection of which nothing is read."""

    def setUp(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = socket.create_connection(listener.getsockname())
            self.sock, _ = listener.accept()
        self.addCleanup(self.client.close)
        self.addCleanup(self.sock.close)
        self.detector = WithdrawalDetector(BUFFER_SIZE)

    def send(self, data):
        """Sends data, and returns once all of it has arrived."""
        self.client.sendall(data)
        self.sock.recv(len(data), socket.MSG_PEEK | socket.MSG_WAITALL)

    def test_requests_without_a_cancel(self):
        self.assertEqual(self.detector.state_of(self.sock, b""), ClientState.PRESENT)
        self.send(REQUESTS)
        self.assertEqual(self.detector.state_of(self.sock, REQUESTS[:-1]), ClientState.UNREAD_DATA)
        self.assertEqual(self.detector.unread_bytes, len(REQUESTS))
        self.assertEqual(self.sock.recv(BUFFER_SIZE), REQUESTS)

    def test_a_cancel_behind_requests_in_any_parts(self):
        """(bytes that were read before): the cancel is found, wherever the data was cut."""
        cancel = rig.cancel(99, 1)
        for read_before in range(len(cancel)):
            with self.subTest(read_before=read_before):
                self.send(cancel[read_before:] + REQUESTS)
                self.assertEqual(
                    self.detector.state_of(self.sock, cancel[:read_before]), ClientState.MAY_HAVE_WITHDRAWN
                )
                self.sock.recv(BUFFER_SIZE)
        self.send(REQUESTS + cancel)
        self.assertEqual(self.detector.state_of(self.sock, b""), ClientState.MAY_HAVE_WITHDRAWN)

    def test_a_close(self):
        """(data before the close): the close is found at once, also behind data."""
        self.send(REQUESTS)
        self.client.shutdown(socket.SHUT_WR)
        self.assertEqual(self.detector.state_of(self.sock, b""), ClientState.MAY_HAVE_WITHDRAWN)
        self.assertTrue(has_unread_data(self.sock))
        self.sock.recv(BUFFER_SIZE)
        self.assertEqual(self.detector.state_of(self.sock, b""), ClientState.MAY_HAVE_WITHDRAWN)
        self.assertFalse(has_unread_data(self.sock))

    def test_unread_data(self):
        self.assertFalse(has_unread_data(self.sock))
        self.send(b"x")
        self.assertTrue(has_unread_data(self.sock))
        self.assertEqual(self.sock.recv(BUFFER_SIZE), b"x")


if __name__ == "__main__":
    unittest.main()
