"""Facts of the system that are refused, of an unexpected shape or implausible, on real connections."""

import contextlib
import errno
import select
import socket
import struct
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from wickdyke.transport import system_facts
from wickdyke.transport.system_facts import Look

REFUSED = OSError(errno.ENOSYS, "Function not implemented")


def polls_answering(answer):
    """Returns a stand-in for the module `select` whose polls return, or raise, an answer."""
    poll = Mock()
    poll.poll = Mock(side_effect=answer) if isinstance(answer, Exception) else Mock(return_value=answer)
    return SimpleNamespace(**{**vars(select), "poll": lambda: poll})


class RefusingSocket(socket.socket):
    """A connected socket that refuses some calls by name; `getsockopt` may answer a value instead."""

    def __init__(self, sock, refused=(), option_value=None):
        super().__init__(fileno=sock.detach())
        self.refused, self.option_value = refused, option_value

    def _answer(self, name, *args):
        if name in self.refused:
            raise REFUSED
        return getattr(super(), name)(*args)

    def recv(self, *args):
        """Reads data."""
        return self._answer("recv", *args)

    def recv_into(self, *args):
        """Reads data into a buffer."""
        return self._answer("recv_into", *args)

    def getsockopt(self, *args):
        """Returns the value of an option."""
        return self._answer("getsockopt", *args) if self.option_value is None else self.option_value


class ConnectionCase(unittest.TestCase):
    """Base of tests on one TCP connection, `sock` to `peer`."""

    def connection(self, refused=(), option_value=None):
        """Returns both ends of a new connection; the first refuses some calls."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = socket.create_connection(listener.getsockname())
            sock = RefusingSocket(listener.accept()[0], refused, option_value)
        self.addCleanup(peer.close)
        self.addCleanup(sock.close)
        return sock, peer

    def wait_for_event(self, sock, event):
        """Returns once the kernel reports that event."""
        poll = select.poll()
        poll.register(sock, event)
        self.assertTrue(poll.poll(20000))


class PeerCloses(ConnectionCase):
    """What is known of a peer's close."""

    def test_a_close_with_and_without_the_fact(self):
        """Each case: (what poll answers, data before the close, closed): expected.

        Guards against a refused poll that ends commands, and against a connection that vouches unseen (issue 65).
        """
        unknown_events = [(0, select.POLLNVAL)]
        for name, answer in (("true", None), ("refused", REFUSED), ("implausible", unknown_events)):
            for data, closed, expected in (
                (b"", False, False),
                (b"", True, True),
                (b"x", False, None),
                (b"x", True, None),
            ):
                with self.subTest(poll=name, data=data, closed=closed):
                    sock, peer = self.connection()
                    peer.sendall(data)
                    if closed:
                        peer.shutdown(socket.SHUT_WR)
                        self.wait_for_event(sock, select.POLLRDHUP)
                    elif data:
                        self.wait_for_event(sock, select.POLLIN)
                    with contextlib.ExitStack() as patches:
                        if answer is not None:
                            patches.enter_context(patch.object(system_facts, "select", polls_answering(answer)))
                        seen = system_facts.peer_has_closed(sock)
                    self.assertIs(seen, closed if answer is None else expected)

    def test_an_end_where_data_can_not_be_looked_at(self):
        for closed in (False, True):
            with self.subTest(closed=closed):
                sock, peer = self.connection(refused=("recv_into",))
                if closed:
                    peer.close()
                    self.wait_for_event(sock, select.POLLRDHUP)
                self.assertIs(system_facts.has_ended(sock), closed)
                with patch.object(system_facts, "select", polls_answering(REFUSED)):
                    self.assertIs(system_facts.has_ended(sock), None)
                    self.assertIs(system_facts.peer_has_closed(sock), None)

    def test_a_look_at_each_state(self):
        sock, peer = self.connection()
        buffer = bytearray(2)
        self.assertEqual(system_facts.look(sock, buffer).state, Look.EMPTY)
        peer.sendall(b"abc")
        self.wait_for_event(sock, select.POLLIN)
        self.assertEqual(system_facts.look(sock, buffer), system_facts.LookResult(Look.DATA, 2))
        sock.recv(3)
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        self.wait_for_event(sock, select.POLLHUP)
        self.assertEqual(system_facts.look(sock, buffer).state, Look.ENDED)

    def test_a_closed_socket(self):
        sock, _ = self.connection()
        sock.close()
        self.assertIs(system_facts.close_reported(sock), None)
        self.assertIs(system_facts.has_ended(sock), None)

    def test_implausible_sizes_of_a_receive_buffer(self):
        """Guards against a front end that ends at its start, or takes all memory, by that size (issue 65)."""
        for value, expected in ((-1, None), (0, None), (1 << 40, None), (1 << 12, None), (1 << 17, 1 << 17)):
            with self.subTest(value=value):
                sock, _ = self.connection(option_value=value)
                self.assertEqual(system_facts.receive_buffer_size(sock, 1 << 16), expected)
        sock, _ = self.connection(refused=("getsockopt",))
        self.assertIsNone(system_facts.receive_buffer_size(sock, 1 << 16))


