"""The order of workers for a function, by weighted rendezvous hashing: the same for all front ends."""

from math import log

from wickdyke.routing.model import Endpoint, Function, Worker
from wickdyke.routing.seeded_random import hash_fraction, hash_fractions

MIN_SIZE = 1e-6
FIRST_RANK = -1.0  # before all ranks by hash, which are not negative


def size_of(endpoint: Endpoint) -> float:
    """The size that a worker's share follows; above 0 whatever the list states."""
    return max(endpoint.size, MIN_SIZE)


def rendezvous_rank(function: Function, worker: Worker) -> float:
    """The rank of a worker for a function: the lowest is first.

    It depends on the names and the size alone, so all front ends agree, and larger workers are first more often.
    """
    return -log(hash_fraction(function.name_hash, worker.name_hash)) / size_of(worker.endpoint)


class Candidates:
    """Workers to be ranked for many functions.

    Where a zone is given, workers of other zones count as if their size were the part `elsewhere` of itself.
    """

    def __init__(self, workers: list[Worker], zone: int | None = None, other_zones_weight: float = 1.0) -> None:
        """Workers of other zones than `zone` count with the part `elsewhere` of their size."""
        self.workers = workers
        self.zoned = zone is not None
        self.hashes = [worker.name_hash for worker in workers]
        self.sizes = [size_of(worker.endpoint) for worker in workers]
        self.parts = [other_zones_weight if zone not in (None, worker.endpoint.zone) else 1.0 for worker in workers]

    def ranked(self, function: Function) -> list[Worker]:
        """The workers by rank, after the function's nearest; by rank alone where a zone is given."""
        fractions = hash_fractions(function.name_hash, self.hashes)
        ranks = [-log(fraction) / size for fraction, size in zip(fractions, self.sizes, strict=True)]
        if self.zoned:
            ranks = [rank / part for rank, part in zip(ranks, self.parts, strict=True)]
        elif function.nearest_worker in self.workers:
            ranks[self.workers.index(function.nearest_worker)] = FIRST_RANK
        order = sorted(range(len(ranks)), key=ranks.__getitem__)
        return [self.workers[index] for index in order]
