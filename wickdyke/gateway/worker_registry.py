"""The listed workers and the clients that speak to them."""

from collections import Counter
from collections.abc import Callable, Sequence

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import AnyEndpointList, AnyWorkerClient, Log
from wickdyke.gateway.worker_protocol import AnyWorkerProtocol
from wickdyke.routing.model import Endpoint, EndpointState

LOGGED_ONE_BY_ONE = 32  # changes of the endpoint list; more are counted in one line


class WorkerRegistry:
    """Keeps the endpoint list and one client for each worker; `changed` is called with entries that changed."""

    def __init__(
        self,
        protocol: AnyWorkerProtocol,
        endpoints: AnyEndpointList,
        notify: Callable[[Event], None],
        changed: Callable[[list[Endpoint]], None],
        log: Log,
    ) -> None:
        self.protocol = protocol
        self.endpoints = endpoints
        self.notify = notify
        self.changed = changed
        self.log = log
        self.clients: dict[str, AnyWorkerClient] = {}

    def client(self, name: str) -> AnyWorkerClient | None:
        """The client of a listed worker, made when it is first needed: most workers of a large fleet never are."""
        if name not in self.clients and (address := self.endpoints.address(name)) is not None:
            self.clients[name] = self.protocol.client_for(name, address, self.notify)
        return self.clients.get(name)

    def is_current(self, worker_client: AnyWorkerClient) -> bool:
        """Whether that client is the present one of its worker."""
        return self.clients.get(worker_client.name) is worker_client

    def apply(self, entries: Sequence[object], now: float) -> None:
        """Merges entries of the endpoint list."""
        change = self.endpoints.apply(entries, now)
        for name, address in change.addresses.items():
            if name in self.clients:
                self.clients.pop(name).drain()
            if address is not None and self.protocol.connects_at_once:
                self.client(name)
        self.report(change.endpoints, now)

    def report(self, endpoints: list[Endpoint], now: float) -> None:
        """Passes on what changed of the list."""
        if not endpoints:
            return
        for endpoint in endpoints:
            # What waits for a connection, or for a worker to read, would be sent after the time for a drain. It never
            # ran, and is tried elsewhere.
            if endpoint.state != EndpointState.READY and endpoint.ident in self.clients:
                self.clients[endpoint.ident].withdraw_all_unsent()
        self._log(endpoints, now)
        self.changed(endpoints)

    def _log(self, endpoints: list[Endpoint], now: float) -> None:
        if len(endpoints) > LOGGED_ONE_BY_ONE:
            self.log.info("endpoints changed", **Counter(str(endpoint.state) for endpoint in endpoints))
            return
        for endpoint in endpoints:
            age = None if endpoint.started_at is None else round(now - endpoint.started_at)
            self.log.info("endpoint changed", worker=endpoint.ident, state=str(endpoint.state), up_ms=age)

    def close(self) -> None:
        """Ends all clients."""
        for client in list(self.clients.values()):
            client.close()
