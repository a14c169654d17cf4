"""The timing model as constraints for z3: no accepted policy has a course of events that breaks a rule, and every
rejected one has.

The code that computes the worst case is itself evaluated on symbolic values. That is proved for a number of attempts
and a growth of the backoff that the caller gives; all times, the jitter and the environment are symbolic. Needs
z3-solver, which the gateway does not.
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
    """A backoff of symbolic figures."""

    __slots__ = ()

    def shortest_wait(self, retry: int) -> Term:
        """The smaller of the two terms."""
        wait = self.initial * self.growth ** (retry - 1)
        return z3.If(self.maximum < wait, self.maximum, wait)


@dataclass(slots=True, frozen=True)
class _Model:
    """A policy and an environment of symbolic figures, and the constraints that make them possible ones."""

    policy: Policy
    environment: Environment
    queue_timeout: Term
    attempt_timeout: Term
    linger: Term
    constraints: list[Constraint]


@dataclass(slots=True, frozen=True)
class _Attempt:
    """When an attempt is sent and when it ends."""

    sent: Term
    ended: Term


@dataclass(slots=True, frozen=True)
class _Course:
    """Any course that a request can take: what constrains it, its attempts, when the answer is at the client."""

    constraints: list[Constraint]
    attempts: list[_Attempt]
    answered: Term


def _symbolic_model(attempts: int, growth: int) -> _Model:
    queue, attempt, initial, maximum, jitter, linger = z3.Reals("queue attempt first most spread linger")
    deadline, connect_timeout, answer_transit, tick = z3.Reals("deadline dial way tick")
    backoff = _SymbolicBackoff(initial, growth, maximum, jitter)
    policy = Policy(0.0, deadline, attempt, linger, attempts, backoff, queue_timeout=queue)
    environment = Environment(False, True, connect_timeout, answer_transit, tick, attempts)
    not_negative = (queue, initial, jitter, linger, connect_timeout, answer_transit, tick)
    constraints = [value >= 0 for value in not_negative]
    constraints += [attempt > 0, deadline > 0, maximum >= initial]
    return _Model(policy, environment, queue, attempt, linger, constraints)


def _symbolic_course(model: _Model) -> _Course:
    policy, environment = model.policy, model.environment
    now = z3.Real("begun")
    constraints = [now >= 0, now <= model.queue_timeout + environment.tick]
    attempts = []
    for number in range(1, policy.max_attempts + 1):
        if number > 1:
            backoff, delay = z3.Reals(f"wait{number} look{number}")
            shortest = policy.backoff.shortest_wait(number - 1)
            constraints += [backoff >= shortest, backoff <= shortest + shortest * policy.backoff.jitter]
            constraints += [delay >= 0, delay <= environment.tick]
            now = now + backoff + delay
        duration = z3.Real(f"took{number}")
        constraints += [duration >= 0, duration <= model.attempt_timeout + environment.connect_timeout]
        attempts.append(_Attempt(now, now + duration))
        now = now + duration
    transit = z3.Real("back")
    constraints += [transit >= 0, transit <= environment.answer_transit]
    return _Course(constraints, attempts, now + transit)


def _solve(constraints: list[Constraint]) -> str | None:
    """Values that meet all constraints as text; None if there are none; "undecided: ..." if z3 can't tell."""
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
    """A course that ends past the deadline though the worst case does not; None if there is none."""
    model = _symbolic_model(attempts, growth)
    course = _symbolic_course(model)
    accepted = total_time(worst_case(model.policy, model.environment)) <= model.policy.deadline
    late = course.answered > model.policy.deadline
    return _solve([*model.constraints, *course.constraints, accepted, late])


def rejected_but_in_time(attempts: int, growth: int, worst_case: WorstCase = worst_case_components) -> str | None:
    """A rejected policy whose reported timeline ends by the deadline; None if there is none."""
    model = _symbolic_model(attempts, growth)
    rejected = total_time(worst_case(model.policy, model.environment)) > model.policy.deadline
    in_time = validation.worst_case_timeline(model.policy, model.environment)[-1].at <= model.policy.deadline
    return _solve([*model.constraints, rejected, in_time])


def accepted_but_overlapping(attempts: int, growth: int, slack: int = 0) -> str | None:
    """Two attempts out at once, after timeouts that do not cancel, though each backoff is as long as an attempt
    lingers; None if there are none.

    `slack` (ms) makes the check wrong on purpose: each backoff may be shorter than that by so much.
    """
    model = _symbolic_model(attempts, growth)
    course = _symbolic_course(model)
    backoff = model.policy.backoff
    accepted = [backoff.shortest_wait(retry) >= model.linger - slack for retry in range(1, attempts)]
    overlaps = [
        following.sent < attempt.ended + model.linger
        for attempt, following in zip(course.attempts, course.attempts[1:], strict=False)
    ]
    return _solve([*model.constraints, *course.constraints, *accepted, z3.Or(*overlaps)])
