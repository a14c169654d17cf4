"""The platform's protocol: codecs and roster as tables, links and clients over loopback, the program as a whole."""

import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.rig import plain
from wickdyke.gateway.events import ClientClosed, RequestReceived
from wickdyke.gateway.interfaces import CommandKind, EndpointListChange
from wickdyke.platform import (
    client_server,
    configuration,
    connection_pool,
    endpoint_list,
    resp,
    sse,
    thrift,
    worker_client,
    worker_command,
    worker_results,
)
from wickdyke.platform.service import Service
from wickdyke.routing.model import RequestClass
from wickdyke.transport.event_loop import EventLoop, Priority, clock

GOOD = rig.message(
    "dispatch", 7, b"\x0d\x00\x01" + rig.table({"c": "look"}) + b"\x0b\x00\x02" + rig.text(b"hi") + b"\x00"
)


class Thrift(unittest.TestCase):
    def test_reads_requests(self):
        got = thrift.read(GOOD)
        self.assertEqual((got.verb, got.number, got.fields, got.body), ("dispatch", 7, {"c": "look"}, b"hi"))
        self.assertEqual(thrift.read(rig.cancel(3, 9)[4:]).about, 9)
        extra = GOOD[:-1] + b"\x0f\x00\x09\x08" + struct.pack(">iii", 2, 5, 6) + b"\x00"  # a list nobody knows
        self.assertEqual(thrift.read(extra).body, b"hi")

    def test_what_can_not_be_read(self):
        """(name, frame) -> refused, whatever its lengths say; with its number where that can be told."""
        at = GOOD.index(b"hi") - 4
        for name, frame, number in (
            ("nothing", b"", None),
            ("old protocol", b"\x00" * 20, None),
            ("a reply", rig.message("x", 1, b"", 2), None),
            ("cut off", GOOD[:-4], 7),
            ("more than whole", GOOD + b"x", 7),
            ("negative length", GOOD[:at] + struct.pack(">i", -1) + GOOD[at + 4 :], 7),
            ("huge length", GOOD[:at] + struct.pack(">i", 2**31 - 1) + GOOD[at + 4 :], 7),
            ("huge map", rig.message("dispatch", 7, b"\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff"), 7),
            ("map of numbers", rig.message("dispatch", 7, b"\x0d\x00\x01\x08\x08\x00\x00\x00\x01" + b"\x00" * 9), 7),
            ("no UTF-8", rig.message("dispatch", 7, b"\x0d\x00\x01" + rig.table({"c": b"\xff"}) + b"\x00"), 7),
            ("a body that is a map", rig.message("dispatch", 7, b"\x0d\x00\x02" + rig.table({}) + b"\x00"), 7),
            ("deep", rig.message("dispatch", 7, b"\x0c\x00\x05" * 4000), 7),
            ("body over 16 KiB", rig.message("dispatch", 7, b"\x0b\x00\x02" + rig.text(b"x" * 16385) + b"\x00"), 7),
        ):
            with self.subTest(name), self.assertRaises(thrift.MalformedMessageError) as caught:
                thrift.read(frame)
            self.assertEqual(caught.exception.number, number, name)

    def test_frames_in_any_pieces(self):
        stream = rig.framed(b"abc") + rig.framed(b"de")
        for size in (1, 2, 5, 100):
            frames = thrift.Frames()
            got = [f for at in range(0, len(stream), size) for f in frames.feed(stream[at : at + size])]
            self.assertEqual((got, frames.begun), ([b"abc", b"de"], False))
        for length in (-1, 0, thrift.FRAME_SIZE_MOST + 1, 60 << 20):
            with self.subTest(length), self.assertRaises(thrift.MalformedMessageError):
                thrift.Frames().feed(struct.pack(">i", length))
        after = thrift.Frames()  # what was whole before it counts
        self.assertEqual((after.feed(rig.framed(b"abc") + b"\xff" * 4), after.invalid), ([b"abc"], True))


