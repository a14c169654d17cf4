"""A small server of one JSON-RPC object a line: one thread a connection, blocking sockets."""

import contextlib
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
from wickdyke.transport.acceptor import Acceptor
from wickdyke.transport.write_buffer import WriteBuffer, OutgoingMessage, PeerTooSlow

LINE = 64 << 20  # bytes of a line
UNREAD = 64 << 20  # bytes that may wait for one peer
BACKLOG = 512


class AddressInUse(Exception):
    """Somebody listens there already."""


def listener(address: str) -> tuple[socket.socket, TextIO | None]:
    """(listening socket, what must be kept while it is used); raises InUse where a live process has it.

    A lock beside the socket's file tells a live owner from a file that a killed one left behind.
    """
    family, where = addresses.parse(address)
    # What is open already is closed where a later step fails.
    with contextlib.ExitStack() as opened:
        held = None
        if family == socket.AF_UNIX:
            os.makedirs(os.path.dirname(address) or ".", exist_ok=True)
            held = opened.enter_context(open(address + ".lock", "w"))
            _claim(address, held)
        try:
            sock = opened.enter_context(socket.socket(family, socket.SOCK_STREAM))
            if family != socket.AF_UNIX:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(where)
            sock.listen(BACKLOG)
        except OSError as bad:
            raise AddressInUse(f"{address}: {bad.strerror}, expected a free one") from None
        opened.pop_all()
    return sock, held


def _claim(address: str, held: TextIO) -> None:
    """Takes the lock and removes the socket file that a killed process left behind; raises InUse."""
    try:
        fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        raise AddressInUse(f"{address}: somebody live listens there, expected a free one") from None
    try:
        if not stat.S_ISSOCK(os.lstat(address).st_mode):
            raise AddressInUse(f"{address}: a file that is no socket stands there, expected none")
        os.unlink(address)  # nobody holds the lock: it is left over
    except FileNotFoundError:
        pass


class LineConnection:
    """One connection; `say` may be called from any thread and never waits: who lets too much wait is hung up on."""

    def __init__(self, sock: socket.socket, unread: int = UNREAD) -> None:
        self.sock, self.box, self.open = sock, WriteBuffer(sock, unread, "wire"), True
        self.who = ""

    def say(self, body: bytes) -> None:
        """Sends one line; nobody may be there any more."""
        try:
            self.box.put(OutgoingMessage(body + b"\n"))
        except (
            OSError,
            PeerTooSlow,
            RuntimeError,
        ):  # RuntimeError: the thread that writes the rest could not be started
            self.open = False
            self.box.close()


class Listener:
    """Takes connections on an address; `serve(sock)` in a thread for each, which need not close it.

    What accept or the start of a thread fails with costs one connection at most; only `close` ends the listener.
    """

    def __init__(self, address: str, serve: Callable[[socket.socket], None]) -> None:
        self.serve = serve
        self.sock, self.held = listener(address)
        self.socks: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.acceptor = Acceptor(self.sock, self._take)
        try:
            threading.Thread(target=self.acceptor.run, name="accept", daemon=True).start()
        except RuntimeError:
            self.close()
            raise

    def close(self) -> None:
        """Takes no more connections and ends those there are."""
        self.acceptor.close()
        with self.lock:
            socks = list(self.socks)
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        if self.held is not None:
            self.held.close()

    def _take(self, sock: socket.socket) -> None:
        with self.lock:
            if self.acceptor.closed.is_set():  # accepted as `close` went by: nobody would end it
                sock.close()
                return
            self.socks.add(sock)
        try:
            threading.Thread(target=self._one, args=(sock,), name="connection", daemon=True).start()
        except RuntimeError:
            self._forget(sock)
            raise

    def _one(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except OSError:
            pass
        finally:
            self._forget(sock)

    def _forget(self, sock: socket.socket) -> None:
        with self.lock:
            self.socks.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()


class LineServer(Listener):
    """Lines of JSON-RPC: `heard(wire, request)` for each request, `gone(wire)` when one hangs up."""

    def __init__(
        self,
        address: str,
        heard: Callable[[LineConnection, jsonrpc.Request], None],
        gone: Callable[[LineConnection], None],
        line: int = LINE,
    ) -> None:
        self.heard, self.gone, self.line = heard, gone, line
        self.wires: set[LineConnection] = set()
        super().__init__(address, self._read)

    def _read(self, sock: socket.socket) -> None:
        wire, lines = LineConnection(sock), Lines(self.line)
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
        finally:
            wire.open = False
            self.wires.discard(wire)
            try:
                self.gone(wire)
            finally:
                wire.box.close()
