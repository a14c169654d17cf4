"""Whether a new routes file would strand requests that were received under an earlier one.

A request keeps the policy it was received with. Only its retry budget depends on later requests of its route. A budget
with a floor of one retry or more can always pay one; one that lives by its share alone can pay none once no more
requests of the route arrive. Pure: times are ms of the caller's clock.
"""

from dataclasses import dataclass

from wickdyke.route_policy.matching import Pattern
from wickdyke.route_policy.policy import RetryBudgetPolicy


@dataclass(slots=True, frozen=True)
class RetryBudgetUser:
    """A route as far as its retry budget goes. `request_lifetime` is how long its requests may be open, in ms."""

    name: str
    pattern: Pattern
    retry_budget: RetryBudgetPolicy | None
    max_attempts: int
    request_lifetime: float

    @property
    def share_only_budget(self) -> RetryBudgetPolicy | None:
        """Its retry budget, if retries of open requests depend on later requests; else None."""
        budget = self.retry_budget
        return budget if self.max_attempts > 1 and budget is not None and budget.floor < 1 else None


@dataclass(slots=True, frozen=True)
class StrandedRequests:
    """Requests of a route that would be stranded, why, and when the last is answered (None while more arrive)."""

    route_name: str
    budget: RetryBudgetPolicy
    request_lifetime: float
    reason: str
    until: float | None


@dataclass(slots=True, frozen=True)
class _EarlierRoute:
    """A route that was replaced, whose requests may be open until then."""

    until: float
    route: RetryBudgetUser


class PolicyTransition:
    """The routes in force, and those of earlier files whose requests may still be open."""

    def __init__(self) -> None:
        self.current: list[RetryBudgetUser] = []
        self.earlier: list[_EarlierRoute] = []

    def stranded_requests(self, new: list[RetryBudgetUser], now: float) -> list[StrandedRequests]:
        """What would be stranded if `new` came into force now."""
        by_name = {route.name: route for route in new}
        candidates: list[tuple[RetryBudgetUser, float | None]] = [(route, None) for route in self.current]
        candidates += [(earlier.route, earlier.until) for earlier in self.earlier if earlier.until > now]
        stranded: dict[tuple[RetryBudgetUser, float | None], StrandedRequests] = {}
        for route, until in candidates:
            budget = route.share_only_budget
            if budget is None:
                continue
            reason = _reason_stranded(route, budget, by_name.get(route.name), new)
            if reason:
                stranded[route, until] = StrandedRequests(route.name, budget, route.request_lifetime, reason, until)
        return list(stranded.values())

    def activate(self, new: list[RetryBudgetUser], now: float) -> None:
        """Puts `new` into force from now on."""
        self.earlier = [earlier for earlier in self.earlier if earlier.until > now]
        self.earlier += [
            _EarlierRoute(now + route.request_lifetime, route)
            for route in self.current
            if route.share_only_budget is not None and route not in new
        ]
        self.current = list(new)


def _reason_stranded(
    old: RetryBudgetUser, budget: RetryBudgetPolicy, successor: RetryBudgetUser | None, new: list[RetryBudgetUser]
) -> str:
    """Why no later request would add to the old route's budget; empty if some would."""
    if successor is None:
        return "is gone"
    if successor.retry_budget is None or successor.max_attempts < 2:
        return "has a budget no more"
    if successor.retry_budget.window != budget.window:
        return f"counts its budget over {successor.retry_budget.window:g} ms instead of {budget.window:g} ms"
    common = old.pattern.intersection(successor.pattern)
    if common is None:
        return "takes none of the RPCs it took"
    if any(_takes_over(route, successor, common) for route in new if route.name != old.name):
        return "leaves all the RPCs it took to others"
    return ""


def _takes_over(route: RetryBudgetUser, successor: RetryBudgetUser, common: Pattern) -> bool:
    """Whether a more specific route than the successor matches all requests of a pattern."""
    return (
        route.pattern.covers(common) and successor.pattern.covers(route.pattern) and route.pattern != successor.pattern
    )
