"""The replicas of a worker: their shared memory, the queue of their loads, and unloading to make room."""

from collections import deque
from collections.abc import Callable

from wickdyke.worker.actions import Action, StartLoad, Unload
from wickdyke.worker.model import Function, Replica, ReplicaState


class ReplicaPool:
    """All functions with their replicas. Actions are added to `actions`, which the schedule owns."""

    def __init__(self, memory: float, load_concurrency: int, actions: deque[Action]) -> None:
        """`memory` is in MB; `load_concurrency` limits the loads at once."""
        self.memory = memory
        self.load_concurrency = load_concurrency
        self.actions = actions
        self.functions: dict[str, Function] = {}
        self.load_queue: deque[Replica] = deque()
        self.loading = 0
        self.last_number = 0

    def function(self, name: str) -> Function:
        """The function of that name, entered if it is new."""
        return self.functions.setdefault(name, Function(name))

    def replicas(self) -> list[Replica]:
        """All replicas, whatever their state."""
        return [replica for function in self.functions.values() for replica in function.replicas]

    @property
    def charged_memory(self) -> float:
        """The memory that all replicas count for, in MB."""
        return sum(replica.charged_memory for replica in self.replicas())

    @property
    def pinned_memory(self) -> float:
        """The memory of the replicas that can't be unloaded now, in MB."""
        return sum(replica.charged_memory for replica in self.replicas() if not replica.idle)

    def add(self, function: Function, memory: float, concurrency: int) -> Replica | None:
        """Queues the load of a further replica; None where there is no room for it."""
        # A prewarm request counts the replicas of its function that are ready, so none of them may make room.
        if not self.make_room(memory, function=function):
            return None
        self.last_number += 1
        replica = Replica(function, self.last_number, memory, max(1, concurrency))
        function.replicas.append(replica)
        self.load_queue.append(replica)
        return replica

    def make_room(self, memory: float, keep: Replica | None = None, function: Function | None = None) -> bool:
        """Makes room for `memory` MB by unloading idle replicas, the longest idle first.

        Returns False and unloads none where that would not be enough. Never unloads `keep` or a replica of `function`.
        """
        charged = self.charged_memory
        idle = sorted(self._evictable(keep, function), key=lambda replica: replica.last_used)
        if charged - sum(replica.charged_memory for replica in idle) + memory > self.memory:
            return False
        while charged + memory > self.memory:
            replica = idle.pop(0)
            charged -= replica.charged_memory
            self.unload(replica)
        return True

    def _evictable(self, keep: Replica | None, function: Function | None) -> list[Replica]:
        return [
            replica
            for replica in self.replicas()
            if replica.idle
            and replica is not keep
            and replica.function is not function
            and not replica.function.waiting
        ]

    def unload(self, replica: Replica) -> None:
        """Ends an idle replica."""
        self.actions.append(Unload(replica))
        self.remove(replica)

    def remove(self, replica: Replica) -> None:
        """The replica has ended, or will not be loaded."""
        replica.state = ReplicaState.REMOVED
        replica.function.replicas.remove(replica)

    def start_loads(self, is_wanted: Callable[[Replica], bool]) -> None:
        """Starts queued loads as far as the limit allows, and drops those that nothing waits for any more."""
        queued = [replica for replica in self.load_queue if replica.state == ReplicaState.QUEUED]
        for replica in [replica for replica in queued if not is_wanted(replica)]:
            self.remove(replica)
        self.load_queue = deque(replica for replica in queued if replica.state == ReplicaState.QUEUED)
        while self.load_queue and self.loading < self.load_concurrency:
            replica = self.load_queue.popleft()
            replica.state = ReplicaState.LOADING
            self.loading += 1
            self.actions.append(StartLoad(replica))

    def forget_unused(self, wanted: set[Function]) -> list[Function]:
        """Drops functions without replicas and requests, other than those `wanted`; returns what it dropped."""
        unused = [
            function
            for function in self.functions.values()
            if not function.replicas and not function.waiting and function not in wanted
        ]
        for function in unused:
            del self.functions[function.name]
        return unused
