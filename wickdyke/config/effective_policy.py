"""The policy for the requests of one route and request class: fields of the route, else defaults of the class."""

from dataclasses import dataclass
from typing import TypeVar

from wickdyke.config.builders import Located
from wickdyke.config.route_syntax import HedgeField, Route, RouteFields
from wickdyke.config.schema import Diagnostics
from wickdyke.config.sexpr import SourceLocation
from wickdyke.route_policy.policy import NEVER_RAN, BackoffPolicy, HedgePolicy, Policy
from wickdyke.routing.model import Backoff, Hedging, RequestClass, RetryBudgetTerms, RoutePolicy

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class EffectivePolicy:
    """The policy for the requests of one route and request class, and the route's fields that state it."""

    route: Route
    policy: Policy
    fields: RouteFields
    router_policy: RoutePolicy

    @property
    def origins(self) -> dict[str, SourceLocation]:
        """The location of each stated field, by its key in the file."""
        return {key: stated.location for key, stated in self.fields.stated_fields().items()}


def effective_policy(
    route: Route, route_fields: RouteFields, request_class: RequestClass, diagnostics: Diagnostics
) -> EffectivePolicy:
    """Returns the policy for a route with these fields (its own and inherited ones); reports an invalid hedge."""
    latency_objective = _value_or_default(route_fields.latency_objective, request_class.latency_objective)
    attempt = _value_or_none(route_fields.attempt)
    policy = Policy(
        latency_objective=latency_objective,
        deadline=_value_or_default(route_fields.deadline, request_class.deadline),
        attempt_timeout=None if attempt is None else attempt.timeout,
        linger=None if attempt is None else attempt.linger,
        max_attempts=_value_or_default(route_fields.max_attempts, 1),
        backoff=_value_or_default(route_fields.backoff, BackoffPolicy()),
        retryable=_value_or_default(route_fields.retryable, NEVER_RAN),
        hedge=_hedge_policy(route_fields.hedge, latency_objective, diagnostics),
        retry_budget=_value_or_none(route_fields.retry_budget),
        queue_timeout=_value_or_none(route_fields.queue_timeout),
        priority=_value_or_default(route_fields.priority, 0),
    )
    return EffectivePolicy(route, policy, route_fields, router_policy(policy, route.name))


def _value_or_default(stated: Located[T] | None, default: T) -> T:
    return default if stated is None else stated.value


def _value_or_none(stated: Located[T] | None) -> T | None:
    return None if stated is None else stated.value


def _hedge_policy(
    stated: Located[HedgeField | None] | None, latency_objective: float, diagnostics: Diagnostics
) -> HedgePolicy | None:
    if stated is None or stated.value is None:
        return None
    hedge = stated.value
    if (hedge.after is None) == (hedge.after_share is None):
        found = "(second ...) with " + ("neither" if hedge.after is None else "both")
        diagnostics.add(stated.location, found, "either (after TIME) or (after-share SHARE)")
    after = hedge.after if hedge.after is not None else latency_objective * (hedge.after_share or 0.0)
    return HedgePolicy(after, hedge.max_concurrent, hedge.request_share)


def router_policy(policy: Policy, budget_key: str) -> RoutePolicy:
    """Returns the policy in the form that the router uses.

    The router stores the retry budget under `budget_key`, the name of the route. So the budget continues when the file
    is read again, also for requests that were received under the earlier file.
    """
    backoff = policy.backoff
    hedge = policy.hedge
    budget = policy.retry_budget
    # A backoff that is longer than the deadline never ends before it, so the limit changes nothing.
    longest_backoff = min(backoff.maximum, policy.deadline)  # recordings can't store infinity
    return RoutePolicy(
        policy.latency_objective,
        policy.attempt_timeout,
        policy.max_attempts,
        Backoff(backoff.initial, backoff.growth, longest_backoff, backoff.jitter),
        policy.retryable,
        Hedging(hedge.after, hedge.max_concurrent, hedge.request_share) if hedge else None,
        RetryBudgetTerms(budget.window, budget.share, budget.floor) if budget else None,
        policy.queue_timeout,
        policy.priority,
        budget_key,
    )
