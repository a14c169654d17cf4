"""One client connection: a thread reads its requests, and a write buffer sends the answers.

The protocol is JSON-RPC 2.0 with one object or batch per line (docs/protocol.md). Requests are checked here and then
belong to the coordinator.
"""

import socket
import threading
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from wickdyke.config.gateway_sections import ServerLimits
from wickdyke.gateway import interfaces
from wickdyke.gateway.events import Event, RequestCancelled, RequestReceived
from wickdyke.gateway.interfaces import RejectionReason
from wickdyke.jsonrpc.requests import CheckedRequest, RequestChecker
from wickdyke.protocol import client_messages, jsonrpc
from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.transport.stall_detector import StallDetector
from wickdyke.transport.timed_reader import ReceivedData, TimedReader
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer

READ_SIZE = 1 << 18  # bytes read at a time
STACK_SIZE = 512 * 1024  # bytes of a thread's stack, measured to be enough for the decoder's deepest nesting


class ConnectionOwner(Protocol):
    """The part of a client server that its connections use."""

    bounds: ServerLimits
    checker: RequestChecker
    counts: Counter[str]
    stalls: StallDetector
    post: Callable[[Event], None]
    warn: Callable[..., object]

    def rejection_reason(self, client: "ClientConnection") -> RejectionReason | None:
        """Returns why a request of this connection can't be accepted now, or None if it can."""

    def client_closed(self, client: "ClientConnection") -> None:
        """Called when a connection has ended, to drop its open requests."""


class Batch:
    """Collects the answers to a batch of `requests` requests and sends them together when the last is added."""

    def __init__(self, client: "ClientConnection", requests: int) -> None:
        self.client = client
        self.unanswered = requests
        self.bodies: list[bytes] = []
        self.lock = threading.Lock()

    def answer(self, body: bytes | None) -> None:
        """Adds the answer to one request, or None for a request that gets no answer."""
        with self.lock:
            if body is not None:
                self.bodies.append(body)
            self.unanswered -= 1
            if self.unanswered or not self.bodies:
                return
        self.client.write(b"[" + b",".join(self.bodies) + b"]\n")


class PendingRequest(interfaces.PendingRequest):
    """One request of a client, either single or part of a batch."""

    __slots__ = ("batch",)

    client: "ClientConnection"

    def __init__(
        self, client: "ClientConnection", checked: CheckedRequest, batch: Batch | None, received_at: float
    ) -> None:
        super().__init__(
            client,
            checked.ident,
            checked.request_class,
            checked.params,
            checked.time_left,
            checked.route_policy,
        )
        self.batch = batch
        self.received_at = received_at

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends the worker's output as the final answer, with the number of attempts."""
        self.answer(client_messages.success_response(self.ident, output, attempts))

    def reject(self, reason: str, retry_after: float | None = None) -> None:
        """Sends a rejection as the final answer: there was no effect, and a retry is allowed after `retry_after` ms."""
        self.answer(client_messages.rejection_response(self.ident, reason, retry_after))

    def fail(self, reason: str) -> None:
        """Sends a failure as the final answer: the request may or may not have had an effect."""
        self.answer(client_messages.failure_response(self.ident, reason))

    def answer(self, body: bytes) -> None:
        """Sends the final answer, unless the client has cancelled the request."""
        # A cancel that was read meanwhile has freed the id, and another request may be using it by now.
        if self.client.release(self):
            self.client.answer(body, self.batch)


