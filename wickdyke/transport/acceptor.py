"""Accepts connections from a listening socket until the socket is closed, and goes on after errors of accept(2)."""

import contextlib
import errno
import socket
import threading
from collections.abc import Callable

from wickdyke.transport.stall_detector import ArrivalBound, StallDetector

# Nothing can be accepted until descriptors or memory are freed; the connection stays in the backlog meanwhile.
RESOURCE_SHORTAGE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
ACCEPT_RETRY_DELAY = 0.05  # s between two attempts to accept while resources are short
IMMEDIATE_RETRIES = 64  # other failures in a row that are retried at once, before each further retry is delayed too


class Acceptor:
    """The accept loop of one blocking listening socket; `run` needs a thread of its own.

    `on_connection(sock)` is called with each accepted connection and owns it; if it raises, the connection is closed.
    `on_failure(error)` is called for each failure of accept(2) or `on_connection`. Neither ends the loop, only `close`
    does. With a `detector`, `connected_after` (monotonic ms) is a lower bound for the time at which the connection
    passed to `on_connection` was made.
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
        self.arrival_bound = None if detector is None else ArrivalBound(detector, sock)
        self.connected_after: float | None = None

    def run(self) -> None:
        """Accepts connections until `close` is called."""
        failures = 0  # in a row
        while not self.closed.is_set():
            try:
                self._wait_for_connection()
                sock, _ = self.sock.accept()
            except OSError as error:
                # Linux reports network errors pending on the new connection as errors of accept, and may drop the
                # connection. No error of accept(2) means that the listening socket has become unusable.
                if self.closed.is_set() or self.sock.fileno() < 0:
                    return
                failures += 1
                self.on_failure(error)
                if error.errno in RESOURCE_SHORTAGE_ERRORS or failures > IMMEDIATE_RETRIES:
                    self.closed.wait(ACCEPT_RETRY_DELAY)
                continue
            failures = 0
            self._hand_over(sock)

    def close(self) -> None:
        """Ends the loop and closes the listening socket. Further calls have no effect."""
        self.closed.set()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that waits in accept
        with contextlib.suppress(OSError):
            self.sock.close()
        if self.arrival_bound is not None:
            self.arrival_bound.close()

    def _wait_for_connection(self) -> None:
        """Waits until a connection can be accepted, and sets `connected_after`; returns at once without a detector."""
        if self.arrival_bound is None:
            return
        self.arrival_bound.clear_if_empty()
        self.connected_after = self.arrival_bound.wait()

    def _hand_over(self, sock: socket.socket) -> None:
        try:
            self.on_connection(sock)
        except Exception as error:  # noqa: BLE001 - a failure of one connection must not end the listener
            with contextlib.suppress(OSError):
                sock.close()
            self.on_failure(error)
