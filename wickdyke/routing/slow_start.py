"""Slow start: limits the work sent to a worker that warms up, so that all front ends together do not overload it."""

from collections import deque
from math import ceil, gcd

from wickdyke.routing.cells import Cell
from wickdyke.routing.latency import DEFAULT_WORK_FRACTION, WORKER_RECORDS
from wickdyke.routing.model import EndpointState, Request, Worker, WorkSample
from wickdyke.routing.samples import mean, pooled_mean, trim
from wickdyke.routing.seeded_random import hash_fraction
from wickdyke.routing.settings import GatewayInstance, SlowStart

USED_CAPACITY_FRACTION = 0.6  # fraction of a warming worker's capacity that is used
MIN_UTILIZATION = 0.3  # lower bound of the fleet's utilization, by which this front end's rate of work is divided
SERVED_WINDOW = 5000.0  # ms for which served requests count
SIZE_DECAY = 0.9  # fraction of the fleet's size that remains at each update after the fleet shrank
MIN_SIZE = 1e-6  # lower bound of the fleet's size, which is a divisor
GOLDEN_RATIO = 0.618034  # conjugate of the golden ratio; spreads the front ends' turns evenly


class SlowStartGuard:
    """Admits attempts at a warming worker up to this front end's share of the worker's present capacity."""

    def __init__(self, settings: SlowStart, instance: GatewayInstance) -> None:
        """Creates a guard for this front end, before the first update of its estimates."""
        self.settings = settings
        self.instance_fraction = _spread_index(instance) / instance.count
        self.even_share = 1 / instance.count
        self.served_work: deque[WorkSample] = deque()
        self.work_rate = 0.0  # work (ms) per ms and unit of size that this front end would send at full utilization
        self.fleet_size = 0.0  # sum of the workers' sizes, which decays slowly after the fleet shrank

    def is_warming_up(self, worker: Worker, now: float) -> bool:
        """Returns whether the worker is in its slow start."""
        return worker.warming_since is not None and now - worker.warming_since < self.settings.ramp

    def attempt_sent(self, worker: Worker, request: Request, now: float) -> None:
        """Counts an attempt, also at a worker that is not known to be warming up.

        A restart may be noticed only later, and the work sent in the meantime counts too.
        """
        trim(worker.slow_start_sends, now - self.settings.window)
        worker.slow_start_sends.append(WorkSample(now, self.mean_work(request)))

    def connection_lost(self, worker: Worker, now: float) -> None:
        """Treats the worker as restarted, as its connections ended.

        Earlier work went to the process that ended and is not counted, unless the worker was already warming up.
        """
        if not self.is_warming_up(worker, now):
            trim(worker.slow_start_sends, now)
        worker.warming_since = now

    def carry_over(self, before: Worker, worker: Worker | None) -> None:
        """Copies the work sent since the start of a worker that is listed as restarted to its new record."""
        if worker is None or worker.warming_since is None:
            return
        sends = [sample for sample in before.slow_start_sends if sample.at >= worker.warming_since]
        if sends:
            worker.open_records(WORKER_RECORDS)
            worker.slow_start_sends.extend(sends)

    def request_served(self, request: Request, now: float) -> None:
        """Counts a request that was answered successfully."""
        self.served_work.append(WorkSample(now, self.mean_work(request)))

    def update_estimates(self, cells: list[Cell], now: float) -> None:
        """Estimates this front end's rate of work from recently served requests and the fleet's utilization."""
        trim(self.served_work, now - SERVED_WINDOW)
        utilization = pooled_mean([cell.utilization for cell in cells], 1.0)
        size = sum(cell.size for cell in cells)
        self.fleet_size = max(size, self.fleet_size * SIZE_DECAY, MIN_SIZE)
        utilization = min(1.0, max(MIN_UTILIZATION, utilization))
        self.work_rate = sum(sample.work for sample in self.served_work) / self.fleet_size / SERVED_WINDOW / utilization

    def admits(self, worker: Worker, request: Request, now: float) -> bool:
        """Returns whether the worker is listed as ready and, while it is warming up, may be sent this request now."""
        if worker.endpoint.state != EndpointState.READY:
            return False
        if worker.warming_since is None or not self.is_warming_up(worker, now):
            return True
        settings = self.settings
        sends = worker.slow_start_sends
        work = self.mean_work(request)
        age = now - worker.warming_since
        trim(sends, now - settings.window)
        share = settings.multiple * (settings.start_share + (1 - settings.start_share) * age / settings.ramp)
        allowed = USED_CAPACITY_FRACTION * share * self.work_rate * worker.endpoint.size * settings.window
        if allowed >= work:
            return sum(send.work for send in sends) + work <= allowed
        return not sends and self._has_turn(worker, allowed / work, age)

    def _has_turn(self, worker: Worker, request_share: float, age: float) -> bool:
        # One request of each of many front ends would be too much, and with independent random choices many could send
        # at once. Each front end therefore has turns, assigned by its index, that are as rare as its share is small.
        # This wastes capacity where all functions are on warming workers.
        offset = self.instance_fraction / self.even_share * GOLDEN_RATIO % 1
        turn = int(age / self.settings.window + offset)
        turn_position = (hash_fraction(worker.name_hash, turn) + self.instance_fraction) % 1
        return turn > 0 and turn_position < max(request_share, self.even_share)

    def mean_work(self, request: Request) -> float:
        """Returns the mean work (ms) of requests of the request's class."""
        request_class = request.request_class
        return max(1.0, mean(request_class.durations, request_class.latency_objective * DEFAULT_WORK_FRACTION))


def _spread_index(instance: GatewayInstance) -> int:
    """Returns a new index for the front end, such that front ends with adjacent indexes have turns far apart.

    Front ends are numbered zone by zone, and those of one zone may carry all the traffic. The stride is coprime to the
    number of front ends, so that the new indexes are unique.
    """
    strides = range(ceil(instance.count * GOLDEN_RATIO), instance.count + 2)
    stride = next(candidate for candidate in strides if gcd(candidate, instance.count) == 1)
    return instance.index * stride % instance.count
