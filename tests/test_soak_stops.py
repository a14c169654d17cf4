"""A few seeds of the soak in which front ends are stopped often; `python -m tests.soak --stops` runs others."""

import multiprocessing
import unittest

from tests.soak.__main__ import describe
from tests.soak.play import play_stops

SEEDS = (1, 3, 5, 7)  # single stops and series of up to eight, 0.04 to 1.2 s each, with 1 to 10 visitors in each
MIN_SERVED_SHARE = 0.8  # of the requests, including those of visitors


class SoakStops(unittest.TestCase):
    """Runs in which clients connect, send requests and leave while front ends are stopped."""

    def test_no_rule_is_broken(self):
        with multiprocessing.get_context("spawn").Pool(len(SEEDS), maxtasksperchild=1) as pool:
            for result in pool.imap_unordered(play_stops, SEEDS):
                with self.subTest(seed=result.seed):
                    self.assertEqual(result.broken, [], describe(result))
                    self.assertGreater(result.served, MIN_SERVED_SHARE, describe(result))


if __name__ == "__main__":
    unittest.main()
