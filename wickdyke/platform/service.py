"""Assembles a front end of the platform: one thread, one loop, the desk turned by it; signals and the end."""

import gc
import os
import signal
import sys
import time
import traceback

from wickdyke.gateway import log as logs
from wickdyke.gateway.coordinator import Coordinator, clock
from wickdyke.platform import configuration as stations
from wickdyke.platform.worker_client import PlatformWorkerProtocol
from wickdyke.platform.discovery import DiscoveryClient
from wickdyke.platform.client_server import ClientServer
from wickdyke.platform.endpoint_list import EndpointList
from wickdyke.platform.configuration import ConfigurationError, Configuration
from wickdyke.transport.event_loop import EventLoop

GRACE = 750.0  # ms after SIGTERM in which requests are taken as before, if there is as much time
# SIGKILL may come this much later than the longest deadline (counted as so much at most) after SIGTERM, in ms.
KILL_AFTER, KILL_DEADLINE = 700.0, 3000.0
KILL_MARGIN = 100.0  # ms before that by which all is answered
COUNTS = 5000.0  # ms between lines of counts
SWEEP = 1000.0  # ms between looks for idle connections to workers
REREAD = 100.0  # ms until a configuration that could not be read is read again
LONGEST = 100.0  # ms that one turn waits at most, so that a signal's flag is seen
BACK, FOLLOW = 0.4, 400.0  # part of the time for a drain in which a lost list is asked for again; ms at most
KEPT = 12  # descriptors that are nobody's: the list's old and new connection, one being taken, a file being read


def descriptors(limit: int) -> int:
    """How many descriptors this process has open."""
    count = 0
    for number in range(limit):
        try:
            os.fstat(number)
            count += 1
        except OSError:
            pass
    return count


