"""What follows the end of an attempt: retries, rejections, answers and cancellations."""

import unittest
from dataclasses import replace

from tests.helpers import Fleet, called, row, verbs
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
                rows = [row(name, zone=at, cell=at) for at, name in enumerate("abc")]
                fleet = Fleet(effect=effect, scope=scope, endpoints=rows)
                request = fleet.take()[0].request
                if scope != "all":  # the one worker of the group is not to be used
                    rows = [
                        row("abc"[at], zone=at, cell=at, state="draining")
                        for at in range(3)
                        if "abc"[at] == request.attempts[0].replica.worker.endpoint.ident
                    ]
                    fleet.list(rows, whole=False)
                decisions = fleet.end(request, outcome) or fleet.pass_time(2500)
                self.assertEqual([v for v in verbs(decisions) if v not in ("prewarm", "cancel")][:1], [verb])

    def test_tokened_window(self):
        """No repeat once the workers have forgotten the mark; a denial where all drop repeats."""
        for wait, verb in ((1900.0, "forward"), (2100.0, "reject")):
            with self.subTest(wait=wait):
                fleet = Fleet(effect="tokened")
                request = fleet.take()[0].request
                fleet.clock += wait
                self.assertIn(verb, verbs(fleet.end(request, "error")))

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
                fleet = Fleet(workers=workers, effect=effect)
                decisions, start = fleet.take(), fleet.clock
                for _ in range(200):
                    request = fleet.router.requests.get(1)
                    if request and request.attempts and request.attempts[-1].outcome is None:
                        fleet.clock += 1
                        decisions += fleet.end(request, outcome)
                    decisions += fleet.pass_time(50)
                self.assertEqual([v for v in verbs(decisions) if v in ("reject", "fail")], [verb])
                self.assertLess(verbs(decisions).count("forward"), 5)
                self.assertGreater(fleet.clock, start + 4000)
                self.assertFalse(fleet.router.requests)

    def test_deadline_timeout_is_answered_at_once(self):
        for effect, verb in (("idempotent", "reject"), ("side-effecting", "fail")):
            with self.subTest(effect=effect):
                fleet = Fleet(effect=effect)
                request = fleet.take()[0].request
                fleet.clock += 4000
                self.assertIn(verb, verbs(fleet.end(request, "timeout")))

    def test_drains(self):
        """From the moment of being told nothing new goes there, neither request nor hold."""
        for state, whole in (("draining", False), ("gone", False), ("missing", True)):
            with self.subTest(state=state):
                fleet = Fleet(workers=3)
                first = called(fleet.serve())[-1]
                rows = [row(first, state=state)] if not whole else [row(n) for n in "abc" if n != first]
                fleet.list(rows, whole=whole)
                decisions = fleet.serve(calls=30) + fleet.pass_time(3000)
                self.assertNotIn(first, called(decisions))
                self.assertNotIn(first, [d.worker.endpoint.ident for d in decisions if isinstance(d, Prewarm)])

    def test_spills_on_full_and_not_to_the_same(self):
        fleet = Fleet(workers=3)
        request = fleet.take()[0].request
        decisions = fleet.end(request, "full") + fleet.end(request, "full")
        self.assertEqual(len({attempt.replica.worker for attempt in request.attempts}), 3)
        self.assertEqual(verbs(decisions)[:2], ["forward", "forward"])

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
                fleet = Fleet(workers=workers, effect=effect)
                fleet.serve(calls=20)
                request = fleet.take()[0].request
                decisions = fleet.pass_time(100)
                if heard:
                    fleet.end(next(d.request for d in fleet.take() if isinstance(d, Forward)))
                if ejected:
                    fleet.router.outliers.eject(request.attempts[0].replica.worker, fleet.clock, "test")
                decisions += fleet.pass_time(1000)
                cancelled = [d.attempt for d in decisions if isinstance(d, Cancel)]
                self.assertEqual(request.attempts[0] in cancelled, back)

    def test_denied_once_its_usual_latency_no_longer_fits(self):
        """(times that all requests take of their due) -> ms after which one that finds no room is denied."""
        for slow, earliest, latest in ((1.0, 500, 800), (5.0, 0, 400)):
            with self.subTest(slow=slow):
                fleet = Fleet(workers=1)
                fleet.serve(calls=40)
                fleet.router.schedule.next_at = float("inf")
                fleet.router.latency.average_slowdown = slow
                fleet.router.workers["a"].concurrency_limit = 0.0
                fleet.router.dispatcher.limits = replace(fleet.router.dispatcher.limits, retry_after=300.0)
                start, decisions = fleet.clock, fleet.take()
                while "reject" not in verbs(decisions):
                    decisions = fleet.pass_time(50)
                self.assertTrue(earliest <= fleet.clock - start <= latest, fleet.clock - start)
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
                fleet = Fleet(workers=1, loads_on_demand=on_call)
                fleet.serve(calls=20)
                fleet.router.latency.record_report(
                    fleet.router.workers["a"], fleet.reported(busy, held), fleet.clock - age
                )
                self.assertIn(verb, verbs(fleet.take()))

    def test_answers_within_one_reading_of_the_clock(self):
        """Attempts that took no time at all by the clock leave every later placement and choice possible."""
        for tells in (True, False):
            for work in (None, 50.0):
                with self.subTest(tells=tells, work=work):
                    fleet = Fleet(workers=2, reports_concurrency=tells)
                    for number in range(200):
                        fleet.router.advance(fleet.clock)
                        fleet.router.request_received(
                            RequestReceived(
                                1000 + number, 4000.0, fleet.request_class, "p", 4000.0, 2, None, work, False
                            )
                        )
                        for request in [d.request for d in fleet.pull() if isinstance(d, Forward)]:
                            fleet.router.attempt_finished(
                                AttemptFinished(request.ident, 0, "ok", True, "stood", 3, fleet.reported(0.5, 2.0))
                            )
                        fleet.pull()
                        if number % 20 == 0:
                            fleet.pass_time(1000, step=500.0)
                    self.assertGreater(fleet.router.latency.average_slowdown, 0.0)
                    self.assertTrue(fleet.router.latency.usual_work(fleet.router.functions["p"]) > 0.0)
                    self.assertIn("forward", verbs(fleet.take()))


if __name__ == "__main__":
    unittest.main()
