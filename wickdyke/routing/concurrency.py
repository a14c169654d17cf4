"""Adaptive limits on attempts in flight: lowered while answers are late at full workers, raised as they are used up."""

from wickdyke.routing.in_flight import ConcurrencyLimited, active_attempts
from wickdyke.routing.latency import MAX_OBJECTIVE_SHARES
from wickdyke.routing.model import (
    Attempt,
    ObjectiveShare,
)
from wickdyke.routing.samples import mean

INITIAL_LIMIT = 8.0  # attempts
MIN_LIMIT = 1.0  # attempts
TARGET_OBJECTIVE_SHARE = 0.33  # fraction of the latency objective that answers should take on average
MIN_DECREASE_FACTOR = 0.5  # smallest factor by which the limit is lowered at once
RAISE_THRESHOLD = 0.7  # fraction of the limit that must be in use for it to be raised
FULL_UTILIZATION = 0.85  # utilization from which late answers are evidence of a queue at the worker


def adapt_limit(pool: ConcurrencyLimited, attempt: Attempt, active: int, timed_out: bool, now: float) -> None:
    """Adapts the limit to an answer, or to an attempt that ended by its route's timeout.

    `active` is the number of this front end's attempts that were active in the pool when the attempt was sent. A full
    queue makes all answers late. Attempts with a timeout that is shorter than that delay would end before they count
    as late, and the limit would grow while the worker is overloaded; attempts that time out therefore count as late.
    This lowers the limit wrongly where answers are lost or the timeout is too short.
    """
    objective_share = (now - attempt.sent_at) / attempt.request.request_class.latency_objective
    pool.objective_shares.append(ObjectiveShare(max(timed_out, objective_share), active))
    average = mean([sample.share for sample in pool.objective_shares], 0.0)
    if len(pool.objective_shares) == MAX_OBJECTIVE_SHARES and average > TARGET_OBJECTIVE_SHARE and _is_full(pool):
        used = min(pool.concurrency_limit, 1 + mean([sample.active for sample in pool.objective_shares], 0.0))
        pool.concurrency_limit = max(MIN_LIMIT, used * max(MIN_DECREASE_FACTOR, TARGET_OBJECTIVE_SHARE / average))
        pool.limit_lowered_at = now
        pool.objective_shares.clear()
    elif active_attempts(pool, now) >= pool.concurrency_limit * RAISE_THRESHOLD and average <= TARGET_OBJECTIVE_SHARE:
        pool.concurrency_limit += 1 / pool.concurrency_limit


def _is_full(pool: ConcurrencyLimited) -> bool:
    """Returns whether the pool's cores are used up; otherwise concurrency limits or loads delayed the answers."""
    if not pool.load_reports:
        return True
    utilization = pool.load_reports[-1].utilization
    return utilization is None or utilization >= FULL_UTILIZATION
