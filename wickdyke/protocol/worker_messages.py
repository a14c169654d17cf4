"""The messages between a gateway, which sends the requests, and a worker (docs/protocol.md).

Fields whose name on the wire differs state that name.
"""

import msgspec

from wickdyke.protocol import jsonrpc

VERSION = 1
FULL = -32010  # the worker has no capacity: the attempt never ran
MISS = -32011  # the function is not loaded: the attempt never ran
FAILED = -32012  # the attempt may have run
DRAINING = -32013  # the worker is shutting down: the attempt never ran
DEADLINE_EXCEEDED = -32014  # the attempt may have run
REPLICA_ENDED = -32015  # the replica ended during the attempt, which may have run
OUTCOMES = {  # the value of `routing.model.Outcome` for each error code
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
    """The result of `hello`: `start` is a random number chosen at each start of the worker, `up_ms` the time since."""

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
    """The result of `run`.

    `concurrent` is the number of requests of the function in flight at the worker when the attempt arrived.
    """

    output: msgspec.Raw = msgspec.Raw(b"null")
    load_note: str | None = msgspec.field(default=None, name="standing")
    concurrent: int = msgspec.field(default=0, name="company")
    report: dict[str, float] | None = None


class PrewarmRequest(msgspec.Struct):
    """The params of `hold`: load at least `replicas` replicas; with 0 the worker only reports how many are loaded."""

    function: str = msgspec.field(name="program")
    memory_mb: float
    concurrency: int = msgspec.field(name="lanes")
    replicas: int = msgspec.field(name="copies")
    load_ms: float | None = None


class PrewarmResult(msgspec.Struct):
    """The result of `hold`, also sent as the data of its errors."""

    replicas: int = msgspec.field(default=0, name="copies")


class HealthReport(msgspec.Struct):
    """The result of `probe`."""

    report: dict[str, float] | None = None


class UnloadRequest(msgspec.Struct):
    """The params of `drop`: unload the idle replicas of a function."""

    function: str = msgspec.field(name="program")


class CancelRequest(msgspec.Struct):
    """The params of `cancel`: the gateway no longer waits for the response with that id."""

    id: int


class RunErrorData(msgspec.Struct):
    """The data of an error of `run`; `requests_in_replica` is the number of requests in a replica that ended."""

    concurrent: int = msgspec.field(default=0, name="company")
    report: dict[str, float] | None = None
    draining: bool = False
    requests_in_replica: int = msgspec.field(default=0, name="inside")


def run_line(number: int, run: RunRequest) -> bytes:
    """Returns the line that sends one attempt; the input is copied, not decoded."""
    return jsonrpc.request_line("run", jsonrpc.encode(run), number)


# The router's name for each report field whose name on the wire differs.
REPORT_FIELDS = {"busy": "utilization", "held": "in_flight", "queue": "queued"}
REPORT_WIRE_NAMES = {field: wire_name for wire_name, field in REPORT_FIELDS.items()}


def ordered_report(values: dict[str, float] | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """Returns a worker's report in the order of the router's `fields`, None where a field is missing."""
    names = [REPORT_WIRE_NAMES.get(field, field) for field in fields]
    if not values or any(name not in values for name in names):
        return None
    return tuple(values[name] for name in names)
