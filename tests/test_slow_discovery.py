"""Discovery that sends byte by byte, answers with errors, or accepts late."""

import contextlib
import signal
import socket
import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import REQUEST_CLASSES, SSE_HEAD, SteppedClockCase, request, sse_event
from tests.front_end_rig import FullListener


class RawDiscovery(rig.Listener):
    """A discovery service of which the test writes each byte: `readers` holds its connections, their heads read. While
    it is `crowded`, it answers by itself that it is."""

    def __init__(self):
        self.readers, self.crowded = [], False
        super().__init__()

    def _serve(self, sock):
        head = b""
        try:
            while not head.endswith(b"\r\n\r\n"):
                if not (byte := sock.recv(1)):
                    return
                head += byte
            if self.crowded:
                sock.sendall(CROWDED)
                sock.shutdown(socket.SHUT_WR)
                return
        except OSError:
            return
        self.readers.append(sock)


CROWDED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\nConnection: close\r\n\r\nfull\n"


class Discovery(SteppedClockCase):
    """Discovery that is slow or crowded."""

    def reading(self):
        """Counts reads of the list, so that each piece is read alone."""
        read, self.reads = self.service.discovery.readable, 0

        def readable():
            self.reads += 1
            read()

        self.service.discovery.readable = readable

    def piece(self, sock, data, pause):
        """Writes so much, has it read, and lets a time pass; False where that connection has ended."""
        many = self.reads
        try:
            sock.sendall(data)
        except OSError:
            return False
        self.until(lambda: self.reads > many, "a read of the list")
        self.advance(pause, settle=True)
        return True

    def test_byte_by_byte(self):
        """Head and event in single bytes, the head over 2 s, the event over 1.2 s: followed, and told once."""
        source, worker = self.close_on_cleanup(RawDiscovery()), self.worker()
        front_end = self.front_end(worker.address, bus=source.address)
        self.reading()
        self.until(lambda: source.readers)
        for byte in SSE_HEAD:
            self.assertTrue(self.piece(source.readers[0], bytes([byte]), 2000 / len(SSE_HEAD)))
        event = sse_event(2, rig.instance("w1", worker.address))
        for byte in event:
            self.assertTrue(self.piece(source.readers[0], bytes([byte]), 1200 / len(event)))
        self.until(lambda: front_end.endpoints.offset == 2)
        self.assertEqual((len(source.readers), front_end.discovery.counts["silent"]), (1, 0))

    def test_crowded(self):
        """503 for 30 s, then served: requests go on, it is asked again apart, and the events are told."""
        source, worker = self.close_on_cleanup(RawDiscovery()), self.worker()
        source.crowded = True
        front_end = self.front_end(worker.address, bus=source.address)
        client = self.client()
        for number in range(1, 61):
            client.send(request(number, REQUEST_CLASSES[number % 3]))
            self.assertEqual(self.final_answer(client, 500)[1], "answer")
            for _ in range(50):
                self.advance(10.0, 10.0, settle=True)
                self.until(lambda: front_end.discovery.sock is None, "the word that it is crowded")
        self.assertLess(front_end.discovery.counts["connects"], 30000 / 100)
        self.assertGreater(front_end.discovery.counts["connects"], 30000 / 500)
        source.crowded, seen = False, 0
        self.until(lambda: (self.advance(20.0), source.readers)[1], "the next request for the list")
        while front_end.endpoints.offset < 2:
            for sock in source.readers[seen:]:
                with contextlib.suppress(OSError):
                    sock.sendall(SSE_HEAD + sse_event(2, rig.instance("w1", worker.address)))
            seen = len(source.readers)
            self.advance(20.0)
        self.assertEqual(len(front_end.endpoints), 2)
        self.assertEqual(self.logged_errors(), [])

    def test_connections_taken_late(self):
        """Nobody takes the list's connections for 30 s: requests go on, with a bound on tries; then it is followed."""
        full, worker = FullListener(self), self.worker()
        front_end = self.front_end(worker.address, bus=full.address)
        client = self.client()
        for number in range(1, 31):
            client.send(request(number, REQUEST_CLASSES[number % 3]))
            self.assertEqual(self.final_answer(client, 500)[1], "answer")
            self.advance(1000, 10.0, settle=True)
        self.assertLess(front_end.discovery.counts["connects"], 30000 / 100)
        source = self.close_on_cleanup(rig.Bus())
        self.write(source.address, worker.address)
        front_end._request_reload(signal.SIGHUP, None)
        self.until(lambda: source.offsets and front_end.discovery.response_started)
        source.event(rig.event(2, rig.instance("w1", worker.address)))
        self.until(lambda: front_end.endpoints.offset == 2)
        self.assertEqual(self.logged_errors(), [])


if __name__ == "__main__":
    unittest.main()
