"""Tests of the router's decisions after an attempt has ended: retries, rejections, answers and cancellations."""

import unittest
from dataclasses import replace

from tests.helpers import FrontEnd, decision_names, forwarded_to, listed_endpoint
from wickdyke.routing.decisions import Cancel, Forward, Prewarm, Reject
from wickdyke.routing.inputs import AttemptFinished, RequestReceived

NEVER_RAN = ("full", "unreached", "miss")
MAY_HAVE_RUN = ("error", "timeout", "cut", "cancelled")


class RetriesTest(unittest.TestCase):
    """Retries, rejections, answers and cancellations after an attempt has ended."""

    def test_decision_after_an_outcome(self):
        """(effect, scope, outcome of the first attempt) -> the decision that follows."""
        cases = [("idempotent", "all", outcome, "forward") for outcome in NEVER_RAN + MAY_HAVE_RUN]
        cases += [("side-effecting", "all", outcome, "forward") for outcome in NEVER_RAN]
        cases += [("side-effecting", "all", outcome, "fail") for outcome in MAY_HAVE_RUN]
        cases += [("tokened", "all", outcome, "forward") for outcome in NEVER_RAN + MAY_HAVE_RUN]
        cases += [("tokened", "zone", "error", "fail"), ("tokened", "cell", "cut", "fail")]
        for effect, scope, outcome, decision in cases:
            with self.subTest(effect=effect, scope=scope, outcome=outcome):
                endpoints = [listed_endpoint(name, zone=at, cell=at) for at, name in enumerate("abc")]
                front_end = FrontEnd(effect=effect, scope=scope, endpoints=endpoints)
                request = front_end.submit()[0].request
                if scope != "all":  # the only worker within the scope is excluded
                    endpoints = [
                        listed_endpoint("abc"[at], zone=at, cell=at, state="draining")
                        for at in range(3)
                        if "abc"[at] == request.attempts[0].replica.worker.endpoint.ident
                    ]
                    front_end.update_endpoints(endpoints, whole=False)
                decisions = front_end.finish_attempt(request, outcome) or front_end.advance_time(2500)
                self.assertEqual(
                    [v for v in decision_names(decisions) if v not in ("prewarm", "cancel")][:1], [decision]
                )

    def test_deduplication_window(self):
        """No retry after the deduplication window has passed; the request is then rejected, as all workers
        deduplicate."""
        for wait, decision in ((1900.0, "forward"), (2100.0, "reject")):
            with self.subTest(wait=wait):
                front_end = FrontEnd(effect="tokened")
                request = front_end.submit()[0].request
                front_end.clock += wait
                self.assertIn(decision, decision_names(front_end.finish_attempt(request, "error")))

    def test_every_request_gets_one_answer(self):
        """(workers, outcome of each attempt, effect) -> the final answer, in time and only once."""
        for workers, outcome, effect, decision in (
            (0, None, "idempotent", "reject"),
            (0, None, "side-effecting", "reject"),
            (2, "full", "side-effecting", "reject"),
            (2, "full", "idempotent", "reject"),
            (2, "unreached", "idempotent", "reject"),
            (2, "timeout", "side-effecting", "fail"),
        ):
            with self.subTest(workers=workers, outcome=outcome, effect=effect):
                front_end = FrontEnd(workers=workers, effect=effect)
                decisions, start = front_end.submit(), front_end.clock
                for _ in range(200):
                    request = front_end.router.requests.get(1)
                    if request and request.attempts and request.attempts[-1].outcome is None:
                        front_end.clock += 1
                        decisions += front_end.finish_attempt(request, outcome)
                    decisions += front_end.advance_time(50)
                self.assertEqual([v for v in decision_names(decisions) if v in ("reject", "fail")], [decision])
                self.assertLess(decision_names(decisions).count("forward"), 5)
                self.assertGreater(front_end.clock, start + 4000)
                self.assertFalse(front_end.router.requests)

    def test_deadline_timeout_is_answered_at_once(self):
        for effect, decision in (("idempotent", "reject"), ("side-effecting", "fail")):
            with self.subTest(effect=effect):
                front_end = FrontEnd(effect=effect)
                request = front_end.submit()[0].request
                front_end.clock += 4000
                self.assertIn(decision, decision_names(front_end.finish_attempt(request, "timeout")))

    def test_no_new_work_for_draining_or_removed_workers(self):
        """From the update of the list on, the worker is sent neither requests nor prewarms."""
        for state, whole in (("draining", False), ("gone", False), ("missing", True)):
            with self.subTest(state=state):
                front_end = FrontEnd(workers=3)
                first = forwarded_to(front_end.serve_requests())[-1]
                endpoints = (
                    [listed_endpoint(first, state=state)]
                    if not whole
                    else [listed_endpoint(n) for n in "abc" if n != first]
                )
                front_end.update_endpoints(endpoints, whole=whole)
                decisions = front_end.serve_requests(count=30) + front_end.advance_time(3000)
                self.assertNotIn(first, forwarded_to(decisions))
                self.assertNotIn(first, [d.worker.endpoint.ident for d in decisions if isinstance(d, Prewarm)])

    def test_retries_after_rejections_use_different_workers(self):
        front_end = FrontEnd(workers=3)
        request = front_end.submit()[0].request
        decisions = front_end.finish_attempt(request, "full") + front_end.finish_attempt(request, "full")
        self.assertEqual(len({attempt.replica.worker for attempt in request.attempts}), 3)
        self.assertEqual(decision_names(decisions)[:2], ["forward", "forward"])

    def test_withdraws_attempts_from_silent_ejected_workers(self):
        """(effect, whether the worker is ejected, whether it answered others since, workers) -> attempt withdrawn.

        An attempt stays at a slow worker, which may continue the work, and at the only worker.
        """
        for effect, ejected, answered, workers, withdrawn in (
            ("idempotent", True, False, 2, True),
            ("idempotent", False, False, 2, False),
            ("idempotent", False, True, 2, False),
            ("idempotent", True, True, 2, False),
            ("idempotent", True, False, 1, False),
            ("side-effecting", True, False, 2, False),
        ):
            with self.subTest(effect=effect, ejected=ejected, answered=answered, workers=workers):
                front_end = FrontEnd(workers=workers, effect=effect)
                front_end.serve_requests(count=20)
                request = front_end.submit()[0].request
                decisions = front_end.advance_time(100)
                if answered:
                    front_end.finish_attempt(next(d.request for d in front_end.submit() if isinstance(d, Forward)))
                if ejected:
                    front_end.router.outliers.eject(request.attempts[0].replica.worker, front_end.clock, "test")
                decisions += front_end.advance_time(1000)
                cancelled = [d.attempt for d in decisions if isinstance(d, Cancel)]
                self.assertEqual(request.attempts[0] in cancelled, withdrawn)

    def test_rejected_once_the_usual_latency_no_longer_fits(self):
        """(slowdown of all requests) -> ms after which a request without a free worker is rejected."""
        for slowdown, earliest, latest in ((1.0, 500, 800), (5.0, 0, 400)):
            with self.subTest(slowdown=slowdown):
                front_end = FrontEnd(workers=1)
                front_end.serve_requests(count=40)
                front_end.router.schedule.next_at = float("inf")
                front_end.router.latency.average_slowdown = slowdown
                front_end.router.workers["a"].concurrency_limit = 0.0
                front_end.router.dispatcher.limits = replace(front_end.router.dispatcher.limits, retry_after=300.0)
                start, decisions = front_end.clock, front_end.submit()
                while "reject" not in decision_names(decisions):
                    decisions = front_end.advance_time(50)
                self.assertTrue(earliest <= front_end.clock - start <= latest, front_end.clock - start)
                self.assertTrue(0.0 < next(d.retry_after for d in decisions if isinstance(d, Reject)) <= 300.0)

    def test_requests_that_would_be_late_at_a_full_worker_are_rejected_at_once(self):
        """(utilization, requests in flight there, age of the report in ms, loads on demand) -> the decision."""
        for utilization, in_flight, age, on_demand, decision in (
            (0.95, 60.0, 0, False, "reject"),
            (0.5, 60.0, 0, False, "forward"),
            (0.95, 1.0, 0, False, "forward"),
            (0.95, 60.0, 5000, False, "forward"),
            (0.95, 60.0, 0, True, "forward"),
        ):
            with self.subTest(utilization=utilization, in_flight=in_flight, age=age, on_demand=on_demand):
                front_end = FrontEnd(workers=1, loads_on_demand=on_demand)
                front_end.serve_requests(count=20)
                front_end.router.latency.record_report(
                    front_end.router.workers["a"], front_end.load_report(utilization, in_flight), front_end.clock - age
                )
                self.assertIn(decision, decision_names(front_end.submit()))

    def test_answers_within_one_reading_of_the_clock(self):
        """Attempts that took no time by the clock must not break later estimates, placements and selections."""
        for reports in (True, False):
            for work in (None, 50.0):
                with self.subTest(reports=reports, work=work):
                    front_end = FrontEnd(workers=2, reports_concurrency=reports)
                    for number in range(200):
                        front_end.router.advance(front_end.clock)
                        front_end.router.request_received(
                            RequestReceived(
                                1000 + number, 4000.0, front_end.request_class, "p", 4000.0, 2, None, work, False
                            )
                        )
                        for request in [d.request for d in front_end.take_decisions() if isinstance(d, Forward)]:
                            front_end.router.attempt_finished(
                                AttemptFinished(
                                    request.ident, 0, "ok", True, "stood", 3, front_end.load_report(0.5, 2.0)
                                )
                            )
                        front_end.take_decisions()
                        if number % 20 == 0:
                            front_end.advance_time(1000, step=500.0)
                    self.assertGreater(front_end.router.latency.average_slowdown, 0.0)
                    self.assertTrue(front_end.router.latency.usual_work(front_end.router.functions["p"]) > 0.0)
                    self.assertIn("forward", decision_names(front_end.submit()))


if __name__ == "__main__":
    unittest.main()
