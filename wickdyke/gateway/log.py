"""Structured logs that never block their callers: a thread writes the lines from a bounded queue."""

import bisect
import errno
import io
import itertools
import logging
import os
import queue
import re
import sys
import threading
import time
from typing import NamedTuple, TextIO

import structlog

from wickdyke.gateway.interfaces import Log

MAX_QUEUED_LINES = 10000  # further lines are dropped and counted; the count is logged once lines can be written again
TEMPORARY_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # errors of open() after which a later attempt may succeed
MAX_LINES_PER_WRITE = 200
CLOSE_TIMEOUT = 1.0  # s; the maximum time to write the last lines


def is_power_of_ten(count: int) -> bool:
    """Returns whether an event that repeats is logged: the first, the tenth, the hundredth and so on."""
    return str(count).strip("0") == "1"


class DeferredFile(io.TextIOBase):
    """A file for appending that could not be opened at first; a LogWriter writes to its descriptor.

    Each use tries again to open the file, and raises OSError until that succeeds.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.file: TextIO | None = None

    def fileno(self) -> int:
        """Returns the file's descriptor. Raises OSError where the file can't be opened."""
        if self.file is None:
            self.file = open(self.path, "a", encoding="utf-8")  # noqa: SIM115 - kept open for the life of the process
        return self.file.fileno()

    def close(self) -> None:
        """Closes the file, if it was opened."""
        if self.file is not None:
            self.file.close()
        super().close()


LogSink = TextIO | DeferredFile


class LogWriter:
    """Accepts formatted lines; a thread writes them. On a full pipe or disk or a closed pipe, lines are lost.

    Callers never block. `lost_lines` counts the lines that were not written in full; the count is logged as soon as
    lines can be written again.
    """

    def __init__(self, sink: LogSink | None) -> None:
        """Starts the thread. With a sink of None (a process without standard error) all lines are lost."""
        self.sink = sink
        self.lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self.lost_lines = 0
        self.lock = threading.Lock()  # guards `lost_lines`
        self.ends_mid_line = False  # whether the last line was written only in part
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def msg(self, line: str) -> None:
        """Queues one line."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self._count_lost(1)

    debug = info = warning = error = critical = msg

    def close(self, timeout: float = CLOSE_TIMEOUT) -> None:
        """Writes the queued lines and stops the thread, within `timeout` s."""
        deadline = time.monotonic() + timeout
        try:
            self.lines.put(None, timeout=timeout)
        except queue.Full:
            return
        self.thread.join(max(0.0, deadline - time.monotonic()))

    def _count_lost(self, lines: int) -> None:
        with self.lock:
            self.lost_lines += lines

    def _write(self) -> None:
        has_more = True
        while has_more:
            lines, has_more = self._dequeue()
            with self.lock:
                lost = self.lost_lines
                self.lost_lines = 0
            if lost:
                lines.insert(0, f'event="log lines lost" lines={lost}')
            # The line that reports lost lines counts as that many: if it is not written, they are counted again.
            line_counts = [lost or 1, *[1] * (len(lines) - 1)]
            written_lines = self._write_lines(lines)
            self._count_lost(sum(line_counts[written_lines:]))

    def _dequeue(self) -> tuple[list[str], bool]:
        """Returns at most MAX_LINES_PER_WRITE lines, and whether more may follow. Waits for the first line."""
        lines: list[str] = []
        line = self.lines.get()
        while line is not None:
            lines.append(line)
            if len(lines) == MAX_LINES_PER_WRITE:
                return lines, True
            try:
                line = self.lines.get_nowait()
            except queue.Empty:
                return lines, True
        return lines, False

    def _write_lines(self, lines: list[str]) -> int:
        """Writes lines and returns how many were written in full. Never raises, so that the thread always continues."""
        encoded_lines = [(line + "\n").encode("utf-8", "backslashreplace") for line in lines]
        if self.ends_mid_line and encoded_lines:
            encoded_lines[0] = b"\n" + encoded_lines[0]
        data = memoryview(b"".join(encoded_lines))
        written_bytes = 0
        try:
            while written_bytes < len(data):
                written_bytes += self._write_bytes(data[written_bytes:])
        except Exception:  # noqa: BLE001 - the lost lines are counted, and there is nowhere else to report an error
            pass
        line_ends = list(itertools.accumulate(map(len, encoded_lines)))
        written_lines = bisect.bisect_right(line_ends, written_bytes)
        if written_bytes:
            self.ends_mid_line = written_bytes not in line_ends
        return written_lines

    def _write_bytes(self, data: memoryview) -> int:
        """Writes a prefix of `data` and returns its length in bytes.

        Bypasses the buffer of a file: after an error that would still hold lines which are counted as lost. Raises
        OSError, also where there is no sink, or ValueError.
        """
        if self.sink is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        try:
            descriptor = self.sink.fileno()
        except io.UnsupportedOperation:
            self.sink.write(bytes(data).decode())
            self.sink.flush()
            return len(data)
        return os.write(descriptor, data)


def logger(sink: LogSink | None, json: bool, debug: bool = False, **bound: object) -> tuple[Log, LogWriter]:
    """Returns a log and its writer. The lines are logfmt or JSON, with time, level and the bound fields.

    With `debug` each attempt is logged too.
    """
    writer = LogWriter(sink)
    renderer = (
        structlog.processors.JSONRenderer()
        if json
        else structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], drop_missing=True)
    )
    log: Log = structlog.wrap_logger(
        writer,
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if debug else logging.INFO),
    )
    return log.bind(**bound), writer


_WORKER_NOTE = re.compile(r"worker (\S+) (.*)", re.DOTALL)


class Note(NamedTuple):
    """A log note of the router, split into the event and the fields of a log line."""

    event: str
    fields: dict[str, str]


def parse_note(text: str) -> Note:
    """Splits a log note; the worker that the text names becomes a field."""
    match = _WORKER_NOTE.fullmatch(text)
    if match is None:
        return Note(text, {})
    return Note(f"worker {match[2]}", {"worker": match[1]})


def open_sink(path: str | None) -> LogSink | None:
    """Opens the sink of a log: a file for appending, or standard error without a path; never standard output.

    Raises OSError where the file can't be opened. After a temporary error the file is opened by a later write instead,
    so that a full disk does not prevent a start.
    """
    if not path:
        return sys.stderr
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        if error.errno not in TEMPORARY_ERRORS:
            raise
        return DeferredFile(path)
