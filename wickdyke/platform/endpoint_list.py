"""The endpoint list as it results from discovery's numbered events. Pure: no I/O, no clock.

An event counts once, by its number. Start times are reported in Unix ms and converted to the coordinator's
monotonic ms.

A wall clock may be stepped at any time, here or on the machine that writes the start times; only the monotonic clock
runs on. So a start time is believed only as far as the monotonic clock allows:

- A start time is converted once, when it is reported first. Reported again with the same number (a full list, a new
  connection, an entry that was deleted for a while) it keeps the converted time.
- A worker that a live event reports first can't be older than the event is late. On a connection that has been up for
  a while that is PROMPT at most. On a new one it is longer by what we may have missed: the time since the last events,
  OUTAGE at most. A start time before that, or in the future, counts as a start now: the worker can't be younger than
  that, so its slow start is at worst longer than it need be, never shorter.
- For workers reported before any other event (`known` of the configuration) only the wall clocks can show it. A start
  in the future counts as a start now. What can't be determined: whether a clock was stepped forward here, or back
  there, before this process began; then a worker looks older than it is, and nothing here contradicts it. To count
  all of them as just started would be safe too, but every restart of a front end would then have a whole healthy
  fleet warm up.
- If the wall clock here was stepped since the start, both differences between the clocks are possible, as start times
  may be written by a clock that was stepped with ours or by another one. The younger age counts.
"""

import json
import math
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from wickdyke.gateway.interfaces import EndpointListChange
from wickdyke.routing.model import Endpoint, EndpointState

PROMPT = 2000.0  # ms by which an event may report a start late on a live connection: a dead one is noticed in 1.5 s
OUTAGE = 10000.0  # ms without events, at most, for which a new connection may make up
STEPPED = 100.0  # ms by which the wall clock has moved against the monotonic one if it was stepped, not adjusted
GONE_KEPT = 1024  # start times of deleted workers that are kept, in case they are listed again
MAX_PORT = 65535
STATES = {  # by the word of an event
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}


class UnusableEventError(Exception):
    """An event is no JSON object with an offset."""


Event = dict[str, Any]  # a JSON object, as discovery sends it; its `offset` is an int


class StartTime(NamedTuple):
    """When a worker started."""

    reported: float  # Unix ms, as in the event
    converted: float  # ms of the coordinator's clock


class ListedWorker(NamedTuple):
    """A worker of the list, and its address as HOST:PORT."""

    endpoint: Endpoint
    address: str


class Instance(NamedTuple):
    """One instance of an event, parsed. `start_time` is None where the worker was not reported as just started."""

    endpoint: Endpoint
    address: str
    start_time: StartTime | None


def parse_event(text: str) -> Event:
    """Parses an event and checks it as far as that needs no list. Raises UnusableEventError."""
    try:
        event = json.loads(text)
    except (ValueError, RecursionError):
        raise UnusableEventError(f"{text[:40]!r}, expected JSON") from None
    if not isinstance(event, dict) or type(event.get("offset")) is not int:
        raise UnusableEventError(f"{text[:40]!r}, expected an object with its offset")
    return event


