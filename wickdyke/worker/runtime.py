"""A worker: connects the server for gateways, the warm parent and the replicas to the schedule."""

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

START_ID_BITS = 48  # bits of the random number that identifies a start of the worker
DRAIN_CHECK_INTERVAL = 0.01  # s between two checks whether all requests are answered
PARENT_ENDED_EXIT_CODE = 4


class Worker:
    """One worker. `open` starts to serve; `drain` finishes requests in flight, and `close` ends the worker."""

    def __init__(
        self,
        config: WorkerConfig,
        store: PackageStore,
        log: Log,
        record: Recorder | None = None,
        start_id: int | None = None,
    ) -> None:
        """`record` writes the recording, if there is one; `start_id` identifies this start, a random number by default.

        Raises OSError where the cache directory can't be used.
        """
        self.config = config
        self.log = log
        self.start_id = start_id or random.SystemRandom().getrandbits(START_ID_BITS)
        self.started_at = monotonic_ms()
        self.closed = threading.Event()
        self.cache = Cache(config.cache_folder, config.cache_capacity)
        self.schedule = Schedule(self.started_at, _limits(config))
        self.runner = ScheduleRunner(self.schedule)
        self.load_reporter = LoadReporter(self.runner, config.memory, self.cache)
        self.open_requests = OpenRequests(self.schedule, self.load_reporter.report, self.start_id, record)
        self.record = self.open_requests.record
        self.parent = ParentClient()
        self.supervisor = ReplicaSupervisor(self.runner, self.parent, self.open_requests, self.cache, log)
        self.loader = ReplicaLoader(self.runner, self.supervisor, store, self.cache, log, self.record)
        self.server = GatewayServer(self.runner, self.open_requests, config.name, self.start_id, self.record)
        self._register_handlers()

    def _register_handlers(self) -> None:
        supervisor = self.supervisor
        requests = self.open_requests
        self.runner.handlers = {
            StartLoad: self.loader.start,
            Unload: lambda action: supervisor.end(action.replica, ""),
            Kill: lambda action: supervisor.end(action.replica, action.reason),
            Run: supervisor.run,
            Stop: supervisor.stop,
            Reject: lambda action: requests.reject(action.request, action.rejection),
            PrewarmDone: lambda action: answer_prewarm(action.prewarm, action.ready_count),
            PrewarmFailed: lambda action: reject_prewarm(action.prewarm, action.rejection, action.ready_count),
        }

    def open(self) -> None:
        """Starts the worker's threads and its server; raises AddressInUseError, OSError."""
        threads = {"schedule": self._run_schedule, "parent": self._watch_parent, "meter": self._measure_periodically}
        for name, target in threads.items():
            threading.Thread(target=target, name=name, daemon=True).start()
        self.record(
            "started",
            start=self.start_id,
            cold=self.config.ramp.duration > 0,
            cores=self.config.concurrency,
            speed=1.0,
        )
        self.server.open(self.config.listen)
        self.log.info("serving", socket=self.config.listen, start=self.start_id)

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
        """Ends the worker's replicas, warm parent and threads."""
        self.closed.set()
        self.runner.wake()
        self.server.close()
        self.parent.close()
        self.log.info("stopped", up_ms=round(monotonic_ms() - self.started_at))

    def measure(self) -> None:
        """Measures the memory of the worker's processes once."""
        self.load_reporter.measure(self.supervisor)

    # ---- threads ----

    def _run_schedule(self) -> None:
        self.runner.run(self.closed)

    def _watch_parent(self) -> None:
        self.supervisor.watch_parent()
        if not self.closed.is_set():
            self.log.error("parent ended", reason="the process of the warm parent ended")  # all replicas end with it
            os._exit(PARENT_ENDED_EXIT_CODE)

    def _measure_periodically(self) -> None:
        while not self.closed.wait(self.config.report_interval / 1000):
            self.measure()
            self.supervisor.log_output()


def _limits(config: WorkerConfig) -> ScheduleLimits:
    return ScheduleLimits(
        memory=config.memory,
        concurrency=config.concurrency,
        load_concurrency=config.load_concurrency,
        max_requests=config.queue,
        idle_timeout=config.idle_timeout,
        run_timeout=config.run_timeout,
        stop_timeout=config.stop_timeout,
        slow_start=SlowStart(config.ramp.start_share, config.ramp.duration),
    )
