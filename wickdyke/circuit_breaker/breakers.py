"""Circuit breakers for functions that fail to load on every worker and for requests that end each replica they run in.

The router assumes that functions load and that requests do not end replicas: without breakers each gateway would try a
broken function on every worker, and retry a poison request in one replica after another. While a breaker is open,
requests for its function, or equal to its request, are rejected at once with a time to retry after. After a pause the
breaker is half-open: one request passes as a trial; if the trial fails, the pause doubles. Times are float ms of the
caller's clock: the same events give the same results.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_TRACKED = 10_000  # functions or requests; those with the oldest last failure are dropped first
MAX_DOUBLINGS = 40  # of a pause; limits the exponent so that the pause does not overflow a float
SHARE_TOLERANCE = 1e-9  # replicas; covers rounding errors in a sum of shares


@dataclass(slots=True, frozen=True)
class FunctionBreakerSettings:
    """A function's breaker opens when loads failed at this number of `workers` within `window` ms. Pauses are ms."""

    workers: int = 2
    window: float = 30000.0
    first_pause: float = 1000.0
    longest_pause: float = 60000.0


@dataclass(slots=True, frozen=True)
class RequestBreakerSettings:
    """A request's breaker opens when it ended this number of `replicas` within `window` ms. Pauses are ms."""

    replicas: float = 3.0
    window: float = 60000.0
    first_pause: float = 10000.0
    longest_pause: float = 600000.0


DEFAULT_FUNCTION_BREAKERS = FunctionBreakerSettings()
DEFAULT_REQUEST_BREAKERS = RequestBreakerSettings()


@dataclass(slots=True, frozen=True)
class BreakerSettings:
    """The settings of both kinds of breakers."""

    functions: FunctionBreakerSettings = DEFAULT_FUNCTION_BREAKERS
    requests: RequestBreakerSettings = DEFAULT_REQUEST_BREAKERS


@dataclass(slots=True)
class Breaker:
    """The state of one breaker: whether it is open, the end of its pause and how often it has opened without a success.

    `trial_at` is the time at which a request passed as the trial, None if there is no trial.
    """

    is_open: bool = False
    paused_until: float = 0.0
    doublings: int = 0
    trial_at: float | None = None

    @property
    def awaits_trial(self) -> bool:
        """Whether the breaker is open and no request has passed as its trial."""
        return self.is_open and self.trial_at is None


class Backoff:
    """Exponential backoff of breakers: a pause of `first_pause` ms, doubled each time up to `longest_pause` ms.

    The longest pause is at least `first_pause` times the number of gateways, so that all gateways together send at most
    about one trial in each `first_pause`.
    """

    def __init__(self, first_pause: float, longest_pause: float, gateways: int = 1) -> None:
        self.first_pause = first_pause
        self.longest_pause = max(longest_pause, first_pause * gateways)

    def open(self, breaker: Breaker, now: float) -> float:
        """Opens the breaker for its next pause; returns the pause in ms."""
        pause = min(self.longest_pause, self.first_pause * 2.0 ** min(breaker.doublings, MAX_DOUBLINGS))
        breaker.is_open = True
        breaker.paused_until = now + pause
        breaker.doublings += 1
        breaker.trial_at = None
        return pause

    def try_acquire(self, breaker: Breaker, now: float) -> float | None:
        """Returns None if a request may pass, else the time in ms until it may be retried.

        After the pause of an open breaker, the first request passes as the trial of the half-open breaker. All others
        are rejected until the trial has a result, or for `first_pause` ms.
        """
        if not breaker.is_open:
            return None
        if now < breaker.paused_until:
            return breaker.paused_until - now
        if breaker.trial_at is None or now >= breaker.trial_at + self.first_pause:  # a trial may never have a result
            breaker.trial_at = now
            return None
        return breaker.trial_at + self.first_pause - now


@dataclass(slots=True)
class LoadFailures:
    """The breaker of a function, and the time of the last failed load at each worker since a load last succeeded."""

    breaker: Breaker = field(default_factory=Breaker)
    failed_at: dict[str, float] = field(default_factory=dict)


