"""Tests of the validation of routes: for each rule, values just beyond it and values that just meet it."""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.route_fixtures import LOOSE, OPEN, RETRIES, STRICT, read_routes, request_class
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.route_policy import validation
from wickdyke.route_policy.policy import NEVER_RAN, RETRYABLE_OUTCOMES, BackoffPolicy, HedgePolicy, Policy


class RouteValidationTest(unittest.TestCase):
    """Routes files that are rejected or accepted."""

    def test_rejected(self):
        """(fields of a route, environment) -> texts in the only diagnostic."""
        side, tok = (f'(route "r" (takes (method "{name}")) ' for name in ("side", "tok"))
        for text, environment, expected_texts in (
            # worst case after the deadline: queue + tick + n x (attempt + dial) + pauses + (n - 1) x tick + answer-way
            ("(attempt 3831 ms)", STRICT, ("attempt 3831", "= 4001 ms", "4000 ms", "(attempt 3830 ms)")),
            ("(attempt 3830 ms) (queue 1 ms)", STRICT, ("queue 1 ", "4001 ms")),
            ("(attempt 3 s) (queue 831 ms)", STRICT, ("4001 ms", "(queue 830 ms)")),
            ("(attempt 1840 ms) (attempts 2) (pause (first 1 ms))", STRICT, ("pauses with their spread 1", "4001")),
            ("(attempt 1800 ms) (attempts 2) (pause (first 40 ms) (spread 1.1))", STRICT, ("spread 84", "4004")),
            ("(attempt 1841 ms) (attempts 2)", STRICT, ("attempt 2 x 1841", "(attempts 1)", "(attempt 1840 ms)")),
            ("(attempt 1177 ms) (attempts 3)", STRICT, ("3 x 1177", "(attempts 2)", "(attempt 1176 ms)")),
            ("(attempt 1 s) (attempts 3) (pause (first 180 ms) (growth 3))", STRICT, ("spread 720", "4190")),
            (
                "(attempt 1 s) (attempts 3) (pause (first 180 ms) (growth 3) (most 360 ms))",
                STRICT,
                ("spread 540", "4010"),
            ),
            ("(attempt 3 s) (deadline 3 s)", STRICT, ("3170 ms", "(attempt 2830 ms)")),
            ("(deadline 60 ms) (soft-deadline 50 ms)", STRICT, ("tick 50 + answer-way 20 = 70", "deadline 70 ms")),
            ("(soft-deadline 4 s)", STRICT, ("soft deadline of 4000", "before the deadline")),
            ("(deadline 750 ms)", STRICT, ("750", "before the deadline")),
            ("(soft-deadline 5 s)", STRICT, ("5000", "4000")),
            # attempts and pauses
            ("(attempts 4)", STRICT, ("4 attempts", "at most 3 attempts", "(attempts 3)")),
            ("(attempts 0)", STRICT, ("0", "1 to 100")),
            ("(attempts 1.5)", STRICT, ("whole number",)),
            (f"(attempts 2) {RETRIES}", STRICT, ("retry after timeout", "(attempt TIME)")),
            ("(attempts 2) (attempt 1 s) (pause (first 50 ms) (most 40 ms))", STRICT, ("50 ms", "(first 40 ms)")),
            # hedging and attempts that linger
            ("(attempts 2) (attempt 1 s) (second (after 300 ms))", STRICT, ("forbids", "300", "remove (second ...)")),
            ("(attempts 2) (second (after-share 0.5))", STRICT, ("375", "forbids")),
            ("(attempts 2) (second (after 1 s)) (attempt 1 s)", OPEN, ("before the attempt timeout", "(after 999 ms)")),
            ("(second (after 300 ms))", OPEN, ("2 concurrent attempts of 1", "(attempts 2)")),
            ("(attempts 2) (second (after 300 ms) (at-once 3))", OPEN, ("3 concurrent attempts of 2", "(attempts 3)")),
            ("(attempts 2) (second (after 3980 ms))", OPEN, ("3980", "answered by the deadline")),
            ("(attempts 2) (second (after 300 ms) (at-once 1))", OPEN, ("1", "2 to 10")),
            ("(attempts 2) (second (after 300 ms) (after-share 0.5))", OPEN, ("both", "either")),
            ("(attempts 2) (second)", OPEN, ("neither", "either")),
            ("(attempts 2) (second always)", OPEN, ("always", "never")),
            (
                f"(attempts 2) (attempt 1 s) {RETRIES}",
                LOOSE,
                ("does not cancel", "cancel yes", "while attempt 1 is in flight"),
            ),
            (
                f"(attempts 2) (attempt 1 s (linger 200 ms)) (pause (first 199 ms)) {RETRIES}",
                LOOSE,
                ("199 ms", "200 ms more", "(first 200 ms)"),
            ),
            (
                f"(attempts 3) (attempt 500 ms (linger 200 ms)) (pause (first 200 ms) (most 200 ms)) {RETRIES}",
                replace(LOOSE, answer_transit=3000.0),
                ("= 5", "deadline"),
            ),
            # effects of methods
            (side + "(attempts 2) (again cut))", STRICT, ("side-effecting", "cut", "runs again")),
            (side + "(attempts 2) (again full error))", STRICT, ("error", "(again full)")),
            (side + "(attempts 2) (attempt 1 s) (again timeout))", STRICT, ("timeout", "side-effecting")),
            (side + "(attempts 2) (second (after 300 ms)))", OPEN, ("hedging of method", "side-effecting")),
            (tok + "(attempts 2) (attempt 851 ms) (again cut))", STRICT, ("1001 ms", "deduplication window, 1000")),
            (tok + "(attempts 2) (attempt 850 ms) (pause (first 1 ms)) (again cut))", STRICT, ("1001",)),
            (tok + "(attempts 3) (attempt 300 ms) (pause (first 51 ms)) (again cut))", STRICT, ("1002",)),
            # retry budgets
            ("(attempts 2) (budget (window 0 s) (floor 1))", STRICT, ("0 ms", "a window longer")),
            ("(attempts 2) (budget (window 10 s))", STRICT, ("floor of 0 and no share", "(floor 1)")),
            ("(attempts 2) (budget (window 10 s) (floor 0.9))", STRICT, ("0.9", "(floor 1)")),
            ("(budget (window 10 s) (floor 1))", STRICT, ("one attempt in all", "(attempts 2)")),
            ("(attempts 2) (budget (floor 1))", STRICT, ("without window",)),
            # patterns and names of routes
            ('(route "r" (takes (method "idme")))', STRICT, ("idme", "idem, side, tok")),
            ('(route "r" (takes (method "x*")))', STRICT, ("x*", "no request")),
            (
                '(route "a" (takes (method "idem"))) (route "b" (takes (method "idem")))',
                STRICT,
                ('"b" and "a"', "different"),
            ),
            (
                '(route "a" (takes (method "idem"))) (route "b" (takes (program "p*")))',
                STRICT,
                ("more specific", '(method "idem") (program "p*")'),
            ),
            (
                '(route "a" (takes (method "idem") (tenant "t"))) (route "b" (takes (method "idem") (program "p")))',
                STRICT,
                ('(program "p") (tenant "t")',),
            ),
            ('(route "a" (takes (method "idem"))) (route "a" (takes (method "tok")))', STRICT, ("a second time",)),
            ('(route "a" (like "b"))', STRICT, ('like "b"', "a route of this file")),
            ('(route "a" (like "a"))', STRICT, ("like itself", "cycle")),
            ('(route (takes (method "idem")))', STRICT, ("without a name",)),
            # syntax
            ("(attempt 500)", STRICT, ("500 without a unit", "500 ms")),
            ("(attempt 500 ms (lingr 3 ms))", STRICT, ("lingr", "(linger TIME)")),
            ("(atempt 500 ms)", STRICT, ("atempt", "did you mean attempt")),
            ("(again full fulll)", STRICT, ("fulll", "full, miss")),
            ("(again)", STRICT, ("(again nothing)",)),
            ("(again full full)", STRICT, ("a second time",)),
            ("(again ok)", STRICT, ("ok", "full, miss")),
            ("(pause 30 ms)", STRICT, ("30", "pause")),
            ("(pause (first 30 ms) (growth 0.5))", STRICT, ("0.5", "1 to 100")),
            ("(priority high)", STRICT, ("high", "-1000 to 1000")),
            ("(attempts 2) (attempts 3)", STRICT, ("a second time", "once")),
            ('(takes (method "tok"))', STRICT, ("a second time",)),
        ):
            with self.subTest(text=text):
                with self.assertRaises(InvalidConfigError) as raised:
                    read_routes(text, environment)
                message = str(raised.exception)
                if not text.startswith("(pause 30"):
                    self.assertEqual(len(raised.exception.diagnostics), 1, message)
                for expected_text in expected_texts:
                    self.assertIn(expected_text, message)

    def test_accepted(self):
        """(fields of a route, environment): values that just meet a rule of `test_rejected`, and ordinary ones."""
        side, tok = (f'(route "r" (takes (method "{name}")) ' for name in ("side", "tok"))
        for text, environment in (
            ("", STRICT),
            ("(attempt 3830 ms)", STRICT),
            ("(attempt 3829 ms) (queue 1 ms)", STRICT),
            ("(attempt 3 s) (queue 830 ms)", STRICT),
            ("(attempt 1840 ms) (attempts 2)", STRICT),
            ("(attempt 1800 ms) (attempts 2) (pause (first 40 ms) (spread 1))", STRICT),
            ("(attempt 1176 ms) (attempts 3)", STRICT),
            ("(attempt 1 s) (attempts 3) (pause (first 120 ms) (growth 3))", STRICT),
            ("(attempt 1 s) (attempts 3) (pause (first 180 ms) (growth 3) (most 300 ms))", STRICT),
            ("(attempt 2830 ms) (deadline 3 s)", STRICT),
            ("(deadline 70 ms) (soft-deadline 60 ms)", STRICT),
            ("(soft-deadline 3999 ms)", STRICT),
            ("(attempts 3)", STRICT),
            (f"(attempts 2) (attempt 1 s) {RETRIES}", STRICT),
            ("(attempts 2) (attempt 1 s) (pause (first 40 ms) (most 40 ms))", STRICT),
            ("(attempts 2) (second never)", STRICT),
            ("(attempts 2) (second (after 300 ms))", OPEN),
            ("(attempts 2) (second (after 999 ms)) (attempt 1 s)", OPEN),
            ("(attempts 3) (second (after-share 0.4) (at-once 3) (part 0.1))", OPEN),
            ("(attempts 2) (second (after 3979 ms))", OPEN),
            (f"(attempts 2) (attempt 1 s (linger 200 ms)) (pause (first 200 ms)) {RETRIES}", LOOSE),
            (f"(attempts 2) (attempt 1 s) {RETRIES}", replace(LOOSE, allows_overlap=True)),
            ("(attempts 2) (attempt 1 s) (again full cut)", LOOSE),
            (side + "(attempts 3) (again full miss unreached unsent))", STRICT),
            (side + "(again cut))", STRICT),
            (side + "(attempts 3) (again nothing))", STRICT),
            (tok + "(attempts 2) (attempt 850 ms) (again cut))", STRICT),
            (tok + "(attempts 3) (attempt 300 ms) (pause (first 50 ms)) (again cut))", STRICT),
            (tok + "(attempts 2) (again cut))", STRICT),
            ("(attempts 2) (budget (window 10 s) (floor 1))", STRICT),
            ("(attempts 2) (budget (window 10 s) (share 0.01))", STRICT),
            ("(priority -3)", STRICT),
            (
                '(route "a" (takes (method "idem"))) (route "b" (takes (program "p*"))) '
                '(route "c" (like "a") (takes (method "idem") (program "p*")))',
                STRICT,
            ),
            ('(route "a" (takes (program "p*"))) (route "b" (takes (program "pq*"))) (route "c")', STRICT),
        ):
            with self.subTest(text=text):
                read_routes(text, environment)


