"""Whether a route's policy can break a rule: each violation with the sum that shows it and the nearest policy that
passes.
"""

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
    """What happens to a request `at` ms after it was received."""

    at: float
    description: str


Timeline = tuple[TimelineEvent, ...]


@dataclass(slots=True, frozen=True)
class Violation:
    """Why a policy is rejected: the field at fault as the routes file calls it, what was found, what was expected.

    `suggestion` is the nearest that passes, `timeline` a course of events that shows the harm; either may be empty.
    """

    field: str
    found: str
    expected: str
    suggestion: str = ""
    timeline: Timeline = ()


def worst_case_timeline(policy: Policy, environment: Environment) -> Timeline:
    """The longest course that a request can take under this policy."""
    events = [TimelineEvent(0.0, "taken")]
    at = (0.0 if policy.queue_timeout is None else policy.queue_timeout) + environment.tick
    for attempt in range(1, policy.max_attempts + 1):
        if attempt > 1:
            at += policy.backoff.longest_wait(attempt - 1) + environment.tick
        events.append(TimelineEvent(at, f"attempt {attempt} is sent"))
        if policy.attempt_timeout is not None:
            at += policy.attempt_timeout + environment.connect_timeout
            ended = f"attempt {attempt} is over: its time is up, and its link cut for want of a cancel"
            events.append(TimelineEvent(at, ended))
    events.append(TimelineEvent(at + environment.answer_transit, "the answer is there"))
    return tuple(events)


