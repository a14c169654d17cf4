"""Keeps functions that load nowhere, and requests that end replicas, from being tried: the coordinator's observer.

What it knows is `CircuitBreaker`'s; what it may do with a request is the coordinator's.
"""

from typing import TYPE_CHECKING, Protocol

from wickdyke.gateway.circuit_breaker import CircuitBreaker
from wickdyke.gateway.interfaces import CommandResult, PendingRequest
from wickdyke.routing.model import Attempt, Effect, Outcome

if TYPE_CHECKING:
    from wickdyke.gateway.attempts import Attempts

RESTART_TIME = 1000.0  # ms after a connection ended by which it is back, or its worker went down


class Isolation(Protocol):
    """What the coordinator tells an observer of failures."""

    def turned_away(self, function: str, content, now: float) -> tuple[str, float] | None:
        """(why, ms until it is worth coming back) of a request that is not to be tried now."""

    def served(self, attempt: Attempt, content) -> None:
        """An attempt was answered ok; `content` is None where another answered before."""

    def harmed(self, attempts: "Attempts", pending: PendingRequest, attempt: Attempt, result: CommandResult) -> None:
        """An attempt did not come to its answer."""

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """A prewarm ended."""


class NoIsolation:
    """Observes nothing: on the platform every decision is the router's."""

    def turned_away(self, function: str, content, now: float) -> tuple[str, float] | None:
        """Nothing is turned away."""
        return None

    def served(self, attempt: Attempt, content) -> None:
        """Nothing to do."""

    def harmed(self, attempts: "Attempts", pending: PendingRequest, attempt: Attempt, result: CommandResult) -> None:
        """Nothing to do."""

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """Nothing to do."""


class BreakerIsolation:
    """Feeds the circuit breaker, and rejects a request in flight that it opens for."""

    def __init__(self, breaker: CircuitBreaker, clock) -> None:
        self.breaker, self.clock = breaker, clock

    def turned_away(self, function: str, content, now: float) -> tuple[str, float] | None:
        """(why, ms until it is worth coming back) of a request that is not to be tried now."""
        return self.breaker.turned_away(function, content, now)

    def served(self, attempt: Attempt, content) -> None:
        """The function stands somewhere; a request with that content does no harm."""
        function = attempt.request.function.name
        self.breaker.stood(function)
        if content is not None:
            self.breaker.ran(function, content)

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """A load failed there, or the function stands."""
        if result.outcome == Outcome.ERROR:
            self.breaker.load_failed(function, worker, self.clock())
        elif result.outcome == Outcome.OK and result.replicas:
            self.breaker.stood(function)

    def harmed(self, attempts: "Attempts", pending: PendingRequest, attempt: Attempt, result: CommandResult) -> None:
        """Notes what the failure says of the function, or of the request."""
        function, worker = attempt.request.function.name, attempt.replica.worker.endpoint.ident
        if result.outcome == Outcome.MISS and attempts.context.station.function_cache.loads_on_demand:
            self.breaker.load_failed(function, worker, self.clock())
        lost = result.outcome == Outcome.CONNECTION_LOST
        if pending.closed or not (result.requests_in_replica or lost):
            return
        digest = self.breaker.digest(pending.call.input)
        if result.requests_in_replica:
            self.breaker.copy_ended(function, digest, result.requests_in_replica, self.clock())
        else:
            seen = attempts.workers.endpoints.seen.get(worker)
            if self.breaker.cut(worker, seen.start if seen else 0, function, digest):
                attempts.context.timers.at(self.clock() + RESTART_TIME, self._settle, attempts, worker)
        # Admitted before the breaker opened, it would go on from replica to replica by its attempts. Idempotent: to
        # reject it is as good as to fail it.
        request = attempt.request
        idempotent = request.request_class.effect == Effect.IDEMPOTENT
        if idempotent and not request.closed and self.breaker.is_barred(function, digest):
            pause = self.breaker.calls.pauses.first
            attempts.requests.answer_undecided(pending, pending.reject, "poison", pause)

    def _settle(self, attempts: "Attempts", worker: str) -> None:
        seen, client = attempts.workers.endpoints.seen.get(worker), attempts.workers.clients.get(worker)
        self.breaker.settle(worker, seen.start if seen and client and client.up else None, self.clock())
