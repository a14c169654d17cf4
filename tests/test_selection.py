"""Tests of the selection of replicas, and that it is reproducible."""

import os
import subprocess
import sys
import unittest
from unittest.mock import Mock

from tests.helpers import FrontEnd, forwarded_to, listed_endpoint
from wickdyke.routing.inputs import RequestReceived
from wickdyke.routing.ranking import rendezvous_rank

REPLAY = """
from tests.helpers import FrontEnd
front_end = FrontEnd(workers=5, health_checks=True)
out = []
for at in range(200):
    out += front_end.serve_requests(f"p{at * 7 % 13}", count=1, ms=30.0)
print([(type(d).__name__, getattr(getattr(d, 'request', None), 'ident', None)) for d in out])
"""


class SelectionTest(unittest.TestCase):
    """Selection of replicas, and its reproducibility."""

    def test_requests_stay_at_the_loaded_replica(self):
        front_end = FrontEnd(workers=6)
        self.assertEqual(len(set(forwarded_to(front_end.serve_requests(count=260))[-60:])), 1)

    def test_few_workers_are_used_at_low_load(self):
        """(ms between requests, which go to six functions in turn) -> maximum number of workers used."""
        for gap, most_workers in ((200.0, 3), (60.0, 4)):
            with self.subTest(gap=gap):
                front_end = FrontEnd(workers=8)
                used = []
                for name in "abcdefgh" * 8:
                    front_end.router.health_checked(name, "ok", front_end.load_report(0.1, 0.3))
                for at in range(300):
                    used += forwarded_to(front_end.serve_requests(f"p{at % 6}", count=1, ms=gap))
                self.assertLessEqual(len(set(used[-60:])), most_workers)

    def test_cost_of_a_request_does_not_grow_with_the_fleet(self):
        """Workers examined for a request of a new function, one of a known one and a tick, with 20 and 90 workers."""
        counts = []
        for workers in (20, 90):
            front_end = FrontEnd(endpoints=[listed_endpoint(f"w{n}") for n in range(workers)], front_ends=50)
            front_end.serve_requests(count=60)
            front_end.router.schedule.next_at, mocks = float("inf"), []
            for part, name in ((front_end.router.slow_start, "admits"), (front_end.router.outliers, "is_silent")):
                setattr(part, name, Mock(wraps=getattr(part, name)))
                mocks.append(getattr(part, name))
            front_end.submit("new")
            front_end.submit()
            front_end.advance_time(100)
            counts.append(sum(mock.call_count for mock in mocks))
        self.assertLess(counts[1], counts[0] + 10)

    def test_ranking_is_the_same_for_all_front_ends(self):
        one, two = FrontEnd(seed=1).router, FrontEnd(seed=2).router
        for router in (one, two):
            router.request_received(
                RequestReceived(1, 4000.0, router.request_classes[0], "p", 1.0, 1, None, None, False)
            )
        self.assertEqual(
            [rendezvous_rank(one.functions["p"], w) for w in one.workers.values()],
            [rendezvous_rank(two.functions["p"], w) for w in two.workers.values()],
        )

    def test_decisions_do_not_depend_on_the_hash_seed(self):
        runs = [
            subprocess.run(
                [sys.executable, "-c", REPLAY],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for seed in "012"
        ]
        self.assertGreater(len(runs[0]), 1000)
        self.assertEqual(len(set(runs)), 1)

    def test_waits_for_a_full_worker_but_not_for_a_draining_one(self):
        """(state of the worker, utilization of the others, loads on demand) -> whether a request goes to another one.

        The function is loaded on one worker, which is at its limit.
        """
        for state, utilization, on_demand, other_worker_used in (
            ("ready", 0.6, True, False),
            ("ready", 0.2, True, True),
            ("ready", 0.2, False, False),
            ("draining", 0.6, True, True),
        ):
            with self.subTest(state=state, utilization=utilization, on_demand=on_demand):
                front_end = FrontEnd(workers=3, loads_on_demand=on_demand)
                home = forwarded_to(front_end.serve_requests(count=200))[-1]
                for replica in front_end.router.functions["p"].replicas if state == "ready" else ():
                    replica.worker.concurrency_limit *= replica.loaded_replicas == 0
                for worker in front_end.ready_workers:
                    worker.utilization = utilization
                front_end.update_endpoints([listed_endpoint(home, state=state)], whole=False)
                self.assertEqual(bool(forwarded_to(front_end.submit())), other_worker_used)


if __name__ == "__main__":
    unittest.main()
