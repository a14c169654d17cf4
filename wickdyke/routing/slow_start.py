"""What a worker that is warming up may be sent, so that all front ends together do not overload it."""

from collections import deque
from math import ceil, gcd

from wickdyke.routing.cells import Cell
from wickdyke.routing.latency import WORK_GUESS, WORKER_RECORDS
from wickdyke.routing.model import EndpointState, Request, Worker, WorkSample
from wickdyke.routing.samples import mean, pooled_mean, trim
from wickdyke.routing.seeded_random import hash_fraction
from wickdyke.routing.settings import GatewayInstance, SlowStart

MARGIN = 0.6  # part of what a warming worker stands that is used
UTILIZATION_LEAST = 0.3  # utilization that our rate is divided by at least
SERVED_WINDOW = 5000.0  # ms for which what we served counts
SIZE_KEPT = 0.9  # of a fleet's size that is still believed a survey after it shrank
SIZE_LEAST = 1e-6
GOLDEN_RATIO = 0.618034  # spreads the instances' turns evenly


class SlowStartGuard:
    """Every attempt passes here: what a warming worker gets stays within our part of what it stands."""

    def __init__(self, settings: SlowStart, instance: GatewayInstance) -> None:
        self.settings = settings
        self.instance_fraction = _spread_index(instance) / instance.count
        self.even_share = 1 / instance.count
        self.served: deque[WorkSample] = deque()
        self.rate = 0.0  # work that we send for each size of a worker and ms, were the fleet fully used
        self.size = 0.0  # of the fleet

    def is_warming_up(self, worker: Worker, now: float) -> bool:
        """Whether the worker is in its slow start."""
        return worker.warming_since is not None and now - worker.warming_since < self.settings.ramp

    def attempt_sent(self, worker: Worker, request: Request, now: float) -> None:
        """Counts an attempt, also at a worker that is not known to warm up.

        We may learn late that it has started anew, and what we sent meanwhile counts too.
        """
        trim(worker.slow_start_sends, now - self.settings.window)
        worker.slow_start_sends.append(WorkSample(now, self.mean_work(request)))

    def connection_lost(self, worker: Worker, now: float) -> None:
        """The worker's connections ended: it counts as started anew.

        What it got before went to the process that ended with them. Once it is known to warm up, all counts.
        """
        if not self.is_warming_up(worker, now):
            trim(worker.slow_start_sends, now)
        worker.warming_since = now

    def carry_over(self, before: Worker, worker: Worker | None) -> None:
        """The worker is listed as started anew: what was sent since its start counts for its new record."""
        if worker is None or worker.warming_since is None:
            return
        sends = [sent for sent in before.slow_start_sends if sent.at >= worker.warming_since]
        if sends:
            worker.open_records(WORKER_RECORDS)
            worker.slow_start_sends.extend(sends)

    def request_served(self, request: Request, now: float) -> None:
        """Counts a request that was answered ok."""
        self.served.append(WorkSample(now, self.mean_work(request)))

    def survey(self, cells: list[Cell], now: float) -> None:
        """Estimates our rate from what was served of late and how busy all workers are."""
        trim(self.served, now - SERVED_WINDOW)
        utilization = pooled_mean([cell.utilization for cell in cells], 1.0)
        size = sum(cell.size for cell in cells)
        self.size = max(size, self.size * SIZE_KEPT, SIZE_LEAST)
        used = min(1.0, max(UTILIZATION_LEAST, utilization))
        self.rate = sum(each.work for each in self.served) / self.size / SERVED_WINDOW / used

    def admits(self, worker: Worker, request: Request, now: float) -> bool:
        """Whether the worker is ready and, while it is warming up, may be sent this request now."""
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
        allowed = MARGIN * share * self.rate * worker.endpoint.size * settings.window
        if allowed >= work:
            return sum(send.work for send in sends) + work <= allowed
        return not sends and self._has_turn(worker, allowed / work, age)

    def _has_turn(self, worker: Worker, part: float, age: float) -> bool:
        # One request of each of many front ends is too much, also if many draw well at once: by instance index each has
        # whole turns, rare as its part is small. That wastes room where all functions are on warming workers.
        offset = self.instance_fraction / self.even_share * GOLDEN_RATIO % 1
        turn = int(age / self.settings.window + offset)
        drawn = (hash_fraction(worker.name_hash, turn) + self.instance_fraction) % 1
        return turn > 0 and drawn < max(part, self.even_share)

    def mean_work(self, request: Request) -> float:
        """ms of work that a request of this class takes on the mean."""
        request_class = request.request_class
        return max(1.0, mean(request_class.durations, request_class.latency_objective * WORK_GUESS))


def _spread_index(instance: GatewayInstance) -> int:
    """Renumbers the front ends, so that neighbours do not have their turns at once.

    Front ends are numbered zone by zone, and those of one zone may carry all the traffic. The stride has no factor in
    common with their number, so that each gets a number of its own.
    """
    strides = range(ceil(instance.count * GOLDEN_RATIO), instance.count + 2)
    stride = next(each for each in strides if gcd(each, instance.count) == 1)
    return instance.index * stride % instance.count