class ClientConnection:
    """One connection of a client; `pending` holds its open requests by their ids.

    `connected_after` (monotonic ms) is the earliest time at which the connection may have been made.
    """

    def __init__(
        self, owner: ConnectionOwner, sock: socket.socket, number: int, connected_after: float | None = None
    ) -> None:
        self.owner = owner
        self.sock = sock
        self.number = number
        self.write_buffer = WriteBuffer(sock, owner.bounds.unread_bytes, f"client-{number}-out")
        self.pending: dict[jsonrpc.Ident, PendingRequest] = {}
        self.lock = threading.Lock()  # guards `pending`
        self.reader = TimedReader(sock, owner.stalls, READ_SIZE, connected_after)
        self.received = ReceivedData(b"", 0.0, False, False)  # the data read last
        # Requests that waited unread; they are posted once all data that was read with them is handled.
        self.unposted_requests: list[PendingRequest] = []

    # ---- writing ----

    def answer(self, body: bytes | None, batch: Batch | None) -> None:
        """Sends an answer, or adds it to its batch; None for a request that gets none."""
        if batch is not None:
            batch.answer(body)
        elif body is not None:
            self.write(body + b"\n")

    def write(self, line: bytes) -> None:
        """Writes a line without waiting for the client; a client that reads too slowly is disconnected."""
        try:
            self.write_buffer.put(OutgoingMessage(line))
        except PeerTooSlowError as error:
            self._log_disconnected(f"does not read: {error}")
            self.owner.counts["unread"] += 1
            self.write_buffer.close()
        except OSError:
            self.write_buffer.close()
        except RuntimeError as error:  # the thread of the write buffer could not be started
            self._log_disconnected(str(error))
            self.write_buffer.close()

    def _log_disconnected(self, reason: str) -> None:
        self.owner.warn("client disconnected", client=self.number, reason=reason)

    # ---- open ids ----

    def release(self, pending: PendingRequest) -> bool:
        """Frees the id of a request, so that it may be used again; returns False if it was free already."""
        with self.lock:
            if self.pending.get(pending.ident) is not pending:
                return False
            del self.pending[pending.ident]
            return True

    def release_all(self) -> list[PendingRequest]:
        """Frees the ids of all open requests and returns these requests."""
        with self.lock:
            pending_requests = list(self.pending.values())
            self.pending = {}
        return pending_requests

    def _register(self, pending: PendingRequest) -> None:
        ident = pending.ident
        with self.lock:
            if ident in self.pending:
                # The error has no id: with it, the client would take it for the final answer of the other request.
                raise jsonrpc.MalformedRequestError(
                    jsonrpc.INVALID_REQUEST, f"id: {ident!r} is in use by a call that is not answered yet"
                )
            self.pending[ident] = pending

    # ---- reading, by a thread of its own ----

    def read(self) -> None:
        """Reads requests until the client closes the connection."""
        lines = LineReader(self.owner.bounds.line_bytes)
        try:
            while not (received := self.reader.read()).at_end:
                self._handle(received, lines)
        except LineTooLongError as error:
            self.owner.counts["malformed"] += 1
            malformed = jsonrpc.MalformedRequestError(jsonrpc.INVALID_REQUEST, str(error))
            self.write(jsonrpc.malformed_request_response(malformed) + b"\n")
            self._log_disconnected(str(error))
        except OSError:
            pass
        finally:
            # Answers already handed to the kernel still reach a client that reads.
            self.write_buffer.close()
            self.owner.client_closed(self)
            self.reader.close()
            self.sock.close()

    def _handle(self, received: ReceivedData, lines: LineReader) -> None:
        """Handles the lines completed by the data. A request that waited unread and is cancelled in it isn't posted."""
        self.received = received
        try:
            for line in lines.feed(received.data):
                self._handle_line(line)
        finally:
            for pending in self.unposted_requests:
                self.owner.post(RequestReceived(pending))
            self.unposted_requests.clear()

    def _handle_line(self, line: bytes) -> None:
        requests = list(jsonrpc.parse_requests(line))
        if not jsonrpc.is_batch(line) or _is_unreadable(requests):
            for request in requests:
                self._handle_request(request, None, None)
            return
        # One array answers all requests, so it is late if it comes after the first of their deadlines: all of them get
        # the shortest time.
        max_time_left = self.owner.checker.shortest_time_left(requests)
        batch = Batch(self, len(requests))
        for request in requests:
            self._handle_request(request, batch, max_time_left)

    def _handle_request(
        self, request: jsonrpc.Request | jsonrpc.MalformedRequestError, batch: Batch | None, max_time_left: float | None
    ) -> None:
        try:
            if isinstance(request, jsonrpc.MalformedRequestError):
                raise request
            if request.method == "cancel":
                self._cancel(self.owner.checker.cancelled_id(request))
                self.answer(None, batch)
                return
            checked = self.owner.checker.check(request, max_time_left)
            pending = PendingRequest(self, checked, batch, self.received.received_at)
            self._register(pending)
        except jsonrpc.MalformedRequestError as error:
            self.owner.counts["malformed"] += 1
            is_notification = isinstance(request, jsonrpc.Request) and request.is_notification
            self.answer(None if is_notification else jsonrpc.malformed_request_response(error), batch)
            return
        self._submit(pending)

    def _submit(self, pending: PendingRequest) -> None:
        reason = self.owner.rejection_reason(self)
        if reason is None and self.received.may_have_waited:
            self.unposted_requests.append(pending)
            return
        if reason is None:
            self.owner.post(RequestReceived(pending))
            return
        self.release(pending)
        self.owner.counts["refused"] += 1
        self.answer(client_messages.rejection_response(pending.ident, reason), pending.batch)

    def _cancel(self, ident: jsonrpc.Ident) -> None:
        with self.lock:
            pending = self.pending.pop(ident, None)
        if pending is None:
            return
        if pending.batch is not None:
            pending.batch.answer(None)
        if pending in self.unposted_requests:
            self.unposted_requests.remove(pending)
        else:
            self.owner.post(RequestCancelled(pending))


def _is_unreadable(requests: list[jsonrpc.Request | jsonrpc.MalformedRequestError]) -> bool:
    """Returns whether a batch could not be parsed: a single error without an id, which is answered by one object."""
    return len(requests) == 1 and isinstance(requests[0], jsonrpc.MalformedRequestError) and requests[0].ident is None
