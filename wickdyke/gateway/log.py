"""Structured logs that never block their callers: lines wait in a bounded queue for a thread that writes them."""

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

MAX_QUEUED_LINES = 10000  # more are counted instead, and the count is written when there is room again
TEMPORARY_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # of a file that may be opened later
MAX_LINES_PER_WRITE = 200
CLOSE_TIMEOUT = 1.0  # s that writing the last lines may take


class DeferredFile(io.TextIOBase):
    """Appends to a file that could not be opened at first; for a LogWriter, which writes to its descriptor.

    Each use of it tries again, and raises OSError until the file is open.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.file: TextIO | None = None

    def fileno(self) -> int:
        """The file's descriptor; raises OSError."""
        if self.file is None:
            self.file = open(self.path, "a", encoding="utf-8")  # noqa: SIM115 - open as long as the process lives
        return self.file.fileno()

    def close(self) -> None:
        """Closes the file, if there is one."""
        if self.file is not None:
            self.file.close()
        super().close()


LogSink = TextIO | DeferredFile


class LogWriter:
    """Accepts finished lines; a thread writes them. A full pipe or disk, or a closed pipe, loses lines, never blocks.

    Lines that were not written whole are counted in `lost`; the count is written as soon as something can be.
    """

    def __init__(self, sink: LogSink | None) -> None:
        """A sink of None (a process without standard error) loses all lines."""
        self.sink = sink
        self.lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self.lost_lines = 0
        self.lock = threading.Lock()  # guards `lost`
        self.ends_mid_line = False  # whether the last line was written in part
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def msg(self, line: str) -> None:
        """Accepts one line."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self._lose(1)

    debug = info = warning = error = critical = msg

    def close(self, timeout: float = CLOSE_TIMEOUT) -> None:
        """Writes the lines that wait, for at most `timeout` s."""
        deadline = time.monotonic() + timeout
        try:
            self.lines.put(None, timeout=timeout)
        except queue.Full:
            return
        self.thread.join(max(0.0, deadline - time.monotonic()))

    def _lose(self, lines: int) -> None:
        with self.lock:
            self.lost_lines += lines

    def _write(self) -> None:
        more = True
        while more:
            lines, more = self._queued()
            with self.lock:
                lost = self.lost_lines
                self.lost_lines = 0
            if lost:
                lines.insert(0, f'event="log lines lost" lines={lost}')
            # The line that reports lost ones counts as those: where it is not written, they are counted again.
            weights = [lost or 1, *[1] * (len(lines) - 1)]
            written = self._put(lines)
            self._lose(sum(weights[written:]))

    def _queued(self) -> tuple[list[str], bool]:
        """Returns at most MAX_LINES_PER_WRITE lines, and whether more may follow. Waits for the first."""
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

    def _put(self, lines: list[str]) -> int:
        """Writes lines; returns how many were written whole. Never raises, so that the thread continues in any case."""
        pieces = [(line + "\n").encode("utf-8", "backslashreplace") for line in lines]
        if self.ends_mid_line and pieces:
            pieces[0] = b"\n" + pieces[0]
        data = memoryview(b"".join(pieces))
        done = 0
        try:
            while done < len(data):
                done += self._write_some(data[done:])
        except Exception:  # noqa: BLE001 - the lines are counted, and there is nowhere to report more
            pass
        ends = list(itertools.accumulate(map(len, pieces)))
        written = bisect.bisect_right(ends, done)
        if done:
            self.ends_mid_line = done not in ends
        return written

    def _write_some(self, data: memoryview) -> int:
        """Writes some of it; returns how many bytes.

        Files are written past their buffers, which after an error would hold lines that are counted as lost. Raises
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
    """Returns a log and its writer: logfmt or JSON lines with time, level and the bound fields.

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
    """A log note of the router as a line of the log."""

    event: str
    fields: dict[str, str]


def parse_note(text: str) -> Note:
    """Takes the worker that a log note names out of its text, as a field."""
    match = _WORKER_NOTE.fullmatch(text)
    if match is None:
        return Note(text, {})
    return Note(f"worker {match[2]}", {"worker": match[1]})


def open_sink(path: str | None) -> LogSink | None:
    """Opens the sink of a log: the end of a file, or standard error; never standard output. Raises OSError.

    A file that can't be opened for now is opened by a later line, so that a full disk does not prevent a start.
    """
    if not path:
        return sys.stderr
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        if error.errno not in TEMPORARY_ERRORS:
            raise
        return DeferredFile(path)
