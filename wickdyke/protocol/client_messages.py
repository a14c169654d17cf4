"""What clients and the gateway say to each other (docs/protocol.md)."""

from typing import Annotated

import msgspec

from wickdyke.protocol import jsonrpc

REJECTED, FAILED = -32001, -32002
Positive = Annotated[float, msgspec.Meta(gt=0, lt=1e9)]
Word = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class CallRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The params of `call`. Times are ms; what is left out comes from the settings."""

    method: Word
    function: Word = msgspec.field(name="program")
    input: msgspec.Raw = msgspec.Raw(b"null")
    time_left_ms: Positive | None = None
    memory_mb: Annotated[float, msgspec.Meta(ge=0, lt=1e9)] | None = None
    concurrency: Annotated[int, msgspec.Meta(ge=1, le=4096)] | None = msgspec.field(default=None, name="lanes")
    load_ms: Positive | None = None
    work_ms: Positive | None = None
    idempotency_key: Annotated[str, msgspec.Meta(max_length=256)] | None = msgspec.field(default=None, name="token")
    is_repeat: bool = msgspec.field(default=False, name="repeat")
    tenant: Annotated[str, msgspec.Meta(max_length=256)] = ""


class CancelRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The params of `cancel`: the id of the call that the client has left."""

    id: str | int | float


class FinalAnswer(msgspec.Struct):
    """A final answer as a client reads it: ok, denied (rejected) or aborted (failed), with the reason in one word."""

    answer: str
    output: msgspec.Raw = msgspec.Raw(b"null")
    attempts: int = msgspec.field(default=0, name="call_outs")
    retry_after_ms: float | None = None
    reason: str = msgspec.field(default="", name="why")


def success_response(ident: jsonrpc.Ident, output: bytes, call_outs: int) -> bytes:
    """The body of an ok answer."""
    return jsonrpc.result_response(ident, b'{"answer":"ok","output":%b,"call_outs":%d}' % (output, call_outs))


def rejection_response(ident: jsonrpc.Ident, why: str, retry_after: float | None = None) -> bytes:
    """The body of a denial: the RPC has no effect, asking again is harmless (after `retry_after` ms)."""
    said: dict[str, object] = {"answer": "denied", "why": why}
    if retry_after is not None:
        said["retry_after_ms"] = round(retry_after, 3)
    return jsonrpc.error_response(ident, REJECTED, "denied", jsonrpc.encode(said))


def failure_response(ident: jsonrpc.Ident, why: str) -> bytes:
    """The body of an abort: nothing is promised of its effect."""
    return jsonrpc.error_response(ident, FAILED, "aborted", jsonrpc.encode({"answer": "aborted", "why": why}))


def read_final_answer(result: bytes | None, problem: jsonrpc.ErrorObject | None) -> FinalAnswer | None:
    """The final answer that an answer carries, or None where the gateway refused the request as malformed."""
    try:
        if result is not None:
            return msgspec.json.decode(result, type=FinalAnswer)
        if problem is not None and problem.code in (REJECTED, FAILED):
            return msgspec.json.decode(problem.data, type=FinalAnswer)
    except msgspec.MsgspecError:
        pass
    return None
