"""Scenarios: files of S-expressions that define which processes run, their traffic, and the times of faults.

The keys of scenario files are the names of the fields in the tables below; `parameter` states the name in the record
where it differs.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from wickdyke.config import schema, sexpr
from wickdyke.config.builders import unlocated
from wickdyke.config.schema import Diagnostics, Field, choice, count, duration, flag, number, record, size
from wickdyke.config.sexpr import Expression, SourceLocation
from wickdyke.fault_injection.faults import (
    FAULT_SPECIFICATIONS,
    Fault,
    FaultTarget,
    WorkerSupport,
    read_timed_fault,
    read_triggered_fault,
)


class Effect(Enum):
    """Whether a request may run a second time; the value is used in settings and traces."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "tokened"
    SIDE_EFFECTING = "side-effecting"


class EffectScope(Enum):
    """The group of workers that share idempotency keys; the value is used in settings and traces."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
    """The state of a worker in the endpoint file; the value is used in the file and in traces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class RequestClassTraffic:
    """A request class and its traffic. Times in ms, memory in MB."""

    name: str
    effect: Effect
    scope: EffectScope
    key_lifetime_ms: float  # how long workers remember an idempotency key
    soft_deadline_ms: float
    deadline_ms: float
    gain: float  # the value of a response in time
    late_gain: float  # the share of `gain` for a late response
    weight: float  # the share of all requests, relative to the other classes
    work_ms: float
    function_count: int
    memory_mb: float  # of one replica
    concurrency: int  # requests that one replica runs at once
    load_ms: float


@dataclass(slots=True, frozen=True)
class SlowStart:
    """How the speed of workers grows after a start."""

    start_share: float = 0.25  # of a worker's speed, right after its start
    ramp_ms: float = 6000.0
    overload_multiple: float = 3.0  # a worker in slow start crashes beyond this many times its capacity in the window
    window_ms: float = 1500.0


@dataclass(slots=True, frozen=True)
class PrewarmQuota:
    """How many prewarms are allowed within the window: a fixed number plus a share of the requests."""

    free: float = 0.0
    share: float = 0.0
    window_ms: float = 0.0


@dataclass(slots=True)
class Scenario:
    """A run as a scenario file defines it. Times in ms, memory in MB."""

    name: str
    seed: int
    duration_ms: float
    gateway_count: int
    worker_count: int
    zone_count: int
    cores: int  # of one worker
    speed: float  # ms of work that a core does per ms
    worker_memory_mb: float
    queue_limit: int
    idle_lifetime_ms: float  # until a replica without requests is unloaded
    request_rate: float  # requests per second
    connections: int
    max_requests: int  # in the whole run; 0 means no limit
    max_attempts: int
    overlap: bool  # whether attempts of a request may overlap
    drain_grace_ms: float
    endpoint_lag_ms: float  # delay of changes of workers in the endpoint file
    response_transit_ms: float
    transit_ms: float  # delay between send and receipt that the rule checker allows
    store_concurrency: int  # fetches that the fake store serves at full speed
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    request_classes: list[RequestClassTraffic]
    cancel_supported: bool = True
    real_workers: bool = False
    prewarming: bool = True
    routes: str = ""  # the text of the route file's routes
    faults: list[Fault] = field(default_factory=list)


def _route_text(expression: Expression, diagnostics: Diagnostics) -> str:
    return sexpr.format_expression(expression)


REQUEST_CLASS = record(
    unlocated(RequestClassTraffic),
    named=True,
    effect=Field(
        choice(idempotent=Effect.IDEMPOTENT, tokened=Effect.IDEMPOTENCY_KEY, side_effecting=Effect.SIDE_EFFECTING)
    ),
    scope=Field(choice(all=EffectScope.ALL, zone=EffectScope.ZONE, cell=EffectScope.CELL), EffectScope.ALL),
    window=Field(duration(), 0.0, parameter="key_lifetime_ms"),
    soft_deadline=Field(duration(1), parameter="soft_deadline_ms"),
    deadline=Field(duration(1), parameter="deadline_ms"),
    gain=Field(number(0, 1e6), 1.0),
    late_gain=Field(number(0, 1), 0.2),
    part=Field(number(0, 1e6), 1.0, parameter="weight"),
    work=Field(duration(0.01), parameter="work_ms"),
    programs=Field(count(1, 10000), 20, parameter="function_count"),
    memory=Field(size(), 2000.0, parameter="memory_mb"),
    lanes=Field(count(1, 1000), 4, parameter="concurrency"),
    load=Field(duration(), 500.0, parameter="load_ms"),
)
SLOW_START = record(
    unlocated(SlowStart),
    start_share=Field(number(0.001, 1), 0.25),
    ramp=Field(duration(), 6000.0, parameter="ramp_ms"),
    multiple=Field(number(1, 1000), 3.0, parameter="overload_multiple"),
    window=Field(duration(1), 1500.0, parameter="window_ms"),
)
PREWARM_QUOTA = record(
    unlocated(PrewarmQuota),
    free=Field(number(0, 1e6), 0.0),
    share=Field(number(0, 1e6), 0.0),
    window=Field(duration(), 0.0, parameter="window_ms"),
)


def _build_scenario(
    route: list[str], timed_faults: list[Fault], triggered_faults: list[Fault], **values: Any
) -> Scenario:
    return Scenario(routes=" ".join(route), faults=[*timed_faults, *triggered_faults], **values)


