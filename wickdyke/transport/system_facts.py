"""Which facts the system tells beyond what a server needs. Each may be missing, refused or implausible."""

import errno
import select
import socket
from contextlib import suppress
from dataclasses import dataclass

from wickdyke.transport.allocator import own_memory

# Errors of a call that the system does not offer, or does not allow this process.
REFUSALS = (errno.ENOSYS, errno.EPERM, errno.EACCES, errno.EINVAL, errno.EOPNOTSUPP, errno.ENOPROTOOPT)


@dataclass(slots=True, frozen=True)
class SystemFacts:
    """Which optional facts the system tells this process."""

    close_behind_data: bool  # poll(2) with POLLRDHUP
    peek: bool  # recv(2) with MSG_PEEK
    receive_buffer: int | None  # bytes; SO_RCVBUF of a new socket
    process_memory: bool  # proc(5)


def probe() -> SystemFacts:
    """Asks for each fact once, on a socket that is neither bound nor connected."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return SystemFacts(False, False, None, own_memory() is not None)
    with sock:
        return SystemFacts(_polls(sock), _peeks(sock), _receive_buffer(sock), own_memory() is not None)


def _polls(sock: socket.socket) -> bool:
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        poll.poll(0)
    except (OSError, ValueError):
        return False
    return True


def _peeks(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError as error:
        return error.errno not in REFUSALS  # ENOTCONN is what the call says here
    return True


def _receive_buffer(sock: socket.socket) -> int | None:
    with suppress(OSError):
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    return None
