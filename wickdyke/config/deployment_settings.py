"""The settings that a deployment gives a front end, as `path=value` pairs under the deployment's names.

The simulator's first message contains the pairs, the platform's configuration one nested object. Both are read here,
with the same tables of names. Only the standard library is imported, because the simulator adapter needs nothing else.
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
MICROSECONDS_PER_MS = 1000
MAX_QUOTED_CHARACTERS = 40  # of a value in an error message
ABSENT_VALUE = "-"  # the text of a value that is not given
DEFAULT_IDLE_TIMEOUT = 15000.0  # ms


class InvalidInputError(Exception):
    """A message or a setting of the deployment is invalid."""


# ---- readers of single values; they raise ValueError with the expected form ----


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
    """Reads a finite number."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError("a number") from None
    if value - value != 0:
        raise ValueError("a finite number")
    return value


def duration(text: str) -> float:
    """Reads a duration in microseconds; returns it in ms."""
    return integer(text) / MICROSECONDS_PER_MS


def flag(text: str) -> bool:
    """Reads 1 or 0 as a boolean."""
    if text not in ("0", "1"):
        raise ValueError("1 or 0")
    return text == "1"


def non_empty_text(text: str) -> str:
    """Reads a text that is neither empty nor the mark of an absent value."""
    if not text or text == ABSENT_VALUE:
        raise ValueError("a text that is not empty")
    return text


def one_of(table: Mapping[str, T]) -> Callable[[str], T]:
    """Returns a reader of the keys of a table, which returns the value of the key."""

    def read(text: str) -> T:
        if text not in table:
            raise ValueError("one of " + ", ".join(table))
        return table[text]

    return read


def optional(read: Callable[[str], T]) -> Callable[[str], T | None]:
    """Returns a reader that returns None for an absent value."""

    def read_optional(text: str) -> T | None:
        return None if text == ABSENT_VALUE else read(text)

    return read_optional


# ---- the deployment's names of enumerated values ----

