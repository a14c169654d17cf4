"""The interfaces that the coordinator depends on: pending requests, worker clients, commands and the endpoint list.

Two packages implement them: the JSON-RPC gateway (`wickdyke/jsonrpc`) and the platform's front end
(`wickdyke/platform`).
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, TypeVar, runtime_checkable

from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import Attempt, Endpoint, LoadNote, Outcome, Request, RequestClass, RoutePolicy
from wickdyke.transport.write_buffer import OutgoingMessage

ClientRequestId = str | int | float | None  # the id that a client gave its request
EntryT_contra = TypeVar("EntryT_contra", contravariant=True)


class RejectionReason(StrEnum):
    """Why the gateway itself rejects or fails a request; the value is sent to the client as the answer's reason."""

    STOPPING = "stopping"  # the process is shutting down
    GATEWAY_FULL = "gateway-full"  # the limit of open requests is reached
    CONNECTION_FULL = "connection-full"  # the limit of open requests on the client's connection is reached
    TOO_MANY_CONNECTIONS = "too-many-connections"  # the limit of client connections is reached
    OVERRUN = "overrun"  # the coordinator's event queue is too long
    NO_TIME = "no-time"  # the request's deadline has passed
    NO_PLACE = "no-place"  # no worker could be chosen
    DISCOVERY_LOST = "discovery-lost"  # the endpoint list is too old, and no worker was known as ready in time
    LOAD_FAILED = "load-failed"  # the circuit breaker of the request's function is open
    POISON = "poison"  # the circuit breaker of the request's input is open
    FAULT = "fault"  # handling the request raised an exception
    LEFT_OPEN = "left-open"  # the router did not decide the request before its deadline


AnswerReason = RejectionReason | Outcome  # an Outcome tells how the last attempt ended


class Log(Protocol):
    """A structured log: each line is an event and its fields. Never raises and never blocks."""

    def bind(self, **fields: object) -> "Log":
        """Returns a log that adds these fields to each line."""

    def debug(self, event: str, /, **fields: object) -> object:
        """Logs a step of one request."""

    def info(self, event: str, /, **fields: object) -> object:
        """Logs a normal event."""

    def warning(self, event: str, /, **fields: object) -> object:
        """Logs an event that an operator should look at."""

    def error(self, event: str, /, **fields: object) -> object:
        """Logs a fault."""


class Client(Protocol):
    """The connection that a request was received on; `number` identifies it in the log."""

    number: int


class RequestParams(Protocol):
    """The parameters of a client's request, with defaults from the settings. Times are ms, memory is MB.

    `input` is set to None once the request is answered, since it may hold megabytes.
    """

    input: bytes | None

    @property
    def function(self) -> str:
        """The name of the function to run."""

    @property
    def memory_mb(self) -> float:
        """The memory of one replica of the function."""

    @property
    def concurrency(self) -> int:
        """The number of requests that one replica runs at once."""

    @property
    def load_ms(self) -> float | None:
        """The expected time to load a replica."""

    @property
    def work_ms(self) -> float | None:
        """The expected execution time of the request, without loading."""

    @property
    def is_repeat(self) -> bool:
        """Whether the client has sent the request before."""

    @property
    def idempotency_key(self) -> str | None:
        """The key by which a worker recognizes a request that it has already executed."""


class PendingRequest:
    """One validated request of a client. The coordinator answers it once, or drops it when the client has left.

    `time_left` (ms) counts from `received_at` (monotonic ms). `closed` is true once the request has its answer or the
    client has left.
    """

    __slots__ = (
        "attempts_sent",
        "client",
        "closed",
        "commands",
        "ident",
        "params",
        "received_at",
        "request",
        "request_class",
        "route_policy",
        "router_id",
        "time_left",
    )

    def __init__(
        self,
        client: Client,
        ident: ClientRequestId,
        request_class: RequestClass,
        params: RequestParams,
        time_left: float,
        route_policy: RoutePolicy | None = None,
    ) -> None:
        self.client = client
        self.ident = ident
        self.request_class = request_class
        self.params = params
        self.time_left = time_left
        self.route_policy = route_policy  # fixed on arrival: a route file read later applies to later requests only
        self.request: Request | None = None  # the router's record; set when the first attempt is forwarded
        self.router_id: int | None = None  # the request's id at the router
        self.attempts_sent = 0
        self.commands: dict[Attempt, Command] = {}  # the commands of the attempts in flight
        self.closed = False
        self.received_at: float | None = None

    def is_client_waiting(self) -> bool:
        """Whether the client still waits for an answer, as far as can be determined now."""
        return True

    def may_have_run(self) -> bool:
        """Whether an attempt was sent that may have run, or may still run."""
        if self.request is None:
            return False
        return any(
            attempt not in self.commands or self.commands[attempt].send_started
            for attempt in self.request.may_have_run()
        )

    def released(self) -> None:
        """Called once the request has its answer, or its client has left, and no attempt of it is in flight."""

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends a success as the final answer: the worker's output and the number of attempts made."""
        raise NotImplementedError

    def reject(self, reason: str, retry_after: float | None = None) -> None:
        """Sends a rejection as the final answer: the request had no effect, and may be retried after `retry_after` ms.

        Where that is None, the client is given no time.
        """
        raise NotImplementedError

    def fail(self, reason: str) -> None:
        """Sends a failure as the final answer: the request may or may not have had an effect."""
        raise NotImplementedError


class CommandKind(StrEnum):
    """The kinds of command that are sent to a worker."""

    ATTEMPT = "attempt"
    PREWARM = "prewarm"
    HEALTH_CHECK = "health_check"


@dataclass(slots=True, frozen=True)
class PrewarmKey:
    """Identifies a prewarm: the worker, the function and when it was sent (monotonic ms)."""

    worker: str
    function: str
    sent_at: float


