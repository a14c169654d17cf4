"""The routes file: what operators state of the timing of RPCs, checked against the rules when it is read."""

from dataclasses import dataclass, field
from typing import Any

from wickdyke.config import schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, choice, count, number, record, span, text
from wickdyke.config.sexpr import Atom, Expression, SourceLocation
from wickdyke.route_policy import policy, validation
from wickdyke.route_policy.matching import ANY, Pattern, RouteTable, covers, find_ties
from wickdyke.route_policy.policy import (
    NEVER_RAN,
    OUTCOMES,
    BackoffPolicy,
    Environment,
    HedgePolicy,
    Policy,
    RetryBudgetPolicy,
)
from wickdyke.route_policy.transition import PolicyTransition, RetryBudgetUser
from wickdyke.routing.model import RequestClass, RoutePolicy


@dataclass(slots=True)
class Route:
    """One route as written: each field stated in it with its place, and the route it is like."""

    name: str
    spot: SourceLocation
    takes: Pattern
    like: str | None
    stated: dict[str, tuple[Any, SourceLocation]]
    # the route itself first, then those it is like
    line: list["Route"] = field(default_factory=list)

    def holds(self, name: str) -> tuple[Any, SourceLocation] | None:
        """What holds for a field and where it is stated."""
        return next((each.stated[name] for each in self.line if name in each.stated), None)


@dataclass(slots=True, frozen=True)
class EffectivePolicy:
    """What holds for the RPCs of one route and method: the terms, and the place of each stated field."""

    route: Route
    terms: Policy
    origins: dict[str, SourceLocation]
    router_policy: RoutePolicy


@dataclass(slots=True)
class Routes:
    """A checked file: `find` gives what holds for an RPC, or None where no route takes it."""

    routes: list[Route]
    table: RouteTable
    held: dict[tuple[str, str], EffectivePolicy]

    def payers(self) -> list[RetryBudgetUser]:
        """The routes as far as their budgets go."""
        found: dict[str, RetryBudgetUser] = {}
        for (name, _), held in self.held.items():
            lives = max(held.terms.deadline, found[name].lives if name in found else 0.0)
            found[name] = RetryBudgetUser(name, held.route.takes, held.terms.budget, held.terms.attempts, lives)
        return list(found.values())

    def find(self, method: str, program: str, tenant: str = "") -> EffectivePolicy | None:
        """The terms of the most specific route that takes the RPC."""
        route = self.table.find(method, program, tenant)
        return None if route is None else self.held[route.name, method]


def _attempt(form: Expression, notes: Diagnostics) -> tuple[float | None, float | None] | None:
    """(attempt 500 ms (linger 300 ms))"""
    plain = [item for item in form.items if isinstance(item, Atom)]
    more = [item for item in form.items if isinstance(item, Expression)]
    took, linger = span(1.0)(Expression("attempt", plain, form.location), notes), None
    for item in more:
        if item.name == "linger" and linger is None:
            linger = span()(item, notes)
        else:
            notes.add(item.location, schema.describe(item), "(attempt TIME) or (attempt TIME (linger TIME))")
    return took, linger


def _again(form: Expression, notes: Diagnostics) -> frozenset[str] | None:
    """(again full miss cut), or (again nothing)"""
    named = schema.word_list(form, notes) or ()
    if not named:
        notes.add(form.location, "(again)", "outcomes, or (again nothing)")
    for word in named if named != ("nothing",) else ():
        if word not in OUTCOMES:
            notes.add(form.location, f"the outcome {word}", "some of " + ", ".join(OUTCOMES))
    return frozenset(named) - {"nothing"}


def _second(form: Expression, notes: Diagnostics) -> Any:
    """(second never), (second (after 300 ms) ...), (second (after-share 0.4) ...)"""
    if len(form.items) == 1 and isinstance(form.items[0], Atom):
        return choice(never=None)(form, notes)
    return SECOND(form, notes)


def _seconds(
    location: SourceLocation, after: float | None, after_share: float | None, at_once: int, part: float
) -> Any:
    return after, after_share, at_once, part


SECOND = record(
    _seconds,
    after=Field(span(1.0), None),
    after_share=Field(number(0.01, 10), None),
    at_once=Field(count(2, 10), 2),
    part=Field(number(0.0001, 1), 0.05),
)
PAUSE = record(
    lambda location, **values: BackoffPolicy(**values),
    first=Field(span()),
    growth=Field(number(1, 100), 1.0),
    most=Field(span(), float("inf")),
    spread=Field(number(0, 10), 0.0),
)
BUDGET = record(
    lambda location, **values: RetryBudgetPolicy(**values),
    window=Field(span()),
    share=Field(number(0, 100), 0.0),
    floor=Field(number(0, 1e6), 0.0),
)
TAKES = record(
    lambda location, **parts: Pattern(**parts),
    method=Field(text, ANY),
    program=Field(text, ANY),
    tenant=Field(text, ANY),
)
READERS: dict[str, schema.Reader] = {
    "soft-deadline": span(1.0),
    "deadline": span(1.0),
    "attempt": _attempt,
    "attempts": count(1, 100),
    "pause": PAUSE,
    "again": _again,
    "second": _second,
    "budget": BUDGET,
    "queue": span(),
    "priority": count(-1000, 1000),
}


