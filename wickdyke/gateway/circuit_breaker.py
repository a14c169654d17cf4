"""The circuit breaker of one gateway: stops attempts for functions and requests that keep failing at the workers."""

import hashlib
from dataclasses import dataclass

from wickdyke.circuit_breaker.breakers import Backoff, BreakerSettings, FunctionBreakers, RequestBreakers
from wickdyke.gateway.answers import Rejection
from wickdyke.gateway.interfaces import Log, RejectionReason

DIGEST_SIZE = 16  # bytes


@dataclass(slots=True)
class LostAttempt:
    """An attempt whose connection was lost: the request's function and input digest, and the worker's start number."""

    function: str
    digest: bytes
    worker_start: int


def input_digest(request_input: bytes) -> bytes:
    """Returns the digest that identifies a request's input."""
    return hashlib.blake2b(request_input, digest_size=DIGEST_SIZE).digest()


class CircuitBreaker:
    """Tracks the functions that fail to load and the requests that crash replicas, for one gateway."""

    digest = staticmethod(input_digest)

    def __init__(self, settings: BreakerSettings, gateways: int, log: Log) -> None:
        self.log = log
        functions = settings.functions
        requests = settings.requests
        self.functions = FunctionBreakers(
            functions.workers,
            functions.window,
            Backoff(functions.first_pause, functions.longest_pause, gateways),
        )
        self.requests = RequestBreakers(
            requests.replicas,
            requests.window,
            Backoff(requests.first_pause, requests.longest_pause, gateways),
        )
        self.unresolved_losses: dict[str, list[LostAttempt]] = {}  # by worker; kept until it is known to be up or down

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """Returns the answer to a request that is to be rejected without an attempt, None where one may be made."""
        if (wait := self.functions.try_acquire(function, now)) is not None:
            return Rejection(RejectionReason.LOAD_FAILED, wait)
        if request_input is None or function not in self.requests.open_by_function:
            return None  # the digest of a large input takes time, so it is computed only where it may be needed
        if (wait := self.requests.try_acquire(function, input_digest(request_input), now)) is not None:
            return Rejection(RejectionReason.POISON, wait)
        return None

    def loaded(self, function: str) -> None:
        """Records that a worker has the function loaded, which closes its breaker."""
        if self.functions.record_load(function):
            self.log.info("function breaker closed", function=function)

    def load_failed(self, function: str, worker: str, now: float) -> None:
        """Records that the function failed to load at that worker."""
        pause = self.functions.record_failure(function, worker, now)
        if pause is not None:
            self.log.warning(
                "function breaker opened",
                function=function,
                pause_ms=round(pause),
                reason="loading failed at workers: " + ", ".join(self.functions.failed_workers(function)),
            )

    def succeeded(self, function: str, request_input: bytes) -> None:
        """Records that a request succeeded, which closes the breaker of its input."""
        if function in self.requests.open_by_function and self.requests.record_success(
            function, input_digest(request_input)
        ):
            self.log.info("request breaker closed", function=function)

    def replica_ended(self, function: str, request_digest: bytes, requests_in_replica: int, now: float) -> None:
        """Records that the replica of a request ended with `requests_in_replica` requests in it."""
        pause = self.requests.record_replica_end(function, request_digest, requests_in_replica, now)
        if pause is not None:
            self.log.warning(
                "request breaker opened",
                function=function,
                digest=request_digest.hex(),
                pause_ms=round(pause),
                reason="replicas end while executing the request",
            )

    def connection_lost(self, worker: str, worker_start: int, function: str, request_digest: bytes) -> bool:
        """Records that a connection was lost with the request in flight.

        Returns True for the worker's first unresolved loss: the caller is then to call `resolve_losses` later.
        """
        lost = self.unresolved_losses.setdefault(worker, [])
        lost.append(LostAttempt(function, request_digest, worker_start))
        return len(lost) == 1

    def resolve_losses(self, worker: str, worker_start: int | None, now: float) -> None:
        """Resolves the lost attempts of a worker once it is known whether the worker is down.

        `worker_start` is the worker's start number on its current connection, None where it has none. A connection lost
        without a restart of the worker counts against no request.
        """
        down = [lost for lost in self.unresolved_losses.pop(worker, []) if lost.worker_start != worker_start]
        for lost in down:
            self.replica_ended(lost.function, lost.digest, len(down), now)

    def is_open(self, function: str, request_digest: bytes) -> bool:
        """Whether the breaker is open for requests with this input, also for those admitted before it opened."""
        return self.requests.is_open(function, request_digest)
