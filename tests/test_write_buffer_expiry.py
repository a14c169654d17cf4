"""Messages are rendered when their first byte is sent, and dropped once they have expired."""

import socket
import threading
import unittest

from tests.scripted_socket import Socket
from wickdyke.transport.write_buffer import MessageExpiredError, OutgoingMessage, PeerTooSlowError, WriteBuffer


class Rendered(unittest.TestCase):
    """An outbox of a loop, and messages that are rendered as they go."""

    def box(self, *takes, most=100):
        self.sock, self.waits, self.expired, self.text = Socket(*takes), [], [], b"one"
        return WriteBuffer(self.sock, most, "box", self.waits.append)

    def parcel(self, name="first"):
        return OutgoingMessage(lambda: self.text, expired=lambda: self.expired.append(name))

    def test_what_waits_is_rendered_when_it_goes(self):
        box = self.box(BlockingIOError(), BlockingIOError(), 99)
        self.assertFalse(box.put(first := self.parcel()))
        self.text = b"two"
        box.pump()
        self.assertFalse(first.begun)
        self.text = b"three"
        box.pump()
        self.assertEqual(
            (self.sock.data, first.begun, box.bytes_waiting, self.waits), (b"three", True, 0, [True, False])
        )

    def test_what_has_begun_stays_as_rendered(self):
        box = self.box(1, 1, 99)
        self.assertFalse(box.put(first := self.parcel()))
        for text in (b"two", None):  # its deadline passes between two of its bytes
            self.text = text
            box.pump()
        self.assertEqual((self.sock.data, first.begun, box.bytes_waiting, self.expired), (b"one", True, 0, []))

    def test_what_is_over_does_not_go(self):
        """At once or after it waited; what comes behind it goes."""
        box = self.box(BlockingIOError(), 99)
        box.put(first := self.parcel())
        box.put(OutgoingMessage(b"behind"))
        self.text = None
        with self.assertRaises(MessageExpiredError):
            box.put(self.parcel("second"))
        box.pump()
        self.assertEqual(
            (self.sock.data, first.begun, self.expired, box.bytes_waiting), (b"behind", False, ["first"], 0)
        )

    def test_the_bound_counts_what_was_rendered_last(self):
        """Also where a message is shorter or longer as it goes, is begun, taken back, or over."""
        box = self.box(BlockingIOError(), 2, 99, most=10)
        box.put(self.parcel())
        self.text = b"1234567"
        box.put(second := self.parcel())
        self.assertEqual(box.bytes_waiting, 10)
        with self.assertRaises(PeerTooSlowError):
            box.put(self.parcel())
        self.text = b"12345"
        box.pump()
        self.assertEqual((box.bytes_waiting, self.sock.data), (3 + 7, b"12"))
        self.assertTrue(box.withdraw(second))
        self.assertEqual(box.bytes_waiting, 3)
        box.pump()
        self.assertEqual((box.bytes_waiting, self.sock.data), (0, b"12345"))

    def test_no_memory_at_the_kernel_is_for_a_moment(self):
        """ENOBUFS and ENOMEM of send: nothing went, and it is offered again."""
        for code in (105, 12):
            with self.subTest(code):
                box = self.box(OSError(code, "no memory"), OSError(code, "no memory"), 99)
                self.assertFalse(box.put(first := self.parcel()))
                box.pump()
                self.assertFalse(first.begun)
                box.pump()
                self.assertEqual((self.sock.data, box.bytes_waiting), (b"one", 0))

    def test_a_thread_renders_what_goes_when_there_is_room(self):
        """The other side reads nothing until the text has changed: what did not fit before goes as changed."""
        here, there = socket.socketpair()
        self.addCleanup(there.close)
        self.addCleanup(here.close)
        box = WriteBuffer(here, 64 << 20, "box")
        self.addCleanup(box.close)
        big = b"x" * (4 << 20)
        render_called, self.text = threading.Event(), b"one"

        def render():
            render_called.set()
            return self.text

        over = threading.Event()
        self.assertFalse(box.put(OutgoingMessage(big)))
        box.put(waits := OutgoingMessage(render))
        box.put(gone := OutgoingMessage(lambda: b"gone" if self.text == b"one" else None, expired=over.set))
        self.text = b"two"
        received = b""
        while len(received) < len(big) + 3:
            received += there.recv(1 << 20)
        self.assertEqual(received[len(big) :], b"two")
        self.assertTrue(over.wait(20))
        self.assertEqual((waits.begun, gone.begun, box.bytes_waiting), (True, False, 0))

    def test_a_thread_ends_while_it_waits_for_room(self):
        here, there = socket.socketpair()
        self.addCleanup(there.close)
        self.addCleanup(here.close)
        box = WriteBuffer(here, 64 << 20, "box")
        box.put(begun := OutgoingMessage(b"x" * (4 << 20)))
        box.put(waits := OutgoingMessage(b"y"))
        self.assertTrue(begun.begun)
        self.assertTrue(box.withdraw(waits))
        box.close()
        box.thread.join(20)
        self.assertFalse(box.thread.is_alive())


if __name__ == "__main__":
    unittest.main()
