"""Records of the router's inputs: what the host passes when a request arrives, an attempt ends or a worker reports.

Times and spans are milliseconds, memory is in MB. The records are tuples of their fields, in the order in which
recordings store them.
"""

from collections.abc import Sequence
from typing import NamedTuple

from wickdyke.routing.model import LoadNote, Outcome, RequestClass, RoutePolicy


class WorkerLoad(NamedTuple):
    """A load report as a worker sent it; a field is None where the settings do not name it.

    `reported` are all its values, also those that decide nothing, in the order of the settings' report fields.
    """

    utilization: float | None  # busy part of its cores
    in_flight: float | None  # requests that it runs
    queued: float  # requests that wait there
    pinned: float  # part of its memory that is in use
    reported: tuple[float, ...]

    @classmethod
    def from_values(cls, fields: Sequence[str], values: Sequence[float] | None) -> "WorkerLoad | None":
        """The report of these values, in the order of `fields`; None where `values` is None."""
        if values is None:
            return None
        named = dict(zip(fields, values, strict=False)).get
        return cls(named("utilization"), named("in_flight"), named("queued", 0.0), named("pinned", 0.0), tuple(values))


class RequestReceived(NamedTuple):
    """A client's request, as admitted."""

    ident: int
    time_left: float  # ms until the client gives up
    request_class: RequestClass
    function_name: str
    memory: float  # MB of one replica of the function
    concurrency: int  # requests that one replica runs at once
    load_hint: float | None  # ms that a load of the function takes, if the client states it
    work: float | None  # ms that the request takes on the average worker, if the client states it
    is_repeat: bool
    policy: RoutePolicy | None = None  # of the route that the request takes


class AttemptFinished(NamedTuple):
    """How an attempt of a request ended."""

    ident: int  # of the request
    number: int  # of the attempt among the request's
    outcome: Outcome
    final: bool  # whether the client has its answer
    load_note: LoadNote | None
    concurrent: int  # requests of the function in flight at the worker as the attempt arrived
    load: WorkerLoad | None
