"""The platform's parsers (Thrift, RESP, server-sent events, the endpoint list) on valid, split and random input."""

import random
import struct
import unittest

from tests import platform_rig as rig
from wickdyke.gateway.interfaces import EndpointListChange
from wickdyke.platform import endpoint_list, resp, sse, thrift, worker_results
from wickdyke.routing.inputs import WorkerLoad

VALID_DISPATCH = rig.message(
    "dispatch", 7, b"\x0d\x00\x01" + rig.table({"c": "look"}) + b"\x0b\x00\x02" + rig.text(b"hi") + b"\x00"
)


class ThriftTest(unittest.TestCase):
    """Thrift requests and their frames."""

    def test_valid_requests(self):
        parsed = thrift.parse_message(VALID_DISPATCH)
        self.assertEqual(
            (parsed.method, parsed.number, parsed.fields, parsed.body), ("dispatch", 7, {"c": "look"}, b"hi")
        )
        self.assertEqual(thrift.parse_message(rig.cancel(3, 9)[4:]).cancelled_number, 9)
        with_unknown_field = (
            VALID_DISPATCH[:-1] + b"\x0f\x00\x09\x08" + struct.pack(">iii", 2, 5, 6) + b"\x00"
        )  # a list in an unknown field
        self.assertEqual(thrift.parse_message(with_unknown_field).body, b"hi")

    def test_malformed_messages(self):
        """Each case: a frame that is refused, and the number that the error reports if it is known."""
        body_start = VALID_DISPATCH.index(b"hi") - 4
        for name, frame, number in (
            ("empty", b"", None),
            ("old protocol", b"\x00" * 20, None),
            ("a reply", rig.message("x", 1, b"", 2), None),
            ("truncated", VALID_DISPATCH[:-4], 7),
            ("trailing data", VALID_DISPATCH + b"x", 7),
            (
                "negative length",
                VALID_DISPATCH[:body_start] + struct.pack(">i", -1) + VALID_DISPATCH[body_start + 4 :],
                7,
            ),
            (
                "huge length",
                VALID_DISPATCH[:body_start] + struct.pack(">i", 2**31 - 1) + VALID_DISPATCH[body_start + 4 :],
                7,
            ),
            ("huge map", rig.message("dispatch", 7, b"\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff"), 7),
            ("map of numbers", rig.message("dispatch", 7, b"\x0d\x00\x01\x08\x08\x00\x00\x00\x01" + b"\x00" * 9), 7),
            ("no UTF-8", rig.message("dispatch", 7, b"\x0d\x00\x01" + rig.table({"c": b"\xff"}) + b"\x00"), 7),
            ("a body that is a map", rig.message("dispatch", 7, b"\x0d\x00\x02" + rig.table({}) + b"\x00"), 7),
            ("deep nesting", rig.message("dispatch", 7, b"\x0c\x00\x05" * 4000), 7),
            ("body over 16 KiB", rig.message("dispatch", 7, b"\x0b\x00\x02" + rig.text(b"x" * 16385) + b"\x00"), 7),
        ):
            with self.subTest(name), self.assertRaises(thrift.MalformedMessageError) as caught:
                thrift.parse_message(frame)
            self.assertEqual(caught.exception.number, number, name)

    def test_frames_in_pieces_of_any_size(self):
        stream = rig.framed(b"abc") + rig.framed(b"de")
        for size in (1, 2, 5, 100):
            frames = thrift.FrameParser()
            parsed = [
                frame for start in range(0, len(stream), size) for frame in frames.feed(stream[start : start + size])
            ]
            self.assertEqual((parsed, frames.has_partial_frame), ([b"abc", b"de"], False))
        for length in (-1, 0, thrift.MAX_FRAME_SIZE + 1, 60 << 20):
            with self.subTest(length), self.assertRaises(thrift.MalformedMessageError):
                thrift.FrameParser().feed(struct.pack(">i", length))
        parser = thrift.FrameParser()  # frames before the invalid length are returned
        self.assertEqual((parser.feed(rig.framed(b"abc") + b"\xff" * 4), parser.next_frame_invalid), ([b"abc"], True))


