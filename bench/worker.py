"""What a worker of our own costs: starts, calls, memory against an independent reading, and recovery after a mass
restart with and without placement ahead. Work in the recovery is time slept.

    python -m bench.worker
    python -m bench.worker --recovery scripts/real-mass-restart.sexp --seeds 3
"""

import copy
import io
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time

import click
import msgspec
import psutil

from bench.overload import recovery, seconds
from wickdyke.config import worker_config
from wickdyke.fault_injection import report, scenario, trace
from wickdyke.fault_injection.faults import FaultKind
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import ScenarioRunner
from wickdyke.gateway import log as logs
from wickdyke.worker import package
from wickdyke.worker.runtime import Worker
from wickdyke.worker.source import Folder

CODE = """import os
held = bytearray(os.urandom(1 << 20) * {mb})
def run(asked):
    return asked
"""
SHOP = """(worker (name "w") (listen "w.sock") (store (folder "store")) (cache (folder "{cache}") (most 500 MB))
  (memory 4 GB) (measure 100 ms) (idle-life 10 min))"""


def pack(folder: str, name: str, mb: int, memory: int) -> None:
    """A package whose copies hold so many MB."""
    made = os.path.join(folder, "made")
    os.makedirs(made, exist_ok=True)
    with open(os.path.join(made, "main.py"), "w") as sink:
        sink.write(CODE.format(mb=mb))
    with open(os.path.join(made, package.MANIFEST), "w") as sink:
        sink.write(f'(package "{name}" (version "1") (entry "main:run") (memory {memory} MB) (lanes 4))')
    package.pack(made, os.path.join(folder, "store"))


class Gate:
    """One connection to a worker, in step."""

    def __init__(self, path: str) -> None:
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.connect(path)
        self.source, self.turn = self.sock.makefile("rb"), 0

    def run(self, program: str, many: int = 1, **asked) -> float:
        """ms that so many calls took, sent one after another, all out at once."""
        began = time.perf_counter()
        lines = []
        for _ in range(many):
            self.turn += 1
            lines.append(
                msgspec.json.encode(
                    {
                        "jsonrpc": "2.0",
                        "method": "run",
                        "id": self.turn,
                        "params": {
                            "method": "m",
                            "program": program,
                            "input": asked,
                            "memory_mb": 8.0,
                            "lanes": 4,
                            "time_left_ms": 60000.0,
                        },
                    }
                )
                + b"\n"
            )
        self.sock.sendall(b"".join(lines))
        for _ in range(many):
            told = msgspec.json.decode(self.source.readline())
            if "result" not in told:
                raise SystemExit(f"a call failed: {told}")
        return (time.perf_counter() - began) * 1000

    def drop(self, program: str) -> None:
        """Lets its idle copies go."""
        self.sock.sendall(
            msgspec.json.encode({"jsonrpc": "2.0", "method": "drop", "params": {"program": program}}) + b"\n"
        )

    def close(self) -> None:
        """Hangs up."""
        self.sock.close()


def begin(folder: str, cache: str) -> Worker:
    """A worker in this process."""
    with open(os.path.join(folder, "w.sexp"), "w") as sink:
        sink.write(SHOP.format(cache=cache))
    shop = worker_config.read(os.path.join(folder, "w.sexp"))
    made = Worker(shop, Folder(shop.store_folder), logs.logger(io.StringIO(), False)[0])
    made.open()
    return made


def spread(figures: list[float]) -> str:
    """Median, least and greatest."""
    return f"{statistics.median(figures):.2f} ({min(figures):.2f} to {max(figures):.2f})"


def starts(folder: str, rounds: int) -> list[list[str]]:
    """A first call: with nothing in the cache, from the cache, of a fresh interpreter instead of the parent's fork."""
    pack(folder, "p", 1, 32)
    cold, cached, plain = [], [], []
    for at in range(rounds):
        worker = begin(folder, f"cache{at}")
        gate = Gate(worker.settings.listen)
        cold.append(gate.run("p"))
        gate.drop("p")
        cached.append(gate.run("p"))
        gate.close()
        worker.close()
        made = os.path.join(folder, "made")
        began = time.perf_counter()
        subprocess.run([sys.executable, "-c", "import msgspec, main; main.run(1)"], cwd=made, check=True)
        plain.append((time.perf_counter() - began) * 1000)
    return [
        ["first call, nothing in the cache, ms", spread(cold)],
        ["first call, from the cache, ms", spread(cached)],
        ["a fresh interpreter with the package, ms", spread(plain)],
        ["from the cache over a fresh interpreter", spread([a / b for a, b in zip(cached, plain, strict=True)])],
    ]


