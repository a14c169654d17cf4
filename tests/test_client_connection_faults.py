"""System calls of the client server and of its connections fail, once or several times in a row."""

import errno
import os
import select
import socket
import unittest
from collections import Counter
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.rig import event_tuple
from wickdyke.gateway.events import RequestReceived
from wickdyke.platform import client_connection, client_server
from wickdyke.routing.model import RequestClass
from wickdyke.transport import event_loop

ACCEPT = (
    "EINTR EAGAIN ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EPERM EPROTO ENETDOWN ENOPROTOOPT EHOSTDOWN ENONET "
    "EHOSTUNREACH EOPNOTSUPP ENETUNREACH ENOSR ESOCKTNOSUPPORT EPROTONOSUPPORT ETIMEDOUT EINVAL"
)
# Errors after which a call works again: the request must have its answer.
PASSING = {
    "accept": ACCEPT.split(),
    "setblocking": ["EINVAL", "ENOBUFS", "ENOMEM"],
    "setsockopt": ["EINVAL", "ENOBUFS", "ENOMEM", "ENOPROTOOPT", "EDOM"],
    "register": ["ENOMEM", "ENOSPC"],
    "modify": ["ENOMEM", "ENOSPC"],
    "recv": ["EAGAIN", "EINTR"],
    "send": ["EAGAIN", "EINTR"],
}
# Errors that tell of a connection that has broken.
BROKEN = {
    "recv": ["ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED", "ENOTCONN"],
    "send": ["ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ENETDOWN"],
}


class Plan:
    """Counts calls by name; fails those that it is told to."""

    def __init__(self, name="", number=0, code="", times=1):
        self.name, self.number, self.code, self.times = name, number, code, times
        self.counts = Counter()

    def call(self, name):
        self.counts[name] += 1
        if name == self.name and self.number <= self.counts[name] < self.number + self.times:
            code = getattr(errno, self.code)
            raise OSError(code, os.strerror(code))


class FaultyCalls:
    """A socket or an epoll whose calls may fail; `piece` bytes go out with the first send, and none with the next."""

    def __init__(self, real, plan, piece=None):
        self.real, self.plan, self.piece, self.sends = real, plan, piece, 0

    def __getattr__(self, name):
        return getattr(self.real, name)

    def accept(self):
        self.plan.call("accept")
        sock, address = self.real.accept()
        return FaultyCalls(sock, self.plan, self.piece), address

    def setblocking(self, blocks):
        self.plan.call("setblocking")
        self.real.setblocking(blocks)

    def setsockopt(self, *given):
        self.plan.call("setsockopt")
        self.real.setsockopt(*given)

    def recv(self, most):
        self.plan.call("recv")
        return self.real.recv(most)

    def send(self, data, flags=0):
        self.plan.call("send")
        self.sends += 1
        if self.piece is None or self.sends > 2:
            return self.real.send(data, flags)
        if self.sends == 2:
            raise BlockingIOError(errno.EAGAIN, "for now")
        return self.real.send(data[: self.piece], flags)

    def register(self, *given):
        self.plan.call("register")
        self.real.register(*given)

    def modify(self, *given):
        self.plan.call("modify")
        self.real.modify(*given)


def whole(client):
    """Whether an answer is there to its last byte, or the connection's end."""
    if not client.waits():
        return False
    ends = select.poll()
    ends.register(client.sock, select.POLLRDHUP)
    if ends.poll(0):
        return True
    head = client.sock.recv(1 << 16, socket.MSG_PEEK)
    return len(head) >= 4 and len(head) >= 4 + int.from_bytes(head[:4])


def descriptors():
    """The names of the open descriptors."""
    return set(os.listdir("/proc/self/fd"))


