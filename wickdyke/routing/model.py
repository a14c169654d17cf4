"""Records of the router's state: functions, workers, requests and attempts.

The records make no decisions. Times are milliseconds on the host's monotonic clock, durations are milliseconds, and
memory is in MB.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from operator import attrgetter
from typing import Any, NamedTuple

from wickdyke.routing.samples import NO_SAMPLES, Recent, Samples, trim
from wickdyke.routing.seeded_random import name_hash


class Outcome(StrEnum):
    """The outcome of an attempt, a prewarm or a health check.

    The values are stored in recordings and used by the simulator's adapter.
    """

    OK = "ok"
    ERROR = "error"  # the worker answered with an error: the attempt may have run
    FULL = "full"  # rejected for lack of capacity: the attempt never ran
    MISS = "miss"  # the function is not loaded on the worker: the attempt never ran
    TIMEOUT = "timeout"  # no answer in time: the attempt may have run
    UNREACHED = "unreached"  # no connection could be made: the attempt never ran
    CONNECTION_LOST = "cut"  # the connection ended during the attempt: the attempt may have run
    CANCELLED = "cancelled"  # withdrawn: the attempt may have run
    UNSENT = "unsent"  # no byte was sent: the attempt never ran
    NOT_READY = "not-ready"  # only of health checks: the worker answered that it accepts no work, e.g. as it drains


class Effect(StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    KEYED = "tokened"  # with an idempotency key, within the deduplication window and scope
    SIDE_EFFECTING = "side-effecting"


class Scope(StrEnum):
    """The group of workers among which an idempotency key is recognized."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(StrEnum):
    """The state of a worker by the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class LoadNote(StrEnum):
    """What an answer states on the load of the replica that served the attempt."""

    ALREADY_LOADED = "stood"  # the replica was already loaded
    STARTED_LOAD = "began"  # the attempt started the load
    AWAITED_LOAD = "awaited"  # the attempt waited for a load in progress
    LOAD_FAILED = "load failed"


NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHED, Outcome.UNSENT, Outcome.MISS})


class LatencySample(NamedTuple):
    """The latency (ms) of an answer received at the time `at` (ms), and its work (ms on the average worker)."""

    at: float
    latency: float
    work: float


class ResultSample(NamedTuple):
    """Whether an attempt, prewarm or health check that ended at the time `at` (ms) succeeded."""

    at: float
    succeeded: bool


class ObjectiveShare(NamedTuple):
    """The fraction of its latency objective that an answer took.

    `active` is the number of this front end's attempts that were active in the same pool when the attempt was sent.
    """

    share: float
    active: int


class WorkSample(NamedTuple):
    """Work (ms on the average worker) that was sent or served at the time `at` (ms)."""

    at: float
    work: float


class LoadReport(NamedTuple):
    """A worker's load report; a field is None where neither it nor the field that it is derived from was reported.

    `own_in_flight` is the number of this front end's attempts in flight at the worker when the report arrived.
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
    """A class of requests from the settings.

    An idempotency key is recognized within `scope` for `dedupe_window`. `latency_objective` is the time within which an
    answer has its full weight; it is extended by `objective_per_work` for each ms of work.
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
    """The wait before a retry: `first` ms before the first one, multiplied by `growth` for each later one."""

    first: float  # ms
    growth: float
    maximum: float  # ms
    jitter: float  # largest fraction of a wait by which it is randomly extended


class Hedging(NamedTuple):
    """When a further attempt is sent while earlier ones are in flight."""

    after: float  # ms without an answer
    max_in_flight: int  # attempts of one request
    tokens_per_request: float  # hedge tokens that each request adds; one token pays for one hedged attempt


class RetryBudgetTerms(NamedTuple):
    """The limit on the retries of a route within `window` ms: `floor` plus a `share` of the route's requests."""

    window: float  # ms
    share: float
    floor: float


