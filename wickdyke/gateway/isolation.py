"""Isolates functions that fail to load on every worker and requests that crash replicas.

The coordinator reports how attempts and prewarms ended, and asks which requests are to be rejected without an attempt.
`CircuitBreaker` keeps the state.
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

RECONNECT_TIMEOUT = 1000.0  # ms; a worker whose lost connection is not re-established by then is considered down


class Isolation(Protocol):
    """Observes the results of attempts and prewarms, and may reject requests because of failures."""

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Sets the parts of the coordinator that are used; called once, before any other method."""

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """Returns the answer to a request that is to be rejected without an attempt, None where one may be made."""

    def attempt_succeeded(self, attempt: Attempt, request_input: bytes | None) -> None:
        """Handles the success of an attempt; `request_input` is None where the request was closed before."""

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> Rejection | None:
        """Handles an attempt that did not succeed. Returns an answer where its request is to be rejected for that."""

    def prewarm_finished(self, worker: str, function: str, result: CommandResult) -> None:
        """Handles the end of a prewarm."""


class NoIsolation:
    """Isolates nothing: in the platform's front end every decision is the router's."""

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Does nothing."""

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """Rejects nothing."""
        return None

    def attempt_succeeded(self, attempt: Attempt, request_input: bytes | None) -> None:
        """Does nothing."""

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> Rejection | None:
        """Rejects nothing."""
        return None

    def prewarm_finished(self, worker: str, function: str, result: CommandResult) -> None:
        """Does nothing."""


class BreakerIsolation:
    """Reports results to the circuit breaker, and rejects requests in flight for which it opens."""

    def __init__(self, breaker: CircuitBreaker) -> None:
        self.breaker = breaker
        self.context: Context
        self.workers: WorkerRegistry

    def attach(self, context: Context, workers: WorkerRegistry) -> None:
        """Sets the parts of the coordinator that are used; called once, before any other method."""
        self.context = context
        self.workers = workers

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """Returns the answer to a request that is to be rejected without an attempt, None where one may be made."""
        return self.breaker.rejection(function, request_input, now)

    def attempt_succeeded(self, attempt: Attempt, request_input: bytes | None) -> None:
        """Records that a worker has the function loaded, and that a request with this input crashes no replica."""
        function = attempt.request.function.name
        self.breaker.loaded(function)
        if request_input is not None:
            self.breaker.succeeded(function, request_input)

    def prewarm_finished(self, worker: str, function: str, result: CommandResult) -> None:
        """Records a failed or successful load of the function at the worker."""
        if result.outcome == Outcome.ERROR:
            self.breaker.load_failed(function, worker, self.context.now())
        elif result.outcome == Outcome.OK and result.replicas:
            self.breaker.loaded(function)

    def attempt_failed(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> Rejection | None:
        """Counts the failure against the function or against the request."""
        function = attempt.request.function.name
        worker = attempt.replica.worker.endpoint.ident
        if result.outcome == Outcome.MISS and self.context.config.function_cache.loads_on_demand:
            self.breaker.load_failed(function, worker, self.context.now())
        lost = result.outcome == Outcome.CONNECTION_LOST
        if pending.closed or not (result.requests_in_replica or lost):
            return None
        # The request is still open, so its input is still there: it is dropped with the answer.
        digest = self.breaker.digest(pending.params.input or b"")
        if result.requests_in_replica:
            self.breaker.replica_ended(function, digest, result.requests_in_replica, self.context.now())
        else:
            self._connection_lost(worker, function, digest)
        return self._rejection_in_flight(attempt, function, digest)

    def _connection_lost(self, worker: str, function: str, digest: bytes) -> None:
        worker_start = self._start_of(worker) or 0
        if self.breaker.connection_lost(worker, worker_start, function, digest):
            self.context.timers.at(self.context.now() + RECONNECT_TIMEOUT, self._resolve_losses, worker)

    def _resolve_losses(self, worker: str) -> None:
        client = self.workers.clients.get(worker)
        is_connected = isinstance(client, ConnectionState) and client.is_connected
        self.breaker.resolve_losses(worker, self._start_of(worker) if is_connected else None, self.context.now())

    def _start_of(self, worker: str) -> int | None:
        endpoints = self.workers.endpoints
        return endpoints.start_of(worker) if isinstance(endpoints, HelloEndpointList) else None

    def _rejection_in_flight(self, attempt: Attempt, function: str, digest: bytes) -> Rejection | None:
        # A request admitted before the breaker opened would be attempted on one replica after another. A rejection
        # promises that a retry is harmless, so only an idempotent request may be rejected after an attempt.
        request = attempt.request
        if request.closed or request.request_class.effect != Effect.IDEMPOTENT:
            return None
        if not self.breaker.is_open(function, digest):
            return None
        return Rejection(RejectionReason.POISON, self.breaker.requests.backoff.first_pause)
