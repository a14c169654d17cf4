"""Client connections while system calls fail, and what never costs a request its one final answer.

One request is played with a stand-in that fails the n-th call of a kind, for each n that its path has, with each error
that Linux documents. Time is the test's own.
"""

import errno
import os
import select
import socket
import unittest
from collections import Counter
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.rig import plain
from tests.test_shutdown import Timed
from wickdyke.gateway.events import RequestReceived
from wickdyke.platform import client_connection
from wickdyke.platform import client_server as fronts
from wickdyke.routing.decisions import Forward
from wickdyke.routing.model import RequestClass
from wickdyke.transport import event_loop, write_buffer

A, B, C = (letter * 16 for letter in "abc")
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


class Standin:
    """A socket or an epoll whose calls may fail; `piece` bytes go out with the first send, and none with the next."""

    def __init__(self, real, plan, piece=None):
        self.real, self.plan, self.piece, self.sends = real, plan, piece, 0

    def __getattr__(self, name):
        return getattr(self.real, name)

    def accept(self):
        self.plan.call("accept")
        sock, address = self.real.accept()
        return Standin(sock, self.plan, self.piece), address

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
    return set(os.listdir("/proc/self/fd"))


class Faults(unittest.TestCase):
    """A front with a desk that answers at once."""

    LAST = 1500.0  # ms of the test's time in one play at most: nothing is silent for too long

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        for module in (event_loop, fronts, client_connection):
            patch.object(module, "clock", lambda: self.now).start()

    def begin(self, plan, piece=None):
        self.now, self.taken = 0.0, []
        self.faults = []
        self.loop = event_loop.EventLoop(self.faults.append)
        self.loop.epoll = Standin(self.loop.epoll, plan)
        methods = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        host, port = (address := rig.free_address()).split(":")
        self.front = fronts.ClientServer(
            self.loop, fronts.ClientServerSettings((host, int(port)), methods, 20), self.take, lambda: "", Mock()
        )
        made = socket.socket
        with patch.object(fronts.socket, "socket", lambda *given: Standin(made(*given), plan, piece)):
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
        self.assertEqual(self.front.open, {})
        self.front.shut()
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

    def test_broken_while_a_request_is_open_the_desk_is_told(self):
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
                self.assertEqual(plain(closed), ("closed", [received.pending]))
                self.assertEqual(self.front.open, {})
                client.close()
                self.front.shut()
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
                self.front.shut()
                self.loop.close()


