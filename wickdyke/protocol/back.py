"""What the gateway and a worker say to each other; the gateway calls (docs/protocol.md)."""

import msgspec

from wickdyke.protocol import jsonrpc

VERSION = 1
FULL, MISS, FAILED, DRAINING, OUT_OF_TIME, ENDED = -32010, -32011, -32012, -32013, -32014, -32015
OUTCOMES = {
    FULL: "full",
    MISS: "miss",
    FAILED: "error",
    DRAINING: "full",
    OUT_OF_TIME: "timeout",
    ENDED: "error",
    jsonrpc.NO_METHOD: "full",
    jsonrpc.BAD_PARAMS: "full",
    jsonrpc.INVALID: "full",
}


class Hello(msgspec.Struct):
    """`hello` of the gateway."""

    version: int
    gateway: str


class Standing(msgspec.Struct):
    """The worker's answer to `hello`: `start` is drawn anew at each start, `up_ms` the time since then."""

    version: int
    worker: str
    start: int
    up_ms: float = 0.0
    draining: bool = False


class Run(msgspec.Struct):
    """`run`: one call-out. Times are ms, memory is MB."""

    method: str
    program: str
    input: msgspec.Raw
    memory_mb: float
    lanes: int
    time_left_ms: float
    load_ms: float | None = None
    token: str | None = None


class Ran(msgspec.Struct):
    """The result of `run`; `company` is how many RPCs of the program the worker held when this one came."""

    output: msgspec.Raw = msgspec.Raw(b"null")
    standing: str | None = None
    company: int = 0
    report: dict[str, float] | None = None


class Hold(msgspec.Struct):
    """`hold`: have at least `copies` standing; 0 only asks."""

    program: str
    memory_mb: float
    lanes: int
    copies: int
    load_ms: float | None = None


class Held(msgspec.Struct):
    """The result of `hold`, also in the data of its errors."""

    copies: int = 0


class Probed(msgspec.Struct):
    """The result of `probe`."""

    report: dict[str, float] | None = None


class Drop(msgspec.Struct):
    """`drop`: unload the idle copies of a program."""

    program: str


class Cancel(msgspec.Struct):
    """`cancel`: the answer to that number is not wanted any more."""

    id: int


class Told(msgspec.Struct):
    """What errors of `run` carry in their data; `inside` is how many calls were in a copy that ended."""

    company: int = 0
    report: dict[str, float] | None = None
    draining: bool = False
    inside: int = 0


def run_line(number: int, run: Run) -> bytes:
    """One call-out, ready to be sent; the input is copied, not decoded."""
    return jsonrpc.request_line("run", jsonrpc.encode(run), number)


# What the words of a report mean to the router.
REPORT_FIELDS = {"busy": "utilization", "held": "in_flight", "queue": "queued"}
REPORT_WORDS = {field: word for word, field in REPORT_FIELDS.items()}


def report(values: dict[str, float] | None, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """A worker's report in the order of the router's `fields`; None where it is not whole."""
    names = [REPORT_WORDS.get(field, field) for field in fields]
    if not values or any(name not in values for name in names):
        return None
    return tuple(values[name] for name in names)
