"""Compares the gateway with the bare relay in one run: `python -m bench.compare [--rounds N] [--seconds S]`.

Both run all the time, in front of the same four workers, which answer at once. Each round loads the relay, then the
gateway. Ratios are computed for each such pair and printed as median, minimum and maximum.
"""

import os
import statistics
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field

import click
import msgspec

from wickdyke.config.endpoint_file import EndpointRow, format_endpoints
from wickdyke.fault_injection.report import table

WORKERS = 4
GATEWAY_CONFIG = """(gateway (listen (json-rpc "g.sock")) (workers (file "workers.sexp")) (report busy held) (seed 1)
  (method "m" (effect idempotent) (soft-deadline 2 s) (deadline 8 s)) (program "p*" (memory 100 MB) (lanes 64))
  (stock (idle-life 30 s)) (warmup (start-share 0.2) (ramp 1 s) (multiple 3) (window 1 s)) (drain-grace 1 s))"""
# The kind of each load, and its level: connections of a closed load, requests per second of an open one.
LOADS = (("closed", 1.0), ("closed", 8.0), ("closed", 32.0), ("open", 440.0), ("open", 1000.0))
# Load and seconds before the first round, to establish connections, replicas and limits.
WARM_UP = ("open", 300.0, 3.0)
MEMORY_REQUEST_COUNTS = (10_000, 100_000)
COLUMNS = (
    "load",
    "relay requests/s",
    "gateway over relay",
    "added p50 ms",
    "added p99 ms",
    "us/request",
    "relay us/request",
    "wake-ups/request",
    "not ok",
)


class LoadFigures(msgspec.Struct):
    """The output of bench.load, by its keys."""

    requests: int = msgspec.field(name="rpcs")
    failures: int = msgspec.field(name="not_ok")
    rate: float  # requests per second
    ms: dict[str, float]  # latency by percentile


@dataclass(slots=True, frozen=True)
class ProcessUse:
    """The resources that a process has used since its start, and its resident memory."""

    cpu_seconds: float
    wake_ups: int  # voluntary context switches of all threads
    resident_mb: float


@dataclass(slots=True, frozen=True)
class Server:
    """The relay or the gateway, with the path of its socket."""

    pid: int
    path: str


@dataclass(slots=True)
class LoadRun:
    """One load on one server: its figures, and the server's CPU time (us) and wake-ups per request."""

    figures: LoadFigures
    cpu_us: float
    wake_ups: float


@dataclass(slots=True)
class Pairs:
    """The runs of one load. Runs with the same index are a pair."""

    relay: list[LoadRun] = field(default_factory=list)
    gateway: list[LoadRun] = field(default_factory=list)

    def added_ms(self, percentile: str) -> list[float]:
        """Returns the ms that the gateway adds to the relay's latency at a percentile, for each pair."""
        pairs = zip(self.relay, self.gateway, strict=True)
        return [gateway.figures.ms[percentile] - relay.figures.ms[percentile] for relay, gateway in pairs]

    def rate_ratios(self) -> list[float]:
        """Returns the gateway's rate divided by the relay's, for each pair."""
        pairs = zip(self.relay, self.gateway, strict=True)
        return [gateway.figures.rate / relay.figures.rate for relay, gateway in pairs]

    def row(self, label: str) -> list[str]:
        """Returns a row of the table, by COLUMNS."""
        return [
            label,
            spread([run.figures.rate for run in self.relay]),
            spread(self.rate_ratios()),
            spread(self.added_ms("p50")),
            spread(self.added_ms("p99")),
            f"{statistics.median(run.cpu_us for run in self.gateway):.0f}",
            f"{statistics.median(run.cpu_us for run in self.relay):.0f}",
            f"{statistics.median(run.wake_ups for run in self.gateway):.2f}",
            str(sum(run.figures.failures for run in self.relay + self.gateway)),
        ]


