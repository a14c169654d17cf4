"""The client of one worker of the JSON-RPC gateway: it determines exactly how each command ended.

The rules depend on the outcomes. UNSENT: no byte was handed to the kernel. UNREACHED: no connection could be made, or
the worker sent no hello. CONNECTION_LOST: the connection ended after the first byte; it may have run. CANCELLED,
TIMEOUT: it may have run. FULL, MISS: the worker answered that it did not. ERROR: it may have run.
"""

import contextlib
import errno
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

MIN_RECONNECT_PAUSE = 100.0  # ms between attempts to connect while no command waits: at first
MAX_RECONNECT_PAUSE = 1000.0  # ms
RECONNECT_PAUSE_GROWTH = 2


class ClientClosedError(OSError):
    """The client was closed while it connected."""


@dataclass(slots=True, frozen=True)
class WorkerClientSettings:
    """What the clients of all workers share.

    `gateway` is the name in the hello; `connect_timeout` is ms, for the connection and the hello; `max_line` is bytes
    of a response; `max_unread` is bytes that may wait for a worker to read.
    """

    gateway: str
    connect_timeout: float
    max_line: int
    max_unread: int


class ClientState(Enum):
    """What a worker client still does."""

    OPEN = auto()
    DRAINING = auto()  # sends nothing new, and closes with the last command in flight
    CLOSED = auto()


