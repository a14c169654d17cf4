"""Injects the faults of a scenario into the processes of a run."""

import signal
from collections.abc import Callable

import psutil  # type: ignore[import-untyped]  # the package has no types

from wickdyke.fault_injection.endpoint_publisher import EndpointPublisher
from wickdyke.fault_injection.fake_store import StallCommand
from wickdyke.fault_injection.fake_worker.faults import FaultCommand
from wickdyke.fault_injection.fake_worker.faults import FaultKind as WorkerFaultKind
from wickdyke.fault_injection.fake_worker.faults import FaultTrigger as WorkerFaultTrigger
from wickdyke.fault_injection.faults import Fault, FaultKind, FaultValue
from wickdyke.fault_injection.load_client.plan import TrafficChange
from wickdyke.fault_injection.rig_processes import RigProcesses
from wickdyke.fault_injection.run_folder import RunFolder
from wickdyke.fault_injection.scenario import Scenario
from wickdyke.fault_injection.timeline import Timeline
from wickdyke.fault_injection.worker_lifecycle import WorkerLifecycle

ROUTE_FILE = "routes.sexp"
NO_HOT_FUNCTIONS = (1, 0.0)  # one hot function, which none of the requests call
DEPLOY_DRAIN_SHARE = 0.8  # fraction of the interval between the workers of a deploy
COMMAND_VALUES = (
    FaultValue.FACTOR,
    FaultValue.SHARE,
    FaultValue.LATENESS,
)  # a command to a fake worker has at most one of them


def write_routes(folder: RunFolder, routes: str) -> None:
    """Replaces the route file that the gateways follow; raises OSError."""
    folder.replace(ROUTE_FILE, f"(routes {routes})\n")


def fault_command(fault: Fault) -> FaultCommand:
    """Returns the command that starts a fault in a fake worker."""
    command = FaultCommand(WorkerFaultKind(fault.kind.value), duration_ms=fault.values.get(FaultValue.DURATION))
    for key in COMMAND_VALUES:
        if key in fault.values:
            command.value = fault.values[key]
    return command


