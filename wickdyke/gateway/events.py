"""What happens around the coordinator: posted to its queue by client connections, worker clients and discovery."""

from collections.abc import Sequence
from dataclasses import dataclass

from wickdyke.gateway.interfaces import AnyWorkerClient, Command, PendingRequest, WorkerHello
from wickdyke.routing.model import Attempt, Outcome


@dataclass(slots=True, frozen=True, eq=False)
class RequestReceived:
    """A client sent a request, which was checked."""

    pending: PendingRequest


@dataclass(slots=True, frozen=True, eq=False)
class RequestCancelled:
    """A client cancelled one request."""

    pending: PendingRequest


@dataclass(slots=True, frozen=True, eq=False)
class ClientClosed:
    """A client's connection ended with these requests open."""

    pending: Sequence[PendingRequest]


@dataclass(slots=True, frozen=True, eq=False)
class EndpointsReceived:
    """Entries of the endpoint list were received, as the list's own records."""

    entries: Sequence[object]


@dataclass(slots=True, frozen=True, eq=False)
class DiscoveryHeard:
    """Discovery has reported all there was at that time (monotonic ms); -inf where the list is of unknown age."""

    at: float


@dataclass(slots=True, frozen=True, eq=False)
class DiscoveryLost:
    """The process did not run from that time on (monotonic ms), and has no connection to discovery now."""

    at: float


@dataclass(slots=True, frozen=True, eq=False)
class WorkerConnected:
    """A worker was connected to, and sent its hello."""

    worker_client: AnyWorkerClient
    hello: WorkerHello


@dataclass(slots=True, frozen=True, eq=False)
class WorkerUnreachable:
    """No connection to a worker could be made."""

    worker_client: AnyWorkerClient
    reason: str


@dataclass(slots=True, frozen=True, eq=False)
class WorkerConnectionLost:
    """The connection to a worker ended."""

    worker_client: AnyWorkerClient
    reason: str


@dataclass(slots=True, frozen=True, eq=False)
class WorkerDraining:
    """A worker reported that it drains."""

    worker_client: AnyWorkerClient


@dataclass(slots=True, frozen=True, eq=False)
class CommandFinished:
    """A command to a worker ended.

    `answer` and `data` are what was received, as the worker protocol reads them. `worker_client` is None where the
    command was sent to none.
    """

    worker_client: AnyWorkerClient | None
    command: Command
    outcome: Outcome
    answer: object = None
    data: bytes | None = None


@dataclass(slots=True, frozen=True, eq=False)
class AttemptWithdrawn:
    """An attempt was withdrawn, and will get no answer."""

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
