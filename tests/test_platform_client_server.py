"""The platform's client server: requests, errors, limits on connections, silent clients."""

import struct
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from wickdyke.gateway.events import ClientClosed, RequestReceived
from wickdyke.platform import client_server
from wickdyke.routing.model import RequestClass
from wickdyke.transport.event_loop import clock


class Clients(LoopCase):
    """Clients of the platform's client server, on real sockets."""

    def setUp(self):
        super().setUp()
        methods = [RequestClass("look", "idempotent", "all", 0.0, 500.0, 0.0, 4000.0, 1.0, 0.1)]
        self.address = rig.free_address()
        host, port = self.address.split(":")
        self.front = client_server.ClientServer(
            self.loop,
            client_server.ClientServerSettings((host, int(port)), methods, 20),
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

    def answer(self, client):
        self.until(client.waits, "an answer")
        return client.answer()

    def test_a_request_reaches_the_coordinator_as_it_was_sent(self):
        client = self.client()
        client.send(rig.dispatch(1, rig.fields(), b"\x00\xff"))
        self.until(lambda: self.recorded)
        (received,) = self.recorded
        ask = received.pending
        call = ask.params
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
            self.recorded.clear()
            client.send(rig.dispatch(2 if word == "shed" else 3, rig.fields()))
            self.until(lambda: self.recorded)
            ask = self.recorded[0].pending
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
            ("other digits", given(i="\uff19b1f03aa5c7e2d4"), "exception"),
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
                self.assertEqual([event for event in self.recorded if isinstance(event, RequestReceived)], [])

    def test_numbers_and_ids_that_are_open(self):
        """A second request under an open id is refused; under an open number the connection ends after it."""
        client = self.client()
        client.send(rig.dispatch(1, rig.fields()) + rig.dispatch(2, rig.fields(), b"other"))
        self.assertEqual(self.answer(client)[:2], (2, "exception"))
        self.assertEqual(len(self.recorded), 1)
        client.send(rig.dispatch(2, rig.fields("a" * 16)))
        self.assertEqual(self.answer(client)[1], "exception")
        self.recorded[0].pending.reject("x")
        self.assertEqual(self.answer(client)[1], "shed")
        self.assertEqual(self.answer(client)[1], "closed")
        self.assertEqual((len(self.recorded), self.front.open_requests), (1, {}))

    def test_over_32_open(self):
        client = self.client()
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}")) for n in range(1, 35)))
        self.assertEqual([self.answer(client)[:2] for _ in range(2)], [(33, "exception"), (34, "exception")])
        self.assertEqual(len(self.recorded), 32)

    def test_taken_back_before_its_turn_it_is_no_load(self):
        client = self.client()
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}")) + rig.cancel(n, n) for n in range(1, 9)))
        self.until(lambda: len(self.recorded) == 16)
        self.assertTrue(all(event.pending.closed for event in self.recorded))
        client.send(rig.dispatch(9, rig.fields()))
        self.until(lambda: len(self.recorded) == 17)
        client.close()
        self.until(lambda: isinstance(self.recorded[-1], ClientClosed))
        self.assertEqual((self.front.open_requests, self.front.clients), ({}, {}))

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
        self.until(lambda: self.front.last_connection_number == 21)
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
        self.until(lambda: self.recorded)
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
        self.recorded[0].pending.succeed(b"", 1)
        self.assertEqual(self.answer(busy)[1], "answer")


if __name__ == "__main__":
    unittest.main()
