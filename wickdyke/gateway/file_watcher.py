"""Follows a file: reads it whenever it changes, and keeps what was last good in force."""

import os
import threading
from collections.abc import Callable
from typing import Any

from wickdyke.config.sexpr import IncompleteInputError, InvalidConfigError


class FileWatcher:
    """Reads a file whenever it changes. What can't be used is logged once and leaves the last good one in force.

    `read(path)` returns what it holds or raises Unusable; `use(content)` puts that in force and returns figures for
    the log. `what` names the file's content in the log.
    """

    def __init__(
        self,
        what: str,
        path: str,
        interval: float,
        read: Callable[[str], Any],
        use: Callable[[Any], dict],
        log,
    ) -> None:
        self.what, self.path, self.interval = what, path, interval
        self.read, self.use, self.log = read, use, log
        self.mark: tuple[int, int, int] | tuple[()] | None = ()  # of the file as last looked at; None: there is none
        self.logged_mark: tuple[int, int, int] | tuple[()] | None = ()  # of the unusable file last logged
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._watch, name=what, daemon=True)

    def open(self) -> None:
        """Reads it once, then follows it."""
        self.look()
        self.thread.start()

    def close(self) -> None:
        """Ends the thread."""
        self.ended.set()
        self.thread.join()

    def look(self) -> None:
        """Looks once."""
        mark = self._current_mark()
        if mark == self.mark:
            return
        self.mark = mark
        try:
            content = self.read(self.path)
        except InvalidConfigError as error:
            if isinstance(
                error, IncompleteInputError
            ):  # it will be usable later, as it is: looked at again, logged once
                self.mark = ()
            if self.logged_mark != mark:
                self.logged_mark = mark
                self._log_unusable(error)
            return
        self.logged_mark = ()
        self.log.info(f"{self.what} read", **self.use(content))

    def _current_mark(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_ino, found.st_size

    def _log_unusable(self, error: InvalidConfigError) -> None:
        why, more = str(error.diagnostics[0]), len(error.diagnostics) - 1
        if more:
            why += f" (and {more} more)"
        self.log.warning(f"{self.what} unusable", why=why, kept="the last good one")

    def _watch(self) -> None:
        while not self.ended.wait(self.interval / 1000):
            self.look()
