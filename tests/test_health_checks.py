"""Tests of health checks: which workers are checked, and the effects of answers and of missing answers."""

import unittest

from tests.helpers import FrontEnd, decision_names, forwarded_to, listed_endpoint


class HealthChecksTest(unittest.TestCase):
    """Rate and targets of health checks, and the effects of their outcomes."""

    def test_health_checks_are_limited_by_own_requests(self):
        """(requests in ten seconds) -> maximum number of health checks with 40 workers."""
        for requests, highest in ((0, 8), (20, 18), (100, 58)):
            with self.subTest(requests=requests):
                front_end = FrontEnd(
                    endpoints=[listed_endpoint(f"w{n}") for n in range(40)], front_ends=50, health_checks=True
                )
                decisions = [d for _ in range(requests) for d in front_end.serve_requests(count=1)]
                decisions += front_end.advance_time(10000 - front_end.clock + 1000)
                self.assertTrue(
                    0 < decision_names(decisions).count("health_check") <= highest,
                    decision_names(decisions).count("health_check"),
                )

    def test_only_workers_with_placed_functions_are_checked_in_turn(self):
        front_end = FrontEnd(workers=8)
        self.assertEqual(len(front_end.router.health_checker.check_rotation), 8)
        front_end.serve_requests(count=20)
        homes = {replica.worker for replica in front_end.router.functions["p"].replicas if replica.is_placed}
        self.assertEqual(set(front_end.router.health_checker.check_rotation), homes)

    def test_unanswered_checks_eject_and_an_answer_allows_one_attempt(self):
        front_end = FrontEnd(workers=3, health_checks=True)
        home = forwarded_to(front_end.serve_requests(count=150))[-1]
        for _ in range(3):
            front_end.router.health_checked(home, "timeout", None)
        front_end.advance_time(100)
        self.assertNotIn(home, forwarded_to(front_end.serve_requests(count=10, ms=10.0)))
        front_end.router.health_checked(home, "ok", None)
        decisions = [d for _ in range(3) for d in front_end.submit()]
        self.assertEqual(forwarded_to(decisions).count(home), 1)

    def test_an_answer_during_an_ejection_does_not_end_it(self):
        """(ms from the ejection to the successful answer) -> ejections left of two."""
        for ms, left in ((100, 2), (6000, 1)):
            with self.subTest(ms=ms):
                front_end = FrontEnd(workers=1)
                request = front_end.submit()[0].request
                worker = request.attempts[0].replica.worker
                for _ in range(2):
                    front_end.router.outliers.eject(worker, front_end.clock, "test")
                front_end.clock += ms
                front_end.finish_attempt(request)
                self.assertEqual(worker.ejections, left)


if __name__ == "__main__":
    unittest.main()
