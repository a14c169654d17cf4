"""Tests of routes files: inheritance, formatted text that parses to the same routes, and large files."""

import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.route_fixtures import read_routes
from wickdyke.config import sexpr
from wickdyke.config.builders import Located
from wickdyke.config.route_format import format_routes
from wickdyke.config.route_syntax import (
    ATTRIBUTES_BY_KEY,
    AttemptField,
    HedgeField,
    Route,
    RouteFields,
    parse_routes,
)
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.route_policy.matching import Pattern
from wickdyke.route_policy.policy import RETRYABLE_OUTCOMES, BackoffPolicy, RetryBudgetPolicy

DURATIONS = st.floats(1, 5000).map(lambda ms: round(ms, 3))
FIELDS = {
    "attempt": st.builds(AttemptField, DURATIONS, st.none() | DURATIONS),
    "attempts": st.integers(1, 5),
    "queue": DURATIONS,
    "deadline": DURATIONS,
    "soft-deadline": DURATIONS,
    "priority": st.integers(-9, 9),
    "pause": st.builds(
        BackoffPolicy, DURATIONS, st.integers(1, 4).map(float), st.just(float("inf")) | DURATIONS, st.floats(0, 2)
    ),
    "again": st.frozensets(st.sampled_from(RETRYABLE_OUTCOMES)),
    "second": st.none() | st.builds(HedgeField, DURATIONS, st.none(), st.integers(2, 4), st.just(0.05)),
    "budget": st.builds(RetryBudgetPolicy, DURATIONS, st.floats(0, 1), st.floats(0, 5)),
}


class RouteConfigTest(unittest.TestCase):
    """Inherited fields, round trips and large files."""

    def test_fields_are_inherited(self):
        """A value is taken from the nearest route that states it, else from the method."""
        routes = read_routes(
            '(route "base" (attempts 2) (attempt 1 s) (priority 1)) (route "mid" (like "base") '
            '(takes (method "idem")) (priority 2)) (route "leaf" (like "mid") (takes (method "idem") '
            '(program "p*")) (queue 30 ms) (deadline 3 s))'
        )
        effective = routes.find("idem", "pq")
        self.assertEqual(effective.route.name, "leaf")
        self.assertEqual(
            (
                effective.policy.max_attempts,
                effective.policy.priority,
                effective.policy.queue_timeout,
                effective.policy.deadline,
                effective.policy.latency_objective,
            ),
            (2, 2, 30.0, 3000.0, 750.0),
        )
        self.assertEqual(sorted(effective.origins), ["attempt", "attempts", "deadline", "priority", "queue"])
        self.assertEqual(routes.find("tok", "pq").route.name, "base")

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["idem", "side", "tok", "i*", "*"]),
                st.sampled_from(["p", "p*", "pq*", 'a "b"\\*', "*"]),
                st.fixed_dictionaries({}, optional=FIELDS),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_formatted_routes_parse_to_the_same(self, drawn):
        """Formatting routes and parsing the text returns the same routes."""
        location = sexpr.SourceLocation("f", 1, 1)
        routes = [
            Route(
                f"r{index}",
                location,
                Pattern(method, function),
                None,
                RouteFields(**{ATTRIBUTES_BY_KEY[key]: Located(value, location) for key, value in fields.items()}),
            )
            for index, (method, function, fields) in enumerate(drawn)
        ]
        text = format_routes(routes)
        parsed = parse_routes(sexpr.parse(text, "f"), "f")
        self.assertEqual(
            [
                (route.name, route.pattern, {key: stated.value for key, stated in route.fields.stated_fields().items()})
                for route in parsed
            ],
            [
                (route.name, route.pattern, {key: stated.value for key, stated in route.fields.stated_fields().items()})
                for route in routes
            ],
        )
        self.assertEqual(format_routes(parsed), text)

    def test_large_file_is_checked_quickly(self):
        """A file of 2,000 routes is checked within seconds, and each error in it is reported."""
        lines = [
            f'(route "r{index}" (takes (method "idem") (program "p{index}/*")) (attempts 2) (attempt 1 s))'
            for index in range(2000)
        ]
        lines[777] = lines[777].replace("1 s", "2 s")
        lines[1500] = lines[1500].replace("p1500", "p1499")
        started = time.monotonic()
        with self.assertRaises(InvalidConfigError) as raised:
            read_routes(" ".join(lines))
        self.assertEqual(len(raised.exception.diagnostics), 2)
        self.assertLess(time.monotonic() - started, 60)


if __name__ == "__main__":
    unittest.main()