class EndpointList:
    """The list as of the last event; `apply` returns what changed, at a cost that follows the events, not the list.

    `wall_ahead()` gives by how many ms the Unix clock is ahead of the coordinator's now; `connected_at()` when the
    response that brings the events began, in the coordinator's ms (by default so long ago that it misses nothing).
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        wall_ahead: Callable[[], float],
        connected_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self.zones = zones
        self.kinds = kinds
        self.wall_ahead = wall_ahead
        self.connected_at = connected_at
        self.ahead_at_start = wall_ahead()
        self.oldest_age = math.inf  # ms; the greatest of a worker first reported in the events being applied
        self.last_events = 0.0  # when events were applied last (ms)
        self.start_times: dict[str, StartTime] = {}  # of listed workers
        self.gone_start_times: dict[str, StartTime] = {}  # of deleted ones, the latest GONE_KEPT
        self.offset = 0  # of the last event applied
        self.unusable = 0  # events and instances so far
        self.listed: dict[str, ListedWorker] = {}

    def __len__(self) -> int:
        return len(self.listed)

    def address(self, name: str) -> str | None:
        """The address of a listed worker."""
        return self.listed[name].address if name in self.listed else None

    def apply(self, events: Iterable[Event], now: float) -> EndpointListChange:
        """Applies events in their order; those applied before change nothing. `now` is in ms."""
        before: dict[str, ListedWorker | None] = {}  # of the workers that an event names
        self.oldest_age = self._oldest_age(now)
        for event in events:
            if event["offset"] > self.offset:
                self.offset = event["offset"]
                self._apply_topology(event.get("topology"), before, now)
        self.last_events = now
        return self._change_since(before)

    def _change_since(self, before: dict[str, ListedWorker | None]) -> EndpointListChange:
        gone: list[Endpoint] = []
        changed: list[Endpoint] = []
        addresses: dict[str, str | None] = {}
        for name, old in before.items():
            new = self.listed.get(name)
            if new is None and old is not None:
                gone.append(replace(old.endpoint, state=EndpointState.GONE))
            elif new is not None and (old is None or old.endpoint != new.endpoint):
                changed.append(new.endpoint)
            address = new.address if new is not None else None
            if address != (old.address if old is not None else None):
                addresses[name] = address
        return EndpointListChange(gone + changed, addresses)

    def _oldest_age(self, now: float) -> float:
        """Returns how old (ms) a worker can be at most that is first reported now."""
        if not self.offset:
            return math.inf
        if now - self.connected_at() > PROMPT:
            return PROMPT
        return PROMPT + min(OUTAGE, now - self.last_events)

    def _apply_topology(self, topology: object, before: dict[str, ListedWorker | None], now: float) -> None:
        entries = topology.get("instances") if isinstance(topology, dict) else None
        if not isinstance(topology, dict) or not isinstance(entries, list):
            self.unusable += topology is not None
            return
        instances = self._instances(entries, now)
        if topology.get("reset"):
            self._clear(before)
        for instance in instances:
            name = instance.endpoint.ident
            before.setdefault(name, self.listed.get(name))
            self._forget_start_time(name)
            if instance.endpoint.state is EndpointState.GONE:
                self.listed.pop(name, None)
                continue
            self.listed[name] = ListedWorker(instance.endpoint, instance.address)
            if instance.start_time is not None:
                self.start_times[name] = instance.start_time
                self.gone_start_times.pop(name, None)

    def _instances(self, entries: list[Any], now: float) -> list[Instance]:
        """Returns the entries that are valid, and counts the others."""
        instances = []
        for entry in entries:
            try:
                instances.append(self._instance(entry, now))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
                self.unusable += 1
        return instances

    def _clear(self, before: dict[str, ListedWorker | None]) -> None:
        for name, old in self.listed.items():
            before.setdefault(name, old)
        self.listed.clear()
        for name in list(self.start_times):
            self._forget_start_time(name)

    def _forget_start_time(self, name: str) -> None:
        """The worker is not listed any more, or about to be listed again."""
        if (start_time := self.start_times.pop(name, None)) is None:
            return
        self.gone_start_times.pop(name, None)  # to the end of the order
        self.gone_start_times[name] = start_time
        if len(self.gone_start_times) > GONE_KEPT:
            del self.gone_start_times[next(iter(self.gone_start_times))]

    def _start_time(self, name: str, reported: float, now: float) -> StartTime:
        """Converts a reported start time as described above. Raises ValueError where it is not finite."""
        if not math.isfinite(reported):
            raise ValueError(reported)
        for earlier in (self.start_times.get(name), self.gone_start_times.get(name)):
            if earlier is not None and earlier.reported == reported:
                return earlier
        converted = reported - self.ahead_at_start
        ahead = self.wall_ahead()
        if abs(ahead - self.ahead_at_start) > STEPPED:
            converted = max(converted, reported - ahead)
        possible = now - self.oldest_age <= converted <= now
        return StartTime(reported, converted if possible else now)

    def _instance(self, entry: dict[str, Any], now: float) -> Instance:
        name = entry["instanceId"]
        address = entry["hostPort"]
        reported = entry.get("startedAtMs") or 0
        host, sign, port = address.rpartition(":")
        if not (isinstance(name, str) and name and host and sign and 0 < int(port) <= MAX_PORT):
            raise ValueError(address)
        zone = entry.get("zone")
        kind = entry.get("machineType")
        start_time = self._start_time(name, float(reported), now) if reported else None
        endpoint = Endpoint(
            name,
            self.zones.index(zone) if zone in self.zones else 0,
            self.kinds.index(kind) if kind in self.kinds else 0,
            int(entry.get("cell", -1)),
            STATES[entry["lifecycle"]],
            float(entry.get("weight") or 1.0),
            start_time.converted if start_time is not None else None,
        )
        return Instance(endpoint, address, start_time)
