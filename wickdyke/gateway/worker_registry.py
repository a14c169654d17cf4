"""The listed workers and their clients."""

from collections import Counter
from collections.abc import Callable, Sequence

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import AnyEndpointList, AnyWorkerClient, Log
from wickdyke.gateway.worker_protocol import AnyWorkerProtocol
from wickdyke.routing.model import Endpoint, EndpointState

MAX_CHANGES_LOGGED_SINGLY = 32  # changes of the endpoint list at once; more are summarized in one line


class WorkerRegistry:
    """Keeps the endpoint list and the worker clients; `on_changed` is called with the endpoints that changed."""

    def __init__(
        self,
        protocol: AnyWorkerProtocol,
        endpoints: AnyEndpointList,
        notify: Callable[[Event], None],
        on_changed: Callable[[list[Endpoint]], None],
        log: Log,
    ) -> None:
        self.protocol = protocol
        self.endpoints = endpoints
        self.notify = notify
        self.on_changed = on_changed
        self.log = log
        self.clients: dict[str, AnyWorkerClient] = {}

    def client(self, name: str) -> AnyWorkerClient | None:
        """Returns the client of a worker, None where that is not listed.

        A client is created on first use, since most workers of a large fleet are never used.
        """
        if name not in self.clients and (address := self.endpoints.address(name)) is not None:
            self.clients[name] = self.protocol.client_for(name, address, self.notify)
        return self.clients.get(name)

    def is_current(self, worker_client: AnyWorkerClient) -> bool:
        """Whether the client is the current one of its worker, not one that was replaced."""
        return self.clients.get(worker_client.name) is worker_client

    def apply(self, entries: Sequence[object], now: float) -> None:
        """Merges entries into the endpoint list, and drains the clients of workers whose address changed."""
        change = self.endpoints.apply(entries, now)
        for name, address in change.addresses.items():
            if name in self.clients:
                self.clients.pop(name).drain()
            if address is not None and self.protocol.connects_at_once:
                self.client(name)
        self.report(change.endpoints, now)

    def report(self, endpoints: list[Endpoint], now: float) -> None:
        """Logs and passes on changes of the endpoint list, and withdraws unsent commands from workers not ready."""
        if not endpoints:
            return
        for endpoint in endpoints:
            # A command that waits for a connection, or for the worker to read, could be sent after the drain period.
            # It never ran, so it is safe to try it at another worker.
            if endpoint.state != EndpointState.READY and endpoint.ident in self.clients:
                self.clients[endpoint.ident].withdraw_all_unsent()
        self._log(endpoints, now)
        self.on_changed(endpoints)

    def _log(self, endpoints: list[Endpoint], now: float) -> None:
        if len(endpoints) > MAX_CHANGES_LOGGED_SINGLY:
            self.log.info("endpoints changed", **Counter(str(endpoint.state) for endpoint in endpoints))
            return
        for endpoint in endpoints:
            age = None if endpoint.started_at is None else round(now - endpoint.started_at)
            self.log.info("endpoint changed", worker=endpoint.ident, state=str(endpoint.state), up_ms=age)

    def close(self) -> None:
        """Closes all clients."""
        for client in list(self.clients.values()):
            client.close()
