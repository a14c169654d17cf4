"""The queue of attempts: first for a replica of their function, then for a core."""

from collections import deque
from collections.abc import Callable

from wickdyke.fault_injection.fake_worker.attempts import RunningAttempt
from wickdyke.fault_injection.fake_worker.replicas import ReplicaMemory
from wickdyke.fault_injection.trace import clock


class AttemptQueue:
    """Gives attempts a replica and a core, in the order of arrival, and calls `on_start(attempt)` for each."""

    def __init__(self, cores: int, replicas: ReplicaMemory, on_start: Callable[[RunningAttempt], None]) -> None:
        self.cores = cores
        self.replicas = replicas
        self.on_start = on_start
        self.without_replica: dict[str, deque[RunningAttempt]] = {}  # by function
        self.without_core: deque[RunningAttempt] = deque()
        self.running = 0  # attempts on a core

    def has_waiting(self, function: str) -> bool:
        """Whether attempts wait for a replica of the function."""
        return bool(self.without_replica.get(function))

    def waiting(self, function: str) -> list[RunningAttempt]:
        """The attempts that wait for a replica of the function."""
        return list(self.without_replica.get(function, ()))

    def add(self, attempt: RunningAttempt) -> None:
        """Queues an attempt."""
        self.without_replica.setdefault(attempt.function, deque()).append(attempt)
        self.dispatch(attempt.function)

    def dispatch(self, function: str) -> None:
        """Gives waiting attempts of the function a replica; cores are filled only where none is left waiting."""
        waiting = self.without_replica.get(function, deque())
        while waiting:
            replica = self.replicas.available(function)
            if replica is None:
                return
            attempt = waiting.popleft()
            replica.running += 1
            attempt.replica = replica
            self.without_core.append(attempt)
        self._fill_cores()

    def remove(self, attempt: RunningAttempt) -> None:
        """Takes back the attempt's place in the queues, its replica and its core, and gives them to others."""
        waiting = self.without_replica.get(attempt.function, deque())
        if attempt in waiting:
            waiting.remove(attempt)
        if attempt in self.without_core:
            self.without_core.remove(attempt)
        if attempt.on_core:
            self.running -= 1
        if attempt.replica is not None:
            attempt.replica.running -= 1
            attempt.replica.last_used = clock()
        self.dispatch(attempt.function)
        self._fill_cores()

    def _fill_cores(self) -> None:
        while self.without_core and self.running < self.cores:
            attempt = self.without_core.popleft()
            self.running += 1
            attempt.on_core = True
            self.on_start(attempt)
