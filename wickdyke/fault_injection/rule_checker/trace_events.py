"""The lines of a trace as typed events. The kinds of lines and their keys are mapped here alone.

docs/protocol.md names the kinds. Lines that no rule needs are passed over.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

Entry = Mapping[str, Any]  # a line of a trace: its JSON object

KIND_KEY = "what"
SETTINGS_KIND = "terms"  # the line that states the run's settings


class RequestResult(Enum):
    """The kinds of final answers that a client receives."""

    OK = "ok"
    REJECTED = "denied"  # without effect
    FAILED = "aborted"  # nothing is promised of its effect
    INVALID = "malformed"  # no final answer of the protocol, whatever its word


class AttemptResult(Enum):
    """How an attempt ended."""

    NEVER_RAN = auto()
    ANSWER_LOST = auto()  # the worker ended it, the gateway has no answer
    MAY_HAVE_RUN = auto()


ATTEMPT_RESULTS = {
    "full": AttemptResult.NEVER_RAN,
    "miss": AttemptResult.NEVER_RAN,
    "lost": AttemptResult.ANSWER_LOST,
}  # by the word of the trace; all other words: MAY_HAVE_RUN


@dataclass(slots=True, frozen=True)
class TraceEvent:
    """A line of the trace: when (ms, monotonic), who wrote it, and its number among the writer's lines."""

    time_ms: float
    writer: str
    line: int


@dataclass(slots=True, frozen=True)
class RequestSent(TraceEvent):
    """A client sent a request, to be answered within `time_left_ms`."""

    mark: str
    method: str
    gateway: str
    time_left_ms: float


@dataclass(slots=True, frozen=True)
class RequestAnswered(TraceEvent):
    """A client received a final answer; `word` is the answer as it was received."""

    mark: str
    result: RequestResult
    word: str


@dataclass(slots=True, frozen=True)
class RequestLost(TraceEvent):
    """A client's connection closed before the answer."""

    mark: str


@dataclass(slots=True, frozen=True)
class AttemptReceived(TraceEvent):
    """A worker received an attempt; `number` distinguishes its attempts of one request."""

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
    """A worker received the cancel of an attempt."""

    mark: str
    number: int | None


@dataclass(slots=True, frozen=True)
class PrewarmReceived(TraceEvent):
    """A worker received an order to have `replicas` loaded; 0 only asks how many are."""

    gateway: str
    replicas: int


@dataclass(slots=True, frozen=True)
class WorkerStarted(TraceEvent):
    """A worker started, with a slow start or without."""

    warming_up: bool


@dataclass(slots=True, frozen=True)
class WorkerKilled(TraceEvent):
    """A worker was killed."""

    worker: str


@dataclass(slots=True, frozen=True)
class WorkerCrashed(TraceEvent):
    """A worker in slow start was sent more than it withstands, and crashed."""

    worker: str


@dataclass(slots=True, frozen=True)
class EndpointPublished(TraceEvent):
    """The endpoint list published whether a worker is ready (else it drains or is gone)."""

    worker: str
    ready: bool


@dataclass(slots=True, frozen=True)
class GatewayStarted(TraceEvent):
    """A gateway started, which knows nothing of earlier events."""

    gateway: str


@dataclass(slots=True, frozen=True)
class GatewayKilled(TraceEvent):
    """A gateway was killed."""

    gateway: str


def _origin(entry: Entry) -> tuple[float, str, int]:
    return entry["t"], entry["by"], entry["n"]


def _attempt(entry: Entry) -> tuple[str, int | None]:
    return entry["mark"], entry.get("job")


def _request_answered(entry: Entry) -> RequestAnswered:
    word = entry["answer"]
    known_words = {result.value for result in RequestResult}
    result = RequestResult(word) if word in known_words else RequestResult.INVALID
    return RequestAnswered(*_origin(entry), entry["mark"], result, word)


def _attempt_ended(entry: Entry) -> AttemptEnded:
    result = ATTEMPT_RESULTS.get(entry["how"], AttemptResult.MAY_HAVE_RUN)
    return AttemptEnded(*_origin(entry), *_attempt(entry), result)


def _worker(entry: Entry) -> str:
    return str(entry.get("worker", entry["by"]))


PARSERS: dict[str, Callable[[Entry], TraceEvent]] = {
    "asked": lambda entry: RequestSent(
        *_origin(entry), entry["mark"], entry["method"], entry["gateway"], entry["left"]
    ),
    "answered": _request_answered,
    "lost": lambda entry: RequestLost(*_origin(entry), entry["mark"]),
    "run": lambda entry: AttemptReceived(*_origin(entry), *_attempt(entry), entry["gateway"], entry["work"]),
    "end": _attempt_ended,
    "cancel": lambda entry: AttemptCancelled(*_origin(entry), *_attempt(entry)),
    "hold": lambda entry: PrewarmReceived(*_origin(entry), entry["gateway"], entry["copies"]),
    "started": lambda entry: WorkerStarted(*_origin(entry), bool(entry.get("cold"))),
    "worker-killed": lambda entry: WorkerKilled(*_origin(entry), _worker(entry)),
    "fell": lambda entry: WorkerCrashed(*_origin(entry), _worker(entry)),
    "told": lambda entry: EndpointPublished(*_origin(entry), entry["worker"], entry["state"] == "ready"),
    "gateway-started": lambda entry: GatewayStarted(*_origin(entry), entry["gateway"]),
    "gateway-killed": lambda entry: GatewayKilled(*_origin(entry), entry["gateway"]),
}


def parse_events(entries: Iterable[Entry]) -> Iterator[TraceEvent]:
    """The events of the lines that rules need; raises KeyError where such a line lacks a key."""
    for entry in entries:
        parser = PARSERS.get(entry[KIND_KEY])
        if parser is not None:
            yield parser(entry)
