"""Failing system calls of listeners: each listener goes on, loses one connection at most, and leaks no descriptor."""

import errno
import os
import socket
import tempfile
import threading
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests.descriptors import open_descriptors, opened_since
from tests.rig import STEP_TIMEOUT, until
from wickdyke.config.gateway_sections import ServerLimits
from wickdyke.jsonrpc import client_server
from wickdyke.transport import acceptor, line_server

# The errors of accept(2) itself, and the network errors of the new connection that Linux passes on through it.
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
CONNECTION_COUNT = 3  # made one after the other, as the acceptor handles each in the same way


def started_since(threads_before):
    """Returns the threads alive now that are not in `threads_before`, the threads alive before the case.

    Counts of threads are not compared: a thread left by another test module may end meanwhile.
    """
    return set(threading.enumerate()) - threads_before


def os_error(code):
    """Returns the OSError of a failed system call."""
    return OSError(code, os.strerror(code))


def replaced(module, **members):
    """Returns a copy of the module with some of its members replaced."""
    return SimpleNamespace(**{**vars(module), **members})


class FaultySocket(socket.socket):
    """A listening socket whose accept fails with `code` from the `nth` call on, `times` times.

    With `drops_connection` the connection is dropped, as by the kernel on ECONNABORTED; else it stays in the backlog.
    """

    code, nth, times, drops_connection = 0, 0, 1, False
    accept_count = 0

    def accept(self):
        """Fails or accepts, as the attributes say."""
        type(self).accept_count += 1
        if self.nth <= type(self).accept_count < self.nth + self.times:
            if self.drops_connection:
                super().accept()[0].close()
            raise os_error(self.code)
        return super().accept()


def faulty_socket(**attributes):
    """Returns a FaultySocket class with these attributes."""
    return type("Faulty", (FaultySocket,), attributes)


def faulty_thread(nth):
    """Returns a thread class of which the `nth` thread can't be started."""

    class Thread(threading.Thread):
        starts = 0

        def start(self):
            Thread.starts += 1
            if Thread.starts == nth:
                raise RuntimeError("can't start new thread")
            super().start()

    return Thread


class EchoServer:
    """A Listener of transport/line_server.py that echoes."""

    module, threads_before_connections = line_server, 1  # the module also starts the acceptor's thread

    def __init__(self, folder):
        self.address = os.path.join(folder, "echo.sock")
        self.listener = line_server.Listener(self.address, self._serve)

    def _serve(self, sock):
        while data := sock.recv(100):
            sock.sendall(data)

    def close(self):
        """Closes the listener and its connections."""
        self.listener.close()


class JsonRpcServer:
    """The gateway's client server without a coordinator, which answers lines that are not JSON."""

    module, threads_before_connections = client_server, 1

    def __init__(self, folder):
        self.address = os.path.join(folder, "server.sock")
        config = SimpleNamespace(
            bounds=BOUNDS, request_classes=(), function_settings=(), tenants=(), listen=self.address
        )
        self.server = client_server.ClientServer(config, Mock(), lambda: "", Mock())
        self.server.open()

    def close(self):
        """Closes the listener and its connections."""
        self.server.stop_accepting()
        self.server.disconnect_all()


LISTENERS = (EchoServer, JsonRpcServer)


