"""Measures how the cost of a front end grows with the fleet, along one axis at a time, and writes one JSON file.

    python -m bench.scale run OUT.json [--axis NAME ...]                every point of the axes, each in its own process
    python -m bench.scale point '{"workers": 5000}'                     one point, printed
    python -m bench.scale show OUT.json                                 the tables of docs/CAPACITY.md

Everything but the router is simulated (bench/simulated_fleet.py). Processor time, bytes and resident memory are
measured on this machine; the times of requests are simulated. A point is run several times for processor time, of which
the median is written, and once with `tracemalloc` for bytes.
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

from bench.cost_meter import TRACEBACK_FRAMES, CpuMeter, wickdyke_bytes
from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import FunctionSampler, Settings, simulated_endpoint
from wickdyke.routing.fleet import Fleet
from wickdyke.routing.model import EndpointState
from wickdyke.routing.placement import Placement
from wickdyke.routing.router import Router

LEAD_TIME = 2000.0  # simulated ms of requests before the endpoint changes start
TRACED_SECONDS = 4.0  # simulated time of a run that counts bytes, which takes ten times as long
LONG_SECONDS = 600.0  # simulated time above which a point is long
CHANGE_COUNT = 200  # endpoint changes of which the mean processor time is measured
CHANGE_STATES = (  # of one endpoint, in turn
    EndpointState.READY,
    EndpointState.DRAINING,
    EndpointState.READY,
    EndpointState.GONE,
)
GC_THRESHOLDS = (20000, 20, 50)
DRAW_SEED = 7
PAGE_BYTES = 4096

TIMED_KEYS = ("core_percent", "control_percent", "own_ms_a_call", "longest_ms", "change_ms")
FITTED_KEYS = (*TIMED_KEYS, "bytes_a_function")
TABLE_HEAD = "core | control | own a call | longest turn | a change | a function | of it alone | RSS |"

Figures = dict[str, Any]  # by the keys of bench/scale.json


@dataclass(slots=True, frozen=True)
class Point:
    """The parameters of one run, stored by these names. `exponent` is that of Zipf's law; 0 draws uniformly."""

    workers: int = 1000
    functions: int = 160000
    exponent: float = 0.0
    rate: float = 127.0  # requests per second
    front_ends: int = 3300
    changes: float = 0.0  # endpoint changes per second
    methods: int = 3
    idle_timeout: float = 12.0  # s
    seconds: float = 30.0  # simulated


BASE_POINT = Point()
LARGE_POINT = replace(BASE_POINT, workers=5000)


@dataclass(slots=True, frozen=True)
class Axis:
    """A parameter of Point that varies while the others are fixed."""

    field: str  # of Point
    values: tuple[float, ...]
    base: Point = BASE_POINT

    def points(self) -> list[Point]:
        """Returns a point for each value."""
        return [Point(**{**asdict(self.base), self.field: value}) for value in self.values]


AXES = {
    "workers": Axis("workers", (200, 1000, 5000, 10000)),
    "functions": Axis("functions", (100, 1000, 10000, 160000)),
    "calls": Axis("rate", (16.0, 64.0, 127.0, 254.0)),
    "front ends": Axis("front_ends", (100, 800, 3300, 6600)),
    "changes": Axis("changes", (0.0, 1.0, 10.0, 100.0)),
    "methods": Axis("methods", (3, 30, 100, 300)),
    "idle life": Axis("idle_timeout", (6.0, 12.0, 30.0, 60.0)),
    "mix": Axis("exponent", (0.0, 0.8, 1.2, 1.5), LARGE_POINT),
}
LONG_AXES = {"hour": Axis("seconds", (3600.0,), LARGE_POINT)}  # run only by `--axis hour`


