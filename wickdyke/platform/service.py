"""A front end of the platform: one thread with an event loop that runs the coordinator; signals and shutdown."""

import gc
import math
import os
import signal
import sys
import time
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
from wickdyke.platform.memory_budget import REQUEST_FRACTION, MemoryBudget, base_bytes, plan_memory
from wickdyke.platform.worker_client import WorkerClientSettings
from wickdyke.platform.worker_protocol import PlatformWorkerProtocol
from wickdyke.transport.allocator import own_memory, return_freed_memory
from wickdyke.transport.event_loop import EventLoop
from wickdyke.transport.system_facts import MissingCallError, probe, require_server_calls

GRACE_PERIOD = 750.0  # ms after SIGTERM for which requests are still admitted, if the shutdown has so much time
# SIGKILL may follow SIGTERM after the longest deadline, at most MAX_KILL_DEADLINE, plus KILL_DELAY (all in ms).
KILL_DELAY = 700.0
MAX_KILL_DEADLINE = 3000.0
KILL_MARGIN = 100.0  # ms before the possible SIGKILL by which all requests are answered
LOG_COUNTS_INTERVAL = 5000.0  # ms between two log lines of counts
SWEEP_INTERVAL = 1000.0  # ms between searches for idle connections to workers
CONFIGURATION_RETRY_DELAY = 100.0  # ms until an unreadable configuration is read again
KILOBYTE = 1024  # bytes
MAX_WAIT = 100.0  # ms that one iteration waits at most, to notice the flags that signal handlers set
DISCOVERY_RETRY_FRACTION = 0.4  # part of the grace period for drains within which discovery is retried
MAX_DISCOVERY_RETRY = 400.0  # ms between two connects to discovery, at most
IDLE_TIMEOUT_FRACTION = 0.7  # part of a worker's idle timeout after which this side closes an idle connection
MAX_DESCRIPTORS_LOOKED_AT = 1 << 16  # the system gives the lowest free numbers first
RESERVED_DESCRIPTORS = 12  # for discovery's old and new connection, an accept, a file being read and others


def open_descriptors(limit: int) -> int:
    """Returns the number of open descriptors below `limit` of this process, which has just begun."""
    count = 0
    for number in range(min(limit, MAX_DESCRIPTORS_LOOKED_AT)):
        with suppress(OSError):
            os.fstat(number)
            count += 1
    return count


def _worker_settings(configuration: Configuration) -> WorkerClientSettings:
    limits = configuration.attempt_limits
    return WorkerClientSettings(
        limits.connect_timeout, limits.idle_timeout * IDLE_TIMEOUT_FRACTION, configuration.instance.report_fields
    )


def _discovery_settings(configuration: Configuration) -> DiscoverySettings:
    backoff_limit = min(MAX_DISCOVERY_RETRY, DISCOVERY_RETRY_FRACTION * configuration.discovery.drain_grace)
    return DiscoverySettings(configuration.discovery_address, backoff_limit, configuration.seed)


