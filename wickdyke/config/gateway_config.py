"""Reads and validates the settings file of a gateway."""

import os
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import TypeVar

from wickdyke.circuit_breaker.breakers import BreakerSettings
from wickdyke.config import address, schema, sexpr
from wickdyke.config.builders import Located
from wickdyke.config.gateway_sections import GATEWAY, FunctionSettings, GatewaySection, ServerLimits
from wickdyke.config.schema import Diagnostics
from wickdyke.protocol.worker_messages import REPORT_FIELDS
from wickdyke.routing.model import Effect, RequestClass
from wickdyke.routing.settings import (
    AttemptLimits,
    CostWeights,
    Discovery,
    FunctionCache,
    FunctionLimits,
    GatewayInstance,
    PrewarmQuota,
    SlowStart,
    TenantQuotas,
)

T = TypeVar("T")


@dataclass(slots=True)
class GatewayConfig:
    """All settings of a gateway. Times are in ms; relative paths start from the folder of the settings file.

    `answer_margin` is the time before a request's deadline that is reserved for its answer to reach the client.
    """

    name: str
    listen: str
    endpoints_path: str
    endpoints_poll_interval: float
    routes_path: str | None
    routes_poll_interval: float
    log_path: str | None
    recording_path: str | None
    seed: int | None
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    request_classes: list[RequestClass]
    functions: list[FunctionSettings]
    instance: GatewayInstance
    attempt_limits: AttemptLimits
    function_cache: FunctionCache
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    discovery: Discovery
    cost_weights: CostWeights
    bounds: ServerLimits
    answer_margin: float
    health_check_timeout: float
    breakers: BreakerSettings
    tenants: tuple[str, ...]
    tenant_quotas: TenantQuotas
    function_limits: FunctionLimits = field(default=FunctionLimits(), kw_only=True)

    def function_settings(self, function: str) -> FunctionSettings | None:
        """Returns the settings of a function: those of its exact name, else of its longest prefix, else None."""
        matching = [settings for settings in self.functions if settings.matches(function)]
        return max(matching, key=lambda settings: (not settings.is_prefix, len(settings.name)), default=None)


# ---- consistency checks across sections ----


def _check_request_class(located_class: Located[RequestClass], answer_margin: float, diagnostics: Diagnostics) -> None:
    request_class, location = located_class.value, located_class.location
    if request_class.latency_objective >= request_class.deadline:
        diagnostics.add(
            location,
            f"a soft deadline of {request_class.latency_objective:g} ms",
            f"one before the deadline, {request_class.deadline:g} ms",
        )
    if request_class.deadline <= answer_margin:
        diagnostics.add(
            location, f"a deadline of {request_class.deadline:g} ms", f"more than answer-way, {answer_margin:g} ms"
        )
    if request_class.effect == Effect.KEYED and not request_class.dedupe_window:
        diagnostics.add(location, f'method "{request_class.name}" tokened without a window', "(window TIME) in it")
    if request_class.effect != Effect.KEYED and request_class.dedupe_window:
        actual = f'method "{request_class.name}" {request_class.effect} with a window'
        diagnostics.add(location, actual, "a window only where tokened")


def _check_names(section: GatewaySection, diagnostics: Diagnostics) -> None:
    """Reports names that occur more than once."""

    def check(label: str, names: Sequence[str], located_values: Sequence[Located[T]]) -> None:
        schema.check_unique(names, [item.location for item in located_values], label, diagnostics)

    check("method", [item.value.name for item in section.request_classes], section.request_classes)
    functions = section.functions
    schema.check_unique(
        [function.name for function in functions], [function.location for function in functions], "program", diagnostics
    )
    check("kind", [item.value.name for item in section.kinds], section.kinds)
    check("tenant", [item.value.name for item in section.tenants], section.tenants)
    check("zone", [item.value for item in section.zones], section.zones)


