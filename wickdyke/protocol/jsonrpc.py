"""JSON-RPC 2.0 (jsonrpc.org/specification): requests, notifications, batches and answers as bytes.

`params`, `result` and `data` stay raw until somebody needs them, so that a payload of megabytes is scanned once
and copied, never decoded and encoded again.
"""

from collections.abc import Iterable

import msgspec

PARSE_ERROR, INVALID_REQUEST, METHOD_NOT_FOUND, INVALID_PARAMS = -32700, -32600, -32601, -32602
ERROR_MESSAGES = {
    PARSE_ERROR: "Parse error",
    INVALID_REQUEST: "Invalid Request",
    METHOD_NOT_FOUND: "Method not found",
    INVALID_PARAMS: "Invalid params",
}
MAX_NESTING = 64  # nesting that any message of ours stays far under; deeper input is refused before it is decoded

Ident = str | int | float | None


class MalformedRequestError(Exception):
    """What is answered to a malformed request; `ident` is its id where that could be read."""

    def __init__(self, code: int, why: str, ident: Ident = None) -> None:
        super().__init__(why)
        self.code, self.why, self.ident = code, why, ident


class _Request(msgspec.Struct):
    jsonrpc: msgspec.Raw = msgspec.Raw(b"")
    method: msgspec.Raw = msgspec.Raw(b"")
    params: msgspec.Raw = msgspec.Raw(b"")
    id: msgspec.Raw = msgspec.Raw(b"")


class Request(msgspec.Struct, gc=False):
    """A request; a notification has no id at all (`told`)."""

    method: str
    params: bytes
    ident: Ident
    told: bool


class _Answer(msgspec.Struct):
    id: str | int | float | None
    result: msgspec.Raw = msgspec.Raw(b"")
    error: msgspec.Raw = msgspec.Raw(b"")


class ErrorObject(msgspec.Struct):
    """The error of an answer."""

    code: int
    message: str = ""
    data: msgspec.Raw = msgspec.Raw(b"null")


_requests = msgspec.json.Decoder(_Request)
_batches = msgspec.json.Decoder(list[msgspec.Raw])
_answers = msgspec.json.Decoder(_Answer)
_problems = msgspec.json.Decoder(ErrorObject)
_words = msgspec.json.Decoder(str)
_idents = msgspec.json.Decoder(str | int | float | None)
encode = msgspec.json.encode


def too_deep(data: bytes) -> bool:
    """Whether brackets nest deeper than DEEP. Those inside strings count too, to the safe side, but only where
    the message has so many at all; a payload is judged by what it opens and has not closed."""
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING:
        return False
    depth, quoted, skip = 0, False, False
    for byte in data:
        if skip:
            skip = False
        elif quoted:
            if byte == 0x5C:
                skip = True
            elif byte == 0x22:
                quoted = False
        elif byte == 0x22:
            quoted = True
        elif byte in b"[{":
            depth += 1
            if depth > MAX_NESTING:
                return True
        elif byte in b"]}":
            depth -= 1
    return False


def is_text(line: bytes) -> bool:
    """Whether it is UTF-8, as JSON has to be; raw parts are passed on and would spoil another's stream."""
    if line.isascii():
        return True
    try:
        line.decode()
    except UnicodeDecodeError:
        return False
    return True


def parse_requests(line: bytes) -> Iterable[Request | MalformedRequestError]:
    """The requests of one line, which holds one or a batch; a malformed one comes as its Fault."""
    if not is_text(line):
        return [MalformedRequestError(PARSE_ERROR, "not UTF-8")]
    start = line.lstrip()[:1]
    if start == b"[":
        try:
            parts = _batches.decode(line)
        except (msgspec.MsgspecError, ValueError, RecursionError) as bad:
            return [MalformedRequestError(PARSE_ERROR, f"not JSON: {bad}")]
        if not parts:
            return [MalformedRequestError(INVALID_REQUEST, "an empty batch")]
        return [_request(bytes(part)) for part in parts]
    return [_request(line)]