def _placed(reader: schema.Reader) -> schema.Reader:
    return lambda form, notes: (reader(form, notes), form.location)


def _route(location: SourceLocation, name: str, takes: Pattern, like: str | None, **stated) -> Route:
    return Route(
        name,
        location,
        takes,
        like,
        {key.replace("_", "-"): value for key, value in stated.items() if value is not None},
    )


ROUTE = record(
    _route,
    named=True,
    takes=Field(TAKES, Pattern()),
    like=Field(text, None),
    **{name.replace("-", "_"): Field(_placed(reader), None) for name, reader in READERS.items()},
)
ROUTES = record(lambda location, route: route, route=Field(ROUTE, None, many=True))


def _lines(routes: list[Route], notes: Diagnostics) -> None:
    """Finds whom each route is like, and refuses circles."""
    named = {route.name: route for route in routes}
    for route in routes:
        line = [route]
        while (like := line[-1].like) is not None:
            if like not in named:
                notes.add(line[-1].spot, f'route "{line[-1].name}" like "{like}"', "a route of this file")
                break
            if named[like] in line:
                if route is named[like]:
                    notes.add(
                        route.spot,
                        f'route "{route.name}" like itself: '
                        + " like ".join(f'"{each.name}"' for each in [*line, route]),
                        "no circle",
                    )
                break
            line.append(named[like])
        route.line = line


def _terms(route: Route, method: RequestClass, notes: Diagnostics) -> EffectivePolicy:
    origins, values = {}, {}
    for name in READERS:
        if (held := route.holds(name)) is not None:
            values[name], origins[name] = held
    soft, deadline = values.get("soft-deadline", method.latency_objective), values.get("deadline", method.deadline)
    attempt, linger = values.get("attempt", (None, None))
    second = values.get("second")
    if second is not None:
        after, share, at_once, part = second
        if (after is None) == (share is None):
            notes.add(
                origins["second"],
                "(second ...) with " + ("neither" if after is None else "both"),
                "either (after TIME) or (after-share SHARE)",
            )
        second = HedgePolicy(after if after is not None else soft * (share or 0.0), at_once, part)
    terms = Policy(
        soft,
        deadline,
        attempt,
        linger,
        values.get("attempts", 1),
        values.get("pause", BackoffPolicy()),
        values.get("again", NEVER_RAN),
        second,
        values.get("budget"),
        values.get("queue"),
        values.get("priority", 0),
    )
    return EffectivePolicy(route, terms, origins, router_policy(terms, route.name))


def build(forms: list[Expression], path: str, methods: list[RequestClass], ground: Environment) -> Routes:
    """Checks the forms of a file; raises Unusable with all that is wrong."""
    notes = Diagnostics()
    form = schema.single_expression(forms, "routes", path, notes)
    routes = ROUTES(form, notes) if form is not None else None
    if notes.entries or routes is None:
        notes.raise_if_any()
    schema.check_unique([route.name for route in routes], [route.spot for route in routes], "route", notes)
    _lines(routes, notes)
    for one, other, both in find_ties([route.takes for route in routes]):
        _tie(routes[one], routes[other], both, notes)
    held: dict[tuple[str, str], EffectivePolicy] = {}
    said: set[tuple[SourceLocation, validation.Violation]] = set()
    for route in routes:
        mine = [method for method in methods if covers(route.takes.method, method.name)]
        if not mine:
            notes.add(
                route.spot,
                f'route "{route.name}" for method "{route.takes.method}", which no RPC can have',
                "one of " + ", ".join(method.name for method in methods),
            )
        for method in mine:
            one = held[route.name, method.name] = _terms(route, method, notes)
            known = validation_method(method)
            for refusal in validation.validate(one.terms, known, ground):
                at = one.origins.get(refusal.field, route.spot)
                if (at, refusal) not in said:  # a line that many routes inherit is wrong once
                    said.add((at, refusal))
                    notes.add(at, f'in route "{route.name}" {refusal.found}', refusal.expected, suggested_fix(refusal))
    notes.entries = list(dict.fromkeys(notes.entries))
    notes.raise_if_any()
    return Routes(routes, RouteTable([(route.takes, route) for route in routes]), held)


