"""Client connections: frames in, checked requests to the desk, one answer for each.

Whoever sends what can't be used gets an application exception or a close; nothing of it reaches a worker.
"""

import errno
import re
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from wickdyke.gateway import interfaces
from wickdyke.platform import thrift
from wickdyke.transport.event_loop import EventLoop, clock, received
from wickdyke.transport.write_buffer import WriteBuffer, OutgoingMessage, PeerTooSlow

CHUNK = 1 << 15  # bytes read at a time
OPEN = 32  # requests open on one connection at most
UNREAD = 1 << 18  # bytes of answers that may wait for a client
ACCEPTS = 64  # connections taken in one turn
BACKLOG = 512
SILENT = 2000.0  # ms in which a connection brings its first request, and any frame that has begun
NEW = 500.0  # ms in which a connection counts as one that has only just come
SWEEP = 200.0  # ms between looks for those that did not
RETRY = 20.0  # ms after which a system call that failed for a moment is tried again
LOOKED = 50.0  # ms after which a client is read again before an attempt begins on its behalf
LOOKS = 8  # reads of one connection at most for that
LEAST_LEFT = 50.0  # ms that a worker needs at least; with less before the end of the process a request is rejected

IDENT = re.compile(r"[0-9a-f]{16}", re.ASCII)
FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
KEY = re.compile(r"[0-9A-Za-z_.:-]{1,64}", re.ASCII)
REPEAT = re.compile(r"[0-9]{1,9}|true|false", re.ASCII)
MOST = {"memory_mb": 1e7, "lanes": 4096.0, "load_ms": 3.6e6}
TIME_MOST = 3.6e6  # ms
# c class, i id, d ms that the client waits, o function, tags further figures; where a deployment has them: t tenant,
# h ms of work reckoned, k the key under which a repeat is known, r whether this is a repeat.
FIELDS = ("c", "i", "d", "o", "tags", "t", "h", "k", "r")


class InvalidRequest(Exception):
    """A request that can't be used, in words for its sender."""


@dataclass(slots=True)
class Call:
    """What a request asks for."""

    ident: bytes
    program: str
    input: bytes | None
    memory_mb: float
    lanes: int
    load_ms: float | None
    work_ms: float | None = None
    repeat: bool = False
    token: str = ""


def _figure(text: str, name: str, most: float) -> float:
    if not FIGURE.fullmatch(text) or not 0 < float(text) <= most:
        raise InvalidRequest(f"{name} is {text[:20]!r}, expected a number of at most {most:g}")
    return float(text)


def checked(message: thrift.Message, methods: dict, tenants: tuple[str, ...] = ()) -> tuple:
    """(method, call, ms that the client waits) of a request; raises Unfit."""
    fields = message.fields
    if unknown := fields.keys() - set(FIELDS):
        raise InvalidRequest(f"field {min(unknown)[:20]!r}, expected {', '.join(FIELDS)}")
    if (method := methods.get(fields.get("c", ""))) is None:
        raise InvalidRequest(f"c is {fields.get('c', '')[:20]!r}, expected a class")
    for name in "io":
        if not IDENT.fullmatch(fields.get(name, "")):
            raise InvalidRequest(f"{name} is {fields.get(name, '')[:20]!r}, expected 16 hex digits")
    left = _figure(fields.get("d", ""), "d", TIME_MOST)
    figures: dict[str, float] = {}
    for pair in filter(None, fields.get("tags", "").split(";")):
        name, _, value = pair.partition(":")
        if name not in MOST or name in figures:
            raise InvalidRequest(f"tag {name[:20]!r}, expected {', '.join(MOST)}, each once")
        figures[name] = _figure(value, name, MOST[name])
    if "t" in fields and tenants and fields["t"] not in tenants:
        raise InvalidRequest(f"t is {fields['t'][:20]!r}, expected a tenant")
    if not KEY.fullmatch(fields.get("k", "" if method.effect == "tokened" else "-")):
        raise InvalidRequest(f"k is {fields.get('k', '')[:20]!r}, expected a key of letters and digits")
    if not REPEAT.fullmatch(fields.get("r", "0")):
        raise InvalidRequest(f"r is {fields['r'][:20]!r}, expected a number, true or false")
    work = _figure(fields["h"], "h", TIME_MOST) if "h" in fields else None
    return (
        method,
        Call(
            fields["i"].encode(),
            fields["o"],
            message.body,
            figures.get("memory_mb", 0.0),
            max(1, int(figures.get("lanes", 1.0))),
            figures.get("load_ms"),
            work,
            fields.get("r", "0") not in ("0", "false"),
            fields.get("k", ""),
        ),
        left,
    )


