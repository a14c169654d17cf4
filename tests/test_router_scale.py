"""What one request or worker costs a router must not grow with the fleet, counted in draws, lines and bytes."""

import random
import tracemalloc
import unittest
from collections import Counter
from dataclasses import replace
from unittest.mock import patch

from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import FunctionSampler, Settings, listed_endpoint
from tests.fleet_rig import CAPACITY, FLAT, SIZES, count_lines, function, names
from wickdyke.routing import periods, ranking, router
from wickdyke.routing.placement import Placement


def simulated_fleet(workers, front_ends=1, **more):
    """A simulated fleet with this many workers, all announced."""
    fleet = SimulatedFleet(Settings(memory=1e9, **more), [], front_ends)
    fleet.update_endpoints([listed_endpoint(number) for number in range(workers)])
    fleet.run(1.0)
    return fleet


class FrontEnds(unittest.TestCase):
    """The costs of requests, functions and workers in fleets of growing size."""

    def test_a_function_costs_the_same_in_every_fleet(self):
        """Draws and lines for a function that is met."""
        counts = []
        for many in SIZES:
            fleet, drawn = simulated_fleet(many), []
            fleet.run(5000.0)
            front, inner = fleet.front_ends[0], ranking.hash_fractions

            def counted(first, others, inner=inner, drawn=drawn):
                drawn.append(len(others))
                return inner(first, others)

            with patch.object(ranking, "hash_fractions", counted):
                lines = sum(count_lines(fleet.submit_request, front, name) for name in names(60))
            counts.append((sum(drawn) / 60, lines))
        self.assertLessEqual(max(drawn for drawn, _ in counts), CAPACITY)
        for drawn, lines in counts[2:]:  # the smallest fleet's cells happen to be smaller than the others'
            self.assertLessEqual(drawn, FLAT * counts[1][0])
            self.assertLessEqual(lines, FLAT * counts[1][1])

    def test_a_function_takes_the_same_memory_in_every_fleet(self):
        """Bytes for a function that is met once, its worker's books counted in."""
        held = []
        for many in SIZES:
            fleet = simulated_fleet(many)
            fleet.generate_requests(127.0, FunctionSampler(160000, 0.0, 7), 9000.0)
            tracemalloc.start()
            try:
                fleet.run(9000.0)
                held.append(tracemalloc.get_traced_memory()[0] / len(fleet.front_ends[0].router.functions))
            finally:
                tracemalloc.stop()
        self.assertLessEqual(max(held), 8 * 1024)

    def test_a_worker_that_is_only_listed_costs_little(self):
        tracemalloc.start()
        try:
            fleets = [simulated_fleet(many) for many in (1000, 3000)]
            before = tracemalloc.get_traced_memory()[0]
            fleets.append(simulated_fleet(5000))
            per_worker = (tracemalloc.get_traced_memory()[0] - before) / 5000
        finally:
            tracemalloc.stop()
        self.assertLessEqual(per_worker, 2048)

    def test_what_is_not_called_within_an_idle_life_is_forgotten(self):
        fleet = simulated_fleet(1000, idle_timeout=5000.0)
        fleet.generate_requests(60.0, FunctionSampler(160000, 0.0, 7), 8000.0)
        fleet.run(8000.0)
        functions = fleet.front_ends[0].router.functions
        self.assertTrue(functions)
        fleet.run(8000.0 + 5000.0 + 8 * periods.PLACEMENT_PERIOD)
        self.assertFalse(functions)
        self.assertFalse(any(cell.functions for cell in fleet.front_ends[0].router.fleet.cells.values()))

    def test_no_more_functions_are_known_than_the_bound(self):
        with patch.object(router, "MAX_FUNCTIONS", 200):
            fleet = simulated_fleet(300)
            front = fleet.front_ends[0]
            for name in names(500):
                fleet.submit_request(front, name)
                fleet.run(fleet.now + 10.0)
                out = sum(place.in_flight > 0 for entry in front.router.functions.values() for place in entry.replicas)
                self.assertLessEqual(len(front.router.functions), 200 + out)
            fleet.run(fleet.now + 10000.0)
        self.assertEqual((fleet.violations, front.costs.answers["ok"]), ([], 500))

    def test_a_request_outlives_the_forgetting_of_its_function(self):
        """Requests wait, their functions are forgotten and met again, the list changes: all get their answers."""
        with patch.object(router, "MAX_FUNCTIONS", 40):
            fleet = simulated_fleet(300)
            front = fleet.front_ends[0]
            front_end = front.router
            for worker in front_end.workers.values():
                worker.concurrency_limit = 0.0
            submitted = [(name, fleet.submit_request(front, name)) for name in names(60)]
            waiting = [front_end.requests[ident].function for _, ident in submitted]
            forgotten = [entry for entry in waiting if front_end.functions.get(entry.name) is not entry]
            self.assertTrue(forgotten)
            for entry in forgotten[:10]:
                fleet.submit_request(front, entry.name)
            fleet.update_endpoints([listed_endpoint(number) for number in range(1000, 1100)])
            for worker in front_end.workers.values():
                worker.concurrency_limit = 8.0
            fleet.run(fleet.now + 6000.0)
            held = {name: cell for cell in front_end.fleet.cells.values() for name in cell.functions}
            self.assertEqual((fleet.violations, set(held)), ([], set(front_end.functions)))
            self.assertEqual((front.costs.answers.total(), front.costs.answers["ok"]), (70, 70))

    def test_a_look_fills_one_cell(self):
        fleet, runs = simulated_fleet(5000), Counter()
        inner = Placement.run

        def counted(fill, cells, now):
            runs[now] += 1
            return inner(fill, cells, now)

        with patch.object(Placement, "run", counted):
            fleet.generate_requests(127.0, FunctionSampler(160000, 0.0, 7), 6000.0)
            fleet.run(6000.0)
        self.assertEqual(set(runs.values()), {1})

    def test_functions_follow_their_cells(self):
        """Whatever the list does, each known function is in the books of the cell that is its home."""
        fleet, chance = simulated_fleet(300), random.Random(2)
        front_end, number = fleet.front_ends[0].router, 300
        fleet.generate_requests(60.0, FunctionSampler(3000, 0.0, 7), 30000.0)
        for step in range(40):
            grows = step < 20
            rows = [listed_endpoint(number + at) for at in range(30)] if grows else [
                replace(w.endpoint, state="gone") for w in chance.sample(list(fleet.workers.values()), 30)
            ]  # fmt: skip
            number += 30
            fleet.update_endpoints(rows)
            fleet.run(fleet.now + 600.0)
            held = {name: cell for cell in front_end.fleet.cells.values() for name in cell.functions}
            self.assertEqual(set(held), set(front_end.functions))
            for name, cell in held.items():
                self.assertIs(front_end.functions[name].cell, cell)
                if front_end.functions[name].fleet_version == front_end.fleet.version:
                    self.assertIs(front_end.fleet.find_home(name).cell, cell)
        fleet.run(40000.0)
        self.assertEqual(fleet.violations, [])

    def test_a_home_that_can_not_serve_sends_on_to_the_next_cell(self):
        """(what is wrong with all of the home's workers) -> the attempt goes to the second cell, for each front end."""
        for wrong in ("shunned", "cold", "at their limit", "without memory", "draining", "gone"):
            with self.subTest(wrong=wrong):
                fleet, name, chosen = simulated_fleet(600, front_ends=3), names(1)[0], set()
                for front in fleet.front_ends:
                    front_end = front.router
                    home, second = list(front_end.fleet.nearest_cells(function(name), 2))
                    away = []
                    for worker in home.ready_workers:
                        if wrong == "shunned":
                            front_end.outliers.eject(worker, fleet.now, "test")
                        elif wrong == "cold":
                            worker.warming_since = fleet.now
                        elif wrong == "at their limit":
                            worker.concurrency_limit = 0.0
                        elif wrong == "without memory":
                            worker.memory_short_until = fleet.now + 60000.0
                        else:
                            away.append(replace(worker.endpoint, state=wrong))
                    fleet.notify_endpoints(front, away)
                    members = set(second.members)
                    ident = fleet.submit_request(front, name)
                    (sent,) = front_end.requests[ident].attempts
                    chosen.add(sent.replica.worker.endpoint.ident)
                    self.assertIn(sent.replica.worker.endpoint.ident, members)
                self.assertEqual(len(chosen), 1)
                fleet.run(fleet.now + 8000.0)
                self.assertEqual(fleet.violations, [])


if __name__ == "__main__":
    unittest.main()
