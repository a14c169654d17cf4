"""Takes the JSON-RPC requests of gateways (docs/protocol.md)."""

import msgspec

from wickdyke.protocol import back, jsonrpc
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
        """Begins to serve; raises AddressInUse, OSError."""
        self.server = LineServer(address, self._receive, self._disconnected)

    def close(self) -> None:
        """Ends all connections."""
        if self.server is not None:
            self.server.close()

    @property
    def all_sent(self) -> bool:
        """Whether no answer waits to be sent."""
        return all(connection.box.empty() for connection in list(self.server.wires))

    # ---- requests ----

    def _receive(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        method = self.methods.get(request.method)
        if method is None:
            if not request.told:
                connection.say(jsonrpc.problem(request.ident, jsonrpc.NO_METHOD, "Method not found"))
            return
        try:
            method(connection, request)
        except msgspec.MsgspecError as error:
            if not request.told:
                text = f"Invalid params: {error}"[:ERROR_TEXT_MOST]
                connection.say(jsonrpc.problem(request.ident, jsonrpc.BAD_PARAMS, text))

    def _hello(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        connection.who = msgspec.json.decode(request.params, type=back.Hello).gateway
        self.record("hello", gateway=connection.who, start=self.start)
        up_ms, draining = monotonic_ms() - self.started_at, self.runner.schedule.draining
        standing = back.Standing(back.VERSION, self.name, self.start, up_ms, draining)
        connection.say(jsonrpc.result(request.ident, jsonrpc.encode(standing)))

    def _check_health(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        with self.runner.lock:
            body = jsonrpc.encode(back.Probed(self.open_requests.load_report()))
        connection.say(jsonrpc.result(request.ident, body))

    def _run(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        run = msgspec.json.decode(request.params, type=back.Run)
        key = RequestKey(connection, request.ident)
        with self.runner.event() as schedule:
            if key in self.open_requests or request.ident is None:
                connection.say(jsonrpc.problem(None, jsonrpc.INVALID, "an id that is in use, or none"))
                return
            self.open_requests.add(key, run)
            schedule.submit(key, run.program, run.memory_mb, run.lanes, run.time_left_ms)

    def _prewarm(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        hold = msgspec.json.decode(request.params, type=back.Hold)
        with self.runner.event() as schedule:
            self.record("hold", gateway=connection.who, program=hold.program, copies=hold.copies, start=self.start)
            key = RequestKey(connection, request.ident)
            schedule.prewarm(key, hold.program, hold.memory_mb, hold.lanes, hold.copies)

    def _unload_idle(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        drop = msgspec.json.decode(request.params, type=back.Drop)
        with self.runner.event() as schedule:
            schedule.unload_idle(drop.program)

    def _cancel(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        cancel = msgspec.json.decode(request.params, type=back.Cancel)
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
