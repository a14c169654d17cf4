"""One selector loop for all sockets of a program that runs in one thread, with its timers."""

import contextlib
import errno
import heapq
import itertools
import select
import socket
import time
from collections.abc import Callable
from typing import Protocol

CONNECTING = (0, errno.EINPROGRESS, errno.EINTR)  # of a connect that does not block: done, or on its way
EVENTS = 256  # events taken from the kernel in one turn
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR  # the other side has closed or reset
MODIFY_RETRY = 10.0  # ms until the kernel is told again what is waited for on a socket, where it had no memory for that
SLICE = 10.0  # ms of a turn that go to those that do not come first, but for one at least


def dial(address: tuple[str, int]) -> tuple[socket.socket | None, int]:
    """A connection that is being made and does not block, or None and the number of the error."""
    # Danger: with all descriptors in use the socket itself can't be made. Raised here, it would end a timer or a
    # turn of the desk, and what hangs on it would never be tried again.
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as bad:
        return None, bad.errno or errno.EIO
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
    except OSError as bad:
        code = bad.errno or errno.EIO
    except (OverflowError, ValueError):  # a port or a host that can't be one
        code = errno.EINVAL
    except BaseException:  # raised by a signal handler
        close(sock)
        raise
    # EINTR: the connection goes on being made, as with EINPROGRESS. EAGAIN on TCP: no local port is free.
    if code in CONNECTING:
        return sock, 0
    close(sock)
    return None, code


def close(sock: socket.socket) -> None:
    """Closes a socket. The descriptor is free also where close reports an error, so none is raised."""
    with contextlib.suppress(OSError):
        sock.close()


def _events(write: bool, read: bool) -> int:
    return (select.EPOLLIN | select.EPOLLRDHUP if read else 0) | (select.EPOLLOUT if write else 0)


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
    except OSError as bad:
        # Danger: a connection is ended, and with it what is owed on it, although what came waits in the kernel still
        # and can be read as soon as there is memory. Could hurt while there is none: it is tried in each turn.
        return None if bad.errno in (errno.ENOMEM, errno.ENOBUFS) else b""


class EventLoop:
    """Waits for sockets and for times.

    `add` raises OSError where the kernel has no memory (ENOMEM) or no watches left (ENOSPC), and then leaves nothing
    behind: its caller still owns the socket, and closes it. `want` does not raise for these: it is tried again until
    it succeeds. `remove` never raises.
    """

    def __init__(self, fault: Callable[[Exception], None] | None = None) -> None:
        self.epoll, self.handlers, self.fault = select.epoll(), {}, fault
        self.timers: list[tuple[float, int, Callable, tuple]] = []
        self.turn_number = itertools.count()
        self.unmodified: dict[int, int] = {}  # descriptor -> events the kernel could not be told of yet
        self.served: dict[int, int] = {}  # descriptor -> when it was last served of those that are not first
        self.serve_number = itertools.count(1)

    def add(self, sock: socket.socket, handler: Handler, write: bool = False) -> None:
        """Serves that socket from now on. Raises OSError where it can't be watched, and then keeps nothing of it."""
        # Danger: a handler that is kept for a socket which is not watched is found under the descriptor's number when
        # the number is used again, and `remove` of the new socket's owner fails. So the kernel comes first.
        number = sock.fileno()
        self.epoll.register(number, _events(write, True))
        self.handlers[number] = handler

    def want(self, sock: socket.socket, write: bool, read: bool = True) -> None:
        """What is waited for on that socket. Where the kernel has no memory for it now it is told again soon, until
        then what was waited for before is: a handler may be called for what it no longer waits for."""
        number = sock.fileno()
        self.unmodified.pop(number, None)
        self._modify(number, _events(write, read))

    def _modify(self, number: int, events: int) -> None:
        try:
            self.epoll.modify(number, events)
        except OSError as bad:
            if bad.errno not in (errno.ENOMEM, errno.ENOSPC, errno.EINTR):
                raise  # the socket is not watched: a mistake of the caller
            self.unmodified[number] = events
            self.at(clock() + MODIFY_RETRY, self._modify_again, number)

    def _modify_again(self, number: int) -> None:
        # Nothing is left to do where the socket was removed or another `want` went through meanwhile.
        events = self.unmodified.pop(number, None)
        if events is not None and number in self.handlers:
            self._modify(number, events)

    def remove(self, sock: socket.socket) -> None:
        """Serves it no more; to be called before it is closed. Never raises: the close ends the watch in any case."""
        number = sock.fileno()
        self.unmodified.pop(number, None)
        self.served.pop(number, None)
        if self.handlers.pop(number, None) is not None:
            with contextlib.suppress(OSError):
                self.epoll.unregister(number)

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
        try:
            found = self.epoll.poll(max(0.0, wait + 0.5) / 1000 if wait > 0 else 0, EVENTS)
        except InterruptedError:
            found = []  # what is there is told of in the next turn, what is due is done in this one
        # Danger: one that is served ends another's connection, and a new one gets its number: told what was the
        # other's, it would take itself for connected. So who had the number is settled before anyone is served.
        known = [(number, self.handlers.get(number), events) for number, events in found]
        others = []
        for number, handler, events in known:
            # Who has closed is heard before anything is decided, however many others ask at that moment.
            if handler is not None and (handler.first or events & ENDED):
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
        # The kernel tells of the same sockets first, turn after turn, while more can be read there. So those served
        # longest ago go first: else clients that never stop sending keep all others unread.
        others.sort(key=lambda each: self.served.get(each[0], 0))
        ends = clock() + SLICE
        for number, handler, events in others:
            if self.handlers.get(number) is handler:
                self.served[number] = next(self.serve_number)
                self.serve(number, handler, events)
            if clock() > ends:
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
            try:
                handler.broken()
            except Exception as worse:  # the loop is that of all others too
                self._broken(worse)

    def _broken(self, bad: Exception) -> None:
        # Danger: one bad connection must not end the one thread that all hang on. Nothing known leads here.
        if self.fault is None:
            raise bad
        self.fault(bad)

    def close(self) -> None:
        """Ends it."""
        self.epoll.close()