class FaultInjector:
    """Starts faults, and ends those with a limited duration."""

    def __init__(
        self,
        scenario: Scenario,
        processes: RigProcesses,
        endpoints: EndpointPublisher,
        timeline: Timeline,
        folder: RunFolder,
        workers: WorkerLifecycle,
    ) -> None:
        self._scenario = scenario
        self._processes = processes
        self._endpoints = endpoints
        self._timeline = timeline
        self._folder = folder
        self._workers = workers
        self._handlers: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.DIE: self._kill_workers,
            FaultKind.LOSE_ZONE: self._kill_zones,
            FaultKind.DRAIN: self._drain_workers,
            FaultKind.DEPLOY: self._deploy_workers,
            FaultKind.AGE: self._age_workers,
            FaultKind.REROUTE: self._replace_routes,
            FaultKind.KILL_REPLICA: self._kill_replicas,
            FaultKind.RELEASE: self._unload_functions,
            FaultKind.LIST_LAG: self._delay_endpoint_file,
            FaultKind.KILL_GATEWAY: self._kill_gateways,
            FaultKind.STALL: self._stall_store,
            FaultKind.STORE_DOWN: self._kill_store,
            FaultKind.BURST: self._change_rate,
            FaultKind.HOT: self._add_hot_functions,
            FaultKind.ONCE: self._add_one_time_functions,
            FaultKind.SHORT: self._shorten_deadlines,
        }

    def inject(self, fault: Fault) -> None:
        """Starts a fault now."""
        self._handlers.get(fault.kind, self._send_to_workers)(fault)

    def register_trigger(self, fault: Fault) -> None:
        """Has the fake worker of the fault's trigger start it on its event; raises ValueError without a trigger."""
        if fault.trigger is None:
            raise ValueError(f"{fault.location}: the fault has no trigger")
        trigger = fault.trigger
        self._processes.workers[trigger.worker].send(
            WorkerFaultTrigger(trigger.event, trigger.nth, fault_command(fault))
        )

    # ---- workers ----

    def _send_to_workers(self, fault: Fault) -> None:
        for name in fault.targets:
            self._processes.workers[name].send(fault_command(fault))

    def _kill_workers(self, fault: Fault) -> None:
        for name in fault.targets:
            self._workers.kill(name, fault.restart_delay)

    def _kill_zones(self, fault: Fault) -> None:
        for zone in fault.targets:
            self._workers.kill_zone(zone, fault.restart_delay)

    def _drain_workers(self, fault: Fault) -> None:
        for name in fault.targets:
            self._workers.drain(name, fault.duration)

    def _deploy_workers(self, fault: Fault) -> None:
        interval = fault.values[FaultValue.INTERVAL]
        for index, name in enumerate(fault.targets):
            self._timeline.schedule(index * interval, self._workers.drain, name, interval * DEPLOY_DRAIN_SHARE)

    def _age_workers(self, fault: Fault) -> None:
        for name in fault.targets:
            self._processes.workers[name].send(fault_command(fault))
            self._timeline.schedule(fault.duration, self._workers.kill, name, fault.restart_delay)

    def _unload_functions(self, fault: Fault) -> None:
        for child in self._processes.workers.values():
            child.send(fault_command(fault))

    def _kill_replicas(self, fault: Fault) -> None:
        for name in fault.targets:
            for parent in psutil.Process(self._processes.workers[name].process.pid).children():
                for replica in parent.children()[:1]:
                    replica.kill()

    # ---- gateways, routes and the endpoint file ----

    def _kill_gateways(self, fault: Fault) -> None:
        for name in fault.targets:
            self._processes.kill_gateway(name)
            self._timeline.schedule(fault.restart_delay, self._processes.start_gateway, name)

    def _replace_routes(self, fault: Fault) -> None:
        write_routes(self._folder, fault.routes)

    def _delay_endpoint_file(self, fault: Fault) -> None:
        self._endpoints.set_lag(fault.values[FaultValue.LAG])
        self._timeline.schedule(fault.duration, self._endpoints.set_lag, self._scenario.endpoint_lag_ms)

    # ---- store ----

    def _stall_store(self, fault: Fault) -> None:
        store = self._processes.store
        if self._scenario.real_workers:
            store.send_signal(signal.SIGSTOP)
            self._timeline.schedule(fault.duration, store.send_signal, signal.SIGCONT)
        else:
            store.send(StallCommand(fault.duration))

    def _kill_store(self, fault: Fault) -> None:
        self._processes.store.kill()
        self._timeline.schedule(fault.restart_delay, self._processes.start_store)

    # ---- traffic ----

    def _change_rate(self, fault: Fault) -> None:
        factor = fault.values[FaultValue.FACTOR]
        self._change_traffic(fault, TrafficChange(rate_factor=factor), TrafficChange(rate_factor=1.0))

    def _add_hot_functions(self, fault: Fault) -> None:
        functions = int(fault.values[FaultValue.FUNCTION_COUNT])
        share = fault.values[FaultValue.SHARE]
        self._change_traffic(fault, TrafficChange(hot=(functions, share)), TrafficChange(hot=NO_HOT_FUNCTIONS))

    def _add_one_time_functions(self, fault: Fault) -> None:
        share = fault.values[FaultValue.SHARE]
        self._change_traffic(fault, TrafficChange(one_time_share=share), TrafficChange(one_time_share=0.0))

    def _shorten_deadlines(self, fault: Fault) -> None:
        share = fault.values[FaultValue.SHARE]
        self._change_traffic(fault, TrafficChange(short_deadline_share=share), TrafficChange(short_deadline_share=0.0))

    def _change_traffic(self, fault: Fault, change: TrafficChange, reversal: TrafficChange) -> None:
        for client in self._processes.load_clients:
            client.send(change)
            self._timeline.schedule(fault.duration, client.send, reversal)
