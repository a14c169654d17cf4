"""Failing system calls of the client server and its connections, once or several times in a row."""

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

ACCEPT_ERRORS = (
    "EINTR EAGAIN ECONNABORTED EMFILE ENFILE ENOBUFS ENOMEM EPERM EPROTO ENETDOWN ENOPROTOOPT EHOSTDOWN ENONET "
    "EHOSTUNREACH EOPNOTSUPP ENETUNREACH ENOSR ESOCKTNOSUPPORT EPROTONOSUPPORT ETIMEDOUT EINVAL"
)
# Transient errors, after which the call succeeds: the request must be answered.
TRANSIENT = {
    "accept": ACCEPT_ERRORS.split(),
    "setblocking": ["EINVAL", "ENOBUFS", "ENOMEM"],
    "setsockopt": ["EINVAL", "ENOBUFS", "ENOMEM", "ENOPROTOOPT", "EDOM"],
    "register": ["ENOMEM", "ENOSPC"],
    "modify": ["ENOMEM", "ENOSPC"],
    "recv": ["EAGAIN", "EINTR"],
    "send": ["EAGAIN", "EINTR"],
}
# Errors that report a broken connection.
BROKEN = {
    "recv": ["ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ECONNREFUSED", "ENOTCONN"],
    "send": ["ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "ENETDOWN"],
}


class FaultPlan:
    """Counts calls by name and fails `times` calls of the one called `name`, from its call `number` on."""

    def __init__(self, name="", number=0, code="", times=1):
        self.name, self.number, self.code, self.times = name, number, code, times
        self.counts = Counter()

    def call(self, name):
        """Counts a call. Raises OSError where it is to fail."""
        self.counts[name] += 1
        if name == self.name and self.number <= self.counts[name] < self.number + self.times:
            code = getattr(errno, self.code)
            raise OSError(code, os.strerror(code))


class FaultyCalls:
    """A socket or epoll object whose calls may fail.

    With `first_send_size`, the first send writes so many bytes at most and the second fails with EAGAIN.
    """

    def __init__(self, real, plan, first_send_size=None):
        self.real, self.plan, self.first_send_size, self.send_count = real, plan, first_send_size, 0

    def __getattr__(self, name):
        return getattr(self.real, name)

    def accept(self):
        """Accepts a connection, whose calls may fail too."""
        self.plan.call("accept")
        sock, address = self.real.accept()
        return FaultyCalls(sock, self.plan, self.first_send_size), address

    def setblocking(self, blocking):
        """Sets the blocking mode."""
        self.plan.call("setblocking")
        self.real.setblocking(blocking)

    def setsockopt(self, *arguments):
        """Sets a socket option."""
        self.plan.call("setsockopt")
        self.real.setsockopt(*arguments)

    def recv(self, size):
        """Receives bytes."""
        self.plan.call("recv")
        return self.real.recv(size)

    def send(self, data, flags=0):
        """Sends bytes."""
        self.plan.call("send")
        self.send_count += 1
        if self.first_send_size is None or self.send_count > 2:
            return self.real.send(data, flags)
        if self.send_count == 2:
            raise BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable")
        return self.real.send(data[: self.first_send_size], flags)

    def register(self, *arguments):
        """Registers a descriptor."""
        self.plan.call("register")
        self.real.register(*arguments)

    def modify(self, *arguments):
        """Changes the events of a descriptor."""
        self.plan.call("modify")
        self.real.modify(*arguments)


def has_complete_answer(client):
    """Returns whether a complete answer or the end of the connection can be read."""
    if not client.waits():
        return False
    poll = select.poll()
    poll.register(client.sock, select.POLLRDHUP)
    if poll.poll(0):
        return True
    head = client.sock.recv(1 << 16, socket.MSG_PEEK)
    return len(head) >= 4 and len(head) >= 4 + int.from_bytes(head[:4])


def descriptors():
    """Returns the open descriptors."""
    return set(os.listdir("/proc/self/fd"))


class ClientServerFaults(unittest.TestCase):
    """A client server whose coordinator answers each request at once."""

    MAX_TIME = 1500.0  # ms of simulated time in one run: less than the timeout of a silent connection

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        for module in (event_loop, client_server, client_connection):
            patch.object(module, "clock", lambda: self.now).start()

    def listen(self, plan, first_send_size=None):
        """Creates a listening client server whose calls follow `plan`; returns its address."""
        self.now, self.events = 0.0, []
        self.loop_errors = []
        self.loop = event_loop.EventLoop(self.loop_errors.append)
        self.loop.epoll = FaultyCalls(self.loop.epoll, plan)
        request_classes = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        host, port = (address := rig.free_address()).split(":")
        self.client_server = client_server.ClientServer(
            self.loop,
            client_server.ClientServerSettings((host, int(port)), request_classes, 20),
            self.answer_request,
            lambda: "",
            Mock(),
        )
        real_socket = socket.socket
        with patch.object(
            client_server.socket,
            "socket",
            lambda *arguments: FaultyCalls(real_socket(*arguments), plan, first_send_size),
        ):
            self.client_server.listen()
        return address

    def answer_request(self, event):
        """Records an event of the client server; answers a request."""
        self.events.append(event)
        if isinstance(event, RequestReceived):
            event.pending.succeed(b"done", 1)

    def until(self, condition, description):
        """Runs iterations, 10 ms apart, until `condition()` is true; fails after 2000."""
        for _ in range(2000):
            if condition():
                return
            self.loop.run_once(5.0, lambda: None)
            self.now = min(self.now + 10, self.MAX_TIME)
        self.fail(f"timed out waiting for {description}")

    def run_request(self, plan, first_send_size=None):
        """Sends a request before the server runs its first iteration; returns the words of all answers to it."""
        before = descriptors()
        address = self.listen(plan, first_send_size)
        client = rig.Client(address)
        client.send(rig.dispatch(1, rig.fields()))
        self.until(lambda: has_complete_answer(client), "an answer or the end")
        words = [client.answer()[1]]
        for _ in range(5):
            self.loop.run_once(0.0, lambda: None)
            self.now += 10
        while words[-1] != "closed" and client.waits():
            words.append(client.answer()[1])
        client.close()
        self.until(lambda: not self.client_server.clients, "the end of the connection")
        self.assertEqual(self.client_server.open_requests, {})
        self.client_server.close_listener()
        self.loop.close()
        self.assertEqual(descriptors() - before, set(), "leaked descriptors")
        return words

    def faults(self, errors, first_send_size):
        """Returns (name, number, code) for each error of each call that a request makes."""
        plan = FaultPlan()
        self.assertEqual(self.run_request(plan, first_send_size), ["answer"])
        return [
            (name, number, code)
            for name, codes in errors.items()
            for number in range(1, plan.counts[name] + 1)
            for code in codes
        ]

    def test_every_call_is_covered(self):
        """A request makes each of the calls in TRANSIENT, so that none goes untested."""
        plan = FaultPlan()
        self.run_request(plan, 5)
        self.assertEqual(TRANSIENT.keys() - plan.counts.keys(), set())

    def test_requests_are_answered_despite_transient_errors(self):
        for first_send_size in (None, 5):
            for name, number, code in self.faults(TRANSIENT, first_send_size):
                for times in (1, 3):
                    if (name, number) == ("setblocking", 1):  # the listener's: listen() raises, see test_listener_setup
                        continue
                    with self.subTest(
                        first_send_size=first_send_size, call=name, number=number, error=code, times=times
                    ):
                        words = self.run_request(FaultPlan(name, number, code, times), first_send_size)
                        # Out of descriptors, the server closes a connection that has been answered.
                        self.assertIn(words, [["answer"], ["answer", "closed"]][: 1 + (code == "EMFILE")])
                        self.assertEqual(self.loop_errors, [])

    def test_broken_connection_leaks_nothing(self):
        for first_send_size in (None, 5):
            for name, number, code in self.faults(BROKEN, first_send_size):
                with self.subTest(first_send_size=first_send_size, call=name, number=number, error=code):
                    words = self.run_request(FaultPlan(name, number, code), first_send_size)
                    self.assertIn(words, (["closed"], ["answer"], ["answer", "closed"]))
                    self.assertEqual(self.loop_errors, [])

    def test_coordinator_is_notified_of_a_connection_that_breaks_with_an_open_request(self):
        for code in BROKEN["recv"]:
            with self.subTest(code):
                plan = FaultPlan()
                address = self.listen(plan)
                self.answer_request = self.events.append
                self.client_server.post = self.answer_request
                client = rig.Client(address)
                client.send(rig.dispatch(1, rig.fields()))
                self.until(lambda: self.events, "the request")
                plan.name, plan.number, plan.code = "recv", plan.counts["recv"] + 1, code
                client.send(b"\0")
                self.until(lambda: not self.client_server.clients, "the end")
                received, closed = self.events
                self.assertEqual(event_tuple(closed), ("closed", [received.pending]))
                self.assertEqual(self.client_server.open_requests, {})
                client.close()
                self.client_server.close_listener()
                self.loop.close()

    def test_listener_setup(self):
        """listen() raises without a leak where setblocking fails; a listener that epoll can't watch is polled."""
        for name, raises in (("setblocking", True), ("setsockopt", False), ("register", False)):
            with self.subTest(name):
                before = descriptors()
                if raises:
                    self.assertRaises(OSError, self.listen, FaultPlan(name, 1, "ENOBUFS"))
                    self.loop.close()
                    self.assertEqual(descriptors() - before, set())
                else:
                    self.assertEqual(self.run_request(FaultPlan(name, 1, "ENOMEM")), ["answer"])

    def test_paused_listener_resumes(self):
        """accept fails, then epoll fails for a while to watch the listener again."""
        for code in ("ENFILE", "ENOBUFS", "ENOMEM", "EMFILE"):
            for number, times in ((1, 1), (1, 2), (1, 6), (2, 1), (2, 6)):
                with self.subTest(code, number=number, times=times):
                    plan, second_plan = FaultPlan("accept", 1, code), FaultPlan("modify", number, "ENOMEM", times)
                    call = plan.call
                    plan.call = lambda name, call=call, second_plan=second_plan: (call(name), second_plan.call(name))
                    self.assertEqual(self.run_request(plan), ["answer"])

    def test_lack_of_memory_closes_no_connection(self):
        """Closing other connections would not help, and their requests may be in flight."""
        for code in ("ENFILE", "ENOBUFS", "ENOMEM"):
            with self.subTest(code):
                plan = FaultPlan()
                address = self.listen(plan)
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
                self.until(lambda: not self.client_server.clients, "the end")
                self.client_server.close_listener()
                self.loop.close()


if __name__ == "__main__":
    unittest.main()
