"""The list is followed on, whichever system call of its connection fails, and no descriptor is left open."""

import errno
import os
import re
import socket
import threading
import time
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.descriptors import open_descriptors, opened_since
from tests.rig import until
from wickdyke.platform import discovery
from wickdyke.transport import event_loop

EVENTS = 3  # told by the source, one on each connection: so each step of a connection is taken that often
PIECE = 40  # bytes that a short write takes: the request goes in several

# (call, errors after which the connection is given up and made again)
FATAL = {
    "socket": ("EACCES", "EAFNOSUPPORT", "EINVAL", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTONOSUPPORT"),
    "setblocking": ("EBADF", "ENOMEM"),
    "connect_ex": (
        (
            "EACCES",
            "EPERM",
            "EADDRINUSE",
            "EADDRNOTAVAIL",
            "EAFNOSUPPORT",
            "EAGAIN",
            "ECONNREFUSED",
            "ENETUNREACH",
            "ETIMEDOUT",
            "ENOBUFS",
            "EHOSTUNREACH",
            "ENETDOWN",
        )
    ),
    "SO_ERROR": ("ECONNREFUSED", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"),
    "getsockopt": ("ENOBUFS", "ENOMEM"),
    "register": ("ENOMEM", "ENOSPC"),
    "send": (
        (
            "ECONNRESET",
            "EPIPE",
            "ETIMEDOUT",
            "EHOSTUNREACH",
            "ENETUNREACH",
            "ENOBUFS",
            "ENOMEM",
            "ENOTCONN",
            "EACCES",
            "ENETDOWN",
        )
    ),
    "recv": ("ECONNRESET", "ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ENOTCONN"),
}
# (call, errors after which the same connection goes on)
PASSING = {
    "connect_ex": ("EINTR",),
    "send": ("EAGAIN", "EINTR"),
    "recv": ("EAGAIN", "EINTR", "ENOMEM", "ENOBUFS"),
    "modify": ("ENOMEM", "ENOSPC", "EINTR"),
    "unregister": ("ENOMEM", "ENOENT"),
    "close": ("EIO", "EINTR", "ENOSPC", "EDQUOT"),
    "poll": ("EINTR",),
}
RETURNED = ("connect_ex", "SO_ERROR")  # these give their error and don't raise it


class FaultySocket(socket.socket):
    """A socket whose calls may fail, as `calls` (of a subclass) lays down."""

    calls = None

    def __init__(self, *args, **more):
        self.calls.enter("socket")
        super().__init__(*args, **more)

    def setblocking(self, flag):
        self.calls.enter("setblocking")
        super().setblocking(flag)

    def connect_ex(self, address):
        if not self.calls.fails("connect_ex"):
            return super().connect_ex(address)
        if self.calls.code == errno.EINTR:
            super().connect_ex(address)  # it goes on being made
        return self.calls.code

    def getsockopt(self, *args):
        self.calls.enter("getsockopt")
        return self.calls.code if self.calls.fails("SO_ERROR") else super().getsockopt(*args)

    def send(self, data, *flags):
        self.calls.enter("send")
        return super().send(data[: self.calls.piece] if self.calls.piece else data, *flags)

    def recv(self, *args):
        self.calls.enter("recv")
        return super().recv(*args)

    def close(self):
        fails = self.fileno() >= 0 and self.calls.fails("close")
        super().close()  # Linux frees the descriptor also where it reports an error
        if fails:
            raise OSError(self.calls.code, os.strerror(self.calls.code))


class SystemCalls:
    """Fails the `nth` call of that name, `times` times. `piece`: bytes that a send takes at most."""

    def __init__(self, name="", nth=1, code=0, times=1, piece=0):
        self.name, self.nth, self.code, self.times, self.piece, self.count = name, nth, code, times, piece, 0

    def fails(self, name):
        """Whether that call, which is made now, fails."""
        if name != self.name:
            return False
        self.count += 1
        return self.nth <= self.count < self.nth + self.times

    def enter(self, name):
        if self.fails(name):
            raise OSError(self.code, os.strerror(self.code))

    def socket_class(self):
        """A socket class whose calls may fail."""
        return type("Socket", (FaultySocket,), {"calls": self})

    def epoll(self, real):
        """An epoll whose calls may fail."""

        def wrapped(name):
            def call(*args):
                self.enter(name)
                return getattr(real, name)(*args)

            return call

        return SimpleNamespace(
            close=real.close, **{name: wrapped(name) for name in ("register", "modify", "unregister", "poll")}
        )


class Source(rig.Listener):
    """Tells one event on each connection, the one after the last that the asker has, then ends it."""

    def __init__(self):
        self.asked = 0
        super().__init__()

    def _serve(self, sock):
        try:
            with sock:
                head = b""
                while not head.endswith(b"\r\n\r\n"):
                    if not (more := sock.recv(1000)):
                        return
                    head += more
                self.asked += 1
                offset = int(re.search(rb"(?i)last-event-id: (\d+)", head)[1]) + 1
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hi\n\n")
                sock.sendall(b'id: %d\ndata: {"offset": %d}\n\n' % (offset, offset))
        except OSError:
            pass


class Case(unittest.TestCase):
    """Time is the test's: it goes on only while the list waits to be asked for again."""

    def setUp(self):
        self.now, self.recorded = 0.0, []
        self.source = Source()
        self.addCleanup(self.source.close)
        self.before = open_descriptors()
        for module in (event_loop, discovery):
            patcher = patch.object(module, "clock", lambda: self.now)
            patcher.start()
            self.addCleanup(patcher.stop)

    def follow(self, calls, address=None):
        """A bus on a loop whose system calls may fail."""
        self.recorded.clear()
        self.loop = event_loop.EventLoop()
        self.loop.epoll = calls.epoll(self.loop.epoll)
        fakes = SimpleNamespace(**{**vars(socket), "socket": calls.socket_class()})
        patcher = patch.object(event_loop, "socket", fakes)
        patcher.start()
        self.addCleanup(patcher.stop)
        made = discovery.DiscoveryClient(
            self.loop,
            discovery.DiscoverySettings(self.where(address or self.source.address), 200.0, 1),
            self.last,
            self.take,
            Mock(),
        )
        made.open()
        return made

    def where(self, address):
        host, _, port = address.rpartition(":")
        return host, int(port)

    def last(self):
        return self.recorded[-1] if self.recorded else 0

    def take(self, events):
        self.recorded += [event["offset"] for event in events if event["offset"] > self.last()]

    def run_once(self, made):
        waits = made.sock is None
        if waits:
            self.now += 10
        self.loop.run_once(0.0 if waits else 1.0, lambda: None)

    def until_told(self, made, many=EVENTS):
        ends = time.monotonic() + rig.LONG
        while len(self.recorded) < many:
            self.assertLess(time.monotonic(), ends, f"told {self.recorded}, {dict(made.counts)}")
            self.run_once(made)
        self.assertEqual(self.recorded[:many], list(range(1, many + 1)))

    def end(self, made):
        made.close()
        self.loop.close()
        self.assertEqual(self.loop.handlers, {})
        self.assertTrue(until(lambda: not opened_since(self.before)), opened_since(self.before))

    def each(self, errors, check, times=1, piece=0):
        """Calls `check` with calls of which one fails, at each time the path takes it, with each of its errors; then
        ends what it gives, and looks for what is left open."""
        for name, codes in errors.items():
            for code in codes:
                for nth in range(1, EVENTS + 1):
                    with self.subTest(call=name, code=code, nth=nth):
                        self.before = open_descriptors()
                        calls = SystemCalls(name, nth, getattr(errno, code), times, piece)
                        try:
                            made = self.follow(calls)
                            self.until_told(made)
                            check(calls, made)
                            self.end(made)
                            self.assertGreaterEqual(calls.count, nth)
                        finally:
                            self.loop.close()  # so that a case that failed spoils none after it


class Following(Case):
    """The endpoint list is followed on after each failed system call."""

    def test_each_call_fails(self):
        """It is asked for again, no event is lost, and nothing is left open."""

        def check(calls, made):
            # A read that fails after the event has come costs nothing: the connection would have ended there.
            self.assertGreater(made.counts["connects"], EVENTS - (calls.name == "recv"))

        self.each(FATAL, check)

    def test_each_call_fails_and_the_connection_goes_on(self):
        """No further try is needed."""
        self.each(PASSING, lambda calls, made: self.assertLessEqual(made.counts["connects"], EVENTS))

    def test_each_call_fails_for_a_while(self):
        self.each(FATAL, lambda calls, made: None, times=4)

    def test_the_request_is_sent_in_pieces(self):
        """Each write is short: the rest follows on the same connection."""
        asked = self.source.asked
        for piece in (1, 2, PIECE):
            with self.subTest(piece=piece):
                made = self.follow(SystemCalls(piece=piece))
                self.until_told(made)
                self.assertLessEqual(made.counts["connects"], EVENTS)
                self.end(made)
        self.assertGreaterEqual(self.source.asked, asked + 3 * EVENTS)

    def test_a_piece_of_the_request_fails(self):
        """At each piece of the first connection's request, with each error."""
        self.each({"send": FATAL["send"]}, lambda calls, made: None, piece=PIECE)
        self.each(
            {"send": PASSING["send"]},
            lambda calls, made: self.assertLessEqual(made.counts["connects"], EVENTS),
            piece=PIECE,
        )

    def test_the_kernel_takes_nothing_of_the_request(self):
        """It counts as no answer after its time, and is asked for again."""
        made = self.follow(SystemCalls("send", 1, errno.EAGAIN, times=10**9))
        ends = time.monotonic() + rig.LONG
        while not made.counts["silent"]:
            self.assertLess(time.monotonic(), ends)
            if made.connected:
                self.now += 10
            self.run_once(made)
        self.assertEqual(made.counts["connects"], 1)
        self.end(made)

    def test_what_nobody_foresaw_in_a_try_is_tried_again(self):
        made = self.follow(SystemCalls("socket", 1, errno.EMFILE))
        faults = []
        self.loop.on_error = faults.append
        with patch.object(discovery, "dial", Mock(side_effect=MemoryError)):
            while not faults:
                self.run_once(made)
        self.until_told(made)
        made.close()
        self.loop.close()


class Configurations(Case):
    """Another address while the one before is at any step."""

    def test_another_address_at_each_step(self):
        """(turns made with the address before): what the other tells is told, and the one before is left."""
        for turns in range(8):
            with self.subTest(turns=turns):
                other = Source()
                self.addCleanup(other.close)
                self.before = open_descriptors()
                made = self.follow(SystemCalls())
                for _ in range(turns):
                    self.run_once(made)
                made.follow(self.where(other.address))
                asked, had = other.asked, len(self.recorded)
                self.until_told(made, had + 2)
                self.assertGreaterEqual(other.asked, asked + 2)
                self.end(made)

    def test_another_address_while_the_request_is_half_sent(self):
        for nth in (1, 2, 3):
            with self.subTest(nth=nth):
                nobody = socket.create_server(("127.0.0.1", 0))  # takes connections and reads nothing
                self.addCleanup(nobody.close)
                self.before = open_descriptors()
                calls = SystemCalls("send", nth, errno.EAGAIN, times=10**9, piece=PIECE)
                made = self.follow(calls, f"127.0.0.1:{nobody.getsockname()[1]}")
                ends = time.monotonic() + rig.LONG
                while calls.count < nth:
                    self.assertLess(time.monotonic(), ends)
                    self.run_once(made)
                calls.times = 0
                made.follow(self.where(self.source.address))
                self.until_told(made)
                self.end(made)

    def test_many_in_quick_succession_leave_one_retry(self):
        """While no socket can be made, the list is asked for no more often after ten configurations than after one."""
        calls = SystemCalls("socket", 1, errno.EMFILE, times=10**9)
        made = self.follow(calls)
        for _ in range(10):
            made.follow(self.where(self.source.address))
        while self.now < 3000:
            self.run_once(made)
        asked = made.counts["connects"]
        while self.now < 4000:
            self.run_once(made)
        self.assertLessEqual(made.counts["connects"] - asked, 1000 / 100 + 1)
        self.assertGreaterEqual(made.counts["connects"] - asked, 1000 / 220 - 1)
        calls.times = 0
        self.until_told(made)
        self.end(made)

    def test_many_in_quick_succession_with_connections(self):
        threads = set(threading.enumerate())  # one of an earlier case may end meanwhile, so a count would not do
        made = self.follow(SystemCalls())
        for at in range(20):
            made.follow(self.where(self.source.address))
            if at % 3 == 0:
                self.loop.run_once(0.0, lambda: None)
        self.until_told(made)
        self.end(made)
        self.assertTrue(until(lambda: set(threading.enumerate()) <= threads))


if __name__ == "__main__":
    unittest.main()
