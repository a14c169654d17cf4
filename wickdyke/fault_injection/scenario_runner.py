"""Runs a scenario: starts its processes, injects its faults at their times, and ends all processes."""

import signal
import time
from collections.abc import Callable, Sequence

from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.fault_injection.child_process import ChildProcess, RigError
from wickdyke.fault_injection.endpoint_publisher import EndpointPublisher
from wickdyke.fault_injection.fault_injector import FaultInjector, write_routes
from wickdyke.fault_injection.faults import Fault
from wickdyke.fault_injection.rig_processes import GATEWAY_COMMAND, RigProcesses
from wickdyke.fault_injection.run_folder import RunFolder
from wickdyke.fault_injection.run_trace import WRITER, RunTrace
from wickdyke.fault_injection.scenario import Scenario, gateway_names, worker_names
from wickdyke.fault_injection.timeline import Timeline
from wickdyke.fault_injection.trace import clock
from wickdyke.fault_injection.worker_lifecycle import WorkerLifecycle

STEP_INTERVAL_SECONDS = 0.005
CLIENT_EXIT_GRACE_MS = 20000.0  # after the scenario and its longest deadline, until load clients must have ended


def _ignore_progress(text: str) -> None:
    """Ignores the progress report."""


class ScenarioRunner:
    """One run of a scenario in its own folder."""

    def __init__(
        self,
        scenario: Scenario,
        folder: str,
        gateway_command: Sequence[str] = GATEWAY_COMMAND,
        report_progress: Callable[[str], None] = _ignore_progress,
    ) -> None:
        """Empties the folder and starts no process yet; raises OSError.

        `report_progress` receives a line of text for each fault, which begins with the seconds elapsed.
        """
        self.scenario = scenario
        self.folder = folder
        self._report_progress = report_progress
        self._run_folder = RunFolder(folder)
        self._trace = RunTrace(self._run_folder.trace_file(WRITER))
        self._timeline = Timeline()
        self._processes = RigProcesses(scenario, self._run_folder, self._trace, gateway_command)
        self._endpoints = EndpointPublisher(self._run_folder, self._timeline, self._trace, scenario.endpoint_lag_ms)
        self._workers = WorkerLifecycle(
            scenario,
            self._processes,
            self._endpoints,
            self._timeline,
            self._run_folder,
            self._trace,
            report_progress,
        )
        self._faults = FaultInjector(
            scenario, self._processes, self._endpoints, self._timeline, self._run_folder, self._workers
        )

    @property
    def gateways(self) -> dict[str, ChildProcess]:
        """The processes of the gateways, by name."""
        return self._processes.gateways

    @property
    def workers(self) -> dict[str, ChildProcess]:
        """The processes of the workers, by name."""
        return self._processes.workers

    @property
    def rows(self) -> dict[str, EndpointRow]:
        """The rows of the workers at their last start, by name."""
        return self._endpoints.rows

    def start(self, traffic: bool = True) -> None:
        """Starts all processes and returns when they are ready; starts load clients only with `traffic`.

        Raises RigError where a process does not become ready.
        """
        self._trace.run_settings(self.scenario)
        self._processes.start_store()
        self._start_workers()
        self._start_gateways()
        if traffic:
            self._processes.start_load_client()

    def run(self) -> list[str]:
        """Runs the whole scenario and returns the paths of its traces; raises RigError where the run itself fails."""
        try:
            self.start()
            self._timeline.start()
            self._schedule_faults()
            self._wait_for_load_clients()
            self._stop_gateways()
        finally:
            self.close()
        return self._run_folder.trace_files

    def step(self) -> None:
        """Runs the due actions, handles workers that ended, and sleeps for STEP_INTERVAL_SECONDS."""
        self._timeline.run_due()
        self._workers.check_exited()
        time.sleep(STEP_INTERVAL_SECONDS)

    def close(self) -> None:
        """Ends every process."""
        self._processes.close()

    def _start_workers(self) -> None:
        for name in worker_names(self.scenario):
            self._workers.start(name, warming_up=False)
        for name, child in self.workers.items():
            child.wait_until_ready(name)
        self._endpoints.publish_all()

    def _start_gateways(self) -> None:
        if self.scenario.routes:
            write_routes(self._run_folder, self.scenario.routes)
        self._endpoints.record_all()
        for number, name in enumerate(gateway_names(self.scenario), 1):
            self._processes.write_gateway_settings(number)
            self._processes.start_gateway(name)
        for name, child in self.gateways.items():
            child.wait_until_ready(name)

    def _schedule_faults(self) -> None:
        for fault in self.scenario.faults:
            if fault.at is not None:
                self._timeline.schedule(fault.at, self._inject, fault)
            else:
                self._faults.register_trigger(fault)

    def _inject(self, fault: Fault) -> None:
        self._trace.fault_injected(fault)
        self._report_progress(self._timeline.timestamped(str(fault)))
        self._faults.inject(fault)

    def _wait_for_load_clients(self) -> None:
        longest_deadline = max(request_class.deadline_ms for request_class in self.scenario.request_classes)
        give_up_at = clock() + self.scenario.duration_ms + CLIENT_EXIT_GRACE_MS + longest_deadline
        while any(client.is_running for client in self._processes.load_clients):
            self.step()
            if clock() > give_up_at:
                raise RigError("the load clients did not end")

    def _stop_gateways(self) -> None:
        for name, child in self.gateways.items():
            if child.is_running:
                child.send_signal(signal.SIGTERM)
            exit_code = child.wait()
            if exit_code != 0:
                raise RigError(
                    f"gateway {name} ended with code {exit_code}, expected 0; see {self._run_folder.file(name)}.err"
                )
