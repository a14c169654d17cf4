"""The router's settings, as a deployment states them: one frozen record for each part.

Spans are milliseconds, memory is in MB, shares are parts of one.
"""

from dataclasses import dataclass

from wickdyke.routing.model import Endpoint


@dataclass(slots=True, frozen=True)
class SlowStart:
    """How much a worker that has just started can take.

    Its capacity grows over `ramp` from `start_share` of the usual to all of it; it is overloaded by `multiple` times
    that within `window`.
    """

    start_share: float
    ramp: float
    multiple: float
    window: float


@dataclass(slots=True, frozen=True)
class PrewarmQuota:
    """How many prewarms may be sent within `window`: `free` and `share` of the requests. A window of 0: no limit."""

    free: float
    share: float
    window: float


@dataclass(slots=True, frozen=True)
class FunctionCache:
    """How functions are kept loaded on workers.

    `loads_on_demand`: an attempt at a worker without the function loads it; otherwise it misses. `reports_warmth` and
    `reports_concurrency`: whether answers state if the function was loaded, and its requests in flight.
    """

    memory: tuple[float, ...]
    idle_timeout: float
    may_prewarm: bool
    loads_on_demand: bool
    prewarm_timeout: float
    reports_warmth: bool
    reports_concurrency: bool

    def memory_on(self, endpoint: Endpoint) -> float:
        """MB that a worker of that kind has for replicas; 0 where the settings do not state it."""
        return (self.memory[endpoint.kind :] or self.memory or (0.0,))[0]


@dataclass(slots=True, frozen=True)
class AttemptLimits:
    """Limits on the attempts of a request and of this front end.

    `hedging`: attempts of one request may overlap; `retry_after` is the longest pause that a rejection states.
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
    """How the endpoint list is received, and how soon a draining worker must be sent nothing more (`drain_grace`)."""

    pushed: bool
    poll_within: float
    drain_grace: float


@dataclass(slots=True, frozen=True)
class CostWeights:
    """Costs, as parts of the priority weight of the request."""

    waste: float
    late: float
    fetch: float
    health_check: float
    cross_zone: float
    idle_memory: float


@dataclass(slots=True, frozen=True)
class TenantQuotas:
    """The rate that each tenant is promised, in requests per second of the whole fleet."""

    quotas: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class GatewayInstance:
    """Which of how many front ends this is, its zone, and the fields of load reports."""

    index: int
    count: int
    zone: int
    report_fields: tuple[str, ...]
    weight_by_work: bool


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """All settings of a router but its request classes."""

    instance: GatewayInstance
    attempt_limits: AttemptLimits
    function_cache: FunctionCache
    slow_start: SlowStart
    prewarm_quota: PrewarmQuota
    discovery: Discovery
    cost_weights: CostWeights
    tenant_quotas: TenantQuotas = TenantQuotas()