class Owed(unittest.TestCase):
    """What was read is answered, whatever else its connection does."""

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        for module in (event_loop, fronts, client_connection):
            patch.object(module, "clock", lambda: self.now).start()
        self.loop, self.told = event_loop.EventLoop(), []
        self.addCleanup(self.loop.close)
        methods = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        self.address = rig.free_address()
        host, port = self.address.split(":")
        self.front = fronts.ClientServer(
            self.loop, fronts.ClientServerSettings((host, int(port)), methods, 2), self.told.append, lambda: "", Mock()
        )
        self.front.listen()
        self.addCleanup(self.front.shut)
        self.addCleanup(lambda: [client.close() for client in list(self.front.clients.values())])

    def client(self):
        client = rig.Client(self.address)
        self.addCleanup(client.close)
        return client

    def until(self, done, what="it"):
        for _ in range(4000):
            if done():
                return
            self.loop.run_once(5.0, lambda: None)
        self.fail(f"{what} did not come")

    def asked(self, client, data, many=1):
        """Sends, and gives the request that came last of so many."""
        client.send(data)
        self.until(lambda: len(self.told) == many, "a request")
        return self.told[-1].pending

    def there(self, client):
        """Waits until what the client did is there to be read."""
        self.assertTrue(select.select([client.sock], [], [], rig.LONG)[0])

    def test_half_a_frame_behind_it_goes_silent(self):
        client = self.client()
        ask = self.asked(client, rig.dispatch(1, rig.fields(A)))
        client.send(rig.dispatch(2, rig.fields(B))[:20])
        self.until(lambda: next(iter(self.front.clients.values())).frames.begun)
        self.now += fronts.SILENCE_TIMEOUT + 2 * fronts.SWEEP_INTERVAL
        self.loop.run_once(0.0, lambda: None)
        ask.succeed(b"done", 1)
        self.until(client.waits)
        self.assertEqual(client.answer(), (1, "answer", b"done"))
        self.until(client.waits)
        self.assertEqual(client.answer()[1], "closed")

    def test_an_error_behind_it_and_a_long_wait(self):
        client = self.client()
        ask = self.asked(client, rig.dispatch(1, rig.fields(A)))
        client.send(rig.dispatch(1, rig.fields(B)))  # a number twice: the connection ends after what is open
        self.until(lambda: next(iter(self.front.clients.values())).ending)
        for _ in range(15):
            self.now += fronts.SWEEP_INTERVAL
            self.loop.run_once(0.0, lambda: None)
        ask.succeed(b"done", 1)
        self.until(client.waits)
        self.assertEqual(client.answer(), (1, "answer", b"done"))
        self.until(client.waits)
        self.assertEqual(client.answer()[1], "closed")

    def test_a_cancel_after_an_error_is_heard(self):
        """In the same bytes, in later ones, and cut in two."""
        for cut in (0, 9, None):
            with self.subTest(cut):
                self.told.clear()
                client = self.client()
                ask = self.asked(client, rig.dispatch(1, rig.fields(A)) + rig.dispatch(2, rig.fields(B)), 2)
                wrong, cancels = rig.dispatch(2, rig.fields(C)), rig.cancel(3, 2)
                first = wrong + (cancels if cut is None else cancels[:cut])
                client.send(first)
                self.until(lambda: next(iter(self.front.clients.values())).ending)
                if cut is not None:
                    client.send(cancels[cut:])
                self.until(lambda: len(self.told) == 3, "the cancel")
                self.assertEqual(plain(self.told[-1]), ("cancelled", ask))
                self.assertEqual(list(self.front.open), [A.encode()])
                client.close()
                self.until(lambda: not self.front.clients)

    def test_a_request_that_came_in_time_is_read_before_silence_ends_it(self):
        """The process stood still: its clock is late, and what came meanwhile was not read."""
        client = self.client()
        self.until(lambda: self.front.clients)
        client.send(rig.dispatch(1, rig.fields(A)))
        self.there(next(iter(self.front.clients.values())))
        self.now += fronts.SILENCE_TIMEOUT + 2 * fronts.SWEEP_INTERVAL
        self.front._sweep()
        self.assertEqual([type(event) for event in self.told], [RequestReceived])
        self.assertTrue(self.front.clients)

    def test_room_is_not_made_of_one_whose_answer_is_on_its_way(self):
        first, second = self.client(), self.client()
        ask = self.asked(first, rig.dispatch(1, rig.fields(A)))
        other = self.asked(second, rig.dispatch(1, rig.fields(B)), 2)
        with patch.object(write_buffer.WriteBuffer, "pump"):  # the kernel takes nothing for now
            known = ask.client
            real = known.write_buffer.sock
            known.write_buffer.sock = Mock(send=Mock(side_effect=BlockingIOError))
            ask.succeed(b"done", 1)
            known.write_buffer.sock = real
            third = self.client()
            self.until(lambda: self.front.counts["accepted"] == 3)
            self.assertEqual(self.front.counts["no_room"], 1)
        self.until(first.waits)
        self.assertEqual(first.answer(), (1, "answer", b"done"))
        self.until(third.waits)
        self.assertEqual(third.answer()[1], "closed")
        other.succeed(b"done", 1)
        self.until(second.waits)
        self.assertEqual(second.answer()[1], "answer")

    def test_one_that_breaks_is_answered_first(self):
        client = self.client()
        ask = self.asked(client, rig.dispatch(1, rig.fields(A)))
        known = ask.client
        self.loop.on_error = Mock()
        with patch.object(client_connection.thrift, "read", side_effect=ZeroDivisionError):
            client.send(rig.dispatch(2, rig.fields(B)))
            self.until(lambda: known.ending)
        ask.succeed(b"done", 1)
        self.until(client.waits)
        self.assertEqual(client.answer(), (1, "answer", b"done"))

    def test_who_has_left_is_known_before_an_attempt(self):
        """A close or a cancel that waits to be read counts."""
        for leaves in ("close", "cancel"):
            with self.subTest(leaves):
                self.told.clear()
                client = self.client()
                ask = self.asked(client, rig.dispatch(1, rig.fields(A)))
                self.assertTrue(ask.still_wanted())
                ask.router_id = 1
                if leaves == "close":
                    client.close()
                else:
                    client.send(rig.cancel(2, 1))
                self.there(ask.client)
                self.now += 100
                self.assertFalse(ask.still_wanted())
                want = ("closed", [ask]) if leaves == "close" else ("cancelled", ask)
                self.assertEqual([plain(event) for event in self.told[1:]], [want])


