"""Loads replicas: fetches the package, starts the process, waits until it is ready. Each load has its own thread."""

import os
import socket
import threading

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.worker import source
from wickdyke.worker.actions import StartLoad
from wickdyke.worker.cache import Cache, NoRoom
from wickdyke.worker.model import Rejection, Replica, ReplicaState
from wickdyke.worker.open_requests import Recorder
from wickdyke.worker.package import Manifest
from wickdyke.worker.replica_messages import StartReplica
from wickdyke.worker.replica_process import ReplicaProcess
from wickdyke.worker.replica_supervisor import ReplicaSupervisor
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms

START_TIMEOUT = 30.0  # s for a package to be imported


class ReplicaLoader:
    """Loads replicas from a store, through the cache."""

    def __init__(
        self, runner: ScheduleRunner, supervisor: ReplicaSupervisor, store, cache: Cache, log, record: Recorder
    ) -> None:
        self.runner, self.supervisor, self.store, self.cache = runner, supervisor, store, cache
        self.log, self.record = log, record

    def start(self, action: StartLoad) -> None:
        """Begins a load. Called under the schedule's lock."""
        replica = action.replica
        try:
            threading.Thread(target=self._load, args=(replica,), name=f"load {replica.number}", daemon=True).start()
        except RuntimeError as error:  # no thread can be started: whoever waits for the load is answered now
            self._log_failure(replica, str(error), 0)
            self.runner.schedule.load_finished(replica, Rejection.FULL)

    def _load(self, replica: Replica) -> None:
        began, failure, reason = monotonic_ms(), None, ""
        try:
            self._fetch_and_start(replica)
        except Exception as error:  # whatever it is, the load is over and its requests get their answer now
            failure, reason = _describe(error)
        with self.runner.event() as schedule:
            if failure is not None:
                self.supervisor.end(replica, "")
            schedule.load_finished(replica, failure)
            if failure is None and replica.state != ReplicaState.READY:
                self.supervisor.end(replica, "")
            self.record("loaded", program=replica.function.name, good=failure is None)
            took = round(monotonic_ms() - began)
            if failure is None:
                self.log.info("loaded", function=replica.function.name, replica=replica.number, took_ms=took)
            else:
                self._log_failure(replica, reason, took)

    def _log_failure(self, replica: Replica, reason: str, took: int) -> None:
        self.log.warning(
            "load failed", why=reason, function=replica.function.name, replica=replica.number, took_ms=took
        )

    def _fetch_and_start(self, replica: Replica) -> None:
        found = self.store.find(replica.function.name)
        manifest, folder = self.cache.take(found.digest, lambda path: self.store.fetch(found, path))
        process = None
        try:
            if manifest.name != found.name or manifest.version != found.version:
                raise ValueError(f"{found.name}@{found.version} holds {manifest.name}@{manifest.version}")
            with self.runner.lock:
                fits = self.runner.schedule.apply_manifest(replica, manifest.memory, manifest.lanes, manifest.run_time)
                if not fits:
                    raise NoRoom(f"{manifest.memory:g} MB, as its manifest says, do not fit")
            process = self._start_process(replica, manifest, folder, found.digest)
        except BaseException:
            self.cache.give(found.digest)  # from here on the process keeps it
            raise
        self._wait_until_ready(process, manifest)

    def _start_process(self, replica: Replica, manifest: Manifest, folder: str, digest: str) -> ReplicaProcess:
        ours, theirs = socket.socketpair()
        output, output_writer = os.pipe()
        os.set_blocking(output, False)
        process = ReplicaProcess(replica, ours, output, digest)
        order = StartReplica(
            replica.number, folder, manifest.entry, manifest.lanes, manifest.memory, dict(manifest.environment)
        )
        with self.runner.lock:
            self.supervisor.parent.start_replica(order, theirs.fileno(), output_writer)
            self.supervisor.processes[replica.number] = process
        theirs.close()
        os.close(output_writer)
        return process

    def _wait_until_ready(self, process: ReplicaProcess, manifest: Manifest) -> None:
        name = f"replica {process.replica.number}"
        threading.Thread(target=self.supervisor.listen, args=(process,), name=name, daemon=True).start()
        if not process.started.wait(START_TIMEOUT):
            raise ValueError(f"not ready within {START_TIMEOUT:g} s")
        if process.failure is not None:
            raise ValueError(f"{manifest.entry}: {process.failure}")


def _describe(error: Exception) -> tuple[Rejection, str]:
    """How a load failed, and the reason for the log."""
    match error:
        case NoRoom():
            return Rejection.FULL, str(error)
        case source.Unknown():
            return Rejection.MISS, str(error)
        case InvalidConfigError():
            return Rejection.MISS, str(error.diagnostics[0])
        case OSError():
            return Rejection.MISS, f"{error.filename or 'the store'}: {error.strerror or error}"
        case ValueError():
            return Rejection.MISS, str(error)
    return Rejection.MISS, f"{type(error).__name__}: {error}"
