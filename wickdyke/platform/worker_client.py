"""All connections to one worker: which one a command is sent on, and how commands end when a connection does.

An attempt has a connection to itself while the pool allows: what breaks or resets a connection then costs no other
attempt. Prewarms and health checks share one beside them.
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

MAX_SENDS = 3  # connections that one command is handed to before a byte of it was sent
# How a command ends whose connection failed before its answer arrived, at a worker that is alive. The lost answer of an
# attempt or health check counts as an error of the worker; at a worker that is down, it counts as a lost connection.
LOST_ANSWER = {
    CommandKind.ATTEMPT: Outcome.ERROR,
    CommandKind.HEALTH_CHECK: Outcome.ERROR,
    CommandKind.PREWARM: Outcome.TIMEOUT,
}


@dataclass(slots=True, frozen=True)
class WorkerClientSettings:
    """The settings of the clients of all workers; times in ms."""

    connect_timeout: float
    idle_timeout: float  # a connection idle for longer is ended
    report_fields: tuple[str, ...]  # of load reports, in the order of the settings


class WorkerClient:
    """All connections to one worker. It calls `notify` with one CommandFinished for each command.

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
        self.connections: list[WorkerConnection] = []  # for attempts; the one used last at the end
        self.shared: WorkerConnection | None = None  # for prewarms and health checks
        self.reachability = Reachability()
        self.probe = LivenessProbe(self._connect_probe, self._end_lost)
        self.process_may_be_new = False  # a connection has shown that the process ended, and none was made since
        self.same_process_since = -math.inf  # ms; as far as connections have shown
        self.draining = False
        self.closed = False

    def all_connections(self) -> list[WorkerConnection]:
        """Its connections."""
        return [*self.connections, *([self.shared] if self.shared else [])]

    def send(self, command: Command) -> None:
        """Sends a command on a connection that accepts it; its end is reported by `notify`."""
        command.worker_client = self
        now = clock()
        if self.closed or self.draining or command.deadline <= now or not command.may_begin(now):
            self.finish(command, Outcome.UNSENT)
            return
        connection = self._connection_for(command)
        if connection is None:
            self.finish(command, Outcome.UNSENT)
        elif connection.failed is not None:
            self.finish(command, connection.failed)
        else:
            connection.send(command)

    def _connection_for(self, command: Command) -> WorkerConnection | None:
        """A connection that accepts the command, or failed as it was begun; None where none may be made now."""
        if command.kind == CommandKind.ATTEMPT:
            return self._for_attempt(command.ident)
        return self._for_others(command.ident, command.kind)

    def _for_attempt(self, ident: bytes) -> WorkerConnection | None:
        self.sweep()
        for connection in reversed(self.connections):
            if not connection.commands_in_flight and connection.accepts(ident):
                if connection.alive():
                    return connection
                connection.end_by_worker("ended while idle")
        if self.pool.make_room():
            connection = WorkerConnection(self)
            if not connection.failed:
                self.connections.append(connection)
                return connection
            if connection.failed != Outcome.UNSENT:
                return connection
        return min(
            (connection for connection in self.connections if connection.accepts(ident)),
            key=lambda connection: connection.commands_in_flight,
            default=None,
        )

    def _for_others(self, ident: bytes, kind: CommandKind) -> WorkerConnection | None:
        connection = self.shared
        if connection is not None and connection.commands_in_flight == 0:
            if not connection.alive():
                connection.end_by_worker("ended while idle")
            elif clock() - connection.last_used_at >= self.idle_timeout:
                connection.end("idle")
        if self.shared is None and kind == CommandKind.HEALTH_CHECK:
            self.shared = self._idle_connection(ident)
        if self.shared is None or not self.shared.accepts(ident):
            if not self.pool.make_room():
                return None
            connection = WorkerConnection(self)
            if connection.failed:
                return connection
            if self.shared is not None:  # it ends with the last command on it
                self.connections.insert(0, self.shared)
                self.shared.stale = True
            self.shared = connection
        return self.shared

    def _idle_connection(self, ident: bytes) -> WorkerConnection | None:
        """Takes an idle connection of the attempts: an answer on it costs no handshake."""
        for connection in reversed(self.connections):
            if connection.up and not connection.commands_in_flight and connection.accepts(ident) and connection.alive():
                self.connections.remove(connection)
                return connection
        return None

    def sweep(self) -> None:
        """Ends idle connections before the worker does."""
        now = clock()
        for connection in list(self.connections):
            if not connection.commands_in_flight and (
                connection.stale or now - connection.last_used_at > self.idle_timeout
            ):
                connection.end("idle")

    def finish(self, command: Command, outcome: Outcome, result: CommandResult | None = None) -> None:
        """Reports how a command ended."""
        self.notify(CommandFinished(self, command, outcome, result, None))
        if self.draining:
            self._close_if_drained()

    def send_again(self, command: Command) -> None:
        """Sends a command on another connection: its own ended as it was established, before a byte of it was sent."""
        command.sends += 1
        if command.sends < MAX_SENDS:
            self.send(command)
        else:
            self.finish(command, Outcome.UNSENT)

    def answers_lost(self, commands: list[Command], worker_alive: bool) -> None:
        """A connection ended with these commands in flight: they may have run.

        CONNECTION_LOST means that the process ended, with all that it had loaded. The end of a connection beside others
        that are established, or on an answer that is invalid, costs the answers only; where no other is established, a
        new connection shows which it was. That misleads where a process was restarted before that connection: the
        endpoint list reports that.
        """
        others = [
            connection for connection in (*self.connections, self.shared) if connection is not None and connection.up
        ]
        if worker_alive or any(connection.alive() for connection in others):
            self._end_lost(commands, True)
        else:
            self.probe.add(commands)

    def _connect_probe(self) -> WorkerConnection | None:
        if not self.pool.make_room():
            return None
        connection = WorkerConnection(self)
        if not connection.failed:
            self.connections.insert(0, connection)
        return connection

    def _end_lost(self, commands: list[Command], alive: bool) -> None:
        """Ends commands whose answers were lost, at a worker that is alive or not."""
        for command in commands:
            if command.connection is not None:  # else it was withdrawn meanwhile
                self.finish(command, LOST_ANSWER[command.kind] if alive else Outcome.CONNECTION_LOST)

    def connected(self) -> None:
        """A connection was established."""
        if self.process_may_be_new:
            self.process_may_be_new = False
            self.same_process_since = clock()
        self.reachability.connected()
        self.settle_unresolved(Liveness.ALIVE)

    def process_ended(self) -> None:
        """A connection was reset, or refused: where no other is established, the process may have ended."""
        # A process that dies resets all its connections. One that is reset alone costs less when it is taken for that
        # than a process that has started anew and is not known to be warming up.
        if not any(connection.up for connection in self.all_connections()):
            self.process_may_be_new = True

    def settle_unresolved(self, liveness: Liveness) -> None:
        """A connection was established or failed, which may settle commands whose answers were lost."""
        self.probe.settle(liveness)

    def connection_idle(self, connection: WorkerConnection) -> None:
        """A connection has no command in flight: one that waits for a connection still being made is sent there."""
        if connection.closed or connection.stale or connection not in self.connections:
            return
        for other in self.connections:
            for command in other.pending if not other.up else ():
                if connection.accepts(command.ident):
                    other.pending.remove(command)
                    connection.send(command)
                    return

    def connection_ended(self, connection: WorkerConnection) -> None:
        """A connection has ended."""
        if connection is self.shared:
            self.shared = None
        elif connection in self.connections:
            self.connections.remove(connection)
        if not self.all_connections():
            self.pool.worker_clients.discard(self)

    def cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        """Withdraws an attempt; `done` is called once a cancel that is PENDING is with the kernel."""
        withdrawal = self._cancel(command, done)
        if self.draining:  # that may have been the last
            self._close_if_drained()
        return withdrawal

    def _cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        if self.probe.remove(command):
            return Withdrawal.CANCELLED
        connection = command.connection
        if connection is None:
            return Withdrawal.ENDED
        if connection.withdraw(command):
            return Withdrawal.UNSENT
        return connection.cancel(command, done)

    def withdraw_unsent(self, command: Command) -> bool:
        """Withdraws a command if no byte of it was sent; returns whether it was, and has ended."""
        withdrawn = command.connection is not None and command.connection.withdraw(command)
        if withdrawn and self.draining:
            self._close_if_drained()
        return withdrawn

    def withdraw_all_unsent(self) -> None:
        """Withdraws all commands of which no byte was sent: they end as unsent."""
        for connection in self.all_connections():
            for command in [*connection.pending, *connection.open.values()]:
                if command.connection is not None and command.connection.withdraw(command):
                    self.finish(command, Outcome.UNSENT)

    def abandon(self, command: Command) -> bool:
        """Waits no longer for the answer; False where the command has ended."""
        was_in_flight = self.probe.remove(command) or (
            command.connection is not None and command.connection.abandon(command)
        )
        if self.draining:
            self._close_if_drained()
        return was_in_flight

    def disconnect(self) -> None:
        """Ends all connections; what is in flight there ends as lost."""
        for connection in self.all_connections():
            connection.end("cut", EndCause.INCONCLUSIVE)  # by this side: it shows nothing of the worker

    def drain(self) -> None:
        """Sends no more commands, and closes with the last one in flight."""
        self.draining = True
        self.withdraw_all_unsent()
        self._close_if_drained()

    def _close_if_drained(self) -> None:
        if not (
            self.closed
            or self.probe.unresolved
            or any(connection.commands_in_flight for connection in self.connections)
            or (self.shared and self.shared.commands_in_flight)
        ):
            self.close()

    def close(self) -> None:
        """Ends all connections at once."""
        if self.closed:
            return
        self.closed = True
        self.probe.closed = True
        self.pool.worker_clients.discard(self)
        self.disconnect()
