"""The interface of a worker client that its connections use to report events."""

from typing import Protocol, TypeVar

from wickdyke.gateway.interfaces import CommandResult
from wickdyke.platform.connection_pool import ConnectionPool, PooledClient
from wickdyke.platform.reachability import Liveness, Reachability
from wickdyke.platform.worker_command import Command
from wickdyke.routing.model import Outcome
from wickdyke.transport.event_loop import EventLoop

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class ConnectionOwner(PooledClient, Protocol[ConnectionT_contra]):
    """The worker client of a connection, as the connection sees it."""

    name: str
    target: tuple[str, int]  # host and port
    loop: EventLoop
    pool: ConnectionPool
    connect_timeout: float  # ms
    report_fields: tuple[str, ...]
    reachability: Reachability
    same_process_since: float  # ms; earliest time since which connections showed no restart

    def connected(self, connection: ConnectionT_contra) -> None:
        """Records that the connection was established."""

    def connection_idle(self, connection: ConnectionT_contra) -> None:
        """Called when no command is in flight on the connection any more."""

    def connection_ended(self, connection: ConnectionT_contra) -> None:
        """Called when the connection has ended, before its commands are finished."""

    def finish(self, command: Command, outcome: Outcome, result: CommandResult | None = None) -> None:
        """Reports the outcome of a command."""

    def resend(self, command: Command) -> None:
        """Sends a command on another connection: this one ended before a byte of the command was sent."""

    def answers_lost(self, commands: list[Command], worker_alive: bool) -> None:
        """Handles commands that were in flight when the connection ended: they may have run."""

    def process_ended(self) -> None:
        """Records that a connection was refused, or that the worker closed an established one."""

    def settle_unresolved(self, liveness: Liveness) -> None:
        """Resolves commands whose answers were lost, by what the failed connect has shown."""
