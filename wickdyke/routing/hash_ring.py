"""Multi-probe consistent hashing (Appleton and O'Reilly, arXiv:1505.00062, 2015) of functions to workers.

A worker has one point on a ring of 2**64 points, a function has several. A worker's distance from a function is the
shortest way from one of the function's points up to the worker's point, divided by the worker's size. Workers therefore
get shares of the functions in proportion to their sizes. A worker that joins or leaves moves only its own share.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from math import inf
from struct import unpack

POINT_BITS = 64
RING = 2**POINT_BITS
DIGEST_POINTS = 8  # points that one digest of 64 bytes yields


def points_of(name: str, count: int) -> list[int]:
    """Returns the first `count` points on the ring of the function `name`."""
    text = name.encode()
    digests = (
        blake2b(text, digest_size=DIGEST_POINTS * POINT_BITS // 8, salt=bytes([number])).digest()
        for number in range(-(-count // DIGEST_POINTS))
    )
    return [point for digest in digests for point in unpack(f">{DIGEST_POINTS}Q", digest)][:count]


class HashRing:
    """The points of all workers in ascending order, each with its owner's identifier and size."""

    def __init__(self) -> None:
        """Creates a ring without workers."""
        self.points: list[int] = []
        self.owners: list[str] = []
        self.sizes: dict[str, float] = {}
        self.size_counts: Counter[float] = Counter()

    def insert(self, point: int, ident: str, size: float) -> None:
        """Adds a worker's point."""
        index = self._index(point, ident)
        self.points.insert(index, point)
        self.owners.insert(index, ident)
        self.sizes[ident] = size
        self.size_counts[size] += 1

    def remove(self, point: int, ident: str) -> None:
        """Removes a worker's point."""
        index = self._index(point, ident)
        del self.points[index], self.owners[index]
        self._forget_size(self.sizes.pop(ident))

    def resize(self, ident: str, size: float) -> None:
        """Changes a worker's size."""
        self._forget_size(self.sizes[ident])
        self.sizes[ident] = size
        self.size_counts[size] += 1

    def _forget_size(self, size: float) -> None:
        self.size_counts[size] -= 1
        if not self.size_counts[size]:
            del self.size_counts[size]

    def _index(self, point: int, ident: str) -> int:
        index = bisect_left(self.points, point)
        while index < len(self.points) and self.points[index] == point and self.owners[index] < ident:
            index += 1
        return index

    def nearest(self, points: list[int], excluded: Callable[[str], bool]) -> str | None:
        """Returns the identifier of the worker nearest to a function's points that is not excluded, or None."""
        ring = self.points
        largest = max(self.size_counts)
        shortest = inf
        nearest = None
        for point in points:
            start = bisect_left(ring, point)
            for index in range(start - len(ring), start):  # a negative index wraps around the ring
                arc = (ring[index] - point) % RING
                if arc >= shortest * largest:
                    break
                ident = self.owners[index]
                distance = arc / self.sizes[ident]
                if distance < shortest and not excluded(ident):
                    shortest = distance
                    nearest = ident
        return nearest
