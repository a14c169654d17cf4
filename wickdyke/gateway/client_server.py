"""The door: a listener and its client connections; one reader thread each, nothing shared but the desk's queue.

JSON-RPC 2.0, one object or batch a line (docs/protocol.md). The door checks and the desk owns: what passes here
is well formed, names a known method, and has all its figures.
"""

import os
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable

from wickdyke.gateway import interfaces
from wickdyke.gateway.events import ClientClosed, Event, RequestCancelled, RequestReceived
from wickdyke.transport.acceptor import Acceptor
from wickdyke.transport.write_buffer import WriteBuffer, OutgoingMessage, PeerTooSlow
from wickdyke.transport.line_server import listener
from wickdyke.routing.model import RequestClass, RoutePolicy
from wickdyke.protocol import front, jsonrpc
from wickdyke.protocol.lines import Lines, TooLong
from wickdyke.settings.routes import Routes
from wickdyke.settings.station import Bounds, Station

CHUNK = 1 << 18  # bytes read at a time
STACK = 512 * 1024  # bytes of a thread's stack: the decoder's greatest nesting was tried in it


class Batch:
    """The answers of one batch, sent together once all are there."""

    def __init__(self, client: "ClientConnection", owed: int) -> None:
        self.client, self.owed, self.bodies, self.lock = client, owed, [], threading.Lock()

    def answer(self, body: bytes | None) -> None:
        """Takes one answer (None for what gets none)."""
        with self.lock:
            self.bodies += [body] if body is not None else []
            self.owed -= 1
            if self.owed or not self.bodies:
                return
        self.client.write(b"[" + b",".join(self.bodies) + b"]\n")


class PendingRequest(interfaces.PendingRequest):
    """One call of a client."""

    __slots__ = ("batch",)

    def __init__(
        self,
        client: "ClientConnection",
        ident: jsonrpc.Ident,
        request_class: RequestClass,
        call: front.Call,
        time_left: float,
        batch: Batch | None,
        route_policy: RoutePolicy | None,
    ) -> None:
        super().__init__(client, ident, request_class, call, time_left, route_policy)
        self.batch = batch

    def succeed(self, output: bytes, attempts: int) -> None:
        """Its final answer, with what the worker gave."""
        self.answer(front.ok(self.ident, output, attempts))

    def reject(self, why: str, retry_after: float | None = None) -> None:
        """Its final answer: nothing was done."""
        self.answer(front.denied(self.ident, why, retry_after))

    def fail(self, why: str) -> None:
        """Its final answer: nothing is promised."""
        self.answer(front.aborted(self.ident, why))

    def answer(self, body: bytes) -> None:
        """Sends the final answer, unless the client has left the call."""
        # Danger: a cancel read while the answer was on its way has freed the id, and it may be another call's by now.
        if not self.client.release(self):
            return
        if self.batch is not None:
            self.batch.answer(body)
        else:
            self.client.write(body + b"\n")


