"""Listeners whose system calls fail: each goes on, costs one connection at most, and leaves no descriptor open."""

import errno
import os
import socket
import tempfile
import threading
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests.descriptors import open_descriptors, opened_since
from tests.rig import LONG, until
from wickdyke.config.gateway_sections import ServerLimits
from wickdyke.jsonrpc import client_server
from wickdyke.transport import acceptor, line_server

# accept(2): its own errors, and those of the network that Linux passes on from the new connection.
ACCEPT_ERRORS = (
    errno.EAGAIN,
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.EMFILE,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.ENOSR,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.EPROTONOSUPPORT,
    errno.ESOCKTNOSUPPORT,
    errno.ETIMEDOUT,
)
BOUNDS = ServerLimits(
    connections=16, open_requests=16, open_requests_per_client=16, line_bytes=1000, unread_bytes=1000, events=16
)
CONNECTIONS = 3  # made one after the other: the path of the acceptor is the same for each


def started_since(threads):
    """The threads alive now that are not among those, which were alive before the case.

    Not their number: a thread that another test module left may end meanwhile.
    """
    return set(threading.enumerate()) - threads


def failure(code):
    """The error of a system call."""
    return OSError(code, os.strerror(code))


def replaced(module, **members):
    """The module with some of its members replaced."""
    return SimpleNamespace(**{**vars(module), **members})


class FaultySocket(socket.socket):
    """A listening socket whose accept fails from the `nth` call on, `times` times.

    With `consumes` the connection is dropped by the kernel, as with ECONNABORTED; else it stays in the backlog.
    """

    code, nth, times, consumes = 0, 0, 1, False
    calls = 0

    def accept(self):
        type(self).calls += 1
        if self.nth <= type(self).calls < self.nth + self.times:
            if self.consumes:
                super().accept()[0].close()
            raise failure(self.code)
        return super().accept()


def faulty_socket(**how):
    """A FaultySocket class with these attributes."""
    return type("Faulty", (FaultySocket,), how)


def faulty_thread(nth):
    """A thread class of which the `nth` thread can't be started."""

    class Thread(threading.Thread):
        starts = 0

        def start(self):
            Thread.starts += 1
            if Thread.starts == nth:
                raise RuntimeError("can't start new thread")
            super().start()

    return Thread


class Echo:
    """A listener of transport/line_server.py that echoes."""

    module, threads_before = line_server, 1  # the thread of the acceptor itself is started by the module too

    def __init__(self, folder):
        self.address = os.path.join(folder, "echo.sock")
        self.listener = line_server.Listener(self.address, self._serve)

    def _serve(self, sock):
        while data := sock.recv(100):
            sock.sendall(data)

    def close(self):
        self.listener.close()


class JsonRpcServer:
    """The gateway's client server without a coordinator: it answers what is no JSON itself."""

    module, threads_before = client_server, 1

    def __init__(self, folder):
        self.address = os.path.join(folder, "server.sock")
        config = SimpleNamespace(
            bounds=BOUNDS, request_classes=(), function_settings=(), tenants=(), listen=self.address
        )
        self.server = client_server.ClientServer(config, Mock(), lambda: "", Mock())
        self.server.open()

    def close(self):
        self.server.shut()
        self.server.disconnect_all()


LISTENERS = (Echo, JsonRpcServer)


class Case(unittest.TestCase):
    """A folder for sockets, and checks that no descriptor or thread is left."""

    def setUp(self):
        made = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(made.cleanup)
        self.folder = made.name

    def connect(self, listener):
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.addCleanup(sock.close)
        sock.settimeout(LONG)
        sock.connect(listener.address)
        return sock

    def is_served(self, listener):
        """Whether a new connection gets an answer; False where it is closed without one."""
        with self.connect(listener) as sock:
            try:
                sock.sendall(b"{\n")
                return bool(sock.recv(100))
            except (BrokenPipeError, ConnectionResetError):
                return False

    def assert_none_left(self, before, threads):
        self.assertTrue(until(lambda: not opened_since(before)), opened_since(before))
        self.assertTrue(until(lambda: not started_since(threads)), started_since(threads))


