"""Measures a real worker: start times, requests, reported against actual memory, and recovery from a mass restart.

Recovery is measured with and without prewarming; the work of its requests is simulated by sleeping.

    python -m bench.worker
    python -m bench.worker --recovery scripts/real-mass-restart.sexp --seeds 3
"""

import copy
import io
import itertools
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass

import click
import msgspec
import psutil  # type: ignore[import-untyped]  # psutil has no type hints

from bench.overload import SECOND_MS, check_run, timeline
from wickdyke.config import worker_config
from wickdyke.fault_injection import report, scenario
from wickdyke.fault_injection.faults import FaultKind
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import ScenarioRunner
from wickdyke.gateway import log as logs
from wickdyke.worker import manifest, package
from wickdyke.worker.cache_index import MB
from wickdyke.worker.replica_process import ReplicaProcess
from wickdyke.worker.runtime import Worker
from wickdyke.worker.source import FolderStore

PACKAGE_CODE = """import os
block = bytearray(os.urandom(1 << 20) * {mb})
def run(argument):
    return argument
"""
WORKER_CONFIG = """(worker (name "w") (listen "w.sock") (store (folder "store"))
  (cache (folder "{cache}") (most 500 MB)) (memory 4 GB) (measure 100 ms) (idle-life 10 min))"""
PACKAGE_FOLDER = "made"  # within the temporary folder
PACKAGE_SIZES = (1, 2, 4, 8, 16, 24, 32, 48, 64, 96)  # MB that packages allocate
INTERPRETER_MB = 24  # stated by a package in addition to what it allocates
SEQUENTIAL_REQUESTS = 200  # in each round
CONCURRENT_REQUESTS = 100
SETTLING_TIME = 0.2  # s from the last request to the measurement
SAMPLE_INTERVAL = 0.1  # s between two samples of a worker's memory
SAMPLE_DELAY = 0.5  # s in which no replica may start or end; a report is up to a quarter of a second old
MAX_ACCURATE_ERROR = 0.05  # relative error within which a report counts as accurate


def pack(folder: str, name: str, mb: int, memory: int) -> None:
    """Builds a package that allocates `mb` MB and states `memory` MB, and puts it into the store."""
    package_folder = os.path.join(folder, PACKAGE_FOLDER)
    os.makedirs(package_folder, exist_ok=True)
    with open(os.path.join(package_folder, "main.py"), "w") as sink:
        sink.write(PACKAGE_CODE.format(mb=mb))
    with open(os.path.join(package_folder, manifest.FILE_NAME), "w") as sink:
        sink.write(f'(package "{name}" (version "1") (entry "main:run") (memory {memory} MB) (lanes 4))')
    package.pack(package_folder, os.path.join(folder, "store"))


class GatewayConnection:
    """A gateway's connection to a worker. Not thread-safe."""

    def __init__(self, path: str) -> None:
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.connect(path)
        self.source = self.sock.makefile("rb")
        self.ids = itertools.count(1)

    def run(self, function: str, count: int = 1) -> float:
        """Sends `count` requests at once; returns the ms until all are answered. Raises SystemExit where one fails."""
        started_at = time.perf_counter()
        self.sock.sendall(b"".join(_run_request_line(next(self.ids), function) for _ in range(count)))
        for _ in range(count):
            answer = msgspec.json.decode(self.source.readline())
            if "result" not in answer:
                raise SystemExit(f"a request failed: {answer}")
        return (time.perf_counter() - started_at) * 1000

    def unload_idle(self, function: str) -> None:
        """Tells the worker to unload its idle replicas of a function."""
        message = {"jsonrpc": "2.0", "method": "drop", "params": {"program": function}}
        self.sock.sendall(msgspec.json.encode(message) + b"\n")

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()


def _run_request_line(ident: int, function: str) -> bytes:
    params = {
        "method": "m",
        "program": function,
        "input": {},
        "memory_mb": 8.0,
        "lanes": 4,
        "time_left_ms": 60000.0,
    }
    return msgspec.json.encode({"jsonrpc": "2.0", "method": "run", "id": ident, "params": params}) + b"\n"


def start_worker(folder: str, cache: str) -> Worker:
    """Starts a worker in this process, with its cache in the folder `cache`; the caller closes it."""
    path = os.path.join(folder, "w.sexp")
    with open(path, "w") as sink:
        sink.write(WORKER_CONFIG.format(cache=cache))
    config = worker_config.read(path)
    worker = Worker(config, FolderStore(os.path.join(folder, "store")), logs.logger(io.StringIO(), False)[0])
    worker.open()
    return worker


def spread(figures: list[float]) -> str:
    """Returns the median, and in parentheses the minimum and maximum."""
    return f"{statistics.median(figures):.2f} ({min(figures):.2f} to {max(figures):.2f})"


