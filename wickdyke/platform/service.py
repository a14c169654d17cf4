"""A front end of the platform: one thread, one event loop that steps the coordinator; signals and graceful shutdown."""

import gc
import math
import os
import signal
import sys
import time
import traceback
from contextlib import suppress
from types import FrameType

from wickdyke.gateway import log as logs
from wickdyke.gateway.context import clock
from wickdyke.gateway.coordinator import Coordinator
from wickdyke.gateway.events import DiscoveryHeard, DiscoveryLost, EndpointsReceived
from wickdyke.gateway.interfaces import Log, RejectionReason
from wickdyke.platform import configuration as configurations
from wickdyke.platform.client_server import ClientServer, ClientServerSettings
from wickdyke.platform.configuration import Configuration, ConfigurationError
from wickdyke.platform.discovery import DiscoveryClient, DiscoverySettings
from wickdyke.platform.endpoint_list import EndpointList, Event
from wickdyke.platform.worker_client import WorkerClientSettings
from wickdyke.platform.worker_protocol import PlatformWorkerProtocol
from wickdyke.transport.event_loop import EventLoop

GRACE_PERIOD = 750.0  # ms after SIGTERM in which requests are admitted as before, if there is as much time
# SIGKILL may follow this much later than the longest deadline (counted as so much at most) after SIGTERM, in ms.
KILL_AFTER = 700.0
MAX_KILL_DEADLINE = 3000.0
KILL_MARGIN = 100.0  # ms before that by which all is answered
LOG_COUNTS_INTERVAL = 5000.0  # ms between lines of counts
SWEEP_INTERVAL = 1000.0  # ms between searches for idle connections to workers
REREAD_AFTER = 100.0  # ms until a configuration that could not be read is read again
MAX_WAIT = 100.0  # ms that one iteration waits at most, so that a signal's flag is seen
DISCOVERY_RETRY_FRACTION = 0.4  # of the grace for a drain, within which a lost connection to discovery is retried
MAX_DISCOVERY_RETRY = 400.0  # ms
IDLE_FRACTION = 0.7  # of the time after which a worker ends an idle connection, this side does
DESCRIPTORS_RESERVED = 12  # discovery's old and new connection, one being accepted, a file being read, and more


def open_descriptors(limit: int) -> int:
    """Returns how many descriptors below `limit` this process has open."""
    count = 0
    for number in range(limit):
        with suppress(OSError):
            os.fstat(number)
            count += 1
    return count


def _worker_settings(configuration: Configuration) -> WorkerClientSettings:
    limits = configuration.attempt_limits
    return WorkerClientSettings(
        limits.connect_timeout, limits.idle_timeout * IDLE_FRACTION, configuration.instance.report_fields
    )


def _discovery_settings(configuration: Configuration) -> DiscoverySettings:
    backoff_limit = min(MAX_DISCOVERY_RETRY, DISCOVERY_RETRY_FRACTION * configuration.discovery.drain_grace)
    return DiscoverySettings(configuration.bus, backoff_limit, configuration.seed)


