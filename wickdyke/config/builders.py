"""Builders for `schema.record`: what becomes of the location of a section."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from wickdyke.config.sexpr import SourceLocation

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Located(Generic[T]):
    """A value and the location of the section that states it."""

    value: T
    location: SourceLocation


def located(build: Callable[..., T]) -> Callable[..., Located[T]]:
    """A builder for `record` that keeps the location beside what `build` returns."""

    def build_with_location(location: SourceLocation, **values: Any) -> Located[T]:
        return Located(build(**values), location)

    return build_with_location


def unlocated(build: Callable[..., T]) -> Callable[..., T]:
    """A builder for `record` that makes no use of the location."""

    def build_without_location(location: SourceLocation, **values: Any) -> T:
        return build(**values)

    return build_without_location
