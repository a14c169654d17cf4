"""The endpoint list that results from discovery's numbered events. Pure: no I/O, no clock.

Each event is applied once, by its number. Start times are reported in Unix ms and converted to the coordinator's
monotonic ms.

A wall clock may be stepped at any time, on this machine or on the one that writes the start times; the monotonic clock
is never stepped. So a start time is trusted only as far as the monotonic clock allows:

- A start time is converted once, when it is first reported. If the same number is reported again (in a full list, on a
  new connection, for an entry that was deleted for a while), the converted time is kept.
- A worker that is first reported by a live event can't be older than the delay of that event. On a connection that has
  been established for a while the delay is MAX_EVENT_DELAY at most. On a new connection it is longer by the time during
  which events may have been missed: the time since the last events, MAX_OUTAGE at most. A start time before that, or in
  the future, is replaced by the present time: the worker can't be younger than that, so its slow start may be longer
  than necessary, but never shorter.
- The start times of workers reported before any other event (`known` of the configuration) can be checked only
  against the wall clock. A start in the future is replaced by the present time. It can't be detected whether a clock
  was stepped forward on this machine, or back on the other, before this process started; then a worker looks older
  than it is. Treating all of them as just started would be safe too, but then each restart of a front end would put a
  whole healthy fleet into slow start.
- If the wall clock of this machine was stepped since the process started, either offset between the clocks may be
  right, as the clock that wrote the start times may have been stepped too or not. The younger age is used.
"""

import json
import math
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from wickdyke.gateway.interfaces import EndpointListChange
from wickdyke.routing.model import Endpoint, EndpointState

# ms by which an event may report a start late on a live connection; a dead connection is detected within 1.5 s
MAX_EVENT_DELAY = 2000.0
MAX_OUTAGE = 10000.0  # ms of missed events, at most, that a new connection delivers
# ms by which the wall clock must move against the monotonic one to count as stepped rather than adjusted
CLOCK_STEP_THRESHOLD = 100.0
MAX_REMOVED_START_TIMES = 1024  # start times kept of deleted workers, which may be listed again
MAX_PORT = 65535
STATES_BY_LIFECYCLE = {  # by the `lifecycle` of an instance
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}


class UnusableEventError(Exception):
    """An event is not a JSON object with an integer offset."""


Event = dict[str, Any]  # a JSON object, as discovery sends it; its `offset` is an int


class StartTime(NamedTuple):
    """The start time of a worker, as reported and as converted."""

    reported: float  # Unix ms, as in the event
    converted: float  # ms of the coordinator's clock


class ListedWorker(NamedTuple):
    """A listed worker, and its address as HOST:PORT."""

    endpoint: Endpoint
    address: str


class Instance(NamedTuple):
    """A parsed instance of an event. `start_time` is None where the event reports none."""

    endpoint: Endpoint
    address: str
    start_time: StartTime | None


def parse_event(text: str) -> Event:
    """Parses an event and checks that it is an object with an offset. Raises UnusableEventError."""
    try:
        event = json.loads(text)
    except (ValueError, RecursionError):
        raise UnusableEventError(f"{text[:40]!r}, expected JSON") from None
    if not isinstance(event, dict) or type(event.get("offset")) is not int:
        raise UnusableEventError(f"{text[:40]!r}, expected an object with its offset")
    return event


