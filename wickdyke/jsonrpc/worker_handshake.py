"""The start of a connection to a worker: exchanges the hellos, then yields the lines that the worker sends."""

import errno
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.protocol.framing import LineReader
from wickdyke.transport.write_buffer import OUT_OF_MEMORY_ERRORS

READ_SIZE = 1 << 18  # bytes read at a time
MIN_TIMEOUT = 0.001  # s: a timeout of 0 would make the socket non-blocking
MEMORY_RETRY_DELAY = 0.01  # s until a read that failed for lack of memory is retried
HELLO_NUMBER = 0  # the id of the hello; commands count from 1
# Temporary errors of socket(2) and connect(2) that are caused by this machine. Workers run on the same machine, so a
# missing route, or a full backlog of the listening socket (EAGAIN), does not show that a worker is down.
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
    """A connection whose worker has sent its hello.

    `unread_lines` were received together with the hello; `reader` holds the beginning of the line that follows them.
    """

    sock: socket.socket
    hello: worker_messages.WorkerHello
    reader: LineReader
    unread_lines: list[bytes]

    def lines(self) -> Iterator[bytes]:
        """Yields the worker's lines until it ends the connection. Raises OSError and LineTooLongError."""
        yield from self.unread_lines
        while data := _receive(self.sock):
            yield from self.reader.feed(data)


def shake_hands(sock: socket.socket, gateway: str, max_line: int, deadline: float) -> Handshake:
    """Sends the gateway's hello and reads the worker's by the deadline (monotonic s); clears the socket's timeout.

    Raises OSError, LineTooLongError, MalformedRequestError or MsgspecError if the worker sends no valid hello.
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
            raise TimeoutError("worker sent no hello within the connect timeout")
        sock.settimeout(time_left)
        data = sock.recv(READ_SIZE)
        if not data:
            raise ConnectionResetError("worker closed the connection before its hello")
        if lines := list(reader.feed(data)):
            return lines


def _read_hello(line: bytes) -> worker_messages.WorkerHello:
    response = jsonrpc.parse_response(line)
    if response.error is not None:
        raise jsonrpc.MalformedRequestError(
            response.error.code, f"worker answered the hello with an error: {response.error.message}"
        )
    hello = msgspec.json.decode(response.result or b"", type=worker_messages.WorkerHello)
    if hello.version != worker_messages.VERSION:
        raise jsonrpc.MalformedRequestError(
            jsonrpc.INVALID_REQUEST, f"protocol version {hello.version}, expected {worker_messages.VERSION}"
        )
    return hello


def _receive(sock: socket.socket) -> bytes:
    """Returns the bytes received next, empty at the end of the connection. Raises OSError if the connection fails."""
    while True:
        try:
            return sock.recv(READ_SIZE)
        except InterruptedError:
            continue
        except OSError as error:
            if error.errno not in OUT_OF_MEMORY_ERRORS:
                raise
        time.sleep(MEMORY_RETRY_DELAY)
