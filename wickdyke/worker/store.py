"""The store service: serves a folder of archives to workers over a socket, at a rate that all readers share.

Each line is one JSON-RPC request. `find` returns the name, version, digest and size of an archive. `read` takes a
digest and an offset; its result is the number of bytes from there on, and is followed by these bytes. A worker whose
connection was lost reads the rest from a later offset.
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
from wickdyke.worker.source import FolderStore, PackageNotFoundError, StoredPackage
from wickdyke.worker.store_messages import (
    CHUNK_BYTES,
    LINE_LIMIT,
    PACKAGE_NOT_FOUND,
    TOO_MANY_READERS,
    UNREADABLE,
    FindRequest,
    FindResult,
    ReadRequest,
    ReadResult,
)

MAX_ERROR_LENGTH = 300  # characters of an error message in a response
MAX_SHOWN_DIGEST_LENGTH = 80  # characters of a digest in an error message


class StoreServer:
    """The server, which serves from its construction until it is closed."""

    def __init__(self, address: str, folder: str, rate: float, max_readers: int) -> None:
        """`rate` is bytes per second for all readers together; raises AddressInUseError."""
        self.folder = FolderStore(folder)
        self.max_readers = max_readers
        self.rate_limiter = RateLimiter(rate)
        self.lock = threading.Lock()  # guards the rate limiter, `packages` and `active_readers`
        self.packages: dict[str, StoredPackage] = {}  # by digest, of those that were looked up
        self.active_readers = 0  # the number of reads in progress
        self.closed = threading.Event()
        self.listener = Listener(address, self._serve)

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.closed.set()
        self.listener.close()

    def _serve(self, sock: socket.socket) -> None:
        lines = LineReader(LINE_LIMIT)
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
            _send(sock, jsonrpc.error_response(request.ident, jsonrpc.INVALID_PARAMS, str(error)[:MAX_ERROR_LENGTH]))
        except PackageNotFoundError as error:
            _send(sock, jsonrpc.error_response(request.ident, PACKAGE_NOT_FOUND, str(error)))

    def _find(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        find = msgspec.json.decode(request.params, type=FindRequest)
        try:
            package = self.folder.find(find.function)
        except OSError as error:  # the folder can't be read at present; the worker may retry
            reason = f"{error.filename or self.folder.path}: {error.strerror or error}"
            _send(sock, jsonrpc.error_response(request.ident, UNREADABLE, reason))
            return
        with self.lock:
            self.packages[package.digest] = package
        result = FindResult(package.name, package.version, package.digest, package.size)
        _send(sock, jsonrpc.result_response(request.ident, jsonrpc.encode(result)))

    def _read(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        read = msgspec.json.decode(request.params, type=ReadRequest)
        with self.lock:
            package = self.packages.get(read.digest)
            is_full = self.active_readers >= self.max_readers
            self.active_readers += not is_full
        if is_full:
            text = f"{self.max_readers} read already"
            _send(sock, jsonrpc.error_response(request.ident, TOO_MANY_READERS, text))
            return
        try:
            package = self._check(package, read)
            with open(package.path, "rb") as source:
                source.seek(read.offset)
                size = package.size - read.offset
                _send(sock, jsonrpc.result_response(request.ident, jsonrpc.encode(ReadResult(size))))
                self._send_file(sock, source, size)
        finally:
            with self.lock:
                self.active_readers -= 1

    def _check(self, package: StoredPackage | None, read: ReadRequest) -> StoredPackage:
        """Returns the package; raises PackageNotFoundError where it was replaced or has no such offset."""
        # An archive may be replaced by another one of the same name; a resumed read must be of the same archive.
        if package is None or self.folder.find(f"{package.name}@{package.version}").digest != read.digest:
            digest = read.digest[:MAX_SHOWN_DIGEST_LENGTH]
            raise PackageNotFoundError(f"no archive {digest} any more, expected one that find gave")
        if not 0 <= read.offset <= package.size:
            raise PackageNotFoundError(f"no byte {read.offset} of {package.size}")
        return package

    def _send_file(self, sock: socket.socket, source: BinaryIO, size: int) -> None:
        remaining = size
        while remaining and (chunk := source.read(min(CHUNK_BYTES, remaining))):
            with self.lock:
                wait = self.rate_limiter.reserve(time.monotonic() * 1000, len(chunk))
            if self.closed.wait(wait / 1000):
                raise ConnectionAbortedError("the store is closed")
            sock.sendall(chunk)
            remaining -= len(chunk)
        if remaining:
            raise OSError("the archive became shorter while it was read")  # closes the connection; the worker retries


def _send(sock: socket.socket, message: bytes) -> None:
    sock.sendall(message + b"\n")
