"""What comes between two lines: bytes, closes and signals that cross, on real loopback sockets, in an order that the
test forces. A front end is turned by hand; nothing waits for a time to pass but the bound on a test that hangs."""

import errno
import gc
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import weakref
from contextlib import contextmanager
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.test_platform import Turned
from wickdyke.gateway.events import ClientClosed, EndpointsReceived
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import (
    configuration,
    connection_pool,
    discovery,
    endpoint_list,
    requests,
    resp,
    service,
    sse,
    thrift,
    worker_client,
    worker_command,
    worker_connection,
    worker_protocol,
)
from wickdyke.routing.model import RequestClass
from wickdyke.transport import event_loop

NOWHERE = "127.0.0.1:9"
A, B, C = "a" * 16, "b" * 16, "c" * 16
ASCII_A, ASCII_B = A.encode(), B.encode()


def reset(sock):
    """Ends a connection with a reset, also where a file of it is being read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RD)
    sock.close()


@contextmanager
def no_descriptor(sockets=socket.socket):
    """No socket can be made by the loop's dial, as when all descriptors are in use."""

    def none(*args, **more):
        raise OSError(errno.EMFILE, "Too many open files")

    with patch.object(event_loop, "socket", SimpleNamespace(**{**vars(socket), "socket": none})):
        yield


def wait_for(test, done):
    """For what another process does: looked for again and again, with a bound."""
    ends = time.monotonic() + rig.LONG
    while not done():
        test.assertLess(time.monotonic(), ends)
        time.sleep(0.01)


class Full:
    """A listener that takes no more connections: whoever dials it waits. `open()` takes all of them."""

    def __init__(self, test):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.first, self.taken = [], []
        for _ in range(8):
            dialled = socket.socket()
            dialled.setblocking(False)
            dialled.connect_ex(self.sock.getsockname())
            self.first.append(dialled)
        test.addCleanup(lambda: [each.close() for each in [self.sock, *self.first, *self.taken]])


class Handed(unittest.TestCase):
    """A front end turned by the test's own thread."""

    def setUp(self):
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path, self.listen = os.path.join(made.name, "config.json"), rig.free_address()
        self.held = []

    def made(self, thing):
        self.addCleanup(thing.close)
        return thing

    def worker(self):
        """A worker that holds back each answer to `slow`: (socket, command) in `held`."""
        return self.made(
            rig.Worker(
                lambda worker, sock, parts: parts[0] == b"invoke"
                and parts[3] == b"slow"
                and (self.held.append((sock, parts)), True)[1]
            )
        )

    def answer_held(self, body=b"at last"):
        sock, parts = self.held.pop(0)
        sock.sendall(rig.bulk(parts[1], b"ACK", b"why=w,ahead=0", body))

    def write(self, bus, *workers, **more):
        given = rig.config(self.listen, bus, *(rig.instance(f"w{n}", at) for n, at in enumerate(workers)), **more)
        with open(self.path + ".new", "w") as out:
            json.dump(given, out)
        os.replace(self.path + ".new", self.path)

    def front_end(self, *workers, bus=NOWHERE, **more):
        self.write(bus, *workers, **more)
        self.log = Mock()
        self.serving = service.Service(configuration.read(self.path), self.path, self.log)
        self.addCleanup(self.end)
        self.serving.open()
        return self.serving

    def end(self):
        for client in list(self.serving.client_server.clients.values()):
            client.close()
        for link in list(self.serving.coordinator.workers.clients.values()):
            link.close()
        self.serving.discovery.close()
        self.serving.client_server.shut()
        self.serving.loop.close()

    def until(self, done, what="it"):
        ends = time.monotonic() + rig.LONG
        while not done():
            self.assertLess(time.monotonic(), ends, f"{what} did not come")
            self.serving.run_once()

    def client(self):
        return self.made(rig.Client(self.listen))

    def answer(self, client):
        """The next answer, the front end turned until it is there."""
        self.until(client.waits, "an answer")
        return client.answer()

    def at_worker(self, many):
        self.until(lambda: len(self.held) >= many, "a call-out")

    def faults(self):
        return self.log.error.call_args_list + self.log.bind().error.call_args_list


