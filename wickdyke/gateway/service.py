"""Assembles a gateway from its settings, and ends it in order."""

import gc
import os
import random
import sys
import threading
from collections.abc import Callable

from wickdyke.gateway import client_server as doors
from wickdyke.gateway.coordinator import Coordinator
from wickdyke.gateway.client_server import ClientServer
from wickdyke.gateway.endpoint_list import EndpointList
from wickdyke.gateway.worker_protocol import JsonRpcWorkerProtocol
from wickdyke.gateway.recording import DecisionRecorder
from wickdyke.gateway.circuit_breaker import CircuitBreaker
from wickdyke.gateway.context import clock
from wickdyke.gateway.events import EndpointsReceived
from wickdyke.gateway.isolation import BreakerIsolation
from wickdyke.routing.periods import TICK
from wickdyke.settings import roll, routes
from wickdyke.settings.sexp import NotYet, Unusable
from wickdyke.settings.station import Station
from wickdyke.timing.change import Succession
from wickdyke.timing.terms import Ground
from wickdyke.transport import termination


class Watcher:
    """Reads a file whenever it changes. What can't be used is said once and leaves the last good one in force.

    `read(path)` gives what it holds or raises Unusable; `use(it)` puts it in force and gives figures for the log.
    """

    def __init__(self, what: str, path: str, every: float, read: Callable, use: Callable[..., dict], log) -> None:
        self.what, self.path, self.every, self.read, self.use, self.log = what, path, every / 1000, read, use, log
        self.mark: tuple | None = ()
        self.said: tuple | None = ()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._watch, name=what, daemon=True)

    def open(self) -> None:
        """Reads it once, then follows it."""
        self.look()
        self.thread.start()

    def close(self) -> None:
        """Ends the thread."""
        self.ended.set()
        self.thread.join()

    def look(self) -> None:
        """Looks once."""
        try:
            found = os.stat(self.path)
            mark = (found.st_mtime_ns, found.st_ino, found.st_size)
        except OSError:
            mark = None
        if mark == self.mark:
            return
        self.mark = mark
        try:
            it = self.read(self.path)
        except Unusable as bad:
            if isinstance(bad, NotYet):  # it will do later, as it is: looked at again, said once
                self.mark = ()
            if self.said == mark:
                return
            self.said = mark
            first, more = str(bad.troubles[0]), len(bad.troubles) - 1
            self.log.warning(
                f"{self.what} unusable", why=first + (f" (and {more} more)" if more else ""), kept="the last good one"
            )
            return
        self.said = ()
        self.log.info(f"{self.what} read", **self.use(it))

    def _watch(self) -> None:
        while not self.ended.wait(self.every):
            self.look()


def ground(station: Station) -> Ground:
    """What routes are checked against: the deployment's figures, and how often the module looks."""
    allowance = station.attempt_limits
    return Ground(
        allowance.hedging, allowance.cancel, allowance.connect_timeout, station.answer_way, TICK, allowance.attempts
    )


class Gateway:
    """All parts of one gateway. `open` begins, `stop` ends it as a drain: what is held gets its answer."""

    def __init__(self, station: Station, log) -> None:
        threading.stack_size(doors.STACK)
        # Hand-offs between threads are many and short: at the standard 5 ms an answer would wait for a decoder.
        sys.setswitchinterval(0.001)
        self.station, self.log = station, log
        seed = station.seed if station.seed is not None else random.SystemRandom().getrandbits(48)
        self.recorder = DecisionRecorder(station.tape, log) if station.tape else None
        self.coordinator = Coordinator(
            station,
            seed,
            log,
            JsonRpcWorkerProtocol(station),
            EndpointList(station.zones, station.kinds),
            self.recorder,
            BreakerIsolation(CircuitBreaker(station.isolation, station.instance.count, log)),
        )
        self.client_server = ClientServer(station, self.coordinator.post, self.coordinator.busy, log.warning)
        self.watchers = [
            Watcher(
                "list",
                station.workers,
                station.reread,
                lambda path: roll.read(path, station.zones, station.kinds),
                self._listed,
                log,
            )
        ]
        self.succession = Succession()
        if station.routes is not None:
            self.watchers.append(
                Watcher("routes", station.routes, station.routes_reread, self._read_routes, self._routed, log)
            )
            self.client_server.routes = self._read_routes(station.routes)  # none to fall back on

    def _listed(self, rows: list[roll.Row]) -> dict:
        self.coordinator.post(EndpointsReceived(rows))
        return {"workers": len(rows), "ready": sum(row.state == "ready" for row in rows)}

    def _read_routes(self, path: str) -> routes.Routes:
        found = routes.read(path, self.station.request_classes, ground(self.station))
        routes.may_follow(found, path, self.succession, clock())
        return found

    def _routed(self, found: routes.Routes) -> dict:
        self.client_server.routes = found
        self.succession.follow(found.payers(), clock())
        return {"routes": len(found.routes)}

    def open(self) -> None:
        """Begins to serve."""
        # What is loaded by now stays: the collector of garbage need not walk over it while RPCs wait (docs/bench.md).
        gc.collect()
        gc.freeze()
        self.coordinator.open()
        for watcher in self.watchers:
            watcher.open()
        self.client_server.open()
        self.log.info(
            "serving",
            socket=self.station.listen,
            instance=f"{self.station.instance.index}/{self.station.instance.count}",
        )

    def stop(self) -> None:
        """Takes no more RPCs, answers all it holds within their deadlines, then ends."""
        began = clock()
        self.coordinator.stop_admitting()
        self.client_server.shut()
        self.log.info("stopping", open=len(self.coordinator.requests.by_id))
        most = max(method.deadline for method in self.station.request_classes)
        pause = threading.Event()
        while clock() - began < most + 1000 and not (self.coordinator.idle() and self.client_server.flushed()):
            pause.wait(0.01)
        self.close()
        self.log.info("stopped", took_ms=round(clock() - began), **dict(self.coordinator.counts))

    def close(self) -> None:
        """Ends all threads at once."""
        for watcher in self.watchers:
            watcher.close()
        self.coordinator.end()
        self.client_server.hang_up()
        if self.recorder is not None:
            self.recorder.close()


def until_signal(gateway: Gateway, ready: Callable[[], None]) -> int:
    """Serves until SIGTERM or SIGINT; a second signal ends it at once. `ready` is called once it serves."""
    ended = termination.asked()
    gateway.open()
    ready()
    termination.wait(ended)
    gateway.stop()
    return 0