SCENARIO = record(
    unlocated(_build_scenario),
    named=True,
    route=Field(_route_text, None, repeatable=True),
    cancel=Field(flag, True, parameter="cancel_supported"),
    runtime=Field(flag, False, parameter="real_workers"),
    holds=Field(flag, True, parameter="prewarming"),
    seed=Field(count(0, 2**31), 1),
    length=Field(duration(100), parameter="duration_ms"),
    gateways=Field(count(1, 64), 2, parameter="gateway_count"),
    workers=Field(count(1, 200), 6, parameter="worker_count"),
    zones=Field(count(1, 20), 1, parameter="zone_count"),
    cores=Field(count(1, 1000), 4),
    speed=Field(number(0.01, 100), 1.0),
    memory=Field(size(1), 24000.0, parameter="worker_memory_mb"),
    queue=Field(count(1, 10**6), 200, parameter="queue_limit"),
    idle_life=Field(duration(100), 6000.0, parameter="idle_lifetime_ms"),
    rate=Field(number(0.1, 100000), 100.0, parameter="request_rate"),
    connections=Field(count(1, 1000), 2),
    most=Field(count(0, 10**7), 0, parameter="max_requests"),
    call_outs=Field(count(1, 100), 3, parameter="max_attempts"),
    overlap=Field(flag, False),
    drain_grace=Field(duration(), 1000.0, parameter="drain_grace_ms"),
    list_lag=Field(duration(), 500.0, parameter="endpoint_lag_ms"),
    answer_way=Field(duration(), 150.0, parameter="response_transit_ms"),
    transit=Field(duration(), 250.0, parameter="transit_ms"),
    store_pace=Field(count(1, 10000), 8, parameter="store_concurrency"),
    warmup=Field(SLOW_START, SlowStart(), parameter="slow_start"),
    ration=Field(PREWARM_QUOTA, PrewarmQuota(), parameter="prewarm_quota"),
    method=Field(REQUEST_CLASS, repeatable=True, parameter="request_classes"),
    at=Field(read_timed_fault, None, repeatable=True, parameter="timed_faults"),
    on=Field(read_triggered_fault, None, repeatable=True, parameter="triggered_faults"),
)


def worker_names(scenario: Scenario) -> list[str]:
    """Returns the names of the scenario's workers: w1, w2 ..."""
    return [f"w{number}" for number in range(1, scenario.worker_count + 1)]


def gateway_names(scenario: Scenario) -> list[str]:
    """Returns the names of the scenario's gateways: g1, g2 ..."""
    return [f"g{number}" for number in range(1, scenario.gateway_count + 1)]


def zone_of(scenario: Scenario, worker: str) -> str:
    """Returns the zone of a worker; zones are assigned to workers in turn."""
    return f"z{(int(worker[1:]) - 1) % scenario.zone_count + 1}"


CELL_COUNT = 3


def cell_of(worker: str) -> int:
    """Returns the cell of a worker; cells are assigned to workers in turn."""
    return int(worker[1:]) % CELL_COUNT


def read(path: str) -> Scenario:
    """Reads and checks a scenario file; raises InvalidConfigError with all errors in it."""
    diagnostics = Diagnostics()
    expression = schema.single_expression(sexpr.read(path), "script", path, diagnostics)
    scenario = None if expression is None else SCENARIO(expression, diagnostics)
    if expression is not None and scenario is not None:
        for fault in scenario.faults:
            _check_targets(scenario, fault, diagnostics)
            _check_support(scenario, fault, diagnostics)
        _check_deadlines(scenario, expression.location, diagnostics)
    return schema.required(scenario, diagnostics)


def _check_targets(scenario: Scenario, fault: Fault, diagnostics: Diagnostics) -> None:
    targets = {
        FaultTarget.WORKERS: worker_names(scenario),
        FaultTarget.GATEWAYS: gateway_names(scenario),
        FaultTarget.ZONES: [f"z{number}" for number in range(1, scenario.zone_count + 1)],
    }.get(FAULT_SPECIFICATIONS[fault.kind].target, [])
    for name in fault.targets:
        if name not in targets:
            diagnostics.add(fault.location, f'"{name}"', "one of " + ", ".join(targets))


def _check_support(scenario: Scenario, fault: Fault, diagnostics: Diagnostics) -> None:
    support = FAULT_SPECIFICATIONS[fault.kind].support
    shown = f"({fault.kind.value} ...)"
    if scenario.real_workers and (fault.trigger or support is WorkerSupport.FAKE_ONLY):
        supported = [
            kind.value
            for kind, specification in FAULT_SPECIFICATIONS.items()
            if specification.support is not WorkerSupport.FAKE_ONLY
        ]
        diagnostics.add(fault.location, shown, "a fault that real workers support: " + ", ".join(supported))
    elif not scenario.real_workers and support is WorkerSupport.REAL_ONLY:
        diagnostics.add(fault.location, shown, "a scenario with (runtime yes): fake workers do not support this fault")


def _check_deadlines(scenario: Scenario, location: SourceLocation, diagnostics: Diagnostics) -> None:
    for request_class in scenario.request_classes:
        if request_class.soft_deadline_ms >= request_class.deadline_ms:
            diagnostics.add(
                location,
                f'method "{request_class.name}" whose soft deadline is {request_class.soft_deadline_ms:g} ms',
                f"a soft deadline before its deadline of {request_class.deadline_ms:g} ms",
            )
