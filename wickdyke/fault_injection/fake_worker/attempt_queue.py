"""The queue of attempts, which wait first for a replica of their function, then for a core."""

from collections import deque
from collections.abc import Callable

from wickdyke.fault_injection.fake_worker.attempts import RunningAttempt
from wickdyke.fault_injection.fake_worker.replicas import ReplicaMemory
from wickdyke.fault_injection.trace import clock


class AttemptQueue:
    """Assigns a replica and a core to attempts in order of arrival, then calls `on_start(attempt)`."""

    def __init__(self, cores: int, replicas: ReplicaMemory, on_start: Callable[[RunningAttempt], None]) -> None:
        self.cores = cores
        self.replicas = replicas
        self.on_start = on_start
        self.waiting_for_replica: dict[str, deque[RunningAttempt]] = {}  # by function
        self.waiting_for_core: deque[RunningAttempt] = deque()
        self.running_attempts = 0  # the number of attempts on a core

    def has_waiting(self, function: str) -> bool:
        """Returns whether attempts wait for a replica of the function."""
        return bool(self.waiting_for_replica.get(function))

    def attempts_waiting(self, function: str) -> list[RunningAttempt]:
        """Returns the attempts that wait for a replica of the function."""
        return list(self.waiting_for_replica.get(function, ()))

    def add(self, attempt: RunningAttempt) -> None:
        """Queues an attempt."""
        self.waiting_for_replica.setdefault(attempt.function, deque()).append(attempt)
        self.dispatch(attempt.function)

    def dispatch(self, function: str) -> None:
        """Assigns replicas to waiting attempts of the function, then cores if none of them is left waiting."""
        waiting = self.waiting_for_replica.get(function, deque())
        while waiting:
            replica = self.replicas.find_available(function)
            if replica is None:
                return
            attempt = waiting.popleft()
            replica.running_attempts += 1
            attempt.replica = replica
            self.waiting_for_core.append(attempt)
        self._fill_cores()

    def remove(self, attempt: RunningAttempt) -> None:
        """Removes the attempt from the queues, frees its replica and its core, and assigns them to other attempts."""
        waiting = self.waiting_for_replica.get(attempt.function, deque())
        if attempt in waiting:
            waiting.remove(attempt)
        if attempt in self.waiting_for_core:
            self.waiting_for_core.remove(attempt)
        if attempt.on_core:
            self.running_attempts -= 1
        if attempt.replica is not None:
            attempt.replica.running_attempts -= 1
            attempt.replica.last_used_at = clock()
        self.dispatch(attempt.function)
        self._fill_cores()

    def _fill_cores(self) -> None:
        while self.waiting_for_core and self.running_attempts < self.cores:
            attempt = self.waiting_for_core.popleft()
            self.running_attempts += 1
            attempt.on_core = True
            self.on_start(attempt)