def measure_starts(folder: str, rounds: int) -> list[list[str]]:
    """Measures a function's first request: with an empty cache, from the cache, and against a new interpreter.

    Replicas are forked; the new interpreter imports the package and calls the function instead.
    """
    pack(folder, "p", 1, 32)
    uncached: list[float] = []
    cached: list[float] = []
    interpreter: list[float] = []
    for number in range(rounds):
        worker = start_worker(folder, f"cache{number}")
        connection = GatewayConnection(worker.config.listen)
        uncached.append(connection.run("p"))
        connection.unload_idle("p")
        cached.append(connection.run("p"))
        connection.close()
        worker.close()
        interpreter.append(_interpreter_start(os.path.join(folder, PACKAGE_FOLDER)))
    ratios = [worker_ms / interpreter_ms for worker_ms, interpreter_ms in zip(cached, interpreter, strict=True)]
    return [
        ["first request, empty cache, ms", spread(uncached)],
        ["first request, from the cache, ms", spread(cached)],
        ["a new interpreter with the package, ms", spread(interpreter)],
        ["from the cache over a new interpreter", spread(ratios)],
    ]


def _interpreter_start(package_folder: str) -> float:
    """Returns the ms that a new interpreter takes to import the package and call its function."""
    started_at = time.perf_counter()
    command = [sys.executable, "-c", "import msgspec, main; main.run(1)"]
    subprocess.run(command, cwd=package_folder, check=True)
    return (time.perf_counter() - started_at) * 1000


def measure_requests(folder: str, rounds: int) -> list[list[str]]:
    """Measures requests to one replica: one at a time, and CONCURRENT_REQUESTS in flight."""
    worker = start_worker(folder, "cache0")
    connection = GatewayConnection(worker.config.listen)
    connection.run("p")
    latencies = [statistics.median(connection.run("p") for _ in range(SEQUENTIAL_REQUESTS)) for _ in range(rounds)]
    rates = [CONCURRENT_REQUESTS * 1000 / connection.run("p", CONCURRENT_REQUESTS) for _ in range(rounds)]
    connection.close()
    worker.close()
    return [
        ["one request at a time, ms", spread(latencies)],
        [f"requests a second, {CONCURRENT_REQUESTS} in flight", spread(rates)],
    ]


def measure_memory(folder: str) -> list[list[str]]:
    """Compares the worker's memory measurement with /proc/PID/smaps, for packages of different sizes at once."""
    for mb in PACKAGE_SIZES:
        pack(folder, f"m{mb}", mb, mb + INTERPRETER_MB)
    worker = start_worker(folder, "cacheM")
    connection = GatewayConnection(worker.config.listen)
    for mb in PACKAGE_SIZES:
        connection.run(f"m{mb}")
    time.sleep(SETTLING_TIME)
    worker.measure()
    with worker.runner.lock:
        processes = {process.replica.function.name: process for process in worker.supervisor.processes.values()}
    rows = [_memory_row(mb, processes[f"m{mb}"]) for mb in PACKAGE_SIZES]
    connection.close()
    worker.close()
    return rows


def _memory_row(mb: int, process: ReplicaProcess) -> list[str]:
    measured = process.replica.measured_memory
    actual = proportional_set_size(process.pid)
    resident = psutil.Process(process.pid).memory_info().rss / MB
    error_percent = 100 * abs(measured - actual) / actual
    return [
        f"a package that allocates {mb} MB",
        f"reported {measured:.1f}, actual {actual:.1f} MB ({error_percent:.1f}%); resident {resident:.1f}",
    ]


@dataclass(slots=True, frozen=True)
class RecoveryResult:
    """The figures of a run with a mass restart."""

    recovery: int | None  # s from the restart
    share_in_time: float  # of the requests sent until the next restart
    findings: int  # broken rules


