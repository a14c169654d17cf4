"""An adaptive limit on attempts in flight: lowered while answers come late at a full worker, raised as it is used."""

from wickdyke.routing.latency import OBJECTIVE_SHARES_KEPT
from wickdyke.routing.model import Attempt, ConcurrencyLimited, ObjectiveShare, active_attempts
from wickdyke.routing.samples import mean

LIMIT_START = 8.0  # attempts
LIMIT_LEAST = 1.0
EARLY = 0.33  # of the latency objective that answers should take on average
CUT_MOST = 0.5  # part that one cut leaves at least
NEARLY_USED = 0.7  # part of the limit in use from which it is raised
FULL_UTILIZATION = 0.85  # from which late answers tell of the worker's own queue


def adapt_limit(pool: ConcurrencyLimited, attempt: Attempt, active: int, timed_out: bool, now: float) -> None:
    """Adapts the limit to an answer, or to an attempt that its route's time-out ended.

    `active`: our attempts that were active there as it was sent. A full queue makes all answers late. Attempts that are
    shorter than that would never be late, only over: limits would grow while workers drown in what was given up; so
    those count as late too. That misleads where answers are lost at a full worker, or the time-out is too short.
    """
    spent = (now - attempt.sent_at) / attempt.request.request_class.latency_objective
    pool.objective_shares.append(ObjectiveShare(max(timed_out, spent), active))
    average = mean([sample.share for sample in pool.objective_shares], 0.0)
    if len(pool.objective_shares) == OBJECTIVE_SHARES_KEPT and average > EARLY and _is_full(pool):
        used = min(pool.concurrency_limit, 1 + mean([each.active for each in pool.objective_shares], 0.0))
        pool.concurrency_limit = max(LIMIT_LEAST, used * max(CUT_MOST, EARLY / average))
        pool.limit_lowered_at = now
        pool.objective_shares.clear()
    elif active_attempts(pool, now) >= pool.concurrency_limit * NEARLY_USED and average <= EARLY:
        pool.concurrency_limit += 1 / pool.concurrency_limit


def _is_full(pool: ConcurrencyLimited) -> bool:
    """Whether its cores are used up; otherwise it was concurrency or loads that kept the answers."""
    if not pool.load_reports:
        return True
    utilization = pool.load_reports[-1].utilization
    return utilization is None or utilization >= FULL_UTILIZATION