class WorkerClient:
    """The client of one worker; it keeps one connection, which is made anew whenever it is lost.

    `notify` is called from its threads with WorkerConnected, WorkerConnectionLost, WorkerUnreachable, WorkerDraining,
    and CommandFinished once for each command.
    """

    def __init__(
        self, name: str, address: str, settings: WorkerClientSettings, notify: Callable[[Event], None]
    ) -> None:
        self.name = name
        self.address = address
        self.settings = settings
        self.notify = notify
        self.lock = threading.Lock()  # guards the fields below
        self.command_queued = threading.Condition(self.lock)
        self.state = ClientState.OPEN
        self.commands = OpenCommands()
        self.sock: socket.socket | None = None
        self.write_buffer: WriteBuffer | None = None  # of the present connection
        self.start: int | None = None  # the worker's, at the last hello
        self.counts: Counter[str] = Counter()
        self.thread = threading.Thread(target=self._serve, name=f"worker-{name}", daemon=True)
        self.thread.start()

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection."""
        return self.write_buffer is not None

    # ---- called from other threads ----

    def send(self, command: Command) -> None:
        """Sends it, or has it sent once connected; `notify` is called with its end in each case."""
        with self.lock:
            outcome = self._send_or_queue(command)
        if outcome is not None:
            self.notify(CommandFinished(self, command, outcome))

    def cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        """Withdraws an attempt; `done` is called once a cancel that is PENDING is with the kernel."""
        with self.lock:
            if self.commands.withdraw(command, self.write_buffer):
                return Withdrawal.UNSENT
            if self.write_buffer is None or not self.commands.is_in_flight(command):
                return Withdrawal.ENDED
            line = jsonrpc.notification_line("cancel", jsonrpc.encode(worker_messages.CancelRequest(command.number)))
            try:
                if not self.write_buffer.put(OutgoingMessage(line, lambda: self._cancelled(command, done))):
                    return Withdrawal.PENDING
            except (PeerTooSlowError, OSError):
                self.write_buffer.close()
                return Withdrawal.PENDING  # the reader reports it as lost
            self.commands.end(command.number)
            return Withdrawal.CANCELLED

    def withdraw_unsent(self, command: Command) -> bool:
        """Takes back what has not begun to be sent; True where it was so, and it has ended."""
        with self.lock:
            return self.commands.withdraw(command, self.write_buffer)

    def withdraw_all_unsent(self) -> None:
        """Takes back all that has not begun to be sent: it ends as unsent."""
        with self.lock:
            withdrawn = [
                command for command in self.commands.all() if self.commands.withdraw(command, self.write_buffer)
            ]
        self._finish(withdrawn, Outcome.UNSENT)

    def abandon(self, command: Command) -> bool:
        """Stops waiting for a response; False where the command has ended already."""
        with self.lock:
            return self.commands.abandon(command)

    def disconnect(self) -> None:
        """Ends the connection; what is in flight there ends as lost."""
        with self.lock:
            if self.write_buffer is not None:
                self.write_buffer.close()

    def drain(self) -> None:
        """Sends no more; it closes with the last command in flight."""
        with self.lock:
            if self.state is ClientState.OPEN:
                self.state = ClientState.DRAINING
        self.withdraw_all_unsent()
        with self.lock:
            idle = not self.commands
        if idle:
            self.close()

    def close(self) -> None:
        """Ends it at once."""
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
        """Returns how the command has ended, if it has."""
        if self.state is ClientState.CLOSED:
            return Outcome.UNSENT
        if self.write_buffer is not None:
            return self._hand_over(command, self.write_buffer)
        self.commands.waiting.append(command)
        self.command_queued.notify()
        return None

    def _hand_over(self, command: Command, write_buffer: WriteBuffer) -> Outcome | None:
        """Hands a command to the connection; returns how it has ended, if it has."""
        message = OutgoingMessage(command.line, expired=lambda: self._expired(command))
        self.commands.begin(command, message)
        try:
            write_buffer.put(message)
        except MessageExpiredError:
            self.commands.end(command.number)
            return Outcome.UNSENT
        except (PeerTooSlowError, OSError):
            # The reader finds the connection ended and reports all that is in flight; this one is certain now.
            write_buffer.close()
            if not message.begun:
                self.commands.end(command.number)
                return Outcome.UNSENT
        return None

    def _expired(self, command: Command) -> None:
        """The deadline of a command passed before a byte of it was sent. Called by the thread that writes."""
        with self.lock:
            if self.commands.end(command.number) is None:
                return
            idle = self._is_drained()
        self.notify(CommandFinished(self, command, Outcome.UNSENT))
        if idle:
            self.close()

    def _cancelled(self, command: Command, done: Callable[[], None]) -> None:
        with self.lock:
            if self.commands.end(command.number) is None:
                return
        done()

    def _is_drained(self) -> bool:
        return self.state is ClientState.DRAINING and not self.commands.in_flight

    def _finish(self, commands: list[Command], outcome: Outcome) -> None:
        for command in commands:
            self.notify(CommandFinished(self, command, outcome))

    # ---- its thread ----

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
        self._unreached("closed")

    def _wait_for_command(self, pause: float) -> None:
        with self.lock:
            if self.state is not ClientState.CLOSED and not self.commands.waiting:
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
            # Reported as unreached, a worker that is up would be taken for one that has restarted and is empty.
            self.counts[f"connect_{errno.errorcode[error.errno]}"] += 1
            self._end_waiting(Outcome.UNSENT)
        else:
            self._unreached(f"{type(error).__name__}: {error}")

    def _serve_connection(self, handshake: Handshake) -> str:
        """Sends what waits and reads responses; returns why the connection ended."""
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
        """Hands over the commands that wait for a connection; False where the client was closed meanwhile."""
        unsent: list[Command] = []
        with self.lock:
            if self.state is ClientState.CLOSED:
                handshake.sock.close()
                return False
            # They were meant for the worker as it was; one that has restarted may be warming up and empty.
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
        """Ends the command that a line is the response to."""
        response = jsonrpc.parse_response(line)
        with self.lock:
            command = self.commands.end(response.ident)
            if command is None:  # too late, a second time, or with an id that was never used: none waits for it
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
            # What still waited in the write buffer never began: no byte of it can have reached the worker.
            has_begun = command.message is not None and command.message.begun
            outcome = Outcome.CONNECTION_LOST if has_begun else Outcome.UNSENT
            self.notify(CommandFinished(self, command, outcome))
        self.notify(WorkerConnectionLost(self, reason))

    def _unreached(self, reason: str) -> None:
        self._end_waiting(Outcome.UNREACHED)
        self.notify(WorkerUnreachable(self, reason))

    def _end_waiting(self, outcome: Outcome) -> None:
        with self.lock:
            waiting = self.commands.take_waiting()
            self.sock = None
        self._finish(waiting, outcome)
