"""One connection of a client: frames in, checked requests to the coordinator, one answer for each.

Whoever sends what can't be used gets an application exception or a close; nothing of it reaches a worker.
"""

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from wickdyke.gateway import interfaces
from wickdyke.gateway.events import ClientClosed, RequestCancelled, RequestReceived
from wickdyke.platform import thrift
from wickdyke.platform.requests import InvalidRequest, check
from wickdyke.transport.event_loop import clock, received
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlow, WriteBuffer

if TYPE_CHECKING:
    from wickdyke.platform.client_server import ClientServer

READ_SIZE = 1 << 15  # bytes read at a time
OPEN_MOST = 32  # requests open on one connection
UNREAD_MOST = 1 << 18  # bytes of answers that may wait for a client
NEW = 500.0  # ms in which a connection counts as one that has only just come
RETRY = 20.0  # ms after which a system call that failed for a moment is tried again
READ_AGAIN_AFTER = 50.0  # ms after which a client is read again before an attempt begins on its behalf


class PendingRequest(interfaces.PendingRequest):
    """One request of a client."""

    __slots__ = ()

    def succeed(self, output: bytes, attempts: int) -> None:
        """Its final answer, with what the worker gave."""
        self._say(thrift.answer("dispatch", self.ident, output))

    def reject(self, why: str, retry_after: float | None = None) -> None:
        """Its final answer: nothing was done."""
        fields = {} if retry_after is None else {"w": str(max(1, round(retry_after)))}
        self._say(thrift.shed("dispatch", self.ident, fields))

    def fail(self, why: str) -> None:
        """Its final answer: nothing is promised."""
        self._say(thrift.fault("dispatch", self.ident, {}))

    def still_wanted(self) -> bool:
        """Whether its client still waits: what it sent meanwhile (a cancel, the end) is read first."""
        # On a busy machine a cancel or a close waits in the kernel while a retry is decided. Also a hedge.
        # What is read is handled as ever.
        client = self.client
        if clock() - client.looked > READ_AGAIN_AFTER:
            client.server.read_all(client)
        return client.open.get(self.ident) is self

    def _say(self, frame: bytes) -> None:
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
        self.last = 0
        # When what is begun began; when it was last of use; when it was last read.
        self.since = self.used = self.looked = clock()
        self.answered = self.ending = self.closed = False
        self.watched = self.pump_due = False  # whether the loop serves it; whether a timer is to write what waits

    def _waits(self, waits: bool) -> None:
        if self.closed:
            return
        try:
            self.server.loop.want(self.sock, waits)
        except OSError:
            # ENOMEM of a moment, passed on, would close the connection and lose the answer that waits. Where
            # nothing waits any more, the kernel tells of it in each turn, and this is tried again then.
            self.server.counts["unwatched"] += 1
            if waits and not self.pump_due:
                self.pump_due = True
                self.server.loop.at(clock() + RETRY, self._pump_later)

    def _pump_later(self) -> None:
        self.pump_due = False
        if not self.closed:
            self.writable()
        if not self.closed and not self.write_buffer.empty():
            self._waits(True)

    def expected(self) -> bool:
        """Whether a request is probably on its way: part of it has come, or the connection is new."""
        return (self.frames.begun or not self.answered) and clock() - self.since < NEW

    def idle(self) -> bool:
        """Whether nothing is owed to it."""
        return not self.open and self.write_buffer.empty()

    def readable(self) -> None:
        """Frames, or its end."""
        if self.closed or self.sock.gettimeout() != 0:  # could not be made non-blocking yet: a read would wait
            return
        self.looked = clock()
        data = received(self.sock, READ_SIZE)
        if not data:
            if data is not None:
                self.close()
            return
        if self.ending:  # whoever closes has gone, and what it has open goes no further; so it is with what it cancels
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
        """After an error only cancels count: what is open is answered still, unless the client takes it back."""
        if self.frames.spoilt:  # where the next frame begins is not known any more
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
            if pending.router_id is None:  # still waits for the desk: hundreds taken back at once are no load
                pending.closed = True
            self.server.post(RequestCancelled(pending))
        if self.ending and self.idle():
            self.close()

    def _refuse(self, number: int | None, why: str) -> None:
        """An error under the number where it can be told, then the end: nothing after it can be trusted."""
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
            self.write(thrift.problem(message.verb[:64], message.number, "no such method", thrift.UNKNOWN_METHOD))
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
        """It is owed nothing more; False where it was not already."""
        if self.open.get(pending.ident) is not pending:
            return False
        del self.open[pending.ident]
        self.server.open.pop(pending.call.ident, None)
        self.used = clock()
        return True

    def write(self, frame: bytes) -> None:
        """Writes without waiting; whoever does not read is hung up on."""
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
        """What waits may go on."""
        try:
            self.write_buffer.pump()
        except OSError:
            self.close()
            return
        if self.ending and not self.open and self.write_buffer.empty():
            self.close()

    def broken(self) -> None:
        """It ends, after the answers to what is open; at once where it breaks again."""
        if self.ending:
            self.close()
        else:
            self.end()

    def end(self) -> None:
        """Takes no more; closes when what is open is answered, or when the client does."""
        if self.closed or self.ending:
            return
        self.ending, self.since = True, clock()
        if self.idle():
            self.close()

    def close(self) -> None:
        """Ends it; what it had open is left."""
        if self.closed:
            return
        self.closed = True
        server, pending_requests = self.server, list(self.open.values())
        server.clients.pop(self.number, None)
        server.forget(self)
        self.write_buffer.drop()
        for pending in pending_requests:
            server.open.pop(pending.call.ident, None)
            pending.closed = pending.closed or pending.router_id is None
        self.open.clear()
        if pending_requests:
            server.post(ClientClosed(pending_requests))