class EndpointList:
    """The list as of the last event. The cost of `apply` is proportional to the events, not to the size of the list.

    `wall_clock_offset()` returns how many ms the Unix clock is ahead of the coordinator's clock now; `connected_at()`
    returns when the response with the events started, in the coordinator's ms (by default so long ago that no event is
    missing).
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        wall_clock_offset: Callable[[], float],
        connected_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self.zones = zones
        self.kinds = kinds
        self.wall_clock_offset = wall_clock_offset
        self.connected_at = connected_at
        self.initial_wall_clock_offset = wall_clock_offset()
        self.max_age = math.inf  # ms; the greatest possible age of a worker first reported by the present events
        self.last_events_at = 0.0  # ms; when events were last applied
        self.start_times: dict[str, StartTime] = {}  # of listed workers, by name
        self.removed_start_times: dict[str, StartTime] = {}  # of deleted workers, the latest ones
        self.offset = 0  # number of the last applied event
        self.unusable_count = 0  # invalid events and instances so far
        self.listed: dict[str, ListedWorker] = {}

    def __len__(self) -> int:
        return len(self.listed)

    def address(self, name: str) -> str | None:
        """Returns the address of a listed worker as HOST:PORT; None where it is not listed."""
        return self.listed[name].address if name in self.listed else None

    def apply(self, events: Iterable[Event], now: float) -> EndpointListChange:
        """Applies events in order and returns the changes; those applied before have no effect. `now` is in ms."""
        previous: dict[str, ListedWorker | None] = {}  # state before the events of each worker that they name
        self.max_age = self._max_age(now)
        for event in events:
            if event["offset"] > self.offset:
                self.offset = event["offset"]
                self._apply_topology(event.get("topology"), previous, now)
        self.last_events_at = now
        return self._change_since(previous)

    def _change_since(self, previous: dict[str, ListedWorker | None]) -> EndpointListChange:
        removed: list[Endpoint] = []
        changed: list[Endpoint] = []
        addresses: dict[str, str | None] = {}
        for name, old in previous.items():
            new = self.listed.get(name)
            if new is None and old is not None:
                removed.append(replace(old.endpoint, state=EndpointState.GONE))
            elif new is not None and (old is None or old.endpoint != new.endpoint):
                changed.append(new.endpoint)
            address = new.address if new is not None else None
            if address != (old.address if old is not None else None):
                addresses[name] = address
        return EndpointListChange(removed + changed, addresses)

    def _max_age(self, now: float) -> float:
        """Returns the greatest possible age (ms) of a worker that is first reported now."""
        if not self.offset:
            return math.inf
        if now - self.connected_at() > MAX_EVENT_DELAY:
            return MAX_EVENT_DELAY
        return MAX_EVENT_DELAY + min(MAX_OUTAGE, now - self.last_events_at)

    def _apply_topology(self, topology: object, previous: dict[str, ListedWorker | None], now: float) -> None:
        entries = topology.get("instances") if isinstance(topology, dict) else None
        if not isinstance(topology, dict) or not isinstance(entries, list):
            self.unusable_count += topology is not None
            return
        instances = self._parse_instances(entries, now)
        if topology.get("reset"):
            self._clear(previous)
        for instance in instances:
            name = instance.endpoint.ident
            previous.setdefault(name, self.listed.get(name))
            self._forget_start_time(name)
            if instance.endpoint.state is EndpointState.GONE:
                self.listed.pop(name, None)
                continue
            self.listed[name] = ListedWorker(instance.endpoint, instance.address)
            if instance.start_time is not None:
                self.start_times[name] = instance.start_time
                self.removed_start_times.pop(name, None)

    def _parse_instances(self, entries: list[Any], now: float) -> list[Instance]:
        """Parses the valid entries, and counts the others."""
        instances = []
        for entry in entries:
            try:
                instances.append(self._parse_instance(entry, now))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
                self.unusable_count += 1
        return instances

    def _clear(self, previous: dict[str, ListedWorker | None]) -> None:
        for name, old in self.listed.items():
            previous.setdefault(name, old)
        self.listed.clear()
        for name in list(self.start_times):
            self._forget_start_time(name)

    def _forget_start_time(self, name: str) -> None:
        """Moves the start time of a worker to those of deleted ones: it was deleted, or is about to be listed again."""
        if (start_time := self.start_times.pop(name, None)) is None:
            return
        self.removed_start_times.pop(name, None)  # so that it is inserted at the end
        self.removed_start_times[name] = start_time
        if len(self.removed_start_times) > MAX_REMOVED_START_TIMES:
            del self.removed_start_times[next(iter(self.removed_start_times))]

    def _start_time(self, name: str, reported: float, now: float) -> StartTime:
        """Converts a reported start time, as the module describes. Raises ValueError where it is not finite."""
        if not math.isfinite(reported):
            raise ValueError(reported)
        for known_start in (self.start_times.get(name), self.removed_start_times.get(name)):
            if known_start is not None and known_start.reported == reported:
                return known_start
        converted = reported - self.initial_wall_clock_offset
        wall_clock_offset = self.wall_clock_offset()
        if abs(wall_clock_offset - self.initial_wall_clock_offset) > CLOCK_STEP_THRESHOLD:
            converted = max(converted, reported - wall_clock_offset)
        possible = now - self.max_age <= converted <= now
        return StartTime(reported, converted if possible else now)

    def _parse_instance(self, entry: dict[str, Any], now: float) -> Instance:
        name = entry["instanceId"]
        address = entry["hostPort"]
        reported = entry.get("startedAtMs") or 0
        host, separator, port = address.rpartition(":")
        if not (isinstance(name, str) and name and host and separator and 0 < int(port) <= MAX_PORT):
            raise ValueError(address)
        zone = entry.get("zone")
        kind = entry.get("machineType")
        start_time = self._start_time(name, float(reported), now) if reported else None
        endpoint = Endpoint(
            name,
            self.zones.index(zone) if zone in self.zones else 0,
            self.kinds.index(kind) if kind in self.kinds else 0,
            int(entry.get("cell", -1)),
            STATES_BY_LIFECYCLE[entry["lifecycle"]],
            float(entry.get("weight") or 1.0),
            start_time.converted if start_time is not None else None,
        )
        return Instance(endpoint, address, start_time)
