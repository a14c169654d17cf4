"""Newline-delimited framing: cuts a stream of bytes into lines."""


class LineTooLongError(Exception):
    """A line is longer than the limit; where the next one begins is not certain any more."""


class LineReader:
    """Cuts a stream into lines. Buffers at most one unfinished line of `max_line` bytes.

    >>> lines = LineReader(100)
    >>> lines.feed(b'{"a":1}\\n{"b"')
    [b'{"a":1}']
    """

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.parts: list[bytes] = []  # of the unfinished line: joined once, so that 8 MB is not copied often
        self.buffered = 0  # bytes in `parts`

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that `data` completes, without their ends; blank ones are left out.

        Raises LineTooLongError once a line is longer than `max_line` bytes, finished or not; lines completed before it
        by the same bytes are lost, as the connection is to be closed.
        """
        if b"\n" not in data:
            self._append(data)
            return []
        first, *rest = data.split(b"\n")
        unfinished = rest.pop()
        self._append(first)
        lines = [self._take_line(), *rest]
        if any(len(line) > self.max_line for line in rest):
            raise self._too_long()
        self._append(unfinished)
        return [line for line in lines if line.strip()]

    def _append(self, data: bytes) -> None:
        self.buffered += len(data)
        if self.buffered > self.max_line:
            raise self._too_long()
        if data:
            self.parts.append(data)

    def _take_line(self) -> bytes:
        line = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        self.parts = []
        self.buffered = 0
        return line

    def _too_long(self) -> LineTooLongError:
        return LineTooLongError(f"a line of over {self.max_line} bytes")
