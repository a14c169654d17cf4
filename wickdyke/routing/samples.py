"""Arithmetic on short records of samples."""

from collections import deque
from collections.abc import Collection, Hashable, Iterable
from typing import Any, TypeVar

Sums = tuple[float, float]
Sample = TypeVar("Sample")
Key = TypeVar("Key", bound=Hashable)


class Recent(list[Sample]):
    """The newest samples, at most `maximum` of them if that is given.

    A deque takes 600 bytes for one sample, this takes 100: most functions and workers of a large fleet have one or two.
    """

    __slots__ = ("maximum",)

    def __init__(self, maximum: int | None = None) -> None:
        """An empty record."""
        super().__init__()
        self.maximum = maximum

    def append(self, sample: Sample) -> None:
        """Adds the newest sample; drops the oldest one where the record is full."""
        if self.maximum is not None and len(self) >= self.maximum:
            del self[0]
        super().append(sample)

    def extend(self, samples: Iterable[Sample]) -> None:
        """Adds samples, the newest last."""
        for sample in samples:
            self.append(sample)

    def popleft(self) -> Sample:
        """Removes and returns the oldest sample."""
        return self.pop(0)


Samples = deque[Sample] | Recent[Sample]
NO_SAMPLES: Recent[Any] = Recent(0)  # stands for the records of a worker that has none: nothing can be added to it


def mean(samples: Collection[float], absent: float) -> float:
    """The mean of the samples, or `absent` where there are none."""
    return sum(samples) / len(samples) if samples else absent


def pooled_mean(parts: Iterable[tuple[float, int]], absent: float) -> float:
    """The mean of samples of which each part gives sum and count, or `absent` where there are none."""
    sums, counts = zip(*parts, strict=True)
    return sum(sums) / sum(counts) if sum(counts) else absent


def sum_by_key(parts: Iterable[dict[Key, Sums]]) -> dict[Key, Sums]:
    """The sums of the pairs that the parts have under each key."""
    totals: dict[Key, Sums] = {}
    for part in parts:
        for key, (first, second) in part.items():
            first_total, second_total = totals.get(key, (0.0, 0.0))
            totals[key] = first_total + first, second_total + second
    return totals


def trim(samples: Samples[Any], before: float) -> None:
    """Drops the samples, tuples that begin with their time (ms), up to and including `before`."""
    while samples and samples[0][0] <= before:
        samples.popleft()


def trim_times(times: Samples[float], before: float) -> None:
    """Drops the times (ms) up to and including `before`."""
    while times and times[0] <= before:
        times.popleft()
