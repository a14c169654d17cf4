"""Client connections that end while requests are unanswered, and attempts for clients that have left."""

import select
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import A, B, C
from tests.rig import event_tuple
from tests.timed_rig import TimedFrontEndCase
from wickdyke.gateway.events import RequestReceived
from wickdyke.platform import client_connection, client_observer, client_server
from wickdyke.routing.model import RequestClass
from wickdyke.transport import event_loop, write_buffer


class UnansweredRequests(unittest.TestCase):
    """Each request that was read is answered, whatever else happens on its connection."""

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        for module in (event_loop, client_server, client_connection, client_observer):
            patch.object(module, "clock", lambda: self.now).start()
        self.loop, self.events = event_loop.EventLoop(), []
        self.addCleanup(self.loop.close)
        request_classes = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        self.address = rig.free_address()
        host, port = self.address.split(":")
        self.client_server = client_server.ClientServer(
            self.loop,
            client_server.ClientServerSettings((host, int(port)), request_classes, 2),
            self.events.append,
            lambda: "",
            Mock(),
        )
        self.client_server.listen()
        self.addCleanup(self.client_server.close_listener)
        self.addCleanup(lambda: [client.close() for client in list(self.client_server.clients.values())])

    def client(self):
        """Returns a new connection to the client server."""
        client = rig.Client(self.address)
        self.addCleanup(client.close)
        return client

    def until(self, condition, description="the expected state"):
        """Runs iterations until `condition()` is true; fails after 4000."""
        for _ in range(4000):
            if condition():
                return
            self.loop.run_once(5.0, lambda: None)
        self.fail(f"timed out waiting for {description}")

    def send_request(self, client, data, count=1):
        """Sends bytes, waits until `count` events have been recorded, and returns the pending request of the last."""
        client.send(data)
        self.until(lambda: len(self.events) == count, "a request")
        return self.events[-1].pending

    def wait_readable(self, client):
        """Waits until the server's side of a connection has something to read."""
        self.assertTrue(select.select([client.sock], [], [], rig.TIMEOUT)[0])

    def test_silent_connection_with_a_partial_frame_after_a_request(self):
        client = self.client()
        pending = self.send_request(client, rig.dispatch(1, rig.fields(A)))
        client.send(rig.dispatch(2, rig.fields(B))[:20])
        self.until(lambda: next(iter(self.client_server.clients.values())).frame_parser.has_partial_frame)
        self.now += client_server.SILENCE_TIMEOUT + 2 * client_server.SWEEP_INTERVAL
        self.loop.run_once(0.0, lambda: None)
        pending.succeed(b"done", 1)
        self.until(client.waits)
        self.assertEqual(client.answer(), (1, "answer", b"done"))
        self.until(client.waits)
        self.assertEqual(client.answer()[1], "closed")

    def test_protocol_error_after_a_request_that_takes_long(self):
        client = self.client()
        pending = self.send_request(client, rig.dispatch(1, rig.fields(A)))
        client.send(
            rig.dispatch(1, rig.fields(B))
        )  # a request number used twice: the connection ends once its open requests are answered
        self.until(lambda: next(iter(self.client_server.clients.values())).ending)
        for _ in range(15):
            self.now += client_server.SWEEP_INTERVAL
            self.loop.run_once(0.0, lambda: None)
        pending.succeed(b"done", 1)
        self.until(client.waits)
        self.assertEqual(client.answer(), (1, "answer", b"done"))
        self.until(client.waits)
        self.assertEqual(client.answer()[1], "closed")

    def test_cancel_after_a_protocol_error_takes_effect(self):
        """The cancel arrives together with the invalid frame, after it, or split between the two."""
        for split_at in (0, 9, None):
            with self.subTest(split_at):
                self.events.clear()
                client = self.client()
                pending = self.send_request(client, rig.dispatch(1, rig.fields(A)) + rig.dispatch(2, rig.fields(B)), 2)
                invalid, cancel = rig.dispatch(2, rig.fields(C)), rig.cancel(3, 2)
                first = invalid + (cancel if split_at is None else cancel[:split_at])
                client.send(first)
                self.until(lambda: next(iter(self.client_server.clients.values())).ending)
                if split_at is not None:
                    client.send(cancel[split_at:])
                self.until(lambda: len(self.events) == 3, "the cancel")
                self.assertEqual(event_tuple(self.events[-1]), ("cancelled", pending))
                self.assertEqual(list(self.client_server.open_requests), [A.encode()])
                client.close()
                self.until(lambda: not self.client_server.clients)

    def test_unread_request_is_read_before_a_silent_connection_is_closed(self):
        """After a stop of the process, a request that arrived meanwhile is unread when the connection times out."""
        client = self.client()
        self.until(lambda: self.client_server.clients)
        client.send(rig.dispatch(1, rig.fields(A)))
        self.wait_readable(next(iter(self.client_server.clients.values())))
        self.now += client_server.SILENCE_TIMEOUT + 2 * client_server.SWEEP_INTERVAL
        self.client_server._sweep()
        self.assertTrue(self.client_server.clients)
        self.loop.run_once(0.0, self.client_server._sweep)  # the next sweep is due before the connection's turn
        self.assertEqual([type(event) for event in self.events], [RequestReceived])
        self.assertTrue(self.client_server.clients)

    def test_connection_with_an_unsent_answer_is_not_closed_to_make_room(self):
        first, second = self.client(), self.client()
        pending = self.send_request(first, rig.dispatch(1, rig.fields(A)))
        other = self.send_request(second, rig.dispatch(1, rig.fields(B)), 2)
        with patch.object(write_buffer.WriteBuffer, "send_waiting"):  # the socket accepts no bytes for now
            connection = pending.client
            real = connection.write_buffer.sock
            connection.write_buffer.sock = Mock(send=Mock(side_effect=BlockingIOError))
            pending.succeed(b"done", 1)
            connection.write_buffer.sock = real
            third = self.client()
            self.until(lambda: self.client_server.counts["accepted"] == 3)
            self.assertEqual(self.client_server.counts["no_room"], 1)
        self.until(first.waits)
        self.assertEqual(first.answer(), (1, "answer", b"done"))
        self.until(third.waits)
        self.assertEqual(third.answer()[1], "closed")
        other.succeed(b"done", 1)
        self.until(second.waits)
        self.assertEqual(second.answer()[1], "answer")

    def test_connection_with_an_internal_error_is_answered_before_it_ends(self):
        client = self.client()
        pending = self.send_request(client, rig.dispatch(1, rig.fields(A)))
        connection = pending.client
        self.loop.on_error = Mock()
        with patch.object(client_connection.thrift, "parse_message", side_effect=ZeroDivisionError):
            client.send(rig.dispatch(2, rig.fields(B)))
            self.until(lambda: connection.ending)
        pending.succeed(b"done", 1)
        self.until(client.waits)
        self.assertEqual(client.answer(), (1, "answer", b"done"))

    def test_client_that_left_is_detected_before_an_attempt(self):
        """A close or a cancel that has arrived but is unread counts."""
        for way in ("close", "cancel"):
            with self.subTest(way):
                self.events.clear()
                client = self.client()
                pending = self.send_request(client, rig.dispatch(1, rig.fields(A)))
                self.assertTrue(pending.is_client_waiting())
                pending.router_id = 1
                if way == "close":
                    client.close()
                else:
                    client.send(rig.cancel(2, 1))
                self.wait_readable(pending.client)
                self.now += 100
                self.assertFalse(pending.is_client_waiting())
                expected = ("closed", [pending]) if way == "close" else ("cancelled", pending)
                self.assertEqual([event_tuple(event) for event in self.events[1:]], [expected])


