"""What the router knows of functions, workers, requests and attempts.

These are plain records; nothing here decides. Times are milliseconds
on the host's monotonic clock, spans are milliseconds, memory is in MB.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from operator import attrgetter
from typing import Any, NamedTuple

from wickdyke.routing.samples import NO_SAMPLES, Recent, Samples, trim
from wickdyke.routing.seeded_random import name_hash


class Outcome(StrEnum):
    """How an attempt, a prewarm or a health check ended.

    The values are the words of recordings and of the simulator's adapter.
    """

    OK = "ok"
    ERROR = "error"  # the worker answered that it failed: it may have run
    FULL = "full"  # rejected for lack of capacity: it never ran
    MISS = "miss"  # the function is not loaded there: it never ran
    TIMEOUT = "timeout"  # no answer in time: it may have run
    UNREACHED = "unreached"  # no connection could be made: it never ran
    CONNECTION_LOST = "cut"  # the connection ended under it: it may have run
    CANCELLED = "cancelled"  # withdrawn: it may have run
    UNSENT = "unsent"  # no byte of it was sent: it never ran
    NOT_READY = "not-ready"  # of a health check: the worker answered that it accepts no work, as one that drains does


class Effect(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    KEYED = "tokened"  # with an idempotency key, within the deduplication window and scope
    SIDE_EFFECTING = "side-effecting"


class Scope(StrEnum):
    """Among which workers an idempotency key is recognized."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(StrEnum):
    """What the endpoint list states of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class LoadNote(StrEnum):
    """What an answer states of the replica that served it."""

    ALREADY_LOADED = "stood"  # it was loaded already
    STARTED_LOAD = "began"  # this attempt started the load
    AWAITED_LOAD = "awaited"  # it waited for a load in progress
    LOAD_FAILED = "load failed"


NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT, Outcome.MISS})


class LatencySample(NamedTuple):
    """The latency (ms) of an answer received `at` (ms), and the work in it (ms on the average worker)."""

    at: float
    latency: float
    work: float


class ResultSample(NamedTuple):
    """Whether what ended `at` (ms) ended well."""

    at: float
    succeeded: bool


class ObjectiveShare(NamedTuple):
    """The part of its latency objective that an answer took, and our attempts that were active there as it was sent."""

    share: float
    active: int


class WorkSample(NamedTuple):
    """Work (ms on the average worker) that was sent or served `at` (ms)."""

    at: float
    work: float


class LoadReport(NamedTuple):
    """A load report; None where it gives neither this field nor the one it is derived from.

    `own_in_flight` are our attempts that were in flight there as the report arrived.
    """

    received_at: float
    utilization: float | None
    in_flight: float | None
    pinned_memory: float
    own_in_flight: int


_latency_of: Callable[[LatencySample], float] = attrgetter("latency")
_work_of: Callable[[LatencySample], float] = attrgetter("work")


@dataclass(slots=True, eq=False, repr=False)
class RequestClass:
    """A class of requests, as the settings state it.

    `scope` is where an idempotency key is recognized for `dedupe_window`; `latency_objective` is the time within which
    an answer has its full weight, longer by `objective_per_work` for each ms of work.
    """

    name: str
    effect: Effect
    scope: Scope
    dedupe_window: float
    latency_objective: float
    objective_per_work: float
    deadline: float
    priority_weight: float
    late_weight: float
    durations: deque[float] = field(default_factory=deque)  # ms of work of recent requests


class Backoff(NamedTuple):
    """How long a request waits before its next attempt: `first` ms, times `growth` for each one before."""

    first: float  # ms
    growth: float
    maximum: float  # ms
    jitter: float  # part by which a wait is lengthened at random, at most


class Hedging(NamedTuple):
    """When a second attempt is sent while the first is in flight."""

    after: float  # ms without an answer
    max_in_flight: int  # attempts of one request
    tokens_per_request: float  # hedged requests that each request pays for


class RetryBudgetTerms(NamedTuple):
    """How many retries a route's requests may have within `window` ms: `floor` and a `share` of the requests."""

    window: float  # ms
    share: float
    floor: float


@dataclass(slots=True, frozen=True, eq=False)
class RoutePolicy:
    """What an operator's route states of the attempts of its requests.

    Equal policies are one object: the retry budget is kept by `budget_key`.
    """

    latency_objective: float
    attempt_timeout: float | None
    attempts: int
    backoff: Backoff
    retryable: frozenset[Outcome]
    hedge: Hedging | None
    budget_terms: RetryBudgetTerms | None
    queue_timeout: float | None
    priority: int
    budget_key: str = ""


