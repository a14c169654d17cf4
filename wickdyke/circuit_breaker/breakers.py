"""Circuit breakers for functions that load nowhere and for requests that end each replica they run in.

The router places functions and retries requests in good faith: each gateway would try a broken function on every
worker, and carry a poison request from replica to replica. While a breaker is open, what it is for is rejected at once,
saying when to come back; after a pause one request passes as a trial, and the pause doubles if that fails. All else
goes on as before. Times are float ms of the host: the same events give the same answers.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_TRACKED = 10_000  # functions or requests remembered; the least recently heard of go first
MAX_DOUBLINGS = 40  # of a pause: a float holds it
ROUNDING = 1e-9  # of a sum of shares


@dataclass(slots=True, frozen=True)
class BreakerSettings:
    """When something is kept from being tried. Times are ms."""

    workers: int = 2
    loads_window: float = 30000.0
    loads_first: float = 1000.0
    loads_most: float = 60000.0
    copies: float = 3.0
    calls_window: float = 60000.0
    calls_first: float = 10000.0
    calls_most: float = 600000.0


@dataclass(slots=True)
class Breaker:
    """Whether something is rejected and until when; `step` doubles the pause. `trial` is when one was let through."""

    until: float = 0.0
    step: int = 0
    is_open: bool = False
    trial: float | None = None


class Backoff:
    """Pauses of `first` ms, doubled up to `most`.

    With many gateways up to `first` for each: all of them together try about once in `first` at the longest.
    """

    def __init__(self, first: float, most: float, gateways: int = 1) -> None:
        self.first, self.most = first, max(most, first * gateways)

    def trip(self, breaker: Breaker, now: float) -> float:
        """Opens it for the next pause; returns its length."""
        pause = min(self.most, self.first * 2.0 ** min(breaker.step, MAX_DOUBLINGS))
        breaker.until, breaker.step = now + pause, breaker.step + 1
        breaker.is_open, breaker.trial = True, None
        return pause

    def wait(self, breaker: Breaker, now: float) -> float | None:
        """None where a request may go (as the trial, once the pause is over), else ms until it is worth coming back."""
        if not breaker.is_open:
            return None
        if now < breaker.until:
            return breaker.until - now
        if breaker.trial is None or now >= breaker.trial + self.first:  # a trial without a result is not waited for
            breaker.trial = now
            return None
        return breaker.trial + self.first - now


@dataclass(slots=True)
class LoadFailures:
    """Workers where loads of a function failed since it was last loaded somewhere, with the time."""

    breaker: Breaker = field(default_factory=Breaker)
    failed: dict[str, float] = field(default_factory=dict)


class FunctionBreakers:
    """Functions that fail to load at `workers` different workers, and were loaded nowhere in between.

    Failures at fewer concern the worker alone: the router goes elsewhere. A failure counts for `window` ms.
    """

    def __init__(self, workers: int, window: float, backoff: Backoff) -> None:
        self.workers, self.window, self.backoff = workers, window, backoff
        self.known: OrderedDict[str, LoadFailures] = OrderedDict()

    def failed(self, function: str, worker: str, now: float) -> float | None:
        """A load failed there; the pause in ms where that opens the breaker."""
        loads = self.known.setdefault(function, LoadFailures())
        self.known.move_to_end(function)
        if len(self.known) > MAX_TRACKED:
            self.known.popitem(last=False)
        loads.failed = {name: at for name, at in loads.failed.items() if at > now - self.window}
        loads.failed[worker] = now
        breaker = loads.breaker
        if breaker.is_open and breaker.trial is None:
            return None  # sent before the breaker opened
        if breaker.is_open or len(loads.failed) >= self.workers:
            return self.backoff.trip(breaker, now)
        return None

    def loaded(self, function: str) -> bool:
        """It is loaded or ran somewhere: all is forgotten. True where that closes the breaker."""
        loads = self.known.pop(function, None)
        return loads is not None and loads.breaker.is_open

    def wait(self, function: str, now: float) -> float | None:
        """None where a request for it may go, else ms until it is worth coming back."""
        loads = self.known.get(function)
        return None if loads is None else self.backoff.wait(loads.breaker, now)


@dataclass(slots=True)
class FailureAttribution:
    """What a request is blamed for: shares of replicas that ended with it inside, with their times."""

    breaker: Breaker = field(default_factory=Breaker)
    shares: list[tuple[float, float]] = field(default_factory=list)


class RequestBreakers:
    """Requests that end replicas; requests are the same by function and input (the host's digest).

    Each replica that ends divides one blame among the requests that were in it; the breaker of a request that gathers
    `replicas` of them within `window` ms opens.
    """

    def __init__(self, replicas: float, window: float, backoff: Backoff) -> None:
        self.replicas, self.window, self.backoff = replicas, window, backoff
        self.known: OrderedDict[tuple[str, bytes], FailureAttribution] = OrderedDict()
        self.open_by_function: dict[str, int] = {}

    def replica_ended(self, function: str, digest: bytes, requests_in_replica: int, now: float) -> float | None:
        """A replica or worker ended with this request and others in it; the pause where that opens the breaker."""
        blame = self._blame(function, digest)
        recent = [(at, share) for at, share in blame.shares if at > now - self.window]
        blame.shares = recent + [(now, 1 / max(1, requests_in_replica))]
        breaker = blame.breaker
        if breaker.is_open and breaker.trial is None:
            return None
        if not breaker.is_open:
            if sum(share for _, share in blame.shares) < self.replicas - ROUNDING:
                return None
            self.open_by_function[function] = self.open_by_function.get(function, 0) + 1
        return self.backoff.trip(breaker, now)

    def _blame(self, function: str, digest: bytes) -> FailureAttribution:
        key = function, digest
        blame = self.known.setdefault(key, FailureAttribution())
        self.known.move_to_end(key)
        if len(self.known) > MAX_TRACKED:
            oldest, dropped = self.known.popitem(last=False)
            self._close(oldest, dropped)
        return blame

    def succeeded(self, function: str, digest: bytes) -> bool:
        """It ran to an end that harmed nobody: forgotten. True where that closes the breaker."""
        blame = self.known.pop((function, digest), None)
        return blame is not None and self._close((function, digest), blame)

    def _close(self, key: tuple[str, bytes], blame: FailureAttribution) -> bool:
        if not blame.breaker.is_open:
            return False
        function = key[0]
        self.open_by_function[function] -= 1
        if not self.open_by_function[function]:
            del self.open_by_function[function]
        return True

    def wait(self, function: str, digest: bytes, now: float) -> float | None:
        """None where it may go, else ms until it is worth coming back.

        Asked only where `open_by_function` has the function.
        """
        blame = self.known.get((function, digest))
        return None if blame is None else self.backoff.wait(blame.breaker, now)

    def is_open(self, function: str, digest: bytes) -> bool:
        """Whether its breaker is open now, a trial or not."""
        blame = self.known.get((function, digest))
        return blame is not None and blame.breaker.is_open
