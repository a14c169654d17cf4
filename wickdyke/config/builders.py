"""Builders for `schema.record`, which store or ignore the location of a section."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from wickdyke.config.sexpr import SourceLocation

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Located(Generic[T]):
    """A value and the location of the section or field that states it."""

    value: T
    location: SourceLocation


def located(build: Callable[..., T]) -> Callable[..., Located[T]]:
    """Returns a builder for `record` that combines the result of `build` with the location of the section."""

    def build_with_location(location: SourceLocation, **values: Any) -> Located[T]:
        return Located(build(**values), location)

    return build_with_location


def unlocated(build: Callable[..., T]) -> Callable[..., T]:
    """Returns a builder for `record` that ignores the location of the section."""

    def build_without_location(location: SourceLocation, **values: Any) -> T:
        return build(**values)

    return build_without_location