class Service:
    """One front end. `run` serves until a signal requests the shutdown and each request has been answered."""

    def __init__(self, configuration: Configuration, path: str, log: Log) -> None:
        self.configuration = configuration
        self.path = path
        self.log = log
        self.loop = EventLoop(self._log_fault)
        # The wall clock is read first: a pause between the two readings makes workers younger, to the safe side.
        self.endpoints = EndpointList(
            configuration.zones,
            configuration.kinds,
            lambda: time.time() * 1000 - clock(),
            lambda: self.discovery.up_since,
        )
        # Clients that idle would take all descriptors, and neither discovery nor a worker could be reached. So what the
        # process may hold is divided: a half at most for clients, some in reserve, the rest for workers.
        free = configuration.sockets - open_descriptors(configuration.sockets) - DESCRIPTORS_RESERVED
        self.protocol = PlatformWorkerProtocol(self.loop, _worker_settings(configuration), free - free // 2)
        self.coordinator = Coordinator(configuration, configuration.seed, log, self.protocol, self.endpoints)
        self.client_server = ClientServer(
            self.loop,
            ClientServerSettings(configuration.listen, configuration.request_classes, free // 2, configuration.tenants),
            self.coordinator.post,
            self.coordinator.rejection_reason,
            log,
        )
        self.discovery = DiscoveryClient(
            self.loop,
            _discovery_settings(configuration),
            lambda: self.endpoints.offset,
            self._apply_events,
            log,
            lambda at: self.coordinator.post(DiscoveryHeard(at)),
            lambda at: self.coordinator.handle_at_once(DiscoveryLost(at)),
        )
        self.loop.on_stall = self.discovery.process_stalled
        self.shutdown_requested_at: float | None = None  # ms
        self.reload_requested = False  # by a signal
        self.reload_pending = False  # until the file can be read
        self.stopping = False
        longest = min(MAX_KILL_DEADLINE, max(request_class.deadline for request_class in configuration.request_classes))
        self.answer_within = longest + KILL_AFTER - KILL_MARGIN  # ms after SIGTERM

    def _log_fault(self, error: Exception) -> None:
        last = traceback.extract_tb(error.__traceback__)[-1]
        self.log.error(
            "unhandled exception in the event loop",
            reason=f"{type(error).__name__}: {error}"[:200],
            where=f"{os.path.basename(last.filename)}:{last.lineno}",
        )

    def _apply_events(self, events: list[Event]) -> None:
        # In the queue they would wait while what had waited for its connection goes to a worker that drains.
        self.coordinator.handle_at_once(EndpointsReceived(events))

    def handle_signals(self) -> None:
        """Installs the handlers of SIGTERM, SIGINT and SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._request_shutdown)
        signal.signal(signal.SIGHUP, self._request_reload)

    def _request_shutdown(self, number: int, frame: FrameType | None) -> None:
        # The time counts from the signal. Nothing else is done here: it may run between any two lines.
        if self.shutdown_requested_at is None:
            self.shutdown_requested_at = clock()

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True

    def open(self) -> None:
        """Starts to serve. Raises OSError where it can't listen."""
        self.coordinator.post(EndpointsReceived(self.configuration.initial_events))
        # The configuration is as old as its writing, and discovery may be out of reach: so that is no news.
        self.coordinator.post(DiscoveryHeard(-math.inf))
        self.coordinator.run_once()
        self.discovery.open()
        self.client_server.listen()
        self.client_server.serving = True
        self.log.info(
            "serving",
            listen=":".join(map(str, self.configuration.listen)),
            workers=len(self.endpoints),
            sockets=self.configuration.sockets,
        )
        self._log_counts()
        self.loop.call_every(SWEEP_INTERVAL, self.protocol.pool.sweep)
        self.loop.call_every(LOG_COUNTS_INTERVAL, self._log_counts)
        gc.collect()
        gc.freeze()

    def _log_counts(self) -> None:
        self.log.info(
            "counts",
            clients=len(self.client_server.clients),
            open=len(self.coordinator.requests.by_id),
            connections=self.protocol.pool.used,
            workers=len(self.endpoints),
            offset=self.endpoints.offset,
            heard_ms=self.discovery.heard_ms(),
            **self.coordinator.counts,
            **self.client_server.counts,
            **self.protocol.pool.counts,
            **{f"bus_{name}": count for name, count in self.discovery.counts.items()},
        )

    def _reload(self) -> None:
        self.reload_requested = False
        try:
            given = configurations.load(self.path)
            address = configurations.bus(given, self.path)
        except configurations.UnreadableConfigurationError as error:
            # The signal is sent once and must not be lost, though descriptors or memory may be short for a moment.
            if not self.reload_pending:
                self.log.warning("configuration not read yet", reason=str(error), in_force="the last good one")
            self.reload_pending = True
            self.loop.call_at(clock() + REREAD_AFTER, self._reload_later)
            return
        except ConfigurationError as error:
            self.reload_pending = False
            self.log.warning("configuration unusable", reason=str(error), in_force="the last good one")
            return
        self.reload_pending = False
        self.log.info("discovery address read", bus=":".join(map(str, address)))
        self.discovery.follow(address)

    def _reload_later(self) -> None:
        if self.reload_pending:
            self._reload()

    def run_once(self) -> bool:
        """Runs one iteration; returns False once the shutdown is complete."""
        coordinator = self.coordinator
        self._drain()
        now = clock()
        due = min(coordinator.next_deadline(), self.loop.next_deadline(), self._next_shutdown_step())
        wait = min(due - now, MAX_WAIT) if coordinator.events.empty() else 0.0
        self.loop.run_once(wait, coordinator.run_once, now)
        coordinator.run_once()
        if self.reload_requested:
            self._reload()
        if self.shutdown_requested_at is None:
            return True
        self._drain()
        elapsed = clock() - self.shutdown_requested_at
        if elapsed < min(GRACE_PERIOD, self.answer_within):
            return True
        late = elapsed >= self.answer_within
        self.client_server.shut()
        if late:
            self._answer_all()
        if not self.client_server.shut_down or not self._settled(late):
            return True
        # What was received since the last poll is read before the end: a request there has been acknowledged, and a
        # socket that is closed with something unread resets the answer under way.
        return self.client_server.read_clients() or not self.client_server.close_idle(late)

    def _drain(self) -> None:
        """Begins the graceful shutdown once it was requested."""
        if self.shutdown_requested_at is None:
            return
        self.client_server.answer_by = self.shutdown_requested_at + self.answer_within
        if not self.stopping:
            self.stopping = True
            self.client_server.serving = False
            self.log.info("stopping", open=len(self.coordinator.requests.by_id))

    def _next_shutdown_step(self) -> float:
        """Returns when the shutdown has its next step (ms); infinite where it was not requested."""
        if self.shutdown_requested_at is None:
            return float("inf")
        steps = (
            self.shutdown_requested_at + span for span in (min(GRACE_PERIOD, self.answer_within), self.answer_within)
        )
        now = clock()
        return min((step for step in steps if step > now), default=float("inf"))

    def _answer_all(self) -> None:
        """SIGKILL is near: answers all open requests now, rejects new ones, and accepts no connection."""
        self.coordinator.stop_admitting()
        if not self.client_server.shut_down:
            self.client_server.shut(True)
        self.coordinator.answer_all(RejectionReason.STOPPING)

    def _settled(self, late: bool) -> bool:
        """Returns whether each request is answered. Until it is late, attempts in flight are waited for as well."""
        if late:
            return self.coordinator.events.empty() and self.client_server.flushed()
        return self.coordinator.is_idle() and self.client_server.flushed()

    def run(self) -> None:
        """Serves until the shutdown is complete."""
        while self.run_once():
            pass
        self.log.info(
            "stopped", elapsed_ms=round(clock() - (self.shutdown_requested_at or 0.0)), **dict(self.coordinator.counts)
        )


def main() -> int:
    """Serves until a signal; returns the exit code: 2, and a line on standard error, for an invalid configuration."""
    try:
        path = configurations.config_path()
        configuration = configurations.read(path, os.environ.get("GW_LISTEN"), os.environ.get("GW_NAME"))
    except ConfigurationError as error:
        print(f"wickdyke.platform: {error}", file=sys.stderr)
        return 2
    log, log_writer = logs.logger(sys.stderr, False)
    service = Service(configuration, path, log.bind(gateway=configuration.name))
    service.handle_signals()
    # The garbage collector would traverse all live objects while requests wait. Nearly all are freed by their reference
    # count; the few cycles wait longer.
    gc.set_threshold(20000, 20, 50)
    try:
        service.open()
    except OSError as error:
        host, port = configuration.listen
        print(
            f"wickdyke.platform: {path}: listen is {host}:{port}: {error.strerror}, expected an address that is free",
            file=sys.stderr,
        )
        return 2
    service.run()
    log_writer.close()
    return 0
