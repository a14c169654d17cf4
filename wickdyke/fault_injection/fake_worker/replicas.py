"""Replicas of functions and the memory that they use."""

from collections.abc import Callable
from dataclasses import dataclass

from wickdyke.fault_injection.trace import clock


@dataclass(slots=True, eq=False)
class FakeReplica:
    """A replica of a function, which runs up to `concurrency` attempts at once when `ready`.

    Times are in ms, `last_used_at` on the monotonic clock.
    """

    function: str
    memory_mb: float
    concurrency: int
    load_ms: float
    last_used_at: float
    running_attempts: int = 0
    ready: bool = False

    @property
    def idle(self) -> bool:
        """Whether the replica is loaded and runs no attempt."""
        return self.ready and not self.running_attempts


class ReplicaMemory:
    """The replicas of a worker by function, within its memory limit."""

    def __init__(self, capacity_mb: float) -> None:
        self.capacity_mb = capacity_mb
        self.replicas_by_function: dict[str, list[FakeReplica]] = {}

    def replicas_of(self, function: str) -> list[FakeReplica]:
        """Returns the function's replicas, loaded or loading, oldest first."""
        return self.replicas_by_function.get(function, [])

    def register(self, function: str) -> list[FakeReplica]:
        """Returns the list of the function's replicas; adds an empty list where the function has none."""
        return self.replicas_by_function.setdefault(function, [])

    def ready_count(self, function: str) -> int:
        """Returns how many replicas of the function are loaded."""
        return sum(replica.ready for replica in self.replicas_of(function))

    def find_available(self, function: str) -> FakeReplica | None:
        """Returns the first replica of the function that can run one more attempt, None where there is none."""
        for replica in self.replicas_of(function):
            if replica.ready and replica.running_attempts < replica.concurrency:
                return replica
        return None

    def pinned_fraction(self) -> float:
        """Returns the fraction of the memory used by replicas that run attempts or are loading."""
        return sum(replica.memory_mb for replica in self._all_replicas() if not replica.idle) / self.capacity_mb

    def make_room(self, memory_mb: float, has_waiting: Callable[[str], bool]) -> bool:
        """Unloads idle replicas, least recently used first, until `memory_mb` are free; returns whether they are.

        Replicas of functions that attempts wait for are kept.
        """
        used_mb = sum(replica.memory_mb for replica in self._all_replicas())
        evictable = sorted(
            (replica for replica in self._all_replicas() if replica.idle and not has_waiting(replica.function)),
            key=lambda replica: replica.last_used_at,
        )
        for replica in evictable:
            if used_mb + memory_mb <= self.capacity_mb:
                break
            self.replicas_by_function[replica.function].remove(replica)
            used_mb -= replica.memory_mb
        return used_mb + memory_mb <= self.capacity_mb

    def unload_idle(self, function: str) -> None:
        """Unloads all idle replicas of a function."""
        replicas = self.replicas_of(function)
        replicas[:] = [replica for replica in replicas if not replica.idle]

    def unload_all_idle(self) -> None:
        """Unloads all idle replicas."""
        for function in self.replicas_by_function:
            self.unload_idle(function)

    def unload_expired(self, idle_life_ms: float, has_waiting: Callable[[str], bool]) -> None:
        """Unloads replicas that were idle for longer than `idle_life_ms` and removes functions without replicas."""
        for function, replicas in list(self.replicas_by_function.items()):
            for replica in [replica for replica in replicas if replica.idle]:
                if clock() - replica.last_used_at > idle_life_ms:
                    replicas.remove(replica)
            if not replicas and not has_waiting(function):
                del self.replicas_by_function[function]

    def _all_replicas(self) -> list[FakeReplica]:
        return [replica for replicas in self.replicas_by_function.values() for replica in replicas]
