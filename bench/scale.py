"""What a front end costs as the fleet grows: slopes along one axis at a time, in simulated fleets, as one JSON file.

    python -m bench.scale run OUT.json [--axis NAME ...]                every point of the axes, each in its own process
    python -m bench.scale point '{"workers": 5000}'                     one point, printed
    python -m bench.scale show OUT.json                                 the tables of docs/CAPACITY.md

All but the decision module is simulated (bench/simulated_fleet.py). Processor time, bytes and resident memory
are the machine's; times of requests are simulated. A point is played several times for processor time, of which the
median is written, and once with `tracemalloc` for bytes.
"""

import gc
import itertools
import json
import platform
import statistics
import subprocess
import sys
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, replace
from typing import Any

import click

from bench.cost_meter import FRAMES, Meter, product_bytes
from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import Draw, Settings, listing
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.model import EndpointState
from wickdyke.routing.placement import Placement
from wickdyke.routing.router import Router

START = 2000.0  # simulated ms after which the measured time starts
TRACED_SECONDS = 4.0  # simulated time of a play in which bytes are counted, which takes ten times as long
LONG_SECONDS = 600.0  # simulated time above which a point is long
CHANGES = 200  # rows that change one by one, to measure a change
CHANGE_STATES = (
    EndpointState.READY,
    EndpointState.DRAINING,
    EndpointState.READY,
    EndpointState.GONE,
)  # of a row, in turn
GC_THRESHOLDS = (20000, 20, 50)
DRAW_SEED = 7
PAGE_BYTES = 4096

TIMED_KEYS = ("core_percent", "control_percent", "own_ms_a_call", "longest_ms", "change_ms")
FITTED_KEYS = (*TIMED_KEYS, "bytes_a_function")
TABLE_HEAD = "core | control | own a call | longest turn | a change | a function | of it alone | RSS |"

Figures = dict[str, Any]  # by the keys of bench/scale.json


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
    """One figure of a point that varies while the others are fixed."""

    field: str
    values: tuple[float, ...]
    base: Point = BASE

    def points(self) -> list[Point]:
        """A point for each value."""
        return [Point(**{**asdict(self.base), self.field: value}) for value in self.values]


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
LONG = {"hour": Axis("seconds", (3600.0,), LARGE)}  # played only by `--axis hour`


def resident_mb() -> float:
    """MB of this process in memory."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * PAGE_BYTES / 2**20


def control_meter() -> Meter:
    """Measures the control work: placement passes, endpoint changes, ranking. The rest is the requests' own work."""
    meter = Meter()
    for owner, names in (
        (Router, ("_tick", "endpoints_changed")),
        (Placement, ("ranking",)),
        (Fleet, ("home_of",)),
    ):
        for name in names:
            meter.wrap(owner, name)
    return meter


def new_fleet(point: Point) -> SimulatedFleet:
    """A simulated fleet without workers."""
    settings = Settings(
        front_ends=point.front_ends, idle_timeout=point.idle_timeout * 1000, class_count=point.methods, memory=1e9
    )
    return SimulatedFleet(settings, [], 1)


def list_workers(fleet: SimulatedFleet, point: Point) -> None:
    """Announces the point's workers, then collects garbage as wickdyke/platform/service.py does."""
    fleet.announce([listing(number) for number in range(point.workers)])
    fleet.run(1.0)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def start_load(fleet: SimulatedFleet, point: Point) -> None:
    """Schedules the point's requests and endpoint changes, and starts to count costs."""
    front_end = fleet.fronts[0]
    front_end.costs = type(front_end.costs)()
    draw = Draw(point.functions, point.exponent, DRAW_SEED)
    fleet.clients(point.rate, draw, START + point.seconds * 1000)
    numbers = itertools.count(point.workers)

    def change() -> None:  # one worker is replaced by another
        oldest = fleet.workers[next(iter(fleet.workers))].endpoint
        fleet.announce([replace(oldest, state=EndpointState.GONE)])
        fleet.announce([listing(next(numbers), started_at=fleet.now - 1e6)])
        fleet.at(fleet.now + 2000.0 / point.changes, change)

    if point.changes:
        fleet.at(START, change)


