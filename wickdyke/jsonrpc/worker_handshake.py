"""The handshake on a new connection to a worker: the gateway's hello and the worker's answer."""

import socket
import time
from dataclasses import dataclass

import msgspec

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.protocol.framing import LineReader

READ_SIZE = 1 << 18  # bytes read at a time
TIMEOUT_LEAST = 0.001  # s: a timeout of 0 would make the socket non-blocking


@dataclass(slots=True, frozen=True)
class Handshake:
    """A connection whose worker said who it is. `unread_lines` came with its hello; `lines` has what follows them."""

    sock: socket.socket
    standing: worker_messages.WorkerHello
    lines: LineReader
    unread_lines: list[bytes]


def shake_hands(sock: socket.socket, gateway: str, max_line: int, ends: float) -> Handshake:
    """Says hello and reads the answer by `ends` (monotonic s), then leaves the socket without a timeout.

    Raises OSError, TooLong, jsonrpc.Fault or MsgspecError where the worker gave none that can be used.
    """
    sock.settimeout(max(TIMEOUT_LEAST, ends - time.monotonic()))
    hello = worker_messages.GatewayHello(worker_messages.VERSION, gateway)
    sock.sendall(jsonrpc.request_line("hello", jsonrpc.encode(hello), 0))
    lines = LineReader(max_line)
    received = _first_lines(sock, lines, ends)
    standing = _standing(received[0])
    sock.settimeout(None)
    return Handshake(sock, standing, lines, received[1:])


def _first_lines(sock: socket.socket, lines: LineReader, ends: float) -> list[bytes]:
    while True:
        left = ends - time.monotonic()
        if left <= 0:
            raise TimeoutError("no hello in time")
        sock.settimeout(left)
        data = sock.recv(READ_SIZE)
        if not data:
            raise ConnectionResetError("ended before its hello")
        if received := lines.feed(data):
            return received


def _standing(line: bytes) -> worker_messages.WorkerHello:
    _, result, problem = jsonrpc.parse_response(line)
    if result is None:
        raise jsonrpc.MalformedRequestError(problem.code, f"no hello but {problem.message}")
    standing = msgspec.json.decode(result, type=worker_messages.WorkerHello)
    if standing.version != worker_messages.VERSION:
        raise jsonrpc.MalformedRequestError(
            jsonrpc.INVALID_REQUEST, f"version {standing.version}, expected {worker_messages.VERSION}"
        )
    return standing
