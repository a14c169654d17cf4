"""One worker: connect, send, read, cut; and to tell the desk exactly what is known of each call-out.

The rules hang on the outcomes. `unsent`: no byte was handed to the kernel. `unreached`: no connection could be
made, or the worker said no hello. `cut`: the connection ended after the first byte; it may have run. `cancelled`,
`timeout`: it may have run. `full`, `miss`: the worker's word that it did not. `error`: it may have run.
"""

import errno
import math
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from wickdyke.gateway import interfaces
from wickdyke.transport.write_buffer import SHORT_OF_MEMORY, Expired, WriteBuffer, OutgoingMessage, PeerTooSlow
from wickdyke.protocol import back, jsonrpc
from wickdyke.protocol.lines import Lines, TooLong
from wickdyke.settings import address as addresses

AGAIN, AGAIN_MOST = 100.0, 1000.0  # ms between attempts to connect while nothing is asked: at first, at most
CHUNK = 1 << 18  # bytes read at a time
MEMORY_RETRY = 0.01  # s until a read is tried again for which the kernel had no memory
# Errors of socket(2) and connect(2) that are of this machine, for a moment: workers are on it, so no way to them (and
# a listening socket whose queue is full, EAGAIN) tells nothing of one.
OURS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
)


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * 1000


class Command(interfaces.Command):
    """One message that is owed an answer, as it is sent.

    `params` is its bytes, or a function that renders them for the ms that are left until `ends`, a monotonic time in
    ms.
    """

    __slots__ = ("method", "params", "ends", "parcel", "number")

    def __init__(
        self, kind: str, key: Any, method: str, params: bytes | Callable[[float], bytes], ends: float = math.inf
    ) -> None:
        super().__init__(kind, key)
        self.method, self.params, self.ends = method, params, ends
        self.parcel: OutgoingMessage | None = None
        self.number = -1

    def line(self) -> bytes | None:
        """The request as it may be sent now; None where its time is up."""
        left = self.ends - clock()
        if left <= 0:
            return None
        params = self.params(left) if callable(self.params) else self.params
        return jsonrpc.request_line(self.method, params, self.number)