def play_timed(point: Point) -> Figures:
    """Plays a point; what one front end cost in time and memory, by the keys of bench/scale.json."""
    control = control_meter()
    empty_mb = resident_mb()
    fleet = new_fleet(point)
    list_workers(fleet, point)
    front_end = fleet.fronts[0]
    listed_mb = resident_mb()
    started_at = time.process_time()
    control.seconds = 0.0
    start_load(fleet, point)
    fleet.run(START + point.seconds * 1000)
    costs = front_end.costs
    simulated_seconds = point.seconds + START / 1000
    core_percent = 100 * costs.processor / simulated_seconds
    control_percent = 100 * control.seconds / simulated_seconds
    return {
        "functions_known": len(front_end.router.functions),
        "core_percent": core_percent,
        "control_percent": control_percent,
        "longest_ms": 1000 * costs.longest,
        "answers": dict(costs.answers),
        "messages": {verb: costs.decisions[verb] for verb in ("forward", "prewarm", "health_check", "cancel")},
        "broken": fleet.violations[:3],
        "cells": len(front_end.router.fleet.cells),
        "harness_seconds": time.process_time() - started_at,
        "own_ms_a_call": 10 * (core_percent - control_percent) / point.rate,
        "rss_mb": {"empty": empty_mb, "listed": listed_mb, "end": resident_mb()},
        "change_ms": _change_cost(fleet, point),
    }


def play_traced(point: Point) -> Figures:
    """Plays a point with `tracemalloc`; the bytes of one front end, by the keys of bench/scale.json."""
    control_meter()  # not read, but call stacks are those of a timed play
    fleet = new_fleet(point)
    tracemalloc.start(FRAMES)
    bytes_empty = product_bytes()
    list_workers(fleet, point)
    bytes_listed = product_bytes()
    start_load(fleet, point)
    fleet.run(START + point.seconds * 1000)
    router = fleet.fronts[0].router
    function_count = len(router.functions)
    bytes_loaded = product_bytes()
    # What goes with the functions, while the records of their workers stay.
    router.fleet.remove_functions(list(router.functions.values()))
    dropped = function_count - len(router.functions)
    return {
        "bytes_a_function": (bytes_loaded - bytes_listed) / max(1, function_count),
        "bytes_a_worker": (bytes_listed - bytes_empty) / point.workers,
        "bytes_of_it_alone": (bytes_loaded - product_bytes()) / max(1, dropped),
    }