def measure_recovery(file: str, seeds: int) -> list[list[str]]:
    """Measures the seconds from the first mass restart until nearly all requests are in time, in pairs by seed.

    Each pair is a run with prewarming and one without.
    """
    script = scenario.read(file)
    first_restart = next(fault for fault in script.faults if fault.kind is FaultKind.DIE)
    assert first_restart.at is not None  # the faults of this scenario start at a time, not with an event
    next_fault_at = next(fault.at for fault in script.faults if fault.at is not None and fault.at > first_restart.at)
    recovery_period = range(int(first_restart.at // SECOND_MS), int(next_fault_at // SECOND_MS))
    results: dict[bool, list[RecoveryResult]] = {True: [], False: []}
    for _ in range(seeds):
        for prewarming, checker in _run_both(script).items():
            requests = timeline(checker)
            recovery = requests.recovery(recovery_period.start + 1, recovery_period.stop)
            results[prewarming].append(
                RecoveryResult(recovery, requests.share_in_time(recovery_period), len(checker.findings))
            )
        script.seed += 1
    return [_recovery_row(prewarming, runs) for prewarming, runs in results.items()]


def _run_both(script: scenario.Scenario) -> dict[bool, RuleChecker]:
    """Runs a scenario with and without prewarming, at once."""
    checkers: dict[bool, RuleChecker] = {}

    def run_variant(prewarming: bool) -> None:
        variant = copy.copy(script)
        variant.prewarming = prewarming
        checkers[prewarming] = check_run(variant)

    threads = [threading.Thread(target=run_variant, args=(prewarming,)) for prewarming in (True, False)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return checkers


def _recovery_row(prewarming: bool, runs: list[RecoveryResult]) -> list[str]:
    return [
        f"prewarming {'on' if prewarming else 'off'}",
        f"{', '.join(str(run.recovery) for run in runs)} s to nine tenths; in time until the next restart "
        f"{', '.join(f'{run.share_in_time:.2f}' for run in runs)}; findings {sum(run.findings for run in runs)}",
    ]


def proportional_set_size(pid: int) -> float:
    """Returns a process's proportional set size in MB, summed over its mappings; 0 where the process has ended."""
    try:
        with open(f"/proc/{pid}/smaps") as source:
            return sum(int(line.split()[1]) for line in source if line.startswith("Pss:")) / 1024
    except OSError:
        return 0.0


@dataclass(slots=True, frozen=True)
class MemorySample:
    """The memory of a worker's replicas in MB."""

    reported: float  # by the worker in its load report
    actual: float  # proportional set sizes, by the kernel

    @property
    def error(self) -> float:
        """The relative error of the report."""
        return abs(self.reported - self.actual) / self.actual


def sample_memory(runner: ScenarioRunner, name: str) -> MemorySample | None:
    """Returns the memory of a worker's replicas as the worker reports it and as the kernel does.

    Returns None where a replica started or ended meanwhile, since a report is up to a quarter of a second old, and
    where the worker does not run.
    """
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(2)
            sock.connect(runner.rows[name].address)
            parent = psutil.Process(runner.workers[name].process.pid).children()[0]
            replicas = {process.pid for process in parent.children()}
            time.sleep(SAMPLE_DELAY)
            actual = sum(proportional_set_size(pid) for pid in replicas)
            sock.sendall(b'{"jsonrpc":"2.0","method":"probe","params":{},"id":1}\n')
            reported = msgspec.json.decode(sock.makefile("rb").readline())["result"]["report"]["copies_mb"]
            if replicas and replicas == {process.pid for process in parent.children()}:
                return MemorySample(reported, actual)
    except (OSError, KeyError, IndexError, psutil.Error, msgspec.MsgspecError):
        pass  # the worker was killed meanwhile or has not started yet
    return None


def measure_reports(file: str) -> list[list[str]]:
    """Compares the memory that workers report with the kernel's figures, sampled all through a scenario."""
    samples: list[MemorySample] = []
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        script = scenario.read(file)
        runner = ScenarioRunner(script, os.path.join(folder, "run"))
        run_ended = threading.Event()

        def sample_worker(name: str) -> None:
            while not run_ended.wait(SAMPLE_INTERVAL):
                sample = sample_memory(runner, name)
                if sample is not None:
                    samples.append(sample)

        threads = [threading.Thread(target=sample_worker, args=(name,)) for name in scenario.worker_names(script)]
        for thread in threads:
            thread.start()
        try:
            runner.run()
        finally:
            run_ended.set()
            for thread in threads:
                thread.join()
    errors = sorted(sample.error for sample in samples)
    return [
        ["samples", str(len(errors))],
        ["error, median", f"{100 * statistics.median(errors):.2f}%"],
        ["error, 95th percentile", f"{100 * errors[int(len(errors) * 0.95)]:.2f}%"],
        ["error, maximum", f"{100 * errors[-1]:.2f}%"],
        ["within 5%", f"{sum(error <= MAX_ACCURATE_ERROR for error in errors)} of {len(errors)}"],
    ]


@click.command()
@click.option("--rounds", default=7, help="Rounds of each measurement.")
@click.option("--recovery", "script", type=click.Path(), help="Measure recovery with this scenario instead.")
@click.option("--seeds", default=3, help="Pairs of runs that measure recovery.")
@click.option(
    "--memory-in", type=click.Path(), help="Compare reported and actual memory all through this scenario instead."
)
def main(rounds: int, script: str | None, seeds: int, memory_in: str | None) -> None:
    """Measures a real worker."""
    if memory_in:
        print(report.table(("memory of replicas", ""), measure_reports(memory_in)))
        return
    if script:
        print(report.table(("recovery", "figures"), measure_recovery(script, seeds)))
        return
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        rows = measure_starts(folder, rounds) + measure_requests(folder, rounds) + measure_memory(folder)
    print(report.table(("measurement", "median, minimum and maximum"), rows))


if __name__ == "__main__":
    main()
