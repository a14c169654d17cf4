"""Reads and validates the configuration of the platform's front end."""

import json
import math
import os
from dataclasses import dataclass, fields
from typing import Any

from wickdyke.config import deployment_settings
from wickdyke.platform.endpoint_list import Event, UnusableEventError, parse_event
from wickdyke.platform.memory_budget import base_bytes, plan_memory
from wickdyke.routing.model import RequestClass
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

MAX_OPEN_REQUESTS = 4096  # upper limit of open requests, however much memory there is
MIN_OPEN_REQUESTS = 256  # lower limit of the maximum of open requests, however little memory there is
OPEN_REQUESTS_PER_MB = 16.0  # open requests allowed per MB of memory
MAX_EVENTS = 20000  # events that may wait for the coordinator
ANSWER_MARGIN = 10.0  # ms reserved for an answer to reach its client
HEALTH_CHECK_TIMEOUT = 250.0  # ms until a health check times out
MIN_MEMORY_MB = 1
MIN_SOCKETS = 64
MAX_PORT = 65535


class ConfigurationError(Exception):
    """The configuration is invalid; the message names the place, the value and the expectation."""


class UnreadableConfigurationError(ConfigurationError):
    """The file can't be read now; a retry may succeed."""


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits on the number of objects that the front end holds at a time."""

    open_requests: int  # open requests of clients
    events: int  # events that wait for the coordinator
    client_bytes: int  # memory that the requests, frames and answers of clients may hold
    answer_bytes: int  # memory that incomplete answers of workers may hold


@dataclass(slots=True)
class Configuration:
    """The settings of one front end of the platform; times in ms."""

    name: str
    listen: tuple[str, int]
    discovery_address: tuple[str, int]
    initial_events: list[Event]  # events of discovery that give the initial endpoint list
    seed: int
    memory_mb: float
    process_bytes: int  # memory that the process takes of it without any worker listed
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
    function_limits: FunctionLimits
    bounds: Bounds
    answer_margin: float = ANSWER_MARGIN
    health_check_timeout: float = HEALTH_CHECK_TIMEOUT


def address(text: object, place: str) -> tuple[str, int]:
    """Parses HOST:PORT into host and port. Raises ConfigurationError, whose message names `place`."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{place} is {text!r}, expected HOST:PORT")
    return host, int(port)


def load(path: str) -> dict[str, Any]:
    """Returns the JSON object in the file at `path`.

    Raises ConfigurationError, or its subclass UnreadableConfigurationError where the file can't be read.
    """
    try:
        with open(path, encoding="utf-8") as source:
            content = json.load(source)
    except OSError as error:
        raise UnreadableConfigurationError(f"{path}: {error.strerror}, expected a file that can be read") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}, expected JSON") from None
    if not isinstance(content, dict):
        raise ConfigurationError(f"{path}: content is {type(content).__name__}, expected an object")
    return content


def _limit(document: dict[str, Any], path: str, name: str, minimum: float) -> float:
    limits = document.get("limits")
    value = limits.get(name) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < math.inf:
        raise ConfigurationError(f"{path}: limits.{name} is {value!r}, expected a number of at least {minimum:g}")
    return value


def _seed(document: dict[str, Any], path: str) -> int:
    seed: Any = document.get("seed")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigurationError(f"{path}: seed is {seed!r}, expected hex digits") from None


def _initial_batch(document: dict[str, Any], path: str) -> list[Any]:
    known = document.get("known")
    batch = known.get("batch") if isinstance(known, dict) else None
    if not isinstance(batch, list):
        raise ConfigurationError(f"{path}: known.batch is {batch!r}, expected a list of events")
    return batch


def _open_requests(memory_mb: float) -> int:
    return int(max(MIN_OPEN_REQUESTS, min(MAX_OPEN_REQUESTS, memory_mb * OPEN_REQUESTS_PER_MB)))


def _listed_count(events: list[Event]) -> int:
    """Returns the number of workers that events list, each counted as often as it is named."""
    topologies = [event.get("topology") for event in events]
    lists = [topology.get("instances") for topology in topologies if isinstance(topology, dict)]
    return sum(len(instances) for instances in lists if isinstance(instances, list))


def read(path: str, listen: str | None = None, name: str | None = None, own_memory: int | None = None) -> Configuration:
    """Reads and validates a configuration; `listen` and `name`, if given, take precedence over the file.

    `own_memory` is the bytes of memory that the process has already, where that is known. Raises ConfigurationError.
    """
    document = load(path)
    seed = _seed(document, path)
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise ConfigurationError(f"{path}: settings is {type(settings).__name__}, expected an object")
    batch = _initial_batch(document, path)
    pairs = deployment_settings.from_nested(settings, f"{path}: settings")
    try:
        request_classes = deployment_settings.request_classes(pairs)
        router_settings = deployment_settings.router_settings(pairs)
        events = [parse_event(json.dumps(event)) for event in batch]
    except deployment_settings.InvalidInputError as error:
        raise ConfigurationError(str(error)) from None
    except UnusableEventError as error:
        raise ConfigurationError(f"{path}: known.batch has {error}") from None
    if not request_classes:
        raise ConfigurationError(f"{path}: settings has no classes, expected one at least")
    memory = _limit(document, path, "memory_mb", MIN_MEMORY_MB)
    process_bytes = base_bytes(own_memory, 0)
    plan = plan_memory(memory, base_bytes(process_bytes, _listed_count(events)))
    tenants = range(pairs.get("tenants.count", deployment_settings.count, 0))
    return Configuration(
        name=name or str(document.get("name") or "gateway"),
        listen=address(listen or document.get("listen"), f"{path}: listen"),
        discovery_address=discovery_address(document, path),
        initial_events=events,
        seed=seed,
        memory_mb=memory,
        process_bytes=process_bytes,
        sockets=int(_limit(document, path, "sockets", MIN_SOCKETS)),
        zones=pairs.names("zones"),
        kinds=pairs.names("flavors"),
        tenants=tuple(pairs.get(f"tenants.{index}.name", str) for index in tenants),
        bounds=Bounds(_open_requests(memory), MAX_EVENTS, plan.client_bytes, plan.answer_bytes),
        request_classes=request_classes,
        **{field.name: getattr(router_settings, field.name) for field in fields(router_settings)}
        | {"function_limits": FunctionLimits(plan.functions)},
    )


def discovery_address(document: dict[str, Any], path: str) -> tuple[str, int]:
    """Returns the host and port of discovery from the field `bus`. Raises ConfigurationError."""
    return address(document.get("bus"), f"{path}: bus")


def config_path() -> str:
    """Returns the path of the configuration file from GW_CONFIG. Raises ConfigurationError where it is not set."""
    path = os.environ.get("GW_CONFIG")
    if not path:
        raise ConfigurationError("the environment has no GW_CONFIG, expected the path of the configuration")
    return path
