"""The settings file of a gateway, as checked values."""

import os
from dataclasses import dataclass

from wickdyke.circuit_breaker.breakers import BreakerSettings
from wickdyke.config import address, schema, sexpr
from wickdyke.config.schema import Diagnostics, Field, choice, count, flag, number, record, size, span, text, word_list
from wickdyke.config.sexpr import SourceLocation
from wickdyke.protocol.worker_messages import REPORT_FIELDS
from wickdyke.routing.model import RequestClass
from wickdyke.routing.settings import (
    AttemptLimits,
    CostWeights,
    Discovery,
    FunctionCache,
    GatewayInstance,
    PrewarmQuota,
    SlowStart,
    TenantQuotas,
)


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """What a gateway bounds: whoever goes past is turned away or hung up on (docs/protocol.md)."""

    connections: int
    open_rpcs: int
    open_each: int
    line: int
    unread: int
    events: int


@dataclass(slots=True, frozen=True)
class FunctionSettings:
    """What a file states of programs whose name is `name`, or begins with it where it ends with a star."""

    name: str
    memory: float
    lanes: int
    load: float | None
    location: SourceLocation

    def fits(self, program: str) -> bool:
        """Whether it speaks of that program."""
        return program.startswith(self.name[:-1]) if self.name.endswith("*") else program == self.name


@dataclass(slots=True)
class GatewayConfig:
    """All that a gateway's file states, each part for the part of the program that takes it."""

    name: str
    listen: str
    workers: str
    reread: float
    routes: str | None
    routes_reread: float
    log: str | None
    tape: str | None
    seed: int | None
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    request_classes: list[RequestClass]
    programs: list[FunctionSettings]
    instance: GatewayInstance
    attempt_limits: AttemptLimits
    function_cache: FunctionCache
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    discovery: Discovery
    cost_weights: CostWeights
    bounds: ServerLimits
    answer_way: float
    probe_wait: float
    isolation: BreakerSettings = BreakerSettings()
    tenants: tuple[str, ...] = ()
    tenant_quotas: TenantQuotas = TenantQuotas()

    def stated(self, program: str) -> FunctionSettings | None:
        """What is stated of a program: the exact name before the longest beginning."""
        fits = [each for each in self.programs if each.fits(program)]
        return max(fits, key=lambda each: (not each.name.endswith("*"), len(each.name)), default=None)


def _part(record_type):
    """Builds without the location, which most parts have no use for."""
    return lambda location, **values: record_type(**values)


def _method(
    location: SourceLocation,
    name: str,
    effect: str,
    scope: str,
    window: float,
    soft_deadline: float,
    deadline: float,
    soft_stretch: float,
    gain: float,
    late_gain: float,
) -> tuple[RequestClass, SourceLocation]:
    return RequestClass(name, effect, scope, window, soft_deadline, soft_stretch, deadline, gain, late_gain), location


def _attempt_limits(
    location: SourceLocation, most: int, overlap: bool, probe: bool, dial: float, idle_close: float, **rest
):
    return AttemptLimits(
        attempts=most, hedging=overlap, health_checks=probe, connect_timeout=dial, idle_timeout=idle_close, **rest
    )


def _function_cache(
    location: SourceLocation,
    idle_life: float,
    may_hold: bool,
    loads_on_call: bool,
    hold_wait: float,
    tells_standing: bool,
    tells_company: bool,
) -> dict[str, object]:
    return {
        "idle_timeout": idle_life,
        "may_prewarm": may_hold,
        "loads_on_demand": loads_on_call,
        "prewarm_timeout": hold_wait,
        "reports_warmth": tells_standing,
        "reports_concurrency": tells_company,
    }


def _cost_weights(location: SourceLocation, probe: float, crossing: float, **rest: float) -> CostWeights:
    return CostWeights(health_check=probe, cross_zone=crossing, **rest)


