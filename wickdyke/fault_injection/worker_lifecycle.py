"""Kills, drains, replaces and restarts the workers of a run, and publishes their states in the endpoint file."""

import signal
import threading
from collections.abc import Callable

from wickdyke.fault_injection.child_process import ChildProcess, RigError
from wickdyke.fault_injection.endpoint_publisher import EndpointPublisher
from wickdyke.fault_injection.fake_worker.faults import FaultCommand
from wickdyke.fault_injection.fake_worker.faults import FaultKind as WorkerFaultKind
from wickdyke.fault_injection.rig_processes import RigProcesses
from wickdyke.fault_injection.run_folder import RunFolder
from wickdyke.fault_injection.run_trace import RunTrace
from wickdyke.fault_injection.scenario import EndpointState, Scenario
from wickdyke.fault_injection.timeline import Timeline

DRAIN_EXIT_DELAY = 500.0  # ms from the drain command to the end of the worker
EXIT_POLL_INTERVAL = 50.0  # ms
TRIGGERED_DIE_RESTART_DELAY = 3000.0  # ms until a worker that a triggered `die` ended is restarted
TRIGGERED_DIE_EXIT_CODE = 1  # of a fake worker; an overloaded one ends with another code and is not restarted


class WorkerLifecycle:
    """Stops and restarts workers; later faults do not affect a worker that is stopped."""

    def __init__(
        self,
        scenario: Scenario,
        processes: RigProcesses,
        endpoints: EndpointPublisher,
        timeline: Timeline,
        folder: RunFolder,
        trace: RunTrace,
        report_progress: Callable[[str], None],
    ) -> None:
        self._scenario = scenario
        self._processes = processes
        self._endpoints = endpoints
        self._timeline = timeline
        self._folder = folder
        self._trace = trace
        self._report_progress = report_progress
        self._stopped_workers: set[str] = set()

    def start(self, name: str, warming_up: bool) -> None:
        """Starts a worker's process; it may not be ready yet."""
        self._endpoints.rows[name] = self._processes.start_worker(name, warming_up)

    def kill(self, name: str, restart_delay: float) -> None:
        """Kills a worker and restarts it after `restart_delay` ms."""
        if name in self._stopped_workers:
            return
        self._stopped_workers.add(name)
        self._processes.workers[name].kill()
        self._record_end(name)
        self._timeline.schedule(restart_delay, self._restart, name)

    def kill_zone(self, zone: str, restart_delay: float) -> None:
        """Kills all workers of a zone and restarts them after `restart_delay` ms."""
        for name in [name for name, row in self._endpoints.rows.items() if row.zone == zone]:
            self.kill(name, restart_delay)

    def drain(self, name: str, duration: float) -> None:
        """Lists a worker as draining at once and replaces it after `duration` ms."""
        if name in self._stopped_workers:
            return
        self._endpoints.publish_later(name, EndpointState.DRAINING, lag=0.0)
        self._timeline.schedule(duration, self._replace, name)

    def check_exited(self) -> None:
        """Records workers that ended by themselves; restarts only those that a triggered `die` ended."""
        for name, child in self._processes.workers.items():
            exit_code = child.exit_code
            if name in self._stopped_workers or exit_code is None:
                continue
            self._stopped_workers.add(name)
            self._trace.worker_ended(name)
            self._report_progress(self._timeline.timestamped(f"{name} ended with code {exit_code}"))
            self._endpoints.publish_later(name, EndpointState.GONE)
            if exit_code == TRIGGERED_DIE_EXIT_CODE:
                self._timeline.schedule(TRIGGERED_DIE_RESTART_DELAY, self._restart, name)

    def _record_end(self, name: str) -> None:
        self._trace.worker_ended(name)
        self._endpoints.publish_later(name, EndpointState.GONE)

    def _restart(self, name: str) -> None:
        self.start(name, warming_up=True)
        child = self._processes.workers[name]
        threading.Thread(target=self._list_when_ready, args=(name, child), daemon=True).start()

    def _list_when_ready(self, name: str, child: ChildProcess) -> None:
        child.wait_until_ready(name)
        self._stopped_workers.discard(name)
        self._timeline.schedule(0.0, self._endpoints.publish_later, name, EndpointState.READY)

    def _replace(self, name: str) -> None:
        if name in self._stopped_workers:
            return
        if self._scenario.real_workers:
            self._stopped_workers.add(name)
            self._processes.workers[name].send_signal(signal.SIGTERM)
            self._timeline.schedule(DRAIN_EXIT_DELAY, self._restart_once_ended, name)
        else:  # the fake worker rejects new attempts and finishes the others
            self._processes.workers[name].send(FaultCommand(WorkerFaultKind.DRAIN))
            self._timeline.schedule(DRAIN_EXIT_DELAY, self.kill, name, 0.0)

    def _restart_once_ended(self, name: str) -> None:
        """Restarts a real worker once it has finished its attempts; raises RigError where it ends with an error."""
        exit_code = self._processes.workers[name].exit_code
        if exit_code is None:
            self._timeline.schedule(EXIT_POLL_INTERVAL, self._restart_once_ended, name)
            return
        if exit_code:
            raise RigError(f"worker {name} ended with code {exit_code}, expected 0; see {self._folder.file(name)}.err")
        self._record_end(name)
        self._timeline.schedule(0.0, self._restart, name)
