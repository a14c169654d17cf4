"""Functions that the commands share: exit codes, ending on an error, reading settings and opening the log file."""

import sys
from collections.abc import Callable
from enum import IntEnum
from typing import NoReturn, TypeVar

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.gateway import log as logs
from wickdyke.gateway.log import LogSink

T = TypeVar("T")


class ExitCode(IntEnum):
    """Exit codes that several commands have in common."""

    OK = 0
    INVALID_INPUT = 2
    SCENARIO_RUN_FAILED = 3  # a process of a scenario did not start, or did not end as expected


def fail(message: object, exit_code: int = ExitCode.INVALID_INPUT) -> NoReturn:
    """Prints the message to standard error and ends the command."""
    print(message, file=sys.stderr)
    raise SystemExit(int(exit_code))


def read_or_fail(read: Callable[[str], T], path: str) -> T:
    """Returns the result of `read` for the file; ends the command if the file is invalid."""
    try:
        return read(path)
    except InvalidConfigError as error:
        fail(error)


def open_log_or_fail(path: str | None) -> LogSink | None:
    """Returns the sink of the log: the file, or standard error for None; ends the command if it can't be opened."""
    try:
        return logs.open_sink(path)
    except OSError as error:
        fail(f"{error.filename}: found {error.strerror}, expected a log file to append to")
