"""Who is there, from the numbered events of the list. Pure: no I/O, no clock.

An event counts once, by its number. Start times come as Unix ms and are turned into the desk's by one difference
that is fixed at the start, so that the same start is always the same number.
"""

import json
from collections.abc import Iterable
from dataclasses import replace

from wickdyke.gateway.parts import ListChange
from wickdyke.interface import Listing

STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


class Unusable(Exception):
    """An event that can't be used."""


def change(text: str) -> dict:
    """The event in that text, as far as it can be told without the books; raises Unusable."""
    try:
        found = json.loads(text)
    except (ValueError, RecursionError):
        raise Unusable(f"{text[:40]!r}, expected JSON") from None
    if not isinstance(found, dict) or type(found.get("offset")) is not int:
        raise Unusable(f"{text[:40]!r}, expected an object with its offset")
    return found


class Roster:
    """The merged view; `rows` returns what changed, at a cost that follows the events and not the list."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...], ahead: float) -> None:
        self.zones, self.kinds = zones, kinds
        self.ahead = ahead  # ms by which the Unix clock stands before the desk's
        self.offset, self.unusable = 0, 0
        self.listed: dict[str, tuple[Listing, str]] = {}  # with where it is

    def __len__(self) -> int:
        return len(self.listed)

    def address(self, name: str) -> str | None:
        """Where a listed worker is."""
        return self.listed[name][1] if name in self.listed else None

    def rows(self, events: Iterable[dict], now: float) -> ListChange:
        """Events came, in their order; those that came before change nothing."""
        before: dict[str, tuple[Listing, str] | None] = {}  # of those that an event names
        for event in events:
            if event["offset"] > self.offset:
                self.offset = event["offset"]
                self._take(event.get("topology"), before)
        gone, changed, addresses = [], [], {}
        for name, was in before.items():
            listing, address = self.listed.get(name) or (None, None)
            if listing is None and was is not None:
                gone.append(replace(was[0], state="gone"))
            elif listing is not None and (was is None or was[0] != listing):
                changed.append(listing)
            if address != (was and was[1]):
                addresses[name] = address
        return ListChange(gone + changed, addresses)

    def _take(self, topology: object, before: dict[str, tuple[Listing, str] | None]) -> None:
        instances = topology.get("instances") if isinstance(topology, dict) else None
        if not isinstance(instances, list):
            self.unusable += topology is not None
            return
        read = []
        for each in instances:
            try:
                read.append(self._row(each))
            except (KeyError, TypeError, ValueError, AttributeError):
                self.unusable += 1
        if topology.get("reset"):
            for name, was in self.listed.items():
                before.setdefault(name, was)
            self.listed.clear()
        for listing, address in read:
            before.setdefault(listing.ident, self.listed.get(listing.ident))
            if listing.state == "gone":
                self.listed.pop(listing.ident, None)
            else:
                self.listed[listing.ident] = listing, address

    def _row(self, each: dict) -> tuple[Listing, str]:
        ident, address, started = each["instanceId"], each["hostPort"], each.get("startedAtMs") or 0
        host, sign, port = address.rpartition(":")
        if not (isinstance(ident, str) and ident and host and sign and 0 < int(port) < 65536):
            raise ValueError(address)
        zone, kind = each.get("zone"), each.get("machineType")
        return Listing(
            ident,
            self.zones.index(zone) if zone in self.zones else 0,
            self.kinds.index(kind) if kind in self.kinds else 0,
            int(each.get("cell", -1)),
            STATES[each["lifecycle"]],
            float(each.get("weight") or 1.0),
            float(started) - self.ahead if started else None,
        ), address
