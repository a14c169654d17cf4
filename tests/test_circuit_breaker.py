"""Tests of the circuit breakers for functions that fail to load and for requests that end replicas."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wickdyke.circuit_breaker.breakers import Backoff, FunctionBreakers, RequestBreakers


class FunctionBreakersTest(unittest.TestCase):
    """Circuit breakers of functions whose loads fail."""

    def test_failures_that_open_the_breaker(self):
        """(events: the worker of a failed load, or + for a successful load; ms between) -> breaker open or not."""
        for events, interval, is_open in (
            (["a"], 10, False),
            (["a", "a", "a"], 10, False),
            (["a", "b"], 10, True),
            (["a", "+", "b"], 10, False),
            (["a", "+", "b", "c"], 10, True),
            (["a", "b"], 999, True),
            (["a", "b"], 1001, False),
            (["a", "b", "+"], 10, False),
        ):
            with self.subTest(events=events, interval=interval):
                breakers, now = FunctionBreakers(2, 1000.0, Backoff(2000.0, 60000.0)), 0.0
                for event in events:
                    now += interval
                    breakers.record_load("p") if event == "+" else breakers.record_failure("p", event, now)
                self.assertEqual(breakers.try_acquire("p", now) is not None, is_open)
                self.assertIsNone(breakers.try_acquire("q", now))

    def test_trials_after_growing_pauses(self):
        """One request passes after each pause, which doubles up to the longest; a success closes the breaker."""
        breakers, now = FunctionBreakers(2, 1e9, Backoff(1000.0, 4000.0)), 0.0
        breakers.record_failure("p", "a", now)
        pause = breakers.record_failure("p", "b", now)
        for expected_pause in (1000.0, 2000.0, 4000.0, 4000.0):
            self.assertEqual(pause, expected_pause)
            self.assertEqual(breakers.try_acquire("p", now), expected_pause)
            self.assertEqual(breakers.try_acquire("p", now + expected_pause - 1), 1.0)
            now += expected_pause
            self.assertIsNone(breakers.try_acquire("p", now))
            self.assertEqual(breakers.try_acquire("p", now), 1000.0)  # one trial at a time
            self.assertIsNotNone(breakers.try_acquire("p", now + 999))
            pause = breakers.record_failure("p", "a", now + 5)
            now += 5
        now += pause
        self.assertIsNone(breakers.try_acquire("p", now))
        self.assertTrue(breakers.record_load("p"))
        self.assertIsNone(breakers.try_acquire("p", now))
        self.assertIsNone(breakers.record_failure("p", "a", now))  # failures are counted from zero again

    def test_trial_without_result_expires(self):
        """A trial that was rejected elsewhere or never answered allows the next one after the first pause."""
        breakers = FunctionBreakers(1, 1e9, Backoff(1000.0, 4000.0))
        breakers.record_failure("p", "a", 0.0)
        self.assertIsNone(breakers.try_acquire("p", 1000.0))
        self.assertIsNotNone(breakers.try_acquire("p", 1999.0))
        self.assertIsNone(breakers.try_acquire("p", 2000.0))

    def test_late_failures_do_not_lengthen_the_pause(self):
        """Loads that began before the breaker opened and fail later do not lengthen the pause."""
        breakers = FunctionBreakers(2, 1e9, Backoff(1000.0, 60000.0))
        for worker in "abcdefgh":
            breakers.record_failure("p", worker, 10.0)
        self.assertEqual(breakers.try_acquire("p", 10.0), 1000.0)

    def test_longest_pause_grows_with_gateways(self):
        """(gateways) -> the longest pause; all gateways together send at most one trial in each first pause."""
        for gateways, longest_pause in ((1, 8000.0), (4, 8000.0), (200, 200000.0)):
            with self.subTest(gateways=gateways):
                breakers, now = FunctionBreakers(1, 1e9, Backoff(1000.0, 8000.0, gateways)), 0.0
                for _ in range(30):
                    pause = breakers.record_failure("p", "a", now)
                    now += pause
                    self.assertIsNone(breakers.try_acquire("p", now))
                self.assertEqual(pause, longest_pause)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["request", "request", "request", "failure", "load"]),
                st.sampled_from("ab"),
                st.sampled_from([1.0, 100.0, 900.0, 5000.0]),
            ),
            max_size=60,
        )
    )
    def test_trials_are_at_least_a_pause_apart(self, events):
        """Until a load succeeds, no two requests pass an open breaker within the first pause."""
        breakers, now, is_open, last_trial_at = FunctionBreakers(2, 1e9, Backoff(1000.0, 8000.0)), 0.0, False, None
        for event, worker, elapsed in events:
            now += elapsed
            if event == "load":
                breakers.record_load("p")
                is_open, last_trial_at = False, None
            elif event == "failure":
                if breakers.record_failure("p", worker, now) is not None:
                    is_open = True
            elif breakers.try_acquire("p", now) is None and is_open:
                self.assertTrue(last_trial_at is None or now - last_trial_at >= 1000.0)
                last_trial_at = now


class RequestBreakersTest(unittest.TestCase):
    """Circuit breakers of requests that end the replicas they run in."""

    def test_replica_ends_that_open_the_breaker(self):
        """(requests in each replica that ended, ms between) -> whether the breaker is open; others stay closed."""
        for requests_in_replicas, interval, is_open in (
            ([1, 1], 10, False),
            ([1, 1, 1], 10, True),
            ([2, 2, 2], 10, False),
            ([2] * 6, 10, True),
            ([30, 30, 30, 30], 10, False),
            ([1, 1, 1], 600, False),
            ([1, 2, 2, 1], 10, True),
        ):
            with self.subTest(requests_in_replicas=requests_in_replicas, interval=interval):
                breakers, now = RequestBreakers(3, 1000.0, Backoff(5000.0, 60000.0)), 0.0
                for requests in requests_in_replicas:
                    now += interval
                    breakers.record_replica_end("p", b"x", requests, now)
                self.assertEqual(breakers.try_acquire("p", b"x", now) is not None, is_open)
                self.assertEqual("p" in breakers.open_by_function, is_open)
                self.assertIsNone(breakers.try_acquire("p", b"y", now))
                self.assertIsNone(breakers.try_acquire("q", b"x", now))

    def test_trial_closes_or_reopens_the_breaker(self):
        """A trial that ends no replica closes the breaker; a trial that ends one doubles the pause."""
        breakers = RequestBreakers(1, 1e9, Backoff(1000.0, 60000.0))
        self.assertEqual(breakers.record_replica_end("p", b"x", 1, 0.0), 1000.0)
        self.assertIsNone(breakers.try_acquire("p", b"x", 1000.0))
        self.assertEqual(breakers.record_replica_end("p", b"x", 1, 1001.0), 2000.0)
        self.assertIsNone(breakers.try_acquire("p", b"x", 3001.0))
        self.assertTrue(breakers.record_success("p", b"x"))
        self.assertEqual((breakers.try_acquire("p", b"x", 3002.0), breakers.open_by_function), (None, {}))

    def test_tracked_requests_are_bounded(self):
        """The number of tracked requests is bounded, and the number of open breakers follows it."""
        breakers = RequestBreakers(1, 1e9, Backoff(1000.0, 60000.0))
        for index in range(10_100):
            breakers.record_replica_end("p", str(index).encode(), 1, 0.0)
        self.assertEqual((len(breakers.tracked), breakers.open_by_function), (10_000, {"p": 10_000}))


if __name__ == "__main__":
    unittest.main()
