"""The input of requests in fault injection: load clients write it, fake workers read it."""

import msgspec


class RequestInput(msgspec.Struct):
    """What a request costs.

    Attributes:
        mark: names the request in traces; unique in a run.
        work_ms: the work of one attempt.
        load_ms: how long a replica of its function takes to load.
    """

    mark: str = ""
    work_ms: float = 50.0
    load_ms: float = 500.0
