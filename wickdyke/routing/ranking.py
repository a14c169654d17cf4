"""The order in which workers are taken for a function, by weighted rendezvous hashing: alike for all front ends."""

from math import log

from wickdyke.routing.model import Endpoint, Function, Worker
from wickdyke.routing.seeded_random import hash_fraction, hash_fractions

SIZE_LEAST = 1e-6
BEFORE_ALL = -1.0  # a rank before all others


def size_of(endpoint: Endpoint) -> float:
    """The size by which a worker takes its share; above nought, whatever the list says."""
    return max(endpoint.size, SIZE_LEAST)


def rendezvous_rank(function: Function, worker: Worker) -> float:
    """Where a worker ranks for a function: lower comes first.

    It depends on the names and the size alone, so all front ends agree, and larger workers come first more often.
    """
    return -log(hash_fraction(function.name_hash, worker.name_hash)) / size_of(worker.endpoint)


class Candidates:
    """Workers to be ranked for many functions.

    Where a zone is given, workers of other zones count as if their size were the part `elsewhere` of itself.
    """

    def __init__(self, workers: list[Worker], zone: int | None = None, elsewhere: float = 1.0) -> None:
        self.workers, self.zoned = workers, zone is not None
        self.hashes = [worker.name_hash for worker in workers]
        self.sizes = [size_of(worker.endpoint) for worker in workers]
        self.parts = [elsewhere if zone not in (None, worker.endpoint.zone) else 1.0 for worker in workers]

    def ranked(self, function: Function) -> list[Worker]:
        """The workers by rank, behind the function's nearest; where zones count the rank alone tells."""
        fractions = hash_fractions(function.name_hash, self.hashes)
        ranks = [-log(fraction) / size for fraction, size in zip(fractions, self.sizes, strict=True)]
        if self.zoned:
            ranks = [rank / part for rank, part in zip(ranks, self.parts, strict=True)]
        elif function.nearest in self.workers:
            ranks[self.workers.index(function.nearest)] = BEFORE_ALL
        return [self.workers[at] for at in sorted(range(len(ranks)), key=ranks.__getitem__)]
