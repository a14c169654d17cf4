"""The worker's side of the store service: finds archives, and reads them on from where a connection broke."""

import os
import socket
import time
from dataclasses import dataclass

import msgspec

from wickdyke.protocol import jsonrpc
from wickdyke.settings import address as addresses
from wickdyke.worker import store
from wickdyke.worker.source import Found, Unknown

CONNECT, QUIET = 2000.0, 3000.0  # ms to connect, and without a byte after which a connection counts as stalled
LONGEST = 1 << 16  # bytes of an answer's line


@dataclass(slots=True)
class Patience:
    """Whether a fetch goes on after a break: `breaks` without a byte more in a row end it; pauses double. Pure."""

    breaks: int = 4
    first: float = 50.0
    most: float = 1000.0
    idle: int = 0
    had: int = 0

    def broke(self, have: int) -> float | None:
        """A connection broke with so many bytes there; ms to wait before the next, None to give up."""
        self.idle = 0 if have > self.had else self.idle + 1
        self.had = have
        return None if self.idle >= self.breaks else min(self.most, self.first * 2.0**self.idle)


class NotWritten(Exception):
    """What came could not be written here: `why` is the OSError. No fault of the store's, so it is not asked again."""

    def __init__(self, why: OSError) -> None:
        super().__init__(str(why))
        self.why = why


class Service:
    """A store service at an address, with the same face as a folder."""

    def __init__(self, address: str, quiet: float = QUIET, patience: type = Patience) -> None:
        self.address, self.quiet, self.patience = address, quiet, patience

    def find(self, program: str) -> Found:
        """The archive of a program; raises Unknown, or OSError where the store can't be asked."""
        with self._connect() as sock:
            entry, _ = self._ask(sock, "find", store.Find(program), store.Entry)
        return Found(entry.name, entry.version, entry.digest, entry.size)

    def fetch(self, found: Found, path: str) -> None:
        """Reads the archive into that file; raises Unknown where it is gone, OSError where it can't be had."""
        patience = self.patience()
        with open(path, "wb") as sink:
            while (have := sink.tell()) < found.size:
                try:
                    try:
                        self._read(found, sink)
                    except Unknown:  # a store that was started anew knows what it is asked for first
                        if self.find(f"{found.name}@{found.version}").digest != found.digest:
                            raise
                        raise OSError("the store was started anew") from None
                except NotWritten as bad:
                    raise OSError(bad.why.errno or 0, bad.why.strerror or str(bad), path) from None
                except OSError as bad:
                    if (wait := patience.broke(have := sink.tell())) is None:
                        raise OSError(bad.errno or 0, f"{bad}, at byte {have} of {found.size}", self.address) from None
                    time.sleep(wait / 1000)

    def _read(self, found: Found, sink) -> None:
        with self._connect() as sock:
            follows, rest = self._ask(sock, "read", store.Read(found.digest, sink.tell()), store.Follows)
            left = follows.bytes
            if left != found.size - sink.tell() or len(rest) > left:
                raise Unknown(
                    f"{self.address}: {left} bytes of {found.digest} to come, expected {found.size - sink.tell()}"
                )
            while left:
                piece = rest or sock.recv(min(left, store.CHUNK))
                if not piece:
                    raise ConnectionResetError("the store ended the connection")
                try:
                    sink.write(piece)
                except OSError as bad:
                    raise NotWritten(bad) from None
                left -= len(piece)
                rest = b""

    def _connect(self) -> socket.socket:
        sock = addresses.connect(self.address, CONNECT)
        sock.settimeout(self.quiet / 1000)
        return sock

    def _ask(self, sock: socket.socket, method: str, params, kind: type) -> tuple:
        """(answer, bytes that came after its line)."""
        sock.sendall(jsonrpc.request_line(method, jsonrpc.encode(params), 1))
        data = b""
        while b"\n" not in data:
            piece = sock.recv(4096)
            if not piece:
                raise ConnectionResetError("the store ended the connection")
            data += piece
            if len(data) > LONGEST + store.CHUNK:
                raise OSError("an answer without an end")
        line, _, rest = data.partition(b"\n")
        try:
            _, result, problem = jsonrpc.answer(line)
            if problem is not None and problem.code == store.UNKNOWN:
                raise Unknown(problem.message)
            if result is None:
                raise OSError(os.strerror(11) if problem is None else problem.message)
            return msgspec.json.decode(result, type=kind), rest
        except (jsonrpc.Fault, msgspec.MsgspecError) as bad:
            raise OSError(f"an answer that can't be read ({bad})") from None
