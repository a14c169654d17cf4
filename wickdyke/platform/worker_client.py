"""Connections to one worker: call-outs, holds and probes go out, and the desk is told how each ended.

A call-out has a connection to itself while the pool has one to give: what spoils or resets a connection then costs
no other. Holds and probes share one beside them.
"""

import errno
import math
import socket
from collections import Counter, deque
from collections.abc import Callable

from wickdyke.gateway import interfaces
from wickdyke.gateway.interfaces import PendingRequest, CommandResult
from wickdyke.routing.model import Attempt, Function
from wickdyke.platform import resp
from wickdyke.settings.terms import REPORTS
from wickdyke.transport.event_loop import EventLoop, clock, dial
from wickdyke.transport.write_buffer import SHORT_OF_MEMORY, Expired, WriteBuffer, OutgoingMessage, PeerTooSlow

CHUNK = 1 << 16  # bytes read at a time
UNREAD = 1 << 20  # bytes that may wait for a worker
STREAMS = 32  # orders on one connection at most
IDLE_PART = 0.7  # of the time after which the worker ends an idle connection, we leave it
PAST = 64  # ids no longer open on a connection that are remembered, so that a late or second answer meets none

OUTCOMES = {
    b"ACK": "ok",
    b"NOENT": "miss",
    b"AGAIN": "full",
    b"EIO": "error",
    b"STALE": "unsent",
    b"READY": "ok",
    b"AILING": "error",
}
MET = (errno.ECONNRESET, errno.EPIPE)  # ends of a connection that was taken by the other side
# Of the errors of connect(2) and socket(2), ECONNREFUSED alone is an answer of the worker's machine that nobody is
# there. These say that no way to it is known, of this machine for a moment or of the worker for long. The others are
# of this machine (descriptors, memory, ports, permissions, a signal) and tell nothing of a worker.
NO_WAY = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ETIMEDOUT)
AWAY_AFTER = 1000.0  # ms for which connections find no way, none as far from the last, before a worker is away
TRIES = 3  # connections that one order is handed to before a byte of it went, at most
MISSES = 2  # connections in a row that do not come up in time, each begun after the last, before a worker is away
LOST = {"run": "error", "probe": "error", "hold": "timeout"}  # an answer that got lost, at a worker that lives
NOTES = {"w": "stood", "c": "began", "j": "awaited", "f": "load failed"}
# Reports come under the protocol's words or under those of the settings.
WORDS = REPORTS | {
    "inflight": "in_flight",
    "util": "utilization",
    "latency_ms": "recent",
    "qps": "rate",
    "eps": "errors",
}


