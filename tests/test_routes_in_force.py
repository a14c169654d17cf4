"""The routes in force: their effect on attempts and deadlines, and files that replace them."""

import unittest
import unittest.mock

from tests.rig import Running, until
from tests.scripted_workers import silent
from wickdyke.gateway import recording


def _ended(running):
    """Attempts that timed out, or were cancelled before."""
    return running.coordinator.counts["attempts_timeout"] + running.coordinator.counts["attempts_cancelled"]


class RoutesInForce(unittest.TestCase):
    """The policy of the route in force, before and after its file changes."""

    ROUTE = '(route "r" (takes (method "idem")) (deadline %d ms) (attempt 300 ms) (attempts %d) (again timeout))'

    def test_the_policy_of_a_route(self):
        """Attempts, their timeout and the deadline are the route's. (attempts) -> attempts at the workers."""
        for attempts in (1, 2):
            with (
                self.subTest(attempts=attempts),
                Running((silent, silent, silent), routes=self.ROUTE % (8000, attempts)) as running,
            ):
                client = running.client()
                client.ask(1)
                self.assertEqual(client.answer()["error"]["data"], {"answer": "denied", "why": "timeout"})
                self.assertEqual(_ended(running), attempts)
                client.close()

    def test_a_changed_file(self):
        """Open requests keep their policy, later ones get the new; an invalid file is logged once, no more."""
        with Running((silent, silent), routes=self.ROUTE % (9000, 1), record=True) as running:
            client = running.client()
            client.ask(1, program="pa")
            self.assertTrue(until(lambda: running.coordinator.requests.by_id))
            before = next(iter(running.coordinator.requests.by_id.values())).route_policy
            for invalid in (self.ROUTE % (200, 1), "(route", self.ROUTE % (9000, 9)):
                lines_before = running.log_output.getvalue().count("routes unusable")
                running.route(invalid)
                self.assertTrue(
                    until(
                        lambda lines_before=lines_before: running.log_output.getvalue().count("routes unusable")
                        == lines_before + 1
                    )
                )
            self.assertEqual(running.gateway.client_server.checker.routes.find("idem", "p").policy.deadline, 9000)
            running.route(self.ROUTE % (7000, 2))
            self.assertTrue(
                until(lambda: running.gateway.client_server.checker.routes.find("idem", "p").policy.deadline == 7000)
            )
            client.ask(2, program="pb")
            answers = {answer["id"]: answer["error"]["data"]["why"] for answer in (client.answer(), client.answer())}
            self.assertEqual(answers, {1: "timeout", 2: "timeout"})
            self.assertEqual((before.attempts, _ended(running)), (1, 3))
            client.close()
            running.gateway.recorder.close()
            with open(running.config.recording_path, "rb") as source:
                self.assertIsNone(recording.replay(source)[1])

    def test_a_change_that_would_strand_requests(self):
        """A retry budget that is only a share is not removed while requests in flight may use it: it gets a floor
        first; once they are answered, the file that waited is read without being written again."""
        bare = (
            '(route "r" (takes (method "idem")) (deadline 2 s) (soft-deadline 300 ms) (attempt 300 ms) '
            "(attempts 2) (again timeout) (budget (window 9 s) (share 0.1)%s))"
        )
        other = '(route "s" (takes (method "idem")) (deadline 7 s))'
        with Running((silent, silent), routes=bare % "", more="(call-outs (most 3) (dial 200 ms))") as running:

            def named():
                return [route.name for route in running.gateway.client_server.checker.routes.routes]

            def unusable_lines():
                return running.log_output.getvalue().count("routes unusable")

            running.route(other)
            self.assertTrue(until(lambda: unusable_lines() == 1))
            self.assertIn('route \\"r\\" is removed', running.log_output.getvalue())
            running.route(bare % " (floor 1)")
            self.assertTrue(
                until(
                    lambda: running.gateway.client_server.checker.routes.routes[0].fields.retry_budget.value.floor == 1
                )
            )
            running.route(other)
            self.assertTrue(until(lambda: named() == ["s"]))
            self.assertLessEqual(unusable_lines(), 2)


if __name__ == "__main__":
    unittest.main()
