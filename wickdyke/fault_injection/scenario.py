"""Scenarios: files of S-expressions that state which processes run, their traffic, and which faults come when.

The keys of scenario files are the names of the fields in the tables below; the builders map them to the records.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from wickdyke.config import schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, choice, count, flag, number, record, size, span
from wickdyke.config.sexpr import Expression
from wickdyke.fault_injection.faults import (
    FAULT_SPECIFICATIONS,
    Fault,
    FaultTarget,
    WorkerSupport,
    read_timed_fault,
    read_triggered_fault,
)


class Effect(Enum):
    """What running a request a second time would do; the value is the word of settings and traces."""

    IDEMPOTENT = "idempotent"
    TOKENED = "tokened"
    SIDE_EFFECTING = "side-effecting"


class EffectScope(Enum):
    """Among which workers an idempotency key is known; the value is the word of settings and traces."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
    """The state of a worker in the endpoint file; the value is the word of the file and of traces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class RequestClassTraffic:
    """A request class and its traffic. Times in ms, memory in MB."""

    name: str
    effect: Effect
    scope: EffectScope
    key_window_ms: float  # how long an idempotency key is known
    soft_deadline_ms: float
    deadline_ms: float
    gain: float  # what a response in time is worth
    late_gain: float  # the share of it that a late response is worth
    weight: float  # the share of all requests, relative to the other classes
    work_ms: float
    function_count: int
    memory_mb: float  # of one replica
    concurrency: int  # requests that one replica runs at once
    load_ms: float


@dataclass(slots=True, frozen=True)
class SlowStart:
    """How workers warm up after a start."""

    start_share: float = 0.25  # of a worker's speed, right after its start
    ramp_ms: float = 6000.0
    overload_multiple: float = 3.0  # of its capacity in the window, beyond which a warming worker falls over
    window_ms: float = 1500.0


@dataclass(slots=True, frozen=True)
class PrewarmQuota:
    """How many prewarm orders are allowed within the window: a fixed number and a share of the requests."""

    free: float = 0.0
    share: float = 0.0
    window_ms: float = 0.0


@dataclass(slots=True)
class Scenario:
    """A run as a scenario file states it. Times in ms, memory in MB."""

    name: str
    seed: int
    duration_ms: float
    gateway_count: int
    worker_count: int
    zone_count: int
    cores: int  # of one worker
    speed: float  # ms of work that a core does in a ms
    worker_memory_mb: float
    queue_limit: int
    idle_lifetime_ms: float  # of a replica without requests
    request_rate: float  # requests a second
    connections: int
    max_requests: int  # of the whole run; 0 for no limit
    max_attempts: int
    overlap: bool  # whether attempts of a request may run at once
    drain_grace_ms: float
    endpoint_lag_ms: float  # from a change of a worker to the endpoint file
    response_transit_ms: float
    transit_ms: float  # allowed by the rule checker between send and receipt
    store_concurrency: int  # fetches that the fake store serves at full speed
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    request_classes: list[RequestClassTraffic]
    cancel_supported: bool = True
    real_workers: bool = False
    prewarming: bool = True
    routes: str = ""  # the text of the route file's routes
    faults: list[Fault] = field(default_factory=list)


def _build_request_class(**values: Any) -> RequestClassTraffic:
    return RequestClassTraffic(
        name=values["name"],
        effect=values["effect"],
        scope=values["scope"],
        key_window_ms=values["window"],
        soft_deadline_ms=values["soft_deadline"],
        deadline_ms=values["deadline"],
        gain=values["gain"],
        late_gain=values["late_gain"],
        weight=values["part"],
        work_ms=values["work"],
        function_count=values["programs"],
        memory_mb=values["memory"],
        concurrency=values["lanes"],
        load_ms=values["load"],
    )


def _build_slow_start(**values: Any) -> SlowStart:
    return SlowStart(values["start_share"], values["ramp"], values["multiple"], values["window"])


def _build_prewarm_quota(**values: Any) -> PrewarmQuota:
    return PrewarmQuota(values["free"], values["share"], values["window"])


def _build_scenario(**values: Any) -> Scenario:
    return Scenario(
        name=values["name"],
        seed=values["seed"],
        duration_ms=values["length"],
        gateway_count=values["gateways"],
        worker_count=values["workers"],
        zone_count=values["zones"],
        cores=values["cores"],
        speed=values["speed"],
        worker_memory_mb=values["memory"],
        queue_limit=values["queue"],
        idle_lifetime_ms=values["idle_life"],
        request_rate=values["rate"],
        connections=values["connections"],
        max_requests=values["most"],
        max_attempts=values["call_outs"],
        overlap=values["overlap"],
        drain_grace_ms=values["drain_grace"],
        endpoint_lag_ms=values["list_lag"],
        response_transit_ms=values["answer_way"],
        transit_ms=values["transit"],
        store_concurrency=values["store_pace"],
        slow_start=values["warmup"],
        prewarm_quota=values["ration"],
        request_classes=values["method"],
        cancel_supported=values["cancel"],
        real_workers=values["runtime"],
        prewarming=values["holds"],
        routes=" ".join(values["route"]),
        faults=[*values["at"], *values["on"]],
    )


def _route_text(expression: Expression, diagnostics: Diagnostics) -> str:
    return sexpr.format_expression(expression)


REQUEST_CLASS = record(
    _build_request_class,
    named=True,
    effect=Field(choice(idempotent=Effect.IDEMPOTENT, tokened=Effect.TOKENED, side_effecting=Effect.SIDE_EFFECTING)),
    scope=Field(choice(all=EffectScope.ALL, zone=EffectScope.ZONE, cell=EffectScope.CELL), EffectScope.ALL),
    window=Field(span(), 0.0),
    soft_deadline=Field(span(1)),
    deadline=Field(span(1)),
    gain=Field(number(0, 1e6), 1.0),
    late_gain=Field(number(0, 1), 0.2),
    part=Field(number(0, 1e6), 1.0),
    work=Field(span(0.01)),
    programs=Field(count(1, 10000), 20),
    memory=Field(size(), 2000.0),
    lanes=Field(count(1, 1000), 4),
    load=Field(span(), 500.0),
)
SLOW_START = record(
    _build_slow_start,
    start_share=Field(number(0.001, 1), 0.25),
    ramp=Field(span(), 6000.0),
    multiple=Field(number(1, 1000), 3.0),
    window=Field(span(1), 1500.0),
)
PREWARM_QUOTA = record(
    _build_prewarm_quota,
    free=Field(number(0, 1e6), 0.0),
    share=Field(number(0, 1e6), 0.0),
    window=Field(span(), 0.0),
)
SCENARIO = record(
    _build_scenario,
    named=True,
    route=Field(_route_text, None, many=True),
    cancel=Field(flag, True),
    runtime=Field(flag, False),
    holds=Field(flag, True),
    seed=Field(count(0, 2**31), 1),
    length=Field(span(100)),
    gateways=Field(count(1, 64), 2),
    workers=Field(count(1, 200), 6),
    zones=Field(count(1, 20), 1),
    cores=Field(count(1, 1000), 4),
    speed=Field(number(0.01, 100), 1.0),
    memory=Field(size(1), 24000.0),
    queue=Field(count(1, 10**6), 200),
    idle_life=Field(span(100), 6000.0),
    rate=Field(number(0.1, 100000), 100.0),
    connections=Field(count(1, 1000), 2),
    most=Field(count(0, 10**7), 0),
    call_outs=Field(count(1, 100), 3),
    overlap=Field(flag, False),
    drain_grace=Field(span(), 1000.0),
    list_lag=Field(span(), 500.0),
    answer_way=Field(span(), 150.0),
    transit=Field(span(), 250.0),
    store_pace=Field(count(1, 10000), 8),
    warmup=Field(SLOW_START, SlowStart()),
    ration=Field(PREWARM_QUOTA, PrewarmQuota()),
    method=Field(REQUEST_CLASS, many=True),
    at=Field(read_timed_fault, None, many=True),
    on=Field(read_triggered_fault, None, many=True),
)


def worker_names(scenario: Scenario) -> list[str]:
    """The names of the scenario's workers: w1, w2 ..."""
    return [f"w{number}" for number in range(1, scenario.worker_count + 1)]


