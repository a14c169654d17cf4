"""How the demand for functions and the load of the fleet are counted."""

import unittest

from tests.helpers import Fleet, row
from wickdyke.routing.inputs import RequestReceived


class DemandTest(unittest.TestCase):
    """How the demand for functions and the load of the fleet are counted."""

    def test_demand_counts_since_the_start(self):
        """(ms since the start) -> lanes that ten calls of 200 ms keep busy, over the time that there was."""
        for age, lanes in ((0.0, 2.0), (1000.0, 1.0), (60000.0, 0.2)):
            with self.subTest(age=age):
                fleet = Fleet(workers=1)
                for _ in range(10):
                    fleet.take()
                fleet.placement.demand_estimator.since = fleet.clock - age
                self.assertAlmostEqual(
                    fleet.placement.demand_estimator.own_demand(fleet.router.functions["p"], fleet.clock), lanes
                )

    def test_hints_of_work_count_whatever_becomes_of_the_rpc(self):
        fleet = Fleet()
        for ident, work in enumerate((100.0, 300.0), 1):
            fleet.router.request_received(
                RequestReceived(ident, 4000.0, fleet.request_class, "p", 4000.0, 2, None, work, False)
            )
        self.assertEqual(fleet.router.latency.usual_work(fleet.router.functions["p"]), 200.0)

    def test_the_fleets_demand_for_a_program(self):
        """(our lanes, our part, company by worker) -> least and most lanes of the fleet."""
        for own, part, concurrency, lowest, highest in (
            (0.02, 0.005, [], 0.02, 0.02),
            (0.02, 0.005, [0] * 8, 0.0, 0.5),
            (0.05, 0.005, [3] * 8, 5.0, 7.0),
            (1.0, 1.0, [0] * 8, 1.0, 1.0),
        ):
            with self.subTest(own=own, concurrency=concurrency):
                fleet = Fleet(workers=2)
                fleet.take()
                function, (a, b) = fleet.router.functions["p"], fleet.router.workers.values()
                function.concurrency_samples.extend((worker, many) for many in concurrency for worker in (a, b))
                self.assertTrue(lowest <= fleet.placement.demand_estimator.fleet_demand(function, own, part) <= highest)

    def test_the_fleet_is_as_busy_as_fresh_reports_say(self):
        """(ms since reports of 1.0, of 0.5) -> the busy share that counts for the limit on all attempts."""
        for old, young, busy in ((5000.0, 100.0, 0.5), (2000.0, 100.0, 0.75), (5000.0, 5000.0, 0.0)):
            with self.subTest(old=old, young=young):
                fleet = Fleet(workers=2)
                for age, share in ((old, 1.0), (young, 0.5)):
                    for worker in fleet.ready_workers:
                        fleet.router.latency.record_report(worker, fleet.reported(share, 4.0), fleet.clock - age)
                fleet.router.schedule.next_at = fleet.router.wake_at = fleet.clock
                fleet.pull()
                self.assertEqual(fleet.router.global_concurrency.load_reports[-1].utilization, busy)

    def test_reports_are_completed(self):
        """(fields, values, cores of a worker) -> busy and held as they count; absent is not 0."""
        for fields, values, busy, held in (
            (("utilization", "in_flight"), (0.5, 3.0), 0.5, 3.0),
            (("in_flight",), (2.0,), 0.5, 2.0),
            (("in_flight",), (9.0,), 1.0, 9.0),
            (("utilization",), (0.5,), 0.5, 2.0),
            (("utilization", "queued"), (0.5, 7.0), 0.5, 9.0),
        ):
            with self.subTest(fields=fields, values=values):
                fleet = Fleet(workers=2, report_fields=fields)
                worker, latency = fleet.router.workers["a"], fleet.router.latency
                latency.cores_per_size = 4.0 / worker.endpoint.size
                latency.record_report(worker, fleet.reported(*values), fleet.clock)
                report = worker.load_reports[-1]
                self.assertEqual((worker.utilization, report.utilization, report.in_flight), (busy, busy, held))

    def test_a_program_not_called_for_a_while(self):
        """Fills go on between the last call and the end of its idle life."""
        fleet = Fleet()
        fleet.take()
        fleet.router.health_checked("a", "ok", fleet.reported(0.5, 2.0))
        fleet.pass_time(9900, step=300)
        self.assertTrue(fleet.router.functions)

    def test_forgets_what_was_asked_for_once(self):
        fleet = Fleet()
        for at in range(50):
            fleet.serve(f"once{at}", calls=1, ms=10.0)
        fleet.pass_time(40000, step=500)
        self.assertFalse(fleet.router.functions)
        self.assertFalse(any(w.replicas for w in fleet.router.workers.values()))

    def test_nothing_is_kept_of_workers_that_have_gone(self):
        fleet = Fleet(workers=1)
        for name in "bcdefgh" * 3:
            fleet.list([row(name)])
            fleet.serve(calls=3)
            fleet.pass_time(600)
        ring, met, index = fleet.router.functions["p"].ranking, fleet.router.outliers.last_outcomes, fleet.router.fleet
        kept = (ring, met, index.workers, index.ring.owners, index.positions, index.ring.size_counts)
        self.assertEqual([len(entries) for entries in kept], [1] * 6)


if __name__ == "__main__":
    unittest.main()
