"""The log that the worker's parts write to."""

from typing import Protocol


class Log(Protocol):
    """A structured log: an event's name and its values. Writing never waits."""

    def info(self, event: str, /, **values: object) -> object:
        """Logs what normally happens."""

    def warning(self, event: str, /, **values: object) -> object:
        """Logs a failure that the worker handles."""

    def error(self, event: str, /, **values: object) -> object:
        """Logs a failure that ends the worker."""
