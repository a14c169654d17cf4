"""A single-threaded event loop on epoll for sockets and timers."""

import contextlib
import errno
import select
import socket
import time
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple, Protocol

from wickdyke.transport.fair_queue import FairQueue
from wickdyke.transport.timers import Timers
from wickdyke.transport.unread_times import UnreadTimes

EVENTS_PER_POLL = 1024  # events fetched from the kernel by one poll: of all sockets, unless there are more
PEER_CLOSED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR  # the peer has closed or reset
MAX_POLL_OVERRUN = 100.0  # ms by which a poll may return late and still count as showing the current socket state
MAX_OVERSLEEP = 5.0  # ms by which a poll that times out may exceed its timeout while the process is running
MAX_EXTRA_POLLS = 2  # further polls in one iteration, each after a poll that returned late
MODIFY_RETRY_DELAY = 10.0  # ms until an epoll_ctl that failed for lack of memory is retried
TIME_SLICE = 10.0  # least ms per iteration for the handlers of normal priority; at least one of them is served


def _event_mask(write: bool, read: bool) -> int:
    return (select.EPOLLIN | select.EPOLLRDHUP if read else 0) | (select.EPOLLOUT if write else 0)


class Priority(Enum):
    """The order in which handlers are served within one iteration of the loop."""

    FIRST = auto()  # before all others: discovery, whose events determine which workers may be sent requests
    HIGH = auto()  # before the timers: workers
    LISTENER = auto()  # after the timers, before the clients, which wait all the same where one of them connects often
    NORMAL = auto()  # after the timers, in a bounded time slice: clients


class Handler(Protocol):
    """The owner of a socket, called by the loop for events of that socket."""

    @property
    def priority(self) -> Priority:
        """When the handler is served in each iteration."""

    def readable(self) -> None:
        """Called when there is data to read or the connection has ended."""

    def writable(self) -> None:
        """Called when the socket accepts data, or its connect has succeeded or failed."""

    def broken(self) -> None:
        """Called after `readable` or `writable` raised an unexpected exception; the handler must close its socket."""


class ReadySocket(NamedTuple):
    """A socket with events, and the handler it had when the events were fetched from the kernel."""

    fd: int
    handler: Handler
    events: int


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * 1000


