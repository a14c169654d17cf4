"""Slow start: how a worker that has just started accepts load."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SlowStart:
    """At first `start_share` of the concurrent requests, all of them after `duration` ms; 0 ms is no slow start."""

    start_share: float = 0.25
    duration: float = 0.0

    def share(self, age: float) -> float:
        """The part of its full load that a worker accepts, by the ms since its start."""
        if age >= self.duration:
            return 1.0
        return self.start_share + (1 - self.start_share) * age / self.duration
