"""The worker's handle of a replica's process: its socket, and the pipe for its output."""

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

READ_BYTES = 1 << 18  # of messages, read at a time
OUTPUT_READ_BYTES = 1 << 16  # of output, read at a time; a replica that prints more blocks until the next read
MAX_LOGGED_LINES = 20  # of output, for each read
MAX_LOGGED_LINE_BYTES = 300  # of output; the rest of a longer line is not logged


class ReplicaProcess:
    """One process. `digest` is that of its package, which stays in use in the cache while the process runs.

    `start_ended` is set once the replica is ready or its start has failed; `failure` is then the reason of the failure.
    `pid` is 0 until the parent reports it.
    """

    def __init__(self, replica: Replica, sock: socket.socket, output: int, digest: str) -> None:
        """`output` is the read end of the pipe for its standard output and error."""
        self.replica = replica
        self.sock = sock
        self.output = output
        self.digest = digest
        self.write_buffer = WriteBuffer(sock, 2 * LINE_LIMIT, f"replica {replica.number}")
        self.pid = 0
        self.start_ended = threading.Event()
        self.failure: str | None = None
        self.incomplete_line = b""  # the start of a line whose end has not been read yet

    def run(self, number: int, input_json: msgspec.Raw) -> bool:
        """Sends a request to the replica; False where the replica reads too slowly or has ended."""
        return self._send(RunFunction(number, input_json))

    def stop(self, number: int) -> None:
        """Tells the replica to stop a request."""
        self._send(StopRequest(number))

    def _send(self, message: WorkerMessage) -> bool:
        try:
            self.write_buffer.put(OutgoingMessage(msgspec.json.encode(message) + b"\n"))
        except (OSError, PeerTooSlowError):
            return False
        return True

    def messages(self) -> Iterator[ReplicaMessage]:
        """Yields the replica's messages until it ends or sends an invalid one."""
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
        """Reads a part of the replica's output, and returns its lines for the log."""
        try:
            data = os.read(self.output, OUTPUT_READ_BYTES) if self.output >= 0 else b""
        except OSError:
            return []
        *lines, incomplete_line = (self.incomplete_line + data)[-OUTPUT_READ_BYTES:].split(b"\n")
        self.incomplete_line = incomplete_line[-MAX_LOGGED_LINE_BYTES:]
        logged_lines = [line[:MAX_LOGGED_LINE_BYTES].decode("utf-8", "replace") for line in lines[:MAX_LOGGED_LINES]]
        if len(lines) > MAX_LOGGED_LINES:
            logged_lines.append(f"({len(lines) - MAX_LOGGED_LINES} more lines)")
        return logged_lines

    def close_output(self) -> None:
        """Closes the pipe for its output; must be called only once."""
        os.close(self.output)
        self.output = -1
