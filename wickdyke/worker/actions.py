"""What the schedule decides. The host carries these out, in their order."""

from dataclasses import dataclass

from wickdyke.worker.model import PrewarmRequest, Rejection, Replica, Request


@dataclass(slots=True, frozen=True)
class StartLoad:
    """Begin to load the replica."""

    replica: Replica


@dataclass(slots=True, frozen=True)
class Unload:
    """End the replica, which is idle."""

    replica: Replica


@dataclass(slots=True, frozen=True)
class Kill:
    """End the replica, busy or not."""

    replica: Replica
    reason: str


@dataclass(slots=True, frozen=True)
class Run:
    """Hand the request to a free lane of the replica."""

    request: Request
    replica: Replica


@dataclass(slots=True, frozen=True)
class Stop:
    """Have the replica's lane end the request, which is answered or cancelled."""

    request: Request
    replica: Replica


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer the request with an error; `request.started_at` tells whether it may have run."""

    request: Request
    rejection: Rejection


@dataclass(slots=True, frozen=True)
class PrewarmDone:
    """Answer the prewarm request: so many replicas are ready."""

    prewarm: PrewarmRequest
    ready: int


@dataclass(slots=True, frozen=True)
class PrewarmFailed:
    """Answer the prewarm request with an error; so many replicas are ready."""

    prewarm: PrewarmRequest
    rejection: Rejection
    ready: int


Action = StartLoad | Unload | Kill | Run | Stop | Reject | PrewarmDone | PrewarmFailed