def _check_own_zone(section: GatewaySection, diagnostics: Diagnostics) -> None:
    zones = [zone.value for zone in section.zones]
    if section.own_zone is not None and section.own_zone not in zones:
        expected = "one of the zones" + "".join(f' "{zone}"' for zone in zones)
        diagnostics.add(section.location, f'(at "{section.own_zone}")', expected)
    if section.own_zone is None and len(zones) > 1:
        expected = '(at "ZONE"): the zone of this gateway'
        diagnostics.add(section.location, f"{len(zones)} zones and no (at ...)", expected)


def _check_section(section: GatewaySection, diagnostics: Diagnostics) -> None:
    """Reports values that contradict other parts of the file."""
    for request_class in section.request_classes:
        _check_request_class(request_class, section.answer_margin, diagnostics)
    _check_names(section, diagnostics)
    _check_own_zone(section, diagnostics)
    instance = section.instance.value
    if instance.index >= instance.count:
        actual = f"number {instance.index} of {instance.count}"
        diagnostics.add(section.instance.location, actual, f"a number of 0 to {instance.count - 1}")
    if section.endpoints.path == section.listen:
        actual = f'"{section.listen}" as socket and as endpoint file'
        diagnostics.add(section.location, actual, "two different files")
    if section.limits.unread_size < section.limits.line_size:
        actual = f"unread of {section.limits.unread_size:g} MB, below line of {section.limits.line_size:g} MB"
        diagnostics.add(section.location, actual, "at least the size of one line")


# ---- reading ----


def read(path: str) -> GatewayConfig:
    """Reads and validates a gateway's file; relative paths in it start from its folder.

    Raises InvalidConfigError with all errors.
    """
    return build(sexpr.read(path), path)


def build(expressions: list[sexpr.Expression], path: str) -> GatewayConfig:
    """Returns the settings in the expressions of a file, which needn't exist yet. Raises InvalidConfigError."""
    diagnostics = Diagnostics()
    section = schema.read_single(expressions, "gateway", path, GATEWAY, diagnostics)
    if section is not None:
        _check_section(section, diagnostics)
    return _from_section(schema.required(section, diagnostics), os.path.dirname(path))


def _instance(section: GatewaySection) -> GatewayInstance:
    zones = [zone.value for zone in section.zones]
    return GatewayInstance(
        index=section.instance.value.index,
        count=section.instance.value.count,
        zone=zones.index(section.own_zone) if section.own_zone else 0,
        report_fields=tuple(REPORT_FIELDS.get(key, key) for key in section.report_keys),
        weight_by_work=section.weight_by_work,
    )


def _join(folder: str, path: str | None) -> str | None:
    return None if path is None else os.path.join(folder, path)


def _from_section(section: GatewaySection, folder: str) -> GatewayConfig:
    """Returns the settings of a validated section, with its paths joined to the folder."""
    memory = tuple(kind.value.memory for kind in section.kinds)
    return GatewayConfig(
        name=section.name,
        listen=address.resolve(section.listen, folder),
        endpoints_path=os.path.join(folder, section.endpoints.path or ""),
        endpoints_poll_interval=section.endpoints.poll_interval,
        routes_path=_join(folder, section.routes.path),
        routes_poll_interval=section.routes.poll_interval,
        log_path=_join(folder, section.log),
        recording_path=_join(folder, section.recording),
        seed=section.seed,
        zones=tuple(zone.value for zone in section.zones),
        kinds=tuple(kind.value.name for kind in section.kinds),
        request_classes=[request_class.value for request_class in section.request_classes],
        functions=section.functions,
        instance=_instance(section),
        attempt_limits=section.attempt_limits,
        function_cache=replace(section.function_cache, memory=memory),
        slow_start=section.slow_start,
        prewarm_quota=section.prewarm_quota,
        discovery=Discovery(pushed=True, poll_within=0.0, drain_grace=section.drain_grace),
        cost_weights=section.cost_weights,
        bounds=section.limits.limits(),
        answer_margin=section.answer_margin,
        health_check_timeout=section.health_check_timeout,
        breakers=section.breakers,
        tenants=tuple(tenant.value.name for tenant in section.tenants),
        tenant_quotas=TenantQuotas(tuple(tenant.value.quota for tenant in section.tenants)),
    )
