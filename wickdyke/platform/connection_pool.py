"""The bound on the connections to workers, over all workers."""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol


class PooledConnection(Protocol):
    """What the pool uses of a connection to a worker."""

    last_used_at: float  # ms of the loop's clock

    @property
    def up(self) -> bool:
        """Whether it is established."""

    @property
    def commands_in_flight(self) -> int:
        """Commands that it was handed and that have not ended."""

    def end(self, reason: str) -> None:
        """Ends it; `reason` is for the counts."""


class PooledClient(Protocol):
    """What the pool uses of a worker client."""

    def all_connections(self) -> Sequence[PooledConnection]:
        """Its connections."""

    def sweep(self) -> None:
        """Ends those of its connections that were idle for too long."""


class ConnectionPool:
    """Counts connections against a bound, `capacity`, and ends idle ones to make room."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self.worker_clients: set[PooledClient] = set()  # those with a connection
        self.counts: Counter[str] = Counter()

    def make_room(self) -> bool:
        """Ends the connection that was idle longest if the pool is full; returns whether one more is allowed."""
        if self.used >= self.capacity:
            connections = (connection for client in self.worker_clients for connection in client.all_connections())
            idle = [connection for connection in connections if not connection.commands_in_flight and connection.up]
            if idle:
                min(idle, key=lambda connection: connection.last_used_at).end("replaced")
        return self.used < self.capacity

    def sweep(self) -> None:
        """Ends the connections of all workers that were idle for too long."""
        for client in list(self.worker_clients):
            client.sweep()
