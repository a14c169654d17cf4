"""Measures what a worker's processes take, and reports its load to gateways."""

import os

from wickdyke.worker import meter
from wickdyke.worker.cache import MB, Cache
from wickdyke.worker.replica_supervisor import ReplicaSupervisor
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms


class LoadReporter:
    """Keeps the last measurement."""

    def __init__(self, runner: ScheduleRunner, memory: float, cache: Cache) -> None:
        """`memory` is what the worker may take, in MB."""
        self.runner, self.memory, self.cache = runner, memory, cache
        self.measured = {"copies": 0.0, "worker": 0.0, "parent": 0.0, "cache": 0.0}  # MB, by words on the wire

    def measure(self, supervisor: ReplicaSupervisor) -> None:
        """Measures once: replicas, parent, this process, and the cache on disk."""
        with self.runner.lock:
            processes = [process for process in supervisor.processes.values() if process.pid]
        sizes = [(process, meter.family(process.pid)) for process in processes]
        worker, parent = meter.alone(os.getpid()), meter.alone(supervisor.parent.pid)
        with self.runner.event() as schedule:
            self.measured = {
                "copies": sum(size for _, size in sizes),
                "worker": worker,
                "parent": parent,
                "cache": self.cache.bytes / MB,
            }
            for process, size in sizes:
                if supervisor.is_current(process) and size:
                    schedule.memory_measured(process.replica, size)

    def report(self) -> dict[str, float]:
        """The load as of now, by words on the wire. Called under the schedule's lock."""
        self.runner.schedule.advance(monotonic_ms())
        in_memory = sum(size for what, size in self.measured.items() if what != "cache")
        return {
            **self.runner.schedule.load_report(),
            "memory": in_memory / self.memory,
            **{f"{what}_mb": size for what, size in self.measured.items()},
        }
