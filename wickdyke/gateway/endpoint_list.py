"""Who is there: the list's rows and what the workers' own hellos tell, made into one view. Pure: no I/O, no clock.

A worker is passed on once its hello is in, so that its age is known before anything is sent to it; one that can't
be reached is passed on as just started, to the safe side of rule 4, and the module finds out the rest.
"""

from dataclasses import dataclass, field

from wickdyke.gateway.interfaces import EndpointListChange
from wickdyke.routing.model import Endpoint
from wickdyke.protocol.back import Standing
from wickdyke.settings.roll import Row


@dataclass(slots=True)
class Seen:
    """One worker: its row, the number of its present start and when that was; `past` are numbers before it."""

    row: Row
    start: int = 0
    born: float | None = None
    known: bool = False
    draining: bool = False
    past: set[int] = field(default_factory=set)


class EndpointList:
    """The merged view. Each input returns the listings that changed, for the module's `listed(rows, False)`."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self.zones, self.kinds = zones, kinds
        self.seen: dict[str, Seen] = {}
        self.passed: dict[str, Endpoint] = {}

    def __len__(self) -> int:
        return len(self.seen)

    def apply(self, entries: list[Row], now: float) -> EndpointListChange:
        """A whole list came. Who is not on it is gone."""
        before = {name: seen.row.address for name, seen in self.seen.items()}
        endpoints = self._rows(entries, now)
        addresses = {name: self.address(name) for name in {**before, **self.seen}}
        return EndpointListChange(endpoints, {name: at for name, at in addresses.items() if before.get(name) != at})

    def _rows(self, rows: list[Row], now: float) -> list[Endpoint]:
        changes = []
        named = {row.name: row for row in rows}
        for name, seen in list(self.seen.items()):
            row = named.get(name)
            if row is None or row.state == "gone" or row.address != seen.row.address:
                del self.seen[name]
                if (listing := self.passed.pop(name, None)) is not None:
                    changes.append(_with(listing, "gone"))
        for row in rows:
            if row.state == "gone":
                continue
            seen = self.seen.setdefault(row.name, Seen(row))
            seen.row = row
            if row.start and row.start != seen.start and row.start not in seen.past:
                if seen.start:  # told of a new start; a number from before the present one is a list that lags
                    seen.past.add(seen.start)
                    seen.born, seen.draining = now, False
                seen.start = row.start
            changes += self._changed(row.name)
        return changes

    def address(self, name: str) -> str | None:
        """Where a listed worker is."""
        return self.seen[name].row.address if name in self.seen else None

    def start_of(self, name: str) -> int | None:
        """The number of a listed worker's present start."""
        return self.seen[name].start if name in self.seen else None

    def hello(self, name: str, standing: Standing, now: float) -> list[Endpoint]:
        """A worker was connected to and said who it is."""
        seen = self.seen.get(name)
        if seen is None:
            return []
        if standing.start != seen.start or not seen.known:
            if seen.start not in (0, standing.start):
                seen.past.add(seen.start)
            seen.start, seen.born = standing.start, now - max(0.0, standing.up_ms)
        seen.known, seen.draining = True, standing.draining
        return self._changed(name)

    def unreachable(self, name: str, now: float) -> list[Endpoint]:
        """No connection could be made. One never heard counts as just started."""
        seen = self.seen.get(name)
        if seen is None or seen.known:
            return []
        seen.known, seen.born = True, now
        return self._changed(name)

    def draining(self, name: str) -> list[Endpoint]:
        """A worker said itself that it drains: believed at once, whatever the list says."""
        if (seen := self.seen.get(name)) is None:
            return []
        seen.draining = True
        return self._changed(name)

    def _changed(self, name: str) -> list[Endpoint]:
        seen = self.seen[name]
        if not seen.known:
            return []
        row = seen.row
        listing = Endpoint(
            name,
            self.zones.index(row.zone) if row.zone in self.zones else 0,
            self.kinds.index(row.kind) if row.kind in self.kinds else 0,
            row.cell,
            "draining" if seen.draining else row.state,
            row.cores,
            seen.born,
        )
        if self.passed.get(name) == listing:
            return []
        self.passed[name] = listing
        return [listing]


def _with(listing: Endpoint, state: str) -> Endpoint:
    return Endpoint(listing.ident, listing.zone, listing.kind, listing.cell, state, listing.size, listing.started_at)
