"""The worker's side of one replica's process: its socket, and the pipe of its output."""

import os
import socket
import threading
from collections.abc import Iterator

import msgspec

from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer
from wickdyke.worker.model import Replica
from wickdyke.worker.replica_messages import (
    LINE_LIMIT,
    FunctionRaised,
    FunctionReturned,
    ReplicaMessage,
    ReplicaReady,
    RunFunction,
    SlotFreed,
    StartFailed,
    StopRequest,
    WorkerMessage,
)

READ_BYTES = 1 << 18
OUTPUT_BYTES = 1 << 16  # of a replica's output that are read at once: one that prints more waits
OUTPUT_LINES = 20  # logged at once
OUTPUT_LINE_BYTES = 300  # of a line that are logged


class ReplicaProcess:
    """One process. `digest` is that of its package, which it keeps in use in the cache while it lives.

    `started` is set once it is ready or has failed, `failure` then is the reason. `pid` is 0 until the parent reports
    it.
    """

    def __init__(self, replica: Replica, sock: socket.socket, output: int, digest: str) -> None:
        """`output` is the reading end of the pipe of its standard output and error."""
        self.replica = replica
        self.sock = sock
        self.output = output
        self.digest = digest
        self.write_buffer = WriteBuffer(sock, 2 * LINE_LIMIT, f"replica {replica.number}")
        self.pid = 0
        self.started = threading.Event()
        self.failure: str | None = None
        self.unread_output = b""  # a line that is not complete yet

    def run(self, number: int, content: msgspec.Raw) -> bool:
        """Sends it a request; False where it reads too slowly or is gone."""
        return self._send(RunFunction(number, content))

    def stop(self, number: int) -> None:
        """Has it stop a request."""
        self._send(StopRequest(number))

    def _send(self, message: WorkerMessage) -> bool:
        try:
            self.write_buffer.put(OutgoingMessage(msgspec.json.encode(message) + b"\n"))
        except (OSError, PeerTooSlowError):
            return False
        return True

    def messages(self) -> Iterator[ReplicaMessage]:
        """The messages it sends, until it is gone or sends an invalid one."""
        lines = LineReader(LINE_LIMIT)
        kinds = ReplicaReady | StartFailed | FunctionReturned | FunctionRaised | SlotFreed
        decoder: msgspec.json.Decoder[ReplicaMessage] = msgspec.json.Decoder(kinds)
        try:
            while data := self.sock.recv(READ_BYTES):
                for line in lines.feed(data):
                    yield decoder.decode(line)
        except (OSError, LineTooLongError, msgspec.MsgspecError):
            return

    def read_output(self) -> list[str]:
        """Some of its output, as lines for the log."""
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