class TheEnd(Handed):
    def test_in_flight_half_read_and_in_the_backlog(self):
        """SIGTERM: all that was taken is answered, also by a connection the program has not looked at yet."""
        serving = self.front_end(self.worker().address)
        flying, half = self.client(), self.client()
        flying.send(rig.dispatch(1, rig.fields(A), b"slow"))
        whole = rig.dispatch(1, rig.fields(B), b"b")
        half.send(whole[:25])
        self.at_worker(1)
        self.until(lambda: any(client.frames.begun for client in serving.client_server.clients.values()))
        shut, waiting = serving.client_server.shut, []

        def just_before():  # taken by the kernel, and not by the program, as the door is shut
            if not waiting:
                waiting.append(self.client())
                waiting[0].send(rig.dispatch(1, rig.fields(C), b"c"))
            shut()

        serving.client_server.shut = just_before
        serving._request_shutdown(signal.SIGTERM, None)
        serving.shutdown_requested_at -= service.GRACE_PERIOD  # it is long ago: the door is shut in the next turn
        self.assertTrue(serving.run_once())
        self.assertTrue(serving.client_server.shut_down)
        half.send(whole[25:])
        self.assertEqual(self.answer(waiting[0]), (1, "answer", b"did c"))
        self.assertEqual(self.answer(half), (1, "answer", b"did b"))
        self.assertTrue(serving.run_once())
        self.answer_held()
        self.assertEqual(self.answer(flying), (1, "answer", b"at last"))
        self.until(lambda: not serving.run_once(), "the end")

    def test_a_request_between_the_last_look_and_the_end(self):
        """It has been taken: it is read, and answered, before the program ends."""
        serving = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.alive(1))
        self.answer(client)
        serving._request_shutdown(signal.SIGTERM, None)
        serving.shutdown_requested_at -= service.GRACE_PERIOD
        flushed, sent = serving.client_server.flushed, []

        def look():
            found = flushed()
            if found and not sent:
                client.send(rig.dispatch(2, rig.fields(A), b"a"))
                sent.append(True)
            return found

        serving.client_server.flushed = look
        self.assertTrue(serving.run_once())
        self.assertEqual(self.answer(client), (2, "answer", b"did a"))
        self.until(lambda: not serving.run_once(), "the end")

    def test_the_time_counts_from_the_signal(self):
        """Also of one that comes in a signal's own turn, or before the front end serves: alive says no."""
        self.front_end()
        before = event_loop.clock()
        for handler in (signal.SIGTERM, signal.SIGINT):
            self.serving._request_shutdown(handler, None)
        self.assertTrue(before <= self.serving.shutdown_requested_at <= event_loop.clock())
        first = self.serving.shutdown_requested_at
        self.serving._request_shutdown(signal.SIGTERM, None)
        self.assertEqual(self.serving.shutdown_requested_at, first)
        client = self.client()
        client.send(rig.alive(1))
        self.assertEqual(self.answer(client), (1, "bad", b""))

    def test_needs_no_socket_of_another_family(self):
        families, make = [], socket.socket

        class Noted(make):
            def __init__(self, family=-1, *args, **more):
                families.append(family)
                super().__init__(family, *args, **more)

        with patch.object(socket, "socket", Noted):
            serving = self.front_end(self.worker().address)
            serving.handle_signals()
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                self.addCleanup(signal.signal, number, signal.SIG_DFL)
            os.kill(os.getpid(), signal.SIGTERM)
            serving.run_once()
        self.assertTrue(serving.stopping)
        self.assertEqual(set(families), {socket.AF_INET})


class TheList(Handed):
    def lists(self):
        made = self.made(rig.Bus())
        return made

    def told(self, number):
        self.until(lambda: self.serving.endpoints.offset >= number, f"event {number}")

    def test_a_new_configuration_while_a_worker_drains(self):
        """(where the drain is told) -> nothing goes there, and the numbers go on at the new address."""
        for where in ("old", "new"):
            with self.subTest(where):
                old, new, one, two = self.lists(), self.lists(), self.worker(), self.worker()
                serving = self.front_end(one.address, two.address, bus=old.address)
                self.until(lambda old=old: old.asked == [1])
                drains = rig.event(2, rig.instance("w0", one.address, lifecycle="DRAINING"))
                if where == "old":
                    old.event(drains)
                self.write(new.address, one.address, two.address)
                serving._request_reload(signal.SIGHUP, None)  # both are there before the next turn
                self.until(lambda new=new: len(new.asked) == 1)
                self.assertEqual(new.asked, [2 if where == "old" else 1])
                new.event(drains)
                self.told(2)
                client = self.client()
                for at in range(6):
                    client.send(rig.dispatch(at + 1, rig.fields(f"{at:016x}"), b"x"))
                    self.assertEqual(self.answer(client)[1], "answer")
                self.assertEqual((len(one.came(b"invoke")), len(two.came(b"invoke"))), (0, 6))
                self.end()

    def test_a_whole_list_keeps_who_stays(self):
        """Links, cold time and state of a worker outlast a list sent whole, late or twice; another start does not."""
        # Real clocks: on a busy machine the steps below may take longer than an event may be late.
        self.enterContext(patch.object(endpoint_list, "PROMPT", rig.LONG * 1000))
        source, one, two = self.lists(), self.worker(), self.worker()
        serving = self.front_end(one.address, two.address, bus=source.address)
        self.until(lambda: source.asked)
        start = int(time.time() * 1000) - 500
        here = rig.instance("w1", two.address, startedAtMs=start)
        source.event(rig.event(2, here))
        self.told(2)
        for name in ("w0", "w1"):
            serving.coordinator.workers.client(name)
        books, links = dict(serving.coordinator.router.workers), dict(serving.coordinator.workers.clients)
        self.assertEqual(set(links), {"w0", "w1"})
        cold = books["w1"].warming_since
        both = [rig.instance("w0", one.address), here]
        source.event(rig.event(3, *both, reset=True))
        source.event(rig.event(3, both[0], reset=True))  # the number came before: it changes nothing
        source.event(rig.event(4, {**both[0], "lifecycle": "DRAINING"}, both[1], reset=True))
        self.told(4)
        workers = serving.coordinator.router.workers
        self.assertEqual(
            (workers, serving.coordinator.workers.clients, workers["w1"].warming_since), (books, links, cold)
        )
        self.assertEqual(workers["w0"].endpoint.state, "draining")
        source.event(rig.event(5, both[0], {**here, "startedAtMs": start + 400}))  # drain over; another start
        self.told(5)
        self.assertEqual((workers["w0"].endpoint.state, workers["w0"]), ("ready", books["w0"]))
        self.assertIsNot(workers["w1"], books["w1"])
        self.assertAlmostEqual(workers["w1"].warming_since, cold + 400, 3)
        self.assertEqual(serving.coordinator.workers.clients, links)

    def test_a_drain_and_its_end_at_once_is_no_change(self):
        source, one = self.lists(), self.worker()
        serving = self.front_end(one.address, bus=source.address)
        self.until(lambda: source.asked)
        row = rig.instance("w0", one.address)
        before = dict(serving.coordinator.router.workers)
        source.tell(
            "".join(
                f"id: {told['offset']}\ndata: {json.dumps(told)}\n\n"
                for told in (
                    rig.event(2, {**row, "lifecycle": "DRAINING"}),
                    rig.event(3, {**row, "lifecycle": "DELETED"}),
                    rig.event(4, row),
                )
            ).encode()
        )
        self.told(4)
        self.assertEqual(serving.coordinator.router.workers, before)
        self.assertEqual(serving.coordinator.router.workers["w0"].endpoint.state, "ready")


