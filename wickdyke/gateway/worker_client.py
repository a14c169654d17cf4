"""The connection to one worker of the JSON-RPC gateway, and exactly what is known of each command sent on it.

The rules depend on the outcomes. UNSENT: no byte was handed to the kernel. UNREACHED: no connection could be made, or
the worker said no hello. CONNECTION_LOST: the connection ended after the first byte; it may have run. CANCELLED,
TIMEOUT: it may have run. FULL, MISS: the worker's word that it did not. ERROR: it may have run.
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
from wickdyke.gateway.events import (
    CommandFinished,
    Event,
    WorkerConnected,
    WorkerConnectionLost,
    WorkerDraining,
    WorkerUnreachable,
)
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.transport.write_buffer import SHORT_OF_MEMORY, Expired, WriteBuffer, OutgoingMessage, PeerTooSlow
from wickdyke.protocol import back, jsonrpc
from wickdyke.protocol.lines import Lines, TooLong
from wickdyke.routing.model import Outcome
from wickdyke.settings import address as addresses

RECONNECT_PAUSE = 100.0  # ms between attempts to connect while nothing is asked: at first
RECONNECT_PAUSE_MOST = 1000.0  # ms
READ_SIZE = 1 << 18  # bytes read at a time
MEMORY_RETRY = 0.01  # s until a read is tried again for which the kernel had no memory
# Errors of socket(2) and connect(2) that are of this machine, for a moment: workers are on it, so no way to them (and
# a listening socket whose queue is full, EAGAIN) tells nothing of one.
LOCAL_ERRORS = (
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

    `params` is its bytes, or a function that renders them for the ms that are left until `deadline` (monotonic ms).
    """

    __slots__ = ("method", "params", "deadline", "message", "number")

    def __init__(
        self,
        kind: CommandKind,
        key: Any,
        method: str,
        params: bytes | Callable[[float], bytes],
        deadline: float = math.inf,
    ) -> None:
        super().__init__(kind, key)
        self.method, self.params, self.deadline = method, params, deadline
        self.message: OutgoingMessage | None = None
        self.number = -1

    def line(self) -> bytes | None:
        """The request as it may be sent now; None where its time is up."""
        left = self.deadline - clock()
        if left <= 0:
            return None
        params = self.params(left) if callable(self.params) else self.params
        return jsonrpc.request_line(self.method, params, self.number)


