"""The client server: the listening socket of the platform's front end, and the connections of its clients."""

import errno
import socket
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import Log, RejectionReason
from wickdyke.gateway.log import is_power_of_ten
from wickdyke.platform.client_close import CloseReason
from wickdyke.platform.client_connection import (
    MAX_READS_PER_CALL,
    NEW_CONNECTION_TIME,
    READ_SIZE,
    SYSCALL_RETRY_DELAY,
    ClientConnection,
)
from wickdyke.platform.client_request import PendingRequest
from wickdyke.platform.ended_request_ids import EndedRequestIds
from wickdyke.platform.memory_budget import MemoryBudget
from wickdyke.platform.memory_reclaim import MemoryReclaimer
from wickdyke.platform.withdrawals import WithdrawalDetector, has_unread_data
from wickdyke.routing.model import Effect, RequestClass
from wickdyke.transport.event_loop import EventLoop, Handler, Priority, clock
from wickdyke.transport.system_facts import receive_buffer_size

ACCEPTS_PER_EVENT = 64  # maximum number of connections accepted before other sockets are served
BACKLOG = 512  # connections that the kernel queues for accept
RECEIVE_BUFFER_SIZE = 1 << 16  # bytes that the kernel takes from a client before they are read
SILENCE_TIMEOUT = 2000.0  # ms within which the first request, or the rest of an incomplete frame, must arrive
SWEEP_INTERVAL = 200.0  # ms between searches for connections past SILENCE_TIMEOUT
MIN_TIME_LEFT = 50.0  # ms that a worker needs; a request is rejected if the process ends sooner


@dataclass(slots=True, frozen=True)
class ClientServerSettings:
    """The settings of a client server."""

    address: tuple[str, int]  # host and port
    request_classes: Sequence[RequestClass]
    connection_limit: int
    tenants: tuple[str, ...] = ()
    budget: MemoryBudget = field(default_factory=lambda: MemoryBudget(sys.maxsize))


class ListenerState(Enum):
    """Whether the event loop serves the listening socket."""

    UNREGISTERED = auto()  # not added yet, or the kernel had no memory for it: the socket is polled
    REGISTERED = auto()
    CLOSED = auto()


