"""A write buffer whose thread can't be started while its socket accepts no more data."""

import socket
import threading
import unittest
from unittest.mock import patch

from wickdyke.transport.write_buffer import OutgoingMessage, WriteBuffer

LARGE = bytes(8 << 20)  # more bytes than the kernel accepts at once


class ThreadStartFails(unittest.TestCase):
    """Failures when the write buffer's thread is started."""

    def test_put_raises_and_a_later_put_starts_the_thread(self):
        sock, peer = socket.socketpair()
        self.addCleanup(sock.close)
        self.addCleanup(peer.close)
        write_buffer = WriteBuffer(sock, 64 << 20, "peer")
        with (
            patch.object(threading.Thread, "start", side_effect=RuntimeError("can't start new thread")),
            self.assertRaises(OSError),
        ):
            write_buffer.put(OutgoingMessage(LARGE))
        self.assertIsNone(write_buffer.thread)
        write_buffer.put(OutgoingMessage(b"last"))
        received = bytearray()
        while not received.endswith(b"last"):
            received += peer.recv(1 << 20)
        self.assertEqual(len(received), len(LARGE) + 4)
        write_buffer.close()
        write_buffer.thread.join()


if __name__ == "__main__":
    unittest.main()
