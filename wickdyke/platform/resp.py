"""RESP arrays of bulk strings, out and in, as workers speak it. No I/O.

Whatever a length says, no more is kept than the bounds allow: a line, a part and an answer each have one.
"""

from collections import deque

PARTS, PART, LINE = 8, 256 * 1024, 24  # parts of an answer at most; bytes of one at most; of a line of a length


class InvalidAnswer(Exception):
    """What came is no answer: nothing after it on this connection can be trusted."""


def command(*parts: bytes) -> bytes:
    """One command."""
    return b"*%d\r\n%b" % (len(parts), b"".join([b"$%d\r\n%b\r\n" % (len(part), part) for part in parts]))


def fields(text: bytes) -> dict[str, str]:
    """A list name=value,name=value, or - for none."""
    if text == b"-":
        return {}
    try:
        pairs = [pair.partition("=") for pair in text.decode().split(",")]
    except UnicodeDecodeError:
        raise InvalidAnswer("fields that are no UTF-8") from None
    if not all(name and sign for name, sign, _ in pairs):
        raise InvalidAnswer("fields that are no name=value")
    return {name: value for name, _, value in pairs}


class Answers:
    """Cuts a stream into answers, each a list of its parts."""

    def __init__(self, part: int = PART) -> None:
        self.buffer, self.part = bytearray(), part
        self.whole: deque[list[bytes]] = deque()
        self.parts: list[bytes] = []
        self.missing = 0  # parts of the answer under way that have not come
        self.length = -1  # bytes of the part under way, -1 where that is not known yet

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Takes bytes and gives the answers that are whole. Raises Spoilt, with the answers before it in `whole`."""
        self.buffer += data
        while self._step():
            pass
        found = list(self.whole)
        self.whole.clear()
        return found

    @property
    def begun(self) -> bool:
        """Whether an answer has begun that is not whole."""
        return bool(self.buffer or self.missing)

    def _step(self) -> bool:
        buffer = self.buffer
        if self.length >= 0:
            if len(buffer) < self.length + 2:
                return False
            if buffer[self.length : self.length + 2] != b"\r\n":
                raise InvalidAnswer("a part that is longer than it says")
            self.parts.append(bytes(buffer[: self.length]))
            del buffer[: self.length + 2]
            self.length, self.missing = -1, self.missing - 1
            if not self.missing:
                self.whole.append(self.parts)
                self.parts = []
            return True
        if not buffer:
            return False
        if buffer[0] != (36 if self.missing else 42):  # $ and *
            raise InvalidAnswer(f"{bytes(buffer[:8])!r} where a length was due")
        end = buffer.find(b"\r\n", 0, LINE)
        if end < 0:
            if len(buffer) >= LINE:
                raise InvalidAnswer("a length that does not end")
            return False
        digits = bytes(buffer[1:end])
        if not digits.isdigit():
            raise InvalidAnswer(f"a length of {digits!r}")
        length, most = int(digits), self.part if self.missing else PARTS
        if length > most or not (length or self.missing):
            raise InvalidAnswer(f"a length of {length} where {most} is the most")
        del buffer[: end + 2]
        if self.missing:
            self.length = length
        else:
            self.missing = length
        return True