class Asking(unittest.TestCase):
    """The bus on a loop whose time the test sets."""

    def setUp(self):
        self.now, self.told = 0.0, []
        self.addCleanup(patch.stopall)
        for module in (event_loop, discovery):
            patch.object(module, "clock", lambda: self.now).start()
        self.loop = event_loop.EventLoop()
        self.addCleanup(self.loop.close)
        self.source = rig.Bus()
        self.addCleanup(self.source.close)

    def follow(self, address, most=200.0, seed=1):
        host, _, port = address.rpartition(":")
        made = discovery.DiscoveryClient(
            self.loop,
            discovery.DiscoverySettings((host, int(port)), most, seed),
            lambda: 7,
            self.told.extend,
            Mock(),
        )
        self.addCleanup(made.close)
        made.open()
        return made

    def until(self, done):
        ends = time.monotonic() + rig.LONG
        while not done():
            self.assertLess(time.monotonic(), ends)
            self.loop.run_once(5.0, lambda: None)

    def later(self, span):
        """Lets a time pass in small steps."""
        for _ in range(int(span / 10)):
            self.now += 10
            self.loop.run_once(0.0, lambda: None)

    def test_asked_again_apart_and_not_in_step(self):
        """Nobody answers: tries grow apart to the bound, never beyond, and two front ends don't ask together."""
        tries = []
        for seed in (1, 2):
            self.now, at = 0.0, []
            made = self.follow(rig.free_address(), seed=seed)
            for _ in range(2000):
                before = made.counts["connects"]
                self.later(10)
                at += [self.now] * (made.counts["connects"] - before)
            made.close()
            tries.append(at)
        gaps = [b - a for a, b in zip(tries[0][8:], tries[0][9:], strict=False)]
        self.assertTrue(all(90 <= gap <= 230 for gap in gaps), gaps)
        self.assertLess(tries[0][1] - tries[0][0], 100)
        together = len(set(tries[0]) & set(tries[1]))
        self.assertLess(together, 0.4 * len(tries[0]))

    def test_a_stream_that_drips_and_tells_nothing(self):
        """(what comes each 200 ms) -> whether the bus is asked again."""
        whole = b'id: 8\ndata: {"offset": 8}\n\n'
        for name, first, drip, again in (
            ("comments", b"", b": pulse\n\n", False),
            ("events", b"", whole, False),
            ("comments after an event", whole, b":\n", False),
            ("half an event, then comments", b"id: 8\ndata: {\n", b": pulse\n", True),
            ("half an event, byte by byte", b"id: 8\ndata: ", b"x", True),
            ("a line begun", b"id: 8", b"8", True),
            ("nothing", b"", b"", True),
        ):
            with self.subTest(name):
                source = rig.Bus()  # its own: the one before may still be asked
                self.addCleanup(source.close)
                made = self.follow(source.address)
                self.until(lambda source=source, made=made: source.asked and made.up)
                if first:
                    source.tell(first)
                for _ in range(20):
                    if made.counts["silent"]:
                        break
                    if drip:
                        with patch.object(made, "readable", Mock(wraps=made.readable)) as read:
                            source.tell(drip)
                            self.until(lambda read=read: read.called)
                    self.later(200)
                self.assertEqual(made.counts["silent"] > 0, again)
                made.close()

    def test_a_socket_that_can_not_be_made_is_made_later(self):
        with no_descriptor():
            made = self.follow(self.source.address)
            self.later(500)
            self.assertEqual(self.source.asked, [])
            self.assertGreater(made.counts["connects"], 2)
        self.later(300)
        self.until(lambda: made.up and self.source.asked)
        self.assertEqual(self.source.asked, [7])

    def test_no_time_for_a_drain(self):
        """Settings that leave none: the list is reached all the same, and not asked for without a pause."""
        made = self.follow(self.source.address, most=0.0)
        self.later(100)
        self.until(lambda: made.up)
        made.close()
        made = self.follow(rig.free_address(), most=0.0)
        self.later(1000)
        self.assertLess(made.counts["connects"], 1000 / 25 + 2)

    def test_half_events(self):
        for raw, begun in (
            (b"", False),
            (b": x\n", False),
            (b": x", False),
            (b"id: 1", True),
            (b"id: 1\n", True),
            (b"id: 1\n: x\n", True),
            (b"data: x\n\n", False),
            (b"data: x\n\nid", True),
        ):
            events = sse.Events()
            events.feed(raw)
            self.assertEqual(events.begun, begun, raw)


