"""Codec of the simulator's wire: messages are read into the router's types, decisions are written as lines."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from wickdyke.config.deployment_settings import (
    InvalidInputError,
    count,
    flag,
    integer,
    number,
    one_of,
    optional,
    span,
    word,
)
from wickdyke.routing import decisions
from wickdyke.routing.decisions import Decision
from wickdyke.routing.model import Endpoint, EndpointState, LoadNote, Outcome

MAX_TEXT_SHOWN = 40  # characters of a value that an error message repeats
MICROS_PER_MS = 1000
WORK_IS_KNOWN = 1  # bit of a NEW_REQUEST
IS_REPEAT = 2  # bit of a NEW_REQUEST
Fields = tuple[tuple[str, Callable[[str], Any]], ...]  # (label, reader) for each value of a message


def raw(text: str) -> bytes:
    """Reads hex digits."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise ValueError("hex digits") from None


def report(text: str) -> tuple[float, ...]:
    """Reads a load report."""
    return tuple(number(part) for part in text.split(","))


OUTCOMES = {
    "pass": Outcome.OK,
    "fault": Outcome.ERROR,
    "no_room": Outcome.FULL,
    "too_slow": Outcome.TIMEOUT,
    "no_route": Outcome.UNREACHED,
    "cut": Outcome.CONNECTION_LOST,
    "undone": Outcome.CANCELLED,
    "stale_send": Outcome.UNSENT,
    "none_here": Outcome.MISS,
}
LOAD_NOTES = {1: LoadNote.ALREADY_LOADED, 2: LoadNote.STARTED_LOAD, 3: LoadNote.AWAITED_LOAD, 4: LoadNote.LOAD_FAILED}
NOTE_CODES = 8  # a note is the concurrency times this, plus the code of what the load did
STATES = {"3": EndpointState.READY, "0": EndpointState.DRAINING, "2": EndpointState.GONE}
outcome = one_of(OUTCOMES)
EVENTS: dict[str, Fields] = {
    "HALT": (("instance", count),),
    "FLEET": (
        ("instance", count),
        ("mode", one_of({m: m for m in "0123"})),
        ("revision", optional(integer)),
        ("entries", optional(count)),
    ),
    "NEW_REQUEST": (
        ("instance", count),
        ("id", count),
        ("bits", count),
        ("left", span),
        ("class", count),
        ("routine", word),
        ("effort", optional(span)),
        ("project", optional(count)),
        ("footprint-mb", number),
        ("load-time-ms", optional(number)),
        ("parallel", number),
    ),
    "FIRST_BYTE": (
        ("instance", count),
        ("id", count),
        ("round-no", count),
        ("worker", word),
        ("latency", span),
    ),
    "REPORT_BACK": (
        ("instance", count),
        ("id", count),
        ("round-no", count),
        ("worker", word),
        ("reason", outcome),
        ("latency", span),
        ("complete", flag),
        ("note", optional(count)),
        ("health-info", optional(report)),
    ),
    "ABORTED": (("instance", count), ("id", count)),
    "WAKEUP": (("instance", count), ("cookie", count)),
    "PING_RESULT": (
        ("instance", count),
        ("worker", word),
        ("reason", outcome),
        ("latency", span),
        ("health-info", optional(report)),
    ),
    "MEMO": (("instance", count), ("src", count), ("raw", optional(raw))),
    "BROUGHT_UP": (
        ("instance", count),
        ("reason", outcome),
        ("worker", word),
        ("instances", count),
        ("latency", span),
        ("routine", word),
    ),
}
ROW = (
    ("worker", word),
    ("rack-zone", count),
    ("sku", count),
    ("cluster", optional(integer)),
    ("lifecycle", one_of(STATES)),
    ("capacity-hint", optional(number)),
    ("born", optional(integer)),
)


