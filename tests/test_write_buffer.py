"""A write buffer whose thread can't be started while its socket accepts no more data."""

import errno
import os
import socket
import threading
import unittest
from unittest.mock import Mock, patch

from wickdyke.transport import write_buffer
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


class PollFails(unittest.TestCase):
    """Failures of poll(2) while the peer does not read."""

    def test_a_poll_that_is_refused(self):
        """Guards against a connection that is closed, with its answers, where the system refuses poll(2) (issue 65)."""
        for code in (errno.ENOSYS, errno.ENOMEM):
            with self.subTest(code=code):
                sock, peer = socket.socketpair()
                self.addCleanup(sock.close)
                self.addCleanup(peer.close)
                poll = Mock(poll=Mock(side_effect=OSError(code, os.strerror(code))))
                with patch.object(write_buffer, "select", Mock(poll=lambda poll=poll: poll)):
                    buffer = WriteBuffer(sock, 64 << 20, "peer")
                    buffer.put(OutgoingMessage(LARGE))
                    received = 0
                    while received < len(LARGE) and (data := peer.recv(1 << 20)):
                        received += len(data)
                    buffer.close()
                    buffer.thread.join()
                self.assertEqual(received, len(LARGE))


if __name__ == "__main__":
    unittest.main()
