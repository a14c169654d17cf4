"""The coordinator's events, posted to its queue by client connections, worker clients and discovery."""

from collections.abc import Sequence
from dataclasses import dataclass

from wickdyke.gateway.interfaces import AnyWorkerClient, Command, PendingRequest, WorkerHello
from wickdyke.routing.model import Attempt, Outcome


@dataclass(slots=True, frozen=True, eq=False)
class RequestReceived:
    """A client sent a request, which passed validation."""

    pending: PendingRequest


@dataclass(slots=True, frozen=True, eq=False)
class RequestCancelled:
    """A client cancelled one request."""

    pending: PendingRequest


@dataclass(slots=True, frozen=True, eq=False)
class ClientClosed:
    """A client's connection was closed while these requests were open."""

    pending: Sequence[PendingRequest]


@dataclass(slots=True, frozen=True, eq=False)
class EndpointsReceived:
    """Entries of the endpoint list were received; their type depends on the endpoint list."""

    entries: Sequence[object]


@dataclass(slots=True, frozen=True, eq=False)
class DiscoveryHeard:
    """Discovery has reported all changes up to `at` (monotonic ms); -inf where the age of the list is unknown."""

    at: float


@dataclass(slots=True, frozen=True, eq=False)
class DiscoveryLost:
    """The process was suspended from `at` on (monotonic ms) and now has no connection to discovery."""

    at: float


@dataclass(slots=True, frozen=True, eq=False)
class WorkerConnected:
    """A connection to a worker was established, and the worker has sent its hello."""

    worker_client: AnyWorkerClient
    hello: WorkerHello


@dataclass(slots=True, frozen=True, eq=False)
class WorkerUnreachable:
    """No connection to a worker could be established."""

    worker_client: AnyWorkerClient
    reason: str


@dataclass(slots=True, frozen=True, eq=False)
class WorkerConnectionLost:
    """The connection to a worker was lost."""

    worker_client: AnyWorkerClient
    reason: str


@dataclass(slots=True, frozen=True, eq=False)
class WorkerDraining:
    """A worker reported that it is draining."""

    worker_client: AnyWorkerClient


@dataclass(slots=True, frozen=True, eq=False)
class CommandFinished:
    """A command to a worker ended.

    `answer` and `data` are the received message in the form that the worker protocol's `result_of` reads.
    `worker_client` is None where the command was sent to no worker.
    """

    worker_client: AnyWorkerClient | None
    command: Command
    outcome: Outcome
    answer: object = None
    data: bytes | None = None


@dataclass(slots=True, frozen=True, eq=False)
class AttemptWithdrawn:
    """An attempt was withdrawn and will get no answer."""

    pending: PendingRequest
    attempt: Attempt
    outcome: Outcome


Event = (
    RequestReceived
    | RequestCancelled
    | ClientClosed
    | EndpointsReceived
    | DiscoveryHeard
    | DiscoveryLost
    | WorkerConnected
    | WorkerUnreachable
    | WorkerConnectionLost
    | WorkerDraining
    | CommandFinished
    | AttemptWithdrawn
)
