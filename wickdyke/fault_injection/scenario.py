"""Fault scripts: S-expressions that say what stands, what is asked of it, and what goes wrong when."""

from dataclasses import dataclass, field

from wickdyke.config import schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, choice, count, flag, number, record, size, span
from wickdyke.config.sexpr import Atom, Expression, SourceLocation


@dataclass(slots=True, frozen=True)
class RequestClassTraffic:
    """A method and the traffic in it."""

    name: str
    effect: str
    scope: str
    window: float
    soft: float
    deadline: float
    gain: float
    late_gain: float
    part: float
    work: float
    programs: int
    memory: float
    lanes: int
    load: float


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that goes wrong: at a time, or when a worker has its `nth` call-out or load."""

    kind: str
    who: tuple[str, ...]
    values: dict[str, float]
    spot: SourceLocation
    at: float | None = None
    event: str | None = None
    event_worker: str | None = None
    nth: int = 0
    text: str = ""


@dataclass(slots=True)
class Scenario:
    """A day as scripted. Times in ms, memory in MB."""

    name: str
    seed: int
    length: float
    gateways: int
    workers: int
    zones: int
    cores: int
    speed: float
    memory: float
    queue: int
    idle_life: float
    rate: float
    connections: int
    most: int
    call_outs: int
    overlap: bool
    drain_grace: float
    list_lag: float
    answer_way: float
    transit: float
    store_pace: int
    warmup: dict[str, float]
    ration: dict[str, float]
    methods: list[RequestClassTraffic]
    cancel: bool = True
    runtime: bool = False
    holds: bool = True
    routes: str = ""
    troubles: list[Fault] = field(default_factory=list)


# kind -> (whom it names: workers, gateway, none; the figures it takes, with the one that holds where left out)
FAULT_KINDS: dict[str, tuple[str, dict[str, tuple]]] = {
    "die": ("workers", {"back": (span(), 4000.0)}),
    "drain": ("workers", {"for": (span(), 3000.0)}),
    "deploy": ("workers", {"each": (span(), 2500.0)}),
    "hang": ("workers", {"for": (span(), 4000.0)}),
    "slow": ("workers", {"factor": (number(1, 1000), 4.0), "for": (span(), 5000.0)}),
    "fail": ("workers", {"share": (number(0, 1), 0.8), "for": (span(), 5000.0)}),
    "lose": ("workers", {"share": (number(0, 1), 0.3), "for": (span(), 5000.0)}),
    "neighbour": ("workers", {"share": (number(0, 0.95), 0.6), "for": (span(), 5000.0)}),
    "age": ("workers", {"factor": (number(0, 1000), 6.0), "for": (span(), 6000.0), "back": (span(), 4000.0)}),
    "late": ("workers", {"past": (span(), 5.0)}),
    "release": ("none", {}),
    "list-lag": ("none", {"by": (span(), 4000.0), "for": (span(), 8000.0)}),
    "burst": ("none", {"factor": (number(0.01, 100), 2.0), "for": (span(), 4000.0)}),
    "hot": ("none", {"programs": (count(1, 100), 2), "share": (number(0, 1), 0.2), "for": (span(), 6000.0)}),
    "once": ("none", {"share": (number(0, 1), 0.15), "for": (span(), 6000.0)}),
    "short": ("none", {"share": (number(0, 1), 0.4), "for": (span(), 6000.0)}),
    "stall": ("none", {"for": (span(), 3000.0)}),
    "kill-gateway": ("gateway", {"back": (span(), 2000.0)}),
    "lose-zone": ("zone", {"back": (span(), 4000.0)}),
    "reroute": ("routes", {}),
    "kill-copy": ("workers", {}),
    "store-down": ("none", {"back": (span(), 2000.0)}),
}
OF_STANDINS = ("hang", "slow", "fail", "lose", "neighbour", "age", "late", "release", "once")
OF_RUNTIME = ("kill-copy", "store-down")
ON_EVENT = ("die", "hang", "slow", "fail", "lose", "neighbour", "late")


def _trouble(form: Expression, notes: Diagnostics, **when) -> Fault | None:
    if form.name not in FAULT_KINDS:
        notes.add(form.location, f"({form.name} ...)", "a trouble: " + ", ".join(FAULT_KINDS))
        return None
    whom, figures = FAULT_KINDS[form.name]
    if whom == "routes":  # its forms are the new file, whatever they hold: bad ones are a trouble as well
        text = " ".join(
            sexpr.format_expression(item) if isinstance(item, Expression) else item.text for item in form.items
        )
        return Fault(form.name, (), {}, form.location, text=text, **when)
    names = tuple(str(item.value) for item in form.items if isinstance(item, Atom) and item.kind == "string")
    if (whom == "none") != (not names):
        notes.add(
            form.location,
            f"({form.name} with {len(names)} names)",
            "none" if whom == "none" else f"at least one {whom.removesuffix('s')} in double quotes",
        )
    values: dict[str, float] = {name: absent for name, (_, absent) in figures.items()}
    for item in form.items:
        if isinstance(item, Expression) and item.name in figures:
            values[item.name] = figures[item.name][0](item, notes)
        elif isinstance(item, Expression) or item.kind != "string":
            notes.add(
                item.location,
                schema.describe(item),
                "names, and " + (", ".join(f"({f} ...)" for f in figures) or "nothing else"),
            )
    return Fault(form.name, names, values, form.location, **when)


def _at(form: Expression, notes: Diagnostics) -> Fault | None:
    """(at 5 s (die "w3"))"""
    *time, last = form.items or [None]
    if not isinstance(last, Expression):
        notes.add(form.location, "(at ...) without a trouble", "(at TIME (TROUBLE ...))")
        return None
    at = span()(Expression("at", time, form.location), notes)
    return _trouble(last, notes, at=at)


def _on(form: Expression, notes: Diagnostics) -> Fault | None:
    """(on (call-out "w2" 20) (die "w2"))"""
    if len(form.items) != 2 or not all(isinstance(item, Expression) for item in form.items):
        notes.add(form.location, "(on ...) with other items", '(on (call-out|load "WORKER" NTH) (TROUBLE ...))')
        return None
    event, trouble = form.items
    kinds = [item.kind for item in event.items if isinstance(item, Atom)]
    if event.name not in ("call-out", "load") or kinds != ["string", "number"]:
        notes.add(event.location, schema.describe(event), '(call-out "WORKER" NTH) or (load "WORKER" NTH)')
        return None
    if trouble.name not in ON_EVENT:
        notes.add(trouble.location, schema.describe(trouble), "on an event one of " + ", ".join(ON_EVENT))
        return None
    worker, nth = event.items
    found = _trouble(trouble, notes, event=event.name, event_worker=str(worker.value), nth=int(nth.value))
    if found is not None and found.who != (worker.value,):
        notes.add(trouble.location, f"trouble at {', '.join(found.who)}", f"the worker of the event, {worker.value}")
    return found


METHOD = record(
    lambda location, soft_deadline, **values: RequestClassTraffic(soft=soft_deadline, **values),
    named=True,
    effect=Field(choice(idempotent="idempotent", tokened="tokened", side_effecting="side-effecting")),
    scope=Field(choice(all="all", zone="zone", cell="cell"), "all"),
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
WARMUP = record(
    lambda location, **values: values,
    start_share=Field(number(0.001, 1), 0.25),
    ramp=Field(span(), 6000.0),
    multiple=Field(number(1, 1000), 3.0),
    window=Field(span(1), 1500.0),
)
RATION = record(
    lambda location, **values: values,
    free=Field(number(0, 1e6), 0.0),
    share=Field(number(0, 1e6), 0.0),
    window=Field(span(), 0.0),
)


def _script(location: SourceLocation, at: list, on: list, method: list, route: list, **values) -> Scenario:
    return Scenario(methods=method, troubles=[*at, *on], routes=" ".join(route), **values)


SCRIPT = record(
    _script,
    named=True,
    route=Field(lambda form, notes: sexpr.format_expression(form), None, many=True),
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
    warmup=Field(WARMUP, {"start_share": 0.25, "ramp": 6000.0, "multiple": 3.0, "window": 1500.0}),
    ration=Field(RATION, {"free": 0.0, "share": 0.0, "window": 0.0}),
    method=Field(METHOD, many=True),
    at=Field(_at, None, many=True),
    on=Field(_on, None, many=True),
)


def worker_names(script: Scenario) -> list[str]:
    """w1, w2 ..."""
    return [f"w{number}" for number in range(1, script.workers + 1)]


def zone_of(script: Scenario, worker: str) -> str:
    """The zone a worker stands in: they are dealt out in turn."""
    return f"z{(int(worker[1:]) - 1) % script.zones + 1}"


def read(path: str) -> Scenario:
    """Reads and checks a script; raises Unusable with all that is wrong."""
    notes = Diagnostics()
    form = schema.single_expression(sexpr.read(path), "script", path, notes)
    script = SCRIPT(form, notes) if form is not None else None
    if script is not None:
        known = {
            "workers": worker_names(script),
            "gateway": [f"g{n}" for n in range(1, script.gateways + 1)],
            "zone": [f"z{n}" for n in range(1, script.zones + 1)],
            "none": [],
        }
        for trouble in script.troubles:
            for name in trouble.who:
                if name not in known[FAULT_KINDS[trouble.kind][0]]:
                    notes.add(trouble.spot, f'"{name}"', "one of " + ", ".join(known[FAULT_KINDS[trouble.kind][0]]))
            if script.runtime and (trouble.event or trouble.kind in OF_STANDINS):
                notes.add(
                    trouble.spot,
                    f"({trouble.kind} ...)",
                    "a trouble that workers of our own can have: "
                    + ", ".join(kind for kind in FAULT_KINDS if kind not in OF_STANDINS),
                )
            elif not script.runtime and trouble.kind in OF_RUNTIME:
                notes.add(trouble.spot, f"({trouble.kind} ...)", "it with (runtime yes): stand-ins have no such thing")
        for method in script.methods:
            if method.soft >= method.deadline:
                notes.add(
                    form.location,
                    f'method "{method.name}" with a soft deadline of {method.soft:g} ms',
                    f"one before its deadline, {method.deadline:g} ms",
                )
    notes.raise_if_any()
    return script