class Faults(unittest.TestCase):
    """A front with a desk that answers at once."""

    LAST = 1500.0  # ms of the test's time in one play at most: nothing is silent for too long

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        for module in (event_loop, client_server, client_connection):
            patch.object(module, "clock", lambda: self.now).start()

    def begin(self, plan, piece=None):
        self.now, self.taken = 0.0, []
        self.faults = []
        self.loop = event_loop.EventLoop(self.faults.append)
        self.loop.epoll = FaultyCalls(self.loop.epoll, plan)
        methods = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        host, port = (address := rig.free_address()).split(":")
        self.front = client_server.ClientServer(
            self.loop, client_server.ClientServerSettings((host, int(port)), methods, 20), self.take, lambda: "", Mock()
        )
        made = socket.socket
        with patch.object(client_server.socket, "socket", lambda *given: FaultyCalls(made(*given), plan, piece)):
            self.front.listen()
        return address

    def take(self, event):
        self.taken.append(event)
        if isinstance(event, RequestReceived):
            event.pending.succeed(b"done", 1)

    def until(self, done, what):
        for _ in range(2000):
            if done():
                return
            self.loop.run_once(5.0, lambda: None)
            self.now = min(self.now + 10, self.LAST)
        self.fail(f"{what} did not come")

    def play(self, plan, piece=None):
        """A request that is whole in the kernel before the front looks: the words of all answers to it."""
        before = descriptors()
        address = self.begin(plan, piece)
        client = rig.Client(address)
        client.send(rig.dispatch(1, rig.fields()))
        self.until(lambda: whole(client), "an answer or the end")
        words = [client.answer()[1]]
        for _ in range(5):
            self.loop.run_once(0.0, lambda: None)
            self.now += 10
        while words[-1] != "closed" and client.waits():
            words.append(client.answer()[1])
        client.close()
        self.until(lambda: not self.front.clients, "the end of the connection")
        self.assertEqual(self.front.open_requests, {})
        self.front.close_listener()
        self.loop.close()
        self.assertEqual(descriptors() - before, set(), "descriptors left over")
        return words

    def each(self, kinds, piece):
        """(name, number, code) of each failure on the path."""
        plan = Plan()
        self.assertEqual(self.play(plan, piece), ["answer"])
        return [
            (name, number, code)
            for name, codes in kinds.items()
            for number in range(1, plan.counts[name] + 1)
            for code in codes
        ]

    def test_each_call_has_failed(self):
        """The path has all of them: no kind is left out by mistake."""
        plan = Plan()
        self.play(plan, 5)
        self.assertEqual(PASSING.keys() - plan.counts.keys(), set())

    def test_a_call_that_fails_for_a_moment_costs_nobody_the_answer(self):
        for piece in (None, 5):
            for name, number, code in self.each(PASSING, piece):
                for times in (1, 3):
                    if (name, number) == ("setblocking", 1):  # the listener's: the start fails, and says so
                        continue
                    with self.subTest(piece=piece, call=name, number=number, error=code, times=times):
                        words = self.play(Plan(name, number, code, times), piece)
                        # Whoever is out of descriptors closes a connection that was answered.
                        self.assertIn(words, [["answer"], ["answer", "closed"]][: 1 + (code == "EMFILE")])
                        self.assertEqual(self.faults, [])

    def test_a_broken_connection_leaves_nothing(self):
        for piece in (None, 5):
            for name, number, code in self.each(BROKEN, piece):
                with self.subTest(piece=piece, call=name, number=number, error=code):
                    words = self.play(Plan(name, number, code), piece)
                    self.assertIn(words, (["closed"], ["answer"], ["answer", "closed"]))
                    self.assertEqual(self.faults, [])

    def test_broken_while_a_request_is_open_the_coordinator_is_told(self):
        for code in BROKEN["recv"]:
            with self.subTest(code):
                plan = Plan()
                address = self.begin(plan)
                self.take = self.taken.append
                self.front.post = self.take
                client = rig.Client(address)
                client.send(rig.dispatch(1, rig.fields()))
                self.until(lambda: self.taken, "the request")
                plan.name, plan.number, plan.code = "recv", plan.counts["recv"] + 1, code
                client.send(b"\0")
                self.until(lambda: not self.front.clients, "the end")
                received, closed = self.taken
                self.assertEqual(event_tuple(closed), ("closed", [received.pending]))
                self.assertEqual(self.front.open_requests, {})
                client.close()
                self.front.close_listener()
                self.loop.close()

    def test_the_start(self):
        """A listener that can't be made raises and leaves nothing; one that the kernel can't watch yet is polled."""
        for name, raises in (("setblocking", True), ("setsockopt", False), ("register", False)):
            with self.subTest(name):
                before = descriptors()
                if raises:
                    self.assertRaises(OSError, self.begin, Plan(name, 1, "ENOBUFS"))
                    self.loop.close()
                    self.assertEqual(descriptors() - before, set())
                else:
                    self.assertEqual(self.play(Plan(name, 1, "ENOMEM")), ["answer"])

    def test_a_listener_that_was_paused_goes_on(self):
        """accept fails, then the kernel can't watch the listener again for a while."""
        for code in ("ENFILE", "ENOBUFS", "ENOMEM", "EMFILE"):
            for number, times in ((1, 1), (1, 2), (1, 6), (2, 1), (2, 6)):
                with self.subTest(code, number=number, times=times):
                    plan, more = Plan("accept", 1, code), Plan("modify", number, "ENOMEM", times)
                    call = plan.call
                    plan.call = lambda name, call=call, more=more: (call(name), more.call(name))
                    self.assertEqual(self.play(plan), ["answer"])

    def test_a_moment_without_memory_closes_nobody(self):
        """What other connections hold would not mend it, and their requests may be on their way."""
        for code in ("ENFILE", "ENOBUFS", "ENOMEM"):
            with self.subTest(code):
                plan = Plan()
                address = self.begin(plan)
                first = rig.Client(address)
                first.send(rig.alive(1))
                self.until(first.waits, "an answer")
                first.answer()
                plan.name, plan.number, plan.code = "accept", plan.counts["accept"] + 1, code
                second = rig.Client(address)
                second.send(rig.dispatch(1, rig.fields()))
                self.until(second.waits, "an answer")
                self.assertEqual(second.answer()[1], "answer")
                self.assertFalse(first.waits())
                for client in (first, second):
                    client.close()
                self.until(lambda: not self.front.clients, "the end")
                self.front.close_listener()
                self.loop.close()


if __name__ == "__main__":
    unittest.main()
