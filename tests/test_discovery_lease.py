"""The time up to which discovery counts as heard, on an event loop whose clock the test sets."""

import select
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.acceptance_rig import SSE_HEAD, sse_event
from wickdyke.platform import discovery
from wickdyke.transport import event_loop

COMMENT = b": heartbeat\n\n"


class ScriptedDiscovery(rig.Listener):
    """Discovery that sends only the data that the test passes to `send`; `socks` are its connections."""

    def _serve(self, sock):
        pass

    def send(self, data):
        """Sends data on the latest connection."""
        self.socks[-1].sendall(data)


class DiscoveryHeardTest(unittest.TestCase):
    """`heard` collects the times up to which no event was missing."""

    def setUp(self):
        self.now = 1000.0
        self.heard, self.events = [], []
        self.addCleanup(patch.stopall)
        for module in (event_loop, discovery):
            patch.object(module, "clock", lambda: self.now).start()
        self.loop = event_loop.EventLoop()
        self.addCleanup(self.loop.close)
        self.stream = ScriptedDiscovery()
        self.addCleanup(self.stream.close)
        host, _, port = self.stream.address.rpartition(":")
        settings = discovery.DiscoverySettings((host, int(port)), 200.0, 1)
        self.log = Mock()
        self.client = discovery.DiscoveryClient(
            self.loop, settings, lambda: len(self.events), self.events.extend, self.log, self.heard.append
        )
        self.addCleanup(self.client.close)
        self.client.open()
        self.wait_until_connected()

    def wait_until_connected(self):
        self.until(lambda: self.client.connected and self.stream.socks and not self.client.unsent_request)

    def until(self, condition):
        for _ in range(2000):
            if condition():
                return
            self.loop.run_once(5.0, lambda: None)
        self.fail("the condition was not met")

    def poll(self):
        """Polls once while there is no data to read."""
        self.loop.run_once(0.0, lambda: None)

    def send(self, data, received=None):
        """Sends data, and polls until the client has read it."""
        state_before = (
            self.client.last_activity,
            len(self.events),
            len(self.heard),
            self.client.event_parser.comment_count,
        )
        self.stream.send(data)
        self.until(
            received
            or (
                lambda: (
                    self.client.last_activity,
                    len(self.events),
                    len(self.heard),
                    self.client.event_parser.comment_count,
                )
                != state_before
            )
        )

    def test_a_comment_after_the_missed_events_counts(self):
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 100
        self.send(sse_event(2, rig.instance("w0", "127.0.0.1:9")))
        self.assertEqual((len(self.events), self.heard), (1, []))
        self.poll()
        polled_at = self.now
        self.now += 500
        self.send(COMMENT)
        self.assertEqual(self.heard, [polled_at])

    def test_after_that_each_event_counts(self):
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        count_before = len(self.heard)
        polled_at = self.now
        self.now += 300
        self.send(sse_event(2, rig.instance("w0", "127.0.0.1:9")))
        self.assertEqual((len(self.events), self.heard[count_before:]), (1, [polled_at]))

    def test_a_comment_with_the_response_head_does_not_count(self):
        """Such a comment may open the stream, before the events that were missed."""
        self.send(SSE_HEAD + COMMENT, lambda: self.client.event_parser.comment_count)
        self.assertEqual(self.heard, [])
        self.now += discovery.CATCH_UP_TIME
        self.poll()
        self.send(COMMENT)
        self.assertEqual(len(self.heard), 1)

    def test_a_partial_event_does_not_count(self):
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        count_before = len(self.heard)
        self.now += 500
        self.stream.send(b"id: 3\ndata: {")
        self.until(lambda: self.client.event_parser.has_partial_event)
        self.assertEqual(len(self.heard), count_before)

    def test_a_connection_without_data_does_not_count(self):
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 5000
        self.assertEqual(self.heard, [])

    def test_data_that_waited_during_a_stop_counts_as_of_the_poll_before(self):
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        polled_at = self.now
        self.now += 30000
        count_before = len(self.heard)
        self.send(COMMENT)
        self.assertEqual(self.heard[count_before:], [polled_at])

    def test_data_read_in_pieces_counts_as_of_the_poll_before(self):
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        polled_at = self.now
        count_before = len(self.heard)
        self.now += 30000
        with patch.object(discovery, "READ_SIZE", len(COMMENT)):
            self.stream.send(3 * COMMENT + b":")
            comments_before = self.client.event_parser.comment_count
            for _ in range(2000):
                self.loop.run_once(5.0, lambda: None)
                self.now += 10  # each iteration takes 10 ms
                if self.client.event_parser.comment_count == comments_before + 3 and self.client.event_parser.buffer:
                    break
        self.assertEqual(set(self.heard[count_before:]) - {polled_at}, set())

    def test_sockets_are_polled_again_after_a_stop_during_a_wait(self):
        """The poll returns late without events though data has arrived; it must be read before timers run."""
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        polled_at = self.now
        count_before = len(self.heard)
        self.stream.send(COMMENT)
        self.assertTrue(select.select([self.client.sock], [], [], rig.TIMEOUT)[0])
        real_epoll = self.loop.epoll
        poll_timeouts = []

        def poll_after_stop(timeout, count):
            poll_timeouts.append(timeout)
            if len(poll_timeouts) == 1:
                self.now += 5000
                return []
            return real_epoll.poll(timeout, count)

        self.loop.epoll = Mock(
            poll=poll_after_stop,
            modify=real_epoll.modify,
            unregister=real_epoll.unregister,
            register=real_epoll.register,
        )
        self.loop.run_once(100.0, lambda: None)
        self.loop.epoll = real_epoll
        self.assertEqual((len(poll_timeouts), self.heard[count_before:]), (2, [polled_at]))
        self.assertEqual(self.client.counts["silent"], 0)

    def test_disconnection_and_recovery_are_logged_once_with_durations(self):
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.now += 500
        self.send(COMMENT)
        self.poll()
        for sock in self.stream.socks:
            sock.shutdown(2)
        self.until(lambda: self.log.warning.called)
        self.assertIsNotNone(self.log.warning.call_args.kwargs["heard_ms"])
        count_before = len(self.stream.socks)
        self.now += 1000
        self.until(lambda: len(self.stream.socks) > count_before)
        self.wait_until_connected()
        self.send(SSE_HEAD, lambda: self.client.response_started)
        self.assertFalse(self.log.info.called)
        self.now += 500
        self.send(COMMENT)
        (log_call,) = self.log.info.call_args_list
        self.assertEqual(log_call.args, ("endpoint list connected",))
        self.assertGreaterEqual(log_call.kwargs["outage_ms"], 1500)


if __name__ == "__main__":
    unittest.main()
