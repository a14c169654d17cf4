"""The store service: a folder of archives, read over a socket by workers, at a rate that all share.

One JSON-RPC request a line. `find` is answered with name, version, digest and size. `read` of a digest from an offset
is answered with how many bytes follow, then by those bytes as they are; a worker that lost its connection asks for
the rest.
"""

import contextlib
import socket
import threading
import time
from typing import BinaryIO

import msgspec

from wickdyke.protocol import jsonrpc
from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.transport.line_server import Listener
from wickdyke.worker.rate_limiter import RateLimiter
from wickdyke.worker.source import Folder, Found, Unknown
from wickdyke.worker.store_messages import (
    CHUNK_BYTES,
    CROWDED,
    LINE_MOST,
    UNKNOWN,
    UNREADABLE,
    Entry,
    Find,
    Follows,
    Read,
)

ERROR_TEXT_MOST = 300  # characters


class Store:
    """Serves until closed. `rate` is bytes per second for all, `readers` how many may read at a time."""

    def __init__(self, address: str, folder: str, rate: float, readers: int, log) -> None:
        self.folder, self.readers, self.log = Folder(folder), readers, log
        self.rate_limiter = RateLimiter(rate)
        self.lock = threading.Lock()  # guards the rate limiter and what follows
        self.found: dict[str, Found] = {}  # by digest
        self.reading = 0
        self.closed = threading.Event()
        self.listener = Listener(address, self._serve)

    def close(self) -> None:
        """Ends all connections."""
        self.closed.set()
        self.listener.close()

    def _serve(self, sock: socket.socket) -> None:
        lines = LineReader(LINE_MOST)
        with contextlib.suppress(LineTooLongError):
            while data := sock.recv(CHUNK_BYTES):
                for line in lines.feed(data):
                    for request in jsonrpc.parse_requests(line):
                        if isinstance(request, jsonrpc.MalformedRequestError):
                            _send(sock, jsonrpc.malformed_request_response(request))
                        else:
                            self._receive(sock, request)

    def _receive(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        try:
            if request.method == "find":
                self._find(sock, request)
            elif request.method == "read":
                self._read(sock, request)
            else:
                _send(sock, jsonrpc.error_response(request.ident, jsonrpc.METHOD_NOT_FOUND, "expected find or read"))
        except msgspec.MsgspecError as error:
            _send(sock, jsonrpc.error_response(request.ident, jsonrpc.INVALID_PARAMS, str(error)[:ERROR_TEXT_MOST]))
        except Unknown as error:
            _send(sock, jsonrpc.error_response(request.ident, UNKNOWN, str(error)))

    def _find(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        name = msgspec.json.decode(request.params, type=Find).program
        try:
            found = self.folder.find(name)
        except OSError as error:  # of the folder, for now: the worker may ask again
            reason = f"{error.filename or self.folder.path}: {error.strerror or error}"
            _send(sock, jsonrpc.error_response(request.ident, UNREADABLE, reason))
            return
        with self.lock:
            self.found[found.digest] = found
        entry = Entry(found.name, found.version, found.digest, found.size)
        _send(sock, jsonrpc.result_response(request.ident, jsonrpc.encode(entry)))

    def _read(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        read = msgspec.json.decode(request.params, type=Read)
        with self.lock:
            found = self.found.get(read.digest)
            crowded = self.reading >= self.readers
            self.reading += not crowded
        if crowded:
            _send(sock, jsonrpc.error_response(request.ident, CROWDED, f"{self.readers} read already"))
            return
        try:
            self._check(found, read)
            with open(found.path, "rb") as source:
                source.seek(read.offset)
                size = found.size - read.offset
                _send(sock, jsonrpc.result_response(request.ident, jsonrpc.encode(Follows(size))))
                self._send_file(sock, source, size)
        finally:
            with self.lock:
                self.reading -= 1

    def _check(self, found: Found | None, read: Read) -> None:
        """Raises Unknown where there are no such bytes to be read."""
        # A package may be replaced under its name; what is read on from an offset must be of the same archive.
        if found is None or self.folder.find(f"{found.name}@{found.version}").digest != read.digest:
            raise Unknown(f"no archive {read.digest[:80]} any more, expected one that find gave")
        if not 0 <= read.offset <= found.size:
            raise Unknown(f"no byte {read.offset} of {found.size}")

    def _send_file(self, sock: socket.socket, source: BinaryIO, size: int) -> None:
        left = size
        while left and (piece := source.read(min(CHUNK_BYTES, left))):
            with self.lock:
                wait = self.rate_limiter.reserve(time.monotonic() * 1000, len(piece))
            if self.closed.wait(wait / 1000):
                raise OSError("closed")
            sock.sendall(piece)
            left -= len(piece)
        if left:
            raise OSError("the file is shorter than it was")  # ends the connection: the worker asks anew


def _send(sock: socket.socket, message: bytes) -> None:
    sock.sendall(message + b"\n")
