"""On which workers the replicas of a function are placed."""

import unittest
from collections import deque

from tests.helpers import Fleet, called, choose_workers, row
from wickdyke.routing.decisions import Forward
from wickdyke.routing.inputs import AttemptFinished
from wickdyke.routing.model import (
    Function,
)
from wickdyke.routing.ranking import rendezvous_rank
from wickdyke.routing.seeded_random import name_hash


class PlacementTest(unittest.TestCase):
    """On which workers the replicas of a function are placed."""

    def test_homes_leave_a_closed_worker(self):
        fleet = Fleet(workers=6)
        for name in "abcdef" * 8:
            fleet.router.health_checked(name, "ok", fleet.reported(0.2, 0.6))
        for at in range(400):
            fleet.serve(f"p{at % 5}", calls=1, ms=60.0)
        opened = set(fleet.placement.selected_workers)
        self.assertLess(len(opened), 6)
        placed = {p.worker for function in fleet.router.functions.values() for p in function.replicas if p.is_placed}
        self.assertLessEqual(placed, opened)

    def test_a_program_spreads_where_no_company_is_told(self):
        """(company told) -> homes of a function that needs 0.6 of a worker's part."""
        for tells, homes in ((True, 1), (False, 3)):
            with self.subTest(tells=tells):
                fleet = Fleet(workers=6, loads_on_demand=False, reports_concurrency=tells)
                fleet.take()
                function, workers, placement = fleet.router.functions["p"], fleet.ready_workers, fleet.placement
                placement.mean_capacity, placement.selected_workers, one = (
                    1.0,
                    dict.fromkeys(workers),
                    dict.fromkeys(workers, 1.0),
                )
                chosen = choose_workers(placement, function, 0.6, one, one, dict.fromkeys(workers, 9e9))
                self.assertEqual(len(chosen), homes)

    def test_a_zone_is_a_fleet_of_its_own_where_crossing_costs(self):
        """(cost of crossing, loads on demand, workers of the zone ejected) -> zones in which functions are placed."""
        rows = [row(name, zone=at % 2) for at, name in enumerate("abcdefgh")]
        for crossing, on_call, ill, zones in (
            (0.0, False, 0, {0, 1}),
            (0.05, True, 0, {0, 1}),
            (0.05, False, 0, {0}),
            (0.05, False, 3, {0, 1}),
        ):
            with self.subTest(crossing=crossing, on_call=on_call, ill=ill):
                fleet = Fleet(endpoints=rows, cross_zone_cost=crossing, loads_on_demand=on_call)
                for worker in [w for w in fleet.ready_workers if w.endpoint.zone == 0][:ill]:
                    worker.ejections = 1
                self.assertEqual({w.endpoint.zone for w in fleet.placement.scope.update(fleet.clock)}, zones)

    def test_other_zones_count_in_part_while_ours_is_crowded(self):
        """(busy in our zone, in the other; periods) -> how much the other's workers count, and that some are homes."""
        rows = [row(name, zone=at % 2) for at, name in enumerate("abcdefgh")]
        for mine, far, periods, reach in (
            (0.9, 0.3, 1, 0.125),
            (0.9, 0.3, 9, 1.0),
            (0.9, 0.8, 3, 0.0),
            (0.5, 0.1, 3, 0.0),
            (0.9, None, 1, 0.125),
        ):
            with self.subTest(mine=mine, far=far, periods=periods):
                fleet = Fleet(endpoints=rows, cross_zone_cost=0.05, loads_on_demand=False)
                placement, ready = fleet.placement, fleet.ready_workers
                for worker in ready:
                    if (busy := far if worker.endpoint.zone else mine) is not None:
                        fleet.router.latency.record_report(worker, fleet.reported(busy, 4.0), fleet.clock)
                for _ in range(periods):
                    placement.scope.update(fleet.clock)
                self.assertEqual(
                    (placement.scope.other_zones_weight, placement.scope.workers == ready), (reach, reach > 0)
                )
                heads = {
                    placement.ranking(Function(f"p{n}", None, 1.0, 1, 0.0, *[deque()] * 4, name_hash(f"p{n}")))[
                        0
                    ].endpoint.zone
                    for n in range(100)
                }
                self.assertEqual(heads, {0, 1} if reach else {0})
                for worker in (worker for worker in ready if worker.load_reports):
                    worker.load_reports.clear()
                for _ in range(4):  # nothing told any more: our zone alone again
                    placement.scope.update(fleet.clock)
                self.assertEqual({w.endpoint.zone for w in placement.scope.workers}, {0})

    def test_a_copy_that_stood_unknown_is_no_load(self):
        """(ms that an answer took which does not tell) -> samples of a load's time."""
        for ms, samples in ((230.0, 0), (1500.0, 1)):
            with self.subTest(ms=ms):
                fleet = Fleet(workers=1, prewarm_outcome=None)
                request = next(d.request for d in fleet.take() if isinstance(d, Forward))
                fleet.clock += ms
                fleet.end(request, load_note=None)
                self.assertEqual(len(request.function.load_times), samples)

    def test_full_without_company_tells_of_memory(self):
        """(requests of the function held there) -> whether the copy still counts and others may load there."""
        for concurrent, room in ((0, False), (3, True)):
            with self.subTest(concurrent=concurrent):
                fleet = Fleet(workers=2)
                home = called(fleet.serve(calls=100))[-1]
                request = fleet.take()[0].request
                place = request.attempts[0].replica
                fleet.router.attempt_finished(AttemptFinished(request.ident, 0, "full", False, None, concurrent, None))
                self.assertEqual(place.loaded_replicas > 0, room)
                self.assertEqual(home in called(fleet.take("new")) + called(fleet.take("newer")), room)

    def test_little_used_programs_stay_at_home(self):
        """(load, of a room of 1 what is left at the first by lot) -> whether it is chosen anew."""
        for load, left, first in ((0.02, -0.1, True), (0.02, -0.5, False), (0.4, -0.1, False), (0.4, 0.5, True)):
            with self.subTest(load=load, left=left):
                fleet = Fleet(workers=3, front_ends=3)
                fleet.take()
                function, workers = fleet.router.functions["p"], list(fleet.router.workers.values())
                home = min(workers, key=lambda w: rendezvous_rank(function, w))
                fleet.placement.mean_capacity, fleet.placement.selected_workers = 1.0, dict.fromkeys(workers)
                room = {w: left if w is home else 1.0 for w in workers}
                budget, part = dict.fromkeys(workers, 9e9), dict.fromkeys(workers, 1.0)
                chosen = choose_workers(fleet.placement, function, load, part, room, budget)
                self.assertEqual(chosen == [home], first)


if __name__ == "__main__":
    unittest.main()
