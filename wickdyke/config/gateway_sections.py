"""The sections of a gateway's settings file and their readers.

The keyword argument of each field is its key in the file, with underscores for hyphens; `parameter` is the name in
the code where it differs from the key.
"""

from dataclasses import dataclass

from wickdyke.circuit_breaker.breakers import BreakerSettings, FunctionBreakerSettings, RequestBreakerSettings
from wickdyke.config import address
from wickdyke.config.builders import Located, located, unlocated
from wickdyke.config.schema import (
    Field,
    choice,
    count,
    duration,
    flag,
    number,
    record,
    size,
    text,
    word_list,
)
from wickdyke.config.sexpr import NO_LOCATION, SourceLocation
from wickdyke.routing.model import Effect, RequestClass, Scope
from wickdyke.routing.settings import AttemptLimits, CostWeights, FunctionCache, PrewarmQuota, SlowStart

BYTES_PER_MB = 2**20
DEFAULT_POLL_INTERVAL = 100.0  # ms


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits of a gateway; requests that exceed them are rejected and clients disconnected (docs/protocol.md)."""

    connections: int
    open_requests: int
    open_requests_per_client: int
    line_bytes: int
    unread_bytes: int
    events: int


@dataclass(slots=True, frozen=True)
class ServerLimitsSection:
    """The limits as the file states them, with sizes in MB."""

    connections: int = 1024
    open_requests: int = 32768
    open_requests_per_client: int = 4096
    line_size: float = 16.0
    unread_size: float = 32.0
    events: int = 100000

    def limits(self) -> ServerLimits:
        """Returns the limits with sizes in bytes."""
        return ServerLimits(
            self.connections,
            self.open_requests,
            self.open_requests_per_client,
            round(self.line_size * BYTES_PER_MB),
            round(self.unread_size * BYTES_PER_MB),
            self.events,
        )


@dataclass(slots=True, frozen=True)
class FunctionSettings:
    """Settings of the function `name`, or, where `name` ends with a star, of all functions with that prefix.

    `memory` is MB per replica, `concurrency` the number of concurrent requests per replica, `load_time` is in ms.
    """

    name: str
    memory: float
    concurrency: int
    load_time: float | None
    location: SourceLocation

    @property
    def is_prefix(self) -> bool:
        """Whether `name` is a prefix of the names of several functions."""
        return self.name.endswith("*")

    def matches(self, function: str) -> bool:
        """Returns whether these settings apply to that function."""
        return function.startswith(self.name[:-1]) if self.is_prefix else function == self.name


@dataclass(slots=True, frozen=True)
class PolledFile:
    """A file that is read again when it changes; `poll_interval` is in ms, and `path` is None if there is no file."""

    path: str | None = None
    poll_interval: float = DEFAULT_POLL_INTERVAL


@dataclass(slots=True, frozen=True)
class WorkerKind:
    """A kind of worker and its memory for replicas, in MB."""

    name: str
    memory: float


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota for the whole fleet, in requests per second."""

    name: str
    quota: float


@dataclass(slots=True, frozen=True)
class InstanceNumber:
    """The index of this gateway, counted from 0, and the number of gateways."""

    index: int = 0
    count: int = 1


@dataclass(slots=True, frozen=True)
class GatewaySection:
    """All sections of a gateway's file, before they are checked for consistency. Times are in ms."""

    location: SourceLocation
    name: str
    listen: str
    endpoints: PolledFile
    routes: PolledFile
    log: str | None
    recording: str | None
    seed: int | None
    zones: list[Located[str]]
    own_zone: str | None
    kinds: list[Located[WorkerKind]]
    request_classes: list[Located[RequestClass]]
    functions: list[FunctionSettings]
    instance: Located[InstanceNumber]
    report_keys: tuple[str, ...]
    weight_by_work: bool
    attempt_limits: AttemptLimits
    function_cache: FunctionCache
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    drain_grace: float
    cost_weights: CostWeights
    limits: ServerLimitsSection
    answer_margin: float
    health_check_timeout: float
    breakers: BreakerSettings
    tenants: list[Located[Tenant]]


def _zone(name: str) -> str:
    return name


def _listen_address(json_rpc: str) -> str:
    return json_rpc


