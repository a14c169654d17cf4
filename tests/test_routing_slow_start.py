"""How much is sent to workers that are warming up."""

import unittest
from collections import deque
from math import ceil, sqrt
from unittest.mock import Mock

from tests.helpers import FrontEnd, forwarded_to, listed_endpoint
from wickdyke.routing.cells import Cell
from wickdyke.routing.model import (
    Endpoint,
    Worker,
    WorkSample,
)
from wickdyke.routing.seeded_random import hash_fraction, name_hash
from wickdyke.routing.settings import GatewayInstance, SlowStart
from wickdyke.routing.slow_start import SlowStartGuard


class SlowStartTest(unittest.TestCase):
    """How much is sent to workers that are warming up."""

    def test_cold_worker_gets_little(self):
        """(age of the new worker in ms, most it may get of 40 requests at once)."""
        for age, highest in ((0.0, 2), (17000.0, 40)):
            with self.subTest(age=age):
                front_end = FrontEnd(workers=1)
                front_end.serve_requests(count=30)
                front_end.update_endpoints([listed_endpoint("z", started_at=front_end.clock - age)], whole=False)
                front_end.update_endpoints([listed_endpoint("a", state="draining")], whole=False)
                forwarded = forwarded_to([d for n in range(40) for d in front_end.submit(f"q{n}")])
                self.assertLessEqual(len(forwarded), highest)
                self.assertTrue(forwarded)

    def test_cold_worker_stands_what_all_front_ends_send(self):
        """(front ends that carry 60 requests a second together) -> what all send to the one worker left, cold."""
        for many in (20, 80):
            with self.subTest(many=many):
                ages, gap = [], 1000.0 * many / 60
                for seed in range(many):
                    front_end = FrontEnd(front_ends=many, seed=seed, index=seed)
                    front_end.advance_time(seed * gap / many, step=1.0 + seed * gap / many)
                    for _ in range(12):
                        front_end.serve_requests(count=1)
                        for name in "abcd":
                            front_end.router.health_checked(name, "ok", front_end.load_report(0.4, 2.0))
                        front_end.advance_time(gap - 100, step=gap - 100)
                    born = front_end.clock
                    front_end.update_endpoints([listed_endpoint("z", started_at=born)])
                    for _ in range(ceil(8000 / gap)):
                        ages += [front_end.clock - born for _ in forwarded_to(front_end.serve_requests(count=1))]
                        ages += [
                            front_end.clock - born
                            for _ in forwarded_to(front_end.advance_time(gap - 100, step=gap - 100))
                        ]
                for start in range(0, 6000, 250):
                    stands = 2.0 * (0.2 + 0.8 * start / 18000) * 4 * 2000 / 100
                    self.assertLess(sum(start <= age < start + 2000 for age in ages), stands)
                self.assertGreater(len(ages), 10)

    def test_cold_ramp_holds_for_the_fleet(self):
        """(settings, ms of work, cores) -> what all front ends send that always have a request for one cold worker, in
        any span of the window, never over N + 2 x root of N + 2, N being what the settings allow as it begins."""
        lowest, site, highest = (
            SlowStart(0.17, 12000.0, 2.0, 1000.0),
            SlowStart(0.2, 18000.0, 2.0, 2000.0),
            SlowStart(0.45, 5000.0, 4.0, 2000.0),
        )
        for warm, work, size in (
            (lowest, 330.0, 3.0),
            (lowest, 1500.0, 2.0),
            (site, 60.0, 6.0),
            (site, 330.0, 3.0),
            (highest, 60.0, 6.0),
            (highest, 1500.0, 2.0),
        ):
            for many in (20, 30, 200):
                with self.subTest(warm=warm, work=work, size=size, many=many):
                    sent = self.sent_cold(warm, work, size, many)
                    self.assertTrue(sent)
                    for start in range(0, int(warm.ramp - warm.window), 100):
                        allowed = (
                            warm.multiple
                            * (warm.start_share + (1 - warm.start_share) * start / warm.ramp)
                            * size
                            * warm.window
                            / work
                        )
                        self.assertLessEqual(
                            sum(start <= at < start + warm.window for at in sent),
                            allowed + 2 * sqrt(allowed) + 2,
                            start,
                        )

    def sent_cold(self, warm, work, size, many):
        """When all front ends sent to one cold worker; they carried half of what twelve like it can do, unevenly."""

        def worker(name, born):
            few = (deque(maxlen=8) for _ in range(4))
            return Worker(Endpoint(name, 0, 0, 0, "ready", size, born), *few, 1e4, 8.0, born, name_hash(name))

        request = Mock()
        request.request_class.durations, request.request_class.latency_objective = [work], 4 * work
        front_ends, sent = [], []
        for number in range(many):
            guards = SlowStartGuard(warm, GatewayInstance(number, many, 0, (), False))
            old = worker("old", None)
            part = 2 * hash_fraction(name_hash("part"), number)  # of the mean
            guards.served_work.append(WorkSample(5000.0, 12 * size * 0.5 * 5000 / many * part))
            guards.update_estimates([Cell(0, 0, ready_workers=[old], size=size, utilization=(0.5, 1))], 5000.0)
            guards.work_rate /= 12
            front_ends.append((guards, worker("z", 5000.0)))
        for now in range(5000, int(5000 + warm.ramp), 50):
            for guards, worker in front_ends:
                while guards.admits(worker, request, float(now)):
                    worker.slow_start_sends.append(WorkSample(float(now), work))
                    sent.append(now - 5000)
        return sent

    def test_a_connection_lost_makes_the_worker_cold(self):
        """(outcome) -> whether it counts as started anew, before the list tells."""
        for outcome, warming_up in (("cut", True), ("unreached", True), ("error", False), ("full", False)):
            with self.subTest(outcome=outcome):
                front_end = FrontEnd(workers=2)
                front_end.serve_requests(count=20)
                request = front_end.submit()[0].request
                worker = request.attempts[0].replica.worker
                front_end.finish_attempt(request, outcome)
                self.assertEqual(front_end.router.slow_start.is_warming_up(worker, front_end.clock), warming_up)

    def test_many_unreached_and_none_cut_are_no_restarts(self):
        """(outcomes at as many workers, one each) -> whether the replicas there count as lost."""
        for outcomes, lost in (
            (["ok"] * 6 + ["unreached"] * 4, False),
            (["ok"] * 9 + ["unreached"], True),
            (["ok"] * 5 + ["cut"] + ["unreached"] * 4, True),
        ):
            with self.subTest(outcomes=outcomes):
                front_end = FrontEnd(workers=10)
                front_end.router.advance(front_end.clock)
                front_end.submit()
                for worker, outcome in zip(front_end.ready_workers, outcomes, strict=True):
                    front_end.router.outliers.record(worker, outcome, front_end.clock)
                last = front_end.ready_workers[-1]
                self.assertEqual(
                    (last.warming_since is not None, last in front_end.router.outliers.ejected), (lost, lost)
                )


if __name__ == "__main__":
    unittest.main()