class Resp(unittest.TestCase):
    def test_answers_in_any_pieces(self):
        stream = rig.bulk(b"a", b"ACK", b"-", b"x\r\ny") + rig.bulk(b"b", b"AGAIN", b"why=c", b"")
        for size in (1, 3, 7, 1000):
            answers = resp.Answers()
            got = [a for at in range(0, len(stream), size) for a in answers.feed(stream[at : at + size])]
            self.assertEqual(got, [[b"a", b"ACK", b"-", b"x\r\ny"], [b"b", b"AGAIN", b"why=c", b""]])
            self.assertFalse(answers.begun)

    def test_spoilt_answers_are_known_before_they_are_kept(self):
        """(name, bytes) -> refused at once; what was whole before is still there."""
        for name, raw in (
            ("noise", b"\x00\xff\x13garbage"),
            ("a line that does not end", b"*" + b"1" * 40),
            ("3 GB", b"*4\r\n$3221225472\r\n"),
            ("negative", b"*4\r\n$-1\r\n"),
            ("no number", b"*x\r\n"),
            ("no parts", b"*0\r\n"),
            ("many parts", b"*4000\r\n"),
            ("longer than it says", b"*1\r\n$2\r\nabcd\r\n"),
            ("a simple string", b"+OK\r\n"),
        ):
            with self.subTest(name):
                answers = resp.Answers()
                with self.assertRaises(resp.InvalidAnswerError):
                    answers.feed(rig.bulk(b"a", b"ACK", b"-", b"") + raw)
                self.assertEqual(len(answers.complete), 1)

    def test_endings(self):
        """(answer) -> outcome, standing, company, copies, report; or spoilt."""
        names = ("utilization", "in_flight")
        for answer, told in (
            ([b"i", b"ACK", b"why=w,ahead=3,rep=inflight:7;util:0.61", b"x"], ("ok", "stood", 3, 0, (0.61, 7.0))),
            ([b"i", b"ACK", b"rep=outstanding:7;utilization:0.61", b""], ("ok", None, 0, 0, (0.61, 7.0))),
            ([b"i", b"NOENT", b"why=f", b""], ("miss", "load failed", 0, 0, None)),
            ([b"i", b"AGAIN", b"-", b""], ("full", None, 0, 0, None)),
            ([b"i", b"EIO", b"why=c,rep=util:nan", b""], ("error", "began", 0, 0, None)),
            ([b"i", b"STALE", b"why=j", b""], ("unsent", "awaited", 0, 0, None)),
            ([b"i", b"ACK", b"units=2", b""], ("ok", None, 0, 2, None)),
            ([b"i", b"WHAT", b"-", b""], None),
            ([b"i", b"ACK", b"-"], None),
            ([b"i", b"ACK", b"x", b""], None),
            ([b"i", b"ACK", b"ahead=many", b""], None),
            ([b"i", b"ACK", b"\xff=1", b""], None),
        ):
            with self.subTest(answer):
                if told is None:
                    self.assertRaises(resp.InvalidAnswerError, worker_results.read_result, answer, names)
                else:
                    got = worker_results.read_result(answer, names)
                    self.assertEqual((got.outcome, got.load_note, got.concurrent, got.replicas, got.report), told)


class List(unittest.TestCase):
    def test_events_in_any_pieces(self):
        stream = b': pulse\n\nid: 3\ndata: {"a":\ndata: 1}\n\nid: 4\r\ndata: b\r\n\r\nid: 5\ndata: half'
        for size in (1, 4, 1000):
            events = sse.Events()
            got = [e for at in range(0, len(stream), size) for e in events.feed(stream[at : at + size])]
            self.assertEqual([(e.ident, e.data) for e in got], [("3", '{"a":\n1}'), ("4", "b")])
        with self.assertRaises(sse.EventTooLargeError):
            sse.Events().feed(b"data: " + b"x" * (sse.EVENT_SIZE_MOST + 1))

    def test_the_view(self):
        """(events) -> changes as (name, state), then where all are."""
        a, b = rig.instance("a", "h:1"), rig.instance("b", "h:2", machineType="slow", zone="elsewhere")
        gone = rig.instance("a", "h:1", lifecycle="DELETED")
        for name, events, changes, addresses in (
            ("whole list", [rig.event(2, b, reset=True)], [("a", "gone"), ("b", "ready")], {"b": "h:2"}),
            ("change", [rig.event(2, b)], [("b", "ready")], {"a": "h:1", "b": "h:2"}),
            ("told twice", [rig.event(2, b), rig.event(2, gone)], [("b", "ready")], {"a": "h:1", "b": "h:2"}),
            ("from before", [rig.event(1, gone)], [], {"a": "h:1"}),
            ("drains", [rig.event(2, {**a, "lifecycle": "DRAINING"})], [("a", "draining")], {"a": "h:1"}),
            (
                "address of one that has gone",
                [rig.event(2, gone), rig.event(3, rig.instance("c", "h:1"))],
                [("a", "gone"), ("c", "ready")],
                {"c": "h:1"},
            ),
            ("same again", [rig.event(2, a)], [], {"a": "h:1"}),
            (
                "nonsense beside sense",
                [rig.event(2, b, {"instanceId": 7}, rig.instance("d", "nowhere"))],
                [("b", "ready")],
                {"a": "h:1", "b": "h:2"},
            ),
            ("no list at all", [{"offset": 2, "topology": 5}, {"offset": 3}], [], {"a": "h:1"}),
        ):
            with self.subTest(name):
                view = endpoint_list.EndpointList(("hall",), ("std", "slow"), lambda: 1000.0)
                view.apply([rig.event(1, a, reset=True)], 0.0)
                change = view.apply(events, 0.0)
                self.assertEqual(sorted((row.ident, row.state) for row in change.endpoints), changes)
                self.assertEqual({at: view.address(at) for at in view.listed}, addresses)
                moved = {at for at in {"a", *addresses} if {"a": "h:1"}.get(at) != addresses.get(at)}
                self.assertEqual(change.addresses, {at: addresses.get(at) for at in moved})

    def test_a_start_time_read_twice_is_the_same_start(self):
        view = endpoint_list.EndpointList(("hall",), ("std",), lambda: 1000.5)
        late = rig.instance("a", "h:1", startedAtMs=5000)
        self.assertEqual(view.apply([rig.event(1, late)], 4000.0).endpoints[0].started_at, 3999.5)
        self.assertEqual(view.apply([rig.event(2, late)], 4099.0), EndpointListChange([], {}))


