"""One connection of a client: reads frames, posts valid requests to the coordinator, and writes one answer to each.

A client that violates the protocol gets an application exception or is disconnected; its data never reaches a worker.
"""

import socket
from contextlib import suppress

from wickdyke.gateway.events import ClientClosed, RequestCancelled, RequestReceived
from wickdyke.gateway.interfaces import RejectionReason
from wickdyke.platform import thrift
from wickdyke.platform.client_close import CloseReason
from wickdyke.platform.client_observer import ClientObserver
from wickdyke.platform.client_owner import ClientOwner
from wickdyke.platform.client_request import PendingRequest
from wickdyke.platform.memory_budget import MemoryAccount
from wickdyke.platform.requests import InvalidRequestError, check_request
from wickdyke.transport.event_loop import Priority, clock
from wickdyke.transport.sockets import receive
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer

READ_SIZE = 1 << 15  # bytes read at a time
MAX_OPEN_REQUESTS = 32  # maximum number of open requests of one connection
MAX_BUFFERED_BYTES = 1 << 18  # bytes of answers that may wait to be sent to a client
NEW_CONNECTION_TIME = 500.0  # ms for which a connection counts as new
SYSCALL_RETRY_DELAY = 20.0  # ms until a system call that failed for lack of memory is retried
MAX_UNKNOWN_METHOD_QUOTED = 64  # characters of an unknown method name that an error quotes
# Requests that waited unread in the kernel for at most this long (ms) count as received when they are read.
MAX_UNREAD_TIME = 60.0
MAX_READS_PER_CALL = 8  # consecutive reads of one connection, to get all data that the kernel has received
# Data that has waited unread for longer than this (ms) may be followed by a cancel or a close: reading continues.
UNREAD_AGE_THRESHOLD = 20.0
MAX_READ_TIME = 10.0  # ms that consecutive reads may take: other connections wait meanwhile


