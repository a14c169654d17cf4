"""Structured logs that never hold anybody up: lines wait in a bounded queue for a thread that writes them."""

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
from typing import TextIO

import structlog

QUEUED_MOST = 10000  # lines; more are counted instead, and the count is written when there is room again
TEMPORARY = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # of a file that may be opened later
LINES_AT_ONCE = 200  # in one write


class DeferredFile(io.TextIOBase):
    """The end of a file that could not be opened at first; for a LogWriter, which writes to its descriptor.

    Each use of it tries again, and raises OSError until the file is open.
    """

    def __init__(self, path: str) -> None:
        self.path, self.file = path, None

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


class LogWriter:
    """Takes finished lines; a thread writes them. A full pipe or disk, or a closed pipe, loses lines and delays nobody.

    Lines that were not written whole are counted in `lost`; the count is written as soon as something can be.
    """

    def __init__(self, sink: TextIO | None) -> None:
        """A sink of None (a process without standard error) loses all lines."""
        self.sink, self.lines, self.lost = sink, queue.Queue(QUEUED_MOST), 0
        self.lock = threading.Lock()  # guards `lost`
        self.torn = False  # whether the last line was written in part
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def msg(self, line: str) -> None:
        """Takes one line."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self._lose(1)

    debug = info = warning = error = critical = msg

    def close(self, within: float = 1.0) -> None:
        """Writes what waits, for so many seconds at most."""
        ends = time.monotonic() + within
        try:
            self.lines.put(None, timeout=within)
        except queue.Full:
            return
        self.thread.join(max(0.0, ends - time.monotonic()))

    def _lose(self, lines: int) -> None:
        with self.lock:
            self.lost += lines

    def _write(self) -> None:
        more = True
        while more:
            lines, more = self._queued()
            with self.lock:
                lost, self.lost = self.lost, 0
            if lost:
                lines.insert(0, f'event="log lines lost" lines={lost}')
            # The line that tells of lost ones counts as those: where it is not written, they are counted again.
            weights = [lost or 1, *[1] * (len(lines) - 1)]
            written = self._put(lines)
            self._lose(sum(weights[written:]))

    def _queued(self) -> tuple[list[str], bool]:
        """Returns the lines that wait, LINES_AT_ONCE at most, and whether more may follow. Waits for the first."""
        lines: list[str] = []
        line = self.lines.get()
        while line is not None:
            lines.append(line)
            if len(lines) == LINES_AT_ONCE:
                return lines, True
            try:
                line = self.lines.get_nowait()
            except queue.Empty:
                return lines, True
        return lines, False

    def _put(self, lines: list[str]) -> int:
        """Writes lines; returns how many were written whole. Never raises: the thread is to go on in any case."""
        pieces = [(line + "\n").encode("utf-8", "backslashreplace") for line in lines]
        if self.torn and pieces:
            pieces[0] = b"\n" + pieces[0]
        data, done = memoryview(b"".join(pieces)), 0
        try:
            while done < len(data):
                done += self._write_some(data[done:])
        except Exception:
            pass  # the lines are counted, and there is nowhere to report more
        ends = list(itertools.accumulate(map(len, pieces)))
        written = bisect.bisect_right(ends, done)
        if done:
            self.torn = done not in ends
        return written

    def _write_some(self, data: memoryview) -> int:
        """Writes some of it; returns how many bytes.

        Files are written past their buffers, which after an error would hold lines that are counted as lost. Raises
        OSError, ValueError, or AttributeError where there is no sink.
        """
        try:
            descriptor = self.sink.fileno()
        except io.UnsupportedOperation:
            self.sink.write(bytes(data).decode())
            self.sink.flush()
            return len(data)
        return os.write(descriptor, data)


def logger(sink: TextIO | None, json: bool, debug: bool = False, **bound: object):
    """Returns a logger and its writer: logfmt or JSON lines with time, level and the bound keys.

    With `debug` each attempt is logged too.
    """
    writer = LogWriter(sink)
    renderer = (
        structlog.processors.JSONRenderer()
        if json
        else structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], drop_missing=True)
    )
    log = structlog.wrap_logger(
        writer,
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if debug else logging.INFO),
    )
    return log.bind(**bound), writer


_NOTE = re.compile(r"worker (\S+) (.*)", re.DOTALL)


def keys(note: str) -> tuple[str, dict[str, str]]:
    """A log note of the router as (event, keys): the worker it names becomes a key."""
    found = _NOTE.fullmatch(note)
    return (f"worker {found[2]}", {"worker": found[1]}) if found else (note, {})


def opened(path: str | None) -> TextIO | None:
    """Opens what logs go to: the end of a file, or standard error; never standard output. Raises OSError.

    A file that can't be opened for now is opened by a later line, so that a full disk does not keep a process from
    serving.
    """
    if not path:
        return sys.stderr
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        if error.errno not in TEMPORARY:
            raise
        return DeferredFile(path)
