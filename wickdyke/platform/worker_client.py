"""All connections to one worker: which a command goes on, and what is known when one ends.

An attempt has a connection to itself while the pool has one to give: what spoils or resets a connection then costs no
other. Prewarms and health checks share one beside them.
"""

import errno
from collections.abc import Callable

from wickdyke.gateway.events import CommandFinished, Event
from wickdyke.gateway.interfaces import CommandKind, CommandResult, Withdrawal
from wickdyke.platform import resp
from wickdyke.platform.connection_pool import ConnectionPool
from wickdyke.platform.worker_command import Command
from wickdyke.platform.worker_connection import EndCause, WorkerConnection
from wickdyke.routing.model import Outcome
from wickdyke.transport.event_loop import EventLoop, clock
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlow

# Of the errors of connect(2) and socket(2), ECONNREFUSED alone is an answer of the worker's machine that nobody is
# there. These say that no way to it is known, of this machine for a moment or of the worker for long. The others are
# of this machine (descriptors, memory, ports, permissions, a signal) and tell nothing of a worker.
NO_ROUTE_ERRORS = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EHOSTDOWN, errno.ETIMEDOUT)
AWAY_AFTER = 1000.0  # ms for which connections find no way, none as far from the last, before a worker is away
SENDS_MOST = 3  # connections that one command is handed to before a byte of it went
CONNECT_TIMEOUTS = 2  # connections in a row that time out, each begun after the last, before a worker is away
LOST_ANSWER = {  # what a command whose answer got lost ends as, at a worker that lives
    CommandKind.ATTEMPT: Outcome.ERROR,
    CommandKind.HEALTH_CHECK: Outcome.ERROR,
    CommandKind.PREWARM: Outcome.TIMEOUT,
}


