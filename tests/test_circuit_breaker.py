"""Bars: programs that load nowhere, calls that end their copies; as tables and as properties."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wickdyke.circuit_breaker.breakers import Backoff, FunctionBreakers, RequestBreakers


class ProgramBars(unittest.TestCase):
    def test_what_bars(self):
        """(failures and successes: worker, or + for stood; ms between) -> whether the program is barred then."""
        for events, apart, barred in (
            (["a"], 10, False),
            (["a", "a", "a"], 10, False),
            (["a", "b"], 10, True),
            (["a", "+", "b"], 10, False),
            (["a", "+", "b", "c"], 10, True),
            (["a", "b"], 999, True),
            (["a", "b"], 1001, False),
            (["a", "b", "+"], 10, False),
        ):
            with self.subTest(events=events, apart=apart):
                bars, now = FunctionBreakers(2, 1000.0, Backoff(2000.0, 60000.0)), 0.0
                for event in events:
                    now += apart
                    bars.loaded("p") if event == "+" else bars.failed("p", event, now)
                self.assertEqual(bars.wait("p", now) is not None, barred)
                self.assertIsNone(bars.wait("q", now))

    def test_trials(self):
        """One goes after each pause, which doubles up to the most; a success opens all at once."""
        bars, now = FunctionBreakers(2, 1e9, Backoff(1000.0, 4000.0)), 0.0
        bars.failed("p", "a", now)
        pause = bars.failed("p", "b", now)
        for want in (1000.0, 2000.0, 4000.0, 4000.0):
            self.assertEqual(pause, want)
            self.assertEqual(bars.wait("p", now), want)
            self.assertEqual(bars.wait("p", now + want - 1), 1.0)
            now += want
            self.assertIsNone(bars.wait("p", now))
            self.assertEqual(bars.wait("p", now), 1000.0)  # one trial at a time
            self.assertIsNotNone(bars.wait("p", now + 999))
            pause = bars.failed("p", "a", now + 5)
            now += 5
        now += pause
        self.assertIsNone(bars.wait("p", now))
        self.assertTrue(bars.loaded("p"))
        self.assertIsNone(bars.wait("p", now))
        self.assertIsNone(bars.failed("p", "a", now))  # and it starts anew

    def test_a_trial_that_comes_to_nothing(self):
        """One that was denied elsewhere, or never answered, does not keep the next from being tried."""
        bars = FunctionBreakers(1, 1e9, Backoff(1000.0, 4000.0))
        bars.failed("p", "a", 0.0)
        self.assertIsNone(bars.wait("p", 1000.0))
        self.assertIsNotNone(bars.wait("p", 1999.0))
        self.assertIsNone(bars.wait("p", 2000.0))

    def test_late_failures(self):
        """What was sent before the bar and fails after does not lengthen the pause."""
        bars = FunctionBreakers(2, 1e9, Backoff(1000.0, 60000.0))
        for worker in "abcdefgh":
            bars.failed("p", worker, 10.0)
        self.assertEqual(bars.wait("p", 10.0), 1000.0)

    def test_many_front_ends(self):
        """(front ends) -> the longest pause: together they try no more often than once in the first."""
        for front_ends, most in ((1, 8000.0), (4, 8000.0), (200, 200000.0)):
            with self.subTest(front_ends=front_ends):
                bars, now = FunctionBreakers(1, 1e9, Backoff(1000.0, 8000.0, front_ends)), 0.0
                for _ in range(30):
                    pause = bars.failed("p", "a", now)
                    now += pause
                    self.assertIsNone(bars.wait("p", now))
                self.assertEqual(pause, most)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["ask", "ask", "ask", "fail", "stood"]),
                st.sampled_from("ab"),
                st.sampled_from([1.0, 100.0, 900.0, 5000.0]),
            ),
            max_size=60,
        )
    )
    def test_no_flood(self, events):
        """Whatever comes: while nothing stood, no two RPCs pass within the first pause once it is barred."""
        bars, now, barred, last = FunctionBreakers(2, 1e9, Backoff(1000.0, 8000.0)), 0.0, False, None
        for what, worker, ms in events:
            now += ms
            if what == "stood":
                bars.loaded("p")
                barred, last = False, None
            elif what == "fail":
                if bars.failed("p", worker, now) is not None:
                    barred = True
            elif bars.wait("p", now) is None and barred:
                self.assertTrue(last is None or now - last >= 1000.0)
                last = now


class CallBars(unittest.TestCase):
    def test_what_bars(self):
        """(calls in each copy that ended, ms between) -> whether the call is barred; others are not."""
        for inside, apart, barred in (
            ([1, 1], 10, False),
            ([1, 1, 1], 10, True),
            ([2, 2, 2], 10, False),
            ([2] * 6, 10, True),
            ([30, 30, 30, 30], 10, False),
            ([1, 1, 1], 600, False),
            ([1, 2, 2, 1], 10, True),
        ):
            with self.subTest(inside=inside, apart=apart):
                bars, now = RequestBreakers(3, 1000.0, Backoff(5000.0, 60000.0)), 0.0
                for each in inside:
                    now += apart
                    bars.replica_ended("p", b"x", each, now)
                self.assertEqual(bars.wait("p", b"x", now) is not None, barred)
                self.assertEqual("p" in bars.open_by_function, barred)
                self.assertIsNone(bars.wait("p", b"y", now))
                self.assertIsNone(bars.wait("q", b"x", now))

    def test_back(self):
        """A trial that harms nobody takes the bar down; one that does lengthens it."""
        bars = RequestBreakers(1, 1e9, Backoff(1000.0, 60000.0))
        self.assertEqual(bars.replica_ended("p", b"x", 1, 0.0), 1000.0)
        self.assertIsNone(bars.wait("p", b"x", 1000.0))
        self.assertEqual(bars.replica_ended("p", b"x", 1, 1001.0), 2000.0)
        self.assertIsNone(bars.wait("p", b"x", 3001.0))
        self.assertTrue(bars.succeeded("p", b"x"))
        self.assertEqual((bars.wait("p", b"x", 3002.0), bars.open_by_function), (None, {}))

    def test_bounded(self):
        """However many different calls end copies, what is kept is bounded, and its counts stay right."""
        bars = RequestBreakers(1, 1e9, Backoff(1000.0, 60000.0))
        for at in range(10_100):
            bars.replica_ended("p", str(at).encode(), 1, 0.0)
        self.assertEqual((len(bars.tracked), bars.open_by_function), (10_000, {"p": 10_000}))


if __name__ == "__main__":
    unittest.main()
