"""Failing system calls of the event loop: it goes on, keeps no state of a failed call, and leaks no descriptor."""

import errno
import os
import select
import socket
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests.descriptors import open_descriptors, opened_since
from wickdyke.transport import event_loop, sockets

OUT_OF_RESOURCES_ERRORS = (errno.ENOMEM, errno.ENOSPC)


def os_error(code):
    """Returns the OSError of a failed system call."""
    return OSError(code, os.strerror(code))


class FaultyEpoll:
    """An epoll whose methods raise the `errors` listed under their name, one per call (None: the call succeeds)."""

    def __init__(self):
        self.real, self.errors = select.epoll(), {}

    def __getattr__(self, name):
        def call(*args):
            pending_errors = self.errors.get(name)
            error = pending_errors.pop(0) if pending_errors else None
            if error is not None:
                raise error
            return getattr(self.real, name)(*args)

        return call


class Handler:
    """A handler that records the calls of its methods."""

    def __init__(self, priority=event_loop.Priority.HIGH):
        self.priority, self.calls = priority, []

    def readable(self):
        """Records the call."""
        self.calls.append("readable")

    def writable(self):
        """Records the call."""
        self.calls.append("writable")

    def broken(self):
        """Records the call."""
        self.calls.append("broken")


class EventLoopFaultCase(unittest.TestCase):
    """An event loop whose epoll calls may fail, with a clock set by the test."""

    def setUp(self):
        self.now, self.reported_errors = 0.0, []
        patcher = patch.object(event_loop, "clock", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.epoll = FaultyEpoll()
        with patch.object(event_loop.select, "epoll", lambda: self.epoll):
            self.loop = event_loop.EventLoop(self.reported_errors.append)
        self.addCleanup(self.loop.close)

    def pair(self):
        """Returns two connected non-blocking sockets, closed after the test."""
        socks = socket.socketpair()
        for sock in socks:
            self.addCleanup(sock.close)
            sock.setblocking(False)
        return socks

    def run_once(self, elapsed=0.0):
        """Runs one iteration without a wait, `elapsed` ms later."""
        self.now += elapsed
        self.loop.run_once(0.0, lambda: None)


class AddFaults(EventLoopFaultCase):
    """Failures when a socket is added."""

    def test_a_failed_add_raises_and_leaves_nothing_behind(self):
        """Another socket reuses the descriptor, and only its handler is called."""
        for code in OUT_OF_RESOURCES_ERRORS:
            with self.subTest(errno.errorcode[code]):
                failed_handler, new_handler = Handler(), Handler()
                failed_sock, failed_peer = socket.socketpair()
                fd = failed_sock.fileno()
                self.epoll.errors = {"register": [os_error(code)]}
                with self.assertRaises(OSError):
                    self.loop.add(failed_sock, failed_handler)
                self.assertEqual(self.loop.handlers, {})
                self.loop.remove(failed_sock)
                failed_sock.close()
                failed_peer.close()
                sock, peer = self.pair()
                self.assertIn(fd, (sock.fileno(), peer.fileno()))
                used = sock if sock.fileno() == fd else peer
                self.loop.add(used, new_handler)
                (peer if used is sock else sock).send(b"x")
                self.run_once()
                self.loop.remove(used)
                sock.close()
                peer.close()
                self.assertEqual((failed_handler.calls, new_handler.calls, self.loop.handlers), ([], ["readable"], {}))

    def test_a_second_add_raises_and_keeps_the_first(self):
        first, second = Handler(), Handler()
        sock, peer = self.pair()
        self.loop.add(sock, first)
        with self.assertRaises(FileExistsError):
            self.loop.add(sock, second)
        peer.send(b"x")
        self.run_once()
        self.assertEqual((first.calls, second.calls), (["readable"], []))


class SetInterestFaults(EventLoopFaultCase):
    """Failures when the events that a socket waits for change."""

    def test_a_failed_modification_is_retried_until_it_succeeds(self):
        for code in (*OUT_OF_RESOURCES_ERRORS, errno.EINTR):
            for times in (1, 2, 5):
                with self.subTest(code=errno.errorcode[code], times=times):
                    handler = Handler()
                    sock, _ = self.pair()
                    self.loop.add(sock, handler)
                    self.epoll.errors = {"modify": [os_error(code)] * times}
                    self.loop.set_interest(sock, True)
                    for _ in range(times):
                        self.run_once()
                        self.assertEqual(handler.calls, [])
                        self.run_once(event_loop.MODIFY_RETRY_DELAY)
                    self.run_once()
                    self.assertEqual(handler.calls, ["writable"])
                    self.assertEqual((self.loop.pending_modifications, self.reported_errors), ({}, []))
                    self.loop.remove(sock)

    def test_the_last_interest_set_is_in_force(self):
        """A failed modification is not retried after a later one has succeeded."""
        handler = Handler()
        sock, _ = self.pair()
        self.loop.add(sock, handler)
        self.epoll.errors = {"modify": [os_error(errno.ENOMEM)]}
        self.loop.set_interest(sock, True)
        self.loop.set_interest(sock, False)
        for _ in range(3):
            self.run_once(event_loop.MODIFY_RETRY_DELAY)
        self.assertEqual(handler.calls, [])

    def test_two_failed_modifications_in_a_row(self):
        handler = Handler()
        sock, _ = self.pair()
        self.loop.add(sock, handler)
        self.epoll.errors = {"modify": [os_error(errno.ENOMEM)] * 2}
        self.loop.set_interest(sock, False)
        self.loop.set_interest(sock, True)
        self.run_once(event_loop.MODIFY_RETRY_DELAY)
        self.run_once()
        self.assertEqual((handler.calls, self.loop.timers.heap), (["writable"], []))

    def test_a_reused_descriptor_is_not_modified(self):
        old, new_handler = Handler(), Handler()
        sock, _ = self.pair()
        fd = sock.fileno()
        self.loop.add(sock, old)
        self.epoll.errors = {"modify": [os_error(errno.ENOMEM)]}
        self.loop.set_interest(sock, True)
        self.loop.remove(sock)
        sock.close()
        new_socket = socket.socket()
        self.addCleanup(new_socket.close)
        self.assertEqual(new_socket.fileno(), fd)
        self.loop.add(new_socket, new_handler)
        with patch.object(self.epoll, "modify", Mock(), create=True) as modify:
            for _ in range(3):
                self.run_once(event_loop.MODIFY_RETRY_DELAY)
            modify.assert_not_called()
        self.assertEqual((old.calls, self.reported_errors), ([], []))

    def test_an_unregistered_socket(self):
        """An error of the caller, which raises."""
        sock, _ = self.pair()
        with self.assertRaises(FileNotFoundError):
            self.loop.set_interest(sock, True)
        self.assertEqual((self.loop.pending_modifications, self.loop.timers.heap), ({}, []))


class RemoveFaults(EventLoopFaultCase):
    """Failures when a socket is removed."""

    def test_remove_never_raises(self):
        for code in (errno.ENOMEM, errno.ENOENT, errno.EBADF, errno.EINTR):
            with self.subTest(errno.errorcode[code]):
                handler = Handler()
                sock, peer = self.pair()
                self.loop.add(sock, handler)
                self.epoll.errors = {"unregister": [os_error(code)]}
                self.loop.remove(sock)
                peer.send(b"x")
                self.run_once()
                sock.close()
                self.run_once()
                self.assertEqual((handler.calls, self.loop.handlers, self.reported_errors), ([], {}, []))


class IterationFaults(EventLoopFaultCase):
    """Failures of the poll itself and of handlers within an iteration."""

    def test_an_interrupted_poll(self):
        """(which poll): timers and `before_normal_priority` still run, and the sockets are served in the next one."""
        for nth in (1, 2, 3):
            with self.subTest(nth=nth):
                handler, timer, before_normal_priority = Handler(), Mock(), Mock()
                sock, peer = self.pair()
                self.loop.add(sock, handler)
                peer.send(b"x")
                self.epoll.errors = {"poll": [None] * (nth - 1) + [InterruptedError(errno.EINTR, "interrupted")]}
                self.loop.call_at(self.now, timer)
                for _ in range(nth):
                    self.loop.run_once(0.0, before_normal_priority)
                self.assertEqual(handler.calls, ["readable"] * (nth - 1))
                timer.assert_called_once_with()
                self.assertEqual(before_normal_priority.call_count, nth)
                self.run_once()
                self.assertEqual(handler.calls, ["readable"] * nth)
                self.loop.remove(sock)

    def test_a_handler_whose_broken_method_raises_too(self):
        """The other handlers are served."""
        failing_handler, good_handler = Handler(), Handler(event_loop.Priority.NORMAL)
        failing_handler.readable = Mock(side_effect=KeyError("unforeseen"))
        failing_handler.broken = Mock(side_effect=os_error(errno.EIO))
        for handler in (failing_handler, good_handler):
            sock, peer = self.pair()
            self.loop.add(sock, handler)
            peer.send(b"x")
        self.run_once()
        self.assertEqual(good_handler.calls, ["readable"])
        self.assertEqual([type(error) for error in self.reported_errors], [KeyError, OSError])


class ReceiveErrors(unittest.TestCase):
    """Errors of recv(2)."""

    def test_each_error(self):
        """(error) -> None for no data yet, or empty for the end of the connection."""
        for code, expected in (
            (errno.EAGAIN, None),
            (errno.EINTR, None),
            (errno.ENOMEM, None),
            (errno.ENOBUFS, None),
            (errno.ECONNRESET, b""),
            (errno.ECONNREFUSED, b""),
            (errno.ETIMEDOUT, b""),
            (errno.EHOSTUNREACH, b""),
            (errno.ENETUNREACH, b""),
            (errno.ENOTCONN, b""),
        ):
            with self.subTest(errno.errorcode[code]):
                received = sockets.receive(Mock(recv=Mock(side_effect=os_error(code))), 100)
                self.assertEqual((received.data, received.nothing_waited), (expected, code == errno.EAGAIN))


class DialFaults(unittest.TestCase):
    """Failures of a connect, on real sockets."""

    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.address = self.server.getsockname()
        self.descriptors_before = open_descriptors()

    def dial(self, address=None, **members):
        """Dials the server, or `address`, with a socket class that has these members replaced."""
        faulty_socket = type("Faulty", (socket.socket,), members)
        with patch.object(sockets, "socket", SimpleNamespace(**{**vars(socket), "socket": faulty_socket})):
            return sockets.dial(address or self.address)

    def test_each_step_fails(self):
        """The errno is returned, and no socket is left open."""
        for name, codes in (
            ("__init__", (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EACCES)),
            ("setblocking", (errno.EBADF, errno.ENOMEM)),
            ("connect_ex", (errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH)),
        ):
            for code in codes:
                with self.subTest(name=name, code=errno.errorcode[code]):
                    self.assertEqual(self.dial(**{name: Mock(side_effect=os_error(code))}), (None, code))
                    self.assertEqual(opened_since(self.descriptors_before), set())

    def test_connect_returns_an_error(self):
        for code in (
            errno.EACCES,
            errno.EPERM,
            errno.EADDRINUSE,
            errno.EADDRNOTAVAIL,
            errno.EAFNOSUPPORT,
            errno.EAGAIN,
            errno.EALREADY,
            errno.EBADF,
            errno.ECONNREFUSED,
            errno.EISCONN,
            errno.ENETUNREACH,
            errno.ENOTSOCK,
            errno.EPROTOTYPE,
            errno.ETIMEDOUT,
            errno.EHOSTUNREACH,
            errno.ENOBUFS,
            errno.ECONNRESET,
        ):
            with self.subTest(errno.errorcode[code]):
                self.assertEqual(self.dial(connect_ex=Mock(return_value=code)), (None, code))
                self.assertEqual(opened_since(self.descriptors_before), set())

    def test_an_interrupted_connect(self):
        """The connect continues in the kernel and succeeds."""

        def interrupted(sock, address):
            socket.socket.connect_ex(sock, address)
            return errno.EINTR

        sock, code = self.dial(connect_ex=interrupted)
        self.assertEqual(code, 0)
        with sock, self.server.accept()[0] as accepted:
            accepted.sendall(b"x")
            sock.setblocking(True)
            self.assertEqual(sock.recv(1), b"x")

    def test_invalid_addresses(self):
        for address in (("127.0.0.1", 70000), ("127.0.0.1", -1), ("a" * 100 + ".", 1)):
            with self.subTest(address=address):
                sock, code = sockets.dial(address)
                self.assertEqual((sock, code != 0), (None, True))
                self.assertEqual(opened_since(self.descriptors_before), set())

    def test_an_exception_of_a_signal_handler_propagates(self):
        with self.assertRaises(KeyboardInterrupt):
            self.dial(connect_ex=Mock(side_effect=KeyboardInterrupt))
        self.assertEqual(opened_since(self.descriptors_before), set())

    def test_a_failing_close(self):
        def close(sock):
            socket.socket.close(sock)
            raise os_error(errno.EIO)

        refused = Mock(return_value=errno.ECONNREFUSED)
        self.assertEqual(self.dial(connect_ex=refused, close=close), (None, errno.ECONNREFUSED))
        self.assertEqual(opened_since(self.descriptors_before), set())


if __name__ == "__main__":
    unittest.main()
