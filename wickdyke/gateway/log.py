"""Structured logs that never hold anybody up: lines wait in a bounded queue for a thread that writes them."""

import logging
import queue
import re
import sys
import threading
from typing import TextIO

import structlog

WAITING = 10000  # lines; past it they are counted instead, and the count is written when there is room again


class Scribe:
    """Takes finished lines; a thread writes them. A full pipe costs lines, never time."""

    def __init__(self, sink: TextIO) -> None:
        self.sink, self.lines, self.lost = sink, queue.Queue(WAITING), 0
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def msg(self, line: str) -> None:
        """Takes one line."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.lost += 1

    debug = info = warning = error = critical = msg

    def close(self, within: float = 1.0) -> None:
        """Writes what waits, for so many seconds at most."""
        try:
            self.lines.put(None, timeout=within)
        except queue.Full:
            return
        self.thread.join(within)

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            lost, self.lost = self.lost, 0
            try:
                if lost:
                    self.sink.write(f'event="log lines lost" lines={lost}\n')
                self.sink.write(line + "\n")
                if self.lines.empty():
                    self.sink.flush()
            except (OSError, ValueError):
                self.lost += lost + 1


def logger(sink: TextIO, json: bool, debug: bool = False, **bound: object):
    """(logger, scribe): logfmt or JSON lines with time, level and the bound keys; `debug` for each call-out too."""
    scribe = Scribe(sink)
    drawn = (
        structlog.processors.JSONRenderer()
        if json
        else structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], drop_missing=True)
    )
    log = structlog.wrap_logger(
        scribe,
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True), drawn],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if debug else logging.INFO),
    )
    return log.bind(**bound), scribe


_NOTE = re.compile(r"worker (\S+) (.*)", re.DOTALL)


def keys(note: str) -> tuple[str, dict[str, str]]:
    """A note of the module as (event, keys): the worker it names becomes a key."""
    found = _NOTE.fullmatch(note)
    return (f"worker {found[2]}", {"worker": found[1]}) if found else (note, {})


def opened(path: str | None) -> TextIO:
    """Where logs go: the end of a file, or standard error; never standard output. Raises OSError."""
    return open(path, "a", encoding="utf-8") if path else sys.stderr
