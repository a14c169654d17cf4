"""The attempts of a fake worker."""

from dataclasses import dataclass
from enum import StrEnum

from wickdyke.fault_injection.fake_worker.replicas import FakeReplica
from wickdyke.fault_injection.request_input import RequestInput
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection


class LoadNote(StrEnum):
    """The state of a function's replicas as an attempt arrived; the values are the words on the wire."""

    LOADED = "stood"
    LOAD_STARTED = "began"
    LOAD_AWAITED = "awaited"


class AttemptEnd(StrEnum):
    """How an attempt ended, besides the outcomes of rejections; the values are the words in the trace."""

    COMPLETED = "ok"
    ANSWER_LOST = "lost"
    CANCELLED = "cancelled"
    CONNECTION_CLOSED = "dropped"


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """What identifies an attempt: its connection and the id of its request there."""

    connection: LineConnection
    request_id: jsonrpc.Ident


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt that the worker keeps track of.

    `concurrent` counts the other attempts of the function as it arrived, `number` the worker's attempts so far.
    An attempt that has ended is kept while the gateway has no answer to it.
    """

    key: AttemptKey
    request: worker_messages.RunRequest
    input: RequestInput
    concurrent: int
    number: int
    load_note: LoadNote = LoadNote.LOADED
    replica: FakeReplica | None = None
    on_core: bool = False
    ended: bool = False

    @property
    def function(self) -> str:
        """The function that the attempt calls."""
        return self.request.function
