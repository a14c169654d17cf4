"""Estimates of how long a request takes at a worker: its work, the worker's pace and load, and a load's time."""

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
from wickdyke.routing.settings import FunctionCache, TenantQuotas

SAMPLE_AGE = 15000.0  # ms for which a latency sample counts
LATENCY_SAMPLES_KEPT = 40  # of a worker
RESULTS_KEPT = 8  # of a worker
REPORTS_KEPT = 8  # of a worker
OBJECTIVE_SHARES_KEPT = 8  # of a worker; also how many tell whether its limit has to change
WORKER_RECORDS = RecordLengths(LATENCY_SAMPLES_KEPT, RESULTS_KEPT, REPORTS_KEPT, OBJECTIVE_SHARES_KEPT)
DURATIONS_KEPT = 16  # of a function, of a request class, of loads
PRIOR_ANSWERS = 6.0  # answers by which a worker's pace is drawn towards that of its kind
REPORT_AGE = 4000.0  # ms over which a load report fades
LOAD_TIME_GUESS = 1000.0  # ms that a load takes while none was seen
LOAD_TIME_LEAST = 50.0  # ms: what took less was no load
LOADS_BEFORE_HINT = 4  # loads seen of a function after which its hint no longer counts
WORK_GUESS = 0.25  # of the latency objective, while no answer was seen
LOAD_LEFT_LEAST = 0.2  # of a load's time, of one that should have ended
KIND_PRIOR = 16  # part of all work by which a kind's pace is drawn towards the average
CORE_SAMPLES_KEPT = 400
CORE_SAMPLES_LEAST = 16  # before they count
CORES_GUESS = 4.0  # requests that a worker runs at once while nothing tells
CORES_QUANTILE = 0.1  # low: waiting for concurrency or loads holds requests but no core
# Cores are estimated from reports between these utilizations: below noise prevails, above queues do.
MIN_UTILIZATION_FOR_CORES = 0.15
MAX_UTILIZATION_FOR_CORES = 0.85
CLOCK_READING = 0.001  # ms: times are told in microseconds, and an answer within one reading took part of it
PROMISED_UTILIZATION = 0.8  # of what a fleet can do, promised to tenants
OVERDUE_FACTOR = 3.0  # a silent attempt is evidence after so many times its expected latency
OVERDUE_LEAST = 400.0  # ms


def is_overdue(attempt: Attempt, now: float) -> bool:
    """Whether an answer should have come by now."""
    factor = OVERDUE_FACTOR if attempt.warm else 1.0
    return now - attempt.sent_at > max(OVERDUE_LEAST, factor * attempt.expected_latency)


