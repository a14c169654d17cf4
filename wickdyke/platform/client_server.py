"""The listener of the platform's front end, and the connections that it has accepted."""

import errno
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import RejectionReason
from wickdyke.platform.client_connection import NEW_CONNECTION_TIME, RETRY_AFTER, ClientConnection, PendingRequest
from wickdyke.routing.model import RequestClass
from wickdyke.transport.event_loop import EventLoop, clock

ACCEPTS_PER_TURN = 64  # connections accepted in one turn at most
BACKLOG = 512
SILENCE_TIMEOUT = 2000.0  # ms for a first request, and for the rest of an incomplete frame
SWEEP_INTERVAL = 200.0  # ms between closes of connections past that
READS_MOST = 8  # of one connection at a time, where all data that has come is wanted
TIME_LEFT_LEAST = 50.0  # ms that a worker needs; with less before the end of the process a request is rejected


class ClientServer:
    """The listener and the connections of its clients."""

    first = False  # its events are served after those of workers

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        request_classes: list[RequestClass],
        most: int,
        post: Callable[[Event], None],
        busy: Callable[[], RejectionReason | None],
        log,
        tenants: tuple[str, ...] = (),
    ) -> None:
        self.loop, self.address, self.most, self.post, self.busy, self.log = loop, address, most, post, busy, log
        self.request_classes, self.tenants = {each.name: each for each in request_classes}, tenants
        self.clients: dict[int, ClientConnection] = {}
        self.open: dict[bytes, PendingRequest] = {}  # by the client's id
        self.counts: Counter[str] = Counter()
        self.number, self.reads, self.ready, self.shut_down = 0, 0, False, False
        self.paused = self.drained = self.watched = False
        self.answer_by: float | None = None  # when all must be answered, for the process ends
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
        self._watch_listener()
        self.loop.every(SWEEP_INTERVAL, self._sweep)

    def _watch_listener(self) -> None:
        if self.shut_down:
            return
        try:
            self.loop.add(self.sock, self)
            self.watched = True
        except OSError:  # ENOMEM, ENOSPC: polled until the kernel watches it
            self.counts["unwatched"] += 1
            self.loop.at(clock() + RETRY_AFTER, self._watch_listener)
            self.guarded(self)

    def count_invalid(self, why: str) -> None:
        """Counts a request that can't be used; says why of the first, the tenth, the hundredth."""
        self.counts["invalid"] += 1
        if str(self.counts["invalid"]).strip("0") == "1":
            self.log.warning("request unusable", why=why, so_far=self.counts["invalid"])

    def alive(self) -> bool:
        """Whether requests are taken."""
        return self.ready

    def time_for(self, time_left: float) -> float:
        """How long a request that came now may take, of what its client waits; 0 where there is no time for it."""
        if self.answer_by is None:
            return time_left
        most = self.answer_by - clock()
        if time_left <= most:
            return time_left
        return most if most >= TIME_LEFT_LEAST else 0.0

    def guarded(self, handler: "ClientServer | ClientConnection") -> None:
        """Has the handler read now, whether or not the kernel reported data; one that raises ends alone."""
        try:
            handler.readable()
        except Exception as error:
            if self.loop.fault is None:
                raise
            self.loop.fault(error)
            handler.broken()

    def read_all(self, client: ClientConnection) -> None:
        """Reads what has come from that client by now, up to a bound."""
        for _ in range(READS_MOST):
            before = self.reads
            self.guarded(client)
            if self.reads == before:
                return

    def readable(self) -> None:
        """Accepts connections."""
        self.drained = self._accept_waiting()

    def _accept_waiting(self) -> bool:
        """Accepts a bounded number of connections; whether the kernel had no more of them."""
        for _ in range(ACCEPTS_PER_TURN):
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
        if len(self.clients) >= self.most and not self._make_room():
            self.counts["no_room"] += 1
            sock.close()
            return
        # It may fail on a connection that was reset already. That costs where it fails on another: an answer
        # may wait for the acknowledgement of the one before.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.number += 1
        client = self.clients[self.number] = ClientConnection(self, sock, self.number)
        self._watch(client)

    def _watch(self, client: ClientConnection) -> None:
        """Has the loop serve a connection. While that fails it is polled, and closed by the sweep if it is silent."""
        # A close for a passing ENOMEM, ENOSPC or ENOBUFS would lose its first request unread. The price, where the
        # shortage lasts, is a timer for each connection.
        if client.closed:
            return
        try:
            client.sock.setblocking(False)
            self.loop.add(client.sock, client, not client.write_buffer.empty())
            client.watched = True
        except OSError:
            self.counts["unwatched"] += 1
            self.loop.at(clock() + RETRY_AFTER, self._watch, client)
            self.guarded(client)

    def forget(self, client: ClientConnection) -> None:
        """Closes the socket of a client."""
        with suppress(OSError):
            if client.watched:
                self.loop.remove(client.sock)
        with suppress(OSError):  # it may tell late that something could not be written
            client.sock.close()

    def _pause(self, span: float) -> None:
        """Accepts nothing for `span` ms: the kernel would report again and again what can't be accepted."""
        # The price: where a descriptor is freed meanwhile, the connections that wait are accepted that much later.
        if self.paused or self.shut_down:
            return
        self.paused = True
        self.loop.at(clock() + span, self._resume)
        with suppress(OSError):
            self.loop.want(self.sock, False, False)

    def _resume(self) -> None:
        if self.shut_down:
            return
        try:
            self.loop.want(self.sock, False)
            self.paused = False
        except OSError:  # ENOMEM, ENOSPC: polled until the kernel watches it again
            self.counts["unwatched"] += 1
            self.loop.at(clock() + RETRY_AFTER, self._resume)
            self.guarded(self)

    def writable(self) -> None:
        """Never waited for."""

    def broken(self) -> None:
        """Serving it raised: the listener goes on."""

    def _make_room(self) -> bool:
        """Closes the connection without open requests that was idle longest; whether there was one.

        Those that have sent nothing for a while go first, then those that were answered, last those that are new or
        are sending.
        """
        # The request of a new connection is probably on its way: closed for the next one, which fares no better, no
        # client would get through, nor one that connects for each request. The price: an idle client connects again.
        old = clock() - NEW_CONNECTION_TIME

        def use(client: ClientConnection) -> int:
            if client.since >= old and (client.frames.begun or not client.answered):
                return 2
            return 1 if client.answered else 0

        while spare := [client for client in self.clients.values() if self._spare(client)]:
            least = min(spare, key=lambda client: (use(client), client.used))
            # A request that has come and was not read yet would be lost with the connection.
            self.read_all(least)
            if least.closed or self._spare(least):
                least.close()
                self.counts["made_room"] += 1
                return True
        return False

    def _spare(self, client: ClientConnection) -> bool:
        """Whether it has nothing open, and no answer on its way that it may still read."""
        return not client.open and (client.write_buffer.empty() or clock() - client.used > SILENCE_TIMEOUT)

    def _sweep(self) -> None:
        now = clock()
        for client in list(self.clients.values()):
            # Data that came in time may not have been read yet, where this process was stopped or busy.
            if self._overdue(client, now):
                self.read_all(client)
            if not client.closed and self._overdue(client, now):
                self.counts["silent"] += 1
                if client.open:  # half a frame behind requests that were read: those are answered first
                    client.end()
                else:
                    client.close()

    def _overdue(self, client: ClientConnection, now: float) -> bool:
        # Hundreds that connect and send nothing, or half a frame, or never read, would take all descriptors. The price:
        # a client that connects long before its first request has its connection closed.
        if client.ending:  # its requests end by their own times; then it has as long to read the last answer
            return not client.open and now - max(client.since, client.used) > SILENCE_TIMEOUT
        waits = client.frames.begun or not client.answered and not client.open
        return waits and now - client.since > SILENCE_TIMEOUT

    def shut(self, at_once: bool = False) -> None:
        """Accepts the connections of the backlog, then closes the listener.

        While some of them can't be accepted that is left for the next call, unless it has to be `at_once`.
        """
        if self.shut_down or self.sock is None:
            return
        # The close resets the connections of the backlog, and requests on them are lost. So nothing else is done
        # between the last accept and the close: the kernel can't stop a backlog and keep what is in it.
        self.drained = False
        for _ in range(BACKLOG // ACCEPTS_PER_TURN + 1):
            self.guarded(self)
            if self.drained:
                break
        if not self.drained and not at_once:
            return
        self.shut_down = True
        with suppress(OSError):
            if self.watched:
                self.loop.remove(self.sock)
        self.sock.close()

    def heard_more(self) -> bool:
        """Reads what has come since the last poll; whether there was anything."""
        before = self.reads
        for client in list(self.clients.values()):
            self.guarded(client)
        return self.reads > before

    def hang_up(self, at_once: bool = False) -> bool:
        """Closes each idle connection, right after a last read that found nothing; whether none is left.

        With `at_once` no request is waited for that may be on its way.
        """
        # A connection left open until the process has ended acknowledges requests that nobody reads. Between
        # the read and the close one may still cross, within microseconds: the client sends it again (PROTOCOL).
        # A shutdown for reading before that read would not prevent it: Linux acknowledges what comes after it as well.
        for client in list(self.clients.values()):
            before = self.reads
            self.guarded(client)
            if self.reads == before and client.idle() and (at_once or not client.expected()):
                client.close()
        return not self.clients

    def flushed(self) -> bool:
        """Whether no request is open and nothing waits to be written."""
        return not self.open and all(client.write_buffer.empty() for client in self.clients.values())
