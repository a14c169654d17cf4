"""What follows the end of an attempt: retries, rejections, answers and cancellations."""

import unittest
from dataclasses import replace

from tests.helpers import FrontEnd, decision_names, forwarded_to, listed_endpoint
from wickdyke.routing.decisions import Cancel, Forward, Prewarm, Reject
from wickdyke.routing.inputs import AttemptFinished, RequestReceived

NEVER = ("full", "unreached", "miss")
MAYBE = ("error", "timeout", "cut", "cancelled")


class RetriesTest(unittest.TestCase):
    """What follows the end of an attempt: retries, rejections, answers and cancellations."""

    def test_what_follows_an_outcome(self):
        """(effect, scope, outcome) -> the verbs that may follow the first attempt."""
        cases = [("idempotent", "all", outcome, "forward") for outcome in NEVER + MAYBE]
        cases += [("side-effecting", "all", outcome, "forward") for outcome in NEVER]
        cases += [("side-effecting", "all", outcome, "fail") for outcome in MAYBE]
        cases += [("tokened", "all", outcome, "forward") for outcome in NEVER + MAYBE]
        cases += [("tokened", "zone", "error", "fail"), ("tokened", "cell", "cut", "fail")]
        for effect, scope, outcome, verb in cases:
            with self.subTest(effect=effect, scope=scope, outcome=outcome):
                endpoints = [listed_endpoint(name, zone=at, cell=at) for at, name in enumerate("abc")]
                front_end = FrontEnd(effect=effect, scope=scope, endpoints=endpoints)
                request = front_end.submit()[0].request
                if scope != "all":  # the one worker of the group is not to be used
                    endpoints = [
                        listed_endpoint("abc"[at], zone=at, cell=at, state="draining")
                        for at in range(3)
                        if "abc"[at] == request.attempts[0].replica.worker.endpoint.ident
                    ]
                    front_end.update_endpoints(endpoints, whole=False)
                decisions = front_end.finish_attempt(request, outcome) or front_end.advance_time(2500)
                self.assertEqual([v for v in decision_names(decisions) if v not in ("prewarm", "cancel")][:1], [verb])

    def test_tokened_window(self):
        """No repeat once the workers have forgotten the mark; a denial where all drop repeats."""
        for wait, verb in ((1900.0, "forward"), (2100.0, "reject")):
            with self.subTest(wait=wait):
                front_end = FrontEnd(effect="tokened")
                request = front_end.submit()[0].request
                front_end.clock += wait
                self.assertIn(verb, decision_names(front_end.finish_attempt(request, "error")))

    def test_every_rpc_gets_one_answer(self):
        """(workers, what each attempt comes to) -> the last word, in time and only once."""
        for workers, outcome, effect, verb in (
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
                self.assertEqual([v for v in decision_names(decisions) if v in ("reject", "fail")], [verb])
                self.assertLess(decision_names(decisions).count("forward"), 5)
                self.assertGreater(front_end.clock, start + 4000)
                self.assertFalse(front_end.router.requests)

    def test_deadline_timeout_is_answered_at_once(self):
        for effect, verb in (("idempotent", "reject"), ("side-effecting", "fail")):
            with self.subTest(effect=effect):
                front_end = FrontEnd(effect=effect)
                request = front_end.submit()[0].request
                front_end.clock += 4000
                self.assertIn(verb, decision_names(front_end.finish_attempt(request, "timeout")))

    def test_drains(self):
        """From the moment of being told nothing new goes there, neither request nor hold."""
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

    def test_spills_on_full_and_not_to_the_same(self):
        front_end = FrontEnd(workers=3)
        request = front_end.submit()[0].request
        decisions = front_end.finish_attempt(request, "full") + front_end.finish_attempt(request, "full")
        self.assertEqual(len({attempt.replica.worker for attempt in request.attempts}), 3)
        self.assertEqual(decision_names(decisions)[:2], ["forward", "forward"])

    def test_takes_rpcs_back_from_a_shunned_worker_that_says_nothing(self):
        """(effect, whether it is ejected, whether others were answered since, workers) -> whether the request is taken
        back: not from a slow worker, where it may run on, nor from the only one, to which it would not go again."""
        for effect, ejected, heard, workers, back in (
            ("idempotent", True, False, 2, True),
            ("idempotent", False, False, 2, False),
            ("idempotent", False, True, 2, False),
            ("idempotent", True, True, 2, False),
            ("idempotent", True, False, 1, False),
            ("side-effecting", True, False, 2, False),
        ):
            with self.subTest(effect=effect, ejected=ejected, heard=heard, workers=workers):
                front_end = FrontEnd(workers=workers, effect=effect)
                front_end.serve_requests(count=20)
                request = front_end.submit()[0].request
                decisions = front_end.advance_time(100)
                if heard:
                    front_end.finish_attempt(next(d.request for d in front_end.submit() if isinstance(d, Forward)))
                if ejected:
                    front_end.router.outliers.eject(request.attempts[0].replica.worker, front_end.clock, "test")
                decisions += front_end.advance_time(1000)
                cancelled = [d.attempt for d in decisions if isinstance(d, Cancel)]
                self.assertEqual(request.attempts[0] in cancelled, back)

    def test_denied_once_its_usual_latency_no_longer_fits(self):
        """(times that all requests take of their due) -> ms after which one that finds no room is denied."""
        for slow, earliest, latest in ((1.0, 500, 800), (5.0, 0, 400)):
            with self.subTest(slow=slow):
                front_end = FrontEnd(workers=1)
                front_end.serve_requests(count=40)
                front_end.router.schedule.next_at = float("inf")
                front_end.router.latency.average_slowdown = slow
                front_end.router.workers["a"].concurrency_limit = 0.0
                front_end.router.dispatcher.limits = replace(front_end.router.dispatcher.limits, retry_after=300.0)
                start, decisions = front_end.clock, front_end.submit()
                while "reject" not in decision_names(decisions):
                    decisions = front_end.advance_time(50)
                self.assertTrue(earliest <= front_end.clock - start <= latest, front_end.clock - start)
                self.assertTrue(0.0 < next(d.retry_after for d in decisions if isinstance(d, Reject)) <= 300.0)

    def test_what_would_be_late_at_a_full_home_is_denied_at_once(self):
        """(busy, held there, age of the report in ms, loads on demand) -> the verb."""
        for busy, held, age, on_call, verb in (
            (0.95, 60.0, 0, False, "reject"),
            (0.5, 60.0, 0, False, "forward"),
            (0.95, 1.0, 0, False, "forward"),
            (0.95, 60.0, 5000, False, "forward"),
            (0.95, 60.0, 0, True, "forward"),
        ):
            with self.subTest(busy=busy, held=held, age=age, on_call=on_call):
                front_end = FrontEnd(workers=1, loads_on_demand=on_call)
                front_end.serve_requests(count=20)
                front_end.router.latency.record_report(
                    front_end.router.workers["a"], front_end.load_report(busy, held), front_end.clock - age
                )
                self.assertIn(verb, decision_names(front_end.submit()))

    def test_answers_within_one_reading_of_the_clock(self):
        """Attempts that took no time at all by the clock leave every later placement and choice possible."""
        for tells in (True, False):
            for work in (None, 50.0):
                with self.subTest(tells=tells, work=work):
                    front_end = FrontEnd(workers=2, reports_concurrency=tells)
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