class Timers(unittest.TestCase):
    def test_what_comes_again_comes_again_after_it_failed(self):
        faults, calls = [], []
        made = event_loop.EventLoop(faults.append)
        self.addCleanup(made.close)

        def fails():
            calls.append(1)
            raise KeyError("unforeseen")

        made.call_every(0.0, fails)
        ends = time.monotonic() + rig.LONG
        while len(calls) < 3 and time.monotonic() < ends:
            made.run_once(1.0, lambda: None)
        self.assertEqual((len(calls), len(faults)), (3, 3))

    def test_a_number_that_is_used_again_within_a_turn(self):
        """One that is served ends another and makes a new socket, which gets its number: it is told nothing."""
        made, told = event_loop.EventLoop(), []
        self.addCleanup(made.close)
        pairs = [socket.socketpair() for _ in range(2)]
        self.addCleanup(lambda: [end.close() for pair in pairs for end in pair])
        fresh = []

        def serve_one(at):
            mine = pairs[at][0]
            other = pairs[1 - at][0]
            mine.recv(1)
            number = other.fileno()
            if fresh or number < 0:
                return
            made.remove(other)
            other.close()
            new = socket.socket()
            self.addCleanup(new.close)
            self.assertEqual(new.fileno(), number)
            fresh.append(new)
            made.add(
                new,
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda: told.append("read"),
                    writable=lambda: told.append("written"),
                    broken=lambda: None,
                ),
                write=False,
            )

        for at in range(2):
            pairs[at][1].send(b"x")
            made.add(
                pairs[at][0],
                SimpleNamespace(
                    priority=event_loop.Priority.HIGH,
                    readable=lambda at=at: serve_one(at),
                    writable=lambda: None,
                    broken=lambda: None,
                ),
            )
        made.run_once(10.0, lambda: None)
        self.assertEqual((len(fresh), told), (1, []))


