"""Estimates of how much of a function is wanted: by our own requests, and by all front ends together."""

from collections import Counter

from wickdyke.routing.latency import LatencyEstimator
from wickdyke.routing.model import Function, Worker
from wickdyke.routing.samples import mean
from wickdyke.routing.settings import FunctionCache

CALLS_KEPT = 64  # of a function
PRIOR_SAMPLES = 16  # reports or answers that an estimate is drawn by towards what is usual
YOUNG = 1000.0  # ms added to the age of this front end, so that its first calls do not look like a high rate
LANES_LEAST = 1e-9  # busy lanes and workers are never nought where they divide


class DemandEstimator:
    """Demand in lanes: requests in flight on average. `since` is when calls began to be counted (ms)."""

    def __init__(self, latency: LatencyEstimator, cache: FunctionCache, since: float) -> None:
        self.latency, self.since = latency, since
        self.idle_timeout = cache.idle_timeout
        self.reports_concurrency = cache.reports_concurrency

    def own_lanes(self, function: Function, now: float) -> float:
        """Lanes that our own requests of the function keep busy."""
        recent = [at for at in function.recent_calls if now - at < self.idle_timeout]
        if len(recent) == CALLS_KEPT:
            span = now - recent[0]
        else:
            # Just started, few calls would look like little demand, and all would be placed on one worker.
            span = min(self.idle_timeout, now - self.since + YOUNG)
        each = max(self.latency.usual_work(function) * self.latency.average_pace, LANES_LEAST)
        return len(recent) / max(span, 1.0) * each

    def fleet_lanes(self, function: Function, own: float, share: float) -> float:
        """Lanes that all front ends' requests of the function keep busy; `own` of them are ours, our usual `share`.

        Two estimates weighed by how sure they are: our own lanes over our share, and the requests of the function that
        answers tell were in flight beside ours. Without the second each of many front ends would load what few want.
        """
        scaled = own / share
        samples = function.concurrency_samples
        met = Counter(worker for worker, _ in samples)
        if not met:
            return own if self.reports_concurrency else scaled
        beside = sum(many / met[worker] for worker, many in samples)  # over the workers that answered
        calls = own * self.idle_timeout / self.latency.usual_work(function) / self.latency.average_pace
        scaled_variance = scaled**2 * (1 - share) / calls
        beside_variance = (beside + 1 / PRIOR_SAMPLES) * len(met) / len(samples)
        return (scaled * beside_variance + beside * scaled_variance) / (scaled_variance + beside_variance)

    def own_share(self, workers: list[Worker], own: float, even: float) -> float:
        """Our part of the lanes busy on those workers, drawn towards an `even` part where few reports came."""
        in_flight = [
            report.in_flight for worker in workers for report in worker.load_reports if report.in_flight is not None
        ]
        part = min(1.0, own / max(mean(in_flight, 0.0) * len(workers), own, LANES_LEAST))
        return (part * len(in_flight) + PRIOR_SAMPLES * even) / (len(in_flight) + PRIOR_SAMPLES)
