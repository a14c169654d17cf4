"""Tests of the estimates from the durations of answers and loads."""

import unittest

from tests.helpers import FrontEnd, decision_names, forwarded_to


class LatencyTest(unittest.TestCase):
    """Estimates of slowdowns and load times."""

    def test_silent_worker_is_no_longer_preferred(self):
        front_end = FrontEnd(workers=4)
        front_end.concurrency = 8
        first = forwarded_to(front_end.serve_requests(count=150))[-1]
        for _ in range(6):
            front_end.submit()
        decisions = front_end.advance_time(2000)
        self.assertIn("cancel", decision_names(decisions))
        self.assertNotIn(first, forwarded_to(front_end.submit()))

    def test_load_does_not_count_as_slowdown(self):
        front_end = FrontEnd(workers=3)
        front_end.serve_requests(count=20)
        request = front_end.submit("new")[0].request
        worker = request.attempts[0].replica.worker
        before = front_end.router.latency.slowdown(worker)
        front_end.clock += 1500
        front_end.finish_attempt(request, load_note="began")
        self.assertAlmostEqual(front_end.router.latency.slowdown(worker), before, places=2)

    def test_load_time_estimate(self):
        """(hint, measured loads, whether the worker reported them) -> expected load time.

        After four measured loads the hint no longer counts.
        """
        for hint, measured, expected, *triggered in (
            (5000.0, [], 5000.0),
            (5000.0, [100.0] * 3, 5000.0),
            (5000.0, [100.0] * 4, 100.0),
            (200.0, [900.0], 900.0),
            (200.0, [900.0] * 9, 900.0),
            (0.0, [100.0], 100.0),
            (5000.0, [10.0] * 9, 5000.0),  # so short that the function may have been loaded before
            (5000.0, [10.0] * 4, 10.0, True),
            (5000.0, [-3.0] * 4, 1.0, True),
        ):
            with self.subTest(hint=hint, measured=measured):
                front_end = FrontEnd()
                front_end.submit()
                function = front_end.router.functions["p"]
                function.load_hint = hint
                for duration in measured:
                    front_end.router.latency.record_load(function, duration, *triggered)
                self.assertEqual(front_end.router.latency.load_time(function), expected)

    def test_attempts_given_up_late_count_as_slowdown(self):
        """(outcome, ms) -> whether the worker counts as slower; it does not where the client left early."""
        for outcome, ms, slower in (
            ("cancelled", 900, True),
            ("timeout", 900, True),
            ("cancelled", 20, False),
            ("full", 900, False),
        ):
            with self.subTest(outcome=outcome, ms=ms):
                front_end = FrontEnd(workers=1)
                front_end.serve_requests(count=20)
                request = front_end.submit()[0].request
                worker = request.attempts[0].replica.worker
                before = front_end.router.latency.slowdown(worker)
                front_end.clock += ms
                front_end.finish_attempt(request, outcome)
                self.assertEqual(front_end.router.latency.slowdown(worker) > before, slower)


if __name__ == "__main__":
    unittest.main()
