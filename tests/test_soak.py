"""A few seeds of the soak; `python -m tests.soak` runs others."""

import multiprocessing
import unittest

from tests.soak.__main__ import describe
from tests.soak.play import play

SEEDS = (
    103,
    108,
    114,
    116,
    122,
)  # outages of each kind, drains, a crash, restarts, reloads, pauses and a burst of clients
MIN_SERVED_SHARE = 0.8  # of the requests


class Soak(unittest.TestCase):
    """Runs with outages of discovery, drains and restarts together."""

    def test_no_rule_is_broken(self):
        with multiprocessing.get_context("spawn").Pool(len(SEEDS), maxtasksperchild=1) as pool:
            for result in pool.imap_unordered(play, SEEDS):
                with self.subTest(seed=result.seed):
                    self.assertEqual(result.broken, [], describe(result))
                    self.assertGreater(result.served, MIN_SERVED_SHARE, describe(result))


if __name__ == "__main__":
    unittest.main()
