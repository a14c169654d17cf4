"""Rules of retries: whether and when a request may be attempted again, and how it may be answered when it may not."""

import math

from wickdyke.routing.model import Effect, Outcome, Request, RetryBudget, RoutePolicy, Scope, Worker
from wickdyke.routing.samples import trim_times
from wickdyke.routing.seeded_random import SeededRandom
from wickdyke.routing.settings import AttemptLimits

MAX_HEDGE_TOKENS = 4.0  # hedged attempts that a retry budget saves up


class RetryBudgets:
    """The retry budgets of routes by key, which persist when the route configuration is reloaded."""

    def __init__(self) -> None:
        """Creates a collection without budgets."""
        self.by_key: dict[str, RetryBudget] = {}

    def __bool__(self) -> bool:
        """Returns whether any request had a route policy so far."""
        return bool(self.by_key)

    def request_received(self, policy: RoutePolicy, now: float) -> RetryBudget:
        """Credits a request to its route's budget; returns the budget."""
        budget = self.by_key.setdefault(policy.budget_key, RetryBudget())
        if policy.budget_terms:
            budget.requests.append(now)
        earned = policy.hedge.tokens_per_request if policy.hedge else 0.0
        budget.hedge_tokens = min(MAX_HEDGE_TOKENS, budget.hedge_tokens + earned)
        return budget


def attempts_allowed(request: Request, limits: AttemptLimits) -> int:
    """Returns the maximum number of attempts of the request."""
    if request.route_policy is None:
        return limits.attempts
    return min(limits.attempts, request.route_policy.attempts)


def is_bound_to_scope(request: Request) -> bool:
    """Returns whether the request's key is recognized in a part of the fleet only."""
    request_class = request.request_class
    return request_class.effect == Effect.KEYED and request_class.scope != Scope.ALL


def key_expires_at(request: Request) -> float:
    """Returns when workers no longer recognize the key of a repeat (ms); infinity where that binds no attempt."""
    request_class = request.request_class
    if request_class.effect != Effect.KEYED:
        return math.inf
    may_have_run = request.may_have_run()
    return may_have_run[0].sent_at + request_class.dedupe_window if may_have_run else math.inf


def must_begin_before(request: Request, now: float) -> float:
    """Returns the time (ms) before which an attempt that is decided at `now` must begin; infinity where none binds.

    The host may send an attempt long after its decision, when a connection is established or the worker reads again.
    """
    expires_at = key_expires_at(request)
    hedged = request.route_policy is not None and request.route_policy.hedge is not None
    if expires_at == math.inf and hedged and request.request_class.effect == Effect.KEYED:
        # A hedge may be sent while this attempt still waits, and its key is remembered from then on.
        return now + (request.request_class.dedupe_window or math.inf)
    return expires_at


def may_attempt_at(request: Request, worker: Worker, allowed: int, now: float) -> bool:
    """Returns whether one more attempt at the worker is safe for the effect of the request's class.

    `allowed` is the maximum number of attempts of the request.
    """
    if request.closed or len(request.attempts) >= allowed or now >= request.deadline:
        return False
    may_have_run, request_class = request.may_have_run(), request.request_class
    if not may_have_run or request_class.effect == Effect.IDEMPOTENT:
        return True
    if request_class.effect != Effect.KEYED or now >= key_expires_at(request):
        return False
    scope = request_class.scope
    return scope == Scope.ALL or all(
        getattr(attempt.replica.worker.endpoint, scope) == getattr(worker.endpoint, scope) for attempt in may_have_run
    )


def may_wait(request: Request) -> bool:
    """Returns whether the request may wait for a later attempt."""
    return request.request_class.effect == Effect.IDEMPOTENT or not request.may_have_run()


def may_reject(request: Request) -> bool:
    """Returns whether the client may safely repeat the request, so that it may be rejected; otherwise it has failed."""
    request_class = request.request_class
    deduplicated = request_class.effect == Effect.KEYED and request_class.scope == Scope.ALL
    return may_wait(request) or deduplicated


def schedule_retry(request: Request, policy: RoutePolicy, outcome: Outcome, random: SeededRandom, now: float) -> None:
    """Sets the earliest time of the next attempt by the backoff of the request's route."""
    first, growth, maximum, jitter = policy.backoff
    unjittered = min(maximum, first * growth ** (len(request.attempts) - 1))
    wait = unjittered * (1 + jitter * random.fraction())
    request.not_before = now + (0.0 if outcome == Outcome.CANCELLED else wait)  # a withdrawn attempt has already waited


def within_retry_budget(request: Request, outcome: Outcome | None, now: float) -> bool:
    """Returns whether the route retries after that outcome and its retry budget covers another attempt.

    Without a budget, retries multiply the load in an overload or while workers fail. A budget that is far too small
    fails requests that a retry would have served.
    """
    policy = request.route_policy
    budget = request.retry_budget
    if policy is None or budget is None or not request.attempts:
        return True
    if outcome != Outcome.CANCELLED and outcome not in policy.retryable:
        return False
    if policy.budget_terms is None:
        return True
    window, share, floor = policy.budget_terms
    trim_times(budget.requests, now - window)
    trim_times(budget.retries, now - window)
    return len(budget.retries) + 1 <= floor + share * len(budget.requests)