class AttemptsAfterLeaving(TimedFrontEndCase):
    """No attempt begins for a client that has closed or cancelled."""

    def attempts_after_leaving(self, how):
        """A worker rejects an attempt in the iteration in which its client's close or cancel is readable too.

        The worker's connection is served first, so that the retry is decided before the client's bytes are read.
        Returns how many attempts begin after that.
        """
        workers = [self.worker(), self.worker()]
        front_end = self.front_end(*workers)
        client = self.idle_client()
        for number in range(2, 10):  # so that both workers have a connection
            client.send(rig.dispatch(number, rig.fields(f"{number:016x}", o=f"{number:016x}"), b"slow"))
        self.until(lambda: len(self.held_commands) == 8, "the attempts")
        while self.held_commands:
            sock, parts = self.held_commands.pop()
            sock.sendall(rig.bulk(parts[1], b"ACK", b"why=w,ahead=0", b""))
        for _ in range(8):
            self.answer(client)
        self.assertTrue(all(worker.received(b"invoke") for worker in workers))
        client.send(rig.dispatch(20, rig.fields(A), b"slow"))
        self.until(lambda: self.held_commands, "the attempt")
        earlier_count = sum(len(worker.received(b"invoke")) for worker in workers)
        self.now += 150
        connection = next(iter(front_end.client_server.clients.values()))
        if how == "closes":
            client.close()
        elif how == "cancels":
            client.send(rig.cancel(21, 20))
        if how != "stays":
            self.assertTrue(select.select([connection.sock], [], [], rig.TIMEOUT)[0])
        sock, parts = self.held_commands.pop()
        sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
        worker_descriptors = [
            number
            for number, handler in front_end.loop.handlers.items()
            if handler.priority is event_loop.Priority.HIGH
        ]
        self.assertTrue(select.select(worker_descriptors, [], [], rig.TIMEOUT)[0])
        if how == "stays":
            self.until(lambda: self.held_commands, "the retry")
        else:
            self.until(lambda: not front_end.coordinator.requests.by_id, "the end of the request")
        for _ in range(10):
            self.run_once()
        return sum(len(worker.received(b"invoke")) for worker in workers) - earlier_count

    def test_request_of_a_client_that_stays_is_retried(self):
        self.assertEqual(self.attempts_after_leaving("stays"), 1)

    def test_no_attempt_after_a_close(self):
        self.assertEqual(self.attempts_after_leaving("closes"), 0)

    def test_no_attempt_after_a_cancel(self):
        self.assertEqual(self.attempts_after_leaving("cancels"), 0)


if __name__ == "__main__":
    unittest.main()