@dataclass(slots=True, eq=False, repr=False)
class RetryBudget:
    """What a route's requests may still spend: recent requests and retries, and hedge tokens saved up."""

    requests: deque[float] = field(default_factory=deque)  # when they were received (ms)
    retries: deque[float] = field(default_factory=deque)  # when they were sent (ms)
    hedge_tokens: float = 0.0


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list; `started_at` is None unless the worker started late."""

    ident: str
    zone: int
    kind: int
    cell: int
    state: EndpointState
    size: float
    started_at: float | None


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """A worker as this front end knows it.

    `latency_samples`, `recent_results`, `load_reports`, `objective_shares` and `slow_start_sends` are NO_SAMPLES until
    something is first sent there, so that a worker that is only listed costs little memory.
    """

    endpoint: Endpoint
    latency_samples: Samples[LatencySample]
    recent_results: Samples[ResultSample]
    load_reports: Samples[LoadReport]
    objective_shares: Samples[ObjectiveShare]
    memory_budget: float
    concurrency_limit: float
    warming_since: float | None  # when its slow start began
    name_hash: int
    slow_start_sends: Samples[WorkSample] = field(default_factory=deque)
    in_flight: list["Attempt"] = field(default_factory=list)
    overdue_queue: list["OverdueEntry"] = field(default_factory=list)  # a heap
    active: int = 0
    replicas: dict["Function", "Replica"] = field(default_factory=dict)
    ejected_until: float = 0.0
    ejections: int = 0
    failed_checks: int = 0
    memory_short_until: float = 0.0
    last_answer_at: float = 0.0
    last_check_at: float = 0.0
    check_sent_at: float | None = None  # when the health check in flight was sent
    ready_at: float = float("-inf")  # when it was ready, as far as it has shown that itself
    not_ready_since: float | None = None  # it said so, or its process had ended
    same_process_since: float = float("-inf")  # as far as its connections have shown
    limit_lowered_at: float = 0.0
    utilization: float = 0.0
    sampled_latency: float = 0.0
    sampled_work: float = 0.0

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint, memory_budget: float, concurrency_limit: float) -> "Worker":
        """A worker that is only listed: warming up since it started, with no records yet."""
        name = name_hash(endpoint.ident)
        return cls(
            endpoint=endpoint,
            latency_samples=NO_SAMPLES,
            recent_results=NO_SAMPLES,
            load_reports=NO_SAMPLES,
            objective_shares=NO_SAMPLES,
            memory_budget=memory_budget,
            concurrency_limit=concurrency_limit,
            warming_since=endpoint.started_at,
            name_hash=name,
            slow_start_sends=NO_SAMPLES,
        )

    def sum_samples(self, since: float) -> None:
        """Sums up latency and work of the answers received after that time (ms)."""
        trim(self.latency_samples, since)
        self.sampled_latency = sum(map(_latency_of, self.latency_samples))
        self.sampled_work = sum(map(_work_of, self.latency_samples))

    def pinned_memory(self) -> float:
        """The part of its memory that is in use by its last report; 0 where none states it."""
        return self.load_reports[-1].pinned_memory if self.load_reports else 0.0

    def open_records(self, lengths: "RecordLengths") -> None:
        """Begins the records, if it has none yet."""
        if self.slow_start_sends is NO_SAMPLES:
            self.latency_samples = Recent(lengths.latency_samples)
            self.recent_results = Recent(lengths.recent_results)
            self.load_reports = Recent(lengths.load_reports)
            self.objective_shares = Recent(lengths.objective_shares)
            self.slow_start_sends = Recent()


class RecordLengths(NamedTuple):
    """How many samples are kept of a worker."""

    latency_samples: int
    recent_results: int
    load_reports: int
    objective_shares: int


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """What a request runs and a worker loads.

    `cell` is its home, with `nearest` its nearest worker there, both as of the fleet's version `fleet_version`;
    `ranking` ranks the workers of `ranked_from`.
    """

    name: str
    request_class: RequestClass
    memory: float
    concurrency: int  # requests that one replica runs at once
    load_hint: float
    request_times: Samples[float]  # when it was called (ms)
    durations: Samples[float]  # ms of work of recent requests
    load_times: Samples[float]  # ms
    concurrency_samples: Samples[tuple[Worker, int]]  # (worker, requests of this function in flight there)
    name_hash: int = 0
    replicas: list["Replica"] = field(default_factory=list)
    last_request_at: float = 0.0
    placed_at: float = float("-inf")
    ranking: list[Worker] = field(default_factory=list)
    ranked_from: Any = None
    verified: bool = False  # a request of it was answered, or it was loaded
    cell: Any = None
    nearest_worker: Worker | None = None
    fleet_version: int = -1


@dataclass(slots=True, eq=False, repr=False)
class Replica:
    """A function on a worker; `loaded` instances of it are believed to be there, `wanted` are to be there."""

    function: Function
    worker: Worker
    loaded_replicas: int = 0
    wanted_replicas: int = 0
    is_placed: bool = False
    last_used: float = 0.0
    prewarm_sent_at: float | None = None
    loading_since: float | None = None
    last_miss: float = float("-inf")
    full_until: float = 0.0
    in_flight: int = 0

    def concurrency(self) -> int:
        """Requests that may run there at once."""
        return max(1, self.loaded_replicas) * self.function.concurrency


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """One request as received; `objective_at` is when an answer is wanted, `deadline` when the client's time is up."""

    ident: int
    function: Function
    request_class: RequestClass
    received_at: float
    deadline: float
    objective_at: float
    work: float | None
    is_repeat: bool
    route_policy: RoutePolicy | None = None
    retry_budget: RetryBudget | None = None
    not_before: float = 0.0
    attempts: list["Attempt"] = field(default_factory=list)
    closed: bool = False
    queued: bool = False

    def may_have_run(self) -> list["Attempt"]:
        """Its attempts that may have run: all but those whose outcome excludes it."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request at a replica.

    `warm`: a loaded replica was expected; `active_at_worker` and `active_in_total` count our attempts that were active
    as it was sent.
    """

    request: Request
    number: int
    replica: Replica
    sent_at: float
    expected_latency: float
    warm: bool
    active_at_worker: int
    active_in_total: int
    overdue_at: float = 0.0
    outcome: Outcome | None = None
    withdrawn: bool = False  # cancelled in favour of another worker


class OverdueEntry(NamedTuple):
    """An active attempt, ordered by when its answer is overdue (ms)."""

    overdue_at: float
    request_ident: int
    number: int
    attempt: Attempt
