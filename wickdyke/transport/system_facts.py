"""What the system tells of a socket or this process beyond what a server needs.

Each fact may be missing, refused or implausible, also after it was given before. No function here raises, but for
`require_server_calls`; None stands for what is not known. Whatever is decided by a fact has to hold without it.
"""

import errno
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from wickdyke.transport.allocator import own_memory

LOOK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
MAX_BUFFER_FACTOR = 4  # of the receive buffer that was set, at most, to what the system makes of it; Linux doubles it
CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOMEM)  # of descriptors or memory, which may pass
OUT_OF_MEMORY_ERRORS = (errno.ENOMEM, errno.ENOBUFS)
# Errors of a call that the system does not offer, does not allow this process, or has no memory for.
REFUSALS = (
    errno.ENOSYS,
    errno.EPERM,
    errno.EACCES,
    errno.EINVAL,
    errno.EOPNOTSUPP,
    errno.ENOPROTOOPT,
    errno.EBADF,
    errno.ENOTTY,
    *OUT_OF_MEMORY_ERRORS,
)


class MissingCallError(Exception):
    """The system refuses a call without which no server exists; the message states the call and the error."""


class Look(Enum):
    """What a look at the data that waits on a socket has shown, without reading it."""

    EMPTY = auto()  # nothing waits, and the peer has not closed
    DATA = auto()  # the peer may have closed behind it
    ENDED = auto()  # the peer has closed, and nothing waits before that; or the connection has failed
    UNKNOWN = auto()


@dataclass(slots=True, frozen=True)
class SystemFacts:
    """Which optional facts the system tells this process."""

    close_behind_data: bool
    peek: bool
    receive_buffer: int | None  # bytes
    process_memory: bool


def require_server_calls() -> None:
    """Raises MissingCallError where sockets can't be made non-blocking, or not be waited for.

    Sockets that can't be made, for lack of descriptors or memory, say nothing: that may pass.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return
    with sock:
        _require("ioctl FIONBIO", lambda: sock.setblocking(False))
    _require("epoll_create", lambda: select.epoll().close())


def _require(call: str, use: Callable[[], None]) -> None:
    try:
        use()
    except OSError as error:
        if error.errno not in SHORTAGES:
            raise MissingCallError(f"{call} is refused ({error.strerror}), expected a system that offers it") from error


def probe() -> SystemFacts:
    """Asks for each fact once, on a socket that is neither bound nor connected."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return SystemFacts(False, False, None, own_memory() is not None)
    with sock:
        return SystemFacts(
            close_behind_data=close_reported(sock) is not None,
            peek=look(sock, bytearray(1)).state is not Look.UNKNOWN,
            receive_buffer=_buffer_size(sock),
            process_memory=own_memory() is not None,
        )


@dataclass(slots=True, frozen=True)
class LookResult:
    """The state of a socket's data, and how many bytes of it were copied."""

    state: Look
    length: int = 0


def look(sock: socket.socket, buffer: bytearray) -> LookResult:
    """Copies data that waits on the socket to `buffer`, which must not be empty, and leaves it there (MSG_PEEK)."""
    try:
        length = sock.recv_into(buffer, 0, LOOK_FLAGS)
    except (BlockingIOError, InterruptedError):
        return LookResult(Look.EMPTY)
    except OSError as error:
        return LookResult(Look.UNKNOWN if error.errno in REFUSALS else Look.ENDED)
    return LookResult(Look.DATA, length) if length else LookResult(Look.ENDED)


def close_reported(sock: socket.socket) -> bool | None:
    """Returns whether the peer's close has arrived, also behind unread data (poll with POLLRDHUP)."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        events = poll.poll(0)
    except (OSError, ValueError):  # ValueError: the socket is closed
        return None
    if not events:
        return False
    (_, reported), *_ = events
    if reported & select.POLLNVAL or not reported & CLOSE_EVENTS:
        return None
    return True


def peer_has_closed(sock: socket.socket) -> bool | None:
    """Returns whether the peer has closed, by what the system reports, else by a look at the data."""
    reported = close_reported(sock)
    if reported is not None:
        return reported
    return {Look.EMPTY: False, Look.ENDED: True}.get(look(sock, bytearray(1)).state)


def has_ended(sock: socket.socket) -> bool | None:
    """Returns whether nothing more can be read from a connection; None where that is not known."""
    state = look(sock, bytearray(1)).state
    return close_reported(sock) if state is Look.UNKNOWN else state is Look.ENDED


def connect_error(sock: socket.socket) -> int:
    """Returns the errno of a non-blocking connect that has ended, 0 where it succeeded."""
    try:
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as error:
        if error.errno in OUT_OF_MEMORY_ERRORS:  # temporary: the connect is tried again
            return error.errno
        code = -1
    return code if code == 0 or code in errno.errorcode else _error_of_connection(sock)


def _error_of_connection(sock: socket.socket) -> int:
    """Returns the errno of an unconnected socket, 0 where it is connected, without asking for SO_ERROR."""
    try:
        sock.getpeername()
    except OSError as unconnected:
        try:
            sock.recv(1, LOOK_FLAGS)  # reports the error of the connect
        except OSError as error:
            return error.errno or errno.EIO
        return unconnected.errno or errno.EIO
    return 0


def receive_buffer_size(sock: socket.socket, size_set: int) -> int | None:
    """Returns the bytes of the receive buffer where that is plausible for a socket whose buffer was set to a size."""
    size = _buffer_size(sock)
    return size if size is not None and size_set <= size <= MAX_BUFFER_FACTOR * size_set else None


def _buffer_size(sock: socket.socket) -> int | None:
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    except OSError:
        return None
