"""Tests of recorded decisions, of the capacity tables, and of a simulated fleet that loses workers and a zone."""

import gzip
import json
import os
import random
import unittest
from collections import Counter
from dataclasses import replace

from bench import scale
from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import FunctionSampler, Settings, simulated_endpoint
from wickdyke.gateway import recording


class RecordedDecisions(unittest.TestCase):
    """Replays recorded runs and compares the decisions."""

    def test_a_fleet_that_fits_one_cell_is_decided_as_before(self):
        """Every decision is that of the router without cells, recorded by bench/recording.py at 171417b."""
        folder = os.path.join(os.path.dirname(__file__), "recordings")
        for name in sorted(os.listdir(folder)):
            with self.subTest(name), gzip.open(os.path.join(folder, name)) as source:
                same_count, first_difference = recording.replay(source)
                self.assertEqual((same_count > 2000, first_difference), (True, None))


class CapacityPage(unittest.TestCase):
    """The tables of docs/CAPACITY.md are those of its measurement files."""

    def test_the_tables_of_the_page_are_those_of_the_files(self):
        """Every line that bench.scale prints of a measurement file is a line of docs/CAPACITY.md."""
        root = os.path.dirname(os.path.dirname(__file__))
        with open(os.path.join(root, "docs", "CAPACITY.md"), encoding="utf-8") as source:
            page = source.read().splitlines()
        for name in ("scale.json", "scale-before.json"):
            with self.subTest(name), open(os.path.join(root, "bench", name), encoding="utf-8") as source:
                lines = scale.tables(json.load(source))
                self.assertGreater(len(lines), 5)
                self.assertEqual([line for line in lines if line not in page], [])


class LossOfWorkersAndZone(unittest.TestCase):
    """A fleet of 300 front ends and 240 workers in three zones; all five rules are checked."""

    def test_a_worker_is_lost_and_a_zone_is_lost_and_returns(self):
        settings = Settings(front_ends=300, zones=3, idle_timeout=6000.0, load_time=300.0, work=20.0)
        fleet = SimulatedFleet(settings, [simulated_endpoint(number, 3) for number in range(240)], 300)
        fleet.worker_request_rate = 300 * 0.003 / 240  # requests per ms for each worker: 3 a second for each front end
        fleet.generate_requests(300 * 3.0, FunctionSampler(6000, 0.8, 11), 13000.0)
        notification_delay, chance = lambda front_end: 500.0 + front_end.number % 7 * 100.0, random.Random(4)
        fleet.run(4000.0)
        # One worker dies; front ends are notified of its removal 0.5 to 1.1 s later.
        fleet.update_endpoints([replace(next(iter(fleet.workers.values())).endpoint, state="gone")], notification_delay)
        fleet.run(6000.0)
        # All workers of a zone die, after half of them have begun to drain.
        zone = [worker.endpoint for worker in fleet.workers.values() if worker.endpoint.zone == 2]
        draining = chance.sample(zone, len(zone) // 2)
        fleet.update_endpoints([replace(row, state="draining") for row in draining])
        fleet.run(6200.0)
        fleet.update_endpoints([replace(row, state="gone") for row in zone], notification_delay)
        fleet.run(9000.0)
        restarted_count, fleet.load_waits = len(zone), []
        # Its workers return with the same names and without replicas.
        fleet.update_endpoints([replace(row, started_at=fleet.now, state="ready") for row in zone], notification_delay)
        fleet.run(13000.0 + settings.deadline + 1.0)
        answers = sum((front_end.costs.answers for front_end in fleet.front_ends), Counter())
        self.assertEqual(fleet.violations, [])
        self.assertGreater(answers["ok"] / answers.total(), 0.97)
        self.assertGreater(len(fleet.slow_start_load), restarted_count // 4)
        self.assertLess(max(fleet.slow_start_load.values()), 1.0)
        load_waits = sorted(fleet.load_waits)
        self.assertLess(load_waits[len(load_waits) * 99 // 100], 1000.0)
        worker_counts = [len(workers) for workers in fleet.workers_by_function().values()]
        self.assertLess(sum(worker_counts) / max(1, len(worker_counts)), 1.5)
        cell_layouts = {
            (len(front_end.router.fleet.cells), tuple(front_end.router.fleet.ring.points))
            for front_end in fleet.front_ends
        }
        self.assertEqual(len(cell_layouts), 1)


if __name__ == "__main__":
    unittest.main()