class WorkerClient:
    """The connection to one worker, made anew whenever it is lost.

    `tell(what, link, ...)` is called from the link's threads:
    ("hello", Standing), ("lost", why), ("unheard", why), ("draining",) and
    ("back", order, outcome, result bytes or None, data bytes or None).
    """

    def __init__(
        self, name: str, address: str, gateway: str, tell: Callable[..., None], dial: float, line: int, unread: int
    ) -> None:
        self.name, self.address, self.gateway, self.tell = name, address, gateway, tell
        self.dial, self.line, self.unread = dial, line, unread
        self.lock = threading.Lock()
        self.wanted = threading.Condition(self.lock)
        self.pending: list[Command] = []
        self.out: dict[int, Command] = {}
        self.outbox: WriteBuffer | None = None
        self.start: int | None = None
        self.number = 0
        self.retired = self.closed = False
        self.counts: Counter[str] = Counter()
        self.sock: socket.socket | None = None
        self.thread = threading.Thread(target=self._serve, name=f"link-{name}", daemon=True)
        self.thread.start()

    @property
    def up(self) -> bool:
        """Whether there is a connection."""
        return self.outbox is not None

    def send(self, order: Command) -> None:
        """Sends it, or has it sent once connected; its end comes by `tell` in each case."""
        failed = None
        with self.lock:
            if self.closed:
                failed = "unsent"
            elif self.outbox is None:
                self.pending.append(order)
                self.wanted.notify()
            else:
                failed = self._hand_over(order)
        if failed:
            self.tell("back", self, order, failed, None, None)

    def _hand_over(self, order: Command) -> str | None:
        self.number += 1
        order.number = self.number
        order.parcel = OutgoingMessage(order.line, expired=lambda: self._expired(order))
        self.out[order.number] = order
        try:
            self.outbox.put(order.parcel)
        except Expired:
            del self.out[order.number]
            return "unsent"
        except (PeerTooSlow, OSError):
            # The reader finds the connection ended and reports all that is out; what is not begun is known now.
            self.outbox.close()
            if not order.parcel.begun:
                del self.out[order.number]
                return "unsent"
        return None

    def _expired(self, order: Command) -> None:
        """The time of an order was up before a byte of it went. Called by the thread that writes."""
        with self.lock:
            if self.out.pop(order.number, None) is None:
                return
            idle = self.retired and not self.out
        self.tell("back", self, order, "unsent", None, None)
        if idle:
            self.close()

    def cancel(self, order: Command, done: Callable[[], None]) -> str | None:
        """Withdraws a call-out. "unsent" where no byte of it went; "cancelled" where the worker's end of the
        connection has the word, which `done` tells later where None is returned; "ended" where it has ended."""
        with self.lock:
            if self._unsend(order):
                return "unsent"
            if self.out.get(order.number) is not order:
                return "ended"
            line = jsonrpc.told_line("cancel", jsonrpc.encode(back.Cancel(order.number)))
            try:
                if not self.outbox.put(OutgoingMessage(line, lambda: self._cancelled(order, done))):
                    return None
            except (PeerTooSlow, OSError):
                self.outbox.close()
                return None  # the reader reports it as cut
            del self.out[order.number]
            return "cancelled"

    def _cancelled(self, order: Command, done: Callable[[], None]) -> None:
        with self.lock:
            if self.out.pop(order.number, None) is None:
                return
        done()

    def unsend(self, order: Command) -> bool:
        """Takes back what has not begun to go out; True where it was so, and it has ended."""
        with self.lock:
            return self._unsend(order)

    def _unsend(self, order: Command) -> bool:
        if order in self.pending:
            self.pending.remove(order)
            return True
        if self.out.get(order.number) is order and self.outbox is not None and self.outbox.withdraw(order.parcel):
            del self.out[order.number]
            return True
        return False

    def recall(self) -> None:
        """Nothing new goes there: what has not begun to go out ends as unsent."""
        with self.lock:
            taken = [order for order in [*self.pending, *self.out.values()] if self._unsend(order)]
        for order in taken:
            self.tell("back", self, order, "unsent", None, None)

    def forget(self, order: Command) -> bool:
        """No answer is waited for any more; False where it has ended already."""
        with self.lock:
            if order in self.pending:
                self.pending.remove(order)
                return True
            return self.out.pop(order.number, None) is not None

    def cut(self) -> None:
        """Ends the connection; what is out there ends as cut."""
        with self.lock:
            if self.outbox is not None:
                self.outbox.close()

    def retire(self) -> None:
        """No more is to be sent; the link ends with the last of what is out."""
        with self.lock:
            self.retired = True
        self.recall()
        with self.lock:
            idle = not self.out and not self.pending
        if idle:
            self.close()

    def close(self) -> None:
        """Ends the link."""
        with self.lock:
            self.closed = True
            if self.outbox is not None:
                self.outbox.close()
            elif self.sock is not None:
                try:
                    self.sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
            self.wanted.notify()

    # ---- the link's thread ----

    def _serve(self) -> None:
        pause = AGAIN
        while not self.closed:
            try:
                sock, standing, lines, rest = self._connect()
            except (OSError, jsonrpc.Fault, msgspec.MsgspecError, TooLong) as bad:
                if isinstance(bad, OSError) and bad.errno in OURS:
                    # Danger: told as unreached, a worker that stands is taken for one that starts anew and is empty.
                    self.counts[f"connect_{errno.errorcode[bad.errno]}"] += 1
                    self._end_pending("unsent")
                else:
                    self._unreached(f"{type(bad).__name__}: {bad}")
                with self.lock:
                    if not self.closed and not self.pending:
                        self.wanted.wait(pause / 1000)
                pause = min(AGAIN_MOST, pause * 2)
                continue
            pause = AGAIN
            why = self._read(sock, standing, lines, rest)
            self._lost(why)
            with self.lock:
                if not self.closed and not self.pending:
                    self.wanted.wait(pause / 1000)
        self._lost("closed")
        self._unreached("closed")

    def _connect(self) -> tuple[socket.socket, back.Standing, Lines, list[bytes]]:
        ends = time.monotonic() + self.dial / 1000
        sock = addresses.connect(self.address, self.dial)
        try:
            with self.lock:
                self.sock = sock
                if self.closed:
                    raise OSError("closed")
            sock.settimeout(max(0.001, ends - time.monotonic()))
            sock.sendall(jsonrpc.request_line("hello", jsonrpc.encode(back.Hello(back.VERSION, self.gateway)), 0))
            lines, got = Lines(self.line), []
            while not got:
                left = ends - time.monotonic()
                if left <= 0:
                    raise TimeoutError("no hello in time")
                sock.settimeout(left)
                data = sock.recv(CHUNK)
                if not data:
                    raise ConnectionResetError("ended before its hello")
                got = lines.feed(data)
            _, result, problem = jsonrpc.answer(got[0])
            if result is None:
                raise jsonrpc.Fault(problem.code, f"no hello but {problem.message}")
            standing = msgspec.json.decode(result, type=back.Standing)
            if standing.version != back.VERSION:
                raise jsonrpc.Fault(jsonrpc.INVALID, f"version {standing.version}, expected {back.VERSION}")
            sock.settimeout(None)
            return sock, standing, lines, got[1:]
        except BaseException:
            sock.close()
            raise

    def _read(self, sock: socket.socket, standing: back.Standing, lines: Lines, rest: list[bytes]) -> str:
        self.tell("hello", self, standing)
        failed: list[Command] = []
        with self.lock:
            if self.closed:
                sock.close()
                return "closed"
            # Danger: what waited was meant for the worker as it was; this one may be cold and empty.
            fresh, self.start = self.start not in (None, standing.start), standing.start
            self.outbox = WriteBuffer(sock, self.unread, f"link-{self.name}-out")
            waiting, self.pending = self.pending, []
            for order in waiting:
                if fresh or self._hand_over(order):
                    failed.append(order)
        for order in failed:
            self.tell("back", self, order, "unsent", None, None)
        try:
            for line in rest:
                self._answer(line)
            while True:
                data = _received(sock)
                if not data:
                    return "ended by the worker"
                for line in lines.feed(data):
                    self._answer(line)
        except (OSError, TooLong, jsonrpc.Fault) as bad:
            return f"{type(bad).__name__}: {bad}"

    def _answer(self, line: bytes) -> None:
        ident, result, problem = jsonrpc.answer(line)
        with self.lock:
            order = self.out.pop(ident, None) if isinstance(ident, int) else None
            if order is None:  # after its time, a second time, or for what was never asked: nobody waits for it
                self.counts["late" if isinstance(ident, int) and 0 < ident <= self.number else "stray"] += 1
                return
            idle = self.retired and not self.out
        if problem is None:
            outcome, data = "ok", None
        else:
            outcome, data = back.OUTCOMES.get(problem.code, "error"), bytes(problem.data)
            if problem.code == back.DRAINING:
                self.tell("draining", self)
        self.tell("back", self, order, outcome, result, data)
        if idle:
            self.close()

    def _lost(self, why: str) -> None:
        with self.lock:
            out, self.out = self.out, {}
            box, self.outbox = self.outbox, None
            sock, self.sock = self.sock, None
        if box is None:
            return
        box.close()
        sock.close()
        for order in out.values():
            # What still waited in the outbox never began: no byte of it can have reached the worker.
            self.tell("back", self, order, "cut" if order.parcel.begun else "unsent", None, None)
        self.tell("lost", self, why)

    def _unreached(self, why: str) -> None:
        self._end_pending("unreached")
        self.tell("unheard", self, why)

    def _end_pending(self, outcome: str) -> None:
        with self.lock:
            pending, self.pending = self.pending, []
            self.sock = None
        for order in pending:
            self.tell("back", self, order, outcome, None, None)


def _received(sock: socket.socket) -> bytes:
    """What comes next, empty at the end; raises OSError where the connection has ended otherwise."""
    while True:
        try:
            return sock.recv(CHUNK)
        except InterruptedError:
            continue
        except OSError as bad:
            if bad.errno not in SHORT_OF_MEMORY:
                raise
        time.sleep(MEMORY_RETRY)
