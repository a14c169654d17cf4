"""Client connections: frames in, checked requests to the desk, one answer for each.

Whoever sends what can't be used gets an application exception or a close; nothing of it reaches a worker.
"""

import errno
import re
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from wickdyke.gateway import parts
from wickdyke.platform import thrift
from wickdyke.wire.loop import Loop, clock, received
from wickdyke.wire.outbox import Outbox, Parcel, Unread

CHUNK = 1 << 15  # bytes read at a time
OPEN = 32  # requests open on one connection at most
UNREAD = 1 << 18  # bytes of answers that may wait for a client
ACCEPTS = 64  # connections taken in one turn
BACKLOG = 512
SILENT = 2000.0  # ms in which a connection brings its first request, and any frame that has begun
NEW = 500.0  # ms in which a connection counts as one that has only just come
SWEEP = 200.0  # ms between looks for those that did not

IDENT = re.compile(r"[0-9a-f]{16}", re.ASCII)
FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?", re.ASCII)
KEY = re.compile(r"[0-9A-Za-z_.:-]{1,64}", re.ASCII)
REPEAT = re.compile(r"[0-9]{1,9}|true|false", re.ASCII)
MOST = {"memory_mb": 1e7, "lanes": 4096.0, "load_ms": 3.6e6}
TIME_MOST = 3.6e6  # ms
# c class, i id, d ms that the client waits, o function, tags further figures; where a deployment has them: t tenant,
# h ms of work reckoned, k the key under which a repeat is known, r whether this is a repeat.
FIELDS = ("c", "i", "d", "o", "tags", "t", "h", "k", "r")


class Unfit(Exception):
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
        raise Unfit(f"{name} is {text[:20]!r}, expected a number of at most {most:g}")
    return float(text)


def checked(message: thrift.Message, methods: dict, tenants: tuple[str, ...] = ()) -> tuple:
    """(method, call, ms that the client waits) of a request; raises Unfit."""
    fields = message.fields
    if unknown := fields.keys() - set(FIELDS):
        raise Unfit(f"field {min(unknown)[:20]!r}, expected {', '.join(FIELDS)}")
    if (method := methods.get(fields.get("c", ""))) is None:
        raise Unfit(f"c is {fields.get('c', '')[:20]!r}, expected a class")
    for name in "io":
        if not IDENT.fullmatch(fields.get(name, "")):
            raise Unfit(f"{name} is {fields.get(name, '')[:20]!r}, expected 16 hex digits")
    left = _figure(fields.get("d", ""), "d", TIME_MOST)
    figures: dict[str, float] = {}
    for pair in filter(None, fields.get("tags", "").split(";")):
        name, _, value = pair.partition(":")
        if name not in MOST or name in figures:
            raise Unfit(f"tag {name[:20]!r}, expected {', '.join(MOST)}, each once")
        figures[name] = _figure(value, name, MOST[name])
    if "t" in fields and tenants and fields["t"] not in tenants:
        raise Unfit(f"t is {fields['t'][:20]!r}, expected a tenant")
    if not KEY.fullmatch(fields.get("k", "" if method.effect == "tokened" else "-")):
        raise Unfit(f"k is {fields.get('k', '')[:20]!r}, expected a key of letters and digits")
    if not REPEAT.fullmatch(fields.get("r", "0")):
        raise Unfit(f"r is {fields['r'][:20]!r}, expected a number, true or false")
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


class Ask(parts.Ask):
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

    def _say(self, frame: bytes) -> None:
        if self.client.done(self):
            self.client.write(frame)


