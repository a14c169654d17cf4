"""Measures the memory of a worker's processes, and builds its load report."""

import os
from dataclasses import dataclass

from wickdyke.worker import meter
from wickdyke.worker.cache import Cache
from wickdyke.worker.cache_index import MB
from wickdyke.worker.replica_supervisor import ReplicaSupervisor
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms


@dataclass(slots=True, frozen=True)
class MemoryUse:
    """What a worker takes, in MB: its replicas, its own process, its warm parent, and its cache on disk."""

    replicas: float = 0.0
    worker: float = 0.0
    parent: float = 0.0
    cache: float = 0.0


class LoadReporter:
    """The last measurement, and the load report made of it and the schedule."""

    def __init__(self, runner: ScheduleRunner, memory: float, cache: Cache) -> None:
        """`memory` is the worker's limit in MB."""
        self.runner = runner
        self.memory = memory
        self.cache = cache
        self.last = MemoryUse()

    def measure(self, supervisor: ReplicaSupervisor) -> None:
        """Measures once; reports the memory of each replica to the schedule."""
        with self.runner.lock:
            processes = [process for process in supervisor.processes.values() if process.pid]
        sizes = [(process, meter.tree_memory(process.pid)) for process in processes]
        worker = meter.process_memory(os.getpid())
        parent = meter.process_memory(supervisor.parent.pid)
        with self.runner.event() as schedule:
            replicas = sum(size for _, size in sizes)
            self.last = MemoryUse(replicas, worker, parent, self.cache.bytes / MB)
            for process, size in sizes:
                if supervisor.is_current(process) and size:
                    schedule.memory_measured(process.replica, size)

    def report(self) -> dict[str, float]:
        """The load report as of now, by words on the wire. Called under the schedule's lock."""
        self.runner.schedule.advance(monotonic_ms())
        return {
            **self.runner.schedule.load_report(),
            "memory": (self.last.replicas + self.last.worker + self.last.parent) / self.memory,
            "copies_mb": self.last.replicas,
            "worker_mb": self.last.worker,
            "parent_mb": self.last.parent,
            "cache_mb": self.last.cache,
        }