class Leaving(Handed):
    def settings(self, **limits):
        return {**rig.SETTINGS, "limits": {**rig.SETTINGS["limits"], **limits}}

    def test_a_request_that_came_to_one_that_is_to_make_room(self):
        """All places are taken, and the one of least use has just asked, unread: it is read, and another goes."""
        serving = self.front_end(self.worker().address)
        serving.client_server.connection_limit = 3
        clients = [self.client() for _ in range(3)]
        for at, client in enumerate(clients):
            client.send(rig.alive(1))
            self.answer(client)
            next(c for c in serving.client_server.clients.values() if c.number == at + 1).last_used_at = float(at)
        read, asked = serving.client_server.readable, []

        def accept():  # between the kernel's word of the new connection and its being taken
            if not asked:
                clients[0].send(rig.dispatch(2, rig.fields(A), b"a"))
                asked.append(True)
            read()

        serving.client_server.readable = accept
        more = self.client()
        more.send(rig.alive(1))
        self.assertEqual(self.answer(clients[0]), (2, "answer", b"did a"))
        self.assertEqual(self.answer(more), (1, "good", b""))
        self.assertEqual(self.answer(clients[1])[1], "closed")

    def test_what_has_ended_is_free_without_the_collector(self):
        """Connections of clients and workers that have ended are gone at once: the collector comes rarely."""
        serving = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A), b"a"))
        self.answer(client)
        link = serving.coordinator.workers.clients["w0"]
        kept = [
            weakref.ref(thing) for thing in (link.connections[0], next(iter(serving.client_server.clients.values())))
        ]
        gc.disable()
        self.addCleanup(gc.enable)
        client.close()
        self.until(lambda: not serving.client_server.clients)
        link.connections[0].end("idle")
        serving.loop.timers.heap.clear()  # when a connection would have been late
        self.assertEqual([each() for each in kept], [None, None])

    def test_who_leaves_while_its_call_out_waits_for_a_connection(self):
        """(how it leaves, whether call-outs may be cancelled): nothing of it goes out when the connection is there."""
        for cancelling in (True, False):
            for how in ("cancel", "close", "reset", "close after what can't be read"):
                with self.subTest(how=how, cancelling=cancelling):
                    full = Full(self)
                    serving = self.front_end(
                        full.address, settings=self.settings(cancelling=cancelling, **{"dial-timeout": 60000000})
                    )
                    client = self.client()
                    client.send(rig.dispatch(1, rig.fields(A, "pay"), b"x"))
                    link = serving.coordinator.workers.clients["w0"]
                    self.until(lambda link=link: any(conn.pending for conn in link.connections))
                    if how == "cancel":
                        client.send(rig.cancel(2, 1))
                    elif how == "reset":
                        reset(client.sock)
                    else:
                        if how != "close":
                            client.send(struct.pack(">i", -1))
                            self.until(lambda s=serving: any(c.ending for c in s.client_server.clients.values()))
                            client.sock.shutdown(socket.SHUT_WR)  # an end, with no reset for what it has not read
                        else:
                            client.close()
                    self.until(lambda s=serving: s.coordinator.counts["clients_gone"], "its leaving")
                    serving.run_once()
                    self.assertEqual(serving.coordinator.requests.by_id, {})
                    self.assertFalse(any(conn.commands_in_flight for conn in link.connections))
                    self.assertEqual(self.faults(), [])
                    self.end()

    def test_a_drain_while_a_call_out_waits_for_a_connection(self):
        """(told how) -> it does not go there when the connection is up, and is answered by another worker."""
        for state in ("DRAINING", "DELETED"):
            with self.subTest(state):
                full, other = Full(self), self.worker()
                serving = self.front_end(full.address, settings=self.settings(**{"dial-timeout": 60000000}))
                client = self.client()
                client.send(rig.dispatch(1, rig.fields(A, "pay"), b"x"))
                link = serving.coordinator.workers.clients["w0"]
                self.until(lambda link=link: any(conn.pending for conn in link.connections))
                serving.coordinator.post(
                    EndpointsReceived(
                        [
                            rig.event(
                                2, rig.instance("w0", full.address, lifecycle=state), rig.instance("w9", other.address)
                            )
                        ]
                    )
                )
                self.assertEqual(self.answer(client), (1, "answer", b"did x"))
                self.assertFalse(any(conn.commands_in_flight for conn in link.connections))
                self.end()

    def test_between_two_call_outs(self):
        """The worker's word that it is full comes with the close: no second call-out after the desk has heard both."""
        serving = self.front_end(self.worker().address)
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A), b"slow"))
        self.at_worker(1)
        client.close()
        gone = []
        take = serving.client_server.post
        serving.client_server.post = lambda event: (gone.append(type(event)), take(event))
        self.until(lambda: ClientClosed in gone)
        sock, parts = self.held.pop()
        try:
            sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
        except OSError:
            pass  # ended with the call-out
        for _ in range(4):
            serving.run_once()
        self.assertEqual((self.held, serving.coordinator.requests.by_id), ([], {}))

    def test_a_reset_under_an_answer(self):
        """The client's reset has come, unread, when the answer is written: its connection ends alone."""
        serving = self.front_end(self.worker().address)
        bad, good = self.client(), self.client()
        bad.send(rig.dispatch(1, rig.fields(A), b"slow"))
        self.at_worker(1)
        good.send(rig.dispatch(1, rig.fields(B), b"slow"))
        self.at_worker(2)
        reset(bad.sock)
        self.answer_held()
        self.answer_held(b"second")
        self.assertEqual(self.answer(good), (1, "answer", b"second"))
        self.until(lambda: len(serving.client_server.clients) == 1)
        self.assertEqual((serving.client_server.open, serving.coordinator.requests.by_id, self.faults()), ({}, {}, []))

    def test_nothing_more_of_an_rpc_that_was_answered(self):
        """A call-out that has not begun as another one answers never goes out."""
        order = Mock()
        order.worker_client.withdraw_unsent.return_value = True
        self.front_end(self.worker().address)
        ask = Mock(commands={"one": order}, router_id=None)
        ask.succeed.__name__ = "succeed"
        self.serving.coordinator.requests.answer(ask, ask.succeed, b"", 1)
        order.worker_client.withdraw_unsent.assert_called_once_with(order)


