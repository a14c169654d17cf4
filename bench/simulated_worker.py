"""The simulated deployment: its settings, and workers with replicas, idle timeouts, memory and load times.

Times are in milliseconds, memory is in MB.
"""

import itertools
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import Endpoint, RequestClass
from wickdyke.routing.router import Router
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

if TYPE_CHECKING:
    from wickdyke.gateway.recording import DecisionRecorder

REPORT_FIELDS = ("utilization", "in_flight")
WORKERS_PER_RACK = 40  # in each zone
PREWARM_QUOTA = PrewarmQuota(6.0, 0.2, 5000.0)
SLOW_START = SlowStart(0.2, 18000.0, 2.0, 2000.0)
DISCOVERY = Discovery(True, 10000.0, 500.0)


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of the simulated deployment; docs/CAPACITY.md states the ranges that are measured."""

    front_ends: int = 3300
    zones: int = 11
    idle_timeout: float = 12000.0  # after which an unused replica is unloaded
    load_time: float = 500.0  # to load a function
    work: float = 40.0  # mean run time of a request
    memory: float = 32000.0  # of a worker
    replica_memory: float = 512.0  # of a replica
    concurrency: int = 4
    effect: str = "idempotent"
    deadline: float = 4000.0
    class_count: int = 1
    cross_zone_cost: float = 0.0  # added to the cost of an attempt in another zone
    loads_on_demand: bool = True
    prewarm_quota: PrewarmQuota = PREWARM_QUOTA
    slow_start: SlowStart = SLOW_START
    discovery: Discovery = DISCOVERY

    def request_classes(self) -> list[RequestClass]:
        """Returns the request classes, `class_count` of them."""
        return [
            RequestClass(f"m{number}", self.effect, "all", 2000.0, 800.0, 0.0, self.deadline, 1.0, 0.2)
            for number in range(self.class_count)
        ]

    def router_settings(self, number: int) -> RouterSettings:
        """Returns the router settings of front end `number`; front ends are assigned to the zones in turn."""
        return RouterSettings(
            GatewayInstance(number, self.front_ends, number % self.zones, REPORT_FIELDS, False),
            AttemptLimits(4, False, True, True, 300.0, 250.0),
            FunctionCache((self.memory,), self.idle_timeout, True, self.loads_on_demand, 10000.0, True, True),
            self.slow_start,
            self.prewarm_quota,
            self.discovery,
            CostWeights(0.1, 0.05, 0.05, 0.01, self.cross_zone_cost, 0.05),
            TenantQuotas(),
        )

    def router(self, now: float, number: int, recorder: "DecisionRecorder | None" = None) -> Router:
        """Returns the router of front end `number`; its recording, if any, starts here."""
        settings, classes = self.router_settings(number), self.request_classes()
        if recorder is not None:
            recorder.start(now, number + 1, classes, settings)
        return Router(now, number + 1, classes, settings)


def simulated_endpoint(number: int, zones: int = 11, **changes: object) -> Endpoint:
    """Returns the endpoint list's entry of worker `number`, with some of its fields changed."""
    endpoint = Endpoint(f"s-{number:08x}", number % zones, 0, number // zones // WORKERS_PER_RACK, "ready", 4.0, None)
    return replace(endpoint, **changes)


class FunctionSampler:
    """Draws random functions: uniformly where the exponent is 0, else by Zipf's law."""

    def __init__(self, function_count: int, exponent: float, seed: int) -> None:
        self.function_count = function_count
        self.random = random.Random(seed)
        self.cumulative_weights = (
            list(itertools.accumulate((rank + 1) ** -exponent for rank in range(function_count))) if exponent else []
        )

    def __call__(self) -> str:
        """Returns the name of a random function."""
        if not self.cumulative_weights:
            return f"{self.random.randrange(self.function_count):016x}"
        (rank,) = self.random.choices(range(self.function_count), cum_weights=self.cumulative_weights)
        return f"{rank * 0x9E3779B97F4A7C15 % 2**64:016x}"


@dataclass(slots=True, eq=False)
class SimulatedReplica:
    """A replica of a function: when it is loaded and when it was last used (ms)."""

    loaded_at: float
    used_at: float


@dataclass(slots=True, eq=False)
class SimulatedWorker:
    """A worker with its replicas, by function, and its requests in flight."""

    endpoint: Endpoint
    settings: Settings
    replicas: dict[str, SimulatedReplica] = field(default_factory=dict)
    in_flight: int = 0
    recent_arrivals: deque[float] = field(default_factory=deque)  # times of attempts during slow start
    dead: bool = False

    def _make_room(self, now: float) -> bool:
        """Unloads idle replicas; returns whether there is memory for one more."""
        idle_functions = [
            name for name, replica in self.replicas.items() if now - replica.used_at > self.settings.idle_timeout
        ]
        for name in idle_functions:
            del self.replicas[name]
        return (len(self.replicas) + 1) * self.settings.replica_memory <= self.settings.memory

    def load(self, name: str, now: float) -> tuple[str, float]:
        """Loads a function where needed; returns the attempt's load note and when the replica is loaded (ms).

        The load note is "stood" (loaded already), "began", "awaited" or "full" (no memory for another replica).
        """
        replica = self.replicas.get(name)
        if replica is not None and (now < replica.loaded_at or now - replica.used_at <= self.settings.idle_timeout):
            load_note = "stood" if replica.loaded_at <= now else "awaited"
            replica.used_at = max(replica.used_at, replica.loaded_at, now)
            return load_note, replica.loaded_at
        self.replicas.pop(name, None)
        if not self._make_room(now):
            return "full", now
        loaded_at = now + self.settings.load_time
        self.replicas[name] = SimulatedReplica(loaded_at, loaded_at)
        return "began", loaded_at

    def report(self) -> WorkerLoad | None:
        """Returns the load report: utilization and requests in flight."""
        return WorkerLoad.from_values(REPORT_FIELDS, (min(1.0, self.in_flight / 16), float(self.in_flight)))
