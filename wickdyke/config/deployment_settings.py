"""The settings that a deployment gives a front end, as `path=value` pairs in the deployment's own words.

The simulator's first message brings them as pairs, the platform's configuration as one nested object; both are read
here, by the same tables of words. Standard library only: the simulator adapter needs nothing else.
"""

from collections.abc import Callable, Mapping
from typing import TypeVar

from wickdyke.routing.model import Effect, RequestClass, Scope
from wickdyke.routing.settings import (
    AttemptLimits,
    CostWeights,
    Discovery,
    FunctionCache,
    GatewayInstance,
    PrewarmQuota,
    RouterSettings,
    SlowStart,
    TenantQuotas,
)

T = TypeVar("T")
MICROSECONDS = 1000  # in a ms
MAX_QUOTED = 40  # characters of a value that an error message repeats
ABSENT_VALUE = "-"  # stands for a value that is left out
DEFAULT_IDLE_TIMEOUT = 15000.0  # ms


class InvalidInputError(Exception):
    """Input that is not what the wire or the deployment's settings allow."""


# ---- readers of single values; they raise ValueError with what was expected ----


def integer(text: str) -> int:
    """Reads an integer."""
    digits = text.removeprefix("-")
    if not digits.isascii() or not digits.isdigit():
        raise ValueError("a whole number")
    return int(text)


def count(text: str) -> int:
    """Reads an integer that is not negative."""
    value = integer(text)
    if value < 0:
        raise ValueError("a whole number of at least 0")
    return value


def number(text: str) -> float:
    """Reads a number that is neither infinite nor undefined."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError("a number") from None
    if value - value != 0:
        raise ValueError("a finite number")
    return value


def span(text: str) -> float:
    """Reads a duration, from microseconds to ms."""
    return integer(text) / MICROSECONDS


def flag(text: str) -> bool:
    """Reads 1 or 0."""
    if text not in ("0", "1"):
        raise ValueError("1 or 0")
    return text == "1"


def word(text: str) -> str:
    """Reads a text that is not empty."""
    if not text or text == ABSENT_VALUE:
        raise ValueError("a word")
    return text


def one_of(table: Mapping[str, T]) -> Callable[[str], T]:
    """A reader of the words of a table, which returns the word's value."""

    def read(text: str) -> T:
        if text not in table:
            raise ValueError("one of " + ", ".join(table))
        return table[text]

    return read


def optional(read: Callable[[str], T]) -> Callable[[str], T | None]:
    """A reader that returns None for a value that is left out."""

    def read_optional(text: str) -> T | None:
        return None if text == ABSENT_VALUE else read(text)

    return read_optional


# ---- the deployment's words ----

