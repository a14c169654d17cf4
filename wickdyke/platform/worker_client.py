"""The client of one worker: chooses the connection of each command and ends commands whose connection failed.

An attempt has a connection to itself while the pool allows, so that a reset of that connection affects no other
attempt. Prewarms and health checks share one additional connection.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from wickdyke.gateway.events import CommandFinished, Event
from wickdyke.gateway.interfaces import CommandKind, CommandResult, Withdrawal
from wickdyke.platform.connection_pool import ConnectionPool
from wickdyke.platform.connection_state import EndCause
from wickdyke.platform.liveness_probe import LivenessProbe
from wickdyke.platform.reachability import Liveness, Reachability
from wickdyke.platform.worker_command import Command
from wickdyke.platform.worker_connection import WorkerConnection
from wickdyke.routing.model import Outcome
from wickdyke.transport.event_loop import EventLoop, clock

MAX_SENDS = 3  # connections that a command may be assigned to before its first byte is sent
# The outcome of a command whose connection ended before the answer arrived, by kind, where the worker is alive: the
# lost answer of an attempt or health check counts as an error of the worker. Where the worker is down, the outcome is
# CONNECTION_LOST instead.
LOST_ANSWER_OUTCOMES = {
    CommandKind.ATTEMPT: Outcome.ERROR,
    CommandKind.HEALTH_CHECK: Outcome.ERROR,
    CommandKind.PREWARM: Outcome.TIMEOUT,
}


@dataclass(slots=True, frozen=True)
class WorkerClientSettings:
    """The settings of the clients of all workers; times in ms."""

    connect_timeout: float
    idle_timeout: float  # connections idle for longer are closed
    report_fields: tuple[str, ...]  # the fields of load reports, in the order of the settings


class WorkerClient:
    """All connections to one worker. Calls `notify` with one CommandFinished for each command.

    `address` is HOST:PORT.
    """

    def __init__(
        self,
        name: str,
        address: str,
        notify: Callable[[Event], None],
        loop: EventLoop,
        pool: ConnectionPool,
        settings: WorkerClientSettings,
    ) -> None:
        self.name = name
        self.notify = notify
        self.loop = loop
        self.pool = pool
        host, _, port = address.rpartition(":")
        self.target = host, int(port)
        self.connect_timeout = settings.connect_timeout
        self.idle_timeout = settings.idle_timeout
        self.report_fields = settings.report_fields
        self.connections: list[WorkerConnection] = []  # for attempts; the most recently used one is last
        self.shared_connection: WorkerConnection | None = None  # for prewarms and health checks
        self.reachability = Reachability()
        self.probe = LivenessProbe(self._connect_probe, self._finish_lost)
        self.process_may_be_new = False  # a connection was refused or reset, and none was established since
        self.same_process_since = -math.inf  # ms; earliest time since which connections showed no restart
        self.process_changed_at = -math.inf  # ms; infinite while `process_may_be_new`
        self.draining = False
        self.closed = False

    def all_connections(self) -> list[WorkerConnection]:
        """Returns all connections to the worker."""
        return [*self.connections, *([self.shared_connection] if self.shared_connection else [])]

    def send(self, command: Command) -> None:
        """Sends a command on a connection that accepts it; `notify` reports how it ended."""
        command.worker_client = self
        if self.closed or self.draining or not command.may_begin_at(clock()):
            self.finish(command, Outcome.UNSENT)
            return
        connection = self._connection_for(command)
        if connection is None:
            self.finish(command, Outcome.UNSENT)
        elif connection.failure_outcome is not None:
            self.finish(command, connection.failure_outcome)
        else:
            connection.send(command)

    def _connection_for(self, command: Command) -> WorkerConnection | None:
        """Returns a connection for the command, possibly one whose connect failed at once; None if the pool is full."""
        if command.kind == CommandKind.ATTEMPT:
            return self._connection_for_attempt(command.ident)
        return self._connection_for_control_command(command.ident, command.kind)

    def _connection_for_attempt(self, ident: bytes) -> WorkerConnection | None:
        self.sweep()
        for connection in reversed(self.connections):
            if not connection.commands_in_flight and connection.accepts(ident):
                if connection.alive():
                    return connection
                connection.end_by_worker("ended while idle")
        if self.pool.make_room():
            connection = WorkerConnection(self)
            if not connection.failure_outcome:
                self.connections.append(connection)
                return connection
            if connection.failure_outcome != Outcome.UNSENT:
                return connection
        return min(
            (connection for connection in self.connections if connection.accepts(ident)),
            key=lambda connection: connection.commands_in_flight,
            default=None,
        )

    def _connection_for_control_command(self, ident: bytes, kind: CommandKind) -> WorkerConnection | None:
        connection = self.shared_connection
        if connection is not None and connection.commands_in_flight == 0:
            if not connection.alive():
                connection.end_by_worker("ended while idle")
            elif clock() - connection.last_used_at >= self.idle_timeout:
                connection.end("idle")
        if self.shared_connection is None and kind == CommandKind.HEALTH_CHECK:
            self.shared_connection = self._idle_connection(ident)
        if self.shared_connection is None or not self.shared_connection.accepts(ident):
            if not self.pool.make_room():
                return None
            connection = WorkerConnection(self)
            if connection.failure_outcome:
                return connection
            if self.shared_connection is not None:  # closed after the last command on it
                self.connections.insert(0, self.shared_connection)
                self.shared_connection.stale = True
            self.shared_connection = connection
        return self.shared_connection

    def _idle_connection(self, ident: bytes) -> WorkerConnection | None:
        """Takes an idle connection from those for attempts, which saves a TCP handshake; None if there is none."""
        for connection in reversed(self.connections):
            if (
                connection.established
                and not connection.commands_in_flight
                and connection.accepts(ident)
                and connection.alive()
            ):
                self.connections.remove(connection)
                return connection
        return None

    def sweep(self) -> None:
        """Closes connections that have been idle too long, before the worker closes them."""
        now = clock()
        for connection in list(self.connections):
            if not connection.commands_in_flight and (
                connection.stale or now - connection.last_used_at > self.idle_timeout
            ):
                connection.end("idle")

    def finish(self, command: Command, outcome: Outcome, result: CommandResult | None = None) -> None:
        """Reports the outcome of a command."""
        self.notify(CommandFinished(self, command, outcome, result, None))
        if self.draining:
            self._close_if_drained()

    def resend(self, command: Command) -> None:
        """Sends a command on another connection after its own ended before a byte of the command was sent."""
        command.send_count += 1
        if command.send_count < MAX_SENDS:
            self.send(command)
        else:
            self.finish(command, Outcome.UNSENT)

    def answers_lost(self, commands: list[Command], worker_alive: bool) -> None:
        """Handles commands that were in flight on a connection that ended: they may have run.

        CONNECTION_LOST means that the worker process ended and lost all that it had loaded. If other connections are
        established, or the connection was closed because of an invalid answer, only the answers are lost. If no other
        connection is established, a new one is opened to find out whether the worker is alive. A process that was
        restarted before that connection looks alive; the endpoint list reports the restart.
        """
        if worker_alive or any(connection.stands() for connection in self.all_connections()):
            self._finish_lost(commands, True)
        else:
            self.probe.add(commands)

    def _connect_probe(self) -> WorkerConnection | None:
        if not self.pool.make_room():
            return None
        connection = WorkerConnection(self)
        if not connection.failure_outcome:
            self.connections.insert(0, connection)
        return connection

    def _finish_lost(self, commands: list[Command], alive: bool) -> None:
        """Finishes commands whose answers were lost; `alive` tells whether the worker is still alive."""
        for command in commands:
            if command.connection is not None:  # otherwise it was withdrawn in the meantime
                self.finish(command, LOST_ANSWER_OUTCOMES[command.kind] if alive else Outcome.CONNECTION_LOST)

    def connected(self, connection: WorkerConnection) -> None:
        """Records that the connection was established."""
        earlier = [each for each in self.all_connections() if each.established and each is not connection]
        # The process may have ended, and its resets of the earlier connections wait to be read.
        if self.process_may_be_new or (earlier and not any(each.stands() for each in earlier)):
            self.process_may_be_new = False
            self.same_process_since = self.process_changed_at = clock()
        self.reachability.connected()
        self.settle_unresolved(Liveness.ALIVE)

    def process_ended(self) -> None:
        """Records that a connection was reset or refused: unless another is established, the process may have ended."""
        # A process that dies resets all its connections. Mistaking a single reset for a restart costs less than missing
        # a restart, after which the worker would not be known to be warming up.
        if not any(connection.stands() for connection in self.all_connections()):
            self.process_may_be_new = True
            self.process_changed_at = math.inf

    def settle_unresolved(self, liveness: Liveness) -> None:
        """Resolves commands whose answers were lost, after a connection was established or failed."""
        self.probe.settle(liveness)

    def connection_idle(self, connection: WorkerConnection) -> None:
        """Moves a command that waits for another connection to be established to this connection, which is idle."""
        if connection.closed or connection.stale or connection not in self.connections:
            return
        for other in self.connections:
            for command in other.pending_commands if not other.established else ():
                if connection.accepts(command.ident):
                    other.pending_commands.remove(command)
                    connection.send(command)
                    return

    def connection_ended(self, connection: WorkerConnection) -> None:
        """Removes a connection that has ended."""
        if connection is self.shared_connection:
            self.shared_connection = None
        elif connection in self.connections:
            self.connections.remove(connection)
        if not self.all_connections():
            self.pool.worker_clients.discard(self)

    def cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        """Cancels an attempt; where the result is PENDING, `done` is called once the kernel has the cancel message."""
        withdrawal = self._cancel_command(command, done)
        if self.draining:  # it may have been the last command in flight
            self._close_if_drained()
        return withdrawal

    def _cancel_command(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        if self.probe.remove(command):
            return Withdrawal.CANCELLED
        connection = command.connection
        if connection is None:
            return Withdrawal.ENDED
        if connection.withdraw(command):
            return Withdrawal.UNSENT
        return connection.cancel(command, done)

    def withdraw_unsent(self, command: Command) -> bool:
        """Withdraws a command if no byte of it was sent; returns whether it was withdrawn."""
        withdrawn = command.connection is not None and command.connection.withdraw(command)
        if withdrawn and self.draining:
            self._close_if_drained()
        return withdrawn

    def withdraw_all_unsent(self) -> None:
        """Withdraws all commands of which no byte was sent, with the outcome UNSENT."""
        for connection in self.all_connections():
            for command in [*connection.pending_commands, *connection.open_commands.values()]:
                if command.connection is not None and command.connection.withdraw(command):
                    self.finish(command, Outcome.UNSENT)

    def abandon(self, command: Command) -> bool:
        """Stops waiting for the answer; returns False where the command has already ended."""
        was_in_flight = self.probe.remove(command) or (
            command.connection is not None and command.connection.abandon(command)
        )
        if self.draining:
            self._close_if_drained()
        return was_in_flight

    def disconnect(self) -> None:
        """Closes all connections; the answers of commands in flight are lost."""
        for connection in self.all_connections():
            connection.end("cut", EndCause.INCONCLUSIVE)  # closed by this side, which shows nothing about the worker

    def drain(self) -> None:
        """Stops sending commands, and closes after the last one in flight has ended."""
        self.draining = True
        self.withdraw_all_unsent()
        self._close_if_drained()

    def _close_if_drained(self) -> None:
        if not (
            self.closed
            or self.probe.unresolved
            or any(connection.commands_in_flight for connection in self.connections)
            or (self.shared_connection and self.shared_connection.commands_in_flight)
        ):
            self.close()

    def close(self) -> None:
        """Closes all connections immediately."""
        if self.closed:
            return
        self.closed = True
        self.probe.closed = True
        self.pool.worker_clients.discard(self)
        self.disconnect()
