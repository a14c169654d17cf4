"""Records the inputs and decisions of a front end of the simulated fleet, for `wickdyke replay` and its tests.

    python -m bench.recording OUT.gz [SEED [WORKERS]]

The fleet has WORKERS workers, by default 120: fewer than one cell holds. Workers drain, leave, restart and fail. The
seed sets whether functions are loaded by requests or by prewarms alone, and whether crossing zones has a cost. A change
of the router that decides otherwise shows as the first decision that differs.
"""

import gzip
import os
import random
import sys
import tempfile
from dataclasses import replace

from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import Draw, Settings, listing
from wickdyke.gateway.recording import DecisionRecorder
from wickdyke.routing.model import EndpointState

WORKERS = 120
DURATION = 24000.0  # ms of simulated time
STEP = 2000.0  # ms between changes of the fleet
REQUESTS_PER_S = 60.0


def record(path: str, seed: int = 1, workers: int = WORKERS) -> None:
    """Runs the fleet and writes the recording, compressed."""
    settings = Settings(
        front_ends=20, zones=2, loads_on_demand=bool(seed % 2), cross_zone_cost=0.05 * (seed % 3), memory=4000.0
    )
    with tempfile.TemporaryDirectory() as folder:
        raw = os.path.join(folder, "recording")
        recorder = DecisionRecorder(raw)
        fleet = SimulatedFleet(settings, [listing(number, 2, kind=0) for number in range(workers)], 1, seed, recorder)
        fleet.clients(REQUESTS_PER_S, Draw(400, 0.9, seed), DURATION)
        _change_fleet(fleet, workers, random.Random(seed))
        fleet.run(DURATION + 5000.0)
        recorder.close()
        _compress(raw, path)


def _change_fleet(fleet: SimulatedFleet, next_number: int, chance: random.Random) -> None:
    """At each step three workers drain, three leave, three join, and three die or recover."""
    at = STEP
    while at < DURATION:
        fleet.run(at)
        leave = chance.sample(list(fleet.workers.values()), 6)
        fleet.announce([replace(worker.endpoint, state=EndpointState.DRAINING) for worker in leave[:3]])
        fleet.announce([replace(worker.endpoint, state=EndpointState.GONE) for worker in leave[3:]])
        fleet.announce([listing(next_number + offset, 2, started_at=fleet.now) for offset in range(3)])
        for worker in chance.sample(list(fleet.workers.values()), 3):
            worker.dead = not worker.dead
        next_number += 3
        at += STEP


def _compress(source_path: str, path: str) -> None:
    with (
        open(source_path, "rb") as source,
        open(path, "wb") as sink,
        gzip.GzipFile(fileobj=sink, mode="wb", mtime=0) as packed,  # no time: the same fleet gives the same bytes
    ):
        packed.write(source.read())


if __name__ == "__main__":
    record(sys.argv[1], *map(int, sys.argv[2:]))