class PendingRequest(interfaces.PendingRequest):
    """One request of a client."""

    __slots__ = ("verb",)

    def ok(self, output: bytes, call_outs: int) -> None:
        """Its final answer, with what the worker gave."""
        self._say(thrift.answer("dispatch", self.ident, output))

    def denied(self, why: str, wait: float | None = None) -> None:
        """Its final answer: nothing was done."""
        self._say(thrift.shed("dispatch", self.ident, {} if wait is None else {"w": str(max(1, round(wait)))}))

    def aborted(self, why: str) -> None:
        """Its final answer: nothing is promised."""
        self._say(thrift.fault("dispatch", self.ident, {}))

    def wanted(self) -> bool:
        """Whether its client still waits: what it sent meanwhile (a cancel, the end) is read first."""
        # Danger: on a busy machine a cancel or a close waits in the kernel while a retry is decided. Also a hedge.
        # Could hurt nowhere: what is read is handled as ever.
        client = self.client
        if clock() - client.looked > LOOKED:
            client.front.read_all(client)
        return client.open.get(self.ident) is self

    def _say(self, frame: bytes) -> None:
        if self.client.done(self):
            self.client.write(frame)


class ClientConnection:
    """One connection of a client."""

    first = False

    def __init__(self, front: "ClientServer", sock: socket.socket, number: int) -> None:
        self.front, self.sock, self.number = front, sock, number
        self.outbox = WriteBuffer(sock, UNREAD, "client", self._waits)
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
            self.front.loop.want(self.sock, waits)
        except OSError:
            # Danger: ENOMEM of a moment, passed on, would close the connection and lose the answer that waits. Where
            # nothing waits any more, the kernel tells of it in each turn, and this is tried again then.
            self.front.counts["unwatched"] += 1
            if waits and not self.pump_due:
                self.pump_due = True
                self.front.loop.at(clock() + RETRY, self._pump_later)

    def _pump_later(self) -> None:
        self.pump_due = False
        if not self.closed:
            self.writable()
        if not self.closed and not self.outbox.empty():
            self._waits(True)

    def expected(self) -> bool:
        """Whether a request is probably on its way: part of it has come, or the connection is new."""
        return (self.frames.begun or not self.answered) and clock() - self.since < NEW

    def idle(self) -> bool:
        """Whether nothing is owed to it."""
        return not self.open and self.outbox.empty()

    def readable(self) -> None:
        """Frames, or its end."""
        if self.closed or self.sock.gettimeout() != 0:  # could not be made non-blocking yet: a read would wait
            return
        self.looked = clock()
        data = received(self.sock, CHUNK)
        if not data:
            if data is not None:
                self.close()
            return
        if self.ending:  # whoever closes has gone, and what it has open goes no further; so it is with what it cancels
            self._read_cancels(data)
            return
        self.front.reads += 1
        begun = self.frames.begun
        try:
            frames = self.frames.feed(data)
            if frames or not begun:
                self.since = clock()
            for frame in frames:
                self._frame(frame)
            if self.frames.spoilt and not self.ending:
                raise thrift.Unreadable("a length that no frame may have")
        except thrift.Unreadable as bad:
            self._refuse(bad.number, str(bad))

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
        if (ask := self.open.get(number)) is not None:
            self.done(ask)
            if ask.told is None:  # still waits for the desk: hundreds taken back at once are no load
                ask.done = True
            self.front.take(("left", ask))
        if self.ending and self.idle():
            self.close()

    def _refuse(self, number: int | None, why: str) -> None:
        """An error under the number where it can be told, then the end: nothing after it can be trusted."""
        self.front.counts["unreadable"] += 1
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
        except thrift.Unreadable as bad:
            self._refuse(bad.number, str(bad))

    def _message(self, message: thrift.Message) -> None:
        if message.verb == "alive":
            self.write(thrift.answer("alive", message.number, b"", self.front.alive()))
        elif message.verb == "cancelRequest":
            self._cancel(message.about)
        elif message.verb != "dispatch":
            self.front.unfit(f"method {message.verb[:20]!r}")
            self.write(thrift.problem(message.verb[:64], message.number, "no such method", thrift.UNKNOWN_METHOD))
        elif message.number <= self.last:
            raise thrift.Unreadable(f"number {message.number} after {self.last}", message.number)
        else:
            self._dispatch(message)

    def _dispatch(self, message: thrift.Message) -> None:
        front, self.last = self.front, message.number
        try:
            method, call, left = checked(message, front.methods, front.tenants)
            if len(self.open) >= OPEN:
                raise InvalidRequest(f"{OPEN} requests are open on this connection")
            if call.ident in front.open:
                raise InvalidRequest("a request of that id is open")
        except InvalidRequest as bad:
            front.unfit(str(bad))
            self.write(thrift.problem("dispatch", message.number, str(bad)))
            return
        left = front.within(left)
        ask = PendingRequest(self, message.number, method, call, left)
        ask.begun = clock()
        self.open[message.number] = front.open[call.ident] = ask
        if busy := front.busy() or ("" if left else "stopping"):
            front.counts["turned_away"] += 1
            ask.denied(busy)
        else:
            front.take(("asked", ask))

    def done(self, ask: PendingRequest) -> bool:
        """It is owed nothing more; False where it was not already."""
        if self.open.get(ask.ident) is not ask:
            return False
        del self.open[ask.ident]
        self.front.open.pop(ask.call.ident, None)
        self.used = clock()
        return True

    def write(self, frame: bytes) -> None:
        """Writes without waiting; whoever does not read is hung up on."""
        if self.closed:
            return
        self.answered = True
        try:
            if self.outbox.put(OutgoingMessage(frame)) and self.ending and not self.open:
                self.close()
        except (PeerTooSlow, OSError):
            self.front.counts["unread"] += 1
            self.close()

    def writable(self) -> None:
        """What waits may go on."""
        try:
            self.outbox.pump()
        except OSError:
            self.close()
            return
        if self.ending and not self.open and self.outbox.empty():
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
        front, asks = self.front, list(self.open.values())
        front.clients.pop(self.number, None)
        front.forget(self)
        self.outbox.drop()
        for ask in asks:
            front.open.pop(ask.call.ident, None)
            ask.done = ask.done or ask.told is None
        self.open.clear()
        if asks:
            front.take(("gone", asks))


