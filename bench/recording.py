"""Records the inputs and decisions of a front end of the simulated fleet, for `wickdyke replay` and its tests.

    python -m bench.recording OUT.gz [SEED [WORKERS]]

The fleet has WORKERS workers, by default 120: fewer than one cell holds. Workers drain, join, are removed, fail and
recover. The seed sets whether functions are loaded by requests or by prewarms alone, and whether an attempt in another
zone costs more. Where a changed router decides otherwise, a replay reports the first decision that differs.
"""

import gzip
import os
import random
import sys
import tempfile
from dataclasses import replace

from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import FunctionSampler, Settings, simulated_endpoint
from wickdyke.gateway.recording import DecisionRecorder
from wickdyke.routing.model import EndpointState

WORKERS = 120
DURATION = 24000.0  # ms of simulated time
CHANGE_INTERVAL = 2000.0  # ms between changes of the fleet
REQUESTS_PER_S = 60.0


def record(path: str, seed: int = 1, workers: int = WORKERS) -> None:
    """Runs the fleet and writes its recording to `path`, compressed."""
    settings = Settings(
        front_ends=20, zones=2, loads_on_demand=bool(seed % 2), cross_zone_cost=0.05 * (seed % 3), memory=4000.0
    )
    with tempfile.TemporaryDirectory() as folder:
        raw_path = os.path.join(folder, "recording")
        recorder = DecisionRecorder(raw_path)
        fleet = SimulatedFleet(
            settings, [simulated_endpoint(number, 2, kind=0) for number in range(workers)], 1, seed, recorder
        )
        fleet.generate_requests(REQUESTS_PER_S, FunctionSampler(400, 0.9, seed), DURATION)
        _change_fleet(fleet, workers, random.Random(seed))
        fleet.run(DURATION + 5000.0)
        recorder.close()
        _compress(raw_path, path)


def _change_fleet(fleet: SimulatedFleet, next_number: int, chance: random.Random) -> None:
    """Runs the fleet; at each interval three workers drain, three are removed, three join, three fail or recover."""
    changed_at = CHANGE_INTERVAL
    while changed_at < DURATION:
        fleet.run(changed_at)
        changed = chance.sample(list(fleet.workers.values()), 6)
        fleet.update_endpoints([replace(worker.endpoint, state=EndpointState.DRAINING) for worker in changed[:3]])
        fleet.update_endpoints([replace(worker.endpoint, state=EndpointState.GONE) for worker in changed[3:]])
        fleet.update_endpoints(
            [simulated_endpoint(next_number + offset, 2, started_at=fleet.now) for offset in range(3)]
        )
        for worker in chance.sample(list(fleet.workers.values()), 3):
            worker.dead = not worker.dead
        next_number += 3
        changed_at += CHANGE_INTERVAL


def _compress(source_path: str, path: str) -> None:
    with (
        open(source_path, "rb") as source,
        open(path, "wb") as sink,
        gzip.GzipFile(fileobj=sink, mode="wb", mtime=0) as packed,  # no timestamp: the same fleet gives the same bytes
    ):
        packed.write(source.read())


if __name__ == "__main__":
    record(sys.argv[1], *map(int, sys.argv[2:]))
