"""The routes file: operators' policies for the timing of requests, validated when the file is read."""

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
    """A validated routes file. The keys of `policies` are the names of route and request class."""

    routes: list[Route]
    table: RouteTable[Route]
    policies: dict[tuple[str, str], EffectivePolicy]

    def retry_budget_users(self) -> list[RetryBudgetUser]:
        """Returns the retry budget of each route, with the properties of the route that affect it."""
        users: dict[str, RetryBudgetUser] = {}
        for (name, _), effective in self.policies.items():
            policy = effective.policy
            lifetime = max(policy.deadline, users[name].request_lifetime if name in users else 0.0)
            users[name] = RetryBudgetUser(
                name, effective.route.pattern, policy.retry_budget, policy.max_attempts, lifetime
            )
        return list(users.values())

    def find(self, method: str, function: str, tenant: str = "") -> EffectivePolicy | None:
        """Returns the policy of the most specific route that matches a request, or None if no route matches."""
        route = self.table.find(method, function, tenant)
        return None if route is None else self.policies[route.name, method]


def read(path: str, request_classes: list[RequestClass], environment: Environment) -> Routes:
    """Reads and validates a file. Raises InvalidConfigError with all errors."""
    return build(sexpr.read(path), path, request_classes, environment)


def build(
    expressions: list[Expression], path: str, request_classes: list[RequestClass], environment: Environment
) -> Routes:
    """Validates the expressions of a file. Raises InvalidConfigError with all errors."""
    routes = parse_routes(expressions, path)
    diagnostics = Diagnostics()
    names = [route.name for route in routes]
    schema.check_unique(names, [route.location for route in routes], "route", diagnostics)
    chains = _inheritance_chains(routes, diagnostics)
    _check_ambiguities(routes, diagnostics)
    policies = _effective_policies(chains, request_classes, environment, diagnostics)
    diagnostics.entries = list(dict.fromkeys(diagnostics.entries))
    diagnostics.raise_if_any()
    return Routes(routes, RouteTable([(route.pattern, route) for route in routes]), policies)


def _inheritance_chains(routes: list[Route], diagnostics: Diagnostics) -> list[list[Route]]:
    """Returns for each route the route and its ancestors, the nearest first; reports unknown parents and cycles."""
    routes_by_name = {route.name: route for route in routes}
    return [_inheritance_chain(route, routes_by_name, diagnostics) for route in routes]


def _inheritance_chain(route: Route, routes_by_name: dict[str, Route], diagnostics: Diagnostics) -> list[Route]:
    chain = [route]
    while (parent_name := chain[-1].like) is not None:
        if parent_name not in routes_by_name:
            child = chain[-1]
            diagnostics.add(child.location, f'route "{child.name}" like "{parent_name}"', "a route of this file")
            break
        parent = routes_by_name[parent_name]
        if parent is route:
            cycle = " like ".join(f'"{member.name}"' for member in [*chain, route])
            diagnostics.add(route.location, f'route "{route.name}" like itself: {cycle}', "no cycle")
        if parent in chain:
            break
        chain.append(parent)
    return chain


def _check_ambiguities(routes: list[Route], diagnostics: Diagnostics) -> None:
    for ambiguity in find_ambiguities([route.pattern for route in routes]):
        first, second = routes[ambiguity.first], routes[ambiguity.second]
        overlap = _describe_pattern(ambiguity.overlap)
        if first.pattern == second.pattern:
            expected = "different patterns"
        else:
            expected = f"one that is more specific than the other, or a third route for {overlap}"
        found = f'route "{second.name}" and "{first.name}" of line {first.location.line} both for {overlap}'
        diagnostics.add(second.location, found, expected)


def _describe_pattern(pattern: Pattern) -> str:
    return f'(method "{pattern.method}") (program "{pattern.function}") (tenant "{pattern.tenant}")'


def _effective_policies(
    chains: list[list[Route]], request_classes: list[RequestClass], environment: Environment, diagnostics: Diagnostics
) -> dict[tuple[str, str], EffectivePolicy]:
    """Returns the policy of each route for each request class it matches; reports all violations of the rules."""
    policies: dict[tuple[str, str], EffectivePolicy] = {}
    reported: set[tuple[SourceLocation, validation.Violation]] = set()
    for chain in chains:
        route = chain[0]
        matching = [candidate for candidate in request_classes if pattern_covers(route.pattern.method, candidate.name)]
        if not matching:
            found = f'route "{route.name}" for method "{route.pattern.method}", which no request can have'
            diagnostics.add(
                route.location, found, "one of " + ", ".join(candidate.name for candidate in request_classes)
            )
        fields = inherited_fields(chain)
        for request_class in matching:
            effective = effective_policy(route, fields, request_class, diagnostics)
            policies[route.name, request_class.name] = effective
            for violation in validation.validate(effective.policy, request_class, environment):
                location = effective.origins.get(violation.field, route.location)
                # An error in a field that many routes inherit is reported once.
                if (location, violation) not in reported:
                    reported.add((location, violation))
                    found = f'in route "{route.name}" {violation.actual}'
                    diagnostics.add(location, found, violation.expected, _suggested_fix(violation))
    return policies


def _suggested_fix(violation: validation.Violation) -> str:
    """Returns the nearest valid policy and a timeline that shows the violation, as far as there are any."""
    parts = [f"nearest valid: {violation.suggestion}"] if violation.suggestion else []
    if violation.timeline:
        parts.append(
            "for example: " + ", ".join(f"at {event.time:g} ms {event.description}" for event in violation.timeline)
        )
    return "; ".join(parts)
