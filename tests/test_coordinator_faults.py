"""Handling of a single event or decision raises: the other requests are served."""

import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import A
from tests.timed_rig import TimedFrontEndCase
from wickdyke.routing.decisions import Forward


class CoordinatorFaults(TimedFrontEndCase):
    """A fault in the coordinator costs no request its final answer."""

    def after(self, milliseconds):
        for _ in range(milliseconds // 50):
            self.run_once()
            self.now += 50

    def test_the_module_breaks_as_it_is_told_of_it(self):
        serving = self.front_end(self.worker())
        client = self.idle_client()
        with patch.object(serving.coordinator.router, "request_received", side_effect=ZeroDivisionError):
            self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
            self.until(lambda: serving.coordinator.counts["faults"] == 1, "the fault")
        self.after(1600)
        self.assertEqual(self.answer(client)[1], "fault")
        self.assertEqual(serving.coordinator.requests.by_id, {})

    def test_the_coordinator_breaks_before_it_has_taken_it(self):
        serving = self.front_end(self.worker())
        client = self.idle_client()
        serving.coordinator.requests.isolation = Mock(rejection=Mock(side_effect=ZeroDivisionError))
        self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
        self.assertEqual(self.answer(client)[1], "shed")
        self.assertEqual(
            (
                serving.coordinator.counts["faults"],
                serving.coordinator.requests.by_id,
                serving.client_server.open_requests,
            ),
            (1, {}, {}),
        )

    def test_one_decision_that_breaks_keeps_no_other_back(self):
        serving = self.front_end(self.worker())
        clients = [self.idle_client() for _ in range(3)]
        verb, broken = serving.coordinator.actions[Forward], []

        def call(decision):
            if not broken:
                broken.append(decision.request)
                raise ZeroDivisionError
            verb(decision)

        serving.coordinator.actions[Forward] = call
        for number, client in enumerate(clients):
            self.send(client, rig.dispatch(2, rig.fields(f"{number:016x}"), b"a"))
        serving.client_server.read_clients()  # all three are decided in one pull
        for client in clients[1:]:
            self.assertEqual(self.answer(client)[1], "answer")
        self.after(1600)
        self.assertIn(self.answer(clients[0])[1], ("shed", "fault"))
        self.assertEqual(serving.coordinator.requests.by_id, {})

    def test_an_answer_goes_out_where_taking_back_breaks(self):
        serving = self.front_end(self.worker())
        client = self.idle_client()
        with patch.object(serving.coordinator.requests, "withdraw_unsent", side_effect=ZeroDivisionError):
            self.send(client, rig.dispatch(2, rig.fields(A), b"a"))
            self.assertEqual(self.answer(client), (2, "answer", b"did a"))


if __name__ == "__main__":
    unittest.main()
