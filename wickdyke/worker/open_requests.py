"""The requests that gateways wait for: each is answered once, and its begin and end are recorded."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

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
PEERS_MOST = 30  # reported at most

Recorder = Callable[..., None]  # the kind of line, and its values


class RequestKey(NamedTuple):
    """A request's number, and the connection that it is unique in."""

    connection: LineConnection
    ident: jsonrpc.Ident


class RequestMark(msgspec.Struct):
    """What a test run puts into the input of its requests, to find them in the recording."""

    mark: str = ""
    work_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class OpenRequest:
    """A request that is not answered yet. `job` is its number in the recording."""

    run: worker_messages.RunRequest
    mark: str
    job: int


class OpenRequests:
    """All requests that are not answered yet, by key. Its methods are called under the schedule's lock."""

    def __init__(
        self, schedule: Schedule, load_report: Callable[[], dict[str, float]], start: int, record: Recorder | None
    ) -> None:
        """`record` takes the recording's lines, if there is one; `start` is this start of the worker."""
        self.schedule, self.load_report, self.start = schedule, load_report, start
        self.recording, self.record = record is not None, record or _record_nothing
        self.open: dict[RequestKey, OpenRequest] = {}
        self.last_job = 0

    def __contains__(self, key: RequestKey) -> bool:
        return key in self.open

    def add(self, key: RequestKey, run: worker_messages.RunRequest) -> None:
        """A request came."""
        self.last_job += 1
        mark = _request_mark(run.input) if self.recording else RequestMark()
        self.record(
            "run",
            mark=mark.mark,
            gateway=key.connection.who,
            program=run.function,
            work=mark.work_ms,
            token=run.idempotency_key,
            start=self.start,
            job=self.last_job,
        )
        self.open[key] = OpenRequest(run, mark.mark, self.last_job)

    def input(self, key: RequestKey) -> msgspec.Raw:
        """What the function is to be called with."""
        return self.open[key].run.input

    def of_connection(self, connection: LineConnection) -> list[RequestKey]:
        """The requests that came on a connection."""
        return [key for key in self.open if key.connection is connection]

    def withdraw(self, key: RequestKey, cause: str) -> None:
        """The gateway waits no longer: `cause` is cancelled, or dropped where its connection ended."""
        held = self.open.pop(key, None)
        if held is None:
            return
        if cause == "cancelled":
            self.record("cancel", mark=held.mark, gateway=key.connection.who, job=held.job)
        self._record_end(key, held, cause)

    def answer(self, request: Request, output: msgspec.Raw) -> None:
        """The function's result."""
        held = self.open.pop(request.key)
        self._record_end(request.key, held, "ok")
        ran = worker_messages.RunResult(output, request.load_note, min(PEERS_MOST, request.peers), self.load_report())
        request.key.connection.say(jsonrpc.result_response(request.key.ident, jsonrpc.encode(ran)))

    def fail(self, request: Request, message: str) -> None:
        """The function's error. In the recording it ended well: the function did run."""
        self._send_error(request, Rejection.FAILED, message, "ok")

    def reject(self, request: Request, rejection: Rejection) -> None:
        """An error of this worker."""
        self._send_error(request, rejection, ERROR_MESSAGES[rejection], rejection)

    def _send_error(self, request: Request, rejection: Rejection, message: str, recorded: str) -> None:
        held = self.open.pop(request.key, None)
        if held is None:
            return
        self._record_end(request.key, held, recorded)
        peers = min(PEERS_MOST, request.peers)
        data = worker_messages.RunErrorData(peers, self.load_report(), self.schedule.draining, request.lost_together)
        problem = jsonrpc.error_response(request.key.ident, ERROR_CODES[rejection], message, jsonrpc.encode(data))
        request.key.connection.say(problem)

    def _record_end(self, key: RequestKey, held: OpenRequest, how: str) -> None:
        self.record("end", mark=held.mark, gateway=key.connection.who, how=how, job=held.job)


def answer_prewarm(prewarm: PrewarmRequest, ready: int) -> None:
    """Answers that so many replicas are ready."""
    key = prewarm.key
    key.connection.say(jsonrpc.result_response(key.ident, jsonrpc.encode(worker_messages.PrewarmResult(ready))))


def reject_prewarm(prewarm: PrewarmRequest, rejection: Rejection, ready: int) -> None:
    """Answers with an error; so many replicas are ready."""
    key, code, message = prewarm.key, PREWARM_ERROR_CODES[rejection], ERROR_MESSAGES[rejection]
    key.connection.say(
        jsonrpc.error_response(key.ident, code, message, jsonrpc.encode(worker_messages.PrewarmResult(ready)))
    )


def _record_nothing(what: str, **values: object) -> None:
    pass


def _request_mark(content: msgspec.Raw) -> RequestMark:
    try:
        return msgspec.json.decode(content, type=RequestMark)
    except msgspec.MsgspecError:
        return RequestMark()