def gateway_names(scenario: Scenario) -> list[str]:
    """The names of the scenario's gateways: g1, g2 ..."""
    return [f"g{number}" for number in range(1, scenario.gateway_count + 1)]


def zone_of(scenario: Scenario, worker: str) -> str:
    """The zone of a worker: zones are assigned to workers in turn."""
    return f"z{(int(worker[1:]) - 1) % scenario.zone_count + 1}"


CELL_COUNT = 3


def cell_of(worker: str) -> int:
    """The cell of a worker: cells are assigned to workers in turn."""
    return int(worker[1:]) % CELL_COUNT


def read(path: str) -> Scenario:
    """Read and check a scenario file; raises InvalidConfigError with all that is wrong in it."""
    diagnostics = Diagnostics()
    expression = schema.single_expression(sexpr.read(path), "script", path, diagnostics)
    scenario: Scenario | None = SCENARIO(expression, diagnostics) if expression is not None else None
    if expression is not None and scenario is not None:
        for fault in scenario.faults:
            _check_targets(scenario, fault, diagnostics)
            _check_support(scenario, fault, diagnostics)
        _check_deadlines(scenario, expression, diagnostics)
    diagnostics.done()
    assert scenario is not None  # else there was a diagnostic
    return scenario


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
        diagnostics.add(fault.location, shown, "a trouble that workers of our own can have: " + ", ".join(supported))
    elif not scenario.real_workers and support is WorkerSupport.REAL_ONLY:
        diagnostics.add(fault.location, shown, "it with (runtime yes): stand-ins have no such thing")


def _check_deadlines(scenario: Scenario, expression: Expression, diagnostics: Diagnostics) -> None:
    for request_class in scenario.request_classes:
        if request_class.soft_deadline_ms >= request_class.deadline_ms:
            diagnostics.add(
                expression.spot,
                f'method "{request_class.name}" with a soft deadline of {request_class.soft_deadline_ms:g} ms',
                f"one before its deadline, {request_class.deadline_ms:g} ms",
            )
