"""Connections of clients that end while answers are owed, and attempts after their clients have left."""

import select
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import A, B, C
from tests.rig import event_tuple
from tests.timed_rig import TimedFrontEndCase
from wickdyke.gateway.events import RequestReceived
from wickdyke.platform import client_connection, client_server
from wickdyke.routing.model import RequestClass
from wickdyke.transport import event_loop, write_buffer


class AnswersOwed(unittest.TestCase):
    """What was read is answered, whatever else its connection does."""

    def setUp(self):
        self.now = 0.0
        self.addCleanup(patch.stopall)
        for module in (event_loop, client_server, client_connection):
            patch.object(module, "clock", lambda: self.now).start()
        self.loop, self.recorded = event_loop.EventLoop(), []
        self.addCleanup(self.loop.close)
        methods = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        self.address = rig.free_address()
        host, port = self.address.split(":")
        self.front = client_server.ClientServer(
            self.loop,
            client_server.ClientServerSettings((host, int(port)), methods, 2),
            self.recorded.append,
            lambda: "",
            Mock(),
        )
        self.front.listen()
        self.addCleanup(self.front.close_listener)
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
        self.until(lambda: len(self.recorded) == many, "a request")
        return self.recorded[-1].pending

    def there(self, client):
        """Waits until what the client did is there to be read."""
        self.assertTrue(select.select([client.sock], [], [], rig.TIMEOUT)[0])

    def test_half_a_frame_behind_it_goes_silent(self):
        client = self.client()
        ask = self.asked(client, rig.dispatch(1, rig.fields(A)))
        client.send(rig.dispatch(2, rig.fields(B))[:20])
        self.until(lambda: next(iter(self.front.clients.values())).frame_parser.has_partial_frame)
        self.now += client_server.SILENCE_TIMEOUT + 2 * client_server.SWEEP_INTERVAL
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
            self.now += client_server.SWEEP_INTERVAL
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
                self.recorded.clear()
                client = self.client()
                ask = self.asked(client, rig.dispatch(1, rig.fields(A)) + rig.dispatch(2, rig.fields(B)), 2)
                wrong, cancels = rig.dispatch(2, rig.fields(C)), rig.cancel(3, 2)
                first = wrong + (cancels if cut is None else cancels[:cut])
                client.send(first)
                self.until(lambda: next(iter(self.front.clients.values())).ending)
                if cut is not None:
                    client.send(cancels[cut:])
                self.until(lambda: len(self.recorded) == 3, "the cancel")
                self.assertEqual(event_tuple(self.recorded[-1]), ("cancelled", ask))
                self.assertEqual(list(self.front.open_requests), [A.encode()])
                client.close()
                self.until(lambda: not self.front.clients)

    def test_a_request_that_came_in_time_is_read_before_silence_ends_it(self):
        """The process stood still: its clock is late, and what came meanwhile was not read."""
        client = self.client()
        self.until(lambda: self.front.clients)
        client.send(rig.dispatch(1, rig.fields(A)))
        self.there(next(iter(self.front.clients.values())))
        self.now += client_server.SILENCE_TIMEOUT + 2 * client_server.SWEEP_INTERVAL
        self.front._sweep()
        self.assertEqual([type(event) for event in self.recorded], [RequestReceived])
        self.assertTrue(self.front.clients)

    def test_room_is_not_made_of_one_whose_answer_is_on_its_way(self):
        first, second = self.client(), self.client()
        ask = self.asked(first, rig.dispatch(1, rig.fields(A)))
        other = self.asked(second, rig.dispatch(1, rig.fields(B)), 2)
        with patch.object(write_buffer.WriteBuffer, "send_waiting"):  # the kernel takes nothing for now
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
        with patch.object(client_connection.thrift, "parse_message", side_effect=ZeroDivisionError):
            client.send(rig.dispatch(2, rig.fields(B)))
            self.until(lambda: known.ending)
        ask.succeed(b"done", 1)
        self.until(client.waits)
        self.assertEqual(client.answer(), (1, "answer", b"done"))

    def test_who_has_left_is_known_before_an_attempt(self):
        """A close or a cancel that waits to be read counts."""
        for leaves in ("close", "cancel"):
            with self.subTest(leaves):
                self.recorded.clear()
                client = self.client()
                ask = self.asked(client, rig.dispatch(1, rig.fields(A)))
                self.assertTrue(ask.is_client_waiting())
                ask.router_id = 1
                if leaves == "close":
                    client.close()
                else:
                    client.send(rig.cancel(2, 1))
                self.there(ask.client)
                self.now += 100
                self.assertFalse(ask.is_client_waiting())
                want = ("closed", [ask]) if leaves == "close" else ("cancelled", ask)
                self.assertEqual([event_tuple(event) for event in self.recorded[1:]], [want])


class Attempts(TimedFrontEndCase):
    """No attempt begins for a client that has closed or cancelled."""

    def leaves(self, how):
        """A worker rejects an attempt in the turn in which its client's close or cancel is there, too. The worker is
        served first, so the retry is decided before that is read. How many attempts begin after that."""
        workers = [self.worker(), self.worker()]
        front_end = self.front_end(*workers)
        client = self.idle_client()
        for number in range(2, 10):  # both have a connection
            client.send(rig.dispatch(number, rig.fields(f"{number:016x}", o=f"{number:016x}"), b"slow"))
        self.until(lambda: len(self.held_commands) == 8, "the call-outs")
        while self.held_commands:
            sock, parts = self.held_commands.pop()
            sock.sendall(rig.bulk(parts[1], b"ACK", b"why=w,ahead=0", b""))
        for _ in range(8):
            self.answer(client)
        self.assertTrue(all(worker.received(b"invoke") for worker in workers))
        client.send(rig.dispatch(20, rig.fields(A), b"slow"))
        self.until(lambda: self.held_commands, "the call-out")
        before = sum(len(worker.received(b"invoke")) for worker in workers)
        self.now += 150
        known = next(iter(front_end.client_server.clients.values()))
        if how == "closes":
            client.close()
        elif how == "cancels":
            client.send(rig.cancel(21, 20))
        if how != "stays":
            self.assertTrue(select.select([known.sock], [], [], rig.TIMEOUT)[0])
        sock, parts = self.held_commands.pop()
        sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
        from_workers = [
            number
            for number, handler in front_end.loop.handlers.items()
            if handler.priority is event_loop.Priority.HIGH
        ]
        self.assertTrue(select.select(from_workers, [], [], rig.TIMEOUT)[0])
        if how == "stays":
            self.until(lambda: self.held_commands, "the retry")
        else:
            self.until(lambda: not front_end.coordinator.requests.by_id, "the end of the request")
        for _ in range(10):
            self.run_once()
        return sum(len(worker.received(b"invoke")) for worker in workers) - before

    def test_a_client_that_stays_has_its_retry(self):
        self.assertEqual(self.leaves("stays"), 1)

    def test_none_begins_after_a_close(self):
        self.assertEqual(self.leaves("closes"), 0)

    def test_none_begins_after_a_cancel(self):
        self.assertEqual(self.leaves("cancels"), 0)


if __name__ == "__main__":
    unittest.main()
