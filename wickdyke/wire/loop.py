"""One selector loop for all sockets of a program that runs in one thread, with its timers."""

import errno
import heapq
import itertools
import select
import socket
import time
from collections.abc import Callable
from typing import Protocol

EVENTS = 256  # events taken from the kernel in one turn
SLICE = 10.0  # ms of a turn that go to those that do not come first, but for one at least


def dial(address: tuple[str, int]) -> tuple[socket.socket | None, int]:
    """A connection that is being made and does not block, or None and the number of the error."""
    # Danger: with all descriptors in use the socket itself can't be made. Raised here, it would end a timer or a
    # turn of the desk, and what hangs on it would never be tried again.
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as bad:
        return None, bad.errno
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code in (0, errno.EINPROGRESS):
        return sock, 0
    sock.close()
    return None, code


class Handler(Protocol):
    """Whoever owns a socket. Those that come `first` are served before the others in each turn."""

    first: bool

    def readable(self) -> None:
        """There is something to read, or the connection has ended."""

    def writable(self) -> None:
        """What waits may be written, or the connection has come up or failed."""

    def broken(self) -> None:
        """Serving it raised what nobody foresaw: it is to end."""


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * 1000


def received(sock: socket.socket, most: int) -> bytes | None:
    """What has come on a socket that does not block: None for nothing yet, empty where the connection has ended."""
    try:
        return sock.recv(most)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


class Loop:
    """Waits for sockets and for times."""

    def __init__(self, fault: Callable[[Exception], None] | None = None) -> None:
        self.epoll, self.handlers, self.fault = select.epoll(), {}, fault
        self.timers: list[tuple[float, int, Callable, tuple]] = []
        self.turn_number = itertools.count()

    def add(self, sock: socket.socket, handler: Handler, write: bool = False) -> None:
        """Serves that socket from now on."""
        number = sock.fileno()
        self.handlers[number] = handler
        self.epoll.register(number, select.EPOLLIN | (select.EPOLLOUT if write else 0))

    def want(self, sock: socket.socket, write: bool, read: bool = True) -> None:
        """What is waited for on that socket."""
        self.epoll.modify(sock.fileno(), (select.EPOLLIN if read else 0) | (select.EPOLLOUT if write else 0))

    def remove(self, sock: socket.socket) -> None:
        """Serves it no more; to be called before it is closed."""
        if self.handlers.pop(sock.fileno(), None) is not None:
            self.epoll.unregister(sock.fileno())

    def at(self, when: float, act: Callable, *args: object) -> None:
        """Calls that at that time of `clock`."""
        heapq.heappush(self.timers, (when, next(self.turn_number), act, args))

    def every(self, span: float, act: Callable[[], None]) -> None:
        """Calls that again and again, so many ms apart, from then on."""
        self.at(clock() + span, self._again, span, act)

    def _again(self, span: float, act: Callable[[], None]) -> None:
        # Danger: what sets itself anew as its last act never comes again once it has failed. So it is set first.
        self.every(span, act)
        act()

    def next_at(self) -> float:
        """When the next timer is due."""
        return self.timers[0][0] if self.timers else float("inf")

    def turn(self, wait: float, between: Callable[[], object]) -> None:
        """Waits so many ms at most, serves the first, does what is due, calls `between`, then serves the others."""
        # Danger: who floods us with requests would delay the answers of workers and all that is due. Also many
        # connects at once. Could hurt where workers flood: each is read a bounded piece at a time.
        # Rounded up: a wait that ends too early would turn for nothing until its time has come.
        found = self.epoll.poll(max(0.0, wait + 0.5) / 1000 if wait > 0 else 0, EVENTS)
        # Danger: one that is served ends another's connection, and a new one gets its number: told what was the
        # other's, it would take itself for connected. So who had the number is settled before anyone is served.
        known = [(number, self.handlers.get(number), events) for number, events in found]
        others = []
        for number, handler, events in known:
            if handler is not None and handler.first:
                self.serve(number, handler, events)
            elif handler is not None:
                others.append((number, handler, events))
        now = clock()
        while self.timers and self.timers[0][0] <= now:
            _, _, act, args = heapq.heappop(self.timers)
            try:
                act(*args)
            except Exception as bad:
                self._broken(bad)
        between()
        ends = clock() + SLICE
        for number, handler, events in others:
            self.serve(number, handler, events)
            if clock() > ends:  # the kernel tells of the rest again, those that had no turn first
                break

    def serve(self, number: int, handler: Handler, events: int = select.EPOLLIN) -> None:
        """Lets a handler do what the kernel told of its socket; one that breaks ends alone."""
        try:
            if events & select.EPOLLOUT and self.handlers.get(number) is handler:
                handler.writable()
            if events & ~select.EPOLLOUT and self.handlers.get(number) is handler:
                handler.readable()
        except Exception as bad:
            self._broken(bad)
            handler.broken()

    def _broken(self, bad: Exception) -> None:
        # Danger: one bad connection must not end the one thread that all hang on. Nothing known leads here.
        if self.fault is None:
            raise bad
        self.fault(bad)

    def close(self) -> None:
        """Ends it."""
        self.epoll.close()