METHOD = record(
    _method,
    named=True,
    effect=Field(choice(idempotent="idempotent", tokened="tokened", side_effecting="side-effecting")),
    scope=Field(choice(all="all", zone="zone", cell="cell"), "all"),
    window=Field(span(), 0.0),
    soft_deadline=Field(span(1.0)),
    deadline=Field(span(1.0)),
    soft_stretch=Field(number(0, 1000), 0.0),
    gain=Field(number(0, 1e6), 1.0),
    late_gain=Field(number(0, 1), 0.0),
)
PROGRAM = record(
    lambda location, name, memory, lanes, load: FunctionSettings(name, memory, lanes, load, location),
    named=True,
    memory=Field(size(0)),
    lanes=Field(count(1, 4096), 1),
    load=Field(span(), None),
)
KIND = record(lambda location, name, memory: (name, memory, location), named=True, memory=Field(size()))
LISTEN = record(lambda location, json_rpc: json_rpc, json_rpc=Field(address.read))
FOLLOWED = record(
    lambda location, file, reread: (file, reread), file=Field(text), reread=Field(span(5.0, 60000.0), 100.0)
)
SEAT = record(
    lambda location, number, of: (number, of, location), number=Field(count(0, 100000)), of=Field(count(1, 100000))
)
CALL_OUTS = record(
    _attempt_limits,
    most=Field(count(1, 100), 3),
    overlap=Field(flag, False),
    cancel=Field(flag, True),
    probe=Field(flag, True),
    retry_after=Field(span(), 0.0),
    dial=Field(span(1.0, 60000.0), 250.0),
    idle_close=Field(span(1.0), 15000.0),
)
TENANT = record(lambda location, name, quota: (name, quota, location), named=True, quota=Field(number(0.001, 1e9)))
STOCK = record(
    _function_cache,
    idle_life=Field(span(1.0)),
    may_hold=Field(flag, True),
    loads_on_call=Field(flag, True),
    hold_wait=Field(span(1.0), 10000.0),
    tells_standing=Field(flag, True),
    tells_company=Field(flag, True),
)
WARMUP = record(
    _part(SlowStart),
    start_share=Field(number(0.001, 1)),
    ramp=Field(span()),
    multiple=Field(number(1, 1000)),
    window=Field(span(1.0)),
)
RATION = record(_part(PrewarmQuota), free=Field(number(0, 1e6)), share=Field(number(0, 1e6)), window=Field(span()))
TARIFF = record(
    _cost_weights,
    **{name: Field(number(0, 100), 0.0) for name in ("waste", "late", "fetch", "probe", "crossing", "idle_memory")},
)
BOUNDS = record(
    _part(ServerLimits),
    connections=Field(count(1, 60000), 1024),
    open_rpcs=Field(count(1, 10**7), 32768),
    open_each=Field(count(1, 10**6), 4096),
    line=Field(size(0.001, 1024), 16.0),
    unread=Field(size(0.001, 4096), 32.0),
    events=Field(count(10, 10**7), 100000),
)
LOADS = record(
    _part(dict),
    workers=Field(count(1, 1000), 2),
    window=Field(span(1.0), 30000.0),
    first=Field(span(1.0), 1000.0),
    most=Field(span(1.0), 60000.0),
)
CALLS = record(
    _part(dict),
    copies=Field(number(1, 1000), 3.0),
    window=Field(span(1.0), 60000.0),
    first=Field(span(1.0), 10000.0),
    most=Field(span(1.0), 600000.0),
)


def _isolation(location: SourceLocation, loads: dict, calls: dict) -> BreakerSettings:
    return BreakerSettings(
        loads["workers"],
        loads["window"],
        loads["first"],
        loads["most"],
        calls["copies"],
        calls["window"],
        calls["first"],
        calls["most"],
    )


ISOLATION = record(
    _isolation,
    loads=Field(LOADS, {"workers": 2, "window": 30000.0, "first": 1000.0, "most": 60000.0}),
    calls=Field(CALLS, {"copies": 3.0, "window": 60000.0, "first": 10000.0, "most": 600000.0}),
)
GATEWAY = record(
    lambda location, **values: (location, values),
    name=Field(text, "gateway"),
    listen=Field(LISTEN),
    workers=Field(FOLLOWED),
    routes=Field(FOLLOWED, (None, 100.0)),
    log=Field(text, None),
    tape=Field(text, None),
    seed=Field(count(0, 2**53), None),
    zone=Field(record(lambda location, name: (name, location), named=True), None, many=True),
    at=Field(text, None),
    kind=Field(KIND, None, many=True),
    method=Field(METHOD, many=True),
    program=Field(PROGRAM, None, many=True),
    seat=Field(SEAT, (0, 1, None)),
    report=Field(word_list, ("busy", "held")),
    by_work=Field(flag, False),
    call_outs=Field(CALL_OUTS, AttemptLimits(3, False, True, True, 0.0, 250.0)),
    stock=Field(STOCK),
    warmup=Field(WARMUP),
    ration=Field(RATION, PrewarmQuota(0.0, 0.0, 0.0)),
    drain_grace=Field(span()),
    tariff=Field(TARIFF, CostWeights(0, 0, 0, 0, 0, 0)),
    bounds=Field(BOUNDS, ServerLimits(1024, 32768, 4096, 16.0, 32.0, 100000)),
    answer_way=Field(span(0.0, 60000.0), 20.0),
    probe_wait=Field(span(1.0, 60000.0), 250.0),
    isolation=Field(ISOLATION, BreakerSettings()),
    tenant=Field(TENANT, None, many=True),
)