class ClientConnection:
    """One connection of a client; `number` identifies it in the server."""

    priority = Priority.NORMAL

    def __init__(self, server: "ClientOwner[ClientConnection]", sock: socket.socket, number: int) -> None:
        self.server = server
        self.sock = sock
        self.number = number
        self.write_buffer = WriteBuffer(sock, MAX_BUFFERED_BYTES, "client", self._set_waiting)
        self.frame_parser = thrift.FrameParser()
        self.memory = MemoryAccount(server.budget)
        self.open_requests: dict[int, PendingRequest] = {}
        self.last_request_number = 0  # number of the last request
        self.waiting_since = clock()  # ms; when the incomplete frame, or the wait for the first one, began
        self.last_used_at = clock()  # ms; when a request last ended
        self.observer = ClientObserver(server.withdrawal_detector)
        self.received_at = clock()  # ms; by when the data last read had certainly arrived
        self.bytes_read = 0
        self.answered = False  # whether anything was written to the client
        self.ending = False  # accepts no more requests, and is closed after the last answer
        self.closed = False
        self.pump_scheduled = False  # whether a timer is set to write the data that waits

    def _set_waiting(self, waiting: bool) -> None:
        """Requests writable events while data waits in the write buffer, which calls this at each change."""
        if self.closed:
            return
        try:
            self.server.loop.set_interest(self.sock, waiting)
        except OSError:
            # A temporary ENOMEM must not close the connection and lose the answer that waits. If no data waits any
            # more, the kernel reports the socket as writable at each poll, and the call is repeated then.
            self.server.counts["unwatched"] += 1
            if waiting and not self.pump_scheduled:
                self.pump_scheduled = True
                self.server.loop.call_at(clock() + SYSCALL_RETRY_DELAY, self._retry_pump)

    def _retry_pump(self) -> None:
        self.pump_scheduled = False
        if not self.closed:
            self.writable()
        if not self.closed and not self.write_buffer.empty():
            self._set_waiting(True)

    def request_expected(self) -> bool:
        """Returns whether a request is probably in transit: part of it was received, or the connection is new."""
        return (
            self.frame_parser.has_partial_frame or not self.answered
        ) and clock() - self.waiting_since < NEW_CONNECTION_TIME

    def is_present(self) -> bool:
        """Returns whether the client counts as present; a cancel or a close that has come is handled by then."""
        return self.observer.is_present(self)

    def read_all(self) -> None:
        """Reads the data that the client has sent so far, up to a limit."""
        self.server.read_all(self)

    def read_ahead(self, size: int) -> None:
        """Reads up to `size` bytes of the client's data ahead of its turn, which comes later for that."""
        self.server.read_ahead(self, size)

    def count_refused_absent(self) -> None:
        """Counts an attempt that does not begin, as it is not known whether the client is still there."""
        self.server.counts["presence_unknown"] += 1

    def idle(self) -> bool:
        """Returns whether no request is open and all answers were written."""
        return not self.open_requests and self.write_buffer.empty()

    def readable(self) -> None:
        """Reads frames, or the end of the stream."""
        self.read_until(self.bytes_read + self.server.max_unread_bytes)

    def read_until(self, end: int) -> None:
        """Reads frames, or the end of the stream, until `end` bytes of the connection in all were read."""
        started_at = clock()
        for _ in range(MAX_READS_PER_CALL):
            if not self._read_once() or self.bytes_read >= end or clock() - started_at > MAX_READ_TIME:
                return

    def _read_once(self) -> bool:
        """Reads once; returns whether to read again, since a cancel or a close may follow the data that was read."""
        if self.closed or self.sock.gettimeout() != 0:  # not yet non-blocking: a read would block
            return False
        now = clock()
        # If this process was stopped or busy, a request may have waited in the kernel for that time.
        unread_time = self.server.loop.unread_for(self.sock, now)
        self.observer.lease.nothing_waited(now - unread_time)
        self.received_at = now - (unread_time if unread_time > MAX_UNREAD_TIME else 0.0)
        received = receive(self.sock, READ_SIZE)
        data = received.data
        if received.nothing_waited:
            self.observer.lease.renew(now)
        self.server.loop.data_read(self.sock, data is not None and len(data) == READ_SIZE)
        if data:
            self.observer.lease.data_read(now)
            self.bytes_read += len(data)
            self._handle_data(data)
        elif data is not None:
            self.close(CloseReason.CLIENT_CLOSED)
        return bool(data) and unread_time > UNREAD_AGE_THRESHOLD

    def _handle_data(self, data: bytes) -> None:
        """Handles the frames that the data completes."""
        if self.ending:  # the client may still cancel its open requests
            self._read_cancels(data)
            self._count_buffers()
            return
        self.server.read_count += 1
        had_partial_frame = self.frame_parser.has_partial_frame
        try:
            frames = self.frame_parser.feed(data)
            discarded = self.frame_parser.take_discarded()
            if frames or discarded is not None or not had_partial_frame:
                self.waiting_since = clock()
                self.server.reclaimer.frame_begun(self)
            if discarded is not None:
                self._refuse_discarded(discarded)
            for frame in frames:
                self._handle_frame(frame)
            if self.frame_parser.next_frame_invalid and not self.ending:
                raise thrift.MalformedMessageError("a length that no frame may have")
        except thrift.MalformedMessageError as error:
            self._reject_connection(error.number, str(error))
        if self.ending:
            self._discard_large_frame()
        self._count_buffers()

    def _refuse_discarded(self, start: bytes) -> None:
        """Rejects a request whose frame was discarded. Raises MalformedMessageError where it is no request."""
        header = thrift.parse_header(start)
        if header.method != b"dispatch" or header.number <= self.last_request_number:
            raise thrift.MalformedMessageError("no new request in a large frame", header.number)
        self.last_request_number = header.number
        self.server.counts["rejected"] += 1
        self.write(thrift.encode_shed("dispatch", header.number, {}))

    def _count_buffers(self) -> None:
        """Counts what the buffers of this connection hold, and frees memory where all connections hold too much."""
        self._record_buffers()
        self.server.reclaimer.reclaim(self.memory.budget)

    def _record_buffers(self) -> None:
        size = 0 if self.closed else self.frame_parser.buffered_bytes + self.write_buffer.bytes_waiting
        if size != self.memory.buffers:
            self.memory.set_buffers(size)
        self.server.reclaimer.update(self)

    @property
    def has_discardable_frame(self) -> bool:
        """Whether `discard_frame` would free memory."""
        return not self.closed and self.frame_parser.may_discard

    def discard_frame(self) -> None:
        """Drops what was received of an incomplete frame; its request is rejected once the rest has come."""
        self.server.counts["frames_discarded"] += 1
        self.frame_parser.discard()
        self._record_buffers()

    @property
    def unsent_bytes(self) -> int:
        """The bytes of answers that wait to be sent."""
        return 0 if self.closed else self.write_buffer.bytes_waiting

    def drop_unsent(self) -> None:
        """Closes the connection, whose client does not read its answers, to free their memory."""
        self.server.counts["unread"] += 1
        self.server.counts["unread_without_memory"] += 1
        self.close(CloseReason.UNREAD)

    def _read_cancels(self, data: bytes) -> None:
        """Handles only cancels, after an error: open requests are still answered unless the client cancels them."""
        parser = self.frame_parser
        if parser.next_frame_invalid:  # the start of the next frame is unknown
            return
        with suppress(thrift.MalformedMessageError):
            for frame in parser.feed(data):
                self._handle_cancel_frame(frame)
        self.server.counts["dropped"] += parser.take_discarded() is not None
        self._discard_large_frame()

    def _discard_large_frame(self) -> None:
        """Drops an incomplete frame that is too large for a cancel, which alone is still handled."""
        if self.frame_parser.may_discard:
            self.frame_parser.discard()

    def _handle_cancel_frame(self, frame: bytes) -> None:
        try:
            message = thrift.parse_message(frame)
        except thrift.MalformedMessageError:
            return
        if message.method == "cancelRequest":
            self._cancel_request(message.cancelled_number)
        else:
            self.server.counts["dropped"] += 1

    def _cancel_request(self, number: int) -> None:
        if (pending := self.open_requests.get(number)) is not None:
            self.release(pending)
            if pending.router_id is None:  # the coordinator has not handled it yet, and will drop it
                pending.closed = True
            self.server.post(RequestCancelled(pending))
        if self.ending and self.idle():
            self.close(CloseReason.ANSWERED)

    def _reject_connection(self, number: int | None, reason: str) -> None:
        """Sends an error, with the message number if known, then ends the connection: later data can't be parsed."""
        self.server.counts["unreadable"] += 1
        if number is None or number not in self.open_requests:
            self.write(thrift.encode_exception("dispatch", number or 0, reason))
        self.end()

    def _handle_frame(self, frame: bytes) -> None:
        if self.closed:
            return
        if self.ending:
            self._handle_cancel_frame(frame)
            return
        try:
            self._handle_message(thrift.parse_message(frame))
        except thrift.MalformedMessageError as error:
            self._reject_connection(error.number, str(error))

    def _handle_message(self, message: thrift.Message) -> None:
        if message.method == "alive":
            is_serving = self.server.is_serving()
            self.server.counts["alive_good" if is_serving else "alive_bad"] += 1
            self.write(thrift.encode_answer("alive", message.number, b"", is_serving))
        elif message.method == "cancelRequest":
            self._cancel_request(message.cancelled_number)
        elif message.method != "dispatch":
            self.server.count_invalid(f"method {message.method[:20]!r}")
            self.write(
                thrift.encode_exception(
                    message.method[:MAX_UNKNOWN_METHOD_QUOTED], message.number, "no such method", thrift.UNKNOWN_METHOD
                )
            )
        elif message.number <= self.last_request_number:
            raise thrift.MalformedMessageError(
                f"number {message.number} after {self.last_request_number}", message.number
            )
        else:
            self._dispatch(message)

    def _dispatch(self, message: thrift.Message) -> None:
        server = self.server
        self.last_request_number = message.number
        try:
            request = check_request(message, server.request_classes, server.tenants)
            if len(self.open_requests) >= MAX_OPEN_REQUESTS:
                raise InvalidRequestError(f"{MAX_OPEN_REQUESTS} requests are open on this connection")
            if request.parameters.ident in server.open_requests:
                raise InvalidRequestError("a request of that id is open")
            if server.ended_ids.is_known(request.parameters.ident, clock()):
                raise InvalidRequestError("a request of that id may have run")
        except InvalidRequestError as error:
            server.count_invalid(str(error))
            self.write(thrift.encode_exception("dispatch", message.number, str(error)))
            return
        time_left = server.limit_time_left(request.time_left)
        pending = PendingRequest(self, message.number, request.request_class, request.parameters, time_left)
        pending.received_at = self.received_at
        self.open_requests[message.number] = server.open_requests[request.parameters.ident] = pending
        if reason := self._rejection_reason(pending, len(message.body)):
            server.counts["rejected"] += 1
            pending.reject(reason)
        else:
            pending.count_as(server.budget.size_of(len(message.body)))
            server.post(RequestReceived(pending))

    def _rejection_reason(self, pending: PendingRequest, body_size: int) -> RejectionReason | None:
        """Returns why the request can't be admitted, or None."""
        if reason := self.server.rejection_reason():
            return reason
        if not pending.time_left:
            return RejectionReason.STOPPING
        if not self.memory.admits(self.server.budget.size_of(body_size)):
            self.server.counts["no_memory"] += 1
            return RejectionReason.GATEWAY_FULL
        return None

    def release(self, pending: PendingRequest) -> bool:
        """Removes a request from the open ones; returns False where it was already removed."""
        if self.open_requests.get(pending.ident) is not pending:
            return False
        del self.open_requests[pending.ident]
        self.server.request_ended(pending)
        pending.drop_body()
        self.last_used_at = clock()
        return True

    def write(self, frame: bytes) -> None:
        """Writes a frame without blocking; closes the connection if the client reads too slowly."""
        if self.closed:
            return
        self.answered = True
        try:
            fully_sent = self.write_buffer.put(OutgoingMessage(frame))
            if not fully_sent:
                self._count_buffers()
            if fully_sent and self.ending and not self.open_requests:
                self.close(CloseReason.ANSWERED)
        except (PeerTooSlowError, OSError):
            self.server.counts["unread"] += 1
            self.close(CloseReason.UNREAD)

    def writable(self) -> None:
        """Writes the data that waits."""
        try:
            self.write_buffer.send_waiting()
        except OSError:
            self.close(CloseReason.WRITE_FAILED)
            return
        self._count_buffers()
        if self.ending and not self.open_requests and self.write_buffer.empty():
            self.close(CloseReason.ANSWERED)

    def broken(self) -> None:
        """Ends the connection after its handler raised an exception: once answered, or at once the second time."""
        if self.ending:
            self.close(CloseReason.FAULT)
        else:
            self.end(CloseReason.FAULT)

    def end(self, reason: CloseReason = CloseReason.ANSWERED) -> None:
        """Accepts no more requests; closes once the open ones are answered, or when the client closes."""
        if self.closed or self.ending:
            return
        self.ending = True
        self.waiting_since = clock()
        if self.idle():
            self.close(reason)

    def close(self, reason: CloseReason = CloseReason.SHUTDOWN) -> None:
        """Closes the connection immediately; its open requests get no answer."""
        if self.closed:
            return
        self.closed = True
        server = self.server
        server.counts[f"closed_{reason}"] += 1
        server.counts["closed_unanswered"] += len(self.open_requests)
        pending_requests = list(self.open_requests.values())
        server.clients.pop(self.number, None)
        server.release_socket(self)
        self.write_buffer.drop()
        self._record_buffers()
        for pending in pending_requests:
            server.request_ended(pending)
            pending.closed = pending.closed or pending.router_id is None
            pending.drop_body()
        self.open_requests.clear()
        if pending_requests:
            server.post(ClientClosed(pending_requests))
