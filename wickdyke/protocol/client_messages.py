"""The messages between clients and the gateway (docs/protocol.md).

Fields whose name on the wire differs state that name.
"""

from enum import StrEnum
from typing import Annotated

import msgspec

from wickdyke.protocol import jsonrpc

REJECTED = -32001  # JSON-RPC error code
FAILED = -32002  # JSON-RPC error code
NUMBER_LIMIT = 1e9  # ms or MB; exclusive upper bound of numbers in requests
MAX_NAME_LENGTH = 256  # characters
MAX_CONCURRENCY = 4096
RETRY_AFTER_DIGITS = 3  # decimal places of retry_after_ms
Positive = Annotated[float, msgspec.Meta(gt=0, lt=NUMBER_LIMIT)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, lt=NUMBER_LIMIT)]
Concurrency = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONCURRENCY)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
OptionalName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class AnswerKind(StrEnum):
    """The kinds of final answer; the values are sent on the wire."""

    SUCCEEDED = "ok"
    REJECTED = "denied"
    FAILED = "aborted"


class CallRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The params of `call`. Times are ms, memory is MB; the settings provide defaults for omitted fields."""

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
    """The params of `cancel`: the id of the `call` whose answer the client no longer waits for."""

    id: str | int | float


class FinalAnswer(msgspec.Struct):
    """A final answer as a client receives it. `answer` is an AnswerKind, `reason` a single word."""

    answer: str
    output: msgspec.Raw = msgspec.Raw(b"null")
    attempts: int = msgspec.field(default=0, name="call_outs")
    retry_after_ms: float | None = None
    reason: str = msgspec.field(default="", name="why")


def success_response(ident: jsonrpc.Ident, output: bytes, attempts: int) -> bytes:
    """Returns the body of a success response: the worker's output, and the number of attempts made."""
    return jsonrpc.result_response(ident, b'{"answer":"ok","output":%b,"call_outs":%d}' % (output, attempts))


def rejection_response(ident: jsonrpc.Ident, reason: str, retry_after: float | None = None) -> bytes:
    """Returns the body of a rejection: the request had no effect and may be retried, after `retry_after` ms."""
    data: dict[str, object] = {"answer": AnswerKind.REJECTED, "why": reason}
    if retry_after is not None:
        data["retry_after_ms"] = round(retry_after, RETRY_AFTER_DIGITS)
    return jsonrpc.error_response(ident, REJECTED, AnswerKind.REJECTED, jsonrpc.encode(data))


def failure_response(ident: jsonrpc.Ident, reason: str) -> bytes:
    """Returns the body of a failure: the request may or may not have had an effect."""
    data = {"answer": AnswerKind.FAILED, "why": reason}
    return jsonrpc.error_response(ident, FAILED, AnswerKind.FAILED, jsonrpc.encode(data))


def read_final_answer(result: bytes | None, error: jsonrpc.ErrorObject | None) -> FinalAnswer | None:
    """Returns the final answer in a response, None where the gateway rejected the request as malformed."""
    try:
        if result is not None:
            return msgspec.json.decode(result, type=FinalAnswer)
        if error is not None and error.code in (REJECTED, FAILED):
            return msgspec.json.decode(error.data, type=FinalAnswer)
    except msgspec.MsgspecError:
        pass
    return None
