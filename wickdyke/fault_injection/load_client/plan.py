"""What a load client is to send: its plan, as JSON on the command line, and changes of it, as lines of JSON."""

import msgspec


class RequestKind(msgspec.Struct):
    """The traffic of one method. `name=` maps a field to its JSON key.

    Attributes:
        method: the method's name.
        weight: its part of all requests, relative to the weights of the others.
        deadline_ms: time left as a request is sent.
        work_ms: mean work of a request.
        functions: how many functions there are; a few are called often.
        memory_mb: memory of a replica.
        concurrency: attempts that a replica runs at once.
        load_ms: how long a replica takes to load.
        has_idempotency_key: whether requests carry one.
    """

    method: str
    weight: float = msgspec.field(name="part")
    deadline_ms: float = msgspec.field(name="deadline")
    work_ms: float
    functions: int = msgspec.field(name="programs")
    memory_mb: float
    concurrency: int = msgspec.field(name="lanes")
    load_ms: float
    has_idempotency_key: bool = msgspec.field(default=False, name="tokened")


class LoadPlan(msgspec.Struct):
    """Which gateways to call, with what and how often. `name=` maps a field to its JSON key.

    Attributes:
        name: the client's name, also in the trace and in marks.
        trace: path of the trace file.
        gateways: paths of their Unix sockets by name.
        kinds: the traffic by method.
        rate: requests a second.
        duration_ms: how long to send.
        seed: seed of the random draws.
        connections: to each gateway.
        max_requests: stop after so many; 0: no limit.
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
    """A change of the traffic; what is None stays as it is.

    Attributes:
        rate_factor: times the rate of the plan.
        hot: how many functions are hot, and the share of requests that call one of them.
        one_time_share: the share of requests whose function is called only once.
        short_deadline_share: the share of requests with a shorter deadline.
    """

    rate_factor: float | None = msgspec.field(default=None, name="burst")
    hot: tuple[int, float] | None = None
    one_time_share: float | None = msgspec.field(default=None, name="once")
    short_deadline_share: float | None = msgspec.field(default=None, name="short")
