"""Which route takes an RPC: the most specific, found in a number of looks that hangs on names, not on routes."""

from dataclasses import dataclass
from typing import Any

ANY = "*"


def covers(wide: str, narrow: str) -> bool:
    """Whether all that `narrow` takes is also taken by `wide`. A pattern is a name, or a beginning and a star."""
    if wide.endswith(ANY):
        return narrow.startswith(wide[:-1])
    return wide == narrow


def takes(pattern: str, name: str) -> bool:
    """Whether a name fits a pattern."""
    return name.startswith(pattern[:-1]) if pattern.endswith(ANY) else pattern == name


@dataclass(slots=True, frozen=True)
class Pattern:
    """What a route takes."""

    method: str = ANY
    program: str = ANY
    tenant: str = ANY

    @property
    def parts(self) -> tuple[str, str, str]:
        """In the order in which the specific goes first."""
        return self.program, self.method, self.tenant

    def covers(self, other: "Pattern") -> bool:
        """Whether it takes all that the other takes."""
        return all(covers(mine, its) for mine, its in zip(self.parts, other.parts, strict=True))

    def meets(self, other: "Pattern") -> "Pattern | None":
        """What both take, or None."""
        parts = []
        for mine, its in zip(self.parts, other.parts, strict=True):
            if not covers(mine, its) and not covers(its, mine):
                return None
            parts.append(its if covers(mine, its) else mine)
        program, method, tenant = parts
        return Pattern(method, program, tenant)


def find_ties(patterns: list[Pattern]) -> list[tuple[int, int, Pattern]]:
    """Pairs of which neither is the more specific, though both take some RPC, and what both take; not those for which
    a third route takes just that. Looked for by program, so that thousands of programs do not meet each other."""
    known = set(patterns)
    buckets: dict[str, list[int]] = {}
    for at, pattern in enumerate(patterns):
        buckets.setdefault(pattern.program, []).append(at)
    found = []
    for at, pattern in enumerate(patterns):
        for program in beginnings(pattern.program, buckets):
            for other in buckets[program]:
                if other == at or program == pattern.program and other < at:
                    continue
                rival = patterns[other]
                if rival.covers(pattern) and rival != pattern or pattern.covers(rival) and rival != pattern:
                    continue
                both = pattern.meets(rival)
                if both is not None and (rival == pattern or both not in known):
                    found.append((min(at, other), max(at, other), both))
    return sorted(found, key=lambda tie: tie[:2])


def beginnings(pattern: str, known) -> list[str]:
    """The known patterns that cover this one, the longest first, itself included."""
    stem = pattern.removesuffix(ANY)
    whole = [pattern] if pattern in known else []
    return whole + [wide for end in range(len(stem), -1, -1) if (wide := stem[:end] + ANY) in known and wide != pattern]


class RouteTable:
    """Routes by what they take. `looks` counts the looks of the last search."""

    def __init__(self, routes: list[tuple[Pattern, Any]]) -> None:
        self.routes = {pattern.parts: route for pattern, route in routes}
        self.known = [{parts[at] for parts in self.routes} for at in range(3)]
        self.ends = [
            sorted({len(each) - 1 for each in known if each.endswith(ANY)}, reverse=True) for known in self.known
        ]
        self.looks = 0

    def _fits(self, at: int, name: str) -> list[str]:
        known = self.known[at]
        fits = [name] if name in known else []
        for end in self.ends[at]:
            if end <= len(name) and (pattern := name[:end] + ANY) in known:
                fits.append(pattern)
        self.looks += 1 + len(self.ends[at])
        return fits

    def find(self, method: str, program: str, tenant: str = "") -> Any:
        """The most specific route that takes the RPC, or None. Where no two tie it is the first found so."""
        self.looks = 0
        methods, tenants = self._fits(1, method), self._fits(2, tenant)
        for program_part in self._fits(0, program):
            for method_part in methods:
                for tenant_part in tenants:
                    self.looks += 1
                    route = self.routes.get((program_part, method_part, tenant_part))
                    if route is not None:
                        return route
        return None
