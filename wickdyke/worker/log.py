"""The interface of the log that the modules of the worker write to."""

from typing import Protocol


class Log(Protocol):
    """A structured log, whose entries are the name of an event and its values. Its methods never block."""

    def info(self, event: str, /, **values: object) -> object:
        """Logs an event of normal operation."""

    def warning(self, event: str, /, **values: object) -> object:
        """Logs a failure that the worker handles."""

    def error(self, event: str, /, **values: object) -> object:
        """Logs a failure that ends the worker."""
