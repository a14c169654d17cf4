"""Whether a route's terms can break a rule: each refusal with the sum that shows it and the nearest terms that pass.

A refusal's `schedule` is a course of events, in ms from when the RPC is taken, that ends where it must not.
"""

from dataclasses import dataclass

from wickdyke.route_policy.policy import (
    NEVER_RAN,
    Environment,
    MethodTerms,
    Policy,
    attempts_that_fit,
    format_schedule,
    longest_attempt_that_fits,
    total,
    worst_case_schedule,
)


@dataclass(slots=True, frozen=True)
class Violation:
    """Why terms are refused: the field at fault, what was found, what was expected, the nearest that passes, and a
    schedule that shows the harm (empty where the harm is no matter of time)."""

    field: str
    found: str
    expected: str
    nearest: str = ""
    schedule: tuple[tuple[float, str], ...] = ()


def worst_case_course(terms: Policy, ground: Environment) -> tuple[tuple[float, str], ...]:
    """The longest course an RPC can take under these terms."""
    at, events = 0.0, [(0.0, "taken")]
    at += (0.0 if terms.queue is None else terms.queue) + ground.tick
    for nth in range(1, terms.attempts + 1):
        if nth > 1:
            at += terms.pause.greatest(nth - 1) + ground.tick
        events.append((at, f"attempt {nth} is sent"))
        if terms.attempt is not None:
            at += terms.attempt + ground.dial
            events.append((at, f"attempt {nth} is over: its time is up, and its link cut for want of a cancel"))
    return (*events, (at + ground.answer_way, "the answer is there"))


def validate(terms: Policy, method: MethodTerms, ground: Environment) -> list[Violation]:
    """All that is wrong with the terms of one route for one method, each once."""
    found: list[Violation] = []
    _deadlines(terms, ground, found)
    _counts(terms, ground, found)
    _at_once(terms, ground, found)
    _effects(terms, method, ground, found)
    _budget(terms, found)
    return found


def _deadlines(terms: Policy, ground: Environment, found: list[Violation]) -> None:
    if terms.soft >= terms.deadline:
        found.append(
            Violation(
                "soft-deadline",
                f"a soft deadline of {terms.soft:g} ms",
                f"one before the deadline, {terms.deadline:g} ms",
            )
        )
        return
    parts = worst_case_schedule(terms, ground)
    if total(parts) <= terms.deadline:
        return
    many, long = attempts_that_fit(terms, ground), longest_attempt_that_fits(terms, ground)
    near = [f"(attempts {many})"] if many and many < terms.attempts else []
    near += [f"(attempt {int(long)} ms)"] if terms.attempt is not None and long >= 1 else []
    rest = terms.deadline - total(parts) + (terms.queue or 0.0)
    near += [f"(queue {int(rest)} ms)"] if terms.queue and rest >= 0 else []
    near = near or [f"(deadline {int(-(-total(parts) // 1))} ms)"]
    found.append(
        Violation(
            "attempts" if terms.attempts > 1 else "deadline",
            f"{terms.attempts} attempts that can take {format_schedule(parts)}",
            f"at most the deadline, {terms.deadline:g} ms",
            " or ".join(near),
            worst_case_course(terms, ground),
        )
    )


def _counts(terms: Policy, ground: Environment, found: list[Violation]) -> None:
    if terms.attempts > ground.call_outs:
        found.append(
            Violation(
                "attempts",
                f"{terms.attempts} attempts",
                f"at most the {ground.call_outs} call-outs of (call-outs (most ...))",
                f"(attempts {ground.call_outs})",
            )
        )
    if terms.pause.most < terms.pause.first:
        found.append(
            Violation(
                "pause",
                f"a first pause of {terms.pause.first:g} ms over the most of {terms.pause.most:g} ms",
                "the first at most the most",
                f"(first {terms.pause.most:g} ms)",
            )
        )
    if "timeout" in terms.again and terms.attempt is None and terms.attempts > 1:
        found.append(
            Violation(
                "again",
                "timeout tried again, and no time for one attempt",
                "(attempt TIME): without it the time-out is the RPC's own end",
            )
        )


