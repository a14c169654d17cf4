"""One connection of a client: frames in, checked requests to the coordinator, one answer for each.

A client that breaks the protocol gets an application exception or a close; nothing of that reaches a worker.
"""

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from wickdyke.gateway import interfaces
from wickdyke.gateway.events import ClientClosed, RequestCancelled, RequestReceived
from wickdyke.platform import thrift
from wickdyke.platform.requests import Call, InvalidRequest, check
from wickdyke.transport.event_loop import clock, received
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlow, WriteBuffer

if TYPE_CHECKING:
    from wickdyke.platform.client_server import ClientServer

READ_SIZE = 1 << 15  # bytes read at a time
OPEN_MOST = 32  # requests open on one connection
UNREAD_MOST = 1 << 18  # bytes of answers that may wait for a client
NEW_CONNECTION_TIME = 500.0  # ms in which a connection counts as new
RETRY_AFTER = 20.0  # ms until a system call is retried that failed for want of memory
UNKNOWN_METHOD_QUOTED_MOST = 64  # characters of its name in the error
READ_AGAIN_AFTER = 50.0  # ms after which a client is read again before an attempt begins on its behalf


class PendingRequest(interfaces.PendingRequest):
    """One request of a client."""

    __slots__ = ()

    client: "ClientConnection"
    ident: int
    params: Call

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends its final answer, with the worker's output."""
        self._answer(thrift.answer("dispatch", self.ident, output))

    def reject(self, why: str, retry_after: float | None = None) -> None:
        """Sends its final answer: it was rejected, and nothing was done."""
        fields = {} if retry_after is None else {"w": str(max(1, round(retry_after)))}
        self._answer(thrift.shed("dispatch", self.ident, fields))

    def fail(self, why: str) -> None:
        """Sends its final answer: it failed, and may have been carried out or not."""
        self._answer(thrift.fault("dispatch", self.ident, {}))

    def still_wanted(self) -> bool:
        """Whether its client still waits for an answer; a cancel or a close that has come meanwhile is read first."""
        # On a busy machine a cancel or a close waits in the kernel while a retry or a hedge is decided.
        client = self.client
        if clock() - client.last_read_at > READ_AGAIN_AFTER:
            client.server.read_all(client)
        return client.open.get(self.ident) is self

    def _answer(self, frame: bytes) -> None:
        if self.client.release(self):
            self.client.write(frame)


