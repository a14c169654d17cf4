"""The syntax of a routes file: its fields, their readers, and the routes as the file states them."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, TypeVar

from wickdyke.config import schema
from wickdyke.config.builders import Located, unlocated
from wickdyke.config.schema import (
    Diagnostics,
    Field,
    Reader,
    choice,
    count,
    duration,
    number,
    record,
    text,
)
from wickdyke.config.sexpr import Atom, Expression, SourceLocation
from wickdyke.route_policy.matching import WILDCARD, Pattern
from wickdyke.route_policy.policy import RETRYABLE_OUTCOMES, BackoffPolicy, RetryBudgetPolicy
from wickdyke.routing.model import Outcome

NO_OUTCOME = "nothing"  # in `(again nothing)`: no outcome is retried

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class AttemptField:
    """`(attempt TIME (linger TIME))`: the timeout of an attempt, and how long a worker may continue after it, in ms."""

    timeout: float
    linger: float | None


@dataclass(slots=True, frozen=True)
class HedgeField:
    """`(second ...)`: the delay of a hedge (in ms or as a share of the soft deadline), and the limits of hedges."""

    after: float | None
    after_share: float | None
    max_concurrent: int
    request_share: float


@dataclass(slots=True, frozen=True)
class RouteFields:
    """The fields that a route states; None for the others. A hedge whose value is None is `(second never)`."""

    latency_objective: Located[float] | None = None
    deadline: Located[float] | None = None
    attempt: Located[AttemptField] | None = None
    max_attempts: Located[int] | None = None
    backoff: Located[BackoffPolicy] | None = None
    retryable: Located[frozenset[Outcome]] | None = None
    hedge: Located[HedgeField | None] | None = None
    retry_budget: Located[RetryBudgetPolicy] | None = None
    queue_timeout: Located[float] | None = None
    priority: Located[int] | None = None

    def stated_fields(self) -> dict[str, Located[object]]:
        """Returns the stated fields, by their key in the file."""
        values = {key: getattr(self, attribute) for key, attribute in ATTRIBUTES_BY_KEY.items()}
        return {key: value for key, value in values.items() if value is not None}


@dataclass(slots=True, frozen=True)
class Route:
    """One route as the file states it. `like` names the route whose fields it inherits."""

    name: str
    location: SourceLocation
    pattern: Pattern
    like: str | None
    fields: RouteFields


def inherited_fields(inheritance_chain: list[Route]) -> RouteFields:
    """Returns the own and inherited fields of the first route; each route inherits from the next one in the list."""
    merged = {}
    for attribute in fields(RouteFields):
        stated = (getattr(route.fields, attribute.name) for route in inheritance_chain)
        merged[attribute.name] = next((value for value in stated if value is not None), None)
    return RouteFields(**merged)


def _read_attempt(expression: Expression, diagnostics: Diagnostics) -> AttemptField | None:
    """Reads `(attempt 500 ms (linger 300 ms))`."""
    timeout_items: list[Atom | Expression] = [item for item in expression.items if isinstance(item, Atom)]
    timeout = duration(1.0)(Expression("attempt", timeout_items, expression.location), diagnostics)
    linger = None
    for item in expression.items:
        if isinstance(item, Atom):
            continue
        if item.name == "linger" and linger is None:
            linger = duration()(item, diagnostics)
        else:
            expected = "(attempt TIME) or (attempt TIME (linger TIME))"
            diagnostics.add(item.location, schema.describe(item), expected)
    return None if timeout is None else AttemptField(timeout, linger)


def _read_retryable(expression: Expression, diagnostics: Diagnostics) -> frozenset[Outcome]:
    """Reads `(again full miss cut)` or `(again nothing)`."""
    words = schema.word_list(expression, diagnostics) or ()
    if not words:
        diagnostics.add(expression.location, "(again)", "outcomes, or (again nothing)")
    if words == (NO_OUTCOME,):
        return frozenset()
    for word in words:
        if word not in RETRYABLE_OUTCOMES:
            diagnostics.add(expression.location, f"the outcome {word}", "some of " + ", ".join(RETRYABLE_OUTCOMES))
    return frozenset(outcome for outcome in RETRYABLE_OUTCOMES if outcome in words)


_read_hedge_record = record(
    unlocated(HedgeField),
    after=Field(duration(1.0), None),
    after_share=Field(number(0.01, 10), None),
    at_once=Field(count(2, 10), 2, parameter="max_concurrent"),
    part=Field(number(0.0001, 1), 0.05, parameter="request_share"),
)


def _read_hedge(expression: Expression, diagnostics: Diagnostics) -> HedgeField | None:
    """Reads `(second never)`, `(second (after 300 ms) ...)` or `(second (after-share 0.4) ...)`."""
    if len(expression.items) == 1 and isinstance(expression.items[0], Atom):
        choice(never=None)(expression, diagnostics)
        return None
    return _read_hedge_record(expression, diagnostics)


_read_backoff = record(
    unlocated(BackoffPolicy),
    first=Field(duration(), parameter="initial"),
    growth=Field(number(1, 100), 1.0),
    most=Field(duration(), float("inf"), parameter="maximum"),
    spread=Field(number(0, 10), 0.0, parameter="jitter"),
)
_read_retry_budget = record(
    unlocated(RetryBudgetPolicy),
    window=Field(duration()),
    share=Field(number(0, 100), 0.0),
    floor=Field(number(0, 1e6), 0.0),
)
_read_pattern = record(
    unlocated(Pattern),
    method=Field(text, WILDCARD),
    program=Field(text, WILDCARD, parameter="function"),
    tenant=Field(text, WILDCARD),
)


def _located(reader: Callable[[Expression, Diagnostics], T]) -> Reader[Located[T]]:
    """Returns a reader that combines a value, also None, with its location."""

    def read(expression: Expression, diagnostics: Diagnostics) -> Located[T]:
        return Located(reader(expression, diagnostics), expression.location)

    return read


# The reader of each field of a route, by its key in the file; `parameter` is the attribute of RouteFields. Fields are
# listed in this order.
_FIELDS: dict[str, Field[Any]] = {
    "soft-deadline": Field(_located(duration(1.0)), None, parameter="latency_objective"),
    "deadline": Field(_located(duration(1.0)), None, parameter="deadline"),
    "attempt": Field(_located(_read_attempt), None, parameter="attempt"),
    "attempts": Field(_located(count(1, 100)), None, parameter="max_attempts"),
    "pause": Field(_located(_read_backoff), None, parameter="backoff"),
    "again": Field(_located(_read_retryable), None, parameter="retryable"),
    "second": Field(_located(_read_hedge), None, parameter="hedge"),
    "budget": Field(_located(_read_retry_budget), None, parameter="retry_budget"),
    "queue": Field(_located(duration()), None, parameter="queue_timeout"),
    "priority": Field(_located(count(-1000, 1000)), None, parameter="priority"),
}
# The attribute of RouteFields for each key of the file.
ATTRIBUTES_BY_KEY = {key: field.parameter for key, field in _FIELDS.items()}


def _route(
    location: SourceLocation, name: str, pattern: Pattern, like: str | None, **stated: Located[Any] | None
) -> Route:
    return Route(name, location, pattern, like, RouteFields(**stated))


_read_route = record(
    _route,
    named=True,
    takes=Field(_read_pattern, Pattern(), parameter="pattern"),
    like=Field(text, None),
    **{key.replace("-", "_"): field for key, field in _FIELDS.items()},
)


def _routes(route: list[Route]) -> list[Route]:
    return route


_read_routes = record(unlocated(_routes), route=Field(_read_route, None, repeatable=True))


def parse_routes(expressions: list[Expression], path: str) -> list[Route]:
    """Returns the routes of a file's expressions. Raises InvalidConfigError with all errors of their syntax."""
    diagnostics = Diagnostics()
    routes = schema.read_single(expressions, "routes", path, _read_routes, diagnostics)
    return schema.required(routes, diagnostics)
