"""A worker: connects its server for gateways, its warm parent and its replicas to the schedule, which decides."""

import os
import random
import threading
import time

from wickdyke.config.worker_config import WorkerConfig
from wickdyke.worker.actions import Kill, PrewarmDone, PrewarmFailed, Reject, Run, StartLoad, Stop, Unload
from wickdyke.worker.cache import Cache
from wickdyke.worker.gateway_server import GatewayServer
from wickdyke.worker.load_reporter import LoadReporter
from wickdyke.worker.log import Log
from wickdyke.worker.model import ScheduleLimits
from wickdyke.worker.open_requests import OpenRequests, Recorder, answer_prewarm, reject_prewarm
from wickdyke.worker.parent_client import ParentClient
from wickdyke.worker.replica_loader import ReplicaLoader
from wickdyke.worker.replica_supervisor import ReplicaSupervisor
from wickdyke.worker.schedule import Schedule
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms
from wickdyke.worker.slow_start import SlowStart
from wickdyke.worker.source import PackageStore

START_BITS = 48  # of the random number that identifies a start of the worker
DRAIN_CHECK_INTERVAL = 0.01  # s
PARENT_ENDED_EXIT_CODE = 4


class Worker:
    """One worker. `open` starts to serve, `drain` and `close` end it."""

    def __init__(
        self,
        config: WorkerConfig,
        store: PackageStore,
        log: Log,
        record: Recorder | None = None,
        start: int | None = None,
    ) -> None:
        """`record` writes the recording, if there is one; `start` identifies this start, a random number by default.

        Raises OSError where the cache's directory can't be used.
        """
        self.config = config
        self.log = log
        self.start = start or random.SystemRandom().getrandbits(START_BITS)
        self.started_at = monotonic_ms()
        self.closed = threading.Event()
        self.cache = Cache(config.cache_folder, config.cache_capacity)
        self.schedule = Schedule(self.started_at, _limits(config))
        self.runner = ScheduleRunner(self.schedule)
        self.load_reporter = LoadReporter(self.runner, config.memory, self.cache)
        self.open_requests = OpenRequests(self.schedule, self.load_reporter.report, self.start, record)
        self.record = self.open_requests.record
        self.parent = ParentClient()
        self.replicas = ReplicaSupervisor(self.runner, self.parent, self.open_requests, self.cache, log)
        self.loader = ReplicaLoader(self.runner, self.replicas, store, self.cache, log, self.record)
        self.server = GatewayServer(self.runner, self.open_requests, config.name, self.start, self.record)
        self._connect_actions()

    def _connect_actions(self) -> None:
        replicas = self.replicas
        requests = self.open_requests
        self.runner.handlers = {
            StartLoad: self.loader.start,
            Unload: lambda action: replicas.end(action.replica, ""),
            Kill: lambda action: replicas.end(action.replica, action.reason),
            Run: replicas.run,
            Stop: replicas.stop,
            Reject: lambda action: requests.reject(action.request, action.rejection),
            PrewarmDone: lambda action: answer_prewarm(action.prewarm, action.ready),
            PrewarmFailed: lambda action: reject_prewarm(action.prewarm, action.rejection, action.ready),
        }

    def open(self) -> None:
        """Starts to serve; raises AddressInUseError, OSError."""
        threads = {"schedule": self._run_schedule, "parent": self._watch_parent, "meter": self._measure_periodically}
        for name, target in threads.items():
            threading.Thread(target=target, name=name, daemon=True).start()
        self.record(
            "started",
            start=self.start,
            cold=self.config.ramp.duration > 0,
            cores=self.config.concurrency,
            speed=1.0,
        )
        self.server.open(self.config.listen)
        self.log.info("serving", socket=self.config.listen, start=self.start)

    def drain(self, timeout: float) -> bool:
        """Accepts no further requests and lets those in flight finish; False where some are left after `timeout` ms."""
        with self.runner.event() as schedule:
            schedule.drain()
            self.log.info("draining", in_flight=len(schedule.requests))
        deadline = monotonic_ms() + timeout
        while monotonic_ms() < deadline:
            with self.runner.lock:
                if not self.schedule.requests and self.server.all_sent:
                    return True
            time.sleep(DRAIN_CHECK_INTERVAL)
        return False

    def close(self) -> None:
        """Ends its replicas, parent and threads."""
        self.closed.set()
        self.runner.wake()
        self.server.close()
        self.parent.close()
        self.log.info("stopped", up_ms=round(monotonic_ms() - self.started_at))

    def measure(self) -> None:
        """Measures the memory of its processes once."""
        self.load_reporter.measure(self.replicas)

    # ---- threads ----

    def _run_schedule(self) -> None:
        self.runner.run(self.closed)

    def _watch_parent(self) -> None:
        self.replicas.watch_parent()
        if not self.closed.is_set():
            self.log.error("parent ended", reason="its process is gone")  # and with it all replicas
            os._exit(PARENT_ENDED_EXIT_CODE)

    def _measure_periodically(self) -> None:
        while not self.closed.wait(self.config.report_interval / 1000):
            self.measure()
            self.replicas.log_output()


def _limits(config: WorkerConfig) -> ScheduleLimits:
    return ScheduleLimits(
        memory=config.memory,
        concurrency=config.concurrency,
        load_concurrency=config.load_concurrency,
        queue=config.queue,
        idle_timeout=config.idle_timeout,
        run_timeout=config.run_timeout,
        stop_timeout=config.stop_timeout,
        slow_start=SlowStart(config.ramp.start_share, config.ramp.duration),
    )
