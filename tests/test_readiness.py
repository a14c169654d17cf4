"""The leases on workers' readiness: what is sent, asked and held back as the endpoint list grows old."""

import unittest

from tests.helpers import Fleet, called, row, verbs
from wickdyke.routing.decisions import Forward, HealthCheck, LogNote, Prewarm
from wickdyke.routing.health_checks import CHECK_EVERY
from wickdyke.routing.model import Outcome
from wickdyke.routing.prewarming import PrewarmPlan
from wickdyke.routing.readiness import ANSWER_PATIENCE, CURRENT_FOR, GRACE_PART, NEVER, NOTIFIED_AFTER

GRACE = 1000.0  # ms, for a drain, in the settings of Fleet
WORKER_LEASE = GRACE_PART * GRACE
LIST_LEASE = NOTIFIED_AFTER + WORKER_LEASE


class ReadinessCase(unittest.TestCase):
    """A router that was told that discovery is heard."""

    def fleet(self, workers=4, **more):
        self.front_end = Fleet(workers, health_checks=True, **more)
        router = self.front_end.router
        router.health_checker.check_in_turn = lambda tick, now: None  # those for load reports, which nobody answers
        for worker in router.workers.values():
            worker.asked_at = None
        return self.front_end

    def heard(self, at=None):
        self.front_end.router.advance(self.front_end.clock)
        self.front_end.router.discovery_heard(self.front_end.clock if at is None else at)
        return self.front_end.pull()

    def expire(self):
        """The list has just expired; what was asked then is answered as ready, and that has run out as well."""
        decisions = self.front_end.pass_time(LIST_LEASE + 100.0)
        for worker in asked(decisions):
            self.answer(worker)
        self.front_end.pass_time(WORKER_LEASE + 50.0)

    def answer(self, worker, outcome=Outcome.OK, same_process_since=NEVER):
        self.front_end.router.advance(self.front_end.clock)
        self.front_end.router.health_checked(worker, outcome, None, same_process_since)
        return self.front_end.pull()

    def refresh(self, worker):
        """The worker is asked, and proves ready."""
        record = self.front_end.router.workers[worker]
        self.front_end.router.readiness.health_checker.ask(record, self.front_end.clock)
        self.front_end.pull()
        return self.answer(worker)


def asked(decisions):
    """The workers that were health checked."""
    return [decision.worker.endpoint.ident for decision in decisions if isinstance(decision, HealthCheck)]


def prewarmed(decisions):
    """The workers that prewarms were sent to."""
    return [decision.worker.endpoint.ident for decision in decisions if isinstance(decision, Prewarm)]


class ListLease(ReadinessCase):
    """The lease of the endpoint list."""

    def test_a_host_that_never_reports_discovery_has_a_list_that_does_not_expire(self):
        fleet = self.fleet()
        fleet.pass_time(10 * LIST_LEASE)
        self.assertEqual(len(called(fleet.take())), 1)

    def test_it_lasts_as_long_as_discovery_is_heard(self):
        fleet = self.fleet()
        for _ in range(10):
            self.heard()
            fleet.pass_time(1000.0)
        self.assertEqual(len(called(fleet.take())), 1)

    def test_the_last_moment(self):
        """(ms after discovery was heard) -> whether work goes out without an answer of its worker."""
        for age, sent in ((LIST_LEASE - 0.1, 1), (LIST_LEASE, 0)):
            with self.subTest(age):
                fleet = self.fleet()
                self.heard()
                fleet.clock += age
                decisions = fleet.take()
                self.assertEqual(len(called(decisions)), sent)
                self.assertEqual(len(asked(decisions)), 1 - sent)

    def test_a_list_of_unknown_age_has_expired(self):
        fleet = self.fleet()
        self.heard(NEVER)
        decisions = fleet.take()
        self.assertEqual((called(decisions), len(asked(decisions))), ([], 1))

    def test_an_older_time_takes_nothing_back(self):
        fleet = self.fleet()
        self.heard()
        self.heard(NEVER)
        self.heard(fleet.clock - 5 * LIST_LEASE)
        self.assertEqual(len(called(fleet.take())), 1)

    def test_what_waits_goes_out_as_soon_as_discovery_is_heard(self):
        fleet = self.fleet()
        self.heard(NEVER)
        self.assertEqual(called(fleet.take()), [])
        self.assertEqual(len(called(self.heard())), 1)

    def test_nothing_is_asked_for_it_while_discovery_is_heard(self):
        fleet = self.fleet()
        for _ in range(20):
            self.heard()
            self.assertEqual(asked(fleet.serve(calls=10, ms=100.0)), [])


