"""Slow start: a worker that has just started accepts only a part of its full load."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SlowStart:
    """The accepted share of concurrent requests grows linearly from `start_share` to 1 within `duration` ms.

    A `duration` of 0 disables slow start.
    """

    start_share: float = 0.25
    duration: float = 0.0

    def accepted_share(self, age: float) -> float:
        """The share of its full load that a worker accepts `age` ms after its start."""
        if age >= self.duration:
            return 1.0
        return self.start_share + (1 - self.start_share) * age / self.duration
