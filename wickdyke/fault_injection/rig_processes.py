"""The processes of one run of a scenario: gateways, fake or real workers, the store and the load clients."""

import itertools
import os
import sys
from collections.abc import Iterator, Sequence

import msgspec

from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.fault_injection.child_process import ChildProcess, RigError
from wickdyke.fault_injection.fake_store import FakeStoreConfig
from wickdyke.fault_injection.fake_worker import FakeWorkerConfig
from wickdyke.fault_injection.function_packages import write_packages
from wickdyke.fault_injection.load_client import LoadPlan, RequestKind
from wickdyke.fault_injection.run_folder import RunFolder
from wickdyke.fault_injection.run_trace import RunTrace
from wickdyke.fault_injection.scenario import Effect, EndpointState, Scenario, cell_of, gateway_names, zone_of
from wickdyke.fault_injection.settings_files import STORE_SETTINGS, gateway_settings, worker_settings

GATEWAY_COMMAND = (sys.executable, "-m", "wickdyke.cli", "serve")
STARTS_PER_SEED = 100000  # distance between the start numbers of scenarios with successive seeds
WORKER_SEED_FACTOR = 7919  # a prime, so that different seeds and starts give workers different random numbers
WORKER_KIND = "k"
CLIENT_NAME = "c1"


