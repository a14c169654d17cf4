"""What a front end costs as the fleet grows: slopes along one axis at a time, in simulated fleets, as one JSON file.

    python -m bench.scale run OUT.json [--axis NAME ...]                every point of the axes, each in its own process
    python -m bench.scale point '{"workers": 5000}'                     one point, printed
    python -m bench.scale show OUT.json                                 the tables of docs/CAPACITY.md

All but the decision module is simulated (bench/simulated_fleet.py). Processor time, bytes and resident memory
are the machine's; times of requests are made. A point is played several times for processor time, of which the median
stands, and once with `tracemalloc` for bytes.
"""

import gc
import json
import platform
import statistics
import subprocess
import sys
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, replace

import click

from bench.cost_meter import FRAMES, Meter, product_bytes
from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import Draw, Settings, listing
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.placement import Placement
from wickdyke.routing.router import Router

START = 2000.0  # ms after which what is measured begins
TRACED_SECONDS = 4.0  # made time of a play in which bytes are counted, which takes ten times as long
LONG_SECONDS = 600.0  # made time from which a point is long
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
    idle_timeout: float = 12.0
    seconds: float = 30.0


BASE = Point()
LARGE = replace(BASE, workers=5000)


@dataclass(slots=True, frozen=True)
class Axis:
    """One figure of a point that moves while the others stand."""

    field: str
    values: tuple[float, ...]
    base: Point = BASE

    def points(self) -> list[Point]:
        """Its points."""
        return [replace(self.base, **{self.field: value}) for value in self.values]


AXES = {
    "workers": Axis("workers", (200, 1000, 5000, 10000)),
    "functions": Axis("functions", (100, 1000, 10000, 160000)),
    "calls": Axis("rate", (16.0, 64.0, 127.0, 254.0)),
    "front ends": Axis("front_ends", (100, 800, 3300, 6600)),
    "changes": Axis("changes", (0.0, 1.0, 10.0, 100.0)),
    "methods": Axis("methods", (3, 30, 100, 300)),
    "idle life": Axis("idle_timeout", (6.0, 12.0, 30.0, 60.0)),
    "mix": Axis("exponent", (0.0, 0.8, 1.2, 1.5), LARGE),
}
LONG = {"hour": Axis("seconds", (3600.0,), LARGE)}  # played only where it is asked for


def resident() -> float:
    """MB of this process in memory."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * 4096 / 2**20


def meter() -> Meter:
    """Measures what is control: fills and looks, the list, ranking; the rest is the calls' own work."""
    measured = Meter()
    for owner, names in (
        (Router, ("_tick", "endpoints_changed")),
        (Placement, ("ranking",)),
        (Fleet, ("home_of",)),
    ):
        for name in names:
            measured.wrap(owner, name)
    return measured


def play(point: Point, traced: bool) -> dict:
    """Plays a point; what one front end cost."""
    control, empty = meter(), resident()
    settings = Settings(
        front_ends=point.front_ends, idle_timeout=point.idle_timeout * 1000, class_count=point.methods, memory=1e9
    )
    fleet = SimulatedFleet(settings, [], 1)
    if traced:
        tracemalloc.start(FRAMES)
    bare = product_bytes() if traced else 0
    rows = [listing(number) for number in range(point.workers)]
    fleet.announce(rows)
    fleet.run(1.0)
    front, start = fleet.fronts[0], resident()
    gc.collect()  # as wickdyke/platform/service.py has it
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    listed = product_bytes() if traced else 0
    begun, control.seconds = time.process_time(), 0.0
    front.costs = type(front.costs)()
    draw = Draw(point.functions, point.exponent, 7)
    fleet.clients(point.rate, draw, START + point.seconds * 1000)
    number = [point.workers]

    def change() -> None:  # one worker goes, another comes
        gone = fleet.workers[next(iter(fleet.workers))].endpoint
        fleet.announce([replace(gone, state="gone")])
        fleet.announce([listing(number[0], started_at=fleet.now - 1e6)])
        number[0] += 1
        fleet.at(fleet.now + 2000.0 / point.changes, change)

    if point.changes:
        fleet.at(START, change)
    fleet.run(START + point.seconds * 1000)
    costs, known = front.costs, len(front.router.functions)
    found = {
        "functions_known": known,
        "core_percent": 100 * costs.processor / (point.seconds + START / 1000),
        "control_percent": 100 * control.seconds / (point.seconds + START / 1000),
        "longest_ms": 1000 * costs.longest,
        "answers": dict(costs.answers),
        "messages": {verb: costs.decisions[verb] for verb in ("forward", "prewarm", "health_check", "cancel")},
        "broken": fleet.violations[:3],
        "cells": len(front.router.fleet.cells),
        "harness_seconds": time.process_time() - begun,
    }
    found["own_ms_a_call"] = 10 * (found["core_percent"] - found["control_percent"]) / point.rate
    if traced:
        held = product_bytes()
        counted = {
            "bytes_a_function": (held - listed) / max(1, known),
            "bytes_a_worker": (listed - bare) / point.workers,
        }
        # What goes with the functions, while the records of their workers stay.
        front.router.fleet.drop(list(front.router.functions.values()))
        counted["bytes_of_it_alone"] = (held - product_bytes()) / max(1, known - len(front.router.functions))
        return counted
    found["rss_mb"] = {"empty": empty, "listed": start, "end": resident()}
    found["change_ms"] = _change_cost(fleet, point)
    return found


