"""One request of a client of the platform: how it is answered, and what it counts as in the memory budget."""

from typing import Protocol

from wickdyke.gateway import interfaces
from wickdyke.platform import thrift
from wickdyke.platform.memory_budget import RECORD_BYTES, MemoryAccount
from wickdyke.platform.requests import RequestParameters
from wickdyke.routing.model import RequestClass


class RequestConnection(Protocol):
    """The connection of a client, as its requests use it."""

    number: int
    memory: MemoryAccount
    open_requests: "dict[int, PendingRequest]"  # by the number of the message

    def is_present(self) -> bool:
        """Returns whether the client counts as present; a cancel or a close that has come is handled by then."""

    def count_refused_absent(self) -> None:
        """Counts an attempt that does not begin, as it is not known whether the client is still there."""

    def release(self, pending: "PendingRequest") -> bool:
        """Removes a request from the open ones; returns False where it was already removed."""

    def write(self, frame: bytes) -> None:
        """Writes a frame without blocking; closes the connection if the client reads too slowly."""


class PendingRequest(interfaces.PendingRequest):
    """One request of a client. `ident` is the number of its message on the connection.

    `counted_bytes` is what it counts as in the memory account of its connection.
    """

    __slots__ = ("counted_bytes",)

    client: RequestConnection
    ident: int
    params: RequestParameters

    def __init__(
        self,
        client: RequestConnection,
        ident: int,
        request_class: RequestClass,
        params: RequestParameters,
        time_left: float,
    ) -> None:
        super().__init__(client, ident, request_class, params, time_left)
        self.counted_bytes = 0

    def count_as(self, size: int) -> None:
        """Sets what the request counts as (bytes)."""
        self.client.memory.add_request(size - self.counted_bytes)
        self.counted_bytes = size

    def drop_body(self) -> None:
        """Drops the body, which no attempt needs any more; the rest is counted until the last attempt has ended."""
        self.params.input = None
        self.count_as(min(self.counted_bytes, RECORD_BYTES))

    def released(self) -> None:
        """Counts the request no longer."""
        self.count_as(0)

    def succeed(self, output: bytes, attempts: int) -> None:
        """Sends the final answer, with the worker's output."""
        self._send_answer(thrift.encode_answer("dispatch", self.ident, output))

    def reject(self, reason: str, retry_after: float | None = None) -> None:
        """Sends the final answer: the request was rejected and did not run. `retry_after` is in ms."""
        fields = {} if retry_after is None else {"w": str(max(1, round(retry_after)))}
        self._send_answer(thrift.encode_shed("dispatch", self.ident, fields))

    def fail(self, reason: str) -> None:
        """Sends the final answer: the request failed, and may or may not have run."""
        self._send_answer(thrift.encode_fault("dispatch", self.ident, {}))

    def is_client_waiting(self) -> bool:
        """Returns whether the client still waits for an answer, also after a cancel or close that was not read yet."""
        # On a busy machine a cancel or a close may wait in the kernel while a retry or a hedge is decided.
        client = self.client
        is_present = client.is_present()
        if client.open_requests.get(self.ident) is not self:
            return False
        if not is_present:
            client.count_refused_absent()
        return is_present

    def _send_answer(self, frame: bytes) -> None:
        if self.client.release(self):
            self.client.write(frame)
