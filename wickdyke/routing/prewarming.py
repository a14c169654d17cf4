"""Prewarming: which replicas to load ahead of their requests, and how many prewarms may be sent."""

from bisect import bisect_right, insort
from collections import Counter, deque
from dataclasses import dataclass
from math import inf

from wickdyke.routing.cells import Cell
from wickdyke.routing.control_budget import ControlBudget
from wickdyke.routing.decisions import Decision, Prewarm
from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import EndpointState, Function, Replica, Worker
from wickdyke.routing.readiness import Readiness
from wickdyke.routing.samples import trim_times
from wickdyke.routing.settings import FunctionCache, PrewarmQuota

RENEWAL_IDLE_FRACTION = 0.7  # fraction of the idle timeout after which a loaded replica is prewarmed again to keep it
LOST_LOAD_FACTOR = 4.0  # multiple of the load time after which a load without a result counts as lost
MAX_NEW_PER_WORKER = 2  # new replicas per worker and placement
MAX_REPLICAS = 16  # replicas that one prewarm requests
FRACTION_FOR_NEW = 0.34  # fraction of the quota that is reserved for new replicas; renewals may not use it
MAX_HELD_PLANS = 8  # prewarms that wait until their workers are known as ready
WINDOW_MARGIN = 1e-3  # ms by which a prewarm counts longer than the window, so that rounding never exceeds the quota


@dataclass(slots=True, frozen=True)
class PrewarmPlan:
    """A planned prewarm of `replicas` replicas on one worker; `renewal`: whether they are already loaded."""

    replica: Replica
    replicas: int
    renewal: bool


class PrewarmLimiter:
    """Limits prewarms to the quota: `free` prewarms plus a share of the requests within its window.

    Only requests of verified functions count. Otherwise requests of functions that do not exist or are broken would
    earn prewarms. The cost is a slower start where no replica is loaded anywhere and the quota has no free prewarms.
    A request counts from when it arrived: what a busy host reads late is as old as it is.

    A worker counts a prewarm when it arrives, and one may wait up to `max_wait` ms for its connection. So a prewarm
    counts from when it began, and while that is not known as if it began at the last moment.
    """

    def __init__(self, quota: PrewarmQuota, max_wait: float) -> None:
        """Creates a limiter without requests."""
        self.quota = quota
        self.max_wait = max_wait
        self.request_times: deque[float] = deque()  # times at which counted requests arrived (ms), in order
        self.unfinished_times: deque[float] = deque()  # times at which prewarms without a result were decided (ms)
        self.begin_times: list[float] = []  # times at which other prewarms began (ms), in order

    def request_received(self, function: Function, arrived_at: float, now: float) -> None:
        """Counts a request that arrived at `arrived_at` (ms), if its function is verified."""
        if function.verified and self.quota.window:
            insort(self.request_times, arrived_at)
            self.trim(now)

    def verify(self, function: Function, now: float) -> None:
        """Marks a function as verified, once it was answered or loaded, and counts its requests within the window."""
        if not function.verified:
            function.verified = True
            since = now - self.quota.window
            for at in function.request_times:
                if at > since:
                    insort(self.request_times, at)

    def trim(self, now: float) -> None:
        """Removes requests that are older than the window."""
        trim_times(self.request_times, now - self.quota.window)

    def may_send(self, worker: Worker, renewal: bool, now: float) -> bool:
        """Returns whether one more prewarm may be sent to the worker now."""
        if worker.endpoint.state != EndpointState.READY:
            return False
        self.trim(now)
        if not self.quota.window:
            return True
        allowed = self.quota.free + self.quota.share * len(self.request_times)
        return self._count(now) + 1 <= allowed * (1 - FRACTION_FOR_NEW * renewal)

    def _count(self, now: float) -> int:
        """Returns the number of prewarms that count at `now`."""
        since = now - self.quota.window - WINDOW_MARGIN
        trim_times(self.unfinished_times, since - self.max_wait)
        del self.begin_times[: bisect_right(self.begin_times, since)]
        return len(self.unfinished_times) + len(self.begin_times)

    def sent(self, now: float) -> None:
        """Counts a prewarm that is decided at `now`."""
        if self.quota.window:
            self.unfinished_times.append(now)

    def finished(self, decided_at: float, waited: float) -> None:
        """Counts a prewarm that has ended from when it began, `waited` ms after its decision."""
        if decided_at in self.unfinished_times:
            self.unfinished_times.remove(decided_at)
            insort(self.begin_times, decided_at + waited)

    def must_begin_before(self, now: float) -> float:
        """Returns the time (ms) before which a prewarm decided at `now` must begin; infinity without a quota."""
        return now + self.max_wait if self.quota.window else inf


