"""An event loop on epoll for all sockets and timers of a process that runs in one thread."""

import contextlib
import errno
import itertools
import select
import socket
import time
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

from wickdyke.transport.timers import Timers
from wickdyke.transport.unread_times import UnreadTimes

CONNECTING = (0, errno.EINPROGRESS, errno.EINTR)  # results of a non-blocking connect: done, or in progress
EVENTS_PER_POLL = 256  # fetched from the kernel at a time
PEER_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR  # the other side has closed or reset
LATE_RETURN = 100.0  # ms by which a poll may return late and still count as a look at the sockets as they are now
MAX_OVERSLEEP = 5.0  # ms by which a wait that finds nothing may exceed its time where the process runs
MAX_POLLS = 2  # more of one iteration, each after one that returned late
MODIFY_RETRY = 10.0  # ms until an epoll_ctl that failed for want of memory is tried again
TIME_SLICE = 10.0  # ms of an iteration for the handlers of normal priority; at least one of them is served


class DialResult(NamedTuple):
    """A socket whose connect is in progress or done, and 0; or None and the errno."""

    sock: socket.socket | None
    code: int


def dial(address: tuple[str, int]) -> DialResult:
    """Starts a non-blocking connect. Raises nothing: a failure is in the result."""
    # With all descriptors in use the socket itself can't be made. An exception here would end a timer or a step of the
    # coordinator, and what they do would never be tried again.
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        return DialResult(None, error.errno or errno.EIO)
    try:
        sock.setblocking(False)
        code = sock.connect_ex(address)
    except OSError as error:
        code = error.errno or errno.EIO
    except (OverflowError, ValueError):  # a port or a host that can't be one
        code = errno.EINVAL
    except BaseException:  # raised by a signal handler
        close(sock)
        raise
    # EINTR: the connect continues, as with EINPROGRESS. EAGAIN on TCP: no local port is free.
    if code in CONNECTING:
        return DialResult(sock, 0)
    close(sock)
    return DialResult(None, code)


def close(sock: socket.socket) -> None:
    """Closes a socket. The descriptor is free also where close reports an error, so none is raised."""
    with contextlib.suppress(OSError):
        sock.close()


def _events(write: bool, read: bool) -> int:
    return (select.EPOLLIN | select.EPOLLRDHUP if read else 0) | (select.EPOLLOUT if write else 0)


class Priority(Enum):
    """The order in which handlers are served within one iteration of the loop."""

    FIRST = auto()  # before all others: discovery, whose events say what may be sent
    HIGH = auto()  # before the timers: workers
    NORMAL = auto()  # after the timers, in a bounded slice of time: clients


class Handler(Protocol):
    """The owner of a socket, called by the loop for events of that socket."""

    @property
    def priority(self) -> Priority:
        """When it is served in each iteration."""

    def readable(self) -> None:
        """Called when there is data to read, or the connection has ended."""

    def writable(self) -> None:
        """Called when the socket takes data, or the connect has succeeded or failed."""

    def broken(self) -> None:
        """Called after `readable` or `writable` raised an unexpected exception: the handler closes its socket."""


class ReadySocket(NamedTuple):
    """A socket with events, and the handler it had when they were fetched from the kernel."""

    number: int  # its descriptor
    handler: Handler
    events: int


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * 1000


def error_name(code: int | None) -> str:
    """Returns the name of an errno (ECONNREFUSED), or its number where it has none."""
    return errno.errorcode.get(code or 0, str(code))


def receive(sock: socket.socket, size: int) -> bytes | None:
    """Up to `size` bytes from a non-blocking socket: None for nothing yet, empty where the connection has ended."""
    try:
        return sock.recv(size)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError as error:
        # Without memory the data stays in the kernel and can be read later. Ending the connection would lose the
        # requests on it. The cost is an attempt in each iteration for as long as there is no memory.
        return None if error.errno in (errno.ENOMEM, errno.ENOBUFS) else b""


