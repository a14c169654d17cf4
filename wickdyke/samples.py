"""Arithmetic on short records of samples: no decisions, no values."""

from collections import deque
from collections.abc import Collection


def mean(samples: Collection[float], absent: float) -> float:
    """The mean of the samples, or `absent` where there are none."""
    return sum(samples) / len(samples) if samples else absent


def trim(samples: deque, before: float) -> None:
    """Drops the samples, tuples that begin with their time in ms, of that time and earlier."""
    while samples and samples[0][0] <= before:
        samples.popleft()
