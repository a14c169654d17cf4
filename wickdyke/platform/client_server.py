"""The client server: the listener of the platform's front end, and the connections that it has accepted."""

import errno
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum, auto

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import Log, RejectionReason
from wickdyke.platform.client_connection import (
    MAX_READS,
    NEW_CONNECTION_TIME,
    RETRY_AFTER,
    ClientConnection,
    PendingRequest,
)
from wickdyke.routing.model import RequestClass
from wickdyke.transport.event_loop import EventLoop, Handler, Priority, clock

ACCEPTS_PER_EVENT = 64  # connections accepted at most before other sockets are served
BACKLOG = 512
SILENCE_TIMEOUT = 2000.0  # ms for a first request, and for the rest of an incomplete frame
SWEEP_INTERVAL = 200.0  # ms between searches for connections past that
MIN_TIME_LEFT = 50.0  # ms that a worker needs; with less before the end of the process a request is rejected


@dataclass(slots=True, frozen=True)
class ClientServerSettings:
    """The settings of a client server."""

    address: tuple[str, int]  # host and port
    request_classes: Sequence[RequestClass]
    connection_limit: int
    tenants: tuple[str, ...] = ()


class ListenerState(Enum):
    """Whether the event loop serves the listening socket."""

    UNREGISTERED = auto()  # not yet: the kernel had no memory for that, and the socket is polled
    REGISTERED = auto()
    CLOSED = auto()


