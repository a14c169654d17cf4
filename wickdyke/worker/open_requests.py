"""The requests that gateways wait for: each is answered once, and its start and end are recorded."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, cast

import msgspec

from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection
from wickdyke.worker.model import PrewarmRequest, Rejection, Request
from wickdyke.worker.schedule import Schedule

ERROR_CODES = {
    Rejection.FULL: worker_messages.FULL,
    Rejection.MISS: worker_messages.MISS,
    Rejection.FAILED: worker_messages.FAILED,
    Rejection.DRAINING: worker_messages.DRAINING,
    Rejection.OUT_OF_TIME: worker_messages.DEADLINE_EXCEEDED,
    Rejection.ENDED: worker_messages.REPLICA_ENDED,
}
PREWARM_ERROR_CODES = ERROR_CODES | {Rejection.MISS: worker_messages.FAILED}
ERROR_MESSAGES = {
    Rejection.FULL: "full",
    Rejection.MISS: "the load failed",
    Rejection.FAILED: "failed",
    Rejection.DRAINING: "draining",
    Rejection.OUT_OF_TIME: "its time is up",
    Rejection.ENDED: "its copy ended",
}
CONCURRENT_LIMIT = 30  # the highest count of concurrent requests that is reported


# Writes a line of the recording: called with its kind, and with its values by the keys of docs/protocol.md.
Recorder = Callable[..., None]


class RequestEnd(StrEnum):
    """How a request ended, where the worker did not reject it. The values are words of the recording."""

    ANSWERED = "ok"
    CANCELLED = "cancelled"
    DISCONNECTED = "dropped"  # its connection ended


class RequestKey(NamedTuple):
    """A request's id, and the connection that it is unique in."""

    connection: LineConnection
    ident: jsonrpc.Ident


class RequestMark(msgspec.Struct):
    """What a test run puts into the input of its requests, to find them in the recording."""

    mark: str = ""
    work_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """A request that is not answered yet. `number` identifies it in the recording."""

    run: worker_messages.RunRequest
    mark: str
    number: int


class OpenRequests:
    """All requests that are not answered yet, by key. Its methods are called under the schedule's lock."""

    def __init__(
        self, schedule: Schedule, load_report: Callable[[], dict[str, float]], start: int, record: Recorder | None
    ) -> None:
        """`record` writes the recording, if there is one; `start` identifies this start of the worker."""
        self.schedule = schedule
        self.load_report = load_report
        self.start = start
        self.recording = record is not None
        self.record = record or _record_nothing
        self.open: dict[RequestKey, OpenRequest] = {}
        self.last_number = 0

    def __contains__(self, key: RequestKey) -> bool:
        return key in self.open

    def add(self, key: RequestKey, run: worker_messages.RunRequest) -> None:
        """Adds a request that arrived."""
        self.last_number += 1
        mark = _request_mark(run.input) if self.recording else RequestMark()
        self.record(
            "run",
            mark=mark.mark,
            gateway=key.connection.peer,
            program=run.function,
            work=mark.work_ms,
            token=run.idempotency_key,
            start=self.start,
            job=self.last_number,
        )
        self.open[key] = OpenRequest(run, mark.mark, self.last_number)

    def input(self, request: Request) -> msgspec.Raw:
        """The argument of the function."""
        return self.open[request_key(request)].run.input

    def of_connection(self, connection: LineConnection) -> list[RequestKey]:
        """The requests that arrived on a connection."""
        return [key for key in self.open if key.connection is connection]

    def withdraw(self, key: RequestKey, cause: RequestEnd) -> None:
        """The gateway no longer waits for the answer."""
        request = self.open.pop(key, None)
        if request is None:
            return
        if cause == RequestEnd.CANCELLED:
            self.record("cancel", mark=request.mark, gateway=key.connection.peer, job=request.number)
        self._record_end(key, request, cause)

    def answer(self, request: Request, output: msgspec.Raw) -> None:
        """Sends the function's result."""
        key = request_key(request)
        self._record_end(key, self.open.pop(key), RequestEnd.ANSWERED)
        concurrent = min(CONCURRENT_LIMIT, request.concurrent)
        result = worker_messages.RunResult(output, request.load_note, concurrent, self.load_report())
        key.connection.send(jsonrpc.result_response(key.ident, jsonrpc.encode(result)))

    def fail(self, request: Request, message: str) -> None:
        """Sends the function's error. In the recording the request was answered, as the function did run."""
        self._send_error(request, Rejection.FAILED, message, RequestEnd.ANSWERED)

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Sends an error of this worker."""
        self._send_error(request, rejection, ERROR_MESSAGES[rejection], rejection)

    def _send_error(
        self, request: Request, rejection: Rejection, message: str, recorded: RequestEnd | Rejection
    ) -> None:
        key = request_key(request)
        open_request = self.open.pop(key, None)
        if open_request is None:
            return
        self._record_end(key, open_request, recorded)
        data = worker_messages.RunErrorData(
            min(CONCURRENT_LIMIT, request.concurrent),
            self.load_report(),
            self.schedule.draining,
            request.requests_in_replica,
        )
        error = jsonrpc.error_response(key.ident, ERROR_CODES[rejection], message, jsonrpc.encode(data))
        key.connection.send(error)

    def _record_end(self, key: RequestKey, request: OpenRequest, end: RequestEnd | Rejection) -> None:
        self.record("end", mark=request.mark, gateway=key.connection.peer, how=end, job=request.number)


def request_key(request: Request | PrewarmRequest) -> RequestKey:
    """The key under which GatewayServer gave a request to the schedule."""
    return cast(RequestKey, request.key)


def answer_prewarm(prewarm: PrewarmRequest, ready: int) -> None:
    """Answers that `ready` replicas can serve."""
    key = request_key(prewarm)
    body = jsonrpc.encode(worker_messages.PrewarmResult(ready))
    key.connection.send(jsonrpc.result_response(key.ident, body))


def reject_prewarm(prewarm: PrewarmRequest, rejection: Rejection, ready: int) -> None:
    """Answers with an error; `ready` replicas can serve."""
    key = request_key(prewarm)
    body = jsonrpc.encode(worker_messages.PrewarmResult(ready))
    error = jsonrpc.error_response(key.ident, PREWARM_ERROR_CODES[rejection], ERROR_MESSAGES[rejection], body)
    key.connection.send(error)


def _record_nothing(kind: str, /, **values: object) -> None:
    pass


def _request_mark(content: msgspec.Raw) -> RequestMark:
    try:
        return msgspec.json.decode(content, type=RequestMark)
    except msgspec.MsgspecError:
        return RequestMark()
