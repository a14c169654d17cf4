"""Detects that a client may have closed or sent a cancel, without reading what it has sent."""

import array
import fcntl
import select
import socket
import struct
import termios

CANCEL_METHOD = b"cancelRequest"
LOOK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
SO_MEMINFO = 55  # socket(7): the memory of a socket
MEMORY_INFO = struct.Struct("=II")  # its first two values: bytes of the receive queue, with overhead, and their limit
MAX_OPEN_FRACTION = 0.5  # of that limit up to which the kernel certainly takes more from the client, or its close


class WithdrawalDetector:
    """Looks at the data that waits on a client's socket, up to a number of bytes, and leaves it there.

    Reading means handling all requests among the data: a client that floods this process would have them handled ahead
    of those of other clients, each time an attempt for it begins.
    """

    def __init__(self, size: int) -> None:
        self.buffer = bytearray(size)

    def may_have_withdrawn(self, sock: socket.socket, partial_frame: bytes) -> bool:
        """Returns whether the client has closed, or a cancel may be among `partial_frame` and the data that waits."""
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        if poll.poll(0):
            return True
        try:
            length = sock.recv_into(self.buffer, 0, LOOK_FLAGS)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return length == 0 or self._contains_cancel(partial_frame, length)

    def _contains_cancel(self, partial_frame: bytes, length: int) -> bool:
        boundary = partial_frame[-len(CANCEL_METHOD) :] + self.buffer[: min(length, len(CANCEL_METHOD))]
        return (
            CANCEL_METHOD in partial_frame
            or CANCEL_METHOD in boundary
            or self.buffer.find(CANCEL_METHOD, 0, length) >= 0
        )


def close_may_be_held_back(sock: socket.socket) -> bool:
    """Returns whether so much waits to be read that the kernel may take nothing more: neither data nor a close."""
    try:
        used, limit = MEMORY_INFO.unpack(sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMORY_INFO.size))
    except OSError:  # not supported before Linux 4.12
        return False
    return bool(used > MAX_OPEN_FRACTION * limit)


def unread_bytes(sock: socket.socket) -> int:
    """Returns how many bytes wait to be read; 0 where that is not known."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock, termios.FIONREAD, count)
    except OSError:
        return 0
    return count[0]


def has_unread_data(sock: socket.socket) -> bool:
    """Returns whether data waits on a socket; False where the peer has closed behind the last of it."""
    try:
        return bool(sock.recv(1, LOOK_FLAGS))
    except OSError:
        return False
