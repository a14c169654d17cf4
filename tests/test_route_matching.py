"""Tests of the selection of a request's route and the detection of ambiguous routes."""

import unittest

from wickdyke.route_policy.matching import Pattern, RouteTable, find_ambiguities


class MatchingTest(unittest.TestCase):
    """The most specific route, ambiguous patterns, and the number of lookups of a search."""

    def test_most_specific_route(self):
        """(request) -> the route that is found."""
        table = RouteTable(
            [
                (pattern, pattern)
                for pattern in (
                    Pattern(),
                    Pattern("m"),
                    Pattern("m", "p*"),
                    Pattern("m", "pq*"),
                    Pattern("m", "pqr"),
                    Pattern("m", "pqr", "t"),
                    Pattern(function="z*"),
                    Pattern("m", "z*"),
                )
            ]
        )
        for request, expected in (
            (("x", "x"), Pattern()),
            (("m", "x"), Pattern("m")),
            (("m", "p"), Pattern("m", "p*")),
            (("m", "pqx"), Pattern("m", "pq*")),
            (("m", "pqr"), Pattern("m", "pqr")),
            (("m", "pqr", "t"), Pattern("m", "pqr", "t")),
            (("m", "pqr", "u"), Pattern("m", "pqr")),
            (("x", "zz"), Pattern(function="z*")),
            (("m", "zz"), Pattern("m", "z*")),
        ):
            with self.subTest(request=request):
                self.assertEqual(table.find(*request), expected)
        self.assertIsNone(RouteTable([]).find("m", "p"))

    def test_ambiguities(self):
        """(patterns) -> the number of ambiguous pairs."""
        for patterns, count in (
            ([Pattern("m"), Pattern(function="p")], 1),
            ([Pattern("m"), Pattern("m", "p")], 0),
            ([Pattern("m"), Pattern(function="p"), Pattern("m", "p")], 0),
            ([Pattern(), Pattern()], 1),
            ([Pattern("m"), Pattern("n")], 0),
            ([Pattern("a*", "p"), Pattern("ab", "p*")], 1),
            ([Pattern(function="p*"), Pattern(function="pq*")], 0),
            ([Pattern("m", "p*"), Pattern("m", tenant="t"), Pattern(function="p*", tenant="t")], 3),
            ([Pattern("m", "p*"), Pattern("m", tenant="t"), Pattern("m", "p*", "t")], 0),
        ):
            with self.subTest(patterns=patterns):
                self.assertEqual(len(find_ambiguities(patterns)), count)

    def test_lookups_do_not_grow_with_routes(self):
        """The lookups of a search depend on the lengths of names, not on the number of routes."""
        lookups = []
        for count in (10, 1000, 10000):
            patterns = [Pattern("m", f"p{index}/*") for index in range(count - 1)] + [Pattern("m")]
            table = RouteTable([(pattern, pattern) for pattern in patterns])
            self.assertEqual(table.find("m", "p7/x"), Pattern("m", "p7/*"))
            lookups.append(table.lookups)
        self.assertLessEqual(max(lookups), lookups[0] + 4, lookups)  # one for each length of the number in a name


if __name__ == "__main__":
    unittest.main()
