"""Requests, closes and events that arrive as a timeout expires or while other clients send without a pause."""

import contextlib
import socket
import struct
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import SSE_HEAD, SteppedClockCase, request, sse_event
from tests.front_end_rig import wait_for
from tests.test_slow_discovery import RawDiscovery


class TimeoutsAndStarvation(SteppedClockCase):
    """Requests survive the timeout of silent connections and busy clients; each of these tests failed at 8f1d016."""

    def first_connection(self):
        """Returns the front end's side of the first client's connection."""
        return next(iter(self.service.client_server.clients.values()))

    def test_first_request_that_arrives_as_its_silent_connection_times_out(self):
        """After 2 s of silence, a request that is still unread when idle connections are closed is answered."""
        self.front_end(self.worker().address)
        client = self.client()
        self.until(lambda: self.service.client_server.clients)
        self.advance(1990.0)
        client.send(request(1))
        wait_for(self, lambda: has_unread_data(self.first_connection().sock))
        self.now += 300
        self.assertEqual(self.final_answer(client, 500), (1, "answer", b"did x"))

    def test_rest_of_a_partial_frame_that_arrives_as_it_times_out(self):
        """The rest of a frame begun 2 s ago is unread when idle connections are closed: the request is answered."""
        self.front_end(self.worker().address)
        client, frame = self.client(), request(1)
        client.send(frame[:20])
        self.until(
            lambda: self.service.client_server.clients and self.first_connection().frame_parser.has_partial_frame
        )
        self.advance(1990.0)
        client.send(frame[20:])
        wait_for(self, lambda: has_unread_data(self.first_connection().sock))
        self.now += 300
        self.assertEqual(self.final_answer(client, 500), (1, "answer", b"did x"))

    def test_open_request_of_a_connection_that_is_ending(self):
        """(data after the request) -> the request is answered, also where that takes 3 s of its 4."""
        for following_data in (struct.pack(">i", -1), request(2)[:20]):
            with self.subTest(following_data=following_data):
                self.front_end(self.worker().address)
                client = self.client()
                client.send(request(1, "pay", b"slow", d="4000"))
                self.wait_for_commands(1)
                client.send(following_data)
                connection = self.first_connection()
                self.until(lambda connection=connection: connection.ending or connection.frame_parser.has_partial_frame)
                if connection.ending:
                    self.assertEqual(self.answer(client)[1], "exception")
                self.advance(3000.0, 20.0)
                self.answer_held_command()
                self.assertEqual(self.answer(client), (1, "answer", b"at last"))
                self.close_front_end()

    def test_discovery_event_that_takes_3_s(self):
        """Discovery sends an event in 30 even pieces, 0.1 s apart, from the start on each connection: it is applied."""
        bus, worker = self.close_on_cleanup(RawDiscovery()), self.worker()
        front_end = self.front_end(worker.address, bus=bus.address)
        event = SSE_HEAD + sse_event(2, rig.instance("w1", worker.address))
        pieces = [event[at : at + len(event) // 30 + 1] for at in range(0, len(event), len(event) // 30 + 1)]
        sent_counts = {}
        for _ in range(300):
            for sock in list(bus.readers):
                at = sent_counts.setdefault(sock, 0)
                if at < len(pieces):
                    with contextlib.suppress(OSError):
                        sock.sendall(pieces[at])
                    sent_counts[sock] += 1
            self.advance(100, 20.0, settle=True)
            if front_end.endpoints.offset == 2:
                break
        self.assertEqual(
            front_end.endpoints.offset, 2, f"connected {front_end.discovery.counts['connects']} times in 30 s"
        )

    def slow_reads(self, duration):
        """Makes each read of a client connection take `duration` (ms)."""
        connection_type = type(self.first_connection())
        read = connection_type.readable

        def readable(client):
            self.now += duration
            read(client)

        return patch.object(connection_type, "readable", readable)

    def test_client_that_left_among_many_that_send(self):
        """Reading 40 others takes 5 ms each. One client closes, its worker is full 150 ms later: no attempt."""
        first, second = self.worker(), self.worker()
        front_end = self.front_end(first.address, second.address)
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.wait_for_commands(1)
        others = [self.client() for _ in range(40)]
        for other in others:
            other.send(rig.alive(1))
            self.answer(other)
        with self.slow_reads(5.0):
            for other in others:
                other.send(rig.alive(2))
            client.close()
            left_at = self.now
            while self.now < left_at + 150:
                front_end.run_once()
                self.now += 1
                for other in others:
                    if other.waits():
                        other.answer()
                        other.send(rig.alive(3))
            sock, parts = self.held_commands.pop()
            with contextlib.suppress(OSError):  # the connection was closed with the attempt
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
            for _ in range(50):
                front_end.run_once()
        self.assertEqual(len(first.received(b"invoke") + second.received(b"invoke")), 1)

    def test_request_beside_clients_that_send_without_a_pause(self):
        """Three clients send more than is read of each in an iteration; the request of a fourth is read as well."""
        front_end = self.front_end(self.worker().address)
        flooding_clients = [self.client() for _ in range(3)]
        for flooding_client in flooding_clients:
            flooding_client.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    flooding_client.sock.send(rig.cancel(1, 1) * 1000)
        self.until(lambda: len(front_end.client_server.clients) == 3)
        client = self.client()
        self.until(lambda: len(front_end.client_server.clients) == 4)
        client.send(request(1))
        wait_for(self, lambda: has_unread_data(front_end.client_server.clients[4].sock))
        with self.slow_reads(6.0):
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
            "the request was not read",
        )


def has_unread_data(sock):
    """Returns whether a socket has unread data."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except OSError:
        return False


if __name__ == "__main__":
    unittest.main()
