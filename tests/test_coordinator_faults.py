"""An exception while one event or decision is handled does not affect the other requests."""

import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import A
from tests.timed_rig import TimedFrontEndCase
from wickdyke.routing.decisions import Forward


class CoordinatorFaults(TimedFrontEndCase):
    """Every request gets its final answer, also after an exception in the coordinator."""

    def advance(self, milliseconds):
        """Runs the front end while its clock advances in steps of 50 ms."""
        for _ in range(milliseconds // 50):
            self.run_once()
            self.now += 50

    def test_the_router_raises_on_a_new_request(self):
        """The request is failed as a fault after its deadline."""
        front_end = self.front_end(self.worker())
        client = self.idle_client()
        with patch.object(front_end.coordinator.router, "request_received", side_effect=ZeroDivisionError):
            self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
            self.until(lambda: front_end.coordinator.counts["faults"] == 1, "the fault")
        self.advance(1600)
        self.assertEqual(self.answer(client)[1], "fault")
        self.assertEqual(front_end.coordinator.requests.by_id, {})

    def test_an_exception_before_a_request_is_admitted(self):
        """The request is rejected at once."""
        front_end = self.front_end(self.worker())
        client = self.idle_client()
        front_end.coordinator.requests.isolation = Mock(rejection=Mock(side_effect=ZeroDivisionError))
        self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
        self.assertEqual(self.answer(client)[1], "shed")
        self.assertEqual(
            (
                front_end.coordinator.counts["faults"],
                front_end.coordinator.requests.by_id,
                front_end.client_server.open_requests,
            ),
            (1, {}, {}),
        )

    def test_an_exception_in_one_decision_delays_no_other(self):
        """Of three decisions in one round the first raises: the other two requests are answered."""
        front_end = self.front_end(self.worker())
        clients = [self.idle_client() for _ in range(3)]
        forward, failed_requests = front_end.coordinator.actions[Forward], []

        def forward_after_one_failure(decision):
            if not failed_requests:
                failed_requests.append(decision.request)
                raise ZeroDivisionError
            forward(decision)

        front_end.coordinator.actions[Forward] = forward_after_one_failure
        for number, client in enumerate(clients):
            self.send(client, rig.dispatch(2, rig.fields(f"{number:016x}"), b"a"))
        front_end.client_server.read_clients()  # so that all three are decided in one round
        for client in clients[1:]:
            self.assertEqual(self.answer(client)[1], "answer")
        self.advance(1600)
        self.assertIn(self.answer(clients[0])[1], ("shed", "fault"))
        self.assertEqual(front_end.coordinator.requests.by_id, {})

    def test_an_answer_is_sent_although_withdrawing_raises(self):
        """An exception while the other attempts are withdrawn does not suppress the answer."""
        front_end = self.front_end(self.worker())
        client = self.idle_client()
        with patch.object(front_end.coordinator.requests, "withdraw_unsent", side_effect=ZeroDivisionError):
            self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
            self.assertEqual(self.answer(client), (2, "answer", b"did a"))


if __name__ == "__main__":
    unittest.main()
