"""Changes of a routes file: what may come into force while requests of the earlier file are open."""

import unittest

from tests.route_fixtures import read_routes
from wickdyke.config import route_transition, sexpr
from wickdyke.route_policy.transition import PolicyTransition


class TransitionTest(unittest.TestCase):
    """Changes of a file in force, by what open requests depend on."""

    BARE = "(budget (window 10 s) (share 0.1))"
    OLD = f'(route "r" (takes (method "idem")) (attempts 2) (attempt 1 s) {BARE})'

    def test_one_change(self):
        """(file in force, new file) -> words of the diagnostic; none where it may come into force."""
        old, bare = self.OLD, self.BARE
        other = '(route "s" (takes (method "idem")) (attempts 2) (attempt 1 s))'
        for was, new, words in (
            (old, other, ('route "r" is gone', "floor 0", "(floor 1)", "4000 ms later")),
            (old, '(route "r" (takes (method "idem")))', ("a budget no more",)),
            (old, old.replace("(attempts 2)", "").replace(bare, ""), ("a budget no more",)),
            (old, old.replace("10 s", "9 s"), ("over 9000 ms instead of 10000 ms",)),
            (
                old,
                old.replace('"idem"', '"side"').replace("(attempts", "(again full) (attempts"),
                ("none of the RPCs",),
            ),
            (
                old.replace('"idem"', '"idem") (program "a*"'),
                old.replace('"idem"', '"idem") (program "b*"'),
                ("none of the RPCs",),
            ),
            (
                old.replace('"idem"', '"idem") (program "a/*"'),
                old + '(route "s" (takes (method "idem") (program "a*")))',
                ("leaves all the RPCs", 'route "r"'),
            ),
            (old.replace("(share 0.1)", "(share 0.1) (floor 0.9)"), other, ("floor 0.9",)),
            # near misses
            (old.replace("(share 0.1)", "(share 0.1) (floor 1)"), other, ()),
            (old.replace(bare, ""), other, ()),
            (old, old, ()),
            (old, old.replace("0.1", "0.2"), ()),
            (old, old.replace("(share 0.1)", "(share 0.1) (floor 1)"), ()),
            (old, old.replace("(attempts 2) (attempt 1 s)", "(attempts 3) (attempt 900 ms) (priority 3)"), ()),
            (old.replace('"idem"', '"idem") (program "a*"'), old.replace('"idem"', '"idem") (program "ab*"'), ()),
            (old, old + '(route "s" (takes (method "idem") (program "a*")))', ()),
            (other, old, ()),
        ):
            with self.subTest(was=was, new=new):
                transition = PolicyTransition()
                transition.activate(read_routes(was).retry_budget_users(), 0.0)
                found = []
                try:
                    route_transition.check_transition(read_routes(new), "f", transition, 1.0)
                except sexpr.InvalidConfigError as error:
                    found = [str(diagnostic) for diagnostic in error.diagnostics]
                    self.assertNotIsInstance(error, sexpr.IncompleteInputError)
                self.assertEqual(len(found), bool(words), found)
                for word in words:
                    self.assertIn(word, found[0])

    def test_two_changes(self):
        """A budget may go in two steps; the second waits for requests received before the first, to the moment."""
        floor = self.OLD.replace("(share 0.1)", "(share 0.1) (floor 1)")
        other = '(route "s" (takes (method "idem")) (attempts 2) (attempt 1 s))'
        transition = PolicyTransition()
        transition.activate(read_routes(self.OLD).retry_budget_users(), 0.0)
        route_transition.check_transition(read_routes(floor), "f", transition, 1000.0)
        transition.activate(read_routes(floor).retry_budget_users(), 1000.0)
        for now, passes in ((1000.0, False), (4999.0, False), (5000.0, True)):
            with self.subTest(now=now):
                if passes:
                    route_transition.check_transition(read_routes(other), "f", transition, now)
                else:
                    with self.assertRaises(sexpr.IncompleteInputError) as caught:
                        route_transition.check_transition(read_routes(other), "f", transition, now)
                    self.assertIn(f"pass in {5000 - now:.0f} ms", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
