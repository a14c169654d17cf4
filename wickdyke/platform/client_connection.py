"""One connection of a client: reads frames, posts checked requests to the coordinator, writes one answer for each.

A client that breaks the protocol gets an application exception or a close; nothing of that reaches a worker.
"""

import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from wickdyke.gateway import interfaces
from wickdyke.gateway.events import ClientClosed, Event, RequestCancelled, RequestReceived
from wickdyke.gateway.interfaces import RejectionReason
from wickdyke.platform import thrift
from wickdyke.platform.requests import Call, InvalidRequestError, check
from wickdyke.routing.model import RequestClass
from wickdyke.transport.event_loop import EventLoop, Priority, clock, receive
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer

READ_SIZE = 1 << 15  # bytes read at a time
MAX_OPEN_REQUESTS = 32  # requests open on one connection
MAX_UNREAD = 1 << 18  # bytes of answers that may wait for a client
NEW_CONNECTION_TIME = 500.0  # ms in which a connection counts as new
RETRY_AFTER = 20.0  # ms until a system call is retried that failed for want of memory
MAX_UNKNOWN_METHOD_QUOTED = 64  # characters of an unknown method that an error quotes
MAX_UNREAD_TIME = 60.0  # ms for which requests may have waited unread and still count as received when they are read
MAX_READS = 8  # of one connection at a time, where all data received by the kernel is wanted
# A cancel or a close may be behind what has waited for so long (ms): that is read to its end before it is handled.
READ_ON_AFTER = 20.0
READ_ON_TIME = 10.0  # ms that this takes at most: others wait meanwhile
READ_AGAIN_AFTER = 50.0  # ms after which a client is read again before an attempt begins on its behalf


class ConnectionOwner(Protocol):
    """The server of a client connection, as far as the connection uses it."""

    loop: EventLoop
    request_classes: dict[str, RequestClass]
    tenants: tuple[str, ...]
    clients: "dict[int, ClientConnection]"  # by number
    open: "dict[bytes, PendingRequest]"  # by the client's id
    counts: Counter[str]
    reads: int  # of all connections

    @property
    def post(self) -> Callable[[Event], None]:
        """Passes an event to the coordinator."""

    @property
    def busy(self) -> Callable[[], RejectionReason | None]:
        """Returns why no request can be admitted now, or None."""

    def is_serving(self) -> bool:
        """Returns whether requests are admitted."""

    def count_invalid(self, reason: str) -> None:
        """Counts a request that is invalid."""

    def time_for(self, time_left: float) -> float:
        """Returns how long (ms) a request received now may take; 0 where there is no time for it."""

    def read_all(self, client: "ClientConnection") -> None:
        """Reads what the client has sent by now, up to a bound."""

    def release_socket(self, client: "ClientConnection") -> None:
        """Closes the socket of a connection that has ended."""


class PendingRequest(interfaces.PendingRequest):
    """One request of a client."""

    __slots__ = ()

    client: "ClientConnection"
    ident: int
    params: Call

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends its final answer, with the worker's output."""
        self._answer(thrift.answer("dispatch", self.ident, output))

    def reject(self, reason: str, retry_after: float | None = None) -> None:
        """Sends its final answer: it was rejected, and nothing was done."""
        fields = {} if retry_after is None else {"w": str(max(1, round(retry_after)))}
        self._answer(thrift.shed("dispatch", self.ident, fields))

    def fail(self, reason: str) -> None:
        """Sends its final answer: it failed, and may have been carried out or not."""
        self._answer(thrift.fault("dispatch", self.ident, {}))

    def is_client_waiting(self) -> bool:
        """Returns whether its client still waits for an answer; a cancel or a close sent meanwhile is read first."""
        # On a busy machine a cancel or a close waits in the kernel while a retry or a hedge is decided.
        client = self.client
        if clock() - client.last_read_at > READ_AGAIN_AFTER:
            client.server.read_all(client)
        return client.open.get(self.ident) is self

    def _answer(self, frame: bytes) -> None:
        if self.client.release(self):
            self.client.write(frame)


