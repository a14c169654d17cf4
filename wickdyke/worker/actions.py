"""The actions that the schedule decides on. The host carries them out in their order."""

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
    """Run the request in a free slot of the replica."""

    request: Request
    replica: Replica


@dataclass(slots=True, frozen=True)
class Stop:
    """Have the replica stop the request, which has been answered or cancelled."""

    request: Request
    replica: Replica


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer the request with an error; it may have run if `request.started_at` is set."""

    request: Request
    rejection: Rejection


@dataclass(slots=True, frozen=True)
class PrewarmDone:
    """Answer the prewarm request: `ready` replicas can serve."""

    prewarm: PrewarmRequest
    ready: int


@dataclass(slots=True, frozen=True)
class PrewarmFailed:
    """Answer the prewarm request with an error; `ready` replicas can serve."""

    prewarm: PrewarmRequest
    rejection: Rejection
    ready: int


Action = StartLoad | Unload | Kill | Run | Stop | Reject | PrewarmDone | PrewarmFailed