def _contradictions(location: SourceLocation, got: dict, notes: Diagnostics) -> None:
    way = got["answer_way"]
    for method, at in got["method"]:
        if method.latency_objective >= method.deadline:
            notes.add(
                at,
                f"a soft deadline of {method.latency_objective:g} ms",
                f"one before the deadline, {method.deadline:g} ms",
            )
        if method.deadline <= way:
            notes.add(at, f"a deadline of {method.deadline:g} ms", f"more than answer-way, {way:g} ms")
        if method.effect == "tokened" and not method.dedupe_window:
            notes.add(at, f'method "{method.name}" tokened without a window', "(window TIME) in it")
        if method.effect != "tokened" and method.dedupe_window:
            notes.add(at, f'method "{method.name}" {method.effect} with a window', "a window only where tokened")
    for what, names, locations in (
        ("method", [m.name for m, _ in got["method"]], [at for _, at in got["method"]]),
        ("program", [p.name for p in got["program"]], [p.location for p in got["program"]]),
        ("kind", [k for k, _, _ in got["kind"]], [at for _, _, at in got["kind"]]),
        ("tenant", [t for t, _, _ in got["tenant"]], [at for _, _, at in got["tenant"]]),
        ("zone", [z for z, _ in got["zone"]], [at for _, at in got["zone"]]),
    ):
        schema.check_unique(names, locations, what, notes)
    zones = [zone for zone, _ in got["zone"]]
    if got["at"] is not None and got["at"] not in zones:
        notes.add(location, f'(at "{got["at"]}")', "one of the zones" + "".join(f' "{z}"' for z in zones))
    if got["at"] is None and len(zones) > 1:
        notes.add(location, f"{len(zones)} zones and no (at ...)", '(at "ZONE"): where this gateway stands')
    place, of, at = got["seat"]
    if place >= of:
        notes.add(at, f"number {place} of {of}", f"a number of 0 to {of - 1}")
    if got["workers"][0] == got["listen"]:
        notes.add(location, f'"{got["listen"]}" as socket and as list of workers', "two different files")
    if got["bounds"].unread < got["bounds"].line:
        notes.add(
            location,
            f"unread of {got['bounds'].unread:g} MB under line of {got['bounds'].line:g} MB",
            "room for one line at least",
        )


def read(path: str) -> GatewayConfig:
    """Reads and checks a gateway's file; raises Unusable with all that is wrong. Paths in it hang on its folder."""
    return build(sexpr.read(path), path)


def build(forms: list[sexpr.Expression], path: str) -> GatewayConfig:
    """The same of forms that stand, or are to stand, in the file of that path."""
    notes = Diagnostics()
    form = schema.single_expression(forms, "gateway", path, notes)
    read_form = GATEWAY(form, notes) if form is not None else None
    if read_form is not None:
        _contradictions(*read_form, notes)
    notes.raise_if_any()
    _, got = read_form
    base = os.path.dirname(path)

    def beside(name: str | None) -> str | None:
        return None if name is None else os.path.join(base, name)

    listen = address.beside(got["listen"], base)
    zones = tuple(zone for zone, _ in got["zone"])
    number_, of, _ = got["seat"]
    bounds = got["bounds"]
    return GatewayConfig(
        name=got["name"],
        listen=listen,
        workers=beside(got["workers"][0]),
        reread=got["workers"][1],
        routes=beside(got["routes"][0]),
        routes_reread=got["routes"][1],
        log=beside(got["log"]),
        tape=beside(got["tape"]),
        seed=got["seed"],
        zones=zones,
        kinds=tuple(kind for kind, _, _ in got["kind"]),
        request_classes=[method for method, _ in got["method"]],
        programs=got["program"],
        instance=GatewayInstance(
            number_,
            of,
            zones.index(got["at"]) if got["at"] else 0,
            tuple(REPORT_FIELDS.get(word, word) for word in got["report"]),
            got["by_work"],
        ),
        attempt_limits=got["call_outs"],
        function_cache=FunctionCache(memory=tuple(memory for _, memory, _ in got["kind"]), **got["stock"]),
        slow_start=got["warmup"],
        prewarm_quota=got["ration"],
        discovery=Discovery(True, 0.0, got["drain_grace"]),
        cost_weights=got["tariff"],
        bounds=ServerLimits(
            bounds.connections,
            bounds.open_rpcs,
            bounds.open_each,
            round(bounds.line * 2**20),
            round(bounds.unread * 2**20),
            bounds.events,
        ),
        answer_way=got["answer_way"],
        probe_wait=got["probe_wait"],
        isolation=got["isolation"],
        tenants=tuple(tenant for tenant, _, _ in got["tenant"]),
        tenant_quotas=TenantQuotas(tuple(quota for _, quota, _ in got["tenant"])),
    )
