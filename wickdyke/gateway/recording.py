"""Records the router's inputs and decisions, and replays them without sockets or a clock.

The router is deterministic: the same inputs give the same decisions. `replay` checks this for a recording and reports
the first decision that differs.
"""

import contextlib
import errno
import queue
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from typing import Any, NamedTuple, cast

import msgspec

from wickdyke.gateway.recording_words import upgrade_entry
from wickdyke.routing.decisions import (
    Cancel,
    Decision,
    Fail,
    FollowEndpoints,
    Forward,
    HealthCheck,
    LogNote,
    Prewarm,
    Reject,
)
from wickdyke.routing.inputs import AttemptFinished, RequestReceived, WorkerLoad
from wickdyke.routing.model import Endpoint, LoadNote, Outcome, RequestClass, RoutePolicy
from wickdyke.routing.router import Router
from wickdyke.routing.settings import RouterSettings

MAX_QUEUED_ENTRIES = 200000  # a recording that is written too slowly is ended when the queue is full
TEMPORARY_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # errors of open() that may not occur at a later start
CLOSE_TIMEOUT = 5.0  # s


def decision_entry(decision: Decision) -> list[Any]:  # noqa: PLR0911 - one return for each type of decision
    """Returns the stored form of a decision: the name of its kind, and identifiers in place of objects."""
    match decision:
        case Forward(request, worker, timeout):
            return ["forward", request.ident, worker.endpoint.ident, timeout]
        case Cancel(attempt):
            return ["cancel", attempt.request.ident, attempt.number]
        case Reject(request, retry_after):
            return ["reject", request.ident, retry_after]
        case Fail(request):
            return ["fail", request.ident]
        case Prewarm(worker, function, replicas):
            return ["prewarm", worker.endpoint.ident, function.name, replicas]
        case HealthCheck(worker):
            return ["health_check", worker.endpoint.ident]
        case FollowEndpoints(enabled):
            return ["follow_endpoints", enabled]
        case LogNote(text):
            return ["note", text]


def _input_arguments(args: tuple[object, ...]) -> object:
    """Returns the stored form of an input's arguments; an input record is stored as its fields."""
    if len(args) == 1 and isinstance(args[0], RequestReceived | AttemptFinished):
        args = args[0]
    return _to_builtins(args)


def _to_builtins(value: object) -> object:
    match value:
        case RequestClass():
            return value.name
        case Endpoint() | RoutePolicy():
            return asdict(value)
        case WorkerLoad():
            return list(value.reported)
        case list() | tuple():
            return [_to_builtins(item) for item in value]
    return value


class DecisionRecorder:
    """Writes the recording in a thread of its own.

    A recording that can't be written, or not as fast as entries are added, is ended: `has_ended` is set, an error is
    logged once, and the part on disk can be replayed. The caller is never blocked and gets no error.
    """

    def __init__(self, path: str, log: Any = None) -> None:
        """Opens the file and starts the thread. After a temporary error nothing is recorded; others raise OSError."""
        self.path = path
        self.log = log
        self.entries: queue.Queue[tuple[Any, ...] | None] = queue.Queue(MAX_QUEUED_ENTRIES)
        self.has_ended = False
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self._write, name="recording", daemon=True)
        try:
            self.sink = open(path, "wb")  # noqa: SIM115 - closed by the thread
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                raise
            self._end(error.strerror or str(error))
        else:
            self.thread.start()

    def start(self, now: float, seed: int, request_classes: list[RequestClass], settings: RouterSettings) -> None:
        """Records the parameters that the router is created with."""
        classes = [asdict(request_class) for request_class in request_classes]
        for fields in classes:
            fields.pop("durations", None)  # state of the router, not a setting
        self._enqueue(("start", now, seed, classes, asdict(settings)))

    def record_input(self, now: float, name: str, args: tuple[object, ...]) -> None:
        """Records one input: the name of the router's method that takes the input, and its arguments."""
        self._enqueue(("heard", now, name, _input_arguments(args)))

    def record_decision(self, decision: Decision) -> None:
        """Records one decision."""
        self._enqueue(("decided", decision_entry(decision)))

    def close(self) -> None:
        """Writes the queued entries and stops the thread, within CLOSE_TIMEOUT s."""
        if not self.thread.is_alive():
            return
        deadline = time.monotonic() + CLOSE_TIMEOUT
        with contextlib.suppress(queue.Full):  # a write blocks: the thread runs until the process exits
            self.entries.put(None, timeout=CLOSE_TIMEOUT)
        self.thread.join(max(0.0, deadline - time.monotonic()))

    def _enqueue(self, entry: tuple[Any, ...]) -> None:
        if self.has_ended:
            return
        try:
            self.entries.put_nowait(entry)
        except queue.Full:
            self._end(f"{MAX_QUEUED_ENTRIES} entries wait to be written")

    def _end(self, reason: str) -> None:
        """Ends the recording, and logs the reason of the first call."""
        with self.lock:
            is_first = not self.has_ended
            self.has_ended = True
        if is_first and self.log is not None:
            self.log.error("recording ended", path=self.path, reason=reason)

    def _write(self) -> None:
        encoder = msgspec.json.Encoder()
        try:
            with self.sink as sink:
                while (entry := self.entries.get()) is not None:
                    sink.write(encoder.encode(entry) + b"\n")
                if self.has_ended:
                    sink.write(encoder.encode(("broken off",)) + b"\n")
        # Any error, also a value that can't be encoded, ends the recording and not the gateway.
        except Exception as error:  # noqa: BLE001 - see above
            self._end(getattr(error, "strerror", None) or f"{type(error).__name__}: {error}")
            with contextlib.suppress(queue.Empty):
                while True:  # frees the entries, which will never be written
                    self.entries.get_nowait()


