"""Looks at a client's connection, before an attempt begins, for what the client has sent or done meanwhile."""

import math
import socket
from typing import Protocol

from wickdyke.platform import thrift
from wickdyke.platform.client_presence import PresenceLease
from wickdyke.platform.withdrawals import ClientState, WithdrawalDetector
from wickdyke.transport.event_loop import clock

LOOK_INTERVAL = 50.0  # ms after which it is seen again, before an attempt begins, whether its client has left
READ_AHEAD_SIZE = 1 << 15  # bytes that are read ahead of a client's turn to see whether it is there


class ObservedConnection(Protocol):
    """A client connection, as its observer sees it."""

    sock: socket.socket
    frame_parser: thrift.FrameParser
    closed: bool

    def read_all(self) -> None:
        """Reads the data that the client has sent so far, up to a limit."""

    def read_ahead(self, size: int) -> None:
        """Reads up to `size` bytes of the client's data ahead of its turn, which comes later for that."""


class ClientObserver:
    """Tells whether a client is still there, by a lease on its presence that looks renew.

    It does not keep its connection: a cycle would keep both until the garbage collector runs, which is rarely.
    """

    def __init__(self, detector: WithdrawalDetector) -> None:
        self.detector = detector
        self.lease = PresenceLease()
        self.last_looked_at = -math.inf  # ms

    def is_present(self, connection: ObservedConnection) -> bool:
        """Returns whether the client counts as present; a cancel that has come is handled by then.

        It looks for a cancel or a close if the last look was long ago, or data that it may have found was read since.
        """
        now = clock()
        has_read_since = not self.lease.is_valid(now) and self.lease.last_read_at > self.last_looked_at
        if has_read_since or now - self.last_looked_at > LOOK_INTERVAL:
            self._look_for_withdrawals(connection)
        return not connection.closed and self.lease.is_valid(clock())

    def _look_for_withdrawals(self, connection: ObservedConnection) -> None:
        """Looks for a cancel or a close, and reads the client's data where one may be among it.

        Where the lease on its presence has expired and little data waits, that is read too: it may be the rest of a
        burst, whose end shows whether the client is there.
        """
        self.last_looked_at = clock()
        state = self._look(connection)
        if state is ClientState.MAY_HAVE_WITHDRAWN:
            connection.read_all()
            state = self._look(connection)
        if state in (ClientState.PRESENT, ClientState.MAY_HAVE_WITHDRAWN) or self.lease.is_valid(clock()):
            return
        if state is ClientState.UNKNOWN or self.detector.unread_bytes <= READ_AHEAD_SIZE:
            connection.read_ahead(READ_AHEAD_SIZE)
            self._look(connection)

    def _look(self, connection: ObservedConnection) -> ClientState:
        """Returns what a look at the client has shown; renews the lease where nothing waits."""
        if connection.closed:
            return ClientState.MAY_HAVE_WITHDRAWN
        looked_at = clock()
        state = self.detector.state_of(connection.sock, connection.frame_parser.buffer)
        if state is ClientState.PRESENT:
            self.lease.renew(looked_at)
        return state
