"""Thrift's strict binary protocol in framed transport, as far as the front end's service needs it. No I/O.

Every length is checked against what is left of a frame that was bounded before it was kept.
"""

import struct
from dataclasses import dataclass

FRAME = 24 * 1024  # bytes of a request's frame at most: a body of 16 KiB and the fields
BODY = 16 * 1024  # bytes of a body at most
FIELDS, DEPTH = 32, 8  # entries of a map of fields at most; structs within structs that are skipped
VERSION, CALL, REPLY, EXCEPTION, ONEWAY = 0x80010000, 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = 0, 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15
FIXED = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
UNKNOWN_METHOD, PROTOCOL = 1, 7  # codes of application exceptions

_I16, _I32 = struct.Struct(">h"), struct.Struct(">i")
_HEAD, _FIELD = struct.Struct(">Ii"), struct.Struct(">bh")


class Unreadable(Exception):
    """What came is not what the protocol allows; `number` is the request's where it is known."""

    def __init__(self, why: str, number: int | None = None) -> None:
        super().__init__(why)
        self.number = number


@dataclass(slots=True, frozen=True)
class Message:
    """One message of a client. `fields` and `body` are a request's, `about` the number that a cancel names."""

    verb: str
    number: int
    fields: dict[str, str]
    body: bytes
    about: int


class Frames:
    """Cuts a stream into frames."""

    def __init__(self, most: int = FRAME) -> None:
        self.buffer, self.most = bytearray(), most

    def feed(self, data: bytes) -> list[bytes]:
        """Takes bytes and gives the frames that are whole; raises Unreadable at a length that no frame may have."""
        buffer, found, at = self.buffer, [], 0
        buffer += data
        while len(buffer) - at >= 4:
            (length,) = _I32.unpack_from(buffer, at)
            if not 0 < length <= self.most:
                # What was whole before it still counts; the length itself is met again with nothing before it.
                if found:
                    break
                raise Unreadable(f"a frame of {length} bytes")
            if len(buffer) - at - 4 < length:
                break
            found.append(bytes(buffer[at + 4 : at + 4 + length]))
            at += 4 + length
        del buffer[:at]
        return found

    @property
    def spoilt(self) -> bool:
        """Whether what is next can't be a frame."""
        return len(self.buffer) >= 4 and not 0 < _I32.unpack_from(self.buffer)[0] <= self.most

    @property
    def begun(self) -> bool:
        """Whether a frame has begun that is not whole."""
        return bool(self.buffer)


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, length: int) -> bytes:
        if length < 0 or length > len(self.data) - self.at:
            raise Unreadable(f"{length} bytes where {len(self.data) - self.at} are left")
        self.at += length
        return self.data[self.at - length : self.at]

    def unpack(self, form: struct.Struct) -> tuple:
        return form.unpack(self.take(form.size))

    def i32(self) -> int:
        return _I32.unpack(self.take(4))[0]

    def string(self) -> bytes:
        return self.take(self.i32())

    def field(self) -> tuple[int, int]:
        kind = self.take(1)[0]
        return (STOP, 0) if kind == STOP else (kind, _I16.unpack(self.take(2))[0])

    def fields(self) -> dict[str, str]:
        kinds, many = self.take(2), self.i32()
        if not 0 <= many <= FIELDS or many and kinds != bytes((STRING, STRING)):
            raise Unreadable(f"a map of {many} entries, expected {FIELDS} of strings at most")
        found: dict[str, str] = {}
        for _ in range(many):
            name, value = self.string(), self.string()
            try:
                found[name.decode()] = value.decode()
            except UnicodeDecodeError:
                raise Unreadable("a field that is no UTF-8") from None
        if len(found) != many:
            raise Unreadable("a field twice")
        return found

    def skip(self, kind: int, depth: int = DEPTH) -> None:
        if kind in FIXED:
            self.take(FIXED[kind])
        elif kind == STRING:
            self.string()
        elif depth and kind == STRUCT:
            while (inner := self.field())[0] != STOP:
                self.skip(inner[0], depth - 1)
        elif depth and kind in (MAP, SET, LIST):
            kinds = self.take(2 if kind == MAP else 1)
            many = self.i32()
            if not 0 <= many <= len(self.data):
                raise Unreadable(f"{many} entries")
            for _ in range(many):
                for each in kinds:
                    self.skip(each, depth - 1)
        else:
            raise Unreadable(f"a value of type {kind}")


