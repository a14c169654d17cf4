"""Replicas of functions and the memory that they take."""

from collections.abc import Callable
from dataclasses import dataclass

from wickdyke.fault_injection.trace import clock


@dataclass(slots=True, eq=False)
class FakeReplica:
    """A replica of a function; it runs up to `concurrency` attempts at once when it is `ready`. Times are in ms."""

    function: str
    memory_mb: float
    concurrency: int
    load_ms: float
    last_used: float
    running: int = 0
    ready: bool = False

    @property
    def idle(self) -> bool:
        """Whether it is loaded and runs nothing."""
        return self.ready and not self.running


class ReplicaMemory:
    """The replicas of a worker by function, within its memory."""

    def __init__(self, capacity_mb: float) -> None:
        self.capacity_mb = capacity_mb
        self.by_function: dict[str, list[FakeReplica]] = {}

    def replicas_of(self, function: str) -> list[FakeReplica]:
        """The function's replicas, loaded or loading, oldest first."""
        return self.by_function.get(function, [])

    def register(self, function: str) -> list[FakeReplica]:
        """The function's replicas; it is entered without any where it is not there."""
        return self.by_function.setdefault(function, [])

    def ready_count(self, function: str) -> int:
        """How many replicas of the function are loaded."""
        return sum(replica.ready for replica in self.replicas_of(function))

    def available(self, function: str) -> FakeReplica | None:
        """The first replica of the function that can take one more attempt."""
        for replica in self.replicas_of(function):
            if replica.ready and replica.running < replica.concurrency:
                return replica
        return None

    def pinned_fraction(self) -> float:
        """The part of the memory that is taken by replicas that run something or are loading."""
        return sum(replica.memory_mb for replica in self._all() if not replica.idle) / self.capacity_mb

    def make_room(self, memory_mb: float, has_waiting: Callable[[str], bool]) -> bool:
        """Unloads idle replicas, least recently used first, until `memory_mb` are free; False where that fails.

        Replicas of functions that attempts wait for are kept.
        """
        used_mb = sum(replica.memory_mb for replica in self._all())
        evictable = sorted(
            (replica for replica in self._all() if replica.idle and not has_waiting(replica.function)),
            key=lambda replica: replica.last_used,
        )
        for replica in evictable:
            if used_mb + memory_mb <= self.capacity_mb:
                break
            self.by_function[replica.function].remove(replica)
            used_mb -= replica.memory_mb
        return used_mb + memory_mb <= self.capacity_mb

    def unload_idle(self, function: str) -> None:
        """Unloads all idle replicas of a function."""
        replicas = self.replicas_of(function)
        replicas[:] = [replica for replica in replicas if not replica.idle]

    def unload_all_idle(self) -> None:
        """Unloads all idle replicas."""
        for function in self.by_function:
            self.unload_idle(function)

    def unload_expired(self, idle_life_ms: float, has_waiting: Callable[[str], bool]) -> None:
        """Unloads replicas that were idle for longer than `idle_life_ms` and forgets functions without any."""
        for function, replicas in list(self.by_function.items()):
            for replica in [replica for replica in replicas if replica.idle]:
                if clock() - replica.last_used > idle_life_ms:
                    replicas.remove(replica)
            if not replicas and not has_waiting(function):
                del self.by_function[function]

    def _all(self) -> list[FakeReplica]:
        return [replica for replicas in self.by_function.values() for replica in replicas]
