"""The handshake on a new connection to a worker: the gateway's hello and the worker's answer."""

import socket
import time
from dataclasses import dataclass

import msgspec

from wickdyke.protocol import back, jsonrpc
from wickdyke.protocol.lines import Lines

READ_SIZE = 1 << 18  # bytes read at a time
TIMEOUT_LEAST = 0.001  # s: a timeout of 0 would make the socket non-blocking


@dataclass(slots=True, frozen=True)
class Handshake:
    """A connection whose worker said who it is. `unread_lines` came with its hello; `lines` has what follows them."""

    sock: socket.socket
    standing: back.Standing
    lines: Lines
    unread_lines: list[bytes]


def shake_hands(sock: socket.socket, gateway: str, max_line: int, ends: float) -> Handshake:
    """Says hello and reads the answer by `ends` (monotonic s), then leaves the socket without a timeout.

    Raises OSError, TooLong, jsonrpc.Fault or MsgspecError where the worker gave none that can be used.
    """
    sock.settimeout(max(TIMEOUT_LEAST, ends - time.monotonic()))
    hello = back.Hello(back.VERSION, gateway)
    sock.sendall(jsonrpc.request_line("hello", jsonrpc.encode(hello), 0))
    lines = Lines(max_line)
    received = _first_lines(sock, lines, ends)
    standing = _standing(received[0])
    sock.settimeout(None)
    return Handshake(sock, standing, lines, received[1:])


def _first_lines(sock: socket.socket, lines: Lines, ends: float) -> list[bytes]:
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


def _standing(line: bytes) -> back.Standing:
    _, result, problem = jsonrpc.answer(line)
    if result is None:
        raise jsonrpc.Fault(problem.code, f"no hello but {problem.message}")
    standing = msgspec.json.decode(result, type=back.Standing)
    if standing.version != back.VERSION:
        raise jsonrpc.Fault(jsonrpc.INVALID, f"version {standing.version}, expected {back.VERSION}")
    return standing