def read(frame: bytes) -> Message:
    """The message in one frame; raises Unreadable."""
    reader = _Reader(frame)
    head = reader.i32() & 0xFFFFFFFF
    if head & 0xFFFFFF00 != VERSION or head & 0xFF not in (CALL, ONEWAY):
        raise Unreadable("no call of the strict binary protocol")
    name = reader.string()
    number = reader.i32()
    try:
        fields, body, about, given = {}, b"", 0, set()
        while (field := reader.field())[0] != STOP:
            kind, ident = field
            if name == b"dispatch" and ident in (1, 2):
                if ident in given or kind != (MAP if ident == 1 else STRING):
                    raise Unreadable(f"argument {ident} of type {kind} or twice")
                given.add(ident)
                if ident == 1:
                    fields = reader.fields()
                else:
                    body = reader.string()
            elif name == b"cancelRequest" and (ident, kind) == (1, I32):
                about = reader.i32()
            else:
                reader.skip(kind)
        if reader.at != len(frame):
            raise Unreadable(f"{len(frame) - reader.at} bytes too many")
        if len(body) > BODY:
            raise Unreadable(f"a body of {len(body)} bytes")
        verb = name.decode("ascii")
    except UnicodeDecodeError:
        raise Unreadable("a name that is no ASCII", number) from None
    except Unreadable as bad:
        raise Unreadable(str(bad), number) from None
    return Message(verb, number, fields, body, about)


def _string(value: bytes) -> bytes:
    return _I32.pack(len(value)) + value


def _map(fields: dict[str, str]) -> bytes:
    return b"".join(
        [
            bytes((STRING, STRING)),
            _I32.pack(len(fields)),
            *[_string(each.encode()) for pair in fields.items() for each in pair],
        ]
    )


def _frame(kind: int, verb: str, number: int, result: bytes) -> bytes:
    name = verb.encode()
    return b"".join(
        (
            _I32.pack(12 + len(name) + len(result)),
            _I32.pack((VERSION | kind) - (1 << 32)),
            _string(name),
            _I32.pack(number),
            result,
        )
    )


def answer(verb: str, number: int, body: bytes, good: bool = True) -> bytes:
    """The frame of an Answer."""
    return _frame(
        REPLY,
        verb,
        number,
        b"".join(
            (
                _FIELD.pack(STRUCT, 0),
                _FIELD.pack(STRING, 1),
                _string(body),
                _FIELD.pack(MAP, 2),
                _map({}),
                _FIELD.pack(BOOL, 3),
                bytes((good, STOP, STOP)),
            )
        ),
    )


def _thrown(place: int, verb: str, number: int, fields: dict[str, str]) -> bytes:
    return _frame(
        REPLY, verb, number, _FIELD.pack(STRUCT, place) + _FIELD.pack(MAP, 1) + _map(fields) + bytes((STOP, STOP))
    )


def shed(verb: str, number: int, fields: dict[str, str]) -> bytes:
    """The frame of a Shed."""
    return _thrown(1, verb, number, fields)


def fault(verb: str, number: int, fields: dict[str, str]) -> bytes:
    """The frame of a Fault."""
    return _thrown(2, verb, number, fields)


def problem(verb: str, number: int, why: str, code: int = PROTOCOL) -> bytes:
    """The frame of an application exception."""
    return _frame(
        EXCEPTION,
        verb,
        number,
        _FIELD.pack(STRING, 1) + _string(why.encode()) + _FIELD.pack(I32, 2) + _I32.pack(code) + bytes((STOP,)),
    )
