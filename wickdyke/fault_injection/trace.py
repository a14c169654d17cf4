"""What passed the sockets, written down by clients and stand-ins: one JSON object a line.

`t` is this machine's monotonic time in ms, `by` who wrote it, `n` its number there. docs/protocol.md names the
kinds of line.
"""

import contextlib
import os
import threading
import time
from collections.abc import Iterable

import msgspec

INCOMPLETE = ".incomplete"  # after a trace's name: some line of it was not written


def clock() -> float:
    """Monotonic time in ms, the same for all processes of the machine."""
    return time.monotonic() * 1000


class TraceRecorder:
    """Writes lines at once, unbuffered, so that what a killed stand-in saw is kept.

    A line that can't be written makes the trace incomplete: a file named as the trace and INCOMPLETE tells so, and
    whoever wrote the line gets Broken.
    """

    def __init__(self, path: str, by: str) -> None:
        """Raises OSError."""
        self.path, self.by, self.n = path, by, 0
        self.lock = threading.Lock()  # numbers go up in the order of the lines
        self.failed: str | None = None
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def __call__(self, what: str, t: float | None = None, **more: object) -> None:
        """Writes one line; `t` where it happened before now. Raises Broken."""
        with self.lock:
            if self.failed is not None:
                raise InvalidTraceError(self.failed)
            self.n += 1
            line = {"t": clock() if t is None else t, "by": self.by, "n": self.n, "what": what, **more}
            left = memoryview(msgspec.json.encode(line) + b"\n")
            try:
                while left:
                    left = left[os.write(self.file, left) :]
            except OSError as bad:
                self._fail(bad)
                raise InvalidTraceError(self.failed) from None

    def _fail(self, bad: OSError) -> None:
        self.failed = f"{self.path}: line {self.n} of {self.by} was not written ({bad.strerror})"
        with contextlib.suppress(OSError):
            os.write(2, f"{self.failed}\n".encode())
        mark = self.path + INCOMPLETE
        try:
            os.close(os.open(mark, os.O_WRONLY | os.O_CREAT, 0o644))
        except OSError:  # no new file to be had: the trace itself is taken from the judge
            with contextlib.suppress(OSError):
                os.rename(self.path, mark)


class InvalidTraceError(Exception):
    """A trace that can't be read, or is not whole."""


def read(paths: Iterable[str]) -> list[dict]:
    """All lines of the files, merged in the order of time, then of writer and number."""
    lines: list[dict] = []
    for path in paths:
        if os.path.exists(path + INCOMPLETE):
            raise InvalidTraceError(f"{path}: found {path + INCOMPLETE}, expected a trace whose lines were all written")
        try:
            with open(path, "rb") as source:
                content = source.read().split(b"\n")
        except OSError as bad:
            raise InvalidTraceError(f"{path}: {bad.strerror}, expected a trace") from None
        numbers: dict[str, int] = {}
        for at, line in enumerate(content, 1):
            if not line:
                continue
            try:
                entry = msgspec.json.decode(line)
                float(entry["t"]), str(entry["by"]), int(entry["n"]), str(entry["what"])
            except (msgspec.MsgspecError, TypeError, KeyError, ValueError):
                if at == len(content):
                    continue  # its writer was killed in the middle of its last line
                raise InvalidTraceError(f"{path}:{at}: found {line[:40]!r}, expected a line of a trace") from None
            last = numbers.get(entry["by"], 0)
            if entry["n"] not in (last + 1, 1):  # a writer that was started anew counts from 1 again
                raise InvalidTraceError(
                    f"{path}:{at}: found line {entry['n']} of {entry['by']} after {last}, expected the next"
                )
            numbers[entry["by"]] = entry["n"]
            lines.append(entry)
    lines.sort(key=lambda e: (e["t"], e["by"], e["n"]))
    return lines