class ConnectErrors(ConnectionCase):
    """The result of a non-blocking connect, also where SO_ERROR is refused or implausible."""

    def connecting(self, address, **faults):
        """Returns a socket whose connect to that address has ended."""
        plain = socket.socket()
        plain.setblocking(False)
        plain.connect_ex(address)
        sock = RefusingSocket(plain, **faults)
        self.addCleanup(sock.close)
        self.wait_for_event(sock, select.POLLOUT)
        return sock

    def test_each_answer(self):
        """Guards against connections to workers and discovery that are never up for want of SO_ERROR (issue 65)."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            for faults in ({}, {"refused": ("getsockopt",)}, {"option_value": -1}):
                with self.subTest(faults=faults):
                    self.assertEqual(system_facts.connect_error(self.connecting(address, **faults)), 0)
        for faults in ({}, {"refused": ("getsockopt",)}, {"option_value": 1 << 20}):
            with self.subTest(faults=faults):
                code = system_facts.connect_error(self.connecting(address, **faults))
                self.assertEqual(code, errno.ECONNREFUSED)


class Probe(unittest.TestCase):
    """The facts that are logged at the start."""

    def test_a_system_that_refuses_all(self):
        with (
            patch.object(system_facts, "select", polls_answering(REFUSED)),
            patch.object(system_facts, "own_memory", lambda: None),
            patch.object(system_facts, "look", lambda sock, buffer: system_facts.LookResult(Look.UNKNOWN)),
            patch.object(system_facts, "_buffer_size", lambda sock: None),
        ):
            self.assertEqual(system_facts.probe(), system_facts.SystemFacts(False, False, None, False))

    def test_a_call_without_which_there_is_no_server(self):
        """Guards against a process that runs and serves nobody, or ends with a traceback (issue 65)."""
        system_facts.require_server_calls()
        for code, message in (
            (errno.ENOSYS, "epoll_create is refused (Function not"),
            (errno.ENOBUFS, "epoll_create is refused (Function not"),
            (errno.EMFILE, None),
            (errno.ENOMEM, None),
        ):
            with self.subTest(code=code):
                refusing = SimpleNamespace(**{**vars(select), "epoll": Mock(side_effect=OSError(code, "Function not"))})
                with patch.object(system_facts, "select", refusing):
                    if message is None:
                        system_facts.require_server_calls()
                    else:
                        with self.assertRaises(system_facts.MissingCallError) as raised:
                            system_facts.require_server_calls()
                        self.assertIn(message, str(raised.exception))

    def test_no_descriptor(self):
        with patch.object(system_facts.socket, "socket", side_effect=OSError(errno.EMFILE, "Too many open files")):
            self.assertIsNone(system_facts.probe().receive_buffer)


if __name__ == "__main__":
    unittest.main()
