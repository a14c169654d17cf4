"""Prewarming: which replicas are to be loaded ahead of their requests, and how many prewarms may be sent."""

from bisect import insort
from collections import Counter, deque
from dataclasses import dataclass

from wickdyke.routing.cells import Cell
from wickdyke.routing.control_budget import ControlBudget
from wickdyke.routing.decisions import Decision, Prewarm
from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import EndpointState, Function, Replica, Worker
from wickdyke.routing.samples import trim_times
from wickdyke.routing.settings import FunctionCache, PrewarmQuota

RENEW_AFTER = 0.7  # of the idle timeout after which a replica is prewarmed again to keep it
LOST_AFTER = 4.0  # load times after which a load that told nothing counts as lost
PER_WORKER = 2  # new replicas a worker and period
COPIES_MOST = 16  # that one prewarm asks for
KEPT_FOR_NEW = 0.34  # of the quota, which renewals may not use
WINDOW_EDGE = 1e-3  # ms by which a prewarm counts for longer, to the safe side at the very edge


@dataclass(slots=True, frozen=True)
class PrewarmPlan:
    """A prewarm that is wanted: so many copies at that replica; `renewal` where they are loaded already."""

    replica: Replica
    copies: int
    renewal: bool


class PrewarmLimiter:
    """Keeps prewarms within the quota: `free` ones and a share of the requests within its window.

    Only requests of verified functions count. Clients that ask for what nobody has would earn prewarms otherwise, as
    would functions that are broken. That misleads where nothing may be sent before something was earned and no replica
    is loaded anywhere.
    """

    def __init__(self, quota: PrewarmQuota) -> None:
        self.quota = quota
        self.requests: deque[float] = deque()  # when they were received (ms)
        self.sent: deque[float] = deque()  # when prewarms were (ms)

    def request_received(self, function: Function, now: float) -> None:
        """Counts a request, if its function is verified."""
        if function.verified:
            self.requests.append(now)

    def verify(self, function: Function, now: float) -> None:
        """The function was answered or loaded: its requests within the window count from now on."""
        if not function.verified:
            function.verified = True
            since = now - self.quota.window
            for at in function.recent_calls:
                if at > since:
                    insort(self.requests, at)

    def trim(self, now: float) -> None:
        """Drops what is out of the window."""
        trim_times(self.requests, now - self.quota.window)

    def may_send(self, worker: Worker, renewal: bool, now: float) -> bool:
        """Whether one more may be sent to that worker now."""
        if worker.endpoint.state != EndpointState.READY:
            return False
        self.trim(now)
        trim_times(self.sent, now - self.quota.window - WINDOW_EDGE)
        if not self.quota.window:
            return True
        most = self.quota.free + self.quota.share * len(self.requests)
        return len(self.sent) + 1 <= most * (1 - KEPT_FOR_NEW * renewal)


class Prewarmer:
    """Plans prewarms for what is placed, and sends them as far as the quota and the control budget allow."""

    def __init__(
        self,
        cache: FunctionCache,
        limiter: PrewarmLimiter,
        budget: ControlBudget,
        latency: LatencyEstimator,
        decisions: deque[Decision],
    ) -> None:
        self.cache, self.limiter, self.budget, self.latency = cache, limiter, budget, latency
        self.decisions = decisions

    def plan(self, cell: Cell, now: float) -> list[PrewarmPlan]:
        """What is wanted for the functions of a cell, the most called first."""
        plans: list[PrewarmPlan] = []
        new: Counter[Worker] = Counter()
        for function in sorted(cell.functions.values(), key=lambda each: (-len(each.recent_calls), each.name)):
            if now - function.last_called >= self.cache.idle_timeout:
                continue
            for replica in function.replicas:
                if replica.placed and replica.prewarm_sent_at is None and replica.full_until <= now:
                    self._plan_replica(replica, new, plans, now)
        return plans

    def _plan_replica(self, replica: Replica, new: Counter[Worker], plans: list[PrewarmPlan], now: float) -> None:
        function = replica.function
        loaded = self.latency.is_loaded(replica, now)
        renewal = loaded and replica.loaded >= replica.wanted
        called_again = len(function.recent_calls) > 1  # else the one request, having missed, ordered what it needs
        if renewal:
            wanted = called_again and now - replica.last_used >= RENEW_AFTER * self.cache.idle_timeout
        else:
            since = replica.loading_since
            lost = since is None or now - since > LOST_AFTER * self.latency.load_time(function)
            wanted = (called_again or self.cache.loads_on_demand) and new[replica.worker] < PER_WORKER
            wanted = wanted and (loaded or lost)
        if wanted:
            new[replica.worker] += not renewal
            plans.append(PrewarmPlan(replica, replica.wanted, renewal))

    def send(self, plan: PrewarmPlan, now: float) -> None:
        """Sends a prewarm, if it is within the quota and paid for."""
        replica = plan.replica
        paid = self.budget.covers_one() or not self.cache.loads_on_demand
        if not paid or not self.limiter.may_send(replica.worker, plan.renewal, now):
            return
        self.limiter.sent.append(now)
        self.budget.spend()
        replica.prewarm_sent_at = now
        if not plan.renewal and not replica.loaded:
            replica.loading_since = now
        copies = min(plan.copies, COPIES_MOST)
        self.decisions.append(Prewarm(replica.worker, replica.function, copies))
