"""Tests of slow start in the router: how much is sent to workers that warm up."""

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
    """Limits on the work that is sent to workers in slow start."""

    def test_warming_worker_gets_few_requests(self):
        """(age of the new worker in ms) -> the most that it may get of 40 requests at once, and at least one."""
        for age, highest in ((0.0, 2), (17000.0, 40)):
            with self.subTest(age=age):
                front_end = FrontEnd(workers=1)
                front_end.serve_requests(count=30)
                front_end.update_endpoints([listed_endpoint("z", started_at=front_end.clock - age)], whole=False)
                front_end.update_endpoints([listed_endpoint("a", state="draining")], whole=False)
                forwarded = forwarded_to([d for n in range(40) for d in front_end.submit(f"q{n}")])
                self.assertLessEqual(len(forwarded), highest)
                self.assertTrue(forwarded)

    def test_front_ends_together_do_not_overload_a_warming_worker(self):
        """(front ends, which carry 60 requests per second together) -> attempts at the only worker, which warms up."""
        for front_end_count in (20, 80):
            with self.subTest(front_end_count=front_end_count):
                ages, gap = [], 1000.0 * front_end_count / 60
                for seed in range(front_end_count):
                    front_end = FrontEnd(front_ends=front_end_count, seed=seed, index=seed)
                    front_end.advance_time(seed * gap / front_end_count, step=1.0 + seed * gap / front_end_count)
                    for _ in range(12):
                        front_end.serve_requests(count=1)
                        for name in "abcd":
                            front_end.router.health_checked(name, "ok", front_end.load_report(0.4, 2.0))
                        front_end.advance_time(gap - 100, step=gap - 100)
                    started_at = front_end.clock
                    front_end.update_endpoints([listed_endpoint("z", started_at=started_at)])
                    for _ in range(ceil(8000 / gap)):
                        ages += [front_end.clock - started_at for _ in forwarded_to(front_end.serve_requests(count=1))]
                        ages += [
                            front_end.clock - started_at
                            for _ in forwarded_to(front_end.advance_time(gap - 100, step=gap - 100))
                        ]
                for start in range(0, 6000, 250):
                    limit = 2.0 * (0.2 + 0.8 * start / 18000) * 4 * 2000 / 100
                    self.assertLess(sum(start <= age < start + 2000 for age in ages), limit)
                self.assertGreater(len(ages), 10)

    def test_ramp_holds_for_all_front_ends_together(self):
        """(settings, ms of work, cores) -> attempts of all front ends within any window of the slow start.

        Each front end always has a request for the one worker that warms up. The limit is N + 2 x sqrt(N) + 2, where N
        is what the settings allow at the start of the window.
        """
        lowest, usual, highest = (
            SlowStart(0.17, 12000.0, 2.0, 1000.0),
            SlowStart(0.2, 18000.0, 2.0, 2000.0),
            SlowStart(0.45, 5000.0, 4.0, 2000.0),
        )
        for settings, work, size in (
            (lowest, 330.0, 3.0),
            (lowest, 1500.0, 2.0),
            (usual, 60.0, 6.0),
            (usual, 330.0, 3.0),
            (highest, 60.0, 6.0),
            (highest, 1500.0, 2.0),
        ):
            for front_end_count in (20, 30, 200):
                with self.subTest(settings=settings, work=work, size=size, front_end_count=front_end_count):
                    sent = self.send_during_slow_start(settings, work, size, front_end_count)
                    self.assertTrue(sent)
                    for start in range(0, int(settings.ramp - settings.window), 100):
                        allowed = (
                            settings.multiple
                            * (settings.start_share + (1 - settings.start_share) * start / settings.ramp)
                            * size
                            * settings.window
                            / work
                        )
                        self.assertLessEqual(
                            sum(start <= at < start + settings.window for at in sent),
                            allowed + 2 * sqrt(allowed) + 2,
                            start,
                        )

    def send_during_slow_start(self, settings, work, size, front_end_count):
        """Returns the times (ms) at which the front ends sent to one worker that warms up.

        Before, they used half of the capacity of twelve such workers, in uneven parts.
        """

        def worker(name, started_at):
            records = (deque(maxlen=8) for _ in range(4))
            return Worker(
                Endpoint(name, 0, 0, 0, "ready", size, started_at), *records, 1e4, 8.0, started_at, name_hash(name)
            )

        request = Mock()
        request.request_class.durations, request.request_class.latency_objective = [work], 4 * work
        front_ends, sent = [], []
        for number in range(front_end_count):
            guard = SlowStartGuard(settings, GatewayInstance(number, front_end_count, 0, (), False))
            old = worker("old", None)
            part = 2 * hash_fraction(name_hash("part"), number)  # relative to the mean
            guard.served_work.append(WorkSample(5000.0, 12 * size * 0.5 * 5000 / front_end_count * part))
            guard.update_estimates([Cell(0, 0, ready_workers=[old], size=size, utilization=(0.5, 1))], 5000.0)
            guard.work_rate /= 12
            front_ends.append((guard, worker("z", 5000.0)))
        for now in range(5000, int(5000 + settings.ramp), 50):
            for guard, worker in front_ends:
                while guard.admits(worker, request, float(now)):
                    worker.slow_start_sends.append(WorkSample(float(now), work))
                    sent.append(now - 5000)
        return sent

    def test_lost_connection_starts_slow_start(self):
        """(outcome) -> whether the worker counts as restarted before the list shows it."""
        for outcome, warming_up in (("cut", True), ("unreached", True), ("error", False), ("full", False)):
            with self.subTest(outcome=outcome):
                front_end = FrontEnd(workers=2)
                front_end.serve_requests(count=20)
                request = front_end.submit()[0].request
                worker = request.attempts[0].replica.worker
                front_end.finish_attempt(request, outcome)
                self.assertEqual(front_end.router.slow_start.is_warming_up(worker, front_end.clock), warming_up)

    def test_network_fault_is_not_taken_for_restarts(self):
        """(outcomes, each at one worker) -> whether the last worker counts as restarted and is ejected.

        In a network fault many workers are unreachable while no connection is lost.
        """
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
