"""Accepts connections from a listening socket until it is closed, whichever errors accept gives meanwhile."""

import contextlib
import errno
import socket
import threading
from collections.abc import Callable

from wickdyke.transport.stall_detector import ArrivalBound, StallDetector

# Nothing can be accepted until descriptors or memory are freed, and the connection stays in the backlog.
SHORT_OF_RESOURCES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
PAUSE = 0.05  # s between two attempts to accept while resources are short
IMMEDIATE_RETRIES = 64  # after other failures in a row, before retries are a pause apart too


class Acceptor:
    """The accept loop of one blocking listening socket; `run` needs a thread of its own.

    `on_connection(sock)` is called with each accepted connection and owns it; where it raises, that is closed.
    `on_failure(error)` is called for each failed accept or `on_connection`. Neither ends the loop, only `close` does.
    With a `detector`, `connected_after` (monotonic ms) is when the connection in hand was made at the earliest.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_connection: Callable[[socket.socket], None],
        on_failure: Callable[[Exception], None] = lambda error: None,
        detector: StallDetector | None = None,
    ) -> None:
        self.sock = sock
        self.on_connection = on_connection
        self.on_failure = on_failure
        self.closed = threading.Event()
        self.arrival = None if detector is None else ArrivalBound(detector, sock)
        self.connected_after: float | None = None

    def run(self) -> None:
        """Accepts until closed."""
        failures = 0  # in a row
        while not self.closed.is_set():
            try:
                self._wait()
                sock, _ = self.sock.accept()
            except OSError as error:
                # Linux reports network errors pending on the new connection as errors of accept, and may drop the
                # connection. No error of accept(2) means that the listening socket can't be used any more.
                if self.closed.is_set() or self.sock.fileno() < 0:
                    return
                failures += 1
                self.on_failure(error)
                if error.errno in SHORT_OF_RESOURCES or failures > IMMEDIATE_RETRIES:
                    self.closed.wait(PAUSE)
                continue
            failures = 0
            self._hand_over(sock)

    def close(self) -> None:
        """Ends the loop and closes the listening socket. May be called again."""
        self.closed.set()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that waits in accept
        with contextlib.suppress(OSError):
            self.sock.close()
        if self.arrival is not None:
            self.arrival.close()

    def _wait(self) -> None:
        """Waits for a connection."""
        if self.arrival is None:
            return
        self.arrival.look()
        self.connected_after = self.arrival.wait()

    def _hand_over(self, sock: socket.socket) -> None:
        try:
            self.on_connection(sock)
        except Exception as error:  # noqa: BLE001 - one connection must not end the listener of all
            with contextlib.suppress(OSError):
                sock.close()
            self.on_failure(error)
