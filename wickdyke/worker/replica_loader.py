"""Loads replicas: fetches the package, starts the process and waits until it is ready, one thread per load."""

import os
import socket
import threading
from dataclasses import dataclass

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.worker.actions import StartLoad
from wickdyke.worker.cache import Cache
from wickdyke.worker.cache_index import CacheFullError
from wickdyke.worker.log import Log
from wickdyke.worker.manifest import Manifest
from wickdyke.worker.model import Rejection, Replica, ReplicaState
from wickdyke.worker.open_requests import Recorder
from wickdyke.worker.replica_messages import StartReplica
from wickdyke.worker.replica_process import ReplicaProcess
from wickdyke.worker.replica_supervisor import ReplicaSupervisor
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms
from wickdyke.worker.source import PackageNotFoundError, PackageStore

START_TIMEOUT = 30.0  # s until the package must be imported


class ReplicaTooLargeError(Exception):
    """The memory that a package's manifest states does not fit into the worker's memory."""


class LoadError(Exception):
    """A replica could not be started from its package."""


@dataclass(slots=True, frozen=True)
class LoadFailure:
    """Why a load failed: the rejection of the waiting requests, and the reason for the log."""

    rejection: Rejection
    reason: str


class ReplicaLoader:
    """Loads replicas from a store, through the cache."""

    def __init__(
        self,
        runner: ScheduleRunner,
        supervisor: ReplicaSupervisor,
        store: PackageStore,
        cache: Cache,
        log: Log,
        record: Recorder,
    ) -> None:
        self.runner = runner
        self.supervisor = supervisor
        self.store = store
        self.cache = cache
        self.log = log
        self.record = record

    def start(self, action: StartLoad) -> None:
        """Starts a load. Called under the schedule's lock."""
        replica = action.replica
        try:
            threading.Thread(target=self._load, args=(replica,), name=f"load {replica.number}", daemon=True).start()
        except RuntimeError as error:  # no thread can be started: the requests that wait for the load are rejected now
            self._log_failure(replica, str(error), 0)
            self.runner.schedule.load_finished(replica, Rejection.FULL)

    def _load(self, replica: Replica) -> None:
        started_at = monotonic_ms()
        failure: LoadFailure | None = None
        try:
            self._fetch_and_start(replica)
        except Exception as error:  # noqa: BLE001 - on any error, the requests that wait for the load are rejected now
            failure = _failure(error)
        with self.runner.event() as schedule:
            if failure is not None:
                self.supervisor.end(replica, "")
            schedule.load_finished(replica, None if failure is None else failure.rejection)
            if failure is None and replica.state != ReplicaState.READY:
                self.supervisor.end(replica, "")
            self.record("loaded", program=replica.function.name, good=failure is None)
            elapsed_ms = round(monotonic_ms() - started_at)
            if failure is None:
                self.log.info("loaded", function=replica.function.name, replica=replica.number, elapsed_ms=elapsed_ms)
            else:
                self._log_failure(replica, failure.reason, elapsed_ms)

    def _log_failure(self, replica: Replica, reason: str, elapsed_ms: int) -> None:
        self.log.warning(
            "load failed", reason=reason, function=replica.function.name, replica=replica.number, elapsed_ms=elapsed_ms
        )

    def _fetch_and_start(self, replica: Replica) -> None:
        stored = self.store.find(replica.function.name)
        manifest, folder = self.cache.acquire(stored.digest, lambda path: self.store.fetch(stored, path))
        try:
            if manifest.name != stored.name or manifest.version != stored.version:
                raise LoadError(f"{stored.name}@{stored.version} contains {manifest.name}@{manifest.version}")
            self._apply_manifest(replica, manifest)
            process = self._start_process(replica, manifest, folder, stored.digest)
        except BaseException:
            self.cache.release(stored.digest)
            raise
        # From now on the process keeps the entry in use; the supervisor releases the entry when it ends the process.
        self._wait_until_ready(process, manifest)

    def _apply_manifest(self, replica: Replica, manifest: Manifest) -> None:
        with self.runner.lock:
            fits = self.runner.schedule.apply_manifest(
                replica, manifest.memory, manifest.concurrency, manifest.run_timeout
            )
        if not fits:
            raise ReplicaTooLargeError(
                f"{manifest.memory:g} MB, as stated in the manifest, do not fit into the worker's memory"
            )

    def _start_process(self, replica: Replica, manifest: Manifest, folder: str, digest: str) -> ReplicaProcess:
        worker_socket, replica_socket = socket.socketpair()
        output, output_writer = os.pipe()
        os.set_blocking(output, False)
        process = ReplicaProcess(replica, worker_socket, output, digest)
        start_message = StartReplica(
            replica.number, folder, manifest.entry, manifest.concurrency, manifest.memory, dict(manifest.environment)
        )
        with self.runner.lock:
            self.supervisor.parent.start_replica(start_message, replica_socket.fileno(), output_writer)
            self.supervisor.processes[replica.number] = process
        replica_socket.close()
        os.close(output_writer)
        return process

    def _wait_until_ready(self, process: ReplicaProcess, manifest: Manifest) -> None:
        name = f"replica {process.replica.number}"
        threading.Thread(target=self.supervisor.listen, args=(process,), name=name, daemon=True).start()
        if not process.start_ended.wait(START_TIMEOUT):
            raise LoadError(f"not ready within {START_TIMEOUT:g} s")
        if process.failure is not None:
            raise LoadError(f"{manifest.entry}: {process.failure}")


def _failure(error: Exception) -> LoadFailure:
    match error:
        case CacheFullError() | ReplicaTooLargeError():
            return LoadFailure(Rejection.FULL, str(error))
        case PackageNotFoundError() | LoadError():
            return LoadFailure(Rejection.MISS, str(error))
        case InvalidConfigError():
            return LoadFailure(Rejection.MISS, str(error.diagnostics[0]))
        case OSError():
            return LoadFailure(Rejection.MISS, f"{error.filename or 'the store'}: {error.strerror or error}")
        case ValueError():
            return LoadFailure(Rejection.MISS, str(error))
    return LoadFailure(Rejection.MISS, f"{type(error).__name__}: {error}")
