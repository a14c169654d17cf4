"""As of when discovery counts as heard, on a loop whose time the test sets."""

import select
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.acceptance_rig import HEAD, told
from wickdyke.platform import discovery
from wickdyke.transport import event_loop

COMMENT = b": heartbeat\n\n"


class Stream(rig.Listener):
    """Discovery that sends only what the test has it send; `socks` are its connections."""

    def _serve(self, sock):
        pass

    def send(self, raw):
        """Writes to the latest connection."""
        self.socks[-1].sendall(raw)


class Heard(unittest.TestCase):
    """`heard` are the times as of which no event was missing."""

    def setUp(self):
        self.now = 1000.0
        self.heard, self.events = [], []
        self.addCleanup(patch.stopall)
        for module in (event_loop, discovery):
            patch.object(module, "clock", lambda: self.now).start()
        self.loop = event_loop.EventLoop()
        self.addCleanup(self.loop.close)
        self.stream = Stream()
        self.addCleanup(self.stream.close)
        host, _, port = self.stream.address.rpartition(":")
        settings = discovery.DiscoverySettings((host, int(port)), 200.0, 1)
        self.log = Mock()
        self.client = discovery.DiscoveryClient(
            self.loop, settings, lambda: len(self.events), self.events.extend, self.log, self.heard.append
        )
        self.addCleanup(self.client.close)
        self.client.open()
        self.connected()

    def connected(self):
        self.until(lambda: self.client.connected and self.stream.socks and not self.client.unsent_request)

    def until(self, done):
        for _ in range(2000):
            if done():
                return
            self.loop.run_once(5.0, lambda: None)
        self.fail("it did not come")

    def poll(self):
        """One poll in which nothing is there to be read."""
        self.loop.run_once(0.0, lambda: None)

    def send(self, raw, received=None):
        """Sends it, and polls until the client has read it."""
        before = self.client.last_activity, len(self.events), len(self.heard), self.client.event_parser.comment_count
        self.stream.send(raw)
        self.until(
            received
            or (
                lambda: (
                    self.client.last_activity,
                    len(self.events),
                    len(self.heard),
                    self.client.event_parser.comment_count,
                )
                != before
            )
        )

    def test_a_comment_after_the_events_that_were_missed(self):
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 100
        self.send(told(2, rig.instance("w0", "127.0.0.1:9")))
        self.assertEqual((len(self.events), self.heard), (1, []))
        self.poll()
        polled_at = self.now
        self.now += 500
        self.send(COMMENT)
        self.assertEqual(self.heard, [polled_at])

    def test_from_then_on_each_event_counts(self):
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        before = len(self.heard)
        polled_at = self.now
        self.now += 300
        self.send(told(2, rig.instance("w0", "127.0.0.1:9")))
        self.assertEqual((len(self.events), self.heard[before:]), (1, [polled_at]))

    def test_a_comment_that_comes_with_the_head_proves_nothing(self):
        """It may be sent to open the stream, before the events that were missed."""
        self.send(HEAD + COMMENT, lambda: self.client.event_parser.comment_count)
        self.assertEqual(self.heard, [])
        self.now += discovery.CATCH_UP_TIME
        self.poll()
        self.send(COMMENT)
        self.assertEqual(len(self.heard), 1)

    def test_half_an_event_proves_nothing(self):
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        before = len(self.heard)
        self.now += 500
        self.stream.send(b"id: 3\ndata: {")
        self.until(lambda: self.client.event_parser.has_partial_event)
        self.assertEqual(len(self.heard), before)

    def test_a_connection_that_brings_nothing_proves_nothing(self):
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 5000
        self.assertEqual(self.heard, [])

    def test_what_waited_while_the_process_was_stopped_is_as_old_as_the_poll_before(self):
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        polled_at = self.now
        self.now += 30000
        before = len(self.heard)
        self.send(COMMENT)
        self.assertEqual(self.heard[before:], [polled_at])

    def test_and_so_is_the_rest_of_what_is_read_in_pieces(self):
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        polled_at = self.now
        before = len(self.heard)
        self.now += 30000
        with patch.object(discovery, "READ_SIZE", len(COMMENT)):
            self.stream.send(3 * COMMENT + b":")
            comments = self.client.event_parser.comment_count
            for _ in range(2000):
                self.loop.run_once(5.0, lambda: None)
                self.now += 10  # each iteration takes a while
                if self.client.event_parser.comment_count == comments + 3 and self.client.event_parser.buffer:
                    break
        self.assertEqual(set(self.heard[before:]) - {polled_at}, set())

    def test_a_wait_that_a_stop_interrupted_is_followed_by_a_look_at_the_sockets(self):
        """The wait ends late and without events though there are some; timers must not run before these are read."""
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        polled_at = self.now
        before = len(self.heard)
        self.stream.send(COMMENT)
        self.assertTrue(select.select([self.client.sock], [], [], rig.LONG)[0])
        real = self.loop.epoll
        polls = []

        def stopped(timeout, count):
            polls.append(timeout)
            if len(polls) == 1:
                self.now += 5000
                return []
            return real.poll(timeout, count)

        self.loop.epoll = Mock(poll=stopped, modify=real.modify, unregister=real.unregister, register=real.register)
        self.loop.run_once(100.0, lambda: None)
        self.loop.epoll = real
        self.assertEqual((len(polls), self.heard[before:]), (2, [polled_at]))
        self.assertEqual(self.client.counts["silent"], 0)

    def test_lost_and_heard_again_are_logged_once_with_durations(self):
        self.send(HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        for sock in self.stream.socks:
            sock.shutdown(2)
        self.until(lambda: self.log.warning.called)
        self.assertIsNotNone(self.log.warning.call_args.kwargs["heard_ms"])
        before = len(self.stream.socks)
        self.now += 1000
        self.until(lambda: len(self.stream.socks) > before)
        self.connected()
        self.send(HEAD, lambda: self.client.response_started)
        self.assertFalse(self.log.info.called)
        self.now += 500
        self.send(COMMENT)
        (connected,) = self.log.info.call_args_list
        self.assertEqual(connected.args, ("endpoint list connected",))
        self.assertGreaterEqual(connected.kwargs["outage_ms"], 1500)


if __name__ == "__main__":
    unittest.main()
