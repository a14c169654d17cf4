"""Messages between a worker, its warm parent and its replicas, which are processes of this machine.

Worker and replica exchange JSON lines on a socket pair, worker and parent one JSON message a packet.
"""

import msgspec

MB = 1 << 20
LINE_MOST = 64 * MB  # bytes of a line between a worker and a replica


class StartReplica(msgspec.Struct, tag="start"):
    """To the parent, with two descriptors: the replica's socket, and the pipe of its output."""

    number: int
    folder: str
    entry: str
    lanes: int
    memory_mb: float
    environment: dict[str, str] = {}


class EndReplica(msgspec.Struct, tag="end"):
    """To the parent: kill a replica, with all that it forked."""

    number: int


class ReplicaStarted(msgspec.Struct, tag="started"):
    """From the parent: a replica's process."""

    number: int
    pid: int


class ReplicaEnded(msgspec.Struct, tag="ended"):
    """From the parent: a replica's process ended with that exit status."""

    number: int
    status: int


class WorkerMessage(msgspec.Struct, omit_defaults=True):
    """To a replica: run the request `id`, or `stop` the one of that number."""

    id: int | None = None
    input: msgspec.Raw = msgspec.Raw(b"null")
    stop: int | None = None


class ReplicaMessage(msgspec.Struct, omit_defaults=True):
    """From a replica: it is `ready` or has `failed` to start; or the `output` or `error` of the request `id`.

    `freed` is the number of a stopped request that has left its lane.
    """

    ready: bool = False
    failed: str | None = None
    id: int | None = None
    output: msgspec.Raw = msgspec.Raw(b"")
    error: str | None = None
    freed: int | None = None
