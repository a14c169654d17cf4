"""Validates the policy of a route. Each violation shows the values behind it and the nearest policy that is valid."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from wickdyke.route_policy.policy import (
    NEVER_RAN,
    Environment,
    HedgePolicy,
    Policy,
    format_sum,
    max_attempt_timeout_within_deadline,
    max_attempts_within_deadline,
    total_time,
    worst_case_components,
)
from wickdyke.routing.model import Effect, Outcome, RequestClass


@dataclass(slots=True, frozen=True)
class TimelineEvent:
    """An event of a request, `time` ms after the request was received."""

    time: float
    description: str


Timeline = tuple[TimelineEvent, ...]


@dataclass(slots=True, frozen=True)
class Violation:
    """Why a policy is invalid: the field as the routes file names it, its actual value and the expected one.

    `suggestion` is the nearest valid value, `timeline` a sequence of events that breaks the rule; both may be empty.
    """

    field: str
    actual: str
    expected: str
    suggestion: str = ""
    timeline: Timeline = ()


def worst_case_timeline(policy: Policy, environment: Environment) -> Timeline:
    """Returns the timeline of the longest request that this policy allows."""
    timeline = [TimelineEvent(0.0, "the request is received")]
    time = (0.0 if policy.queue_timeout is None else policy.queue_timeout) + environment.tick
    for attempt in range(1, policy.max_attempts + 1):
        if attempt > 1:
            time += policy.backoff.longest_wait(attempt - 1) + environment.tick
        timeline.append(TimelineEvent(time, f"attempt {attempt} is sent"))
        if policy.attempt_timeout is not None:
            time += policy.attempt_timeout + environment.connect_timeout
            description = (
                f"attempt {attempt} has timed out and its connection is closed because it could not be cancelled"
            )
            timeline.append(TimelineEvent(time, description))
    timeline.append(TimelineEvent(time + environment.answer_transit, "the answer reaches the client"))
    return tuple(timeline)


def validate(policy: Policy, request_class: RequestClass, environment: Environment) -> list[Violation]:
    """Returns the violations of a route's policy for one request class, each once."""
    return [
        *_deadline_violations(policy, environment),
        *_retry_violations(policy, environment),
        *_hedge_violations(policy, environment),
        *_uncancelled_attempt_violations(policy, environment),
        *_effect_violations(policy, request_class, environment),
        *_retry_budget_violations(policy),
    ]


def _deadline_violations(policy: Policy, environment: Environment) -> Iterator[Violation]:
    if policy.latency_objective >= policy.deadline:
        yield Violation(
            "soft-deadline",
            f"a soft deadline of {policy.latency_objective:g} ms",
            f"one before the deadline, {policy.deadline:g} ms",
        )
        return
    components = worst_case_components(policy, environment)
    if total_time(components) > policy.deadline:
        yield Violation(
            "attempts" if policy.max_attempts > 1 else "deadline",
            f"{policy.max_attempts} attempts that can take {format_sum(components)}",
            f"at most the deadline, {policy.deadline:g} ms",
            _suggest_within_deadline(policy, environment),
            worst_case_timeline(policy, environment),
        )


def _suggest_within_deadline(policy: Policy, environment: Environment) -> str:
    """Suggests fewer attempts or a shorter attempt or queue timeout that meet the deadline; else a longer deadline."""
    worst_case = total_time(worst_case_components(policy, environment))
    suggestions = []
    attempts = max_attempts_within_deadline(policy, environment)
    if 0 < attempts < policy.max_attempts:
        suggestions.append(f"(attempts {attempts})")
    attempt_timeout = max_attempt_timeout_within_deadline(policy, environment)
    if policy.attempt_timeout is not None and attempt_timeout >= 1:
        suggestions.append(f"(attempt {int(attempt_timeout)} ms)")
    queue_timeout = policy.deadline - worst_case + (policy.queue_timeout or 0.0)
    if policy.queue_timeout and queue_timeout >= 0:
        suggestions.append(f"(queue {int(queue_timeout)} ms)")
    return " or ".join(suggestions) or f"(deadline {math.ceil(worst_case)} ms)"


def _retry_violations(policy: Policy, environment: Environment) -> Iterator[Violation]:
    if policy.max_attempts > environment.max_attempts:
        yield Violation(
            "attempts",
            f"{policy.max_attempts} attempts",
            f"at most {environment.max_attempts} attempts, as set by (call-outs (most ...))",
            f"(attempts {environment.max_attempts})",
        )
    if policy.backoff.maximum < policy.backoff.initial:
        yield Violation(
            "pause",
            f"a first pause of {policy.backoff.initial:g} ms, longer than the longest of {policy.backoff.maximum:g} ms",
            "(first ...) not longer than (most ...)",
            f"(first {policy.backoff.maximum:g} ms)",
        )
    if Outcome.TIMEOUT in policy.retryable and policy.attempt_timeout is None and policy.max_attempts > 1:
        yield Violation(
            "again",
            "a retry after timeout without an attempt timeout",
            "(attempt TIME): without it an attempt times out only at the deadline of its request",
        )