def validate(policy: Policy, request_class: RequestClass, environment: Environment) -> list[Violation]:
    """All violations of a route's policy for one class of requests, each once."""
    return [
        *_deadline_violations(policy, environment),
        *_count_violations(policy, environment),
        *_hedge_violations(policy, environment),
        *_lingering_attempt_violations(policy, environment),
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
    """Fewer attempts, a shorter attempt or a shorter queue that meet the deadline; a longer deadline if none does."""
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


def _count_violations(policy: Policy, environment: Environment) -> Iterator[Violation]:
    if policy.max_attempts > environment.max_attempts:
        yield Violation(
            "attempts",
            f"{policy.max_attempts} attempts",
            f"at most the {environment.max_attempts} call-outs of (call-outs (most ...))",
            f"(attempts {environment.max_attempts})",
        )
    if policy.backoff.maximum < policy.backoff.initial:
        yield Violation(
            "pause",
            f"a first pause of {policy.backoff.initial:g} ms over the most of {policy.backoff.maximum:g} ms",
            "the first at most the most",
            f"(first {policy.backoff.maximum:g} ms)",
        )
    if Outcome.TIMEOUT in policy.retryable and policy.attempt_timeout is None and policy.max_attempts > 1:
        yield Violation(
            "again",
            "timeout tried again, and no time for one attempt",
            "(attempt TIME): without it the time-out is the RPC's own end",
        )


def _hedge_violations(policy: Policy, environment: Environment) -> Iterator[Violation]:
    hedge = policy.hedge
    if hedge is None:
        return
    if not environment.allows_overlap:
        yield Violation(
            "second",
            _describe_hedge(hedge),
            "none: this deployment forbids two call-outs at once",
            "leave (second ...) out",
            (
                TimelineEvent(0.0, "taken, sent"),
                TimelineEvent(hedge.after, "a second copy is sent beside the first"),
            ),
        )
    elif policy.max_attempts < hedge.max_concurrent:
        yield Violation(
            "second",
            f"{hedge.max_concurrent} at once of {policy.max_attempts} attempts in all",
            "an attempt for each copy",
            f"(attempts {hedge.max_concurrent})",
        )
    elif policy.attempt_timeout is not None and hedge.after >= policy.attempt_timeout:
        yield Violation(
            "second",
            _describe_hedge(hedge),
            f"one before the attempt's time is up, {policy.attempt_timeout:g} ms",
            f"(after {policy.attempt_timeout - 1:g} ms)",
        )
    elif hedge.after >= policy.deadline - environment.answer_transit:
        yield Violation("second", _describe_hedge(hedge), f"one before the client gives up, {policy.deadline:g} ms")


def _describe_hedge(hedge: HedgePolicy) -> str:
    return f"a second copy after {hedge.after:g} ms"


def _lingering_attempt_violations(policy: Policy, environment: Environment) -> Iterator[Violation]:
    """A retry that can be sent while the worker is still at an attempt that timed out and was not cancelled."""
    if environment.allows_overlap or environment.timeout_cancels:
        return
    if policy.attempt_timeout is None or policy.max_attempts < 2 or Outcome.TIMEOUT not in policy.retryable:
        return
    shortest_wait = min(policy.backoff.shortest_wait(retry) for retry in range(1, policy.max_attempts))
    if policy.linger is None:
        lingers = "for as long as its worker likes"
        suggestion = "(linger TIME) of the attempt and a pause as long, or (cancel yes)"
    elif shortest_wait < policy.linger:
        lingers = f"for {policy.linger:g} ms more"
        suggestion = f"(pause (first {policy.linger:g} ms))"
    else:
        return
    yield Violation(
        "pause",
        f"a pause of {shortest_wait:g} ms after a time-out that does not cancel, its call-out out {lingers}",
        "no two call-outs at once",
        suggestion,
        (
            TimelineEvent(0.0, "attempt 1 is sent"),
            TimelineEvent(policy.attempt_timeout, "its time is up; it is still out"),
            TimelineEvent(policy.attempt_timeout + shortest_wait, "attempt 2 is sent beside it"),
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
            f'a second copy of "{request_class.name}"',
            "none: it is side-effecting",
            "leave (second ...) out",
        )
    may_have_run = sorted(policy.retryable - NEVER_RAN)
    if may_have_run and policy.max_attempts > 1:
        yield Violation(
            "again",
            f'"{request_class.name}" tried again after {", ".join(may_have_run)}',
            "only what never ran: it is side-effecting",
            f"(again {' '.join(sorted(policy.retryable & NEVER_RAN)) or 'full'})",
            (
                TimelineEvent(0.0, "attempt 1 is sent and runs"),
                TimelineEvent(1.0, f"it ends as {may_have_run[0]}"),
                TimelineEvent(2.0 + policy.backoff.shortest_wait(1), "attempt 2 is sent and runs again"),
            ),
        )


def _deduplication_violations(
    policy: Policy, request_class: RequestClass, environment: Environment
) -> Iterator[Violation]:
    """A retry that can be sent after the window in which workers know the idempotency key."""
    retries_what_may_have_run = policy.max_attempts > 1 and bool(policy.retryable - NEVER_RAN)
    if not retries_what_may_have_run or policy.attempt_timeout is None:
        return  # without an attempt timeout the router itself sends no retry past the window
    attempts_and_waits = worst_case_components(policy, environment)[2:-1]  # without queue, first tick and answer-way
    last_sent = total_time(attempts_and_waits) - policy.attempt_timeout - environment.connect_timeout
    if last_sent > request_class.dedupe_window:
        yield Violation(
            "attempts",
            f'"{request_class.name}" sent again up to {last_sent:g} ms after its first attempt',
            f"at most its window, {request_class.dedupe_window:g} ms",
            timeline=(
                TimelineEvent(0.0, "attempt 1 is sent and runs"),
                TimelineEvent(last_sent, f"attempt {policy.max_attempts} is sent past the window"),
            ),
        )


def _retry_budget_violations(policy: Policy) -> Iterator[Violation]:
    budget = policy.retry_budget
    if budget is None:
        return
    if not budget.window:
        yield Violation("budget", "a budget over a window of 0 ms", "a window", "(window 10 s)")
    elif budget.floor < 1 and not budget.share:
        yield Violation(
            "budget",
            f"a floor of {budget.floor:g} and no share",
            "a budget that can pay one further attempt",
            "(floor 1)",
        )
    elif policy.max_attempts == 1 and policy.hedge is None:
        yield Violation(
            "budget",
            "a budget and one attempt in all",
            "further attempts that it could pay",
            "(attempts 2), or leave (budget ...) out",
        )
