"""Tests of route policies in the router: attempts, backoff, outcomes, hedging, budgets, queueing and priority."""

import unittest

from tests.helpers import FrontEnd, decision_names, forwarded_to
from wickdyke.routing.decisions import Forward
from wickdyke.routing.model import Backoff, Hedging, RetryBudgetTerms, RoutePolicy

PLAIN = {
    "latency_objective": 800.0,
    "attempt_timeout": 500.0,
    "attempts": 3,
    "backoff": (0.0, 1.0, 1e9, 0.0),
    "retryable": frozenset({"full", "miss", "unreached", "unsent", "timeout"}),
    "hedge": None,
    "budget_terms": None,
    "queue_timeout": None,
    "priority": 0,
}


RECORDS = {"backoff": Backoff, "hedge": Hedging, "budget_terms": RetryBudgetTerms}


def make_policy(**more):
    """Returns a route policy: PLAIN with the given fields, of which those that are records are given as tuples."""
    fields = {**PLAIN, **more}
    records = {name: kind(*fields[name]) for name, kind in RECORDS.items() if fields[name] is not None}
    return RoutePolicy(**{**fields, **records})


def first_decision(decisions, name="forward"):
    """Returns the first decision of the given name."""
    return next(d for d, word in zip(decisions, decision_names(decisions), strict=True) if word == name)


def time_out_attempts(front_end, request):
    """Lets attempts time out until the request is closed; returns the number of attempts."""
    for attempt_count in range(1, 20):
        front_end.finish_attempt(request, "timeout", final=False)
        if request.closed:
            return attempt_count
    raise AssertionError("never closed")