def _hedge_violations(policy: Policy, environment: Environment) -> Iterator[Violation]:
    hedge = policy.hedge
    if hedge is None:
        return
    if not environment.allows_overlap:
        yield Violation(
            "second",
            _describe_hedge(hedge),
            "no hedging: this deployment forbids concurrent attempts of a request",
            "remove (second ...)",
            (
                TimelineEvent(0.0, "attempt 1 is sent"),
                TimelineEvent(hedge.after, "attempt 2 is sent while attempt 1 is in flight"),
            ),
        )
    elif policy.max_attempts < hedge.max_concurrent:
        yield Violation(
            "second",
            f"{hedge.max_concurrent} concurrent attempts of {policy.max_attempts} in all",
            "at least as many attempts as may be concurrent",
            f"(attempts {hedge.max_concurrent})",
        )
    elif policy.attempt_timeout is not None and hedge.after >= policy.attempt_timeout:
        yield Violation(
            "second",
            _describe_hedge(hedge),
            f"one before the attempt timeout, {policy.attempt_timeout:g} ms",
            f"(after {policy.attempt_timeout - 1:g} ms)",
        )
    elif hedge.after >= policy.deadline - environment.answer_transit:
        yield Violation(
            "second", _describe_hedge(hedge), f"one that can be answered by the deadline, {policy.deadline:g} ms"
        )


def _describe_hedge(hedge: HedgePolicy) -> str:
    return f"a hedge after {hedge.after:g} ms"


def _uncancelled_attempt_violations(policy: Policy, environment: Environment) -> Iterator[Violation]:
    """Yields a violation if a retry can be sent while a worker still runs an attempt that timed out uncancelled."""
    if environment.allows_overlap or environment.timeout_cancels:
        return
    if policy.attempt_timeout is None or policy.max_attempts < 2 or Outcome.TIMEOUT not in policy.retryable:
        return
    shortest_wait = min(policy.backoff.shortest_wait(retry) for retry in range(1, policy.max_attempts))
    if policy.linger is None:
        duration = "for an unknown time"
        suggestion = "(linger TIME) in (attempt ...) and a pause at least as long, or (cancel yes)"
    elif shortest_wait < policy.linger:
        duration = f"for {policy.linger:g} ms more"
        suggestion = f"(pause (first {policy.linger:g} ms))"
    else:
        return
    yield Violation(
        "pause",
        f"a pause of {shortest_wait:g} ms after a timeout that does not cancel the attempt, which may run {duration}",
        "no concurrent attempts of a request",
        suggestion,
        (
            TimelineEvent(0.0, "attempt 1 is sent"),
            TimelineEvent(policy.attempt_timeout, "attempt 1 has timed out and is still in flight"),
            TimelineEvent(policy.attempt_timeout + shortest_wait, "attempt 2 is sent while attempt 1 is in flight"),
        ),
    )


def _effect_violations(policy: Policy, request_class: RequestClass, environment: Environment) -> Iterator[Violation]:
    if request_class.effect == Effect.SIDE_EFFECTING:
        yield from _side_effect_violations(policy, request_class)
    elif request_class.effect == Effect.KEYED:
        yield from _deduplication_violations(policy, request_class, environment)


def _side_effect_violations(policy: Policy, request_class: RequestClass) -> Iterator[Violation]:
    if policy.hedge is not None:
        yield Violation(
            "second",
            f'hedging of method "{request_class.name}"',
            "no hedging: the method is side-effecting",
            "remove (second ...)",
        )
    may_have_run = sorted(policy.retryable - NEVER_RAN)
    if may_have_run and policy.max_attempts > 1:
        yield Violation(
            "again",
            f'a retry of method "{request_class.name}" after {", ".join(may_have_run)}',
            "retries only after outcomes with which the function never ran: the method is side-effecting",
            f"(again {' '.join(sorted(policy.retryable & NEVER_RAN)) or 'full'})",
            (
                TimelineEvent(0.0, "attempt 1 is sent and runs"),
                TimelineEvent(1.0, f"attempt 1 ends with outcome {may_have_run[0]}"),
                TimelineEvent(2.0 + policy.backoff.shortest_wait(1), "attempt 2 is sent and runs again"),
            ),
        )


def _deduplication_violations(
    policy: Policy, request_class: RequestClass, environment: Environment
) -> Iterator[Violation]:
    """Yields a violation if a retry can be sent after the window in which workers remember the idempotency key."""
    retries_what_may_have_run = policy.max_attempts > 1 and bool(policy.retryable - NEVER_RAN)
    if not retries_what_may_have_run or policy.attempt_timeout is None:
        return  # without an attempt timeout the router sends no retry after the window
    attempts_and_waits = worst_case_components(policy, environment)[2:-1]  # without queue, first tick and transit
    last_sent = total_time(attempts_and_waits) - policy.attempt_timeout - environment.connect_timeout
    if last_sent > request_class.dedupe_window:
        yield Violation(
            "attempts",
            f'a retry of method "{request_class.name}" up to {last_sent:g} ms after its first attempt',
            f"at most its deduplication window, {request_class.dedupe_window:g} ms",
            timeline=(
                TimelineEvent(0.0, "attempt 1 is sent and runs"),
                TimelineEvent(last_sent, f"attempt {policy.max_attempts} is sent after the window has ended"),
            ),
        )


def _retry_budget_violations(policy: Policy) -> Iterator[Violation]:
    budget = policy.retry_budget
    if budget is None:
        return
    if not budget.window:
        yield Violation("budget", "a retry budget with a window of 0 ms", "a window longer than 0 ms", "(window 10 s)")
    elif budget.floor < 1 and not budget.share:
        yield Violation(
            "budget",
            f"a retry budget with a floor of {budget.floor:g} and no share",
            "a retry budget that allows a further attempt",
            "(floor 1)",
        )
    elif policy.max_attempts == 1 and policy.hedge is None:
        yield Violation(
            "budget",
            "a retry budget with one attempt in all",
            "further attempts that it can allow",
            "(attempts 2), or remove (budget ...)",
        )