def entries(lines: Iterable[bytes]) -> Iterator[list[Any]]:
    """Yields a recording's entries, up to the one that marks it as incomplete or to a line that is cut off."""
    for line in lines:
        if not line.endswith(b"\n"):
            return
        entry = msgspec.json.decode(line)
        if entry[0] == "broken off":
            return
        yield entry


class ReplayResult(NamedTuple):
    """The number of decisions that matched the recorded ones, and the first difference, if there is one."""

    matched: int
    difference: str | None


def replay(lines: Iterable[bytes]) -> ReplayResult:
    """Passes a recording's inputs to a new router, and compares its decisions with the recorded ones."""
    source = entries(lines)
    start = next(source, None)
    if not start or start[0] != "start":
        return ReplayResult(0, 'expected a "start" entry as the first entry of the recording')
    replayer = _Replayer(*upgrade_entry(start)[1:])
    for entry in map(upgrade_entry, source):
        if entry[0] == "decided":
            replayer.expect(entry[1])
            continue
        difference = replayer.compare()
        if difference is not None:
            return ReplayResult(replayer.matched, difference)
        replayer.apply(*entry[1:])
    # The decisions on the last input are counted but not compared: the recording may lack some of them.
    return ReplayResult(replayer.matched + len(replayer.expected or ()), None)


class _Replayer:
    """A router created with the recorded parameters, and the comparison of its decisions.

    `expected` holds the decisions recorded after the last `decide`, until they are compared.
    """

    def __init__(self, now: float, seed: int, request_classes: list[dict[str, Any]], settings: dict[str, Any]) -> None:
        classes = [msgspec.convert(fields, RequestClass, strict=False) for fields in request_classes]
        self.request_classes = {request_class.name: request_class for request_class in classes}
        self.router = Router(now, seed, classes, msgspec.convert(settings, RouterSettings))
        self.now = now
        self.matched = 0
        self.actual: list[list[Any]] = []
        self.expected: list[list[Any]] | None = None

    def apply(self, now: float, name: str, args: list[Any]) -> None:
        """Passes one input to the router, or takes its decisions."""
        self.now = now
        self.router.advance(now)
        if name == "decide":
            self.actual = list(self._decisions())
            self.expected = []
        else:
            getattr(self.router, name)(*self._arguments(name, args))

    def _decisions(self) -> Iterator[list[Any]]:
        while (decision := self.router.decide()) is not None:
            yield decision_entry(decision)

    def _arguments(self, name: str, args: list[Any]) -> list[Any]:
        match name, args:
            case "endpoints_changed", [endpoints, whole]:
                return [[Endpoint(**fields) for fields in endpoints], whole]
            case "request_received", values:
                received = RequestReceived(*values)
                policy = received.policy and msgspec.convert(received.policy, RoutePolicy)
                return [received._replace(request_class=self.request_classes[values[2]], policy=policy)]
            case "attempt_finished", [ident, number, outcome, final, load_note, concurrent, report]:
                note = cast(LoadNote | None, load_note)  # unknown load notes of workers are passed on unchanged
                load = self._worker_load(report)
                return [AttemptFinished(ident, number, Outcome(outcome), final, note, concurrent, load)]
            case "health_checked", [ident, outcome, report, *same_process_since]:
                return [ident, Outcome(outcome), self._worker_load(report), *same_process_since]
        return args

    def _worker_load(self, values: list[float] | None) -> WorkerLoad | None:
        return WorkerLoad.from_values(self.router.instance.report_fields, values)

    def expect(self, decision: list[Any]) -> None:
        """Adds a decision that was recorded after the last `decide`."""
        assert self.expected is not None, "a decision was recorded after an input other than decide"
        self.expected.append(decision)

    def compare(self) -> str | None:
        """Returns the difference between the last decisions and the recorded ones, None where there is none."""
        expected = self.expected
        self.expected = None
        if expected is None:
            return None
        if msgspec.json.encode(self.actual) != msgspec.json.encode(expected):
            return f"at {self.now} ms: decided {self.actual}, recorded {expected}"
        self.matched += len(expected)
        return None
