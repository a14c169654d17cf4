"""The connection to one worker of the JSON-RPC gateway, and exactly what is known of each command sent on it.

The rules depend on the outcomes. UNSENT: no byte was handed to the kernel. UNREACHED: no connection could be made, or
the worker said no hello. CONNECTION_LOST: the connection ended after the first byte; it may have run. CANCELLED,
TIMEOUT: it may have run. FULL, MISS: the worker said that it did not. ERROR: it may have run.
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

from wickdyke.config import address as addresses
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
from wickdyke.jsonrpc.worker_handshake import READ_SIZE, Handshake, shake_hands
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.protocol.framing import LineTooLongError
from wickdyke.routing.model import Outcome
from wickdyke.transport.write_buffer import (
    SHORT_OF_MEMORY,
    MessageExpiredError,
    OutgoingMessage,
    PeerTooSlowError,
    WriteBuffer,
)

RECONNECT_PAUSE = 100.0  # ms between attempts to connect while nothing is asked: at first
RECONNECT_PAUSE_MOST = 1000.0  # ms
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
        """Sends it, or has it sent once connected; `notify` is told of its end in each case."""
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
        except MessageExpiredError:
            del self.in_flight[command.number]
            return Outcome.UNSENT
        except (PeerTooSlowError, OSError):
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
        """Withdraws an attempt.

        Returns UNSENT where no byte of it went, CANCELLED where the cancel is with the kernel, "ended" where the
        attempt has ended, and None where the cancel waits to be written: `done` is called once it is with the kernel.
        """
        with self.lock:
            if self._withdraw(command):
                return Outcome.UNSENT
            if self.in_flight.get(command.number) is not command:
                return "ended"
            line = jsonrpc.notification_line("cancel", jsonrpc.encode(worker_messages.CancelRequest(command.number)))
            try:
                if not self.write_buffer.put(OutgoingMessage(line, lambda: self._cancelled(command, done))):
                    return None
            except (PeerTooSlowError, OSError):
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
                handshake = self._connect()
            except (OSError, jsonrpc.MalformedRequestError, msgspec.MsgspecError, LineTooLongError) as error:
                self._connect_failed(error)
                self._wait_for_command(pause)
                pause = min(RECONNECT_PAUSE_MOST, pause * 2)
                continue
            pause = RECONNECT_PAUSE
            self._lost(self._serve_connection(handshake))
            self._wait_for_command(pause)
        self._lost("closed")
        self._unreached("closed")

    def _wait_for_command(self, pause: float) -> None:
        with self.lock:
            if not self.closed and not self.pending:
                self.command_queued.wait(pause / 1000)

    def _connect(self) -> Handshake:
        ends = time.monotonic() + self.connect_timeout / 1000
        sock = addresses.connect(self.address, self.connect_timeout)
        try:
            with self.lock:
                self.sock = sock
                if self.closed:
                    raise OSError("closed")
            return shake_hands(sock, self.gateway, self.max_line, ends)
        except BaseException:
            sock.close()
            raise

    def _connect_failed(self, error: Exception) -> None:
        if isinstance(error, OSError) and error.errno in LOCAL_ERRORS:
            # Reported as unreached, a worker that is up would be taken for one that starts anew and is empty.
            self.counts[f"connect_{errno.errorcode[error.errno]}"] += 1
            self._end_pending(Outcome.UNSENT)
        else:
            self._unreached(f"{type(error).__name__}: {error}")

    def _serve_connection(self, handshake: Handshake) -> str:
        """Sends what waits and reads answers; why the connection ended."""
        self.notify(WorkerConnected(self, handshake.standing))
        if not self._send_pending(handshake):
            return "closed"
        try:
            for line in handshake.unread_lines:
                self._answer(line)
            while data := _received(handshake.sock):
                for line in handshake.lines.feed(data):
                    self._answer(line)
        except (OSError, LineTooLongError, jsonrpc.MalformedRequestError) as error:
            return f"{type(error).__name__}: {error}"
        return "ended by the worker"

    def _send_pending(self, handshake: Handshake) -> bool:
        """Hands over the commands that wait for a connection; False where the client was closed meanwhile."""
        unsent: list[Command] = []
        with self.lock:
            if self.closed:
                handshake.sock.close()
                return False
            # What waited was meant for the worker as it was; one that has started anew may be cold and empty.
            start = handshake.standing.start
            restarted, self.start = self.start not in (None, start), start
            self.write_buffer = WriteBuffer(handshake.sock, self.max_unread, f"worker-{self.name}-out")
            pending, self.pending = self.pending, []
            for command in pending:
                if restarted or self._hand_over(command):
                    unsent.append(command)
        for command in unsent:
            self.notify(CommandFinished(self, command, Outcome.UNSENT))
        return True

    def _answer(self, line: bytes) -> None:
        ident, result, problem = jsonrpc.parse_response(line)
        with self.lock:
            command = self.in_flight.pop(ident, None) if isinstance(ident, int) else None
            if command is None:  # too late, a second time, or never asked for: nobody waits for it
                self.counts["late" if isinstance(ident, int) and 0 < ident <= self.number else "stray"] += 1
                return
            idle = self.draining and not self.in_flight
        if problem is None:
            outcome, data = Outcome.OK, None
        else:
            outcome, data = worker_messages.OUTCOMES.get(problem.code, Outcome.ERROR), bytes(problem.data)
            if problem.code == worker_messages.DRAINING:
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
            # What still waited in the write buffer never began: no byte of it can have reached the worker.
            outcome = Outcome.CONNECTION_LOST if command.message.begun else Outcome.UNSENT
            self.notify(CommandFinished(self, command, outcome))
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
        except OSError as error:
            if error.errno not in SHORT_OF_MEMORY:
                raise
        time.sleep(MEMORY_RETRY)