class ClientConnection:
    """One connection of a client."""

    first = False  # its events are served after those of workers

    def __init__(self, server: "ClientServer", sock: socket.socket, number: int) -> None:
        self.server, self.sock, self.number = server, sock, number
        self.write_buffer = WriteBuffer(sock, UNREAD_MOST, "client", self._waits)
        self.frames = thrift.Frames()
        self.open: dict[int, PendingRequest] = {}
        self.last = 0  # number of the last request
        self.since = clock()  # when the incomplete frame, or the wait for the first one, began
        self.used = clock()  # when it last got an answer
        self.last_read_at = clock()
        self.answered = False  # whether anything was written to it
        self.ending = self.closed = False
        self.watched = False  # whether the loop serves it
        self.pump_due = False  # whether a timer is to write what waits

    def _waits(self, waits: bool) -> None:
        if self.closed:
            return
        try:
            self.server.loop.want(self.sock, waits)
        except OSError:
            # A passing ENOMEM must not close the connection and lose the answer that waits. Where nothing waits any
            # more, the kernel reports the socket as writable in each turn, and this is tried again then.
            self.server.counts["unwatched"] += 1
            if waits and not self.pump_due:
                self.pump_due = True
                self.server.loop.at(clock() + RETRY_AFTER, self._pump_later)

    def _pump_later(self) -> None:
        self.pump_due = False
        if not self.closed:
            self.writable()
        if not self.closed and not self.write_buffer.empty():
            self._waits(True)

    def expected(self) -> bool:
        """Whether a request is probably on its way: part of it has come, or the connection is new."""
        return (self.frames.begun or not self.answered) and clock() - self.since < NEW_CONNECTION_TIME

    def idle(self) -> bool:
        """Whether nothing is owed to it."""
        return not self.open and self.write_buffer.empty()

    def readable(self) -> None:
        """Reads frames, or the end of the connection."""
        if self.closed or self.sock.gettimeout() != 0:  # could not be made non-blocking yet: a read would wait
            return
        self.last_read_at = clock()
        data = received(self.sock, READ_SIZE)
        if not data:
            if data is not None:
                self.close()
            return
        if self.ending:  # a close or a cancel of the client still ends what it has open
            self._read_cancels(data)
            return
        self.server.reads += 1
        begun = self.frames.begun
        try:
            frames = self.frames.feed(data)
            if frames or not begun:
                self.since = clock()
            for frame in frames:
                self._frame(frame)
            if self.frames.spoilt and not self.ending:
                raise thrift.Unreadable("a length that no frame may have")
        except thrift.Unreadable as error:
            self._refuse(error.number, str(error))

    def _read_cancels(self, data: bytes) -> None:
        """After an error only cancels are read: open requests are answered still, unless the client cancels them."""
        if self.frames.spoilt:  # it is unknown where the next frame begins
            return
        with suppress(thrift.Unreadable):
            for frame in self.frames.feed(data):
                self._cancel_in(frame)

    def _cancel_in(self, frame: bytes) -> None:
        try:
            message = thrift.read(frame)
        except thrift.Unreadable:
            return
        if message.verb == "cancelRequest":
            self._cancel(message.about)

    def _cancel(self, number: int) -> None:
        if (pending := self.open.get(number)) is not None:
            self.release(pending)
            if pending.router_id is None:  # the coordinator has not seen it, and drops it without work
                pending.closed = True
            self.server.post(RequestCancelled(pending))
        if self.ending and self.idle():
            self.close()

    def _refuse(self, number: int | None, why: str) -> None:
        """Sends an error, under the number where it is known, then ends: nothing after it can be trusted."""
        self.server.counts["unreadable"] += 1
        if number is None or number not in self.open:
            self.write(thrift.problem("dispatch", number or 0, why))
        self.end()

    def _frame(self, frame: bytes) -> None:
        if self.closed:
            return
        if self.ending:
            self._cancel_in(frame)
            return
        try:
            self._message(thrift.read(frame))
        except thrift.Unreadable as error:
            self._refuse(error.number, str(error))

    def _message(self, message: thrift.Message) -> None:
        if message.verb == "alive":
            self.write(thrift.answer("alive", message.number, b"", self.server.alive()))
        elif message.verb == "cancelRequest":
            self._cancel(message.about)
        elif message.verb != "dispatch":
            self.server.count_invalid(f"method {message.verb[:20]!r}")
            self.write(
                thrift.problem(
                    message.verb[:UNKNOWN_METHOD_QUOTED_MOST], message.number, "no such method", thrift.UNKNOWN_METHOD
                )
            )
        elif message.number <= self.last:
            raise thrift.Unreadable(f"number {message.number} after {self.last}", message.number)
        else:
            self._dispatch(message)

    def _dispatch(self, message: thrift.Message) -> None:
        server, self.last = self.server, message.number
        try:
            request_class, call, time_left = check(message, server.request_classes, server.tenants)
            if len(self.open) >= OPEN_MOST:
                raise InvalidRequest(f"{OPEN_MOST} requests are open on this connection")
            if call.ident in server.open:
                raise InvalidRequest("a request of that id is open")
        except InvalidRequest as error:
            server.count_invalid(str(error))
            self.write(thrift.problem("dispatch", message.number, str(error)))
            return
        time_left = server.time_for(time_left)
        pending = PendingRequest(self, message.number, request_class, call, time_left)
        pending.received_at = clock()
        self.open[message.number] = server.open[call.ident] = pending
        if busy := server.busy() or ("" if time_left else "stopping"):
            server.counts["turned_away"] += 1
            pending.reject(busy)
        else:
            server.post(RequestReceived(pending))

    def release(self, pending: PendingRequest) -> bool:
        """Closes a request of this connection; False where it was closed already."""
        if self.open.get(pending.ident) is not pending:
            return False
        del self.open[pending.ident]
        self.server.open.pop(pending.params.ident, None)
        self.used = clock()
        return True

    def write(self, frame: bytes) -> None:
        """Writes without waiting; closes the connection of a client that reads too little."""
        if self.closed:
            return
        self.answered = True
        try:
            if self.write_buffer.put(OutgoingMessage(frame)) and self.ending and not self.open:
                self.close()
        except (PeerTooSlow, OSError):
            self.server.counts["unread"] += 1
            self.close()

    def writable(self) -> None:
        """Writes what waits."""
        try:
            self.write_buffer.pump()
        except OSError:
            self.close()
            return
        if self.ending and not self.open and self.write_buffer.empty():
            self.close()

    def broken(self) -> None:
        """Serving it raised: ends it after the answers to open requests; at once the second time."""
        if self.ending:
            self.close()
        else:
            self.end()

    def end(self) -> None:
        """Takes no more requests; closes once those open are answered, or when the client does."""
        if self.closed or self.ending:
            return
        self.ending, self.since = True, clock()
        if self.idle():
            self.close()

    def close(self) -> None:
        """Closes it at once; its open requests get no answer."""
        if self.closed:
            return
        self.closed = True
        server, pending_requests = self.server, list(self.open.values())
        server.clients.pop(self.number, None)
        server.forget(self)
        self.write_buffer.drop()
        for pending in pending_requests:
            server.open.pop(pending.params.ident, None)
            pending.closed = pending.closed or pending.router_id is None
        self.open.clear()
        if pending_requests:
            server.post(ClientClosed(pending_requests))
