"""RESP arrays of bulk strings, rendered and parsed, as workers speak it. No I/O.

Whatever a length is, no more is kept than the bounds allow: a length's line, a part and an answer each have one.
"""

from collections import deque

MAX_PARTS = 8  # of an answer
MAX_PART_SIZE = 256 * 1024  # bytes
MAX_LENGTH_LINE = 24  # bytes of the line that gives a length
# The first bytes of a length's line.
ARRAY = b"*"[0]
BULK_STRING = b"$"[0]


class InvalidAnswerError(Exception):
    """The data is no valid answer: nothing after it on this connection can be trusted."""


def command(*parts: bytes) -> bytes:
    """Renders one command."""
    return b"*%d\r\n%b" % (len(parts), b"".join([b"$%d\r\n%b\r\n" % (len(part), part) for part in parts]))


def fields(text: bytes) -> dict[str, str]:
    """Parses name=value,name=value, or - for none. Raises InvalidAnswerError."""
    if text == b"-":
        return {}
    try:
        pairs = [pair.partition("=") for pair in text.decode().split(",")]
    except UnicodeDecodeError:
        raise InvalidAnswerError("fields that are no UTF-8") from None
    if not all(name and sign for name, sign, _ in pairs):
        raise InvalidAnswerError("fields that are no name=value")
    return {name: value for name, _, value in pairs}


class Answers:
    """Splits a stream into answers, each a list of its parts."""

    def __init__(self, part_size_limit: int = MAX_PART_SIZE) -> None:
        self.buffer = bytearray()
        self.part_size_limit = part_size_limit
        self.complete: deque[list[bytes]] = deque()
        self.parts: list[bytes] = []
        self.missing = 0  # parts of the incomplete answer that were not received
        self.length: int | None = None  # bytes of the next part, once that was read

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Takes bytes and returns the complete answers.

        Raises InvalidAnswerError; the answers before the invalid one are then in `complete`.
        """
        self.buffer += data
        while self._step():
            pass
        answers = list(self.complete)
        self.complete.clear()
        return answers

    @property
    def begun(self) -> bool:
        """Whether an answer is incomplete."""
        return bool(self.buffer or self.missing)

    def _step(self) -> bool:
        """Parses one part or one length; False where more data is needed."""
        return self._read_length() if self.length is None else self._read_part(self.length)

    def _read_part(self, length: int) -> bool:
        buffer = self.buffer
        if len(buffer) < length + 2:
            return False
        if buffer[length : length + 2] != b"\r\n":
            raise InvalidAnswerError("a part that is longer than it says")
        self.parts.append(bytes(buffer[:length]))
        del buffer[: length + 2]
        self.length = None
        self.missing -= 1
        if not self.missing:
            self.complete.append(self.parts)
            self.parts = []
        return True

    def _read_length(self) -> bool:
        buffer = self.buffer
        if not buffer:
            return False
        if buffer[0] != (BULK_STRING if self.missing else ARRAY):
            raise InvalidAnswerError(f"{bytes(buffer[:8])!r} where a length was due")
        end = buffer.find(b"\r\n", 0, MAX_LENGTH_LINE)
        if end < 0:
            if len(buffer) >= MAX_LENGTH_LINE:
                raise InvalidAnswerError("a length that does not end")
            return False
        digits = bytes(buffer[1:end])
        if not digits.isdigit():
            raise InvalidAnswerError(f"a length of {digits!r}")
        length = int(digits)
        maximum = self.part_size_limit if self.missing else MAX_PARTS
        if length > maximum or not (length or self.missing):
            raise InvalidAnswerError(f"a length of {length} where {maximum} is the most")
        del buffer[: end + 2]
        if self.missing:
            self.length = length
        else:
            self.missing = length
        return True
