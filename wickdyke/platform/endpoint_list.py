"""Who is there, from the numbered events of the list. Pure: no I/O, no clock.

An event counts once, by its number. Start times come as Unix ms and are turned into the desk's monotonic ms.

A wall clock may be stepped at any time, here or on the machine that writes the start times, and the monotonic clock is
the only one that runs on. So a start time is a claim, and it is believed only as far as the monotonic clock allows:

- A start is turned into the desk's time once, when it is told first. Told again with the same number (a whole list, a
  new connection, an entry that was deleted for a while) it keeps the time it was given.
- A worker that a live event tells of first can't be older than the event is late. On a connection that has been up for
  a while that is PROMPT at most. On a new one it is longer by what we may have missed: the time since the last events,
  OUTAGE at most. A claim beyond that, or of the future, counts as a start at this moment: the worker can't be younger
  than that, so its slow start is at worst longer than it need be, never shorter.
- Of workers told of before any other event (`known` of the configuration) only the wall clocks can tell. A start in the
  future counts as a start now. What can't be known: whether a clock was stepped forward here, or back there, before
  this process began; then a worker looks older than it is, and nothing here contradicts it. To count all of them as
  just started would be safe too, but every restart of a front end would then make a whole healthy fleet cold.
- If the wall clock here was stepped since the start, both differences between the clocks are possible, as start times
  may be written by a clock that was stepped with ours or by another one. The younger age counts.
"""

import json
import math
from collections.abc import Callable, Iterable
from dataclasses import replace

from wickdyke.gateway.interfaces import EndpointListChange
from wickdyke.routing.model import Endpoint

PROMPT = 2000.0  # ms by which an event may tell late of a start while the list is followed: a lost one ends after 1.5 s
OUTAGE = 10000.0  # ms without events that are believed to be the list's fault, at most, on a new connection
STEPPED = 100.0  # ms by which the wall clock has moved against the monotonic one if it was stepped, not adjusted
GONE_KEPT = 1024  # starts of deleted workers that are kept, in case they are listed again
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


class EndpointList:
    """The merged view; `rows` returns what changed, at a cost that follows the events and not the list.

    `wall_ahead()` reads by how many ms the Unix clock is ahead of the desk's now; `connected_at()` when the connection
    that brings the events was accepted, in the desk's ms (by default so long ago that it misses nothing).
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        wall_ahead: Callable[[], float],
        connected_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self.zones, self.kinds = zones, kinds
        self.wall_ahead, self.connected_at = wall_ahead, connected_at
        self.ahead_at_start = wall_ahead()
        self.oldest_age = math.inf  # ms; of a start told first in the events under way
        self.last_events = 0.0  # when events came last
        self.births: dict[str, tuple[float, float]] = {}  # of listed late starts: as told (Unix ms), as the desk's ms
        self.gone_births: dict[str, tuple[float, float]] = {}  # of deleted ones, the latest GONE_KEPT
        self.offset, self.unusable = 0, 0
        self.listed: dict[str, tuple[Endpoint, str]] = {}  # with where it is

    def __len__(self) -> int:
        return len(self.listed)

    def address(self, name: str) -> str | None:
        """Where a listed worker is."""
        return self.listed[name][1] if name in self.listed else None

    def apply(self, events: Iterable[dict], now: float) -> EndpointListChange:
        """Events came, in their order; those that came before change nothing."""
        before: dict[str, tuple[Endpoint, str] | None] = {}  # of those that an event names
        self.oldest_age = self._oldest_age(now)
        for event in events:
            if event["offset"] > self.offset:
                self.offset = event["offset"]
                self._take(event.get("topology"), before, now)
        self.last_events = now
        gone, changed, addresses = [], [], {}
        for name, was in before.items():
            listing, address = self.listed.get(name) or (None, None)
            if listing is None and was is not None:
                gone.append(replace(was[0], state="gone"))
            elif listing is not None and (was is None or was[0] != listing):
                changed.append(listing)
            if address != (was and was[1]):
                addresses[name] = address
        return EndpointListChange(gone + changed, addresses)

    def _oldest_age(self, now: float) -> float:
        """How old a worker can be, in ms, that the events which came now tell of first."""
        if not self.offset:
            return math.inf
        if now - self.connected_at() > PROMPT:
            return PROMPT
        return PROMPT + min(OUTAGE, now - self.last_events)

    def _take(self, topology: object, before: dict[str, tuple[Endpoint, str] | None], now: float) -> None:
        instances = topology.get("instances") if isinstance(topology, dict) else None
        if not isinstance(instances, list):
            self.unusable += topology is not None
            return
        read = []
        for each in instances:
            try:
                read.append(self._row(each, now))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
                self.unusable += 1
        if topology.get("reset"):
            for name, was in self.listed.items():
                before.setdefault(name, was)
            self.listed.clear()
            for name in list(self.births):
                self._forget_birth(name)
        for listing, address, birth in read:
            before.setdefault(listing.ident, self.listed.get(listing.ident))
            self._forget_birth(listing.ident)
            if listing.state == "gone":
                self.listed.pop(listing.ident, None)
                continue
            self.listed[listing.ident] = listing, address
            if birth is not None:
                self.births[listing.ident] = birth
                self.gone_births.pop(listing.ident, None)

    def _forget_birth(self, ident: str) -> None:
        """The worker is listed no more, or about to be listed again."""
        if (birth := self.births.pop(ident, None)) is None:
            return
        self.gone_births.pop(ident, None)  # to the end of the order
        self.gone_births[ident] = birth
        if len(self.gone_births) > GONE_KEPT:
            del self.gone_births[next(iter(self.gone_births))]

    def _birth(self, ident: str, started: float, now: float) -> tuple[float, float]:
        """A late start as told and in the desk's ms; see the module's text. Raises ValueError where it is no time."""
        if not math.isfinite(started):
            raise ValueError(started)
        for birth in (self.births.get(ident), self.gone_births.get(ident)):
            if birth is not None and birth[0] == started:
                return birth
        born, ahead = started - self.ahead_at_start, self.wall_ahead()
        if abs(ahead - self.ahead_at_start) > STEPPED:
            born = max(born, started - ahead)
        possible = now - self.oldest_age <= born <= now
        return started, born if possible else now

    def _row(self, each: dict, now: float) -> tuple[Endpoint, str, tuple[float, float] | None]:
        ident, address, started = each["instanceId"], each["hostPort"], each.get("startedAtMs") or 0
        host, sign, port = address.rpartition(":")
        if not (isinstance(ident, str) and ident and host and sign and 0 < int(port) < 65536):
            raise ValueError(address)
        zone, kind = each.get("zone"), each.get("machineType")
        birth = self._birth(ident, float(started), now) if started else None
        listing = Endpoint(
            ident,
            self.zones.index(zone) if zone in self.zones else 0,
            self.kinds.index(kind) if kind in self.kinds else 0,
            int(each.get("cell", -1)),
            STATES[each["lifecycle"]],
            float(each.get("weight") or 1.0),
            birth and birth[1],
        )
        return listing, address, birth
