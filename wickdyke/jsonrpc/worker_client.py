"""The JSON-RPC gateway's client of one worker, which determines the exact outcome of each command.

The routing rules rely on these outcomes. UNSENT: no byte was handed to the kernel. UNREACHED: no connection could be
made, or the worker sent no hello. CONNECTION_LOST: the connection ended after the first byte; the command may have run.
CANCELLED, TIMEOUT: it may have run. FULL, MISS: the worker answered that it did not run. ERROR: it may have run.
"""

import contextlib
import errno
import math
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from wickdyke.config import address as addresses
from wickdyke.gateway.events import (
    CommandFinished,
    Event,
    WorkerConnected,
    WorkerConnectionLost,
    WorkerDraining,
    WorkerUnreachable,
)
from wickdyke.gateway.interfaces import Withdrawal
from wickdyke.jsonrpc.worker_command import MS_PER_SECOND, Command, OpenCommands
from wickdyke.jsonrpc.worker_handshake import LOCAL_ERRORS, Handshake, shake_hands
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.protocol.framing import LineTooLongError
from wickdyke.routing.model import Outcome
from wickdyke.transport.write_buffer import MessageExpiredError, OutgoingMessage, PeerTooSlowError, WriteBuffer

MIN_RECONNECT_PAUSE = 100.0  # ms between the first attempts to connect while no command waits
MAX_RECONNECT_PAUSE = 1000.0  # ms
RECONNECT_PAUSE_GROWTH = 2


class ClientClosedError(OSError):
    """The worker client was closed while it was connecting."""


@dataclass(slots=True, frozen=True)
class WorkerClientSettings:
    """The settings shared by the clients of all workers.

    `gateway` is the gateway's name in the hello; `connect_timeout` (ms) covers the connection and the hello; `max_line`
    is the maximum length of a response in bytes; `max_unread` is how many bytes may wait for a worker to read them.
    """

    gateway: str
    connect_timeout: float
    max_line: int
    max_unread: int


class ClientState(Enum):
    """The state of a worker client."""

    OPEN = auto()
    DRAINING = auto()  # sends no new command, and closes with the last command in flight
    CLOSED = auto()


