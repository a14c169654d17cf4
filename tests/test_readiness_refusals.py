"""Workers that are not ready while the endpoint list is old, prewarms that wait for them, and the log."""

import unittest

from tests.helpers import FrontEnd, decision_names, forwarded_to, listed_endpoint
from tests.readiness_rig import ReadinessCase, asked, prewarmed
from wickdyke.routing.decisions import Forward, LogNote
from wickdyke.routing.health_checks import CHECK_EVERY
from wickdyke.routing.model import Outcome
from wickdyke.routing.prewarming import PrewarmPlan
from wickdyke.routing.readiness import MAX_ANSWER_WAIT, MAX_DISCOVERY_SILENCE, NEVER


class Refusals(ReadinessCase):
    """Workers that say that they are not ready, that don't answer, or whose process has ended."""

    def test_not_ready_is_left_out_and_the_next_is_asked_at_once(self):
        front_end = self.start_front_end(2)
        self.heard(NEVER)
        (first,) = asked(front_end.submit())
        (second,) = asked(self.answer(first, Outcome.NOT_READY))
        self.assertNotEqual(first, second)
        self.assertEqual(forwarded_to(self.answer(second)), [second])

    def test_not_ready_counts_while_discovery_is_heard_as_well(self):
        front_end = self.start_front_end(2)
        self.heard()
        self.refresh("a")
        record = front_end.router.workers["a"]
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.NOT_READY)
        self.assertEqual(set(forwarded_to(front_end.serve_requests(count=5))), {"b"})

    def test_it_is_asked_again_each_second_and_used_once_it_is_ready(self):
        front_end = self.start_front_end(1)
        self.heard(NEVER)
        front_end.submit(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        self.heard()
        self.assertEqual(asked(front_end.advance_time(CHECK_EVERY + 1000.0))[:1], ["a"])
        self.answer("a")
        self.assertTrue(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))

    def test_no_answer_asks_the_next_after_some_time(self):
        front_end = self.start_front_end(2)
        self.heard(NEVER)
        (first,) = asked(front_end.submit())
        decisions = front_end.advance_time(MAX_ANSWER_WAIT + 50.0)
        self.assertEqual(len(set(asked(decisions)) - {first}), 1)

    def test_no_worker_is_asked_twice_at_a_time(self):
        front_end = self.start_front_end(1)
        self.heard(NEVER)
        decisions = front_end.submit()
        for number in range(50):
            decisions += front_end.submit(f"function {number}")
        decisions += front_end.advance_time(200.0)
        self.assertEqual(asked(decisions), ["a"])

    def test_nothing_proves_ready_and_requests_end_in_time(self):
        front_end = self.start_front_end(2)
        self.heard(NEVER)
        decisions = front_end.submit(time_left=1000.0)
        for worker in ("a", "b"):
            decisions += self.answer(worker, Outcome.NOT_READY)
        decisions += front_end.advance_time(1000.0)
        self.assertEqual(
            [word for word in decision_names(decisions) if word in ("reject", "fail", "forward")], ["reject"]
        )

    def test_back_on_the_same_process(self):
        front_end = self.start_front_end(1)
        self.heard(NEVER)
        front_end.submit(time_left=500.0)
        self.answer("a", Outcome.NOT_READY, 10.0)
        front_end.clock += 2000.0
        self.refresh("a")
        self.assertTrue(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))
        self.assertIsNone(front_end.router.workers["a"].warming_since)

    def test_another_process_at_its_address_is_sent_nothing_until_discovery_is_heard(self):
        """It may be another worker; once discovery is heard, it counts as just started."""
        front_end = self.start_front_end(1)
        self.heard(NEVER)
        front_end.submit(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        record = front_end.router.workers["a"]
        front_end.clock += 2000.0
        new = front_end.clock - 500.0
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.OK, new)
        self.assertFalse(front_end.router.may_send(record, front_end.clock))
        self.heard()
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.OK, new)
        self.assertTrue(front_end.router.may_send(record, front_end.clock))
        self.assertEqual(record.warming_since, front_end.clock)

    def test_listed_as_restarted_it_begins_anew(self):
        front_end = self.start_front_end(1)
        self.heard(NEVER)
        front_end.submit(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        self.heard()
        front_end.update_endpoints([listed_endpoint("a", started_at=front_end.clock)], False)
        self.assertTrue(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))
        self.assertEqual(front_end.router.readiness.not_ready, {})

    def test_a_process_that_ended_while_news_may_be_missing_is_left_out(self):
        """(ms since discovery was heard) -> whether the worker is left out when its process ends."""
        for age, left_out in ((MAX_DISCOVERY_SILENCE - 1.0, False), (MAX_DISCOVERY_SILENCE, True)):
            with self.subTest(age):
                front_end = self.start_front_end(1)
                self.heard()
                front_end.clock += age
                (forwarded,) = [each for each in front_end.submit() if isinstance(each, Forward)]
                front_end.finish_attempt(forwarded.request, "cut")
                self.assertEqual(front_end.router.workers["a"].not_ready_since is not None, left_out)

    def test_a_new_process_that_was_not_seen_to_end_warms_up(self):
        front_end = self.start_front_end(1)
        self.heard()
        heard_at = front_end.clock
        self.expire()
        record = front_end.router.workers["a"]
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.OK, heard_at + 10.0)
        self.assertEqual(record.warming_since, front_end.clock)

    def test_a_new_process_that_discovery_knows_of_does_not(self):
        front_end = self.start_front_end(1)
        self.heard()
        heard_at = front_end.clock
        self.expire()
        record = front_end.router.workers["a"]
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.OK, heard_at - 10.0)
        self.assertIsNone(record.warming_since)

    def test_without_health_checks_nothing_is_sent_on_an_expired_list_and_all_after_it(self):
        front_end = FrontEnd(2)
        self.front_end = front_end
        self.heard(NEVER)
        decisions = front_end.submit() + front_end.advance_time(1000.0)
        self.assertEqual((forwarded_to(decisions), asked(decisions)), ([], []))
        self.heard()
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)


