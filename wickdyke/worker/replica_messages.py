"""Messages between a worker, its warm parent and its replicas, which are processes of the same machine and release.

Worker and replica exchange JSON lines on a socket pair, worker and parent one JSON message a packet. The field `type`
distinguishes the messages. `request` is the number that the worker gives a request for its replica.
"""

import msgspec

MB = 1 << 20
LINE_LIMIT = 64 * MB  # bytes of a line between a worker and a replica


class StartReplica(msgspec.Struct, tag="start"):
    """Worker to parent, with two descriptors: the replica's socket, and the pipe of its output."""

    number: int
    folder: str
    entry: str
    concurrency: int
    memory_mb: float
    environment: dict[str, str] = {}  # msgspec copies the default


class EndReplica(msgspec.Struct, tag="end"):
    """Worker to parent: kill a replica and everything that it forked."""

    number: int


class ReplicaStarted(msgspec.Struct, tag="started"):
    """Parent to worker: the process of a replica."""

    number: int
    pid: int


class ReplicaEnded(msgspec.Struct, tag="ended"):
    """Parent to worker: the process of a replica ended with that exit status."""

    number: int
    status: int


class RunFunction(msgspec.Struct, tag="run"):
    """Worker to replica: run the function with this input."""

    request: int
    input: msgspec.Raw


class StopRequest(msgspec.Struct, tag="stop"):
    """Worker to replica: stop a request. It answers with SlotFreed."""

    request: int


class ReplicaReady(msgspec.Struct, tag="ready"):
    """Replica to worker: the package is imported."""


class StartFailed(msgspec.Struct, tag="start-failed"):
    """Replica to worker: the package could not be imported."""

    reason: str


class FunctionReturned(msgspec.Struct, tag="returned"):
    """Replica to worker: the function's output."""

    request: int
    output: msgspec.Raw


class FunctionRaised(msgspec.Struct, tag="raised"):
    """Replica to worker: the function raised an error, or its output can't be sent."""

    request: int
    error: str


class SlotFreed(msgspec.Struct, tag="freed"):
    """Replica to worker: a request that was to be stopped has ended."""

    request: int


WorkerMessage = RunFunction | StopRequest
ReplicaMessage = ReplicaReady | StartFailed | FunctionReturned | FunctionRaised | SlotFreed
