"""Tests that the costs of requests and workers do not grow with the fleet, in hashes, lines run and bytes."""

import random
import tracemalloc
import unittest
from collections import Counter
from dataclasses import replace
from unittest.mock import patch

from bench.simulated_fleet import SimulatedFleet
from bench.simulated_worker import FunctionSampler, Settings, simulated_endpoint
from tests.fleet_rig import CELL_CAPACITY, FLEET_SIZES, MAX_COST_RATIO, count_lines, function_names, make_function
from wickdyke.routing import periods, ranking, router
from wickdyke.routing.placement import Placement


def simulated_fleet(workers, front_ends=1, **more):
    """Returns a simulated fleet with this many listed workers."""
    fleet = SimulatedFleet(Settings(memory=1e9, **more), [], front_ends)
    fleet.update_endpoints([simulated_endpoint(number) for number in range(workers)])
    fleet.run(1.0)
    return fleet


class RouterScaleTest(unittest.TestCase):
    """The costs of requests, functions and workers in fleets of growing size."""

    def test_a_function_costs_the_same_in_every_fleet(self):
        """Hashes and lines run for a new function do not grow with the fleet."""
        counts = []
        for many in FLEET_SIZES:
            fleet, hashed = simulated_fleet(many), []
            fleet.run(5000.0)
            front, inner = fleet.front_ends[0], ranking.hash_fractions

            def counted(first, others, inner=inner, hashed=hashed):
                hashed.append(len(others))
                return inner(first, others)

            with patch.object(ranking, "hash_fractions", counted):
                lines = sum(count_lines(fleet.submit_request, front, name) for name in function_names(60))
            counts.append((sum(hashed) / 60, lines))
        self.assertLessEqual(max(hashed for hashed, _ in counts), CELL_CAPACITY)
        for hashed, lines in counts[2:]:  # the smallest fleet's cells happen to be smaller than the others'
            self.assertLessEqual(hashed, MAX_COST_RATIO * counts[1][0])
            self.assertLessEqual(lines, MAX_COST_RATIO * counts[1][1])

    def test_a_function_takes_the_same_memory_in_every_fleet(self):
        """Bytes for a function that is requested once, including the records of its worker, stay below 8 KiB."""
        bytes_per_function = []
        for many in FLEET_SIZES:
            fleet = simulated_fleet(many)
            fleet.generate_requests(127.0, FunctionSampler(160000, 0.0, 7), 9000.0)
            tracemalloc.start()
            try:
                fleet.run(9000.0)
                bytes_per_function.append(
                    tracemalloc.get_traced_memory()[0] / len(fleet.front_ends[0].router.functions)
                )
            finally:
                tracemalloc.stop()
        self.assertLessEqual(max(bytes_per_function), 8 * 1024)

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

    def test_functions_not_requested_within_the_idle_timeout_are_removed(self):
        fleet = simulated_fleet(1000, idle_timeout=5000.0)
        fleet.generate_requests(60.0, FunctionSampler(160000, 0.0, 7), 8000.0)
        fleet.run(8000.0)
        functions = fleet.front_ends[0].router.functions
        self.assertTrue(functions)
        fleet.run(8000.0 + 5000.0 + 8 * periods.PLACEMENT_PERIOD)
        self.assertFalse(functions)
        self.assertFalse(any(cell.functions for cell in fleet.front_ends[0].router.fleet.cells.values()))

    def test_the_number_of_functions_is_bounded(self):
        with patch.object(router, "MAX_FUNCTIONS", 200):
            fleet = simulated_fleet(300)
            front = fleet.front_ends[0]
            for name in function_names(500):
                fleet.submit_request(front, name)
                fleet.run(fleet.now + 10.0)
                in_flight_count = sum(
                    replica.in_flight > 0 for entry in front.router.functions.values() for replica in entry.replicas
                )
                self.assertLessEqual(len(front.router.functions), 200 + in_flight_count)
            fleet.run(fleet.now + 10000.0)
        self.assertEqual((fleet.violations, front.costs.answers["ok"]), ([], 500))

    def test_requests_survive_the_removal_of_their_function(self):
        """Requests wait while their functions are removed and added again and the list changes: all are answered."""
        with patch.object(router, "MAX_FUNCTIONS", 40):
            fleet = simulated_fleet(300)
            front = fleet.front_ends[0]
            front_end = front.router
            for worker in front_end.workers.values():
                worker.concurrency_limit = 0.0
            submitted = [(name, fleet.submit_request(front, name)) for name in function_names(60)]
            waiting = [front_end.requests[ident].function for _, ident in submitted]
            forgotten = [entry for entry in waiting if front_end.functions.get(entry.name) is not entry]
            self.assertTrue(forgotten)
            for entry in forgotten[:10]:
                fleet.submit_request(front, entry.name)
            fleet.update_endpoints([simulated_endpoint(number) for number in range(1000, 1100)])
            for worker in front_end.workers.values():
                worker.concurrency_limit = 8.0
            fleet.run(fleet.now + 6000.0)
            homes = {name: cell for cell in front_end.fleet.cells.values() for name in cell.functions}
            self.assertEqual((fleet.violations, set(homes)), ([], set(front_end.functions)))
            self.assertEqual((front.costs.answers.total(), front.costs.answers["ok"]), (70, 70))

    def test_one_cell_is_placed_at_a_time(self):
        fleet, runs = simulated_fleet(5000), Counter()
        inner = Placement.run

        def counted(placement, cells, now):
            runs[now] += 1
            return inner(placement, cells, now)

        with patch.object(Placement, "run", counted):
            fleet.generate_requests(127.0, FunctionSampler(160000, 0.0, 7), 6000.0)
            fleet.run(6000.0)
        self.assertEqual(set(runs.values()), {1})

    def test_functions_follow_their_cells(self):
        """Through all changes of the list, each known function is registered in its home cell."""
        fleet, random_source = simulated_fleet(300), random.Random(2)
        front_end, number = fleet.front_ends[0].router, 300
        fleet.generate_requests(60.0, FunctionSampler(3000, 0.0, 7), 30000.0)
        for step in range(40):
            grows = step < 20
            endpoints = [simulated_endpoint(number + at) for at in range(30)] if grows else [
                replace(w.endpoint, state="gone") for w in random_source.sample(list(fleet.workers.values()), 30)
            ]  # fmt: skip
            number += 30
            fleet.update_endpoints(endpoints)
            fleet.run(fleet.now + 600.0)
            homes = {name: cell for cell in front_end.fleet.cells.values() for name in cell.functions}
            self.assertEqual(set(homes), set(front_end.functions))
            for name, cell in homes.items():
                self.assertIs(front_end.functions[name].cell, cell)
                if front_end.functions[name].fleet_version == front_end.fleet.version:
                    self.assertIs(front_end.fleet.find_home(name).cell, cell)
        fleet.run(40000.0)
        self.assertEqual(fleet.violations, [])

    def test_requests_go_to_the_next_cell_where_the_home_cannot_serve(self):
        """(state of all workers of the home) -> all front ends send the attempt to the same worker of the next cell."""
        for condition in ("ejected", "warming up", "at their limit", "without memory", "draining", "gone"):
            with self.subTest(condition=condition):
                fleet, name, chosen = simulated_fleet(600, front_ends=3), function_names(1)[0], set()
                for front in fleet.front_ends:
                    front_end = front.router
                    home, second = list(front_end.fleet.nearest_cells(make_function(name), 2))
                    changed = []
                    for worker in home.ready_workers:
                        if condition == "ejected":
                            front_end.outliers.eject(worker, fleet.now, "test")
                        elif condition == "warming up":
                            worker.warming_since = fleet.now
                        elif condition == "at their limit":
                            worker.concurrency_limit = 0.0
                        elif condition == "without memory":
                            worker.memory_short_until = fleet.now + 60000.0
                        else:
                            changed.append(replace(worker.endpoint, state=condition))
                    fleet.notify_endpoints(front, changed)
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
