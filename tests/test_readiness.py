"""The leases of the endpoint list and of each worker: what is sent and asked as the list grows old."""

import unittest

from tests.helpers import forwarded_to, listed_endpoint
from tests.readiness_rig import LIST_LEASE, WORKER_LEASE, ReadinessCase, asked
from wickdyke.routing.decisions import Forward
from wickdyke.routing.readiness import NEVER


class ListLease(ReadinessCase):
    """The lease of the endpoint list."""

    def test_a_host_that_never_reports_discovery_has_a_list_that_does_not_expire(self):
        front_end = self.start_front_end()
        front_end.advance_time(10 * LIST_LEASE)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_it_lasts_as_long_as_discovery_is_heard(self):
        front_end = self.start_front_end()
        for _ in range(10):
            self.heard()
            front_end.advance_time(1000.0)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_the_last_moment(self):
        """(ms after discovery was heard) -> whether work goes out without an answer of its worker."""
        for age, sent in ((LIST_LEASE - 0.1, 1), (LIST_LEASE, 0)):
            with self.subTest(age):
                front_end = self.start_front_end()
                self.heard()
                front_end.clock += age
                decisions = front_end.submit()
                self.assertEqual(len(forwarded_to(decisions)), sent)
                self.assertEqual(len(asked(decisions)), 1 - sent)

    def test_a_list_of_unknown_age_has_expired(self):
        front_end = self.start_front_end()
        self.heard(NEVER)
        decisions = front_end.submit()
        self.assertEqual((forwarded_to(decisions), len(asked(decisions))), ([], 1))

    def test_an_older_time_takes_nothing_back(self):
        front_end = self.start_front_end()
        self.heard()
        self.heard(NEVER)
        self.heard(front_end.clock - 5 * LIST_LEASE)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_a_host_that_was_stopped_and_has_lost_discovery(self):
        """(ms since its last look) -> whether work goes out by the list; heard since that look or before it."""
        for age, heard_again, sent in (
            (WORKER_LEASE - 1, False, 1),
            (WORKER_LEASE, False, 0),
            (WORKER_LEASE, True, 1),
        ):
            with self.subTest(age=age, heard_again=heard_again):
                front_end = self.start_front_end()
                self.heard()
                looked_at = front_end.clock
                front_end.clock += age
                front_end.router.discovery_lost(looked_at)
                decisions = [*self.heard(front_end.clock if heard_again else looked_at), *front_end.submit()]
                self.assertEqual((len(forwarded_to(decisions)), bool(asked(decisions))), (sent, not sent))

    def test_a_host_that_never_reports_discovery_loses_nothing(self):
        front_end = self.start_front_end()
        front_end.router.discovery_lost(front_end.clock)
        front_end.advance_time(WORKER_LEASE)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_what_waits_goes_out_as_soon_as_discovery_is_heard(self):
        front_end = self.start_front_end()
        self.heard(NEVER)
        self.assertEqual(forwarded_to(front_end.submit()), [])
        self.assertEqual(len(forwarded_to(self.heard())), 1)

    def test_nothing_is_asked_for_it_while_discovery_is_heard(self):
        front_end = self.start_front_end()
        for _ in range(20):
            self.heard()
            self.assertEqual(asked(front_end.serve_requests(count=10, ms=100.0)), [])


