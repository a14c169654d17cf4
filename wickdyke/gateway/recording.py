"""A recording of what the router was told and what it decided; replayed without sockets or clock.

The same events give the same decisions: `replay` proves it for a recording, and finds the first that differs.
"""

import contextlib
import errno
import queue
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from typing import NamedTuple

import msgspec

from wickdyke.gateway.recording_words import modern
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
from wickdyke.routing.model import Endpoint, RequestClass, RoutePolicy
from wickdyke.routing.router import Router
from wickdyke.routing.settings import (
    AttemptLimits,
    CostWeights,
    Discovery,
    FunctionCache,
    GatewayInstance,
    PrewarmQuota,
    SlowStart,
    TenantQuotas,
)

QUEUED_MOST = 200000  # entries; a recording that can't be written as fast stops, and says so at its end
TEMPORARY = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # of a folder that may work again later
CLOSE_TIMEOUT = 5.0  # s that the end of a recording may take
SETTINGS = {
    "instance": GatewayInstance,
    "attempt_limits": AttemptLimits,
    "function_cache": FunctionCache,
    "slow_start": SlowStart,
    "prewarm_quota": PrewarmQuota,
    "discovery": Discovery,
    "cost_weights": CostWeights,
    "tenant_quotas": TenantQuotas,
}


def as_entry(decision: Decision) -> list:
    """A decision by the identifiers of what it is about."""
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


def _plain(value: object) -> object:
    if isinstance(value, RequestClass):
        return value.name
    if isinstance(value, Endpoint | RoutePolicy):
        return asdict(value)
    if isinstance(value, (list, tuple)):
        return [_plain(each) for each in value]
    return value


class DecisionRecorder:
    """Writes the recording, by a thread of its own.

    One that can't be written, or not as fast as entries come, is ended: `broken` is set, an error is logged once, and
    what is on disk can be replayed up to there. Whoever records is never held up and gets no error.
    """

    def __init__(self, path: str, log=None) -> None:
        """Raises OSError where the file can never be opened; where that only fails for now, nothing is recorded."""
        self.path, self.log = path, log
        self.entries: queue.Queue = queue.Queue(QUEUED_MOST)
        self.broken = False
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self._write, name="recording", daemon=True)
        try:
            self.sink = open(path, "wb")  # noqa: SIM115 - closed by the thread
        except OSError as error:
            if error.errno not in TEMPORARY:
                raise
            self._end(error.strerror)
        else:
            self.thread.start()

    def start(self, now: float, seed: int, request_classes: list[RequestClass], settings: dict) -> None:
        """Records what the router is made with."""
        classes = [asdict(each) for each in request_classes]
        for fields in classes:
            fields.pop("durations", None)  # the router's own
        records = {name: asdict(record) for name, record in settings.items()}
        self._put(("start", now, seed, classes, records))

    def heard(self, now: float, name: str, args: tuple) -> None:
        """Records one input."""
        self._put(("heard", now, name, _plain(args)))

    def decided(self, decision: Decision) -> None:
        """Records one decision."""
        self._put(("decided", as_entry(decision)))

    def close(self) -> None:
        """Writes what waits and ends, within CLOSE_TIMEOUT s."""
        if not self.thread.is_alive():
            return
        ends = time.monotonic() + CLOSE_TIMEOUT
        with contextlib.suppress(queue.Full):  # the file takes nothing: its thread is left to the process's end
            self.entries.put(None, timeout=CLOSE_TIMEOUT)
        self.thread.join(max(0.0, ends - time.monotonic()))

    def _put(self, entry: tuple) -> None:
        if self.broken:
            return
        try:
            self.entries.put_nowait(entry)
        except queue.Full:
            self._end(f"{QUEUED_MOST} entries wait to be written")

    def _end(self, why: str) -> None:
        """Ends the recording; the reason is logged the first time."""
        with self.lock:
            first, self.broken = not self.broken, True
        if first and self.log is not None:
            self.log.error("recording ended", path=self.path, why=why)

    def _write(self) -> None:
        encoder = msgspec.json.Encoder()
        try:
            with self.sink as sink:
                while (entry := self.entries.get()) is not None:
                    sink.write(encoder.encode(entry) + b"\n")
                if self.broken:
                    sink.write(encoder.encode(("broken off",)) + b"\n")
        except Exception as error:  # also a value that can't be encoded: the recording is over, the gateway is not
            self._end(getattr(error, "strerror", None) or f"{type(error).__name__}: {error}")
            with contextlib.suppress(queue.Empty):
                while True:  # entries that will never be written need not be held
                    self.entries.get_nowait()


def entries(lines: Iterable[bytes]) -> Iterator[list]:
    """The entries of a recording, up to where it was broken off or a writer was killed in the middle of a line."""
    for line in lines:
        if not line.endswith(b"\n"):
            return
        entry = msgspec.json.decode(line)
        if entry[0] == "broken off":
            return
        yield entry


class ReplayResult(NamedTuple):
    """How many decisions came out as recorded, and the first difference, if there is one."""

    same: int
    difference: str | None


def replay(lines: Iterable[bytes]) -> ReplayResult:
    """Gives a recording's inputs to a new router, and compares what that decides with what was recorded."""
    source = entries(lines)
    start = next(source, None)
    if not start or start[0] != "start":
        return ReplayResult(0, "found no start, expected it as the first entry")
    player = _Player(*modern(start)[1:])
    for entry in map(modern, source):
        if entry[0] == "decided":
            player.expected.append(entry[1])
            continue
        difference = player.compare()
        if difference is not None:
            return ReplayResult(player.same, difference)
        player.hear(*entry[1:])
    # Decisions after the last input may have been cut off with the recording.
    return ReplayResult(player.same + len(player.expected or ()), None)


class _Player:
    """A router made as the recorded one was. `expected` is what was recorded of the last `decide`, if not compared."""

    def __init__(self, now: float, seed: int, request_classes: list[dict], settings: dict[str, dict]) -> None:
        known = [msgspec.convert(each, RequestClass, strict=False) for each in request_classes]
        self.request_classes = {each.name: each for each in known}
        records = {name: msgspec.convert(settings[name], kind) for name, kind in SETTINGS.items() if name in settings}
        self.router = Router(now, seed, known, **records)
        self.now, self.same = now, 0
        self.decided: list[list] = []
        self.expected: list[list] | None = None

    def hear(self, now: float, name: str, args: list) -> None:
        """Gives the router one input, or takes its decisions."""
        self.now = now
        self.router.advance(now)
        if name == "decide":
            self.decided, self.expected = [as_entry(decision) for decision in iter(self.router.decide, None)], []
        else:
            getattr(self.router, name)(*self._arguments(name, args))

    def _arguments(self, name: str, args: list) -> list:
        if name == "endpoints_changed":
            return [[Endpoint(**fields) for fields in args[0]], args[1]]
        if name == "request_received":
            ident, time_left, request_class, *rest, route_policy = args
            if route_policy is not None:
                route_policy = msgspec.convert(route_policy, RoutePolicy)
            return [ident, time_left, self.request_classes[request_class], *rest, route_policy]
        if name in ("attempt_finished", "health_checked") and args[-1] is not None:
            return [*args[:-1], tuple(args[-1])]
        return args

    def compare(self) -> str | None:
        """The difference between what was decided last and what was recorded of it, if there is one."""
        expected, self.expected = self.expected, None
        if expected is None:
            return None
        if msgspec.json.encode(self.decided) != msgspec.json.encode(expected):
            return f"at {self.now} ms: decided {self.decided}, recorded {expected}"
        self.same += len(expected)
        return None