class Prewarmer:
    """Plans prewarms for placed replicas, and sends them within the quota and the control budget."""

    def __init__(
        self,
        cache: FunctionCache,
        limiter: PrewarmLimiter,
        budget: ControlBudget,
        latency: LatencyEstimator,
        decisions: deque[Decision],
        readiness: Readiness,
    ) -> None:
        """Creates a prewarmer that appends its prewarms to `decisions`."""
        self.cache = cache
        self.limiter = limiter
        self.budget = budget
        self.latency = latency
        self.decisions = decisions
        self.readiness = readiness
        self.held_plans: dict[Replica, PrewarmPlan] = {}  # plans that wait for their workers' answers

    def plan(self, cell: Cell, now: float) -> list[PrewarmPlan]:
        """Returns the prewarms for the functions of a cell, functions with the most recent requests first."""
        plans: list[PrewarmPlan] = []
        new_replicas: Counter[Worker] = Counter()
        for function in sorted(
            cell.functions.values(), key=lambda candidate: (-len(candidate.request_times), candidate.name)
        ):
            if now - function.last_request_at >= self.cache.idle_timeout:
                continue
            for replica in function.replicas:
                if replica.is_placed and replica.prewarm_sent_at is None and replica.full_until <= now:
                    self._plan_replica(replica, new_replicas, plans, now)
        return plans

    def _plan_replica(
        self, replica: Replica, new_replicas: Counter[Worker], plans: list[PrewarmPlan], now: float
    ) -> None:
        function = replica.function
        loaded = self.latency.is_loaded(replica, now)
        renewal = loaded and replica.loaded_replicas >= replica.wanted_replicas
        requested_again = len(function.request_times) > 1  # a single request triggers the prewarm by its miss
        if renewal:
            wanted = requested_again and now - replica.last_used >= RENEWAL_IDLE_FRACTION * self.cache.idle_timeout
        else:
            since = replica.loading_since
            load_lost = since is None or now - since > LOST_LOAD_FACTOR * self.latency.load_time(function)
            may_load = requested_again or self.cache.loads_on_demand
            few_new = new_replicas[replica.worker] < MAX_NEW_PER_WORKER
            wanted = may_load and few_new and (loaded or load_lost)
        if wanted:
            new_replicas[replica.worker] += not renewal
            plans.append(PrewarmPlan(replica, replica.wanted_replicas, renewal))

    def send(self, plan: PrewarmPlan, now: float) -> None:
        """Sends a prewarm, if the quota and the control budget allow it.

        Where the worker has to be known as ready first, the plan is held until the worker has answered.
        """
        replica = plan.replica
        covered = self.budget.has_token() or not self.cache.loads_on_demand
        if not covered or not self.limiter.may_send(replica.worker, plan.renewal, now):
            return
        if not self.readiness.require_ready(replica.worker, now):
            if len(self.held_plans) < MAX_HELD_PLANS and self.readiness.may_choose(replica.worker, now):
                self.held_plans[replica] = plan
            return
        self.limiter.sent(now)
        self.budget.spend()
        replica.prewarm_sent_at = now
        if not plan.renewal and not replica.loaded_replicas:
            replica.loading_since = now
        replicas = min(plan.replicas, MAX_REPLICAS)
        begin_before = self.limiter.must_begin_before(now)
        self.decisions.append(Prewarm(replica.worker, replica.function, replicas, begin_before))

    def release(self, worker: Worker) -> list[PrewarmPlan]:
        """Removes and returns the plans that were held for an answer of the worker."""
        plans = [plan for replica, plan in self.held_plans.items() if replica.worker is worker]
        for plan in plans:
            del self.held_plans[plan.replica]
        return plans
