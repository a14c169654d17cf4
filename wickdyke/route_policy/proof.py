"""Proves the timing rules of policies with z3.

No request under an accepted policy can break a rule, and under every rejected policy some request can.
The code that computes the worst case is itself evaluated on symbolic values. Each proof holds for the number of
attempts and the growth of the backoff that the caller passes; all times, the jitter and the environment are symbolic.
Needs z3-solver, which the gateway does not need.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import z3  # type: ignore[import-untyped]  # z3 ships no types

from wickdyke.route_policy import validation
from wickdyke.route_policy.policy import (
    BackoffPolicy,
    Environment,
    Policy,
    TimeComponent,
    total_time,
    worst_case_components,
)

SOLVER_TIMEOUT = 20000  # ms

WorstCase = Callable[[Policy, Environment], list[TimeComponent]]
Term = Any  # a z3 expression
Constraint = Any  # a z3 expression that is true or false


class _SymbolicBackoff(BackoffPolicy):
    """A backoff with symbolic values."""

    __slots__ = ()

    def shortest_wait(self, retry: int) -> Term:
        """Returns the shortest wait (ms) before a retry as a term, since `min` can't compare symbolic values."""
        wait = self.initial * self.growth ** (retry - 1)
        return z3.If(self.maximum < wait, self.maximum, wait)


@dataclass(slots=True, frozen=True)
class _Model:
    """A policy and an environment with symbolic values, and the constraints that make them valid."""

    policy: Policy
    environment: Environment
    queue_timeout: Term
    attempt_timeout: Term
    linger: Term
    constraints: list[Constraint]


@dataclass(slots=True, frozen=True)
class _Attempt:
    """The times at which an attempt is sent and ends."""

    sent_at: Term
    ended_at: Term


@dataclass(slots=True, frozen=True)
class _RequestTiming:
    """The symbolic timing of any request: its constraints, its attempts and when its answer reaches the client."""

    constraints: list[Constraint]
    attempts: list[_Attempt]
    answered_at: Term


def _symbolic_model(attempts: int, growth: int) -> _Model:
    queue_timeout, attempt_timeout, initial, maximum, jitter, linger = z3.Reals(
        "queue_timeout attempt_timeout initial maximum jitter linger"
    )
    deadline, connect_timeout, answer_transit, tick = z3.Reals("deadline connect_timeout answer_transit tick")
    backoff = _SymbolicBackoff(initial, growth, maximum, jitter)
    policy = Policy(0.0, deadline, attempt_timeout, linger, attempts, backoff, queue_timeout=queue_timeout)
    environment = Environment(False, True, connect_timeout, answer_transit, tick, attempts)
    not_negative = (queue_timeout, initial, jitter, linger, connect_timeout, answer_transit, tick)
    constraints = [value >= 0 for value in not_negative]
    constraints += [attempt_timeout > 0, deadline > 0, maximum >= initial]
    return _Model(policy, environment, queue_timeout, attempt_timeout, linger, constraints)


def _symbolic_timing(model: _Model) -> _RequestTiming:
    policy, environment = model.policy, model.environment
    now = z3.Real("first_sent_at")
    constraints = [now >= 0, now <= model.queue_timeout + environment.tick]
    attempts = []
    for number in range(1, policy.max_attempts + 1):
        if number > 1:
            backoff, delay = z3.Reals(f"backoff{number} delay{number}")
            shortest = policy.backoff.shortest_wait(number - 1)
            constraints += [backoff >= shortest, backoff <= shortest + shortest * policy.backoff.jitter]
            constraints += [delay >= 0, delay <= environment.tick]
            now = now + backoff + delay
        duration = z3.Real(f"duration{number}")
        constraints += [duration >= 0, duration <= model.attempt_timeout + environment.connect_timeout]
        attempts.append(_Attempt(now, now + duration))
        now = now + duration
    transit = z3.Real("transit")
    constraints += [transit >= 0, transit <= environment.answer_transit]
    return _RequestTiming(constraints, attempts, now + transit)


def _solve(constraints: list[Constraint]) -> str | None:
    """Returns values that meet all constraints as text; None if there are none; "undecided: ..." if z3 can't tell."""
    solver = z3.Solver()
    solver.set("timeout", SOLVER_TIMEOUT)
    solver.add(*constraints)
    result = solver.check()
    if result == z3.unsat:
        return None
    if result == z3.unknown:
        return f"undecided: {solver.reason_unknown()}"
    solution = solver.model()
    return ", ".join(sorted(f"{name} = {solution[name]}" for name in solution.decls()))


def accepted_but_late(attempts: int, growth: int, worst_case: WorstCase = worst_case_components) -> str | None:
    """Returns a request that ends after its deadline though the computed worst case does not; None if there is none."""
    model = _symbolic_model(attempts, growth)
    timing = _symbolic_timing(model)
    accepted = total_time(worst_case(model.policy, model.environment)) <= model.policy.deadline
    late = timing.answered_at > model.policy.deadline
    return _solve([*model.constraints, *timing.constraints, accepted, late])


def rejected_but_in_time(attempts: int, growth: int, worst_case: WorstCase = worst_case_components) -> str | None:
    """Returns a rejected policy whose reported timeline ends by the deadline; None if there is none."""
    model = _symbolic_model(attempts, growth)
    rejected = total_time(worst_case(model.policy, model.environment)) > model.policy.deadline
    in_time = validation.worst_case_timeline(model.policy, model.environment)[-1].time <= model.policy.deadline
    return _solve([*model.constraints, rejected, in_time])


def accepted_but_overlapping(attempts: int, growth: int, slack: int = 0) -> str | None:
    """Returns a request with two attempts in flight at once though each backoff is at least the linger time.

    The attempts time out without being cancelled. Returns None if there is no such request.

    `slack` (ms) makes the check wrong on purpose: each backoff may be shorter than the linger time by that much.
    """
    model = _symbolic_model(attempts, growth)
    timing = _symbolic_timing(model)
    backoff = model.policy.backoff
    accepted = [backoff.shortest_wait(retry) >= model.linger - slack for retry in range(1, attempts)]
    overlap_constraints = [
        following.sent_at < attempt.ended_at + model.linger
        for attempt, following in zip(timing.attempts, timing.attempts[1:], strict=False)
    ]
    return _solve([*model.constraints, *timing.constraints, *accepted, z3.Or(*overlap_constraints)])
