"""Tests of the leases of the endpoint list and of workers: the effect of an ageing list on work and health checks."""

import unittest

from tests.helpers import forwarded_to, listed_endpoint
from tests.readiness_rig import LIST_LEASE, WORKER_LEASE, ReadinessCase, checked
from wickdyke.routing.decisions import Forward
from wickdyke.routing.readiness import EARLIEST_TIME


class ListLease(ReadinessCase):
    """The lease of the endpoint list."""

    def test_list_never_expires_without_reports_from_discovery(self):
        front_end = self.start_front_end()
        front_end.advance_time(10 * LIST_LEASE)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_lease_is_renewed_while_discovery_is_heard(self):
        front_end = self.start_front_end()
        for _ in range(10):
            self.heard()
            front_end.advance_time(1000.0)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_exact_expiry(self):
        """(ms since the last message from discovery) -> whether work is sent without an answer of the worker."""
        for age, sent in ((LIST_LEASE - 0.1, 1), (LIST_LEASE, 0)):
            with self.subTest(age):
                front_end = self.start_front_end()
                self.heard()
                front_end.clock += age
                decisions = front_end.submit()
                self.assertEqual(len(forwarded_to(decisions)), sent)
                self.assertEqual(len(checked(decisions)), 1 - sent)

    def test_a_list_of_unknown_age_has_expired(self):
        front_end = self.start_front_end()
        self.heard(EARLIEST_TIME)
        decisions = front_end.submit()
        self.assertEqual((forwarded_to(decisions), len(checked(decisions))), ([], 1))

    def test_older_reports_do_not_shorten_the_lease(self):
        front_end = self.start_front_end()
        self.heard()
        self.heard(EARLIEST_TIME)
        self.heard(front_end.clock - 5 * LIST_LEASE)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_suspended_host_without_discovery(self):
        """(ms since the host last ran, whether discovery was heard since) -> whether work is sent by the list alone."""
        for age, heard_again, sent in (
            (WORKER_LEASE - 1, False, 1),
            (WORKER_LEASE, False, 0),
            (WORKER_LEASE, True, 1),
        ):
            with self.subTest(age=age, heard_again=heard_again):
                front_end = self.start_front_end()
                self.heard()
                last_ran_at = front_end.clock
                front_end.clock += age
                front_end.router.discovery_lost(last_ran_at)
                decisions = [*self.heard(front_end.clock if heard_again else last_ran_at), *front_end.submit()]
                self.assertEqual((len(forwarded_to(decisions)), bool(checked(decisions))), (sent, not sent))

    def test_loss_of_discovery_has_no_effect_without_earlier_reports(self):
        front_end = self.start_front_end()
        front_end.router.discovery_lost(front_end.clock)
        front_end.advance_time(WORKER_LEASE)
        self.assertEqual(len(forwarded_to(front_end.submit())), 1)

    def test_waiting_requests_are_sent_as_soon_as_discovery_is_heard(self):
        front_end = self.start_front_end()
        self.heard(EARLIEST_TIME)
        self.assertEqual(forwarded_to(front_end.submit()), [])
        self.assertEqual(len(forwarded_to(self.heard())), 1)

    def test_no_extra_health_checks_while_discovery_is_heard(self):
        front_end = self.start_front_end()
        for _ in range(20):
            self.heard()
            self.assertEqual(checked(front_end.serve_requests(count=10, ms=100.0)), [])


