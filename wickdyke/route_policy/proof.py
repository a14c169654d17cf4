"""The timing model once more, as constraints for z3: what the check accepts has no schedule that breaks a rule, and
what it refuses has one. Needs z3-solver, which the gateway itself does not.

The check's own sum is evaluated on unknowns, so that it is the code that is proved and not a copy of it. Proved for
up to `attempts` attempts and the growths given; all times, the spread and what the deployment gives are unknown.
"""

from collections.abc import Callable

import z3

from wickdyke.route_policy import validation
from wickdyke.route_policy.policy import BackoffPolicy, Environment, Policy, TimeComponent, total, worst_case_schedule

Sum = Callable[[Policy, Environment], list[TimeComponent]]


class _Pause(BackoffPolicy):
    """A pause of unknown figures."""

    __slots__ = ()

    def least(self, nth: int):
        """The lesser of two unknowns."""
        plain = self.first * self.growth ** (nth - 1)
        return z3.If(self.most < plain, self.most, plain)


def _unknown(attempts: int, growth: int) -> tuple[Policy, Environment, list]:
    names = "queue attempt first most spread linger deadline dial way tick"
    queue, attempt, first, most, spread, linger, deadline, dial, way, tick = z3.Reals(names)
    pause = _Pause(first, growth, most, spread)
    terms = Policy(0.0, deadline, attempt, linger, attempts, pause, queue=queue)
    ground = Environment(False, True, dial, way, tick, attempts)
    sane = [value >= 0 for value in (queue, first, spread, linger, dial, way, tick)]
    return terms, ground, [*sane, attempt > 0, deadline > 0, most >= first]


def _schedule(terms: Policy, ground: Environment) -> tuple[list, list, object]:
    """Any course that the desk and the module can take: (constraints, [(sent, over)], when the answer is there)."""
    begun, asked, spans = z3.Real("begun"), [], []
    rules = [begun >= 0, begun <= terms.queue + ground.tick]
    at = begun
    for nth in range(1, terms.attempts + 1):
        if nth > 1:
            wait, look = z3.Reals(f"wait{nth} look{nth}")
            chosen = terms.pause.least(nth - 1)
            rules += [wait >= chosen, wait <= chosen + chosen * terms.pause.spread, look >= 0, look <= ground.tick]
            at = at + wait + look
        took = z3.Real(f"took{nth}")
        rules += [took >= 0, took <= terms.attempt + ground.dial]
        asked.append(at)
        at = at + took
        spans.append((asked[-1], at))
    back = z3.Real("back")
    return [*rules, back >= 0, back <= ground.answer_way], spans, at + back


def _found(constraints: list) -> str | None:
    solver = z3.Solver()
    solver.set("timeout", 20000)
    solver.add(*constraints)
    answer = solver.check()
    if answer == z3.unsat:
        return None
    if answer == z3.unknown:
        return f"undecided: {solver.reason_unknown()}"
    model = solver.model()
    return ", ".join(sorted(f"{name} = {model[name]}" for name in model.decls()))


def accepted_but_late(attempts: int, growth: int, sum_of: Sum = worst_case_schedule) -> str | None:
    """A course that ends past the deadline though the sum says it can't; None where there is none."""
    terms, ground, sane = _unknown(attempts, growth)
    rules, _, ends = _schedule(terms, ground)
    return _found([*sane, *rules, total(sum_of(terms, ground)) <= terms.deadline, ends > terms.deadline])


def refused_but_in_time(attempts: int, growth: int, sum_of: Sum = worst_case_schedule) -> str | None:
    """Terms that the sum refuses though the course shown with the refusal ends in time; None where there are none."""
    terms, ground, sane = _unknown(attempts, growth)
    ends = validation.worst_case_course(terms, ground)[-1][0]
    return _found([*sane, total(sum_of(terms, ground)) > terms.deadline, ends <= terms.deadline])


def accepted_but_two_at_once(attempts: int, growth: int, slack: int = 0) -> str | None:
    """Two call-outs out at once after a time-out that does not cancel, though each pause is as long as a call-out
    lingers (less `slack`, for a check made wrong on purpose); None where there are none."""
    terms, ground, sane = _unknown(attempts, growth)
    rules, spans, _ = _schedule(terms, ground)
    accepted = [terms.pause.least(nth) >= terms.linger - slack for nth in range(1, attempts)]
    crossing = [sent < over + terms.linger for (_, over), (sent, _) in zip(spans, spans[1:], strict=False)]
    return _found([*sane, *rules, *accepted, z3.Or(*crossing)])
