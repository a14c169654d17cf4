"""Proofs of the timing rules of policies."""

import unittest

from tests.route_fixtures import STRICT
from wickdyke.route_policy import proof, validation
from wickdyke.route_policy.policy import BackoffPolicy, Policy, TimeComponent, total_time, worst_case_components


class ProofTest(unittest.TestCase):
    """Proofs for all times and jitters, for up to three attempts and a backoff growth of 1 to 3."""

    def test_deadline(self):
        """A policy is accepted exactly if no request under it can end after its deadline."""
        for attempts in (1, 2, 3):
            for growth in (1, 2, 3) if attempts > 2 else (1,):
                with self.subTest(attempts=attempts, growth=growth):
                    self.assertIsNone(proof.accepted_but_late(attempts, growth))
                    self.assertIsNone(proof.rejected_but_in_time(attempts, growth))

    def test_overlapping_attempts(self):
        """No accepted policy allows two attempts at once; with a backoff that is 1 ms too short there is one."""
        for attempts in (2, 3):
            with self.subTest(attempts=attempts):
                self.assertIsNone(proof.accepted_but_overlapping(attempts, 2))
        self.assertIn("linger", proof.accepted_but_overlapping(2, 2, slack=1) or "")

    def test_wrong_sums_are_detected(self):
        """(a wrong worst case) -> a late request that it accepts, or a policy that it rejects though in time."""

        def without(name):
            return lambda policy, environment: [
                component for component in worst_case_components(policy, environment) if component.name != name
            ]

        def one_attempt_fewer(policy, environment):
            return worst_case_components(policy, environment, policy.max_attempts - 1)

        def without_jitter(policy, environment):
            backoff = sum(policy.backoff.shortest_wait(retry) for retry in range(1, policy.max_attempts))
            return [
                TimeComponent(component.name, backoff) if component.name.startswith("pauses") else component
                for component in worst_case_components(policy, environment)
            ]

        for name, wrong_worst_case in (
            ("queue", without("queue")),
            ("tick", without("tick")),
            ("dial", without("dial")),
            ("answer transit", without("answer-way")),
            ("jitter", without_jitter),
            ("one attempt", one_attempt_fewer),
        ):
            with self.subTest(left_out=name):
                self.assertIn("deadline", proof.accepted_but_late(2, 1, wrong_worst_case) or "")
        one_attempt_more = proof.rejected_but_in_time(
            2, 1, lambda policy, environment: worst_case_components(policy, environment, 3)
        )
        self.assertIn("deadline", one_attempt_more or "")

    def test_worst_case_timeline(self):
        """The timeline of a violation ends at the sum of the worst case's components."""
        for attempts in (1, 2, 3):
            policy = Policy(
                10.0, 4000.0, 900.0, None, attempts, BackoffPolicy(40.0, 2.0, 60.0, 0.5), queue_timeout=70.0
            )
            self.assertAlmostEqual(
                validation.worst_case_timeline(policy, STRICT)[-1].time,
                total_time(worst_case_components(policy, STRICT)),
                6,
            )


if __name__ == "__main__":
    unittest.main()
