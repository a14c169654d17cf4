"""Assembles a gateway from its settings, and ends it in order."""

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
from wickdyke.gateway.isolation import BreakerIsolation
from wickdyke.gateway.recording import DecisionRecorder
from wickdyke.jsonrpc.client_connection import STACK_SIZE
from wickdyke.jsonrpc.client_server import ClientServer
from wickdyke.jsonrpc.endpoint_list import EndpointList
from wickdyke.jsonrpc.worker_protocol import JsonRpcWorkerProtocol
from wickdyke.route_policy.policy import Environment
from wickdyke.route_policy.transition import PolicyTransition
from wickdyke.routing.periods import TICK
from wickdyke.transport import termination

# s that a thread may keep the interpreter. Hand-offs between threads are many and short: at the standard 5 ms an answer
# would wait for a decoder.
SWITCH_INTERVAL = 0.001
SEED_BITS = 48  # of a seed that is drawn
DRAIN_SPARE = 1000  # ms beyond the greatest deadline that a drain may take
DRAIN_POLL = 0.01  # s between two looks at whether a drain is over


def ground(config: GatewayConfig) -> Environment:
    """What routes are checked against: the deployment's figures, and how often the router is advanced."""
    limits = config.attempt_limits
    return Environment(
        limits.hedging, limits.cancel, limits.connect_timeout, config.answer_margin, TICK, limits.attempts
    )


class Gateway:
    """All parts of one gateway. `open` begins; `stop` drains it: what is pending gets its answer."""

    def __init__(self, config: GatewayConfig, log) -> None:
        threading.stack_size(STACK_SIZE)
        sys.setswitchinterval(SWITCH_INTERVAL)
        self.config, self.log = config, log
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
        self.client_server = ClientServer(config, self.coordinator.post, self.coordinator.busy, log.warning)
        self.succession = PolicyTransition()
        self.watchers = [
            FileWatcher(
                "list",
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
            self.client_server.checker.routes = self._read_routes(config.routes_path)  # there is no earlier one to keep

    def _read_endpoints(self, path: str) -> list[endpoint_file.EndpointRow]:
        return endpoint_file.read_endpoints(path, self.config.zones, self.config.kinds)

    def _use_endpoints(self, rows: list[endpoint_file.EndpointRow]) -> dict:
        self.coordinator.post(EndpointsReceived(rows))
        return {"workers": len(rows), "ready": sum(row.state == "ready" for row in rows)}

    def _read_routes(self, path: str) -> route_config.Routes:
        found = route_config.read(path, self.config.request_classes, ground(self.config))
        route_transition.check_transition(found, path, self.succession, clock())
        return found

    def _use_routes(self, found: route_config.Routes) -> dict:
        self.client_server.checker.routes = found
        self.succession.activate(found.retry_budget_users(), clock())
        return {"routes": len(found.routes)}

    def open(self) -> None:
        """Begins to serve."""
        # What is loaded by now stays: the garbage collector need not walk over it while requests wait (docs/bench.md).
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
        """Takes no more requests, answers all that are pending within their deadlines, then ends."""
        began = clock()
        self.coordinator.stop_admitting()
        self.client_server.shut()
        self.log.info("stopping", open=len(self.coordinator.requests.by_id))
        most = DRAIN_SPARE + max(each.deadline for each in self.config.request_classes)
        pause = threading.Event()
        while clock() - began < most and not (self.coordinator.idle() and self.client_server.flushed()):
            pause.wait(DRAIN_POLL)
        self.close()
        self.log.info("stopped", took_ms=round(clock() - began), **dict(self.coordinator.counts))

    def close(self) -> None:
        """Ends all threads at once."""
        for watcher in self.watchers:
            watcher.close()
        self.coordinator.end()
        self.client_server.disconnect_all()
        if self.recorder is not None:
            self.recorder.close()


def until_signal(gateway: Gateway, ready: Callable[[], None]) -> int:
    """Serves until SIGTERM or SIGINT; a second signal ends it at once. `ready` is called once it serves."""
    ended = termination.install_handlers()
    gateway.open()
    ready()
    termination.wait(ended)
    gateway.stop()
    return 0