EFFECTS_BY_NAME = {
    "pure": Effect.IDEMPOTENT,
    "token": Effect.KEYED,
    "side_effect": Effect.SIDE_EFFECTING,
}
REPORT_FIELD_NAMES = {
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
effect = one_of(EFFECTS_BY_NAME)
scope = one_of({"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL})
weight_unit = one_of({"request": False, "work": True})
action_without_replica = one_of({"load": True, "miss": False})
discovery_mode = one_of({"automatic": True, "subscribe": False})


class DeploymentSettings:
    """The settings of one instance by path, read one at a time so that an error names the invalid setting.

    `error_prefix` starts each error message.
    """

    def __init__(self, values: dict[str, str], error_prefix: str = "POWER_ON") -> None:
        self.values = values
        self.error_prefix = error_prefix

    def get(self, name: str, read: Callable[[str], T], default: T | None = None) -> T:
        """Returns the value of one setting. Raises InvalidInputError if it is invalid, or missing without a default."""
        text = self.values.get(name)
        if text is None:
            if default is None:
                raise InvalidInputError(f"{self.error_prefix}: the setting {name} is missing")
            return default
        try:
            return read(text)
        except ValueError as error:
            raise InvalidInputError(
                f"{self.error_prefix}: {name} is {text[:MAX_QUOTED_CHARACTERS]!r}, expected {error}"
            ) from None

    def names(self, name: str) -> tuple[str, ...]:
        """Returns the texts of a comma-separated list."""
        text = self.get(name, str)
        return tuple(text.split(",")) if text else ()

    def numbers(self, name: str) -> tuple[float, ...]:
        """Returns the numbers of a comma-separated list. Raises InvalidInputError."""
        try:
            return tuple(number(part) for part in self.names(name))
        except ValueError as error:
            raise InvalidInputError(f"{self.error_prefix}: {name}, expected {error} for each item") from None


# ---- input formats ----


def from_pairs(pairs: list[str]) -> DeploymentSettings:
    """Returns the settings of path=value pairs. Raises InvalidInputError."""
    values: dict[str, str] = {}
    for pair in pairs:
        name, separator, value = pair.partition("=")
        if not separator:
            raise InvalidInputError(f"POWER_ON: {pair[:MAX_QUOTED_CHARACTERS]!r}, expected path=value")
        values[name] = value
    return DeploymentSettings(values)


def from_nested(nested: object, error_prefix: str) -> DeploymentSettings:
    """Returns the settings of nested objects.

    A list of plain values becomes one comma-separated value; a list that contains objects or lists becomes a count and
    one path per item. `error_prefix` starts each error message.
    """
    values: dict[str, str] = {}
    _flatten(nested, "", values)
    return DeploymentSettings(values, error_prefix)


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


# ---- sections of the router's settings ----


def request_class(settings: DeploymentSettings, index: int) -> RequestClass:
    """Returns the request class of that index. Raises InvalidInputError."""
    path = f"lanes.{index}"
    return RequestClass(
        name=settings.get(f"{path}.name", str),
        effect=settings.get(f"{path}.repeat", effect),
        scope=settings.get(f"{path}.key-scope", scope, Scope.ALL),
        dedupe_window=settings.get(f"{path}.window", duration, 0.0),
        latency_objective=settings.get(f"{path}.aim", duration),
        objective_per_work=settings.get(f"{path}.aim-stretch", number, 0.0),
        deadline=settings.get(f"{path}.deadline", duration),
        priority_weight=settings.get(f"{path}.gain", number),
        late_weight=settings.get(f"{path}.late-worth", number, 0.0),
    )


def request_classes(settings: DeploymentSettings) -> list[RequestClass]:
    """Returns all request classes. Raises InvalidInputError."""
    return [request_class(settings, index) for index in range(settings.get("lanes.count", count))]


def _instance(settings: DeploymentSettings) -> GatewayInstance:
    return GatewayInstance(
        index=settings.get("self-index", count),
        count=settings.get("instances", count),
        zone=settings.get("zone", count, 0),
        report_fields=tuple(REPORT_FIELD_NAMES.get(name, name) for name in settings.names("report.fields")),
        weight_by_work=settings.get("value-by", weight_unit, False),
    )


def _attempt_limits(settings: DeploymentSettings) -> AttemptLimits:
    return AttemptLimits(
        attempts=settings.get("limits.send-cap", count),
        hedging=settings.get("limits.second-copies", boolean),
        cancel=settings.get("limits.cancelling", boolean),
        health_checks=settings.get("limits.probing", boolean),
        retry_after=_longest_retry_after(settings),
        connect_timeout=settings.get("limits.dial-timeout", duration),
        idle_timeout=settings.get("limits.idle-close", duration, DEFAULT_IDLE_TIMEOUT),
    )


def _longest_retry_after(settings: DeploymentSettings) -> float:
    """Returns the longest retry-after time that an answer may state, in ms; 0 if answers state none."""
    if not settings.get("limits.retry-after", boolean, False):
        return 0.0
    return settings.get("limits.max-retry-after", duration, 0.0)


def _function_cache(settings: DeploymentSettings) -> FunctionCache:
    return FunctionCache(
        memory=settings.numbers("family-info.memory-mb-by-kind"),
        idle_timeout=settings.get("family-info.idle-life", duration),
        may_prewarm=settings.get("family-info.may-load", boolean),
        loads_on_demand=settings.get("family-info.if-cold", action_without_replica),
        prewarm_timeout=settings.get("family-info.load-wait", duration),
        reports_warmth=settings.get("family-info.warm-notes", boolean),
        reports_concurrency=settings.get("family-info.says-company", boolean),
    )


def _slow_start(settings: DeploymentSettings) -> SlowStart:
    return SlowStart(
        start_share=settings.get("rules.cold-from", number),
        ramp=settings.get("rules.ramp-time", duration),
        multiple=settings.get("rules.overload-factor", number),
        window=settings.get("rules.tip-after", duration),
    )


def _prewarm_quota(settings: DeploymentSettings) -> PrewarmQuota:
    return PrewarmQuota(
        free=settings.get("family-info.free-loads", number, 0.0),
        share=settings.get("family-info.load-part", number, 0.0),
        window=settings.get("family-info.load-window", duration, 0.0),
    )


def _discovery(settings: DeploymentSettings) -> Discovery:
    return Discovery(
        pushed=settings.get("discovery", discovery_mode),
        poll_within=settings.get("rules.ask-within", duration, 0.0),
        drain_grace=settings.get("rules.stop-sending-within", duration),
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
    """Returns the router's settings without the request classes. Raises InvalidInputError for the first invalid one."""
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
