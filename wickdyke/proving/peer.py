"""A small server of one JSON-RPC object a line, for stand-ins: one thread a connection, blocking sockets."""

import os
import socket
import threading
from collections.abc import Callable

from wickdyke.protocol import jsonrpc
from wickdyke.protocol.lines import Lines, TooLong

LINE = 64 << 20


class Wire:
    """One connection; `say` may be called from any thread."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.lock, self.open = sock, threading.Lock(), True
        self.who = ""

    def say(self, body: bytes) -> None:
        """Writes one line; nobody may be there any more."""
        with self.lock:
            try:
                self.sock.sendall(body + b"\n")
            except OSError:
                self.open = False


class Server:
    """Listens on a Unix socket. `heard(wire, request)` for each request, `gone(wire)` when one hangs up."""

    def __init__(self, path: str, heard: Callable[[Wire, jsonrpc.Request], None],
                 gone: Callable[[Wire], None]) -> None:
        self.path, self.heard, self.gone = path, heard, gone
        try:
            os.unlink(path)
        except FileNotFoundError:
            pass
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.bind(path)
        self.sock.listen(256)
        self.wires: set[Wire] = set()
        self.thread = threading.Thread(target=self._accept, daemon=True)
        self.thread.start()

    def close(self) -> None:
        """Takes no more connections and ends those there are."""
        for sock in [self.sock, *[wire.sock for wire in list(self.wires)]]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            wire = Wire(sock)
            self.wires.add(wire)
            threading.Thread(target=self._read, args=(wire,), daemon=True).start()

    def _read(self, wire: Wire) -> None:
        lines = Lines(LINE)
        try:
            while data := wire.sock.recv(1 << 18):
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
        wire.sock.close()