class EventLoop:
    """Serves sockets and timers in one thread.

    `on_error` is called with each exception that a handler or a timer raises; without it the exception propagates.

    `add` raises OSError if the kernel has no memory (ENOMEM) or no watches left (ENOSPC), and then registers nothing:
    its caller still owns the socket and closes it. `set_interest` does not raise these errors but is retried until it
    succeeds. `remove` never raises.
    """

    def __init__(self, on_error: Callable[[Exception], None] | None = None) -> None:
        self.epoll = select.epoll()
        self.on_error = on_error
        self.handlers: dict[int, Handler] = {}  # by descriptor
        self.timers = Timers()
        # Descriptor -> events that epoll_ctl failed to set for lack of memory.
        self.pending_modifications: dict[int, int] = {}
        self.turns = FairQueue()  # of the handlers of normal priority
        self.unread_times = UnreadTimes(clock())
        self.first_served_at = clock()  # ms; when it was last seen what the handlers of first priority could read
        # Called after the handlers of the first priority if the process was stopped or busy for over MAX_POLL_OVERRUN,
        # with the time (ms) of the last poll before that.
        self.on_stall: Callable[[float], object] = lambda since: None

    @property
    def arrived_after(self) -> float:
        """The earliest time (ms) at which data may have arrived on a socket that the last poll reported first."""
        return self.unread_times.arrived_after

    @property
    def unread_since(self) -> dict[int, float]:
        """The times (ms) since which data may wait on sockets left for a later iteration, by descriptor."""
        return self.unread_times.unread_since

    def unread_for(self, sock: socket.socket, now: float) -> float:
        """Returns the longest time (ms) for which data read from the socket now may have waited in the kernel.

        This exceeds one iteration if the process was stopped or other sockets were served first.
        """
        return now - self.unread_times.waiting_since(sock.fileno())

    def data_read(self, sock: socket.socket, more_left: bool) -> None:
        """Records that the socket was read, or connections accepted from it; `more_left` if more data may wait."""
        fd = sock.fileno()
        if more_left:
            self.unread_times.mark_unread(fd)
        else:
            self.unread_times.mark_empty(fd)

    def charge(self, sock: socket.socket, time_used: float) -> None:
        """Counts time (ms) that was spent on the socket apart from its turns, so that its next one comes later."""
        self.turns.charge(sock.fileno(), time_used)

    def connection_accepted(self, sock: socket.socket, listener: socket.socket) -> None:
        """Records that `sock` was accepted: its unread data may be as old as the oldest connection in the backlog."""
        self.unread_times.set_unread_since(sock.fileno(), self.unread_times.waiting_since(listener.fileno()))

    def add(self, sock: socket.socket, handler: Handler, write: bool = False) -> None:
        """Registers a socket with its handler. Raises OSError if epoll rejects it, and then registers nothing."""
        # epoll is called first: a handler stored for an unregistered socket would be called once the descriptor is
        # reused, and `remove` by the owner of the new socket would fail.
        fd = sock.fileno()
        self.epoll.register(fd, _event_mask(write, True))
        self.handlers[fd] = handler
        self.unread_times.set_polled(fd, True)

    def set_interest(self, sock: socket.socket, write: bool, read: bool = True) -> None:
        """Sets which events of the socket are waited for.

        If the kernel has no memory for the change, it is retried after MODIFY_RETRY_DELAY. The previous events stay in
        force until then, so a handler may be called for an event that it no longer waits for.
        """
        fd = sock.fileno()
        self.pending_modifications.pop(fd, None)
        self._modify(fd, _event_mask(write, read))

    def _modify(self, fd: int, events: int) -> None:
        try:
            self.epoll.modify(fd, events)
            self.unread_times.set_polled(fd, bool(events & select.EPOLLIN))
        except OSError as error:
            if error.errno not in (errno.ENOMEM, errno.ENOSPC, errno.EINTR):
                raise  # the socket is not registered: an error of the caller
            self.pending_modifications[fd] = events
            self.call_at(clock() + MODIFY_RETRY_DELAY, self._retry_modify, fd)

    def _retry_modify(self, fd: int) -> None:
        # The socket may have been removed, or a later `set_interest` may have succeeded.
        events = self.pending_modifications.pop(fd, None)
        if events is not None and fd in self.handlers:
            self._modify(fd, events)

    def remove(self, sock: socket.socket) -> None:
        """Unregisters a socket; to be called before its close. Never raises: the close ends the registration too."""
        fd = sock.fileno()
        self.pending_modifications.pop(fd, None)
        self.turns.remove(fd)
        self.unread_times.remove(fd)
        if self.handlers.pop(fd, None) is not None:
            with contextlib.suppress(OSError):
                self.epoll.unregister(fd)

    def call_at(self, when: float, callback: Callable[..., object], *args: object) -> None:
        """Calls `callback(*args)` once `clock` has reached `when` (ms)."""
        self.timers.at(when, callback, *args)

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Calls `callback` every `interval` ms; the first call is after one interval."""
        self.call_at(clock() + interval, self._repeat, interval, callback)

    def _repeat(self, interval: float, callback: Callable[[], None]) -> None:
        # The next call is scheduled first: a callback that raises must not end the repetition.
        self.call_every(interval, callback)
        callback()

    def next_deadline(self) -> float:
        """Returns when the next timer is due (ms of `clock`), or infinity if there is none."""
        return self.timers.next_deadline()

    def run_once(self, wait: float, before_normal_priority: Callable[[], object], now: float | None = None) -> None:
        """Runs one iteration: polls for at most `wait` ms from `now` on, and serves the ready sockets and due timers.

        The order is: handlers of first priority, handlers of high priority, due timers, `before_normal_priority`,
        handlers of normal priority.

        This way clients that flood the process with requests or connections do not delay the answers of workers and
        the timers. Workers may send as much, but only a bounded amount is read from each at a time.
        """
        ready_sockets = self._with_handlers(self._poll(wait, clock() if now is None else now))
        self._serve_first(ready_sockets)
        others = self._serve_high_priority(ready_sockets)
        for callback, args in self.timers.due(clock()):
            try:
                callback(*args)
            except Exception as error:  # noqa: BLE001 - a timer that fails must not end the loop
                self._report(error)
        before_normal_priority()
        self._serve_normal_priority(others)

    def _poll(self, wait: float, started_at: float) -> list[tuple[int, int]]:
        """Returns (descriptor, events) of the sockets that are ready."""
        # Rounded up: a wait that ends before the next timer is due would cause polls without effect until then.
        timeout = max(0.0, wait + 0.5) / 1000 if wait > 0 else 0
        try:
            events = self.epoll.poll(timeout, EVENTS_PER_POLL)
            now = clock()
            checked_at = now if events else started_at
            # If the process was stopped during the poll, the poll saw the sockets as they were before the stop, or did
            # not check them at all (epoll_wait in signal(7), PEP 475). Without another poll, timers that are due would
            # run before the data that has arrived is read.
            timed_out = not events and wait > 0
            waited = min(now - started_at, max(0.0, wait))
            if timed_out and now - started_at > wait + MAX_OVERSLEEP:
                waited = 0.0  # stopped at an unknown time during the wait: data that arrived then did not end it
            latest_return = started_at + max(0.0, wait) + MAX_POLL_OVERRUN
            for _ in range(MAX_EXTRA_POLLS):
                if now <= latest_return and not timed_out:
                    break
                checked_at = now
                latest_return = now + MAX_POLL_OVERRUN
                timed_out = False
                events = self.epoll.poll(0, EVENTS_PER_POLL)
                now = clock()
        except InterruptedError:
            return []  # the kernel reports the events again in the next iteration; the timers still run in this one
        self.unread_times.poll_returned(checked_at, now, waited, events, len(events) < EVENTS_PER_POLL)
        return events

    def _with_handlers(self, events_by_socket: list[tuple[int, int]]) -> list[ReadySocket]:
        # Serving one socket may close another, and a new socket may reuse the descriptor. With the events of the closed
        # socket, the new one would be taken for connected. So all handlers are looked up before any is called.
        return [
            ReadySocket(fd, handler, events)
            for fd, events in events_by_socket
            if (handler := self.handlers.get(fd)) is not None
        ]

    def _serve_first(self, ready_sockets: list[ReadySocket]) -> None:
        """Serves the handlers of the first priority, then reports a stall to `on_stall`."""
        for ready in ready_sockets:
            if ready.handler.priority is Priority.FIRST:
                self.serve(ready.fd, ready.handler, ready.events)
        self.first_served_at = self.unread_times.returned_at
        if self.unread_times.returned_at - self.unread_times.estimated_arrival > MAX_POLL_OVERRUN:
            self._report_stall(self.unread_times.arrived_after)

    def catch_up(self) -> None:
        """Serves the handlers of first priority again, and reports a stall, if the last time was long ago.

        To be called before something is decided by what they have read: since the poll the process may have been
        stopped or busy for over MAX_POLL_OVERRUN.
        """
        now = clock()
        if now - self.first_served_at <= MAX_POLL_OVERRUN:
            return
        for ready in self._with_handlers(self.epoll.poll(0, max(1, len(self.handlers)))):
            if ready.handler.priority is Priority.FIRST:
                self.serve(ready.fd, ready.handler, ready.events)
        self.first_served_at = now
        self._report_stall(self.unread_times.checked_at)

    def _report_stall(self, since: float) -> None:
        try:
            self.on_stall(since)
        except Exception as error:  # noqa: BLE001 - the loop serves all connections
            self._report(error)

    def _serve_high_priority(self, ready_sockets: list[ReadySocket]) -> list[ReadySocket]:
        """Serves handlers of high priority and those whose peer has closed; returns the sockets not served."""
        others = []
        for ready in ready_sockets:
            if ready.handler.priority is Priority.FIRST:
                continue
            # A close is handled before any decision, no matter how many other clients send at that moment.
            if ready.handler.priority is Priority.HIGH or ready.events & PEER_CLOSED_EVENTS:
                self.serve(ready.fd, ready.handler, ready.events)
            else:
                others.append(ready)
        return others

    def _serve_normal_priority(self, others: list[ReadySocket]) -> None:
        """Serves the listeners, and then the handlers of normal priority until the time slice is used up."""
        for ready in others:
            if ready.handler.priority is Priority.LISTENER and self.handlers.get(ready.fd) is ready.handler:
                self.serve(ready.fd, ready.handler, ready.events)
        others = [ready for ready in others if ready.handler.priority is Priority.NORMAL]
        # The kernel reports the same sockets first for as long as more can be read there, and a client that sends
        # without pause takes more time in its turn than others.
        self.turns.wait(ready.fd for ready in others)
        others.sort(key=lambda ready: self.turns.expected_finish(ready.fd))
        began_at = clock()
        slice_end = began_at + self.normal_time_slice(began_at)
        for served, ready in enumerate(others, 1):
            if self.handlers.get(ready.fd) is ready.handler:
                self.serve(ready.fd, ready.handler, ready.events)
            ended_at = clock()
            if self.handlers.get(ready.fd) is ready.handler:  # neither closed nor reused
                is_idle = ready.fd not in self.unread_times.unread_since
                self.turns.end_turn(ready.fd, ended_at - began_at, is_idle)
            began_at = ended_at
            if ended_at > slice_end:
                for unserved in others[served:]:
                    self.unread_times.mark_unread(unserved.fd)
                break

    def normal_time_slice(self, now: float) -> float:
        """Returns how long (ms) the handlers of normal priority may be served, in an iteration that has come to them.

        Requests that were taken on keep the rest of the iteration busy; in a fixed time few clients would be read.
        """
        return max(TIME_SLICE, now - self.unread_times.returned_at)

    def serve(self, fd: int, handler: Handler, events: int = select.EPOLLIN) -> None:
        """Calls a handler for the events of its socket. If it raises, only its own connection is ended."""
        try:
            if events & select.EPOLLOUT and self.handlers.get(fd) is handler:
                handler.writable()
            if events & ~select.EPOLLOUT and self.handlers.get(fd) is handler:
                handler.readable()
        except Exception as error:  # noqa: BLE001 - a connection that fails must not end the loop
            self._report(error)
            try:
                handler.broken()
            except Exception as second_error:  # noqa: BLE001 - the loop serves all other connections too
                self._report(second_error)

    def _report(self, error: Exception) -> None:
        # A faulty connection must not end the thread that serves all connections. No bug that leads here is known.
        if self.on_error is None:
            raise error
        self.on_error(error)

    def close(self) -> None:
        """Closes the epoll descriptor; the sockets remain open and with their owners."""
        self.epoll.close()
