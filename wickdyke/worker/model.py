"""The records of a worker's schedule: functions, their replicas, requests and prewarm requests.

They hold state only; `Schedule` makes the decisions. Times are ms of the host's clock, memory is in MB.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from wickdyke.worker.slow_start import SlowStart


class Rejection(StrEnum):
    """Why a request or a prewarm request failed. The values are written to recordings."""

    FULL = "full"  # no capacity; the request did not run
    FAILED = "failed"  # the function raised an error, or a prewarm request could not be satisfied
    MISS = "miss"  # the load failed; the request did not run
    DRAINING = "draining"  # the worker accepts no further requests; the request did not run
    OUT_OF_TIME = "out-of-time"  # its deadline or run timeout passed; the request may have run
    ENDED = "ended"  # its replica ended; the request may have run


class LoadNote(StrEnum):
    """Whether the replica that served a request was loaded for it. The values are sent to gateways."""

    ALREADY_LOADED = "stood"
    STARTED_LOAD = "began"  # this request started the load
    AWAITED_LOAD = "awaited"  # the request waited for a load that an earlier one had started


class ReplicaState(StrEnum):
    """The life cycle of a replica."""

    QUEUED = "queued"  # its load has not started
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"  # a stopped request did not end in time; the replica accepts no further requests
    REMOVED = "removed"  # ended, or never loaded


@dataclass(slots=True, frozen=True)
class ScheduleLimits:
    """A worker's limits. Times are ms, memory is MB."""

    memory: float
    concurrency: int  # the most requests that run at the same time
    load_concurrency: int  # the most loads at the same time
    max_requests: int  # accepted requests, running or waiting
    idle_timeout: float  # an idle replica is unloaded after it
    run_timeout: float  # how long a request may run, unless the manifest states less
    stop_timeout: float  # a stopped request must end within it
    slow_start: SlowStart


@dataclass(slots=True, eq=False, repr=False)
class Replica:
    """A replica of a function. `stopping_requests` counts the requests that were stopped and have not ended yet."""

    function: "Function"
    number: int
    memory: float
    concurrency: int  # the number of its slots, each of which runs one request at a time
    state: ReplicaState = ReplicaState.QUEUED
    requests: list["Request"] = field(default_factory=list)
    stopping_requests: int = 0
    stopping_since: float = 0.0  # when the first of them was stopped
    last_used: float = 0.0
    measured_memory: float = 0.0  # at the last measurement; 0 before the first

    @property
    def charged_memory(self) -> float:
        """The MB charged to the replica: the stated memory, or the measured memory where that is more."""
        return max(self.memory, self.measured_memory)

    @property
    def used_slots(self) -> int:
        """The number of slots that run a request or wait for a stopped one to end."""
        return len(self.requests) + self.stopping_requests

    @property
    def is_idle(self) -> bool:
        """Whether the replica is ready and all its slots are free."""
        return self.state == ReplicaState.READY and not self.used_slots

    @property
    def is_running(self) -> bool:
        """Whether the replica has been loaded and has not ended."""
        return self.state in (ReplicaState.READY, ReplicaState.DRAINING)


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """A function with its replicas and the requests that wait for one of them."""

    name: str
    replicas: list[Replica] = field(default_factory=list)
    waiting_requests: deque["Request"] = field(default_factory=deque)

    @property
    def live_replicas(self) -> list[Replica]:
        """The replicas that accept requests, now or once they are loaded."""
        return [replica for replica in self.replicas if replica.state != ReplicaState.DRAINING]

    @property
    def ready_count(self) -> int:
        """The number of replicas that are ready."""
        return sum(replica.state == ReplicaState.READY for replica in self.replicas)


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """A request. It is answered exactly once, unless it is cancelled. `key` identifies it to the host."""

    key: object
    function: Function
    memory: float
    concurrency: int  # slots of a replica that is loaded for the request
    deadline: float
    arrived_at: float
    load_note: LoadNote = LoadNote.ALREADY_LOADED
    concurrent_requests: int = 0  # other requests of the function that were in flight on arrival
    replica: Replica | None = None
    started_at: float | None = None  # None until the request runs
    done: bool = False  # answered, rejected or withdrawn
    number: int = 0  # assigned by the host when the request runs; identifies it to its replica
    requests_in_replica: int = 0  # how many requests were in its replica when that ended


@dataclass(slots=True, eq=False, repr=False)
class PrewarmRequest:
    """An unanswered request to have `replicas` of a function ready. `key` identifies it to the host."""

    key: object
    function: Function
    replicas: int
