"""The discovery client: backoff, silent streams, half events."""

import time
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import no_descriptor
from wickdyke.platform import discovery, sse
from wickdyke.transport import event_loop


class Reconnecting(unittest.TestCase):
    """The bus on a loop whose time the test sets."""

    def setUp(self):
        self.now, self.recorded = 0.0, []
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
            self.recorded.extend,
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
                self.until(lambda source=source, made=made: source.offsets and made.response_started)
                if first:
                    source.send_raw(first)
                for _ in range(20):
                    if made.counts["silent"]:
                        break
                    if drip:
                        with patch.object(made, "readable", Mock(wraps=made.readable)) as read:
                            source.send_raw(drip)
                            self.until(lambda read=read: read.called)
                    self.later(200)
                self.assertEqual(made.counts["silent"] > 0, again)
                made.close()

    def test_a_socket_that_can_not_be_made_is_made_later(self):
        with no_descriptor():
            made = self.follow(self.source.address)
            self.later(500)
            self.assertEqual(self.source.offsets, [])
            self.assertGreater(made.counts["connects"], 2)
        self.later(300)
        self.until(lambda: made.response_started and self.source.offsets)
        self.assertEqual(self.source.offsets, [7])

    def test_no_time_for_a_drain(self):
        """Settings that leave none: the list is reached all the same, and not asked for without a pause."""
        made = self.follow(self.source.address, most=0.0)
        self.later(100)
        self.until(lambda: made.response_started)
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
            events = sse.EventParser()
            events.feed(raw)
            self.assertEqual(events.has_partial_event, begun, raw)


if __name__ == "__main__":
    unittest.main()
