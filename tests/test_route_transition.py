"""Tests of changes of a routes file while requests received under the earlier file are open."""

import unittest

from tests.route_fixtures import read_routes
from wickdyke.config import route_transition, sexpr
from wickdyke.route_policy.transition import PolicyTransition


class TransitionTest(unittest.TestCase):
    """Changes of the routes in force that would strand open requests, and changes that would not."""

    SHARE_ONLY_BUDGET = "(budget (window 10 s) (share 0.1))"
    OLD_ROUTE = f'(route "r" (takes (method "idem")) (attempts 2) (attempt 1 s) {SHARE_ONLY_BUDGET})'

    def test_one_change(self):
        """(routes in force, new routes) -> texts of the diagnostic; none where the new routes are accepted."""
        route, budget = self.OLD_ROUTE, self.SHARE_ONLY_BUDGET
        other_route = '(route "s" (takes (method "idem")) (attempts 2) (attempt 1 s))'
        for current, new_routes, expected_texts in (
            (route, other_route, ('route "r" is removed', "floor 0", "(floor 1)", "4000 ms later")),
            (route, '(route "r" (takes (method "idem")))', ("no longer has a retry budget",)),
            (route, route.replace("(attempts 2)", "").replace(budget, ""), ("no longer has a retry budget",)),
            (route, route.replace("10 s", "9 s"), ("over 9000 ms instead of 10000 ms",)),
            (
                route,
                route.replace('"idem"', '"side"').replace("(attempts", "(again full) (attempts"),
                ("matches none of the requests",),
            ),
            (
                route.replace('"idem"', '"idem") (program "a*"'),
                route.replace('"idem"', '"idem") (program "b*"'),
                ("matches none of the requests",),
            ),
            (
                route.replace('"idem"', '"idem") (program "a/*"'),
                route + '(route "s" (takes (method "idem") (program "a*")))',
                ("loses all the requests it matched", 'route "r"'),
            ),
            (route.replace("(share 0.1)", "(share 0.1) (floor 0.9)"), other_route, ("floor 0.9",)),
            # accepted, each close to a rejected change
            (route.replace("(share 0.1)", "(share 0.1) (floor 1)"), other_route, ()),
            (route.replace(budget, ""), other_route, ()),
            (route, route, ()),
            (route, route.replace("0.1", "0.2"), ()),
            (route, route.replace("(share 0.1)", "(share 0.1) (floor 1)"), ()),
            (route, route.replace("(attempts 2) (attempt 1 s)", "(attempts 3) (attempt 900 ms) (priority 3)"), ()),
            (route.replace('"idem"', '"idem") (program "a*"'), route.replace('"idem"', '"idem") (program "ab*"'), ()),
            (route, route + '(route "s" (takes (method "idem") (program "a*")))', ()),
            (other_route, route, ()),
        ):
            with self.subTest(current=current, new_routes=new_routes):
                transition = PolicyTransition()
                transition.activate(read_routes(current).retry_budget_users(), 0.0)
                diagnostics = []
                try:
                    route_transition.check_transition(read_routes(new_routes), "f", transition, 1.0)
                except sexpr.InvalidConfigError as error:
                    diagnostics = [str(diagnostic) for diagnostic in error.diagnostics]
                    self.assertNotIsInstance(error, sexpr.IncompleteInputError)
                self.assertEqual(len(diagnostics), bool(expected_texts), diagnostics)
                for expected_text in expected_texts:
                    self.assertIn(expected_text, diagnostics[0])

    def test_two_changes(self):
        """A budget can be removed in two steps; the second is rejected exactly while older requests may be open."""
        with_floor = self.OLD_ROUTE.replace("(share 0.1)", "(share 0.1) (floor 1)")
        other_route = '(route "s" (takes (method "idem")) (attempts 2) (attempt 1 s))'
        transition = PolicyTransition()
        transition.activate(read_routes(self.OLD_ROUTE).retry_budget_users(), 0.0)
        route_transition.check_transition(read_routes(with_floor), "f", transition, 1000.0)
        transition.activate(read_routes(with_floor).retry_budget_users(), 1000.0)
        for now, accepted in ((1000.0, False), (4999.0, False), (5000.0, True)):
            with self.subTest(now=now):
                if accepted:
                    route_transition.check_transition(read_routes(other_route), "f", transition, now)
                else:
                    with self.assertRaises(sexpr.IncompleteInputError) as caught:
                        route_transition.check_transition(read_routes(other_route), "f", transition, now)
                    self.assertIn(f"pass in {5000 - now:.0f} ms", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
