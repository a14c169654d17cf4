"""An adaptive limit on attempts in flight: lowered while answers come late at a full worker, raised as it is used."""

from wickdyke.routing.in_flight import ConcurrencyLimited, active_attempts
from wickdyke.routing.latency import MAX_OBJECTIVE_SHARES
from wickdyke.routing.model import (
    Attempt,
    ObjectiveShare,
)
from wickdyke.routing.samples import mean

INITIAL_LIMIT = 8.0  # attempts
MIN_LIMIT = 1.0  # attempts
TARGET_OBJECTIVE_SHARE = 0.33  # of the latency objective that answers should take on average
MIN_DECREASE_FACTOR = 0.5  # part of the limit that one cut leaves at least
RAISE_THRESHOLD = 0.7  # part of the limit in use from which it is raised
FULL_UTILIZATION = 0.85  # from which late answers show a queue at the worker


def adapt_limit(pool: ConcurrencyLimited, attempt: Attempt, active: int, timed_out: bool, now: float) -> None:
    """Adapts the limit to an answer, or to an attempt that its route's time-out ended.

    `active`: our attempts that were active there as it was sent. A full queue makes all answers late. Attempts with a
    shorter time-out than that would end before they are late, and the limit would grow while the worker is overloaded:
    so those count as late too. That lowers the limit wrongly where answers are lost, or the time-out is too short.
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
    """Whether its cores are used up; otherwise concurrency or loads delayed the answers."""
    if not pool.load_reports:
        return True
    utilization = pool.load_reports[-1].utilization
    return utilization is None or utilization >= FULL_UTILIZATION