class Turned(unittest.TestCase):
    """What is turned by a loop in the test's own thread."""

    def setUp(self):
        self.loop, self.told = EventLoop(), []
        self.addCleanup(self.loop.close)

    def until(self, done, what="it"):
        ends = time.monotonic() + rig.LONG
        while not done():
            self.assertLess(time.monotonic(), ends, f"{what} did not come")
            self.loop.run_once(10.0, lambda: None)


class Loops(Turned):
    """Handlers made for the purpose, on socket pairs with something to read."""

    def handler(self, act, priority=Priority.NORMAL):
        mine, theirs = socket.socketpair()
        self.addCleanup(mine.close)
        self.addCleanup(theirs.close)
        theirs.send(b"x")
        made = SimpleNamespace(
            priority=priority,
            readable=lambda: act(mine),
            writable=lambda: None,
            broken=lambda: (self.loop.remove(mine), self.told.append("broken")),
        )
        self.loop.add(mine, made)
        return made

    def test_who_floods_does_not_keep_workers_waiting(self):
        for _ in range(20):
            self.handler(lambda sock: (time.sleep(0.02), self.told.append("client")))  # always more to read
        self.handler(lambda sock: self.told.append("worker"), priority=Priority.HIGH)
        for _ in range(3):
            self.loop.run_once(10.0, lambda: self.told.append("desk"))
        self.assertEqual(self.told, ["worker", "desk", "client"] * 3)

    def test_one_that_breaks_ends_alone(self):
        def breaks(sock):
            raise KeyError("unforeseen")

        faults = []
        self.loop.on_error = faults.append
        self.handler(breaks)
        self.handler(lambda sock: (sock.recv(1), self.told.append("read")))
        self.loop.call_at(0.0, breaks, None)
        self.until(lambda: len(self.told) == 2)
        self.assertEqual((sorted(self.told), len(faults)), (["broken", "read"], 2))
        self.assertEqual(len(self.loop.handlers), 1)


