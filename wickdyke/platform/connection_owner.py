"""What a connection to a worker uses of its owner: the worker client, which it notifies of all that happens."""

from typing import Protocol, TypeVar

from wickdyke.gateway.interfaces import CommandResult
from wickdyke.platform.connection_pool import ConnectionPool, PooledClient
from wickdyke.platform.reachability import Liveness, Reachability
from wickdyke.platform.worker_command import Command
from wickdyke.routing.model import Outcome
from wickdyke.transport.event_loop import EventLoop

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class ConnectionOwner(PooledClient, Protocol[ConnectionT_contra]):
    """The worker client of a connection, which the connection notifies."""

    name: str
    target: tuple[str, int]  # host and port
    loop: EventLoop
    pool: ConnectionPool
    connect_timeout: float  # ms
    report_fields: tuple[str, ...]
    reachability: Reachability
    same_process_since: float  # ms; as far as connections have shown

    def connected(self) -> None:
        """The connection was established."""

    def connection_idle(self, connection: ConnectionT_contra) -> None:
        """No command is in flight on the connection any more."""

    def connection_ended(self, connection: ConnectionT_contra) -> None:
        """The connection has ended; how its commands ended follows."""

    def finish(self, command: Command, outcome: Outcome, result: CommandResult | None = None) -> None:
        """A command has ended."""

    def send_again(self, command: Command) -> None:
        """The connection ended before a byte of the command was sent, which may be sent on another."""

    def answers_lost(self, commands: list[Command], worker_alive: bool) -> None:
        """The connection ended with these commands in flight: they may have run."""

    def process_ended(self) -> None:
        """A connection was refused, or the worker's side has ended one that was established."""

    def settle_unresolved(self, liveness: Liveness) -> None:
        """The connection ended before it was established, which shows that of the worker."""
