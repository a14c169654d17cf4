"""Proofs of the timing model, for all times and jitters, up to three attempts and growths of 1 to 3."""

import unittest

from tests.route_fixtures import STRICT
from wickdyke.route_policy import proof, validation
from wickdyke.route_policy.policy import BackoffPolicy, Policy, TimeComponent, total_time, worst_case_components


class ProofTest(unittest.TestCase):
    """For all times and spreads, up to three attempts and growths of 1 to 3."""

    def test_deadline(self):
        for attempts in (1, 2, 3):
            for growth in (1, 2, 3) if attempts > 2 else (1,):
                with self.subTest(attempts=attempts, growth=growth):
                    self.assertIsNone(proof.accepted_but_late(attempts, growth))
                    self.assertIsNone(proof.rejected_but_in_time(attempts, growth))

    def test_overlapping_attempts(self):
        for attempts in (2, 3):
            with self.subTest(attempts=attempts):
                self.assertIsNone(proof.accepted_but_overlapping(attempts, 2))
        self.assertIn("linger", proof.accepted_but_overlapping(2, 2, slack=1) or "")

    def test_mistakes_are_found(self):
        """(a wrong sum) -> a late course that it would accept, or a policy that it would reject without need."""

        def without(name):
            return lambda policy, environment: [
                part for part in worst_case_components(policy, environment) if part.name != name
            ]

        def short_by_one(policy, environment):
            return worst_case_components(policy, environment, policy.max_attempts - 1)

        def no_spread(policy, environment):
            pauses = sum(policy.backoff.shortest_wait(nth) for nth in range(1, policy.max_attempts))
            return [
                TimeComponent(part.name, pauses) if part.name.startswith("pauses") else part
                for part in worst_case_components(policy, environment)
            ]

        for name, wrong in (
            ("queue", without("queue")),
            ("tick", without("tick")),
            ("dial", without("dial")),
            ("answer's way", without("answer-way")),
            ("spread", no_spread),
            ("one less", short_by_one),
        ):
            with self.subTest(left_out=name):
                self.assertIn("deadline", proof.accepted_but_late(2, 1, wrong) or "")
        one_more = proof.rejected_but_in_time(
            2, 1, lambda policy, environment: worst_case_components(policy, environment, 3)
        )
        self.assertIn("deadline", one_more or "")

    def test_worst_case_timeline(self):
        """The timeline of a violation ends at the sum."""
        for attempts in (1, 2, 3):
            policy = Policy(
                10.0, 4000.0, 900.0, None, attempts, BackoffPolicy(40.0, 2.0, 60.0, 0.5), queue_timeout=70.0
            )
            self.assertAlmostEqual(
                validation.worst_case_timeline(policy, STRICT)[-1].at,
                total_time(worst_case_components(policy, STRICT)),
                6,
            )


if __name__ == "__main__":
    unittest.main()
