"""The part of Thrift's strict binary protocol, in framed transport, that the front end's service needs. No I/O.

The size of a frame is limited before it is stored, and every length is checked against the rest of its frame.
"""

import struct
from dataclasses import dataclass
from typing import NamedTuple

MAX_FRAME_SIZE = 24 * 1024  # bytes of a frame, with the body and the fields
MAX_BODY_SIZE = 16 * 1024  # bytes
MAX_FIELDS = 32  # entries of a map of fields
MAX_DEPTH = 8  # nesting depth of values that are skipped
LENGTH_SIZE = 4  # bytes of the length before each frame
KEPT_OF_DISCARDED = 256  # bytes; the beginning of a message, with the name of its method and its number
VERSION = 0x80010000

# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Field and value types.
STOP = 0
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15

# Ids of the arguments of dispatch.
FIELDS_ARGUMENT = 1
BODY_ARGUMENT = 2

FIXED_SIZES = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}

# Application exception codes.
UNKNOWN_METHOD = 1
PROTOCOL_ERROR = 7

_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")
_FIELD_HEADER = struct.Struct(">bh")


class MalformedMessageError(Exception):
    """The data is not a valid message; `number` is its sequence number where that is known."""

    def __init__(self, reason: str, number: int | None = None) -> None:
        super().__init__(reason)
        self.number = number


@dataclass(slots=True, frozen=True)
class Message:
    """One message of a client, with its sequence number.

    `fields` and `body` belong to a request; `cancelled_number` is the sequence number that a cancel refers to.
    """

    method: str
    number: int
    fields: dict[str, str]
    body: bytes
    cancelled_number: int


class FrameParser:
    """Splits a stream into frames. The rest of an incomplete frame may be discarded as it arrives."""

    def __init__(self, size_limit: int = MAX_FRAME_SIZE) -> None:
        self.buffer = b""
        self.size_limit = size_limit
        self.bytes_to_discard = 0  # still to come of the frame that is being discarded
        self.discarded_start = b""  # the first bytes of that frame

    def feed(self, data: bytes) -> list[bytes]:
        """Adds data and returns the frames that it completes. Raises MalformedMessageError at an invalid length.

        The end of a frame that is being discarded is reported by `take_discarded`: it precedes the returned frames.
        """
        frames: list[bytes] = []
        position = min(len(data), self.bytes_to_discard)  # nothing is buffered while a frame is being discarded
        self.bytes_to_discard -= position
        unread = self.buffer + data if self.buffer else data
        while len(unread) - position >= LENGTH_SIZE:
            (length,) = _I32.unpack_from(unread, position)
            end = position + LENGTH_SIZE + length
            if not 0 < length <= self.size_limit or len(unread) < end:
                break
            frames.append(unread[position + LENGTH_SIZE : end])
            position = end
        self.buffer = unread[position:]
        if not frames and self.next_frame_invalid:  # after frames, the next call raises
            raise MalformedMessageError(f"a frame of {length} bytes")
        return frames

    @property
    def may_discard(self) -> bool:
        """Whether more of an incomplete frame is buffered than `discard` would keep."""
        return len(self.buffer) > LENGTH_SIZE + KEPT_OF_DISCARDED and not self.next_frame_invalid

    def discard(self) -> None:
        """Drops what is buffered of the incomplete frame but its first bytes, and the rest as it arrives."""
        (length,) = _I32.unpack_from(self.buffer)
        self.bytes_to_discard = LENGTH_SIZE + length - len(self.buffer)
        self.discarded_start = self.buffer[LENGTH_SIZE : LENGTH_SIZE + KEPT_OF_DISCARDED]
        self.buffer = b""

    def take_discarded(self) -> bytes | None:
        """Returns the first bytes of a frame that was discarded and has come to its end, once; None otherwise."""
        if self.bytes_to_discard or not self.discarded_start:
            return None
        start = self.discarded_start
        self.discarded_start = b""
        return start

    @property
    def buffered_bytes(self) -> int:
        """The bytes that are kept."""
        return len(self.buffer) + len(self.discarded_start)

    @property
    def next_frame_invalid(self) -> bool:
        """Whether the buffered data begins with an invalid frame length."""
        return len(self.buffer) >= LENGTH_SIZE and not 0 < _I32.unpack_from(self.buffer)[0] <= self.size_limit

    @property
    def has_partial_frame(self) -> bool:
        """Whether part of a frame was received and its end was not."""
        return bool(self.buffer) or self.bytes_to_discard > 0