class WorkerClient:
    """The connection to one worker, made anew whenever it is lost.

    `notify` is called from its threads with what happens: WorkerConnected, WorkerConnectionLost, WorkerUnreachable,
    WorkerDraining, and CommandFinished once for each command.
    """

    def __init__(
        self,
        name: str,
        address: str,
        gateway: str,
        notify: Callable[[Event], None],
        connect_timeout: float,
        max_line: int,
        max_unread: int,
    ) -> None:
        self.name, self.address, self.gateway, self.notify = name, address, gateway, notify
        self.connect_timeout, self.max_line, self.max_unread = connect_timeout, max_line, max_unread
        self.lock = threading.Lock()
        self.command_queued = threading.Condition(self.lock)
        self.pending: list[Command] = []
        self.in_flight: dict[int, Command] = {}
        self.write_buffer: WriteBuffer | None = None
        self.start: int | None = None
        self.number = 0
        self.draining = self.closed = False
        self.counts: Counter[str] = Counter()
        self.sock: socket.socket | None = None
        self.thread = threading.Thread(target=self._serve, name=f"worker-{name}", daemon=True)
        self.thread.start()

    @property
    def up(self) -> bool:
        """Whether there is a connection."""
        return self.write_buffer is not None

    def send(self, command: Command) -> None:
        """Sends it, or has it sent once connected; its end comes by `notify` in each case."""
        failed = None
        with self.lock:
            if self.closed:
                failed = Outcome.UNSENT
            elif self.write_buffer is None:
                self.pending.append(command)
                self.command_queued.notify()
            else:
                failed = self._hand_over(command)
        if failed:
            self.notify(CommandFinished(self, command, failed))

    def _hand_over(self, command: Command) -> str | None:
        self.number += 1
        command.number = self.number
        command.message = OutgoingMessage(command.line, expired=lambda: self._expired(command))
        self.in_flight[command.number] = command
        try:
            self.write_buffer.put(command.message)
        except Expired:
            del self.in_flight[command.number]
            return Outcome.UNSENT
        except (PeerTooSlow, OSError):
            # The reader finds the connection ended and reports all that is in flight; what is not begun is known now.
            self.write_buffer.close()
            if not command.message.begun:
                del self.in_flight[command.number]
                return Outcome.UNSENT
        return None

    def _expired(self, command: Command) -> None:
        """The time of a command was up before a byte of it went. Called by the thread that writes."""
        with self.lock:
            if self.in_flight.pop(command.number, None) is None:
                return
            idle = self.draining and not self.in_flight
        self.notify(CommandFinished(self, command, Outcome.UNSENT))
        if idle:
            self.close()

    def cancel(self, command: Command, done: Callable[[], None]) -> str | None:
        """Withdraws an attempt. UNSENT where no byte of it went; CANCELLED where the worker's end of the
        connection has the word, which `done` tells later where None is returned; "ended" where it has ended."""
        with self.lock:
            if self._withdraw(command):
                return Outcome.UNSENT
            if self.in_flight.get(command.number) is not command:
                return "ended"
            line = jsonrpc.told_line("cancel", jsonrpc.encode(back.Cancel(command.number)))
            try:
                if not self.write_buffer.put(OutgoingMessage(line, lambda: self._cancelled(command, done))):
                    return None
            except (PeerTooSlow, OSError):
                self.write_buffer.close()
                return None  # the reader reports it as lost
            del self.in_flight[command.number]
            return Outcome.CANCELLED

    def _cancelled(self, command: Command, done: Callable[[], None]) -> None:
        with self.lock:
            if self.in_flight.pop(command.number, None) is None:
                return
        done()

    def withdraw_unsent(self, command: Command) -> bool:
        """Takes back what has not begun to go out; True where it was so, and it has ended."""
        with self.lock:
            return self._withdraw(command)

    def _withdraw(self, command: Command) -> bool:
        if command in self.pending:
            self.pending.remove(command)
            return True
        if (
            self.in_flight.get(command.number) is command
            and self.write_buffer is not None
            and self.write_buffer.withdraw(command.message)
        ):
            del self.in_flight[command.number]
            return True
        return False

    def withdraw_all_unsent(self) -> None:
        """Nothing new goes there: what has not begun to go out ends as unsent."""
        with self.lock:
            taken = [command for command in [*self.pending, *self.in_flight.values()] if self._withdraw(command)]
        for command in taken:
            self.notify(CommandFinished(self, command, Outcome.UNSENT))

    def abandon(self, command: Command) -> bool:
        """No answer is waited for any more; False where it has ended already."""
        with self.lock:
            if command in self.pending:
                self.pending.remove(command)
                return True
            return self.in_flight.pop(command.number, None) is not None

    def disconnect(self) -> None:
        """Ends the connection; what is in flight there ends as lost."""
        with self.lock:
            if self.write_buffer is not None:
                self.write_buffer.close()

    def drain(self) -> None:
        """No more is to be sent; it ends with the last of what is in flight."""
        with self.lock:
            self.draining = True
        self.withdraw_all_unsent()
        with self.lock:
            idle = not self.in_flight and not self.pending
        if idle:
            self.close()

    def close(self) -> None:
        """Ends it at once."""
        with self.lock:
            self.closed = True
            if self.write_buffer is not None:
                self.write_buffer.close()
            elif self.sock is not None:
                try:
                    self.sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
            self.command_queued.notify()

    # ---- its thread ----

    def _serve(self) -> None:
        pause = RECONNECT_PAUSE
        while not self.closed:
            try:
                sock, standing, lines, rest = self._connect()
            except (OSError, jsonrpc.Fault, msgspec.MsgspecError, TooLong) as bad:
                if isinstance(bad, OSError) and bad.errno in LOCAL_ERRORS:
                    # Danger: told as unreached, a worker that stands is taken for one that starts anew and is empty.
                    self.counts[f"connect_{errno.errorcode[bad.errno]}"] += 1
                    self._end_pending(Outcome.UNSENT)
                else:
                    self._unreached(f"{type(bad).__name__}: {bad}")
                with self.lock:
                    if not self.closed and not self.pending:
                        self.command_queued.wait(pause / 1000)
                pause = min(RECONNECT_PAUSE_MOST, pause * 2)
                continue
            pause = RECONNECT_PAUSE
            why = self._read(sock, standing, lines, rest)
            self._lost(why)
            with self.lock:
                if not self.closed and not self.pending:
                    self.command_queued.wait(pause / 1000)
        self._lost("closed")
        self._unreached("closed")

    def _connect(self) -> tuple[socket.socket, back.Standing, Lines, list[bytes]]:
        ends = time.monotonic() + self.connect_timeout / 1000
        sock = addresses.connect(self.address, self.connect_timeout)
        try:
            with self.lock:
                self.sock = sock
                if self.closed:
                    raise OSError("closed")
            sock.settimeout(max(0.001, ends - time.monotonic()))
            sock.sendall(jsonrpc.request_line("hello", jsonrpc.encode(back.Hello(back.VERSION, self.gateway)), 0))
            lines, got = Lines(self.max_line), []
            while not got:
                left = ends - time.monotonic()
                if left <= 0:
                    raise TimeoutError("no hello in time")
                sock.settimeout(left)
                data = sock.recv(READ_SIZE)
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
        self.notify(WorkerConnected(self, standing))
        failed: list[Command] = []
        with self.lock:
            if self.closed:
                sock.close()
                return "closed"
            # Danger: what waited was meant for the worker as it was; this one may be cold and empty.
            fresh, self.start = self.start not in (None, standing.start), standing.start
            self.write_buffer = WriteBuffer(sock, self.max_unread, f"worker-{self.name}-out")
            waiting, self.pending = self.pending, []
            for command in waiting:
                if fresh or self._hand_over(command):
                    failed.append(command)
        for command in failed:
            self.notify(CommandFinished(self, command, Outcome.UNSENT))
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
            command = self.in_flight.pop(ident, None) if isinstance(ident, int) else None
            if command is None:  # after its time, a second time, or for what was never asked: nobody waits for it
                self.counts["late" if isinstance(ident, int) and 0 < ident <= self.number else "stray"] += 1
                return
            idle = self.draining and not self.in_flight
        if problem is None:
            outcome, data = "ok", None
        else:
            outcome, data = back.OUTCOMES.get(problem.code, "error"), bytes(problem.data)
            if problem.code == back.DRAINING:
                self.notify(WorkerDraining(self))
        self.notify(CommandFinished(self, command, outcome, result, data))
        if idle:
            self.close()

    def _lost(self, why: str) -> None:
        with self.lock:
            in_flight, self.in_flight = self.in_flight, {}
            write_buffer, self.write_buffer = self.write_buffer, None
            sock, self.sock = self.sock, None
        if write_buffer is None:
            return
        write_buffer.close()
        sock.close()
        for command in in_flight.values():
            # What still waited in the write_buffer never began: no byte of it can have reached the worker.
            self.notify(
                CommandFinished(self, command, Outcome.CONNECTION_LOST if command.message.begun else Outcome.UNSENT)
            )
        self.notify(WorkerConnectionLost(self, why))

    def _unreached(self, why: str) -> None:
        self._end_pending(Outcome.UNREACHED)
        self.notify(WorkerUnreachable(self, why))

    def _end_pending(self, outcome: str) -> None:
        with self.lock:
            pending, self.pending = self.pending, []
            self.sock = None
        for command in pending:
            self.notify(CommandFinished(self, command, outcome))


def _received(sock: socket.socket) -> bytes:
    """What comes next, empty at the end; raises OSError where the connection has ended otherwise."""
    while True:
        try:
            return sock.recv(READ_SIZE)
        except InterruptedError:
            continue
        except OSError as bad:
            if bad.errno not in SHORT_OF_MEMORY:
                raise
        time.sleep(MEMORY_RETRY)
