"""Newline-delimited framing: splits a stream of bytes into lines."""

from collections.abc import Iterator


class LineTooLongError(Exception):
    """A line exceeds the limit; the start of the next line is then unknown."""


class LineReader:
    """Splits a stream into lines. Buffers at most one incomplete line of `max_line` bytes.

    >>> lines = LineReader(100)
    >>> list(lines.feed(b'{"a":1}\\n{"b"'))
    [b'{"a":1}']
    """

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.parts: list[bytes] = []  # parts of the incomplete line; joined once, so that 8 MB is not copied repeatedly
        self.buffered_bytes = 0  # the total size of `parts`

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yields the lines that `data` completes, without line ends; blank lines are omitted.

        The data counts as read once the iterator has ended. Raises LineTooLongError after the lines before it once a
        line, complete or not, is longer than `max_line` bytes.
        """
        if b"\n" not in data:
            self._append(data)
            return
        first, *rest = data.split(b"\n")
        incomplete_line = rest.pop()
        self._append(first)
        for line in (self._take_line(), *rest):
            if len(line) > self.max_line:
                raise self._too_long()
            if line.strip():
                yield line
        self._append(incomplete_line)

    def _append(self, data: bytes) -> None:
        self.buffered_bytes += len(data)
        if self.buffered_bytes > self.max_line:
            raise self._too_long()
        if data:
            self.parts.append(data)

    def _take_line(self) -> bytes:
        line = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        self.parts = []
        self.buffered_bytes = 0
        return line

    def _too_long(self) -> LineTooLongError:
        return LineTooLongError(f"a line of over {self.max_line} bytes")