class ClientServer:
    """The listener and the connections of its clients.

    `post` passes events to the coordinator; `busy` returns why no request can be admitted now, or None.
    """

    priority = Priority.NORMAL

    def __init__(
        self,
        loop: EventLoop,
        settings: ClientServerSettings,
        post: Callable[[Event], None],
        busy: Callable[[], RejectionReason | None],
        log: Log,
    ) -> None:
        self.loop = loop
        self.address = settings.address
        self.connection_limit = settings.connection_limit
        self.request_classes = {request_class.name: request_class for request_class in settings.request_classes}
        self.tenants = settings.tenants
        self.post = post
        self.busy = busy
        self.log = log
        self.clients: dict[int, ClientConnection] = {}
        self.open: dict[bytes, PendingRequest] = {}  # by the client's id
        self.counts: Counter[str] = Counter()
        self.last_number = 0  # of a connection
        self.reads = 0  # of data, over all connections
        self.serving = False  # whether requests are admitted; set by the service
        self.listener_state = ListenerState.UNREGISTERED
        self.accept_paused = False  # until a timer resumes it
        self.backlog_empty = False  # after the last accepts
        self.answer_by: float | None = None  # when all must be answered, for the process ends (ms)
        self.sock: socket.socket | None = None

    def listen(self) -> None:
        """Starts to accept connections; raises OSError where the address can't be bound."""
        self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with suppress(OSError):  # without it bind may fail for a while
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(self.address)
            sock.listen(BACKLOG)
        except OSError:
            self.sock = None
            sock.close()
            raise
        self._register_listener()
        self.loop.call_every(SWEEP_INTERVAL, self._sweep)

    def _register_listener(self) -> None:
        if self.sock is None or self.shut_down:
            return
        try:
            self.loop.add(self.sock, self)
            self.listener_state = ListenerState.REGISTERED
        except OSError:  # ENOMEM, ENOSPC: polled until the kernel watches it
            self.counts["unwatched"] += 1
            self.loop.call_at(clock() + RETRY_AFTER, self._register_listener)
            self.read_now(self)

    @property
    def shut_down(self) -> bool:
        """Whether the listener is closed."""
        return self.listener_state is ListenerState.CLOSED

    def count_invalid(self, reason: str) -> None:
        """Counts a request that is invalid; logs the first, the tenth, the hundredth."""
        self.counts["invalid"] += 1
        if str(self.counts["invalid"]).strip("0") == "1":
            self.log.warning("request unusable", reason=reason, so_far=self.counts["invalid"])

    def is_serving(self) -> bool:
        """Returns whether requests are admitted."""
        return self.serving

    def time_for(self, time_left: float) -> float:
        """Returns how long (ms) a request received now may take of `time_left`; 0 where there is no time for it."""
        if self.answer_by is None:
            return time_left
        maximum = self.answer_by - clock()
        if time_left <= maximum:
            return time_left
        return maximum if maximum >= MIN_TIME_LEFT else 0.0

    def read_now(self, handler: Handler) -> None:
        """Has the handler read now, whether or not the kernel reported data; one that raises is closed alone."""
        try:
            handler.readable()
        except Exception as error:
            if self.loop.on_error is None:
                raise
            self.loop.on_error(error)
            handler.broken()

    def read_all(self, client: ClientConnection) -> None:
        """Reads what that client has sent by now, up to a bound."""
        for _ in range(MAX_READS):
            before = self.reads
            self.read_now(client)
            if self.reads == before:
                return

    def readable(self) -> None:
        """Accepts connections."""
        assert self.sock is not None
        self.backlog_empty = self._accept_waiting()
        self.loop.data_read(self.sock, not self.backlog_empty)

    def _accept_waiting(self) -> bool:
        """Accepts a bounded number of connections; returns whether the kernel had no more of them."""
        assert self.sock is not None
        for _ in range(ACCEPTS_PER_EVENT):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno == errno.EMFILE:
                    self.counts["no_descriptor"] += 1
                    if self._make_room():
                        continue
                    self._pause(SWEEP_INTERVAL)
                    return False
                if error.errno in (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # A shortage of the whole machine, which closing a client of ours would not end.
                    self.counts["no_descriptor"] += 1
                    self._pause(RETRY_AFTER)
                    return False
                continue
            self.counts["accepted"] += 1
            self._admit(sock)
        return False

    def _admit(self, sock: socket.socket) -> None:
        assert self.sock is not None
        if len(self.clients) >= self.connection_limit and not self._make_room():
            self.counts["no_room"] += 1
            sock.close()
            return
        # It may fail on a connection that was reset already. That costs where it fails on another: an answer
        # may wait for the acknowledgement of the one before.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_number += 1
        client = self.clients[self.last_number] = ClientConnection(self, sock, self.last_number)
        self.loop.connection_accepted(sock, self.sock)
        self._register(client)

    def _register(self, client: ClientConnection) -> None:
        """Has the loop serve a connection. While that fails it is polled, and closed by the sweep if it is silent."""
        # Closing it on a transient ENOMEM, ENOSPC or ENOBUFS would lose its first request unread. The cost, while the
        # shortage lasts, is a timer for each connection.
        if client.closed:
            return
        try:
            client.sock.setblocking(False)
            self.loop.add(client.sock, client, not client.write_buffer.empty())
        except OSError:
            self.counts["unwatched"] += 1
            self.loop.call_at(clock() + RETRY_AFTER, self._register, client)
            self.read_now(client)

    def release_socket(self, client: ClientConnection) -> None:
        """Closes the socket of a connection that has ended."""
        self.loop.remove(client.sock)
        with suppress(OSError):  # it may report late that something could not be written
            client.sock.close()

    def _pause(self, span: float) -> None:
        """Accepts nothing for `span` ms: the kernel would report again and again what can't be accepted."""
        # The cost: if a descriptor is freed during the pause, waiting connections are still accepted only after it.
        if self.sock is None or self.accept_paused or self.shut_down:
            return
        self.accept_paused = True
        self.loop.call_at(clock() + span, self._resume)
        with suppress(OSError):
            self.loop.set_interest(self.sock, False, False)

    def _resume(self) -> None:
        if self.sock is None or self.shut_down:
            return
        try:
            self.loop.set_interest(self.sock, False)
            self.accept_paused = False
        except OSError:  # ENOMEM, ENOSPC: polled until the kernel watches it again
            self.counts["unwatched"] += 1
            self.loop.call_at(clock() + RETRY_AFTER, self._resume)
            self.read_now(self)

    def writable(self) -> None:
        """Does nothing: the listener waits for connections only."""

    def broken(self) -> None:
        """Serving it raised an exception: the listener goes on."""

    def _make_room(self) -> bool:
        """Closes the connection without open requests that was idle longest; returns whether there was one.

        Those that have sent nothing for a while are first, then those that were answered, last those that are new or
        are sending.
        """
        # The first request of a new connection is probably in transit. If new connections were closed in favour of
        # newer ones, no request would arrive while many clients connect. The cost: an idle client has to reconnect.
        old = clock() - NEW_CONNECTION_TIME

        def value(client: ClientConnection) -> int:
            if client.waiting_since >= old and (client.frames.begun or not client.answered):
                return 2
            return 1 if client.answered else 0

        while candidates := [client for client in self.clients.values() if self._can_be_closed(client)]:
            candidate = min(candidates, key=lambda client: (value(client), client.last_used_at))
            # A request that was received by the kernel and not read yet would be lost with the connection.
            self.read_all(candidate)
            if candidate.closed or self._can_be_closed(candidate):
                candidate.close()
                self.counts["made_room"] += 1
                return True
        return False

    def _can_be_closed(self, client: ClientConnection) -> bool:
        """Returns whether no request of it is open, and no answer in transit that its client may still read."""
        return not client.open and (client.write_buffer.empty() or clock() - client.last_used_at > SILENCE_TIMEOUT)

    def _sweep(self) -> None:
        now = clock()
        for client in list(self.clients.values()):
            # Data that arrived in time may not have been read yet, where this process was stopped or busy.
            if self._overdue(client, now):
                self.read_all(client)
            if not client.closed and self._overdue(client, now):
                self.counts["silent"] += 1
                if client.open:  # half a frame behind requests that were read: those are answered first
                    client.end()
                else:
                    client.close()

    def _overdue(self, client: ClientConnection, now: float) -> bool:
        # Clients that connect and send nothing or half a frame, or never read, could use up all descriptors. The cost:
        # a client that connects long before its first request has its connection closed.
        if client.ending:  # its requests end by their own times; then it has as long to read the last answer
            return not client.open and now - max(client.waiting_since, client.last_used_at) > SILENCE_TIMEOUT
        is_awaited = client.frames.begun or (not client.answered and not client.open)
        return is_awaited and now - client.waiting_since > SILENCE_TIMEOUT

    def shut(self, at_once: bool = False) -> None:
        """Accepts the connections of the backlog, then closes the listener.

        While some of them can't be accepted that is left for the next call, unless it has to be `at_once`.
        """
        if self.shut_down or self.sock is None:
            return
        # The close resets the connections of the backlog, and requests on them are lost. So nothing else is done
        # between the last accept and the close: the kernel can't stop a backlog and keep what is in it.
        self.backlog_empty = False
        for _ in range(BACKLOG // ACCEPTS_PER_EVENT + 1):
            self.read_now(self)
            if self.backlog_empty:
                break
        if not self.backlog_empty and not at_once:
            return
        self.listener_state = ListenerState.CLOSED
        self.loop.remove(self.sock)
        self.sock.close()

    def read_clients(self) -> bool:
        """Reads what clients have sent since the last poll; returns whether there was anything."""
        before = self.reads
        for client in list(self.clients.values()):
            self.read_now(client)
        return self.reads > before

    def close_idle(self, at_once: bool = False) -> bool:
        """Closes each idle connection, right after a last read that found nothing; returns whether none is left.

        With `at_once` it does not wait for requests that may be in transit.
        """
        # A connection left open until the process exits acknowledges requests that are never read. Between
        # the read and the close one may still cross, within microseconds: the client sends it again (PROTOCOL).
        # A shutdown for reading before that read would not prevent it: Linux acknowledges what arrives after it, too.
        for client in list(self.clients.values()):
            before = self.reads
            self.read_now(client)
            if self.reads == before and client.idle() and (at_once or not client.request_expected()):
                client.close()
        return not self.clients

    def flushed(self) -> bool:
        """Returns whether no request is open and nothing waits to be written."""
        return not self.open and all(client.write_buffer.empty() for client in self.clients.values())
