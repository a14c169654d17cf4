"""Records of the router's inputs: received requests, ended attempts and workers' load reports.

Times and durations are milliseconds, memory is in MB. The records are tuples of their fields in the order in which
recordings store them.
"""

from collections.abc import Sequence
from typing import NamedTuple

from wickdyke.routing.model import LoadNote, Outcome, RequestClass, RoutePolicy


class WorkerLoad(NamedTuple):
    """A load report as a worker sent it; a field is None where the settings do not name it.

    `reported` holds all values, also those that the router does not use, in the order of the settings' report fields.
    """

    utilization: float | None  # busy fraction of its cores
    in_flight: float | None  # requests that the worker runs
    queued: float  # requests that wait at the worker
    pinned: float  # fraction of the worker's memory that is in use
    reported: tuple[float, ...]

    @classmethod
    def from_values(cls, fields: Sequence[str], values: Sequence[float] | None) -> "WorkerLoad | None":
        """Returns the report of `values`, which are in the order of `fields`; None where `values` is None."""
        if values is None:
            return None
        named = dict(zip(fields, values, strict=False)).get
        return cls(named("utilization"), named("in_flight"), named("queued", 0.0), named("pinned", 0.0), tuple(values))


class RequestReceived(NamedTuple):
    """A client's request after admission."""

    ident: int
    time_left: float  # ms until the client gives up
    request_class: RequestClass
    function_name: str
    memory: float  # MB of one replica of the function
    concurrency: int  # requests that one replica runs at once
    load_hint: float | None  # ms that a load of the function takes, if stated by the client
    work: float | None  # ms that the request takes on the average worker, if stated by the client
    is_repeat: bool
    policy: RoutePolicy | None = None  # policy of the request's route
    waited: float = 0.0  # ms for which it waited, at the most, until the gateway read it and passed it on


class AttemptFinished(NamedTuple):
    """The result of an attempt of a request."""

    ident: int  # identifier of the request
    number: int  # index of the attempt among the request's attempts
    outcome: Outcome
    final: bool  # whether the client has its answer
    load_note: LoadNote | None
    concurrent: int  # requests of the function in flight at the worker when the attempt arrived
    load: WorkerLoad | None
