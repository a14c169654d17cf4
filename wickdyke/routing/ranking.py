"""The order of workers for a function by weighted rendezvous hashing, which is the same for all front ends."""

from math import log

from wickdyke.routing.model import Endpoint, Function, Worker
from wickdyke.routing.seeded_random import hash_fraction, hash_fractions

MIN_SIZE = 1e-6  # lower bound of sizes, which are divisors
FIRST_RANK = -1.0  # below all ranks by hash, which are not negative


def size_of(endpoint: Endpoint) -> float:
    """Returns the worker's size, which its share of the functions is proportional to; always above 0."""
    return max(endpoint.size, MIN_SIZE)


def rendezvous_rank(function: Function, worker: Worker) -> float:
    """Returns the rank of a worker for a function; the lowest rank is first.

    The rank depends only on the names and the worker's size, so all front ends agree. Larger workers are first more
    often.
    """
    return -log(hash_fraction(function.name_hash, worker.name_hash)) / size_of(worker.endpoint)


class Candidates:
    """Workers that are ranked for many functions.

    Where a zone is given, the sizes of workers of other zones are multiplied by `other_zones_weight`.
    """

    def __init__(self, workers: list[Worker], zone: int | None = None, other_zones_weight: float = 1.0) -> None:
        """Prepares the ranking of `workers`; `zone` is None where zones make no difference."""
        self.workers = workers
        self.has_zone = zone is not None
        self.hashes = [worker.name_hash for worker in workers]
        self.sizes = [size_of(worker.endpoint) for worker in workers]
        self.zone_weights = [
            other_zones_weight if zone not in (None, worker.endpoint.zone) else 1.0 for worker in workers
        ]

    def ranked(self, function: Function) -> list[Worker]:
        """Returns the workers by rank, the function's nearest worker first; by rank alone where a zone is given."""
        fractions = hash_fractions(function.name_hash, self.hashes)
        ranks = [-log(fraction) / size for fraction, size in zip(fractions, self.sizes, strict=True)]
        if self.has_zone:
            ranks = [rank / weight for rank, weight in zip(ranks, self.zone_weights, strict=True)]
        elif function.nearest_worker in self.workers:
            ranks[self.workers.index(function.nearest_worker)] = FIRST_RANK
        order = sorted(range(len(ranks)), key=ranks.__getitem__)
        return [self.workers[index] for index in order]