class ClientConnection:
    """One connection of a client; `number` is its own, for the log."""

    priority = Priority.NORMAL

    def __init__(self, server: ConnectionOwner, sock: socket.socket, number: int) -> None:
        self.server = server
        self.sock = sock
        self.number = number
        self.write_buffer = WriteBuffer(sock, MAX_UNREAD, "client", self._set_waiting)
        self.frames = thrift.Frames()
        self.open: dict[int, PendingRequest] = {}
        self.last_number = 0  # of the last request
        self.waiting_since = clock()  # when the incomplete frame, or the wait for the first one, began
        self.last_used_at = clock()  # when a request of it last ended
        self.last_read_at = clock()
        self.received_at = clock()  # when the data read last had arrived at the latest that is certain
        self.answered = False  # whether anything was written to it
        self.ending = False  # accepts no more requests, and closes after the last answer
        self.closed = False
        self.pump_due = False  # whether a timer is to write what waits

    def _set_waiting(self, waiting: bool) -> None:
        """Called by the write buffer: data begins to wait for the socket, or none waits any more."""
        if self.closed:
            return
        try:
            self.server.loop.set_interest(self.sock, waiting)
        except OSError:
            # A passing ENOMEM must not close the connection and lose the answer that waits. Where nothing waits any
            # more, the kernel reports the socket as writable at each poll, and this is tried again then.
            self.server.counts["unwatched"] += 1
            if waiting and not self.pump_due:
                self.pump_due = True
                self.server.loop.call_at(clock() + RETRY_AFTER, self._pump_later)

    def _pump_later(self) -> None:
        self.pump_due = False
        if not self.closed:
            self.writable()
        if not self.closed and not self.write_buffer.empty():
            self._set_waiting(True)

    def request_expected(self) -> bool:
        """Returns whether a request is probably on its way: part of it was received, or the connection is new."""
        return (self.frames.begun or not self.answered) and clock() - self.waiting_since < NEW_CONNECTION_TIME

    def idle(self) -> bool:
        """Returns whether no request is open and no answer waits to be written."""
        return not self.open and self.write_buffer.empty()

    def readable(self) -> None:
        """Reads frames, or the end of the connection."""
        begun_at = clock()
        for _ in range(MAX_READS):
            if not self._read_piece() or clock() - begun_at > READ_ON_TIME:
                return

    def _read_piece(self) -> bool:
        """Reads once; returns whether to read on, since what was read may have a cancel or a close behind it."""
        if self.closed or self.sock.gettimeout() != 0:  # could not be made non-blocking yet: a read would wait
            return False
        now = clock()
        self.last_read_at = now
        # Where this process was stopped, or busy with others, a request may have waited in the kernel for as long.
        unread = self.server.loop.unread_for(self.sock, now)
        self.received_at = now - (unread if unread > MAX_UNREAD_TIME else 0.0)
        data = receive(self.sock, READ_SIZE)
        self.server.loop.data_read(self.sock, data is not None and len(data) == READ_SIZE)
        if data:
            self._handle_data(data)
        elif data is not None:
            self.close()
        return bool(data) and unread > READ_ON_AFTER

    def _handle_data(self, data: bytes) -> None:
        """Handles the frames that data completes."""
        if self.ending:  # a close or a cancel of the client still ends what it has open
            self._read_cancels(data)
            return
        self.server.reads += 1
        was_begun = self.frames.begun
        try:
            frames = self.frames.feed(data)
            if frames or not was_begun:
                self.waiting_since = clock()
            for frame in frames:
                self._handle_frame(frame)
            if self.frames.invalid and not self.ending:
                raise thrift.MalformedMessageError("a length that no frame may have")
        except thrift.MalformedMessageError as error:
            self._reject_connection(error.number, str(error))

    def _read_cancels(self, data: bytes) -> None:
        """Reads only cancels, after an error: open requests are still answered, unless the client cancels them."""
        if self.frames.invalid:  # it is unknown where the next frame begins
            return
        with suppress(thrift.MalformedMessageError):
            for frame in self.frames.feed(data):
                self._cancel_by(frame)

    def _cancel_by(self, frame: bytes) -> None:
        try:
            message = thrift.read(frame)
        except thrift.MalformedMessageError:
            return
        if message.verb == "cancelRequest":
            self._cancel(message.about)

    def _cancel(self, number: int) -> None:
        if (pending := self.open.get(number)) is not None:
            self.release(pending)
            if pending.router_id is None:  # the coordinator has not received it, and drops it
                pending.closed = True
            self.server.post(RequestCancelled(pending))
        if self.ending and self.idle():
            self.close()

    def _reject_connection(self, number: int | None, reason: str) -> None:
        """Sends an error, with the number where it is known, then ends: nothing after it can be trusted."""
        self.server.counts["unreadable"] += 1
        if number is None or number not in self.open:
            self.write(thrift.problem("dispatch", number or 0, reason))
        self.end()

    def _handle_frame(self, frame: bytes) -> None:
        if self.closed:
            return
        if self.ending:
            self._cancel_by(frame)
            return
        try:
            self._handle_message(thrift.read(frame))
        except thrift.MalformedMessageError as error:
            self._reject_connection(error.number, str(error))

    def _handle_message(self, message: thrift.Message) -> None:
        if message.verb == "alive":
            self.write(thrift.answer("alive", message.number, b"", self.server.is_serving()))
        elif message.verb == "cancelRequest":
            self._cancel(message.about)
        elif message.verb != "dispatch":
            self.server.count_invalid(f"method {message.verb[:20]!r}")
            self.write(
                thrift.problem(
                    message.verb[:MAX_UNKNOWN_METHOD_QUOTED], message.number, "no such method", thrift.UNKNOWN_METHOD
                )
            )
        elif message.number <= self.last_number:
            raise thrift.MalformedMessageError(f"number {message.number} after {self.last_number}", message.number)
        else:
            self._dispatch(message)

    def _dispatch(self, message: thrift.Message) -> None:
        server = self.server
        self.last_number = message.number
        try:
            request = check(message, server.request_classes, server.tenants)
            if len(self.open) >= MAX_OPEN_REQUESTS:
                raise InvalidRequestError(f"{MAX_OPEN_REQUESTS} requests are open on this connection")
            if request.call.ident in server.open:
                raise InvalidRequestError("a request of that id is open")
        except InvalidRequestError as error:
            server.count_invalid(str(error))
            self.write(thrift.problem("dispatch", message.number, str(error)))
            return
        time_left = server.time_for(request.time_left)
        pending = PendingRequest(self, message.number, request.request_class, request.call, time_left)
        pending.received_at = self.received_at
        self.open[message.number] = server.open[request.call.ident] = pending
        if reason := server.busy() or (None if time_left else RejectionReason.STOPPING):
            server.counts["rejected"] += 1
            pending.reject(reason)
        else:
            server.post(RequestReceived(pending))

    def release(self, pending: PendingRequest) -> bool:
        """Removes a request from those open; False where it was removed already."""
        if self.open.get(pending.ident) is not pending:
            return False
        del self.open[pending.ident]
        self.server.open.pop(pending.params.ident, None)
        self.last_used_at = clock()
        return True

    def write(self, frame: bytes) -> None:
        """Writes without waiting; closes the connection of a client that reads too little."""
        if self.closed:
            return
        self.answered = True
        try:
            if self.write_buffer.put(OutgoingMessage(frame)) and self.ending and not self.open:
                self.close()
        except (PeerTooSlowError, OSError):
            self.server.counts["unread"] += 1
            self.close()

    def writable(self) -> None:
        """Writes what waits."""
        try:
            self.write_buffer.send_waiting()
        except OSError:
            self.close()
            return
        if self.ending and not self.open and self.write_buffer.empty():
            self.close()

    def broken(self) -> None:
        """Serving it raised an exception: ends it after the answers to open requests; at once the second time."""
        if self.ending:
            self.close()
        else:
            self.end()

    def end(self) -> None:
        """Accepts no more requests; closes once those open are answered, or when the client closes it."""
        if self.closed or self.ending:
            return
        self.ending = True
        self.waiting_since = clock()
        if self.idle():
            self.close()

    def close(self) -> None:
        """Closes it at once; its open requests get no answer."""
        if self.closed:
            return
        self.closed = True
        server = self.server
        pending_requests = list(self.open.values())
        server.clients.pop(self.number, None)
        server.release_socket(self)
        self.write_buffer.drop()
        for pending in pending_requests:
            server.open.pop(pending.params.ident, None)
            pending.closed = pending.closed or pending.router_id is None
        self.open.clear()
        if pending_requests:
            server.post(ClientClosed(pending_requests))