def _at_once(terms: Policy, ground: Environment, found: list[Violation]) -> None:
    second = terms.second
    if second is not None:
        if not ground.overlap:
            found.append(
                Violation(
                    "second",
                    f"a second copy after {second.after:g} ms",
                    "none: this deployment forbids two call-outs at once",
                    "leave (second ...) out",
                    ((0.0, "taken, sent"), (second.after, "a second copy is sent beside the first")),
                )
            )
        elif terms.attempts < second.at_once:
            found.append(
                Violation(
                    "second",
                    f"{second.at_once} at once of {terms.attempts} attempts in all",
                    "an attempt for each copy",
                    f"(attempts {second.at_once})",
                )
            )
        elif terms.attempt is not None and second.after >= terms.attempt:
            found.append(
                Violation(
                    "second",
                    f"a second copy after {second.after:g} ms",
                    f"one before the attempt's time is up, {terms.attempt:g} ms",
                    f"(after {terms.attempt - 1:g} ms)",
                )
            )
        elif second.after >= terms.deadline - ground.answer_way:
            found.append(
                Violation(
                    "second",
                    f"a second copy after {second.after:g} ms",
                    f"one before the client gives up, {terms.deadline:g} ms",
                )
            )
    tried = terms.attempts > 1 and "timeout" in terms.again and terms.attempt is not None
    if ground.overlap or ground.cancel or not tried:
        return
    least = min(terms.pause.least(nth) for nth in range(1, terms.attempts))
    if terms.linger is None or least < terms.linger:
        rest = "for as long as its worker likes" if terms.linger is None else f"for {terms.linger:g} ms more"
        sent = terms.attempt + least
        found.append(
            Violation(
                "pause",
                f"a pause of {least:g} ms after a time-out that does not cancel, its call-out out {rest}",
                "no two call-outs at once",
                f"(pause (first {terms.linger:g} ms))"
                if terms.linger is not None
                else "(linger TIME) of the attempt and a pause as long, or (cancel yes)",
                (
                    (0.0, "attempt 1 is sent"),
                    (terms.attempt, "its time is up; it is still out"),
                    (sent, "attempt 2 is sent beside it"),
                ),
            )
        )


def _effects(terms: Policy, method: MethodTerms, ground: Environment, found: list[Violation]) -> None:
    may_have_run = sorted(terms.again - NEVER_RAN)
    if method.effect == "side-effecting":
        if terms.second is not None:
            found.append(
                Violation(
                    "second",
                    f'a second copy of "{method.name}"',
                    "none: it is side-effecting",
                    "leave (second ...) out",
                )
            )
        if may_have_run and terms.attempts > 1:
            found.append(
                Violation(
                    "again",
                    f'"{method.name}" tried again after {", ".join(may_have_run)}',
                    "only what never ran: it is side-effecting",
                    f"(again {' '.join(sorted(terms.again & NEVER_RAN)) or 'full'})",
                    (
                        (0.0, "attempt 1 is sent and runs"),
                        (1.0, f"it ends as {may_have_run[0]}"),
                        (2.0 + terms.pause.least(1), "attempt 2 is sent and runs again"),
                    ),
                )
            )
    elif method.effect == "tokened" and may_have_run and terms.attempts > 1:
        if terms.attempt is None:
            return  # the module sends none past the window; the course is as long as the RPC
        parts = [part for part in worst_case_schedule(terms, ground) if part.name not in ("queue", "answer-way")][1:]
        span = total(parts) - terms.attempt - ground.dial
        if span > method.window:
            found.append(
                Violation(
                    "attempts",
                    f'"{method.name}" sent again up to {span:g} ms after its first attempt',
                    f"at most its window, {method.window:g} ms",
                    schedule=(
                        (0.0, "attempt 1 is sent and runs"),
                        (span, f"attempt {terms.attempts} is sent past the window"),
                    ),
                )
            )


def _budget(terms: Policy, found: list[Violation]) -> None:
    budget = terms.budget
    if budget is None:
        return
    if not budget.window:
        found.append(Violation("budget", "a budget over a window of 0 ms", "a window", "(window 10 s)"))
    elif budget.floor < 1 and not budget.share:
        found.append(
            Violation(
                "budget",
                f"a floor of {budget.floor:g} and no share",
                "a budget that can pay one further attempt",
                "(floor 1)",
            )
        )
    elif terms.attempts == 1 and terms.second is None:
        found.append(
            Violation(
                "budget",
                "a budget and one attempt in all",
                "further attempts that it could pay",
                "(attempts 2), or leave (budget ...) out",
            )
        )