def resident_mb() -> float:
    """Returns the resident memory of this process in MB."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * PAGE_BYTES / 2**20


def control_meter() -> CpuMeter:
    """Starts to measure control work: placement passes, endpoint changes, ranking. The rest is the requests' own work.

    The functions are given by name; those that their class does not have are left out.
    """
    meter = CpuMeter()
    for owner, names in (
        (Router, ("_tick", "endpoints_changed")),
        (Placement, ("ranking",)),
        (Fleet, ("home_of",)),
    ):
        for name in names:
            meter.wrap(owner, name)
    return meter


def new_fleet(point: Point) -> SimulatedFleet:
    """Returns a simulated fleet of one front end, without workers."""
    settings = Settings(
        front_ends=point.front_ends, idle_timeout=point.idle_timeout * 1000, class_count=point.methods, memory=1e9
    )
    return SimulatedFleet(settings, [], 1)


def list_workers(fleet: SimulatedFleet, point: Point) -> None:
    """Lists the point's workers, then sets the garbage collector up as wickdyke/platform/service.py does."""
    fleet.update_endpoints([simulated_endpoint(number) for number in range(point.workers)])
    fleet.run(1.0)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def start_load(fleet: SimulatedFleet, point: Point) -> None:
    """Schedules the point's requests and endpoint changes, and starts to count costs."""
    front_end = fleet.front_ends[0]
    front_end.costs = type(front_end.costs)()
    sampler = FunctionSampler(point.functions, point.exponent, DRAW_SEED)
    fleet.generate_requests(point.rate, sampler, LEAD_TIME + point.seconds * 1000)
    new_numbers = itertools.count(point.workers)

    def replace_worker() -> None:
        removed = fleet.workers[next(iter(fleet.workers))].endpoint
        fleet.update_endpoints([replace(removed, state=EndpointState.GONE)])
        fleet.update_endpoints([simulated_endpoint(next(new_numbers), started_at=fleet.now - 1e6)])
        fleet.schedule(fleet.now + 2000.0 / point.changes, replace_worker)

    if point.changes:
        fleet.schedule(LEAD_TIME, replace_worker)


def run_timed(point: Point) -> Figures:
    """Runs a point; returns a front end's processor time and memory, by the keys of bench/scale.json."""
    meter = control_meter()
    empty_mb = resident_mb()
    fleet = new_fleet(point)
    list_workers(fleet, point)
    front_end = fleet.front_ends[0]
    listed_mb = resident_mb()
    started_at = time.process_time()
    meter.seconds = 0.0
    start_load(fleet, point)
    fleet.run(LEAD_TIME + point.seconds * 1000)
    costs = front_end.costs
    simulated_seconds = point.seconds + LEAD_TIME / 1000
    core_percent = 100 * costs.cpu_seconds / simulated_seconds
    control_percent = 100 * meter.seconds / simulated_seconds
    return {
        "functions_known": len(front_end.router.functions),
        "core_percent": core_percent,
        "control_percent": control_percent,
        "longest_ms": 1000 * costs.longest_turn_seconds,
        "answers": dict(costs.answers),
        "messages": {
            decision: costs.decisions[decision] for decision in ("forward", "prewarm", "health_check", "cancel")
        },
        "broken": fleet.violations[:3],
        "cells": len(front_end.router.fleet.cells),
        "harness_seconds": time.process_time() - started_at,
        "own_ms_a_call": 10 * (core_percent - control_percent) / point.rate,
        "rss_mb": {"empty": empty_mb, "listed": listed_mb, "end": resident_mb()},
        "change_ms": _change_cost(fleet, point),
    }


def run_traced(point: Point) -> Figures:
    """Runs a point with `tracemalloc`; returns a front end's allocated bytes, by the keys of bench/scale.json."""
    control_meter()  # not read, but makes the call stacks those of a timed run
    fleet = new_fleet(point)
    tracemalloc.start(TRACEBACK_FRAMES)
    bytes_empty = wickdyke_bytes()
    list_workers(fleet, point)
    bytes_listed = wickdyke_bytes()
    start_load(fleet, point)
    fleet.run(LEAD_TIME + point.seconds * 1000)
    router = fleet.front_ends[0].router
    function_count = len(router.functions)
    bytes_loaded = wickdyke_bytes()
    # Counts the bytes that are freed with the functions; the records of their workers stay.
    router.fleet.remove_functions(list(router.functions.values()))
    dropped = function_count - len(router.functions)
    return {
        "bytes_a_function": (bytes_loaded - bytes_listed) / max(1, function_count),
        "bytes_a_worker": (bytes_listed - bytes_empty) / point.workers,
        "bytes_of_it_alone": (bytes_loaded - wickdyke_bytes()) / max(1, dropped),
    }