class ClientServer:
    """The listener and its clients."""

    first = False

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        methods: list,
        most: int,
        take: Callable[[tuple], None],
        busy: Callable[[], str],
        log,
        tenants: tuple[str, ...] = (),
    ) -> None:
        self.loop, self.address, self.most, self.take, self.busy, self.log = loop, address, most, take, busy, log
        self.methods, self.tenants = {method.name: method for method in methods}, tenants
        self.clients: dict[int, ClientConnection] = {}
        self.open: dict[bytes, PendingRequest] = {}  # by the client's id
        self.counts: Counter[str] = Counter()
        self.number, self.reads, self.ready, self.shut_down = 0, 0, False, False
        self.paused = self.drained = self.watched = False
        self.answer_by: float | None = None  # when all must be answered, for the process ends
        self.sock: socket.socket | None = None

    def listen(self) -> None:
        """Begins to take connections; raises OSError where the address can't be had."""
        self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            with suppress(OSError):  # without it the address may be in use for a while, which bind tells
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(self.address)
            sock.listen(BACKLOG)
        except OSError:
            self.sock = None
            sock.close()
            raise
        self._watch_listener()
        self.loop.every(SWEEP, self._sweep)

    def _watch_listener(self) -> None:
        if self.shut_down:
            return
        try:
            self.loop.add(self.sock, self)
            self.watched = True
        except OSError:  # ENOMEM, ENOSPC: polled until the kernel watches it
            self.counts["unwatched"] += 1
            self.loop.at(clock() + RETRY, self._watch_listener)
            self.guarded(self)

    def unfit(self, why: str) -> None:
        """Counts a request that can't be used; says why of the first, the tenth, the hundredth."""
        self.counts["unfit"] += 1
        if str(self.counts["unfit"]).strip("0") == "1":
            self.log.warning("request unusable", why=why, so_far=self.counts["unfit"])

    def alive(self) -> bool:
        """Whether requests are welcome."""
        return self.ready

    def within(self, left: float) -> float:
        """How long a request that came now may take, of what its client waits; 0 where there is no time for it."""
        if self.answer_by is None:
            return left
        most = self.answer_by - clock()
        if left <= most:
            return left
        return most if most >= LEAST_LEFT else 0.0

    def guarded(self, handler: "ClientServer | ClientConnection") -> None:
        """Lets it read now, whether or not the kernel told of it; one that breaks ends alone."""
        try:
            handler.readable()
        except Exception as bad:
            if self.loop.fault is None:
                raise
            self.loop.fault(bad)
            handler.broken()

    def read_all(self, client: ClientConnection) -> None:
        """Reads what has come from that client by now, up to a bound."""
        for _ in range(LOOKS):
            before = self.reads
            self.guarded(client)
            if self.reads == before:
                return

    def readable(self) -> None:
        """Connections."""
        self.drained = self._accept_waiting()

    def _accept_waiting(self) -> bool:
        """Takes connections, a bounded number; whether the kernel had no more of them."""
        for _ in range(ACCEPTS):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return True
            except OSError as bad:
                if bad.errno == errno.EMFILE:
                    self.counts["no_descriptor"] += 1
                    if self._make_room():
                        continue
                    self._pause(SWEEP)
                    return False
                if bad.errno in (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # The machine's trouble, for a moment: what a client of ours holds would not mend it.
                    self.counts["no_descriptor"] += 1
                    self._pause(RETRY)
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
        # Danger: it may fail on a connection that was reset already. Could hurt where it fails on another: an answer
        # may wait for the acknowledgement of the one before.
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.number += 1
        client = self.clients[self.number] = ClientConnection(self, sock, self.number)
        self._watch(client)

    def _watch(self, client: ClientConnection) -> None:
        """Has the loop serve a connection. While that fails it is polled, and closed by the sweep if it is silent."""
        # Danger: closed for ENOMEM or ENOSPC of a moment, its first request would be lost unread. Also ENOBUFS. Could
        # hurt where it lasts: a timer for each connection.
        if client.closed:
            return
        try:
            client.sock.setblocking(False)
            self.loop.add(client.sock, client, not client.outbox.empty())
            client.watched = True
        except OSError:
            self.counts["unwatched"] += 1
            self.loop.at(clock() + RETRY, self._watch, client)
            self.guarded(client)

    def forget(self, client: ClientConnection) -> None:
        """Closes the socket of a client."""
        with suppress(OSError):
            if client.watched:
                self.loop.remove(client.sock)
        with suppress(OSError):  # it may tell late that something could not be written
            client.sock.close()

    def _pause(self, span: float) -> None:
        """Takes no connections for so many ms: the kernel would tell again and again of what can't be taken."""
        # Could hurt where a descriptor is freed meanwhile: those that wait are taken that much later.
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
            self.loop.at(clock() + RETRY, self._resume)
            self.guarded(self)

    def writable(self) -> None:
        """Never waited for."""

    def broken(self) -> None:
        """It goes on."""

    def _make_room(self) -> bool:
        """Ends the connection without open requests that is longest of no use: of those that have said nothing for a
        while, else of those that were answered, last of those that have only just come or are sending."""
        # Danger: the request of a new connection is under way as it is closed for the next, which fares no better.
        # Also clients that connect for each request. Could hurt who keeps a connection idle: it connects again.
        old = clock() - NEW

        def use(client: ClientConnection) -> int:
            if client.since >= old and (client.frames.begun or not client.answered):
                return 2
            return 1 if client.answered else 0

        while spare := [client for client in self.clients.values() if self._spare(client)]:
            least = min(spare, key=lambda client: (use(client), client.used))
            # Danger: its request has come and was not read yet, and would be lost with the connection.
            self.read_all(least)
            if least.closed or self._spare(least):
                least.close()
                self.counts["made_room"] += 1
                return True
        return False

    def _spare(self, client: ClientConnection) -> bool:
        """Whether it has nothing open, and no answer on its way that it may still read."""
        return not client.open and (client.outbox.empty() or clock() - client.used > SILENT)

    def _sweep(self) -> None:
        now = clock()
        for client in list(self.clients.values()):
            # Danger: what it sent in time was not read yet, for the process stood still or was busy.
            if self._overdue(client, now):
                self.read_all(client)
            if not client.closed and self._overdue(client, now):
                self.counts["silent"] += 1
                if client.open:  # half a frame behind requests that were read: those are answered first
                    client.end()
                else:
                    client.close()

    def _overdue(self, client: ClientConnection, now: float) -> bool:
        # Danger: hundreds that connect and say nothing, or half a frame, take the descriptors. Also those that
        # never read. Could hurt who connects long before it asks: it is told by the close.
        if client.ending:  # its requests end by their own times; then it has as long to read the last answer
            return not client.open and now - max(client.since, client.used) > SILENT
        waits = client.frames.begun or not client.answered and not client.open
        return waits and now - client.since > SILENT

    def shut(self, at_once: bool = False) -> None:
        """Takes the connections that the kernel has taken already, then no more. While some of them can't be taken
        it is left for the next call, unless it has to be at once."""
        if self.shut_down or self.sock is None:
            return
        # Danger: connections that wait to be taken are reset with the listener, and RPCs on them lost. Between the
        # last look and the close nothing else is done: the kernel has no way to stop one without the other.
        self.drained = False
        for _ in range(BACKLOG // ACCEPTS + 1):
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
        """Reads what has come since the kernel last told; whether there was anything."""
        before = self.reads
        for client in list(self.clients.values()):
            self.guarded(client)
        return self.reads > before

    def hang_up(self, at_once: bool = False) -> bool:
        """Closes each connection that owes and is owed nothing, right after a last read that found nothing; whether
        none is left. With `at_once` no request is waited for that may be on its way."""
        # Danger: a connection left open until the process has ended acknowledges requests that nobody reads. Between
        # the read and the close one may still cross, within microseconds: the client sends it again (PROTOCOL).
        # A shutdown for reading before that read would not prevent it: Linux acknowledges what comes after it as well.
        for client in list(self.clients.values()):
            before = self.reads
            self.guarded(client)
            if self.reads == before and client.idle() and (at_once or not client.expected()):
                client.close()
        return not self.clients

    def flushed(self) -> bool:
        """Whether nothing is owed and nothing waits to be written."""
        return not self.open and all(client.outbox.empty() for client in self.clients.values())
