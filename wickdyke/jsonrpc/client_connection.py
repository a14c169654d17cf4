"""One connection of a client: a thread reads requests from it, answers are sent by its write buffer.

JSON-RPC 2.0, one object or batch a line (docs/protocol.md). Requests are checked here, and owned by the coordinator
from then on.
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
STACK_SIZE = 512 * 1024  # bytes of a thread's stack: enough for the decoder's greatest nesting, as measured


class ConnectionOwner(Protocol):
    """What a client connection uses of the server that it belongs to."""

    bounds: ServerLimits
    checker: RequestChecker
    counts: Counter[str]
    stalls: StallDetector
    post: Callable[[Event], None]
    warn: Callable[..., object]

    def rejection_reason(self, client: "ClientConnection") -> RejectionReason | None:
        """Why a request of this connection can't be accepted now; None where it can."""

    def client_closed(self, client: "ClientConnection") -> None:
        """The connection has ended: its open requests are to be dropped."""


class Batch:
    """The answers to one batch of so many requests, sent together with the last."""

    def __init__(self, client: "ClientConnection", requests: int) -> None:
        self.client = client
        self.unanswered = requests
        self.bodies: list[bytes] = []
        self.lock = threading.Lock()

    def answer(self, body: bytes | None) -> None:
        """Adds one answer (None for a request that gets none)."""
        with self.lock:
            if body is not None:
                self.bodies.append(body)
            self.unanswered -= 1
            if self.unanswered or not self.bodies:
                return
        self.client.write(b"[" + b",".join(self.bodies) + b"]\n")


class PendingRequest(interfaces.PendingRequest):
    """One request of a client, alone or in a batch."""

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
        """Sends its final answer: the output of the worker, after so many attempts."""
        self.answer(client_messages.success_response(self.ident, output, attempts))

    def reject(self, reason: str, retry_after: float | None = None) -> None:
        """Sends its final answer: it had no effect, and may be retried after `retry_after` ms."""
        self.answer(client_messages.rejection_response(self.ident, reason, retry_after))

    def fail(self, reason: str) -> None:
        """Sends its final answer: it may have had an effect or not."""
        self.answer(client_messages.failure_response(self.ident, reason))

    def answer(self, body: bytes) -> None:
        """Sends the final answer, unless its client has cancelled it."""
        # A cancel that was read meanwhile has freed the id, which may be another request's by now.
        if self.client.release(self):
            self.client.answer(body, self.batch)


class ClientConnection:
    """One connection of a client; `pending` has its open requests by their ids.

    `connected_after` (monotonic ms) is when it was made at the earliest.
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
        self.received = ReceivedData(b"", 0.0, False, False)  # the last
        self.unposted: list[PendingRequest] = []  # requests that waited unread, until all read with them is handled

    # ---- writing ----

    def answer(self, body: bytes | None, batch: Batch | None) -> None:
        """Sends an answer, or adds it to its batch; None for a request that gets none."""
        if batch is not None:
            batch.answer(body)
        elif body is not None:
            self.write(body + b"\n")

    def write(self, line: bytes) -> None:
        """Writes without waiting; a client that does not read is disconnected."""
        try:
            self.write_buffer.put(OutgoingMessage(line))
        except PeerTooSlowError as error:
            self._log_disconnected(f"does not read: {error}")
            self.owner.counts["unread"] += 1
            self.write_buffer.close()
        except OSError:
            self.write_buffer.close()
        except RuntimeError as error:  # the thread that writes the rest could not be started
            self._log_disconnected(str(error))
            self.write_buffer.close()

    def _log_disconnected(self, reason: str) -> None:
        self.owner.warn("client disconnected", client=self.number, reason=reason)

    # ---- open ids ----

    def release(self, pending: PendingRequest) -> bool:
        """Its id may be used again; False where it was free already."""
        with self.lock:
            if self.pending.get(pending.ident) is not pending:
                return False
            del self.pending[pending.ident]
            return True

    def release_all(self) -> list[PendingRequest]:
        """Frees the ids of all open requests, and returns these."""
        with self.lock:
            pending_requests = list(self.pending.values())
            self.pending = {}
        return pending_requests

    def _register(self, pending: PendingRequest) -> None:
        ident = pending.ident
        with self.lock:
            if ident in self.pending:
                # Answered without the id: an error under it would pass for the final answer of the other request.
                raise jsonrpc.MalformedRequestError(
                    jsonrpc.INVALID_REQUEST, f"id: {ident!r} is in use by a call that is not answered yet"
                )
            self.pending[ident] = pending

    # ---- reading, by a thread of its own ----

    def read(self) -> None:
        """Reads requests until the client closes the connection."""
        lines = LineReader(self.owner.bounds.line_bytes)
        try:
            while not (received := self.reader.read()).ended:
                self._handle(received, lines)
        except LineTooLongError as error:
            self.owner.counts["malformed"] += 1
            malformed = jsonrpc.MalformedRequestError(jsonrpc.INVALID_REQUEST, str(error))
            self.write(jsonrpc.malformed_request_response(malformed) + b"\n")
            self._log_disconnected(str(error))
        except OSError:
            pass
        finally:
            # What is written already reaches a client that still reads.
            self.write_buffer.close()
            self.owner.client_closed(self)
            self.reader.close()
            self.sock.close()

    def _handle(self, received: ReceivedData, lines: LineReader) -> None:
        """Handles the lines that data completes. What waited unread and is cancelled by one of them is not posted."""
        self.received = received
        try:
            for line in lines.feed(received.data):
                self._line(line)
        finally:
            for pending in self.unposted:
                self.owner.post(RequestReceived(pending))
            self.unposted.clear()

    def _line(self, line: bytes) -> None:
        requests = list(jsonrpc.parse_requests(line))
        if not jsonrpc.is_batch(line) or _is_unreadable(requests):
            for request in requests:
                self._request(request, None, None)
            return
        # One array answers all, and the first deadline of any would be missed: all have the shortest time.
        max_time_left = self.owner.checker.shortest_time_left(requests)
        batch = Batch(self, len(requests))
        for request in requests:
            self._request(request, batch, max_time_left)

    def _request(
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
        if reason is None and self.received.waited:
            self.unposted.append(pending)
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
        if pending in self.unposted:
            self.unposted.remove(pending)
        else:
            self.owner.post(RequestCancelled(pending))


def _is_unreadable(requests: list[jsonrpc.Request | jsonrpc.MalformedRequestError]) -> bool:
    """Whether a batch could not be parsed: that is one error without an id, which is answered by one object."""
    return len(requests) == 1 and isinstance(requests[0], jsonrpc.MalformedRequestError) and requests[0].ident is None
