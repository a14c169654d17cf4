"""Passes the workers' own reports, received on their connections, to an endpoint list that merges them."""

from collections.abc import Callable
from typing import Any

from wickdyke.gateway import events
from wickdyke.gateway.context import Context
from wickdyke.gateway.interfaces import HelloEndpointList
from wickdyke.gateway.worker_registry import WorkerRegistry


class WorkerReports:
    """Passes the events of worker connections on to the endpoint list; drops those of replaced worker clients."""

    def __init__(self, context: Context, workers: WorkerRegistry, endpoints: HelloEndpointList) -> None:
        self.context = context
        self.workers = workers
        self.endpoints = endpoints

    def handlers(self) -> dict[type, Callable[[Any], object]]:
        """Returns the handler of each event type."""
        return {
            events.WorkerConnected: self._connected,
            events.WorkerUnreachable: self._unreachable,
            events.WorkerConnectionLost: self._connection_lost,
            events.WorkerDraining: self._draining,
        }

    def _connected(self, event: events.WorkerConnected) -> None:
        if self.workers.is_current(event.worker_client):
            now = self.context.now()
            self.workers.report(self.endpoints.hello(event.worker_client.name, event.hello, now), now)

    def _unreachable(self, event: events.WorkerUnreachable) -> None:
        if self.workers.is_current(event.worker_client):
            now = self.context.now()
            self.workers.report(self.endpoints.unreachable(event.worker_client.name, now), now)

    def _connection_lost(self, event: events.WorkerConnectionLost) -> None:
        self.context.counts["connections_lost"] += 1
        self.context.log.info("worker connection lost", worker=event.worker_client.name, reason=event.reason)

    def _draining(self, event: events.WorkerDraining) -> None:
        if self.workers.is_current(event.worker_client):
            self.workers.report(self.endpoints.draining(event.worker_client.name), self.context.now())