class Attempts(unittest.TestCase):
    """Retries, hedged attempts and queueing as the policy of a route allows them."""

    def test_attempt_timeout(self):
        """An attempt is forwarded with its route's attempt timeout, and without a route with none."""
        front_end = FrontEnd()
        self.assertEqual(first_decision(front_end.submit(policy=make_policy())).timeout, 500.0)
        self.assertIsNone(first_decision(front_end.submit()).timeout)

    def test_outcomes(self):
        """(outcomes in order, policy fields, effect) -> number of attempts and final answer."""
        for outcomes, more, effect, attempt_count, final in (
            (["timeout"] * 5, {}, "idempotent", 3, "reject"),
            (["timeout"] * 5, {"attempts": 1}, "idempotent", 1, "reject"),
            (["timeout"] * 5, {"attempts": 9}, "idempotent", 4, "reject"),  # the deployment's limit
            (["error"], {}, "idempotent", 1, "reject"),
            (["error"] * 5, {"retryable": frozenset({"error"})}, "idempotent", 3, "reject"),
            (["full", "error"], {}, "idempotent", 2, "reject"),
            (["full", "full", "error"], {}, "side-effecting", 3, "fail"),
            (["timeout"], {}, "side-effecting", 1, "fail"),  # the effect forbids what the route allows
            (["full"] * 5, {}, "side-effecting", 3, "reject"),
            (["cancelled", "full", "full"], {"retryable": frozenset()}, "idempotent", 2, "reject"),
        ):
            with self.subTest(outcomes=outcomes, more=more, effect=effect):
                front_end = FrontEnd(workers=8, effect=effect, attempts=4)
                done = front_end.submit(policy=make_policy(**more))
                request, all_done = first_decision(done).request, list(done)
                for outcome in outcomes:
                    if request.closed:
                        break
                    all_done += front_end.finish_attempt(request, outcome, final=False)
                self.assertEqual(
                    (decision_names(all_done).count("forward"), decision_names(all_done)[-1]), (attempt_count, final)
                )

    def test_backoff(self):
        """Each retry waits its growing, bounded backoff, and is sent within a tick after that."""
        for backoff, waits in (
            ((100.0, 2.0, 1e9, 0.0), (100.0, 200.0)),
            ((100.0, 3.0, 150.0, 0.0), (100.0, 150.0)),
            ((100.0, 1.0, 1e9, 0.5), (100.0, 100.0)),
            ((0.0, 1.0, 1e9, 0.0), (0.0, 0.0)),
        ):
            front_end = FrontEnd(workers=8)
            request = first_decision(front_end.submit(policy=make_policy(backoff=backoff))).request
            for wait in waits:
                with self.subTest(backoff=backoff, wait=wait):
                    done, ended_at = front_end.finish_attempt(request, "full", final=False), front_end.clock
                    for _ in range(2000):
                        if done:
                            break
                        front_end.clock += 1
                        front_end.router.advance(front_end.clock)
                        done = front_end.take_decisions() if front_end.clock >= front_end.router.wake_at else []
                    self.assertIn("forward", decision_names(done))
                    elapsed = front_end.clock - ended_at
                    self.assertGreaterEqual(elapsed, wait)
                    self.assertLessEqual(elapsed, wait * (1 + backoff[3]) + 50)

    def test_backoff_beyond_the_deadline(self):
        """A request whose backoff would exceed its deadline is answered before the deadline."""
        front_end = FrontEnd(workers=8)
        request = first_decision(
            front_end.submit(time_left=1000.0, policy=make_policy(backoff=(5000.0, 1.0, 1e9, 0.0)))
        ).request
        front_end.finish_attempt(request, "full", final=False)
        self.assertIn("reject", decision_names(front_end.advance_time(1000)))

    def test_retry_budget(self):
        """Retries are limited to the floor plus the share of the requests within the window, which moves on."""
        front_end = FrontEnd(workers=8)
        policy = make_policy(budget_terms=(10000.0, 0.1, 2.0))

        def count_retries(many):
            attempt_count = 0
            for _ in range(many):
                done = front_end.submit(f"p{front_end.ids % 5}", policy=policy)
                request = first_decision(done).request
                attempt_count += time_out_attempts(front_end, request)
            return attempt_count - many

        self.assertEqual(count_retries(100), 2 + 10)
        self.assertEqual(count_retries(50), 5)
        front_end.clock += 10001
        self.assertEqual(count_retries(1), 2)

    def test_routes_have_separate_retry_budgets(self):
        """Retries of one route do not use the budget of another."""
        front_end = FrontEnd(workers=8)
        poor, rich = (
            make_policy(budget_terms=(1e4, 0.0, floor), budget_key=name)
            for name, floor in (("poor", 1.0), ("rich", 9.0))
        )
        for policy, attempt_count in ((poor, 2), (poor, 1), (rich, 3), (poor, 1), (rich, 3)):
            request = first_decision(front_end.submit(policy=policy)).request
            self.assertEqual(time_out_attempts(front_end, request), attempt_count)

    def test_retry_budget_persists_across_reloads(self):
        """Requests received before and after a reload of their route share its retry budget."""
        front_end = FrontEnd(workers=8)
        before, after = (
            make_policy(budget_terms=(1e4, 0.5, 0.0), budget_key=name, priority=at)
            for at, name in enumerate(("r", "r"))
        )
        old = first_decision(front_end.submit(policy=before)).request
        for _ in range(3):
            front_end.finish_attempt(first_decision(front_end.submit(policy=after)).request, "ok", final=True)
        self.assertEqual(time_out_attempts(front_end, old), 3)
        self.assertEqual(time_out_attempts(front_end, first_decision(front_end.submit(policy=after)).request), 1)

    def test_timeouts_lower_the_limits(self):
        """(outcome, policy, utilization) -> whether the concurrency limits are lowered.

        Attempts that end by their route's timeout count as late answers. Cancelled attempts, errors and attempts that
        end by the request's own deadline do not count.
        """
        for outcome, policy, utilization, lowered in (
            ("timeout", make_policy(attempts=1), 0.95, True),
            ("timeout", make_policy(attempts=3), 0.95, True),
            ("timeout", make_policy(attempts=1), 0.5, False),
            ("cancelled", make_policy(attempts=1), 0.95, False),
            ("error", make_policy(attempts=1), 0.95, False),
            ("timeout", None, 0.95, False),
            ("timeout", make_policy(attempts=1, attempt_timeout=None), 0.95, False),
        ):
            with self.subTest(outcome=outcome, policy=policy, utilization=utilization):
                front_end = FrontEnd(workers=1)
                front_end.serve_requests(count=8)
                worker = front_end.router.workers["a"]
                before = worker.concurrency_limit, front_end.router.global_concurrency.concurrency_limit
                for _ in range(12):
                    front_end.router.health_checked("a", "ok", front_end.load_report(utilization, 4.0))
                    open_requests = [d.request for d in front_end.submit(policy=policy) if isinstance(d, Forward)]
                    while open_requests and not open_requests[0].closed:
                        front_end.clock += 120.0
                        front_end.finish_attempt(open_requests[0], outcome, final=policy is None)
                self.assertEqual(
                    (
                        worker.concurrency_limit < before[0],
                        front_end.router.global_concurrency.concurrency_limit < before[1],
                    ),
                    (lowered, lowered),
                )

    def test_hedging(self):
        """(hedging allowed, effect, hedge policy, ms passed) -> attempts in flight, each at a worker of its own.

        There are never more than the hedge tokens allow.
        """
        for hedging_allowed, effect, hedge, ms, attempts_in_flight in (
            (True, "idempotent", (200.0, 2, 1.0), 150, 1),
            (True, "idempotent", (200.0, 2, 1.0), 300, 2),
            (True, "idempotent", (200.0, 3, 1.0), 300, 2),
            (False, "idempotent", (200.0, 2, 1.0), 300, 1),
            (True, "side-effecting", (200.0, 2, 1.0), 300, 1),
            (True, "tokened", (200.0, 2, 1.0), 300, 2),
            (True, "idempotent", (200.0, 2, 0.5), 300, 1),
            (True, "idempotent", None, 300, 1),
        ):
            with self.subTest(hedging_allowed=hedging_allowed, effect=effect, hedge=hedge, ms=ms):
                front_end = FrontEnd(workers=6, hedging=hedging_allowed, effect=effect)
                request = first_decision(front_end.submit(policy=make_policy(hedge=hedge))).request
                front_end.advance_time(ms)
                workers = [attempt.replica.worker for attempt in request.attempts if attempt.outcome is None]
                self.assertEqual(len(workers), attempts_in_flight)
                self.assertEqual(len(set(workers)), attempts_in_flight)

    def test_first_answer_wins(self):
        """The first answer cancels the other attempt, whose answer is ignored; an error leaves the other in flight."""
        for first_answer, decisions in ((("ok", 0), ["cancel"]), (("ok", 1), ["cancel"]), (("error", 0), [])):
            with self.subTest(first_answer=first_answer):
                front_end = FrontEnd(workers=6, hedging=True)
                request = first_decision(front_end.submit(policy=make_policy(hedge=(200.0, 2, 1.0)))).request
                front_end.advance_time(300)
                outcome, number = first_answer
                self.assertEqual(decision_names(front_end.finish_attempt(request, outcome, number)), decisions)
                self.assertEqual(decision_names(front_end.finish_attempt(request, "ok", 1 - number, final=True)), [])
                self.assertNotIn(request.ident, front_end.router.requests)

    def test_queue_and_priority(self):
        """Requests that wait for their first attempt are rejected after the queue timeout; priorities go first."""
        front_end = FrontEnd(workers=1, prewarm_outcome=None)  # no prewarm may add a second replica
        front_end.concurrency = 1
        served = front_end.serve_requests(count=5)
        self.assertTrue(forwarded_to(served))
        low, high = (
            make_policy(priority=0, queue_timeout=2000.0, latency_objective=3000.0),
            make_policy(priority=5, queue_timeout=2000.0, latency_objective=3000.0),
        )
        short = make_policy(queue_timeout=120.0, latency_objective=3000.0)
        attempts_in_flight = [first_decision(front_end.submit(policy=high)).request]
        for policy in (low, low, high, short):
            front_end.submit(policy=policy)
        waiting = list(front_end.router.dispatcher.waiting_requests)
        self.assertEqual(len(waiting), 4)
        self.assertEqual(decision_names(front_end.advance_time(100)).count("reject"), 0)
        self.assertIn("reject", decision_names(front_end.advance_time(100)))
        front_end.finish_attempt(attempts_in_flight[0])
        done = front_end.advance_time(100)
        self.assertEqual(first_decision(done).request.route_policy.priority, 5)


if __name__ == "__main__":
    unittest.main()
