"""Newline-delimited framing: bytes in, whole lines out."""


class LineTooLongError(Exception):
    """A line passed the stated greatest length; the stream can't be trusted to be in step any more."""


class LineReader:
    """Cuts a stream into lines. Holds at most one unfinished line of `most` bytes.

    >>> lines = Lines(100)
    >>> lines.feed(b'{"a":1}\\n{"b"')
    [b'{"a":1}']
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.parts: list[bytes] = []  # of the unfinished line: joined once, so that 8 MB is not copied often
        self.held = 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that `data` completes, without their ends; blank ones are passed over.

        Raises TooLong once a line is longer than `most` bytes, finished or not; lines completed before it by
        the same bytes are lost, as the connection is to be closed.
        """
        if b"\n" not in data:
            self._hold(data)
            return []
        first, *rest = data.split(b"\n")
        last = rest.pop()
        self._hold(first)
        done = [b"".join(self.parts) if len(self.parts) > 1 else self.parts[0] if self.parts else b"", *rest]
        self.parts, self.held = [], 0
        if any(len(line) > self.most for line in rest):
            raise LineTooLongError(f"a line of over {self.most} bytes")
        self._hold(last)
        return [line for line in done if line.strip()]

    def _hold(self, data: bytes) -> None:
        self.held += len(data)
        if self.held > self.most:
            raise LineTooLongError(f"a line of over {self.most} bytes")
        if data:
            self.parts.append(data)
