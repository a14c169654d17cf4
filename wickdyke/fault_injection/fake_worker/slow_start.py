"""The slow start of a fake worker: how much capacity it has, and how much work makes it crash."""

from collections import deque
from dataclasses import dataclass

from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.trace import clock


@dataclass(frozen=True, slots=True)
class ReceivedWork:
    """Work that was sent to the worker: when (ms, monotonic) and how much (ms)."""

    received_at: float
    work_ms: float


class SlowStart:
    """Capacity grows linearly from `start_share` to all of it within `ramp`."""

    def __init__(self, config: FakeWorkerConfig, started_at: float) -> None:
        self.config = config
        self.started_at = started_at
        self.received: deque[ReceivedWork] = deque()  # within the window

    def capacity_share(self) -> float:
        """The part of full capacity that the worker has now."""
        age = clock() - self.started_at
        start_share = self.config.start_share
        return min(1.0, start_share + (1 - start_share) * age / max(1.0, self.config.ramp))

    def is_overloaded_by(self, now: float, work_ms: float) -> bool:
        """Notes work received at `now`; whether that is more than a worker in slow start withstands.

        All work sent within the window counts, also that of attempts that are rejected.
        """
        config = self.config
        self.received.append(ReceivedWork(now, work_ms))
        while self.received[0].received_at <= now - config.window:
            self.received.popleft()
        warming_up = now - self.started_at < config.ramp
        limit_ms = config.multiple * self.capacity_share() * config.cores * config.speed * config.window
        return warming_up and sum(received.work_ms for received in self.received) > limit_ms
