"""The faults that a scenario can inject, and the parser of their (at ...) and (on ...) expressions.

The names of faults and of their values are used in scenario files, in commands to fake processes and in traces.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any

from wickdyke.config import schema, sexpr
from wickdyke.config.schema import Diagnostics, Reader, count, duration, number
from wickdyke.config.sexpr import Atom, AtomKind, Expression, SourceLocation
from wickdyke.fault_injection.fake_worker.faults import TriggerEvent


class FaultKind(Enum):
    """The kinds of faults; the value is the name in scenario files."""

    DIE = "die"  # the worker is killed and restarted
    DRAIN = "drain"  # the worker is drained, then replaced
    DEPLOY = "deploy"  # the workers are drained and replaced one after another
    HANG = "hang"  # the worker answers nothing
    SLOW = "slow"  # the worker's work takes longer
    FAIL = "fail"  # a share of the attempts fails
    LOSE = "lose"  # a share of the responses is not sent
    NEIGHBOUR = "neighbour"  # another tenant uses a share of the cores
    AGE = "age"  # the worker becomes gradually slower until it is restarted
    LATE = "late"  # one response is sent after its deadline
    RELEASE = "release"  # a release of new versions: workers unload their idle functions
    LIST_LAG = "list-lag"  # the endpoint file is written later than usual
    BURST = "burst"  # the request rate changes by a factor
    HOT = "hot"  # a share of the requests calls very few functions
    ONCE = "once"  # a share of the requests calls functions that no other request calls
    SHORT = "short"  # a share of the requests has a shorter deadline
    STALL = "stall"  # the store serves nothing
    KILL_GATEWAY = "kill-gateway"  # the gateway is killed and restarted
    LOSE_ZONE = "lose-zone"  # all workers of the zone are killed and restarted
    REROUTE = "reroute"  # the route file is replaced
    KILL_REPLICA = "kill-copy"  # one replica process of the worker is killed
    STORE_DOWN = "store-down"  # the store is killed and restarted


class FaultValue(StrEnum):
    """The values of faults; the value of a member is its key in scenario files. Times are in ms."""

    DURATION = "for"
    RESTART_DELAY = "back"  # until the killed process is restarted
    INTERVAL = "each"  # between the workers of a deploy
    FACTOR = "factor"
    SHARE = "share"
    LAG = "by"  # of the endpoint file
    LATENESS = "past"  # of a response after its deadline
    FUNCTION_COUNT = "programs"


class FaultTarget(Enum):
    """The kinds of targets of faults; the value is used in error messages."""

    WORKERS = "workers"
    GATEWAYS = "gateway"
    ZONES = "zone"
    ROUTES = "routes"
    NONE = "none"


class WorkerSupport(Enum):
    """Which kinds of workers support a fault."""

    ANY = "any"
    FAKE_ONLY = "fake only"
    REAL_ONLY = "real only"


@dataclass(slots=True, frozen=True)
class FaultParameter:
    """A value of a fault: the reader that parses it, and its default."""

    reader: Reader[float]
    default: float


@dataclass(slots=True, frozen=True)
class FaultSpecification:
    """The targets and values of a kind of fault, the workers that support it, and whether an event can trigger it."""

    target: FaultTarget
    parameters: dict[FaultValue, FaultParameter] = field(default_factory=dict)
    support: WorkerSupport = WorkerSupport.ANY
    can_be_triggered: bool = False


@dataclass(slots=True, frozen=True)
class FaultTrigger:
    """Starts a fault when the worker receives its `nth` attempt or starts its `nth` load."""

    event: TriggerEvent
    worker: str
    nth: int


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a scenario, which starts at a time (`at`, ms from the start of the run) or on a trigger."""

    kind: FaultKind
    targets: tuple[str, ...]
    values: dict[FaultValue, float]
    location: SourceLocation
    at: float | None = None
    trigger: FaultTrigger | None = None
    routes: str = ""  # the text of the new route file, for REROUTE

    @property
    def duration(self) -> float:
        """How long the fault lasts, in ms."""
        return self.values[FaultValue.DURATION]

    @property
    def restart_delay(self) -> float:
        """The delay in ms until the killed process is restarted."""
        return self.values[FaultValue.RESTART_DELAY]

    def __str__(self) -> str:
        return " ".join([self.kind.value, *self.targets, *[f"{key}={value:g}" for key, value in self.values.items()]])


def _duration(default: float) -> FaultParameter:
    return FaultParameter(duration(), default)


def _share(maximum: float, default: float) -> FaultParameter:
    return FaultParameter(number(0, maximum), default)


