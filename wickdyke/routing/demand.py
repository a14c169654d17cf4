"""Estimates of the demand for a function: by this front end's own requests, and by those of all front ends.

Demand is the average number of requests that are in flight at once.
"""

from collections import Counter

from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import Function, Worker
from wickdyke.routing.samples import mean
from wickdyke.routing.settings import FunctionCache

MAX_REQUEST_TIMES = 64  # request times kept of a function
PRIOR_SAMPLES = 16  # reports or answers that the prior of an estimate counts as
STARTUP_AGE = 1000.0  # ms added to the age of this front end, so that its first requests do not look like a high rate
MIN_DEMAND = 1e-9  # lower bound of divisors


class DemandEstimator:
    """Estimates demand from recent requests, answers and load reports."""

    def __init__(self, latency: LatencyEstimator, cache: FunctionCache, since: float) -> None:
        """Creates an estimator; requests are counted since `since` (ms)."""
        self.latency = latency
        self.since = since
        self.idle_timeout = cache.idle_timeout
        self.reports_concurrency = cache.reports_concurrency

    def own_demand(self, function: Function, now: float) -> float:
        """Returns the demand of this front end's own requests of the function."""
        recent = [at for at in function.request_times if now - at < self.idle_timeout]
        # Shortly after a start, dividing the few requests by a whole idle timeout would give too little demand, and all
        # functions would be placed on one worker.
        age = now - self.since + STARTUP_AGE
        span = now - recent[0] if len(recent) == MAX_REQUEST_TIMES else min(self.idle_timeout, age)
        latency = max(self.latency.usual_work(function) * self.latency.average_slowdown, MIN_DEMAND)
        return len(recent) / max(span, 1.0) * latency

    def fleet_demand(self, function: Function, own_demand: float, share: float) -> float:
        """Returns the demand of all front ends' requests of the function.

        `own_demand` is the demand of this front end's requests, `share` its usual share. The result combines two
        estimates, weighted by their variances: `own_demand` over `share`, and the other requests of the function that
        were in flight at workers by their answers. Without the second one, each of many front ends would load functions
        with little demand.
        """
        scaled = own_demand / share
        samples = function.concurrency_samples
        samples_by_worker = Counter(worker for worker, _ in samples)
        if not samples_by_worker:
            return own_demand if self.reports_concurrency else scaled
        others_in_flight = sum(concurrent / samples_by_worker[worker] for worker, concurrent in samples)
        request_count = (
            own_demand * self.idle_timeout / self.latency.usual_work(function) / self.latency.average_slowdown
        )
        scaled_variance = scaled**2 * (1 - share) / request_count
        others_variance = (others_in_flight + 1 / PRIOR_SAMPLES) * len(samples_by_worker) / len(samples)
        return (scaled * others_variance + others_in_flight * scaled_variance) / (scaled_variance + others_variance)

    def own_share(self, workers: list[Worker], own_demand: float, even: float) -> float:
        """Returns this front end's share of the workers' requests in flight; close to `even` without many reports."""
        in_flight = [
            report.in_flight for worker in workers for report in worker.load_reports if report.in_flight is not None
        ]
        reported_share = min(1.0, own_demand / max(mean(in_flight, 0.0) * len(workers), own_demand, MIN_DEMAND))
        return (reported_share * len(in_flight) + PRIOR_SAMPLES * even) / (len(in_flight) + PRIOR_SAMPLES)
