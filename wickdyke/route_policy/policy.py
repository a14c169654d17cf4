"""What a route states of an RPC's timing, and the figures of the deployment that it is checked against."""

from dataclasses import dataclass, replace

OUTCOMES = ("full", "miss", "unreached", "unsent", "error", "cut", "timeout")  # an attempt can end so, and not ok
NEVER_RAN = frozenset({"full", "miss", "unreached", "unsent"})


@dataclass(slots=True, frozen=True)
class BackoffPolicy:
    """The wait before a further attempt: `first` ms, times `growth` for each one more, `most` at most; then up to
    `spread` of it is added by chance."""

    first: float = 0.0
    growth: float = 1.0
    most: float = float("inf")
    spread: float = 0.0

    def least(self, nth: int) -> float:
        """The shortest wait before the nth further attempt, from 1."""
        return min(self.most, self.first * self.growth ** (nth - 1))

    def greatest(self, nth: int) -> float:
        """The longest."""
        return self.least(nth) * (1 + self.spread)


@dataclass(slots=True, frozen=True)
class HedgePolicy:
    """Second copies: one more call-out beside the first `after` so many ms without an answer (or after that share
    of the soft deadline by which the usual latency is past), `at_once` at most, for a `share` of the RPCs."""

    after: float
    at_once: int = 2
    share: float = 0.05


@dataclass(slots=True, frozen=True)
class RetryBudgetPolicy:
    """Further attempts are paid from a budget: within `window` ms at most `floor` plus `share` of the RPCs."""

    window: float
    share: float
    floor: float


@dataclass(slots=True, frozen=True)
class Policy:
    """All that holds for an RPC of a route. Times are ms. Without `attempt` one lasts as long as the RPC. `linger` is
    how long a worker may still be at it past that time where time-outs do not cancel; None where nobody knows."""

    soft: float
    deadline: float
    attempt: float | None = None
    linger: float | None = None
    attempts: int = 1
    pause: BackoffPolicy = BackoffPolicy()
    again: frozenset[str] = NEVER_RAN
    second: HedgePolicy | None = None
    budget: RetryBudgetPolicy | None = None
    queue: float | None = None
    priority: int = 0


@dataclass(slots=True, frozen=True)
class Environment:
    """What the deployment gives: whether two call-outs may be out at once, whether a time-out cancels, the time to
    dial (in which a cancel that can't be written is made good by a cut), the answer's way and the desk's tick."""

    overlap: bool
    cancel: bool
    dial: float
    answer_way: float
    tick: float
    call_outs: int


@dataclass(slots=True, frozen=True)
class MethodTerms:
    """What the check needs of a method."""

    name: str
    effect: str
    scope: str
    window: float


@dataclass(slots=True, frozen=True)
class TimeComponent:
    """One addend of a sum, named as the operator wrote it."""

    name: str
    each: float
    times: int = 1

    @property
    def whole(self) -> float:
        """Its part of the sum."""
        return self.each * self.times


def worst_case_schedule(terms: Policy, ground: Environment, attempts: int | None = None) -> list[TimeComponent]:
    """The longest that an RPC with so many attempts can take, from when it is taken to when its answer is there.

    It may wait its whole queueing time for a first place, and is looked at a tick later. Each attempt may take all of
    its time, and where its cancel can't be written it ends a time to dial later, by a cut. Each further attempt
    waits its pause with all its spread, and is looked at a tick after that.
    """
    many = terms.attempts if attempts is None else attempts
    parts = [TimeComponent("queue", 0.0 if terms.queue is None else terms.queue), TimeComponent("tick", ground.tick)]
    if terms.attempt is not None:
        parts += [TimeComponent("attempt", terms.attempt, many), TimeComponent("dial", ground.dial, many)]
    pauses = sum(terms.pause.greatest(nth) for nth in range(1, many))
    if many > 1:
        parts += [TimeComponent("pauses with their spread", pauses), TimeComponent("tick", ground.tick, many - 1)]
    return [*parts, TimeComponent("answer-way", ground.answer_way)]


def total(parts: list[TimeComponent]) -> float:
    """The sum."""
    return sum(part.whole for part in parts)


def format_schedule(parts: list[TimeComponent]) -> str:
    """The sum as a person checks it."""
    addends = [
        f"{part.name} {part.times} x {part.each:g}" if part.times > 1 else f"{part.name} {part.each:g}"
        for part in parts
        if part.whole
    ]
    return " + ".join(addends) + f" = {total(parts):g} ms"


def attempts_that_fit(terms: Policy, ground: Environment) -> int:
    """The most attempts whose longest course ends by the deadline; 0 if not even one does."""
    return max(
        (n for n in range(1, terms.attempts + 1) if total(worst_case_schedule(terms, ground, n)) <= terms.deadline),
        default=0,
    )


def longest_attempt_that_fits(terms: Policy, ground: Environment) -> float:
    """The longest time for one attempt with which all attempts fit; below 0 if none does."""
    rest = total(worst_case_schedule(replace(terms, attempt=0.0), ground))
    return (terms.deadline - rest) / terms.attempts