class Dialled(Turned):
    """Links on a loop, to listeners that let nobody in, or late."""

    def setUp(self):
        super().setUp()
        self.pool = connection_pool.ConnectionPool(20)

    def link(self, address, dial=40.0):
        made = worker_client.WorkerClient(
            "w",
            address,
            lambda event: self.told.append((event.command.ident, event.outcome)),
            self.loop,
            self.pool,
            worker_client.WorkerClientSettings(dial, 10000.0, ()),
        )
        self.addCleanup(made.close)
        return made

    def order(self, ident=ASCII_A, kind=CommandKind.ATTEMPT):
        return worker_command.Command(
            kind, None, ident, resp.command(b"invoke", ident, b"lane=look,name=x,ttl=9", b"b")
        )

    def held(self):
        """A link to a worker that answers nothing by itself, and what came there: (socket, command)."""
        held = []
        worker = rig.Worker(lambda _, sock, parts: (held.append((sock, parts)), True)[1])
        self.addCleanup(worker.close)
        self.told.clear()
        return self.link(worker.address, dial=60000.0), held

    def elsewhere(self, link):
        """From now on nobody lets that link in; where it went before."""
        here, (host, _, port) = link.target, Full(self).address.rpartition(":")
        link.target = host, int(port)
        return here

    def test_one_late_connection_is_not_a_worker_that_is_away(self):
        """The first that does not come up is tried again; with the second in a row nobody is there."""
        link = self.link(Full(self).address)
        dials = []
        init = worker_connection.WorkerConnection.__init__
        with patch.object(
            worker_connection.WorkerConnection, "__init__", lambda *to: (dials.append(list(self.told)), init(*to))[1]
        ):
            link.send(self.order())
            self.until(lambda: self.told)
        self.assertEqual((dials, self.told), ([[], []], [(ASCII_A, "unreached")]))

    def test_late_ones_that_were_begun_together_count_once(self):
        link = self.link(Full(self).address, dial=60000.0)
        for at in range(5):
            link.send(self.order(b"%016d" % at))
        for conn in list(link.connections):
            conn._timed_out()
        self.assertEqual((link.reachability.timeouts_in_row, self.told, len(link.connections)), (1, [], 5))
        link.connections[0]._timed_out()
        self.assertEqual([outcome for _, outcome in self.told], ["unreached"])

    def test_one_that_came_up_takes_the_misses_back(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        link = self.link(worker.address, dial=60000.0)
        link.reachability.timeouts_in_row = 1
        link.send(self.order())
        self.until(lambda: self.told)
        self.assertEqual((self.told, link.reachability.timeouts_in_row), ([(ASCII_A, "ok")], 0))

    def test_what_waits_for_a_connection_goes_on_one_that_idles(self):
        link, held = self.held()
        link.send(self.order())
        self.until(lambda: held)
        self.elsewhere(link)
        link.send(self.order(ASCII_B))
        self.assertEqual([conn.commands_in_flight for conn in link.connections], [1, 1])
        for at in range(2):
            self.until(lambda at=at: len(held) > at)
            held[at][0].sendall(rig.bulk(held[at][1][1], b"ACK", b"-", b""))
        self.assertIs(held[0][0], held[1][0])
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(self.told, [(ASCII_A, "ok"), (ASCII_B, "ok")])

    def test_a_drain_ends_what_has_not_gone(self):
        """(told how) -> what waits for a connection ends as never sent; nothing goes out later."""
        for how in ("withdraw_all_unsent", "drain"):
            with self.subTest(how):
                self.told.clear()
                link = self.link(Full(self).address, dial=60000.0)
                link.send(self.order())
                link.send(self.order(b"t1", CommandKind.PREWARM))
                getattr(link, how)()
                self.assertEqual(sorted(self.told), [(ASCII_A, "unsent"), (b"t1", "unsent")])
                self.assertEqual(
                    [conn.commands_in_flight for conn in link.all_connections()], [0] * len(link.all_connections())
                )

    def test_no_descriptor_is_no_word_of_the_worker(self):
        worker = rig.Worker()
        self.addCleanup(worker.close)
        link = self.link(worker.address)
        with no_descriptor():
            link.send(self.order())
            link.send(self.order(b"t1", CommandKind.HEALTH_CHECK))
        self.assertEqual(self.told, [(ASCII_A, "unsent"), (b"t1", "unsent")])
        self.assertEqual((self.pool.used, link.all_connections()), (0, []))
        link.send(self.order(ASCII_B))
        self.until(lambda: len(self.told) == 3)
        self.assertEqual(self.told[2], (ASCII_B, "ok"))

    def test_doubt_where_no_descriptor_is_left(self):
        """The only connection ends with a call-out on it, and none can be made: that tells of no restart."""
        worker = rig.Worker(lambda _, sock, parts: (reset(sock), True)[1])
        self.addCleanup(worker.close)
        link = self.link(worker.address)
        link.send(self.order())
        self.until(lambda: link.connections and link.connections[0].up)
        with no_descriptor():
            self.until(lambda: self.told)
        self.assertEqual((self.told, link.probe.unresolved, link.probe.connection), ([(ASCII_A, "error")], [], None))

    def test_a_late_check_is_made_again_before_a_worker_is_gone(self):
        """(dials that come to nothing after the cut) -> error where a later one is met, cut where none is."""
        for misses, outcome in ((1, "error"), (2, "cut")):
            with self.subTest(misses):
                link, held = self.held()
                link.send(self.order())
                self.until(lambda held=held: held)
                here = self.elsewhere(link)
                held[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda link=link: link.probe.connection is not None)
                for _ in range(misses):
                    self.assertEqual(self.told, [])
                    if misses == 1:
                        link.target = here
                    link.probe.connection._timed_out()
                self.until(lambda: self.told)
                self.assertEqual(self.told, [(ASCII_A, outcome)])

    def test_doubted_and_taken_back_retired_or_over(self):
        """(what meets a call-out in doubt) -> one end at most, and nothing kept."""
        for how in ("cancel", "forget", "retire"):
            with self.subTest(how):
                link, held = self.held()
                link.send(order := self.order())
                self.until(lambda held=held: held)
                self.elsewhere(link)
                held[0][0].shutdown(socket.SHUT_RDWR)
                self.until(lambda link=link: link.probe.unresolved)
                if how == "cancel":
                    self.assertEqual(link.cancel(order, lambda: None), "cancelled")
                elif how == "forget":
                    self.assertTrue(link.abandon(order))
                else:
                    link.drain()
                    self.assertFalse(link.closed)
                self.assertFalse(link.withdraw_unsent(order))
                for _ in range(2):
                    if link.probe.connection is not None:
                        link.probe.connection._timed_out()
                self.assertEqual(self.told, [(ASCII_A, "cut")] if how == "retire" else [])
                self.assertEqual((link.probe.unresolved, link.closed), ([], how == "retire"))

    def test_an_answer_that_stops_short(self):
        """The connection is of no further use, also where its call-out was only forgotten or ended by itself."""
        for how in ("forget", "answered"):
            with self.subTest(how):
                link, held = self.held()
                link.send(order := self.order())
                self.until(lambda held=held: held)
                whole = rig.bulk(ASCII_A, b"ACK", b"-", b"body")
                held[0][0].sendall(whole[:-4] if how == "forget" else whole + whole[:-4])
                self.until(lambda link=link: link.connections[0].answers.begun)
                if how == "forget":
                    self.assertTrue(link.abandon(order))
                self.assertFalse(any(conn.accepts(ASCII_B) for conn in link.connections))
                link.send(self.order(ASCII_B))
                self.until(lambda held=held: len(held) == 2)
                self.assertIsNot(held[0][0], held[1][0])

    def test_a_second_answer_that_comes_late(self):
        """It meets no later call-out of the same id on that connection: that one goes on another."""
        link, socks = self.held()
        link.send(self.order())
        self.until(lambda: socks)
        full = rig.bulk(ASCII_A, b"AGAIN", b"-", b"")
        socks[0][0].sendall(full)
        self.until(lambda: self.told)
        link.send(self.order())
        self.until(lambda: len(socks) == 2)
        self.assertIsNot(socks[0][0], socks[1][0])
        socks[0][0].sendall(full)
        self.until(lambda: self.pool.counts["strays"])
        self.assertEqual(self.told, [(ASCII_A, "full")])
        socks[1][0].sendall(rig.bulk(ASCII_A, b"ACK", b"-", b""))
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(self.told[1], (ASCII_A, "ok"))


class Descriptors(unittest.TestCase):
    """The program with few descriptors, which idle clients try to take."""

    def test_clients_that_idle_while_the_list_is_away(self):
        with tempfile.TemporaryDirectory() as folder:
            path, listen = os.path.join(folder, "config.json"), rig.free_address()
            first, one, two = rig.Bus(), rig.Worker(), rig.Worker()
            for made in (one, two):
                self.addCleanup(made.close)
            given = rig.config(listen, first.address, rig.instance("w0", one.address))
            given["limits"]["sockets"] = 64
            with open(path, "w") as out:
                json.dump(given, out)
            ran = subprocess.Popen(
                [sys.executable, "-m", "wickdyke.platform"],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "GW_CONFIG": path, "GW_LISTEN": listen},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)),
            )
            self.addCleanup(ran.stderr.close)
            self.addCleanup(ran.wait)
            self.addCleanup(ran.kill)
            lines = []
            threading.Thread(target=lambda: [lines.append(line) for line in ran.stderr], daemon=True).start()
            wait_for(self, lambda: any("event=serving" in line for line in lines))
            port = int(first.address.rpartition(":")[2])
            wait_for(self, lambda: first.readers)
            first.listener.shutdown(socket.SHUT_RDWR)
            first.close()
            clients = []
            for _ in range(90):
                client = rig.Client(listen)
                self.addCleanup(client.close)
                client.send(rig.alive(1))
                self.assertEqual(client.answer()[1], "good")
                clients.append(client)
            back_again = rig.Bus.__new__(rig.Bus)
            back_again.asked, back_again.readers = [], []
            make = socket.create_server
            with patch.object(rig.socket, "create_server", lambda at: make(("127.0.0.1", port))):
                rig.Listener.__init__(back_again)
            self.addCleanup(back_again.close)
            wait_for(self, lambda: back_again.asked)

            def told():  # again and again: without a pulse the stream is left, and asked for anew
                try:
                    back_again.event(
                        rig.event(
                            2, rig.instance("w0", one.address, lifecycle="DELETED"), rig.instance("w9", two.address)
                        )
                    )
                except OSError:
                    pass
                return any("worker=w9" in line for line in lines)

            wait_for(self, told)
            self.assertFalse([line for line in lines if "fault" in line])
            clients[-1].send(rig.dispatch(2, rig.fields(A), b"a"))
            self.assertEqual(clients[-1].answer(), (2, "answer", b"did a"))
            self.assertEqual(len(two.came(b"invoke")), 1)

    def test_dealt_out_whole(self):
        """(limit): clients, workers and what is kept back are never more than the process may have."""
        for limit in (64, 256, 544, 1024):
            with self.subTest(limit), tempfile.TemporaryDirectory() as folder:
                path = os.path.join(folder, "config.json")
                given = rig.config(rig.free_address(), NOWHERE)
                given["limits"]["sockets"] = limit
                with open(path, "w") as out:
                    json.dump(given, out)
                made = service.Service(configuration.read(path), path, Mock())
                self.addCleanup(made.loop.close)
                most, used = (
                    made.client_server.connection_limit + made.protocol.pool.capacity,
                    service.open_descriptors(limit),
                )
                self.assertLessEqual(
                    most + used + service.DESCRIPTORS_RESERVED - 1, limit
                )  # the loop's own was made in between
                self.assertGreater(most, limit / 2)
                self.assertLessEqual(made.client_server.connection_limit, made.protocol.pool.capacity)


