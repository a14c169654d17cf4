"""Determines whether a worker is down after its last connection was lost with commands in flight.

The end of a connection does not show whether the worker's process ended. So a new connection is opened: if it is
established, the worker is alive.
"""

from collections.abc import Callable

from wickdyke.platform.reachability import Liveness
from wickdyke.platform.worker_command import Command
from wickdyke.platform.worker_connection import WorkerConnection
from wickdyke.routing.model import Outcome

MAX_PROBES = 3  # connects for the unresolved commands; more of them would show nothing new


class LivenessProbe:
    """The unresolved commands of one worker, and the connection that shows whether the worker is alive.

    `connect` opens a connection and returns it, or None where none is allowed now. `resolve(commands, alive)` is called
    once the state of the worker is determined; if it can't be determined, the worker counts as alive.
    """

    def __init__(
        self,
        connect: Callable[[], WorkerConnection | None],
        resolve: Callable[[list[Command], bool], None],
    ) -> None:
        self.connect = connect
        self.resolve = resolve
        self.unresolved: list[Command] = []
        self.connection: WorkerConnection | None = None
        self.connect_count = 0  # connects made for the present unresolved commands
        self.closed = False  # no more connects; unresolved commands then count as lost with the worker

    def add(self, commands: list[Command]) -> None:
        """Adds commands whose answers were lost, and opens a connection unless one is being opened."""
        self.unresolved += commands
        if self.connection is None:
            self.connect_count = 0
            self._connect()

    def remove(self, command: Command) -> bool:
        """Withdraws a command; returns False where it is not among the unresolved ones."""
        if command not in self.unresolved:
            return False
        command.connection = None
        self.unresolved.remove(command)
        return True

    def _connect(self) -> None:
        # If a few connects are inconclusive, for instance because of a fault of this machine, more would not help.
        self.connect_count += 1
        allowed = not self.closed and self.connect_count <= MAX_PROBES
        self.connection = self.connect() if allowed else None
        if self.connection is not None and not self.connection.failure_outcome:
            return
        # Where no descriptor is left the result is unknown, and the functions loaded on the worker don't count as lost.
        alive = not self.closed and (self.connection is None or self.connection.failure_outcome == Outcome.UNSENT)
        self.connection = None
        self._resolve(alive)

    def _resolve(self, alive: bool) -> None:
        commands = self.unresolved
        self.unresolved = []
        self.connect_count = 0
        self.resolve(commands, alive)

    def settle(self, liveness: Liveness) -> None:
        """Resolves the commands if a connection to the worker that was established or failed shows enough."""
        probe_ended = self.connection is None or self.connection.closed
        if self.unresolved and (liveness is Liveness.ALIVE or probe_ended):
            if liveness is Liveness.UNKNOWN:
                self._connect()
                return
            self._resolve(liveness is Liveness.ALIVE)
        if self.connection is not None and (self.connection.closed or self.connection.established):
            self.connection = None
