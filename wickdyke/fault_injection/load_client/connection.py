"""A connection of a load client to a gateway."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from wickdyke.fault_injection.load_client.client_trace import ClientTrace
from wickdyke.fault_injection.load_client.request_generator import GeneratedRequest
from wickdyke.fault_injection.trace import clock
from wickdyke.protocol import client_messages, jsonrpc
from wickdyke.protocol.framing import LineReader

RECONNECT_PAUSE_S = 0.05
READ_SIZE_BYTES = 1 << 16  # per read
MAX_LINE_BYTES = 64 << 20  # of one answer


class ClientConnection:
    """One connection to a gateway, re-established when it is lost. Its own thread reads answers."""

    def __init__(self, gateway: str, path: str, trace: ClientTrace, mark_of: Callable[[jsonrpc.Ident], str]) -> None:
        """Connects to the Unix socket at `path`; `mark_of` returns the mark of a request id."""
        self.gateway = gateway
        self.path = path
        self.trace = trace
        self.mark_of = mark_of
        self.sock: socket.socket | None = None  # None while not connected
        self.in_flight: dict[jsonrpc.Ident, str] = {}  # marks by request id, in the order of sending
        self.lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def send(self, request_id: int, line: bytes, request: GeneratedRequest) -> bool:
        """Sends one request, encoded as `line`; returns False where there is no connection."""
        with self.lock:
            if self.sock is None:
                return False
            mark = self.mark_of(request_id)
            self.in_flight[request_id] = mark
            self.trace.request_sent(mark, self.gateway, request)
            with contextlib.suppress(OSError):  # the reader thread detects and records the loss
                self.sock.sendall(line)
            return True

    def _run(self) -> None:
        while True:
            sock = self._connect()
            with self.lock:
                self.sock = sock
            with contextlib.suppress(OSError):
                self._read_answers(sock)
            self._connection_lost()
            sock.close()

    def _connect(self) -> socket.socket:
        """Returns a connected socket; retries until the connection succeeds."""
        while True:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            try:
                sock.connect(self.path)
            except OSError:
                sock.close()
                time.sleep(RECONNECT_PAUSE_S)
            else:
                return sock

    def _read_answers(self, sock: socket.socket) -> None:
        """Reads answers until the gateway closes the connection; raises OSError."""
        lines = LineReader(MAX_LINE_BYTES)
        while data := sock.recv(READ_SIZE_BYTES):
            received_at = clock()
            for line in lines.feed(data):
                self._answer_received(line, received_at)

    def _answer_received(self, line: bytes, received_at: float) -> None:
        request_id, result, error = jsonrpc.parse_response(line)
        answer = client_messages.read_final_answer(result, error)
        with self.lock:
            self.in_flight.pop(request_id, None)
            self.trace.request_answered(self.mark_of(request_id), self.gateway, received_at, answer, error)

    def _connection_lost(self) -> None:
        with self.lock:
            lost = self.in_flight
            self.in_flight = {}
            self.sock = None
            for mark in lost.values():
                self.trace.request_lost(mark, self.gateway)