def calls(folder: str, rounds: int) -> list[list[str]]:
    """Calls of one copy: one at a time, and many out; the hop beside a function call with the same encoding."""
    worker = begin(folder, "cache0")
    gate = Gate(worker.settings.listen)
    gate.run("p")
    alone = [statistics.median(gate.run("p") for _ in range(200)) for _ in range(rounds)]
    rate = [2000 / gate.run("p", 2000 // 20) * 1000 / 20 for _ in range(rounds)]
    gate.close()
    worker.close()
    return [["one call at a time, ms", spread(alone)], ["calls a second, 100 out", spread(rate)]]


def memory(folder: str) -> list[list[str]]:
    """Ten packages of known sizes at once: what is reported against Pss of /proc/PID/smaps, read line by line."""
    sizes = [1, 2, 4, 8, 16, 24, 32, 48, 64, 96]
    for mb in sizes:
        pack(folder, f"m{mb}", mb, mb + 24)
    worker = begin(folder, "cacheM")
    gate = Gate(worker.settings.listen)
    rows = []
    for mb in sizes:
        gate.run(f"m{mb}")
    time.sleep(0.2)
    worker.measure()
    with worker.runner.lock:
        measured = {
            process.replica.function.name: (process.pid, process.replica.measured_memory)
            for process in worker.replicas.processes.values()
        }
    for mb in sizes:
        pid, told = measured[f"m{mb}"]
        real = pss(pid)
        resident = psutil.Process(pid).memory_info().rss / (1 << 20)
        rows.append(
            [
                f"a package that holds {mb} MB",
                f"told {told:.1f}, read {real:.1f} MB ({100 * abs(told - real) / real:.1f}%); resident {resident:.1f}",
            ]
        )
    gate.close()
    worker.close()
    return rows


def play(script: scenario.Scenario, holds: bool, found: dict) -> None:
    """One run, judged."""
    mine = copy.copy(script)
    mine.prewarming = holds
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        found[holds] = RuleChecker(trace.read(ScenarioRunner(mine, os.path.join(folder, "run")).run()))


def recover(file: str, seeds: int) -> list[list[str]]:
    """Seconds from the first mass restart until three in a row have nine tenths in time, with and without orders."""
    script = scenario.read(file)
    first = next(trouble for trouble in script.faults if trouble.kind is FaultKind.DIE)
    last = next(trouble.at for trouble in script.faults if trouble.at > first.at)
    rows: dict[bool, list] = {True: [], False: []}
    for _ in range(seeds):
        found: dict[bool, RuleChecker] = {}
        threads = [threading.Thread(target=play, args=(script, holds, found)) for holds in (True, False)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for holds, judge in found.items():
            asks, good = seconds(judge)
            starts_at, ends_at = int(first.at // 1000), int(last // 1000)
            until = {at: asks[at] for at in range(ends_at + 1)}
            span = range(starts_at, ends_at)
            share = sum(good[at] for at in span) / sum(asks[at] for at in span)
            rows[holds].append((recovery(until, good, starts_at + 1), share, len(judge.findings)))
        script.seed += 1
    return [
        [
            f"orders ahead {'on' if holds else 'off'}",
            f"{', '.join(str(row[0]) for row in each)} s to nine tenths; in time until the next restart "
            f"{', '.join(f'{row[1]:.2f}' for row in each)}; findings {sum(row[2] for row in each)}",
        ]
        for holds, each in rows.items()
    ]


def pss(pid: int) -> float:
    """A process's proportional set size in MB, added up from all its mappings; 0 where it is gone."""
    try:
        with open(f"/proc/{pid}/smaps") as source:
            return sum(int(line.split()[1]) for line in source if line.startswith("Pss:")) / 1024
    except OSError:
        return 0.0


def sample(director: ScenarioRunner, name: str, found: list[tuple[float, float]]) -> None:
    """Asks a worker what its copies take, and reads the same from the kernel; only where no copy came or went
    meanwhile, since what is told is up to a quarter of a second old."""
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(2)
            sock.connect(director.rows[name].address)
            parent = psutil.Process(director.workers[name].process.pid).children()[0]
            before = {copy.pid for copy in parent.children()}
            time.sleep(0.5)
            real = sum(pss(pid) for pid in before)
            sock.sendall(b'{"jsonrpc":"2.0","method":"probe","params":{},"id":1}\n')
            told = msgspec.json.decode(sock.makefile("rb").readline())["result"]["report"]["copies_mb"]
            if before and before == {copy.pid for copy in parent.children()}:
                found.append((told, real))
    except (OSError, KeyError, IndexError, psutil.Error, msgspec.MsgspecError):
        pass  # it was killed just then, or is not there yet


def throughout(file: str) -> list[list[str]]:
    """What workers tell of their copies against the kernel, all through a script."""
    found: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        director = ScenarioRunner(scenario.read(file), os.path.join(folder, "run"))
        ended = threading.Event()

        def watch(name: str) -> None:
            while not ended.wait(0.1):
                sample(director, name, found)

        watchers = [threading.Thread(target=watch, args=(name,)) for name in scenario.worker_names(director.scenario)]
        for watcher in watchers:
            watcher.start()
        try:
            director.run()
        finally:
            ended.set()
            for watcher in watchers:
                watcher.join()
    off = sorted(abs(told - real) / real for told, real in found)
    return [
        ["readings", str(len(off))],
        ["off, median", f"{100 * statistics.median(off):.2f}%"],
        ["off, 95 of 100", f"{100 * off[int(len(off) * 0.95)]:.2f}%"],
        ["off, greatest", f"{100 * off[-1]:.2f}%"],
        ["within 5%", f"{sum(each <= 0.05 for each in off)} of {len(off)}"],
    ]


@click.command()
@click.option("--rounds", default=7, help="Rounds of each figure.")
@click.option("--recovery", "script", type=click.Path(), help="Measure recovery with this script instead.")
@click.option("--seeds", default=3, help="Pairs of it.")
@click.option("--memory-in", type=click.Path(), help="Compare memory told and read all through this script instead.")
def main(rounds: int, script: str | None, seeds: int, memory_in: str | None) -> None:
    """Measures a worker of our own."""
    if memory_in:
        print(report.table(("memory of copies", ""), throughout(memory_in)))
        return
    if script:
        print(report.table(("recovery", "figures"), recover(script, seeds)))
        return
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        rows = starts(folder, rounds) + calls(folder, rounds) + memory(folder)
    print(report.table(("what", "median, least and greatest"), rows))


if __name__ == "__main__":
    main()
