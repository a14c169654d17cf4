"""Traces: what fake processes and clients observe at the sockets, one JSON object per line.

Keys of a line: `t`, the machine's monotonic time in ms; `by`, the name of the writer; `n`, the line's number among the
writer's lines; `what`, the kind of line. docs/protocol.md lists the kinds of lines and their other keys.
"""

import contextlib
import os
import threading
import time
from collections.abc import Iterable
from typing import Any

import msgspec

INCOMPLETE_SUFFIX = ".incomplete"  # suffix of the marker file of a trace in which a line is missing
STANDARD_ERROR_FD = 2  # file descriptor
MAX_SHOWN_BYTES = 40  # of an invalid line, in an error

TraceEntry = dict[str, Any]


class InvalidTraceError(Exception):
    """Raised where a trace cannot be read, or a line of it is missing."""


def clock() -> float:
    """Returns monotonic time in ms, the same for all processes of the machine."""
    return time.monotonic() * 1000


class TraceRecorder:
    """Appends lines to a trace without a buffer, so that the trace of a killed process contains all that it observed.

    Where a line cannot be written, a marker file beside the trace marks it as incomplete, and the caller gets an
    InvalidTraceError.
    """

    def __init__(self, path: str, writer: str) -> None:
        """Opens the trace for appending; raises OSError."""
        self.path = path
        self.writer = writer
        self.line_number = 0
        self.failure: str | None = None
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)  # file descriptor of the trace
        self._lock = threading.Lock()  # keeps line numbers in the order of the lines

    def __call__(self, what: str, t: float | None = None, **more: object) -> None:
        """Writes one line with time `t` (ms), by default now; raises InvalidTraceError where a line was not written."""
        with self._lock:
            if self.failure is not None:
                raise InvalidTraceError(self.failure)
            self.line_number += 1
            entry = {"t": clock() if t is None else t, "by": self.writer, "n": self.line_number, "what": what, **more}
            try:
                self._write(msgspec.json.encode(entry) + b"\n")
            except OSError as error:
                self.failure = (
                    f"{self.path}: line {self.line_number} of {self.writer} was not written ({error.strerror})"
                )
                self._mark_incomplete(self.failure)
                raise InvalidTraceError(self.failure) from None

    def _write(self, line: bytes) -> None:
        remaining = memoryview(line)
        while remaining:
            remaining = remaining[os.write(self.file, remaining) :]

    def _mark_incomplete(self, failure: str) -> None:
        with contextlib.suppress(OSError):
            os.write(STANDARD_ERROR_FD, f"{failure}\n".encode())
        marker = self.path + INCOMPLETE_SUFFIX
        try:
            os.close(os.open(marker, os.O_WRONLY | os.O_CREAT, 0o644))
        except OSError:  # no file can be created: rename the trace, so that it is not read as complete
            with contextlib.suppress(OSError):
                os.rename(self.path, marker)


def read(paths: Iterable[str]) -> list[TraceEntry]:
    """Returns all lines of the traces in order of time, writer and number; raises InvalidTraceError."""
    entries: list[TraceEntry] = []
    for path in paths:
        entries.extend(_read_file(path))
    entries.sort(key=lambda entry: (entry["t"], entry["by"], entry["n"]))
    return entries


def _read_file(path: str) -> list[TraceEntry]:
    marker = path + INCOMPLETE_SUFFIX
    if os.path.exists(marker):
        raise InvalidTraceError(f"{path}: found {marker}, expected a trace whose lines were all written")
    try:
        with open(path, "rb") as source:
            lines = source.read().split(b"\n")
    except OSError as error:
        raise InvalidTraceError(f"{path}: {error.strerror}, expected a trace") from None
    entries: list[TraceEntry] = []
    last_numbers: dict[str, int] = {}
    for line_number, line in enumerate(lines, 1):
        if not line:
            continue
        entry = _parse(line)
        if entry is None and line_number == len(lines):
            continue  # the writer was killed in the middle of its last line
        if entry is None:
            raise InvalidTraceError(
                f"{path}:{line_number}: found {line[:MAX_SHOWN_BYTES]!r}, expected a line of a trace"
            )
        _check_number(entry, last_numbers, f"{path}:{line_number}")
        entries.append(entry)
    return entries


def _parse(line: bytes) -> TraceEntry | None:
    """Returns the entry of a line, None where it is not a line of a trace."""
    try:
        entry: TraceEntry = msgspec.json.decode(line)
        float(entry["t"])
        str(entry["by"])
        int(entry["n"])
        str(entry["what"])
    except (msgspec.MsgspecError, TypeError, KeyError, ValueError):
        return None
    return entry


def _check_number(entry: TraceEntry, last_numbers: dict[str, int], place: str) -> None:
    """Checks that no line of the entry's writer is missing; a restarted writer counts from 1 again."""
    number = entry["n"]
    writer = entry["by"]
    last_number = last_numbers.get(writer, 0)
    if number not in (last_number + 1, 1):
        raise InvalidTraceError(
            f"{place}: found line {number} of {writer} after {last_number}, expected the next number"
        )
    last_numbers[writer] = number