class Attempts(Timed):
    def leaves(self, how):
        """A worker rejects a call-out in the turn in which its client's close or cancel is there, too. The worker is
        served first, so the retry is decided before that is read. How many attempts begin after that."""
        workers = [self.worker(), self.worker()]
        serving = self.front_end(*workers)
        client = self.idle_client()
        for number in range(2, 10):  # both have a connection
            client.send(rig.dispatch(number, rig.fields(f"{number:016x}", o=f"{number:016x}"), b"slow"))
        self.until(lambda: len(self.held) == 8, "the call-outs")
        while self.held:
            sock, parts = self.held.pop()
            sock.sendall(rig.bulk(parts[1], b"ACK", b"why=w,ahead=0", b""))
        for _ in range(8):
            self.answer(client)
        self.assertTrue(all(worker.came(b"invoke") for worker in workers))
        client.send(rig.dispatch(20, rig.fields(A), b"slow"))
        self.until(lambda: self.held, "the call-out")
        before = sum(len(worker.came(b"invoke")) for worker in workers)
        self.now += 150
        known = next(iter(serving.client_server.clients.values()))
        if how == "closes":
            client.close()
        elif how == "cancels":
            client.send(rig.cancel(21, 20))
        if how != "stays":
            self.assertTrue(select.select([known.sock], [], [], rig.LONG)[0])
        sock, parts = self.held.pop()
        sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
        from_workers = [
            number for number, handler in serving.loop.handlers.items() if handler.priority is event_loop.Priority.HIGH
        ]
        self.assertTrue(select.select(from_workers, [], [], rig.LONG)[0])
        if how == "stays":
            self.until(lambda: self.held, "the retry")
        else:
            self.until(lambda: not serving.coordinator.requests.by_id, "the end of the request")
        for _ in range(10):
            self.turn()
        return sum(len(worker.came(b"invoke")) for worker in workers) - before

    def test_a_client_that_stays_has_its_retry(self):
        self.assertEqual(self.leaves("stays"), 1)

    def test_none_begins_after_a_close(self):
        self.assertEqual(self.leaves("closes"), 0)

    def test_none_begins_after_a_cancel(self):
        self.assertEqual(self.leaves("cancels"), 0)


class DeskFaults(Timed):
    """A fault in the desk costs no request its final answer."""

    def after(self, milliseconds):
        for _ in range(milliseconds // 50):
            self.turn()
            self.now += 50

    def test_the_module_breaks_as_it_is_told_of_it(self):
        serving = self.front_end(self.worker())
        client = self.idle_client()
        with patch.object(serving.coordinator.router, "request_received", side_effect=ZeroDivisionError):
            self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
            self.until(lambda: serving.coordinator.counts["faults"] == 1, "the fault")
        self.after(1600)
        self.assertEqual(self.answer(client)[1], "fault")
        self.assertEqual(serving.coordinator.requests.by_id, {})

    def test_the_desk_breaks_before_it_has_taken_it(self):
        serving = self.front_end(self.worker())
        client = self.idle_client()
        serving.coordinator.requests.isolation = Mock(turned_away=Mock(side_effect=ZeroDivisionError))
        self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
        self.assertEqual(self.answer(client)[1], "shed")
        self.assertEqual(
            (serving.coordinator.counts["faults"], serving.coordinator.requests.by_id, serving.client_server.open),
            (1, {}, {}),
        )

    def test_one_decision_that_breaks_keeps_no_other_back(self):
        serving = self.front_end(self.worker())
        clients = [self.idle_client() for _ in range(3)]
        verb, broken = serving.coordinator.actions[Forward], []

        def call(decision):
            if not broken:
                broken.append(decision.request)
                raise ZeroDivisionError
            verb(decision)

        serving.coordinator.actions[Forward] = call
        for number, client in enumerate(clients):
            self.send(client, rig.dispatch(2, rig.fields(f"{number:016x}"), b"a"))
        serving.client_server.read_clients()  # all three are decided in one pull
        for client in clients[1:]:
            self.assertEqual(self.answer(client)[1], "answer")
        self.after(1600)
        self.assertIn(self.answer(clients[0])[1], ("shed", "fault"))
        self.assertEqual(serving.coordinator.requests.by_id, {})

    def test_an_answer_goes_out_where_taking_back_breaks(self):
        serving = self.front_end(self.worker())
        client = self.idle_client()
        with patch.object(serving.coordinator.requests, "withdraw_unsent", side_effect=ZeroDivisionError):
            self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
            self.assertEqual(self.answer(client), (2, "answer", b"did a"))


if __name__ == "__main__":
    unittest.main()