class _Reader:
    """Reads the values of one frame in order."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def read_bytes(self, length: int) -> bytes:
        if length < 0 or length > len(self.data) - self.position:
            raise MalformedMessageError(f"{length} bytes where {len(self.data) - self.position} are left")
        self.position += length
        return self.data[self.position - length : self.position]

    def i32(self) -> int:
        value: int = _I32.unpack(self.read_bytes(4))[0]
        return value

    def string(self) -> bytes:
        return self.read_bytes(self.i32())

    def field(self) -> tuple[int, int]:
        kind = self.read_bytes(1)[0]
        return (STOP, 0) if kind == STOP else (kind, _I16.unpack(self.read_bytes(2))[0])

    def fields(self) -> dict[str, str]:
        kinds = self.read_bytes(2)
        count = self.i32()
        if not 0 <= count <= MAX_FIELDS or (count and kinds != bytes((STRING, STRING))):
            raise MalformedMessageError(f"a map of {count} entries, expected {MAX_FIELDS} of strings at most")
        fields: dict[str, str] = {}
        for _ in range(count):
            name = self.string()
            value = self.string()
            try:
                fields[name.decode()] = value.decode()
            except UnicodeDecodeError:
                raise MalformedMessageError("a field that is no UTF-8") from None
        if len(fields) != count:
            raise MalformedMessageError("a field twice")
        return fields

    def skip(self, kind: int, depth: int = MAX_DEPTH) -> None:
        if kind in FIXED_SIZES:
            self.read_bytes(FIXED_SIZES[kind])
        elif kind == STRING:
            self.string()
        elif depth and kind == STRUCT:
            while (inner := self.field())[0] != STOP:
                self.skip(inner[0], depth - 1)
        elif depth and kind in (MAP, SET, LIST):
            kinds = self.read_bytes(2 if kind == MAP else 1)
            count = self.i32()
            if not 0 <= count <= len(self.data):
                raise MalformedMessageError(f"{count} entries")
            for _ in range(count):
                for inner_kind in kinds:
                    self.skip(inner_kind, depth - 1)
        else:
            raise MalformedMessageError(f"a value of type {kind}")


class MessageHeader(NamedTuple):
    """The beginning of a message: the name of its method and its sequence number."""

    method: bytes
    number: int


def _read_header(reader: _Reader) -> MessageHeader:
    kind = reader.i32() & 0xFFFFFFFF
    if kind & 0xFFFFFF00 != VERSION or kind & 0xFF not in (CALL, ONEWAY):
        raise MalformedMessageError("no call of the strict binary protocol")
    return MessageHeader(reader.string(), reader.i32())


def parse_header(data: bytes) -> MessageHeader:
    """Parses the header of a message, of which `data` is the beginning. Raises MalformedMessageError."""
    return _read_header(_Reader(data))


def parse_message(frame: bytes) -> Message:
    """Parses the message in a frame. Raises MalformedMessageError."""
    reader = _Reader(frame)
    name, number = _read_header(reader)
    try:
        return _read_arguments(reader, name, number)
    except UnicodeDecodeError:
        raise MalformedMessageError("a name that is no ASCII", number) from None
    except MalformedMessageError as error:
        raise MalformedMessageError(str(error), number) from None


def _read_arguments(reader: _Reader, name: bytes, number: int) -> Message:
    fields: dict[str, str] = {}
    body = b""
    cancelled_number = 0
    arguments_read: set[int] = set()
    while (field := reader.field())[0] != STOP:
        kind, ident = field
        if name == b"dispatch" and ident in (FIELDS_ARGUMENT, BODY_ARGUMENT):
            if ident in arguments_read or kind != (MAP if ident == FIELDS_ARGUMENT else STRING):
                raise MalformedMessageError(f"argument {ident} of type {kind} or twice")
            arguments_read.add(ident)
            if ident == FIELDS_ARGUMENT:
                fields = reader.fields()
            else:
                body = reader.string()
        elif name == b"cancelRequest" and (ident, kind) == (1, I32):
            cancelled_number = reader.i32()
        else:
            reader.skip(kind)
    if reader.position != len(reader.data):
        raise MalformedMessageError(f"{len(reader.data) - reader.position} bytes too many")
    if len(body) > MAX_BODY_SIZE:
        raise MalformedMessageError(f"a body of {len(body)} bytes")
    return Message(name.decode("ascii"), number, fields, body, cancelled_number)


def _encode_string(value: bytes) -> bytes:
    return _I32.pack(len(value)) + value


def _encode_map(fields: dict[str, str]) -> bytes:
    return b"".join(
        [
            bytes((STRING, STRING)),
            _I32.pack(len(fields)),
            *[_encode_string(text.encode()) for pair in fields.items() for text in pair],
        ]
    )


def _encode_message(kind: int, method: str, number: int, result: bytes) -> bytes:
    name = method.encode()
    return b"".join(
        (
            _I32.pack(12 + len(name) + len(result)),
            _I32.pack((VERSION | kind) - (1 << 32)),
            _encode_string(name),
            _I32.pack(number),
            result,
        )
    )


def encode_answer(method: str, number: int, body: bytes, success: bool = True) -> bytes:
    """Encodes the frame of an Answer."""
    return _encode_message(
        REPLY,
        method,
        number,
        b"".join(
            (
                _FIELD_HEADER.pack(STRUCT, 0),
                _FIELD_HEADER.pack(STRING, 1),
                _encode_string(body),
                _FIELD_HEADER.pack(MAP, 2),
                _encode_map({}),
                _FIELD_HEADER.pack(BOOL, 3),
                bytes((success, STOP, STOP)),
            )
        ),
    )


def _encode_declared_exception(field_id: int, method: str, number: int, fields: dict[str, str]) -> bytes:
    return _encode_message(
        REPLY,
        method,
        number,
        _FIELD_HEADER.pack(STRUCT, field_id) + _FIELD_HEADER.pack(MAP, 1) + _encode_map(fields) + bytes((STOP, STOP)),
    )


def encode_shed(method: str, number: int, fields: dict[str, str]) -> bytes:
    """Encodes the frame of a Shed exception: the request was rejected."""
    return _encode_declared_exception(1, method, number, fields)


def encode_fault(method: str, number: int, fields: dict[str, str]) -> bytes:
    """Encodes the frame of a Fault exception: the request failed."""
    return _encode_declared_exception(2, method, number, fields)


def encode_exception(method: str, number: int, reason: str, code: int = PROTOCOL_ERROR) -> bytes:
    """Encodes the frame of an application exception."""
    return _encode_message(
        EXCEPTION,
        method,
        number,
        _FIELD_HEADER.pack(STRING, 1)
        + _encode_string(reason.encode())
        + _FIELD_HEADER.pack(I32, 2)
        + _I32.pack(code)
        + bytes((STOP,)),
    )