def _client_budget(configuration: Configuration) -> MemoryBudget:
    bounds = configuration.bounds
    return MemoryBudget(bounds.client_bytes, int(bounds.client_bytes * REQUEST_FRACTION) // bounds.open_requests)


class Service:
    """One front end. `run` serves until a signal requests the shutdown and all requests are answered."""

    def __init__(self, config: Configuration, path: str, log: Log) -> None:
        self.configuration = config
        self.path = path
        self.log = log
        self.loop = EventLoop(self._log_exception)
        # The wall clock is read first: a pause between the two readings makes workers look younger, which at worst
        # makes their slow start longer than necessary.
        self.endpoints = EndpointList(
            config.zones, config.kinds, lambda: time.time() * 1000 - clock(), lambda: self.discovery.response_started_at
        )
        # Idle clients could use all descriptors, and then neither discovery nor a worker could be reached. So the
        # descriptors are divided: some are reserved, half of the rest is for clients, the other half for workers.
        descriptors = config.sockets - open_descriptors(config.sockets) - RESERVED_DESCRIPTORS
        self.protocol = PlatformWorkerProtocol(
            self.loop, _worker_settings(config), descriptors - descriptors // 2, config.bounds.answer_bytes
        )
        self.coordinator = Coordinator(config, config.seed, log, self.protocol, self.endpoints)
        self.client_server = ClientServer(
            self.loop,
            ClientServerSettings(
                config.listen, config.request_classes, descriptors // 2, config.tenants, _client_budget(config)
            ),
            self.coordinator.post,
            self.coordinator.rejection_reason,
            log,
        )
        self.discovery = DiscoveryClient(
            self.loop,
            _discovery_settings(config),
            lambda: self.endpoints.offset,
            self._apply_events,
            log,
            lambda at: self.coordinator.post(DiscoveryHeard(at)),
            lambda at: self.coordinator.handle_at_once(DiscoveryLost(at)),
        )
        self.loop.on_stall = self.discovery.process_stalled
        self.coordinator.catch_up = self._catch_up
        self.coordinator.context.discovery_seen_at = lambda: self.loop.first_served_at
        self.shutdown_requested_at: float | None = None  # ms
        self.serving_since = 0.0  # ms; since when `alive` is answered
        self.reload_requested = False  # set by SIGHUP until the reload starts
        self.reload_pending = False  # set while the file can't be read
        self.stopping = False
        longest_deadline = min(
            MAX_KILL_DEADLINE, max(request_class.deadline for request_class in config.request_classes)
        )
        self.shutdown_timeout = longest_deadline + KILL_DELAY - KILL_MARGIN  # ms after SIGTERM

    def _log_exception(self, error: Exception) -> None:
        self.coordinator.context.exceptions.record("unhandled exception in the event loop", error)

    def _apply_events(self, events: list[Event]) -> None:
        # In the queue the events would wait while commands that waited for a connection are sent to a draining worker.
        self.coordinator.handle_at_once(EndpointsReceived(events))
        self._divide_memory()

    def _catch_up(self) -> bool:
        """Reads discovery's events ahead of decisions where the last poll was long ago; never waits."""
        self.loop.catch_up()
        return False

    def _divide_memory(self) -> None:
        """Divides the memory anew, of which the listed workers take more or less than at the start."""
        base = base_bytes(self.configuration.process_bytes, len(self.endpoints))
        plan = plan_memory(self.configuration.memory_mb, base)
        self.client_server.budget.resize(plan.client_bytes)
        pool = self.protocol.pool
        pool.answer_capacity = max(plan.answer_bytes, pool.partial_answer_bytes)

    def handle_signals(self) -> None:
        """Installs the handlers of SIGTERM, SIGINT and SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._request_shutdown)
        signal.signal(signal.SIGHUP, self._request_reload)

    def _request_shutdown(self, number: int, frame: FrameType | None) -> None:
        # The time limit starts at the signal. The handler does no more, as it may run between any two bytecodes.
        if self.shutdown_requested_at is None:
            self.shutdown_requested_at = clock()

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True

    def open(self) -> None:
        """Starts serving. Raises OSError where the address can't be bound."""
        self.coordinator.post(EndpointsReceived(self.configuration.initial_events))
        # The list in the configuration may be old and discovery unreachable, so it does not count as heard just now.
        self.coordinator.post(DiscoveryHeard(-math.inf))
        self.coordinator.run_once()
        self.discovery.open()
        self.client_server.listen()
        self.client_server.serving = True
        self.serving_since = clock()
        self.log.info(
            "serving",
            listen=":".join(map(str, self.configuration.listen)),
            workers=len(self.endpoints),
            sockets=self.configuration.sockets,
        )
        self._log_system_facts()
        self._log_counts()
        self.loop.call_every(SWEEP_INTERVAL, self.protocol.pool.sweep)
        self.loop.call_every(LOG_COUNTS_INTERVAL, self._log_periodically)
        gc.collect()
        gc.freeze()

    def _log_system_facts(self) -> None:
        facts = probe()
        self.log.info(
            "system facts",
            close_behind_data=facts.close_behind_data,
            peek=facts.peek,
            receive_buffer=facts.receive_buffer,
            process_memory=facts.process_memory,
        )

    def _log_readiness(self) -> None:
        """Warns where the process has served for some time and answered no liveness check: it gets no clients then."""
        counts = self.client_server.counts
        if counts["alive_good"] or self.shutdown_requested_at is not None:
            return
        self.log.warning(
            "no liveness check answered yet",
            serving_ms=round(clock() - self.serving_since),
            accepted=counts["accepted"],
            exceptions=self.coordinator.context.exceptions.counts.total(),
        )

    def _log_periodically(self) -> None:
        self._log_readiness()
        self._log_counts()

    def _log_counts(self) -> None:
        self._divide_memory()  # what was held beyond a share that has shrunk may have been released
        self.log.info(
            "counts",
            clients=len(self.client_server.clients),
            open=len(self.coordinator.requests.by_id),
            connections=self.protocol.pool.used,
            workers=len(self.endpoints),
            offset=self.endpoints.offset,
            heard_ms=self.discovery.heard_ms(),
            **self._memory_counts(),
            **self.coordinator.counts,
            **self.client_server.counts,
            **self.protocol.pool.counts,
            **{f"bus_{name}": count for name, count in self.discovery.counts.items()},
            **{f"exceptions_{place}": count for place, count in self.coordinator.context.exceptions.counts.items()},
        )

    def _memory_counts(self) -> dict[str, int | None]:
        """Returns what the front end counts as held, beside the memory that the system sees (KB)."""
        own = own_memory()
        router = self.coordinator.router
        budget = self.client_server.budget
        connections = [
            connection for client in self.protocol.pool.worker_clients for connection in client.all_connections()
        ]
        return {
            "memory_kb": None if own is None else own // KILOBYTE,
            "memory_limit_kb": round(self.configuration.memory_mb * KILOBYTE),
            "held_by_clients_kb": budget.used // KILOBYTE,
            "held_limit_kb": budget.capacity // KILOBYTE,
            "functions": len(router.functions),
            "functions_unverified": len(router.fleet.unverified_functions),
            "functions_limit": router.function_limit,
            "attempts": len(router.global_concurrency.in_flight),
            "unsent_commands_kb": sum(each.unsent_bytes for each in connections) // KILOBYTE,
            "partial_answers_kb": self.protocol.pool.partial_answer_bytes // KILOBYTE,
            "events": self.coordinator.events.qsize(),
        }

    def _reload(self) -> None:
        self.reload_requested = False
        try:
            document = configurations.load(self.path)
            address = configurations.discovery_address(document, self.path)
        except configurations.UnreadableConfigurationError as error:
            # The signal is sent only once, so the reload is repeated after a temporary shortage of descriptors or
            # memory.
            if not self.reload_pending:
                self.log.warning("configuration not read yet", reason=str(error), in_force="the last good one")
            self.reload_pending = True
            self.loop.call_at(clock() + CONFIGURATION_RETRY_DELAY, self._reload_later)
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
        self._begin_shutdown()
        now = clock()
        due = min(coordinator.next_deadline(), self.loop.next_deadline(), self._next_shutdown_step())
        wait = min(due - now, MAX_WAIT) if coordinator.events.empty() else 0.0
        self.loop.run_once(wait, coordinator.run_once, now)
        coordinator.run_once()
        if self.reload_requested:
            self._reload()
        if self.shutdown_requested_at is None:
            return True
        self._begin_shutdown()
        elapsed = clock() - self.shutdown_requested_at
        if elapsed < min(GRACE_PERIOD, self.shutdown_timeout):
            return True
        deadline_passed = elapsed >= self.shutdown_timeout
        self.client_server.close_listener()
        if deadline_passed:
            self._answer_all()
        if not self.client_server.listener_closed or not self._all_answered(deadline_passed):
            return True
        # Data received since the last poll is read before the end: the kernel has acknowledged it, and closing a socket
        # with unread data sends a reset, which may discard an answer in transit.
        return self.client_server.read_clients() or not self.client_server.close_idle(deadline_passed)

    def _begin_shutdown(self) -> None:
        """Begins the graceful shutdown if it was requested."""
        if self.shutdown_requested_at is None:
            return
        self.client_server.answer_deadline = self.shutdown_requested_at + self.shutdown_timeout
        if not self.stopping:
            self.stopping = True
            self.client_server.serving = False
            self.log.info("stopping", open=len(self.coordinator.requests.by_id))

    def _next_shutdown_step(self) -> float:
        """Returns the time (ms) of the next step of the shutdown; infinite where it was not requested."""
        if self.shutdown_requested_at is None:
            return float("inf")
        steps = (
            self.shutdown_requested_at + delay
            for delay in (min(GRACE_PERIOD, self.shutdown_timeout), self.shutdown_timeout)
        )
        now = clock()
        return min((step for step in steps if step > now), default=float("inf"))

    def _answer_all(self) -> None:
        """Answers all open requests, rejects new ones and accepts no connections, as SIGKILL is imminent."""
        self.coordinator.stop_admitting()
        if not self.client_server.listener_closed:
            self.client_server.close_listener(True)
        self.coordinator.answer_all(RejectionReason.STOPPING)

    def _all_answered(self, deadline_passed: bool) -> bool:
        """Returns whether all requests are answered and, unless `deadline_passed`, no attempt is in flight."""
        if deadline_passed:
            return self.coordinator.events.empty() and self.client_server.all_answers_sent()
        return self.coordinator.is_idle() and self.client_server.all_answers_sent()

    def run(self) -> None:
        """Serves until the shutdown is complete."""
        while self.run_once():
            pass
        self.log.info(
            "stopped", elapsed_ms=round(clock() - (self.shutdown_requested_at or 0.0)), **dict(self.coordinator.counts)
        )


def main() -> int:
    """Serves until a signal and returns the exit code: 2, after a line on standard error, on invalid configuration."""
    return_freed_memory()
    try:
        path = configurations.config_path()
        configuration = configurations.read(path, os.environ.get("GW_LISTEN"), os.environ.get("GW_NAME"), own_memory())
        require_server_calls()
    except (ConfigurationError, MissingCallError) as error:
        print(f"wickdyke.platform: {error}", file=sys.stderr)
        return 2
    log, log_writer = logs.logger(sys.stderr, False)
    service = Service(configuration, path, log.bind(gateway=configuration.name))
    service.handle_signals()
    # The garbage collector traverses all live objects while requests wait, so it runs less often. Reference counting
    # frees nearly all objects; the few cycles are freed later.
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