class WorkerLease(ReadinessCase):
    """The lease of one worker, once the list has expired."""

    def test_work_waits_for_the_answer_of_its_worker(self):
        front_end = self.start_front_end()
        self.heard(EARLIEST_TIME)
        (worker,) = checked(front_end.submit())
        self.assertEqual(forwarded_to(self.answer(worker)), [worker])

    def test_lease_counts_from_when_the_check_was_sent(self):
        """(ms from the health check to its answer, ms from the answer to the request) -> whether work is sent."""
        for before, after, sent in ((200.0, 599.0, 1), (200.0, 600.0, 0), (900.0, 0.0, 0)):
            with self.subTest(before=before, after=after):
                front_end = self.start_front_end(1)
                self.heard(EARLIEST_TIME)
                (worker,) = checked(front_end.submit("q", 300.0))
                front_end.clock += before
                self.answer(worker)
                front_end.clock += after
                self.assertEqual(len(forwarded_to(front_end.submit("other"))), sent)

    def test_accepted_work_renews_the_lease_as_of_its_sending(self):
        front_end = self.start_front_end(1)
        self.heard(EARLIEST_TIME)
        front_end.submit()
        (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
        worker = front_end.router.workers["a"]
        worker.ready_at = EARLIEST_TIME
        sent_at = front_end.clock
        front_end.clock += 300.0
        front_end.finish_attempt(forwarded.request)
        self.assertEqual(worker.ready_at, sent_at)
        self.assertTrue(front_end.router.may_send(worker, sent_at + WORKER_LEASE - 0.1))
        self.assertFalse(front_end.router.may_send(worker, sent_at + WORKER_LEASE))

    def test_rejected_or_failed_work_does_not_renew_the_lease(self):
        for outcome in ("full", "error", "timeout", "miss", "cut", "unsent", "unreached"):
            with self.subTest(outcome):
                front_end = self.start_front_end(1)
                self.heard(EARLIEST_TIME)
                front_end.submit()
                (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
                worker = front_end.router.workers["a"]
                before = worker.ready_at
                front_end.clock += 100.0
                front_end.finish_attempt(forwarded.request, outcome)
                self.assertLessEqual(worker.ready_at, before)

    def test_a_rejection_ends_the_lease(self):
        """The worker may be draining, so it is checked before it is sent more work."""
        front_end = self.start_front_end(1)
        self.heard(EARLIEST_TIME)
        front_end.submit()
        (forwarded,) = [each for each in self.answer("a") if isinstance(each, Forward)]
        front_end.finish_attempt(forwarded.request, "full")
        self.assertFalse(front_end.router.may_send(front_end.router.workers["a"], front_end.clock))

    def test_attempts_decided_before_expiry_may_not_be_sent_after_it(self):
        front_end = self.start_front_end(1)
        self.heard()
        (forwarded,) = [each for each in front_end.submit() if isinstance(each, Forward)]
        self.assertTrue(front_end.router.may_send(forwarded.worker, front_end.clock + LIST_LEASE - 1.0))
        self.assertFalse(front_end.router.may_send(forwarded.worker, front_end.clock + LIST_LEASE))

    def test_a_worker_listed_as_draining_is_sent_nothing(self):
        front_end = self.start_front_end(2)
        self.heard()
        record = front_end.router.workers["a"]
        front_end.update_endpoints([listed_endpoint("a", state="draining")], False)
        self.assertFalse(front_end.router.may_send(record, front_end.clock))

    def test_the_first_request_after_idle_time_checks_its_worker(self):
        front_end = self.start_front_end()
        self.heard()
        front_end.serve_requests(count=10)
        front_end.advance_time(60000.0)
        decisions = front_end.submit()
        self.assertEqual(forwarded_to(decisions), [])
        self.assertEqual(len(checked(decisions)), 1)

    def test_workers_in_use_are_checked_as_the_list_expires(self):
        front_end = self.start_front_end()
        self.heard()
        used = set(forwarded_to(front_end.serve_requests(count=15)))
        decisions = front_end.advance_time(LIST_LEASE - 1500.0 + 100.0)
        self.assertLessEqual(used, set(checked(decisions)))

    def test_a_retry_needs_a_lease_too(self):
        front_end = self.start_front_end(2)
        self.heard(EARLIEST_TIME)
        (first,) = checked(front_end.submit())
        (forwarded,) = [each for each in self.answer(first) if isinstance(each, Forward)]
        forwarded.worker.ready_at = EARLIEST_TIME
        decisions = front_end.finish_attempt(forwarded.request, "error", final=False)
        self.assertEqual(forwarded_to(decisions), [])
        sent = [worker for worker in checked(decisions) if forwarded_to(self.answer(worker)) == [worker]]
        self.assertEqual(len(sent), 1)


if __name__ == "__main__":
    unittest.main()
