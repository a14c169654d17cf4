"""Circuit breakers for functions that load nowhere and for requests that end each replica they run in.

The router assumes that functions load and that requests do no harm: each gateway would try a broken function on every
worker, and retry a poison request in replica after replica. While a breaker is open, requests of its function, or equal
to its request, are rejected at once with a time to retry after. Once a pause is over, one request passes as a trial; if
the trial fails, the pause doubles. Times are float ms of the host's clock: the same events give the same results.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_TRACKED = 10_000  # functions or requests; the least recently reported are dropped first
MAX_DOUBLINGS = 40  # of a pause: a float holds it
ROUNDING = 1e-9  # of a sum of shares


@dataclass(slots=True, frozen=True)
class FunctionBreakerSettings:
    """When a function's breaker opens: loads failed at so many `workers` within `window` ms. Pauses are ms."""

    workers: int = 2
    window: float = 30000.0
    first_pause: float = 1000.0
    longest_pause: float = 60000.0


@dataclass(slots=True, frozen=True)
class RequestBreakerSettings:
    """When a request's breaker opens: it ended so many `replicas` within `window` ms. Pauses are ms."""

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
    """The state of one breaker: open or closed, the end of its pause and how often it has opened without success.

    `trial_at` is when a trial was let through, None if there is none.
    """

    is_open: bool = False
    paused_until: float = 0.0
    doublings: int = 0
    trial_at: float | None = None

    @property
    def awaits_trial(self) -> bool:
        """Whether it is open and has let no trial through."""
        return self.is_open and self.trial_at is None


class Backoff:
    """Pauses of `first` ms, doubled up to `longest`.

    The longest pause is at least `first` for each gateway, so that all of them together try about once in `first`.
    """

    def __init__(self, first: float, longest: float, gateways: int = 1) -> None:
        self.first = first
        self.longest = max(longest, first * gateways)

    def open(self, breaker: Breaker, now: float) -> float:
        """Opens the breaker for its next pause; returns the pause in ms."""
        pause = min(self.longest, self.first * 2.0 ** min(breaker.doublings, MAX_DOUBLINGS))
        breaker.is_open = True
        breaker.paused_until = now + pause
        breaker.doublings += 1
        breaker.trial_at = None
        return pause

    def try_acquire(self, breaker: Breaker, now: float) -> float | None:
        """Asks to let one request pass; returns None where it may, else ms until it may be retried.

        Once the pause of an open breaker is over, the first request that asks claims the trial of the half-open
        breaker: it may pass, and all others wait until the trial has a result, or for `first` ms.
        """
        if not breaker.is_open:
            return None
        if now < breaker.paused_until:
            return breaker.paused_until - now
        if breaker.trial_at is None or now >= breaker.trial_at + self.first:  # the last trial may never have a result
            breaker.trial_at = now
            return None
        return breaker.trial_at + self.first - now


@dataclass(slots=True)
class LoadFailures:
    """The breaker of a function, and the workers where loads of it failed since it was last loaded, with the times."""

    breaker: Breaker = field(default_factory=Breaker)
    failed: dict[str, float] = field(default_factory=dict)


