"""One connection of a client: a reader thread takes requests off it, answers go out by its write buffer.

JSON-RPC 2.0, one object or batch a line (docs/protocol.md). Requests are checked here, and owned by the coordinator
from then on.
"""

import socket
import threading
import time
from typing import TYPE_CHECKING

from wickdyke.gateway import interfaces
from wickdyke.gateway.events import RequestCancelled, RequestReceived
from wickdyke.jsonrpc.requests import CheckedRequest
from wickdyke.protocol import client_messages, jsonrpc
from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer

if TYPE_CHECKING:
    from wickdyke.jsonrpc.client_server import ClientServer

READ_SIZE = 1 << 18  # bytes read at a time
STACK_SIZE = 512 * 1024  # bytes of a thread's stack: the decoder's greatest nesting was tried in it


class Batch:
    """The answers of one batch, sent together once all are there."""

    def __init__(self, client: "ClientConnection", owed: int) -> None:
        self.client, self.owed = client, owed
        self.bodies: list[bytes] = []
        self.lock = threading.Lock()

    def answer(self, body: bytes | None) -> None:
        """Takes one answer (None for what gets none)."""
        with self.lock:
            if body is not None:
                self.bodies.append(body)
            self.owed -= 1
            if self.owed or not self.bodies:
                return
        self.client.write(b"[" + b",".join(self.bodies) + b"]\n")


class PendingRequest(interfaces.PendingRequest):
    """One request of a client, alone or in a batch."""

    __slots__ = ("batch",)

    def __init__(self, client: "ClientConnection", checked: CheckedRequest, batch: Batch | None) -> None:
        super().__init__(
            client,
            checked.ident,
            checked.request_class,
            checked.call,
            checked.time_left,
            checked.route_policy,
        )
        self.batch = batch
        self.received_at = time.monotonic() * 1000

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends its final answer, with what the worker gave."""
        self.answer(client_messages.success_response(self.ident, output, attempts))

    def reject(self, why: str, retry_after: float | None = None) -> None:
        """Sends its final answer: nothing was done; worth asking again after `retry_after` ms."""
        self.answer(client_messages.rejection_response(self.ident, why, retry_after))

    def fail(self, why: str) -> None:
        """Sends its final answer: nothing is promised."""
        self.answer(client_messages.failure_response(self.ident, why))

    def answer(self, body: bytes) -> None:
        """Sends the final answer, unless its client has cancelled it."""
        # A cancel read while the answer was on its way has freed the id, which may be another request's by now.
        if self.client.release(self):
            self.client.answer(body, self.batch)


class ClientConnection:
    """One connection of a client; `pending` has its open requests by their ids."""

    def __init__(self, server: "ClientServer", sock: socket.socket, number: int) -> None:
        self.server, self.sock, self.number = server, sock, number
        self.write_buffer = WriteBuffer(sock, server.bounds.unread_bytes, f"client-{number}-out")
        self.pending: dict[jsonrpc.Ident, PendingRequest] = {}
        self.lock = threading.Lock()

    # ---- writing ----

    def answer(self, body: bytes | None, batch: Batch | None) -> None:
        """Sends an answer, or enters it in its batch; None for what gets none."""
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
            self.server.counts["unread"] += 1
            self.write_buffer.close()
        except OSError:
            self.write_buffer.close()
        except RuntimeError as error:  # the thread that writes the rest could not be started
            self._log_disconnected(str(error))
            self.write_buffer.close()

    def _log_disconnected(self, why: str) -> None:
        self.server.warn("client disconnected", client=self.number, why=why)

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
            pending_requests, self.pending = list(self.pending.values()), {}
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
        lines = LineReader(self.server.bounds.line_bytes)
        try:
            while data := self.sock.recv(READ_SIZE):
                for line in lines.feed(data):
                    self._line(line)
        except LineTooLongError as error:
            self.server.counts["malformed"] += 1
            self.write(
                jsonrpc.malformed_request_response(jsonrpc.MalformedRequestError(jsonrpc.INVALID_REQUEST, str(error)))
                + b"\n"
            )
            self._log_disconnected(str(error))
        except OSError:
            pass
        finally:
            # What is written already reaches a client that still reads.
            self.write_buffer.close()
            self.server.client_closed(self)
            self.sock.close()

    def _line(self, line: bytes) -> None:
        requests = list(jsonrpc.parse_requests(line))
        if not jsonrpc.is_batch(line) or _is_unreadable(requests):
            for request in requests:
                self._request(request, None, None)
            return
        # One array answers all, so the first whose time is up would be answered late: all have the least time left.
        least = min((self.server.checker.time_left(request) for request in requests), default=None)
        batch = Batch(self, len(requests))
        for request in requests:
            self._request(request, batch, least)

    def _request(
        self, request: jsonrpc.Request | jsonrpc.MalformedRequestError, batch: Batch | None, least: float | None
    ) -> None:
        try:
            if isinstance(request, jsonrpc.MalformedRequestError):
                raise request
            if request.method == "cancel":
                self._cancel(self.server.checker.cancelled_id(request))
                self.answer(None, batch)
                return
            pending = PendingRequest(self, self.server.checker.check(request, least), batch)
            self._register(pending)
        except jsonrpc.MalformedRequestError as fault:
            self.server.counts["malformed"] += 1
            is_notification = isinstance(request, jsonrpc.Request) and request.told
            self.answer(None if is_notification else jsonrpc.malformed_request_response(fault), batch)
            return
        self._submit(pending)

    def _submit(self, pending: PendingRequest) -> None:
        why = self.server.rejection_reason(self)
        if not why:
            self.server.post(RequestReceived(pending))
            return
        self.release(pending)
        self.server.counts["refused"] += 1
        self.answer(client_messages.rejection_response(pending.ident, why), pending.batch)

    def _cancel(self, ident: jsonrpc.Ident) -> None:
        with self.lock:
            pending = self.pending.pop(ident, None)
        if pending is None:
            return
        if pending.batch is not None:
            pending.batch.answer(None)
        self.server.post(RequestCancelled(pending))


def _is_unreadable(requests: list[jsonrpc.Request | jsonrpc.MalformedRequestError]) -> bool:
    """Whether a batch came to one fault without an id, which is answered by an object alone."""
    return len(requests) == 1 and isinstance(requests[0], jsonrpc.MalformedRequestError) and requests[0].ident is None
