"""The store service: a folder of archives, read over a socket by workers, at a pace shared by all readers.

One JSON-RPC request a line. `find` is answered with name, version, digest and size. `read` of a digest from an offset
is answered with how many bytes follow, then by those bytes as they are; who lost its connection asks for the rest.
"""

import contextlib
import socket
import threading
import time

import msgspec

from wickdyke.protocol import jsonrpc
from wickdyke.protocol.lines import Lines, TooLong
from wickdyke.transport.line_server import Listener
from wickdyke.worker.source import Folder, Found, Unknown

CHUNK, LINE = 1 << 16, 1 << 16
UNKNOWN, CROWDED, UNREADABLE = -32020, -32010, -32603


class Find(msgspec.Struct):
    """Asks for the archive of a program: NAME or NAME@VERSION."""

    program: str


class Read(msgspec.Struct):
    """Asks for an archive's bytes from an offset on."""

    digest: str
    offset: int = 0


class Entry(msgspec.Struct):
    """The answer to `find`."""

    name: str
    version: str
    digest: str
    size: int


class Follows(msgspec.Struct):
    """The answer to `read`: so many bytes come after this line."""

    bytes: int


class Pace:
    """A rate shared by all who send. `wait(now, size)` gives the ms until a piece of so many bytes may go; pure."""

    def __init__(self, bytes_a_second: float) -> None:
        self.each, self.free = 1000 / bytes_a_second, 0.0

    def wait(self, now: float, size: int) -> float:
        """Books the piece; pieces go in the order in which they ask."""
        begins = max(now, self.free)
        self.free = begins + size * self.each
        return begins - now


class Store:
    """Serves until closed. `pace` is bytes a second for all, `readers` how many may read at a time."""

    def __init__(self, address: str, folder: str, pace: float, readers: int, log) -> None:
        self.folder, self.pace, self.readers, self.log = Folder(folder), Pace(pace), readers, log
        self.lock = threading.Lock()
        self.paths: dict[str, Found] = {}
        self.reading = 0
        self.closed = threading.Event()
        self.listener = Listener(address, self._serve)

    def close(self) -> None:
        """Ends all connections."""
        self.closed.set()
        self.listener.close()

    def _serve(self, sock: socket.socket) -> None:
        lines = Lines(LINE)
        with contextlib.suppress(TooLong):
            while data := sock.recv(CHUNK):
                for line in lines.feed(data):
                    for request in jsonrpc.requests(line):
                        if isinstance(request, jsonrpc.Fault):
                            sock.sendall(jsonrpc.refusal(request) + b"\n")
                        else:
                            self._asked(sock, request)

    def _asked(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        try:
            if request.method == "find":
                self._find(sock, request)
            elif request.method == "read":
                self._read(sock, request)
            else:
                sock.sendall(jsonrpc.problem(request.ident, jsonrpc.NO_METHOD, "expected find or read") + b"\n")
        except msgspec.MsgspecError as bad:
            sock.sendall(jsonrpc.problem(request.ident, jsonrpc.BAD_PARAMS, str(bad)[:300]) + b"\n")
        except Unknown as bad:
            sock.sendall(jsonrpc.problem(request.ident, UNKNOWN, str(bad)) + b"\n")

    def _find(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        program = msgspec.json.decode(request.params, type=Find).program
        try:
            found = self.folder.find(program)
        except OSError as bad:  # of the folder, for now: who asks may ask again
            why = f"{bad.filename or self.folder.path}: {bad.strerror or bad}"
            sock.sendall(jsonrpc.problem(request.ident, UNREADABLE, why) + b"\n")
            return
        with self.lock:
            self.paths[found.digest] = found
        sock.sendall(
            jsonrpc.result(request.ident, jsonrpc.encode(Entry(found.name, found.version, found.digest, found.size)))
            + b"\n"
        )

    def _read(self, sock: socket.socket, request: jsonrpc.Request) -> None:
        asked = msgspec.json.decode(request.params, type=Read)
        with self.lock:
            found = self.paths.get(asked.digest)
            crowded = self.reading >= self.readers
            self.reading += not crowded
        if crowded:
            sock.sendall(jsonrpc.problem(request.ident, CROWDED, f"{self.readers} read already") + b"\n")
            return
        try:
            # Danger: a package replaced under its name; what is read on from an offset must be the same archive.
            if found is None or self.folder.find(f"{found.name}@{found.version}").digest != asked.digest:
                raise Unknown(f"no archive {asked.digest[:80]} any more, expected one that find gave")
            if not 0 <= asked.offset <= found.size:
                raise Unknown(f"no byte {asked.offset} of {found.size}")
            with open(found.path, "rb") as source:
                source.seek(asked.offset)
                sock.sendall(jsonrpc.result(request.ident, jsonrpc.encode(Follows(found.size - asked.offset))) + b"\n")
                left = found.size - asked.offset
                while left and (piece := source.read(min(CHUNK, left))):
                    with self.lock:
                        wait = self.pace.wait(time.monotonic() * 1000, len(piece))
                    if self.closed.wait(wait / 1000):
                        raise OSError("closed")
                    sock.sendall(piece)
                    left -= len(piece)
                if left:
                    raise OSError("the file is shorter than it was")  # cut: the reader asks anew and is told
        finally:
            with self.lock:
                self.reading -= 1