def validation_method(method: RequestClass) -> policy.MethodTerms:
    """What the check needs of a method."""
    return policy.MethodTerms(method.name, method.effect, method.scope, method.dedupe_window)


def suggested_fix(refusal: validation.Violation) -> str:
    """The nearest that passes, and the course that shows the harm."""
    parts = [f"nearest: {refusal.nearest}"] if refusal.nearest else []
    if refusal.schedule:
        parts.append("as in: " + ", ".join(f"at {at:g} ms {what}" for at, what in refusal.schedule))
    return "; ".join(parts)


def _tie(one: Route, other: Route, both: Pattern, notes: Diagnostics) -> None:
    what = " ".join(f'({name} "{getattr(both, name)}")' for name in ("method", "program", "tenant"))
    expected = "different ones" if one.takes == other.takes else f"one that is the more specific, or a third for {what}"
    notes.add(other.spot, f'route "{other.name}" and "{one.name}" of line {one.spot.line} both for {what}', expected)


def read(path: str, methods: list[RequestClass], ground: Environment) -> Routes:
    """Reads and checks a file."""
    return build(sexpr.read(path), path, methods, ground)


def router_policy(terms: Policy, account: str) -> RoutePolicy:
    """The terms as the module takes them. What a route's RPCs may still spend goes by its name, so that it goes on in
    a file read anew, also for those taken under the earlier one."""
    pause, second, budget = terms.pause, terms.second, terms.budget
    most = min(pause.most, terms.deadline)  # a recording has no word for the infinite, and longer is never over
    return RoutePolicy(
        terms.soft,
        terms.attempt,
        terms.attempts,
        (pause.first, pause.growth, most, pause.spread),
        terms.again,
        (second.after, second.at_once, second.share) if second else None,
        (budget.window, budget.share, budget.floor) if budget else None,
        terms.queue,
        terms.priority,
        account,
    )


def check_transition(new: Routes, path: str, succession: PolicyTransition, now: float) -> None:
    """Raises Unusable where the file would strand RPCs of an earlier one, with when it would not any more."""
    notes = Diagnostics()
    named = {route.name: route.spot for route in new.routes}
    stranded = succession.strands(new.payers(), now)
    for each in stranded:
        payer, budget = each.payer, each.payer.budget
        fix = (
            f"nearest: first (budget (window {budget.window:g} ms) (share {budget.share:g}) (floor 1)), and this "
            f"{payer.lives:g} ms later"
            if each.until is None
            else f"this will pass in {each.until - now:.0f} ms"
        )
        notes.add(
            named.get(payer.name, SourceLocation(path, 1, 1)),
            f'route "{payer.name}" {each.why}, and its RPCs in flight '
            f"pay for further attempts from its share alone (floor {budget.floor:g})",
            "a change that leaves them a budget",
            fix,
        )
    if stranded and all(each.until is not None for each in stranded):
        raise sexpr.IncompleteInputError(notes.entries)
    notes.raise_if_any()


# ---- as text ----


def _time(ms: float) -> str:
    return f"{ms!r} ms"


def field_text(name: str, value: Any) -> str:
    """One field as the reader takes it."""
    match name, value:
        case "attempt", (took, linger):
            return f"(attempt {_time(took)}" + (f" (linger {_time(linger)}))" if linger is not None else ")")
        case "pause", BackoffPolicy():
            most = f" (most {_time(value.most)})" if value.most != float("inf") else ""
            return f"(pause (first {_time(value.first)}) (growth {value.growth!r}){most} (spread {value.spread!r}))"
        case "again", _:
            return f"(again {' '.join(sorted(value)) or 'nothing'})"
        case "second", None:
            return "(second never)"
        case "second", (after, share, at_once, part):
            begins = f"(after {_time(after)})" if after is not None else f"(after-share {share!r})"
            return f"(second {begins} (at-once {at_once}) (part {part!r}))"
        case "budget", RetryBudgetPolicy():
            return f"(budget (window {_time(value.window)}) (share {value.share!r}) (floor {value.floor!r}))"
        case (("soft-deadline" | "deadline" | "queue"), _):
            return f"({name} {_time(value)})"
    return f"({name} {value})"


def _quoted(value: str) -> str:
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def format_routes(routes: list[Route]) -> str:
    """The text of a file, as `read` takes it."""
    lines = ["(routes"]
    for route in routes:
        parts = [f"(like {_quoted(route.like)})"] if route.like is not None else []
        parts.append(
            "(takes "
            + " ".join(f"({name} {_quoted(getattr(route.takes, name))})" for name in ("method", "program", "tenant"))
            + ")"
        )
        parts += [field_text(name, value) for name, (value, _) in route.stated.items()]
        lines.append(f"  (route {_quoted(route.name)}\n    " + "\n    ".join(parts) + ")")
    return "\n".join(lines) + ")\n"
