"""What the router decides. The host carries each decision out in the order in which they come."""

from dataclasses import dataclass

from wickdyke.routing.model import Attempt, Function, Request, Worker


@dataclass(slots=True, frozen=True, eq=False)
class Forward:
    """Send the request's next attempt to the worker; withdraw it after `timeout` ms, if that is given."""

    request: Request
    worker: Worker
    timeout: float | None


@dataclass(slots=True, frozen=True, eq=False)
class Cancel:
    """Withdraw an attempt."""

    attempt: Attempt


@dataclass(slots=True, frozen=True, eq=False)
class Reject:
    """Answer that nothing was done and may be asked again, after `retry_after` ms if that is given."""

    request: Request
    retry_after: float | None


@dataclass(slots=True, frozen=True, eq=False)
class Fail:
    """Answer that the request failed and may have run."""

    request: Request


@dataclass(slots=True, frozen=True, eq=False)
class Prewarm:
    """Order the worker to have so many replicas of the function loaded."""

    worker: Worker
    function: Function
    replicas: int


@dataclass(slots=True, frozen=True, eq=False)
class HealthCheck:
    """Ask the worker for its load report."""

    worker: Worker


@dataclass(slots=True, frozen=True)
class FollowEndpoints:
    """Subscribe to the endpoint list, or stop."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class LogNote:
    """A line for the log."""

    text: str


Decision = Forward | Cancel | Reject | Fail | Prewarm | HealthCheck | FollowEndpoints | LogNote