class ClientServer:
    """The listening socket and the connections of its clients.

    `post` passes events to the coordinator; `rejection_reason` returns why no request can be admitted now, or None.
    """

    priority = Priority.LISTENER

    def __init__(
        self,
        loop: EventLoop,
        settings: ClientServerSettings,
        post: Callable[[Event], None],
        rejection_reason: Callable[[], RejectionReason | None],
        log: Log,
    ) -> None:
        self.loop = loop
        self.address = settings.address
        self.connection_limit = settings.connection_limit
        self.request_classes = {request_class.name: request_class for request_class in settings.request_classes}
        self.tenants = settings.tenants
        self.budget = settings.budget
        self.reclaimer = MemoryReclaimer()
        self.ended_ids = EndedRequestIds(settings.budget)
        self.post = post
        self.rejection_reason = rejection_reason
        self.log = log
        self.clients: dict[int, ClientConnection] = {}  # by number
        self.open_requests: dict[bytes, PendingRequest] = {}  # by the id that the client has set
        self.counts: Counter[str] = Counter()
        self.last_connection_number = 0  # of the last accepted connection
        self.read_count = 0  # reads of data, over all connections
        self.max_unread_bytes = MAX_READS_PER_CALL**2 * READ_SIZE  # that the kernel may hold of one client
        self.withdrawal_detector = WithdrawalDetector(self.max_unread_bytes)
        self.serving = False  # whether requests are admitted; set by Service
        self.listener_state = ListenerState.UNREGISTERED
        self.accept_paused = False  # whether accepting is paused until a timer resumes it
        self.backlog_drained = False  # whether the last accept found the backlog empty
        self.answer_deadline: float | None = None  # ms; when all requests must be answered; None before the shutdown
        self.sock: socket.socket | None = None

    def listen(self) -> None:
        """Starts accepting connections. Raises OSError where the address can't be bound."""
        self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with suppress(OSError):  # without the option, bind may fail for some time after a restart
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._limit_receive_buffers(sock)
            sock.setblocking(False)
            sock.bind(self.address)
            sock.listen(BACKLOG)
        except OSError:
            self.sock = None
            sock.close()
            raise
        self._register_listener()
        self.loop.call_every(SWEEP_INTERVAL, self._sweep)

    def _limit_receive_buffers(self, sock: socket.socket) -> None:
        """Limits what the kernel takes from each client, by an option that connections inherit."""
        # Otherwise the kernel takes megabytes from each client that sends without pause. Such a client refills its
        # buffer while it is read, so a read to its end, for a cancel or before a close, has to stop after what can have
        # been there at its beginning.
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
            size = receive_buffer_size(sock, RECEIVE_BUFFER_SIZE)
            if size is not None:
                self.max_unread_bytes = size
                self.withdrawal_detector = WithdrawalDetector(size)

    def _register_listener(self) -> None:
        if self.sock is None or self.listener_closed:
            return
        try:
            self.loop.add(self.sock, self)
            self.listener_state = ListenerState.REGISTERED
        except OSError:  # ENOMEM, ENOSPC: polled until the socket can be added to epoll
            self.counts["unwatched"] += 1
            self.loop.call_at(clock() + SYSCALL_RETRY_DELAY, self._register_listener)
            self.read_now(self)

    @property
    def listener_closed(self) -> bool:
        """Whether the listener is closed."""
        return self.listener_state is ListenerState.CLOSED

    def count_invalid(self, reason: str) -> None:
        """Counts an invalid request; logs the first, the tenth, the hundredth and so on."""
        self.counts["invalid"] += 1
        if is_power_of_ten(self.counts["invalid"]):
            self.log.warning("request unusable", reason=reason, so_far=self.counts["invalid"])

    def is_serving(self) -> bool:
        """Returns whether requests are admitted."""
        return self.serving

    def request_ended(self, pending: PendingRequest) -> None:
        """Removes a request from the open ones: it has its answer, or its client has left."""
        if self.open_requests.get(pending.params.ident) is pending:
            del self.open_requests[pending.params.ident]
        request_class = pending.request_class
        if request_class.effect is not Effect.IDEMPOTENT and pending.may_have_run():
            now = clock()
            received_at = now if pending.received_at is None else pending.received_at
            until = received_at + min(pending.time_left, request_class.deadline)
            self.ended_ids.remember(pending.params.ident, until, now)

    def limit_time_left(self, time_left: float) -> float:
        """Returns how much of `time_left` (ms) a new request may use before the shutdown; 0 where that is too short."""
        if self.answer_deadline is None:
            return time_left
        maximum = self.answer_deadline - clock()
        if time_left <= maximum:
            return time_left
        return maximum if maximum >= MIN_TIME_LEFT else 0.0

    def read_now(self, handler: Handler) -> None:
        """Calls the handler's `readable` without waiting for the kernel's report; calls `broken` if that raises."""
        self._call(handler, handler.readable)

    def _call(self, handler: Handler, read: Callable[[], None]) -> None:
        """Calls `read` of the handler; calls `broken` if that raises."""
        try:
            read()
        except Exception as error:
            if self.loop.on_error is None:
                raise
            self.loop.on_error(error)
            handler.broken()

    def read_all(self, client: ClientConnection) -> None:
        """Reads what the kernel may hold of the client's data by now, with at most MAX_READS_PER_CALL calls."""
        self.read_ahead(client, self.max_unread_bytes)

    def read_ahead(self, client: ClientConnection, size: int) -> None:
        """Reads up to `size` bytes of the client's data ahead of its turn, which comes later for that."""
        began_at = clock()
        end = client.bytes_read + size
        for _ in range(MAX_READS_PER_CALL):
            before = self.read_count
            self._call(client, partial(client.read_until, end))
            if self.read_count == before or client.bytes_read >= end:
                break
        if not client.closed:
            self.loop.charge(client.sock, clock() - began_at)

    def readable(self) -> None:
        """Accepts connections."""
        assert self.sock is not None
        self.backlog_drained = self._accept_waiting()
        self.loop.data_read(self.sock, not self.backlog_drained)

    def _accept_waiting(self) -> bool:
        """Accepts at most ACCEPTS_PER_EVENT connections; returns whether the backlog is empty."""
        assert self.sock is not None
        for _ in range(ACCEPTS_PER_EVENT):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno == errno.EMFILE:
                    self.counts["no_descriptor"] += 1
                    if self._close_idle_client():
                        continue
                    self._pause_accepting(SWEEP_INTERVAL)
                    return False
                if error.errno in (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # A system-wide shortage, which closing one client of this process would not end.
                    self.counts["no_descriptor"] += 1
                    self._pause_accepting(SYSCALL_RETRY_DELAY)
                    return False
                continue
            self.counts["accepted"] += 1
            self._admit(sock)
        return False

    def _admit(self, sock: socket.socket) -> None:
        assert self.sock is not None
        if len(self.clients) >= self.connection_limit and not self._close_idle_client():
            self.counts["no_room"] += 1
            sock.close()
            return
        # The call may fail on a connection that was already reset. If it fails on another connection, an answer may be
        # delayed until the previous one is acknowledged.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_connection_number += 1
        client = self.clients[self.last_connection_number] = ClientConnection(self, sock, self.last_connection_number)
        self.loop.connection_accepted(sock, self.sock)
        self._register(client)

    def _register(self, client: ClientConnection) -> None:
        """Adds a connection to the event loop, and polls it while that fails; the sweep closes it if silent."""
        # Closing the connection on a transient ENOMEM, ENOSPC or ENOBUFS would lose its first request unread. The cost
        # is one timer per connection while the shortage lasts.
        if client.closed:
            return
        try:
            client.sock.setblocking(False)
            self.loop.add(client.sock, client, not client.write_buffer.empty())
        except OSError:
            self.counts["unwatched"] += 1
            self.loop.call_at(clock() + SYSCALL_RETRY_DELAY, self._register, client)
            self.read_now(client)

    def release_socket(self, client: ClientConnection) -> None:
        """Closes the socket of a connection that has ended."""
        self.loop.remove(client.sock)
        with suppress(OSError):  # close may report an earlier failed write
            client.sock.close()

    def _pause_accepting(self, duration: float) -> None:
        """Stops accepting for `duration` ms; otherwise the kernel would report the backlog at each poll."""
        # The cost: if a descriptor is freed during the pause, waiting connections are accepted only after the pause.
        if self.sock is None or self.accept_paused or self.listener_closed:
            return
        self.accept_paused = True
        self.loop.call_at(clock() + duration, self._resume_accepting)
        with suppress(OSError):
            self.loop.set_interest(self.sock, False, False)

    def _resume_accepting(self) -> None:
        if self.sock is None or self.listener_closed:
            return
        try:
            self.loop.set_interest(self.sock, False)
            self.accept_paused = False
        except OSError:  # ENOMEM, ENOSPC: polled until the socket can be watched again
            self.counts["unwatched"] += 1
            self.loop.call_at(clock() + SYSCALL_RETRY_DELAY, self._resume_accepting)
            self.read_now(self)

    def writable(self) -> None:
        """Does nothing: the listening socket is never written."""

    def broken(self) -> None:
        """Does nothing after the handler raised an exception: the listener stays open."""

    def _close_idle_client(self) -> bool:
        """Closes the longest idle connection without open requests; returns whether there was one.

        Connections that never sent a request and are not new are closed first, then those that were answered, and last
        those that are new or in the middle of a frame.
        """
        # The first request of a new connection is probably in transit. If new connections were closed in favour of
        # newer ones, no request would get through while many clients connect. The cost: an idle client has to
        # reconnect.
        new_since = clock() - NEW_CONNECTION_TIME

        def eviction_rank(client: ClientConnection) -> int:
            if client.waiting_since >= new_since and (client.frame_parser.has_partial_frame or not client.answered):
                return 2
            return 1 if client.answered else 0

        while candidates := [client for client in self.clients.values() if self._can_be_closed(client)]:
            candidate = min(candidates, key=lambda client: (eviction_rank(client), client.last_used_at))
            # A request that the kernel has received and that was not read yet would be lost with the connection.
            self.read_all(candidate)
            if candidate.closed or self._can_be_closed(candidate):
                candidate.close(CloseReason.IDLE)
                self.counts["made_room"] += 1
                return True
        return False

    def _can_be_closed(self, client: ClientConnection) -> bool:
        """Returns whether the client has no open request and no unsent answer that it may still read."""
        return not client.open_requests and (
            client.write_buffer.empty() or clock() - client.last_used_at > SILENCE_TIMEOUT
        )

    def _sweep(self) -> None:
        now = clock()
        for client in list(self.clients.values()):
            # If this process was stopped or busy, data that arrived in time may not have been read yet: its turn comes.
            if self._overdue(client, now) and (client.ending or not has_unread_data(client.sock)):
                self.counts["silent"] += 1
                if client.open_requests:  # an incomplete frame after complete requests: those are answered first
                    client.end(CloseReason.SILENT)
                else:
                    client.close(CloseReason.SILENT)

    def _overdue(self, client: ClientConnection, now: float) -> bool:
        # Clients that send nothing or an incomplete frame, or never read, could use up all descriptors. The cost: a
        # client that connects long before its first request has its connection closed.
        if client.ending:  # open requests have deadlines; then the client gets as long to read the last answer
            return not client.open_requests and now - max(client.waiting_since, client.last_used_at) > SILENCE_TIMEOUT
        is_awaited = client.frame_parser.has_partial_frame or (not client.answered and not client.open_requests)
        return is_awaited and now - client.waiting_since > SILENCE_TIMEOUT

    def close_listener(self, at_once: bool = False) -> None:
        """Accepts the connections of the backlog, then closes the listener.

        If some of them can't be accepted now, the listener stays open until the next call, unless `at_once` is set.
        """
        if self.listener_closed or self.sock is None:
            return
        # The close resets the connections in the backlog, and requests on them are lost. So nothing else is done
        # between the last accept and the close: the kernel can't stop queueing connections and keep those queued.
        self.backlog_drained = False
        for _ in range(BACKLOG // ACCEPTS_PER_EVENT + 1):
            self.read_now(self)
            if self.backlog_drained:
                break
        if not self.backlog_drained and not at_once:
            return
        self.listener_state = ListenerState.CLOSED
        self.loop.remove(self.sock)
        self.sock.close()

    def read_clients(self) -> bool:
        """Reads the data that clients have sent since the last poll; returns whether there was any."""
        before = self.read_count
        for client in list(self.clients.values()):
            self.read_now(client)
        return self.read_count > before

    def close_idle(self, at_once: bool = False) -> bool:
        """Closes each idle connection right after a final read that found nothing; returns whether none is left.

        With `at_once`, connections on which a request may be in transit are closed too.
        """
        # On a connection left open until the process exits, the kernel acknowledges requests that are never read. A
        # request may still arrive in the microseconds between the read and the close: the client sends it again
        # (PROTOCOL). Calling shutdown(SHUT_RD) first would not help: Linux acknowledges later data all the same.
        for client in list(self.clients.values()):
            before = self.read_count
            self.read_now(client)
            if self.read_count == before and client.idle() and (at_once or not client.request_expected()):
                client.close()
        return not self.clients

    def all_answers_sent(self) -> bool:
        """Returns whether no request is open and all answers were written."""
        return not self.open_requests and all(client.write_buffer.empty() for client in self.clients.values())
