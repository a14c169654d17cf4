"""The gateway beside the bare relay, paired in one run: `python -m bench.compare [--rounds N] [--seconds S]`.

Both stand all the time, before the same four workers that answer at once; each round loads one, then the other. The
ratios are of pairs; shown are their median, least and greatest.
"""

import os
import statistics
import subprocess
import sys
import tempfile

import click
import msgspec

from wickdyke.config.endpoint_file import EndpointRow, format_endpoints
from wickdyke.fault_injection.report import table

WORKERS = 4
GATEWAY = """(gateway (listen (json-rpc "g.sock")) (workers (file "workers.sexp")) (report busy held) (seed 1)
  (method "m" (effect idempotent) (soft-deadline 2 s) (deadline 8 s)) (program "p*" (memory 100 MB) (lanes 64))
  (stock (idle-life 30 s)) (warmup (start-share 0.2) (ramp 1 s) (multiple 3) (window 1 s)) (drain-grace 1 s))"""


def begin(*argv: str) -> subprocess.Popen:
    """A process that says when it is ready."""
    process = subprocess.Popen([sys.executable, "-m", *argv], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    process.stdout.readline()
    return process


def load(path: str, how: str, figure: float, seconds: float) -> dict:
    """One load, by a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "bench.load", path, how, str(figure), str(seconds)], capture_output=True, check=True
    )
    return msgspec.json.decode(done.stdout)


def spent(pid: int) -> tuple[float, int, float]:
    """(CPU seconds, times a thread of it was woken, resident MB) up to now."""
    with open(f"/proc/{pid}/stat") as source:
        fields = source.read().rsplit(")", 1)[1].split()
    woken = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{task}/status") as source:
                woken += next(int(line.split()[1]) for line in source if line.startswith("voluntary"))
        except (FileNotFoundError, ProcessLookupError):
            continue
    with open(f"/proc/{pid}/statm") as source:
        resident = int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), woken, resident


def spread(values: list[float]) -> str:
    """median (least to greatest)"""
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


@click.command()
@click.option("--rounds", default=5, help="Pairs of each load.")
@click.option("--seconds", default=4.0, help="Length of each load.")
@click.option("--memory/--no-memory", default=True, help="Also 10,000 and 100,000 RPCs and what is resident then.")
def main(rounds: int, seconds: float, memory: bool) -> None:
    """Measures the gateway beside the bare relay."""
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        paths = [os.path.join(folder, f"w{at}.sock") for at in range(WORKERS)]
        with open(os.path.join(folder, "workers.sexp"), "w") as sink:
            sink.write(
                format_endpoints(
                    [EndpointRow(f"w{at}", path, None, None, 0, 8.0, "ready", 0) for at, path in enumerate(paths)]
                )
            )
        with open(os.path.join(folder, "g.sexp"), "w") as sink:
            sink.write(GATEWAY)
        relay, gate = os.path.join(folder, "relay.sock"), os.path.join(folder, "g.sock")
        children = [begin("bench.echo_worker", path) for path in paths]
        children.append(begin("bench.relay", relay, *paths))
        children.append(begin("wickdyke.cli", "serve", os.path.join(folder, "g.sexp")))
        try:
            _measure(children[-2].pid, children[-1].pid, relay, gate, rounds, seconds, memory)
        finally:
            for child in children:
                child.kill()
                child.wait()
                child.stdout.close()


def _measure(relay_pid: int, gate_pid: int, relay: str, gate: str, rounds: int, seconds: float, memory: bool) -> None:
    for path in (relay, gate):  # warm both: connections, copies, limits
        load(path, "open", 300, 3)
    rows = []
    for how, figure in (("closed", 1), ("closed", 8), ("closed", 32), ("open", 440), ("open", 1000)):
        pairs, costs, bad = [], [], 0
        for _ in range(rounds):
            pair = []
            for path, pid in ((relay, relay_pid), (gate, gate_pid)):
                cpu, woken, _ = spent(pid)
                got = load(path, how, figure, seconds)
                cpu_after, woken_after, _ = spent(pid)
                bad += got["not_ok"]
                pair.append(got)
                costs.append(((cpu_after - cpu) * 1e6 / got["rpcs"], (woken_after - woken) / got["rpcs"]))
            pairs.append(pair)
        added = [[gated["ms"][p] - bare["ms"][p] for bare, gated in pairs] for p in ("p50", "p99")]
        rows.append(
            [
                f"{how} {figure}",
                spread([bare["rate"] for bare, _ in pairs]),
                spread([gated["rate"] / bare["rate"] for bare, gated in pairs]),
                spread(added[0]),
                spread(added[1]),
                f"{statistics.median(c for c, _ in costs[1::2]):.0f}",
                f"{statistics.median(c for c, _ in costs[::2]):.0f}",
                f"{statistics.median(w for _, w in costs[1::2]):.2f}",
                str(bad),
            ]
        )
        print(
            table(
                (
                    "load",
                    "relay RPCs/s",
                    "gateway over relay",
                    "added p50 ms",
                    "added p99 ms",
                    "us/RPC",
                    "relay us/RPC",
                    "woken/RPC",
                    "not ok",
                ),
                [rows[-1]],
            ),
            flush=True,
        )
    if memory:
        for many in (10_000, 100_000):
            done = 0
            while done < many:
                done += load(gate, "closed", 8, 5)["rpcs"]
            print(f"resident after {done} more RPCs: {spent(gate_pid)[2]:.1f} MB", flush=True)


if __name__ == "__main__":
    main()
