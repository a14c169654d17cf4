"""Workers drain while discovery is unreachable: front ends as processes, workers and discovery as peers on loopback.

The failure: during an outage of discovery workers began to drain and kept running, and front ends that could not
receive the drain kept sending attempts and prewarms to them until they ended. The workers rejected all of them.
Refused, silent and failing connections to discovery had the same effect. First attempts and prewarms were among these
commands, decided seconds after the drain.

How it came about: the last list counted as true however old it was, and a rejection by a draining worker counted as a
lack of capacity, so that the worker was tried again after each backoff. The drain counts as known at the latest 4 s
after discovery was lost, or at once where the outage is older. With discovery up the same drain stops all commands at
once.
"""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from tests.soak.bus import BusMode
from tests.soak.checks import OUTAGE_CLOCK_SECONDS, sent_while_draining, served_share, violations
from tests.soak.scene import DRAIN_GRACE_SECONDS, Scene, SceneSize

WARM_UP_SECONDS = 2.0
EARLY_DRAIN_SECONDS = 0.2  # from the begin of the outage to the drain
CASE_SECONDS = OUTAGE_CLOCK_SECONDS + DRAIN_GRACE_SECONDS + 5.0
MIN_SERVED_SHARE = 0.9  # share of the requests; three of four workers stay ready
DEFAULT_SIZE = SceneSize()
FEW_REQUESTS = SceneSize(front_ends=2, clients_per_front_end=1, rate=0.7)


@dataclass(frozen=True)
class OutageCase:
    """The behaviour of discovery, and when the busiest worker drains (s after the begin of that behaviour)."""

    mode: BusMode
    drain_after: float = EARLY_DRAIN_SECONDS
    size: SceneSize = DEFAULT_SIZE


@dataclass(frozen=True)
class CaseResult:
    """The result of one case; `sent` lists commands sent to the draining worker, with the s since the outage began."""

    sent: list[str]
    violations: list[str]
    served: float


CASES = {
    "discovery is up": OutageCase(BusMode.UP),
    "connections are refused": OutageCase(BusMode.REFUSED),
    "open connections are silent": OutageCase(BusMode.SILENT),
    "an event stays incomplete": OutageCase(BusMode.HALF_EVENT),
    "a drain late in the outage": OutageCase(BusMode.ERRORS, drain_after=OUTAGE_CLOCK_SECONDS + 3.0),
    "few requests": OutageCase(BusMode.FLAPPING, size=FEW_REQUESTS),
}


def run_case(case: OutageCase) -> CaseResult:
    """Runs one case."""
    scene = Scene(case.size)
    try:
        scene.start()
        time.sleep(WARM_UP_SECONDS)
        outage_began_at = time.time()
        if case.mode is not BusMode.UP:
            scene.set_discovery(case.mode)
        time.sleep(case.drain_after)
        scene.drain(scene.busiest_worker())
        time.sleep(max(0.0, outage_began_at + CASE_SECONDS - time.time()))
        ended_at = time.time()
        scene.stop_clients()
        sent = [
            f"{arrival.verb.decode()} {arrival.at - outage_began_at:.3f}" for _, arrival in sent_while_draining(scene)
        ]
        return CaseResult(sent, violations(scene), served_share(scene, outage_began_at, ended_at))
    finally:
        scene.close()


class DiscoveryOutageTest(unittest.TestCase):
    """A worker in use drains while discovery is unreachable, and keeps running."""

    @classmethod
    def setUpClass(cls):
        with ThreadPoolExecutor(len(CASES)) as pool:
            cls.results = dict(zip(CASES, pool.map(run_case, CASES.values()), strict=True))

    def test_no_work_is_sent_to_a_draining_worker(self):
        for name, result in self.results.items():
            with self.subTest(name):
                self.assertEqual(result.sent, [])
                self.assertEqual(result.violations, [])

    def test_requests_are_served_meanwhile(self):
        for name, result in self.results.items():
            with self.subTest(name):
                self.assertGreater(result.served, MIN_SERVED_SHARE)


if __name__ == "__main__":
    unittest.main()