class RespTest(unittest.TestCase):
    """RESP answers and the results they contain."""

    def test_answers_in_pieces_of_any_size(self):
        stream = rig.bulk(b"a", b"ACK", b"-", b"x\r\ny") + rig.bulk(b"b", b"AGAIN", b"why=c", b"")
        for size in (1, 3, 7, 1000):
            answers = resp.AnswerParser()
            parsed = [a for start in range(0, len(stream), size) for a in answers.feed(stream[start : start + size])]
            self.assertEqual(parsed, [[b"a", b"ACK", b"-", b"x\r\ny"], [b"b", b"AGAIN", b"why=c", b""]])
            self.assertFalse(answers.has_partial_answer)

    def test_invalid_answers_are_refused_before_they_are_stored(self):
        """Each case is refused without waiting for more data; the complete answer before it is kept."""
        for name, raw in (
            ("random bytes", b"\x00\xff\x13garbage"),
            ("length line without an end", b"*" + b"1" * 40),
            ("3 GB", b"*4\r\n$3221225472\r\n"),
            ("negative length", b"*4\r\n$-1\r\n"),
            ("length that is not a number", b"*x\r\n"),
            ("no parts", b"*0\r\n"),
            ("too many parts", b"*4000\r\n"),
            ("part longer than its length", b"*4\r\n$2\r\nabcd\r\n"),
            ("too few parts", b"*3\r\n"),
            ("one part too many", b"*5\r\n"),
            ("simple string", b"+OK\r\n"),
        ):
            with self.subTest(name):
                answers = resp.AnswerParser()
                with self.assertRaises(resp.InvalidAnswerError):
                    answers.feed(rig.bulk(b"a", b"ACK", b"-", b"") + raw)
                self.assertEqual(len(answers.complete), 1)

    def test_results_of_answers(self):
        """Each case: an answer and its outcome, load note, concurrency, replicas and report; None if invalid."""
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


class EndpointListTest(unittest.TestCase):
    """Server-sent events, and the endpoint list that they describe."""

    def test_events_in_pieces_of_any_size(self):
        stream = b': pulse\n\nid: 3\ndata: {"a":\ndata: 1}\n\nid: 4\r\ndata: b\r\n\r\nid: 5\ndata: half'
        for size in (1, 4, 1000):
            events = sse.EventParser()
            parsed = [e for start in range(0, len(stream), size) for e in events.feed(stream[start : start + size])]
            self.assertEqual([(e.ident, e.data) for e in parsed], [("3", '{"a":\n1}'), ("4", "b")])
        with self.assertRaises(sse.EventTooLargeError):
            sse.EventParser().feed(b"data: " + b"x" * (sse.MAX_EVENT_SIZE + 1))

    def test_changes_of_the_list(self):
        """Each case: events, the changes as (name, state), and the resulting addresses."""
        a, b = rig.instance("a", "h:1"), rig.instance("b", "h:2", machineType="slow", zone="elsewhere")
        gone = rig.instance("a", "h:1", lifecycle="DELETED")
        for name, events, changes, addresses in (
            ("full list", [rig.event(2, b, reset=True)], [("a", "gone"), ("b", "ready")], {"b": "h:2"}),
            ("changed instance", [rig.event(2, b)], [("b", "ready")], {"a": "h:1", "b": "h:2"}),
            ("same number twice", [rig.event(2, b), rig.event(2, gone)], [("b", "ready")], {"a": "h:1", "b": "h:2"}),
            ("earlier number", [rig.event(1, gone)], [], {"a": "h:1"}),
            ("drains", [rig.event(2, {**a, "lifecycle": "DRAINING"})], [("a", "draining")], {"a": "h:1"}),
            (
                "address of a deleted worker",
                [rig.event(2, gone), rig.event(3, rig.instance("c", "h:1"))],
                [("a", "gone"), ("c", "ready")],
                {"c": "h:1"},
            ),
            ("unchanged instance", [rig.event(2, a)], [], {"a": "h:1"}),
            (
                "invalid instances among valid ones",
                [rig.event(2, b, {"instanceId": 7}, rig.instance("d", "nowhere"))],
                [("b", "ready")],
                {"a": "h:1", "b": "h:2"},
            ),
            ("no list of instances", [{"offset": 2, "topology": 5}, {"offset": 3}], [], {"a": "h:1"}),
        ):
            with self.subTest(name):
                endpoints = endpoint_list.EndpointList(("hall",), ("std", "slow"), lambda: 1000.0)
                endpoints.apply([rig.event(1, a, reset=True)], 0.0)
                change = endpoints.apply(events, 0.0)
                self.assertEqual(sorted((endpoint.ident, endpoint.state) for endpoint in change.endpoints), changes)
                self.assertEqual({worker: endpoints.address(worker) for worker in endpoints.listed}, addresses)
                changed_addresses = {
                    worker for worker in {"a", *addresses} if {"a": "h:1"}.get(worker) != addresses.get(worker)
                }
                self.assertEqual(change.addresses, {worker: addresses.get(worker) for worker in changed_addresses})

    def test_a_start_time_that_is_reported_again_keeps_its_value(self):
        endpoints = endpoint_list.EndpointList(("hall",), ("std",), lambda: 1000.5)
        instance = rig.instance("a", "h:1", startedAtMs=5000)
        self.assertEqual(endpoints.apply([rig.event(1, instance)], 4000.0).endpoints[0].started_at, 3999.5)
        self.assertEqual(endpoints.apply([rig.event(2, instance)], 4099.0), EndpointListChange([], {}))


