"""Discovery out of reach while workers drain: front ends as processes, workers and discovery as peers over loopback.

Seen: with discovery out of reach of every front end, workers began to drain and stayed up; attempts and prewarms went
on being sent to them for as long as they were up. All were rejected by them; other workers served the requests.

How: the drain is an event of discovery. It counts as known 4 s after discovery broke off at the latest, or at once
where the outage is older. A front end that couldn't receive it kept sending by the last list it had.

Cause: what discovery said last was taken as true however old it was. Nothing bounded its age, and a rejection by a
draining worker was taken for a lack of capacity, so that the worker was tried again after each backoff.

Proved by: with discovery up the same drain stops all work at once; refused, silent and failing discovery give the same
breaks; first attempts and prewarms are among them, decided anew seconds after the drain, until the worker ends.
"""

import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from tests.soak.bus import BusMode
from tests.soak.checks import OUTAGE_CLOCK_SECONDS, sent_while_draining, served_share, violations
from tests.soak.scene import DRAIN_GRACE_SECONDS, Scene, SceneSize

WARM_UP_SECONDS = 2.0
AT_ONCE_SECONDS = 0.2  # after the outage has begun
LASTS_SECONDS = OUTAGE_CLOCK_SECONDS + DRAIN_GRACE_SECONDS + 5.0
SERVED_WANTED = 0.9  # part of the requests; three of four workers stay ready
USUAL_SIZE = SceneSize()
FEW_REQUESTS = SceneSize(front_ends=2, clients_per_front_end=1, rate=0.7)


@dataclass(frozen=True)
class Case:
    """Discovery behaves that way, and the busiest worker drains some time (s) after that began."""

    mode: BusMode
    drains_after: float = AT_ONCE_SECONDS
    size: SceneSize = USUAL_SIZE


@dataclass(frozen=True)
class Played:
    """What was found in one case; `sent` are the verbs of work that came too late, and when after the outage began."""

    sent: list[str]
    violations: list[str]
    served: float


CASES = {
    "discovery is up": Case(BusMode.UP),
    "connections are refused": Case(BusMode.REFUSED),
    "open connections are silent": Case(BusMode.SILENT),
    "an event that never completes": Case(BusMode.HALF_EVENT),
    "a drain late in the outage": Case(BusMode.ERRORS, drains_after=OUTAGE_CLOCK_SECONDS + 3.0),
    "few requests": Case(BusMode.FLAPPING, size=FEW_REQUESTS),
}


def play(case: Case) -> Played:
    """Plays one case."""
    scene = Scene(case.size)
    try:
        scene.start()
        time.sleep(WARM_UP_SECONDS)
        began_at = time.time()
        if case.mode is not BusMode.UP:
            scene.set_discovery(case.mode)
        time.sleep(case.drains_after)
        scene.drain(scene.busiest_worker())
        time.sleep(max(0.0, began_at + LASTS_SECONDS - time.time()))
        ended_at = time.time()
        scene.stop_clients()
        sent = [f"{arrival.verb.decode()} {arrival.at - began_at:.3f}" for _, arrival in sent_while_draining(scene)]
        return Played(sent, violations(scene), served_share(scene, began_at, ended_at))
    finally:
        scene.close()


class DiscoveryOutage(unittest.TestCase):
    """A worker in use drains while discovery is out of reach, and stays up."""

    @classmethod
    def setUpClass(cls):
        with ThreadPoolExecutor(len(CASES)) as pool:
            cls.played = dict(zip(CASES, pool.map(play, CASES.values()), strict=True))

    def test_no_work_is_sent_to_a_draining_worker(self):
        for name, played in self.played.items():
            with self.subTest(name):
                self.assertEqual(played.sent, [])
                self.assertEqual(played.violations, [])

    def test_requests_are_served_meanwhile(self):
        for name, played in self.played.items():
            with self.subTest(name):
                self.assertGreater(played.served, SERVED_WANTED)


if __name__ == "__main__":
    unittest.main()