class ClientConnection:
    """One connection of a client."""

    def __init__(self, server: "ClientServer", sock: socket.socket, number: int) -> None:
        self.server, self.sock, self.number = server, sock, number
        self.write_buffer = WriteBuffer(sock, server.bounds.unread, f"client-{number}-out")
        self.pending: dict[jsonrpc.Ident, PendingRequest] = {}
        self.lock = threading.Lock()

    def write(self, line: bytes) -> None:
        """Writes without waiting; whoever does not read is hung up on."""
        try:
            self.write_buffer.put(OutgoingMessage(line))
        except PeerTooSlow as much:
            self.server.warn("client hung up on", client=self.number, why=f"does not read: {much}")
            self.server.counts["unread"] += 1
            self.write_buffer.close()
        except OSError:
            self.write_buffer.close()
        except RuntimeError as bad:  # the thread that writes the rest could not be started
            self.server.warn("client hung up on", client=self.number, why=str(bad))
            self.write_buffer.close()

    def release(self, pending: PendingRequest) -> bool:
        """Its id may be used again; False where it was free already."""
        with self.lock:
            if self.pending.get(pending.ident) is not pending:
                return False
            del self.pending[pending.ident]
            return True

    def read(self) -> None:
        """The reader thread: until the client hangs up."""
        lines = Lines(self.server.bounds.line)
        try:
            while data := self.sock.recv(CHUNK):
                for line in lines.feed(data):
                    self._line(line)
        except TooLong as bad:
            self.server.counts["malformed"] += 1
            self.write(jsonrpc.refusal(jsonrpc.Fault(jsonrpc.INVALID, str(bad))) + b"\n")
            self.server.warn("client hung up on", client=self.number, why=str(bad))
        except OSError:
            pass
        finally:
            # what is written already reaches a client that still reads
            self.write_buffer.close()
            self.server.gone(self)
            self.sock.close()

    def _line(self, line: bytes) -> None:
        requests = list(jsonrpc.requests(line))
        if (
            not jsonrpc.is_batch(line)
            or requests
            and len(requests) == 1
            and isinstance(requests[0], jsonrpc.Fault)
            and requests[0].ident is None
        ):
            for each in requests:
                self._one(each, None, None)
            return
        # Danger: one array answers all, so the first whose time is up would answer late. All have the least.
        least = min((self.server.time_left(each) for each in requests), default=None)
        batch = Batch(self, len(requests))
        for each in requests:
            self._one(each, batch, least)

    def _one(self, request: jsonrpc.Request | jsonrpc.Fault, batch: Batch | None, least: float | None) -> None:
        try:
            if isinstance(request, jsonrpc.Fault):
                raise request
            pending = self._checked(request, batch, least)
        except jsonrpc.Fault as fault:
            self.server.counts["malformed"] += 1
            told = isinstance(request, jsonrpc.Request) and request.told
            self._say(None if told else jsonrpc.refusal(fault), batch)
            return
        if pending is None:
            if batch is not None:
                batch.answer(None)
            return
        full = self.server.refuses(self)
        if full:
            self.release(pending)
            self.server.counts["refused"] += 1
            self._say(front.denied(request.ident, full), batch)
            return
        self.server.post(RequestReceived(pending))

    def _say(self, body: bytes | None, batch: Batch | None) -> None:
        if batch is not None:
            batch.answer(body)
        elif body is not None:
            self.write(body + b"\n")

    def _checked(self, request: jsonrpc.Request, batch: Batch | None, least: float | None) -> PendingRequest | None:
        ident = request.ident
        if request.method == "cancel":
            cancel = jsonrpc.params(front.Cancel, request.params, ident)
            if not request.told:
                raise jsonrpc.Fault(jsonrpc.INVALID, "cancel: expected a notification, without an id", ident)
            with self.lock:
                pending = self.pending.pop(cancel.id, None)
            if pending is not None:
                if pending.batch is not None:
                    pending.batch.answer(None)
                self.server.post(RequestCancelled(pending))
            return None
        if request.method != "call":
            raise jsonrpc.Fault(jsonrpc.NO_METHOD, f"{request.method[:60]}: expected call or cancel", ident)
        if request.told or ident is None:
            raise jsonrpc.Fault(jsonrpc.INVALID, "call: expected an id that is a string or a number", ident)
        call = jsonrpc.params(front.Call, request.params, ident)
        method = self.server.request_classes.get(call.method)
        if method is None:
            raise jsonrpc.Fault(
                jsonrpc.BAD_PARAMS,
                f"method: {call.method[:60]}, expected one of " + ", ".join(self.server.request_classes),
                ident,
            )
        if method.effect == "tokened" and not call.token:
            raise jsonrpc.Fault(jsonrpc.BAD_PARAMS, f"token: missing, and {method.name} is tokened", ident)
        stated = self.server.stated(call.program)
        if call.memory_mb is None:
            if stated is None:
                raise jsonrpc.Fault(
                    jsonrpc.BAD_PARAMS,
                    f"memory_mb: missing, and the settings state none for {call.program[:60]}",
                    ident,
                )
            call.memory_mb = stated.memory
        if call.lanes is None:
            call.lanes = stated.lanes if stated else 1
        if call.load_ms is None and stated:
            call.load_ms = stated.load
        if call.tenant and self.server.tenants and call.tenant not in self.server.tenants:
            raise jsonrpc.Fault(
                jsonrpc.BAD_PARAMS,
                f"tenant: {call.tenant[:60]}, expected one of " + ", ".join(self.server.tenants),
                ident,
            )
        held = self.server.routes.find(call.method, call.program, call.tenant) if self.server.routes else None
        most = held.terms.deadline if held else method.deadline
        left = min(call.time_left_ms or most, most, least or most)
        pending = PendingRequest(self, ident, method, call, left, batch, held.timing if held else None)
        pending.received_at = time.monotonic() * 1000
        with self.lock:
            if ident in self.pending:
                # answered without the id: an error under it would pass for the final answer of the other
                raise jsonrpc.Fault(jsonrpc.INVALID, f"id: {ident!r} is in use by a call that is not answered yet")
            self.pending[ident] = pending
        return pending