class LatencyEstimator:
    """Learns from answers and load reports.

    A worker's pace is round trip plus run time as measured, over what its requests take on the average worker.
    """

    def __init__(self, cache: FunctionCache, quotas: TenantQuotas) -> None:
        self.idle_timeout = cache.idle_timeout
        self.promised_rate = sum(quotas.quotas)
        self.average_pace = 1.0
        self.pace_by_kind: dict[int, float] = {}
        self.cores_per_size = 0.0
        self.load_times: deque[float] = deque(maxlen=DURATIONS_KEPT)
        self.core_samples: deque[float] = deque(maxlen=CORE_SAMPLES_KEPT)

    # ---- work and pace ----

    def expected_work(self, request: Request) -> float:
        """ms that the request takes on the average worker: by its hint, else as usual for its function."""
        if request.work is None:
            return self.usual_work(request.function)
        return max(1.0, request.work)

    def usual_work(self, function: Function) -> float:
        """ms that a request of the function takes on the average worker, drawn towards its class by one sample."""
        request_class = function.request_class
        usual = mean(request_class.durations, request_class.latency_objective * WORK_GUESS)
        return (sum(function.durations) + usual) / (len(function.durations) + 1)

    def pace(self, worker: Worker) -> float:
        """Latency over work at that worker, drawn towards the pace of its kind where few answers were seen."""
        prior = PRIOR_ANSWERS * worker.sampled_work / (len(worker.latency_samples) or 1) or 1.0
        return (worker.sampled_latency + prior * self.usual_pace(worker)) / (worker.sampled_work + prior)

    def usual_pace(self, worker: Worker) -> float:
        """The pace of workers of its kind."""
        return self.pace_by_kind.get(worker.endpoint.kind, self.average_pace)

    def cores(self, worker: Worker) -> float:
        """Requests that the worker runs at once without slowing down."""
        return max(1.0, self.cores_per_size * worker.endpoint.size)

    def survey(self, cell: Cell, cells: list[Cell], mean_work: float, now: float) -> None:
        """Sums up what was seen of a cell's workers, and what all cells' last surveys tell of paces and cores.

        `mean_work` is the ms that a request of the cell's functions takes on the average worker.
        """
        workers = cell.ready
        cell.pool = {worker.endpoint.kind: (0.0, 0.0) for worker in workers}
        for worker in workers:
            if worker.latency_samples:
                worker.sum_samples(now - SAMPLE_AGE)
                latency, work = cell.pool[worker.endpoint.kind]
                cell.pool[worker.endpoint.kind] = latency + worker.sampled_latency, work + worker.sampled_work
        self._update_paces(cells)
        self._update_cores(workers, cells, mean_work)

    def _update_paces(self, cells: list[Cell]) -> None:
        kinds = sum_by_key(cell.pool for cell in cells)
        if total_work := sum(work for _, work in kinds.values()):
            self.average_pace = sum(latency for latency, _ in kinds.values()) / total_work
            prior = total_work / KIND_PRIOR  # a kind of which little was heard counts as average too
            self.pace_by_kind = {
                kind: (latency + prior * self.average_pace) / (work + prior) for kind, (latency, work) in kinds.items()
            }

    def _update_cores(self, workers: list[Worker], cells: list[Cell], mean_work: float) -> None:
        if len(self.core_samples) > CORE_SAMPLES_LEAST:
            ordered = sorted(self.core_samples)
            cores = ordered[int(len(ordered) * CORES_QUANTILE)]
        else:
            # Reports that give only one of utilization and requests in flight tell nothing of cores, nor does anything
            # in the first seconds. What tenants are promised does; it misleads where far less or more is promised
            # than the fleet can do.
            ready = max(1, sum(len(cell.ready) for cell in cells))
            promised = self.promised_rate / 1000 * mean_work / PROMISED_UTILIZATION / ready
            size = mean([worker.endpoint.size for worker in workers], 1.0)
            cores = (promised or CORES_GUESS) / size
        self.cores_per_size = cores

    def record_report(self, worker: Worker, load: WorkerLoad | None, now: float) -> None:
        """Enters a load report.

        Of utilization and requests in flight each stands in for the other where only one is given.
        """
        if load is None:
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

    def record_load(self, function: Function, took: float, began: bool = False) -> None:
        """Enters how long a load took; a short one counts only where the worker says that it `began` one."""
        if began or took > LOAD_TIME_LEAST:
            function.load_times.append(max(1.0, took))
            self.load_times.append(max(1.0, took))

    def load_time(self, function: Function) -> float:
        """ms that a load of the function takes.

        A hint that is far too long would keep requests waiting at silent workers for two such loads, and packages may
        grow smaller: after a few loads seen the hint counts no more. That misleads where the first few came from a
        cache.
        """
        hint = function.load_hint if len(function.load_times) < LOADS_BEFORE_HINT else 0.0
        usual = function.load_hint or mean(self.load_times, LOAD_TIME_GUESS)
        return max(hint, mean(function.load_times, usual))

    def is_loaded(self, replica: Replica, now: float) -> bool:
        """Whether the function is believed loaded there: unused for less than the idle timeout."""
        return replica.loaded > 0 and (replica.in_flight > 0 or now - replica.last_used < self.idle_timeout)

    def _load_left(self, replica: Replica, now: float) -> float:
        whole = 0.0 if self.is_loaded(replica, now) else self.load_time(replica.function)
        done = 0.0 if replica.loading_since is None else now - replica.loading_since
        return max(whole * LOAD_LEFT_LEAST, whole - done)

    # ---- latency of a request ----

    def expected_latency(self, replica: Replica, request: Request, now: float) -> float:
        """ms until an answer, counting our own load there now and that of others as last reported."""
        worker, others = replica.worker, 0.0
        if worker.load_reports:
            report = worker.load_reports[-1]
            fade = max(0.0, 1 - (now - report.received_at) / REPORT_AGE)
            others = max(0.0, (report.in_flight or 0.0) - report.own_in_flight) * fade
        crowding = 1 + (len(worker.in_flight) + others) / self.cores(worker)
        return self.expected_work(request) * self.pace(worker) * crowding + self._load_left(replica, now)

    def record_attempt(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Enters how long an attempt at a loaded replica took.

        One that was given up after its expected latency counts as having taken at least that long: a worker that grows
        slower would never show otherwise, nor would lost answers.
        """
        worker, request = attempt.replica.worker, attempt.request
        took = max(CLOCK_READING, now - attempt.sent_at)
        given_up = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and took > attempt.expected_latency
        if outcome == Outcome.OK or given_up:
            latency = took if outcome == Outcome.OK else min(took, OVERDUE_FACTOR * attempt.expected_latency)
            worker.latency_samples.append(LatencySample(now, latency, self.expected_work(request)))
            worker.sum_samples(now - SAMPLE_AGE)
        if outcome == Outcome.OK and request.work is None:
            for durations in (request.function.durations, request.request_class.durations):
                durations.append(took / self.pace(worker))