class Links(Turned):
    def link(self, play=None, dial=5000.0, most=20):
        self.worker = rig.Worker(play)
        self.addCleanup(self.worker.close)
        self.pool = connection_pool.ConnectionPool(most)
        link = worker_client.WorkerClient(
            "w",
            self.worker.address,
            lambda event: self.told.append(plain(event)),
            self.loop,
            self.pool,
            worker_client.WorkerClientSettings(dial, 10000.0, ("utilization", "in_flight")),
        )
        self.addCleanup(link.close)
        return link

    def order(self, ident=b"9b1f03aa5c7e2d41", kind=CommandKind.ATTEMPT):
        verb = {
            CommandKind.ATTEMPT: (b"invoke", ident, b"lane=look,name=x,ttl=9", b"b"),
            CommandKind.PREWARM: (b"prewarm", ident, b"name=x,units=1"),
            CommandKind.HEALTH_CHECK: (b"gauges", ident),
        }[kind]
        return worker_command.Command(kind, None, ident, resp.command(*verb))

    def ended(self, many=1):
        self.until(lambda: len(self.told) >= many, "an end")
        return [(event[2].ident, event[3]) for event in self.told]

    def test_what_is_known_of_a_call_out(self):
        """(what the worker does, whether another connection stands) -> the outcome told."""

        def writes(raw):
            return lambda worker, sock, parts: parts[0] == b"invoke" and (sock.sendall(raw(parts)), True)[1]

        def resets(worker, sock, parts):
            if parts[0] == b"invoke":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
                sock.close()
                return True

        def dies(worker, sock, parts):
            if parts[0] == b"invoke":
                worker.listener.shutdown(socket.SHUT_RDWR)
                worker.listener.close()
            return resets(worker, sock, parts)

        half = writes(lambda p: rig.bulk(p[1], b"ACK", b"-", b"whole")[:-4])

        def stops_short(worker, sock, parts):
            if half(worker, sock, parts):
                sock.shutdown(socket.SHUT_RDWR)
                return True

        for name, play, beside, outcome in (
            ("served", None, False, "ok"),
            ("reset", resets, False, "error"),
            ("gone", dies, False, "cut"),
            ("takes no new", dies, True, "error"),
            ("reset beside", resets, True, "error"),
            ("breaks off", stops_short, False, "error"),
            ("breaks off beside", stops_short, True, "error"),
            ("noise", writes(lambda p: b"\x01\x02noise"), False, "error"),
            (
                "another's answer first",
                writes(lambda p: rig.bulk(b"other", b"EIO", b"-", b"") + rig.bulk(p[1], b"ACK", b"-", b"x") * 2),
                False,
                "ok",
            ),
            ("full", writes(lambda p: rig.bulk(p[1], b"AGAIN", b"-", b"")), False, "full"),
        ):
            with self.subTest(name):
                self.told.clear()
                link = self.link(play)
                if beside:
                    link.send(self.order(b"t1", CommandKind.HEALTH_CHECK))
                    self.ended()
                    self.told.clear()
                link.send(self.order())
                self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", outcome)])
                for _ in range(5):
                    self.loop.run_once(5.0, lambda: None)
                self.assertEqual(len(self.told), 1)  # one end for each, whatever else comes

    def test_an_order_that_got_lost_beside_others_is_no_cut(self):
        link = self.link(lambda worker, sock, parts: parts[0] == b"prewarm" and (sock.sendall(b"??"), True)[1])
        link.send(self.order())
        self.ended()
        link.send(self.order(b"t1", CommandKind.PREWARM))
        self.assertEqual(self.ended(2)[1], (b"t1", "timeout"))

    def test_reset_as_it_comes_up(self):
        """(connections that are reset when new) -> served by a later one, or known never to have run."""
        for many, outcome in ((1, "ok"), (2, "ok"), (9, "unsent")):
            with self.subTest(many):
                self.told.clear()
                link, met = self.link(), []
                serve = self.worker._serve

                def new(sock, many=many, serve=serve, met=met):
                    met.append(sock)
                    if len(met) <= many:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        sock.close()
                    else:
                        serve(sock)

                self.worker._serve = new
                link.send(self.order())
                time.sleep(0.1)  # it comes up and is reset before the loop looks
                while not self.told:
                    self.loop.run_once(100.0, lambda: time.sleep(0.05))
                self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", outcome)])

    def test_nobody_there(self):
        link = self.link()
        self.worker.close()
        time.sleep(0.05)
        link.target = ("127.0.0.1", int(rig.free_address().rpartition(":")[2]))
        link.send(self.order())
        self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", "unreached")])
        self.assertEqual(self.pool.used, 0)

    def test_one_id_is_never_twice_on_a_connection(self):
        link = self.link(lambda worker, sock, parts: True, most=1)  # answers nothing; one connection only
        first, second = self.order(), self.order()
        link.send(first)
        self.until(lambda: self.worker.came(b"invoke"))
        link.send(second)
        self.assertEqual(self.ended(), [(second.ident, "unsent")])

    def test_taken_back(self):
        """Alone on its connection: that ends, and nothing comes later. Beside another: abort, and the other stays."""
        link = self.link(lambda worker, sock, parts: parts[1] != b"c" * 16, most=1)
        first, other = self.order(b"a" * 16), self.order(b"b" * 16)
        link.send(first)
        link.send(other)
        self.until(lambda: len(self.worker.came(b"invoke")) == 2)
        self.assertEqual(link.cancel(first, lambda: None), "cancelled")
        self.assertEqual(link.cancel(first, lambda: None), "ended")
        self.until(lambda: self.worker.came(b"abort"))
        self.assertEqual(self.worker.came(b"abort"), [[b"abort", b"a" * 16]])
        link.send(self.order(b"a" * 16))  # its late answer may still come there, and would end this one
        self.assertEqual(self.ended(), [(b"a" * 16, "unsent")])
        self.told.clear()
        self.assertEqual(link.cancel(other, lambda: None), "cancelled")
        self.assertEqual((self.pool.used, self.told), (0, []))
        link.send(self.order(b"c" * 16))
        self.assertEqual(self.ended(), [(b"c" * 16, "ok")])

    def test_call_outs_have_connections_of_their_own_and_keep_them(self):
        link = self.link()
        for many in range(1, 4):
            for at in range(3):
                link.send(self.order(b"%016d" % at))
            self.ended(3 * many)
        self.assertEqual((self.pool.counts["dialled"], self.pool.used), (3, 3))

    def test_the_pool_is_shared_and_what_idles_makes_room(self):
        first, other = self.link(most=2), self.link(most=2)
        other.pool = first.pool
        first.pool.worker_clients.add(other)
        for at in range(2):
            first.send(self.order(b"%016d" % at))
        self.ended(2)
        other.send(self.order())  # both places idle at the first worker
        self.assertEqual(self.ended(3)[2], (b"9b1f03aa5c7e2d41", "ok"))
        self.assertEqual((first.pool.used, len(first.connections), len(other.connections)), (2, 1, 1))
        first.idle_timeout = other.idle_timeout = 0.0
        ends = clock() + 5
        self.until(lambda: clock() > ends)
        first.pool.sweep()
        self.assertEqual(first.pool.used, 0)

    def test_a_retired_worker_that_says_nothing_ends_with_the_last_given_up(self):
        """(how the last goes) -> all connections ended, nothing kept."""
        for kind in (CommandKind.ATTEMPT, CommandKind.HEALTH_CHECK):
            with self.subTest(kind):
                link = self.link(lambda worker, sock, parts: True)
                orders = [self.order(b"a" * 16), self.order(b"t1", CommandKind.HEALTH_CHECK)]
                for order in orders:
                    link.send(order)
                self.until(lambda: len(self.worker.came(b"invoke") + self.worker.came(b"gauges")) == 2)
                link.drain()
                for order in orders if kind == CommandKind.HEALTH_CHECK else orders[::-1]:
                    if order.kind == CommandKind.ATTEMPT:
                        self.assertEqual(link.cancel(order, lambda: None), "cancelled")
                    else:
                        self.assertTrue(link.abandon(order))
                self.assertEqual((self.pool.used, self.pool.worker_clients, link.closed), (0, set(), True))

    def test_a_retired_worker_ends_with_what_is_out(self):
        held = []
        link = self.link(lambda worker, sock, parts: parts[0] == b"invoke" and (held.append((sock, parts)), True)[1])
        link.send(self.order())
        self.until(lambda: held)
        link.drain()
        self.assertEqual((self.told, self.pool.used), ([], 1))
        held[0][0].sendall(rig.bulk(held[0][1][1], b"ACK", b"-", b"x"))
        self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", "ok")])
        self.assertEqual(self.pool.used, 0)
        link.send(self.order(b"f" * 16))
        self.assertEqual(self.ended(2)[1], (b"f" * 16, "unsent"))


