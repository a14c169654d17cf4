"""Slow start: how a worker that has just started takes load."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Ramp:
    """At first `start_share` of the concurrent requests, all of them after `ramp` ms. A ramp of 0 ms is none."""

    start_share: float = 0.25
    ramp: float = 0.0

    def share(self, age: float) -> float:
        """The part of its full load that a worker takes at this age in ms."""
        if age >= self.ramp:
            return 1.0
        return self.start_share + (1 - self.start_share) * age / self.ramp
