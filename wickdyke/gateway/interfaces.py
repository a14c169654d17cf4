"""What the coordinator uses of its surroundings: pending requests, worker clients, their commands, the endpoint list.

The JSON-RPC gateway (`wickdyke/jsonrpc`) is one implementation, the platform's front end (`wickdyke/platform`) the
other.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, TypeVar, runtime_checkable

from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import Attempt, Endpoint, LoadNote, Outcome, Request, RequestClass, RoutePolicy

ClientRequestId = str | int | float | None  # the id that a client gave its request
EntryT_contra = TypeVar("EntryT_contra", contravariant=True)


class RejectionReason(StrEnum):
    """Why the gateway itself rejects or fails a request: the word that the client reads in its answer."""

    STOPPING = "stopping"  # the process ends
    GATEWAY_FULL = "gateway-full"  # as many requests are open as may be
    CONNECTION_FULL = "connection-full"  # as many requests are open on the client's connection as may be
    TOO_MANY_CONNECTIONS = "too-many-connections"  # as many clients are connected as may be
    OVERRUN = "overrun"  # too many events wait for the coordinator
    NO_TIME = "no-time"  # its deadline has passed
    NO_PLACE = "no-place"  # no worker could be chosen
    DISCOVERY_LOST = "discovery-lost"  # the endpoint list is too old, and no worker proved ready in time
    LOAD_FAILED = "load-failed"  # the circuit breaker of its function is open
    POISON = "poison"  # the circuit breaker of its input is open
    FAULT = "fault"  # handling it raised an exception
    LEFT_OPEN = "left-open"  # the router left it open past its deadline


AnswerReason = RejectionReason | Outcome  # an outcome: how the last attempt ended


class Log(Protocol):
    """A structured log: each line is an event and its fields. Never raises and never blocks."""

    def bind(self, **fields: object) -> "Log":
        """A log of the same lines, with these fields in each."""

    def debug(self, event: str, /, **fields: object) -> object:
        """Logs a step of one request."""

    def info(self, event: str, /, **fields: object) -> object:
        """Logs what is normal."""

    def warning(self, event: str, /, **fields: object) -> object:
        """Logs what an operator should look at."""

    def error(self, event: str, /, **fields: object) -> object:
        """Logs a fault."""


class Client(Protocol):
    """The connection that a request was received on; `number` is that of the connection, for the log."""

    number: int


class RequestParams(Protocol):
    """What a client's request states, or the settings for it. Times are ms, memory is MB.

    `input` becomes None once the request is answered, as it may be of megabytes.
    """

    input: bytes | None

    @property
    def function(self) -> str:
        """The function that is to run."""

    @property
    def memory_mb(self) -> float:
        """The memory of one replica of it."""

    @property
    def concurrency(self) -> int:
        """How many requests one replica runs at once."""

    @property
    def load_ms(self) -> float | None:
        """The expected time to load a replica."""

    @property
    def work_ms(self) -> float | None:
        """The expected time that the request itself takes."""

    @property
    def is_repeat(self) -> bool:
        """Whether the client has sent it before."""

    @property
    def idempotency_key(self) -> str | None:
        """The key by which a worker recognizes a request that it has carried out."""


class PendingRequest:
    """One checked request of a client. The coordinator answers it once, or drops it when the client has left.

    `time_left` (ms) counts from `received_at` (monotonic ms). `closed` once it has its answer, or the client has left.
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
        self.route_policy = route_policy  # as the routes are now; a file read later is for requests that come later
        self.request: Request | None = None  # the router's record, once it was forwarded
        self.router_id: int | None = None  # under which the router has it
        self.attempts_sent = 0
        self.commands: dict[Attempt, Command] = {}  # of its attempts in flight
        self.closed = False
        self.received_at: float | None = None

    def still_wanted(self) -> bool:
        """Whether its client still waits for an answer, as far as can be determined now."""
        return True

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends its final answer: the output of the worker, after so many attempts."""
        raise NotImplementedError

    def reject(self, reason: str, retry_after: float | None = None) -> None:
        """Sends its final answer: it had no effect, and may be retried after `retry_after` ms."""
        raise NotImplementedError

    def fail(self, reason: str) -> None:
        """Sends its final answer: it may have had an effect or not."""
        raise NotImplementedError


class CommandKind(StrEnum):
    """What a worker is sent."""

    ATTEMPT = "attempt"
    PREWARM = "prewarm"
    HEALTH_CHECK = "health_check"


@dataclass(slots=True, frozen=True)
class PrewarmKey:
    """Identifies a prewarm: the worker, the function and when it was sent (monotonic ms)."""

    worker: str
    function: str
    sent_at: float


CommandKey = Attempt | PrewarmKey | str  # of an attempt, a prewarm, a health check (the worker's name)


def _always(now: float) -> bool:
    return True


class Command:
    """One message to a worker that expects an answer. `key` is the coordinator's.

    `may_begin` is called with the time (monotonic ms) just before the first byte is sent: where it returns False, the
    command is not sent any more, and ends as unsent. A client that sends at once need not call it.
    """

    __slots__ = ("key", "kind", "may_begin", "worker_client")

    def __init__(self, kind: CommandKind, key: CommandKey) -> None:
        self.kind = kind
        self.key = key
        self.may_begin: Callable[[float], bool] = _always
        self.worker_client: AnyWorkerClient | None = None


CommandT_contra = TypeVar("CommandT_contra", bound=Command, contravariant=True)


@dataclass(slots=True, frozen=True)
class CommandResult:
    """How a command ended, and what the worker reported with it.

    `concurrent`: requests of the function in flight at the worker when the attempt arrived; `requests_in_replica`: how
    many were in a replica that ended; `same_process_since`: as far as the worker's connections show, the process that
    answered a health check has run since then (monotonic ms; None where the protocol does not keep it).
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
    """What became of an attempt that was to be withdrawn."""

    UNSENT = "unsent"  # no byte of it was sent: it never ran, and gets no answer
    CANCELLED = "cancelled"  # the cancel is with the kernel: it may have run, and gets no answer
    ENDED = "ended"  # it had ended before
    PENDING = "pending"  # the cancel waits to be written


