"""The messages between the gateway, which sends the requests, and a worker (docs/protocol.md).

Names that differ on the wire stand at the fields.
"""

import msgspec

from wickdyke.protocol import jsonrpc

VERSION = 1
FULL = -32010  # no capacity: it never ran
MISS = -32011  # the function is not loaded: it never ran
FAILED = -32012  # it may have run
DRAINING = -32013  # the worker ends: it never ran
DEADLINE_EXCEEDED = -32014  # it may have run
REPLICA_ENDED = -32015  # the replica ended under it: it may have run
OUTCOMES = {  # the word of `routing.model.Outcome` for each error code
    FULL: "full",
    MISS: "miss",
    FAILED: "error",
    DRAINING: "full",
    DEADLINE_EXCEEDED: "timeout",
    REPLICA_ENDED: "error",
    jsonrpc.METHOD_NOT_FOUND: "full",
    jsonrpc.INVALID_PARAMS: "full",
    jsonrpc.INVALID_REQUEST: "full",
}


class GatewayHello(msgspec.Struct):
    """The params of `hello`."""

    version: int
    gateway: str


class WorkerHello(msgspec.Struct):
    """The result of `hello`: `start` is drawn at random at each start of the worker, `up_ms` is the time since then."""

    version: int
    worker: str
    start: int
    up_ms: float = 0.0
    draining: bool = False


class RunRequest(msgspec.Struct):
    """The params of `run`: one attempt. Times are ms, memory is MB."""

    method: str
    function: str = msgspec.field(name="program")
    input: msgspec.Raw
    memory_mb: float
    concurrency: int = msgspec.field(name="lanes")
    time_left_ms: float
    load_ms: float | None = None
    idempotency_key: str | None = msgspec.field(default=None, name="token")


class RunResult(msgspec.Struct):
    """The result of `run`; `concurrent` is how many requests of the function were in flight there as it arrived."""

    output: msgspec.Raw = msgspec.Raw(b"null")
    load_note: str | None = msgspec.field(default=None, name="standing")
    concurrent: int = msgspec.field(default=0, name="company")
    report: dict[str, float] | None = None


class PrewarmRequest(msgspec.Struct):
    """The params of `hold`: have at least `replicas` loaded; with 0 the worker only reports how many are."""

    function: str = msgspec.field(name="program")
    memory_mb: float
    concurrency: int = msgspec.field(name="lanes")
    replicas: int = msgspec.field(name="copies")
    load_ms: float | None = None


class PrewarmResult(msgspec.Struct):
    """The result of `hold`, also in the data of its errors."""

    replicas: int = msgspec.field(default=0, name="copies")


class HealthReport(msgspec.Struct):
    """The result of `probe`."""

    report: dict[str, float] | None = None


class UnloadRequest(msgspec.Struct):
    """The params of `drop`: unload the idle replicas of a function."""

    function: str = msgspec.field(name="program")


class CancelRequest(msgspec.Struct):
    """The params of `cancel`: the gateway does not wait for the response to that id any more."""

    id: int


class RunErrorData(msgspec.Struct):
    """The data of an error of `run`; `requests_in_replica` counts the requests in a replica that ended."""

    concurrent: int = msgspec.field(default=0, name="company")
    report: dict[str, float] | None = None
    draining: bool = False
    requests_in_replica: int = msgspec.field(default=0, name="inside")


def run_line(number: int, run: RunRequest) -> bytes:
    """One attempt, ready to be sent; the input is copied, not decoded."""
    return jsonrpc.request_line("run", jsonrpc.encode(run), number)


# The router's field for each word of a report.
REPORT_FIELDS = {"busy": "utilization", "held": "in_flight", "queue": "queued"}
REPORT_WORDS = {field: word for word, field in REPORT_FIELDS.items()}


def ordered_report(values: dict[str, float] | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """A worker's report in the order of the router's `fields`; None where one is missing."""
    names = [REPORT_WORDS.get(field, field) for field in fields]
    if not values or any(name not in values for name in names):
        return None
    return tuple(values[name] for name in names)
