"""Converts the lines of a trace to typed events. This module alone knows the kinds of lines and their keys.

docs/protocol.md documents the kinds. Lines that no rule needs are skipped.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

Entry = Mapping[str, Any]  # one line of a trace, decoded from JSON

KIND_KEY = "what"
SETTINGS_KIND = "terms"  # the line that states the run's settings


class RequestResult(Enum):
    """The kinds of final answers that a client receives."""

    OK = "ok"
    REJECTED = "denied"  # it had no effect
    FAILED = "aborted"  # it may or may not have had an effect
    INVALID = "malformed"  # not a final answer of the protocol


class AttemptResult(Enum):
    """How an attempt ended."""

    NEVER_RAN = auto()
    ANSWER_LOST = auto()  # the worker finished it, but the gateway received no answer
    MAY_HAVE_RUN = auto()


ATTEMPT_RESULTS = {
    "full": AttemptResult.NEVER_RAN,
    "miss": AttemptResult.NEVER_RAN,
    "lost": AttemptResult.ANSWER_LOST,
}  # by the value in the trace; every other value means MAY_HAVE_RUN


@dataclass(slots=True, frozen=True)
class TraceEvent:
    """A line of the trace: its time (ms, monotonic), its writer and its number among the writer's lines."""

    time_ms: float
    writer: str
    line: int


@dataclass(slots=True, frozen=True)
class RequestSent(TraceEvent):
    """A client sent a request whose deadline is `time_left_ms` later."""

    mark: str
    method: str
    gateway: str
    time_left_ms: float


@dataclass(slots=True, frozen=True)
class RequestAnswered(TraceEvent):
    """A client received a final answer; `raw_result` is its result as written in the trace."""

    mark: str
    result: RequestResult
    raw_result: str


@dataclass(slots=True, frozen=True)
class RequestLost(TraceEvent):
    """A client's connection closed before the answer arrived."""

    mark: str


@dataclass(slots=True, frozen=True)
class AttemptReceived(TraceEvent):
    """A worker received an attempt; `number` distinguishes the attempts of one request at that worker."""

    mark: str
    number: int | None
    gateway: str
    work_ms: float


@dataclass(slots=True, frozen=True)
class AttemptEnded(TraceEvent):
    """A worker ended an attempt."""

    mark: str
    number: int | None
    result: AttemptResult


@dataclass(slots=True, frozen=True)
class AttemptCancelled(TraceEvent):
    """A worker received the cancellation of an attempt."""

    mark: str
    number: int | None


@dataclass(slots=True, frozen=True)
class PrewarmReceived(TraceEvent):
    """A worker received a prewarm request for `replicas` replicas; 0 only queries how many are loaded."""

    gateway: str
    replicas: int


@dataclass(slots=True, frozen=True)
class WorkerStarted(TraceEvent):
    """A worker started; `warming_up` tells whether it has a slow start."""

    warming_up: bool


@dataclass(slots=True, frozen=True)
class WorkerKilled(TraceEvent):
    """A worker was killed."""

    worker: str


@dataclass(slots=True, frozen=True)
class WorkerCrashed(TraceEvent):
    """A worker in slow start received more work than its limit, and crashed."""

    worker: str


@dataclass(slots=True, frozen=True)
class EndpointPublished(TraceEvent):
    """The endpoint list published the state of a worker; one that is not ready is draining or removed."""

    worker: str
    ready: bool


@dataclass(slots=True, frozen=True)
class GatewayStarted(TraceEvent):
    """A gateway started, without knowledge of earlier events."""

    gateway: str


@dataclass(slots=True, frozen=True)
class GatewayKilled(TraceEvent):
    """A gateway was killed."""

    gateway: str


def _event_fields(entry: Entry) -> tuple[float, str, int]:
    return entry["t"], entry["by"], entry["n"]


def _attempt_fields(entry: Entry) -> tuple[str, int | None]:
    return entry["mark"], entry.get("job")


def _request_answered(entry: Entry) -> RequestAnswered:
    raw_result = entry["answer"]
    known_results = {result.value for result in RequestResult}
    result = RequestResult(raw_result) if raw_result in known_results else RequestResult.INVALID
    return RequestAnswered(*_event_fields(entry), entry["mark"], result, raw_result)


def _attempt_ended(entry: Entry) -> AttemptEnded:
    result = ATTEMPT_RESULTS.get(entry["how"], AttemptResult.MAY_HAVE_RUN)
    return AttemptEnded(*_event_fields(entry), *_attempt_fields(entry), result)


def _worker_name(entry: Entry) -> str:
    return str(entry.get("worker", entry["by"]))


PARSERS: dict[str, Callable[[Entry], TraceEvent]] = {
    "asked": lambda entry: RequestSent(
        *_event_fields(entry), entry["mark"], entry["method"], entry["gateway"], entry["left"]
    ),
    "answered": _request_answered,
    "lost": lambda entry: RequestLost(*_event_fields(entry), entry["mark"]),
    "run": lambda entry: AttemptReceived(
        *_event_fields(entry), *_attempt_fields(entry), entry["gateway"], entry["work"]
    ),
    "end": _attempt_ended,
    "cancel": lambda entry: AttemptCancelled(*_event_fields(entry), *_attempt_fields(entry)),
    "hold": lambda entry: PrewarmReceived(*_event_fields(entry), entry["gateway"], entry["copies"]),
    "started": lambda entry: WorkerStarted(*_event_fields(entry), bool(entry.get("cold"))),
    "worker-killed": lambda entry: WorkerKilled(*_event_fields(entry), _worker_name(entry)),
    "fell": lambda entry: WorkerCrashed(*_event_fields(entry), _worker_name(entry)),
    "told": lambda entry: EndpointPublished(*_event_fields(entry), entry["worker"], entry["state"] == "ready"),
    "gateway-started": lambda entry: GatewayStarted(*_event_fields(entry), entry["gateway"]),
    "gateway-killed": lambda entry: GatewayKilled(*_event_fields(entry), entry["gateway"]),
}


def parse_events(entries: Iterable[Entry]) -> Iterator[TraceEvent]:
    """Returns the events of the lines that rules need; raises KeyError where such a line lacks a key."""
    for entry in entries:
        parser = PARSERS.get(entry[KIND_KEY])
        if parser is not None:
            yield parser(entry)
