"""JSON-RPC 2.0 (jsonrpc.org/specification): requests, notifications, batches and responses as bytes.

`params`, `result` and `data` stay raw JSON until they are needed: a payload of megabytes is scanned once and copied,
but never decoded and encoded again.
"""

from collections.abc import Iterable
from typing import NamedTuple, TypeVar

import msgspec

PARSE_ERROR = -32700
INVALID_REQUEST = -32600
METHOD_NOT_FOUND = -32601
INVALID_PARAMS = -32602
ERROR_MESSAGES = {
    PARSE_ERROR: "Parse error",
    INVALID_REQUEST: "Invalid Request",
    METHOD_NOT_FOUND: "Method not found",
    INVALID_PARAMS: "Invalid params",
}
MAX_NESTING = 64  # brackets; deeper than any message of this protocol, and checked before the input is decoded

Ident = str | int | float | None  # the id of a request
ParamsT = TypeVar("ParamsT")


class MalformedRequestError(Exception):
    """A line is not a valid message, or a request has invalid params.

    `code` is the JSON-RPC error code, `reason` describes the error, `ident` is the request's id where that could be
    read.
    """

    def __init__(self, code: int, reason: str, ident: Ident = None) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason
        self.ident = ident


class _RawRequest(msgspec.Struct):
    jsonrpc: msgspec.Raw = msgspec.Raw(b"")
    method: msgspec.Raw = msgspec.Raw(b"")
    params: msgspec.Raw = msgspec.Raw(b"")
    id: msgspec.Raw = msgspec.Raw(b"")


class Request(msgspec.Struct, gc=False):
    """A request, or a notification, which has no `id` member."""

    method: str
    params: bytes
    ident: Ident
    is_notification: bool


class _RawResponse(msgspec.Struct):
    id: str | int | float | None
    result: msgspec.Raw = msgspec.Raw(b"")
    error: msgspec.Raw = msgspec.Raw(b"")


class ErrorObject(msgspec.Struct):
    """The error of a response."""

    code: int
    message: str = ""
    data: msgspec.Raw = msgspec.Raw(b"null")


class Response(NamedTuple):
    """The response to the request with id `ident`: a result as raw JSON, or an error."""

    ident: Ident
    result: bytes | None
    error: ErrorObject | None


_request_decoder = msgspec.json.Decoder(_RawRequest)
_batch_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_response_decoder = msgspec.json.Decoder(_RawResponse)
_error_decoder = msgspec.json.Decoder(ErrorObject)
_string_decoder = msgspec.json.Decoder(str)
_ident_decoder: msgspec.json.Decoder[Ident] = msgspec.json.Decoder(str | int | float | None)
encode = msgspec.json.encode

QUOTE = ord('"')
BACKSLASH = ord("\\")


def is_nested_too_deep(data: bytes) -> bool:  # noqa: C901 - a function call per byte would double the time
    """Whether brackets nest deeper than MAX_NESTING.

    A message is scanned only if it has more than MAX_NESTING opening brackets in total.
    """
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING:
        return False
    depth = 0
    in_string = False
    is_escaped = False
    for byte in data:
        if is_escaped:
            is_escaped = False
        elif in_string:
            if byte == BACKSLASH:
                is_escaped = True
            elif byte == QUOTE:
                in_string = False
        elif byte == QUOTE:
            in_string = True
        elif byte in b"[{":
            depth += 1
            if depth > MAX_NESTING:
                return True
        elif byte in b"]}":
            depth -= 1
    return False


def is_utf8(line: bytes) -> bool:
    """Whether the line is UTF-8, as JSON must be: raw parts are passed on, and would invalidate other messages."""
    if line.isascii():
        return True
    try:
        line.decode()
    except UnicodeDecodeError:
        return False
    return True


def parse_requests(line: bytes) -> Iterable[Request | MalformedRequestError]:
    """Returns the requests in one line, a single one or a batch; a malformed request is returned as an error."""
    if not is_utf8(line):
        return [MalformedRequestError(PARSE_ERROR, "not UTF-8")]
    start = line.lstrip()[:1]
    if start == b"[":
        try:
            parts = _batch_decoder.decode(line)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return [MalformedRequestError(PARSE_ERROR, f"not JSON: {error}")]
        if not parts:
            return [MalformedRequestError(INVALID_REQUEST, "an empty batch")]
        return [_request(bytes(part)) for part in parts]
    return [_request(line)]


