"""The platform's configuration, as checked values."""

import json
import os
from dataclasses import dataclass
from types import SimpleNamespace

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
from wickdyke.platform.endpoint_list import Unusable, change
from wickdyke.settings import terms

RPCS, LEAST, EACH_MB = 4096, 256, 16.0  # open at once at most, at least; of each MB that there is
EVENTS = 20000  # events that wait for the desk at most
ANSWER_WAY = 10.0  # ms that an answer may take to its client
PROBE_WAIT = 250.0  # ms that an answer to a probe is waited for


class ConfigurationError(Exception):
    """The configuration can't be used: place, found, expected in one line."""


class Unreadable(ConfigurationError):
    """The file can't be read now; it may be later."""


@dataclass(slots=True)
class Configuration:
    """All that a front end of the platform is told."""

    name: str
    listen: tuple[str, int]
    bus: tuple[str, int]
    known: list[dict]
    seed: int
    memory_mb: float
    sockets: int
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    tenants: tuple[str, ...]
    request_classes: list[RequestClass]
    instance: GatewayInstance
    attempt_limits: AttemptLimits
    function_cache: FunctionCache
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    discovery: Discovery
    cost_weights: CostWeights
    tenant_quotas: TenantQuotas
    bounds: SimpleNamespace
    answer_way: float = ANSWER_WAY
    probe_wait: float = PROBE_WAIT


def address(text: object, place: str) -> tuple[str, int]:
    """(host, port)."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{place} is {text!r}, expected HOST:PORT")
    return host, int(port)


def load(path: str) -> dict:
    """The object in that file."""
    try:
        with open(path, encoding="utf-8") as source:
            found = json.load(source)
    except OSError as bad:
        raise Unreadable(f"{path}: {bad.strerror}, expected a file that can be read") from None
    except (ValueError, RecursionError) as bad:
        raise ConfigurationError(f"{path}: {bad}, expected JSON") from None
    if not isinstance(found, dict):
        raise ConfigurationError(f"{path}: a {type(found).__name__}, expected an object")
    return found


def _limit(given: dict, path: str, name: str, least: float) -> float:
    limits = given.get("limits")
    value = limits.get(name) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= least:
        raise ConfigurationError(f"{path}: limits.{name} is {value!r}, expected a number of at least {least:g}")
    return value


def read(path: str, listen: str | None = None, name: str | None = None) -> Configuration:
    """Reads and checks a configuration; what the environment says of address and name goes first."""
    given = load(path)
    seed = given.get("seed")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigurationError(f"{path}: seed is {seed!r}, expected hex digits") from None
    settings = given.get("settings")
    if not isinstance(settings, dict):
        raise ConfigurationError(f"{path}: settings is {type(settings).__name__}, expected an object")
    known = given.get("known")
    batch = known.get("batch") if isinstance(known, dict) else None
    if not isinstance(batch, list):
        raise ConfigurationError(f"{path}: known.batch is {batch!r}, expected a list of events")
    pairs = terms.nested(settings, f"{path}: settings")
    try:
        started = terms.start(pairs)
        events = [change(json.dumps(each)) for each in batch]
    except terms.BadInput as bad:
        raise ConfigurationError(str(bad)) from None
    except Unusable as bad:
        raise ConfigurationError(f"{path}: known.batch has {bad}") from None
    if not started["request_classes"]:
        raise ConfigurationError(f"{path}: settings has no classes, expected one at least")
    memory = _limit(given, path, "memory_mb", 1)
    return Configuration(
        name=name or str(given.get("name") or "gateway"),
        listen=address(listen or given.get("listen"), f"{path}: listen"),
        bus=bus(given, path),
        known=events,
        seed=number,
        memory_mb=memory,
        sockets=int(_limit(given, path, "sockets", 64)),
        zones=pairs.names("zones"),
        kinds=pairs.names("flavors"),
        tenants=tuple(pairs.get(f"tenants.{at}.name", str) for at in range(pairs.get("tenants.count", terms.count, 0))),
        bounds=SimpleNamespace(open_rpcs=int(max(LEAST, min(RPCS, memory * EACH_MB))), events=EVENTS),
        **started,
    )


def bus(given: dict, path: str) -> tuple[str, int]:
    """Where the list's events come from."""
    return address(given.get("bus"), f"{path}: bus")


def config_path() -> str:
    """Where the configuration is."""
    path = os.environ.get("GW_CONFIG")
    if not path:
        raise ConfigurationError("the environment has no GW_CONFIG, expected the path of the configuration")
    return path