class WorkerClient:
    """The client of one worker, with one connection that is re-established whenever it is lost.

    `notify` is called from its threads with WorkerConnected, WorkerConnectionLost, WorkerUnreachable and WorkerDraining
    events, and with CommandFinished once for each command.
    """

    def __init__(
        self, name: str, address: str, settings: WorkerClientSettings, notify: Callable[[Event], None]
    ) -> None:
        self.name = name
        self.process_changed_at = -math.inf  # each connection begins with a hello that tells the worker's start
        self.address = address
        self.settings = settings
        self.notify = notify
        self.lock = threading.Lock()  # guards the fields below
        self.command_queued = threading.Condition(self.lock)
        self.state = ClientState.OPEN
        self.commands = OpenCommands()
        self.sock: socket.socket | None = None
        self.write_buffer: WriteBuffer | None = None  # of the present connection
        self.start: int | None = None  # the number of the worker's start in its last hello
        self.counts: Counter[str] = Counter()
        self.thread = threading.Thread(target=self._serve, name=f"worker-{name}", daemon=True)
        self.thread.start()

    @property
    def is_connected(self) -> bool:
        """Whether the worker is connected."""
        return self.write_buffer is not None

    # ---- called from other threads ----

    def send(self, command: Command) -> None:
        """Sends a command, at once or when connected; `notify` is called with CommandFinished in either case."""
        with self.lock:
            outcome = self._send_or_queue(command)
        if outcome is not None:
            self.notify(CommandFinished(self, command, outcome))

    def cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        """Cancels an attempt; for the result PENDING, `done` is called once the kernel has accepted the cancel."""
        with self.lock:
            if self.commands.withdraw(command, self.write_buffer):
                return Withdrawal.UNSENT
            if self.write_buffer is None or not self.commands.is_in_flight(command):
                return Withdrawal.ENDED
            line = jsonrpc.notification_line("cancel", jsonrpc.encode(worker_messages.CancelRequest(command.number)))
            try:
                if not self.write_buffer.put(OutgoingMessage(line, lambda: self._cancel_sent(command, done))):
                    return Withdrawal.PENDING
            except (PeerTooSlowError, OSError):
                self.write_buffer.close()
                return Withdrawal.PENDING  # the reader thread reports the command as lost
            self.commands.end(command.number)
            return Withdrawal.CANCELLED

    def withdraw_unsent(self, command: Command) -> bool:
        """Withdraws a command of which no byte was sent; returns True if that was possible: the command has ended."""
        with self.lock:
            return self.commands.withdraw(command, self.write_buffer)

    def withdraw_all_unsent(self) -> None:
        """Withdraws all commands of which no byte was sent, with the outcome UNSENT."""
        with self.lock:
            withdrawn = [
                command for command in self.commands.all() if self.commands.withdraw(command, self.write_buffer)
            ]
        self._finish(withdrawn, Outcome.UNSENT)

    def abandon(self, command: Command) -> bool:
        """Stops waiting for a response; returns False if the command has ended already."""
        with self.lock:
            return self.commands.abandon(command)

    def disconnect(self) -> None:
        """Ends the connection; commands in flight end as lost."""
        with self.lock:
            if self.write_buffer is not None:
                self.write_buffer.close()

    def drain(self) -> None:
        """Sends no further commands, and closes the client once the last command in flight has ended."""
        with self.lock:
            if self.state is ClientState.OPEN:
                self.state = ClientState.DRAINING
        self.withdraw_all_unsent()
        with self.lock:
            idle = not self.commands
        if idle:
            self.close()

    def close(self) -> None:
        """Closes the client and its connection at once."""
        with self.lock:
            self.state = ClientState.CLOSED
            if self.write_buffer is not None:
                self.write_buffer.close()
            elif self.sock is not None:
                with contextlib.suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)
            self.command_queued.notify()

    # ---- sending ----

    def _send_or_queue(self, command: Command) -> Outcome | None:
        """Sends or queues a command; returns its outcome if it has ended, or None."""
        if self.state is ClientState.CLOSED:
            return Outcome.UNSENT
        if self.write_buffer is not None:
            return self._hand_over(command, self.write_buffer)
        self.commands.waiting_commands.append(command)
        self.command_queued.notify()
        return None

    def _hand_over(self, command: Command, write_buffer: WriteBuffer) -> Outcome | None:
        """Hands a command to the connection; returns its outcome if it has ended, or None."""
        message = OutgoingMessage(command.line, on_expired=lambda: self._command_expired(command))
        self.commands.begin(command, message)
        try:
            write_buffer.put(message)
        except MessageExpiredError:
            self.commands.end(command.number)
            return Outcome.UNSENT
        except (PeerTooSlowError, OSError):
            # The reader thread finds the connection ended and reports all commands in flight. The outcome of this one
            # is known now if no byte of it was sent.
            write_buffer.close()
            if not message.send_started:
                self.commands.end(command.number)
                return Outcome.UNSENT
        return None

    def _command_expired(self, command: Command) -> None:
        """Ends a command whose deadline passed before a byte of it was sent. Called by the write buffer's thread."""
        with self.lock:
            if self.commands.end(command.number) is None:
                return
            idle = self._is_drained()
        self.notify(CommandFinished(self, command, Outcome.UNSENT))
        if idle:
            self.close()

    def _cancel_sent(self, command: Command, done: Callable[[], None]) -> None:
        with self.lock:
            if self.commands.end(command.number) is None:
                return
        done()

    def _is_drained(self) -> bool:
        return self.state is ClientState.DRAINING and not self.commands.in_flight

    def _finish(self, commands: list[Command], outcome: Outcome) -> None:
        for command in commands:
            self.notify(CommandFinished(self, command, outcome))

    # ---- the client's thread ----

    def _serve(self) -> None:
        pause = MIN_RECONNECT_PAUSE
        while self.state is not ClientState.CLOSED:
            try:
                handshake = self._connect()
            except (OSError, jsonrpc.MalformedRequestError, msgspec.MsgspecError, LineTooLongError) as error:
                self._connect_failed(error)
                self._wait_for_command(pause)
                pause = min(MAX_RECONNECT_PAUSE, pause * RECONNECT_PAUSE_GROWTH)
                continue
            pause = MIN_RECONNECT_PAUSE
            self._connection_lost(self._serve_connection(handshake))
            self._wait_for_command(pause)
        self._connection_lost("closed")
        self._report_unreachable("closed")

    def _wait_for_command(self, pause: float) -> None:
        with self.lock:
            if self.state is not ClientState.CLOSED and not self.commands.waiting_commands:
                self.command_queued.wait(pause / MS_PER_SECOND)

    def _connect(self) -> Handshake:
        settings = self.settings
        deadline = time.monotonic() + settings.connect_timeout / MS_PER_SECOND
        sock = addresses.connect(self.address, settings.connect_timeout)
        try:
            with self.lock:
                self.sock = sock
                if self.state is ClientState.CLOSED:
                    raise ClientClosedError("closed")
            return shake_hands(sock, settings.gateway, settings.max_line, deadline)
        except BaseException:
            sock.close()
            raise

    def _connect_failed(self, error: Exception) -> None:
        if isinstance(error, OSError) and error.errno in LOCAL_ERRORS:
            # With UNREACHED, a worker that is up would be taken for one that has restarted and is empty.
            self.counts[f"connect_{errno.errorcode[error.errno]}"] += 1
            self._end_waiting(Outcome.UNSENT)
        else:
            self._report_unreachable(f"{type(error).__name__}: {error}")

    def _serve_connection(self, handshake: Handshake) -> str:
        """Sends the waiting commands and reads responses; returns why the connection ended."""
        self.notify(WorkerConnected(self, handshake.hello))
        if not self._send_waiting(handshake):
            return "closed"
        try:
            for line in handshake.lines():
                self._receive(line)
        except (OSError, LineTooLongError, jsonrpc.MalformedRequestError) as error:
            return f"{type(error).__name__}: {error}"
        return "ended by the worker"

    def _send_waiting(self, handshake: Handshake) -> bool:
        """Sends the commands that wait for a connection; returns False if the client was closed meanwhile."""
        unsent: list[Command] = []
        with self.lock:
            if self.state is ClientState.CLOSED:
                handshake.sock.close()
                return False
            # The commands were meant for the worker before its restart; a restarted one may be warming up and empty.
            start = handshake.hello.start
            restarted = self.start not in (None, start)
            self.start = start
            write_buffer = WriteBuffer(handshake.sock, self.settings.max_unread, f"worker-{self.name}-out")
            self.write_buffer = write_buffer
            for command in self.commands.take_waiting():
                if restarted or self._hand_over(command, write_buffer):
                    unsent.append(command)
        self._finish(unsent, Outcome.UNSENT)
        return True

    def _receive(self, line: bytes) -> None:
        """Ends the command to which the line is the response."""
        response = jsonrpc.parse_response(line)
        with self.lock:
            command = self.commands.end(response.ident)
            if command is None:  # late, duplicate, or with an id that was never used
                self.counts["late" if self.commands.was_sent(response.ident) else "stray"] += 1
                return
            idle = self._is_drained()
        if response.error is None:
            self.notify(CommandFinished(self, command, Outcome.OK, response.result, None))
        else:
            self._finish_with_error(command, response.error)
        if idle:
            self.close()

    def _finish_with_error(self, command: Command, error: jsonrpc.ErrorObject) -> None:
        if error.code == worker_messages.DRAINING:
            self.notify(WorkerDraining(self))
        outcome = Outcome(worker_messages.OUTCOMES.get(error.code, Outcome.ERROR))
        self.notify(CommandFinished(self, command, outcome, None, bytes(error.data)))

    def _connection_lost(self, reason: str) -> None:
        with self.lock:
            in_flight = self.commands.take_in_flight()
            write_buffer = self.write_buffer
            sock = self.sock
            self.write_buffer = None
            self.sock = None
        if write_buffer is None:
            return
        write_buffer.close()
        if sock is not None:
            sock.close()
        for command in in_flight:
            # No byte of a command that still waited in the write buffer can have reached the worker.
            outcome = Outcome.CONNECTION_LOST if command.send_started else Outcome.UNSENT
            self.notify(CommandFinished(self, command, outcome))
        self.notify(WorkerConnectionLost(self, reason))

    def _report_unreachable(self, reason: str) -> None:
        self._end_waiting(Outcome.UNREACHED)
        self.notify(WorkerUnreachable(self, reason))

    def _end_waiting(self, outcome: Outcome) -> None:
        with self.lock:
            waiting_commands = self.commands.take_waiting()
            self.sock = None
        self._finish(waiting_commands, outcome)