EFFECT_WORDS = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.KEYED,
    "side_effect": Effect.SIDE_EFFECTING,
}
REPORTS = {
    "outstanding": "in_flight",
    "backlog": "queued",
    "utilization": "utilization",
    "recent_ms": "recent",
    "throughput": "rate",
    "errors_per_s": "errors",
    "x0": "pinned",
    "x1": "loads",
}
boolean = one_of({"true": True, "false": False})
effect = one_of(EFFECT_WORDS)
scope = one_of({"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL})
weight_unit = one_of({"request": False, "work": True})
action_without_replica = one_of({"load": True, "miss": False})
discovery_mode = one_of({"automatic": True, "subscribe": False})


class DeploymentSettings:
    """The pairs of one instance, read one by one so that an error names the setting; `place` begins the error."""

    def __init__(self, values: dict[str, str], place: str = "POWER_ON") -> None:
        self.values = values
        self.place = place

    def get(self, name: str, read: Callable[[str], T], default: T | None = None) -> T:
        """The value of one setting. Raises InvalidInputError, also where it is missing and has no default."""
        text = self.values.get(name)
        if text is None:
            if default is None:
                raise InvalidInputError(f"{self.place}: the setting {name} is missing")
            return default
        try:
            return read(text)
        except ValueError as error:
            raise InvalidInputError(f"{self.place}: {name} is {text[:MAX_QUOTED]!r}, expected {error}") from None

    def names(self, name: str) -> tuple[str, ...]:
        """A list of texts."""
        text = self.get(name, str)
        return tuple(text.split(",")) if text else ()

    def numbers(self, name: str) -> tuple[float, ...]:
        """A list of numbers."""
        try:
            return tuple(number(part) for part in self.names(name))
        except ValueError as error:
            raise InvalidInputError(f"{self.place}: {name}, expected {error} in each place") from None


# ---- forms of the settings ----


def from_pairs(pairs: list[str]) -> DeploymentSettings:
    """The settings in pairs of path=value; raises InvalidInputError."""
    values: dict[str, str] = {}
    for pair in pairs:
        name, sign, value = pair.partition("=")
        if not sign:
            raise InvalidInputError(f"POWER_ON: {pair[:MAX_QUOTED]!r}, expected path=value")
        values[name] = value
    return DeploymentSettings(values)


def from_nested(nested: object, place: str) -> DeploymentSettings:
    """The settings in nested objects: a list of plain values is one value, one a list of objects a count and paths.

    `place` begins the errors.
    """
    values: dict[str, str] = {}
    _flatten(nested, "", values)
    return DeploymentSettings(values, place)


def _flatten(nested: object, path: str, values: dict[str, str]) -> None:
    if isinstance(nested, dict):
        for name, value in nested.items():
            _flatten(value, f"{path}.{name}" if path else str(name), values)
    elif isinstance(nested, list) and any(isinstance(item, dict | list) for item in nested):
        values[f"{path}.count"] = str(len(nested))
        for index, item in enumerate(nested):
            _flatten(item, f"{path}.{index}", values)
    elif isinstance(nested, list):
        values[path] = ",".join(map(str, nested))
    elif nested is not None:
        values[path] = str(nested).lower() if isinstance(nested, bool) else str(nested)


# ---- the router's settings by section ----


def request_class(settings: DeploymentSettings, index: int) -> RequestClass:
    """One of the request classes."""
    path = f"lanes.{index}"
    return RequestClass(
        name=settings.get(f"{path}.name", str),
        effect=settings.get(f"{path}.repeat", effect),
        scope=settings.get(f"{path}.key-scope", scope, Scope.ALL),
        dedupe_window=settings.get(f"{path}.window", span, 0.0),
        latency_objective=settings.get(f"{path}.aim", span),
        objective_per_work=settings.get(f"{path}.aim-stretch", number, 0.0),
        deadline=settings.get(f"{path}.deadline", span),
        priority_weight=settings.get(f"{path}.gain", number),
        late_weight=settings.get(f"{path}.late-worth", number, 0.0),
    )


def request_classes(settings: DeploymentSettings) -> list[RequestClass]:
    """All request classes; raises InvalidInputError."""
    return [request_class(settings, index) for index in range(settings.get("lanes.count", count))]


def _instance(settings: DeploymentSettings) -> GatewayInstance:
    return GatewayInstance(
        index=settings.get("self-index", count),
        count=settings.get("instances", count),
        zone=settings.get("zone", count, 0),
        report_fields=tuple(REPORTS.get(name, name) for name in settings.names("report.fields")),
        weight_by_work=settings.get("value-by", weight_unit, False),
    )


def _attempt_limits(settings: DeploymentSettings) -> AttemptLimits:
    return AttemptLimits(
        attempts=settings.get("limits.send-cap", count),
        hedging=settings.get("limits.second-copies", boolean),
        cancel=settings.get("limits.cancelling", boolean),
        health_checks=settings.get("limits.probing", boolean),
        retry_after=_longest_retry_after(settings),
        connect_timeout=settings.get("limits.dial-timeout", span),
        idle_timeout=settings.get("limits.idle-close", span, DEFAULT_IDLE_TIMEOUT),
    )


def _longest_retry_after(settings: DeploymentSettings) -> float:
    """The longest time to retry after that an answer may state, in ms; 0 where answers state none."""
    if not settings.get("limits.retry-after", boolean, False):
        return 0.0
    return settings.get("limits.max-retry-after", span, 0.0)


def _function_cache(settings: DeploymentSettings) -> FunctionCache:
    return FunctionCache(
        memory=settings.numbers("family-info.memory-mb-by-kind"),
        idle_timeout=settings.get("family-info.idle-life", span),
        may_prewarm=settings.get("family-info.may-load", boolean),
        loads_on_demand=settings.get("family-info.if-cold", action_without_replica),
        prewarm_timeout=settings.get("family-info.load-wait", span),
        reports_warmth=settings.get("family-info.warm-notes", boolean),
        reports_concurrency=settings.get("family-info.says-company", boolean),
    )


def _slow_start(settings: DeploymentSettings) -> SlowStart:
    return SlowStart(
        start_share=settings.get("rules.cold-from", number),
        ramp=settings.get("rules.ramp-time", span),
        multiple=settings.get("rules.overload-factor", number),
        window=settings.get("rules.tip-after", span),
    )


def _prewarm_quota(settings: DeploymentSettings) -> PrewarmQuota:
    return PrewarmQuota(
        free=settings.get("family-info.free-loads", number, 0.0),
        share=settings.get("family-info.load-part", number, 0.0),
        window=settings.get("family-info.load-window", span, 0.0),
    )


def _discovery(settings: DeploymentSettings) -> Discovery:
    return Discovery(
        pushed=settings.get("discovery", discovery_mode),
        poll_within=settings.get("rules.ask-within", span, 0.0),
        drain_grace=settings.get("rules.stop-sending-within", span),
    )


def _tenant_quotas(settings: DeploymentSettings) -> TenantQuotas:
    tenants = range(settings.get("tenants.count", count, 0))
    return TenantQuotas(tuple(settings.get(f"tenants.{index}.quota-rps", number) for index in tenants))


def _cost_weights(settings: DeploymentSettings) -> CostWeights:
    return CostWeights(
        waste=settings.get("prices.waste", number, 0.0),
        late=settings.get("prices.late-fail", number, 0.0),
        fetch=settings.get("prices.origin", number, 0.0),
        health_check=settings.get("prices.probe", number, 0.0),
        cross_zone=settings.get("prices.cross-zone", number, 0.0),
        idle_memory=settings.get("family-info.idle-memory-cost", number, 0.0),
    )


def router_settings(settings: DeploymentSettings) -> RouterSettings:
    """The router's settings but its request classes; raises InvalidInputError for the first that is invalid."""
    return RouterSettings(
        instance=_instance(settings),
        attempt_limits=_attempt_limits(settings),
        function_cache=_function_cache(settings),
        slow_start=_slow_start(settings),
        prewarm_quota=_prewarm_quota(settings),
        discovery=_discovery(settings),
        tenant_quotas=_tenant_quotas(settings),
        cost_weights=_cost_weights(settings),
    )
