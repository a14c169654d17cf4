"""The circuit breaker of one gateway: which functions and requests are not tried for now, by what workers answered."""

import hashlib
from dataclasses import dataclass

from wickdyke.circuit_breaker.breakers import Backoff, BreakerSettings, FunctionBreakers, RequestBreakers
from wickdyke.gateway.answers import Rejection
from wickdyke.gateway.interfaces import Log, RejectionReason

DIGEST_SIZE = 16  # bytes


@dataclass(slots=True)
class LostAttempt:
    """An attempt whose connection ended: of which request, at which start of the worker."""

    function: str
    digest: bytes
    start: int


def input_digest(request_input: bytes) -> bytes:
    """The digest by which inputs of requests are distinguished."""
    return hashlib.blake2b(request_input, digest_size=DIGEST_SIZE).digest()


class CircuitBreaker:
    """Functions that do not load and requests that end replicas, for one gateway."""

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
        self.unsettled: dict[str, list[LostAttempt]] = {}  # by worker, until it is known whether that is down

    def rejection(self, function: str, request_input: bytes | None, now: float) -> Rejection | None:
        """The answer to a request that is not to be tried now; None where it may be."""
        if (wait := self.functions.try_acquire(function, now)) is not None:
            return Rejection(RejectionReason.LOAD_FAILED, wait)
        if request_input is None or function not in self.requests.open_by_function:
            return None  # the digest of a large input takes time: only where it may be needed
        if (wait := self.requests.try_acquire(function, input_digest(request_input), now)) is not None:
            return Rejection(RejectionReason.POISON, wait)
        return None

    def loaded(self, function: str) -> None:
        """The function is loaded somewhere."""
        if self.functions.record_load(function):
            self.log.info("function breaker closed", function=function)

    def load_failed(self, function: str, worker: str, now: float) -> None:
        """A load of the function failed at that worker."""
        pause = self.functions.record_failure(function, worker, now)
        if pause is not None:
            self.log.warning(
                "function breaker opened",
                function=function,
                pause_ms=round(pause),
                reason="it loads nowhere: " + ", ".join(self.functions.failed_workers(function)),
            )

    def succeeded(self, function: str, request_input: bytes) -> None:
        """A request for the function ended without harm."""
        if function in self.requests.open_by_function and self.requests.record_success(
            function, input_digest(request_input)
        ):
            self.log.info("request breaker closed", function=function)

    def replica_ended(self, function: str, request_digest: bytes, requests_in_replica: int, now: float) -> None:
        """The replica that a request was in ended, with so many requests in it."""
        pause = self.requests.record_replica_end(function, request_digest, requests_in_replica, now)
        if pause is not None:
            self.log.warning(
                "request breaker opened",
                function=function,
                digest=request_digest.hex(),
                pause_ms=round(pause),
                reason="replicas end under it",
            )

    def connection_lost(self, worker: str, start: int, function: str, request_digest: bytes) -> bool:
        """A connection ended with the request in flight. True for the first of that worker: `settle` is due later."""
        lost = self.unsettled.setdefault(worker, [])
        lost.append(LostAttempt(function, request_digest, start))
        return len(lost) == 1

    def settle(self, worker: str, start: int | None, now: float) -> None:
        """To be called once it is known whether the worker of lost connections is down.

        `start` is that of its connection, None where there is none. For a connection lost while the worker is alive no
        request is blamed.
        """
        down = [lost for lost in self.unsettled.pop(worker, []) if lost.start != start]
        for lost in down:
            self.replica_ended(lost.function, lost.digest, len(down), now)

    def is_open(self, function: str, request_digest: bytes) -> bool:
        """Whether further attempts of such a request are prevented, also where it was admitted before."""
        return self.requests.is_open(function, request_digest)