def is_batch(line: bytes) -> bool:
    """Whether the line's answers are to come together, as one array."""
    return line.lstrip()[:1] == b"["


def _request(line: bytes) -> Request | MalformedRequestError:
    try:
        raw = _requests.decode(line)
    except msgspec.ValidationError:
        return MalformedRequestError(INVALID_REQUEST, "expected an object")
    except (msgspec.MsgspecError, ValueError, RecursionError) as bad:
        return MalformedRequestError(PARSE_ERROR, f"not JSON: {bad}")
    ident, told = None, not raw.id
    if raw.id:
        try:
            ident = _idents.decode(raw.id)
        except (msgspec.MsgspecError, ValueError):
            return MalformedRequestError(INVALID_REQUEST, "id: expected a string, a number or null")
    if bytes(raw.jsonrpc) != b'"2.0"':
        return MalformedRequestError(INVALID_REQUEST, 'jsonrpc: expected "2.0"', ident)
    try:
        method = _words.decode(raw.method)
    except (msgspec.MsgspecError, ValueError):
        return MalformedRequestError(INVALID_REQUEST, "method: expected a string", ident)
    params = bytes(raw.params)
    if params and params[:1] not in (b"{", b"["):
        return MalformedRequestError(INVALID_REQUEST, "params: expected an object or an array", ident)
    return Request(method, params, ident, told)


def parse_response(line: bytes) -> tuple[Ident, bytes | None, ErrorObject | None]:
    """(id, result, problem) of one answer; raises Fault where it is none."""
    if not is_text(line):
        raise MalformedRequestError(PARSE_ERROR, "not UTF-8")
    try:
        raw = _answers.decode(line)
        error = _problems.decode(raw.error) if raw.error else None
    except (msgspec.MsgspecError, ValueError, RecursionError) as bad:
        raise MalformedRequestError(INVALID_REQUEST, f"not an answer: {bad}") from None
    if bool(raw.result) == bool(raw.error):
        raise MalformedRequestError(INVALID_REQUEST, "expected either result or error", raw.id)
    return raw.id, bytes(raw.result) if raw.result else None, error


def request_line(method: str, encoded_params: bytes, ident: Ident) -> bytes:
    """One request, ready to be sent."""
    return b'{"jsonrpc":"2.0","method":%b,"params":%b,"id":%b}\n' % (encode(method), encoded_params, encode(ident))


def notification_line(method: str, encoded_params: bytes) -> bytes:
    """One notification, ready to be sent."""
    return b'{"jsonrpc":"2.0","method":%b,"params":%b}\n' % (encode(method), encoded_params)


def result_response(ident: Ident, value: bytes) -> bytes:
    """The body of an answer that holds a result."""
    return b'{"jsonrpc":"2.0","result":%b,"id":%b}' % (value, encode(ident))


def error_response(ident: Ident, code: int, message: str, data: bytes | None = None) -> bytes:
    """The body of an answer that holds an error."""
    said = b'{"code":%d,"message":%b%b}' % (code, encode(message), b"" if data is None else b',"data":%b' % data)
    return b'{"jsonrpc":"2.0","error":%b,"id":%b}' % (said, encode(ident))


def malformed_request_response(fault: MalformedRequestError) -> bytes:
    """The body of the answer to a malformed request; its data says what was expected."""
    return error_response(fault.ident, fault.code, ERROR_MESSAGES[fault.code], encode(fault.why))


def parse_params(kind: type, raw: bytes, ident: Ident):
    """The params of a request, by name; raises Fault with what was expected."""
    if not raw or raw[:1] != b"{":
        raise MalformedRequestError(INVALID_PARAMS, "params: expected an object", ident)
    if too_deep(raw):
        raise MalformedRequestError(INVALID_PARAMS, f"params: nested deeper than {MAX_NESTING}", ident)
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as bad:
        raise MalformedRequestError(INVALID_PARAMS, str(bad), ident) from None
