"""What waits for a socket that takes no more, where the thread that is to write it can't be had."""

import socket
import threading
import unittest
from unittest.mock import patch

from wickdyke.transport.write_buffer import OutgoingMessage, WriteBuffer

LARGE = bytes(8 << 20)  # more than the kernel takes at once


class NoThread(unittest.TestCase):
    """A write buffer whose thread cannot be started."""

    def test_the_connection_is_told_as_ended_and_a_later_thread_is_tried(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        box = WriteBuffer(ours, 64 << 20, "peer")
        with (
            patch.object(threading.Thread, "start", side_effect=RuntimeError("can't start new thread")),
            self.assertRaises(OSError),
        ):
            box.put(OutgoingMessage(LARGE))
        self.assertIsNone(box.thread)
        box.put(OutgoingMessage(b"last"))
        received = bytearray()
        while not received.endswith(b"last"):
            received += theirs.recv(1 << 20)
        self.assertEqual(len(received), len(LARGE) + 4)
        box.close()
        box.thread.join()


if __name__ == "__main__":
    unittest.main()