class Client:
    """One connection of a client."""

    first = False

    def __init__(self, front: "Front", sock: socket.socket, number: int) -> None:
        self.front, self.sock, self.number = front, sock, number
        self.outbox = Outbox(sock, UNREAD, "client", self._waits)
        self.frames = thrift.Frames()
        self.open: dict[int, Ask] = {}
        self.last = 0
        self.since = self.used = clock()  # when what is begun began; when it was last of use
        self.answered = self.ending = self.closed = False

    def _waits(self, waits: bool) -> None:
        if not self.closed:
            self.front.loop.want(self.sock, waits)

    def readable(self) -> None:
        """Frames, or its end."""
        data = received(self.sock, CHUNK)
        if not data:
            if data is not None:
                self.close()
            return
        if self.ending:  # read for its end only: whoever closes has gone, and what it has open goes no further
            return
        self.front.reads += 1
        begun = self.frames.begun
        try:
            frames = self.frames.feed(data)
            if frames or not begun:
                self.since = clock()
            for frame in frames:
                self._frame(frame)
                if self.closed or self.ending:
                    return
            if self.frames.spoilt:
                raise thrift.Unreadable("a length that no frame may have")
        except thrift.Unreadable as bad:
            self._refuse(bad.number, str(bad))

    def _refuse(self, number: int | None, why: str) -> None:
        """An error under the number where it can be told, then the end: nothing after it can be trusted."""
        self.front.counts["unreadable"] += 1
        if number is None or number not in self.open:
            self.write(thrift.problem("dispatch", number or 0, why))
        self.end()

    def _frame(self, frame: bytes) -> None:
        message = thrift.read(frame)
        if message.verb == "alive":
            self.write(thrift.answer("alive", message.number, b"", self.front.alive()))
        elif message.verb == "cancelRequest":
            if (ask := self.open.get(message.about)) is not None:
                self.done(ask)
                if ask.told is None:  # still waits for the desk: hundreds taken back at once are no load
                    ask.done = True
                self.front.take(("left", ask))
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
                raise Unfit(f"{OPEN} requests are open on this connection")
            if call.ident in front.open:
                raise Unfit("a request of that id is open")
        except Unfit as bad:
            front.unfit(str(bad))
            self.write(thrift.problem("dispatch", message.number, str(bad)))
            return
        ask = Ask(self, message.number, method, call, left)
        self.open[message.number] = front.open[call.ident] = ask
        if busy := front.busy():
            front.counts["turned_away"] += 1
            ask.denied(busy)
        else:
            front.take(("asked", ask))

    def done(self, ask: Ask) -> bool:
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
            if self.outbox.put(Parcel(frame)) and self.ending and not self.open:
                self.close()
        except (Unread, OSError):
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
        """It ends."""
        self.close()

    def end(self) -> None:
        """Takes no more; closes when what is open is answered, or when the client does."""
        if self.closed or self.ending:
            return
        self.ending, self.since = True, clock()
        if not self.open and self.outbox.empty():
            self.close()
        else:
            self.frames = thrift.Frames()

    def close(self) -> None:
        """Ends it; what it had open is left."""
        if self.closed:
            return
        self.closed = True
        front, asks = self.front, list(self.open.values())
        front.loop.remove(self.sock)
        self.sock.close()
        self.outbox.drop()
        front.clients.pop(self.number, None)
        for ask in asks:
            front.open.pop(ask.call.ident, None)
            ask.done = ask.done or ask.told is None
        self.open.clear()
        if asks:
            front.take(("gone", asks))


class Front:
    """The listener and its clients."""

    first = False

    def __init__(
        self,
        loop: Loop,
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
        self.clients: dict[int, Client] = {}
        self.open: dict[bytes, Ask] = {}  # by the client's id
        self.counts: Counter[str] = Counter()
        self.number, self.reads, self.ready, self.shut_down = 0, 0, False, False
        self.sock: socket.socket | None = None

    def listen(self) -> None:
        """Begins to take connections; raises OSError."""
        self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.address)
        sock.listen(BACKLOG)
        self.loop.add(sock, self)
        self.loop.every(SWEEP, self._sweep)

    def unfit(self, why: str) -> None:
        """Counts a request that can't be used; says why of the first, the tenth, the hundredth."""
        self.counts["unfit"] += 1
        if str(self.counts["unfit"]).strip("0") == "1":
            self.log.warning("request unusable", why=why, so_far=self.counts["unfit"])

    def alive(self) -> bool:
        """Whether requests are welcome."""
        return self.ready

    def readable(self) -> None:
        """Connections."""
        for _ in range(ACCEPTS):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as bad:
                if bad.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self.counts["no_descriptor"] += 1
                    if self._make_room():
                        continue
                    # Danger: the kernel tells of what can't be taken again and again. Looked at later; could hurt
                    # where one ends meanwhile: those that wait are taken that much later.
                    self.loop.want(self.sock, False, False)
                    self.loop.at(clock() + SWEEP, self._resume)
                    return
                continue
            self.counts["accepted"] += 1
            if len(self.clients) >= self.most and not self._make_room():
                self.counts["no_room"] += 1
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.number += 1
            client = self.clients[self.number] = Client(self, sock, self.number)
            self.loop.add(sock, client)

    def _resume(self) -> None:
        if not self.shut_down:
            self.loop.want(self.sock, False)

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

        def use(client: Client) -> int:
            if client.since >= old and (client.frames.begun or not client.answered):
                return 2
            return 1 if client.answered else 0

        while idle := [client for client in self.clients.values() if not client.open]:
            least = min(idle, key=lambda client: (use(client), client.used))
            # Danger: its request has come and was not read yet, and would be lost with the connection.
            least.readable()
            if not least.open:
                least.close()
                self.counts["made_room"] += 1
                return True
        return False

    def _sweep(self) -> None:
        now = clock()
        for client in list(self.clients.values()):
            # Danger: hundreds that connect and say nothing, or half a frame, take the descriptors. Also those that
            # never read. Could hurt who connects long before it asks: it is told by the close.
            waits = client.ending or client.frames.begun or not client.answered and not client.open
            if waits and now - client.since > SILENT:
                self.counts["silent"] += 1
                client.close()

    def shut(self) -> None:
        """Takes no more connections than the kernel has taken already."""
        if not self.shut_down:
            self.shut_down = True
            # Danger: connections that wait to be taken are reset with the listener, and RPCs on them lost.
            for _ in range(BACKLOG // ACCEPTS + 1):
                self.loop.serve(self.sock.fileno(), self)
            self.loop.remove(self.sock)
            self.sock.close()

    def heard_more(self) -> bool:
        """Reads what has come since the kernel last told; whether there was anything."""
        before = self.reads
        for client in list(self.clients.values()):
            self.loop.serve(client.sock.fileno(), client)
        return self.reads > before

    def flushed(self) -> bool:
        """Whether nothing is owed and nothing waits to be written."""
        return not self.open and all(client.outbox.empty() for client in self.clients.values())
