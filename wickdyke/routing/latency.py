"""Estimates of a request's latency at a worker: its work, the worker's slowdown and utilization, and load times."""

from collections import deque

from wickdyke.routing.cells import Cell
from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import (
    Attempt,
    Function,
    LatencySample,
    LoadReport,
    Outcome,
    RecordLengths,
    Replica,
    Request,
    Worker,
)
from wickdyke.routing.samples import mean, sum_by_key
from wickdyke.routing.settings import FunctionCache, GatewayInstance, TenantQuotas

MAX_SAMPLE_AGE = 15000.0  # ms for which a latency sample counts
MAX_LATENCY_SAMPLES = 40  # samples of a worker
MAX_RESULT_SAMPLES = 8  # samples of a worker
MAX_LOAD_REPORTS = 8  # reports of a worker
MAX_OBJECTIVE_SHARES = 8  # samples of a worker; its limit is lowered only on the mean of that many
WORKER_RECORDS = RecordLengths(MAX_LATENCY_SAMPLES, MAX_RESULT_SAMPLES, MAX_LOAD_REPORTS, MAX_OBJECTIVE_SHARES)
MAX_DURATION_SAMPLES = 16  # samples of a function, of a request class and of loads
PRIOR_ANSWERS = 6.0  # weight, in answers, of the kind's slowdown in the estimate of a worker's slowdown
MAX_REPORT_AGE = 4000.0  # ms over which the weight of a load report falls to 0
DEFAULT_LOAD_TIME = 1000.0  # ms, until a load is measured
MIN_LOAD_TIME = 50.0  # ms; a shorter time is taken as evidence that nothing was loaded
MIN_LOADS_WITHOUT_HINT = 4  # measured loads of a function from which its hint no longer counts
DEFAULT_WORK_FRACTION = 0.25  # work as a fraction of the latency objective, until an answer is received
MIN_REMAINING_LOAD_FRACTION = 0.2  # remaining fraction of the load time of a load that should have ended
KIND_PRIOR_DIVISOR = 16  # weight of the average slowdown in a kind's slowdown: 1/16 of all work
MAX_CORE_SAMPLES = 400
MIN_CORE_SAMPLES = 16  # number of samples above which they are used
DEFAULT_CORES = 4.0  # requests that a worker is assumed to run at once, without any evidence
CORES_QUANTILE = 0.1  # low, as requests that wait for concurrency or for loads use no core
# Cores are estimated from reports between these utilizations: noise dominates below them, queueing above.
MIN_UTILIZATION_FOR_CORES = 0.15
MAX_UTILIZATION_FOR_CORES = 0.85
CLOCK_RESOLUTION = 0.001  # ms; shortest time of an attempt, as an answer may arrive within one reading of the clock
PROMISED_UTILIZATION = 0.8  # fraction of a fleet's capacity that is assumed to be promised to tenants
OVERDUE_FACTOR = 3.0  # multiple of its expected latency after which an attempt is overdue
MIN_OVERDUE = 400.0  # ms before which no attempt is overdue


def is_overdue(attempt: Attempt, now: float) -> bool:
    """Returns whether an answer to the attempt should have been received by `now` (ms)."""
    factor = OVERDUE_FACTOR if attempt.expected_loaded else 1.0
    return now - attempt.sent_at > max(MIN_OVERDUE, factor * attempt.expected_latency)


