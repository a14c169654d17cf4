"""The interface of the client server that its connections use."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol, TypeVar

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import RejectionReason
from wickdyke.platform.client_request import PendingRequest
from wickdyke.platform.ended_request_ids import EndedRequestIds
from wickdyke.platform.memory_budget import MemoryBudget
from wickdyke.platform.memory_reclaim import MemoryReclaimer
from wickdyke.platform.withdrawals import WithdrawalDetector
from wickdyke.routing.model import RequestClass
from wickdyke.transport.event_loop import EventLoop

ClientT = TypeVar("ClientT")


class ClientOwner(Protocol[ClientT]):
    """The client server, as its connections use it."""

    loop: EventLoop
    request_classes: dict[str, RequestClass]
    tenants: tuple[str, ...]
    clients: dict[int, ClientT]  # by number
    open_requests: dict[bytes, PendingRequest]  # by the id that the client has set
    ended_ids: EndedRequestIds
    budget: MemoryBudget
    reclaimer: MemoryReclaimer
    counts: Counter[str]
    read_count: int  # reads of data, over all connections
    max_unread_bytes: int  # that the kernel may hold of one client
    withdrawal_detector: WithdrawalDetector

    @property
    def post(self) -> Callable[[Event], None]:
        """Passes an event to the coordinator."""

    @property
    def rejection_reason(self) -> Callable[[], RejectionReason | None]:
        """Returns why no request can be admitted now, or None."""

    def is_serving(self) -> bool:
        """Returns whether requests are admitted."""

    def count_invalid(self, reason: str) -> None:
        """Counts an invalid request."""

    def request_ended(self, pending: PendingRequest) -> None:
        """Removes a request from the open ones: it has its answer, or its client has left."""

    def limit_time_left(self, time_left: float) -> float:
        """Returns how much of `time_left` (ms) a new request may use before the shutdown; 0 where that is too short."""

    def read_all(self, client: ClientT) -> None:
        """Reads the data that the client has sent so far, up to a limit."""

    def read_ahead(self, client: ClientT, size: int) -> None:
        """Reads up to `size` bytes of the client's data ahead of its turn, which comes later for that."""

    def release_socket(self, client: ClientT) -> None:
        """Closes the socket of a connection that has ended."""
