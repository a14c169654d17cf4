"""The records of a worker's schedule: functions, their replicas, requests and prewarm requests.

Nothing here decides. Times are milliseconds of the host's clock, memory is in MB.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from wickdyke.worker.slow_start import SlowStart


class Rejection(StrEnum):
    """Why a request or a prewarm request got no result. The values are the words of recordings."""

    FULL = "full"  # no capacity: it did not run
    FAILED = "failed"
    MISS = "miss"  # the load failed: it did not run
    DRAINING = "draining"  # the worker accepts nothing new: it did not run
    OUT_OF_TIME = "out-of-time"  # it may have run
    ENDED = "ended"  # its replica ended: it may have run


class LoadNote(StrEnum):
    """Whether the replica that served a request was loaded for it. The values are words on the wire."""

    ALREADY_LOADED = "stood"
    STARTED_LOAD = "began"  # this request started the load
    AWAITED_LOAD = "awaited"  # it waited for a load that had been started before


class ReplicaState(StrEnum):
    """The life cycle of a replica."""

    QUEUED = "queued"  # its load has not begun
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"  # a stopped request in it does not end: it gets no further request
    REMOVED = "removed"


@dataclass(slots=True, frozen=True)
class ScheduleLimits:
    """A worker's limits. Times are ms, memory is MB."""

    memory: float
    concurrency: int  # requests that run at once
    load_concurrency: int  # loads at once
    queue: int  # requests accepted, running or not
    idle_timeout: float  # after which an idle replica is unloaded
    run_timeout: float  # that a request may run, unless the manifest states less
    stop_timeout: float  # within which a stopped request has to end
    slow_start: SlowStart


@dataclass(slots=True, eq=False, repr=False)
class Replica:
    """A replica of a function. `stopping` counts the requests that were stopped and have not ended yet."""

    function: "Function"
    number: int
    memory: float
    concurrency: int  # requests at once, each in a slot of its own
    state: ReplicaState = ReplicaState.QUEUED
    requests: list["Request"] = field(default_factory=list)
    stopping: int = 0
    stopping_since: float = 0.0
    last_used: float = 0.0
    measured_memory: float = 0.0

    @property
    def charged_memory(self) -> float:
        """The memory it counts for in MB: as stated, or as measured where that is more."""
        return max(self.memory, self.measured_memory)

    @property
    def used_slots(self) -> int:
        """Slots that can't take a request."""
        return len(self.requests) + self.stopping

    @property
    def idle(self) -> bool:
        """Whether it is ready and has no request."""
        return self.state == ReplicaState.READY and not self.used_slots

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
        """The replicas that serve requests, now or once they are loaded."""
        return [replica for replica in self.replicas if replica.state != ReplicaState.DRAINING]

    @property
    def ready_count(self) -> int:
        """How many replicas can serve a request now."""
        return sum(replica.state == ReplicaState.READY for replica in self.replicas)


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """An accepted request. It gets exactly one answer, unless it is cancelled. `key` is the host's."""

    key: object
    function: Function
    memory: float
    concurrency: int  # of a replica that is loaded for it
    deadline: float
    arrived_at: float
    load_note: LoadNote = LoadNote.ALREADY_LOADED
    concurrent: int = 0  # other requests of the function that were in flight as it arrived
    replica: Replica | None = None
    started_at: float | None = None
    done: bool = False
    number: int = 0  # given by the host
    requests_in_replica: int = 0  # where its replica ended: the requests that were in it


@dataclass(slots=True, eq=False, repr=False)
class PrewarmRequest:
    """A request to have `replicas` of a function ready, not answered yet. `key` is the host's."""

    key: object
    function: Function
    replicas: int
