"""System calls on non-blocking sockets whose failures the caller sees as results."""

import contextlib
import errno
import socket
from typing import NamedTuple

CONNECT_STARTED_CODES = (0, errno.EINPROGRESS, errno.EINTR)  # results of a non-blocking connect: done, or in progress


class DialResult(NamedTuple):
    """The result of `dial`: a socket whose connect is in progress or done, and code 0; or None and the errno."""

    sock: socket.socket | None
    code: int


def dial(address: tuple[str, int]) -> DialResult:
    """Starts a non-blocking connect and returns its socket, or the errno of a failure; it raises no OSError."""
    # socket(2) fails when all descriptors are in use. An exception here would end a timer or a step of the
    # coordinator, and its work would never be retried.
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        return DialResult(None, error.errno or errno.EIO)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
    except OSError as error:
        code = error.errno or errno.EIO
    except (OverflowError, ValueError):  # an invalid port or host name
        code = errno.EINVAL
    except BaseException:  # raised by a signal handler
        close(sock)
        raise
    # EINTR: the connect continues, as with EINPROGRESS. EAGAIN on TCP is a failure: no local port is free.
    if code in CONNECT_STARTED_CODES:
        return DialResult(sock, 0)
    close(sock)
    return DialResult(None, code)


def close(sock: socket.socket) -> None:
    """Closes a socket. The descriptor is freed even if close(2) reports an error, so the error is ignored."""
    with contextlib.suppress(OSError):
        sock.close()


def error_name(code: int | None) -> str:
    """Returns the name of an errno (such as ECONNREFUSED), or its number if it has no name."""
    return errno.errorcode.get(code or 0, str(code))


class Received(NamedTuple):
    """The result of `receive`: None for data where none could be read now, empty data where the stream has ended."""

    data: bytes | None
    nothing_waited: bool = False  # the stream has not ended, and all that has arrived was read before


def receive(sock: socket.socket, size: int) -> Received:
    """Reads up to `size` bytes from a non-blocking socket."""
    try:
        return Received(sock.recv(size))
    except BlockingIOError:
        return Received(None, nothing_waited=True)
    except InterruptedError:
        return Received(None)
    except OSError as error:
        # On lack of memory the data stays in the kernel and can be read later, while ending the connection would lose
        # the requests on it. The cost is one recv(2) per iteration until memory is available.
        return Received(None if error.errno in (errno.ENOMEM, errno.ENOBUFS) else b"")
