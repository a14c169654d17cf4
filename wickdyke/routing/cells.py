"""A cell of the fleet: workers that share a prefix of their hashed identifiers, and the functions at home there."""

from dataclasses import dataclass, field
from math import inf
from typing import Any

from wickdyke.routing.model import EndpointState, Function, Worker

MIN_PERIOD = 1.0  # ms


@dataclass(slots=True, eq=False)
class Cell:
    """Workers whose paths begin with the same `depth` bits, and the functions at home there.

    `ready` and their `size` are as of the last change of the list. `placement` is where its functions are placed: it
    was done at `placed_at` (ms), is due again after a `period` (ms), and `calls_since` were received. `pool` has, by
    kind of worker, the latency (ms) of recent answers and the work in them. `utilization` and `reported_utilization`
    are sum and count: of each worker's mean of its last reports, and of all recent reports.
    """

    depth: int
    prefix: int
    members: dict[str, Worker] = field(default_factory=dict)
    functions: dict[str, Function] = field(default_factory=dict)
    placement: Any = None
    placed_at: float = 0.0
    period: float = 0.0
    calls_since: float = inf
    ready: list[Worker] = field(default_factory=list)
    size: float = 0.0
    pool: dict[int, tuple[float, float]] = field(default_factory=dict)
    utilization: tuple[float, int] = (0.0, 0)
    reported_utilization: tuple[float, int] = (0.0, 0)

    def refresh(self) -> bool:
        """Updates `ready` and `size`; returns whether they have changed."""
        before = self.ready, self.size
        self.ready = [worker for worker in self.members.values() if worker.endpoint.state == EndpointState.READY]
        self.size = sum(worker.endpoint.size for worker in self.ready)
        return (self.ready, self.size) != before

    def due(self) -> float:
        """When it is to be placed next (ms)."""
        return self.placed_at + self.period

    def lateness(self, now: float) -> float:
        """How long ago (ms) it was placed, in its own periods."""
        return (now - self.placed_at) / max(self.period, MIN_PERIOD)

    def called_since(self, time: float) -> list[Function]:
        """Its functions that were called after that time (ms)."""
        return [function for function in self.functions.values() if function.last_called > time]

    def sum_reports(self, since: float) -> None:
        """Sums up the utilization of its workers; recent reports are those received after that time (ms)."""
        means = [worker.utilization for worker in self.ready if worker.load_reports]
        recent = [
            report.utilization
            for worker in self.ready
            for report in worker.load_reports
            if report.received_at > since and report.utilization is not None
        ]
        self.utilization = sum(means), len(means)
        self.reported_utilization = sum(recent), len(recent)
