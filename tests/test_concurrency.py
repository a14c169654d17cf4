"""Tests of the adaptive limits on attempts in flight, of memory budgets and of estimates of cores."""

import unittest

from tests.helpers import FrontEnd, forwarded_to
from wickdyke.routing.decisions import Forward


class ConcurrencyTest(unittest.TestCase):
    """Adaptive limits, memory budgets and estimates of cores."""

    def test_memory_budget_follows_prewarm_outcomes(self):
        for outcome, compare in (("ok", self.assertGreater), ("full", self.assertLess), ("error", self.assertLess)):
            with self.subTest(outcome=outcome):
                front_end = FrontEnd(workers=1)
                front_end.submit()
                worker = front_end.router.workers["a"]
                before = worker.memory_budget
                front_end.router.prewarm_finished("a", "p", outcome, 1, 800.0)
                compare(worker.memory_budget, before)

    def test_late_answers_lower_the_limit_once_per_queue(self):
        """(latency of all answers of a queue, load note) -> change of the limit; answers that waited for a load count
        as no evidence."""
        at_least = self.assertGreaterEqual
        for ms, load_note, compare in (
            (700.0, "stood", self.assertLess),
            (100.0, "stood", at_least),
            (700.0, "awaited", at_least),
        ):
            with self.subTest(ms=ms, load_note=load_note):
                front_end = FrontEnd(workers=1)
                front_end.concurrency = 8
                front_end.serve_requests(count=2)
                worker = front_end.router.workers["a"]
                before = worker.concurrency_limit
                requests = [d.request for _ in range(7) for d in front_end.submit() if isinstance(d, Forward)]
                front_end.clock += ms
                for request in requests:
                    front_end.finish_attempt(request, load_note=load_note)
                compare(worker.concurrency_limit, before)
                self.assertGreater(worker.concurrency_limit, before * 0.2)

    def test_cores_from_promised_tenant_rates(self):
        """(promised requests per second) -> cores of each of 4 workers at 200 ms per request; a default without."""
        for quotas, expected in (((), 4.0), ((16.0, 16.0), 2.0), ((64.0,), 4.0), ((320.0,), 20.0)):
            with self.subTest(quotas=quotas):
                front_end = FrontEnd(workers=4, report_fields=("in_flight",), quotas=quotas)
                front_end.router.latency.update_estimates(front_end.cell, [front_end.cell], 200.0, front_end.clock)
                self.assertAlmostEqual(front_end.router.latency.cores(front_end.router.workers["a"]), expected)

    def test_attempts_do_not_exceed_replica_concurrency(self):
        front_end = FrontEnd(workers=3)
        front_end.serve_requests(count=200)
        replica = next(p for p in front_end.router.functions["p"].replicas if p.loaded_replicas)
        forwarded = forwarded_to([d for _ in range(9) for d in front_end.submit()])
        self.assertLessEqual(
            forwarded.count(replica.worker.endpoint.ident), replica.loaded_replicas * front_end.concurrency
        )

    def test_late_answers_limit_all_attempts(self):
        """(ms of each answer, utilization) -> whether the limit on all attempts of the front end is lowered."""
        for ms, utilization, limited in ((900.0, 0.95, True), (100.0, 0.95, False), (900.0, 0.5, False)):
            with self.subTest(ms=ms, utilization=utilization):
                front_end = FrontEnd(workers=6, front_ends=200)
                for at in range(12):
                    # The report is of a worker that gets no requests: at a full worker they would be rejected early.
                    front_end.router.health_checked("f", "ok", front_end.load_report(utilization, 6.0))
                    front_end.serve_requests(f"p{at}", count=2, ms=ms)
                self.assertEqual(front_end.router.global_concurrency.concurrency_limit < 9.0, limited)


if __name__ == "__main__":
    unittest.main()