def _function_cache(
    idle_timeout: float,
    may_prewarm: bool,
    loads_on_demand: bool,
    prewarm_timeout: float,
    reports_warmth: bool,
    reports_concurrency: bool,
) -> FunctionCache:
    """Returns the settings without the memory, which the kinds of workers state."""
    return FunctionCache(
        memory=(),
        idle_timeout=idle_timeout,
        may_prewarm=may_prewarm,
        loads_on_demand=loads_on_demand,
        prewarm_timeout=prewarm_timeout,
        reports_warmth=reports_warmth,
        reports_concurrency=reports_concurrency,
    )


REQUEST_CLASS = record(
    located(RequestClass),
    named=True,
    effect=Field(choice(idempotent=Effect.IDEMPOTENT, tokened=Effect.KEYED, side_effecting=Effect.SIDE_EFFECTING)),
    scope=Field(choice(all=Scope.ALL, zone=Scope.ZONE, cell=Scope.CELL), Scope.ALL),
    window=Field(duration(), 0.0, parameter="dedupe_window"),
    soft_deadline=Field(duration(1.0), parameter="latency_objective"),
    deadline=Field(duration(1.0)),
    soft_stretch=Field(number(0, 1000), 0.0, parameter="objective_per_work"),
    gain=Field(number(0, 1e6), 1.0, parameter="priority_weight"),
    late_gain=Field(number(0, 1), 0.0, parameter="late_weight"),
)
FUNCTION = record(
    FunctionSettings,
    named=True,
    memory=Field(size(0)),
    lanes=Field(count(1, 4096), 1, parameter="concurrency"),
    load=Field(duration(), None, parameter="load_time"),
)
ZONE = record(located(_zone), named=True)
WORKER_KIND = record(located(WorkerKind), named=True, memory=Field(size()))
TENANT = record(located(Tenant), named=True, quota=Field(number(0.001, 1e9)))
LISTEN = record(unlocated(_listen_address), json_rpc=Field(address.read))
POLLED_FILE = record(
    unlocated(PolledFile),
    file=Field(text, parameter="path"),
    reread=Field(duration(5.0, 60000.0), DEFAULT_POLL_INTERVAL, parameter="poll_interval"),
)
INSTANCE_NUMBER = record(
    located(InstanceNumber),
    number=Field(count(0, 100000), parameter="index"),
    of=Field(count(1, 100000), parameter="count"),
)
DEFAULT_ATTEMPT_LIMITS = AttemptLimits(
    attempts=3, hedging=False, cancel=True, health_checks=True, retry_after=0.0, connect_timeout=250.0
)
ATTEMPT_LIMITS = record(
    unlocated(AttemptLimits),
    most=Field(count(1, 100), 3, parameter="attempts"),
    overlap=Field(flag, False, parameter="hedging"),
    cancel=Field(flag, True),
    probe=Field(flag, True, parameter="health_checks"),
    retry_after=Field(duration(), 0.0),
    dial=Field(duration(1.0, 60000.0), 250.0, parameter="connect_timeout"),
    idle_close=Field(duration(1.0), 15000.0, parameter="idle_timeout"),
)
FUNCTION_CACHE = record(
    unlocated(_function_cache),
    idle_life=Field(duration(1.0), parameter="idle_timeout"),
    may_hold=Field(flag, True, parameter="may_prewarm"),
    loads_on_call=Field(flag, True, parameter="loads_on_demand"),
    hold_wait=Field(duration(1.0), 10000.0, parameter="prewarm_timeout"),
    tells_standing=Field(flag, True, parameter="reports_warmth"),
    tells_company=Field(flag, True, parameter="reports_concurrency"),
)
SLOW_START = record(
    unlocated(SlowStart),
    start_share=Field(number(0.001, 1)),
    ramp=Field(duration()),
    multiple=Field(number(1, 1000)),
    window=Field(duration(1.0)),
)
PREWARM_QUOTA = record(
    unlocated(PrewarmQuota),
    free=Field(number(0, 1e6)),
    share=Field(number(0, 1e6)),
    window=Field(duration()),
)
COST_WEIGHTS = record(
    unlocated(CostWeights),
    waste=Field(number(0, 100), 0.0),
    late=Field(number(0, 100), 0.0),
    fetch=Field(number(0, 100), 0.0),
    probe=Field(number(0, 100), 0.0, parameter="health_check"),
    crossing=Field(number(0, 100), 0.0, parameter="cross_zone"),
    idle_memory=Field(number(0, 100), 0.0),
)
DEFAULT_LIMITS = ServerLimitsSection()
SERVER_LIMITS = record(
    unlocated(ServerLimitsSection),
    connections=Field(count(1, 60000), DEFAULT_LIMITS.connections),
    open_rpcs=Field(count(1, 10**7), DEFAULT_LIMITS.open_requests, parameter="open_requests"),
    open_each=Field(count(1, 10**6), DEFAULT_LIMITS.open_requests_per_client, parameter="open_requests_per_client"),
    line=Field(size(0.001, 1024), DEFAULT_LIMITS.line_size, parameter="line_size"),
    unread=Field(size(0.001, 4096), DEFAULT_LIMITS.unread_size, parameter="unread_size"),
    events=Field(count(10, 10**7), DEFAULT_LIMITS.events),
)
DEFAULT_BREAKERS = BreakerSettings()
FUNCTION_BREAKER = record(
    unlocated(FunctionBreakerSettings),
    workers=Field(count(1, 1000), DEFAULT_BREAKERS.functions.workers),
    window=Field(duration(1.0), DEFAULT_BREAKERS.functions.window),
    first=Field(duration(1.0), DEFAULT_BREAKERS.functions.first_pause, parameter="first_pause"),
    most=Field(duration(1.0), DEFAULT_BREAKERS.functions.longest_pause, parameter="longest_pause"),
)
REQUEST_BREAKER = record(
    unlocated(RequestBreakerSettings),
    copies=Field(number(1, 1000), DEFAULT_BREAKERS.requests.replicas, parameter="replicas"),
    window=Field(duration(1.0), DEFAULT_BREAKERS.requests.window),
    first=Field(duration(1.0), DEFAULT_BREAKERS.requests.first_pause, parameter="first_pause"),
    most=Field(duration(1.0), DEFAULT_BREAKERS.requests.longest_pause, parameter="longest_pause"),
)
BREAKERS = record(
    unlocated(BreakerSettings),
    loads=Field(FUNCTION_BREAKER, DEFAULT_BREAKERS.functions, parameter="functions"),
    calls=Field(REQUEST_BREAKER, DEFAULT_BREAKERS.requests, parameter="requests"),
)
GATEWAY = record(
    GatewaySection,
    name=Field(text, "gateway"),
    listen=Field(LISTEN),
    workers=Field(POLLED_FILE, parameter="endpoints"),
    routes=Field(POLLED_FILE, PolledFile()),
    log=Field(text, None),
    tape=Field(text, None, parameter="recording"),
    seed=Field(count(0, 2**53), None),
    zone=Field(ZONE, None, repeatable=True, parameter="zones"),
    at=Field(text, None, parameter="own_zone"),
    kind=Field(WORKER_KIND, None, repeatable=True, parameter="kinds"),
    method=Field(REQUEST_CLASS, repeatable=True, parameter="request_classes"),
    program=Field(FUNCTION, None, repeatable=True, parameter="functions"),
    seat=Field(INSTANCE_NUMBER, Located(InstanceNumber(), NO_LOCATION), parameter="instance"),
    report=Field(word_list, ("busy", "held"), parameter="report_keys"),
    by_work=Field(flag, False, parameter="weight_by_work"),
    call_outs=Field(ATTEMPT_LIMITS, DEFAULT_ATTEMPT_LIMITS, parameter="attempt_limits"),
    stock=Field(FUNCTION_CACHE, parameter="function_cache"),
    warmup=Field(SLOW_START, parameter="slow_start"),
    ration=Field(PREWARM_QUOTA, PrewarmQuota(0.0, 0.0, 0.0), parameter="prewarm_quota"),
    drain_grace=Field(duration()),
    tariff=Field(COST_WEIGHTS, CostWeights(0, 0, 0, 0, 0, 0), parameter="cost_weights"),
    bounds=Field(SERVER_LIMITS, DEFAULT_LIMITS, parameter="limits"),
    answer_way=Field(duration(0.0, 60000.0), 20.0, parameter="answer_margin"),
    probe_wait=Field(duration(1.0, 60000.0), 250.0, parameter="health_check_timeout"),
    isolation=Field(BREAKERS, DEFAULT_BREAKERS, parameter="breakers"),
    tenant=Field(TENANT, None, repeatable=True, parameter="tenants"),
)
