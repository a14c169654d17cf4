"""Records what a hollow front end was told and decided, for `wickdyke replay` and tests/test_simulated_fleet.py.

    python -m bench.recording OUT.gz [SEED [WORKERS]]

A fleet of 120 workers, fewer than one cell holds, or of as many as are asked for, in which workers drain, go, start
anew and fail. By its seed functions are loaded by requests or by prewarms alone, and crossing zones costs or does not.
A text of the module that decides otherwise is found by its first decision that differs.
"""

import gzip
import os
import random
import sys
import tempfile
from dataclasses import replace

from bench.simulated_fleet import Draw, HollowFleet, Settings, listing
from wickdyke.gateway.recording import DecisionRecorder

WORKERS, SPAN = 120, 24000.0


def record(path: str, seed: int = 1, workers: int = WORKERS) -> None:
    """Plays the fleet and writes the recording, compressed."""
    settings = Settings(front_ends=20, zones=2, loads_on_call=bool(seed % 2), crossing=0.05 * (seed % 3), memory=4000.0)
    with tempfile.TemporaryDirectory() as folder:
        raw = os.path.join(folder, "tape")
        tape = DecisionRecorder(raw)
        fleet = HollowFleet(settings, [listing(number, 2, kind=0) for number in range(workers)], 1, seed, tape)
        fleet.clients(60.0, Draw(400, 0.9, seed), SPAN)
        chance, number = random.Random(seed), workers
        for at in range(2, int(SPAN / 1000), 2):
            fleet.run(at * 1000.0)
            leave = chance.sample(list(fleet.workers.values()), 6)
            fleet.announce([replace(worker.endpoint, state="draining") for worker in leave[:3]])
            fleet.announce([replace(worker.endpoint, state="gone") for worker in leave[3:]])
            fleet.announce([listing(number + each, 2, started_at=fleet.now) for each in range(3)])
            for worker in chance.sample(list(fleet.workers.values()), 3):
                worker.dead = not worker.dead
            number += 3
        fleet.run(SPAN + 5000.0)
        tape.close()
        with open(raw, "rb") as source, open(path, "wb") as sink:
            with gzip.GzipFile(fileobj=sink, mode="wb", mtime=0) as packed:
                packed.write(source.read())


if __name__ == "__main__":
    record(sys.argv[1], *map(int, sys.argv[2:]))