class CustomersOfOthers(unittest.TestCase):
    """Fields that other deployments have."""

    def test_fields(self):
        methods = {
            m.name: m
            for m in (
                RequestClass("look", "idempotent", "all", 0.0, 1.0, 0.0, 9.0, 1.0, 0.1),
                RequestClass("book", "tokened", "zone", 9.0, 1.0, 0.0, 9.0, 1.0, 0.1),
            )
        }

        def read(**more):
            given = {k: v for k, v in rig.fields(**more).items() if v is not None}
            return requests.check(thrift.Message("dispatch", 1, given, b"", 0), methods, ("north", "south")).call

        call = read(
            t="north",
            h="396.5",
            r="1",
            k="2d071f1f7aeaaed654f62e293c13f6a0",
            c="book",
            tags="memory_mb:1483;lanes:2;load_ms:1238",
        )
        self.assertEqual(
            (call.work_ms, call.is_repeat, call.idempotency_key, call.load_ms),
            (396.5, True, "2d071f1f7aeaaed654f62e293c13f6a0", 1238.0),
        )
        self.assertEqual(
            (
                read(r="0").is_repeat,
                read(r="false").is_repeat,
                read(r="true").is_repeat,
                read().idempotency_key,
            ),
            (False, False, True, ""),
        )
        for more in (
            {"t": "west"},
            {"t": ""},
            {"h": "nan"},
            {"h": "-1"},
            {"h": ""},
            {"r": "maybe"},
            {"k": "a,b=c"},
            {"k": ""},
            {"k": "x" * 65},
            {"c": "book"},
            {"zz": "1"},
        ):
            with self.subTest(more), self.assertRaises(requests.InvalidRequestError):
                read(**more)

    def test_the_key_goes_on_to_the_worker(self):
        speech = worker_protocol.PlatformWorkerProtocol(Mock(), worker_client.WorkerClientSettings(0.0, 0.0, ()), 9)
        for token, told in (("", b"lane=book,name=f,ttl=5"), ("k1", b"lane=book,name=f,ttl=5,dedupe=k1")):
            call_out = Mock()
            call_out.request.request_class.name, call_out.request.function.name = "book", "f"
            ask = SimpleNamespace(call=SimpleNamespace(ident=ASCII_A, idempotency_key=token, input=b"x"))
            # No time passes: the command has what is left by then.
            with (
                patch.object(worker_protocol, "clock", lambda: 1000.0),
                patch.object(worker_command, "clock", lambda: 1000.0),
            ):
                line = speech.attempt_command(call_out, ask, 5.0).render()
            self.assertEqual(line, resp.command(b"invoke", ASCII_A, told, b"x"))


class Uncancelled(Handed):
    def test_a_call_out_over_its_time_is_left_alone_and_its_place_is_free_later(self):
        limits = {**rig.SETTINGS["limits"], "cancelling": False}
        worker = self.worker()
        serving = self.front_end(worker.address, settings={**rig.SETTINGS, "limits": limits})
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(A, "pay", d="400"), b"slow"))
        self.assertEqual(self.answer(client)[1], "fault")
        link = serving.coordinator.workers.clients["w0"]
        self.assertEqual((len(self.held), [conn.commands_in_flight for conn in link.connections]), (1, [1]))
        self.until(lambda: not any(conn.commands_in_flight for conn in link.connections), "its place")
        self.assertEqual((worker.came(b"abort"), serving.coordinator.requests.by_id, link.connections), ([], {}, []))


if __name__ == "__main__":
    unittest.main()
