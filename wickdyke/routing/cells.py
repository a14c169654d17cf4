"""A cell of the fleet: workers that share a prefix of their hashed identifiers, and the functions assigned to them."""

from dataclasses import dataclass, field
from math import inf
from typing import Any

from wickdyke.routing.model import EndpointState, Function, Worker

MIN_PERIOD = 1.0  # ms


@dataclass(slots=True, eq=False)
class Cell:
    """Workers whose paths begin with the same `depth` bits, and the functions whose home cell this is.

    `ready_workers` and `size`, the sum of their sizes, are updated when the endpoint list changes. `placement` assigns
    the cell's functions to workers: it last ran at `placed_at` (ms) and is due again after `period` (ms);
    `requests_since_placement` counts the requests received since. `latency_sums_by_kind` maps a kind of worker to the
    sums of latency (ms) and work (ms) of recent answers. `utilization` and `reported_utilization` are pairs of sum and
    count: over the workers' means of their last reports, and over all recent reports.
    """

    depth: int
    prefix: int
    members: dict[str, Worker] = field(default_factory=dict)
    functions: dict[str, Function] = field(default_factory=dict)
    placement: Any = None
    placed_at: float = 0.0
    period: float = 0.0
    requests_since_placement: float = inf
    ready_workers: list[Worker] = field(default_factory=list)
    size: float = 0.0
    latency_sums_by_kind: dict[int, tuple[float, float]] = field(default_factory=dict)
    utilization: tuple[float, int] = (0.0, 0)
    reported_utilization: tuple[float, int] = (0.0, 0)

    def refresh(self) -> bool:
        """Updates `ready_workers` and `size`; returns whether either has changed."""
        before = self.ready_workers, self.size
        self.ready_workers = [
            worker for worker in self.members.values() if worker.endpoint.state == EndpointState.READY
        ]
        self.size = sum(worker.endpoint.size for worker in self.ready_workers)
        return (self.ready_workers, self.size) != before

    def next_placement_at(self) -> float:
        """Returns the time of the next placement (ms)."""
        return self.placed_at + self.period

    def lateness(self, now: float) -> float:
        """Returns the time since the last placement, in multiples of the cell's period."""
        return (now - self.placed_at) / max(self.period, MIN_PERIOD)

    def functions_requested_since(self, time: float) -> list[Function]:
        """Returns the cell's functions that were last requested after `time` (ms)."""
        return [function for function in self.functions.values() if function.last_request_at > time]

    def sum_reports(self, since: float) -> None:
        """Updates the utilization sums; reports received after `since` (ms) count as recent."""
        means = [worker.utilization for worker in self.ready_workers if worker.load_reports]
        recent = [
            report.utilization
            for worker in self.ready_workers
            for report in worker.load_reports
            if report.received_at > since and report.utilization is not None
        ]
        self.utilization = sum(means), len(means)
        self.reported_utilization = sum(recent), len(recent)