@dataclass(slots=True, frozen=True, eq=False)
class RoutePolicy:
    """The rules of an operator's route for the attempts of its requests.

    Equal policies are one object. The retry budget is identified by `budget_key`.
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
    """A route's recent requests and retries, and its unused hedge tokens."""

    requests: deque[float] = field(default_factory=deque)  # times at which requests were received (ms)
    retries: deque[float] = field(default_factory=deque)  # times at which retries were sent (ms)
    hedge_tokens: float = 0.0


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list; `started_at` (ms) is None where the worker is not known as just started."""

    ident: str
    zone: int
    kind: int
    cell: int
    state: EndpointState
    size: float
    started_at: float | None


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """This front end's view of a worker.

    `latency_samples`, `recent_results`, `load_reports`, `objective_shares` and `slow_start_sends` are NO_SAMPLES until
    something is first sent to the worker, so that a worker that is only listed uses little memory.
    """

    endpoint: Endpoint
    latency_samples: Samples[LatencySample]
    recent_results: Samples[ResultSample]
    load_reports: Samples[LoadReport]
    objective_shares: Samples[ObjectiveShare]
    memory_budget: float
    concurrency_limit: float
    warming_since: float | None  # start of its slow start (ms)
    name_hash: int
    slow_start_sends: Samples[WorkSample] = field(default_factory=deque)
    in_flight: list["Attempt"] = field(default_factory=list)
    overdue_queue: list["OverdueEntry"] = field(default_factory=list)  # a heap
    active_count: int = 0
    replicas: dict["Function", "Replica"] = field(default_factory=dict)
    ejected_until: float = 0.0
    ejections: int = 0
    failed_checks: int = 0
    memory_short_until: float = 0.0
    last_answer_at: float = 0.0
    last_check_at: float = 0.0
    check_sent_at: float | None = None  # time at which the health check in flight was sent
    ready_at: float = float("-inf")  # send time of the latest work or health check that showed it ready
    not_ready_since: float | None = None  # time since which it is known as not ready, or its process as ended
    same_process_since: float = float("-inf")  # earliest time since which its connections show the same process
    # Time (ms) since which another process may listen at its address; infinite while none is known to listen there.
    process_changed_at: float = float("-inf")
    limit_lowered_at: float = 0.0
    utilization: float = 0.0
    sampled_latency: float = 0.0
    sampled_work: float = 0.0

    @classmethod
    def from_endpoint(cls, endpoint: Endpoint, memory_budget: float, concurrency_limit: float) -> "Worker":
        """Returns the record of a worker that is only listed: warming up since its start, with no samples yet."""
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
        """Updates the sums of latency and work over the answers received after `since` (ms)."""
        trim(self.latency_samples, since)
        self.sampled_latency = sum(map(_latency_of, self.latency_samples))
        self.sampled_work = sum(map(_work_of, self.latency_samples))

    def pinned_memory(self) -> float:
        """Returns the fraction of the worker's memory that is in use by its last report; 0 without a report."""
        return self.load_reports[-1].pinned_memory if self.load_reports else 0.0

    def open_records(self, lengths: "RecordLengths") -> None:
        """Creates the worker's sample records, if it has none yet."""
        if self.slow_start_sends is NO_SAMPLES:
            self.latency_samples = Recent(lengths.latency_samples)
            self.recent_results = Recent(lengths.recent_results)
            self.load_reports = Recent(lengths.load_reports)
            self.objective_shares = Recent(lengths.objective_shares)
            self.slow_start_sends = Recent()


class RecordLengths(NamedTuple):
    """The maximum numbers of samples that are kept of a worker."""

    latency_samples: int
    recent_results: int
    load_reports: int
    objective_shares: int


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """Code or a model that requests run and workers load.

    `cell` is the function's home cell and `nearest_worker` its nearest worker there, both as of the fleet's version
    `fleet_version`. `ranking` is the function's order of the workers of `ranked_from`.
    """

    name: str
    request_class: RequestClass
    memory: float
    concurrency: int  # requests that one replica runs at once
    load_hint: float  # ms that a load takes by the client; 0 where it is not stated
    request_times: Samples[float]  # times at which recent requests were received (ms)
    durations: Samples[float]  # ms of work of recent requests
    load_times: Samples[float]  # ms
    concurrency_samples: Samples[tuple[Worker, int]]  # (worker, requests of this function in flight on it)
    name_hash: int = 0
    replicas: list["Replica"] = field(default_factory=list)
    last_request_at: float = 0.0
    placed_at: float = float("-inf")
    ranking: list[Worker] = field(default_factory=list)
    ranked_from: Any = None
    verified: bool = False  # whether one of its requests was answered, or it was loaded
    cell: Any = None
    nearest_worker: Worker | None = None
    fleet_version: int = -1


@dataclass(slots=True, eq=False, repr=False)
class Replica:
    """A function on a worker.

    `loaded_replicas` instances of the function are assumed to be loaded, `wanted_replicas` should be; `is_placed` is
    whether the placement assigns the function to the worker.
    """

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
        """Returns the number of requests that may run there at once."""
        return max(1, self.loaded_replicas) * self.function.concurrency


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """A client's request.

    `objective_at` is the time by which an answer has its full weight, `deadline` the time at which the client gives up.
    """

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
        """Returns the attempts that may have run: all but those whose outcome rules that out."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request at a replica.

    `expected_loaded`: whether a loaded replica was expected. `active_at_worker` and `active_in_total` are the numbers
    of this front end's attempts that were active when this one was sent. `begin_before` is the time (ms) before which
    the host must send its first byte, or not send it at all. `process_changed_at` is that of the worker when it was
    decided, and `to_listed_process` whether the endpoint list described the process there.
    """

    request: Request
    number: int
    replica: Replica
    sent_at: float
    expected_latency: float
    expected_loaded: bool
    active_at_worker: int
    active_in_total: int
    overdue_at: float = 0.0
    outcome: Outcome | None = None
    withdrawn: bool = False  # cancelled in favour of another worker
    begin_before: float = math.inf
    process_changed_at: float = -math.inf
    to_listed_process: bool = True


class OverdueEntry(NamedTuple):
    """An active attempt; entries are ordered by the time at which the answer is overdue (ms)."""

    overdue_at: float
    request_ident: int
    number: int
    attempt: Attempt
