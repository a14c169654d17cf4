"""The messages between clients and the gateway (docs/protocol.md).

Names that differ on the wire stand at the fields.
"""

from enum import StrEnum
from typing import Annotated

import msgspec

from wickdyke.protocol import jsonrpc

REJECTED = -32001  # error codes
FAILED = -32002
NUMBER_LIMIT = 1e9  # ms or MB: figures are less
MAX_NAME_LENGTH = 256  # characters
MAX_CONCURRENCY = 4096
RETRY_AFTER_DIGITS = 3  # after the point, of ms
Positive = Annotated[float, msgspec.Meta(gt=0, lt=NUMBER_LIMIT)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, lt=NUMBER_LIMIT)]
Concurrency = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONCURRENCY)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
OptionalName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class AnswerKind(StrEnum):
    """The words for the final answers on the wire."""

    SUCCEEDED = "ok"
    REJECTED = "denied"
    FAILED = "aborted"


class CallRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The params of `call`. Times are ms, memory is MB; for what is left out the settings have a value."""

    method: Name
    function: Name = msgspec.field(name="program")
    input: msgspec.Raw = msgspec.Raw(b"null")
    time_left_ms: Positive | None = None
    memory_mb: NonNegative | None = None
    concurrency: Concurrency | None = msgspec.field(default=None, name="lanes")
    load_ms: Positive | None = None
    work_ms: Positive | None = None
    idempotency_key: OptionalName | None = msgspec.field(default=None, name="token")
    is_repeat: bool = msgspec.field(default=False, name="repeat")
    tenant: OptionalName = ""


class CancelRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The params of `cancel`: the id of the `call` whose answer the client does not wait for any more."""

    id: str | int | float


class FinalAnswer(msgspec.Struct):
    """A final answer as a client reads it. `answer` is an AnswerKind, `reason` one word."""

    answer: str
    output: msgspec.Raw = msgspec.Raw(b"null")
    attempts: int = msgspec.field(default=0, name="call_outs")
    retry_after_ms: float | None = None
    reason: str = msgspec.field(default="", name="why")


def success_response(ident: jsonrpc.Ident, output: bytes, attempts: int) -> bytes:
    """The body of a success: the worker's output, after so many attempts."""
    return jsonrpc.result_response(ident, b'{"answer":"ok","output":%b,"call_outs":%d}' % (output, attempts))


def rejection_response(ident: jsonrpc.Ident, reason: str, retry_after: float | None = None) -> bytes:
    """The body of a rejection: the request has no effect, and may be retried (after `retry_after` ms)."""
    data: dict[str, object] = {"answer": AnswerKind.REJECTED, "why": reason}
    if retry_after is not None:
        data["retry_after_ms"] = round(retry_after, RETRY_AFTER_DIGITS)
    return jsonrpc.error_response(ident, REJECTED, AnswerKind.REJECTED, jsonrpc.encode(data))


def failure_response(ident: jsonrpc.Ident, reason: str) -> bytes:
    """The body of a failure: the request may have had an effect or not."""
    data = {"answer": AnswerKind.FAILED, "why": reason}
    return jsonrpc.error_response(ident, FAILED, AnswerKind.FAILED, jsonrpc.encode(data))


def read_final_answer(result: bytes | None, error: jsonrpc.ErrorObject | None) -> FinalAnswer | None:
    """The final answer in a response, or None where the gateway rejected the request as malformed."""
    try:
        if result is not None:
            return msgspec.json.decode(result, type=FinalAnswer)
        if error is not None and error.code in (REJECTED, FAILED):
            return msgspec.json.decode(error.data, type=FinalAnswer)
    except msgspec.MsgspecError:
        pass
    return None
