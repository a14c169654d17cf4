"""A recording of what the module was told and what it decided; played again without sockets or clock.

The same events give the same decisions: `replay` proves it for a recording, and finds the first that differs.
"""

import contextlib
import errno
import queue
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict

import msgspec

from wickdyke.routing.model import Endpoint, RequestClass, RoutePolicy
from wickdyke.routing.settings import (
    AttemptLimits,
    CostWeights,
    Discovery,
    FunctionCache,
    GatewayInstance,
    PrewarmQuota,
    TenantQuotas,
)
from wickdyke.routing.settings import SlowStart
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
from wickdyke.routing.router import Router

WAITING = 200000  # entries; a recording that can't be written as fast stops, and says so at its end
TEMPORARY = (errno.ENOSPC, errno.EDQUOT, errno.EIO)  # of a folder that may work again later
CLOSING = 5.0  # s that the end of a recording may take
PARTS = {
    "instance": GatewayInstance,
    "attempt_limits": AttemptLimits,
    "function_cache": FunctionCache,
    "slow_start": SlowStart,
    "prewarm_quota": PrewarmQuota,
    "discovery": Discovery,
    "cost_weights": CostWeights,
    "tenant_quotas": TenantQuotas,
}


def decided(decision: Decision) -> list:
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

    One that can't be written, or not as fast as entries come, is ended: `broken` is set, the log is told once, and
    what is on disk can be replayed up to there. Whoever records is never held up and gets no error.
    """

    def __init__(self, path: str, log=None) -> None:
        """Raises OSError where the file can never be opened; where that only fails for now, nothing is recorded."""
        self.path, self.log = path, log
        self.entries: queue.Queue = queue.Queue(WAITING)
        self.broken = False
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self._write, name="tape", daemon=True)
        try:
            self.sink = open(path, "wb")  # noqa: SIM115 - closed by the thread
        except OSError as bad:
            if bad.errno not in TEMPORARY:
                raise
            self._end(bad.strerror)
        else:
            self.thread.start()

    def start(self, now: float, seed: int, methods: list[RequestClass], parts: dict) -> None:
        """What the front end was made with."""
        named = [{k: v for k, v in asdict(method).items() if k != "durations"} for method in methods]
        self._put(("start", now, seed, named, {name: asdict(part) for name, part in parts.items()}))

    def heard(self, now: float, name: str, args: tuple) -> None:
        """One input."""
        self._put(("heard", now, name, _plain(args)))

    def decided(self, decision: tuple) -> None:
        """One decision."""
        self._put(("decided", decided(decision)))

    def close(self) -> None:
        """Writes what waits and ends, within CLOSING s."""
        if not self.thread.is_alive():
            return
        ends = time.monotonic() + CLOSING
        with contextlib.suppress(queue.Full):  # the file takes nothing: its thread is left to the process's end
            self.entries.put(None, timeout=CLOSING)
        self.thread.join(max(0.0, ends - time.monotonic()))

    def _put(self, entry: tuple) -> None:
        if self.broken:
            return
        try:
            self.entries.put_nowait(entry)
        except queue.Full:
            self._end(f"{WAITING} entries wait to be written")

    def _end(self, why: str) -> None:
        """Nothing more is recorded; the log is told the first time."""
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
        except Exception as bad:  # also a value that can't be encoded: the recording is over, the gateway is not
            self._end(getattr(bad, "strerror", None) or f"{type(bad).__name__}: {bad}")
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


def replay(lines: Iterable[bytes]) -> tuple[int, str | None]:
    """(decisions that came out alike, the first difference or None)."""
    source = entries(lines)
    first = next(source, None)
    if not first or first[0] != "start":
        return 0, "found no start, expected it as the first entry"
    _, now, seed, methods, parts = modern(first)
    known = [msgspec.convert(method, RequestClass, strict=False) for method in methods]
    named = {method.name: method for method in known}
    router = Router(
        now, seed, known, **{name: msgspec.convert(parts[name], kind) for name, kind in PARTS.items() if name in parts}
    )
    alike, said = 0, []

    def check(want: list) -> str | None:
        nonlocal said
        got, said = list(said), []
        return (
            None
            if msgspec.json.encode(got) == msgspec.json.encode(want)
            else (f"at {now} ms: decided {got}, recorded {want}")
        )

    want: list | None = None
    for entry in map(modern, source):
        if entry[0] == "decided":
            want.append(entry[1])
            continue
        if want is not None:
            if (differs := check(want)) is not None:
                return alike, differs
            alike += len(want)
            want = None
        _, now, name, args = entry
        router.advance(now)
        if name == "decide":
            said, want = [decided(decision) for decision in iter(router.decide, None)], []
            continue
        if name == "endpoints_changed":
            args = [[Endpoint(**row) for row in args[0]], args[1]]
        elif name == "request_received":
            args[2] = named[args[2]]
            if args[-1] is not None:
                args[-1] = msgspec.convert(args[-1], RoutePolicy)
        elif name in ("attempt_finished", "health_checked") and args[-1] is not None:
            args[-1] = tuple(args[-1])
        getattr(router, name)(*args)
    # decisions after the last input may have been cut off with the recording
    return alike + len(want or ()), None