def start_process(*argv: str) -> subprocess.Popen[bytes]:
    """Starts a Python module as a process; returns once the process has printed that it is ready."""
    process = subprocess.Popen([sys.executable, "-m", *argv], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    assert process.stdout is not None  # since stdout is a pipe
    process.stdout.readline()
    return process


def run_load(path: str, kind: str, level: float, seconds: float) -> LoadFigures:
    """Runs one load in a process of its own; raises CalledProcessError where that fails."""
    command = [sys.executable, "-m", "bench.load", path, kind, str(level), str(seconds)]
    output = subprocess.run(command, capture_output=True, check=True).stdout
    return msgspec.json.decode(output, type=LoadFigures)


def process_use(pid: int) -> ProcessUse:
    """Returns the resources that a process has used, from /proc; raises OSError where it has ended."""
    with open(f"/proc/{pid}/stat") as source:
        fields = source.read().rsplit(")", 1)[1].split()
    wake_ups = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{task}/status") as source:
                wake_ups += next(int(line.split()[1]) for line in source if line.startswith("voluntary"))
        except (FileNotFoundError, ProcessLookupError):
            continue
    with open(f"/proc/{pid}/statm") as source:
        resident = int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    cpu_seconds = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return ProcessUse(cpu_seconds, wake_ups, resident)


def spread(values: list[float]) -> str:
    """Returns the median, and in parentheses the minimum and maximum."""
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


@click.command()
@click.option("--rounds", default=5, help="Pairs of each load.")
@click.option("--seconds", default=4.0, help="Length of each load.")
@click.option("--memory/--no-memory", default=True, help="Also measure memory after 10,000 and 100,000 requests.")
def main(rounds: int, seconds: float, memory: bool) -> None:
    """Compares the gateway with the bare relay."""
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        worker_paths = [os.path.join(folder, f"w{number}.sock") for number in range(WORKERS)]
        config_path = _write_config(folder, worker_paths)
        relay_path = os.path.join(folder, "relay.sock")
        processes = [start_process("bench.echo_worker", path) for path in worker_paths]
        try:
            processes.append(start_process("bench.relay", relay_path, *worker_paths))
            relay = Server(processes[-1].pid, relay_path)
            processes.append(start_process("wickdyke.cli", "serve", config_path))
            gateway = Server(processes[-1].pid, os.path.join(folder, "g.sock"))
            _measure_loads(relay, gateway, rounds, seconds)
            if memory:
                _measure_memory(gateway)
        finally:
            for process in processes:
                process.kill()
                process.communicate()


def _write_config(folder: str, worker_paths: list[str]) -> str:
    """Writes the gateway's configuration and endpoint file; returns the path of the configuration."""
    rows = [EndpointRow(f"w{number}", path, None, None, 0, 8.0, "ready", 0) for number, path in enumerate(worker_paths)]
    with open(os.path.join(folder, "workers.sexp"), "w") as sink:
        sink.write(format_endpoints(rows))
    config_path = os.path.join(folder, "g.sexp")
    with open(config_path, "w") as sink:
        sink.write(GATEWAY_CONFIG)
    return config_path


def _measure_loads(relay: Server, gateway: Server, rounds: int, seconds: float) -> None:
    """Prints a table for each load, as soon as its rounds are done."""
    for server in (relay, gateway):
        run_load(server.path, *WARM_UP)
    for kind, level in LOADS:
        pairs = Pairs()
        for _ in range(rounds):
            pairs.relay.append(_measure(relay, kind, level, seconds))
            pairs.gateway.append(_measure(gateway, kind, level, seconds))
        print(table(COLUMNS, [pairs.row(f"{kind} {level:g}")]), flush=True)


def _measure(server: Server, kind: str, level: float, seconds: float) -> LoadRun:
    before = process_use(server.pid)
    figures = run_load(server.path, kind, level, seconds)
    after = process_use(server.pid)
    cpu_us = (after.cpu_seconds - before.cpu_seconds) * 1e6 / figures.requests
    return LoadRun(figures, cpu_us, (after.wake_ups - before.wake_ups) / figures.requests)


def _measure_memory(gateway: Server) -> None:
    """Prints the gateway's resident memory after each of MEMORY_REQUEST_COUNTS."""
    for count in MEMORY_REQUEST_COUNTS:
        requests = 0
        while requests < count:
            requests += run_load(gateway.path, "closed", 8, 5).requests
        print(f"resident after {requests} more requests: {process_use(gateway.pid).resident_mb:.1f} MB", flush=True)


if __name__ == "__main__":
    main()
