"""Limits on the connections to all workers together: their number, and the bytes of incomplete answers."""

import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Protocol


class PooledConnection(Protocol):
    """A connection to a worker, as the pool sees it."""

    last_used_at: float  # ms of the loop's clock

    @property
    def unsent_bytes(self) -> int:
        """The bytes that wait to be sent."""

    @property
    def established(self) -> bool:
        """Whether the connection is established and not closed."""

    @property
    def commands_in_flight(self) -> int:
        """The number of commands assigned to the connection that have not ended."""

    @property
    def partial_answer_bytes(self) -> int:
        """The bytes that are kept of an incomplete answer."""

    def end(self, reason: str) -> None:
        """Closes the connection; `reason` is the name of its counter."""

    def drop_partial_answer(self) -> None:
        """Closes the connection in the middle of an answer, to free its memory."""


class PooledClient(Protocol):
    """A worker client, as the pool sees it."""

    def all_connections(self) -> Sequence[PooledConnection]:
        """Returns all connections of the client."""

    def sweep(self) -> None:
        """Closes the connections of the client that have been idle too long."""


class ConnectionPool:
    """Limits the number of connections to `capacity`, and closes idle ones to make room.

    `answer_capacity` is the maximum number of bytes that all connections keep of answers that are not complete.
    """

    def __init__(self, capacity: int, answer_capacity: int = sys.maxsize) -> None:
        self.capacity = capacity
        self.answer_capacity = answer_capacity
        self.used = 0
        self.partial_answer_bytes = 0
        self.worker_clients: set[PooledClient] = set()  # clients with at least one connection
        self.counts: Counter[str] = Counter()

    def make_room(self) -> bool:
        """Closes the longest idle connection if the pool is full; returns whether one more is allowed."""
        if self.used >= self.capacity:
            idle = [
                connection
                for connection in self._connections()
                if not connection.commands_in_flight and connection.established
            ]
            if idle:
                min(idle, key=lambda connection: connection.last_used_at).end("replaced")
        return self.used < self.capacity

    def _connections(self) -> Iterator[PooledConnection]:
        return (connection for client in self.worker_clients for connection in client.all_connections())

    def reclaim_answers(self) -> None:
        """Closes the connections with the largest incomplete answers while all together exceed `answer_capacity`."""
        # Those that are read at that moment may have little: closing them would lose the answers of other workers.
        while self.partial_answer_bytes > self.answer_capacity:
            largest = max(self._connections(), key=lambda connection: connection.partial_answer_bytes, default=None)
            if largest is None or not largest.partial_answer_bytes:
                return
            largest.drop_partial_answer()

    def sweep(self) -> None:
        """Closes connections to any worker that have been idle too long."""
        for client in list(self.worker_clients):
            client.sweep()