class ClientServer:
    """The listener on one Unix socket or loopback address.

    `post` takes what happens; `busy` says in one word why no more can be taken, or nothing; `warn` logs.
    """

    def __init__(
        self, station: Station, post: Callable[[Event], None], busy: Callable[[], str], warn: Callable[..., None]
    ) -> None:
        self.bounds: Bounds = station.bounds
        self.post, self.busy, self.warn = post, busy, warn
        self.request_classes = {method.name: method for method in station.request_classes}
        self.stated, self.tenants = station.stated, station.tenants
        self.routes: Routes | None = None
        self.counts: Counter[str] = Counter()
        self.clients: set[ClientConnection] = set()
        self.lock = threading.Lock()
        self.number = 0
        self.address = station.listen
        self.sock, self.held = listener(station.listen)
        self.acceptor = Acceptor(self.sock, self._take, lambda error: self.warn("connection not taken", why=str(error)))
        self.thread = threading.Thread(target=self.acceptor.run, name="client-server", daemon=True)

    def open(self) -> None:
        """Begins to take connections."""
        self.thread.start()

    def time_left(self, request: jsonrpc.Request | jsonrpc.Fault) -> float:
        """The time stated in a request, as far as it can be read; else the greatest."""
        most = max((method.deadline for method in self.request_classes.values()), default=0.0)
        if isinstance(request, jsonrpc.Request) and request.method == "call":
            try:
                call = jsonrpc.params(front.Call, request.params, None)
            except jsonrpc.Fault:
                return most
            method = self.request_classes.get(call.method)
            held = self.routes.find(call.method, call.program, call.tenant) if self.routes and method else None
            return min(call.time_left_ms or most, held.terms.deadline if held else method.deadline if method else most)
        return most

    def refuses(self, client: ClientConnection) -> str:
        """Why a call of this client can't be taken now, in one word, or nothing."""
        if len(client.pending) > self.bounds.open_each:
            return "connection-full"
        return self.busy()

    def gone(self, client: ClientConnection) -> None:
        """A client hung up: it has left with all it had out."""
        with self.lock:
            self.clients.discard(client)
        with client.lock:
            pending_requests, client.pending = list(client.pending.values()), {}
        if pending_requests:
            self.post(ClientClosed(pending_requests))

    def _take(self, sock: socket.socket) -> None:
        """Serves an accepted connection, or tells its client that it can't be served."""
        with self.lock:
            self.number += 1
            client = ClientConnection(self, sock, self.number)
            full = len(self.clients) >= self.bounds.connections
            if not full:
                self.clients.add(client)
        if full:
            self.counts["turned_away"] += 1
            self._turn_away(client)
            return
        try:
            threading.Thread(target=client.read, name=f"client-{client.number}", daemon=True).start()
        except RuntimeError as bad:  # no thread to be had
            self.warn("connection not taken", why=str(bad))
            self.gone(client)
            self._turn_away(client)

    def _turn_away(self, client: ClientConnection) -> None:
        client.write(front.denied(None, "too-many-connections") + b"\n")
        client.write_buffer.close()
        client.sock.close()

    def shut(self) -> None:
        """Takes no more connections; those there are stay."""
        self.acceptor.close()
        if ":" not in self.address or "/" in self.address:
            try:
                os.unlink(self.address)
            except OSError:
                pass
        if self.held is not None:
            self.held.close()

    def flushed(self) -> bool:
        """Whether all answers are with the kernel."""
        with self.lock:
            return all(client.write_buffer.empty() for client in self.clients)

    def hang_up(self) -> None:
        """Ends all connections."""
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            client.write_buffer.close()
