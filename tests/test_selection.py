"""Which replica a request is sent to, and that the choice is reproducible."""

import os
import subprocess
import sys
import unittest
from unittest.mock import Mock

from tests.helpers import Fleet, called, row
from wickdyke.routing.inputs import RequestReceived
from wickdyke.routing.ranking import rendezvous_rank

REPLAY = """
from tests.helpers import Fleet
fleet = Fleet(workers=5, health_checks=True)
out = []
for at in range(200):
    out += fleet.serve(f"p{at * 7 % 13}", calls=1, ms=30.0)
print([(type(d).__name__, getattr(getattr(d, 'request', None), 'ident', None)) for d in out])
"""


class SelectionTest(unittest.TestCase):
    """Which replica a request is sent to, and that the choice is reproducible."""

    def test_sticks_to_the_loaded_copy(self):
        fleet = Fleet(workers=6)
        self.assertEqual(len(set(called(fleet.serve(calls=260))[-60:])), 1)

    def test_packs_at_low_load(self):
        """(calls a second of each of six functions) -> workers used at most."""
        for gap, most in ((200.0, 3), (60.0, 4)):
            with self.subTest(gap=gap):
                fleet = Fleet(workers=8)
                used = []
                for name in "abcdefgh" * 8:
                    fleet.router.health_checked(name, "ok", fleet.reported(0.1, 0.3))
                for at in range(300):
                    used += called(fleet.serve(f"p{at % 6}", calls=1, ms=gap))
                self.assertLessEqual(len(set(used[-60:])), most)

    def test_looks_of_one_rpc_do_not_grow_with_the_fleet(self):
        """What a request for a new function, one for a known one and a tick look at, on 20 and on 90 workers."""
        counts = []
        for workers in (20, 90):
            fleet = Fleet(endpoints=[row(f"w{n}") for n in range(workers)], front_ends=50)
            fleet.serve(calls=60)
            fleet.router.schedule.next_at, looks = float("inf"), []
            for part, name in ((fleet.router.slow_start, "admits"), (fleet.router.outliers, "is_silent")):
                setattr(part, name, Mock(wraps=getattr(part, name)))
                looks.append(getattr(part, name))
            fleet.take("new")
            fleet.take()
            fleet.pass_time(100)
            counts.append(sum(look.call_count for look in looks))
        self.assertLess(counts[1], counts[0] + 10)

    def test_lot_is_the_same_for_all(self):
        one, two = Fleet(seed=1).router, Fleet(seed=2).router
        for fe in (one, two):
            fe.request_received(RequestReceived(1, 4000.0, fe.request_classes[0], "p", 1.0, 1, None, None, False))
        self.assertEqual(
            [rendezvous_rank(one.functions["p"], w) for w in one.workers.values()],
            [rendezvous_rank(two.functions["p"], w) for w in two.workers.values()],
        )

    def test_same_events_same_actions_under_other_hash_seeds(self):
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

    def test_waits_for_a_full_home_and_leaves_one_that_drains(self):
        """(state of the home, how busy others are, loads on demand) -> whether a call goes elsewhere while the home is
        at its limit."""
        for state, busy, on_call, elsewhere in (
            ("ready", 0.6, True, False),
            ("ready", 0.2, True, True),
            ("ready", 0.2, False, False),
            ("draining", 0.6, True, True),
        ):
            with self.subTest(state=state, busy=busy, on_call=on_call):
                fleet = Fleet(workers=3, loads_on_demand=on_call)
                home = called(fleet.serve(calls=200))[-1]
                for place in fleet.router.functions["p"].replicas if state == "ready" else ():
                    place.worker.concurrency_limit *= place.loaded_replicas == 0
                for worker in fleet.ready_workers:
                    worker.utilization = busy
                fleet.list([row(home, state=state)], whole=False)
                self.assertEqual(bool(called(fleet.take())), elsewhere)


if __name__ == "__main__":
    unittest.main()
