"""What the router does by a route's policy: attempts, backoff, outcomes, hedging, budgets, queueing, priority."""

import unittest

from tests.helpers import Fleet, called, verbs
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


def timing(**more):
    """A route's policy; those of its fields that are records are given as tuples."""
    fields = {**PLAIN, **more}
    records = {name: kind(*fields[name]) for name, kind in RECORDS.items() if fields[name] is not None}
    return RoutePolicy(**{**fields, **records})


def first(decisions, verb="forward"):
    return next(d for d, word in zip(decisions, verbs(decisions), strict=True) if word == verb)


def fail(fleet, request):
    """Each attempt times out until the request is closed; how many there were."""
    for calls in range(1, 20):
        fleet.end(request, "timeout", final=False)
        if request.closed:
            return calls
    raise AssertionError("never closed")


class Attempts(unittest.TestCase):
    def test_patience(self):
        """A attempt goes out with its attempt's time; without a route with none."""
        fleet = Fleet()
        self.assertEqual(first(fleet.take(policy=timing())).timeout, 500.0)
        self.assertIsNone(first(fleet.take()).timeout)

    def test_outcomes(self):
        """(outcomes one after another, timing, effect) -> attempts in all, and the final answer."""
        for outcomes, more, effect, calls, final in (
            (["timeout"] * 5, {}, "idempotent", 3, "reject"),
            (["timeout"] * 5, {"attempts": 1}, "idempotent", 1, "reject"),
            (["timeout"] * 5, {"attempts": 9}, "idempotent", 4, "reject"),  # the deployment's own most
            (["error"], {}, "idempotent", 1, "reject"),
            (["error"] * 5, {"retryable": frozenset({"error"})}, "idempotent", 3, "reject"),
            (["full", "error"], {}, "idempotent", 2, "reject"),
            (["full", "full", "error"], {}, "side-effecting", 3, "fail"),
            (["timeout"], {}, "side-effecting", 1, "fail"),  # asked for past the check: rule 2 stands above
            (["full"] * 5, {}, "side-effecting", 3, "reject"),
            (["cancelled", "full", "full"], {"retryable": frozenset()}, "idempotent", 2, "reject"),
        ):
            with self.subTest(outcomes=outcomes, more=more, effect=effect):
                fleet = Fleet(workers=8, effect=effect, attempts=4)
                done = fleet.take(policy=timing(**more))
                request, all_done = first(done).request, list(done)
                for outcome in outcomes:
                    if request.closed:
                        break
                    all_done += fleet.end(request, outcome, final=False)
                self.assertEqual((verbs(all_done).count("forward"), verbs(all_done)[-1]), (calls, final))

    def test_pauses(self):
        """The nth further attempt waits its pause, grown and bounded, and is sent within a look of it."""
        for pause, least in (
            ((100.0, 2.0, 1e9, 0.0), (100.0, 200.0)),
            ((100.0, 3.0, 150.0, 0.0), (100.0, 150.0)),
            ((100.0, 1.0, 1e9, 0.5), (100.0, 100.0)),
            ((0.0, 1.0, 1e9, 0.0), (0.0, 0.0)),
        ):
            fleet = Fleet(workers=8)
            request = first(fleet.take(policy=timing(backoff=pause))).request
            for wait in least:
                with self.subTest(pause=pause, wait=wait):
                    done, ended = fleet.end(request, "full", final=False), fleet.clock
                    for _ in range(2000):
                        if done:
                            break
                        fleet.clock += 1
                        fleet.router.advance(fleet.clock)
                        done = fleet.pull() if fleet.clock >= fleet.router.wake_at else []
                    self.assertIn("forward", verbs(done))
                    took = fleet.clock - ended
                    self.assertGreaterEqual(took, wait)
                    self.assertLessEqual(took, wait * (1 + pause[3]) + 50)

    def test_pause_past_the_end(self):
        """A request whose pause would outlast it is answered before its time is up."""
        fleet = Fleet(workers=8)
        request = first(fleet.take(time_left=1000.0, policy=timing(backoff=(5000.0, 1.0, 1e9, 0.0)))).request
        fleet.end(request, "full", final=False)
        self.assertIn("reject", verbs(fleet.pass_time(1000)))

    def test_budget(self):
        """Retries are at most the floor and the share of the requests within the window; then none; then again."""
        fleet = Fleet(workers=8)
        terms = timing(budget_terms=(10000.0, 0.1, 2.0))

        def failing(many):
            calls = 0
            for _ in range(many):
                done = fleet.take(f"p{fleet.ids % 5}", policy=terms)
                request = first(done).request
                calls += fail(fleet, request)
            return calls - many

        self.assertEqual(failing(100), 2 + 10)
        self.assertEqual(failing(50), 5)
        fleet.clock += 10001
        self.assertEqual(failing(1), 2)

    def test_budgets_apart(self):
        """Each route pays for itself."""
        fleet = Fleet(workers=8)
        poor, rich = (
            timing(budget_terms=(1e4, 0.0, floor), budget_key=name) for name, floor in (("poor", 1.0), ("rich", 9.0))
        )
        for terms, calls in ((poor, 2), (poor, 1), (rich, 3), (poor, 1), (rich, 3)):
            request = first(fleet.take(policy=terms)).request
            self.assertEqual(fail(fleet, request), calls)

    def test_budget_goes_on(self):
        """After a reload, requests of the route as it is now pay for an earlier one, and it pays for them."""
        fleet = Fleet(workers=8)
        before, after = (
            timing(budget_terms=(1e4, 0.5, 0.0), budget_key=name, priority=at) for at, name in enumerate(("r", "r"))
        )
        old = first(fleet.take(policy=before)).request
        for _ in range(3):
            fleet.end(first(fleet.take(policy=after)).request, "ok", final=True)
        self.assertEqual(fail(fleet, old), 3)
        self.assertEqual(fail(fleet, first(fleet.take(policy=after)).request), 1)

    def test_time_outs_lower_the_limits(self):
        """(outcome, terms, busy share, standing) -> whether the limits on our attempts fall: a route's attempts that
        are over say that answers are late, though none was; a cancel, a request's own end and a load say nothing."""
        for outcome, terms, busy, lowered in (
            ("timeout", timing(attempts=1), 0.95, True),
            ("timeout", timing(attempts=3), 0.95, True),
            ("timeout", timing(attempts=1), 0.5, False),
            ("cancelled", timing(attempts=1), 0.95, False),
            ("error", timing(attempts=1), 0.95, False),
            ("timeout", None, 0.95, False),
            ("timeout", timing(attempts=1, attempt_timeout=None), 0.95, False),
        ):
            with self.subTest(outcome=outcome, terms=terms, busy=busy):
                fleet = Fleet(workers=1)
                fleet.serve(calls=8)
                worker = fleet.router.workers["a"]
                before = worker.concurrency_limit, fleet.router.global_concurrency.concurrency_limit
                for _ in range(12):
                    fleet.router.health_checked("a", "ok", fleet.reported(busy, 4.0))
                    called = [d.request for d in fleet.take(policy=terms) if isinstance(d, Forward)]
                    while called and not called[0].closed:
                        fleet.clock += 120.0
                        fleet.end(called[0], outcome, final=terms is None)
                self.assertEqual(
                    (
                        worker.concurrency_limit < before[0],
                        fleet.router.global_concurrency.concurrency_limit < before[1],
                    ),
                    (lowered, lowered),
                )

    def test_second_copies(self):
        """(overlap, effect, second, time passed) -> attempts out; never more than saved up, never at one worker."""
        for overlap, effect, second, ms, out in (
            (True, "idempotent", (200.0, 2, 1.0), 150, 1),
            (True, "idempotent", (200.0, 2, 1.0), 300, 2),
            (True, "idempotent", (200.0, 3, 1.0), 300, 2),
            (False, "idempotent", (200.0, 2, 1.0), 300, 1),
            (True, "side-effecting", (200.0, 2, 1.0), 300, 1),
            (True, "tokened", (200.0, 2, 1.0), 300, 2),
            (True, "idempotent", (200.0, 2, 0.5), 300, 1),
            (True, "idempotent", None, 300, 1),
        ):
            with self.subTest(overlap=overlap, effect=effect, second=second, ms=ms):
                fleet = Fleet(workers=6, hedging=overlap, effect=effect)
                request = first(fleet.take(policy=timing(hedge=second))).request
                fleet.pass_time(ms)
                workers = [attempt.replica.worker for attempt in request.attempts if attempt.outcome is None]
                self.assertEqual(len(workers), out)
                self.assertEqual(len(set(workers)), out)

    def test_first_answer_wins(self):
        """The loser is cancelled; its answer on the way changes nothing; a failed one leaves the other out."""
        for begins, want in ((("ok", 0), ["cancel"]), (("ok", 1), ["cancel"]), (("error", 0), [])):
            with self.subTest(begins=begins):
                fleet = Fleet(workers=6, hedging=True)
                request = first(fleet.take(policy=timing(hedge=(200.0, 2, 1.0)))).request
                fleet.pass_time(300)
                outcome, number = begins
                self.assertEqual(verbs(fleet.end(request, outcome, number)), want)
                self.assertEqual(verbs(fleet.end(request, "ok", 1 - number, final=True)), [])
                self.assertNotIn(request.ident, fleet.router.requests)

    def test_queue_and_priority(self):
        """What waits for a first place is denied after its queueing time; the dearest by priority goes first."""
        fleet = Fleet(workers=1, prewarm_outcome=None)  # a placement may order a second copy: it is to have one lane
        fleet.concurrency = 1
        served = fleet.serve(calls=5)
        self.assertTrue(called(served))
        low, high = (
            timing(priority=0, queue_timeout=2000.0, latency_objective=3000.0),
            timing(priority=5, queue_timeout=2000.0, latency_objective=3000.0),
        )
        short = timing(queue_timeout=120.0, latency_objective=3000.0)
        out = [first(fleet.take(policy=high)).request]
        for terms in (low, low, high, short):
            fleet.take(policy=terms)
        waiting = list(fleet.router.dispatcher.waiting)
        self.assertEqual(len(waiting), 4)
        self.assertEqual(verbs(fleet.pass_time(100)).count("reject"), 0)
        self.assertIn("reject", verbs(fleet.pass_time(100)))
        fleet.end(out[0])
        done = fleet.pass_time(100)
        self.assertEqual(first(done).request.route_policy.priority, 5)


if __name__ == "__main__":
    unittest.main()