class RigProcesses:
    """Starts the processes of a scenario in a folder and holds them by name."""

    def __init__(self, scenario: Scenario, folder: RunFolder, trace: RunTrace, gateway_command: Sequence[str]) -> None:
        """Starts no process yet; `gateway_command` starts a gateway when the path of its settings is appended."""
        self.workers: dict[str, ChildProcess] = {}
        self.gateways: dict[str, ChildProcess] = {}
        self.load_clients: list[ChildProcess] = []
        self._store: ChildProcess | None = None
        self._scenario = scenario
        self._folder = folder
        self._trace = trace
        self._gateway_command = gateway_command
        self._start_numbers = itertools.count(scenario.seed * STARTS_PER_SEED + 1)

    @property
    def store(self) -> ChildProcess:
        """The process of the store; raises RigError before its start."""
        if self._store is None:
            raise RigError("the store was not started")
        return self._store

    def start_worker(self, name: str, warming_up: bool) -> EndpointRow:
        """Starts a worker, in place of its last process if there was one; returns its row of the endpoint file.

        The worker may not be ready yet. Without `warming_up` a fake worker has its full speed from the start.
        """
        start_number = next(self._start_numbers)
        trace_path = self._folder.trace_file(name)
        if name in self.workers:
            self.workers[name].wait()
        if self._scenario.real_workers:
            arguments = self._real_worker_arguments(name, start_number, trace_path)
        else:
            arguments = self._fake_worker_arguments(name, start_number, trace_path, warming_up)
        self.workers[name] = self._spawn(name, arguments, wait_until_ready=False)
        return EndpointRow(
            name=name,
            address=self._folder.file(f"{name}.sock"),
            zone=zone_of(self._scenario, name),
            kind=WORKER_KIND,
            cell=cell_of(name),
            cores=float(self._scenario.cores) * self._scenario.speed,
            state=EndpointState.READY.value,
            start=start_number,
        )

    def _real_worker_arguments(self, name: str, start_number: int, trace_path: str) -> tuple[str, ...]:
        settings_path = self._folder.write(f"{name}.sexp", worker_settings(self._scenario, name))
        return (
            *(sys.executable, "-m", "wickdyke.cli", "worker", settings_path),
            *("--trace", trace_path),
            *("--start", str(start_number)),
            *("--log", self._folder.file(f"{name}.log")),
        )

    def _fake_worker_arguments(
        self, name: str, start_number: int, trace_path: str, warming_up: bool
    ) -> tuple[str, ...]:
        scenario = self._scenario
        config = FakeWorkerConfig(
            name=name,
            socket=self._folder.file(f"{name}.sock"),
            trace=trace_path,
            store=self._folder.file("store.sock"),
            start=start_number,
            seed=scenario.seed * WORKER_SEED_FACTOR + start_number,
            cores=scenario.cores,
            speed=scenario.speed,
            memory_mb=scenario.worker_memory_mb,
            idle_life=scenario.idle_lifetime_ms,
            queue_capacity=scenario.queue_limit,
            warming_up=warming_up,
            start_share=scenario.slow_start.start_share,
            ramp=scenario.slow_start.ramp_ms,
            multiple=scenario.slow_start.overload_multiple,
            window=scenario.slow_start.window_ms,
        )
        return _module_arguments("fake_worker", config)

    def start_gateway(self, name: str) -> None:
        """Starts a gateway with the settings that write_gateway_settings() wrote; it may not be ready yet."""
        self._trace.gateway_started(name)
        arguments = (
            *self._gateway_command,
            self._folder.file(f"{name}.sexp"),
            "--log",
            self._folder.file(f"{name}.log"),
        )
        self.gateways[name] = self._spawn(name, arguments, wait_until_ready=False)

    def kill_gateway(self, name: str) -> None:
        """Kills a gateway."""
        self.gateways[name].kill()
        self._trace.gateway_killed(name)

    def write_gateway_settings(self, number: int) -> None:
        """Writes the settings file of the gateway with that number; raises OSError."""
        self._folder.write(f"g{number}.sexp", gateway_settings(self._scenario, number))

    def start_store(self) -> None:
        """Starts the store and waits until it is ready; raises RigError."""
        if self._scenario.real_workers:
            arguments = self._real_store_arguments()
        else:
            trace_path = self._folder.trace_file("store")
            config = FakeStoreConfig(
                socket=self._folder.file("store.sock"),
                trace=trace_path,
                full_speed_fetches=self._scenario.store_concurrency,
            )
            arguments = _module_arguments("fake_store", config)
        self._store = self._spawn("store", arguments, wait_until_ready=True)

    def _real_store_arguments(self) -> tuple[str, ...]:
        if not os.path.exists(self._folder.file("store")):
            write_packages(self._scenario, self._folder.file("store"))
        settings_path = self._folder.write("store.sexp", STORE_SETTINGS)
        return (sys.executable, "-m", "wickdyke.cli", "store", settings_path)

    def start_load_client(self) -> None:
        """Starts the load client and waits until it is ready; raises RigError."""
        arguments = _module_arguments("load_client", self._load_plan())
        self.load_clients.append(self._spawn(CLIENT_NAME, arguments, wait_until_ready=True))

    def _load_plan(self) -> LoadPlan:
        scenario = self._scenario
        kinds = [
            RequestKind(
                method=request_class.name,
                weight=request_class.weight,
                deadline_ms=request_class.deadline_ms,
                work_ms=request_class.work_ms,
                function_count=request_class.function_count,
                memory_mb=request_class.memory_mb,
                concurrency=request_class.concurrency,
                load_ms=request_class.load_ms,
                has_idempotency_key=request_class.effect is Effect.IDEMPOTENCY_KEY,
            )
            for request_class in scenario.request_classes
        ]
        return LoadPlan(
            name=CLIENT_NAME,
            trace=self._folder.trace_file(CLIENT_NAME),
            gateways={name: self._folder.file(f"{name}.sock") for name in gateway_names(scenario)},
            kinds=kinds,
            rate=scenario.request_rate,
            duration_ms=scenario.duration_ms,
            seed=scenario.seed,
            connections=scenario.connections,
            max_requests=scenario.max_requests,
        )

    def close(self) -> None:
        """Ends every process; kills those that still run."""
        for child in self._all_processes():
            if child.is_running:
                child.kill()
            else:
                child.wait()

    def _all_processes(self) -> Iterator[ChildProcess]:
        yield from self.load_clients
        yield from self.gateways.values()
        yield from self.workers.values()
        if self._store is not None:
            yield self._store

    def _spawn(self, name: str, arguments: Sequence[str], wait_until_ready: bool) -> ChildProcess:
        return ChildProcess(arguments, self._folder.file(f"{name}.err"), wait_until_ready)


def _module_arguments(module: str, config: msgspec.Struct) -> tuple[str, ...]:
    encoded = msgspec.json.encode(config).decode()
    return (sys.executable, "-m", f"wickdyke.fault_injection.{module}", encoded)
