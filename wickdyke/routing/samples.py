"""Short records of samples, and arithmetic on them."""

from collections import deque
from collections.abc import Collection, Hashable, Iterable
from typing import Any, TypeVar

Sums = tuple[float, float]
Sample = TypeVar("Sample")
Key = TypeVar("Key", bound=Hashable)


class Recent(list[Sample]):
    """A list of the newest samples, at most `maximum` of them if that is given.

    It takes 100 bytes for one sample where a deque takes 600; most functions and workers of a large fleet have only one
    or two samples.
    """

    __slots__ = ("maximum",)

    def __init__(self, maximum: int | None = None) -> None:
        """Creates an empty record."""
        super().__init__()
        self.maximum = maximum

    def append(self, sample: Sample) -> None:
        """Adds the newest sample; removes the oldest one if the record is full."""
        if self.maximum is not None and len(self) >= self.maximum:
            del self[0]
        super().append(sample)

    def extend(self, samples: Iterable[Sample]) -> None:
        """Adds samples, of which the last is the newest."""
        for sample in samples:
            self.append(sample)

    def popleft(self) -> Sample:
        """Removes and returns the oldest sample."""
        return self.pop(0)


Samples = deque[Sample] | Recent[Sample]
NO_SAMPLES: Recent[Any] = Recent(0)  # shared placeholder for the records of workers without samples; never filled


def mean(samples: Collection[float], default: float) -> float:
    """Returns the mean of the samples, or `default` where there are none."""
    return sum(samples) / len(samples) if samples else default


def pooled_mean(parts: Iterable[tuple[float, int]], default: float) -> float:
    """Returns the mean of samples from the sum and count of each part, or `default` where there are no samples."""
    sums, counts = zip(*parts, strict=True)
    return sum(sums) / sum(counts) if sum(counts) else default


def sum_by_key(parts: Iterable[dict[Key, Sums]]) -> dict[Key, Sums]:
    """Returns for each key the elementwise sums of the parts' pairs."""
    totals: dict[Key, Sums] = {}
    for part in parts:
        for key, (first, second) in part.items():
            first_total, second_total = totals.get(key, (0.0, 0.0))
            totals[key] = first_total + first, second_total + second
    return totals


def trim(samples: Samples[Any], before: float) -> None:
    """Removes samples up to and including the time `before` (ms); samples are tuples that begin with their time."""
    while samples and samples[0][0] <= before:
        samples.popleft()


def trim_times(times: Samples[float], before: float) -> None:
    """Removes the times up to and including `before` (ms)."""
    while times and times[0] <= before:
        times.popleft()
