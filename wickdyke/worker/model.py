"""What a worker's schedule knows of functions, their replicas, requests and prewarm requests.

These are plain records; nothing here decides. Times are milliseconds of the host's clock, memory is in MB.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from wickdyke.worker.ramp import Ramp


class Rejection(StrEnum):
    """Why a request or a prewarm request got no result. The values are the words of recordings."""

    FULL = "full"  # no capacity: it never ran
    FAILED = "failed"
    MISS = "miss"  # the load failed: it never ran
    DRAINING = "draining"  # the worker takes nothing new: it never ran
    OUT_OF_TIME = "out-of-time"  # it may have run
    ENDED = "ended"  # its replica ended: it may have run


class LoadNote(StrEnum):
    """What an answer says of the replica that served it. The values are words on the wire."""

    STOOD = "stood"  # it was loaded already
    BEGAN = "began"  # this request began the load
    AWAITED = "awaited"  # it waited for a load that had begun before


class ReplicaState(StrEnum):
    """The life of a replica."""

    QUEUED = "queued"  # its load has not begun
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"  # a request in it does not end: it gets no further one
    REMOVED = "removed"


@dataclass(slots=True, frozen=True)
class ScheduleLimits:
    """What a worker takes. Times are ms, memory is MB."""

    memory: float
    concurrency: int  # requests that run at once
    load_concurrency: int  # loads at once
    queue: int  # requests held, running or not
    idle_timeout: float  # after which an idle replica is unloaded
    run_timeout: float  # that a request may run, unless the manifest states less
    stop_timeout: float  # within which a lane has to end a stopped request
    ramp: Ramp


@dataclass(slots=True, eq=False, repr=False)
class Replica:
    """A replica of a function. `stopping` counts the lanes whose request was stopped and has not ended yet."""

    function: "Function"
    number: int
    memory: float
    lanes: int
    state: ReplicaState = ReplicaState.QUEUED
    requests: list["Request"] = field(default_factory=list)
    stopping: int = 0
    stopping_since: float = 0.0
    last_used: float = 0.0
    measured_memory: float = 0.0

    @property
    def charged_memory(self) -> float:
        """The memory it counts for: as stated, or as measured where that is more."""
        return max(self.memory, self.measured_memory)

    @property
    def used_lanes(self) -> int:
        """Lanes that can't take a request."""
        return len(self.requests) + self.stopping

    @property
    def idle(self) -> bool:
        """Whether it is ready and nothing is in it."""
        return self.state == ReplicaState.READY and not self.used_lanes

    @property
    def running(self) -> bool:
        """Whether it has been loaded and has not ended."""
        return self.state in (ReplicaState.READY, ReplicaState.DRAINING)


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """A function by name, with its replicas and the requests that wait for one."""

    name: str
    replicas: list[Replica] = field(default_factory=list)
    waiting: deque["Request"] = field(default_factory=deque)

    @property
    def live_replicas(self) -> list[Replica]:
        """Those that serve requests, now or once they are loaded."""
        return [replica for replica in self.replicas if replica.state != ReplicaState.DRAINING]

    @property
    def ready_count(self) -> int:
        """How many replicas can serve a request now."""
        return sum(replica.state == ReplicaState.READY for replica in self.replicas)


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """A request that the worker holds. It gets exactly one answer, unless it is cancelled."""

    key: object
    function: Function
    memory: float
    lanes: int
    deadline: float
    arrived_at: float
    load_note: LoadNote = LoadNote.STOOD
    peers: int = 0  # requests of the function that were held when it came
    replica: Replica | None = None
    started_at: float | None = None
    done: bool = False
    number: int = 0  # given by the host
    lost_together: int = 0  # requests in the replica that ended with it


@dataclass(slots=True, eq=False, repr=False)
class PrewarmRequest:
    """A request for replicas that is not answered yet."""

    key: object
    function: Function
    replicas: int