class Clients(Turned):
    def setUp(self):
        super().setUp()
        methods = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        self.address = rig.free_address()
        host, port = self.address.split(":")
        self.front = client_server.ClientServer(
            self.loop,
            client_server.ClientServerSettings((host, int(port)), methods, 20),
            self.told.append,
            lambda: "",
            Mock(),
        )
        self.front.listen()
        self.addCleanup(self.front.shut)
        self.addCleanup(lambda: [client.close() for client in list(self.front.clients.values())])

    def client(self):
        client = rig.Client(self.address)
        self.addCleanup(client.close)
        return client

    def answer(self, client):
        self.until(client.waits, "an answer")
        return client.answer()

    def test_a_request_reaches_the_desk_as_it_was_sent(self):
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(), b"\x00\xff"))
        self.until(lambda: self.told)
        (received,) = self.told
        ask = received.pending
        call = ask.call
        self.assertEqual(
            (
                call.ident,
                call.function,
                call.input,
                call.memory_mb,
                call.concurrency,
                ask.time_left,
                ask.request_class.name,
            ),
            (b"9b1f03aa5c7e2d41", "7f3a9c21e0b4d655", b"\x00\xff", 512.0, 2, 1500.0, "look"),
        )
        ask.succeed(b"done", 1)
        ask.reject("late")  # one answer only
        self.assertEqual(self.answer(client), (1, "answer", b"done"))
        for word in ("shed", "fault"):
            self.told.clear()
            client.send(rig.dispatch(2 if word == "shed" else 3, rig.fields()))
            self.until(lambda: self.told)
            ask = self.told[0].pending
            ask.reject("x") if word == "shed" else ask.fail("x")
            self.assertEqual(self.answer(client)[1], word)

    def test_what_can_not_be_used_gets_an_error_or_a_close_and_goes_no_further(self):
        """(name, bytes) -> exception or closed."""

        def given(**more):
            return rig.dispatch(1, {k: v for k, v in rig.fields(**more).items() if v is not None})

        for name, raw, word in (
            ("no class", given(c="nosuch"), "exception"),
            ("no id", given(i=None), "exception"),
            ("short id", given(i="9b1f"), "exception"),
            ("id in capitals", given(i="9B1F03AA5C7E2D41"), "exception"),
            ("other digits", given(i="９b1f03aa5c7e2d4"), "exception"),
            ("no function", given(o=""), "exception"),
            ("a field nobody knows", given(zz="1"), "exception"),
            ("time nan", given(d="nan"), "exception"),
            ("time inf", given(d="inf"), "exception"),
            ("time below nought", given(d="-5"), "exception"),
            ("no time", given(d="0"), "exception"),
            ("huge time", given(d="9" * 40), "exception"),
            ("time with spaces", given(d=" 15"), "exception"),
            ("memory below nought", given(tags="memory_mb:-1"), "exception"),
            ("lanes without end", given(tags="lanes:1e9"), "exception"),
            ("a tag nobody knows", given(tags="zz:1"), "exception"),
            ("no tag", given(tags="memory_mb"), "exception"),
            ("body too large", rig.dispatch(1, rig.fields(), b"x" * 17000), "exception"),
            ("another verb", rig.framed(rig.message("drop", 1, b"\x00")), "exception"),
            ("negative length", struct.pack(">i", -5) + b"x" * 50, "exception"),
            ("60 MB", struct.pack(">i", 60 << 20) + b"x" * 5000, "exception"),
            ("noise", rig.framed(b"\xde\xad\xbe\xef" * 5), "exception"),
        ):
            with self.subTest(name):
                client = self.client()
                client.send(raw)
                self.assertEqual(self.answer(client)[1], word)
                self.assertEqual([event for event in self.told if isinstance(event, RequestReceived)], [])

    def test_numbers_and_ids_that_are_open(self):
        """A second request under an open id is refused; under an open number the connection ends after it."""
        client = self.client()
        client.send(rig.dispatch(1, rig.fields()) + rig.dispatch(2, rig.fields(), b"other"))
        self.assertEqual(self.answer(client)[:2], (2, "exception"))
        self.assertEqual(len(self.told), 1)
        client.send(rig.dispatch(2, rig.fields("a" * 16)))
        self.assertEqual(self.answer(client)[1], "exception")
        self.told[0].pending.reject("x")
        self.assertEqual(self.answer(client)[1], "shed")
        self.assertEqual(self.answer(client)[1], "closed")
        self.assertEqual((len(self.told), self.front.open), (1, {}))

    def test_over_32_open(self):
        client = self.client()
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}")) for n in range(1, 35)))
        self.assertEqual([self.answer(client)[:2] for _ in range(2)], [(33, "exception"), (34, "exception")])
        self.assertEqual(len(self.told), 32)

    def test_taken_back_before_its_turn_it_is_no_load(self):
        client = self.client()
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}")) + rig.cancel(n, n) for n in range(1, 9)))
        self.until(lambda: len(self.told) == 16)
        self.assertTrue(all(event.pending.closed for event in self.told))
        client.send(rig.dispatch(9, rig.fields()))
        self.until(lambda: len(self.told) == 17)
        client.close()
        self.until(lambda: isinstance(self.told[-1], ClientClosed))
        self.assertEqual((self.front.open, self.front.clients), ({}, {}))

    def test_silence_and_half_a_frame_end_in_time_and_who_asked_once_stays(self):
        with patch.object(client_server, "SILENCE_TIMEOUT", 100.0):
            silent, half, asked = self.client(), self.client(), self.client()
            half.send(rig.dispatch(1, rig.fields())[:30])
            asked.send(rig.alive(1))
            self.assertEqual(self.answer(asked)[1], "bad")  # not ready yet
            for client in (silent, half):
                self.assertEqual(self.answer(client)[1], "closed")
            ends = clock() + 400
            self.until(lambda: clock() > ends)
            self.assertEqual(len(self.front.clients), 1)

    def test_with_all_places_taken_who_has_only_just_come_stays(self):
        idle = self.client()
        idle.send(rig.alive(1))
        self.answer(idle)
        new = [self.client() for _ in range(20)]
        self.until(lambda: self.front.last_number == 21)
        self.assertEqual(self.answer(idle)[1], "closed")
        for client in new:
            client.send(rig.alive(1))
            self.assertEqual(self.answer(client)[1], "bad")

    def test_with_all_places_taken_the_one_of_least_use_goes(self):
        first = self.client()
        first.send(rig.alive(1))
        self.answer(first)
        busy = self.client()
        busy.send(rig.dispatch(1, rig.fields()))
        self.until(lambda: self.told)
        silent = [self.client() for _ in range(18)]
        self.until(lambda: len(self.front.clients) == 20)
        for client in self.front.clients.values():
            client.waiting_since -= client_server.NEW_CONNECTION_TIME
        more = self.client()
        more.send(rig.alive(1))
        self.assertEqual(self.answer(more)[1], "bad")
        self.assertEqual(self.answer(silent[0])[1], "closed")
        first.send(rig.alive(2))
        self.assertEqual(self.answer(first)[1], "bad")
        self.told[0].pending.succeed(b"", 1)
        self.assertEqual(self.answer(busy)[1], "answer")


