"""The router's settings of a deployment: one frozen record for each component.

Durations are milliseconds, memory is in MB, shares are between 0 and 1.
"""

from dataclasses import dataclass

from wickdyke.routing.model import Endpoint


@dataclass(slots=True, frozen=True)
class SlowStart:
    """The capacity of a worker that has just started.

    The capacity grows over `ramp` from `start_share` of the usual capacity to all of it. Work above `multiple` times
    the present capacity within `window` overloads the worker.
    """

    start_share: float
    ramp: float
    multiple: float
    window: float


@dataclass(slots=True, frozen=True)
class PrewarmQuota:
    """The limit on prewarms within `window`: `free` plus `share` of the requests; a window of 0 means no limit."""

    free: float
    share: float
    window: float


@dataclass(slots=True, frozen=True)
class FunctionCache:
    """How workers load functions and keep them loaded.

    `loads_on_demand`: whether an attempt at a worker without the function loads it; otherwise the attempt misses.
    `reports_warmth` and `reports_concurrency`: whether answers state if the function was loaded, and the function's
    requests in flight.
    """

    memory: tuple[float, ...]
    idle_timeout: float
    may_prewarm: bool
    loads_on_demand: bool
    prewarm_timeout: float
    reports_warmth: bool
    reports_concurrency: bool

    def memory_on(self, endpoint: Endpoint) -> float:
        """Returns the MB that the endpoint's kind of worker has for replicas; 0 where the settings do not state it."""
        return (self.memory[endpoint.kind :] or self.memory or (0.0,))[0]


@dataclass(slots=True, frozen=True)
class AttemptLimits:
    """Limits on the attempts of a request and of this front end.

    `hedging`: whether attempts of one request may overlap. `retry_after`: the longest wait that a rejection states.
    """

    attempts: int
    hedging: bool
    cancel: bool
    health_checks: bool
    retry_after: float
    connect_timeout: float
    idle_timeout: float = 15000.0


@dataclass(slots=True, frozen=True)
class Discovery:
    """How the endpoint list is received, and the time within which work to a draining worker stops (`drain_grace`)."""

    pushed: bool
    poll_within: float
    drain_grace: float


@dataclass(slots=True, frozen=True)
class CostWeights:
    """Costs as fractions of a request's priority weight."""

    waste: float
    late: float
    fetch: float
    health_check: float
    cross_zone: float
    idle_memory: float


@dataclass(slots=True, frozen=True)
class TenantQuotas:
    """The rate that each tenant is promised, in requests per second over the whole fleet."""

    quotas: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class GatewayInstance:
    """This front end's index among `count` front ends, its zone, and the fields of load reports."""

    index: int
    count: int
    zone: int
    report_fields: tuple[str, ...]
    weight_by_work: bool


@dataclass(slots=True, frozen=True)
class FunctionLimits:
    """The number of functions that the router keeps, beside those with an attempt in flight."""

    maximum: int = 16384


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """All settings of a router except its request classes."""

    instance: GatewayInstance
    attempt_limits: AttemptLimits
    function_cache: FunctionCache
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    discovery: Discovery
    cost_weights: CostWeights
    tenant_quotas: TenantQuotas = TenantQuotas()
    function_limits: FunctionLimits = FunctionLimits()
