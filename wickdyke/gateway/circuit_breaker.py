"""The circuit breaker of one gateway: which functions and requests are not tried for now, by what workers answered."""

import hashlib
from dataclasses import dataclass

from wickdyke.circuit_breaker.breakers import Backoff, BreakerSettings, FunctionBreakers, RequestBreakers


@dataclass(slots=True)
class LostAttempt:
    """An attempt whose connection ended: of which request, at which start of the worker."""

    function: str
    digest: bytes
    start: int


def digest(content: bytes | memoryview) -> bytes:
    """The digest by which inputs of requests are distinguished."""
    return hashlib.blake2b(content, digest_size=16).digest()


class CircuitBreaker:
    """Functions that do not load and requests that end replicas, for one gateway."""

    digest = staticmethod(digest)

    def __init__(self, isolation: BreakerSettings, gateways: int, log) -> None:
        self.log = log
        functions, requests = isolation.functions, isolation.requests
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
        self.unsettled: dict[str, list[LostAttempt]] = {}  # by worker, until it is known whether that went down

    def turned_away(self, function: str, content, now: float) -> tuple[str, float] | None:
        """(why, ms until it is worth coming back) of a request that is not to be tried now."""
        if (wait := self.functions.wait(function, now)) is not None:
            return "load-failed", wait
        if function not in self.requests.open_by_function:
            return None  # the digest of a large input takes time: only where it may be needed
        if (wait := self.requests.wait(function, digest(content), now)) is not None:
            return "poison", wait
        return None

    def loaded(self, function: str) -> None:
        """It is loaded somewhere."""
        if self.functions.loaded(function):
            self.log.info("program back", program=function)

    def load_failed(self, function: str, worker: str, now: float) -> None:
        """A load of it failed there."""
        pause = self.functions.failed(function, worker, now)
        if pause is not None:
            self.log.warning(
                "program barred",
                program=function,
                pause_ms=round(pause),
                why="it loads nowhere: " + ", ".join(self.functions.failed_workers(function)),
            )

    def succeeded(self, function: str, content) -> None:
        """A request for it ended without harm."""
        if function in self.requests.open_by_function and self.requests.succeeded(function, digest(content)):
            self.log.info("call back", program=function)

    def replica_ended(self, function: str, request_digest: bytes, requests_in_replica: int, now: float) -> None:
        """The replica that a request was in ended, with so many requests in it."""
        pause = self.requests.replica_ended(function, request_digest, requests_in_replica, now)
        if pause is not None:
            self.log.warning(
                "call barred",
                program=function,
                digest=request_digest.hex(),
                pause_ms=round(pause),
                why="copies end under it",
            )

    def connection_lost(self, worker: str, start: int, function: str, request_digest: bytes) -> bool:
        """A connection ended with the request in flight. True for the first of that worker: `settle` is due later."""
        lost = self.unsettled.setdefault(worker, [])
        lost.append(LostAttempt(function, request_digest, start))
        return len(lost) == 1

    def settle(self, worker: str, start: int | None, now: float) -> None:
        """Whether the worker behind lost connections went down is known by now.

        `start` is that of its connection, None where there is none. For a connection lost while the worker lives no
        request is blamed.
        """
        down = [lost for lost in self.unsettled.pop(worker, []) if lost.start != start]
        for lost in down:
            self.replica_ended(lost.function, lost.digest, len(down), now)

    def is_open(self, function: str, request_digest: bytes) -> bool:
        """Whether such a request is not to go on, also where it was admitted before."""
        return self.requests.is_open(function, request_digest)
