"""Who is there, from the numbered events of the list. Pure: no I/O, no clock.

An event counts once, by its number. Start times come as Unix ms and are turned into the desk's by one difference
that is fixed at the start, so that the same start is always the same number.
"""

import json
from collections.abc import Iterable

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
    """The merged view; `rows` returns the listings that changed, for the module's `listed(rows, False)`."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...], ahead: float) -> None:
        self.zones, self.kinds = zones, kinds
        self.ahead = ahead  # ms by which the Unix clock stands before the desk's
        self.offset, self.unusable = 0, 0
        self.listed: dict[str, tuple[Listing, str]] = {}  # with where it is

    def addresses(self) -> dict[str, str]:
        """Where the listed workers are."""
        return {name: address for name, (_, address) in self.listed.items()}

    def rows(self, events: Iterable[dict], now: float) -> list[Listing]:
        """Events came, in their order; those that came before change nothing."""
        before = {name: listing for name, (listing, _) in self.listed.items()}
        for event in events:
            if event["offset"] > self.offset:
                self.offset = event["offset"]
                self._take(event.get("topology"))
        after = {name: listing for name, (listing, _) in self.listed.items()}
        gone = [
            Listing(was.ident, was.zone, was.kind, was.cell, "gone", was.size, was.born)
            for name, was in before.items()
            if name not in after
        ]
        return gone + [listing for name, listing in after.items() if before.get(name) != listing]

    def _take(self, topology: object) -> None:
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
            self.listed.clear()
        for listing, address in read:
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
