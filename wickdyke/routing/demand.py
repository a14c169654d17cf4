"""Estimates of the demand for a function: by our own requests, and by all front ends together."""

from collections import Counter

from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import Function, Worker
from wickdyke.routing.samples import mean
from wickdyke.routing.settings import FunctionCache

MAX_REQUEST_TIMES = 64  # of a function
PRIOR_SAMPLES = 16  # reports or answers that the prior of an estimate weighs
STARTUP_AGE = 1000.0  # ms added to the age of this front end, so that its first calls do not look like a high rate
MIN_DEMAND = 1e-9  # keeps divisors above 0


class DemandEstimator:
    """Demand in lanes: requests in flight on average."""

    def __init__(self, latency: LatencyEstimator, cache: FunctionCache, since: float) -> None:
        """An estimator for calls that are counted since that time (ms)."""
        self.latency = latency
        self.since = since
        self.idle_timeout = cache.idle_timeout
        self.reports_concurrency = cache.reports_concurrency

    def own_demand(self, function: Function, now: float) -> float:
        """Lanes that our own requests of the function keep busy."""
        recent = [at for at in function.request_times if now - at < self.idle_timeout]
        # After a start, few calls over a whole idle timeout would look like little demand, and all functions would be
        # placed on one worker.
        age = now - self.since + STARTUP_AGE
        span = now - recent[0] if len(recent) == MAX_REQUEST_TIMES else min(self.idle_timeout, age)
        latency = max(self.latency.usual_work(function) * self.latency.average_slowdown, MIN_DEMAND)
        return len(recent) / max(span, 1.0) * latency

    def fleet_demand(self, function: Function, own: float, share: float) -> float:
        """Lanes that all front ends' requests of the function keep busy; `own` of them are ours, our usual `share`.

        Two estimates weighed by their variances: our own lanes over our share, and the requests of the function that
        were in flight beside ours by workers' answers. Without the second each of many front ends would load functions
        with little demand.
        """
        scaled = own / share
        samples = function.concurrency_samples
        samples_by_worker = Counter(worker for worker, _ in samples)
        if not samples_by_worker:
            return own if self.reports_concurrency else scaled
        beside = sum(concurrent / samples_by_worker[worker] for worker, concurrent in samples)
        calls = own * self.idle_timeout / self.latency.usual_work(function) / self.latency.average_slowdown
        scaled_variance = scaled**2 * (1 - share) / calls
        beside_variance = (beside + 1 / PRIOR_SAMPLES) * len(samples_by_worker) / len(samples)
        return (scaled * beside_variance + beside * scaled_variance) / (scaled_variance + beside_variance)

    def own_share(self, workers: list[Worker], own: float, even: float) -> float:
        """Our part of the lanes busy on those workers; drawn towards `even` where few reports were received."""
        in_flight = [
            report.in_flight for worker in workers for report in worker.load_reports if report.in_flight is not None
        ]
        part = min(1.0, own / max(mean(in_flight, 0.0) * len(workers), own, MIN_DEMAND))
        return (part * len(in_flight) + PRIOR_SAMPLES * even) / (len(in_flight) + PRIOR_SAMPLES)
