"""A small server of one JSON-RPC object a line: one thread a connection, blocking sockets."""

import contextlib
import fcntl
import os
import socket
import stat
import threading
from collections.abc import Callable
from typing import NamedTuple, TextIO

from wickdyke.config import address as addresses
from wickdyke.protocol import jsonrpc
from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.transport.acceptor import Acceptor
from wickdyke.transport.stall_detector import StallDetector
from wickdyke.transport.timed_reader import TimedReader
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer

MAX_LINE_SIZE = 64 << 20  # bytes
MAX_UNREAD = 64 << 20  # bytes that may wait for one peer
READ_SIZE = 1 << 18  # bytes read at a time
BACKLOG = 512


class AddressInUseError(Exception):
    """The address is not available: a live process listens there, or the system rejects it."""


class ListeningSocket(NamedTuple):
    """A listening socket. The lock file, of a Unix socket, is to be kept open for as long as the socket is used."""

    sock: socket.socket
    lock_file: TextIO | None


def listener(address: str) -> ListeningSocket:
    """Listens on that address. Raises AddressInUseError.

    The lock beside a Unix socket's file distinguishes a live owner from a file that a killed process left behind.
    """
    family, target = addresses.parse(address)
    # Closes what is open already where a later step fails.
    with contextlib.ExitStack() as opened:
        lock_file = None
        if family == socket.AF_UNIX:
            os.makedirs(os.path.dirname(address) or ".", exist_ok=True)
            lock_file = opened.enter_context(open(address + ".lock", "w"))
            _claim(address, lock_file)
        try:
            sock = opened.enter_context(socket.socket(family, socket.SOCK_STREAM))
            if family != socket.AF_UNIX:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(target)
            sock.listen(BACKLOG)
        except OSError as error:
            raise AddressInUseError(f"{address}: {error.strerror}, expected a free one") from None
        opened.pop_all()
    return ListeningSocket(sock, lock_file)


def _claim(address: str, lock_file: TextIO) -> None:
    """Takes the lock and removes the socket file that a killed process left behind; raises AddressInUseError."""
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        raise AddressInUseError(f"{address}: somebody live listens there, expected a free one") from None
    try:
        if not stat.S_ISSOCK(os.lstat(address).st_mode):
            raise AddressInUseError(f"{address}: a file that is no socket stands there, expected none")
        os.unlink(address)  # the lock was free: a killed process left it
    except FileNotFoundError:
        pass


class LineConnection:
    """One connection. `send` may be called from any thread and never waits: a peer that reads too little is closed."""

    def __init__(self, sock: socket.socket, unread: int = MAX_UNREAD) -> None:
        self.sock = sock
        self.write_buffer = WriteBuffer(sock, unread, "wire")
        self.open = True
        self.peer = ""  # the peer's name, where it has given one
        self.received_at = 0.0  # monotonic ms; when the request in hand arrived

    def send(self, body: bytes) -> None:
        """Sends one line, or closes the connection where that fails."""
        try:
            self.write_buffer.put(OutgoingMessage(body + b"\n"))
        except (OSError, PeerTooSlowError, RuntimeError):  # RuntimeError: no thread could be started
            self.open = False
            self.write_buffer.close()


class Listener:
    """Accepts connections on an address and calls `serve(sock)` in a thread for each, which need not close it.

    A failure of accept or of the start of a thread costs one connection at most; only `close` ends the listener.
    """

    def __init__(self, address: str, serve: Callable[[socket.socket], None]) -> None:
        self.serve = serve
        self.sock, self.lock_file = listener(address)
        self.readers: dict[socket.socket, TimedReader] = {}  # of all open connections
        self.lock = threading.Lock()
        self.stalls = StallDetector()
        self.acceptor = Acceptor(self.sock, self._start_serving, detector=self.stalls)
        try:
            self.stalls.open()
            threading.Thread(target=self.acceptor.run, name="accept", daemon=True).start()
        except RuntimeError:
            self.close()
            raise

    def close(self) -> None:
        """Accepts no more connections and ends all open ones."""
        self.acceptor.close()
        self.stalls.close()
        with self.lock:
            socks = list(self.readers)
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        if self.lock_file is not None:
            self.lock_file.close()

    def _start_serving(self, sock: socket.socket) -> None:
        with self.lock:
            if self.acceptor.closed.is_set():  # accepted during `close`, which does not end it
                sock.close()
                return
            self.readers[sock] = TimedReader(sock, self.stalls, READ_SIZE, self.acceptor.connected_after)
        try:
            threading.Thread(target=self._serve_one, args=(sock,), name="connection", daemon=True).start()
        except RuntimeError:
            self._forget(sock)
            raise

    def _serve_one(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            self._forget(sock)

    def _forget(self, sock: socket.socket) -> None:
        with self.lock:
            reader = self.readers.pop(sock, None)
        if reader is not None:
            reader.close()
        with contextlib.suppress(OSError):
            sock.close()


class LineServer(Listener):
    """Calls `on_request(connection, request)` for each JSON-RPC request, `on_close(connection)` at each end."""

    def __init__(
        self,
        address: str,
        on_request: Callable[[LineConnection, jsonrpc.Request], None],
        on_close: Callable[[LineConnection], None],
        line_size: int = MAX_LINE_SIZE,
    ) -> None:
        self.on_request = on_request
        self.on_close = on_close
        self.line_size = line_size
        self.connections: set[LineConnection] = set()
        super().__init__(address, self._read)

    def _read(self, sock: socket.socket) -> None:
        connection = LineConnection(sock)
        lines = LineReader(self.line_size)
        with self.lock:
            reader = self.readers[sock]
        self.connections.add(connection)
        try:
            ended = False
            while not ended:
                received = reader.read()
                ended = received.ended
                connection.received_at = received.received_at
                for line in lines.feed(received.data):
                    self._handle(connection, line)
        except (OSError, LineTooLongError):
            pass
        finally:
            connection.open = False
            self.connections.discard(connection)
            try:
                self.on_close(connection)
            finally:
                connection.write_buffer.close()

    def _handle(self, connection: LineConnection, line: bytes) -> None:
        for request in jsonrpc.parse_requests(line):
            if isinstance(request, jsonrpc.MalformedRequestError):
                connection.send(jsonrpc.malformed_request_response(request))
            else:
                self.on_request(connection, request)
