"""Tests of workers that are not ready while the endpoint list is old, of held prewarms, and of log notes."""

import unittest

from tests.helpers import FrontEnd, decision_names, forwarded_to, listed_endpoint
from tests.readiness_rig import ReadinessCase, checked, prewarmed
from wickdyke.routing.decisions import Forward, LogNote
from wickdyke.routing.health_checks import CHECK_INTERVAL
from wickdyke.routing.model import Outcome
from wickdyke.routing.prewarming import PrewarmPlan
from wickdyke.routing.readiness import EARLIEST_TIME, MAX_ANSWER_WAIT, MAX_DISCOVERY_SILENCE


class NotReadyWorkers(ReadinessCase):
    """Workers that answer that they are not ready, that do not answer, or whose process has ended."""

    def test_worker_that_is_not_ready_is_excluded_and_the_next_is_checked_at_once(self):
        front_end = self.start_front_end(2)
        self.heard(EARLIEST_TIME)
        (first,) = checked(front_end.submit())
        (second,) = checked(self.answer(first, Outcome.NOT_READY))
        self.assertNotEqual(first, second)
        self.assertEqual(forwarded_to(self.answer(second)), [second])

    def test_worker_that_is_not_ready_is_excluded_while_discovery_is_heard_too(self):
        front_end = self.start_front_end(2)
        self.heard()
        self.refresh("a")
        record = front_end.router.workers["a"]
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.NOT_READY)
        self.assertEqual(set(forwarded_to(front_end.serve_requests(count=5))), {"b"})

    def test_excluded_worker_is_checked_each_second_and_used_once_it_is_ready(self):
        front_end = self.start_front_end(1)
        self.heard(EARLIEST_TIME)
        front_end.submit(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        self.heard()
        self.assertEqual(checked(front_end.advance_time(CHECK_INTERVAL + 1000.0))[:1], ["a"])
        self.answer("a")
        self.assertTrue(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))

    def test_missing_answer_leads_to_a_check_of_the_next_worker(self):
        front_end = self.start_front_end(2)
        self.heard(EARLIEST_TIME)
        (first,) = checked(front_end.submit())
        decisions = front_end.advance_time(MAX_ANSWER_WAIT + 50.0)
        self.assertEqual(len(set(checked(decisions)) - {first}), 1)

    def test_no_worker_has_two_checks_in_flight(self):
        front_end = self.start_front_end(1)
        self.heard(EARLIEST_TIME)
        decisions = front_end.submit()
        for number in range(50):
            decisions += front_end.submit(f"function {number}")
        decisions += front_end.advance_time(200.0)
        self.assertEqual(checked(decisions), ["a"])

    def test_requests_end_in_time_where_no_worker_is_ready(self):
        front_end = self.start_front_end(2)
        self.heard(EARLIEST_TIME)
        decisions = front_end.submit(time_left=1000.0)
        for worker in ("a", "b"):
            decisions += self.answer(worker, Outcome.NOT_READY)
        decisions += front_end.advance_time(1000.0)
        self.assertEqual(
            [word for word in decision_names(decisions) if word in ("reject", "fail", "forward")], ["reject"]
        )

    def test_same_process_that_is_ready_again_needs_no_slow_start(self):
        front_end = self.start_front_end(1)
        self.heard(EARLIEST_TIME)
        front_end.submit(time_left=500.0)
        self.answer("a", Outcome.NOT_READY, 10.0)
        front_end.clock += 2000.0
        self.refresh("a")
        self.assertTrue(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))
        self.assertIsNone(front_end.router.workers["a"].warming_since)

    def test_another_process_at_its_address_is_sent_nothing_until_discovery_is_heard(self):
        """The process may be another worker; once discovery is heard, the worker counts as just started."""
        front_end = self.start_front_end(1)
        self.heard(EARLIEST_TIME)
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

    def test_worker_listed_as_restarted_is_ready(self):
        front_end = self.start_front_end(1)
        self.heard(EARLIEST_TIME)
        front_end.submit(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        self.heard()
        front_end.update_endpoints([listed_endpoint("a", started_at=front_end.clock)], False)
        self.assertTrue(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))
        self.assertEqual(front_end.router.readiness.not_ready, {})

    def test_worker_whose_process_ended_while_updates_may_be_missing_is_excluded(self):
        """(ms since discovery was heard) -> whether the worker is excluded when its process ends."""
        for age, excluded in ((MAX_DISCOVERY_SILENCE - 1.0, False), (MAX_DISCOVERY_SILENCE, True)):
            with self.subTest(age):
                front_end = self.start_front_end(1)
                self.heard()
                front_end.clock += age
                (forwarded,) = [each for each in front_end.submit() if isinstance(each, Forward)]
                front_end.finish_attempt(forwarded.request, "cut")
                self.assertEqual(front_end.router.workers["a"].not_ready_since is not None, excluded)

    def test_new_process_unknown_to_discovery_warms_up(self):
        front_end = self.start_front_end(1)
        self.heard()
        heard_at = front_end.clock
        self.expire()
        record = front_end.router.workers["a"]
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.OK, heard_at + 10.0)
        self.assertEqual(record.warming_since, front_end.clock)

    def test_process_known_to_discovery_does_not_warm_up(self):
        front_end = self.start_front_end(1)
        self.heard()
        heard_at = front_end.clock
        self.expire()
        record = front_end.router.workers["a"]
        front_end.router.readiness.health_checker.check_now(record, front_end.clock)
        self.answer("a", Outcome.OK, heard_at - 10.0)
        self.assertIsNone(record.warming_since)

    def test_without_health_checks_nothing_is_sent_while_the_list_is_expired(self):
        front_end = FrontEnd(2)
        self.front_end = front_end
        self.heard(EARLIEST_TIME)
        decisions = front_end.submit() + front_end.advance_time(1000.0)
        self.assertEqual((forwarded_to(decisions), checked(decisions)), ([], []))
        self.heard()
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)


