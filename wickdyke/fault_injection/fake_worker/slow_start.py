"""The slow start of a fake worker: its present capacity, and the amount of work that makes it crash."""

from collections import deque
from dataclasses import dataclass

from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.trace import clock


@dataclass(frozen=True, slots=True)
class ReceivedWork:
    """Work that the worker received: its time (ms, monotonic) and amount (ms)."""

    received_at: float
    work_ms: float


class SlowStart:
    """Lets capacity grow linearly from `start_share` to full capacity within `ramp`."""

    def __init__(self, config: FakeWorkerConfig, started_at: float) -> None:
        self.config = config
        self.started_at = started_at
        self.received_work: deque[ReceivedWork] = deque()  # within the window

    def capacity_share(self) -> float:
        """Returns the fraction of full capacity that the worker has now."""
        age = clock() - self.started_at
        start_share = self.config.start_share
        return min(1.0, start_share + (1 - start_share) * age / max(1.0, self.config.ramp))

    def record_work(self, now: float, work_ms: float) -> bool:
        """Records work received at `now`; returns whether the work in the window exceeds the limit in slow start.

        All work received within the window counts, including the work of rejected attempts.
        """
        config = self.config
        self.received_work.append(ReceivedWork(now, work_ms))
        while self.received_work[0].received_at <= now - config.window:
            self.received_work.popleft()
        warming_up = now - self.started_at < config.ramp
        limit_ms = config.multiple * self.capacity_share() * config.cores * config.speed * config.window
        return warming_up and sum(work.work_ms for work in self.received_work) > limit_ms
