"""The attempts of a fake worker."""

from dataclasses import dataclass
from enum import StrEnum

from wickdyke.fault_injection.fake_worker.replicas import FakeReplica
from wickdyke.fault_injection.request_input import RequestInput
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection


class LoadNote(StrEnum):
    """The state of a function's replicas when an attempt arrived; the values are sent over the wire."""

    LOADED = "stood"
    LOAD_STARTED = "began"
    LOAD_AWAITED = "awaited"


class AttemptEnd(StrEnum):
    """How an attempt ended, apart from the outcomes of rejections; the values are written to the trace."""

    COMPLETED = "ok"
    ANSWER_LOST = "lost"
    CANCELLED = "cancelled"
    CONNECTION_CLOSED = "dropped"


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies an attempt by its connection and the id of its request on that connection."""

    connection: LineConnection
    request_id: jsonrpc.Ident


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt that the worker tracks.

    `concurrent_attempts` counts the other attempts of the function at its arrival, `number` the worker's attempts up to
    and including this one. An attempt that has ended stays tracked while the gateway has received no answer to it.
    """

    key: AttemptKey
    request: worker_messages.RunRequest
    input: RequestInput
    concurrent_attempts: int
    number: int
    load_note: LoadNote = LoadNote.LOADED
    replica: FakeReplica | None = None
    on_core: bool = False
    has_ended: bool = False

    @property
    def function(self) -> str:
        """The function that the attempt calls."""
        return self.request.function