FAULT_SPECIFICATIONS: dict[FaultKind, FaultSpecification] = {
    FaultKind.DIE: FaultSpecification(
        FaultTarget.WORKERS, {FaultValue.RESTART_DELAY: _duration(4000.0)}, can_be_triggered=True
    ),
    FaultKind.DRAIN: FaultSpecification(FaultTarget.WORKERS, {FaultValue.DURATION: _duration(3000.0)}),
    FaultKind.DEPLOY: FaultSpecification(FaultTarget.WORKERS, {FaultValue.INTERVAL: _duration(2500.0)}),
    FaultKind.HANG: FaultSpecification(
        FaultTarget.WORKERS, {FaultValue.DURATION: _duration(4000.0)}, WorkerSupport.FAKE_ONLY, can_be_triggered=True
    ),
    FaultKind.SLOW: FaultSpecification(
        FaultTarget.WORKERS,
        {FaultValue.FACTOR: FaultParameter(number(1, 1000), 4.0), FaultValue.DURATION: _duration(5000.0)},
        WorkerSupport.FAKE_ONLY,
        can_be_triggered=True,
    ),
    FaultKind.FAIL: FaultSpecification(
        FaultTarget.WORKERS,
        {FaultValue.SHARE: _share(1, 0.8), FaultValue.DURATION: _duration(5000.0)},
        WorkerSupport.FAKE_ONLY,
        can_be_triggered=True,
    ),
    FaultKind.LOSE: FaultSpecification(
        FaultTarget.WORKERS,
        {FaultValue.SHARE: _share(1, 0.3), FaultValue.DURATION: _duration(5000.0)},
        WorkerSupport.FAKE_ONLY,
        can_be_triggered=True,
    ),
    FaultKind.NEIGHBOUR: FaultSpecification(
        FaultTarget.WORKERS,
        {FaultValue.SHARE: _share(0.95, 0.6), FaultValue.DURATION: _duration(5000.0)},
        WorkerSupport.FAKE_ONLY,
        can_be_triggered=True,
    ),
    FaultKind.AGE: FaultSpecification(
        FaultTarget.WORKERS,
        {
            FaultValue.FACTOR: FaultParameter(number(0, 1000), 6.0),
            FaultValue.DURATION: _duration(6000.0),
            FaultValue.RESTART_DELAY: _duration(4000.0),
        },
        WorkerSupport.FAKE_ONLY,
    ),
    FaultKind.LATE: FaultSpecification(
        FaultTarget.WORKERS, {FaultValue.LATENESS: _duration(5.0)}, WorkerSupport.FAKE_ONLY, can_be_triggered=True
    ),
    FaultKind.RELEASE: FaultSpecification(FaultTarget.NONE, support=WorkerSupport.FAKE_ONLY),
    FaultKind.LIST_LAG: FaultSpecification(
        FaultTarget.NONE, {FaultValue.LAG: _duration(4000.0), FaultValue.DURATION: _duration(8000.0)}
    ),
    FaultKind.BURST: FaultSpecification(
        FaultTarget.NONE,
        {FaultValue.FACTOR: FaultParameter(number(0.01, 100), 2.0), FaultValue.DURATION: _duration(4000.0)},
    ),
    FaultKind.HOT: FaultSpecification(
        FaultTarget.NONE,
        {
            FaultValue.FUNCTION_COUNT: FaultParameter(count(1, 100), 2),
            FaultValue.SHARE: _share(1, 0.2),
            FaultValue.DURATION: _duration(6000.0),
        },
    ),
    FaultKind.ONCE: FaultSpecification(
        FaultTarget.NONE,
        {FaultValue.SHARE: _share(1, 0.15), FaultValue.DURATION: _duration(6000.0)},
        WorkerSupport.FAKE_ONLY,
    ),
    FaultKind.SHORT: FaultSpecification(
        FaultTarget.NONE, {FaultValue.SHARE: _share(1, 0.4), FaultValue.DURATION: _duration(6000.0)}
    ),
    FaultKind.STALL: FaultSpecification(FaultTarget.NONE, {FaultValue.DURATION: _duration(3000.0)}),
    FaultKind.KILL_GATEWAY: FaultSpecification(FaultTarget.GATEWAYS, {FaultValue.RESTART_DELAY: _duration(2000.0)}),
    FaultKind.LOSE_ZONE: FaultSpecification(FaultTarget.ZONES, {FaultValue.RESTART_DELAY: _duration(4000.0)}),
    FaultKind.REROUTE: FaultSpecification(FaultTarget.ROUTES),
    FaultKind.KILL_REPLICA: FaultSpecification(FaultTarget.WORKERS, support=WorkerSupport.REAL_ONLY),
    FaultKind.STORE_DOWN: FaultSpecification(
        FaultTarget.NONE, {FaultValue.RESTART_DELAY: _duration(2000.0)}, WorkerSupport.REAL_ONLY
    ),
}
KINDS_BY_NAME = {kind.value: kind for kind in FAULT_SPECIFICATIONS}


