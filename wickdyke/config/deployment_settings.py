"""The settings that a deployment gives a front end, as `path=value`: the words turned into the project's own.

The simulator's first message brings them as pairs, the platform's configuration as one nested object; both are read
here, by one table of words. Standard library only: the drill needs nothing else.
"""

from collections.abc import Callable

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


class InvalidInputError(Exception):
    """What came in is not the wire's."""


def integer(text: str) -> int:
    """A whole number."""
    if not text.removeprefix("-").isascii() or not text.removeprefix("-").isdigit():
        raise ValueError("a whole number")
    return int(text)


def count(text: str) -> int:
    """A whole number that is not negative."""
    if integer(text) < 0:
        raise ValueError("a whole number of at least 0")
    return int(text)


def number(text: str) -> float:
    """A number that is neither infinite nor undefined."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError("a number") from None
    if value - value != 0:
        raise ValueError("a finite number")
    return value


def span(text: str) -> float:
    """A time, in ms."""
    return integer(text) / 1000


def flag(text: str) -> bool:
    """1 or 0."""
    if text not in ("0", "1"):
        raise ValueError("1 or 0")
    return text == "1"


def word(text: str) -> str:
    """A text that is not empty."""
    if not text or text == "-":
        raise ValueError("a word")
    return text


def one_of(table: dict) -> Callable[[str], object]:
    """One word of a table."""

    def read(text: str):
        if text not in table:
            raise ValueError("one of " + ", ".join(table))
        return table[text]

    return read


def optional(read: Callable) -> Callable:
    """What may be absent."""

    def read_optional(text: str):
        return None if text == "-" else read(text)

    return read_optional


EFFECT_WORDS = {"pure": "idempotent", "token": "tokened", "side_effect": "side-effecting"}
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


class DeploymentSettings:
    """The start-up pairs of one instance, read one by one so that a missing one can be named."""

    def __init__(self, values: dict[str, str], place: str = "POWER_ON") -> None:
        self.values, self.place = values, place

    def get(self, name: str, read: Callable, absent: object = None):
        """The value of one setting; named in the error where it is required and missing."""
        text = self.values.get(name)
        if text is None:
            if absent is None:
                raise InvalidInputError(f"{self.place}: the setting {name} is missing")
            return absent
        try:
            return read(text)
        except ValueError as bad:
            raise InvalidInputError(f"{self.place}: {name} is {text[:40]!r}, expected {bad}") from None

    def names(self, name: str) -> tuple[str, ...]:
        """A list of plain values."""
        text = self.get(name, str)
        return tuple(text.split(",")) if text else ()

    def numbers(self, name: str) -> tuple[float, ...]:
        """A list of numbers."""
        try:
            return tuple(number(part) for part in self.names(name))
        except ValueError as bad:
            raise InvalidInputError(f"{self.place}: {name}, expected {bad} in each place") from None


truth = one_of({"true": True, "false": False})
scope = one_of({"all": "all", "zone": "zone", "cell": "cell"})


def request_class(terms: DeploymentSettings, place: int) -> RequestClass:
    """One of the methods."""

    def at(name: str, read: Callable, absent: object = None):
        return terms.get(f"lanes.{place}.{name}", read, absent)

    return RequestClass(
        name=at("name", str),
        effect=at("repeat", one_of(EFFECT_WORDS)),
        scope=at("key-scope", scope, "all"),
        dedupe_window=at("window", span, 0.0),
        latency_objective=at("aim", span),
        objective_per_work=at("aim-stretch", number, 0.0),
        deadline=at("deadline", span),
        priority_weight=at("gain", number),
        late_weight=at("late-worth", number, 0.0),
    )


def from_pairs(pairs: list[str]) -> DeploymentSettings:
    """The terms in pairs of path=value."""
    values: dict[str, str] = {}
    for pair in pairs:
        name, sign, value = pair.partition("=")
        if not sign:
            raise InvalidInputError(f"POWER_ON: {pair[:40]!r}, expected path=value")
        values[name] = value
    return DeploymentSettings(values)


def from_nested(given: object, place: str) -> DeploymentSettings:
    """The terms in nested objects: lists of plain values are one value, of objects a count and a path for each."""
    values: dict[str, str] = {}
    _flatten(given, "", values)
    return DeploymentSettings(values, place)


def _flatten(given: object, path: str, values: dict[str, str]) -> None:
    if isinstance(given, dict):
        for name, each in given.items():
            _flatten(each, f"{path}.{name}" if path else str(name), values)
    elif isinstance(given, list) and any(isinstance(each, dict | list) for each in given):
        values[f"{path}.count"] = str(len(given))
        for at, each in enumerate(given):
            _flatten(each, f"{path}.{at}", values)
    elif isinstance(given, list):
        values[path] = ",".join(map(str, given))
    elif given is not None:
        values[path] = str(given).lower() if isinstance(given, bool) else str(given)


def router_settings(terms: DeploymentSettings) -> dict[str, object]:
    """What a front end is given at its start."""
    get = terms.get
    return {
        "request_classes": [request_class(terms, place) for place in range(get("lanes.count", count))],
        "instance": GatewayInstance(
            index=get("self-index", count),
            count=get("instances", count),
            zone=get("zone", count, 0),
            report_fields=tuple(REPORTS.get(name, name) for name in terms.names("report.fields")),
            weight_by_work=get("value-by", one_of({"request": False, "work": True}), False),
        ),
        "attempt_limits": AttemptLimits(
            attempts=get("limits.send-cap", count),
            hedging=get("limits.second-copies", truth),
            cancel=get("limits.cancelling", truth),
            health_checks=get("limits.probing", truth),
            retry_after=get("limits.max-retry-after", span, 0.0) if get("limits.retry-after", truth, False) else 0.0,
            connect_timeout=get("limits.dial-timeout", span),
            idle_timeout=get("limits.idle-close", span, 15000.0),
        ),
        "function_cache": FunctionCache(
            memory=terms.numbers("family-info.memory-mb-by-kind"),
            idle_timeout=get("family-info.idle-life", span),
            may_prewarm=get("family-info.may-load", truth),
            loads_on_demand=get("family-info.if-cold", one_of({"load": True, "miss": False})),
            prewarm_timeout=get("family-info.load-wait", span),
            reports_warmth=get("family-info.warm-notes", truth),
            reports_concurrency=get("family-info.says-company", truth),
        ),
        "slow_start": SlowStart(
            start_share=get("rules.cold-from", number),
            ramp=get("rules.ramp-time", span),
            multiple=get("rules.overload-factor", number),
            window=get("rules.tip-after", span),
        ),
        "prewarm_quota": PrewarmQuota(
            free=get("family-info.free-loads", number, 0.0),
            share=get("family-info.load-part", number, 0.0),
            window=get("family-info.load-window", span, 0.0),
        ),
        "discovery": Discovery(
            pushed=get("discovery", one_of({"automatic": True, "subscribe": False})),
            poll_within=get("rules.ask-within", span, 0.0),
            drain_grace=get("rules.stop-sending-within", span),
        ),
        "tenant_quotas": TenantQuotas(
            quotas=tuple(get(f"tenants.{place}.quota-rps", number) for place in range(get("tenants.count", count, 0)))
        ),
        "cost_weights": CostWeights(
            waste=get("prices.waste", number, 0.0),
            late=get("prices.late-fail", number, 0.0),
            fetch=get("prices.origin", number, 0.0),
            health_check=get("prices.probe", number, 0.0),
            cross_zone=get("prices.cross-zone", number, 0.0),
            idle_memory=get("family-info.idle-memory-cost", number, 0.0),
        ),
    }
