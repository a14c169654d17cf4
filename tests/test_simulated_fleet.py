"""Recorded decisions, the capacity tables, and a simulated fleet that loses workers and a zone."""

import gzip
import json
import os
import random
import unittest
from collections import Counter
from dataclasses import replace

from bench import scale
from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import Draw, Settings, listing
from wickdyke.gateway import recording


class Recorded(unittest.TestCase):
    """Decisions of recorded runs, replayed."""

    def test_a_fleet_that_fits_one_cell_is_decided_as_before(self):
        """Recordings of the module without cells, by bench/recording.py at 171417b: every decision is the same."""
        folder = os.path.join(os.path.dirname(__file__), "recordings")
        for name in sorted(os.listdir(folder)):
            with self.subTest(name), gzip.open(os.path.join(folder, name)) as source:
                alike, differs = recording.replay(source)
                self.assertEqual((alike > 2000, differs), (True, None))


class Page(unittest.TestCase):
    """The tables of docs/CAPACITY.md are those of its measurement files."""

    def test_the_tables_of_the_page_are_those_of_the_files(self):
        """Every line of the measured tables stands on docs/CAPACITY.md as bench.scale prints it."""
        root = os.path.dirname(os.path.dirname(__file__))
        with open(os.path.join(root, "docs", "CAPACITY.md"), encoding="utf-8") as source:
            page = source.read().splitlines()
        for name in ("scale.json", "scale-before.json"):
            with self.subTest(name), open(os.path.join(root, "bench", name), encoding="utf-8") as source:
                lines = scale.tables(json.load(source))
                self.assertGreater(len(lines), 5)
                self.assertEqual([line for line in lines if line not in page], [])


class Slice(unittest.TestCase):
    """A slice of the fleet: 300 front ends, the workers of one zone of three, its functions; all rules judged."""

    def test_workers_and_a_zone_are_lost_and_come_back(self):
        settings = Settings(front_ends=300, zones=3, idle_timeout=6000.0, load_time=300.0, work=20.0)
        fleet = SimulatedFleet(settings, [listing(number, 3) for number in range(240)], 300)
        fleet.rate = 300 * 0.003 / 240  # requests a ms at each front end, over the workers
        fleet.clients(300 * 3.0, Draw(6000, 0.8, 11), 13000.0)
        late, chance = lambda front: 500.0 + front.number % 7 * 100.0, random.Random(4)
        fleet.run(4000.0)
        # One worker dies, and is listed no more between 0.5 and 1.1 s later.
        fleet.announce([replace(next(iter(fleet.workers.values())).endpoint, state="gone")], late)
        fleet.run(6000.0)
        # A whole zone dies; half of it is told first to drain.
        zone = [worker.endpoint for worker in fleet.workers.values() if worker.endpoint.zone == 2]
        drains = chance.sample(zone, len(zone) // 2)
        fleet.announce([replace(row, state="draining") for row in drains])
        fleet.run(6200.0)
        fleet.announce([replace(row, state="gone") for row in zone], late)
        fleet.run(9000.0)
        cold, fleet.waits = len(zone), []
        # It is back, cold, under the same names.
        fleet.announce([replace(row, started_at=fleet.now, state="ready") for row in zone], late)
        fleet.run(13000.0 + settings.deadline + 1.0)
        answers = sum((front.costs.answers for front in fleet.fronts), Counter())
        self.assertEqual(fleet.violations, [])
        self.assertGreater(answers["ok"] / answers.total(), 0.97)
        self.assertGreater(len(fleet.slow_start_load), cold // 4)
        self.assertLess(max(fleet.slow_start_load.values()), 1.0)
        waits = sorted(fleet.waits)
        self.assertLess(waits[len(waits) * 99 // 100], 1000.0)
        homes = [len(at) for at in fleet.places().values()]
        self.assertLess(sum(homes) / max(1, len(homes)), 1.5)
        agreed = {(len(front.router.fleet.cells), tuple(front.router.fleet.ring.points)) for front in fleet.fronts}
        self.assertEqual(len(agreed), 1)


if __name__ == "__main__":
    unittest.main()
