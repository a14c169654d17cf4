"""Tests of the placement of functions on workers."""

import unittest
from collections import deque

from tests.helpers import FrontEnd, choose_workers, forwarded_to, listed_endpoint
from wickdyke.routing.decisions import Forward
from wickdyke.routing.inputs import AttemptFinished
from wickdyke.routing.model import (
    Function,
)
from wickdyke.routing.ranking import rendezvous_rank
from wickdyke.routing.seeded_random import name_hash


class PlacementTest(unittest.TestCase):
    """Workers on which functions are placed."""

    def test_functions_are_placed_on_selected_workers_only(self):
        front_end = FrontEnd(workers=6)
        for name in "abcdef" * 8:
            front_end.router.health_checked(name, "ok", front_end.load_report(0.2, 0.6))
        for at in range(400):
            front_end.serve_requests(f"p{at % 5}", count=1, ms=60.0)
        selected = set(front_end.placement.selected_workers)
        self.assertLess(len(selected), 6)
        placed = {
            p.worker for function in front_end.router.functions.values() for p in function.replicas if p.is_placed
        }
        self.assertLessEqual(placed, selected)

    def test_functions_spread_where_concurrency_is_not_reported(self):
        """(concurrency reported) -> workers for a function that needs 0.6 of a worker's capacity."""
        for reports, homes in ((True, 1), (False, 3)):
            with self.subTest(reports=reports):
                front_end = FrontEnd(workers=6, loads_on_demand=False, reports_concurrency=reports)
                front_end.submit()
                function, workers, placement = (
                    front_end.router.functions["p"],
                    front_end.ready_workers,
                    front_end.placement,
                )
                placement.mean_capacity, placement.selected_workers, one = (
                    1.0,
                    dict.fromkeys(workers),
                    dict.fromkeys(workers, 1.0),
                )
                chosen = choose_workers(placement, function, 0.6, one, one, dict.fromkeys(workers, 9e9))
                self.assertEqual(len(chosen), homes)

    def test_zones_are_placed_separately_where_crossing_has_a_cost(self):
        """(cost of crossing, loads on demand, workers of the zone ejected) -> zones in which functions are placed."""
        endpoints = [listed_endpoint(name, zone=at % 2) for at, name in enumerate("abcdefgh")]
        for crossing_cost, on_demand, ejected, zones in (
            (0.0, False, 0, {0, 1}),
            (0.05, True, 0, {0, 1}),
            (0.05, False, 0, {0}),
            (0.05, False, 3, {0, 1}),
        ):
            with self.subTest(crossing_cost=crossing_cost, on_demand=on_demand, ejected=ejected):
                front_end = FrontEnd(endpoints=endpoints, cross_zone_cost=crossing_cost, loads_on_demand=on_demand)
                for worker in [w for w in front_end.ready_workers if w.endpoint.zone == 0][:ejected]:
                    worker.ejections = 1
                self.assertEqual({w.endpoint.zone for w in front_end.placement.scope.update(front_end.clock)}, zones)

    def test_other_zones_count_in_part_while_the_own_zone_is_overloaded(self):
        """(utilization of the own zone, of the other zone, periods) -> weight of the other zone's workers, some of
        which then rank first."""
        endpoints = [listed_endpoint(name, zone=at % 2) for at, name in enumerate("abcdefgh")]
        for own_utilization, other_utilization, periods, weight in (
            (0.9, 0.3, 1, 0.125),
            (0.9, 0.3, 9, 1.0),
            (0.9, 0.8, 3, 0.0),
            (0.5, 0.1, 3, 0.0),
            (0.9, None, 1, 0.125),
        ):
            with self.subTest(own_utilization=own_utilization, other_utilization=other_utilization, periods=periods):
                front_end = FrontEnd(endpoints=endpoints, cross_zone_cost=0.05, loads_on_demand=False)
                placement, ready = front_end.placement, front_end.ready_workers
                for worker in ready:
                    if (utilization := other_utilization if worker.endpoint.zone else own_utilization) is not None:
                        front_end.router.latency.record_report(
                            worker, front_end.load_report(utilization, 4.0), front_end.clock
                        )
                for _ in range(periods):
                    placement.scope.update(front_end.clock)
                self.assertEqual(
                    (placement.scope.other_zones_weight, placement.scope.workers == ready), (weight, weight > 0)
                )
                first_zones = {
                    placement.ranking(Function(f"p{n}", None, 1.0, 1, 0.0, *[deque()] * 4, name_hash(f"p{n}")))[
                        0
                    ].endpoint.zone
                    for n in range(100)
                }
                self.assertEqual(first_zones, {0, 1} if weight else {0})
                for worker in (worker for worker in ready if worker.load_reports):
                    worker.load_reports.clear()
                for _ in range(4):  # without reports only the own zone is in scope again
                    placement.scope.update(front_end.clock)
                self.assertEqual({w.endpoint.zone for w in placement.scope.workers}, {0})

    def test_fast_answers_without_load_note_are_no_loads(self):
        """(ms of an answer without load note) -> number of load time samples."""
        for ms, samples in ((230.0, 0), (1500.0, 1)):
            with self.subTest(ms=ms):
                front_end = FrontEnd(workers=1, prewarm_outcome=None)
                request = next(d.request for d in front_end.submit() if isinstance(d, Forward))
                front_end.clock += ms
                front_end.finish_attempt(request, load_note=None)
                self.assertEqual(len(request.function.load_times), samples)

    def test_rejection_without_concurrent_requests_shows_lack_of_memory(self):
        """(requests of the function in flight there) -> whether the replica still counts and others may load there."""
        for concurrent, free_capacity in ((0, False), (3, True)):
            with self.subTest(concurrent=concurrent):
                front_end = FrontEnd(workers=2)
                home = forwarded_to(front_end.serve_requests(count=100))[-1]
                request = front_end.submit()[0].request
                replica = request.attempts[0].replica
                front_end.router.attempt_finished(
                    AttemptFinished(request.ident, 0, "full", False, None, concurrent, None)
                )
                self.assertEqual(replica.loaded_replicas > 0, free_capacity)
                self.assertEqual(
                    home in forwarded_to(front_end.submit("new")) + forwarded_to(front_end.submit("newer")),
                    free_capacity,
                )

    def test_functions_with_little_load_keep_their_worker(self):
        """(load, free capacity of the first worker by rank, out of 1) -> whether that worker is chosen again."""
        for load, left, first in ((0.02, -0.1, True), (0.02, -0.5, False), (0.4, -0.1, False), (0.4, 0.5, True)):
            with self.subTest(load=load, left=left):
                front_end = FrontEnd(workers=3, front_ends=3)
                front_end.submit()
                function, workers = front_end.router.functions["p"], list(front_end.router.workers.values())
                home = min(workers, key=lambda w: rendezvous_rank(function, w))
                front_end.placement.mean_capacity, front_end.placement.selected_workers = 1.0, dict.fromkeys(workers)
                free_capacity = {w: left if w is home else 1.0 for w in workers}
                budget, part = dict.fromkeys(workers, 9e9), dict.fromkeys(workers, 1.0)
                chosen = choose_workers(front_end.placement, function, load, part, free_capacity, budget)
                self.assertEqual(chosen == [home], first)


if __name__ == "__main__":
    unittest.main()