class Heard(unittest.TestCase):
    """What the module is told of load and health, beside what passed the sockets of a whole front end."""

    def test_call_outs_reports_and_holds_match_the_traffic(self):
        held = []

        def play(worker, sock, parts):
            if parts[0] == b"invoke":
                held.append((sock, parts[1]))
            return parts[0] == b"invoke"

        worker, bus = rig.Worker(play), rig.Bus()
        self.addCleanup(worker.close)
        self.addCleanup(bus.close)
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w") as out:
                json.dump(rig.config(rig.free_address(), bus.address, rig.instance("w0", worker.address)), out)
            serving = Service(configuration.read(path), path, Mock())
        self.addCleanup(serving.loop.close)
        self.addCleanup(lambda: [client.close() for client in list(serving.client_server.clients.values())])
        self.addCleanup(serving.discovery.close)
        self.addCleanup(lambda: [link.close() for link in list(serving.coordinator.workers.clients.values())])
        serving.open()
        self.addCleanup(serving.client_server.shut)
        told = serving.coordinator.router.workers["w0"]

        def until(done):
            ends = time.monotonic() + rig.LONG
            while not done():
                self.assertLess(time.monotonic(), ends)
                serving.run_once()

        client = rig.Client(":".join(map(str, serving.configuration.listen)))
        self.addCleanup(client.close)
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}", d="60000")) for n in (1, 2, 3)))
        until(lambda: len(held) == 3)
        self.assertEqual(len(told.in_flight), 3)
        for answer, results in ((b"ACK", [True]), (b"EIO", [True, False])):
            sock, ident = held.pop(0)
            sock.sendall(rig.bulk(ident, answer, b"why=w,ahead=2", b""))
            until(lambda results=results: [good for _, good in told.recent_results] == results)
        # an idempotent one that failed goes again: as many are out as the worker has
        until(lambda: len(held) == len(told.in_flight))
        until(lambda: told.load_reports)
        report = told.load_reports[-1]
        self.assertEqual((report.utilization, report.in_flight), (0.25, 2.0))
        until(lambda: worker.came(b"prewarm"))
        (place,) = serving.coordinator.router.functions["7f3a9c21e0b4d655"].replicas
        until(lambda: place.prewarm_sent_at is None)
        self.assertEqual(place.loaded, 1)
        client.close()
        until(lambda: not told.in_flight and not serving.coordinator.requests.by_id)
        self.assertEqual(serving.client_server.open, {})
        self.assertEqual(
            sum(conn.commands_in_flight for conn in serving.coordinator.workers.clients["w0"].connections), 0
        )


