"""The form of a routes file: its fields, how each is read, and the routes as the file states them."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Generic, TypeVar

from wickdyke.config import schema
from wickdyke.config.schema import Diagnostics, Field, choice, count, number, record, span, text
from wickdyke.config.sexpr import Atom, Expression, SourceLocation
from wickdyke.route_policy.matching import WILDCARD, Pattern
from wickdyke.route_policy.policy import RETRYABLE_OUTCOMES, BackoffPolicy, RetryBudgetPolicy
from wickdyke.routing.model import Outcome

NO_OUTCOME = "nothing"  # (again nothing): no outcome is retried

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Stated(Generic[T]):
    """The value of a field, and where the file states it."""

    value: T
    location: SourceLocation


@dataclass(slots=True, frozen=True)
class AttemptField:
    """`(attempt TIME (linger TIME))`, in ms: the timeout of an attempt, and how long a worker may go on after it."""

    timeout: float
    linger: float | None


@dataclass(slots=True, frozen=True)
class HedgeField:
    """`(second ...)`: the delay of a hedge in ms or as a share of the soft deadline, and what it may amount to."""

    after: float | None
    after_share: float | None
    max_concurrent: int
    request_share: float


@dataclass(slots=True, frozen=True)
class RouteFields:
    """The fields that a route states, None where it does not. A hedge of the value None is `(second never)`."""

    latency_objective: Stated[float] | None = None
    deadline: Stated[float] | None = None
    attempt: Stated[AttemptField] | None = None
    max_attempts: Stated[int] | None = None
    backoff: Stated[BackoffPolicy] | None = None
    retryable: Stated[frozenset[Outcome]] | None = None
    hedge: Stated[HedgeField | None] | None = None
    retry_budget: Stated[RetryBudgetPolicy] | None = None
    queue_timeout: Stated[float] | None = None
    priority: Stated[int] | None = None

    def stated(self) -> dict[str, Stated[object]]:
        """The fields that are stated, by their key in the file."""
        values = {key: getattr(self, attribute) for key, attribute in ATTRIBUTES.items()}
        return {key: value for key, value in values.items() if value is not None}


# The attribute of RouteFields for each key of the file, in the order in which fields are listed.
ATTRIBUTES = {
    "soft-deadline": "latency_objective",
    "deadline": "deadline",
    "attempt": "attempt",
    "attempts": "max_attempts",
    "pause": "backoff",
    "again": "retryable",
    "second": "hedge",
    "budget": "retry_budget",
    "queue": "queue_timeout",
    "priority": "priority",
}


@dataclass(slots=True, frozen=True)
class Route:
    """One route as the file states it. `like` names the route whose fields it inherits."""

    name: str
    location: SourceLocation
    pattern: Pattern
    like: str | None
    fields: RouteFields


def inherited_fields(lineage: list[Route]) -> RouteFields:
    """The fields that hold for the first of the routes; each of the others is inherited by the one before it."""
    merged = {}
    for attribute in fields(RouteFields):
        stated = (getattr(route.fields, attribute.name) for route in lineage)
        merged[attribute.name] = next((value for value in stated if value is not None), None)
    return RouteFields(**merged)


def _read_attempt(form: Expression, diagnostics: Diagnostics) -> AttemptField | None:
    """(attempt 500 ms (linger 300 ms))"""
    timeout_items: list[Atom | Expression] = [item for item in form.items if isinstance(item, Atom)]
    timeout = span(1.0)(Expression("attempt", timeout_items, form.location), diagnostics)
    linger = None
    for item in form.items:
        if isinstance(item, Atom):
            continue
        if item.name == "linger" and linger is None:
            linger = span()(item, diagnostics)
        else:
            expected = "(attempt TIME) or (attempt TIME (linger TIME))"
            diagnostics.add(item.location, schema.describe(item), expected)
    return None if timeout is None else AttemptField(timeout, linger)


def _read_retryable(form: Expression, diagnostics: Diagnostics) -> frozenset[Outcome]:
    """(again full miss cut), or (again nothing)"""
    words = schema.word_list(form, diagnostics) or ()
    if not words:
        diagnostics.add(form.location, "(again)", "outcomes, or (again nothing)")
    if words == (NO_OUTCOME,):
        return frozenset()
    for word in words:
        if word not in RETRYABLE_OUTCOMES:
            diagnostics.add(form.location, f"the outcome {word}", "some of " + ", ".join(RETRYABLE_OUTCOMES))
    return frozenset(outcome for outcome in RETRYABLE_OUTCOMES if outcome in words)


def _hedge(
    location: SourceLocation, after: float | None, after_share: float | None, at_once: int, part: float
) -> HedgeField:
    return HedgeField(after, after_share, at_once, part)


_read_hedge_record = record(
    _hedge,
    after=Field(span(1.0), None),
    after_share=Field(number(0.01, 10), None),
    at_once=Field(count(2, 10), 2),
    part=Field(number(0.0001, 1), 0.05),
)


def _read_hedge(form: Expression, diagnostics: Diagnostics) -> HedgeField | None:
    """(second never), (second (after 300 ms) ...), (second (after-share 0.4) ...)"""
    if len(form.items) == 1 and isinstance(form.items[0], Atom):
        choice(never=None)(form, diagnostics)
        return None
    hedge: HedgeField | None = _read_hedge_record(form, diagnostics)
    return hedge


def _backoff(location: SourceLocation, first: float, growth: float, most: float, spread: float) -> BackoffPolicy:
    return BackoffPolicy(first, growth, most, spread)


def _retry_budget(location: SourceLocation, window: float, share: float, floor: float) -> RetryBudgetPolicy:
    return RetryBudgetPolicy(window, share, floor)


def _pattern(location: SourceLocation, method: str, program: str, tenant: str) -> Pattern:
    return Pattern(method, program, tenant)


_read_backoff = record(
    _backoff,
    first=Field(span()),
    growth=Field(number(1, 100), 1.0),
    most=Field(span(), float("inf")),
    spread=Field(number(0, 10), 0.0),
)
_read_retry_budget = record(
    _retry_budget,
    window=Field(span()),
    share=Field(number(0, 100), 0.0),
    floor=Field(number(0, 1e6), 0.0),
)
_read_pattern = record(
    _pattern,
    method=Field(text, WILDCARD),
    program=Field(text, WILDCARD),
    tenant=Field(text, WILDCARD),
)


def _stated(reader: Callable[[Expression, Diagnostics], T]) -> Callable[[Expression, Diagnostics], Stated[T]]:
    """A reader that keeps the place of what it reads."""

    def read(form: Expression, diagnostics: Diagnostics) -> Stated[T]:
        return Stated(reader(form, diagnostics), form.location)

    return read


def _route(
    location: SourceLocation, name: str, takes: Pattern, like: str | None, **stated: Stated[object] | None
) -> Route:
    values = {ATTRIBUTES[key.replace("_", "-")]: value for key, value in stated.items()}
    return Route(name, location, takes, like, RouteFields(**values))  # type: ignore[arg-type]  # typed by its reader


_read_route = record(
    _route,
    named=True,
    takes=Field(_read_pattern, Pattern()),
    like=Field(text, None),
    soft_deadline=Field(_stated(span(1.0)), None),
    deadline=Field(_stated(span(1.0)), None),
    attempt=Field(_stated(_read_attempt), None),
    attempts=Field(_stated(count(1, 100)), None),
    pause=Field(_stated(_read_backoff), None),
    again=Field(_stated(_read_retryable), None),
    second=Field(_stated(_read_hedge), None),
    budget=Field(_stated(_read_retry_budget), None),
    queue=Field(_stated(span()), None),
    priority=Field(_stated(count(-1000, 1000)), None),
)


def _routes(location: SourceLocation, route: list[Route]) -> list[Route]:
    return route


_read_routes = record(_routes, route=Field(_read_route, None, many=True))


def parse_routes(forms: list[Expression], path: str) -> list[Route]:
    """The routes of a file's expressions; raises InvalidConfigError with all that is wrong with their form."""
    diagnostics = Diagnostics()
    form = schema.single_expression(forms, "routes", path, diagnostics)
    routes: list[Route] | None = _read_routes(form, diagnostics) if form is not None else None
    diagnostics.raise_if_any()
    return routes or []
