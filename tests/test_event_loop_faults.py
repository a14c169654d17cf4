"""The event loop where its system calls fail: it goes on, keeps nothing of what failed, and leaves nothing open."""

import errno
import os
import select
import socket
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests.descriptors import open_descriptors, opened_since
from wickdyke.transport import event_loop

NO_MEMORY = (errno.ENOMEM, errno.ENOSPC)


def failure(code):
    """The error of a system call."""
    return OSError(code, os.strerror(code))


class FaultyEpoll:
    """An epoll whose calls raise what `errors` holds for their name, one after the other (None: it works)."""

    def __init__(self):
        self.real, self.errors = select.epoll(), {}

    def __getattr__(self, name):
        def call(*args):
            waiting = self.errors.get(name)
            error = waiting.pop(0) if waiting else None
            if error is not None:
                raise error
            return getattr(self.real, name)(*args)

        return call


class Handler:
    """Records its calls."""

    def __init__(self, priority=event_loop.Priority.HIGH):
        self.priority, self.recorded = priority, []

    def readable(self):
        self.recorded.append("readable")

    def writable(self):
        self.recorded.append("writable")

    def broken(self):
        self.recorded.append("broken")


class Case(unittest.TestCase):
    """An event loop whose poll calls may fail, and connected sockets."""

    def setUp(self):
        self.now, self.faults = 0.0, []
        patcher = patch.object(event_loop, "clock", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.epoll = FaultyEpoll()
        with patch.object(event_loop.select, "epoll", lambda: self.epoll):
            self.loop = event_loop.EventLoop(self.faults.append)
        self.addCleanup(self.loop.close)

    def pair(self):
        ends = socket.socketpair()
        for end in ends:
            self.addCleanup(end.close)
            end.setblocking(False)
        return ends

    def run_once(self, span=0.0):
        self.now += span
        self.loop.run_once(0.0, lambda: None)


class Add(Case):
    """Failures when a socket is added."""

    def test_it_raises_and_keeps_nothing(self):
        """The number is used again by another socket, whose handler alone is told."""
        for code in NO_MEMORY:
            with self.subTest(errno.errorcode[code]):
                failed, fresh = Handler(), Handler()
                sock, peer = socket.socketpair()
                number = sock.fileno()
                self.epoll.errors = {"register": [failure(code)]}
                with self.assertRaises(OSError):
                    self.loop.add(sock, failed)
                self.assertEqual(self.loop.handlers, {})
                self.loop.remove(sock)
                sock.close()
                peer.close()
                mine, other = self.pair()
                self.assertIn(number, (mine.fileno(), other.fileno()))
                used = mine if mine.fileno() == number else other
                self.loop.add(used, fresh)
                (other if used is mine else mine).send(b"x")
                self.run_once()
                self.loop.remove(used)
                mine.close()
                other.close()
                self.assertEqual((failed.recorded, fresh.recorded, self.loop.handlers), ([], ["readable"], {}))

    def test_a_second_add_leaves_the_first(self):
        one, two = Handler(), Handler()
        mine, other = self.pair()
        self.loop.add(mine, one)
        with self.assertRaises(FileExistsError):
            self.loop.add(mine, two)
        other.send(b"x")
        self.run_once()
        self.assertEqual((one.recorded, two.recorded), (["readable"], []))


class Want(Case):
    """Failures when the events wanted of a socket change."""

    def test_it_is_told_again_until_the_kernel_takes_it(self):
        for code in (*NO_MEMORY, errno.EINTR):
            for times in (1, 2, 5):
                with self.subTest(code=errno.errorcode[code], times=times):
                    handler = Handler()
                    mine, _ = self.pair()
                    self.loop.add(mine, handler)
                    self.epoll.errors = {"modify": [failure(code)] * times}
                    self.loop.set_interest(mine, True)
                    for _ in range(times):
                        self.run_once()
                        self.assertEqual(handler.recorded, [])
                        self.run_once(event_loop.MODIFY_RETRY)
                    self.run_once()
                    self.assertEqual(handler.recorded, ["writable"])
                    self.assertEqual((self.loop.unmodified, self.faults), ({}, []))
                    self.loop.remove(mine)

    def test_the_last_wish_counts(self):
        """One that failed is not made good after a later one that went through."""
        handler = Handler()
        mine, _ = self.pair()
        self.loop.add(mine, handler)
        self.epoll.errors = {"modify": [failure(errno.ENOMEM)]}
        self.loop.set_interest(mine, True)
        self.loop.set_interest(mine, False)
        for _ in range(3):
            self.run_once(event_loop.MODIFY_RETRY)
        self.assertEqual(handler.recorded, [])

    def test_two_that_fail_one_after_the_other(self):
        handler = Handler()
        mine, _ = self.pair()
        self.loop.add(mine, handler)
        self.epoll.errors = {"modify": [failure(errno.ENOMEM)] * 2}
        self.loop.set_interest(mine, False)
        self.loop.set_interest(mine, True)
        self.run_once(event_loop.MODIFY_RETRY)
        self.run_once()
        self.assertEqual((handler.recorded, self.loop.timers.heap), (["writable"], []))

    def test_another_socket_with_its_number_is_not_changed(self):
        old, fresh = Handler(), Handler()
        mine, _ = self.pair()
        number = mine.fileno()
        self.loop.add(mine, old)
        self.epoll.errors = {"modify": [failure(errno.ENOMEM)]}
        self.loop.set_interest(mine, True)
        self.loop.remove(mine)
        mine.close()
        again = socket.socket()
        self.addCleanup(again.close)
        self.assertEqual(again.fileno(), number)
        self.loop.add(again, fresh)
        with patch.object(self.epoll, "modify", Mock(), create=True) as modify:
            for _ in range(3):
                self.run_once(event_loop.MODIFY_RETRY)
            modify.assert_not_called()
        self.assertEqual((old.recorded, self.faults), ([], []))

    def test_a_socket_that_is_not_watched(self):
        """A mistake of the caller: it is told."""
        mine, _ = self.pair()
        with self.assertRaises(FileNotFoundError):
            self.loop.set_interest(mine, True)
        self.assertEqual((self.loop.unmodified, self.loop.timers.heap), ({}, []))


class Remove(Case):
    """Failures when a socket is removed."""

    def test_it_never_raises(self):
        for code in (errno.ENOMEM, errno.ENOENT, errno.EBADF, errno.EINTR):
            with self.subTest(errno.errorcode[code]):
                handler = Handler()
                mine, other = self.pair()
                self.loop.add(mine, handler)
                self.epoll.errors = {"unregister": [failure(code)]}
                self.loop.remove(mine)
                other.send(b"x")
                self.run_once()
                mine.close()
                self.run_once()
                self.assertEqual((handler.recorded, self.loop.handlers, self.faults), ([], {}, []))


class Turn(Case):
    """Failures of the poll itself and of handlers within an iteration."""

    def test_a_poll_that_is_interrupted(self):
        """(which poll): timers and `between` have their turn all the same, the sockets in the next."""
        for nth in (1, 2, 3):
            with self.subTest(nth=nth):
                handler, due, between = Handler(), Mock(), Mock()
                mine, other = self.pair()
                self.loop.add(mine, handler)
                other.send(b"x")
                self.epoll.errors = {"poll": [None] * (nth - 1) + [InterruptedError(errno.EINTR, "interrupted")]}
                self.loop.call_at(self.now, due)
                for _ in range(nth):
                    self.loop.run_once(0.0, between)
                self.assertEqual(handler.recorded, ["readable"] * (nth - 1))
                due.assert_called_once_with()
                self.assertEqual(between.call_count, nth)
                self.run_once()
                self.assertEqual(handler.recorded, ["readable"] * nth)
                self.loop.remove(mine)

    def test_a_handler_whose_end_fails_too(self):
        """The others are served."""
        bad, good = Handler(), Handler(event_loop.Priority.NORMAL)
        bad.readable = Mock(side_effect=KeyError("unforeseen"))
        bad.broken = Mock(side_effect=failure(errno.EIO))
        for handler in (bad, good):
            mine, other = self.pair()
            self.loop.add(mine, handler)
            other.send(b"x")
        self.run_once()
        self.assertEqual(good.recorded, ["readable"])
        self.assertEqual([type(fault) for fault in self.faults], [KeyError, OSError])


class Received(unittest.TestCase):
    """Errors when bytes are received."""

    def test_each_error(self):
        """(error) -> nothing yet, or the connection has ended."""
        for code, given in (
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
                self.assertEqual(event_loop.receive(Mock(recv=Mock(side_effect=failure(code))), 100), given)


class Dial(unittest.TestCase):
    """connect(2), on real sockets."""

    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.address = self.server.getsockname()
        self.before = open_descriptors()

    def dial(self, address=None, **members):
        fake = type("Faulty", (socket.socket,), members)
        with patch.object(event_loop, "socket", SimpleNamespace(**{**vars(socket), "socket": fake})):
            return event_loop.dial(address or self.address)

    def test_each_step_fails(self):
        """The error is given, and no socket is left open."""
        for name, codes in (
            ("__init__", (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EACCES)),
            ("setblocking", (errno.EBADF, errno.ENOMEM)),
            ("connect_ex", (errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH)),
        ):
            for code in codes:
                with self.subTest(name=name, code=errno.errorcode[code]):
                    self.assertEqual(self.dial(**{name: Mock(side_effect=failure(code))}), (None, code))
                    self.assertEqual(opened_since(self.before), set())

    def test_connect_gives_an_error(self):
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
                self.assertEqual(opened_since(self.before), set())

    def test_connect_is_interrupted(self):
        """The connection goes on being made, and comes up."""

        def interrupted(sock, address):
            socket.socket.connect_ex(sock, address)
            return errno.EINTR

        sock, code = self.dial(connect_ex=interrupted)
        self.assertEqual(code, 0)
        with sock, self.server.accept()[0] as taken:
            taken.sendall(b"x")
            sock.setblocking(True)
            self.assertEqual(sock.recv(1), b"x")

    def test_an_address_that_can_not_be_one(self):
        for address in (("127.0.0.1", 70000), ("127.0.0.1", -1), ("a" * 100 + ".", 1)):
            with self.subTest(address=address):
                sock, code = event_loop.dial(address)
                self.assertEqual((sock, code != 0), (None, True))
                self.assertEqual(opened_since(self.before), set())

    def test_what_a_signal_handler_raises_goes_on(self):
        with self.assertRaises(KeyboardInterrupt):
            self.dial(connect_ex=Mock(side_effect=KeyboardInterrupt))
        self.assertEqual(opened_since(self.before), set())

    def test_a_close_that_reports_an_error(self):
        def close(sock):
            socket.socket.close(sock)
            raise failure(errno.EIO)

        refused = Mock(return_value=errno.ECONNREFUSED)
        self.assertEqual(self.dial(connect_ex=refused, close=close), (None, errno.ECONNREFUSED))
        self.assertEqual(opened_since(self.before), set())


if __name__ == "__main__":
    unittest.main()
