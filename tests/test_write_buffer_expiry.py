"""Messages of a write buffer are rendered when their first byte is sent, and dropped if they have expired by then."""

import socket
import threading
import unittest

from tests.scripted_socket import ScriptedSocket
from wickdyke.transport.write_buffer import MessageExpiredError, OutgoingMessage, PeerTooSlowError, WriteBuffer


class MessageRendering(unittest.TestCase):
    """Write buffers of an event loop or with a thread, and messages that are rendered when they are sent."""

    def write_buffer(self, *results, capacity=100):
        """Returns a write buffer for an event loop, whose socket has these scripted results."""
        self.sock, self.wait_changes, self.expired_names, self.payload = ScriptedSocket(*results), [], [], b"one"
        return WriteBuffer(self.sock, capacity, "write-buffer", self.wait_changes.append)

    def message(self, name="first"):
        """Returns a message that renders the present payload and records `name` when it expires."""
        return OutgoingMessage(lambda: self.payload, on_expired=lambda: self.expired_names.append(name))

    def test_a_waiting_message_is_rendered_when_it_is_sent(self):
        write_buffer = self.write_buffer(BlockingIOError(), BlockingIOError(), 99)
        self.assertFalse(write_buffer.put(first := self.message()))
        self.payload = b"two"
        write_buffer.send_waiting()
        self.assertFalse(first.send_started)
        self.payload = b"three"
        write_buffer.send_waiting()
        self.assertEqual(
            (self.sock.sent_data, first.send_started, write_buffer.bytes_waiting, self.wait_changes),
            (b"three", True, 0, [True, False]),
        )

    def test_a_message_sent_in_part_stays_as_rendered(self):
        write_buffer = self.write_buffer(1, 1, 99)
        self.assertFalse(write_buffer.put(first := self.message()))
        for payload in (b"two", None):  # its deadline passes between two of its bytes
            self.payload = payload
            write_buffer.send_waiting()
        self.assertEqual(
            (self.sock.sent_data, first.send_started, write_buffer.bytes_waiting, self.expired_names),
            (b"one", True, 0, []),
        )

    def test_expired_messages_are_not_sent(self):
        """A message may expire before `put` or while it waits; the messages behind it are sent."""
        write_buffer = self.write_buffer(BlockingIOError(), 99)
        write_buffer.put(first := self.message())
        write_buffer.put(OutgoingMessage(b"behind"))
        self.payload = None
        with self.assertRaises(MessageExpiredError):
            write_buffer.put(self.message("second"))
        write_buffer.send_waiting()
        self.assertEqual(
            (self.sock.sent_data, first.send_started, self.expired_names, write_buffer.bytes_waiting),
            (b"behind", False, ["first"], 0),
        )

    def test_the_capacity_counts_the_last_rendered_size(self):
        """It does so if a message is rendered shorter or longer when it is sent, is sent in part, or withdrawn."""
        write_buffer = self.write_buffer(BlockingIOError(), 2, 99, capacity=10)
        write_buffer.put(self.message())
        self.payload = b"1234567"
        write_buffer.put(second := self.message())
        self.assertEqual(write_buffer.bytes_waiting, 10)
        with self.assertRaises(PeerTooSlowError):
            write_buffer.put(self.message())
        self.payload = b"12345"
        write_buffer.send_waiting()
        self.assertEqual((write_buffer.bytes_waiting, self.sock.sent_data), (3 + 7, b"12"))
        self.assertTrue(write_buffer.withdraw(second))
        self.assertEqual(write_buffer.bytes_waiting, 3)
        write_buffer.send_waiting()
        self.assertEqual((write_buffer.bytes_waiting, self.sock.sent_data), (0, b"12345"))

    def test_a_send_without_memory_is_retried(self):
        """After ENOBUFS or ENOMEM of send(2) nothing was sent, and the message is sent again."""
        for code in (105, 12):
            with self.subTest(code):
                write_buffer = self.write_buffer(OSError(code, "no memory"), OSError(code, "no memory"), 99)
                self.assertFalse(write_buffer.put(first := self.message()))
                write_buffer.send_waiting()
                self.assertFalse(first.send_started)
                write_buffer.send_waiting()
                self.assertEqual((self.sock.sent_data, write_buffer.bytes_waiting), (b"one", 0))

    def test_the_thread_renders_a_message_once_the_socket_is_writable(self):
        """The peer reads only after the payload has changed: a message that did not fit before is sent as changed."""
        sock, peer = socket.socketpair()
        self.addCleanup(peer.close)
        self.addCleanup(sock.close)
        write_buffer = WriteBuffer(sock, 64 << 20, "write-buffer")
        self.addCleanup(write_buffer.close)
        large = b"x" * (4 << 20)
        render_called, self.payload = threading.Event(), b"one"

        def render():
            render_called.set()
            return self.payload

        expired_event = threading.Event()
        self.assertFalse(write_buffer.put(OutgoingMessage(large)))
        write_buffer.put(second := OutgoingMessage(render))
        write_buffer.put(
            expiring := OutgoingMessage(
                lambda: b"expiring" if self.payload == b"one" else None, on_expired=expired_event.set
            )
        )
        self.payload = b"two"
        received = b""
        while len(received) < len(large) + 3:
            received += peer.recv(1 << 20)
        self.assertEqual(received[len(large) :], b"two")
        self.assertTrue(expired_event.wait(20))
        self.assertEqual((second.send_started, expiring.send_started, write_buffer.bytes_waiting), (True, False, 0))

    def test_the_thread_ends_while_the_socket_is_not_writable(self):
        sock, peer = socket.socketpair()
        self.addCleanup(peer.close)
        self.addCleanup(sock.close)
        write_buffer = WriteBuffer(sock, 64 << 20, "write-buffer")
        write_buffer.put(first := OutgoingMessage(b"x" * (4 << 20)))
        write_buffer.put(second := OutgoingMessage(b"y"))
        self.assertTrue(first.send_started)
        self.assertTrue(write_buffer.withdraw(second))
        write_buffer.close()
        write_buffer.thread.join(20)
        self.assertFalse(write_buffer.thread.is_alive())


if __name__ == "__main__":
    unittest.main()
