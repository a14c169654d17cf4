"""The attempts in flight, and the number of active ones at each worker and at all workers, for the adaptive limits."""

from collections import deque
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import inf

from wickdyke.routing.model import Attempt, LoadReport, ObjectiveShare, Outcome, OverdueEntry, Worker

MIN_QUEUE_TO_COMPACT = 64  # entries; in shorter queues those of ended attempts stay until they are due


@dataclass(slots=True, eq=False, repr=False)
class GlobalConcurrency:
    """The attempts of this front end at all workers, and the limit on them."""

    load_reports: deque[LoadReport]  # means of the workers' reports
    objective_shares: deque[ObjectiveShare]
    concurrency_limit: float = inf
    limit_lowered_at: float = 0.0  # ms
    in_flight: list[Attempt] = field(default_factory=list)
    overdue_queue: list[OverdueEntry] = field(default_factory=list)  # a heap
    active_count: int = 0


ConcurrencyLimited = Worker | GlobalConcurrency


def begin_attempt(attempt: Attempt) -> None:
    """Adds an attempt that is sent to the records of its request, replica and worker."""
    attempt.request.attempts.append(attempt)
    attempt.replica.in_flight += 1
    attempt.replica.worker.in_flight.append(attempt)


def finish_attempt(attempt: Attempt, outcome: Outcome) -> None:
    """Records the outcome of an attempt, which is no longer in flight."""
    if attempt.outcome is None:
        attempt.replica.in_flight -= 1
        attempt.replica.worker.in_flight.remove(attempt)
    attempt.outcome = outcome


def active_attempts(pool: ConcurrencyLimited, now: float) -> int:
    """Returns the number of own attempts that use the pool's cores: neither waiting for a load nor overdue.

    The count is maintained incrementally, as thousands of attempts may be in flight.
    """
    while pool.overdue_queue and pool.overdue_queue[0][0] < now:
        attempt = heappop(pool.overdue_queue).attempt
        pool.active_count -= attempt.expected_loaded and attempt.outcome is None
    return pool.active_count


def begin_activity(attempt: Attempt, pools: tuple[ConcurrencyLimited, ...]) -> None:
    """Adds a warm attempt to the active attempts of the pools."""
    entry = OverdueEntry(attempt.overdue_at, attempt.request.ident, attempt.number, attempt)
    for pool in pools:
        heappush(pool.overdue_queue, entry)
        pool.active_count += 1
        if len(pool.overdue_queue) > MIN_QUEUE_TO_COMPACT + 2 * pool.active_count:
            _drop_ended(pool)


def _drop_ended(pool: ConcurrencyLimited) -> None:
    """Removes the entries of attempts that have ended, which may not be due for hours."""
    pool.overdue_queue = [
        entry for entry in pool.overdue_queue if entry.attempt.expected_loaded and entry.attempt.outcome is None
    ]
    heapify(pool.overdue_queue)


def end_activity(attempt: Attempt, pools: tuple[ConcurrencyLimited, ...], now: float) -> None:
    """Removes an attempt from the active attempts of the pools."""
    if not attempt.expected_loaded or attempt.outcome is not None:
        return
    for pool in pools:
        active_attempts(pool, now)
        pool.active_count -= attempt.overdue_at >= now
