"""What a front end costs as the fleet grows: slopes along one axis at a time, in hollow fleets, as one JSON file.

    python -m bench.scale run OUT.json [--axis NAME ...] [--jobs N]     every point of the axes, each in its own process
    python -m bench.scale point '{"workers": 5000}'                     one point, printed
    python -m bench.scale show OUT.json                                 the tables of docs/CAPACITY.md

All but the decision module is simulated by hollow parts (bench/hollow.py). Processor time, bytes and resident memory
are the machine's; times of requests are made. A point is played twice: once for time, once with `tracemalloc`.
"""

import gc
import json
import platform
import subprocess
import sys
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, replace

import click

from bench.hollow import FRAMES, Draw, HollowFleet, Meter, Settings, listing, product_bytes
from wickdyke import logic

try:
    from wickdyke import fleet as index
except ImportError:  # a text before the index, measured for comparison
    index = None

START = 2000.0  # ms after which what is measured begins
CHANGES = 200  # rows told one by one, to measure a change


@dataclass(slots=True, frozen=True)
class Point:
    """One run. Rates are a second; `exponent` is Zipf's, 0 draws evenly."""

    workers: int = 1000
    functions: int = 160000
    exponent: float = 0.0
    rate: float = 127.0
    front_ends: int = 3300
    changes: float = 0.0
    methods: int = 3
    idle_life: float = 12.0
    seconds: float = 30.0


BASE = Point()
AXES: dict[str, list[Point]] = {
    "workers": [replace(BASE, workers=many) for many in (200, 1000, 5000, 10000)],
    "functions": [replace(BASE, functions=many) for many in (100, 1000, 10000, 160000)],
    "calls": [replace(BASE, rate=rate) for rate in (16.0, 64.0, 127.0, 254.0)],
    "front ends": [replace(BASE, front_ends=many) for many in (100, 800, 3300, 6600)],
    "changes": [replace(BASE, changes=rate) for rate in (0.0, 1.0, 10.0, 100.0)],
    "methods": [replace(BASE, methods=many) for many in (3, 30, 100, 300)],
    "idle life": [replace(BASE, idle_life=life) for life in (6.0, 12.0, 30.0, 60.0)],
    "mix": [replace(BASE, workers=5000, exponent=exponent) for exponent in (0.0, 0.8, 1.2, 1.5)],
}
OF = {"workers": "workers", "functions": "functions", "calls": "rate", "front ends": "front_ends",
      "changes": "changes", "methods": "methods", "idle life": "idle_life", "mix": "exponent"}  # fmt: skip


def resident() -> float:
    """MB of this process in memory."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * 4096 / 2**20


def meter() -> Meter:
    """Measures what is control: fills and looks, the list, ranking; the rest is the calls' own work."""
    measured = Meter()
    for owner, names in (
        (logic.FrontEnd, ("tick", "listed")),
        (logic.Fill, ("ring",)),
        (getattr(index, "Fleet", None), ("home_of",)),
    ):
        for name in names if owner else ():
            measured.wrap(owner, name)
    return measured


def play(point: Point, traced: bool) -> dict:
    """Plays a point; what one front end cost."""
    control, empty = meter(), resident()
    settings = Settings(
        front_ends=point.front_ends, idle_life=point.idle_life * 1000, methods=point.methods, memory=1e9
    )
    fleet = HollowFleet(settings, [], 1)
    if traced:
        tracemalloc.start(FRAMES)
    bare = product_bytes() if traced else 0
    rows = [listing(number) for number in range(point.workers)]
    fleet.announce(rows)
    fleet.run(1.0)
    front, start = fleet.fronts[0], resident()
    gc.collect()  # as wickdyke/platform/serve.py has it
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    listed = product_bytes() if traced else 0
    begun, control.seconds = time.process_time(), 0.0
    front.costs = type(front.costs)()
    draw = Draw(point.functions, point.exponent, 7)
    fleet.clients(point.rate, draw, START + point.seconds * 1000)
    number = [point.workers]

    def change() -> None:  # one worker goes, another comes
        gone = fleet.workers[next(iter(fleet.workers))].listing
        fleet.announce([replace(gone, state="gone")])
        fleet.announce([listing(number[0], born=fleet.now - 1e6)])
        number[0] += 1
        fleet.at(fleet.now + 2000.0 / point.changes, change)

    if point.changes:
        fleet.at(START, change)
    fleet.run(START + point.seconds * 1000)
    costs, known = front.costs, len(front.front_end.programs)
    found = {
        "functions_known": known,
        "core_percent": 100 * costs.processor / (point.seconds + START / 1000),
        "control_percent": 100 * control.seconds / (point.seconds + START / 1000),
        "longest_ms": 1000 * costs.longest,
        "answers": dict(costs.answers),
        "messages": {verb: costs.decisions[verb] for verb in ("call", "hold", "probe", "cancel")},
        "broken": fleet.broken[:3],
        "cells": len(front.front_end.fleet.cells) if index else 1,
        "harness_seconds": time.process_time() - begun,
    }
    found["own_ms_a_call"] = 10 * (found["core_percent"] - found["control_percent"]) / point.rate
    if traced:
        held = product_bytes()
        return {"bytes_a_function": (held - listed) / max(1, known), "bytes_a_worker": (listed - bare) / point.workers}
    found["rss_mb"] = {"empty": empty, "listed": start, "end": resident()}
    found["change_ms"] = _change_cost(fleet, point)
    return found