class ListenerCase(unittest.TestCase):
    """Provides a folder for sockets, and checks that no descriptor or thread is left."""

    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(temporary_folder.cleanup)
        self.folder = temporary_folder.name

    def connect(self, listener):
        """Returns a new connection to the listener, closed after the test."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.addCleanup(sock.close)
        sock.settimeout(STEP_TIMEOUT)
        sock.connect(listener.address)
        return sock

    def is_served(self, listener):
        """Returns whether a new connection gets an answer; False if it is closed without one."""
        with self.connect(listener) as sock:
            try:
                sock.sendall(b"{\n")
                return bool(sock.recv(100))
            except (BrokenPipeError, ConnectionResetError):
                return False

    def assert_none_left(self, descriptors_before, threads_before):
        """Checks that all descriptors and threads opened since then are gone."""
        self.assertTrue(until(lambda: not opened_since(descriptors_before)), opened_since(descriptors_before))
        self.assertTrue(until(lambda: not started_since(threads_before)), started_since(threads_before))


class AcceptFaults(ListenerCase):
    """Each error of accept, at each connection."""

    def test_each_error_at_each_connection(self):
        """The connection waits in the backlog meanwhile and is then served, so no connection is lost."""
        for listener_class in LISTENERS:
            for code in ACCEPT_ERRORS:
                for nth in range(1, CONNECTION_COUNT + 1):
                    with self.subTest(listener_class=listener_class.__name__, code=errno.errorcode[code], nth=nth):
                        descriptors_before, threads_before = open_descriptors(), set(threading.enumerate())
                        faulty = faulty_socket(code=code, nth=nth, times=2)
                        with patch.object(line_server, "socket", replaced(socket, socket=faulty)):
                            listener = listener_class(self.folder)
                        try:
                            for _ in range(CONNECTION_COUNT):
                                self.assertTrue(self.is_served(listener))
                        finally:
                            listener.close()
                        self.assertGreaterEqual(faulty.accept_count, nth + 1)
                        self.assert_none_left(descriptors_before, threads_before)

    def test_a_connection_dropped_with_the_error(self):
        """Only that connection is lost."""
        for listener_class in LISTENERS:
            for code in (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EPERM):
                for nth in range(1, CONNECTION_COUNT + 1):
                    with self.subTest(listener_class=listener_class.__name__, code=errno.errorcode[code], nth=nth):
                        descriptors_before, threads_before = open_descriptors(), set(threading.enumerate())
                        faulty = faulty_socket(code=code, nth=nth, drops_connection=True)
                        with patch.object(line_server, "socket", replaced(socket, socket=faulty)):
                            listener = listener_class(self.folder)
                        try:
                            served = [self.is_served(listener) for _ in range(CONNECTION_COUNT + 1)]
                        finally:
                            listener.close()
                        self.assertEqual(served, [index != nth - 1 for index in range(CONNECTION_COUNT + 1)])
                        self.assert_none_left(descriptors_before, threads_before)


class ThreadStartFaults(ListenerCase):
    """No thread can be started for a connection or for the acceptor."""

    def test_no_thread_for_a_connection(self):
        """That connection is closed; the next one is served."""
        for listener_class in LISTENERS:
            for nth in range(1, CONNECTION_COUNT + 1):
                with self.subTest(listener_class=listener_class.__name__, nth=nth):
                    descriptors_before, threads_before = open_descriptors(), set(threading.enumerate())
                    faulty = faulty_thread(listener_class.threads_before_connections + nth)
                    with patch.object(listener_class.module, "threading", replaced(threading, Thread=faulty)):
                        listener = listener_class(self.folder)
                        try:
                            served = [self.is_served(listener) for _ in range(CONNECTION_COUNT + 1)]
                        finally:
                            listener.close()
                    self.assertEqual(served[nth:], [True] * (CONNECTION_COUNT + 1 - nth))
                    self.assertEqual(served[: nth - 1], [True] * (nth - 1))
                    self.assertEqual(faulty.starts, listener_class.threads_before_connections + CONNECTION_COUNT + 1)
                    self.assert_none_left(descriptors_before, threads_before)

    def test_no_thread_for_the_acceptor(self):
        """The listener's constructor raises and leaves no descriptor open."""
        descriptors_before = open_descriptors()
        with (
            patch.object(line_server, "threading", replaced(threading, Thread=faulty_thread(1))),
            self.assertRaises(RuntimeError),
        ):
            EchoServer(self.folder)
        self.assertEqual(opened_since(descriptors_before), set())