class WorkerLease(ReadinessCase):
    """The lease of one worker, once the list has expired."""

    def test_work_waits_for_the_answer_and_then_goes_out(self):
        front_end = self.start_front_end()
        self.heard(NEVER)
        (worker,) = asked(front_end.submit())
        self.assertEqual(forwarded_to(self.answer(worker)), [worker])

    def test_it_counts_from_when_the_worker_was_asked(self):
        """(ms from the question to the answer, ms from the answer to the request) -> whether it goes out."""
        for before, after, sent in ((200.0, 599.0, 1), (200.0, 600.0, 0), (900.0, 0.0, 0)):
            with self.subTest(before=before, after=after):
                front_end = self.start_front_end(1)
                self.heard(NEVER)
                (worker,) = asked(front_end.submit("q", 300.0))
                front_end.clock += before
                self.answer(worker)
                front_end.clock += after
                self.assertEqual(len(forwarded_to(front_end.submit("other"))), sent)

    def test_accepted_work_renews_it_as_of_when_it_was_sent(self):
        front_end = self.start_front_end(1)
        self.heard(NEVER)
        front_end.submit()
        (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
        worker = front_end.router.workers["a"]
        worker.ready_at = NEVER
        sent_at = front_end.clock
        front_end.clock += 300.0
        front_end.finish_attempt(forwarded.request)
        self.assertEqual(worker.ready_at, sent_at)
        self.assertTrue(front_end.router.may_send(worker, sent_at + WORKER_LEASE - 0.1))
        self.assertFalse(front_end.router.may_send(worker, sent_at + WORKER_LEASE))

    def test_work_that_is_rejected_or_fails_does_not_renew_it(self):
        for outcome in ("full", "error", "timeout", "miss", "cut", "unsent", "unreached"):
            with self.subTest(outcome):
                front_end = self.start_front_end(1)
                self.heard(NEVER)
                front_end.submit()
                (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
                worker = front_end.router.workers["a"]
                before = worker.ready_at
                front_end.clock += 100.0
                front_end.finish_attempt(forwarded.request, outcome)
                self.assertLessEqual(worker.ready_at, before)

    def test_a_rejection_ends_it(self):
        """The worker may drain: it is asked before it is sent more."""
        front_end = self.start_front_end(1)
        self.heard(NEVER)
        front_end.submit()
        (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
        front_end.finish_attempt(forwarded.request, "full")
        self.assertFalse(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))

    def test_what_was_decided_before_it_ran_out_may_not_begin_after(self):
        front_end = self.start_front_end(1)
        self.heard()
        (forwarded,) = [each for each in front_end.submit() if isinstance(each, Forward)]
        self.assertTrue(front_end.router.may_send(forwarded.worker, front_end.clock + LIST_LEASE - 1.0))
        self.assertFalse(front_end.router.may_send(forwarded.worker, front_end.clock + LIST_LEASE))

    def test_a_worker_listed_as_draining_is_sent_nothing_whatever_it_proved(self):
        front_end = self.start_front_end(2)
        self.heard()
        record = front_end.router.workers["a"]
        front_end.update_endpoints([listed_endpoint("a", state="draining")], False)
        self.assertFalse(front_end.router.may_send(record, front_end.clock))

    def test_the_first_request_after_a_quiet_time_asks_too(self):
        front_end = self.start_front_end()
        self.heard()
        front_end.serve_requests(count=10)
        front_end.advance_time(60000.0)
        decisions = front_end.submit()
        self.assertEqual(forwarded_to(decisions), [])
        self.assertEqual(len(asked(decisions)), 1)

    def test_workers_in_use_are_asked_as_the_list_expires(self):
        front_end = self.start_front_end()
        self.heard()
        used = set(forwarded_to(front_end.serve_requests(count=15)))
        decisions = front_end.advance_time(LIST_LEASE - 1500.0 + 100.0)
        self.assertLessEqual(used, set(asked(decisions)))

    def test_a_retry_needs_it_too(self):
        front_end = self.start_front_end(2)
        self.heard(NEVER)
        (first,) = asked(front_end.submit())
        (forwarded,) = [each for each in self.answer(first) if isinstance(each, Forward)]
        forwarded.worker.ready_at = NEVER
        decisions = front_end.finish_attempt(forwarded.request, "error", final=False)
        self.assertEqual(forwarded_to(decisions), [])
        sent = [worker for worker in asked(decisions) if forwarded_to(self.answer(worker)) == [worker]]
        self.assertEqual(len(sent), 1)


if __name__ == "__main__":
    unittest.main()