class RandomInputTest(unittest.TestCase):
    """Parsers on truncated, changed and random bytes: no error but the documented one, and bounded memory."""

    def parse_thrift(self, data, size):
        frames = thrift.FrameParser()
        for start in range(0, len(data), size):
            for frame in frames.feed(data[start : start + size]):
                thrift.parse_message(frame)
            self.assertLessEqual(len(frames.buffer), thrift.MAX_FRAME_SIZE + 4 + size)

    def parse_resp(self, data, size):
        answers = resp.AnswerParser()
        for start in range(0, len(data), size):
            for answer in answers.feed(data[start : start + size]):
                worker_results.read_result(answer, ("busy",))
            self.assertLessEqual(len(answers.buffer), resp.MAX_PART_SIZE + 2 + size)

    def parse_events(self, data, size):
        events = sse.EventParser()
        for start in range(0, len(data), size):
            for event in events.feed(data[start : start + size]):
                endpoint_list.EndpointList((), (), lambda: 0.0).apply([endpoint_list.parse_event(event.data)], 0.0)

    def test_random_input_raises_only_the_documented_error(self):
        random_source = random.Random(11)
        valid_input = {
            "thrift": rig.dispatch(1, rig.fields(), b"body") + rig.cancel(2, 1) + rig.alive(3),
            "resp": rig.bulk(b"a", b"ACK", b"why=w,ahead=1", b"x") * 3,
            "sse": b'id: 1\ndata: {"offset": 1}\n\n: x\n\n' * 3,
        }

        parsers = {"thrift": self.parse_thrift, "resp": self.parse_resp, "sse": self.parse_events}
        errors = {
            "thrift": thrift.MalformedMessageError,
            "resp": resp.InvalidAnswerError,
            "sse": (sse.EventTooLargeError, endpoint_list.UnusableEventError),
        }
        for name, valid in valid_input.items():
            raised = 0
            for _ in range(1500):
                data = bytearray(
                    valid if random_source.random() < 0.8 else random_source.randbytes(random_source.randrange(300))
                )
                for _ in range(random_source.randrange(4)):
                    start = random_source.randrange(len(data) + 1)
                    data[start : start + random_source.randrange(3)] = random_source.randbytes(
                        random_source.randrange(3)
                    )
                try:
                    parsers[name](bytes(data[: random_source.randrange(len(data) + 1)]), random_source.randrange(1, 40))
                except errors[name]:
                    raised += 1
            self.assertGreater(raised, 50, name)


if __name__ == "__main__":
    unittest.main()
