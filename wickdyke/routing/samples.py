"""Arithmetic on short records of samples."""

from collections import deque
from collections.abc import Collection, Hashable, Iterable

Sums = tuple[float, float]


class Recent(list):
    """The newest samples, `most` of them if it is given.

    A deque would take 600 bytes for one sample, this takes 100: most functions and workers of a large fleet have one
    or two.
    """

    __slots__ = ("most",)

    def __init__(self, most: int | None = None) -> None:
        super().__init__()
        self.most = most

    def append(self, sample: object) -> None:
        """Adds the newest; the oldest goes where there are too many."""
        if self.most is not None and len(self) >= self.most:
            del self[0]
        super().append(sample)

    def extend(self, samples: Iterable) -> None:
        """Adds samples, the newest last."""
        for sample in samples:
            self.append(sample)

    def popleft(self) -> object:
        """Removes and returns the oldest."""
        return self.pop(0)


def mean(samples: Collection[float], absent: float) -> float:
    """The mean of the samples, or `absent` where there are none."""
    return sum(samples) / len(samples) if samples else absent


def pooled_mean(parts: Iterable[tuple[float, int]], absent: float) -> float:
    """The mean of samples of which each part gives sum and count, or `absent` where there are none."""
    sums, counts = zip(*parts, strict=True)
    return sum(sums) / sum(counts) if sum(counts) else absent


def sum_by_key(parts: Iterable[dict[Hashable, Sums]]) -> dict[Hashable, Sums]:
    """The sums of the pairs that the parts have under each key."""
    total: dict[Hashable, Sums] = {}
    for part in parts:
        for key, (first, second) in part.items():
            one, other = total.get(key, (0.0, 0.0))
            total[key] = one + first, other + second
    return total


def trim(samples: "deque | Recent", before: float) -> None:
    """Drops the samples, tuples that begin with their time in ms, of that time and earlier."""
    while samples and samples[0][0] <= before:
        samples.popleft()


def trim_times(times: deque[float], before: float) -> None:
    """Drops the times (ms) up to and including `before`."""
    while times and times[0] <= before:
        times.popleft()
