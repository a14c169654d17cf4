"""A connection to a worker: made, the hello sent and answered, and read by lines."""

import errno
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.protocol.framing import LineReader
from wickdyke.transport.write_buffer import SHORT_OF_MEMORY

READ_SIZE = 1 << 18  # bytes read at a time
MIN_TIMEOUT = 0.001  # s: a timeout of 0 would make the socket non-blocking
MEMORY_RETRY = 0.01  # s until a read is retried for which the kernel had no memory
HELLO_NUMBER = 0  # the id of the hello; commands count from 1
# Errors of socket(2) and connect(2) that are of this machine, for a moment. Workers are on the same machine, so that no
# route to them (and a listening socket whose queue is full, EAGAIN) does not show that one is down.
LOCAL_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
)


@dataclass(slots=True, frozen=True)
class Handshake:
    """A connection whose worker sent its hello.

    `unread_lines` were received with the hello; `reader` has the beginning of what follows them.
    """

    sock: socket.socket
    hello: worker_messages.WorkerHello
    reader: LineReader
    unread_lines: list[bytes]

    def lines(self) -> Iterator[bytes]:
        """The lines of the worker, until it ends the connection. Raises OSError and LineTooLongError."""
        yield from self.unread_lines
        while data := _receive(self.sock):
            yield from self.reader.feed(data)


def shake_hands(sock: socket.socket, gateway: str, max_line: int, deadline: float) -> Handshake:
    """Sends the hello and reads the answer by the deadline (monotonic s), then leaves the socket without a timeout.

    Raises OSError, LineTooLongError, MalformedRequestError or MsgspecError where the worker sent no valid one.
    """
    sock.settimeout(max(MIN_TIMEOUT, deadline - time.monotonic()))
    hello = worker_messages.GatewayHello(worker_messages.VERSION, gateway)
    sock.sendall(jsonrpc.request_line("hello", jsonrpc.encode(hello), HELLO_NUMBER))
    reader = LineReader(max_line)
    lines = _first_lines(sock, reader, deadline)
    answer = _read_hello(lines[0])
    sock.settimeout(None)
    return Handshake(sock, answer, reader, lines[1:])


def _first_lines(sock: socket.socket, reader: LineReader, deadline: float) -> list[bytes]:
    while True:
        time_left = deadline - time.monotonic()
        if time_left <= 0:
            raise TimeoutError("no hello in time")
        sock.settimeout(time_left)
        data = sock.recv(READ_SIZE)
        if not data:
            raise ConnectionResetError("ended before its hello")
        if lines := reader.feed(data):
            return lines


def _read_hello(line: bytes) -> worker_messages.WorkerHello:
    response = jsonrpc.parse_response(line)
    if response.error is not None:
        raise jsonrpc.MalformedRequestError(response.error.code, f"no hello but {response.error.message}")
    hello = msgspec.json.decode(response.result or b"", type=worker_messages.WorkerHello)
    if hello.version != worker_messages.VERSION:
        raise jsonrpc.MalformedRequestError(
            jsonrpc.INVALID_REQUEST, f"version {hello.version}, expected {worker_messages.VERSION}"
        )
    return hello


def _receive(sock: socket.socket) -> bytes:
    """The bytes received next, empty at the end. Raises OSError where the connection has ended otherwise."""
    while True:
        try:
            return sock.recv(READ_SIZE)
        except InterruptedError:
            continue
        except OSError as error:
            if error.errno not in SHORT_OF_MEMORY:
                raise
        time.sleep(MEMORY_RETRY)
