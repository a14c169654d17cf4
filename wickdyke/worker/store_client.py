"""The client of the store service: finds archives, and reads them with retries after lost connections."""

import errno
import os
import socket
import time
from dataclasses import dataclass
from typing import BinaryIO, TypeVar

import msgspec

from wickdyke.config import address as addresses
from wickdyke.protocol import jsonrpc
from wickdyke.worker.source import PackageNotFoundError, StoredPackage
from wickdyke.worker.store_messages import (
    CHUNK_BYTES,
    LINE_LIMIT,
    PACKAGE_NOT_FOUND,
    FindRequest,
    FindResult,
    ReadRequest,
    ReadResult,
)

CONNECT_TIMEOUT = 2000.0  # ms
STALL_TIMEOUT = 3000.0  # ms without a received byte, after which a connection counts as stalled
READ_BYTES = 4096  # of a response line, received at a time

Result = TypeVar("Result", FindResult, ReadResult)


@dataclass(slots=True)
class RetryBackoff:
    """The pauses between the retries of a fetch.

    A fetch fails after `max_failures` lost connections in a row without progress; each of these doubles the pause.
    """

    max_failures: int = 4
    first_pause: float = 50.0  # ms
    max_pause: float = 1000.0  # ms
    failures_in_a_row: int = 0  # without progress
    received_bytes: int = 0  # in total, until the last failure

    def connection_lost(self, received: int) -> float | None:
        """Records a lost connection, with the bytes received in total.

        Returns the ms to wait before the retry; None where the fetch has failed.
        """
        self.failures_in_a_row = 0 if received > self.received_bytes else self.failures_in_a_row + 1
        self.received_bytes = received
        if self.failures_in_a_row >= self.max_failures:
            return None
        return min(self.max_pause, self.first_pause * 2.0**self.failures_in_a_row)


class LocalWriteError(Exception):
    """Received bytes could not be written to the local file. The store can't help, so the read is not retried."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(str(cause))
        self.cause = cause


class StoreClient:
    """Accesses the store service at an address as a source.PackageStore. `stall_timeout` is in ms."""

    def __init__(self, address: str, stall_timeout: float = STALL_TIMEOUT) -> None:
        self.address = address
        self.stall_timeout = stall_timeout

    def find(self, function: str) -> StoredPackage:
        """The archive of a function; raises PackageNotFoundError, or OSError where the store can't be reached."""
        with self._connect() as sock:
            result, _ = self._request(sock, "find", FindRequest(function), FindResult)
        return StoredPackage(result.name, result.version, result.digest, result.size)

    def fetch(self, stored: StoredPackage, path: str) -> None:
        """Reads the archive into a file.

        Raises PackageNotFoundError where the store no longer has the archive, OSError where reading or writing fails.
        """
        backoff = RetryBackoff()
        with open(path, "wb") as sink:
            while sink.tell() < stored.size:
                try:
                    self._read_or_find(stored, sink)
                except LocalWriteError as error:
                    raise OSError(error.cause.errno or 0, error.cause.strerror or str(error), path) from None
                except OSError as error:
                    received = sink.tell()
                    pause = backoff.connection_lost(received)
                    if pause is None:
                        message = f"{error}, at byte {received} of {stored.size}"
                        raise OSError(error.errno or 0, message, self.address) from None
                    time.sleep(pause / 1000)

    def _read_or_find(self, stored: StoredPackage, sink: BinaryIO) -> None:
        """Reads the rest of the archive.

        A store serves only packages that were looked up since its start. After a restart this method looks the package
        up and raises OSError, so that the read is retried.
        """
        try:
            self._read(stored, sink)
        except PackageNotFoundError:
            if self.find(f"{stored.name}@{stored.version}").digest != stored.digest:
                raise
            raise OSError("the store was restarted") from None

    def _read(self, stored: StoredPackage, sink: BinaryIO) -> None:
        with self._connect() as sock:
            expected = stored.size - sink.tell()
            result, received = self._request(sock, "read", ReadRequest(stored.digest, sink.tell()), ReadResult)
            remaining = result.bytes
            if remaining != expected or len(received) > remaining:
                raise PackageNotFoundError(
                    f"{self.address}: {remaining} bytes of {stored.digest} remain, expected {expected}"
                )
            while remaining:
                chunk = received or sock.recv(min(remaining, CHUNK_BYTES))
                if not chunk:
                    raise ConnectionResetError("the store ended the connection")
                try:
                    sink.write(chunk)
                except OSError as error:
                    raise LocalWriteError(error) from None
                remaining -= len(chunk)
                received = b""

    def _connect(self) -> socket.socket:
        sock = addresses.connect(self.address, CONNECT_TIMEOUT)
        sock.settimeout(self.stall_timeout / 1000)
        return sock

    def _request(
        self, sock: socket.socket, method: str, params: FindRequest | ReadRequest, result_type: type[Result]
    ) -> tuple[Result, bytes]:
        """Sends a request. Returns (result, bytes received after its line); raises PackageNotFoundError, OSError."""
        sock.sendall(jsonrpc.request_line(method, jsonrpc.encode(params), 1))
        data = b""
        while b"\n" not in data:
            chunk = sock.recv(READ_BYTES)
            if not chunk:
                raise ConnectionResetError("the store ended the connection")
            data += chunk
            if len(data) > LINE_LIMIT + CHUNK_BYTES:
                raise OSError("a response line that is too long")
        line, _, rest = data.partition(b"\n")
        try:
            _, result, error_object = jsonrpc.parse_response(line)
            if error_object is not None and error_object.code == PACKAGE_NOT_FOUND:
                raise PackageNotFoundError(error_object.message)
            if result is None:
                raise OSError(os.strerror(errno.EAGAIN) if error_object is None else error_object.message)
            return msgspec.json.decode(result, type=result_type), rest
        except (jsonrpc.MalformedRequestError, msgspec.MsgspecError) as error:
            raise OSError(f"an invalid response ({error})") from None
