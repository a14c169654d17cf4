"""The requests that gateways wait for. Each is answered once; the recording gets its arrival and its end."""

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
MAX_REPORTED_CONCURRENT = (
    30  # the highest number of concurrent requests in a response; more are reported as this number
)


# Writes a line of the recording. Its arguments are the kind of the line, and the values under the keys of
# docs/protocol.md.
Recorder = Callable[..., None]


class RequestEnd(StrEnum):
    """How a request ended that the worker did not reject. The values are written to the recording."""

    ANSWERED = "ok"
    CANCELLED = "cancelled"
    DISCONNECTED = "dropped"  # its connection was closed


class RequestKey(NamedTuple):
    """A request's id, and the connection within which the id is unique."""

    connection: LineConnection
    ident: jsonrpc.Ident


class RequestMark(msgspec.Struct):
    """Fields that a test run adds to the input of its requests, to identify them in the recording."""

    mark: str = ""
    work_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """A request that is not answered yet. `number` identifies it in the recording."""

    run_request: worker_messages.RunRequest
    mark: str
    number: int


class OpenRequests:
    """All requests that are not answered yet, by key. Its methods are called under the schedule's lock."""

    def __init__(
        self, schedule: Schedule, load_report: Callable[[], dict[str, float]], start_id: int, record: Recorder | None
    ) -> None:
        """`record` writes the recording, if there is one; `start_id` identifies this start of the worker."""
        self.schedule = schedule
        self.load_report = load_report
        self.start_id = start_id
        self.is_recording = record is not None
        self.record = record or _record_nothing
        self.by_key: dict[RequestKey, OpenRequest] = {}
        self.last_number = 0

    def __contains__(self, key: RequestKey) -> bool:
        return key in self.by_key

    def add(self, key: RequestKey, run_request: worker_messages.RunRequest) -> None:
        """Adds a request that arrived."""
        self.last_number += 1
        mark = _request_mark(run_request.input) if self.is_recording else RequestMark()
        self.record(
            "run",
            mark=mark.mark,
            gateway=key.connection.peer,
            program=run_request.function,
            work=mark.work_ms,
            token=run_request.idempotency_key,
            start=self.start_id,
            job=self.last_number,
        )
        self.by_key[key] = OpenRequest(run_request, mark.mark, self.last_number)

    def input(self, request: Request) -> msgspec.Raw:
        """The input of the function, as JSON."""
        return self.by_key[request_key(request)].run_request.input

    def of_connection(self, connection: LineConnection) -> list[RequestKey]:
        """The requests that arrived on a connection."""
        return [key for key in self.by_key if key.connection is connection]

    def withdraw(self, key: RequestKey, end: RequestEnd) -> None:
        """Removes a request whose gateway no longer waits for the answer."""
        request = self.by_key.pop(key, None)
        if request is None:
            return
        if end == RequestEnd.CANCELLED:
            self.record("cancel", mark=request.mark, gateway=key.connection.peer, job=request.number)
        self._record_end(key, request, end)

    def answer(self, request: Request, output: msgspec.Raw) -> None:
        """Sends the function's result."""
        key = request_key(request)
        self._record_end(key, self.by_key.pop(key), RequestEnd.ANSWERED)
        concurrent_requests = min(MAX_REPORTED_CONCURRENT, request.concurrent_requests)
        result = worker_messages.RunResult(output, request.load_note, concurrent_requests, self.load_report())
        key.connection.send(jsonrpc.result_response(key.ident, jsonrpc.encode(result)))

    def fail(self, request: Request, message: str) -> None:
        """Sends the function's error. The recording counts the request as answered, since the function ran."""
        self._send_error(request, Rejection.FAILED, message, RequestEnd.ANSWERED)

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Sends the error for a request that the worker rejected."""
        self._send_error(request, rejection, ERROR_MESSAGES[rejection], rejection)

    def _send_error(
        self, request: Request, rejection: Rejection, message: str, recorded_end: RequestEnd | Rejection
    ) -> None:
        key = request_key(request)
        open_request = self.by_key.pop(key, None)
        if open_request is None:
            return
        self._record_end(key, open_request, recorded_end)
        data = worker_messages.RunErrorData(
            min(MAX_REPORTED_CONCURRENT, request.concurrent_requests),
            self.load_report(),
            self.schedule.draining,
            request.requests_in_replica,
        )
        error = jsonrpc.error_response(key.ident, ERROR_CODES[rejection], message, jsonrpc.encode(data))
        key.connection.send(error)

    def _record_end(self, key: RequestKey, request: OpenRequest, end: RequestEnd | Rejection) -> None:
        self.record("end", mark=request.mark, gateway=key.connection.peer, how=end, job=request.number)


def request_key(request: Request | PrewarmRequest) -> RequestKey:
    """The key under which GatewayServer added a request to the schedule."""
    return cast(RequestKey, request.key)


def answer_prewarm(prewarm: PrewarmRequest, ready_count: int) -> None:
    """Answers that `ready_count` replicas are ready."""
    key = request_key(prewarm)
    body = jsonrpc.encode(worker_messages.PrewarmResult(ready_count))
    key.connection.send(jsonrpc.result_response(key.ident, body))


def reject_prewarm(prewarm: PrewarmRequest, rejection: Rejection, ready_count: int) -> None:
    """Answers with an error; `ready_count` replicas are ready."""
    key = request_key(prewarm)
    body = jsonrpc.encode(worker_messages.PrewarmResult(ready_count))
    error = jsonrpc.error_response(key.ident, PREWARM_ERROR_CODES[rejection], ERROR_MESSAGES[rejection], body)
    key.connection.send(error)


def _record_nothing(kind: str, /, **values: object) -> None:
    pass


def _request_mark(input_json: msgspec.Raw) -> RequestMark:
    try:
        return msgspec.json.decode(input_json, type=RequestMark)
    except msgspec.MsgspecError:
        return RequestMark()
