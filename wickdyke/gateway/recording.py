"""A recording of the router's inputs and decisions; replayed without sockets or clock.

The same events give the same decisions: `replay` proves it for a recording, and finds the first that differs.
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

MAX_QUEUED_ENTRIES = 200000  # entries; a recording that can't be written as fast is broken off
TEMPORARY_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # of a folder that may work again later
CLOSE_TIMEOUT = 5.0  # s


def decision_entry(decision: Decision) -> list[Any]:  # noqa: PLR0911 - one return for each type of decision
    """A decision as it is stored: its word, and identifiers in place of records."""
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
    """The arguments of an input as they are stored: those of an input record are its fields."""
    if len(args) == 1 and isinstance(args[0], RequestReceived | AttemptFinished):
        args = args[0]
    return _plain(args)


def _plain(value: object) -> object:
    match value:
        case RequestClass():
            return value.name
        case Endpoint() | RoutePolicy():
            return asdict(value)
        case WorkerLoad():
            return list(value.reported)
        case list() | tuple():
            return [_plain(item) for item in value]
    return value


class DecisionRecorder:
    """Writes the recording, by a thread of its own.

    One that can't be written, or not as fast as entries are added, is ended: `broken` is set, an error is logged once,
    and what is on disk can be replayed up to there. The caller is never blocked and gets no error.
    """

    def __init__(self, path: str, log: Any = None) -> None:
        """Raises OSError where the file can never be opened; where that only fails for now, nothing is recorded."""
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
        """Records what the router is made with."""
        classes = [asdict(request_class) for request_class in request_classes]
        for fields in classes:
            fields.pop("durations", None)  # the router's own
        self._put(("start", now, seed, classes, asdict(settings)))

    def record_input(self, now: float, name: str, args: tuple[object, ...]) -> None:
        """Records one input: the router's method that takes it, and its arguments."""
        self._put(("heard", now, name, _input_arguments(args)))

    def record_decision(self, decision: Decision) -> None:
        """Records one decision."""
        self._put(("decided", decision_entry(decision)))

    def close(self) -> None:
        """Writes the queued entries and ends, within CLOSE_TIMEOUT s."""
        if not self.thread.is_alive():
            return
        ends = time.monotonic() + CLOSE_TIMEOUT
        with contextlib.suppress(queue.Full):  # the file takes nothing: its thread is left to the process's end
            self.entries.put(None, timeout=CLOSE_TIMEOUT)
        self.thread.join(max(0.0, ends - time.monotonic()))

    def _put(self, entry: tuple[Any, ...]) -> None:
        if self.has_ended:
            return
        try:
            self.entries.put_nowait(entry)
        except queue.Full:
            self._end(f"{MAX_QUEUED_ENTRIES} entries wait to be written")

    def _end(self, reason: str) -> None:
        """Ends the recording; the reason is logged the first time."""
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
        # Also a value that can't be encoded ends the recording, not the gateway.
        except Exception as error:  # noqa: BLE001 - see above
            self._end(getattr(error, "strerror", None) or f"{type(error).__name__}: {error}")
            with contextlib.suppress(queue.Empty):
                while True:  # entries that will never be written need not be held
                    self.entries.get_nowait()


def entries(lines: Iterable[bytes]) -> Iterator[list[Any]]:
    """The entries of a recording, up to where it was broken off or a writer was killed in the middle of a line."""
    for line in lines:
        if not line.endswith(b"\n"):
            return
        entry = msgspec.json.decode(line)
        if entry[0] == "broken off":
            return
        yield entry


class ReplayResult(NamedTuple):
    """How many decisions were the same as recorded, and the first difference, if there is one."""

    matched: int
    difference: str | None


def replay(lines: Iterable[bytes]) -> ReplayResult:
    """Passes a recording's inputs to a new router, and compares its decisions with those recorded."""
    source = entries(lines)
    start = next(source, None)
    if not start or start[0] != "start":
        return ReplayResult(0, "found no start, expected it as the first entry")
    replayer = _Replayer(*upgrade_entry(start)[1:])
    for entry in map(upgrade_entry, source):
        if entry[0] == "decided":
            replayer.expect(entry[1])
            continue
        difference = replayer.compare()
        if difference is not None:
            return ReplayResult(replayer.matched, difference)
        replayer.apply(*entry[1:])
    # Decisions after the last input may have been cut off with the recording.
    return ReplayResult(replayer.matched + len(replayer.expected or ()), None)


class _Replayer:
    """A router made as the recorded one; `expected` are the decisions recorded of its last `decide`, until compared."""

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
                note = cast(LoadNote | None, load_note)  # a worker's word that is none was passed on as it was
                load = self._worker_load(report)
                return [AttemptFinished(ident, number, Outcome(outcome), final, note, concurrent, load)]
            case "health_checked", [ident, outcome, report, *same_process_since]:
                return [ident, Outcome(outcome), self._worker_load(report), *same_process_since]
        return args

    def _worker_load(self, values: list[float] | None) -> WorkerLoad | None:
        return WorkerLoad.from_values(self.router.instance.report_fields, values)

    def expect(self, decision: list[Any]) -> None:
        """Adds a decision that was recorded after the last `decide`."""
        assert self.expected is not None, "recorded after an input other than decide"
        self.expected.append(decision)

    def compare(self) -> str | None:
        """The difference between the last decisions and those recorded, if there is one."""
        expected = self.expected
        self.expected = None
        if expected is None:
            return None
        if msgspec.json.encode(self.actual) != msgspec.json.encode(expected):
            return f"at {self.now} ms: decided {self.actual}, recorded {expected}"
        self.matched += len(expected)
        return None