class WorkerClient(Protocol[CommandT_contra]):
    """The connections to one worker. It posts one `CommandFinished` for each command."""

    name: str

    def send(self, command: CommandT_contra, /) -> None:
        """Sends it, or has it sent once connected."""

    def cancel(self, command: CommandT_contra, done: Callable[[], None], /) -> Withdrawal:
        """Withdraws an attempt; `done` is called once a cancel that is PENDING is with the kernel."""

    def withdraw_unsent(self, command: CommandT_contra, /) -> bool:
        """Takes back what has not begun to go out; True where it was so, and it has ended."""

    def withdraw_all_unsent(self) -> None:
        """Takes back all that has not begun to go out: it ends as unsent."""

    def abandon(self, command: CommandT_contra, /) -> bool:
        """Stops waiting for an answer; False where the command has ended already."""

    def disconnect(self) -> None:
        """Ends its connections."""

    def drain(self) -> None:
        """Sends no more; it ends with the last of what is in flight."""

    def close(self) -> None:
        """Ends it at once."""


@runtime_checkable
class ConnectionState(Protocol):
    """A worker client of one connection, which is made anew whenever it is lost."""

    @property
    def up(self) -> bool:
        """Whether there is a connection."""


# The coordinator passes a command only to the clients of the protocol that made it, whatever its own type.
AnyWorkerClient = WorkerClient[Any]


@dataclass(slots=True, frozen=True)
class EndpointListChange:
    """What an input changed: entries of the list, and where workers are (None: listed no more)."""

    endpoints: list[Endpoint]
    addresses: dict[str, str | None]


class EndpointList(Protocol[EntryT_contra]):
    """The merged view of the listed workers."""

    def apply(self, entries: Sequence[EntryT_contra], now: float, /) -> EndpointListChange:
        """Merges entries, and returns what they changed; `now` is monotonic ms."""

    def address(self, name: str) -> str | None:
        """Where a listed worker is."""

    def __len__(self) -> int:
        """How many workers are listed."""


AnyEndpointList = EndpointList[Any]  # its entries are passed on as they were received


class WorkerHello(Protocol):
    """What a worker reports as it is connected to: its present start, the time since then (ms), whether it drains."""

    @property
    def start(self) -> int:
        """The number of its present start."""

    @property
    def up_ms(self) -> float:
        """The time since that start."""

    @property
    def draining(self) -> bool:
        """Whether it takes no more requests."""


@runtime_checkable
class HelloEndpointList(Protocol):
    """An endpoint list that merges what the workers themselves report; each method returns the endpoints it changed."""

    def hello(self, name: str, hello: WorkerHello, now: float) -> list[Endpoint]:
        """A worker was connected to."""

    def unreachable(self, name: str, now: float) -> list[Endpoint]:
        """No connection to a worker could be made."""

    def draining(self, name: str) -> list[Endpoint]:
        """A worker reported that it drains."""

    def start_of(self, name: str) -> int | None:
        """The number of a listed worker's present start."""
