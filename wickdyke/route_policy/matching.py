"""Finds the most specific route that matches a request, and routes that are ambiguous.

The number of table lookups of a search depends on the lengths of the declared prefixes, not on the number of routes.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

WILDCARD = "*"

RouteT = TypeVar("RouteT")


def pattern_covers(wider: str, narrower: str) -> bool:
    """Whether `wider` matches every name that `narrower` matches. A pattern is a name, or a prefix and a star."""
    if wider.endswith(WILDCARD):
        return narrower.startswith(wider[:-1])
    return wider == narrower


class PatternParts(NamedTuple):
    """The parts of a pattern by precedence: a more specific function counts before a more specific method or tenant."""

    function: str
    method: str
    tenant: str


@dataclass(slots=True, frozen=True)
class Pattern:
    """The requests that a route matches: each part is a name, or a prefix and a star."""

    method: str = WILDCARD
    function: str = WILDCARD
    tenant: str = WILDCARD

    @property
    def parts(self) -> PatternParts:
        """The parts of the pattern by precedence."""
        return PatternParts(self.function, self.method, self.tenant)

    def covers(self, other: "Pattern") -> bool:
        """Whether this pattern matches every request that the other matches."""
        return all(
            pattern_covers(own_part, other_part) for own_part, other_part in zip(self.parts, other.parts, strict=True)
        )

    def intersection(self, other: "Pattern") -> "Pattern | None":
        """The pattern of the requests that both patterns match; None if there are none."""
        parts = []
        for own_part, other_part in zip(self.parts, other.parts, strict=True):
            if pattern_covers(own_part, other_part):
                parts.append(other_part)
            elif pattern_covers(other_part, own_part):
                parts.append(own_part)
            else:
                return None
        function, method, tenant = parts
        return Pattern(method, function, tenant)


@dataclass(slots=True, frozen=True)
class Ambiguity:
    """The indices of two patterns neither of which is more specific, and the pattern of what both match."""

    first: int
    second: int
    overlap: Pattern


def find_ambiguities(patterns: list[Pattern]) -> list[Ambiguity]:
    """Returns the pairs of patterns that overlap though neither is more specific, in the order of their indices.

    Omits a pair if a third pattern is exactly its overlap, since that one takes precedence there.
    """
    declared_patterns = set(patterns)
    ambiguities = []
    for first, second in _pairs_by_function(patterns):
        pattern, other = patterns[first], patterns[second]
        if pattern != other and (other.covers(pattern) or pattern.covers(other)):
            continue
        overlap = pattern.intersection(other)
        if overlap is not None and (other == pattern or overlap not in declared_patterns):
            ambiguities.append(Ambiguity(min(first, second), max(first, second), overlap))
    return sorted(ambiguities, key=lambda ambiguity: (ambiguity.first, ambiguity.second))


def _pairs_by_function(patterns: list[Pattern]) -> Iterator[tuple[int, int]]:
    """Yields each pair of indices once whose function patterns cover one another.

    Groups patterns by function, since comparing every pair is too slow with thousands of functions.
    """
    by_function: dict[str, list[int]] = {}
    for index, pattern in enumerate(patterns):
        by_function.setdefault(pattern.function, []).append(index)
    for index, pattern in enumerate(patterns):
        for function in covering_patterns(pattern.function, by_function):
            for other in by_function[function]:
                if other == index or (function == pattern.function and other < index):
                    continue
                yield index, other


def covering_patterns(pattern: str, declared_patterns: Collection[str]) -> list[str]:
    """Returns the declared patterns that cover this one, itself included if declared, the longest first."""
    prefix = pattern.removesuffix(WILDCARD)
    covering = [pattern] if pattern in declared_patterns else []
    for end in range(len(prefix), -1, -1):
        wider = prefix[:end] + WILDCARD
        if wider in declared_patterns and wider != pattern:
            covering.append(wider)
    return covering


class _PatternIndex:
    """Index of the declared patterns of one part (function, method or tenant)."""

    def __init__(self, patterns: set[str]) -> None:
        self.patterns = patterns
        wildcards = (pattern for pattern in patterns if pattern.endswith(WILDCARD))
        self.prefix_lengths = sorted({len(pattern) - 1 for pattern in wildcards}, reverse=True)

    @property
    def lookups(self) -> int:
        """The number of lookups that one search takes."""
        return 1 + len(self.prefix_lengths)

    def matching_patterns(self, name: str) -> list[str]:
        """Returns the declared patterns that match a name, the most specific first."""
        matches = [name] if name in self.patterns else []
        for length in self.prefix_lengths:
            pattern = name[:length] + WILDCARD
            if length <= len(name) and pattern in self.patterns:
                matches.append(pattern)
        return matches


class RouteTable(Generic[RouteT]):
    """Finds routes by their patterns. `lookups` is the number of table lookups of the last search."""

    def __init__(self, routes: list[tuple[Pattern, RouteT]]) -> None:
        self.routes = {pattern.parts: route for pattern, route in routes}
        self.function_index = _PatternIndex({parts.function for parts in self.routes})
        self.method_index = _PatternIndex({parts.method for parts in self.routes})
        self.tenant_index = _PatternIndex({parts.tenant for parts in self.routes})
        self.lookups = 0

    def find(self, method: str, function: str, tenant: str = "") -> RouteT | None:
        """Returns the most specific route that matches a request, by function, then method, then tenant; or None."""
        methods = self.method_index.matching_patterns(method)
        tenants = self.tenant_index.matching_patterns(tenant)
        functions = self.function_index.matching_patterns(function)
        self.lookups = self.method_index.lookups + self.tenant_index.lookups + self.function_index.lookups
        for function_pattern in functions:
            for method_pattern in methods:
                for tenant_pattern in tenants:
                    self.lookups += 1
                    route = self.routes.get(PatternParts(function_pattern, method_pattern, tenant_pattern))
                    if route is not None:
                        return route
        return None
