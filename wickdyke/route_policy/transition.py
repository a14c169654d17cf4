"""Detects open requests that could not be retried any more once a new routes file is in force.

A request keeps the policy it was received with; only its retry budget depends on later requests of its route. A budget
with a floor of at least one always allows a retry. A budget with a smaller floor depends on its share, and allows none
once no more requests of the route arrive: its open requests are stranded. Does no I/O; times are ms of the caller's
clock.
"""

from dataclasses import dataclass

from wickdyke.route_policy.matching import Pattern
from wickdyke.route_policy.policy import RetryBudgetPolicy


@dataclass(slots=True, frozen=True)
class RetryBudgetUser:
    """A route and its retry budget. `request_lifetime` is the longest time for which a request is open, in ms."""

    name: str
    pattern: Pattern
    retry_budget: RetryBudgetPolicy | None
    max_attempts: int
    request_lifetime: float

    @property
    def share_only_budget(self) -> RetryBudgetPolicy | None:
        """The retry budget if retries of open requests depend on later requests of the route; else None."""
        budget = self.retry_budget
        return budget if self.max_attempts > 1 and budget is not None and budget.floor < 1 else None


@dataclass(slots=True, frozen=True)
class StrandedRequests:
    """Requests of a route that would be stranded, and the reason as the end of an error message.

    The last of them is closed at `open_until`, which is None while the route is in force.
    """

    route_name: str
    budget: RetryBudgetPolicy
    request_lifetime: float
    reason: str
    open_until: float | None


@dataclass(slots=True, frozen=True)
class _ReplacedRoute:
    """A route that was replaced, and the time until which its requests may be open."""

    open_until: float
    route: RetryBudgetUser


class PolicyTransition:
    """Tracks the routes in force and the replaced routes whose requests may still be open."""

    def __init__(self) -> None:
        self.current_routes: list[RetryBudgetUser] = []
        self.replaced_routes: list[_ReplacedRoute] = []

    def stranded_requests(self, new_routes: list[RetryBudgetUser], now: float) -> list[StrandedRequests]:
        """Returns the requests that would be stranded if `new_routes` came into force now."""
        by_name = {route.name: route for route in new_routes}
        candidates: list[tuple[RetryBudgetUser, float | None]] = [(route, None) for route in self.current_routes]
        candidates += [(entry.route, entry.open_until) for entry in self.replaced_routes if entry.open_until > now]
        stranded: dict[tuple[RetryBudgetUser, float | None], StrandedRequests] = {}
        for route, open_until in candidates:
            budget = route.share_only_budget
            if budget is None:
                continue
            reason = _reason_stranded(route, budget, by_name.get(route.name), new_routes)
            if reason:
                stranded[route, open_until] = StrandedRequests(
                    route.name, budget, route.request_lifetime, reason, open_until
                )
        return list(stranded.values())

    def activate(self, new_routes: list[RetryBudgetUser], now: float) -> None:
        """Replaces the routes in force by `new_routes`."""
        self.replaced_routes = [entry for entry in self.replaced_routes if entry.open_until > now]
        self.replaced_routes += [
            _ReplacedRoute(now + route.request_lifetime, route)
            for route in self.current_routes
            if route.share_only_budget is not None and route not in new_routes
        ]
        self.current_routes = list(new_routes)


def _reason_stranded(
    old_route: RetryBudgetUser,
    budget: RetryBudgetPolicy,
    successor: RetryBudgetUser | None,
    new_routes: list[RetryBudgetUser],
) -> str:
    """Returns why no later request would add to the old route's budget; an empty text if some would."""
    if successor is None:
        return "is removed"
    if successor.retry_budget is None or successor.max_attempts < 2:
        return "no longer has a retry budget"
    if successor.retry_budget.window != budget.window:
        return f"measures its retry budget over {successor.retry_budget.window:g} ms instead of {budget.window:g} ms"
    shared_pattern = old_route.pattern.intersection(successor.pattern)
    if shared_pattern is None:
        return "matches none of the requests it matched"
    if any(_takes_over(route, successor, shared_pattern) for route in new_routes if route.name != old_route.name):
        return "loses all the requests it matched to more specific routes"
    return ""


def _takes_over(route: RetryBudgetUser, successor: RetryBudgetUser, shared_pattern: Pattern) -> bool:
    """Whether the route is more specific than the successor and matches all requests of the pattern."""
    return (
        route.pattern.covers(shared_pattern)
        and successor.pattern.covers(route.pattern)
        and route.pattern != successor.pattern
    )
