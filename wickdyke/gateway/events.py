"""What happens around the coordinator: posted to its queue by client connections, worker clients and discovery."""

from dataclasses import dataclass
from typing import Any

from wickdyke.gateway.interfaces import Command, PendingRequest, WorkerClient
from wickdyke.routing.model import Attempt


@dataclass(slots=True, frozen=True, eq=False)
class RequestReceived:
    """A client asked, and what it asked was checked."""

    pending: PendingRequest


@dataclass(slots=True, frozen=True, eq=False)
class RequestCancelled:
    """A client cancelled one request."""

    pending: PendingRequest


@dataclass(slots=True, frozen=True, eq=False)
class ClientClosed:
    """A client's connection ended with these requests open."""

    pending: list[PendingRequest]


@dataclass(slots=True, frozen=True, eq=False)
class EndpointsReceived:
    """Entries of the endpoint list came, as the list's own records."""

    entries: list


@dataclass(slots=True, frozen=True, eq=False)
class WorkerConnected:
    """A worker said who it is and since when it is up."""

    worker_client: WorkerClient
    standing: Any


@dataclass(slots=True, frozen=True, eq=False)
class WorkerUnreachable:
    """No connection to a worker could be made."""

    worker_client: WorkerClient
    why: str


@dataclass(slots=True, frozen=True, eq=False)
class WorkerConnectionLost:
    """The connection to a worker ended."""

    worker_client: WorkerClient
    why: str


@dataclass(slots=True, frozen=True, eq=False)
class WorkerDraining:
    """A worker said itself that it drains."""

    worker_client: WorkerClient


@dataclass(slots=True, frozen=True, eq=False)
class CommandFinished:
    """A command to a worker ended; `answer` and `data` are what came, as the worker protocol reads them."""

    worker_client: WorkerClient | None
    command: Command
    outcome: str
    answer: Any = None
    data: Any = None


@dataclass(slots=True, frozen=True, eq=False)
class AttemptWithdrawn:
    """An attempt was withdrawn, and will get no answer."""

    pending: PendingRequest
    attempt: Attempt
    outcome: str


Event = (
    RequestReceived
    | RequestCancelled
    | ClientClosed
    | EndpointsReceived
    | WorkerConnected
    | WorkerUnreachable
    | WorkerConnectionLost
    | WorkerDraining
    | CommandFinished
    | AttemptWithdrawn
)
