"""Keeps functions that load nowhere, and requests that end replicas, from being tried: the coordinator's observer.

It observes how attempts and prewarms ended, and decides which requests are not to be tried. `CircuitBreaker` keeps the
state.
"""

from typing import Protocol

from wickdyke.gateway.answers import Rejection
from wickdyke.gateway.circuit_breaker import CircuitBreaker
from wickdyke.gateway.context import Context
from wickdyke.gateway.interfaces import (
    CommandResult,
    ConnectionState,
    HelloEndpointList,
    PendingRequest,
    RejectionReason,
)
from wickdyke.gateway.worker_registry import WorkerRegistry
from wickdyke.routing.model import Attempt, Effect, Outcome

RESTART_TIME = 1000.0  # ms after a connection ended by which it is back, or its worker is down


class Isolation(Protocol):
    """An observer of failures, which may have requests rejected."""

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Gives it the coordinator's parts that it uses; called once, before all else."""

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """The answer to a request that is not to be tried now; None where it may be."""

    def served(self, attempt: Attempt, request_input: bytes | None) -> None:
        """An attempt succeeded; `request_input` is None where another had succeeded before."""

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> Rejection | None:
        """An attempt did not succeed. Returns an answer where its request is to be rejected for that."""

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """A prewarm ended."""


class NoIsolation:
    """Observes nothing: on the platform every decision is the router's."""

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Nothing to do."""

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """Nothing is rejected."""
        return None

    def served(self, attempt: Attempt, request_input: bytes | None) -> None:
        """Nothing to do."""

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> Rejection | None:
        """Nothing is rejected."""
        return None

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """Nothing to do."""


class BreakerIsolation:
    """Feeds the circuit breaker, and has a request in flight rejected that it opens for."""

    def __init__(self, breaker: CircuitBreaker) -> None:
        self.breaker = breaker
        self.context: Context
        self.workers: WorkerRegistry

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Gives it the coordinator's parts that it uses; called once, before all else."""
        self.context = context
        self.workers = workers

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """The answer to a request that is not to be tried now; None where it may be."""
        return self.breaker.rejection(function, request_input, now)

    def served(self, attempt: Attempt, request_input: bytes | None) -> None:
        """The function is loaded somewhere; a request with that input does no harm."""
        function = attempt.request.function.name
        self.breaker.loaded(function)
        if request_input is not None:
            self.breaker.succeeded(function, request_input)

    def prewarmed(self, worker: str, function: str, result: CommandResult) -> None:
        """A load failed there, or the function is loaded."""
        if result.outcome == Outcome.ERROR:
            self.breaker.load_failed(function, worker, self.context.now())
        elif result.outcome == Outcome.OK and result.replicas:
            self.breaker.loaded(function)

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> Rejection | None:
        """Counts the failure against the function, or against the request."""
        function = attempt.request.function.name
        worker = attempt.replica.worker.endpoint.ident
        if result.outcome == Outcome.MISS and self.context.config.function_cache.loads_on_demand:
            self.breaker.load_failed(function, worker, self.context.now())
        lost = result.outcome == Outcome.CONNECTION_LOST
        if pending.closed or not (result.requests_in_replica or lost):
            return None
        # It is open: its input is dropped only once it is answered.
        digest = self.breaker.digest(pending.params.input or b"")
        if result.requests_in_replica:
            self.breaker.replica_ended(function, digest, result.requests_in_replica, self.context.now())
        else:
            self._connection_lost(worker, function, digest)
        return self._rejection_in_flight(attempt, function, digest)

    def _connection_lost(self, worker: str, function: str, digest: bytes) -> None:
        start = self._start_of(worker) or 0
        if self.breaker.connection_lost(worker, start, function, digest):
            self.context.timers.at(self.context.now() + RESTART_TIME, self._settle, worker)

    def _settle(self, worker: str) -> None:
        client = self.workers.clients.get(worker)
        is_connected = isinstance(client, ConnectionState) and client.up
        self.breaker.settle(worker, self._start_of(worker) if is_connected else None, self.context.now())

    def _start_of(self, worker: str) -> int | None:
        endpoints = self.workers.endpoints
        return endpoints.start_of(worker) if isinstance(endpoints, HelloEndpointList) else None

    def _rejection_in_flight(self, attempt: Attempt, function: str, digest: bytes) -> Rejection | None:
        # A request admitted before the breaker opened would be attempted on one replica after another. Only an
        # idempotent one may be rejected now: a retry of it is harmless, as a rejection promises.
        request = attempt.request
        if request.closed or request.request_class.effect != Effect.IDEMPOTENT:
            return None
        if not self.breaker.is_open(function, digest):
            return None
        return Rejection(RejectionReason.POISON, self.breaker.requests.backoff.first_pause)
