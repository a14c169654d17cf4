"""Tests of the estimates of demand and utilization, and of removing data that is no longer needed."""

import unittest

from tests.helpers import FrontEnd, listed_endpoint
from wickdyke.routing.inputs import RequestReceived


class DemandTest(unittest.TestCase):
    """Estimates of demand and utilization, and removal of functions and workers."""

    def test_demand_is_averaged_since_the_start(self):
        """(ms since the start) -> demand of ten requests of 200 ms, averaged over that time."""
        for age, demand in ((0.0, 2.0), (1000.0, 1.0), (60000.0, 0.2)):
            with self.subTest(age=age):
                front_end = FrontEnd(workers=1)
                for _ in range(10):
                    front_end.submit()
                front_end.placement.demand_estimator.since = front_end.clock - age
                self.assertAlmostEqual(
                    front_end.placement.demand_estimator.own_demand(front_end.router.functions["p"], front_end.clock),
                    demand,
                )

    def test_work_hints_count_regardless_of_outcome(self):
        front_end = FrontEnd()
        for ident, work in enumerate((100.0, 300.0), 1):
            front_end.router.request_received(
                RequestReceived(ident, 4000.0, front_end.request_class, "p", 4000.0, 2, None, work, False)
            )
        self.assertEqual(front_end.router.latency.usual_work(front_end.router.functions["p"]), 200.0)

    def test_fleet_demand_for_a_function(self):
        """(own demand, own share, concurrent requests reported per worker) -> bounds of the fleet's demand."""
        for own, share, concurrency, lowest, highest in (
            (0.02, 0.005, [], 0.02, 0.02),
            (0.02, 0.005, [0] * 8, 0.0, 0.5),
            (0.05, 0.005, [3] * 8, 5.0, 7.0),
            (1.0, 1.0, [0] * 8, 1.0, 1.0),
        ):
            with self.subTest(own=own, concurrency=concurrency):
                front_end = FrontEnd(workers=2)
                front_end.submit()
                function, (a, b) = front_end.router.functions["p"], front_end.router.workers.values()
                function.concurrency_samples.extend((worker, many) for many in concurrency for worker in (a, b))
                self.assertTrue(
                    lowest <= front_end.placement.demand_estimator.fleet_demand(function, own, share) <= highest
                )

    def test_fleet_utilization_uses_recent_reports_only(self):
        """(ms since reports of 1.0 and of 0.5) -> utilization that counts for the limit on all attempts."""
        for old, recent, utilization in ((5000.0, 100.0, 0.5), (2000.0, 100.0, 0.75), (5000.0, 5000.0, 0.0)):
            with self.subTest(old=old, recent=recent):
                front_end = FrontEnd(workers=2)
                for age, share in ((old, 1.0), (recent, 0.5)):
                    for worker in front_end.ready_workers:
                        front_end.router.latency.record_report(
                            worker, front_end.load_report(share, 4.0), front_end.clock - age
                        )
                front_end.router.schedule.next_at = front_end.router.wake_at = front_end.clock
                front_end.take_decisions()
                self.assertEqual(front_end.router.global_concurrency.load_reports[-1].utilization, utilization)

    def test_missing_report_fields_are_derived(self):
        """(fields, values) -> utilization and requests in flight that count; a missing field does not count as 0."""
        for fields, values, utilization, in_flight in (
            (("utilization", "in_flight"), (0.5, 3.0), 0.5, 3.0),
            (("in_flight",), (2.0,), 0.5, 2.0),
            (("in_flight",), (9.0,), 1.0, 9.0),
            (("utilization",), (0.5,), 0.5, 2.0),
            (("utilization", "queued"), (0.5, 7.0), 0.5, 9.0),
        ):
            with self.subTest(fields=fields, values=values):
                front_end = FrontEnd(workers=2, report_fields=fields)
                worker, latency = front_end.router.workers["a"], front_end.router.latency
                latency.cores_per_size = 4.0 / worker.endpoint.size
                latency.record_report(worker, front_end.load_report(*values), front_end.clock)
                report = worker.load_reports[-1]
                self.assertEqual(
                    (worker.utilization, report.utilization, report.in_flight), (utilization, utilization, in_flight)
                )

    def test_function_is_kept_within_the_idle_timeout(self):
        """Placements continue between a function's last request and the end of its idle timeout."""
        front_end = FrontEnd()
        front_end.submit()
        front_end.router.health_checked("a", "ok", front_end.load_report(0.5, 2.0))
        front_end.advance_time(9900, step=300)
        self.assertTrue(front_end.router.functions)

    def test_functions_requested_once_are_removed(self):
        front_end = FrontEnd()
        for at in range(50):
            front_end.serve_requests(f"once{at}", count=1, ms=10.0)
        front_end.advance_time(40000, step=500)
        self.assertFalse(front_end.router.functions)
        self.assertFalse(any(w.replicas for w in front_end.router.workers.values()))

    def test_no_data_of_removed_workers_remains(self):
        front_end = FrontEnd(workers=1)
        for name in "bcdefgh" * 3:
            front_end.update_endpoints([listed_endpoint(name)])
            front_end.serve_requests(count=3)
            front_end.advance_time(600)
        ring, met, index = (
            front_end.router.functions["p"].ranking,
            front_end.router.outliers.last_outcomes,
            front_end.router.fleet,
        )
        records = (ring, met, index.workers, index.ring.owners, index.positions, index.ring.size_counts)
        self.assertEqual([len(entries) for entries in records], [1] * 6)


if __name__ == "__main__":
    unittest.main()