class AcceptFails(Case):
    """Each error of accept, at each connection."""

    def test_each_error_at_each_connection(self):
        """The connection waits in the backlog meanwhile, and is then served: none is lost."""
        for listener_class in LISTENERS:
            for code in ACCEPT_ERRORS:
                for nth in range(1, CONNECTIONS + 1):
                    with self.subTest(listener_class=listener_class.__name__, code=errno.errorcode[code], nth=nth):
                        before, threads = open_descriptors(), set(threading.enumerate())
                        faulty = faulty_socket(code=code, nth=nth, times=2)
                        with patch.object(line_server, "socket", replaced(socket, socket=faulty)):
                            listener = listener_class(self.folder)
                        try:
                            for _ in range(CONNECTIONS):
                                self.assertTrue(self.is_served(listener))
                        finally:
                            listener.close()
                        self.assertGreaterEqual(faulty.calls, nth + 1)
                        self.assert_none_left(before, threads)

    def test_a_connection_that_is_dropped_with_the_error(self):
        """That one is lost, no other."""
        for listener_class in LISTENERS:
            for code in (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EPERM):
                for nth in range(1, CONNECTIONS + 1):
                    with self.subTest(listener_class=listener_class.__name__, code=errno.errorcode[code], nth=nth):
                        before, threads = open_descriptors(), set(threading.enumerate())
                        faulty = faulty_socket(code=code, nth=nth, consumes=True)
                        with patch.object(line_server, "socket", replaced(socket, socket=faulty)):
                            listener = listener_class(self.folder)
                        try:
                            served = [self.is_served(listener) for _ in range(CONNECTIONS + 1)]
                        finally:
                            listener.close()
                        self.assertEqual(served, [at != nth - 1 for at in range(CONNECTIONS + 1)])
                        self.assert_none_left(before, threads)


class ThreadFails(Case):
    """No thread can be started for a connection or for the acceptor."""

    def test_no_thread_for_a_connection(self):
        """That one is closed; the next is served."""
        for listener_class in LISTENERS:
            for nth in range(1, CONNECTIONS + 1):
                with self.subTest(listener_class=listener_class.__name__, nth=nth):
                    before, threads = open_descriptors(), set(threading.enumerate())
                    faulty = faulty_thread(listener_class.threads_before + nth)
                    with patch.object(listener_class.module, "threading", replaced(threading, Thread=faulty)):
                        listener = listener_class(self.folder)
                        try:
                            served = [self.is_served(listener) for _ in range(CONNECTIONS + 1)]
                        finally:
                            listener.close()
                    self.assertEqual(served[nth:], [True] * (CONNECTIONS + 1 - nth))
                    self.assertEqual(served[: nth - 1], [True] * (nth - 1))
                    self.assertEqual(faulty.starts, listener_class.threads_before + CONNECTIONS + 1)
                    self.assert_none_left(before, threads)

    def test_no_thread_for_the_acceptor(self):
        """The listener can't be made, and leaves nothing open."""
        before = open_descriptors()
        with (
            patch.object(line_server, "threading", replaced(threading, Thread=faulty_thread(1))),
            self.assertRaises(RuntimeError),
        ):
            Echo(self.folder)
        self.assertEqual(opened_since(before), set())


