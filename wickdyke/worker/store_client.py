"""The worker's side of the store service: finds archives, and resumes a read whose connection broke."""

import os
import socket
import time
from dataclasses import dataclass
from typing import BinaryIO

import msgspec

from wickdyke.config import address as addresses
from wickdyke.protocol import jsonrpc
from wickdyke.worker.source import Found, Unknown
from wickdyke.worker.store_messages import CHUNK_BYTES, LINE_MOST, UNKNOWN, Entry, Find, Follows, Read

CONNECT_TIMEOUT = 2000.0  # ms
STALL_TIMEOUT = 3000.0  # ms without a byte after which a connection counts as stalled
READ_BYTES = 4096  # of an answer's line that are read at once


@dataclass(slots=True)
class RetryBackoff:
    """Whether and when a fetch is tried again. `attempts` in a row without a byte more end it; pauses double."""

    attempts: int = 4
    first_pause: float = 50.0  # ms
    pause_most: float = 1000.0  # ms
    failures: int = 0  # in a row, without a byte more
    received: int = 0  # bytes

    def connection_lost(self, received: int) -> float | None:
        """A connection was lost after so many bytes in all; ms to wait before the next, None to give up."""
        self.failures = 0 if received > self.received else self.failures + 1
        self.received = received
        if self.failures >= self.attempts:
            return None
        return min(self.pause_most, self.first_pause * 2.0**self.failures)


class WriteFailed(Exception):
    """What came could not be written here. That is no fault of the store, so it is not asked again."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(str(cause))
        self.cause = cause


class StoreClient:
    """A store service at an address, with the interface of `source.Folder`."""

    def __init__(self, address: str, stall_timeout: float = STALL_TIMEOUT) -> None:
        self.address, self.stall_timeout = address, stall_timeout

    def find(self, program: str) -> Found:
        """The archive of a function; raises Unknown, or OSError where the store can't be asked."""
        with self._connect() as sock:
            entry, _ = self._ask(sock, "find", Find(program), Entry)
        return Found(entry.name, entry.version, entry.digest, entry.size)

    def fetch(self, found: Found, path: str) -> None:
        """Reads the archive into that file; raises Unknown where it is gone, OSError where it can't be had."""
        backoff = RetryBackoff()
        with open(path, "wb") as sink:
            while sink.tell() < found.size:
                try:
                    self._read_or_find(found, sink)
                except WriteFailed as error:
                    raise OSError(error.cause.errno or 0, error.cause.strerror or str(error), path) from None
                except OSError as error:
                    received = sink.tell()
                    pause = backoff.connection_lost(received)
                    if pause is None:
                        text = f"{error}, at byte {received} of {found.size}"
                        raise OSError(error.errno or 0, text, self.address) from None
                    time.sleep(pause / 1000)

    def _read_or_find(self, found: Found, sink: BinaryIO) -> None:
        """Reads on. A store that has restarted knows only what it was asked to find: then raises OSError, to retry."""
        try:
            self._read(found, sink)
        except Unknown:
            if self.find(f"{found.name}@{found.version}").digest != found.digest:
                raise
            raise OSError("the store was started anew") from None

    def _read(self, found: Found, sink: BinaryIO) -> None:
        with self._connect() as sock:
            follows, rest = self._ask(sock, "read", Read(found.digest, sink.tell()), Follows)
            left = follows.bytes
            if left != found.size - sink.tell() or len(rest) > left:
                raise Unknown(
                    f"{self.address}: {left} bytes of {found.digest} to come, expected {found.size - sink.tell()}"
                )
            while left:
                piece = rest or sock.recv(min(left, CHUNK_BYTES))
                if not piece:
                    raise ConnectionResetError("the store ended the connection")
                try:
                    sink.write(piece)
                except OSError as error:
                    raise WriteFailed(error) from None
                left -= len(piece)
                rest = b""

    def _connect(self) -> socket.socket:
        sock = addresses.connect(self.address, CONNECT_TIMEOUT)
        sock.settimeout(self.stall_timeout / 1000)
        return sock

    def _ask(self, sock: socket.socket, method: str, params, kind: type) -> tuple:
        """(answer, bytes that came after its line)."""
        sock.sendall(jsonrpc.request_line(method, jsonrpc.encode(params), 1))
        data = b""
        while b"\n" not in data:
            piece = sock.recv(READ_BYTES)
            if not piece:
                raise ConnectionResetError("the store ended the connection")
            data += piece
            if len(data) > LINE_MOST + CHUNK_BYTES:
                raise OSError("an answer without an end")
        line, _, rest = data.partition(b"\n")
        try:
            _, result, problem = jsonrpc.parse_response(line)
            if problem is not None and problem.code == UNKNOWN:
                raise Unknown(problem.message)
            if result is None:
                raise OSError(os.strerror(11) if problem is None else problem.message)
            return msgspec.json.decode(result, type=kind), rest
        except (jsonrpc.MalformedRequestError, msgspec.MsgspecError) as error:
            raise OSError(f"an answer that can't be read ({error})") from None
