"""The routes file: what operators state of the timing of requests, checked against the rules when it is read."""

from dataclasses import dataclass

from wickdyke.config import schema, sexpr
from wickdyke.config.effective_policy import EffectivePolicy, effective_policy
from wickdyke.config.route_syntax import Route, inherited_fields, parse_routes
from wickdyke.config.schema import Diagnostics
from wickdyke.config.sexpr import Expression, SourceLocation
from wickdyke.route_policy import validation
from wickdyke.route_policy.matching import Pattern, RouteTable, find_ambiguities, pattern_covers
from wickdyke.route_policy.policy import Environment
from wickdyke.route_policy.transition import RetryBudgetUser
from wickdyke.routing.model import RequestClass


@dataclass(slots=True)
class Routes:
    """A checked file. `policies` are by the names of route and request class."""

    routes: list[Route]
    table: RouteTable[Route]
    policies: dict[tuple[str, str], EffectivePolicy]

    def retry_budget_users(self) -> list[RetryBudgetUser]:
        """The routes as far as their retry budgets go."""
        users: dict[str, RetryBudgetUser] = {}
        for (name, _), effective in self.policies.items():
            policy = effective.policy
            lifetime = max(policy.deadline, users[name].request_lifetime if name in users else 0.0)
            users[name] = RetryBudgetUser(
                name, effective.route.pattern, policy.retry_budget, policy.max_attempts, lifetime
            )
        return list(users.values())

    def find(self, method: str, function: str, tenant: str = "") -> EffectivePolicy | None:
        """What holds for a request by the most specific route that matches it, or None."""
        route = self.table.find(method, function, tenant)
        return None if route is None else self.policies[route.name, method]


def read(path: str, request_classes: list[RequestClass], environment: Environment) -> Routes:
    """Reads and checks a file; raises InvalidConfigError with all that is wrong."""
    return build(sexpr.read(path), path, request_classes, environment)


def build(forms: list[Expression], path: str, request_classes: list[RequestClass], environment: Environment) -> Routes:
    """Checks the expressions of a file; raises InvalidConfigError with all that is wrong."""
    routes = parse_routes(forms, path)
    diagnostics = Diagnostics()
    names = [route.name for route in routes]
    schema.check_unique(names, [route.location for route in routes], "route", diagnostics)
    lineages = _resolve_lineages(routes, diagnostics)
    _check_ambiguities(routes, diagnostics)
    policies = _effective_policies(lineages, request_classes, environment, diagnostics)
    diagnostics.entries = list(dict.fromkeys(diagnostics.entries))
    diagnostics.raise_if_any()
    return Routes(routes, RouteTable([(route.pattern, route) for route in routes]), policies)


def _resolve_lineages(routes: list[Route], diagnostics: Diagnostics) -> list[list[Route]]:
    """For each route, itself and those that it inherits from, the nearest first; adds diagnostics for circles."""
    by_name = {route.name: route for route in routes}
    return [_lineage(route, by_name, diagnostics) for route in routes]


def _lineage(route: Route, by_name: dict[str, Route], diagnostics: Diagnostics) -> list[Route]:
    lineage = [route]
    while (like := lineage[-1].like) is not None:
        if like not in by_name:
            last = lineage[-1]
            diagnostics.add(last.location, f'route "{last.name}" like "{like}"', "a route of this file")
            break
        parent = by_name[like]
        if parent is route:
            circle = " like ".join(f'"{member.name}"' for member in [*lineage, route])
            diagnostics.add(route.location, f'route "{route.name}" like itself: {circle}', "no circle")
        if parent in lineage:
            break
        lineage.append(parent)
    return lineage


def _check_ambiguities(routes: list[Route], diagnostics: Diagnostics) -> None:
    for ambiguity in find_ambiguities([route.pattern for route in routes]):
        first, second = routes[ambiguity.first], routes[ambiguity.second]
        overlap = _describe_pattern(ambiguity.overlap)
        if first.pattern == second.pattern:
            expected = "different ones"
        else:
            expected = f"one that is the more specific, or a third for {overlap}"
        found = f'route "{second.name}" and "{first.name}" of line {first.location.line} both for {overlap}'
        diagnostics.add(second.location, found, expected)


def _describe_pattern(pattern: Pattern) -> str:
    return f'(method "{pattern.method}") (program "{pattern.function}") (tenant "{pattern.tenant}")'


def _effective_policies(
    lineages: list[list[Route]], request_classes: list[RequestClass], environment: Environment, diagnostics: Diagnostics
) -> dict[tuple[str, str], EffectivePolicy]:
    """What holds for each route and request class it matches; adds diagnostics for all violations of the rules."""
    policies: dict[tuple[str, str], EffectivePolicy] = {}
    reported: set[tuple[SourceLocation, validation.Violation]] = set()
    for lineage in lineages:
        route = lineage[0]
        matching = [each for each in request_classes if pattern_covers(route.pattern.method, each.name)]
        if not matching:
            found = f'route "{route.name}" for method "{route.pattern.method}", which no RPC can have'
            diagnostics.add(route.location, found, "one of " + ", ".join(each.name for each in request_classes))
        fields = inherited_fields(lineage)
        for request_class in matching:
            effective = effective_policy(route, fields, request_class, diagnostics)
            policies[route.name, request_class.name] = effective
            for violation in validation.validate(effective.policy, request_class, environment):
                location = effective.origins.get(violation.field, route.location)
                if (location, violation) not in reported:  # a line that many routes inherit is reported once
                    reported.add((location, violation))
                    found = f'in route "{route.name}" {violation.actual}'
                    diagnostics.add(location, found, violation.expected, _suggested_fix(violation))
    return policies


def _suggested_fix(violation: validation.Violation) -> str:
    """The nearest policy that passes, and the course that shows the harm."""
    parts = [f"nearest: {violation.suggestion}"] if violation.suggestion else []
    if violation.timeline:
        parts.append("as in: " + ", ".join(f"at {event.time:g} ms {event.description}" for event in violation.timeline))
    return "; ".join(parts)
