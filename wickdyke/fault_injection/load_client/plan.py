"""The plan of a load client, as JSON on the command line, and its changes, as lines of JSON on standard input."""

import msgspec


class RequestKind(msgspec.Struct):
    """The traffic of one method. `name=` maps a field to its JSON key.

    Attributes:
        method: the method's name.
        weight: share of all requests, relative to the weights of the other kinds.
        deadline_ms: time left when a request is sent.
        work_ms: mean work of a request.
        function_count: number of functions; a few of them are called often.
        memory_mb: memory of a replica.
        concurrency: attempts that a replica runs at once.
        load_ms: how long a replica takes to load.
        has_idempotency_key: whether requests carry one.
    """

    method: str
    weight: float = msgspec.field(name="part")
    deadline_ms: float = msgspec.field(name="deadline")
    work_ms: float
    function_count: int = msgspec.field(name="programs")
    memory_mb: float
    concurrency: int = msgspec.field(name="lanes")
    load_ms: float
    has_idempotency_key: bool = msgspec.field(default=False, name="tokened")


class LoadPlan(msgspec.Struct):
    """The gateways, the traffic and the rate of a load client. `name=` maps a field to its JSON key.

    Attributes:
        name: the client's name, also in the trace and in marks.
        trace: path of the trace file.
        gateways: paths of the Unix sockets of gateways, by name.
        kinds: the traffic by method.
        rate: requests per second.
        duration_ms: how long to send requests.
        seed: seed of the random draws.
        connections: number of connections to each gateway.
        max_requests: number of requests after which to stop; 0 means no limit.
    """

    name: str
    trace: str
    gateways: dict[str, str]
    kinds: list[RequestKind]
    rate: float
    duration_ms: float = msgspec.field(name="length")
    seed: int
    connections: int = 4
    max_requests: int = msgspec.field(default=0, name="most")


class TrafficChange(msgspec.Struct, omit_defaults=True):
    """A change of the traffic; fields that are None change nothing.

    Attributes:
        rate_factor: factor applied to the rate of the plan.
        hot: number of hot functions, and the share of requests that call one of them.
        one_time_share: the share of requests whose function is called only once.
        short_deadline_share: the share of requests with a shorter deadline.
    """

    rate_factor: float | None = msgspec.field(default=None, name="burst")
    hot: tuple[int, float] | None = None
    one_time_share: float | None = msgspec.field(default=None, name="once")
    short_deadline_share: float | None = msgspec.field(default=None, name="short")