class WorkerClient:
    """All connections to one worker."""

    def __init__(
        self,
        name: str,
        address: str,
        notify: Callable[[Event], None],
        loop: EventLoop,
        pool: ConnectionPool,
        connect_timeout: float,
        idle_after: float,
        report_fields: tuple[str, ...],
    ) -> None:
        self.name, self.notify, self.loop, self.pool = name, notify, loop, pool
        host, _, port = address.rpartition(":")
        self.target = host, int(port)
        self.connect_timeout, self.idle_after, self.report_fields = connect_timeout, idle_after, report_fields
        self.connections: list[WorkerConnection] = []  # for attempts; the last used at the end
        self.shared: WorkerConnection | None = None  # for prewarms and health checks
        # Commands lost with the last connection, until a new one tells whether the worker lives.
        self.unresolved: list[Command] = []
        self.probe_connection: WorkerConnection | None = None  # that new one
        self.probe_count = 0  # connections made for what is unresolved now
        self.draining = self.closed = False
        self.timeouts_in_row, self.timed_out_at = 0, float("-inf")  # of connections; when the last was
        self.no_route_since = float("inf")  # the first in a row that found no way
        self.no_route_at = float("-inf")  # the last

    def all(self) -> list[WorkerConnection]:
        """Its connections."""
        return [*self.connections, *([self.shared] if self.shared else [])]

    def send(self, command: Command) -> None:
        """Sends it on a connection that fits; its end comes by `notify`."""
        command.worker_client = self
        if self.closed or self.draining or command.deadline <= clock():
            self.finish(command, Outcome.UNSENT)
            return
        connection = (
            self._for_attempt(command.ident) if command.kind == CommandKind.ATTEMPT else self._for_others(command.ident)
        )
        if connection is None or connection.failed:
            self.finish(command, Outcome.UNSENT if connection is None else connection.failed)
        else:
            connection.send(command)

    def _for_attempt(self, ident: bytes) -> WorkerConnection | None:
        self.sweep()
        for connection in reversed(self.connections):
            if not connection.commands_in_flight and connection.accepts(ident):
                if connection.alive():
                    return connection
                connection.end("ended while idle")
        if self.pool.has_room():
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

    def _for_others(self, ident: bytes) -> WorkerConnection | None:
        connection = self.shared
        if (
            connection is not None
            and connection.commands_in_flight == 0
            and not (clock() - connection.used < self.idle_after and connection.alive())
        ):
            connection.end("idle")
        if self.shared is None or not self.shared.accepts(ident):
            if not self.pool.has_room():
                return None
            connection = WorkerConnection(self)
            if connection.failed:
                return connection
            if self.shared is not None:  # it ends with what is on it
                self.connections.insert(0, self.shared)
                self.shared.stale = True
            self.shared = connection
        return self.shared

    def sweep(self) -> None:
        """Leaves connections before the worker ends them as idle."""
        now = clock()
        for connection in list(self.connections):
            if not connection.commands_in_flight and (connection.stale or now - connection.used > self.idle_after):
                connection.end("idle")

    def finish(self, command: Command, outcome: str, result: CommandResult | None = None) -> None:
        """Tells how a command ended."""
        self.notify(CommandFinished(self, command, outcome, result, None))
        if self.draining:
            self._maybe_close()

    def send_again(self, command: Command) -> None:
        """A connection ended as it came up, before a byte of the command went: once more on another."""
        command.sends += 1
        if command.sends < SENDS_MOST:
            self.send(command)
        else:
            self.finish(command, Outcome.UNSENT)

    def answers_lost(self, commands: list[Command], spoke: bool) -> None:
        """A connection ended with these in flight: they may have run.

        CONNECTION_LOST says that the process is gone, with all that it had loaded. What ends beside connections that
        stand, or on an answer that can't be read, tells of answers only; where none stands, a new connection tells.
        That misleads where a process is back before that connection: the endpoint list tells then.
        """
        others = [
            connection
            for connection in (*self.connections, self.shared)
            if connection is not None and not connection.closed and connection.up
        ]
        if spoke or any(connection.alive() for connection in others):
            self._found(commands, True)
            return
        self.unresolved += commands
        if self.probe_connection is None:
            self.probe_count = 0
            self._probe()

    def _probe(self) -> None:
        # Where nothing can be learned by a few, as where it is this machine that makes none, more would not tell.
        self.probe_count += 1
        more = not self.closed and self.probe_count <= SENDS_MOST
        self.probe_connection = WorkerConnection(self) if more and self.pool.has_room() else None
        if self.probe_connection is not None and not self.probe_connection.failed:
            self.connections.insert(0, self.probe_connection)
            return
        # Nothing is known of it where no descriptor is left, and then nothing loaded there is taken for gone.
        lives = not self.closed and (self.probe_connection is None or self.probe_connection.failed == Outcome.UNSENT)
        self.probe_connection, commands, self.unresolved, self.probe_count = None, self.unresolved, [], 0
        self._found(commands, lives)

    def settle_unresolved(self, lives: bool | None) -> None:
        """A connection told whether the worker lives, or (None) did not: that settles what is in doubt."""
        if self.unresolved and (lives or self.probe_connection is None or self.probe_connection.closed):
            if lives is None:
                return self._probe()
            commands, self.unresolved, self.probe_count = self.unresolved, [], 0
            self._found(commands, lives)
        if self.probe_connection is not None and (self.probe_connection.closed or self.probe_connection.up):
            self.probe_connection = None
        return None

    def connect_timed_out(self, connection: WorkerConnection) -> bool:
        """A connection has not come up in time; whether that may yet be the connection alone."""
        # One connection of many comes up late or never, and the router takes a worker it could not reach for one that
        # starts anew: all that is loaded there forgotten, warming up for the whole ramp. That costs time where a
        # machine has vanished: the first command there learns it one time-out later.
        if connection.begun >= self.timed_out_at:
            self.timeouts_in_row, self.timed_out_at = self.timeouts_in_row + 1, clock()
        return self.timeouts_in_row < CONNECT_TIMEOUTS

    def proves_nothing(self, code: int) -> bool:
        """Whether a connection that could not be made for that error tells nothing of the worker."""
        # A moment in which this machine finds no way to any worker would be taken for one in which all start anew: all
        # that is loaded forgotten, all warming up. That costs time where a worker's machine has vanished: what is sent
        # there until it is found out ends as never sent.
        if code == errno.ECONNREFUSED:
            return False
        if code not in NO_ROUTE_ERRORS:
            return True
        now = clock()
        if now - self.no_route_at >= AWAY_AFTER:
            self.no_route_since = now
        self.no_route_at = now
        return now - self.no_route_since < AWAY_AFTER

    def connected(self) -> None:
        """A connection came up."""
        self.timeouts_in_row = 0
        self.reached()
        self.settle_unresolved(True)

    def reached(self) -> None:
        """A connection came up, or something came on one: there is a way to the worker."""
        self.no_route_at = float("-inf")

    def connection_idle(self, connection: WorkerConnection) -> None:
        """A connection has nothing on it: what waits for one that is still being made goes there."""
        if connection.closed or connection.stale or connection not in self.connections:
            return
        for other in self.connections:
            for command in other.pending if not other.up else ():
                if connection.accepts(command.ident):
                    other.pending.remove(command)
                    connection.send(command)
                    return

    def _found(self, commands: list[Command], lives: bool) -> None:
        for command in commands:
            if command.connection is not None:  # else it was taken back meanwhile
                self.finish(command, LOST_ANSWER[command.kind] if lives else Outcome.CONNECTION_LOST)

    def connection_ended(self, connection: WorkerConnection) -> None:
        """A connection has ended."""
        if connection is self.shared:
            self.shared = None
        elif connection in self.connections:
            self.connections.remove(connection)
        if not self.all():
            self.pool.worker_clients.discard(self)

    def cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        """Withdraws an attempt; `done` is called once a cancel that is PENDING is with the kernel."""
        said = self._cancel(command, done)
        if self.draining:  # that may have been the last
            self._maybe_close()
        return said

    def _cancel(self, command: Command, done: Callable[[], None]) -> Withdrawal:
        connection = command.connection
        if command in self.unresolved:
            command.connection = None
            self.unresolved.remove(command)
            return Withdrawal.CANCELLED
        if self._withdraw(command):
            return Withdrawal.UNSENT
        if connection is None or connection.closed or connection.open.get(command.ident) is not command:
            return Withdrawal.ENDED
        if len(connection.open) == 1 and not connection.pending:
            # Ending the connection gives up what is on it. What said nothing in all that time may be cut off, and the
            # next on it would wait in vain.
            del connection.open[command.ident]
            connection.end("given up")
            return Withdrawal.CANCELLED
        try:
            with_kernel = connection.write_buffer.put(
                OutgoingMessage(
                    resp.command(b"abort", command.ident), lambda: self._cancelled(connection, command, done)
                )
            )
        except (PeerTooSlow, OSError) as bad:
            connection.end(f"{type(bad).__name__}: {bad}")  # which tells of all that was on it
            return Withdrawal.PENDING
        if not with_kernel:
            return Withdrawal.PENDING
        self._given_up(connection, command)
        return Withdrawal.CANCELLED

    def _cancelled(self, connection: WorkerConnection, command: Command, done: Callable[[], None]) -> None:
        if connection.open.get(command.ident) is command:
            self._given_up(connection, command)
            done()

    def _given_up(self, connection: WorkerConnection, command: Command) -> None:
        connection.open.pop(command.ident, None)
        connection.ended_ids.append(command.ident)
        connection.stale = connection.stale or connection.heard <= command.sent_at or connection.answers.begun

    def withdraw_unsent(self, command: Command) -> bool:
        """Takes back what has not begun to go out; True where it was so, and it has ended."""
        taken = self._withdraw(command)
        if taken and self.draining:
            self._maybe_close()
        return taken

    def _withdraw(self, command: Command) -> bool:
        connection = command.connection
        if connection is None or connection.closed:
            return False
        if command in connection.pending:
            connection.pending.remove(command)
            return True
        if connection.open.get(command.ident) is command and connection.write_buffer.withdraw(command.message):
            del connection.open[command.ident]
            return True
        return False

    def withdraw_all_unsent(self) -> None:
        """Nothing new goes there: what has not begun to go out ends as unsent."""
        for connection in self.all():
            for command in [*connection.pending, *connection.open.values()]:
                if self._withdraw(command):
                    self.finish(command, Outcome.UNSENT)

    def abandon(self, command: Command) -> bool:
        """No answer is waited for any more; False where it has ended already."""
        was_out = self._abandon(command)
        if self.draining:
            self._maybe_close()
        return was_out

    def _abandon(self, command: Command) -> bool:
        connection = command.connection
        if command in self.unresolved:
            command.connection = None
            self.unresolved.remove(command)
            return True
        if connection is None or connection.closed:
            return False
        if command in connection.pending:
            connection.pending.remove(command)
            return True
        if connection.open.get(command.ident) is not command:
            return False
        self._given_up(connection, command)
        if connection.stale and not connection.commands_in_flight:
            connection.end("silent")
        return True

    def disconnect(self) -> None:
        """Ends all connections; what is in flight there ends as lost."""
        for connection in self.all():
            connection.end("cut", EndCause.INCONCLUSIVE)  # our doing: it tells nothing of the worker

    def drain(self) -> None:
        """No more is to be sent; it ends with the last of what is in flight."""
        self.draining = True
        self.withdraw_all_unsent()
        self._maybe_close()

    def _maybe_close(self) -> None:
        if not (
            self.closed
            or self.unresolved
            or any(connection.commands_in_flight for connection in self.connections)
            or self.shared
            and self.shared.commands_in_flight
        ):
            self.close()

    def close(self) -> None:
        """Ends it at once."""
        if self.closed:
            return
        self.closed = True
        self.pool.worker_clients.discard(self)
        self.disconnect()