class PolicyValidationTest(unittest.TestCase):
    """Suggested policies are valid, and valid policies keep the rules."""

    def test_suggestions_are_the_nearest_valid_policies(self):
        """Suggested attempt timeouts and numbers of attempts are valid; an attempt timeout 1 ms longer is not."""
        rng = random.Random(5)
        checked = 0
        for _ in range(3000):
            policy = Policy(
                10.0,
                rng.uniform(300, 5000),
                rng.uniform(50, 3000),
                None,
                rng.randint(1, 3),
                BackoffPolicy(rng.uniform(0, 300), rng.choice([1, 2, 3]), 400.0, rng.uniform(0, 1)),
                queue_timeout=rng.choice([None, 100.0]),
            )
            (violation, *_), max_attempts = (
                validation.validate(policy, request_class("idem"), STRICT) or [None],
                policy.max_attempts,
            )
            if violation is None or "(attempt " not in violation.suggestion:
                continue
            checked += 1
            timeout = float(violation.suggestion.split("(attempt ")[1].split(" ms")[0])
            self.assertEqual(
                validation.validate(replace(policy, attempt_timeout=timeout), request_class("idem"), STRICT), []
            )
            self.assertTrue(
                validation.validate(replace(policy, attempt_timeout=timeout + 1), request_class("idem"), STRICT)
            )
            if "(attempts " in violation.suggestion:
                attempts = int(violation.suggestion.split("(attempts ")[1].split(")")[0])
                self.assertLess(attempts, max_attempts)
                self.assertEqual(
                    validation.validate(replace(policy, max_attempts=attempts), request_class("idem"), STRICT), []
                )
        self.assertGreater(checked, 500)

    @settings(max_examples=400, deadline=None)
    @given(
        st.fixed_dictionaries(
            {
                "attempt_timeout": st.floats(1, 2000),
                "max_attempts": st.integers(1, 4),
                "retryable": st.frozensets(st.sampled_from(RETRYABLE_OUTCOMES)),
                "queue_timeout": st.none() | st.floats(0, 500),
                "backoff": st.builds(
                    BackoffPolicy, st.floats(0, 300), st.integers(1, 3).map(float), st.just(400.0), st.floats(0, 1)
                ),
                "hedge": st.none() | st.builds(HedgePolicy, st.floats(1, 1000)),
            }
        ),
        st.sampled_from([STRICT, OPEN, LOOSE]),
        st.sampled_from(["idem", "side", "tok"]),
        st.randoms(use_true_random=False),
    )
    def test_accepted_policies_keep_the_rules(self, fields, environment, name, rng):
        """Simulated requests under accepted policies are in time, without concurrent attempts or a second effect."""
        policy, method = Policy(10.0, 4000.0, linger=None, **fields), request_class(name)
        if validation.validate(policy, method, environment):
            return
        now, has_run, first_run_at = (policy.queue_timeout or 0.0) + environment.tick * rng.random(), False, 0.0
        for attempt in range(1, policy.max_attempts + 1):
            if attempt > 1:
                now += policy.backoff.shortest_wait(attempt - 1) * (
                    1 + policy.backoff.jitter * rng.choice([0, rng.random(), 1])
                )
                now += environment.tick * rng.choice([0, 1])
            self.assertFalse(has_run and method.effect == "side-effecting", "a second effect")
            if has_run and method.effect == "tokened":
                self.assertLessEqual(now - first_run_at, method.dedupe_window + 1e-6)
            outcome = rng.choice(RETRYABLE_OUTCOMES)
            sent_at = now
            now += (policy.attempt_timeout + environment.connect_timeout) * (
                1 if outcome == "timeout" else rng.random()
            )
            if outcome not in NEVER_RAN and not has_run:
                has_run, first_run_at = True, sent_at
            if (
                outcome == "timeout"
                and not environment.timeout_cancels
                and not environment.allows_overlap
                and outcome in policy.retryable
            ):
                self.assertEqual(attempt, policy.max_attempts, "an attempt while an earlier one is in flight")
            if outcome not in policy.retryable:
                break
        self.assertLessEqual(now + environment.answer_transit, policy.deadline + 1e-6)


if __name__ == "__main__":
    unittest.main()
