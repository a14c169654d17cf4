"""The replicas of a worker: their memory limit, the queue of their loads, and unloading to free memory."""

from collections import deque
from collections.abc import Callable

from wickdyke.worker.actions import Action, StartLoad, Unload
from wickdyke.worker.model import Function, Replica, ReplicaState


class ReplicaPool:
    """All functions with their replicas. Actions are appended to `actions`, a queue that the schedule shares."""

    def __init__(self, memory: float, load_concurrency: int, actions: deque[Action]) -> None:
        """`memory` is the limit in MB for all replicas; `load_concurrency` is the most loads at the same time."""
        self.memory = memory
        self.load_concurrency = load_concurrency
        self.actions = actions
        self.functions: dict[str, Function] = {}
        self.load_queue: deque[Replica] = deque()
        self.loading_count = 0
        self.last_number = 0

    def function(self, name: str) -> Function:
        """The function of that name, added if it is new."""
        return self.functions.setdefault(name, Function(name))

    def replicas(self) -> list[Replica]:
        """All replicas in any state."""
        return [replica for function in self.functions.values() for replica in function.replicas]

    @property
    def charged_memory(self) -> float:
        """The memory charged to all replicas, in MB."""
        return sum(replica.charged_memory for replica in self.replicas())

    @property
    def pinned_memory(self) -> float:
        """The memory charged to replicas that are not idle and so can't be unloaded, in MB."""
        return sum(replica.charged_memory for replica in self.replicas() if not replica.is_idle)

    def add(self, function: Function, memory: float, concurrency: int) -> Replica | None:
        """Queues the load of a new replica and returns it; None where there is no room for it."""
        # A prewarm request counts the ready replicas of its function, so none of them may be unloaded for a new one.
        if not self.make_room(memory, exempt_function=function):
            return None
        self.last_number += 1
        replica = Replica(function, self.last_number, memory, max(1, concurrency))
        function.replicas.append(replica)
        self.load_queue.append(replica)
        return replica

    def make_room(
        self, memory: float, exempt_replica: Replica | None = None, exempt_function: Function | None = None
    ) -> bool:
        """Makes room for `memory` MB by unloading idle replicas, least recently used first.

        Returns False and unloads none where that would not be enough. Never unloads `exempt_replica` or a replica of
        `exempt_function`.
        """
        charged = self.charged_memory
        idle = sorted(self._evictable(exempt_replica, exempt_function), key=lambda replica: replica.last_used)
        if charged - sum(replica.charged_memory for replica in idle) + memory > self.memory:
            return False
        while charged + memory > self.memory:
            replica = idle.pop(0)
            charged -= replica.charged_memory
            self.unload(replica)
        return True

    def _evictable(self, exempt_replica: Replica | None, exempt_function: Function | None) -> list[Replica]:
        return [
            replica
            for replica in self.replicas()
            if replica.is_idle
            and replica is not exempt_replica
            and replica.function is not exempt_function
            and not replica.function.waiting_requests
        ]

    def unload(self, replica: Replica) -> None:
        """Ends an idle replica."""
        self.actions.append(Unload(replica))
        self.remove(replica)

    def remove(self, replica: Replica) -> None:
        """Removes a replica that has ended or will not be loaded."""
        replica.state = ReplicaState.REMOVED
        replica.function.replicas.remove(replica)

    def start_loads(self, is_needed: Callable[[Replica], bool]) -> None:
        """Starts queued loads up to the limit. First removes queued replicas for which `is_needed` returns False."""
        queued = [replica for replica in self.load_queue if replica.state == ReplicaState.QUEUED]
        for replica in [replica for replica in queued if not is_needed(replica)]:
            self.remove(replica)
        self.load_queue = deque(replica for replica in queued if replica.state == ReplicaState.QUEUED)
        while self.load_queue and self.loading_count < self.load_concurrency:
            replica = self.load_queue.popleft()
            replica.state = ReplicaState.LOADING
            self.loading_count += 1
            self.actions.append(StartLoad(replica))

    def remove_unused(self, prewarmed: set[Function]) -> list[Function]:
        """Removes and returns the functions without replicas and waiting requests, except those in `prewarmed`."""
        unused = [
            function
            for function in self.functions.values()
            if not function.replicas and not function.waiting_requests and function not in prewarmed
        ]
        for function in unused:
            del self.functions[function.name]
        return unused
