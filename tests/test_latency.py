"""What is learnt from the times of answers and loads."""

import unittest

from tests.helpers import Fleet, called, verbs


class LatencyTest(unittest.TestCase):
    """What is learnt from the times of answers and loads."""

    def test_silent_worker_loses_its_good_latency(self):
        fleet = Fleet(workers=4)
        fleet.concurrency = 8
        first = called(fleet.serve(calls=150))[-1]
        for _ in range(6):
            fleet.take()
        decisions = fleet.pass_time(2000)
        self.assertIn("cancel", verbs(decisions))
        self.assertNotIn(first, called(fleet.take()))

    def test_sample_with_a_load_is_not_a_slow_worker(self):
        fleet = Fleet(workers=3)
        fleet.serve(calls=20)
        request = fleet.take("new")[0].request
        worker = request.attempts[0].replica.worker
        before = fleet.router.latency.slowdown(worker)
        fleet.clock += 1500
        fleet.end(request, load_note="began")
        self.assertAlmostEqual(fleet.router.latency.slowdown(worker), before, places=2)

    def test_load_times_are_learnt(self):
        """(hint, loads seen, whether an attempt triggered them) -> how long a load is held to take; after
        four the hint counts no more."""
        for hint, seen, want, *triggered in (
            (5000.0, [], 5000.0),
            (5000.0, [100.0] * 3, 5000.0),
            (5000.0, [100.0] * 4, 100.0),
            (200.0, [900.0], 900.0),
            (200.0, [900.0] * 9, 900.0),
            (0.0, [100.0], 100.0),
            (5000.0, [10.0] * 9, 5000.0),  # so short that a copy may have stood, unknown
            (5000.0, [10.0] * 4, 10.0, True),
            (5000.0, [-3.0] * 4, 1.0, True),
        ):
            with self.subTest(hint=hint, seen=seen):
                fleet = Fleet()
                fleet.take()
                function = fleet.router.functions["p"]
                function.load_hint = hint
                for duration in seen:
                    fleet.router.latency.record_load(function, duration, *triggered)
                self.assertEqual(fleet.router.latency.load_time(function), want)

    def test_an_answer_given_up_counts_for_the_pace(self):
        """(outcome, ms) -> whether the worker counts as slower; not where the client only left early."""
        for outcome, ms, slower in (
            ("cancelled", 900, True),
            ("timeout", 900, True),
            ("cancelled", 20, False),
            ("full", 900, False),
        ):
            with self.subTest(outcome=outcome, ms=ms):
                fleet = Fleet(workers=1)
                fleet.serve(calls=20)
                request = fleet.take()[0].request
                worker = request.attempts[0].replica.worker
                before = fleet.router.latency.slowdown(worker)
                fleet.clock += ms
                fleet.end(request, outcome)
                self.assertEqual(fleet.router.latency.slowdown(worker) > before, slower)


if __name__ == "__main__":
    unittest.main()