def is_batch(line: bytes) -> bool:
    """Whether the line is a batch, whose responses are to be sent together as one array."""
    return line.lstrip()[:1] == b"["


def _request(line: bytes) -> Request | MalformedRequestError:
    try:
        raw = _request_decoder.decode(line)
    except msgspec.ValidationError:
        return MalformedRequestError(INVALID_REQUEST, "expected an object")
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return MalformedRequestError(PARSE_ERROR, f"not JSON: {error}")
    try:
        return _validate(raw)
    except MalformedRequestError as error:
        return error


def _validate(raw: _RawRequest) -> Request:
    """Returns the validated request. Raises MalformedRequestError."""
    ident = _read_ident(raw)
    if bytes(raw.jsonrpc) != b'"2.0"':
        raise MalformedRequestError(INVALID_REQUEST, 'jsonrpc: expected "2.0"', ident)
    try:
        method = _string_decoder.decode(raw.method)
    except (msgspec.MsgspecError, ValueError):
        raise MalformedRequestError(INVALID_REQUEST, "method: expected a string", ident) from None
    params = bytes(raw.params)
    if params and params[:1] not in (b"{", b"["):
        raise MalformedRequestError(INVALID_REQUEST, "params: expected an object or an array", ident)
    return Request(method, params, ident, is_notification=not raw.id)


def _read_ident(raw: _RawRequest) -> Ident:
    if not raw.id:
        return None
    try:
        return _ident_decoder.decode(raw.id)
    except (msgspec.MsgspecError, ValueError):
        raise MalformedRequestError(INVALID_REQUEST, "id: expected a string, a number or null") from None


def parse_response(line: bytes) -> Response:
    """Parses one response. Raises MalformedRequestError where the line is not a valid response."""
    if not is_utf8(line):
        raise MalformedRequestError(PARSE_ERROR, "not UTF-8")
    try:
        raw = _response_decoder.decode(line)
        error_object = _error_decoder.decode(raw.error) if raw.error else None
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedRequestError(INVALID_REQUEST, f"not a response: {error}") from None
    if bool(raw.result) == bool(raw.error):
        raise MalformedRequestError(INVALID_REQUEST, "expected either result or error", raw.id)
    return Response(raw.id, bytes(raw.result) if raw.result else None, error_object)


def request_line(method: str, encoded_params: bytes, ident: Ident) -> bytes:
    """Returns the line of one request."""
    return b'{"jsonrpc":"2.0","method":%b,"params":%b,"id":%b}\n' % (encode(method), encoded_params, encode(ident))


def notification_line(method: str, encoded_params: bytes) -> bytes:
    """Returns the line of one notification."""
    return b'{"jsonrpc":"2.0","method":%b,"params":%b}\n' % (encode(method), encoded_params)


def result_response(ident: Ident, value: bytes) -> bytes:
    """Returns the body of a response with a result."""
    return b'{"jsonrpc":"2.0","result":%b,"id":%b}' % (value, encode(ident))


def error_response(ident: Ident, code: int, message: str, data: bytes | None = None) -> bytes:
    """Returns the body of a response with an error."""
    data_member = b"" if data is None else b',"data":%b' % data
    error = b'{"code":%d,"message":%b%b}' % (code, encode(message), data_member)
    return b'{"jsonrpc":"2.0","error":%b,"id":%b}' % (error, encode(ident))


def malformed_request_response(error: MalformedRequestError) -> bytes:
    """Returns the body of the response to a malformed request; the error's data is the reason."""
    return error_response(error.ident, error.code, ERROR_MESSAGES[error.code], encode(error.reason))


def parse_params(params_type: type[ParamsT], raw: bytes, ident: Ident) -> ParamsT:
    """Decodes the params of a request, passed by name. Raises MalformedRequestError where they are invalid."""
    if not raw or raw[:1] != b"{":
        raise MalformedRequestError(INVALID_PARAMS, "params: expected an object", ident)
    if is_nested_too_deep(raw):
        raise MalformedRequestError(INVALID_PARAMS, f"params: nested deeper than {MAX_NESTING}", ident)
    try:
        return msgspec.json.decode(raw, type=params_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedRequestError(INVALID_PARAMS, str(error), ident) from None
