"""Discovery that sends byte by byte, answers with errors, or accepts connections late."""

import contextlib
import signal
import socket
import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import REQUEST_CLASSES, SSE_HEAD, SteppedClockCase, request, sse_event
from tests.front_end_rig import FullListener


class RawDiscovery(rig.Listener):
    """A discovery service whose answers the test writes byte by byte, on the connections in `readers`.

    While `is_unavailable` is true, it answers each request with 503 instead.
    """

    def __init__(self):
        self.readers, self.is_unavailable = [], False
        super().__init__()

    def _serve(self, sock):
        head = b""
        try:
            while not head.endswith(b"\r\n\r\n"):
                if not (byte := sock.recv(1)):
                    return
                head += byte
            if self.is_unavailable:
                sock.sendall(UNAVAILABLE_RESPONSE)
                sock.shutdown(socket.SHUT_WR)
                return
        except OSError:
            return
        self.readers.append(sock)


UNAVAILABLE_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\nConnection: close\r\n\r\nfull\n"


class SlowDiscovery(SteppedClockCase):
    """The front end serves requests and follows the endpoint list again once it can."""

    def count_reads(self):
        """Counts reads of the discovery connection, so that each piece can be read by itself."""
        read, self.read_count = self.service.discovery.readable, 0

        def readable():
            self.read_count += 1
            read()

        self.service.discovery.readable = readable

    def send_piece(self, sock, data, pause):
        """Sends bytes, has them read, and advances the clock by `pause` (ms); returns False after its end."""
        earlier_count = self.read_count
        try:
            sock.sendall(data)
        except OSError:
            return False
        self.until(lambda: self.read_count > earlier_count, "a read of the endpoint list")
        self.advance(pause, settle=True)
        return True

    def test_byte_by_byte(self):
        """The response head takes 2 s and the event 1.2 s, byte by byte: the event is applied, on one connection."""
        bus, worker = self.close_on_cleanup(RawDiscovery()), self.worker()
        front_end = self.front_end(worker.address, bus=bus.address)
        self.count_reads()
        self.until(lambda: bus.readers)
        for byte in SSE_HEAD:
            self.assertTrue(self.send_piece(bus.readers[0], bytes([byte]), 2000 / len(SSE_HEAD)))
        event = sse_event(2, rig.instance("w1", worker.address))
        for byte in event:
            self.assertTrue(self.send_piece(bus.readers[0], bytes([byte]), 1200 / len(event)))
        self.until(lambda: front_end.endpoints.offset == 2)
        self.assertEqual((len(bus.readers), front_end.discovery.counts["silent"]), (1, 0))

    def test_unavailable_for_30_s(self):
        """503 for 30 s: requests are served, connects are 100 to 500 ms apart on average; events are applied later."""
        bus, worker = self.close_on_cleanup(RawDiscovery()), self.worker()
        bus.is_unavailable = True
        front_end = self.front_end(worker.address, bus=bus.address)
        client = self.client()
        for number in range(1, 61):
            client.send(request(number, REQUEST_CLASSES[number % 3]))
            self.assertEqual(self.final_answer(client, 500)[1], "answer")
            for _ in range(50):
                self.advance(10.0, 10.0, settle=True)
                self.until(lambda: front_end.discovery.sock is None, "the answer 503")
        self.assertLess(front_end.discovery.counts["connects"], 30000 / 100)
        self.assertGreater(front_end.discovery.counts["connects"], 30000 / 500)
        bus.is_unavailable, answered_count = False, 0
        self.until(lambda: (self.advance(20.0), bus.readers)[1], "the next request for the endpoint list")
        while front_end.endpoints.offset < 2:
            for sock in bus.readers[answered_count:]:
                with contextlib.suppress(OSError):
                    sock.sendall(SSE_HEAD + sse_event(2, rig.instance("w1", worker.address)))
            answered_count = len(bus.readers)
            self.advance(20.0)
        self.assertEqual(len(front_end.endpoints), 2)
        self.assertEqual(self.logged_errors(), [])

    def test_connections_accepted_late(self):
        """No connection to discovery is accepted for 30 s: requests are served, and reconnects are bounded."""
        full_listener, worker = FullListener(self), self.worker()
        front_end = self.front_end(worker.address, bus=full_listener.address)
        client = self.client()
        for number in range(1, 31):
            client.send(request(number, REQUEST_CLASSES[number % 3]))
            self.assertEqual(self.final_answer(client, 500)[1], "answer")
            self.advance(1000, 10.0, settle=True)
        self.assertLess(front_end.discovery.counts["connects"], 30000 / 100)
        bus = self.close_on_cleanup(rig.Bus())
        self.write(bus.address, worker.address)
        front_end._request_reload(signal.SIGHUP, None)
        self.until(lambda: bus.offsets and front_end.discovery.response_started)
        bus.event(rig.event(2, rig.instance("w1", worker.address)))
        self.until(lambda: front_end.endpoints.offset == 2)
        self.assertEqual(self.logged_errors(), [])


if __name__ == "__main__":
    unittest.main()