class EventLoop:
    """Serves sockets and timers in one thread.

    `on_error` is called with each exception that a handler or a timer raises; without it the exception propagates.

    `add` raises OSError where the kernel has no memory (ENOMEM) or no watches left (ENOSPC), and then leaves nothing
    behind: its caller still owns the socket, and closes it. `set_interest` does not raise for these: it is retried
    until it succeeds. `remove` never raises.
    """

    def __init__(self, on_error: Callable[[Exception], None] | None = None) -> None:
        self.epoll = select.epoll()
        self.on_error = on_error
        self.handlers: dict[int, Handler] = {}  # by descriptor
        self.timers = Timers()
        self.unmodified: dict[int, int] = {}  # descriptor -> events that epoll_ctl had no memory for yet
        self.last_served: dict[int, int] = {}  # descriptor -> serial number, of those of normal priority
        self.serial_numbers = itertools.count(1)
        self.unread = UnreadTimes(clock())
        # Called where this process did not run, or was busy, for over LATE_RETURN, with the time (ms) of the last look
        # at the sockets before that; after the handlers of the first priority.
        self.on_stall: Callable[[float], object] = lambda since: None

    @property
    def arrived_after(self) -> float:
        """When data of a socket that is ready now, and was not before, arrived at the earliest (ms)."""
        return self.unread.arrived_after

    @property
    def unread_since(self) -> dict[int, float]:
        """Since when data may wait on sockets that were left for a later iteration (ms, by descriptor)."""
        return self.unread.since

    def unread_for(self, sock: socket.socket, now: float) -> float:
        """Returns for how long (ms) data that is read from that socket now may have waited in the kernel, at most.

        That is longer than an iteration where this process was stopped, or others were served first.
        """
        return now - self.unread.of(sock.fileno())

    def data_read(self, sock: socket.socket, partly: bool) -> None:
        """Notes that data of the socket was read, or connections accepted from it; `partly` where there may be more."""
        if partly:
            self.unread.keep(sock.fileno())
        else:
            self.unread.emptied(sock.fileno())

    def accepted(self, sock: socket.socket, listener: socket.socket) -> None:
        """Notes that `sock` was accepted: what is unread there may be as old as what waited at the listener."""
        self.unread.begin(sock.fileno(), self.unread.of(listener.fileno()))

    def add(self, sock: socket.socket, handler: Handler, write: bool = False) -> None:
        """Serves that socket from now on. Raises OSError where it can't be watched, and then keeps nothing of it."""
        # The kernel is first. A handler kept for a socket that is not registered would be used when its descriptor
        # is used again, and `remove` by the owner of the new socket would fail.
        number = sock.fileno()
        self.epoll.register(number, _events(write, True))
        self.handlers[number] = handler
        self.unread.set_polled(number, True)

    def set_interest(self, sock: socket.socket, write: bool, read: bool = True) -> None:
        """Sets which events of that socket are waited for.

        Where the kernel has no memory for that now, it is retried soon, and the events set before stay in force: a
        handler may be called for one that it no longer waits for.
        """
        number = sock.fileno()
        self.unmodified.pop(number, None)
        self._modify(number, _events(write, read))

    def _modify(self, number: int, events: int) -> None:
        try:
            self.epoll.modify(number, events)
            self.unread.set_polled(number, bool(events & select.EPOLLIN))
        except OSError as error:
            if error.errno not in (errno.ENOMEM, errno.ENOSPC, errno.EINTR):
                raise  # the socket is not registered: a mistake of the caller
            self.unmodified[number] = events
            self.call_at(clock() + MODIFY_RETRY, self._modify_again, number)

    def _modify_again(self, number: int) -> None:
        # The socket may have been removed, or a later `set_interest` have succeeded.
        events = self.unmodified.pop(number, None)
        if events is not None and number in self.handlers:
            self._modify(number, events)

    def remove(self, sock: socket.socket) -> None:
        """Serves it no more; to be called before its close. Never raises: the close ends the registration too."""
        number = sock.fileno()
        self.unmodified.pop(number, None)
        self.last_served.pop(number, None)
        self.unread.forget(number)
        if self.handlers.pop(number, None) is not None:
            with contextlib.suppress(OSError):
                self.epoll.unregister(number)

    def call_at(self, when: float, callback: Callable[..., object], *args: object) -> None:
        """Calls `callback(*args)` once `clock` has reached `when` (ms)."""
        self.timers.at(when, callback, *args)

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Calls `callback` every `interval` ms, for the first time after one interval."""
        self.call_at(clock() + interval, self._repeat, interval, callback)

    def _repeat(self, interval: float, callback: Callable[[], None]) -> None:
        # Set first: a callback that raises must not end the series.
        self.call_every(interval, callback)
        callback()

    def next_deadline(self) -> float:
        """Returns when the next timer is due (ms of `clock`); infinite without timers."""
        return self.timers.next_deadline()

    def run_once(self, wait: float, between: Callable[[], object], now: float | None = None) -> None:
        """Runs one iteration: polls, waiting `wait` ms at most from `now` on, and serves what is ready.

        The order: handlers of the first and of high priority, the timers that are due, `between`, handlers of normal
        priority.

        So clients that flood us with requests or connects do not delay the answers of workers and the timers. Workers
        could flood us too, but of each only a bounded piece is read at a time.
        """
        ready_sockets = self._with_handlers(self._poll(wait, clock() if now is None else now))
        self._serve_first(ready_sockets)
        others = self._serve_high_priority(ready_sockets)
        for callback, args in self.timers.due(clock()):
            try:
                callback(*args)
            except Exception as error:  # noqa: BLE001 - one timer that fails must not end the loop
                self._report(error)
        between()
        self._serve_normal_priority(others)

    def _poll(self, wait: float, begun_at: float) -> list[tuple[int, int]]:
        """(descriptor, events) of the sockets that are ready."""
        # Rounded up: a wait that ends too early would poll for nothing until its time.
        timeout = max(0.0, wait + 0.5) / 1000 if wait > 0 else 0
        try:
            events = self.epoll.poll(timeout, EVENTS_PER_POLL)
            now = clock()
            looked_at = now if events else begun_at
            # Where this process was stopped within it, the poll saw the sockets as they were before, or not at all
            # (epoll_wait in signal(7), PEP 475): timers that are due would run before what has arrived is read.
            waited_in_vain = not events and wait > 0
            waited = min(now - begun_at, max(0.0, wait))
            if waited_in_vain and now - begun_at > wait + MAX_OVERSLEEP:
                waited = 0.0  # stopped at some time within it: what arrived then did not end it
            late_after = begun_at + max(0.0, wait) + LATE_RETURN
            for _ in range(MAX_POLLS):
                if now <= late_after and not waited_in_vain:
                    break
                looked_at = now
                late_after = now + LATE_RETURN
                waited_in_vain = False
                events = self.epoll.poll(0, EVENTS_PER_POLL)
                now = clock()
        except InterruptedError:
            return []  # the kernel reports the events again in the next iteration; the timers run in this one
        self.unread.poll_returned(looked_at, now, waited, events, len(events) < EVENTS_PER_POLL)
        return events

    def _with_handlers(self, events_by_socket: list[tuple[int, int]]) -> list[ReadySocket]:
        # Serving one may close the connection of another, and a new one may get its descriptor: with the events of the
        # other it would consider itself connected. So all handlers are looked up before any is served.
        return [
            ReadySocket(number, handler, events)
            for number, events in events_by_socket
            if (handler := self.handlers.get(number)) is not None
        ]

    def _serve_first(self, ready_sockets: list[ReadySocket]) -> None:
        """Serves the handlers of the first priority, then reports a stall."""
        for ready in ready_sockets:
            if ready.handler.priority is Priority.FIRST:
                self.serve(ready.number, ready.handler, ready.events)
        if self.unread.returned_at - self.unread.estimate > LATE_RETURN:
            try:
                self.on_stall(self.unread.arrived_after)
            except Exception as error:  # noqa: BLE001 - the loop serves all connections
                self._report(error)

    def _serve_high_priority(self, ready_sockets: list[ReadySocket]) -> list[ReadySocket]:
        """Serves handlers of high priority, and others whose peer has closed; returns those that are left."""
        others = []
        for ready in ready_sockets:
            if ready.handler.priority is Priority.FIRST:
                continue
            # A close is seen before anything is decided, however many other clients send at that moment.
            if ready.handler.priority is Priority.HIGH or ready.events & PEER_CLOSED:
                self.serve(ready.number, ready.handler, ready.events)
            else:
                others.append(ready)
        return others

    def _serve_normal_priority(self, others: list[ReadySocket]) -> None:
        """Serves these until the time slice is over."""
        # The kernel reports the same sockets first, time after time, while more can be read there. So those served
        # longest ago go first: else clients that never stop sending would keep all others unread.
        others.sort(key=lambda ready: self.last_served.get(ready.number, 0))
        slice_end = clock() + TIME_SLICE
        for served, ready in enumerate(others, 1):
            if self.handlers.get(ready.number) is ready.handler:
                self.last_served[ready.number] = next(self.serial_numbers)
                self.serve(ready.number, ready.handler, ready.events)
            if clock() > slice_end:
                for left in others[served:]:
                    self.unread.keep(left.number)
                break

    def serve(self, number: int, handler: Handler, events: int = select.EPOLLIN) -> None:
        """Calls a handler for the events of its socket; one that raises is ended alone."""
        try:
            if events & select.EPOLLOUT and self.handlers.get(number) is handler:
                handler.writable()
            if events & ~select.EPOLLOUT and self.handlers.get(number) is handler:
                handler.readable()
        except Exception as error:  # noqa: BLE001 - one connection that fails must not end the loop
            self._report(error)
            try:
                handler.broken()
            except Exception as second_error:  # noqa: BLE001 - the loop serves all other connections too
                self._report(second_error)

    def _report(self, error: Exception) -> None:
        # One faulty connection must not end the thread that serves all. No fault is known to lead here.
        if self.on_error is None:
            raise error
        self.on_error(error)

    def close(self) -> None:
        """Closes the epoll descriptor; the sockets stay their owners'."""
        self.epoll.close()
