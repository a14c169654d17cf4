"""A few seeds of the soak in which front ends are stopped often; `python -m tests.soak --stops` plays more."""

import multiprocessing
import unittest

from tests.soak.__main__ import describe
from tests.soak.play import play_stops

SEEDS = (1, 3, 5, 7)  # single stops and series of up to eight, 0.04 to 1.2 s each, with 1 to 10 visitors in each
SERVED_WANTED = 0.8  # part of the requests, visitors' among them


class SoakStops(unittest.TestCase):
    """Clients connect, ask and leave while front ends do not run."""

    def test_no_rule_is_broken(self):
        with multiprocessing.get_context("spawn").Pool(len(SEEDS), maxtasksperchild=1) as pool:
            for result in pool.imap_unordered(play_stops, SEEDS):
                with self.subTest(seed=result.seed):
                    self.assertEqual(result.broken, [], describe(result))
                    self.assertGreater(result.served, SERVED_WANTED, describe(result))


if __name__ == "__main__":
    unittest.main()
