"""What clients and the gateway say to each other (docs/protocol.md)."""

from typing import Annotated

import msgspec

from wickdyke.protocol import jsonrpc

DENIED, ABORTED = -32001, -32002
Positive = Annotated[float, msgspec.Meta(gt=0, lt=1e9)]
Word = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class Call(msgspec.Struct, forbid_unknown_fields=True):
    """The params of `call`. Times are ms; what is left out comes from the settings."""

    method: Word
    program: Word
    input: msgspec.Raw = msgspec.Raw(b"null")
    time_left_ms: Positive | None = None
    memory_mb: Annotated[float, msgspec.Meta(ge=0, lt=1e9)] | None = None
    lanes: Annotated[int, msgspec.Meta(ge=1, le=4096)] | None = None
    load_ms: Positive | None = None
    work_ms: Positive | None = None
    token: Annotated[str, msgspec.Meta(max_length=256)] | None = None
    repeat: bool = False
    tenant: Annotated[str, msgspec.Meta(max_length=256)] = ""


class Cancel(msgspec.Struct, forbid_unknown_fields=True):
    """The params of `cancel`: the id of the call that the client has left."""

    id: str | int | float


class Final(msgspec.Struct):
    """A final answer as a client reads it: ok, denied or aborted; `why` in one word."""

    answer: str
    output: msgspec.Raw = msgspec.Raw(b"null")
    call_outs: int = 0
    retry_after_ms: float | None = None
    why: str = ""


def ok(ident: jsonrpc.Ident, output: bytes, call_outs: int) -> bytes:
    """The body of an ok answer."""
    return jsonrpc.result(ident, b'{"answer":"ok","output":%b,"call_outs":%d}' % (output, call_outs))


def denied(ident: jsonrpc.Ident, why: str, retry_after: float | None = None) -> bytes:
    """The body of a denial: the RPC has no effect, asking again is harmless (after `retry_after` ms)."""
    said: dict[str, object] = {"answer": "denied", "why": why}
    if retry_after is not None:
        said["retry_after_ms"] = round(retry_after, 3)
    return jsonrpc.problem(ident, DENIED, "denied", jsonrpc.encode(said))


def aborted(ident: jsonrpc.Ident, why: str) -> bytes:
    """The body of an abort: nothing is promised of its effect."""
    return jsonrpc.problem(ident, ABORTED, "aborted", jsonrpc.encode({"answer": "aborted", "why": why}))


def final(result: bytes | None, problem: jsonrpc.Problem | None) -> Final | None:
    """The final answer that an answer carries, or None where the gateway refused the request as malformed."""
    try:
        if result is not None:
            return msgspec.json.decode(result, type=Final)
        if problem is not None and problem.code in (DENIED, ABORTED):
            return msgspec.json.decode(problem.data, type=Final)
    except msgspec.MsgspecError:
        pass
    return None