class LatencyEstimator:
    """Estimates slowdowns, cores and load times from answers and load reports.

    A worker's slowdown is the measured latency of its answers over their work: 1 on the average worker.
    """

    def __init__(self, cache: FunctionCache, instance: GatewayInstance, quotas: TenantQuotas) -> None:
        """Creates an estimator without samples."""
        self.idle_timeout = cache.idle_timeout
        self.has_report_fields = bool(instance.report_fields)
        self.promised_rate = sum(quotas.quotas)
        self.average_slowdown = 1.0
        self.slowdown_by_kind: dict[int, float] = {}
        self.cores_per_size = 0.0
        self.load_times: deque[float] = deque(maxlen=MAX_DURATION_SAMPLES)
        self.core_samples: deque[float] = deque(maxlen=MAX_CORE_SAMPLES)

    # ---- work and slowdown ----

    def expected_work(self, request: Request) -> float:
        """Returns the ms that the request takes on the average worker: its hint, or the usual work of its function."""
        if request.work is None:
            return self.usual_work(request.function)
        return max(1.0, request.work)

    def usual_work(self, function: Function) -> float:
        """Returns the mean work of the function's requests (ms); the mean of its class counts as one sample."""
        request_class = function.request_class
        usual = mean(request_class.durations, request_class.latency_objective * DEFAULT_WORK_FRACTION)
        return (sum(function.durations) + usual) / (len(function.durations) + 1)

    def slowdown(self, worker: Worker) -> float:
        """Returns the worker's latency over work, close to the slowdown of its kind where there are few answers."""
        prior = PRIOR_ANSWERS * worker.sampled_work / (len(worker.latency_samples) or 1) or 1.0
        return (worker.sampled_latency + prior * self.usual_slowdown(worker)) / (worker.sampled_work + prior)

    def usual_slowdown(self, worker: Worker) -> float:
        """Returns the slowdown of workers of this worker's kind."""
        return self.slowdown_by_kind.get(worker.endpoint.kind, self.average_slowdown)

    def cores(self, worker: Worker) -> float:
        """Returns the number of requests that the worker runs at once without slowing down."""
        return max(1.0, self.cores_per_size * worker.endpoint.size)

    def update_estimates(self, cell: Cell, cells: list[Cell], mean_work: float, now: float) -> None:
        """Sums up the samples of a cell's workers, and estimates slowdowns and cores from the last sums of all cells.

        `mean_work` is the mean work (ms) of the requests of the cell's functions.
        """
        workers = cell.ready_workers
        cell.latency_sums_by_kind = {worker.endpoint.kind: (0.0, 0.0) for worker in workers}
        for worker in workers:
            if worker.latency_samples:
                worker.sum_samples(now - MAX_SAMPLE_AGE)
                latency, work = cell.latency_sums_by_kind[worker.endpoint.kind]
                cell.latency_sums_by_kind[worker.endpoint.kind] = (
                    latency + worker.sampled_latency,
                    work + worker.sampled_work,
                )
        self._update_slowdowns(cells)
        self._update_cores(workers, cells, mean_work)

    def _update_slowdowns(self, cells: list[Cell]) -> None:
        kinds = sum_by_key(cell.latency_sums_by_kind for cell in cells)
        if total_work := sum(work for _, work in kinds.values()):
            self.average_slowdown = sum(latency for latency, _ in kinds.values()) / total_work
            prior = total_work / KIND_PRIOR_DIVISOR  # a kind with few answers counts as average
            self.slowdown_by_kind = {
                kind: (latency + prior * self.average_slowdown) / (work + prior)
                for kind, (latency, work) in kinds.items()
            }

    def _update_cores(self, workers: list[Worker], cells: list[Cell], mean_work: float) -> None:
        if len(self.core_samples) > MIN_CORE_SAMPLES:
            ordered = sorted(self.core_samples)
            cores = ordered[int(len(ordered) * CORES_QUANTILE)]
        else:
            # Reports with only one of utilization and requests in flight give no evidence of cores, and in the first
            # seconds there are no reports. The estimate then follows from the rates promised to tenants; it is wrong
            # where far less or far more is promised than the fleet can serve.
            ready = max(1, sum(len(cell.ready_workers) for cell in cells))
            promised = self.promised_rate / 1000 * mean_work / PROMISED_UTILIZATION / ready
            size = mean([worker.endpoint.size for worker in workers], 1.0)
            cores = (promised or DEFAULT_CORES) / size
        self.cores_per_size = cores

    def record_report(self, worker: Worker, load: WorkerLoad | None, now: float) -> None:
        """Records a load report.

        Where only one of utilization and requests in flight is reported, the other is derived from it.
        """
        if load is None or not load.reported or not self.has_report_fields:
            return
        utilization, in_flight, queued, pinned, _ = load
        if in_flight is not None:
            if utilization is not None and MIN_UTILIZATION_FOR_CORES < utilization < MAX_UTILIZATION_FOR_CORES:
                self.core_samples.append(max(1.0, in_flight) / (utilization * worker.endpoint.size))
            if utilization is None:
                utilization = min(1.0, in_flight / self.cores(worker))
        elif utilization is not None:
            in_flight = utilization * self.cores(worker) + queued
        worker.open_records(WORKER_RECORDS)
        worker.load_reports.append(LoadReport(now, utilization, in_flight, pinned, len(worker.in_flight)))
        shares = [report.utilization for report in worker.load_reports if report.utilization is not None]
        worker.utilization = mean(shares, 0.0)

    # ---- loads ----

    def record_load(self, function: Function, elapsed: float, is_certain: bool = False) -> None:
        """Records the duration of a load (ms); a short one counts only if the worker reported a load (`is_certain`)."""
        if is_certain or elapsed > MIN_LOAD_TIME:
            load_time = max(1.0, elapsed)
            function.load_times.append(load_time)
            self.load_times.append(load_time)

    def load_time(self, function: Function) -> float:
        """Returns the expected duration of a load of the function (ms).

        After a few measured loads the hint no longer counts: one that is far too long would keep requests waiting at
        silent workers for two such loads, and packages may become smaller. The estimate is too short where the first
        few loads were served from a cache.
        """
        hint = function.load_hint if len(function.load_times) < MIN_LOADS_WITHOUT_HINT else 0.0
        usual = function.load_hint or mean(self.load_times, DEFAULT_LOAD_TIME)
        return max(hint, mean(function.load_times, usual))

    def is_loaded(self, replica: Replica, now: float) -> bool:
        """Returns whether the replica is assumed to be loaded: it was loaded, and used within the idle timeout."""
        return replica.loaded_replicas > 0 and (replica.in_flight > 0 or now - replica.last_used < self.idle_timeout)

    def _remaining_load(self, replica: Replica, now: float) -> float:
        load_time = 0.0 if self.is_loaded(replica, now) else self.load_time(replica.function)
        elapsed = 0.0 if replica.loading_since is None else now - replica.loading_since
        return max(load_time * MIN_REMAINING_LOAD_FRACTION, load_time - elapsed)

    # ---- latency of a request ----

    def expected_latency(self, replica: Replica, request: Request, now: float) -> float:
        """Returns the expected ms until an answer.

        This accounts for own attempts in flight at the worker and those of other front ends by its last report.
        """
        worker = replica.worker
        others = 0.0  # attempts of other front ends in flight there
        if worker.load_reports:
            report = worker.load_reports[-1]
            report_weight = max(0.0, 1 - (now - report.received_at) / MAX_REPORT_AGE)
            others = max(0.0, (report.in_flight or 0.0) - report.own_in_flight) * report_weight
        contention = 1 + (len(worker.in_flight) + others) / self.cores(worker)
        return self.expected_work(request) * self.slowdown(worker) * contention + self._remaining_load(replica, now)

    def record_attempt(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Records the latency of an attempt at a loaded replica.

        An attempt that was given up after its expected latency counts with the time that it took until then. Otherwise
        neither a worker that becomes slower nor lost answers would affect the estimate.
        """
        worker = attempt.replica.worker
        request = attempt.request
        elapsed = max(CLOCK_RESOLUTION, now - attempt.sent_at)
        given_up = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and elapsed > attempt.expected_latency
        if outcome == Outcome.OK or given_up:
            latency = elapsed if outcome == Outcome.OK else min(elapsed, OVERDUE_FACTOR * attempt.expected_latency)
            worker.latency_samples.append(LatencySample(now, latency, self.expected_work(request)))
            worker.sum_samples(now - MAX_SAMPLE_AGE)
        if outcome == Outcome.OK and request.work is None:
            for durations in (request.function.durations, request.request_class.durations):
                durations.append(elapsed / self.slowdown(worker))