class HeldPrewarms(ReadinessCase):
    """Prewarms that wait for their workers' answers while the list has expired."""

    def start(self):
        front_end = self.start_front_end(prewarm_outcome="ok")
        self.heard()
        front_end.serve_requests(count=30, ms=50.0)
        self.expire()
        return front_end

    def test_a_prewarm_waits_for_the_answer_of_its_worker(self):
        front_end = self.start()
        replica = next(iter(front_end.router.functions["p"].replicas))
        worker = replica.worker.endpoint.ident
        front_end.router.planned_prewarms.append(PrewarmPlan(replica, 1, False))
        decisions = front_end.take_decisions()
        self.assertEqual((prewarmed(decisions), checked(decisions)), ([], [worker]))
        self.assertEqual(prewarmed(self.answer(worker)), [worker])

    def test_a_held_prewarm_is_dropped_where_the_worker_is_not_ready(self):
        for outcome in (Outcome.NOT_READY, Outcome.TIMEOUT, Outcome.UNSENT):
            with self.subTest(outcome):
                front_end = self.start()
                replica = next(iter(front_end.router.functions["p"].replicas))
                worker = replica.worker.endpoint.ident
                front_end.router.planned_prewarms.append(PrewarmPlan(replica, 1, False))
                front_end.take_decisions()
                self.assertNotIn(worker, prewarmed(self.answer(worker, outcome)))
                self.assertEqual(front_end.router.prewarmer.held_plans, {})

    def test_a_worker_that_stays_not_ready_is_sent_nothing(self):
        """Requests continue for 30 s, during which one worker always answers that it is not ready."""
        front_end = self.start()
        sent = []
        for _ in range(300):
            decisions = front_end.submit() + front_end.advance_time(50.0)
            while decisions:
                next_decisions = []
                sent += prewarmed(decisions) + forwarded_to(decisions)
                for worker in checked(decisions):
                    next_decisions += self.answer(worker, Outcome.NOT_READY if worker == "a" else Outcome.OK)
                for forwarded in (each for each in decisions if isinstance(each, Forward)):
                    next_decisions += front_end.finish_attempt(forwarded.request)
                decisions = next_decisions
        self.assertNotIn("a", sent)
        self.assertGreater(len(sent), 250)


class LogNotes(ReadinessCase):
    """Log notes on changes of readiness."""

    def test_each_change_is_logged_once(self):
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
            step("health_checked", "a", Outcome.OK, None, EARLIEST_TIME)
        for _ in range(3):
            router.readiness.health_checker.check_now(router.workers["b"], front_end.clock)
            step("health_checked", "b", Outcome.NOT_READY, None, EARLIEST_TIME)
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
