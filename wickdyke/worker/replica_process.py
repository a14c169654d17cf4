"""The worker's side of one replica's process: its socket, and the pipe of what it prints."""

import os
import socket
import threading
from collections.abc import Iterator

import msgspec

from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer
from wickdyke.worker.model import Replica
from wickdyke.worker.replica_messages import LINE_MOST, ReplicaMessage, WorkerMessage

READ_BYTES = 1 << 18
OUTPUT_BYTES = 1 << 16  # of what a replica prints that are read at once: a replica that prints more waits
OUTPUT_LINES = 20  # logged at once
OUTPUT_LINE_BYTES = 300  # of a line that are logged


class ReplicaProcess:
    """One process. `digest` is that of its package, which it keeps in the cache while it lives.

    `started` is set once it is ready or has failed; `failure` then tells why. `pid` is 0 until the parent has told it.
    """

    def __init__(self, replica: Replica, sock: socket.socket, output: int, digest: str) -> None:
        self.replica, self.sock, self.output, self.digest = replica, sock, output, digest
        self.write_buffer = WriteBuffer(sock, 2 * LINE_MOST, f"replica {replica.number}")
        self.pid = 0
        self.started = threading.Event()
        self.failure: str | None = None
        self.unread_output = b""  # a line that is not complete yet

    def run(self, number: int, content: msgspec.Raw) -> bool:
        """Hands it a request; False where it reads too little or is gone."""
        return self._send(WorkerMessage(id=number, input=content))

    def stop(self, number: int) -> None:
        """Has it end a request."""
        self._send(WorkerMessage(stop=number))

    def _send(self, message: WorkerMessage) -> bool:
        try:
            self.write_buffer.put(OutgoingMessage(msgspec.json.encode(message) + b"\n"))
        except (OSError, PeerTooSlowError):
            return False
        return True

    def messages(self) -> Iterator[ReplicaMessage]:
        """What it sends, until it is gone or sends what can't be used."""
        lines, decoder = LineReader(LINE_MOST), msgspec.json.Decoder(ReplicaMessage)
        try:
            while data := self.sock.recv(READ_BYTES):
                for line in lines.feed(data):
                    yield decoder.decode(line)
        except (OSError, LineTooLongError, msgspec.MsgspecError):
            return

    def read_output(self) -> list[str]:
        """A little of what it printed, as lines for the log."""
        try:
            data = os.read(self.output, OUTPUT_BYTES) if self.output >= 0 else b""
        except OSError:
            return []
        *lines, rest = (self.unread_output + data)[-OUTPUT_BYTES:].split(b"\n")
        self.unread_output = rest[-OUTPUT_LINE_BYTES:]
        texts = [line[:OUTPUT_LINE_BYTES].decode("utf-8", "replace") for line in lines[:OUTPUT_LINES]]
        if len(lines) > OUTPUT_LINES:
            texts.append(f"({len(lines) - OUTPUT_LINES} lines more)")
        return texts

    def close_output(self) -> None:
        """Closes the pipe of its output; to be called once."""
        os.close(self.output)
        self.output = -1