def _change_cost(fleet: SimulatedFleet, point: Point) -> float:
    """Mean ms of processor time for one row: workers that come, drain, come back and go, by turns."""
    router, spent = fleet.fronts[0].router, 0.0
    for step in range(CHANGES):
        row = listing(point.workers * 2 + step // 4)
        state = ("ready", "draining", "ready", "gone")[step % 4]
        router.advance(fleet.now)
        began = time.process_time()
        router.endpoints_changed([replace(row, state=state)], False)
        spent += time.process_time() - began
    return 1000 * spent / CHANGES


def median(runs: list[dict], key: str) -> float:
    """The middle one of what the runs found under that key."""
    return statistics.median(run[key] for run in runs)


def measure(point: Point, repeat: int) -> dict:
    """All plays of a point, in processes of their own. A long one is played once, and its bytes are not counted."""
    long = point.seconds > LONG_SECONDS

    def run(traced: bool) -> dict:
        given = json.dumps(asdict(replace(point, seconds=min(point.seconds, TRACED_SECONDS)) if traced else point))
        words = [sys.executable, "-m", "bench.scale", "point", given, *(["--traced"] if traced else [])]
        return json.loads(subprocess.run(words, capture_output=True, text=True, check=True).stdout)

    runs = [run(False) for _ in range(1 if long else repeat)]
    spread = {key: [min(each[key] for each in runs), max(each[key] for each in runs)] for key in TIMED}
    middle = {key: median(runs, key) for key in TIMED}
    return {**asdict(point), **runs[0], **middle, **({} if long else run(True)), "spread": spread}


def fit(pairs: list[tuple[float, float]]) -> dict:
    """The least-squares line, and the greatest distance from it as a part of the greatest value."""
    many, sum_x, sum_y = len(pairs), sum(x for x, _ in pairs), sum(y for _, y in pairs)
    spread = sum((x - sum_x / many) ** 2 for x, _ in pairs)
    slope = sum((x - sum_x / many) * (y - sum_y / many) for x, y in pairs) / spread
    at_nought = (sum_y - slope * sum_x) / many
    worst = max(abs(y - at_nought - slope * x) for x, y in pairs)
    return {"slope": slope, "at_nought": at_nought, "error": worst / (max(abs(y) for _, y in pairs) or 1.0)}


TIMED = ("core_percent", "control_percent", "own_ms_a_call", "longest_ms", "change_ms")
FITTED = (*TIMED, "bytes_a_function")


def tables(written: dict) -> list[str]:
    """The lines of the page's tables: the points of each axis, then the slope for one of what moves and its error."""
    lines = []
    for name, axis in written["axes"].items():
        lines += [
            "",
            f"| {name} | core | control | own a call | longest turn | a change | a function | of it alone | RSS |",
        ]
        lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for row in axis["points"]:
            kept = (row.get(key, 0.0) / 1024 for key in ("bytes_a_function", "bytes_of_it_alone"))
            each = " | ".join(f"{size:.1f} KB" if size else "not counted" for size in kept)
            lines.append(
                f"| {row[axis['of']]:g} | {row['core_percent']:.2f}% | {row['control_percent']:.2f}% "
                f"| {row['own_ms_a_call']:.3f} ms | {row['longest_ms']:.2f} ms | {row['change_ms']:.3f} ms "
                f"| {each} | {row['rss_mb']['end']:.0f} MB |"
            )
        if len(axis["points"]) > 1:
            fits = (axis["fits"].get(key) for key in FITTED)
            slopes = " | ".join(f"{each['slope']:.1e} ({each['error']:.0%})" if each else "" for each in fits)
            lines.append(f"| slope for one (error) | {slopes} | | |")
    return lines


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
@click.option("--axis", "names", multiple=True, type=click.Choice([*AXES, *LONG]), help="Only these.")
@click.option("--jobs", default=2, show_default=True, help="Points played at once.")
@click.option("--repeat", default=3, show_default=True, help="Plays of each point for time.")
@click.option("--seconds", default=BASE.seconds, show_default=True, help="Made seconds of each point.")
def run(out: str, names: tuple[str, ...], jobs: int, repeat: int, seconds: float) -> None:
    """Plays every point of the axes and writes OUT."""
    known = {name: replace(axis, base=replace(axis.base, seconds=seconds)) for name, axis in AXES.items()} | LONG
    chosen = {name: known[name] for name in names or AXES}
    points = list({each: None for axis in chosen.values() for each in axis.points()})
    with ThreadPoolExecutor(jobs) as pool:
        found = dict(zip(points, pool.map(lambda each: measure(each, repeat), points), strict=True))
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True).stdout.strip()
    written = {"python": platform.python_version(), "commit": commit, "axes": {}}
    for name, axis in chosen.items():
        rows = [found[each] for each in axis.points()]
        fits = (
            {
                key: fit([(row[axis.field], row[key]) for row in rows])
                for key in FITTED
                if all(key in row for row in rows)
            }
            if len(rows) > 1
            else {}
        )
        written["axes"][name] = {"of": axis.field, "points": rows, "fits": fits}
    with open(out, "w", encoding="utf-8") as sink:
        json.dump(written, sink, indent=1)
        sink.write("\n")


@main.command()
@click.argument("out", type=click.Path(exists=True))
def show(out: str) -> None:
    """Prints the tables."""
    with open(out, encoding="utf-8") as source:
        print("\n".join(tables(json.load(source))))


if __name__ == "__main__":
    main()