class Random(unittest.TestCase):
    """Codecs before cut, changed and random bytes: what they give or their one error, and bounded memory."""

    def test_nothing_but_the_one_error(self):
        hash_fractions = random.Random(11)
        whole = {
            "thrift": rig.dispatch(1, rig.fields(), b"body") + rig.cancel(2, 1) + rig.alive(3),
            "resp": rig.bulk(b"a", b"ACK", b"why=w,ahead=1", b"x") * 3,
            "sse": b'id: 1\ndata: {"offset": 1}\n\n: x\n\n' * 3,
        }

        def thrift_reads(data, size):
            frames = thrift.Frames()
            for at in range(0, len(data), size):
                for frame in frames.feed(data[at : at + size]):
                    thrift.read(frame)
                self.assertLessEqual(len(frames.buffer), thrift.FRAME_SIZE_MOST + 4 + size)

        def resp_reads(data, size):
            answers = resp.Answers()
            for at in range(0, len(data), size):
                for answer in answers.feed(data[at : at + size]):
                    worker_results.read_result(answer, ("busy",))
                self.assertLessEqual(len(answers.buffer), resp.PART_SIZE_MOST + 2 + size)

        def sse_reads(data, size):
            events = sse.Events()
            for at in range(0, len(data), size):
                for found in events.feed(data[at : at + size]):
                    endpoint_list.EndpointList((), (), lambda: 0.0).apply([endpoint_list.parse_event(found.data)], 0.0)

        reads = {"thrift": thrift_reads, "resp": resp_reads, "sse": sse_reads}
        errors = {
            "thrift": thrift.MalformedMessageError,
            "resp": resp.InvalidAnswerError,
            "sse": (sse.EventTooLargeError, endpoint_list.UnusableEventError),
        }
        for name, good in whole.items():
            raised = 0
            for _ in range(1500):
                data = bytearray(
                    good if hash_fractions.random() < 0.8 else hash_fractions.randbytes(hash_fractions.randrange(300))
                )
                for _ in range(hash_fractions.randrange(4)):
                    at = hash_fractions.randrange(len(data) + 1)
                    data[at : at + hash_fractions.randrange(3)] = hash_fractions.randbytes(hash_fractions.randrange(3))
                try:
                    reads[name](bytes(data[: hash_fractions.randrange(len(data) + 1)]), hash_fractions.randrange(1, 40))
                except errors[name]:
                    raised += 1
            self.assertGreater(raised, 50, name)


