"""The router's decisions, which the host carries out in order."""

from dataclasses import dataclass

from wickdyke.routing.model import Attempt, Function, Request, Worker


@dataclass(slots=True, frozen=True, eq=False)
class Forward:
    """Send the request's next attempt to the worker, and withdraw it after `timeout` ms if that is given."""

    request: Request
    worker: Worker
    timeout: float | None


@dataclass(slots=True, frozen=True, eq=False)
class Cancel:
    """Withdraw an attempt."""

    attempt: Attempt


@dataclass(slots=True, frozen=True, eq=False)
class Reject:
    """Answer the request as rejected: the client may safely repeat it, after `retry_after` ms if that is given.

    Only for requests for which `retries.may_reject` holds; the others are answered with `Fail`.
    """

    request: Request
    retry_after: float | None


@dataclass(slots=True, frozen=True, eq=False)
class Fail:
    """Answer that the request failed and may have run."""

    request: Request


@dataclass(slots=True, frozen=True, eq=False)
class Prewarm:
    """Request that the worker load `replicas` replicas of the function.

    The host must send the first byte before `begin_before` (ms), or not send it at all.
    """

    worker: Worker
    function: Function
    replicas: int
    begin_before: float


@dataclass(slots=True, frozen=True, eq=False)
class HealthCheck:
    """Request a load report from the worker."""

    worker: Worker


@dataclass(slots=True, frozen=True)
class FollowEndpoints:
    """Subscribe to the endpoint list if `enabled`, otherwise unsubscribe."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class LogNote:
    """A line for the log."""

    text: str


Decision = Forward | Cancel | Reject | Fail | Prewarm | HealthCheck | FollowEndpoints | LogNote