CommandKey = Attempt | PrewarmKey | str  # a str is the worker's name: the key of a health check


def _always_allowed(now: float) -> bool:
    return True


class Command:
    """One message to a worker that expects an answer. `key` identifies the command to the coordinator.

    A command whose first byte is not sent before `begin_before` (monotonic ms) is not sent and ends as unsent. The same
    applies where `may_begin`, called with the time just before the first byte is sent, returns False. `may_begin` reads
    the coordinator's state: a worker client with threads of its own must not call it. `message` is set once the command
    is handed to an established connection.
    """

    __slots__ = ("began_at", "begin_before", "key", "kind", "may_begin", "message", "worker_client")

    def __init__(self, kind: CommandKind, key: CommandKey) -> None:
        self.kind = kind
        self.key = key
        self.began_at: float | None = None  # monotonic ms; when its bytes were last rendered to be sent
        self.begin_before = math.inf
        self.may_begin: Callable[[float], bool] = _always_allowed
        self.message: OutgoingMessage | None = None
        self.worker_client: AnyWorkerClient | None = None

    @property
    def send_started(self) -> bool:
        """Whether a byte of the command may have been sent."""
        return self.message is not None and self.message.send_started


CommandT_contra = TypeVar("CommandT_contra", bound=Command, contravariant=True)


@dataclass(slots=True, frozen=True)
class CommandResult:
    """How a command ended, and the data that the worker returned with it.

    `concurrent` is the number of requests of the function in flight at the worker when the attempt arrived.
    `requests_in_replica` is the number of requests in the replica if that ended. `same_process_since` is the time since
    which, as far as the worker's connections show, the process that answered a health check has been running
    (monotonic ms; None where the protocol does not track it).
    """

    outcome: Outcome
    output: bytes = b""
    load_note: LoadNote | None = None
    concurrent: int = 0
    report: WorkerLoad | None = None
    replicas: int = 0
    requests_in_replica: int = 0
    same_process_since: float | None = None


class Withdrawal(StrEnum):
    """The result of withdrawing an attempt."""

    UNSENT = "unsent"  # no byte of the attempt was sent: it never ran, and no answer will come
    CANCELLED = "cancelled"  # the cancel was written to the socket: the attempt may have run, and no answer will come
    ENDED = "ended"  # the attempt had already ended
    PENDING = "pending"  # the cancel is buffered and not yet written


class WorkerClient(Protocol[CommandT_contra]):
    """The connections to one worker. Posts one `CommandFinished` for each command.

    `process_changed_at` is the time (monotonic ms) since which another process may listen at the worker's address, of
    which the endpoint list may know nothing: infinite from the end of the last connection until one is established.
    """

    name: str
    process_changed_at: float

    def send(self, command: CommandT_contra, /) -> None:
        """Sends a command, or queues it until a connection is established."""

    def cancel(self, command: CommandT_contra, on_cancel_written: Callable[[], None], /) -> Withdrawal:
        """Withdraws an attempt; `on_cancel_written` is called once a PENDING cancel is written to the socket."""

    def withdraw_unsent(self, command: CommandT_contra, /) -> bool:
        """Withdraws a command of which no byte was sent, which ends it. Returns whether it was withdrawn."""

    def withdraw_all_unsent(self) -> None:
        """Withdraws all commands of which no byte was sent; they end as unsent."""

    def abandon(self, command: CommandT_contra, /) -> bool:
        """Stops waiting for a command's answer. Returns False where the command has already ended."""

    def disconnect(self) -> None:
        """Closes the connections."""

    def drain(self) -> None:
        """Sends no more commands, and closes once the last command in flight has ended."""

    def close(self) -> None:
        """Closes the client at once."""


@runtime_checkable
class ConnectionState(Protocol):
    """A worker client with a single connection, which reconnects whenever the connection is lost."""

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection."""


# The coordinator passes a command only to worker clients of the protocol that made it, so its type is not checked.
AnyWorkerClient = WorkerClient[Any]


@dataclass(slots=True, frozen=True)
class EndpointListChange:
    """The changes that an update made: changed endpoints, and changed addresses by worker (None: no longer listed)."""

    endpoints: list[Endpoint]
    addresses: dict[str, str | None]


class EndpointList(Protocol[EntryT_contra]):
    """The merged view of the listed workers."""

    def apply(self, entries: Sequence[EntryT_contra], now: float, /) -> EndpointListChange:
        """Merges entries and returns the changes they made; `now` is monotonic ms."""

    def address(self, name: str) -> str | None:
        """Returns the address of a worker, None where it is not listed."""

    def __len__(self) -> int:
        """Returns the number of listed workers."""


AnyEndpointList = EndpointList[Any]  # entries are passed on unchanged, so their type is not checked


class WorkerHello(Protocol):
    """The message that a worker sends when a connection to it is established."""

    @property
    def start(self) -> int:
        """The number of the worker's current start, which changes with each restart."""

    @property
    def up_ms(self) -> float:
        """The time since that start."""

    @property
    def draining(self) -> bool:
        """Whether the worker accepts no more requests."""


@runtime_checkable
class HelloEndpointList(Protocol):
    """An endpoint list that also merges the workers' own reports; each update returns the endpoints it changed."""

    def hello(self, name: str, hello: WorkerHello, now: float) -> list[Endpoint]:
        """Handles the hello of a worker that was connected to."""

    def unreachable(self, name: str, now: float) -> list[Endpoint]:
        """Handles a failure to connect to a worker."""

    def draining(self, name: str) -> list[Endpoint]:
        """Handles a worker's report that it is draining."""

    def start_of(self, name: str) -> int | None:
        """Returns the number of a worker's current start, None where it is not known."""
