"""The worker's server for gateways: the methods of its JSON-RPC protocol (docs/protocol.md)."""

from collections.abc import Callable

import msgspec

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection, LineServer
from wickdyke.worker.open_requests import OpenRequests, Recorder, RequestEnd, RequestKey, request_key
from wickdyke.worker.schedule_runner import ScheduleRunner, monotonic_ms

MAX_ERROR_LENGTH = 300  # characters of an error message in a response

Method = Callable[[LineConnection, jsonrpc.Request], None]


class GatewayServer:
    """The server of one worker. `name` is that of the worker; `start_id` identifies this start of it."""

    def __init__(
        self, runner: ScheduleRunner, open_requests: OpenRequests, name: str, start_id: int, record: Recorder
    ) -> None:
        self.runner = runner
        self.open_requests = open_requests
        self.name = name
        self.start_id = start_id
        self.record = record
        self.started_at = monotonic_ms()
        self.server: LineServer | None = None
        self.methods: dict[str, Method] = {  # by the method's name on the wire
            "hello": self._hello,
            "run": self._run,
            "hold": self._prewarm,
            "drop": self._unload_idle,
            "cancel": self._cancel,
            "probe": self._check_health,
        }

    def open(self, address: str) -> None:
        """Starts to listen on the address; raises AddressInUseError, OSError."""
        self.server = LineServer(address, self._receive, self._disconnected)

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self.server is not None:
            self.server.close()

    @property
    def all_sent(self) -> bool:
        """Whether all answers have been sent."""
        return self.server is None or all(
            connection.write_buffer.empty() for connection in list(self.server.connections)
        )

    # ---- requests ----

    def _receive(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        method = self.methods.get(request.method)
        if method is None:
            if not request.is_notification:
                connection.send(jsonrpc.error_response(request.ident, jsonrpc.METHOD_NOT_FOUND, "Method not found"))
            return
        try:
            method(connection, request)
        except msgspec.MsgspecError as error:
            if not request.is_notification:
                text = f"Invalid params: {error}"[:MAX_ERROR_LENGTH]
                connection.send(jsonrpc.error_response(request.ident, jsonrpc.INVALID_PARAMS, text))

    def _hello(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        connection.peer = msgspec.json.decode(request.params, type=worker_messages.GatewayHello).gateway
        self.record("hello", gateway=connection.peer, start=self.start_id)
        up_ms = monotonic_ms() - self.started_at
        draining = self.runner.schedule.draining
        answer = worker_messages.WorkerHello(worker_messages.VERSION, self.name, self.start_id, up_ms, draining)
        connection.send(jsonrpc.result_response(request.ident, jsonrpc.encode(answer)))

    def _check_health(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        with self.runner.lock:
            body = jsonrpc.encode(worker_messages.HealthReport(self.open_requests.load_report()))
        connection.send(jsonrpc.result_response(request.ident, body))

    def _run(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        run = msgspec.json.decode(request.params, type=worker_messages.RunRequest)
        key = RequestKey(connection, request.ident)
        with self.runner.event() as schedule:
            if key in self.open_requests or request.ident is None:
                connection.send(jsonrpc.error_response(None, jsonrpc.INVALID_REQUEST, "an id that is in use, or none"))
                return
            self.open_requests.add(key, run)
            # The time between its arrival and now reduces the time that its sender has left.
            time_left = run.time_left_ms - (monotonic_ms() - connection.received_at)
            schedule.submit(key, run.function, run.memory_mb, run.concurrency, time_left)

    def _prewarm(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        prewarm = msgspec.json.decode(request.params, type=worker_messages.PrewarmRequest)
        with self.runner.event() as schedule:
            self.record(
                "hold", gateway=connection.peer, program=prewarm.function, copies=prewarm.replicas, start=self.start_id
            )
            key = RequestKey(connection, request.ident)
            schedule.prewarm(key, prewarm.function, prewarm.memory_mb, prewarm.concurrency, prewarm.replicas)

    def _unload_idle(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        unload = msgspec.json.decode(request.params, type=worker_messages.UnloadRequest)
        with self.runner.event() as schedule:
            schedule.unload_idle(unload.function)

    def _cancel(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        cancel = msgspec.json.decode(request.params, type=worker_messages.CancelRequest)
        with self.runner.event() as schedule:
            key = RequestKey(connection, cancel.id)
            self.open_requests.withdraw(key, RequestEnd.CANCELLED)
            schedule.cancel(key)

    def _disconnected(self, connection: LineConnection) -> None:
        with self.runner.event() as schedule:
            if connection.peer:
                self.record("hung-up", gateway=connection.peer)
            for key in self.open_requests.of_connection(connection):
                self.open_requests.withdraw(key, RequestEnd.DISCONNECTED)
                schedule.cancel(key)
            prewarm_keys = [request_key(prewarm) for prewarm in schedule.prewarms.values()]
            for key in [key for key in prewarm_keys if key.connection is connection]:
                schedule.cancel(key)
