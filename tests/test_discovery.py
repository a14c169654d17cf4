"""The discovery client: backoff, silent streams, partial events."""

import time
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import no_descriptor
from wickdyke.platform import discovery, sse
from wickdyke.transport import event_loop


class DiscoveryClientTest(unittest.TestCase):
    """A discovery client on an event loop whose clock the test sets."""

    def setUp(self):
        self.now, self.recorded = 0.0, []
        self.addCleanup(patch.stopall)
        for module in (event_loop, discovery):
            patch.object(module, "clock", lambda: self.now).start()
        self.loop = event_loop.EventLoop()
        self.addCleanup(self.loop.close)
        self.source = rig.Bus()
        self.addCleanup(self.source.close)

    def start_client(self, address, backoff_limit=200.0, seed=1):
        host, _, port = address.rpartition(":")
        client = discovery.DiscoveryClient(
            self.loop,
            discovery.DiscoverySettings((host, int(port)), backoff_limit, seed),
            lambda: 7,
            self.recorded.extend,
            Mock(),
        )
        self.addCleanup(client.close)
        client.open()
        return client

    def until(self, condition):
        deadline = time.monotonic() + rig.TIMEOUT
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            self.loop.run_once(5.0, lambda: None)

    def later(self, duration):
        """Advances the clock by a duration (ms) in steps of 10 ms, and runs the loop after each."""
        for _ in range(int(duration / 10)):
            self.now += 10
            self.loop.run_once(0.0, lambda: None)

    def test_retries_back_off_with_jitter(self):
        """Without a server, the gaps grow to the limit and not beyond, and two clients rarely connect together."""
        connect_times_by_seed = []
        for seed in (1, 2):
            self.now, connect_times = 0.0, []
            client = self.start_client(rig.free_address(), seed=seed)
            for _ in range(2000):
                count_before = client.counts["connects"]
                self.later(10)
                connect_times += [self.now] * (client.counts["connects"] - count_before)
            client.close()
            connect_times_by_seed.append(connect_times)
        gaps = [
            later - earlier
            for earlier, later in zip(connect_times_by_seed[0][8:], connect_times_by_seed[0][9:], strict=False)
        ]
        self.assertTrue(all(90 <= gap <= 230 for gap in gaps), gaps)
        self.assertLess(connect_times_by_seed[0][1] - connect_times_by_seed[0][0], 100)
        simultaneous = len(set(connect_times_by_seed[0]) & set(connect_times_by_seed[1]))
        self.assertLess(simultaneous, 0.4 * len(connect_times_by_seed[0]))

    def test_a_stream_without_complete_events_or_comments_is_replaced(self):
        """Each case: the first data, the data sent each 200 ms after it, and whether the client reconnects."""
        complete_event = b'id: 8\ndata: {"offset": 8}\n\n'
        for name, first_data, repeated_data, reconnects in (
            ("comments", b"", b": pulse\n\n", False),
            ("events", b"", complete_event, False),
            ("comments after an event", complete_event, b":\n", False),
            ("partial event, then comments", b"id: 8\ndata: {\n", b": pulse\n", True),
            ("partial event, byte by byte", b"id: 8\ndata: ", b"x", True),
            ("partial line", b"id: 8", b"8", True),
            ("nothing", b"", b"", True),
        ):
            with self.subTest(name):
                source = rig.Bus()  # a new one, as the previous may still get a connection
                self.addCleanup(source.close)
                client = self.start_client(source.address)
                self.until(lambda source=source, client=client: source.offsets and client.response_started)
                if first_data:
                    source.send_raw(first_data)
                for _ in range(20):
                    if client.counts["silent"]:
                        break
                    if repeated_data:
                        with patch.object(client, "readable", Mock(wraps=client.readable)) as readable:
                            source.send_raw(repeated_data)
                            self.until(lambda readable=readable: readable.called)
                    self.later(200)
                self.assertEqual(client.counts["silent"] > 0, reconnects)
                client.close()

    def test_a_socket_is_created_later_when_descriptors_run_out(self):
        with no_descriptor():
            client = self.start_client(self.source.address)
            self.later(500)
            self.assertEqual(self.source.offsets, [])
            self.assertGreater(client.counts["connects"], 2)
        self.later(300)
        self.until(lambda: client.response_started and self.source.offsets)
        self.assertEqual(self.source.offsets, [7])

    def test_a_backoff_limit_of_0(self):
        """Discovery is still reached, and connects are still spaced, where the grace period for drains is 0."""
        client = self.start_client(self.source.address, backoff_limit=0.0)
        self.later(100)
        self.until(lambda: client.response_started)
        client.close()
        client = self.start_client(rig.free_address(), backoff_limit=0.0)
        self.later(1000)
        self.assertLess(client.counts["connects"], 1000 / 25 + 2)

    def test_partial_events(self):
        for data, is_partial in (
            (b"", False),
            (b": x\n", False),
            (b": x", False),
            (b"id: 1", True),
            (b"id: 1\n", True),
            (b"id: 1\n: x\n", True),
            (b"data: x\n\n", False),
            (b"data: x\n\nid", True),
        ):
            parser = sse.EventParser()
            parser.feed(data)
            self.assertEqual(parser.has_partial_event, is_partial, data)


if __name__ == "__main__":
    unittest.main()