class HeldPrewarms(ReadinessCase):
    """Prewarms, which keep loaded what requests will need, while the list has expired."""

    def start(self):
        front_end = self.start_front_end(prewarm_outcome="ok")
        self.heard()
        front_end.serve_requests(count=30, ms=50.0)
        self.expire()
        return front_end

    def test_a_prewarm_waits_for_its_worker_and_then_goes_out(self):
        front_end = self.start()
        replica = next(iter(front_end.router.functions["p"].replicas))
        worker = replica.worker.endpoint.ident
        front_end.router.planned_prewarms.append(PrewarmPlan(replica, 1, False))
        decisions = front_end.take_decisions()
        self.assertEqual((prewarmed(decisions), asked(decisions)), ([], [worker]))
        self.assertEqual(prewarmed(self.answer(worker)), [worker])

    def test_it_is_dropped_where_the_worker_is_not_ready(self):
        for outcome in (Outcome.NOT_READY, Outcome.TIMEOUT, Outcome.UNSENT):
            with self.subTest(outcome):
                front_end = self.start()
                replica = next(iter(front_end.router.functions["p"].replicas))
                worker = replica.worker.endpoint.ident
                front_end.router.planned_prewarms.append(PrewarmPlan(replica, 1, False))
                front_end.take_decisions()
                self.assertNotIn(worker, prewarmed(self.answer(worker, outcome)))
                self.assertEqual(front_end.router.prewarmer.held_plans, {})

    def test_a_draining_worker_gets_none_for_as_long_as_it_is_up(self):
        """Requests go on for 30 s; one worker always says that it is not ready."""
        front_end = self.start()
        sent = []
        for _ in range(300):
            decisions = front_end.submit() + front_end.advance_time(50.0)
            while decisions:
                following = []
                sent += prewarmed(decisions) + forwarded_to(decisions)
                for worker in asked(decisions):
                    following += self.answer(worker, Outcome.NOT_READY if worker == "a" else Outcome.OK)
                for forwarded in (each for each in decisions if isinstance(each, Forward)):
                    following += front_end.finish_attempt(forwarded.request)
                decisions = following
        self.assertNotIn("a", sent)
        self.assertGreater(len(sent), 250)


class Notes(ReadinessCase):
    """The log has one line for each change."""

    def test_each_change_once(self):
        front_end = self.start_front_end(2)
        notes = []
        router = front_end.router

        def step(name, *args):
            router.advance(front_end.clock)
            if name:
                getattr(router, name)(*args)
            notes.extend(each.text for each in iter(router.decide, None) if isinstance(each, LogNote))

        step("discovery_heard", front_end.clock)
        for _ in range(60):
            front_end.clock += 50.0
            step(None)
        for _ in range(3):
            router.readiness.health_checker.check_now(router.workers["a"], front_end.clock)
            step("health_checked", "a", Outcome.OK, None, NEVER)
        for _ in range(3):
            router.readiness.health_checker.check_now(router.workers["b"], front_end.clock)
            step("health_checked", "b", Outcome.NOT_READY, None, NEVER)
        step("discovery_heard", front_end.clock)
        step(None)
        self.assertEqual(
            notes,
            [
                "endpoint list expired",
                "worker a proved ready",
                "worker b sent no more work: not ready",
                "endpoint list valid again",
            ],
        )


if __name__ == "__main__":
    unittest.main()
