"""Assembles a gateway from its settings, runs it and shuts it down in order."""

import gc
import random
import sys
import threading
from collections.abc import Callable

from wickdyke.config import endpoint_file, route_config, route_transition
from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.gateway.circuit_breaker import CircuitBreaker
from wickdyke.gateway.context import clock
from wickdyke.gateway.coordinator import Coordinator
from wickdyke.gateway.events import EndpointsReceived
from wickdyke.gateway.file_watcher import FileWatcher
from wickdyke.gateway.interfaces import Log
from wickdyke.gateway.isolation import BreakerIsolation
from wickdyke.gateway.recording import DecisionRecorder
from wickdyke.jsonrpc.client_connection import STACK_SIZE
from wickdyke.jsonrpc.client_server import ClientServer
from wickdyke.jsonrpc.endpoint_list import EndpointList
from wickdyke.jsonrpc.worker_protocol import JsonRpcWorkerProtocol
from wickdyke.route_policy.policy import Environment
from wickdyke.route_policy.transition import PolicyTransition
from wickdyke.routing.model import EndpointState
from wickdyke.routing.periods import TICK_INTERVAL
from wickdyke.transport import termination

# s for which a thread may hold the interpreter lock. Threads switch often and run briefly: with the default of 5 ms an
# answer would wait for a thread that decodes a request.
SWITCH_INTERVAL = 0.001
SEED_BITS = 48  # bits of a random seed
DRAIN_MARGIN = 1000  # ms beyond the longest deadline that a drain may take
DRAIN_POLL_INTERVAL = 0.01  # s between two checks whether a drain is over


def policy_environment(config: GatewayConfig) -> Environment:
    """Returns what routes are checked against: the deployment's limits and the interval of the router's ticks."""
    limits = config.attempt_limits
    return Environment(
        limits.hedging, limits.cancel, limits.connect_timeout, config.answer_margin, TICK_INTERVAL, limits.attempts
    )


class Gateway:
    """All parts of one gateway. `open` starts to serve; `stop` drains it, so pending requests get their answers."""

    def __init__(self, config: GatewayConfig, log: Log) -> None:
        threading.stack_size(STACK_SIZE)
        sys.setswitchinterval(SWITCH_INTERVAL)
        self.config = config
        self.log = log
        seed = config.seed if config.seed is not None else random.SystemRandom().getrandbits(SEED_BITS)
        self.recorder = DecisionRecorder(config.recording_path, log) if config.recording_path else None
        self.coordinator = Coordinator(
            config,
            seed,
            log,
            JsonRpcWorkerProtocol(config),
            EndpointList(config.zones, config.kinds),
            self.recorder,
            BreakerIsolation(CircuitBreaker(config.breakers, config.instance.count, log)),
        )
        self.client_server = ClientServer(config, self.coordinator.post, self.coordinator.rejection_reason, log.warning)
        self.coordinator.catch_up = self.client_server.stalls.catch_up
        self.policy_transition = PolicyTransition()
        self.watchers: list[FileWatcher[list[endpoint_file.EndpointRow]] | FileWatcher[route_config.Routes]] = [
            FileWatcher(
                "endpoint list",
                config.endpoints_path,
                config.endpoints_poll_interval,
                self._read_endpoints,
                self._use_endpoints,
                log,
            )
        ]
        if config.routes_path is not None:
            self.watchers.append(
                FileWatcher(
                    "routes", config.routes_path, config.routes_poll_interval, self._read_routes, self._use_routes, log
                )
            )
            self.client_server.checker.routes = self._read_routes(config.routes_path)  # no earlier routes exist

    def _read_endpoints(self, path: str) -> list[endpoint_file.EndpointRow]:
        return endpoint_file.read_endpoints(path, self.config.zones, self.config.kinds)

    def _use_endpoints(self, rows: list[endpoint_file.EndpointRow]) -> dict[str, int]:
        self.coordinator.post(EndpointsReceived(rows))
        return {"workers": len(rows), "ready": sum(row.state == EndpointState.READY for row in rows)}

    def _read_routes(self, path: str) -> route_config.Routes:
        routes = route_config.read(path, self.config.request_classes, policy_environment(self.config))
        route_transition.check_transition(routes, path, self.policy_transition, clock())
        return routes

    def _use_routes(self, routes: route_config.Routes) -> dict[str, int]:
        self.client_server.checker.routes = routes
        self.policy_transition.activate(routes.retry_budget_users(), clock())
        return {"routes": len(routes.routes)}

    def open(self) -> None:
        """Starts to serve."""
        # Objects created by now are long-lived: the garbage collector need not visit them while requests wait
        # (docs/bench.md).
        gc.collect()
        gc.freeze()
        self.coordinator.open()
        for watcher in self.watchers:
            watcher.open()
        self.client_server.open()
        self.log.info(
            "serving",
            socket=self.config.listen,
            instance=f"{self.config.instance.index}/{self.config.instance.count}",
        )

    def stop(self) -> None:
        """Stops accepting requests, answers the pending ones within their deadlines, then ends all threads."""
        began_at = clock()
        self.coordinator.stop_admitting()
        self.client_server.stop_accepting()
        self.log.info("stopping", open=len(self.coordinator.requests.by_id))
        timeout = DRAIN_MARGIN + max(request_class.deadline for request_class in self.config.request_classes)
        pause = threading.Event()
        while clock() - began_at < timeout and not (self.coordinator.is_idle() and self.client_server.is_flushed()):
            pause.wait(DRAIN_POLL_INTERVAL)
        self.close()
        self.log.info("stopped", elapsed_ms=round(clock() - began_at), **dict(self.coordinator.counts))

    def close(self) -> None:
        """Ends all threads at once."""
        for watcher in self.watchers:
            watcher.close()
        self.coordinator.close()
        self.client_server.disconnect_all()
        if self.recorder is not None:
            self.recorder.close()


def serve_until_signal(gateway: Gateway, ready: Callable[[], None]) -> int:
    """Serves until SIGTERM or SIGINT and returns exit code 0; a second signal ends the process at once with code 1.

    `ready` is called once the gateway serves.
    """
    signalled = termination.install_handlers()
    gateway.open()
    ready()
    termination.wait(signalled)
    gateway.stop()
    return 0