class WorkerLease(ReadinessCase):
    """The lease of one worker, once the list has expired."""

    def test_work_waits_for_the_answer_and_then_goes_out(self):
        fleet = self.fleet()
        self.heard(NEVER)
        (worker,) = asked(fleet.take())
        self.assertEqual(called(self.answer(worker)), [worker])

    def test_it_counts_from_when_the_worker_was_asked(self):
        """(ms from the question to the answer, ms from the answer to the request) -> whether it goes out."""
        for before, after, sent in ((200.0, 599.0, 1), (200.0, 600.0, 0), (900.0, 0.0, 0)):
            with self.subTest(before=before, after=after):
                fleet = self.fleet(1)
                self.heard(NEVER)
                (worker,) = asked(fleet.take("q", 300.0))
                fleet.clock += before
                self.answer(worker)
                fleet.clock += after
                self.assertEqual(len(called(fleet.take("other"))), sent)

    def test_accepted_work_renews_it_as_of_when_it_was_sent(self):
        fleet = self.fleet(1)
        self.heard(NEVER)
        fleet.take()
        (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
        worker = fleet.router.workers["a"]
        worker.ready_at = NEVER
        sent_at = fleet.clock
        fleet.clock += 300.0
        fleet.end(forwarded.request)
        self.assertEqual(worker.ready_at, sent_at)
        self.assertTrue(fleet.router.may_send(worker, sent_at + WORKER_LEASE - 0.1))
        self.assertFalse(fleet.router.may_send(worker, sent_at + WORKER_LEASE))

    def test_work_that_is_rejected_or_fails_does_not_renew_it(self):
        for outcome in ("full", "error", "timeout", "miss", "cut", "unsent", "unreached"):
            with self.subTest(outcome):
                fleet = self.fleet(1)
                self.heard(NEVER)
                fleet.take()
                (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
                worker = fleet.router.workers["a"]
                before = worker.ready_at
                fleet.clock += 100.0
                fleet.end(forwarded.request, outcome)
                self.assertLessEqual(worker.ready_at, before)

    def test_a_rejection_ends_it(self):
        """The worker may drain: it is asked before it is sent more."""
        fleet = self.fleet(1)
        self.heard(NEVER)
        fleet.take()
        (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
        fleet.end(forwarded.request, "full")
        self.assertFalse(fleet.router.may_send(fleet.router.workers["a"], fleet.clock))

    def test_what_was_decided_before_it_ran_out_may_not_begin_after(self):
        fleet = self.fleet(1)
        self.heard()
        (forwarded,) = [each for each in fleet.take() if isinstance(each, Forward)]
        self.assertTrue(fleet.router.may_send(forwarded.worker, fleet.clock + LIST_LEASE - 1.0))
        self.assertFalse(fleet.router.may_send(forwarded.worker, fleet.clock + LIST_LEASE))

    def test_a_worker_listed_as_draining_is_sent_nothing_whatever_it_proved(self):
        fleet = self.fleet(2)
        self.heard()
        record = fleet.router.workers["a"]
        fleet.list([row("a", state="draining")], False)
        self.assertFalse(fleet.router.may_send(record, fleet.clock))

    def test_the_first_request_after_a_quiet_time_asks_too(self):
        fleet = self.fleet()
        self.heard()
        fleet.serve(calls=10)
        fleet.pass_time(60000.0)
        decisions = fleet.take()
        self.assertEqual(called(decisions), [])
        self.assertEqual(len(asked(decisions)), 1)

    def test_workers_in_use_are_asked_as_the_list_expires(self):
        fleet = self.fleet()
        self.heard()
        used = set(called(fleet.serve(calls=15)))
        decisions = fleet.pass_time(LIST_LEASE - 1500.0 + 100.0)
        self.assertLessEqual(used, set(asked(decisions)))

    def test_a_retry_needs_it_too(self):
        fleet = self.fleet(2)
        self.heard(NEVER)
        (first,) = asked(fleet.take())
        (forwarded,) = [each for each in self.answer(first) if isinstance(each, Forward)]
        forwarded.worker.ready_at = NEVER
        decisions = fleet.end(forwarded.request, "error", final=False)
        self.assertEqual(called(decisions), [])
        sent = [worker for worker in asked(decisions) if called(self.answer(worker)) == [worker]]
        self.assertEqual(len(sent), 1)


class Refusals(ReadinessCase):
    """Workers that say that they are not ready, that don't answer, or whose process has ended."""

    def test_not_ready_is_left_out_and_the_next_is_asked_at_once(self):
        fleet = self.fleet(2)
        self.heard(NEVER)
        (first,) = asked(fleet.take())
        (second,) = asked(self.answer(first, Outcome.NOT_READY))
        self.assertNotEqual(first, second)
        self.assertEqual(called(self.answer(second)), [second])

    def test_not_ready_counts_while_discovery_is_heard_as_well(self):
        fleet = self.fleet(2)
        self.heard()
        self.refresh("a")
        record = fleet.router.workers["a"]
        fleet.router.readiness.health_checker.ask(record, fleet.clock)
        self.answer("a", Outcome.NOT_READY)
        self.assertEqual(set(called(fleet.serve(calls=5))), {"b"})

    def test_it_is_asked_again_each_second_and_used_once_it_is_ready(self):
        fleet = self.fleet(1)
        self.heard(NEVER)
        fleet.take(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        self.heard()
        self.assertEqual(asked(fleet.pass_time(CHECK_EVERY + 1000.0))[:1], ["a"])
        self.answer("a")
        self.assertTrue(fleet.router.may_send(fleet.router.workers["a"], fleet.clock))

    def test_no_answer_asks_the_next_after_some_time(self):
        fleet = self.fleet(2)
        self.heard(NEVER)
        (first,) = asked(fleet.take())
        decisions = fleet.pass_time(ANSWER_PATIENCE + 50.0)
        self.assertEqual(len(set(asked(decisions)) - {first}), 1)

    def test_no_worker_is_asked_twice_at_a_time(self):
        fleet = self.fleet(1)
        self.heard(NEVER)
        decisions = fleet.take()
        for number in range(50):
            decisions += fleet.take(f"function {number}")
        decisions += fleet.pass_time(200.0)
        self.assertEqual(asked(decisions), ["a"])

    def test_nothing_proves_ready_and_requests_end_in_time(self):
        fleet = self.fleet(2)
        self.heard(NEVER)
        decisions = fleet.take(time_left=1000.0)
        for worker in ("a", "b"):
            decisions += self.answer(worker, Outcome.NOT_READY)
        decisions += fleet.pass_time(1000.0)
        self.assertEqual([word for word in verbs(decisions) if word in ("reject", "fail", "forward")], ["reject"])

    def test_back_on_the_same_process(self):
        fleet = self.fleet(1)
        self.heard(NEVER)
        fleet.take(time_left=500.0)
        self.answer("a", Outcome.NOT_READY, 10.0)
        fleet.clock += 2000.0
        self.refresh("a")
        self.assertTrue(fleet.router.may_send(fleet.router.workers["a"], fleet.clock))
        self.assertIsNone(fleet.router.workers["a"].warming_since)

    def test_another_process_at_its_address_is_sent_nothing_until_discovery_is_heard(self):
        """It may be another worker; once discovery is heard, it counts as just started."""
        fleet = self.fleet(1)
        self.heard(NEVER)
        fleet.take(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        record = fleet.router.workers["a"]
        fleet.clock += 2000.0
        new = fleet.clock - 500.0
        fleet.router.readiness.health_checker.ask(record, fleet.clock)
        self.answer("a", Outcome.OK, new)
        self.assertFalse(fleet.router.may_send(record, fleet.clock))
        self.heard()
        fleet.router.readiness.health_checker.ask(record, fleet.clock)
        self.answer("a", Outcome.OK, new)
        self.assertTrue(fleet.router.may_send(record, fleet.clock))
        self.assertEqual(record.warming_since, fleet.clock)

    def test_listed_as_restarted_it_begins_anew(self):
        fleet = self.fleet(1)
        self.heard(NEVER)
        fleet.take(time_left=500.0)
        self.answer("a", Outcome.NOT_READY)
        self.heard()
        fleet.list([row("a", started_at=fleet.clock)], False)
        self.assertTrue(fleet.router.may_send(fleet.router.workers["a"], fleet.clock))
        self.assertEqual(fleet.router.readiness.not_ready, {})

    def test_a_process_that_ended_while_news_may_be_missing_is_left_out(self):
        """(ms since discovery was heard) -> whether the worker is left out when its process ends."""
        for age, left_out in ((CURRENT_FOR - 1.0, False), (CURRENT_FOR, True)):
            with self.subTest(age):
                fleet = self.fleet(1)
                self.heard()
                fleet.clock += age
                (forwarded,) = [each for each in fleet.take() if isinstance(each, Forward)]
                fleet.end(forwarded.request, "cut")
                self.assertEqual(fleet.router.workers["a"].not_ready_since is not None, left_out)

    def test_a_new_process_that_was_not_seen_to_end_warms_up(self):
        fleet = self.fleet(1)
        self.heard()
        heard_at = fleet.clock
        self.expire()
        record = fleet.router.workers["a"]
        fleet.router.readiness.health_checker.ask(record, fleet.clock)
        self.answer("a", Outcome.OK, heard_at + 10.0)
        self.assertEqual(record.warming_since, fleet.clock)

    def test_a_new_process_that_discovery_knows_of_does_not(self):
        fleet = self.fleet(1)
        self.heard()
        heard_at = fleet.clock
        self.expire()
        record = fleet.router.workers["a"]
        fleet.router.readiness.health_checker.ask(record, fleet.clock)
        self.answer("a", Outcome.OK, heard_at - 10.0)
        self.assertIsNone(record.warming_since)

    def test_without_health_checks_nothing_is_sent_on_an_expired_list_and_all_after_it(self):
        fleet = Fleet(2)
        self.front_end = fleet
        self.heard(NEVER)
        decisions = fleet.take() + fleet.pass_time(1000.0)
        self.assertEqual((called(decisions), asked(decisions)), ([], []))
        self.heard()
        self.assertEqual(len(called(fleet.take())), 1)


class HeldPrewarms(ReadinessCase):
    """Prewarms, which keep loaded what requests will need, while the list has expired."""

    def start(self):
        fleet = self.fleet(prewarm_outcome="ok")
        self.heard()
        fleet.serve(calls=30, ms=50.0)
        self.expire()
        return fleet

    def test_a_prewarm_waits_for_its_worker_and_then_goes_out(self):
        fleet = self.start()
        replica = next(iter(fleet.router.functions["p"].replicas))
        worker = replica.worker.endpoint.ident
        fleet.router.planned.append(PrewarmPlan(replica, 1, False))
        decisions = fleet.pull()
        self.assertEqual((prewarmed(decisions), asked(decisions)), ([], [worker]))
        self.assertEqual(prewarmed(self.answer(worker)), [worker])

    def test_it_is_dropped_where_the_worker_is_not_ready(self):
        for outcome in (Outcome.NOT_READY, Outcome.TIMEOUT, Outcome.UNSENT):
            with self.subTest(outcome):
                fleet = self.start()
                replica = next(iter(fleet.router.functions["p"].replicas))
                worker = replica.worker.endpoint.ident
                fleet.router.planned.append(PrewarmPlan(replica, 1, False))
                fleet.pull()
                self.assertNotIn(worker, prewarmed(self.answer(worker, outcome)))
                self.assertEqual(fleet.router.prewarmer.held, {})

    def test_a_draining_worker_gets_none_for_as_long_as_it_is_up(self):
        """Requests go on for 30 s; one worker always says that it is not ready."""
        fleet = self.start()
        sent = []
        for _ in range(300):
            decisions = fleet.take() + fleet.pass_time(50.0)
            while decisions:
                following = []
                sent += prewarmed(decisions) + called(decisions)
                for worker in asked(decisions):
                    following += self.answer(worker, Outcome.NOT_READY if worker == "a" else Outcome.OK)
                for forwarded in (each for each in decisions if isinstance(each, Forward)):
                    following += fleet.end(forwarded.request)
                decisions = following
        self.assertNotIn("a", sent)
        self.assertGreater(len(sent), 250)


class Notes(ReadinessCase):
    """The log has one line for each change."""

    def test_each_change_once(self):
        fleet = self.fleet(2)
        notes = []
        router = fleet.router

        def step(name, *args):
            router.advance(fleet.clock)
            if name:
                getattr(router, name)(*args)
            notes.extend(each.text for each in iter(router.decide, None) if isinstance(each, LogNote))

        step("discovery_heard", fleet.clock)
        for _ in range(60):
            fleet.clock += 50.0
            step(None)
        for _ in range(3):
            router.readiness.health_checker.ask(router.workers["a"], fleet.clock)
            step("health_checked", "a", Outcome.OK, None, NEVER)
        for _ in range(3):
            router.readiness.health_checker.ask(router.workers["b"], fleet.clock)
            step("health_checked", "b", Outcome.NOT_READY, None, NEVER)
        step("discovery_heard", fleet.clock)
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
