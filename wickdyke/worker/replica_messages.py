"""Messages between a worker, its warm parent and its replicas, which run on the same machine in the same release.

Worker and replica exchange JSON lines on a socket pair; worker and parent send one JSON message per packet. The field
`type` distinguishes the messages. `request` is the number by which the worker and the replica identify a request.
"""

import msgspec

MB = 1 << 20
LINE_LIMIT = 64 * MB  # the most bytes of a line between a worker and a replica


class StartReplica(msgspec.Struct, tag="start"):
    """Worker to parent: fork a replica. Two descriptors are attached: its socket, and the pipe for its output."""

    number: int
    folder: str
    entry: str
    concurrency: int
    memory_mb: float
    environment: dict[str, str] = {}  # msgspec copies the default


class EndReplica(msgspec.Struct, tag="end"):
    """Worker to parent: kill a replica and all processes that it forked."""

    number: int


class ReplicaStarted(msgspec.Struct, tag="started"):
    """Parent to worker: a replica's process was forked."""

    number: int
    pid: int


class ReplicaEnded(msgspec.Struct, tag="ended"):
    """Parent to worker: a replica's process ended with this exit status."""

    number: int
    status: int


class RunFunction(msgspec.Struct, tag="run"):
    """Worker to replica: run the function with this input."""

    request: int
    input: msgspec.Raw


class StopRequest(msgspec.Struct, tag="stop"):
    """Worker to replica: stop a request. The replica sends SlotFreed once the request has ended."""

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
    """Replica to worker: a stopped request has ended."""

    request: int


WorkerMessage = RunFunction | StopRequest
ReplicaMessage = ReplicaReady | StartFailed | FunctionReturned | FunctionRaised | SlotFreed
