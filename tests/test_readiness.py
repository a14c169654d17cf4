"""The leases of the endpoint list and of each worker: what is sent and asked as the list grows old."""

import unittest

from tests.helpers import called, row
from tests.readiness_rig import LIST_LEASE, WORKER_LEASE, ReadinessCase, asked
from wickdyke.routing.decisions import Forward
from wickdyke.routing.readiness import NEVER


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

    def test_a_host_that_was_stopped_and_has_lost_discovery(self):
        """(ms since its last look) -> whether work goes out by the list; heard since that look or before it."""
        for age, heard_again, sent in (
            (WORKER_LEASE - 1, False, 1),
            (WORKER_LEASE, False, 0),
            (WORKER_LEASE, True, 1),
        ):
            with self.subTest(age=age, heard_again=heard_again):
                fleet = self.fleet()
                self.heard()
                looked_at = fleet.clock
                fleet.clock += age
                fleet.router.discovery_lost(looked_at)
                decisions = [*self.heard(fleet.clock if heard_again else looked_at), *fleet.take()]
                self.assertEqual((len(called(decisions)), bool(asked(decisions))), (sent, not sent))

    def test_a_host_that_never_reports_discovery_loses_nothing(self):
        fleet = self.fleet()
        fleet.router.discovery_lost(fleet.clock)
        fleet.pass_time(WORKER_LEASE)
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


if __name__ == "__main__":
    unittest.main()