def _change_cost(fleet: SimulatedFleet, point: Point) -> float:
    """Mean ms of processor time for one row: workers that are added, drain, return and are removed, in turn."""
    router = fleet.fronts[0].router
    cpu_seconds = 0.0
    for step in range(CHANGES):
        row = listing(point.workers * 2 + step // len(CHANGE_STATES))
        state = CHANGE_STATES[step % len(CHANGE_STATES)]
        router.advance(fleet.now)
        started_at = time.process_time()
        router.endpoints_changed([replace(row, state=state)], False)
        cpu_seconds += time.process_time() - started_at
    return 1000 * cpu_seconds / CHANGES


def measure(point: Point, repeat: int) -> Figures:
    """All plays of a point, in processes of their own. A long one is played once, and its bytes are not counted."""
    is_long = point.seconds > LONG_SECONDS
    runs = [_play_in_process(point) for _ in range(1 if is_long else repeat)]
    spread = {key: [min(run[key] for run in runs), max(run[key] for run in runs)] for key in TIMED_KEYS}
    medians = {key: statistics.median(run[key] for run in runs) for key in TIMED_KEYS}
    traced = {}
    if not is_long:
        traced = _play_in_process(replace(point, seconds=min(point.seconds, TRACED_SECONDS)), "--traced")
    return {**asdict(point), **runs[0], **medians, **traced, "spread": spread}


def _play_in_process(point: Point, *options: str) -> Figures:
    command = [sys.executable, "-m", "bench.scale", "point", json.dumps(asdict(point)), *options]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    figures: Figures = json.loads(output)
    return figures


def fit(pairs: list[tuple[float, float]]) -> dict[str, float]:
    """The least-squares line, and the maximum distance from it as a part of the maximum value."""
    count = len(pairs)
    sum_x = sum(x for x, _ in pairs)
    sum_y = sum(y for _, y in pairs)
    variance = sum((x - sum_x / count) ** 2 for x, _ in pairs)
    slope = sum((x - sum_x / count) * (y - sum_y / count) for x, y in pairs) / variance
    intercept = (sum_y - slope * sum_x) / count
    distance = max(abs(y - intercept - slope * x) for x, y in pairs)
    return {"slope": slope, "at_nought": intercept, "error": distance / (max(abs(y) for _, y in pairs) or 1.0)}


def tables(result: Figures) -> list[str]:
    """The lines of the tables in docs/CAPACITY.md: the points of each axis, then the slopes and their errors."""
    lines = []
    for name, axis in result["axes"].items():
        lines += ["", f"| {name} | {TABLE_HEAD}", "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
        lines += [_point_row(point, axis["of"]) for point in axis["points"]]
        if len(axis["points"]) > 1:
            fits = (axis["fits"].get(key) for key in FITTED_KEYS)
            slopes = " | ".join(f"{line['slope']:.1e} ({line['error']:.0%})" if line else "" for line in fits)
            lines.append(f"| slope for one (error) | {slopes} | | |")
    return lines


def _point_row(point: Figures, varied: str) -> str:
    sizes = (point.get(key, 0.0) / 1024 for key in ("bytes_a_function", "bytes_of_it_alone"))
    size_columns = " | ".join(f"{size:.1f} KB" if size else "not counted" for size in sizes)
    return (
        f"| {point[varied]:g} | {point['core_percent']:.2f}% | {point['control_percent']:.2f}% "
        f"| {point['own_ms_a_call']:.3f} ms | {point['longest_ms']:.2f} ms | {point['change_ms']:.3f} ms "
        f"| {size_columns} | {point['rss_mb']['end']:.0f} MB |"
    )


@click.group()
def main() -> None:
    """Measures how a front end's cost grows with the fleet."""


@main.command()
@click.argument("given")
@click.option("--traced", is_flag=True, help="Count bytes in place of time.")
def point(given: str, traced: bool) -> None:
    """Plays one point."""
    parameters = Point(**json.loads(given))
    print(json.dumps(play_traced(parameters) if traced else play_timed(parameters)))


@main.command()
@click.argument("out", type=click.Path())
@click.option("--axis", "names", multiple=True, type=click.Choice([*AXES, *LONG]), help="Only these axes.")
@click.option("--jobs", default=2, show_default=True, help="Points played at once.")
@click.option("--repeat", default=3, show_default=True, help="Plays of each point for time.")
@click.option("--seconds", default=BASE.seconds, show_default=True, help="Simulated seconds of each point.")
def run(out: str, names: tuple[str, ...], jobs: int, repeat: int, seconds: float) -> None:
    """Plays every point of the axes and writes OUT."""
    all_axes = {name: replace(axis, base=replace(axis.base, seconds=seconds)) for name, axis in AXES.items()} | LONG
    axes = {name: all_axes[name] for name in names or AXES}
    points = list({point: None for axis in axes.values() for point in axis.points()})
    with ThreadPoolExecutor(jobs) as pool:
        figures = dict(zip(points, pool.map(lambda point: measure(point, repeat), points), strict=True))
    result = {
        "python": platform.python_version(),
        "commit": _commit(),
        "axes": {name: _axis_figures(axis, [figures[point] for point in axis.points()]) for name, axis in axes.items()},
    }
    with open(out, "w", encoding="utf-8") as sink:
        json.dump(result, sink, indent=1)
        sink.write("\n")


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, capture_output=True, text=True).stdout.strip()


def _axis_figures(axis: Axis, points: list[Figures]) -> Figures:
    """An axis with its points, and the lines fitted through them."""
    fits = {}
    if len(points) > 1:
        for key in FITTED_KEYS:
            if all(key in point for point in points):
                fits[key] = fit([(point[axis.field], point[key]) for point in points])
    return {"of": axis.field, "points": points, "fits": fits}


@main.command()
@click.argument("out", type=click.Path(exists=True))
def show(out: str) -> None:
    """Prints the tables."""
    with open(out, encoding="utf-8") as source:
        print("\n".join(tables(json.load(source))))


if __name__ == "__main__":
    main()
