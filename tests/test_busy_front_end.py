"""Requests, closes and events that arrive as a timeout ends or beside clients that never stop sending."""

import contextlib
import socket
import struct
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import SSE_HEAD, SteppedClockCase, request, sse_event
from tests.front_end_rig import wait_for
from tests.test_slow_discovery import RawDiscovery


class SweptAndStarved(SteppedClockCase):
    """What silent connections and clients that never stop sending must not cost; each failed at 8f1d016."""

    def number_one(self):
        """The front end's side of the first client's connection."""
        return next(iter(self.service.client_server.clients.values()))

    def test_a_first_request_that_came_as_its_silent_connection_ends(self):
        """The connection said nothing for 2 s, and its request is there, unread, as the sweep comes: it is answered."""
        self.front_end(self.worker().address)
        client = self.client()
        self.until(lambda: self.service.client_server.clients)
        self.advance(1990.0)
        client.send(request(1))
        wait_for(self, lambda: has_unread_data(self.number_one().sock))
        self.now += 300
        self.assertEqual(self.final_answer(client, 500), (1, "answer", b"did x"))

    def test_the_last_byte_that_came_as_its_half_frame_ends(self):
        """The rest of a frame begun 2 s ago is there, unread, as the sweep comes: it is answered."""
        self.front_end(self.worker().address)
        client, whole = self.client(), request(1)
        client.send(whole[:20])
        self.until(lambda: self.service.client_server.clients and self.number_one().frame_parser.has_partial_frame)
        self.advance(1990.0)
        client.send(whole[20:])
        wait_for(self, lambda: has_unread_data(self.number_one().sock))
        self.now += 300
        self.assertEqual(self.final_answer(client, 500), (1, "answer", b"did x"))

    def test_open_requests_of_a_connection_that_is_ended(self):
        """(what came behind the request) -> it is answered, also where that takes 3 s of its 4."""
        for behind in (struct.pack(">i", -1), request(2)[:20]):
            with self.subTest(behind=behind):
                self.front_end(self.worker().address)
                client = self.client()
                client.send(request(1, "pay", b"slow", d="4000"))
                self.wait_for_commands(1)
                client.send(behind)
                first = self.number_one()
                self.until(lambda first=first: first.ending or first.frame_parser.has_partial_frame)
                if first.ending:
                    self.assertEqual(self.answer(client)[1], "exception")
                self.advance(3000.0, 20.0)
                self.answer_held_command()
                self.assertEqual(self.answer(client), (1, "answer", b"at last"))
                self.close_front_end()

    def test_an_event_of_discovery_that_takes_3_s(self):
        """Slow discovery: an event comes in even pieces of a tenth of a second, on each connection anew: it is told."""
        source, worker = self.close_on_cleanup(RawDiscovery()), self.worker()
        front_end = self.front_end(worker.address, bus=source.address)
        event = SSE_HEAD + sse_event(2, rig.instance("w1", worker.address))
        pieces = [event[at : at + len(event) // 30 + 1] for at in range(0, len(event), len(event) // 30 + 1)]
        sent = {}
        for _ in range(300):
            for sock in list(source.readers):
                at = sent.setdefault(sock, 0)
                if at < len(pieces):
                    with contextlib.suppress(OSError):
                        sock.sendall(pieces[at])
                    sent[sock] += 1
            self.advance(100, 20.0, settle=True)
            if front_end.endpoints.offset == 2:
                break
        self.assertEqual(front_end.endpoints.offset, 2, f"asked {front_end.discovery.counts['connects']} times in 30 s")

    def costly(self, ms):
        """Each read of a client takes so many ms from now on."""
        kind = type(self.number_one())
        read = kind.readable

        def readable(client):
            self.now += ms
            read(client)

        return patch.object(kind, "readable", readable)

    def test_who_left_among_many_that_ask(self):
        """Forty others cost 5 ms each to read. One closes, and its worker is full 150 ms later: no attempt then."""
        one, two = self.worker(), self.worker()
        front_end = self.front_end(one.address, two.address)
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.wait_for_commands(1)
        others = [self.client() for _ in range(40)]
        for other in others:
            other.send(rig.alive(1))
            self.answer(other)
        with self.costly(5.0):
            for other in others:
                other.send(rig.alive(2))
            client.close()
            left = self.now
            while self.now < left + 150:
                front_end.run_once()
                self.now += 1
                for other in others:
                    if other.waits():
                        other.answer()
                        other.send(rig.alive(3))
            sock, parts = self.held_commands.pop()
            with contextlib.suppress(OSError):  # ended with the attempt
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
            for _ in range(50):
                front_end.run_once()
        self.assertEqual(len(one.received(b"invoke") + two.received(b"invoke")), 1)

    def test_who_asks_beside_clients_that_never_stop_sending(self):
        """Three send without a pause, more than is read of each in a turn. Another one's request is read as well."""
        front_end = self.front_end(self.worker().address)
        floods = [self.client() for _ in range(3)]
        for flood in floods:
            flood.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    flood.sock.send(rig.cancel(1, 1) * 1000)
        self.until(lambda: len(front_end.client_server.clients) == 3)
        client = self.client()
        self.until(lambda: len(front_end.client_server.clients) == 4)
        client.send(request(1))
        wait_for(self, lambda: has_unread_data(front_end.client_server.clients[4].sock))
        with self.costly(6.0):
            for _ in range(10):  # 30 reads, while each of the three has bytes for more
                front_end.run_once()
                if any(each.last_request_number for each in front_end.client_server.clients.values()):
                    break
        self.assertTrue(
            all(
                has_unread_data(each.sock)
                for each in front_end.client_server.clients.values()
                if not each.last_request_number
            )
        )
        self.assertTrue(
            any(each.last_request_number for each in front_end.client_server.clients.values()),
            "its request was not read",
        )


def has_unread_data(sock):
    """Whether something has come there."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except OSError:
        return False


if __name__ == "__main__":
    unittest.main()