class ServingRaises(Case):
    """Unexpected errors while a connection is served."""

    def test_an_unexpected_error(self):
        """It closes the connection; the next is served."""
        before, threads = open_descriptors(), set(threading.enumerate())
        seen = []

        def breaks(sock):
            sock.recv(100)
            raise RuntimeError("can't start new thread")

        with patch.object(threading, "excepthook", lambda raised: seen.append(raised.exc_type)):
            listener = Echo(self.folder)
            with patch.object(listener.listener, "serve", breaks):
                self.assertFalse(self.is_served(listener))
            self.assertTrue(self.is_served(listener))
            listener.close()
            self.assert_none_left(before, threads)
        self.assertEqual(seen, [RuntimeError])

    def test_an_unexpected_error_of_a_server(self):
        """The connection is closed, and the server's owner is notified."""
        before, threads = open_descriptors(), set(threading.enumerate())
        gone = []

        def heard(wire, request):
            raise RuntimeError("can't start new thread")

        with patch.object(threading, "excepthook", Mock()):
            address = os.path.join(self.folder, "server.sock")
            made = line_server.LineServer(address, heard, gone.append)
            sock = self.connect(SimpleNamespace(address=address))
            sock.sendall(b'{"jsonrpc":"2.0","method":"x","params":{},"id":1}\n')
            self.assertEqual(sock.recv(1), b"")
            sock.close()
            made.close()
            self.assert_none_left(before, threads)
        self.assertEqual((len(gone), made.connections), (1, set()))


class Opening(Case):
    """Each system call that opens a listener fails."""

    def test_each_step_fails(self):
        """(address, call that fails) -> AddressInUseError, and nothing is left open."""
        for address in (os.path.join(self.folder, "s.sock"), "127.0.0.1:0"):
            for name in ("setsockopt", "bind", "listen"):
                if name == "setsockopt" and address.startswith("/"):
                    continue  # not called for a Unix socket
                with self.subTest(address=address[:9], name=name):
                    before = open_descriptors()
                    faulty = type("Faulty", (socket.socket,), {name: Mock(side_effect=failure(errno.ENOBUFS))})
                    with (
                        patch.object(line_server, "socket", replaced(socket, socket=faulty)),
                        self.assertRaises(line_server.AddressInUseError),
                    ):
                        line_server.listener(address)
                    self.assertEqual(opened_since(before), set())
            with self.subTest(address=address[:9], name="socket"):
                before = open_descriptors()
                none = Mock(side_effect=failure(errno.EMFILE))
                with (
                    patch.object(line_server, "socket", replaced(socket, socket=none)),
                    self.assertRaises(line_server.AddressInUseError),
                ):
                    line_server.listener(address)
                self.assertEqual(opened_since(before), set())


class Pauses(unittest.TestCase):
    """The pauses of the accept loop while accept fails again and again."""

    def accepts(self, code, waits):
        """Runs until the loop has paused that often; returns the number of calls of accept."""
        sock = Mock()
        sock.accept.side_effect = failure(code)
        sock.fileno.return_value = 3
        made = acceptor.Acceptor(sock, Mock())
        paused = []

        def wait(span):
            paused.append(span)
            if len(paused) == waits:
                made.close()

        with patch.object(made.closed, "wait", wait):
            made.run()
        self.assertEqual(paused, [acceptor.PAUSE] * waits)
        return sock.accept.call_count

    def test_short_of_resources_each_try_waits(self):
        for code in acceptor.SHORT_OF_RESOURCES:
            self.assertEqual(self.accepts(code, 5), 5)

    def test_other_errors_are_tried_again_at_once_up_to_a_bound(self):
        for code in set(ACCEPT_ERRORS) - acceptor.SHORT_OF_RESOURCES:
            self.assertEqual(self.accepts(code, 5), acceptor.IMMEDIATE_RETRIES + 5)

    def test_close_ends_a_pause(self):
        sock, failed = Mock(), threading.Event()
        sock.accept.side_effect = failure(errno.EMFILE)
        sock.fileno.return_value = 3
        with patch.object(acceptor, "PAUSE", 1000 * LONG):
            made = acceptor.Acceptor(sock, Mock(), lambda error: failed.set())
            thread = threading.Thread(target=made.run, daemon=True)
            thread.start()
            self.assertTrue(failed.wait(LONG))
            made.close()
            thread.join(LONG)
        self.assertFalse(thread.is_alive())


if __name__ == "__main__":
    unittest.main()