class FunctionBreakers:
    """Breakers of functions that fail to load at `workers` different workers, and were loaded nowhere in between.

    Failures at fewer workers concern these workers: the router uses others. A failure counts for `window` ms.
    """

    def __init__(self, workers: int, window: float, backoff: Backoff) -> None:
        self.workers = workers
        self.window = window
        self.backoff = backoff
        self.tracked: OrderedDict[str, LoadFailures] = OrderedDict()

    def failed(self, function: str, worker: str, now: float) -> float | None:
        """A load failed at that worker; returns the pause in ms if that opens the breaker, else None."""
        loads = self._track(function)
        loads.failed = {name: failed_at for name, failed_at in loads.failed.items() if failed_at > now - self.window}
        loads.failed[worker] = now
        if loads.breaker.awaits_trial:
            return None  # the load began before the breaker opened
        if loads.breaker.is_open or len(loads.failed) >= self.workers:
            return self.backoff.open(loads.breaker, now)
        return None

    def _track(self, function: str) -> LoadFailures:
        loads = self.tracked.setdefault(function, LoadFailures())
        self.tracked.move_to_end(function)
        if len(self.tracked) > MAX_TRACKED:
            self.tracked.popitem(last=False)
        return loads

    def failed_workers(self, function: str) -> list[str]:
        """The workers whose failures count against the function."""
        return list(self.tracked[function].failed)

    def loaded(self, function: str) -> bool:
        """The function was loaded or ran somewhere, which clears its failures; True if that closes its breaker."""
        loads = self.tracked.pop(function, None)
        return loads is not None and loads.breaker.is_open

    def try_acquire(self, function: str, now: float) -> float | None:
        """Asks to let a request for it pass; returns None where it may, else ms until it may be retried.

        Where the breaker is half-open, the request claims its trial.
        """
        loads = self.tracked.get(function)
        return None if loads is None else self.backoff.try_acquire(loads.breaker, now)


@dataclass(slots=True, frozen=True)
class ReplicaEnd:
    """A replica that ended at that time, and the share of it that is attributed to one request."""

    ended_at: float
    share: float


@dataclass(slots=True)
class FailureAttribution:
    """The breaker of a request, and the ends of replicas that are attributed to it."""

    breaker: Breaker = field(default_factory=Breaker)
    replica_ends: list[ReplicaEnd] = field(default_factory=list)


class RequestBreakers:
    """Breakers of requests that end replicas; requests are equal by function and input (the host's digest).

    The end of a replica is attributed in equal shares to the requests in it. The breaker of a request whose shares add
    up to `replicas` within `window` ms opens.
    """

    def __init__(self, replicas: float, window: float, backoff: Backoff) -> None:
        self.replicas = replicas
        self.window = window
        self.backoff = backoff
        self.tracked: OrderedDict[tuple[str, bytes], FailureAttribution] = OrderedDict()
        self.open_by_function: dict[str, int] = {}  # open breakers of each function's requests

    def replica_ended(self, function: str, digest: bytes, requests_in_replica: int, now: float) -> float | None:
        """A replica ended with this request in it; returns the pause in ms if that opens the breaker, else None."""
        attribution = self._track(function, digest)
        recent = [end for end in attribution.replica_ends if end.ended_at > now - self.window]
        attribution.replica_ends = [*recent, ReplicaEnd(now, 1 / max(1, requests_in_replica))]
        breaker = attribution.breaker
        if breaker.awaits_trial:
            return None
        if not breaker.is_open:
            if sum(end.share for end in attribution.replica_ends) < self.replicas - ROUNDING:
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

    def succeeded(self, function: str, digest: bytes) -> bool:
        """The request ended without ending its replica; True if that closes its breaker."""
        attribution = self.tracked.pop((function, digest), None)
        return attribution is not None and self._forget(function, attribution)

    def _forget(self, function: str, attribution: FailureAttribution) -> bool:
        """Updates the count for a request that is no longer tracked; True if its breaker was open."""
        if not attribution.breaker.is_open:
            return False
        self.open_by_function[function] -= 1
        if not self.open_by_function[function]:
            del self.open_by_function[function]
        return True

    def try_acquire(self, function: str, digest: bytes, now: float) -> float | None:
        """Asks to let the request pass; returns None where it may, else ms until it may be retried.

        Where its breaker is half-open, the request claims the trial. To be called only for functions in
        `open_by_function`, since a digest takes time.
        """
        attribution = self.tracked.get((function, digest))
        return None if attribution is None else self.backoff.try_acquire(attribution.breaker, now)

    def is_open(self, function: str, digest: bytes) -> bool:
        """Whether the request's breaker is open, with or without a trial."""
        attribution = self.tracked.get((function, digest))
        return attribution is not None and attribution.breaker.is_open
