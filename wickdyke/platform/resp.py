"""Encoder and parser of RESP arrays of bulk strings, the wire format of workers. No I/O.

Memory is bounded whatever lengths the peer sends: a length line and a part each have a limit.
"""

from collections import deque

ANSWER_PART_COUNT = 4  # id, status, fields, body
MAX_PART_SIZE = 256 * 1024  # bytes of one part
MAX_LENGTH_LINE = 24  # bytes of a line that gives a length
# The type bytes that begin a length line.
ARRAY = b"*"[0]
BULK_STRING = b"$"[0]


class InvalidAnswerError(Exception):
    """The data is not a valid answer: later data of this connection can't be parsed either."""


def command(*parts: bytes) -> bytes:
    """Encodes one command."""
    return b"*%d\r\n%b" % (len(parts), b"".join([b"$%d\r\n%b\r\n" % (len(part), part) for part in parts]))


def fields(text: bytes) -> dict[str, str]:
    """Parses name=value,name=value, or - for no fields. Raises InvalidAnswerError."""
    if text == b"-":
        return {}
    try:
        pairs = [pair.partition("=") for pair in text.decode().split(",")]
    except UnicodeDecodeError:
        raise InvalidAnswerError("fields are not UTF-8") from None
    if not all(name and sign for name, sign, _ in pairs):
        raise InvalidAnswerError("fields are not name=value pairs")
    return {name: value for name, _, value in pairs}


class AnswerParser:
    """Parses a stream into answers, each a list of its parts."""

    def __init__(self, part_size_limit: int = MAX_PART_SIZE) -> None:
        self.buffer = bytearray()
        self.part_size_limit = part_size_limit
        self.complete: deque[list[bytes]] = deque()
        self.partial_parts: list[bytes] = []
        self.missing_parts = 0  # parts of the incomplete answer that were not received yet
        self.part_length: int | None = None  # bytes of the next part; None until its length line was read

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Adds data and returns the answers that it completes.

        Raises InvalidAnswerError; `take_complete` then returns the answers before the place that could not be parsed.
        """
        self.buffer += data
        while self._step():
            pass
        return self.take_complete()

    def take_complete(self) -> list[list[bytes]]:
        """Removes and returns the complete answers."""
        answers = list(self.complete)
        self.complete.clear()
        return answers

    @property
    def partial_ident(self) -> bytes | None:
        """The id of the incomplete answer, None where it was not received yet."""
        return self.partial_parts[0] if self.partial_parts else None

    @property
    def has_partial_answer(self) -> bool:
        """Whether part of an answer was received and its end was not."""
        return bool(self.buffer or self.missing_parts)

    @property
    def partial_answer_bytes(self) -> int:
        """The bytes received of an incomplete answer."""
        return len(self.buffer) + sum(map(len, self.partial_parts))

    def _step(self) -> bool:
        """Parses one part or one length line; returns False where more data is needed."""
        return self._read_length() if self.part_length is None else self._read_part(self.part_length)

    def _read_part(self, length: int) -> bool:
        buffer = self.buffer
        if len(buffer) < length + 2:
            return False
        if buffer[length : length + 2] != b"\r\n":
            raise InvalidAnswerError("a part is longer than its length")
        self.partial_parts.append(bytes(buffer[:length]))
        del buffer[: length + 2]
        self.part_length = None
        self.missing_parts -= 1
        if not self.missing_parts:
            self.complete.append(self.partial_parts)
            self.partial_parts = []
        return True

    def _read_length(self) -> bool:
        buffer = self.buffer
        if not buffer:
            return False
        if buffer[0] != (BULK_STRING if self.missing_parts else ARRAY):
            raise InvalidAnswerError(f"expected a length line, got {bytes(buffer[:8])!r}")
        end = buffer.find(b"\r\n", 0, MAX_LENGTH_LINE)
        if end < 0:
            if len(buffer) >= MAX_LENGTH_LINE:
                raise InvalidAnswerError("a length line has no end")
            return False
        digits = bytes(buffer[1:end])
        if not digits.isdigit():
            raise InvalidAnswerError(f"invalid length {digits!r}")
        length = int(digits)
        if self.missing_parts:
            if length > self.part_size_limit:
                raise InvalidAnswerError(f"length {length} exceeds the maximum of {self.part_size_limit}")
            self.part_length = length
        else:
            if length != ANSWER_PART_COUNT:
                raise InvalidAnswerError(f"an answer of {length} parts, expected {ANSWER_PART_COUNT}")
            self.missing_parts = length
        del buffer[: end + 2]
        return True
