"""Reads from a connection in a thread of its own, and reports since when the data read may have waited."""

import socket
import time
from dataclasses import dataclass

from wickdyke.transport.event_loop import clock
from wickdyke.transport.stall_detector import MEMORY_RETRY_DELAY, ArrivalBound, StallDetector
from wickdyke.transport.write_buffer import OUT_OF_MEMORY_ERRORS

MAX_UNREAD_TIME = 60.0  # ms for which data may have waited unread and still counts as received when it is read
MAX_EXTRA_CHUNKS = 8  # chunks of waiting data read after the first one


@dataclass(slots=True, frozen=True)
class ReceivedData:
    """The data of one read, which arrived at most MAX_UNREAD_TIME before `received_at` (monotonic ms).

    `may_have_waited` is set if the data may have waited in the kernel, in which case all of it was read; `at_end` if
    the connection has ended after it.
    """

    data: bytes
    received_at: float
    may_have_waited: bool
    at_end: bool


class TimedReader:
    """Reads one connection. `since` (monotonic ms) is the earliest time at which the connection may have been made."""

    def __init__(self, sock: socket.socket, detector: StallDetector, size: int, since: float | None = None) -> None:
        self.sock = sock
        self.size = size
        self.arrival_bound = ArrivalBound(detector, sock, since)

    def close(self) -> None:
        """Removes the connection from the stall detector."""
        self.arrival_bound.close()

    def read(self) -> ReceivedData:
        """Waits for data or the end of the connection, and reads all waiting data up to a bound. Raises OSError."""
        since, data = self._wait_for_data()
        now = clock()
        received_at = since if now - since > MAX_UNREAD_TIME else now
        if not data or self.arrival_bound.waiting_since is None:
            return ReceivedData(data, received_at, False, not data)
        rest = self._read_rest()
        return ReceivedData(b"".join([data, *rest]), received_at, True, bool(rest) and not rest[-1])

    def _read_rest(self) -> list[bytes]:
        """Returns the chunks that follow the first one; the last chunk is empty at the end of the connection."""
        chunks: list[bytes] = []
        while len(chunks) < MAX_EXTRA_CHUNKS:
            checked_at = clock()
            try:
                chunk = self._receive()
            except OSError as error:
                if error.errno not in OUT_OF_MEMORY_ERRORS:  # a reset connection counts as ended
                    chunks.append(b"")
                break
            if chunk is None:
                self.arrival_bound.mark_empty(checked_at)
                break
            chunks.append(chunk)
            if not chunk:
                break
        return chunks

    def _wait_for_data(self) -> tuple[float, bytes]:
        """Returns since when the data may have waited (ms), and up to `size` bytes; none at the connection's end."""
        while True:
            since = self.arrival_bound.wait()
            try:
                data = self._receive()
            except OSError as error:
                if error.errno not in OUT_OF_MEMORY_ERRORS:
                    raise
                time.sleep(MEMORY_RETRY_DELAY)  # the kernel keeps the data; ending the connection would lose requests
                continue
            if data is not None:
                return since, data

    def _receive(self) -> bytes | None:
        """Returns up to `size` bytes: None if none are available, empty at the end of the connection."""
        try:
            return self.sock.recv(self.size, socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return None
