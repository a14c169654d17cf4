"""The routes in force: their effect on attempts and deadlines, and files that replace them."""

import unittest
import unittest.mock

from tests.rig import RunningGateway, until
from tests.scripted_workers import silent
from wickdyke.gateway import recording


def _ended_attempts(running):
    """Returns the number of attempts that timed out or were cancelled before."""
    return running.coordinator.counts["attempts_timeout"] + running.coordinator.counts["attempts_cancelled"]


class RoutesInForce(unittest.TestCase):
    """The policy of the route in force, before and after its file changes."""

    ROUTE = '(route "r" (takes (method "idem")) (deadline %d ms) (attempt 300 ms) (attempts %d) (again timeout))'

    def test_the_policy_of_a_route(self):
        """The route sets the number of attempts, their timeout and the deadline. (attempts) -> attempts at workers."""
        for attempts in (1, 2):
            with (
                self.subTest(attempts=attempts),
                RunningGateway((silent, silent, silent), routes=self.ROUTE % (8000, attempts)) as running,
            ):
                client = running.client()
                client.ask(1)
                self.assertEqual(client.answer()["error"]["data"], {"answer": "denied", "why": "timeout"})
                self.assertEqual(_ended_attempts(running), attempts)
                client.close()

    def test_a_changed_file(self):
        """Open requests keep their policy and later ones get the new one; an invalid file is logged exactly once."""
        with RunningGateway((silent, silent), routes=self.ROUTE % (9000, 1), record=True) as running:
            client = running.client()
            client.ask(1, program="pa")
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            before = next(iter(running.coordinator.requests.by_id.values())).route_policy
            for invalid in (self.ROUTE % (200, 1), "(route", self.ROUTE % (9000, 9)):
                lines_before = running.log_output.getvalue().count("routes unusable")
                running.write_routes(invalid)
                self.assertTrue(
                    until(
                        lambda lines_before=lines_before: running.log_output.getvalue().count("routes unusable")
                        == lines_before + 1
                    )
                )
            self.assertEqual(running.gateway.client_server.checker.routes.find("idem", "p").policy.deadline, 9000)
            running.write_routes(self.ROUTE % (7000, 2))
            self.assertTrue(
                until(lambda: running.gateway.client_server.checker.routes.find("idem", "p").policy.deadline == 7000)
            )
            client.ask(2, program="pb")
            answers = {answer["id"]: answer["error"]["data"]["why"] for answer in (client.answer(), client.answer())}
            self.assertEqual(answers, {1: "timeout", 2: "timeout"})
            self.assertEqual((before.attempts, _ended_attempts(running)), (1, 3))
            client.close()
            running.gateway.recorder.close()
            with open(running.config.recording_path, "rb") as source:
                self.assertIsNone(recording.replay(source)[1])

    def test_a_budget_that_requests_in_flight_may_use_is_kept(self):
        """A retry budget that has only a share can't be removed while requests in flight may use it.

        The routes file without it is rejected until the budget has a floor, or the requests are answered: then the
        pending file is read without being written again.
        """
        share_only_route = (
            '(route "r" (takes (method "idem")) (deadline 2 s) (soft-deadline 300 ms) (attempt 300 ms) '
            "(attempts 2) (again timeout) (budget (window 9 s) (share 0.1)%s))"
        )
        other_route = '(route "s" (takes (method "idem")) (deadline 7 s))'
        with RunningGateway(
            (silent, silent), routes=share_only_route % "", more="(call-outs (most 3) (dial 200 ms))"
        ) as running:

            def route_names():
                return [route.name for route in running.gateway.client_server.checker.routes.routes]

            def unusable_lines():
                return running.log_output.getvalue().count("routes unusable")

            running.write_routes(other_route)
            self.assertTrue(until(lambda: unusable_lines() == 1))
            self.assertIn('route \\"r\\" is removed', running.log_output.getvalue())
            running.write_routes(share_only_route % " (floor 1)")
            self.assertTrue(
                until(
                    lambda: running.gateway.client_server.checker.routes.routes[0].fields.retry_budget.value.floor == 1
                )
            )
            running.write_routes(other_route)
            self.assertTrue(until(lambda: route_names() == ["s"]))
            self.assertLessEqual(unusable_lines(), 2)


if __name__ == "__main__":
    unittest.main()