class FunctionBreakers:
    """Breakers of functions; one opens when loads fail at `min_workers` workers and none succeeds in between.

    Failures at fewer workers are attributed to these workers: the router uses others. A failure counts for `window` ms.
    """

    def __init__(self, min_workers: int, window: float, backoff: Backoff) -> None:
        self.min_workers = min_workers
        self.window = window
        self.backoff = backoff
        self.tracked: OrderedDict[str, LoadFailures] = OrderedDict()

    def record_failure(self, function: str, worker: str, now: float) -> float | None:
        """Records a failed load at a worker; returns the pause in ms if that opens the breaker, else None."""
        load_failures = self._track(function)
        load_failures.failed_at = {
            name: failed_at for name, failed_at in load_failures.failed_at.items() if failed_at > now - self.window
        }
        load_failures.failed_at[worker] = now
        if load_failures.breaker.awaits_trial:
            return None  # the load began before the breaker opened
        if load_failures.breaker.is_open or len(load_failures.failed_at) >= self.min_workers:
            return self.backoff.open(load_failures.breaker, now)
        return None

    def _track(self, function: str) -> LoadFailures:
        load_failures = self.tracked.setdefault(function, LoadFailures())
        self.tracked.move_to_end(function)
        if len(self.tracked) > MAX_TRACKED:
            self.tracked.popitem(last=False)
        return load_failures

    def failed_workers(self, function: str) -> list[str]:
        """Returns the workers whose failed loads of the function are counted."""
        return list(self.tracked[function].failed_at)

    def record_load(self, function: str) -> bool:
        """Clears the failures of a function that was loaded or ran; returns True if that closes its breaker."""
        load_failures = self.tracked.pop(function, None)
        return load_failures is not None and load_failures.breaker.is_open

    def try_acquire(self, function: str, now: float) -> float | None:
        """Returns None if a request for the function may pass, else the time in ms until it may be retried.

        If the breaker is half-open, the request that passes is its trial.
        """
        load_failures = self.tracked.get(function)
        return None if load_failures is None else self.backoff.try_acquire(load_failures.breaker, now)


@dataclass(slots=True, frozen=True)
class ReplicaEnd:
    """The time at which a replica ended, and the share of its end that is attributed to one request."""

    ended_at: float
    share: float


@dataclass(slots=True)
class FailureAttribution:
    """The breaker of a request, and the replica ends that are attributed to the request."""

    breaker: Breaker = field(default_factory=Breaker)
    replica_ends: list[ReplicaEnd] = field(default_factory=list)


class RequestBreakers:
    """Breakers of requests that end replicas; requests are identified by function and digest of the input.

    The end of a replica is attributed in equal shares to the requests in it. A breaker opens when the shares of its
    request within `window` ms add up to `min_replicas`.
    """

    def __init__(self, min_replicas: float, window: float, backoff: Backoff) -> None:
        self.min_replicas = min_replicas
        self.window = window
        self.backoff = backoff
        self.tracked: OrderedDict[tuple[str, bytes], FailureAttribution] = OrderedDict()
        self.open_by_function: dict[str, int] = {}  # number of open breakers by function

    def record_replica_end(self, function: str, digest: bytes, requests_in_replica: int, now: float) -> float | None:
        """Records a replica end during the request; returns the pause in ms if that opens the breaker, else None."""
        attribution = self._track(function, digest)
        recent = [end for end in attribution.replica_ends if end.ended_at > now - self.window]
        attribution.replica_ends = [*recent, ReplicaEnd(now, 1 / max(1, requests_in_replica))]
        breaker = attribution.breaker
        if breaker.awaits_trial:
            return None
        if not breaker.is_open:
            if sum(end.share for end in attribution.replica_ends) < self.min_replicas - SHARE_TOLERANCE:
                return None
            self.open_by_function[function] = self.open_by_function.get(function, 0) + 1
        return self.backoff.open(breaker, now)

    def _track(self, function: str, digest: bytes) -> FailureAttribution:
        key = function, digest
        attribution = self.tracked.setdefault(key, FailureAttribution())
        self.tracked.move_to_end(key)
        if len(self.tracked) > MAX_TRACKED:
            (oldest_function, _), oldest = self.tracked.popitem(last=False)
            self._forget(oldest_function, oldest)
        return attribution

    def record_success(self, function: str, digest: bytes) -> bool:
        """Records that the request did not end its replica; returns True if that closes its breaker."""
        attribution = self.tracked.pop((function, digest), None)
        return attribution is not None and self._forget(function, attribution)

    def _forget(self, function: str, attribution: FailureAttribution) -> bool:
        """Updates `open_by_function` for a request that is no longer tracked; returns True if its breaker was open."""
        if not attribution.breaker.is_open:
            return False
        self.open_by_function[function] -= 1
        if not self.open_by_function[function]:
            del self.open_by_function[function]
        return True

    def try_acquire(self, function: str, digest: bytes, now: float) -> float | None:
        """Returns None if the request may pass, else the time in ms until it may be retried.

        If the breaker is half-open, the request that passes is its trial. Callers check `open_by_function` first, since
        the digest of a large input takes time.
        """
        attribution = self.tracked.get((function, digest))
        return None if attribution is None else self.backoff.try_acquire(attribution.breaker, now)

    def is_open(self, function: str, digest: bytes) -> bool:
        """Whether the request's breaker is open or half-open."""
        attribution = self.tracked.get((function, digest))
        return attribution is not None and attribution.breaker.is_open
