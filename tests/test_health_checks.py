"""Which workers are probed, and what the answers or their absence change."""

import unittest

from tests.helpers import Fleet, called, row, verbs


class HealthChecksTest(unittest.TestCase):
    """Which workers are probed, and what the answers or their absence change."""

    def test_probes_go_by_own_traffic(self):
        """(requests in ten seconds) -> probes at most, with 40 workers."""
        for requests, highest in ((0, 8), (20, 18), (100, 58)):
            with self.subTest(requests=requests):
                fleet = Fleet(endpoints=[row(f"w{n}") for n in range(40)], front_ends=50, health_checks=True)
                decisions = [d for _ in range(requests) for d in fleet.serve(calls=1)]
                decisions += fleet.pass_time(10000 - fleet.clock + 1000)
                self.assertTrue(
                    0 < verbs(decisions).count("health_check") <= highest, verbs(decisions).count("health_check")
                )

    def test_only_homes_are_probed_in_turn(self):
        fleet = Fleet(workers=8)
        self.assertEqual(len(fleet.router.health_checker.check_rotation), 8)
        fleet.serve(calls=20)
        homes = {place.worker for place in fleet.router.functions["p"].replicas if place.is_placed}
        self.assertEqual(set(fleet.router.health_checker.check_rotation), homes)

    def test_unanswered_probes_shun_and_an_answer_brings_the_trial(self):
        fleet = Fleet(workers=3, health_checks=True)
        home = called(fleet.serve(calls=150))[-1]
        for _ in range(3):
            fleet.router.health_checked(home, "timeout", None)
        fleet.pass_time(100)
        self.assertNotIn(home, called(fleet.serve(calls=10, ms=10.0)))
        fleet.router.health_checked(home, "ok", None)
        decisions = [d for _ in range(3) for d in fleet.take()]
        self.assertEqual(called(decisions).count(home), 1)

    def test_an_answer_from_before_the_shun_does_not_end_it(self):
        """(ms after the shun that an ok comes) -> shuns left of two."""
        for ms, left in ((100, 2), (6000, 1)):
            with self.subTest(ms=ms):
                fleet = Fleet(workers=1)
                request = fleet.take()[0].request
                worker = request.attempts[0].replica.worker
                for _ in range(2):
                    fleet.router.outliers.eject(worker, fleet.clock, "test")
                fleet.clock += ms
                fleet.end(request)
                self.assertEqual(worker.ejections, left)


if __name__ == "__main__":
    unittest.main()
