"""What the coordinator uses of its surroundings: pending requests, worker clients, their commands, the endpoint list.

The JSON-RPC gateway (client_server, worker_client, worker_protocol, endpoint_list beside this) is one implementation,
`wickdyke/platform` the other.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import Attempt, Endpoint, Function, Request, RequestClass, RoutePolicy


class PendingRequest:
    """One checked request of a client. The coordinator answers it once, or drops it when the client has left.

    `call` has the program, its figures (memory_mb, lanes, load_ms, work_ms), repeat, token and input. `time_left` (ms)
    counts from `received_at` (monotonic ms). `closed` once it has its answer, or the client has left.
    """

    __slots__ = (
        "client",
        "ident",
        "request_class",
        "call",
        "time_left",
        "route_policy",
        "request",
        "attempts_sent",
        "closed",
        "commands",
        "router_id",
        "received_at",
    )

    def __init__(
        self,
        client: Any,
        ident: Any,
        request_class: RequestClass,
        call: Any,
        time_left: float,
        route_policy: RoutePolicy | None = None,
    ) -> None:
        self.client, self.ident, self.call = client, ident, call
        self.request_class, self.time_left = request_class, time_left
        self.route_policy = route_policy  # as the routes are now; a file read later is for requests that come later
        self.request: Request | None = None  # the router's record, once it was forwarded
        self.router_id: int | None = None  # under which the router knows it
        self.attempts_sent = 0
        self.commands: dict[Attempt, Command] = {}  # of its attempts in flight
        self.closed = False
        self.received_at: float | None = None

    def still_wanted(self) -> bool:
        """Whether its client still waits for an answer, as far as can be known now."""
        return True

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends its final answer, with what the worker gave."""
        raise NotImplementedError

    def reject(self, why: str, retry_after: float | None = None) -> None:
        """Sends its final answer: nothing was done; worth asking again after `retry_after` ms."""
        raise NotImplementedError

    def fail(self, why: str) -> None:
        """Sends its final answer: nothing is promised."""
        raise NotImplementedError


class CommandKind(StrEnum):
    """What a worker is asked for."""

    ATTEMPT = "attempt"
    PREWARM = "prewarm"
    HEALTH_CHECK = "health_check"


class Command:
    """One message to a worker that is owed an answer. `key` is the coordinator's."""

    __slots__ = ("kind", "key", "worker_client")

    def __init__(self, kind: CommandKind, key: Any) -> None:
        self.kind, self.key = kind, key
        self.worker_client: WorkerClient | None = None


@dataclass(slots=True, frozen=True)
class CommandResult:
    """How a command ended, and what came with it.

    `concurrent`: requests of the function in flight at the worker as the attempt came; `requests_in_replica`: how many
    were in a replica that ended.
    """

    outcome: str
    output: bytes = b""
    load_note: str | None = None
    concurrent: int = 0
    report: WorkerLoad | None = None
    replicas: int = 0
    requests_in_replica: int = 0


class WorkerClient(Protocol):
    """The way to one worker. It posts one `CommandFinished` for each command."""

    name: str

    def send(self, command: Command) -> None:
        """Sends it, or has it sent once connected."""

    def cancel(self, command: Command, done: Any) -> str | None:
        """Withdraws an attempt; see wickdyke/jsonrpc/worker_client.py for what it returns."""

    def withdraw_unsent(self, command: Command) -> bool:
        """Takes back what has not begun to go out; True where it was so, and it has ended."""

    def withdraw_all_unsent(self) -> None:
        """Nothing new goes there: what has not begun to go out ends as unsent."""

    def abandon(self, command: Command) -> bool:
        """No answer is waited for any more; False where it has ended already."""

    def disconnect(self) -> None:
        """Ends its connections."""

    def drain(self) -> None:
        """No more is to be sent; it ends with the last of what is in flight."""

    def close(self) -> None:
        """Ends it at once."""


class WorkerProtocol(Protocol):
    """How workers are spoken to; `connects_at_once` where a client is made as soon as its worker is listed."""

    connects_at_once: bool

    def client_for(self, name: str, address: str, notify: Any) -> WorkerClient:
        """The client of one worker."""

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, time_left: float) -> Command:
        """An attempt, to be waited for so many ms."""

    def prewarm_command(self, key: tuple, function: Function, replicas: int) -> Command:
        """A prewarm of so many replicas."""

    def health_check_command(self, key: str) -> Command:
        """A question for a load report."""

    def result_of(self, command: Command, outcome: str, answer: object, data: object) -> CommandResult:
        """The result of a command, from what its worker client reported."""


@dataclass(slots=True, frozen=True)
class EndpointListChange:
    """What an input changed: entries of the list, and where workers are (None: listed no more)."""

    endpoints: list[Endpoint]
    addresses: dict[str, str | None]


class EndpointList(Protocol):
    """The merged view of who is there."""

    def apply(self, entries: list, now: float) -> EndpointListChange:
        """Takes entries, and returns what they changed."""

    def address(self, name: str) -> str | None:
        """Where a listed worker is."""

    def __len__(self) -> int:
        """How many workers are listed."""
