"""Settles commands whose answers were lost with the last connection to a worker: is the worker down?

The end of a connection does not show whether the worker's process ended. So a new connection is opened: if it is
established, the worker is alive.
"""

from collections.abc import Callable

from wickdyke.platform.reachability import Liveness
from wickdyke.platform.worker_command import Command
from wickdyke.platform.worker_connection import WorkerConnection
from wickdyke.routing.model import Outcome

MAX_PROBES = 3  # connections made for what is unresolved; more would show no more


class LivenessProbe:
    """The unresolved commands of one worker, and the connection that is to settle them.

    `connect` makes a connection and returns it, or None where none may be made now. `resolve(commands, alive)` is
    called with the commands once that is determined; where nothing can be learned, the worker counts as alive.
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
        self.count = 0  # connections made for what is unresolved now
        self.closed = False  # no more connections are made: what is unresolved ends with the worker

    def add(self, commands: list[Command]) -> None:
        """Takes commands whose answers were lost, and makes a connection unless one is being made."""
        self.unresolved += commands
        if self.connection is None:
            self.count = 0
            self._connect()

    def remove(self, command: Command) -> bool:
        """Withdraws a command; False where it is not unresolved."""
        if command not in self.unresolved:
            return False
        command.connection = None
        self.unresolved.remove(command)
        return True

    def _connect(self) -> None:
        # Where nothing can be learned by a few, as where it is this machine that makes none, more would not help.
        self.count += 1
        allowed = not self.closed and self.count <= MAX_PROBES
        self.connection = self.connect() if allowed else None
        if self.connection is not None and not self.connection.failed:
            return
        # Nothing is learned where no descriptor is left, and then nothing loaded there counts as lost.
        alive = not self.closed and (self.connection is None or self.connection.failed == Outcome.UNSENT)
        self.connection = None
        self._resolve(alive)

    def _resolve(self, alive: bool) -> None:
        commands = self.unresolved
        self.unresolved = []
        self.count = 0
        self.resolve(commands, alive)

    def settle(self, liveness: Liveness) -> None:
        """A connection to the worker was established, or failed: resolves the commands where that settles them."""
        is_over = self.connection is None or self.connection.closed
        if self.unresolved and (liveness is Liveness.ALIVE or is_over):
            if liveness is Liveness.UNKNOWN:
                self._connect()
                return
            self._resolve(liveness is Liveness.ALIVE)
        if self.connection is not None and (self.connection.closed or self.connection.up):
            self.connection = None
