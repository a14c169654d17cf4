"""A small server of one JSON-RPC object a line: one thread a connection, blocking sockets."""

import fcntl
import os
import socket
import stat
import threading
from collections.abc import Callable
from typing import TextIO

from wickdyke.protocol import jsonrpc
from wickdyke.protocol.lines import Lines, TooLong
from wickdyke.settings import address as addresses
from wickdyke.wire.outbox import Outbox, Parcel, Unread

LINE = 64 << 20  # bytes of a line
UNREAD = 64 << 20  # bytes that may wait for one peer
BACKLOG = 512


class InUse(Exception):
    """Somebody listens there already."""


def listener(address: str) -> tuple[socket.socket, TextIO | None]:
    """(listening socket, what must be kept while it is used); raises InUse where a live process has it.

    A lock beside the socket's file tells a live owner from a file that a killed one left behind.
    """
    family, where = addresses.parse(address)
    held = None
    if family == socket.AF_UNIX:
        os.makedirs(os.path.dirname(address) or ".", exist_ok=True)
        held = open(address + ".lock", "w")  # noqa: SIM115 - kept open as long as the socket
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            held.close()
            raise InUse(f"{address}: somebody live listens there, expected a free one") from None
        try:
            if not stat.S_ISSOCK(os.lstat(address).st_mode):
                held.close()
                raise InUse(f"{address}: a file that is no socket stands there, expected none")
            os.unlink(address)  # nobody holds the lock: it is left over
        except FileNotFoundError:
            pass
    sock = socket.socket(family, socket.SOCK_STREAM)
    if family != socket.AF_UNIX:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(where)
        sock.listen(BACKLOG)
    except OSError as bad:
        sock.close()
        raise InUse(f"{address}: {bad.strerror}, expected a free one") from None
    return sock, held


class Wire:
    """One connection; `say` may be called from any thread and never waits: who lets too much wait is hung up on."""

    def __init__(self, sock: socket.socket, unread: int = UNREAD) -> None:
        self.sock, self.box, self.open = sock, Outbox(sock, unread, "wire"), True
        self.who = ""

    def say(self, body: bytes) -> None:
        """Sends one line; nobody may be there any more."""
        try:
            self.box.put(Parcel(body + b"\n"))
        except (OSError, Unread):
            self.open = False
            self.box.close()


class Listener:
    """Takes connections on an address; `serve(sock)` in a thread for each, which need not close it."""

    def __init__(self, address: str, serve: Callable[[socket.socket], None]) -> None:
        self.serve = serve
        self.sock, self.held = listener(address)
        self.socks: set[socket.socket] = set()
        threading.Thread(target=self._accept, name="accept", daemon=True).start()

    def close(self) -> None:
        """Takes no more connections and ends those there are."""
        for sock in [self.sock, *list(self.socks)]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.sock.close()
        if self.held is not None:
            self.held.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.socks.add(sock)
            threading.Thread(target=self._one, args=(sock,), name="connection", daemon=True).start()

    def _one(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except OSError:
            pass
        self.socks.discard(sock)
        sock.close()


class Server(Listener):
    """Lines of JSON-RPC: `heard(wire, request)` for each request, `gone(wire)` when one hangs up."""

    def __init__(
        self,
        address: str,
        heard: Callable[[Wire, jsonrpc.Request], None],
        gone: Callable[[Wire], None],
        line: int = LINE,
    ) -> None:
        self.heard, self.gone, self.line = heard, gone, line
        self.wires: set[Wire] = set()
        super().__init__(address, self._read)

    def _read(self, sock: socket.socket) -> None:
        wire, lines = Wire(sock), Lines(self.line)
        self.wires.add(wire)
        try:
            while data := sock.recv(1 << 18):
                for line in lines.feed(data):
                    for request in jsonrpc.requests(line):
                        if isinstance(request, jsonrpc.Fault):
                            wire.say(jsonrpc.refusal(request))
                        else:
                            self.heard(wire, request)
        except (OSError, TooLong):
            pass
        wire.open = False
        self.wires.discard(wire)
        self.gone(wire)
        wire.box.close()
