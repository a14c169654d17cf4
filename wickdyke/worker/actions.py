"""The actions that the schedule decides on. The host carries them out in the order in which it receives them."""

from dataclasses import dataclass

from wickdyke.worker.model import PrewarmRequest, Rejection, Replica, Request


@dataclass(slots=True, frozen=True)
class StartLoad:
    """Start to load the replica."""

    replica: Replica


@dataclass(slots=True, frozen=True)
class Unload:
    """End the replica, which is idle."""

    replica: Replica


@dataclass(slots=True, frozen=True)
class Kill:
    """End the replica, whether it runs requests or not."""

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
    """Answer the request with an error; the request may have run if `request.started_at` is set."""

    request: Request
    rejection: Rejection


@dataclass(slots=True, frozen=True)
class PrewarmDone:
    """Answer the prewarm request: `ready_count` replicas are ready."""

    prewarm: PrewarmRequest
    ready_count: int


@dataclass(slots=True, frozen=True)
class PrewarmFailed:
    """Answer the prewarm request with an error; `ready_count` replicas are ready."""

    prewarm: PrewarmRequest
    rejection: Rejection
    ready_count: int


Action = StartLoad | Unload | Kill | Run | Stop | Reject | PrewarmDone | PrewarmFailed
