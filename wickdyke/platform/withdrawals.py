"""Detects that a client may have closed or sent a cancel, without reading what it has sent."""

import socket
from enum import Enum, auto

from wickdyke.transport.system_facts import Look, close_reported, look

CANCEL_METHOD = b"cancelRequest"


class ClientState(Enum):
    """What a look at a client's connection has shown."""

    PRESENT = auto()  # nothing waits, and it has not closed
    UNREAD_DATA = auto()  # without a cancel; a close may follow that can't be seen yet
    MAY_HAVE_WITHDRAWN = auto()  # it has closed, or a cancel may be among the data
    UNKNOWN = auto()  # the data can only be read


class WithdrawalDetector:
    """Looks at the data that waits on a client's socket, up to a number of bytes, and leaves it there.

    Reading means handling all requests among the data: a client that floods this process would have them handled ahead
    of those of other clients, each time an attempt for it begins.
    """

    def __init__(self, size: int) -> None:
        self.buffer = bytearray(size)
        self.unread_bytes = 0  # that the last look has found, up to `size`

    def state_of(self, sock: socket.socket, partial_frame: bytes) -> ClientState:
        """Returns the state of a client, of whose data `partial_frame` was read already."""
        result = look(sock, self.buffer)
        self.unread_bytes = result.length
        match result.state:
            case Look.EMPTY:
                # A frame that was read in part may be a cancel; it is complete only with data that has not come yet.
                return ClientState.PRESENT
            case Look.UNKNOWN:
                return ClientState.UNKNOWN
            case Look.ENDED:
                return ClientState.MAY_HAVE_WITHDRAWN
        if close_reported(sock) or self._contains_cancel(partial_frame, result.length):
            return ClientState.MAY_HAVE_WITHDRAWN
        return ClientState.UNREAD_DATA

    def _contains_cancel(self, partial_frame: bytes, length: int) -> bool:
        boundary = partial_frame[-len(CANCEL_METHOD) :] + self.buffer[: min(length, len(CANCEL_METHOD))]
        return (
            CANCEL_METHOD in partial_frame
            or CANCEL_METHOD in boundary
            or self.buffer.find(CANCEL_METHOD, 0, length) >= 0
        )


def has_unread_data(sock: socket.socket) -> bool:
    """Returns whether data waits on a socket; False where the peer has closed behind the last of it."""
    return look(sock, bytearray(1)).state is Look.DATA