class Service:
    """One front end. `run` serves until it was asked to end and nothing is owed."""

    def __init__(self, station: Configuration, path: str, log) -> None:
        self.station, self.path, self.log = station, path, log
        self.loop = EventLoop(self._fault)
        # The wall clock is read first: a pause between the two readings makes workers younger, to the safe side.
        self.roster = EndpointList(
            station.zones, station.kinds, lambda: time.time() * 1000 - clock(), lambda: self.bus.since
        )
        # Danger: clients that idle take all descriptors, and neither the list nor a worker can be reached. So what the
        # process may hold is dealt out whole, to clients a half at most, and the rest is kept back.
        free = station.sockets - descriptors(station.sockets) - KEPT
        self.speech = PlatformWorkerProtocol(self.loop, station, log, free - free // 2)
        self.desk = Coordinator(station, station.seed, log, self.speech, self.roster)
        self.front = ClientServer(
            self.loop, station.listen, station.methods, free // 2, self.desk.take, self.desk.busy, log, station.tenants
        )
        self.bus = DiscoveryClient(
            self.loop,
            station.bus,
            lambda: self.roster.offset,
            self._events,
            log,
            min(FOLLOW, BACK * station.discovery.drain_grace),
            station.seed,
        )
        self.asked_to_end: float | None = None  # when
        self.asked_to_read = self.rereading = self.stopping = False
        longest = min(KILL_DEADLINE, max(method.deadline for method in station.methods))
        self.answer_within = longest + KILL_AFTER - KILL_MARGIN  # ms after SIGTERM

    def _fault(self, bad: Exception) -> None:
        last = traceback.extract_tb(bad.__traceback__)[-1]
        self.log.error(
            "fault in the loop",
            why=f"{type(bad).__name__}: {bad}"[:200],
            where=f"{os.path.basename(last.filename)}:{last.lineno}",
        )

    def _events(self, events: list[dict]) -> None:
        self.desk.take(("rows", events))

    def signals(self) -> None:
        """Hears SIGTERM, SIGINT and SIGHUP from now on."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._end)
        signal.signal(signal.SIGHUP, self._read)

    def _end(self, number: int, frame: object) -> None:
        # The time counts from the signal. Nothing else is done here: it may come between any two lines.
        if self.asked_to_end is None:
            self.asked_to_end = clock()

    def _read(self, number: int, frame: object) -> None:
        self.asked_to_read = True

    def open(self) -> None:
        """Begins to serve; raises OSError where it can't listen."""
        self.desk.take(("rows", self.station.known))
        self.desk.turn_once()
        self.bus.open()
        self.front.listen()
        self.front.ready = True
        self.log.info(
            "serving",
            listen=":".join(map(str, self.station.listen)),
            workers=len(self.roster),
            sockets=self.station.sockets,
        )
        self._count()
        self.loop.every(SWEEP, self.speech.pool.sweep)
        self.loop.every(COUNTS, self._count)
        gc.collect()
        gc.freeze()

    def _count(self) -> None:
        self.log.info(
            "counts",
            clients=len(self.front.clients),
            open=len(self.desk.asks),
            connections=self.speech.pool.used,
            workers=len(self.roster),
            **self.desk.counts,
            **self.front.counts,
            **self.speech.pool.counts,
            **{f"bus_{name}": many for name, many in self.bus.counts.items()},
        )

    def _reread(self) -> None:
        self.asked_to_read = False
        try:
            given = stations.load(self.path)
            address = stations.bus(given, self.path)
        except stations.Unreadable as bad:
            # The signal comes once, and what it tells of is owed: a descriptor or memory may be short for a moment.
            if not self.rereading:
                self.log.warning("configuration not read yet", why=str(bad), kept="the last good one")
            self.rereading = True
            self.loop.at(clock() + REREAD, self._reread_later)
            return
        except ConfigurationError as bad:
            self.rereading = False
            self.log.warning("configuration unusable", why=str(bad), kept="the last good one")
            return
        self.rereading = False
        self.log.info("configuration read", bus=":".join(map(str, address)))
        self.bus.follow(address)

    def _reread_later(self) -> None:
        if self.rereading:
            self._reread()

    def turn(self) -> bool:
        """One turn; False when it is over."""
        desk = self.desk
        self._drain()
        wait = 0.0 if not desk.events.empty() else min(desk.next_at(), self.loop.next_at(), self._next_step()) - clock()
        self.loop.turn(min(wait, LONGEST), desk.turn_once)
        desk.turn_once()
        if self.asked_to_read:
            self._reread()
        if self.asked_to_end is None:
            return True
        self._drain()
        passed = clock() - self.asked_to_end
        if passed < min(GRACE, self.answer_within):
            return True
        late = passed >= self.answer_within
        self.front.shut()
        if late:
            self._answer_all()
        if not self.front.shut_down or not self._settled(late):
            return True
        # What came since the kernel last told is read before the end: an RPC there has been taken, and a socket that
        # is closed with something unread resets the answer under way.
        return self.front.heard_more() or not self.front.hang_up(late)

    def _drain(self) -> None:
        """Begins the graceful shutdown once it was asked for."""
        if self.asked_to_end is None:
            return
        self.front.answer_by = self.asked_to_end + self.answer_within
        if not self.stopping:
            self.stopping, self.front.ready = True, False
            self.log.info("stopping", held=len(self.desk.asks))

    def _next_step(self) -> float:
        """When the shutdown has its next step."""
        if self.asked_to_end is None:
            return float("inf")
        steps = (self.asked_to_end + span for span in (min(GRACE, self.answer_within), self.answer_within))
        now = clock()
        return min((step for step in steps if step > now), default=float("inf"))

    def _answer_all(self) -> None:
        """SIGKILL is near: what is open gets its final answer now, what comes is rejected, no connection is taken."""
        self.desk.stopping = True
        if not self.front.shut_down:
            self.front.shut(True)
        self.desk.answer_all("stopping")

    def _settled(self, late: bool) -> bool:
        """Whether nothing is owed to clients. Until it is late, call-outs that are still out are waited for as well."""
        if late:
            return self.desk.events.empty() and self.front.flushed()
        return self.desk.idle() and self.front.flushed()

    def run(self) -> None:
        """Serves until the end."""
        while self.turn():
            pass
        self.log.info("stopped", took_ms=round(clock() - self.asked_to_end), **dict(self.desk.counts))


def main() -> int:
    """Serves; 2 and one line on standard error where the configuration can't be used."""
    try:
        path = stations.config_path()
        station = stations.read(path, os.environ.get("GW_LISTEN"), os.environ.get("GW_NAME"))
    except ConfigurationError as bad:
        print(f"wickdyke.platform: {bad}", file=sys.stderr)
        return 2
    log, scribe = logs.logger(sys.stderr, False)
    serving = Service(station, path, log.bind(gateway=station.name))
    serving.signals()
    # Danger: the collector walks over all that is kept while RPCs wait. Nearly all goes by its count; the few
    # circles wait longer.
    gc.set_threshold(20000, 20, 50)
    try:
        serving.open()
    except OSError as bad:
        host, port = station.listen
        print(
            f"wickdyke.platform: {path}: listen is {host}:{port}: {bad.strerror}, expected an address that is free",
            file=sys.stderr,
        )
        return 2
    serving.run()
    scribe.close()
    return 0
