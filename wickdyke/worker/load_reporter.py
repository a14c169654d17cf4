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
    """The memory of a worker's replicas, its own process and its warm parent, and its cache on disk, all in MB."""

    replicas: float = 0.0
    worker: float = 0.0
    parent: float = 0.0
    cache: float = 0.0


class LoadReporter:
    """Keeps the last measurement, and builds load reports from it and from the schedule."""

    def __init__(self, runner: ScheduleRunner, memory: float, cache: Cache) -> None:
        """`memory` is the worker's limit in MB."""
        self.runner = runner
        self.memory = memory
        self.cache = cache
        self.memory_use = MemoryUse()

    def measure(self, supervisor: ReplicaSupervisor) -> None:
        """Measures all processes once, and reports the memory of each replica to the schedule."""
        with self.runner.lock:
            processes = [process for process in supervisor.processes.values() if process.pid]
        sizes = [(process, meter.tree_memory(process.pid)) for process in processes]
        worker = meter.process_memory(os.getpid())
        parent = meter.process_memory(supervisor.parent.pid)
        with self.runner.event() as schedule:
            replicas = sum(size for _, size in sizes)
            self.memory_use = MemoryUse(replicas, worker, parent, self.cache.bytes / MB)
            for process, size in sizes:
                if supervisor.is_current(process) and size:
                    schedule.memory_measured(process.replica, size)

    def report(self) -> dict[str, float]:
        """The current load report, under the keys that are sent to gateways. Called under the schedule's lock."""
        self.runner.schedule.advance(monotonic_ms())
        return {
            **self.runner.schedule.load_report(),
            "memory": (self.memory_use.replicas + self.memory_use.worker + self.memory_use.parent) / self.memory,
            "copies_mb": self.memory_use.replicas,
            "worker_mb": self.memory_use.worker,
            "parent_mb": self.memory_use.parent,
            "cache_mb": self.memory_use.cache,
        }