class ServeErrors(ListenerCase):
    """Unexpected errors while a connection is served."""

    def test_an_error_while_serving(self):
        """The connection is closed; the next one is served."""
        descriptors_before, threads_before = open_descriptors(), set(threading.enumerate())
        thread_errors = []

        def raise_on_read(sock):
            sock.recv(100)
            raise RuntimeError("can't start new thread")

        with patch.object(threading, "excepthook", lambda raised: thread_errors.append(raised.exc_type)):
            listener = EchoServer(self.folder)
            with patch.object(listener.listener, "serve", raise_on_read):
                self.assertFalse(self.is_served(listener))
            self.assertTrue(self.is_served(listener))
            listener.close()
            self.assert_none_left(descriptors_before, threads_before)
        self.assertEqual(thread_errors, [RuntimeError])

    def test_an_error_in_a_request_handler(self):
        """The connection is closed, and the server's owner is notified."""
        descriptors_before, threads_before = open_descriptors(), set(threading.enumerate())
        closed_connections = []

        def raise_error(connection, request):
            raise RuntimeError("can't start new thread")

        with patch.object(threading, "excepthook", Mock()):
            address = os.path.join(self.folder, "server.sock")
            server = line_server.LineServer(address, raise_error, closed_connections.append)
            sock = self.connect(SimpleNamespace(address=address))
            sock.sendall(b'{"jsonrpc":"2.0","method":"x","params":{},"id":1}\n')
            self.assertEqual(sock.recv(1), b"")
            sock.close()
            server.close()
            self.assert_none_left(descriptors_before, threads_before)
        self.assertEqual((len(closed_connections), server.connections), (1, set()))


class ListenFaults(ListenerCase):
    """Failures of the system calls that open a listener."""

    def test_each_step_fails(self):
        """(address, failing call) -> AddressInUseError, and no descriptor is left open."""
        for address in (os.path.join(self.folder, "s.sock"), "127.0.0.1:0"):
            for name in ("setsockopt", "bind", "listen"):
                if name == "setsockopt" and address.startswith("/"):
                    continue  # not called for a Unix socket
                with self.subTest(address=address[:9], name=name):
                    descriptors_before = open_descriptors()
                    faulty = type("Faulty", (socket.socket,), {name: Mock(side_effect=os_error(errno.ENOBUFS))})
                    with (
                        patch.object(line_server, "socket", replaced(socket, socket=faulty)),
                        self.assertRaises(line_server.AddressInUseError),
                    ):
                        line_server.listen(address)
                    self.assertEqual(opened_since(descriptors_before), set())
            with self.subTest(address=address[:9], name="socket"):
                descriptors_before = open_descriptors()
                failing_socket = Mock(side_effect=os_error(errno.EMFILE))
                with (
                    patch.object(line_server, "socket", replaced(socket, socket=failing_socket)),
                    self.assertRaises(line_server.AddressInUseError),
                ):
                    line_server.listen(address)
                self.assertEqual(opened_since(descriptors_before), set())


class AcceptRetries(unittest.TestCase):
    """The delays of the accept loop while accept(2) fails repeatedly."""

    def accept_calls(self, code, delay_count):
        """Runs the accept loop for `delay_count` delays; returns the number of accept calls."""
        sock = Mock()
        sock.accept.side_effect = os_error(code)
        sock.fileno.return_value = 3
        accept_loop = acceptor.Acceptor(sock, Mock())
        delays = []

        def wait(delay):
            delays.append(delay)
            if len(delays) == delay_count:
                accept_loop.close()

        with patch.object(accept_loop.closed, "wait", wait):
            accept_loop.run()
        self.assertEqual(delays, [acceptor.ACCEPT_RETRY_DELAY] * delay_count)
        return sock.accept.call_count

    def test_resource_shortage_delays_each_retry(self):
        for code in acceptor.RESOURCE_SHORTAGE_ERRORS:
            self.assertEqual(self.accept_calls(code, 5), 5)

    def test_other_errors_are_retried_at_once_up_to_a_bound(self):
        for code in set(ACCEPT_ERRORS) - acceptor.RESOURCE_SHORTAGE_ERRORS:
            self.assertEqual(self.accept_calls(code, 5), acceptor.IMMEDIATE_RETRIES + 5)

    def test_close_ends_a_delay(self):
        sock, accept_failed = Mock(), threading.Event()
        sock.accept.side_effect = os_error(errno.EMFILE)
        sock.fileno.return_value = 3
        with patch.object(acceptor, "ACCEPT_RETRY_DELAY", 1000 * STEP_TIMEOUT):
            accept_loop = acceptor.Acceptor(sock, Mock(), lambda error: accept_failed.set())
            thread = threading.Thread(target=accept_loop.run, daemon=True)
            thread.start()
            self.assertTrue(accept_failed.wait(STEP_TIMEOUT))
            accept_loop.close()
            thread.join(STEP_TIMEOUT)
        self.assertFalse(thread.is_alive())


if __name__ == "__main__":
    unittest.main()