class Config(unittest.TestCase):
    def test_bad_ones_give_one_line_and_2(self):
        """(what is wrong) -> words of the line."""
        good = rig.config("127.0.0.1:1", "127.0.0.1:2", rig.instance("a", "127.0.0.1:3"))
        lanes = [{**rig.SETTINGS["lanes"][0], "repeat": "perhaps"}]
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            for name, text, words in (
                ("no file", None, "No such file"),
                ("no JSON", "{", "expected JSON"),
                ("a list", "[]", "an object"),
                ("no bus", {**good, "bus": None}, "bus is None, expected HOST:PORT"),
                ("port", {**good, "listen": "127.0.0.1:99999"}, "listen is"),
                ("seed", {**good, "seed": "xyz"}, "seed is 'xyz', expected hex digits"),
                ("limit", {**good, "limits": {"memory_mb": "64"}}, "limits.memory_mb is '64'"),
                ("settings", {**good, "settings": []}, "settings is list"),
                ("known", {**good, "known": {}}, "known.batch is None"),
                ("event", {**good, "known": {"batch": [7]}}, "known.batch has"),
                ("missing", {**good, "settings": {"lanes": []}}, "is missing"),
                ("word", {**good, "settings": {**rig.SETTINGS, "lanes": lanes}}, "lanes.0.repeat is 'perhaps'"),
            ):
                with self.subTest(name):
                    if text is not None:
                        with open(path, "w") as out:
                            out.write(text if isinstance(text, str) else json.dumps(text))
                    ran = subprocess.run(
                        [sys.executable, "-m", "wickdyke.platform"],
                        capture_output=True,
                        text=True,
                        env={**os.environ, "GW_CONFIG": path, "GW_LISTEN": ""},
                        timeout=60,
                    )
                    self.assertEqual((ran.returncode, ran.stderr.count("\n")), (2, 1), ran.stderr)
                    self.assertIn(words, ran.stderr)

    def test_figures(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w") as out:
                json.dump(rig.config("127.0.0.1:1", "127.0.0.1:2"), out)
            got = configuration.read(path)
        self.assertEqual(
            (
                [m.effect for m in got.request_classes],
                got.request_classes[0].latency_objective,
                got.instance.count,
                got.instance.report_fields,
                got.sockets,
            ),
            (["idempotent", "side-effecting"], 500.0, 2, ("utilization", "in_flight"), 256),
        )
        self.assertEqual(got.bounds.open_rpcs, 1024)  # of 64 MB
        self.assertEqual(
            (got.attempt_limits.cancel, got.attempt_limits.hedging, got.prewarm_quota.free, got.kinds),
            (True, False, 6.0, ("std", "slow")),
        )


class Function(unittest.TestCase):
    """The program as the platform starts it."""

    def setUp(self):
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path, self.listen = os.path.join(made.name, "config.json"), rig.free_address()

    def start(self, bus, *workers):
        self.write(bus, *workers)
        self.ran = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.platform"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.listen},
        )
        self.addCleanup(self.ran.stderr.close)
        self.addCleanup(self.ran.wait)
        self.addCleanup(self.ran.kill)
        self.until("event=serving")

    def write(self, bus, *workers):
        with open(self.path + ".new", "w") as out:
            json.dump(
                rig.config(
                    self.listen, bus.address, *(rig.instance(f"w{n}", w.address) for n, w in enumerate(workers))
                ),
                out,
            )
        os.replace(self.path + ".new", self.path)

    def until(self, words):
        for line in self.ran.stderr:
            if words in line:
                return line
        self.fail(f"{words} never came")

    def made(self, thing):
        self.addCleanup(thing.close)
        return thing

    def wait(self, done):
        ends = time.monotonic() + rig.LONG
        while not done():
            self.assertLess(time.monotonic(), ends)
            time.sleep(0.01)

    def test_serves_follows_and_ends(self):
        bus, other = self.made(rig.Bus()), self.made(rig.Bus())
        slow = []

        def play(worker, sock, parts):
            if parts[0] == b"invoke" and parts[3] == b"slow":
                slow.append((sock, parts))
                return True

        one, two = self.made(rig.Worker(play)), self.made(rig.Worker(play))
        self.start(bus, one)
        client = self.made(rig.Client(self.listen))
        client.send(rig.alive(1))
        self.assertEqual(client.answer(), (1, "good", b""))
        client.send(rig.dispatch(2, rig.fields(), b"a"))
        self.assertEqual(client.answer(), (2, "answer", b"did a"))
        verb, ident, told, body = one.came(b"invoke")[0]
        given = dict(pair.split(b"=") for pair in told.split(b","))
        self.assertEqual(
            (ident, given[b"lane"], given[b"name"], body), (b"9b1f03aa5c7e2d41", b"look", b"7f3a9c21e0b4d655", b"a")
        )
        self.assertTrue(1300 < int(given[b"ttl"]) <= 1500)
        # the list: half an event is thrown away, and asked for again where it was
        self.wait(lambda: bus.asked == [1])
        bus.tell(b'id: 2\ndata: {"offset": 2, "topo')
        bus.readers[-1].shutdown(socket.SHUT_RDWR)
        self.wait(lambda: bus.asked == [1, 1])
        bus.event(rig.event(2, rig.instance("w0", one.address, lifecycle="DELETED"), rig.instance("w9", two.address)))
        self.until("worker=w9")
        client.send(rig.dispatch(3, rig.fields("a" * 16), b"b"))
        self.assertEqual(client.answer(), (3, "answer", b"did b"))
        self.assertEqual(len(two.came(b"invoke")), 1)
        # a new configuration: one that can't be used leaves the old, a good one is followed with the numbers going on
        with open(self.path, "w") as out:
            out.write("{")
        self.ran.send_signal(signal.SIGHUP)
        self.until("configuration unusable")
        self.write(other, one)
        self.ran.send_signal(signal.SIGHUP)
        self.wait(lambda: other.asked == [2])
        # the end: what is held is answered, what comes within the grace too, and alive says no
        client.send(rig.dispatch(4, rig.fields("b" * 16), b"slow"))
        self.wait(lambda: slow)
        self.ran.send_signal(signal.SIGTERM)
        self.until("event=stopping")
        late = self.made(rig.Client(self.listen))
        late.send(rig.alive(1) + rig.dispatch(2, rig.fields("c" * 16), b"c"))
        self.assertEqual([late.answer(), late.answer()], [(1, "bad", b""), (2, "answer", b"did c")])
        sock, parts = slow[0]
        time.sleep(1.0)  # past the grace: it does not end while an answer is owed
        self.assertIsNone(self.ran.poll())
        sock.sendall(rig.bulk(parts[1], b"ACK", b"-", b"at last"))
        self.assertEqual(client.answer(), (4, "answer", b"at last"))
        self.assertEqual(self.ran.wait(rig.LONG), 0)

    def test_a_silent_bus_is_asked_again_while_rpcs_go_on(self):
        bus = self.made(rig.Bus())
        self.start(bus, self.made(rig.Worker()))
        self.wait(lambda: len(bus.asked) >= 2)  # says nothing any more: no pulse
        self.assertEqual(bus.asked[:2], [1, 1])

    def test_given_up_at_once_without_a_worker(self):
        """An RPC that can't go anywhere is denied when the module gives up, not near its deadline."""
        self.start(self.made(rig.Bus()))
        client = self.made(rig.Client(self.listen))
        began = time.monotonic()
        client.send(rig.dispatch(1, rig.fields(d="4000")))
        self.assertEqual(client.answer()[1], "shed")
        self.assertLess(time.monotonic() - began, 2.0)

    def test_a_taken_address(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            self.listen = f"127.0.0.1:{taken.getsockname()[1]}"
            self.write(SimpleNamespace(address="127.0.0.1:9"))
            ran = subprocess.run(
                [sys.executable, "-m", "wickdyke.platform"],
                capture_output=True,
                text=True,
                env={**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.listen},
                timeout=60,
            )
        self.assertEqual(ran.returncode, 2)
        self.assertIn("expected an address that is free", ran.stderr.splitlines()[-1])


if __name__ == "__main__":
    unittest.main()