def _change_cost(fleet: SimulatedFleet, point: Point) -> float:
    """Returns the mean ms of processor time of an endpoint change: workers are added, drain, return and are removed."""
    router = fleet.front_ends[0].router
    cpu_seconds = 0.0
    for step in range(CHANGE_COUNT):
        endpoint = simulated_endpoint(point.workers * 2 + step // len(CHANGE_STATES))
        state = CHANGE_STATES[step % len(CHANGE_STATES)]
        router.advance(fleet.now)
        started_at = time.process_time()
        router.endpoints_changed([replace(endpoint, state=state)], False)
        cpu_seconds += time.process_time() - started_at
    return 1000 * cpu_seconds / CHANGE_COUNT


def measure(point: Point, repeat: int) -> Figures:
    """Runs a point, each time in a new process; returns the figures, with medians for TIMED_KEYS.

    A long point is run once, and its bytes are not counted.
    """
    is_long = point.seconds > LONG_SECONDS
    runs = [_run_in_process(point) for _ in range(1 if is_long else repeat)]
    spread = {key: [min(run[key] for run in runs), max(run[key] for run in runs)] for key in TIMED_KEYS}
    medians = {key: statistics.median(run[key] for run in runs) for key in TIMED_KEYS}
    traced = {}
    if not is_long:
        traced = _run_in_process(replace(point, seconds=min(point.seconds, TRACED_SECONDS)), "--traced")
    return {**asdict(point), **runs[0], **medians, **traced, "spread": spread}


def _run_in_process(point: Point, *options: str) -> Figures:
    command = [sys.executable, "-m", "bench.scale", "point", json.dumps(asdict(point)), *options]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    figures: Figures = json.loads(output)
    return figures


def fit(pairs: list[tuple[float, float]]) -> dict[str, float]:
    """Returns the least-squares line, and the maximum distance from it as a part of the maximum absolute value."""
    count = len(pairs)
    sum_x = sum(x for x, _ in pairs)
    sum_y = sum(y for _, y in pairs)
    variance = sum((x - sum_x / count) ** 2 for x, _ in pairs)
    slope = sum((x - sum_x / count) * (y - sum_y / count) for x, y in pairs) / variance
    intercept = (sum_y - slope * sum_x) / count
    max_distance = max(abs(y - intercept - slope * x) for x, y in pairs)
    return {"slope": slope, "at_nought": intercept, "error": max_distance / (max(abs(y) for _, y in pairs) or 1.0)}


def tables(result: Figures) -> list[str]:
    """Returns the lines of the tables in docs/CAPACITY.md: each axis's points, then the slopes and their errors."""
    lines = []
    for name, axis in result["axes"].items():
        lines += ["", f"| {name} | {TABLE_HEAD}", "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
        lines += [_point_row(point, axis["of"]) for point in axis["points"]]
        if len(axis["points"]) > 1:
            fits = (axis["fits"].get(key) for key in FITTED_KEYS)
            slopes = " | ".join(f"{line['slope']:.1e} ({line['error']:.0%})" if line else "" for line in fits)
            lines.append(f"| slope for one (error) | {slopes} | | |")
    return lines


def _point_row(point: Figures, varied_field: str) -> str:
    sizes = (point.get(key, 0.0) / 1024 for key in ("bytes_a_function", "bytes_of_it_alone"))
    size_columns = " | ".join(f"{size:.1f} KB" if size else "not counted" for size in sizes)
    return (
        f"| {point[varied_field]:g} | {point['core_percent']:.2f}% | {point['control_percent']:.2f}% "
        f"| {point['own_ms_a_call']:.3f} ms | {point['longest_ms']:.2f} ms | {point['change_ms']:.3f} ms "
        f"| {size_columns} | {point['rss_mb']['end']:.0f} MB |"
    )


@click.group()
def main() -> None:
    """Measures how a front end's cost grows with the fleet."""


@main.command()
@click.argument("point_json")
@click.option("--traced", is_flag=True, help="Count bytes instead of time.")
def point(point_json: str, traced: bool) -> None:
    """Runs one point and prints its figures."""
    parameters = Point(**json.loads(point_json))
    print(json.dumps(run_traced(parameters) if traced else run_timed(parameters)))


@main.command()
@click.argument("out", type=click.Path())
@click.option("--axis", "names", multiple=True, type=click.Choice([*AXES, *LONG_AXES]), help="Only these axes.")
@click.option("--jobs", default=2, show_default=True, help="Points run at once.")
@click.option("--repeat", default=3, show_default=True, help="Timed runs of each point.")
@click.option("--seconds", default=BASE_POINT.seconds, show_default=True, help="Simulated seconds of each point.")
def run(out: str, names: tuple[str, ...], jobs: int, repeat: int, seconds: float) -> None:
    """Runs every point of the axes and writes OUT."""
    all_axes = {
        name: replace(axis, base=replace(axis.base, seconds=seconds)) for name, axis in AXES.items()
    } | LONG_AXES
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
    """Returns an axis with its points and the lines fitted to them, by the keys of bench/scale.json."""
    fits = {}
    if len(points) > 1:
        for key in FITTED_KEYS:
            if all(key in point for point in points):
                fits[key] = fit([(point[axis.field], point[key]) for point in points])
    return {"of": axis.field, "points": points, "fits": fits}


@main.command()
@click.argument("out", type=click.Path(exists=True))
def show(out: str) -> None:
    """Prints the tables of docs/CAPACITY.md."""
    with open(out, encoding="utf-8") as source:
        print("\n".join(tables(json.load(source))))


if __name__ == "__main__":
    main()
