"""What the desk uses of the ways in and out: asks, links, their orders, and the view of the list.

JSON-RPC (door, link, speech, roster beside this) is one set of them, wickdyke/platform the other.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from wickdyke.routing.model import Attempt, Endpoint, Function, RequestClass, RoutePolicy


class PendingRequest:
    """One RPC of a client, checked. The desk answers it once, or drops it when the client has left.

    `call` has the program, its figures (memory_mb, lanes, load_ms, work_ms), repeat, token and input.
    """

    __slots__ = (
        "client",
        "ident",
        "method",
        "call",
        "left",
        "timing",
        "rpc",
        "sent",
        "done",
        "orders",
        "told",
        "begun",
    )

    def __init__(
        self, client: Any, ident: Any, method: RequestClass, call: Any, left: float, timing: RoutePolicy | None = None
    ) -> None:
        self.client, self.ident, self.method, self.call, self.left = client, ident, method, call, left
        self.timing = timing  # as the routes are now; a file read later is for those that come later
        self.rpc, self.sent, self.done, self.orders, self.told = None, 0, False, {}, None
        self.begun: float | None = None  # when it was read, in monotonic ms; `left` counts from there

    def wanted(self) -> bool:
        """Whether its client still waits for an answer, as far as can be told now."""
        return True

    def ok(self, output: bytes, call_outs: int) -> None:
        """Its final answer, with what the worker gave."""
        raise NotImplementedError

    def denied(self, why: str, wait: float | None = None) -> None:
        """Its final answer: nothing was done; worth asking again after `wait` ms."""
        raise NotImplementedError

    def aborted(self, why: str) -> None:
        """Its final answer: nothing is promised."""
        raise NotImplementedError


class Command:
    """One message that is owed an answer: a call-out (run), a hold or a probe. `key` is the desk's."""

    __slots__ = ("kind", "key", "link")

    def __init__(self, kind: str, key: Any) -> None:
        self.kind, self.key = kind, key
        self.link: WorkerClient | None = None


@dataclass(slots=True, frozen=True)
class CommandResult:
    """How an order ended, and what came with it; `inside` is how many calls were in a copy that ended."""

    outcome: str
    output: bytes = b""
    standing: str | None = None
    company: int = 0
    report: tuple[float, ...] | None = None
    copies: int = 0
    inside: int = 0


class WorkerClient(Protocol):
    """One worker. It tells `("back", link, order, outcome, result, data)` of each order once."""

    name: str

    def send(self, order: Command) -> None:
        """Sends it, or has it sent once connected."""

    def cancel(self, order: Command, done: Any) -> str | None:
        """Withdraws a call-out; see wickdyke/gateway/link.py for what it returns."""

    def unsend(self, order: Command) -> bool:
        """Takes back what has not begun to go out; True where it was so, and it has ended."""

    def recall(self) -> None:
        """Nothing new goes there: what has not begun to go out ends as unsent."""

    def forget(self, order: Command) -> bool:
        """No answer is waited for any more; False where it has ended already."""

    def cut(self) -> None:
        """Ends the connection."""

    def retire(self) -> None:
        """No more is to be sent; it ends with the last of what is out."""

    def close(self) -> None:
        """Ends it at once."""


class WorkerProtocol(Protocol):
    """How workers are spoken to; `eager` where a link is to be made as soon as its worker is listed."""

    eager: bool

    def link(self, name: str, address: str, tell: Any) -> WorkerClient:
        """The way to one worker."""

    def run(self, attempt: Attempt, ask: PendingRequest, left: float) -> Command:
        """A call-out, to be waited for so many ms."""

    def hold(self, key: tuple, program: Function, copies: int) -> Command:
        """An order to have so many copies standing."""

    def probe(self, key: str) -> Command:
        """A question for a report."""

    def ending(self, order: Command, outcome: str, result: object, data: object) -> CommandResult:
        """What a link told of an order's end."""


@dataclass(slots=True, frozen=True)
class EndpointListChange:
    """What an input changed of the list: listings, and where workers are (None: listed no more)."""

    listings: list[Endpoint]
    addresses: dict[str, str | None]


class EndpointList(Protocol):
    """The view of the list."""

    def rows(self, rows: list, now: float) -> EndpointListChange:
        """What came from the list, and what it changed."""

    def address(self, name: str) -> str | None:
        """Where a listed worker is."""

    def __len__(self) -> int:
        """How many workers are listed."""
