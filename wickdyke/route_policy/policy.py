"""What a route states of the timing of its requests, and the longest time that such a request can take."""

from dataclasses import dataclass, replace

from wickdyke.routing.model import Outcome

# Outcomes of an attempt after which its request may be retried, in the order in which messages list them.
RETRYABLE_OUTCOMES = (
    Outcome.FULL,
    Outcome.MISS,
    Outcome.UNREACHED,
    Outcome.UNSENT,
    Outcome.ERROR,
    Outcome.CONNECTION_LOST,
    Outcome.TIMEOUT,
)
# Outcomes after which the function has certainly not run.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.MISS, Outcome.UNREACHED, Outcome.UNSENT})


@dataclass(slots=True, frozen=True)
class BackoffPolicy:
    """The wait before a retry, in ms.

    The first retry waits `initial`, each further one `growth` times as long, up to `maximum`. A random part of up to
    `jitter` times that wait is added.
    """

    initial: float = 0.0
    growth: float = 1.0
    maximum: float = float("inf")
    jitter: float = 0.0

    def shortest_wait(self, retry: int) -> float:
        """The shortest wait (ms) before a retry; the first retry is number 1."""
        return min(self.maximum, self.initial * self.growth ** (retry - 1))

    def longest_wait(self, retry: int) -> float:
        """The longest wait (ms) before a retry; the first retry is number 1."""
        return self.shortest_wait(retry) * (1 + self.jitter)


@dataclass(slots=True, frozen=True)
class HedgePolicy:
    """Hedging: another attempt is sent beside one that has had no answer `after` ms.

    At most `max_concurrent` attempts of a request are out at once; `request_share` of the requests may be hedged.
    """

    after: float
    max_concurrent: int = 2
    request_share: float = 0.05


@dataclass(slots=True, frozen=True)
class RetryBudgetPolicy:
    """Within `window` ms a route may send `floor` retries, and `share` for each of its requests."""

    window: float
    share: float
    floor: float


@dataclass(slots=True, frozen=True)
class Policy:
    """All that holds for a request of a route. Times are ms.

    Without `attempt_timeout` an attempt may last as long as the request. `linger` is how long a worker may go on after
    a timeout that does not cancel, None if that is unknown. Without `queue_timeout` a request waits for its first
    attempt until it would be late.
    """

    latency_objective: float
    deadline: float
    attempt_timeout: float | None = None
    linger: float | None = None
    max_attempts: int = 1
    backoff: BackoffPolicy = BackoffPolicy()
    retryable: frozenset[Outcome] = NEVER_RAN
    hedge: HedgePolicy | None = None
    retry_budget: RetryBudgetPolicy | None = None
    queue_timeout: float | None = None
    priority: int = 0


@dataclass(slots=True, frozen=True)
class Environment:
    """The figures of the deployment that policies are checked against. Times are ms.

    `allows_overlap`: two attempts of a request may be out at once. `timeout_cancels`: an attempt that times out is
    cancelled; a worker that does not read has its connection closed after `connect_timeout`. `answer_transit` is the
    time an answer takes to the client, `tick` the interval at which waiting requests are looked at.
    """

    allows_overlap: bool
    timeout_cancels: bool
    connect_timeout: float
    answer_transit: float
    tick: float
    max_attempts: int


@dataclass(slots=True, frozen=True)
class TimeComponent:
    """One addend of a worst-case time: `count` times `duration` ms, named as in the routes file."""

    name: str
    duration: float
    count: int = 1

    @property
    def total(self) -> float:
        """What it adds to the sum, in ms."""
        return self.duration * self.count


def worst_case_components(policy: Policy, environment: Environment, attempts: int | None = None) -> list[TimeComponent]:
    """The longest time from the arrival of a request to its answer at the client, as a list of addends.

    The request waits its whole queue timeout and is looked at a tick later. Each attempt takes its whole timeout, and
    the connect timeout more where it can't be cancelled and its connection is closed instead. Each retry waits its
    backoff with all its jitter, and is looked at a tick after that. `attempts` replaces those of the policy.
    """
    count = policy.max_attempts if attempts is None else attempts
    components = [
        TimeComponent("queue", 0.0 if policy.queue_timeout is None else policy.queue_timeout),
        TimeComponent("tick", environment.tick),
    ]
    if policy.attempt_timeout is not None:
        components.append(TimeComponent("attempt", policy.attempt_timeout, count))
        components.append(TimeComponent("dial", environment.connect_timeout, count))
    if count > 1:
        backoff = sum(policy.backoff.longest_wait(retry) for retry in range(1, count))
        components.append(TimeComponent("pauses with their spread", backoff))
        components.append(TimeComponent("tick", environment.tick, count - 1))
    components.append(TimeComponent("answer-way", environment.answer_transit))
    return components


def total_time(components: list[TimeComponent]) -> float:
    """The sum of the addends, in ms."""
    return sum(component.total for component in components)


def format_sum(components: list[TimeComponent]) -> str:
    """The sum and its addends as text; addends of 0 are left out."""
    addends = [
        f"{component.name} {component.count} x {component.duration:g}"
        if component.count > 1
        else f"{component.name} {component.duration:g}"
        for component in components
        if component.total
    ]
    return " + ".join(addends) + f" = {total_time(components):g} ms"


def max_attempts_within_deadline(policy: Policy, environment: Environment) -> int:
    """The largest number of attempts whose worst case ends by the deadline; 0 if not even one does."""
    for attempts in range(policy.max_attempts, 0, -1):
        if total_time(worst_case_components(policy, environment, attempts)) <= policy.deadline:
            return attempts
    return 0


def max_attempt_timeout_within_deadline(policy: Policy, environment: Environment) -> float:
    """The longest attempt timeout (ms) with which all attempts end by the deadline; below 0 if there is none."""
    other = total_time(worst_case_components(replace(policy, attempt_timeout=0.0), environment))
    return (policy.deadline - other) / policy.max_attempts
