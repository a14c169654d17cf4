"""The input of requests in fault injection: load clients write it, fake workers read it."""

import msgspec


class RequestInput(msgspec.Struct):
    """The input of a request, which states its costs.

    Attributes:
        mark: identifies the request in traces; unique in a run.
        work_ms: the work of one attempt, in ms on a core of speed 1.
        load_ms: how long a replica of its function takes to load.
    """

    mark: str = ""
    work_ms: float = 50.0
    load_ms: float = 500.0
