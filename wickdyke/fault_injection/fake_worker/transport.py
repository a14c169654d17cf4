"""Connections of gateways to a fake worker: decodes messages and calls the worker."""

from collections.abc import Callable

import msgspec

from wickdyke.fault_injection.fake_worker import responses
from wickdyke.fault_injection.fake_worker.attempts import AttemptKey
from wickdyke.fault_injection.fake_worker.prewarms import PendingPrewarm
from wickdyke.fault_injection.fake_worker.worker import FakeWorker
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection, LineServer


class GatewayServer:
    """Serves gateways on the worker's socket. All messages are handled with the worker's lock held."""

    def __init__(self, worker: FakeWorker) -> None:
        """Starts to listen; raises AddressInUseError."""
        self.worker = worker
        self.handlers: dict[str, Callable[[LineConnection, jsonrpc.Request], None]] = {
            "hello": self._hello,
            "run": self._run,
            "hold": self._prewarm,
            "drop": self._unload,
            "cancel": self._cancel,
            "probe": self._check_health,
        }
        self.server = LineServer(worker.config.socket, self._request_received, self._connection_closed)

    def _request_received(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        with self.worker.lock:
            handler = self.handlers.get(request.method)
            if handler is None:
                connection.send(jsonrpc.error_response(request.ident, jsonrpc.METHOD_NOT_FOUND, "Method not found"))
                return
            handler(connection, request)

    def _connection_closed(self, connection: LineConnection) -> None:
        with self.worker.lock:
            self.worker.connection_closed(connection)

    def _hello(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        connection.peer = msgspec.json.decode(request.params, type=worker_messages.GatewayHello).gateway
        self.worker.trace.hello(connection.peer)
        if not self.worker.faults.hanging:
            responses.send_result(connection, request.ident, self.worker.describe())

    def _check_health(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        if not self.worker.faults.hanging:
            responses.send_result(connection, request.ident, worker_messages.HealthReport(self.worker.report))

    def _run(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        run = msgspec.json.decode(request.params, type=worker_messages.RunRequest)
        self.worker.attempt_received(AttemptKey(connection, request.ident), run)

    def _cancel(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        request_id = msgspec.json.decode(request.params, type=worker_messages.CancelRequest).id
        self.worker.attempt_cancelled(AttemptKey(connection, request_id))

    def _prewarm(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        prewarm_request = msgspec.json.decode(request.params, type=worker_messages.PrewarmRequest)
        self.worker.trace.prewarm_received(connection.peer, prewarm_request)
        if not self.worker.faults.hanging:
            prewarm = PendingPrewarm(connection, request.ident, prewarm_request.function, prewarm_request.replicas)
            self.worker.prewarm(prewarm, prewarm_request)

    def _unload(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        unload_request = msgspec.json.decode(request.params, type=worker_messages.UnloadRequest)
        self.worker.replicas.unload_idle(unload_request.function)
