"""The limits on the attempts in flight at a worker."""

import unittest

from tests.helpers import Fleet, called
from wickdyke.routing.decisions import Forward


class ConcurrencyTest(unittest.TestCase):
    """The limits on the attempts in flight at a worker."""

    def test_budget_grows_and_shrinks(self):
        for outcome, compare in (("ok", self.assertGreater), ("full", self.assertLess), ("error", self.assertLess)):
            with self.subTest(outcome=outcome):
                fleet = Fleet(workers=1)
                fleet.take()
                worker = fleet.router.workers["a"]
                before = worker.memory_budget
                fleet.router.prewarm_finished("a", "p", outcome, 1, 800.0)
                compare(worker.memory_budget, before)

    def test_late_answers_lower_the_limit_once_a_queue(self):
        """(how the answers of one queue came) -> what becomes of the limit; a load says nothing of it."""
        at_least = self.assertGreaterEqual
        for ms, load_note, compare in (
            (700.0, "stood", self.assertLess),
            (100.0, "stood", at_least),
            (700.0, "awaited", at_least),
        ):
            with self.subTest(ms=ms, load_note=load_note):
                fleet = Fleet(workers=1)
                fleet.concurrency = 8
                fleet.serve(calls=2)
                worker = fleet.router.workers["a"]
                before = worker.concurrency_limit
                requests = [d.request for _ in range(7) for d in fleet.take() if isinstance(d, Forward)]
                fleet.clock += ms
                for request in requests:
                    fleet.end(request, load_note=load_note)
                compare(worker.concurrency_limit, before)
                self.assertGreater(worker.concurrency_limit, before * 0.2)

    def test_cores_by_what_tenants_are_promised(self):
        """(requests a second promised) -> concurrency of each of 4 workers, at 200 ms each; a default where none is."""
        for quotas, want in (((), 4.0), ((16.0, 16.0), 2.0), ((64.0,), 4.0), ((320.0,), 20.0)):
            with self.subTest(quotas=quotas):
                fleet = Fleet(workers=4, report_fields=("in_flight",), quotas=quotas)
                fleet.router.latency.update_estimates(fleet.cell, [fleet.cell], 200.0, fleet.clock)
                self.assertAlmostEqual(fleet.router.latency.cores(fleet.router.workers["a"]), want)

    def test_no_more_call_outs_than_lanes(self):
        fleet = Fleet(workers=3)
        fleet.serve(calls=200)
        place = next(p for p in fleet.router.functions["p"].replicas if p.loaded_replicas)
        forwarded = called([d for _ in range(9) for d in fleet.take()])
        self.assertLessEqual(forwarded.count(place.worker.endpoint.ident), place.loaded_replicas * fleet.concurrency)

    def test_late_answers_limit_all_our_call_outs(self):
        """(ms of each answer, busy share) -> whether what one front end has out at all workers is limited."""
        for ms, busy, limited in ((900.0, 0.95, True), (100.0, 0.95, False), (900.0, 0.5, False)):
            with self.subTest(ms=ms, busy=busy):
                fleet = Fleet(workers=6, front_ends=200)
                for at in range(12):
                    fleet.router.health_checked(
                        "f", "ok", fleet.reported(busy, 6.0)
                    )  # elsewhere: at a busy home they would be denied
                    fleet.serve(f"p{at}", calls=2, ms=ms)
                self.assertEqual(fleet.router.global_concurrency.concurrency_limit < 9.0, limited)


if __name__ == "__main__":
    unittest.main()
