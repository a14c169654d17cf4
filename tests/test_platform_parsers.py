"""The platform's parsers (Thrift, RESP, server-sent events, the endpoint list) on whole, split and random input."""

import random
import struct
import unittest

from tests import platform_rig as rig
from wickdyke.gateway.interfaces import EndpointListChange
from wickdyke.platform import endpoint_list, resp, sse, thrift, worker_results
from wickdyke.routing.inputs import WorkerLoad

GOOD = rig.message(
    "dispatch", 7, b"\x0d\x00\x01" + rig.table({"c": "look"}) + b"\x0b\x00\x02" + rig.text(b"hi") + b"\x00"
)


class Thrift(unittest.TestCase):
    """Thrift requests and their frames."""

    def test_reads_requests(self):
        parsed = thrift.parse_message(GOOD)
        self.assertEqual(
            (parsed.method, parsed.number, parsed.fields, parsed.body), ("dispatch", 7, {"c": "look"}, b"hi")
        )
        self.assertEqual(thrift.parse_message(rig.cancel(3, 9)[4:]).cancelled_number, 9)
        extra = GOOD[:-1] + b"\x0f\x00\x09\x08" + struct.pack(">iii", 2, 5, 6) + b"\x00"  # a list nobody knows
        self.assertEqual(thrift.parse_message(extra).body, b"hi")

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
                thrift.parse_message(frame)
            self.assertEqual(caught.exception.number, number, name)

    def test_frames_in_any_pieces(self):
        stream = rig.framed(b"abc") + rig.framed(b"de")
        for size in (1, 2, 5, 100):
            frames = thrift.FrameParser()
            parsed = [f for at in range(0, len(stream), size) for f in frames.feed(stream[at : at + size])]
            self.assertEqual((parsed, frames.has_partial_frame), ([b"abc", b"de"], False))
        for length in (-1, 0, thrift.MAX_FRAME_SIZE + 1, 60 << 20):
            with self.subTest(length), self.assertRaises(thrift.MalformedMessageError):
                thrift.FrameParser().feed(struct.pack(">i", length))
        after = thrift.FrameParser()  # what was whole before it counts
        self.assertEqual((after.feed(rig.framed(b"abc") + b"\xff" * 4), after.next_frame_invalid), ([b"abc"], True))


class Resp(unittest.TestCase):
    """RESP answers and the ends of their streams."""

    def test_answers_in_any_pieces(self):
        stream = rig.bulk(b"a", b"ACK", b"-", b"x\r\ny") + rig.bulk(b"b", b"AGAIN", b"why=c", b"")
        for size in (1, 3, 7, 1000):
            answers = resp.AnswerParser()
            parsed = [a for at in range(0, len(stream), size) for a in answers.feed(stream[at : at + size])]
            self.assertEqual(parsed, [[b"a", b"ACK", b"-", b"x\r\ny"], [b"b", b"AGAIN", b"why=c", b""]])
            self.assertFalse(answers.has_partial_answer)

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
                answers = resp.AnswerParser()
                with self.assertRaises(resp.InvalidAnswerError):
                    answers.feed(rig.bulk(b"a", b"ACK", b"-", b"") + raw)
                self.assertEqual(len(answers.complete), 1)

    def test_endings(self):
        """(answer) -> outcome, standing, company, copies, report; or spoilt."""
        names = ("utilization", "in_flight")
        for answer, expected in (
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
                if expected is None:
                    self.assertRaises(resp.InvalidAnswerError, worker_results.read_result, answer, names)
                else:
                    parsed = worker_results.read_result(answer, names)
                    reported = parsed.report and parsed.report.reported
                    self.assertEqual(
                        (parsed.outcome, parsed.load_note, parsed.concurrent, parsed.replicas, reported), expected
                    )
                    self.assertEqual(parsed.report, WorkerLoad.from_values(names, expected[-1]))


class List(unittest.TestCase):
    """Server-sent events and the endpoint list they describe."""

    def test_events_in_any_pieces(self):
        stream = b': pulse\n\nid: 3\ndata: {"a":\ndata: 1}\n\nid: 4\r\ndata: b\r\n\r\nid: 5\ndata: half'
        for size in (1, 4, 1000):
            events = sse.EventParser()
            parsed = [e for at in range(0, len(stream), size) for e in events.feed(stream[at : at + size])]
            self.assertEqual([(e.ident, e.data) for e in parsed], [("3", '{"a":\n1}'), ("4", "b")])
        with self.assertRaises(sse.EventTooLargeError):
            sse.EventParser().feed(b"data: " + b"x" * (sse.MAX_EVENT_SIZE + 1))

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


class Random(unittest.TestCase):
    """Codecs before cut, changed and random bytes: what they give or their one error, and bounded memory."""

    def thrift_reads(self, data, size):
        frames = thrift.FrameParser()
        for at in range(0, len(data), size):
            for frame in frames.feed(data[at : at + size]):
                thrift.parse_message(frame)
            self.assertLessEqual(len(frames.buffer), thrift.MAX_FRAME_SIZE + 4 + size)

    def resp_reads(self, data, size):
        answers = resp.AnswerParser()
        for at in range(0, len(data), size):
            for answer in answers.feed(data[at : at + size]):
                worker_results.read_result(answer, ("busy",))
            self.assertLessEqual(len(answers.buffer), resp.MAX_PART_SIZE + 2 + size)

    def sse_reads(self, data, size):
        events = sse.EventParser()
        for at in range(0, len(data), size):
            for event in events.feed(data[at : at + size]):
                endpoint_list.EndpointList((), (), lambda: 0.0).apply([endpoint_list.parse_event(event.data)], 0.0)

    def test_nothing_but_the_one_error(self):
        hash_fractions = random.Random(11)
        whole = {
            "thrift": rig.dispatch(1, rig.fields(), b"body") + rig.cancel(2, 1) + rig.alive(3),
            "resp": rig.bulk(b"a", b"ACK", b"why=w,ahead=1", b"x") * 3,
            "sse": b'id: 1\ndata: {"offset": 1}\n\n: x\n\n' * 3,
        }

        reads = {"thrift": self.thrift_reads, "resp": self.resp_reads, "sse": self.sse_reads}
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


if __name__ == "__main__":
    unittest.main()
