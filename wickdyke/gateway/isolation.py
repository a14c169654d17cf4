"""Keeps functions that load nowhere, and requests that end replicas, from being tried: the coordinator's observer.

It is told how attempts and prewarms ended, and says which requests are not to be tried.
`CircuitBreaker` keeps the state.
"""

from typing import Protocol

from wickdyke.gateway.circuit_breaker import CircuitBreaker
from wickdyke.gateway.context import Context
from wickdyke.gateway.interfaces import CommandResult, PendingRequest
from wickdyke.gateway.worker_registry import WorkerRegistry
from wickdyke.routing.model import Attempt, Effect, Outcome

RESTART_TIME = 1000.0  # ms after a connection ended by which it is back, or its worker went down


class Isolation(Protocol):
    """What the coordinator tells an observer of failures."""

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Gives it the coordinator's parts that it uses; called once, before all else."""

    def turned_away(self, function: str, content, now: float) -> tuple[str, float] | None:
        """(why, ms until it is worth coming back) of a request that is not to be tried now."""

    def served(self, attempt: Attempt, content) -> None:
        """An attempt was answered ok; `content` is None where another answered before."""

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> float | None:
        """An attempt did not come to its answer. Returns ms where its request is to be rejected: retry after those."""

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """A prewarm ended."""


class NoIsolation:
    """Observes nothing: on the platform every decision is the router's."""

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Nothing to do."""

    def turned_away(self, function: str, content, now: float) -> tuple[str, float] | None:
        """Nothing is turned away."""
        return None

    def served(self, attempt: Attempt, content) -> None:
        """Nothing to do."""

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> float | None:
        """Nothing is rejected."""
        return None

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """Nothing to do."""


class BreakerIsolation:
    """Feeds the circuit breaker, and has a request in flight rejected that it opens for."""

    def __init__(self, breaker: CircuitBreaker) -> None:
        self.breaker = breaker
        self.context: Context | None = None
        self.workers: WorkerRegistry | None = None

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Gives it the coordinator's parts that it uses; called once, before all else."""
        self.context, self.workers = context, workers

    def turned_away(self, function: str, content, now: float) -> tuple[str, float] | None:
        """(why, ms until it is worth coming back) of a request that is not to be tried now."""
        return self.breaker.turned_away(function, content, now)

    def served(self, attempt: Attempt, content) -> None:
        """The function is loaded somewhere; a request with that content does no harm."""
        function = attempt.request.function.name
        self.breaker.loaded(function)
        if content is not None:
            self.breaker.succeeded(function, content)

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """A load failed there, or the function is loaded."""
        if result.outcome == Outcome.ERROR:
            self.breaker.load_failed(function, worker, self.context.now())
        elif result.outcome == Outcome.OK and result.replicas:
            self.breaker.loaded(function)

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> float | None:
        """Notes what the failure tells of the function, or of the request."""
        function, worker = attempt.request.function.name, attempt.replica.worker.endpoint.ident
        if result.outcome == Outcome.MISS and self.context.config.function_cache.loads_on_demand:
            self.breaker.load_failed(function, worker, self.context.now())
        lost = result.outcome == Outcome.CONNECTION_LOST
        if pending.closed or not (result.requests_in_replica or lost):
            return None
        digest = self.breaker.digest(pending.call.input)
        if result.requests_in_replica:
            self.breaker.replica_ended(function, digest, result.requests_in_replica, self.context.now())
        else:
            self._connection_lost(worker, function, digest)
        return self._retry_after(attempt, function, digest)

    def _connection_lost(self, worker: str, function: str, digest: bytes) -> None:
        start = self.workers.endpoints.start_of(worker) or 0
        if self.breaker.connection_lost(worker, start, function, digest):
            self.context.timers.at(self.context.now() + RESTART_TIME, self._settle, worker)

    def _settle(self, worker: str) -> None:
        client = self.workers.clients.get(worker)
        start = self.workers.endpoints.start_of(worker) if client is not None and client.up else None
        self.breaker.settle(worker, start, self.context.now())

    def _retry_after(self, attempt: Attempt, function: str, digest: bytes) -> float | None:
        # Admitted before the breaker opened, it would go on from replica to replica by its attempts. Only an
        # idempotent one may be rejected: there it is as good as to fail it.
        request = attempt.request
        if request.closed or request.request_class.effect != Effect.IDEMPOTENT:
            return None
        return self.breaker.requests.backoff.first if self.breaker.is_open(function, digest) else None
