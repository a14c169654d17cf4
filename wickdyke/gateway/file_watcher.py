"""Watches a file: reads it whenever it changes, and keeps the last valid content in force."""

import os
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from wickdyke.config.sexpr import IncompleteInputError, InvalidConfigError
from wickdyke.gateway.interfaces import Log

MS_PER_SECOND = 1000
ContentT = TypeVar("ContentT")


@dataclass(slots=True, frozen=True)
class FileVersion:
    """The file attributes that show a change; a file that was replaced has another inode."""

    modified_ns: int
    inode: int
    size: int


class _Marker(Enum):
    """Stands for the version where none of the file is known."""

    UNKNOWN = "unknown"  # the file was not read yet, or is to be read again in any case
    MISSING = "missing"  # the file does not exist


Version = FileVersion | _Marker


class FileWatcher(Generic[ContentT]):
    """Reads a file whenever it changes. Invalid content is logged once, and the last valid content stays in force.

    `read(path)` returns the content or raises InvalidConfigError; `use(content)` puts it in force and returns fields
    for the log. `subject` names the content in the log. The file is checked every `interval` ms.
    """

    def __init__(
        self,
        subject: str,
        path: str,
        interval: float,
        read: Callable[[str], ContentT],
        use: Callable[[ContentT], dict[str, int]],
        log: Log,
    ) -> None:
        self.subject = subject
        self.path = path
        self.interval = interval
        self.read = read
        self.use = use
        self.log = log
        self.version: Version = _Marker.UNKNOWN  # the version last read
        self.logged_version: Version = _Marker.UNKNOWN  # the invalid version last logged
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._watch, name=subject, daemon=True)

    def open(self) -> None:
        """Reads the file once, then starts the thread that watches it."""
        self.check()
        self.thread.start()

    def close(self) -> None:
        """Stops the thread."""
        self.stop_event.set()
        self.thread.join()

    def check(self) -> None:
        """Reads the file if it has changed."""
        version = self._current_version()
        if version == self.version:
            return
        self.version = version
        try:
            content = self.read(self.path)
        except InvalidConfigError as error:
            # An incomplete input may become valid without a change of this file, so the file is read again at each
            # check; the error is logged only once.
            if isinstance(error, IncompleteInputError):
                self.version = _Marker.UNKNOWN
            if self.logged_version != version:
                self.logged_version = version
                self._log_unusable(error)
            return
        self.logged_version = _Marker.UNKNOWN
        self.log.info(f"{self.subject} read", **self.use(content))

    def _current_version(self) -> Version:
        try:
            status = os.stat(self.path)
        except OSError:
            return _Marker.MISSING
        return FileVersion(status.st_mtime_ns, status.st_ino, status.st_size)

    def _log_unusable(self, error: InvalidConfigError) -> None:
        reason = str(error.diagnostics[0])
        more = len(error.diagnostics) - 1
        if more:
            reason += f" (and {more} more)"
        self.log.warning(f"{self.subject} unusable", reason=reason, in_force="the last good one")

    def _watch(self) -> None:
        while not self.stop_event.wait(self.interval / MS_PER_SECOND):
            self.check()
