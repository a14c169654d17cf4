"""Reads from a connection by a thread of its own, and tells since when what it reads may have waited."""

import socket
import time
from dataclasses import dataclass

from wickdyke.transport.event_loop import clock
from wickdyke.transport.stall_detector import MEMORY_RETRY, ArrivalBound, StallDetector
from wickdyke.transport.write_buffer import SHORT_OF_MEMORY

MAX_UNREAD_TIME = 60.0  # ms for which data may have waited unread and still counts as received when it is read
MAX_PIECES = 8  # read at once of what has waited


@dataclass(slots=True, frozen=True)
class ReceivedData:
    """What was read at once: `received_at` (monotonic ms) is no later than it arrived, but for MAX_UNREAD_TIME.

    `waited` where it may have waited, so that all of it was read; `ended` where the connection ends behind it.
    """

    data: bytes
    received_at: float
    waited: bool
    ended: bool


class TimedReader:
    """The reading half of one connection. `since` is the bound of the listener that accepted it (monotonic ms)."""

    def __init__(self, sock: socket.socket, detector: StallDetector, size: int, since: float | None = None) -> None:
        self.sock = sock
        self.size = size
        self.arrival = ArrivalBound(detector, sock, since)

    def close(self) -> None:
        """Ends the observation of the connection."""
        self.arrival.close()

    def read(self) -> ReceivedData:
        """Waits for data, or for the end. What has waited is read to its end, within a bound. Raises OSError."""
        since, data = self._wait_for_data()
        now = clock()
        received_at = since if now - since > MAX_UNREAD_TIME else now
        if not data or self.arrival.waiting_since is None:
            return ReceivedData(data, received_at, False, not data)
        rest = self._read_rest()
        return ReceivedData(b"".join([data, *rest]), received_at, True, bool(rest) and not rest[-1])

    def _read_rest(self) -> list[bytes]:
        """What is there beside what was read; the last piece is empty at the end of the connection."""
        pieces: list[bytes] = []
        while len(pieces) < MAX_PIECES:
            looked_at = clock()
            try:
                piece = self._receive()
            except OSError as error:
                if error.errno not in SHORT_OF_MEMORY:  # reset: as an end
                    pieces.append(b"")
                break
            if piece is None:
                self.arrival.emptied(looked_at)
                break
            pieces.append(piece)
            if not piece:
                break
        return pieces

    def _wait_for_data(self) -> tuple[float, bytes]:
        """Since when it may have waited (ms), and up to `size` bytes; none at the end of the connection."""
        while True:
            since = self.arrival.wait()
            try:
                data = self._receive()
            except OSError as error:
                if error.errno not in SHORT_OF_MEMORY:
                    raise
                time.sleep(MEMORY_RETRY)  # the kernel keeps the data: ending the connection would lose its requests
                continue
            if data is not None:
                return since, data

    def _receive(self) -> bytes | None:
        """Up to `size` bytes; None for nothing yet, empty for the end."""
        try:
            return self.sock.recv(self.size, socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return None