def read_values(name: str, values: list[str], fields: Fields) -> list[Any]:
    """Reads the values of one message."""
    if len(values) != len(fields):
        raise InvalidInputError(f"{name}: expected {len(fields)} values, got {len(values)}")
    read = []
    for (label, reader), text in zip(fields, values, strict=True):
        try:
            read.append(reader(text))
        except ValueError as error:
            raise InvalidInputError(f"{name}: {label} is {text[:MAX_TEXT_SHOWN]!r}, expected {error}") from None
    return read


def read_endpoint(values: list[str]) -> Endpoint:
    """Reads one entry of the endpoint list."""
    ident, zone, kind, cell, state, size, started_at = read_values("ROW", values, ROW)
    return Endpoint(
        ident,
        zone,
        kind,
        -1 if cell is None else cell,
        state,
        1.0 if size is None else size,
        started_at / MICROS_PER_MS if started_at else None,
    )


def read_note(value: int | None) -> tuple[LoadNote | None, int]:
    """The load note of a note's code, and the requests of the function in flight at the worker."""
    concurrent, code = divmod(value or 0, NOTE_CODES)
    return LOAD_NOTES.get(code), concurrent


def micros(ms: float | None) -> str:
    """A span (ms) in the wire's unit; "-" for None."""
    return "-" if ms is None else str(round(ms * MICROS_PER_MS))


@dataclass(slots=True, frozen=True)
class Wake:
    """The instance is to be advanced after `delay` ms; the simulator returns the cookie then."""

    delay: float
    cookie: int


@dataclass(slots=True, frozen=True)
class Fault:
    """The instance has failed."""

    reason: str


Reply = Decision | Wake | Fault


def _one_line(text: str) -> str:
    return text.replace("\t", " ").replace("\n", " ")


def _forward(decision: decisions.Forward) -> tuple[str, ...]:
    return "ROUTE", str(decision.request.ident), decision.worker.endpoint.ident, micros(decision.timeout)


def _cancel(decision: decisions.Cancel) -> tuple[str, ...]:
    return "CALL_OFF", str(decision.attempt.request.ident), str(decision.attempt.number)


def _prewarm(decision: decisions.Prewarm) -> tuple[str, ...]:
    return "PRELOAD", decision.worker.endpoint.ident, decision.function.name, str(decision.replicas)


WRITERS: dict[type, Callable[[Any], tuple[str, ...]]] = {
    decisions.Forward: _forward,
    decisions.Cancel: _cancel,
    decisions.Reject: lambda reject: ("SAY_NO", str(reject.request.ident), micros(reject.retry_after)),
    decisions.Fail: lambda fail: ("ERROR", str(fail.request.ident)),
    decisions.Prewarm: _prewarm,
    decisions.HealthCheck: lambda check: ("INSPECT", check.worker.endpoint.ident),
    decisions.FollowEndpoints: lambda follow: ("TAIL", "1" if follow.enabled else "0"),
    decisions.LogNote: lambda note: ("REMARK", _one_line(note.text)),
    Wake: lambda wake: ("SET_TIMER", micros(wake.delay), str(wake.cookie)),
    Fault: lambda fault: ("EXCEPTION", _one_line(fault.reason)),
}


def write_line(instance: int, reply: Reply) -> str:
    """Writes one line of a reply."""
    name, *values = WRITERS[type(reply)](reply)
    return "\t".join((name, str(instance), *values)) + "\n"


def read_lines(source: Iterable[str]) -> Iterator[tuple[int, list[str]]]:
    """The lines of the input, numbered and split into their values."""
    number_read = 0
    try:
        for number_read, text in enumerate(source, 1):
            if not text.endswith("\n"):
                raise InvalidInputError(f"line {number_read}: {text[:MAX_TEXT_SHOWN]!r}: expected the line to end")
            yield number_read, text[:-1].split("\t")
    except UnicodeDecodeError:
        raise InvalidInputError(f"line {number_read + 1}: expected UTF-8 text") from None
