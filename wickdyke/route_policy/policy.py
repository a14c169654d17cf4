"""The policy of a route for its requests, and the worst-case duration of a request under it."""

from dataclasses import dataclass, replace

from wickdyke.routing.model import Outcome

# Outcomes of an attempt that a policy may retry, in the order in which error messages list them.
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
    """Exponential backoff before a retry, in ms.

    The first retry waits `initial`, each further one `growth` times as long as the one before, up to `maximum`. A
    random time of up to `jitter` times that wait is added.
    """

    initial: float = 0.0
    growth: float = 1.0
    maximum: float = float("inf")
    jitter: float = 0.0

    def shortest_wait(self, retry: int) -> float:
        """Returns the shortest wait (ms) before a retry; the first retry is number 1."""
        return min(self.maximum, self.initial * self.growth ** (retry - 1))

    def longest_wait(self, retry: int) -> float:
        """Returns the longest wait (ms) before a retry; the first retry is number 1."""
        return self.shortest_wait(retry) * (1 + self.jitter)


@dataclass(slots=True, frozen=True)
class HedgePolicy:
    """Hedging: sends a further attempt where one has had no answer for `after` ms.

    At most `max_concurrent` attempts of a request are in flight at once; `request_share` of the requests may be hedged.
    """

    after: float
    max_concurrent: int = 2
    request_share: float = 0.05


@dataclass(slots=True, frozen=True)
class RetryBudgetPolicy:
    """The retries that a route may send within `window` ms: `floor`, plus `share` for each request it receives."""

    window: float
    share: float
    floor: float


@dataclass(slots=True, frozen=True)
class Policy:
    """The policy of a route for its requests. Times are ms.

    Without `attempt_timeout` an attempt may last as long as the request. `linger` is how long a worker may go on with
    an attempt that timed out without being cancelled, None if unknown. Without `queue_timeout` a request waits for its
    first attempt until it can no longer meet its deadline.
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
    """The properties of the deployment that policies are validated against. Times are ms.

    `allows_overlap`: two attempts of a request may be in flight at once. `timeout_cancels`: an attempt that times out
    is cancelled; if the worker does not read the cancellation, its connection is closed after `connect_timeout`.
    `answer_transit` is the time that an answer takes to the client, `tick` the interval at which waiting requests are
    checked, `max_attempts` the largest number of attempts that a policy may allow.
    """

    allows_overlap: bool
    timeout_cancels: bool
    connect_timeout: float
    answer_transit: float
    tick: float
    max_attempts: int


@dataclass(slots=True, frozen=True)
class TimeComponent:
    """A component of a worst-case duration: `count` times `duration` ms, named as in the routes file."""

    name: str
    duration: float
    count: int = 1

    @property
    def total(self) -> float:
        """The total duration of the component, in ms."""
        return self.duration * self.count


def worst_case_components(policy: Policy, environment: Environment, attempts: int | None = None) -> list[TimeComponent]:
    """Returns the components of the longest time from the arrival of a request until its answer reaches the client.

    The request waits for its whole queue timeout and is checked one tick later. Each attempt takes its whole timeout,
    plus the connect timeout after which its connection is closed if it can't be cancelled. Each retry waits for its
    backoff with the largest jitter, and is checked one tick later. `attempts` replaces the number of attempts of the
    policy.
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
    """Returns the sum of the components, in ms."""
    return sum(component.total for component in components)


def format_sum(components: list[TimeComponent]) -> str:
    """Formats the components and their sum; components of 0 ms are left out."""
    terms = [
        f"{component.name} {component.count} x {component.duration:g}"
        if component.count > 1
        else f"{component.name} {component.duration:g}"
        for component in components
        if component.total
    ]
    return " + ".join(terms) + f" = {total_time(components):g} ms"


def max_attempts_within_deadline(policy: Policy, environment: Environment) -> int:
    """Returns the largest number of attempts whose worst case meets the deadline; 0 if not even one attempt does."""
    for attempts in range(policy.max_attempts, 0, -1):
        if total_time(worst_case_components(policy, environment, attempts)) <= policy.deadline:
            return attempts
    return 0


def max_attempt_timeout_within_deadline(policy: Policy, environment: Environment) -> float:
    """Returns the longest attempt timeout (ms) whose worst case meets the deadline; below 0 if there is none."""
    overhead = total_time(worst_case_components(replace(policy, attempt_timeout=0.0), environment))
    return (policy.deadline - overhead) / policy.max_attempts
