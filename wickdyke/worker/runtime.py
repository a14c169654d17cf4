"""A worker: its server for gateways, its parent process and its replicas. The schedule decides, this connects them."""

import os
import random
import threading
import time

from wickdyke.config.worker_config import WorkerConfig
from wickdyke.worker.actions import Kill, PrewarmDone, PrewarmFailed, Reject, Run, StartLoad, Stop, Unload
from wickdyke.worker.cache import Cache
from wickdyke.worker.gateway_server import GatewayServer
from wickdyke.worker.load_reporter import LoadReporter
from wickdyke.worker.model import ScheduleLimits
from wickdyke.worker.open_requests import OpenRequests, Recorder, answer_prewarm, reject_prewarm
from wickdyke.worker.parent_client import ParentClient
from wickdyke.worker.ramp import Ramp
from wickdyke.worker.replica_loader import ReplicaLoader
from wickdyke.worker.replica_supervisor import ReplicaSupervisor
from wickdyke.worker.schedule import Schedule
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms

START_BITS = 48  # of the number that is drawn anew at each start
DRAIN_CHECK_INTERVAL = 0.01  # s
PARENT_ENDED_EXIT = 4  # exit code


class Worker:
    """`open` begins to serve, `drain` and `close` end it."""

    def __init__(
        self, settings: WorkerConfig, store, log, record: Recorder | None = None, start: int | None = None
    ) -> None:
        """`store` gives packages; `record` takes the lines of a recording; `start` is drawn unless it is given."""
        self.settings, self.store, self.log = settings, store, log
        self.start = start or random.SystemRandom().getrandbits(START_BITS)
        self.started_at = monotonic_ms()
        self.closed = threading.Event()
        self.cache = Cache(settings.cache_folder, settings.cache_capacity)
        self.schedule = Schedule(self.started_at, _limits(settings))
        self.runner = ScheduleRunner(self.schedule)
        self.load_reporter = LoadReporter(self.runner, settings.memory, self.cache)
        self.open_requests = OpenRequests(self.schedule, self.load_reporter.report, self.start, record)
        self.record = self.open_requests.record
        self.parent = ParentClient()
        self.replicas = ReplicaSupervisor(self.runner, self.parent, self.open_requests, self.cache, log)
        self.loader = ReplicaLoader(self.runner, self.replicas, store, self.cache, log, self.record)
        self.server = GatewayServer(self.runner, self.open_requests, settings.name, self.start, self.record)
        self._connect_actions()

    def _connect_actions(self) -> None:
        replicas, requests = self.replicas, self.open_requests
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
        """Begins to serve; raises AddressInUseError, OSError."""
        threads = {"schedule": self._run_schedule, "parent": self._watch_parent, "meter": self._measure_often}
        for name, target in threads.items():
            threading.Thread(target=target, name=name, daemon=True).start()
        self.record(
            "started",
            start=self.start,
            cold=self.settings.ramp.duration > 0,
            cores=self.settings.concurrency,
            speed=1.0,
        )
        self.server.open(self.settings.listen)
        self.log.info("serving", socket=self.settings.listen, start=self.start)

    def drain(self, timeout: float) -> bool:
        """Takes nothing new and lets requests finish; False where some were left after `timeout` ms."""
        with self.runner.event() as schedule:
            schedule.drain()
            self.log.info("draining", held=len(schedule.requests))
        deadline = monotonic_ms() + timeout
        while monotonic_ms() < deadline:
            with self.runner.lock:
                if not self.schedule.requests and self.server.all_sent:
                    return True
            time.sleep(DRAIN_CHECK_INTERVAL)
        return False

    def close(self) -> None:
        """Ends all: replicas, parent, threads."""
        self.closed.set()
        self.runner.wake()
        self.server.close()
        self.parent.close()
        self.log.info("stopped", up_ms=round(monotonic_ms() - self.started_at))

    def measure(self) -> None:
        """Measures once what its processes take."""
        self.load_reporter.measure(self.replicas)

    # ---- threads ----

    def _run_schedule(self) -> None:
        self.runner.run(self.closed)

    def _watch_parent(self) -> None:
        self.replicas.watch_parent()
        if not self.closed.is_set():
            self.log.error("parent ended", why="its process is gone")  # and with it all replicas
            os._exit(PARENT_ENDED_EXIT)

    def _measure_often(self) -> None:
        while not self.closed.wait(self.settings.report_interval / 1000):
            self.measure()
            self.replicas.log_output()


def _limits(settings: WorkerConfig) -> ScheduleLimits:
    return ScheduleLimits(
        memory=settings.memory,
        concurrency=settings.concurrency,
        load_concurrency=settings.load_concurrency,
        queue=settings.queue,
        idle_timeout=settings.idle_timeout,
        run_timeout=settings.run_timeout,
        stop_timeout=settings.stop_timeout,
        ramp=Ramp(settings.ramp.start_share, settings.ramp.duration),
    )
