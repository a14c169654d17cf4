"""How many connections to workers there may be, over all workers."""

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wickdyke.platform.worker_client import WorkerClient


class ConnectionPool:
    """Counts connections against a bound, and ends idle ones to make room."""

    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0
        self.worker_clients: set[WorkerClient] = set()  # those with a connection
        self.counts: Counter[str] = Counter()

    def has_room(self) -> bool:
        """Whether there may be one more: the one longest idle is ended for it."""
        if self.used >= self.most:
            connections = (each for worker_client in self.worker_clients for each in worker_client.all())
            idle = [each for each in connections if not each.commands_in_flight and each.up]
            if idle:
                min(idle, key=lambda each: each.used).end("left for another")
        return self.used < self.most

    def sweep(self) -> None:
        """Ends what is idle for too long, everywhere."""
        for worker_client in list(self.worker_clients):
            worker_client.sweep()
