"""Takes the JSON-RPC requests of gateways (docs/protocol.md)."""

import msgspec

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection, LineServer
from wickdyke.worker.open_requests import OpenRequests, Recorder, RequestKey
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms

ERROR_TEXT_MOST = 300  # characters


class GatewayServer:
    """One worker's server. `start` is drawn anew at each start of the worker, `name` is the worker's."""

    def __init__(
        self, runner: ScheduleRunner, open_requests: OpenRequests, name: str, start: int, record: Recorder
    ) -> None:
        self.runner, self.open_requests = runner, open_requests
        self.name, self.start, self.record = name, start, record
        self.started_at = monotonic_ms()
        self.server: LineServer | None = None
        self.methods = {
            "hello": self._hello,
            "run": self._run,
            "hold": self._prewarm,
            "drop": self._unload_idle,
            "cancel": self._cancel,
            "probe": self._check_health,
        }

    def open(self, address: str) -> None:
        """Begins to serve; raises AddressInUseError, OSError."""
        self.server = LineServer(address, self._receive, self._disconnected)

    def close(self) -> None:
        """Ends all connections."""
        if self.server is not None:
            self.server.close()

    @property
    def all_sent(self) -> bool:
        """Whether no answer waits to be sent."""
        return all(connection.write_buffer.empty() for connection in list(self.server.connections))

    # ---- requests ----

    def _receive(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        method = self.methods.get(request.method)
        if method is None:
            if not request.is_notification:
                connection.say(jsonrpc.error_response(request.ident, jsonrpc.METHOD_NOT_FOUND, "Method not found"))
            return
        try:
            method(connection, request)
        except msgspec.MsgspecError as error:
            if not request.is_notification:
                text = f"Invalid params: {error}"[:ERROR_TEXT_MOST]
                connection.say(jsonrpc.error_response(request.ident, jsonrpc.INVALID_PARAMS, text))

    def _hello(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        connection.who = msgspec.json.decode(request.params, type=worker_messages.GatewayHello).gateway
        self.record("hello", gateway=connection.who, start=self.start)
        up_ms, draining = monotonic_ms() - self.started_at, self.runner.schedule.draining
        standing = worker_messages.WorkerHello(worker_messages.VERSION, self.name, self.start, up_ms, draining)
        connection.say(jsonrpc.result_response(request.ident, jsonrpc.encode(standing)))

    def _check_health(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        with self.runner.lock:
            body = jsonrpc.encode(worker_messages.HealthReport(self.open_requests.load_report()))
        connection.say(jsonrpc.result_response(request.ident, body))

    def _run(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        run = msgspec.json.decode(request.params, type=worker_messages.RunRequest)
        key = RequestKey(connection, request.ident)
        with self.runner.event() as schedule:
            if key in self.open_requests or request.ident is None:
                connection.say(jsonrpc.error_response(None, jsonrpc.INVALID_REQUEST, "an id that is in use, or none"))
                return
            self.open_requests.add(key, run)
            schedule.submit(key, run.function, run.memory_mb, run.concurrency, run.time_left_ms)

    def _prewarm(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        hold = msgspec.json.decode(request.params, type=worker_messages.PrewarmRequest)
        with self.runner.event() as schedule:
            self.record("hold", gateway=connection.who, program=hold.function, copies=hold.replicas, start=self.start)
            key = RequestKey(connection, request.ident)
            schedule.prewarm(key, hold.function, hold.memory_mb, hold.concurrency, hold.replicas)

    def _unload_idle(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        drop = msgspec.json.decode(request.params, type=worker_messages.UnloadRequest)
        with self.runner.event() as schedule:
            schedule.unload_idle(drop.function)

    def _cancel(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        cancel = msgspec.json.decode(request.params, type=worker_messages.CancelRequest)
        with self.runner.event() as schedule:
            key = RequestKey(connection, cancel.id)
            self.open_requests.withdraw(key, "cancelled")
            schedule.cancel(key)

    def _disconnected(self, connection: LineConnection) -> None:
        with self.runner.event() as schedule:
            if connection.who:
                self.record("hung-up", gateway=connection.who)
            for key in self.open_requests.of_connection(connection):
                self.open_requests.withdraw(key, "dropped")
                schedule.cancel(key)
            for key in [key for key in schedule.prewarms if key.connection is connection]:
                schedule.cancel(key)