def report(text: str, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """A report in the order of `names`; None where it is not whole."""
    values = {}
    try:
        for pair in text.split(";"):
            name, _, value = pair.partition(":")
            values[WORDS.get(name, name)] = float(value)
    except ValueError:
        return None
    if any(not abs(values.get(name, float("inf"))) < 1e12 for name in names):
        return None
    return tuple(values[name] for name in names)


def ending(answer: list[bytes], names: tuple[str, ...]) -> CommandResult:
    """How an order ended, from the worker's answer; raises Spoilt."""
    if len(answer) != 4 or answer[1] not in OUTCOMES:
        raise resp.InvalidAnswer(f"an answer of {len(answer)} parts, {answer[1:2]!r}")
    told = resp.fields(answer[2])
    try:
        company, copies = int(told.get("ahead", "0")), int(told.get("units", "0"))
    except ValueError:
        raise resp.InvalidAnswer("counts that are no numbers") from None
    return CommandResult(
        OUTCOMES[answer[1]],
        answer[3],
        NOTES.get(told.get("why", "")),
        company,
        report(told["rep"], names) if "rep" in told else None,
        copies,
    )


class Command(interfaces.Command):
    """One message that is owed an answer, as it is sent.

    `command` is its bytes, or a function that renders them for the whole ms (one at least) that are left until
    `ends`, a time of `clock`.
    """

    __slots__ = ("ident", "command", "ends", "parcel", "conn", "sent", "tries")

    def __init__(
        self,
        kind: str,
        key: object,
        ident: bytes,
        command: bytes | Callable[[int], bytes],
        ends: float = math.inf,
    ) -> None:
        super().__init__(kind, key)
        self.ident, self.command, self.ends = ident, command, ends
        self.parcel, self.conn, self.sent, self.tries = None, None, 0.0, 0

    @property
    def line(self) -> bytes | None:
        """The command as it may be sent now; None where its time is up."""
        left = self.ends - clock()
        if left <= 0:
            return None
        # Rounded down: a worker is told no more than is left.
        return self.command(max(1, math.floor(left))) if callable(self.command) else self.command


class ConnectionPool:
    """How many connections to workers there may be, over all links."""

    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0
        self.links: set[WorkerClient] = set()  # those with a connection
        self.counts: Counter[str] = Counter()

    def room(self) -> bool:
        """Whether there may be one more: the idle one longest of no use is left for it."""
        if self.used >= self.most:
            idle = [conn for link in self.links for conn in link.all() if not conn.load and conn.up]
            if idle:
                min(idle, key=lambda conn: conn.used).end("left for another")
        return self.used < self.most

    def sweep(self) -> None:
        """Leaves what is idle for too long, everywhere."""
        for link in list(self.links):
            link.sweep()


class PlatformWorkerProtocol:
    """How workers of the platform are spoken to."""

    eager = False

    def __init__(self, loop: EventLoop, station, log, most: int) -> None:
        self.loop, self.station, self.log = loop, station, log
        self.pool, self.names = ConnectionPool(most), station.instance.report_fields
        self.number = 0

    def _tag(self) -> bytes:
        self.number += 1
        return b"t%d" % self.number

    def link(self, name: str, address: str, tell) -> "WorkerClient":
        """The way to one worker."""
        return WorkerClient(
            name,
            address,
            tell,
            self.loop,
            self.pool,
            self.station.attempt_limits.connect_timeout,
            self.station.attempt_limits.idle_timeout * IDLE_PART,
            self.names,
        )

    def run(self, attempt: Attempt, ask: PendingRequest, left: float) -> Command:
        """A call-out, to be waited for so many ms."""
        # Danger: it waits for its connection, a second one, and room at the kernel. Told what was left when it was
        # decided, a worker would work on past the deadline of the client. So it is written as its first byte goes.
        ends, ident, body = clock() + left, ask.call.ident, ask.call.input
        before = f"lane={attempt.request.request_class.name},name={attempt.request.function.name},ttl="
        after = f",dedupe={ask.call.token}" if ask.call.token else ""
        return Command(
            "run",
            attempt,
            ident,
            lambda ttl: resp.command(b"invoke", ident, f"{before}{ttl}{after}".encode(), body),
            ends,
        )

    def hold(self, key: tuple, program: Function, copies: int) -> Command:
        """An order to have so many copies standing."""
        tag = self._tag()
        return Command("hold", key, tag, resp.command(b"prewarm", tag, f"name={program.name},units={copies}".encode()))

    def probe(self, key: str) -> Command:
        """A question for a report."""
        tag = self._tag()
        return Command("probe", key, tag, resp.command(b"gauges", tag))

    def ending(self, order: Command, outcome: str, result: CommandResult | None, data: object) -> CommandResult:
        """What a link told of an order's end: read already where an answer came."""
        return result if result is not None else CommandResult(outcome)


class WorkerConnection:
    """One connection to a worker."""

    first = True

    def __init__(self, link: "WorkerClient") -> None:
        self.link, self.loop = link, link.loop
        self.open: dict[bytes, Command] = {}
        self.pending: list[Command] = []  # until it is up
        self.past: deque[bytes] = deque(maxlen=PAST)
        self.answers = resp.Answers()
        self.up = self.closed = self.stale = False
        self.begun = self.used = self.heard = clock()
        self.sock, code = dial(link.at)
        # What an order that was to go here ends as, where not even that could be begun.
        self.failed = "" if self.sock is not None else "unsent" if link.doubtful(code) else "unreached"
        if self.failed:
            self.closed = True
            link.pool.counts[f"connect_{errno.errorcode.get(code, code)}"] += 1
            return
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # reset already, which it tells as it comes up, or short of memory: it serves without
            link.pool.counts["delayed"] += 1
        self.outbox = WriteBuffer(self.sock, UNREAD, link.name, self._waits)
        try:
            self.loop.add(self.sock, self, write=True)
        except OSError as bad:
            # Danger: counted and not served, it would hold its place in the pool for good, and its order its time.
            self.closed, self.failed = True, "unsent"
            link.pool.counts[f"register_{errno.errorcode.get(bad.errno, bad.errno)}"] += 1
            self._release()
            return
        link.pool.used += 1
        link.pool.links.add(link)
        link.pool.counts["dialled"] += 1
        self.loop.at(self.begun + link.dial, self._late)

    @property
    def load(self) -> int:
        """Orders on it."""
        return len(self.open) + len(self.pending)

    def takes(self, ident: bytes) -> bool:
        """Whether an order under that id may go here: never two under one, nor one of which an answer may yet come."""
        # Danger: where an answer stopped short, all that comes after it on that connection is taken for its rest.
        return (
            not self.closed
            and not self.stale
            and self.load < STREAMS
            and not self.answers.begun
            and ident not in self.open
            and ident not in self.past
            and all(order.ident != ident for order in self.pending)
        )

    def alive(self) -> bool:
        """Whether it still stands, as far as this side can tell without waiting."""
        # Danger: one that was ended while idle takes an RPC with it that can't be repeated. Also resets. Could
        # hurt nowhere: one more call to the kernel for an idle one.
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except (BlockingIOError, InterruptedError):
            return True
        except OSError as bad:
            return bad.errno in SHORT_OF_MEMORY

    def send(self, order: Command) -> None:
        """Sends it, or has it sent once the connection is up."""
        order.conn, order.sent, self.used = self, clock(), clock()
        if not self.up:
            self.pending.append(order)
            return
        order.parcel = OutgoingMessage(lambda: order.line, expired=lambda: self._expired(order))
        self.open[order.ident] = order
        try:
            self.outbox.put(order.parcel)
        except Expired:
            self._expired(order)
        except (PeerTooSlow, OSError) as bad:
            self.end(f"{type(bad).__name__}: {bad}")

    def _expired(self, order: Command) -> None:
        """The time of an order was up before a byte of it went."""
        if self.open.get(order.ident) is not order:
            return
        del self.open[order.ident]
        self.link.pool.counts["expired"] += 1
        self.link.back(order, "unsent")
        if not self.closed and not self.load:
            self.link.idles(self)

    def _waits(self, waits: bool) -> None:
        if self.closed:
            return
        try:
            self.loop.want(self.sock, waits)
        except OSError:
            self.link.pool.counts["modify_failed"] += 1
            if waits:  # nobody would tell when it may go on: the connection is given up
                raise
            # The kernel goes on telling that there is room, which leads here again.

    def _late(self) -> None:
        if not self.up and not self.closed:
            self.end("no connection in time", late=self.link.missed(self))

    def writable(self) -> None:
        """It has come up or failed, or what waits may go on."""
        if not self.up:
            self._came_up()
            return
        try:
            self.outbox.pump()
        except OSError as bad:
            self.end(f"{type(bad).__name__}: {bad}")

    def _came_up(self) -> None:
        try:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as bad:
            self.end(f"getsockopt: {errno.errorcode.get(bad.errno, bad.errno)}", late=True)
            return
        if code:
            late = self.link.doubtful(code)
            self.end(f"connect: {errno.errorcode.get(code, code)}", met=code in MET, late=late)
            return
        self.up = True
        self._waits(False)
        self.link.misses = 0
        self.link.reached()
        self.link.told_of(True)
        while self.pending:  # each at its turn: where the connection ends, it tells of the others
            self.send(self.pending.pop(0))

    def broken(self) -> None:
        """It ends; what was on it may have run."""
        self.end("fault", late=True)

    def readable(self) -> None:
        """Answers, or its end."""
        if not self.up:
            return self.writable()
        try:
            data = self.sock.recv(CHUNK)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as bad:
            if bad.errno in SHORT_OF_MEMORY:  # recv(2): for a moment; the kernel tells of the same bytes again
                return None
            return self.end(f"{type(bad).__name__}: {bad}")
        if not data:
            return self.end("ended by the worker")
        self.heard = clock()
        self.link.reached()
        try:
            for answer in self.answers.feed(data):
                self._answer(answer)
        except resp.InvalidAnswer as bad:
            for answer in list(self.answers.whole):  # what was whole before it stands
                try:
                    self._answer(answer)
                except resp.InvalidAnswer:
                    break
            self.link.pool.counts["spoilt"] += 1
            return self.end(f"spoilt: {bad}", spoke=True)
        if self.stale and not self.load:
            self.end("given up")
        if not self.load:
            self.link.idles(self)
        return None

    def _answer(self, answer: list[bytes]) -> None:
        order = self.open.get(answer[0])
        if order is None:  # after it was given up, a second time, or for what was never asked
            self.link.pool.counts["strays"] += 1
            return
        found = ending(answer, self.link.names)
        # Danger: an answer may come twice, and the second would end a later call-out of the same RPC as one that never
        # ran. Also an answer after its call-out was given up. Could hurt nowhere: that goes on another connection.
        self.past.append(answer[0])
        del self.open[answer[0]]
        self.used = self.heard
        self.link.back(order, found.outcome, found)

    def end(self, why: str, spoke: bool = False, met: bool = False, late: bool = False) -> None:
        """Ends the connection; tells how that leaves what was on it. `spoke`: the worker has just sent something;
        `met`: it was there, and ended the connection as it came up; `late`: it did not come up, which may yet be the
        connection, or this machine, alone."""
        if self.closed:
            return
        was_up, self.closed = self.up, True
        self._release()
        self.outbox.drop()
        link, pending, out = self.link, self.pending, self.open
        link.pool.used -= 1
        link.pool.counts["cut"] += bool(out)
        if not was_up:
            link.pool.counts[why.replace(": ", "_").replace(" ", "_")] += 1
        self.pending, self.open = [], {}
        link.gone(self)
        for order in pending:
            if was_up or met or late:
                link.again(order)
            else:
                link.back(order, "unreached")
        begun = [order for order in out.values() if order.parcel.begun]
        for order in out.values():
            if not order.parcel.begun:
                link.back(order, "unsent")
        if begun:
            link.lost(begun, spoke)
        if not was_up:
            link.told_of(met or (None if late else False))

    def _release(self) -> None:
        """Gives up the socket."""
        for give_up in (lambda: self.loop.remove(self.sock), self.sock.close):
            try:
                give_up()
            except OSError:  # epoll_ctl(2), close(2): the kernel forgets a socket that is closed in either case
                self.link.pool.counts["release_failed"] += 1


class WorkerClient:
    """All connections to one worker."""

    def __init__(
        self,
        name: str,
        address: str,
        tell: Callable[..., None],
        loop: EventLoop,
        pool: ConnectionPool,
        dial: float,
        idle: float,
        names: tuple[str, ...],
    ) -> None:
        self.name, self.tell, self.loop, self.pool = name, tell, loop, pool
        host, _, port = address.rpartition(":")
        self.at, self.dial, self.idle, self.names = (host, int(port)), dial, idle, names
        self.connections: list[WorkerConnection] = []  # for call-outs; the last used at the end
        self.beside: WorkerConnection | None = None  # for holds and probes
        self.doubt: list[Command] = []  # lost with the last connection, until a new one tells whether the worker lives
        self.check: WorkerConnection | None = None
        self.retired = self.closed = False
        self.checks = 0  # connections made for what is in doubt now
        self.misses, self.missed_at = 0, float("-inf")  # in a row; the last
        self.no_way_from, self.no_way_at = float("inf"), float("-inf")  # the first in a row that found none; the last

    def all(self) -> list[WorkerConnection]:
        """Its connections."""
        return [*self.connections, *([self.beside] if self.beside else [])]

    def send(self, order: Command) -> None:
        """Sends it on a connection that fits; its end comes by `tell`."""
        order.link = self
        if self.closed or self.retired or order.ends <= clock():
            self.back(order, "unsent")
            return
        conn = self._for_run(order.ident) if order.kind == "run" else self._for_others(order.ident)
        if conn is None or conn.failed:
            self.back(order, "unsent" if conn is None else conn.failed)
        else:
            conn.send(order)

    def _for_run(self, ident: bytes) -> WorkerConnection | None:
        self.sweep()
        for conn in reversed(self.connections):
            if not conn.load and conn.takes(ident):
                if conn.alive():
                    return conn
                conn.end("ended while idle")
        if self.pool.room():
            conn = WorkerConnection(self)
            if not conn.failed:
                self.connections.append(conn)
                return conn
            if conn.failed != "unsent":
                return conn
        return min((conn for conn in self.connections if conn.takes(ident)), key=lambda w: w.load, default=None)

    def _for_others(self, ident: bytes) -> WorkerConnection | None:
        conn = self.beside
        if conn is not None and conn.load == 0 and not (clock() - conn.used < self.idle and conn.alive()):
            conn.end("idle")
        if self.beside is None or not self.beside.takes(ident):
            if not self.pool.room():
                return None
            conn = WorkerConnection(self)
            if conn.failed:
                return conn
            if self.beside is not None:  # it ends with what is on it
                self.connections.insert(0, self.beside)
                self.beside.stale = True
            self.beside = conn
        return self.beside

    def sweep(self) -> None:
        """Leaves connections before the worker ends them as idle."""
        now = clock()
        for conn in list(self.connections):
            if not conn.load and (conn.stale or now - conn.used > self.idle):
                conn.end("idle")

    def back(self, order: Command, outcome: str, found: CommandResult | None = None) -> None:
        """Tells how an order ended."""
        self.tell("back", self, order, outcome, found, None)
        if self.retired:
            self._maybe_close()

    def again(self, order: Command) -> None:
        """A connection ended as it came up, before a byte of the order went: once more on another."""
        order.tries += 1
        if order.tries < TRIES:
            self.send(order)
        else:
            self.back(order, "unsent")

    def lost(self, orders: list[Command], spoke: bool) -> None:
        """A connection ended with these out: they may have run."""
        # Danger: a cut says that the process is gone, with all that it had loaded. What ends beside connections that
        # stand, or on an answer that can't be read, tells of answers only; where none stands, a new connection tells.
        # Also resets of many at once. Could hurt where a process is back before that connection: the list tells.
        others = [conn for conn in (*self.connections, self.beside) if conn is not None and not conn.closed and conn.up]
        if spoke or any(conn.alive() for conn in others):
            self._found(orders, True)
            return
        self.doubt += orders
        if self.check is None:
            self.checks = 0
            self._check()

    def _check(self) -> None:
        # Where nothing can be learned by a few, as where it is this machine that makes none, more would not tell.
        self.checks += 1
        more = not self.closed and self.checks <= TRIES
        self.check = WorkerConnection(self) if more and self.pool.room() else None
        if self.check is not None and not self.check.failed:
            self.connections.insert(0, self.check)
            return
        # Nothing is known of it where no descriptor is left, and then no copies of it are taken for gone.
        lives = not self.closed and (self.check is None or self.check.failed == "unsent")
        self.check, orders, self.doubt, self.checks = None, self.doubt, [], 0
        self._found(orders, lives)

    def told_of(self, lives: bool | None) -> None:
        """A connection told whether the worker lives, or (None) did not: that settles what is in doubt."""
        if self.doubt and (lives or self.check is None or self.check.closed):
            if lives is None:
                return self._check()
            orders, self.doubt, self.checks = self.doubt, [], 0
            self._found(orders, lives)
        if self.check is not None and (self.check.closed or self.check.up):
            self.check = None
        return None

    def missed(self, conn: WorkerConnection) -> bool:
        """A connection has not come up in time; whether that may yet be the connection alone."""
        # Danger: one connection of many comes up late or never, and the module takes a worker it could not reach for
        # one that starts anew: all its copies forgotten, cold for the whole ramp. Also an answer to the first step
        # that got lost. Could hurt where a machine has vanished: the first order there learns it a dial later.
        if conn.begun >= self.missed_at:
            self.misses, self.missed_at = self.misses + 1, clock()
        return self.misses < MISSES

    def doubtful(self, code: int) -> bool:
        """Whether a connection that could not be made for that error tells nothing of the worker."""
        # Danger: a moment in which this machine finds no way to any worker is taken for one in which all start anew:
        # all their copies forgotten, cold for the whole ramp. Also an error on the way there. Could hurt where a
        # worker's machine has vanished: what is sent there until it is found ends as never sent.
        if code == errno.ECONNREFUSED:
            return False
        if code not in NO_WAY:
            return True
        now = clock()
        if now - self.no_way_at >= AWAY_AFTER:
            self.no_way_from = now
        self.no_way_at = now
        return now - self.no_way_from < AWAY_AFTER

    def reached(self) -> None:
        """A connection came up, or something came on one: there is a way to the worker."""
        self.no_way_at = float("-inf")

    def idles(self, conn: WorkerConnection) -> None:
        """A connection has nothing on it: what waits for one that is still being made goes there."""
        if conn.closed or conn.stale or conn not in self.connections:
            return
        for other in self.connections:
            for order in other.pending if not other.up else ():
                if conn.takes(order.ident):
                    other.pending.remove(order)
                    conn.send(order)
                    return

    def _found(self, orders: list[Command], lives: bool) -> None:
        for order in orders:
            if order.conn is not None:  # else it was taken back meanwhile
                self.back(order, LOST[order.kind] if lives else "cut")

    def gone(self, conn: WorkerConnection) -> None:
        """A connection has ended."""
        if conn is self.beside:
            self.beside = None
        elif conn in self.connections:
            self.connections.remove(conn)
        if not self.all():
            self.pool.links.discard(self)

    def cancel(self, order: Command, done: Callable[[], None]) -> str | None:
        """Withdraws a call-out: as wickdyke/gateway/link.py has it."""
        said = self._cancel(order, done)
        if self.retired:  # that may have been the last
            self._maybe_close()
        return said

    def _cancel(self, order: Command, done: Callable[[], None]) -> str | None:
        conn = order.conn
        if order in self.doubt:
            order.conn = None
            self.doubt.remove(order)
            return "cancelled"
        if self._unsend(order):
            return "unsent"
        if conn is None or conn.closed or conn.open.get(order.ident) is not order:
            return "ended"
        if len(conn.open) == 1 and not conn.pending:
            # Ending the connection gives up what is on it. Danger: what said nothing in all that time may be cut
            # off, and the next on it would wait in vain. Also an answer that never comes.
            del conn.open[order.ident]
            conn.end("given up")
            return "cancelled"
        try:
            with_kernel = conn.outbox.put(
                OutgoingMessage(resp.command(b"abort", order.ident), lambda: self._cancelled(conn, order, done))
            )
        except (PeerTooSlow, OSError) as bad:
            conn.end(f"{type(bad).__name__}: {bad}")  # which tells of all that was on it
            return None
        if not with_kernel:
            return None
        self._given_up(conn, order)
        return "cancelled"

    def _cancelled(self, conn: WorkerConnection, order: Command, done: Callable[[], None]) -> None:
        if conn.open.get(order.ident) is order:
            self._given_up(conn, order)
            done()

    def _given_up(self, conn: WorkerConnection, order: Command) -> None:
        conn.open.pop(order.ident, None)
        conn.past.append(order.ident)
        conn.stale = conn.stale or conn.heard <= order.sent or conn.answers.begun

    def unsend(self, order: Command) -> bool:
        """Takes back what has not begun to go out; True where it was so, and it has ended."""
        taken = self._unsend(order)
        if taken and self.retired:
            self._maybe_close()
        return taken

    def _unsend(self, order: Command) -> bool:
        conn = order.conn
        if conn is None or conn.closed:
            return False
        if order in conn.pending:
            conn.pending.remove(order)
            return True
        if conn.open.get(order.ident) is order and conn.outbox.withdraw(order.parcel):
            del conn.open[order.ident]
            return True
        return False

    def recall(self) -> None:
        """Nothing new goes there: what has not begun to go out ends as unsent."""
        for conn in self.all():
            for order in [*conn.pending, *conn.open.values()]:
                if self._unsend(order):
                    self.back(order, "unsent")

    def forget(self, order: Command) -> bool:
        """No answer is waited for any more; False where it has ended already."""
        was_out = self._forget(order)
        if self.retired:
            self._maybe_close()
        return was_out

    def _forget(self, order: Command) -> bool:
        conn = order.conn
        if order in self.doubt:
            order.conn = None
            self.doubt.remove(order)
            return True
        if conn is None or conn.closed:
            return False
        if order in conn.pending:
            conn.pending.remove(order)
            return True
        if conn.open.get(order.ident) is not order:
            return False
        self._given_up(conn, order)
        if conn.stale and not conn.load:
            conn.end("silent")
        return True

    def cut(self) -> None:
        """Ends all connections; what is out there ends as cut."""
        for conn in self.all():
            conn.end("cut", late=True)  # our doing: it tells nothing of the worker

    def retire(self) -> None:
        """No more is to be sent; it ends with the last of what is out."""
        self.retired = True
        self.recall()
        self._maybe_close()

    def _maybe_close(self) -> None:
        if not (
            self.closed or self.doubt or any(conn.load for conn in self.connections) or self.beside and self.beside.load
        ):
            self.close()

    def close(self) -> None:
        """Ends it at once."""
        if self.closed:
            return
        self.closed = True
        self.pool.links.discard(self)
        self.cut()
