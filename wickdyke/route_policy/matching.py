"""Which route a request goes by: the most specific that matches it.

The number of table lookups depends on the length of the names, not on the number of routes.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

WILDCARD = "*"

RouteT = TypeVar("RouteT")


def pattern_covers(wider: str, narrower: str) -> bool:
    """Whether `wider` matches all that `narrower` matches. A pattern is a name, or a prefix and a star."""
    if wider.endswith(WILDCARD):
        return narrower.startswith(wider[:-1])
    return wider == narrower


class PatternParts(NamedTuple):
    """The parts of a pattern in the order in which the specific one takes precedence."""

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
        """The parts by precedence."""
        return PatternParts(self.function, self.method, self.tenant)

    def covers(self, other: "Pattern") -> bool:
        """Whether it matches all that the other matches."""
        return all(pattern_covers(own, others) for own, others in zip(self.parts, other.parts, strict=True))

    def intersection(self, other: "Pattern") -> "Pattern | None":
        """The pattern of what both match, or None."""
        parts = []
        for own, others in zip(self.parts, other.parts, strict=True):
            if pattern_covers(own, others):
                parts.append(others)
            elif pattern_covers(others, own):
                parts.append(own)
            else:
                return None
        function, method, tenant = parts
        return Pattern(method, function, tenant)


@dataclass(slots=True, frozen=True)
class Ambiguity:
    """Two patterns, by their index, neither of which is the more specific, and what both match."""

    first: int
    second: int
    overlap: Pattern


def find_ambiguities(patterns: list[Pattern]) -> list[Ambiguity]:
    """Pairs of patterns that match the same requests though neither is the more specific, in order of their index.

    A pair is left out if a third pattern is exactly what both match.
    """
    declared = set(patterns)
    ambiguities = []
    for first, second in _pairs_by_function(patterns):
        pattern, rival = patterns[first], patterns[second]
        if pattern != rival and (rival.covers(pattern) or pattern.covers(rival)):
            continue
        overlap = pattern.intersection(rival)
        if overlap is not None and (rival == pattern or overlap not in declared):
            ambiguities.append(Ambiguity(min(first, second), max(first, second), overlap))
    return sorted(ambiguities, key=lambda ambiguity: (ambiguity.first, ambiguity.second))


def _pairs_by_function(patterns: list[Pattern]) -> Iterator[tuple[int, int]]:
    """Each pair of which one function pattern covers the other, once; thousands of functions are not all compared."""
    by_function: dict[str, list[int]] = {}
    for index, pattern in enumerate(patterns):
        by_function.setdefault(pattern.function, []).append(index)
    for index, pattern in enumerate(patterns):
        for function in covering_patterns(pattern.function, by_function):
            for other in by_function[function]:
                if other == index or (function == pattern.function and other < index):
                    continue
                yield index, other


def covering_patterns(pattern: str, declared: Collection[str]) -> list[str]:
    """The declared patterns that cover this one, the longest first, itself included."""
    stem = pattern.removesuffix(WILDCARD)
    covering = [pattern] if pattern in declared else []
    for end in range(len(stem), -1, -1):
        wider = stem[:end] + WILDCARD
        if wider in declared and wider != pattern:
            covering.append(wider)
    return covering


class _PartIndex:
    """The declared patterns of one part (function, method or tenant)."""

    def __init__(self, declared: set[str]) -> None:
        self.declared = declared
        wildcards = (pattern for pattern in declared if pattern.endswith(WILDCARD))
        self.prefix_lengths = sorted({len(pattern) - 1 for pattern in wildcards}, reverse=True)

    @property
    def lookups(self) -> int:
        """How many lookups one search takes."""
        return 1 + len(self.prefix_lengths)

    def matching(self, name: str) -> list[str]:
        """The declared patterns that match a name, the most specific first."""
        matches = [name] if name in self.declared else []
        for length in self.prefix_lengths:
            pattern = name[:length] + WILDCARD
            if length <= len(name) and pattern in self.declared:
                matches.append(pattern)
        return matches


class RouteTable(Generic[RouteT]):
    """Routes by their patterns. `lookups` counts the table lookups of the last search."""

    def __init__(self, routes: list[tuple[Pattern, RouteT]]) -> None:
        self.routes = {pattern.parts: route for pattern, route in routes}
        self.functions = _PartIndex({parts.function for parts in self.routes})
        self.methods = _PartIndex({parts.method for parts in self.routes})
        self.tenants = _PartIndex({parts.tenant for parts in self.routes})
        self.lookups = 0

    def find(self, method: str, function: str, tenant: str = "") -> RouteT | None:
        """The most specific route that matches a request, or None. The first if several are equally specific."""
        methods = self.methods.matching(method)
        tenants = self.tenants.matching(tenant)
        functions = self.functions.matching(function)
        self.lookups = self.methods.lookups + self.tenants.lookups + self.functions.lookups
        for function_pattern in functions:
            for method_pattern in methods:
                for tenant_pattern in tenants:
                    self.lookups += 1
                    route = self.routes.get(PatternParts(function_pattern, method_pattern, tenant_pattern))
                    if route is not None:
                        return route
        return None
