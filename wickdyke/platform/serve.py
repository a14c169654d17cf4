"""Assembles a front end of the platform: one thread, one loop, the desk turned by it; signals and the end."""

import gc
import os
import signal
import socket
import sys
import time
import traceback

from wickdyke.gateway import log as logs
from wickdyke.gateway.desk import Desk, clock
from wickdyke.platform import station as stations
from wickdyke.platform.back import Speech
from wickdyke.platform.bus import Bus
from wickdyke.platform.front import Front
from wickdyke.platform.roster import Roster
from wickdyke.platform.station import BadConfig, Station
from wickdyke.wire.loop import Loop

GRACE = 750.0  # ms after SIGTERM in which requests are taken as before
COUNTS = 5000.0  # ms between lines of counts
SWEEP = 1000.0  # ms between looks for idle connections to workers
LONGEST = 100.0  # ms that one turn waits at most, so that a signal's flag is seen


class Bell:
    """Wakes the loop when a signal comes."""

    first = True

    def __init__(self, loop: Loop) -> None:
        self.mine, self.kernels = socket.socketpair()
        for end in (self.mine, self.kernels):
            end.setblocking(False)
        signal.set_wakeup_fd(self.kernels.fileno(), warn_on_full_buffer=False)
        loop.add(self.mine, self)

    def readable(self) -> None:
        """It rang."""
        try:
            self.mine.recv(64)
        except OSError:
            pass

    def broken(self) -> None:
        """It goes on."""

    def writable(self) -> None:
        """Never waited for."""


class Serving:
    """One front end. `run` serves until it was asked to end and nothing is owed."""

    def __init__(self, station: Station, path: str, log) -> None:
        self.station, self.path, self.log = station, path, log
        self.loop = Loop(self._fault)
        # One difference between the clocks for good: a start time read twice is the same number both times.
        self.roster = Roster(station.zones, station.kinds, time.time() * 1000 - clock())
        self.speech = Speech(self.loop, station, log)
        self.desk = Desk(station, station.seed, log, self.speech, self.roster)
        self.front = Front(self.loop, station.listen, station.methods, station.sockets // 2, self.desk.take,
                           self.desk.busy, log)
        self.bus = Bus(self.loop, station.bus, lambda: self.roster.offset, self._events, log)
        self.ending: float | None = None
        self.asked_to_end = self.asked_to_read = False

    def _fault(self, bad: Exception) -> None:
        last = traceback.extract_tb(bad.__traceback__)[-1]
        self.log.error("fault in the loop", why=f"{type(bad).__name__}: {bad}"[:200],
                       where=f"{os.path.basename(last.filename)}:{last.lineno}")

    def _events(self, events: list[dict]) -> None:
        self.desk.take(("rows", events))

    def signals(self) -> None:
        """Hears SIGTERM, SIGINT and SIGHUP from now on."""
        self.bell = Bell(self.loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._end)
        signal.signal(signal.SIGHUP, self._read)

    def _end(self, number: int, frame: object) -> None:
        self.asked_to_end = True

    def _read(self, number: int, frame: object) -> None:
        self.asked_to_read = True

    def open(self) -> None:
        """Begins to serve; raises OSError where it can't listen."""
        self.desk.take(("rows", self.station.known))
        self.desk.turn_once()
        self.bus.open()
        self.front.listen()
        self.front.ready = True
        self.log.info("serving", listen=":".join(map(str, self.station.listen)),
                      workers=len(self.roster.listed), sockets=self.station.sockets)
        self._count()
        self._sweep()
        gc.collect()
        gc.freeze()

    def _count(self) -> None:
        self.log.info("counts", clients=len(self.front.clients), open=len(self.desk.asks),
                      wires=self.speech.pool.used, workers=len(self.desk.links),
                      **self.desk.counts, **self.front.counts, **self.speech.pool.counts,
                      **{f"bus_{name}": many for name, many in self.bus.counts.items()})
        self.loop.at(clock() + COUNTS, self._count)

    def _sweep(self) -> None:
        self.speech.pool.sweep()
        self.loop.at(clock() + SWEEP, self._sweep)

    def _reread(self) -> None:
        self.asked_to_read = False
        try:
            given = stations.load(self.path)
            address = stations.bus(given, self.path)
        except BadConfig as bad:
            self.log.warning("configuration unusable", why=str(bad), kept="the last good one")
            return
        self.log.info("configuration read", bus=":".join(map(str, address)))
        self.bus.follow(address)

    def turn(self) -> bool:
        """One turn; False when it is over."""
        desk = self.desk
        wait = 0.0 if not desk.events.empty() else min(desk.next_at(), self.loop.next_at()) - clock()
        self.loop.turn(min(wait, LONGEST), desk.turn_once)
        desk.turn_once()
        if self.asked_to_read:
            self._reread()
        if self.asked_to_end and self.ending is None:
            self.ending, self.front.ready = clock(), False
            self.log.info("stopping", held=len(desk.asks))
        if self.ending is not None and clock() - self.ending >= GRACE:
            self.front.shut()
            return not (desk.idle() and self.front.flushed())
        return True

    def run(self) -> None:
        """Serves until the end."""
        while self.turn():
            pass
        self.log.info("stopped", took_ms=round(clock() - self.ending), **dict(self.desk.counts))


def main() -> int:
    """Serves; 2 and one line on standard error where the configuration can't be used."""
    try:
        path = stations.config_path()
        station = stations.read(path, os.environ.get("GW_LISTEN"), os.environ.get("GW_NAME"))
    except BadConfig as bad:
        print(f"wickdyke.platform: {bad}", file=sys.stderr)
        return 2
    log, scribe = logs.logger(sys.stderr, False)
    serving = Serving(station, path, log.bind(gateway=station.name))
    serving.signals()
    # Danger: the collector walks over all that is kept while RPCs wait. Nearly all goes by its count; the few
    # circles wait longer.
    gc.set_threshold(20000, 20, 50)
    try:
        serving.open()
    except OSError as bad:
        host, port = station.listen
        print(f"wickdyke.platform: {path}: listen is {host}:{port}: {bad.strerror}, expected an address that is free",
              file=sys.stderr)
        return 2
    serving.run()
    scribe.close()
    return 0