def read_timed_fault(expression: Expression, diagnostics: Diagnostics) -> Fault | None:
    """Reads (at TIME (FAULT ...)), as in `(at 5 s (die "w3"))`; returns None where it is invalid."""
    items = expression.items
    if not items or not isinstance(items[-1], Expression):
        diagnostics.add(expression.location, "(at ...) without a fault", "(at TIME (FAULT ...))")
        return None
    at = duration()(Expression("at", items[:-1], expression.location), diagnostics)
    return _read_fault(items[-1], diagnostics, at=at)


def read_triggered_fault(expression: Expression, diagnostics: Diagnostics) -> Fault | None:
    """Reads (on (EVENT WORKER NTH) (FAULT ...)), as in `(on (call-out "w2" 20) (die "w2"))`.

    Returns None where it is invalid.
    """
    parts = [item for item in expression.items if isinstance(item, Expression)]
    if len(expression.items) != 2 or len(parts) != 2:
        diagnostics.add(
            expression.location, "(on ...) with other items", '(on (call-out|load "WORKER" NTH) (FAULT ...))'
        )
        return None
    event, fault_expression = parts
    if not _check_trigger(event, diagnostics):
        return None
    kind = KINDS_BY_NAME.get(fault_expression.name)
    if kind is None or not FAULT_SPECIFICATIONS[kind].can_be_triggered:
        allowed = [kind.value for kind, specification in FAULT_SPECIFICATIONS.items() if specification.can_be_triggered]
        diagnostics.add(
            fault_expression.location, schema.describe(fault_expression), "on an event one of " + ", ".join(allowed)
        )
        return None
    trigger = _build_trigger(event)
    fault = _read_fault(fault_expression, diagnostics, trigger=trigger)
    if fault is not None and fault.targets != (trigger.worker,):
        diagnostics.add(
            fault_expression.location,
            f"a fault of {', '.join(fault.targets)}",
            f"the worker of the event, {trigger.worker}",
        )
    return fault


def _check_trigger(event: Expression, diagnostics: Diagnostics) -> bool:
    atom_kinds = [item.kind for item in event.items if isinstance(item, Atom)]
    known_events = [known.value for known in TriggerEvent]
    if event.name in known_events and atom_kinds == [AtomKind.STRING, AtomKind.NUMBER]:
        return True
    diagnostics.add(event.location, schema.describe(event), '(call-out "WORKER" NTH) or (load "WORKER" NTH)')
    return False


def _build_trigger(event: Expression) -> FaultTrigger:
    worker, nth = event.items
    assert isinstance(worker, Atom)
    assert isinstance(nth, Atom)
    return FaultTrigger(TriggerEvent(event.name), str(worker.value), int(nth.value))


def _read_fault(
    expression: Expression, diagnostics: Diagnostics, at: float | None = None, trigger: FaultTrigger | None = None
) -> Fault | None:
    kind = KINDS_BY_NAME.get(expression.name)
    if kind is None:
        diagnostics.add(expression.location, f"({expression.name} ...)", "a fault: " + ", ".join(KINDS_BY_NAME))
        return None
    specification = FAULT_SPECIFICATIONS[kind]
    if specification.target is FaultTarget.ROUTES:  # not validated: a scenario may also install an invalid route file
        return Fault(kind, (), {}, expression.location, at, trigger, _format_items(expression))
    targets = _read_targets(expression, specification, diagnostics)
    values = _read_values(expression, specification, diagnostics)
    return Fault(kind, targets, values, expression.location, at, trigger)


def _format_items(expression: Expression) -> str:
    return " ".join(
        sexpr.format_expression(item) if isinstance(item, Expression) else item.text for item in expression.items
    )


def _read_targets(
    expression: Expression, specification: FaultSpecification, diagnostics: Diagnostics
) -> tuple[str, ...]:
    targets = tuple(
        str(item.value) for item in expression.items if isinstance(item, Atom) and item.kind is AtomKind.STRING
    )
    takes_none = specification.target is FaultTarget.NONE
    if takes_none != (not targets):
        target = specification.target.value.removesuffix("s")
        diagnostics.add(
            expression.location,
            f"({expression.name} with {len(targets)} names)",
            "none" if takes_none else f"at least one {target} in double quotes",
        )
    return targets


def _read_values(
    expression: Expression, specification: FaultSpecification, diagnostics: Diagnostics
) -> dict[FaultValue, float]:
    parameters = specification.parameters
    values: dict[FaultValue, Any] = {key: parameter.default for key, parameter in parameters.items()}
    for item in expression.items:
        if isinstance(item, Expression) and item.name in parameters:
            key = FaultValue(item.name)
            values[key] = parameters[key].reader(item, diagnostics)
        elif isinstance(item, Expression) or item.kind is not AtomKind.STRING:
            allowed = ", ".join(f"({key} ...)" for key in parameters) or "nothing else"
            diagnostics.add(item.location, schema.describe(item), f"names, and {allowed}")
    return values
