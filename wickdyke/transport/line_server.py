"""A small JSON-RPC server, one object per line, with one thread per connection and blocking sockets."""

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
MAX_UNREAD_SIZE = 64 << 20  # bytes that may wait for one peer to read them
READ_SIZE = 1 << 18  # bytes read at a time
BACKLOG = 512  # connections that may wait to be accepted


class AddressInUseError(Exception):
    """The address is not available: a live process listens there, or the system rejects it."""


class ListeningSocket(NamedTuple):
    """A listening socket, and for a Unix socket its lock file, which must stay open while the socket is in use."""

    sock: socket.socket
    lock_file: TextIO | None


def listen(address: str) -> ListeningSocket:
    """Returns a socket that listens on the address. Raises AddressInUseError.

    The lock file next to a Unix socket's file tells a live owner from a socket file that a killed process left behind.
    """
    family, target = addresses.parse(address)
    # If a step fails, the files and sockets opened before it are closed.
    with contextlib.ExitStack() as cleanup:
        lock_file = None
        if family == socket.AF_UNIX:
            os.makedirs(os.path.dirname(address) or ".", exist_ok=True)
            lock_file = cleanup.enter_context(open(address + ".lock", "w"))
            _lock_address(address, lock_file)
        try:
            sock = cleanup.enter_context(socket.socket(family, socket.SOCK_STREAM))
            if family != socket.AF_UNIX:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(target)
            sock.listen(BACKLOG)
        except OSError as error:
            raise AddressInUseError(f"{address}: {error.strerror}, expected a free address") from None
        cleanup.pop_all()
    return ListeningSocket(sock, lock_file)


def _lock_address(address: str, lock_file: TextIO) -> None:
    """Takes the lock and removes a socket file that a killed process left behind. Raises AddressInUseError."""
    try:
        fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        raise AddressInUseError(f"{address}: another live process listens there, expected a free address") from None
    try:
        if not stat.S_ISSOCK(os.lstat(address).st_mode):
            raise AddressInUseError(f"{address}: the file is not a socket, expected a socket or no file")
        os.unlink(address)  # the lock was free, so the socket file is from a process that was killed
    except FileNotFoundError:
        pass


class LineConnection:
    """One connection. `send` may be called from any thread and never blocks; a peer that reads too little is closed."""

    def __init__(self, sock: socket.socket, max_unread: int = MAX_UNREAD_SIZE) -> None:
        self.sock = sock
        self.write_buffer = WriteBuffer(sock, max_unread, "wire")
        self.open = True
        self.peer = ""  # the peer's name, once it has sent one
        self.received_at = 0.0  # monotonic ms; when the request being handled arrived

    def send(self, body: bytes) -> None:
        """Sends one line, or closes the connection if that fails."""
        try:
            self.write_buffer.put(OutgoingMessage(body + b"\n"))
        except (OSError, PeerTooSlowError, RuntimeError):  # RuntimeError: no thread could be started
            self.open = False
            self.write_buffer.close()


class Listener:
    """Accepts connections on an address and calls `serve(sock)` for each in its own thread, then closes the socket.

    A failure of accept(2) or of a thread's start costs at most one connection; only `close` ends the listener.
    """

    def __init__(self, address: str, serve: Callable[[socket.socket], None]) -> None:
        self.serve = serve
        self.sock, self.lock_file = listen(address)
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
        """Stops accepting connections and ends all open ones."""
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
            if self.acceptor.closed.is_set():  # accepted while `close` ran, which did not close it
                sock.close()
                return
            self.readers[sock] = TimedReader(sock, self.stalls, READ_SIZE, self.acceptor.connected_after)
        try:
            threading.Thread(target=self._serve_one, args=(sock,), name="connection", daemon=True).start()
        except RuntimeError:
            self._close_connection(sock)
            raise

    def _serve_one(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            self._close_connection(sock)

    def _close_connection(self, sock: socket.socket) -> None:
        with self.lock:
            reader = self.readers.pop(sock, None)
        if reader is not None:
            reader.close()
        with contextlib.suppress(OSError):
            sock.close()


class LineServer(Listener):
    """Calls `on_request(connection, request)` for each JSON-RPC request, and `on_close(connection)` at the end."""

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
            at_end = False
            while not at_end:
                received = reader.read()
                at_end = received.at_end
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