def _change_cost(fleet: HollowFleet, point: Point) -> float:
    """Mean ms of processor time for one row: workers that come, drain, come back and go, by turns."""
    front_end, spent = fleet.fronts[0].front_end, 0.0
    for step in range(CHANGES):
        row = listing(point.workers * 2 + step // 4)
        state = ("ready", "draining", "ready", "gone")[step % 4]
        front_end.woke(fleet.now)
        began = time.process_time()
        front_end.listed([replace(row, state=state)], False)
        spent += time.process_time() - began
    return 1000 * spent / CHANGES


def measure(point: Point) -> dict:
    """Both plays of a point, in processes of their own."""

    def run(traced: bool) -> dict:
        given = json.dumps(asdict(point))
        words = [sys.executable, "-m", "bench.scale", "point", given, *(["--traced"] if traced else [])]
        return json.loads(subprocess.run(words, capture_output=True, text=True, check=True).stdout)

    return {**asdict(point), **run(False), **run(True)}


def fit(pairs: list[tuple[float, float]]) -> dict:
    """The least-squares line, and the greatest distance from it as a part of the greatest value."""
    many, sum_x, sum_y = len(pairs), sum(x for x, _ in pairs), sum(y for _, y in pairs)
    spread = sum((x - sum_x / many) ** 2 for x, _ in pairs)
    slope = sum((x - sum_x / many) * (y - sum_y / many) for x, y in pairs) / spread
    at_nought = (sum_y - slope * sum_x) / many
    worst = max(abs(y - at_nought - slope * x) for x, y in pairs)
    return {"slope": slope, "at_nought": at_nought, "error": worst / (max(abs(y) for _, y in pairs) or 1.0)}


FITTED = ("core_percent", "control_percent", "own_ms_a_call", "longest_ms", "change_ms", "bytes_a_function")


@click.group()
def main() -> None:
    """Measures how a front end's cost grows with the fleet."""


@main.command()
@click.argument("given")
@click.option("--traced", is_flag=True, help="Count bytes in place of time.")
def point(given: str, traced: bool) -> None:
    """Plays one point."""
    print(json.dumps(play(Point(**json.loads(given)), traced)))


@main.command()
@click.argument("out", type=click.Path())
@click.option("--axis", "names", multiple=True, type=click.Choice(list(AXES)), help="Only these.")
@click.option("--jobs", default=2, show_default=True, help="Points played at once.")
@click.option("--seconds", default=BASE.seconds, show_default=True, help="Made seconds of each point.")
def run(out: str, names: tuple[str, ...], jobs: int, seconds: float) -> None:
    """Plays every point of the axes and writes OUT."""
    chosen = {name: [replace(each, seconds=seconds) for each in AXES[name]] for name in names or AXES}
    points = list({each: None for axis in chosen.values() for each in axis})
    with ThreadPoolExecutor(jobs) as pool:
        found = dict(zip(points, pool.map(measure, points), strict=True))
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
    written = {"python": platform.python_version(), "commit": commit, "axes": {}}
    for name, axis in chosen.items():
        rows = [found[each] for each in axis]
        fits = {key: fit([(row[OF[name]], row[key]) for row in rows]) for key in FITTED}
        written["axes"][name] = {"of": OF[name], "points": rows, "fits": fits}
    with open(out, "w", encoding="utf-8") as sink:
        json.dump(written, sink, indent=1)
        sink.write("\n")


@main.command()
@click.argument("out", type=click.Path(exists=True))
def show(out: str) -> None:
    """Prints the tables."""
    with open(out, encoding="utf-8") as source:
        written = json.load(source)
    for name, axis in written["axes"].items():
        print(f"\n| {name} | core | control | own a call | longest turn | a change | a function | RSS at the end |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for row in axis["points"]:
            print(
                f"| {row[axis['of']]:g} | {row['core_percent']:.2f}% | {row['control_percent']:.2f}% "
                f"| {row['own_ms_a_call']:.3f} ms | {row['longest_ms']:.2f} ms | {row['change_ms']:.3f} ms "
                f"| {row['bytes_a_function'] / 1024:.1f} KB | {row['rss_mb']['end']:.0f} MB |"
            )


if __name__ == "__main__":
    main()
