"""Codec of the simulator's protocol: decodes messages into the router's types and encodes decisions as lines."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from wickdyke.config.deployment_settings import (
    InvalidInputError,
    count,
    duration,
    flag,
    integer,
    non_empty_text,
    number,
    one_of,
    optional,
)
from wickdyke.routing import decisions
from wickdyke.routing.decisions import Decision
from wickdyke.routing.model import Endpoint, EndpointState, LoadNote, Outcome

MAX_TEXT_SHOWN = 40  # characters of a value that an error message quotes
MICROS_PER_MS = 1000
WORK_KNOWN_BIT = 1  # in the bits of a NEW_REQUEST
REPEAT_BIT = 2  # in the bits of a NEW_REQUEST
Fields = tuple[tuple[str, Callable[[str], Any]], ...]  # (label, decoder) for each value of a message


def hex_bytes(text: str) -> bytes:
    """Decodes hex digits; raises ValueError with the expected format."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise ValueError("hex digits") from None


def load_report(text: str) -> tuple[float, ...]:
    """Decodes the values of a load report; raises ValueError with the expected format."""
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
NOTE_CODE_RANGE = 8  # a note is the number of concurrent requests times this, plus the code of a load note
ENDPOINT_STATES = {"3": EndpointState.READY, "0": EndpointState.DRAINING, "2": EndpointState.GONE}
decode_outcome = one_of(OUTCOMES)
EVENT_FIELDS: dict[str, Fields] = {
    "HALT": (("instance", count),),
    "FLEET": (
        ("instance", count),
        ("mode", one_of({mode: mode for mode in "0123"})),
        ("revision", optional(integer)),
        ("entries", optional(count)),
    ),
    "NEW_REQUEST": (
        ("instance", count),
        ("id", count),
        ("bits", count),
        ("left", duration),
        ("class", count),
        ("routine", non_empty_text),
        ("effort", optional(duration)),
        ("project", optional(count)),
        ("footprint-mb", number),
        ("load-time-ms", optional(number)),
        ("parallel", number),
    ),
    "FIRST_BYTE": (
        ("instance", count),
        ("id", count),
        ("round-no", count),
        ("worker", non_empty_text),
        ("latency", duration),
    ),
    "REPORT_BACK": (
        ("instance", count),
        ("id", count),
        ("round-no", count),
        ("worker", non_empty_text),
        ("reason", decode_outcome),
        ("latency", duration),
        ("complete", flag),
        ("note", optional(count)),
        ("health-info", optional(load_report)),
    ),
    "ABORTED": (("instance", count), ("id", count)),
    "WAKEUP": (("instance", count), ("cookie", count)),
    "PING_RESULT": (
        ("instance", count),
        ("worker", non_empty_text),
        ("reason", decode_outcome),
        ("latency", duration),
        ("health-info", optional(load_report)),
    ),
    "MEMO": (("instance", count), ("src", count), ("raw", optional(hex_bytes))),
    "BROUGHT_UP": (
        ("instance", count),
        ("reason", decode_outcome),
        ("worker", non_empty_text),
        ("instances", count),
        ("latency", duration),
        ("routine", non_empty_text),
    ),
}
ROW_FIELDS = (
    ("worker", non_empty_text),
    ("rack-zone", count),
    ("sku", count),
    ("cluster", optional(integer)),
    ("lifecycle", one_of(ENDPOINT_STATES)),
    ("capacity-hint", optional(number)),
    ("born", optional(integer)),
)


def decode_values(name: str, values: list[str], fields: Fields) -> list[Any]:
    """Decodes the values of one message; raises InvalidInputError if their number or one of them is invalid."""
    if len(values) != len(fields):
        raise InvalidInputError(f"{name}: expected {len(fields)} values, got {len(values)}")
    decoded = []
    for (label, decode), text in zip(fields, values, strict=True):
        try:
            decoded.append(decode(text))
        except ValueError as error:
            raise InvalidInputError(f"{name}: {label} is {text[:MAX_TEXT_SHOWN]!r}, expected {error}") from None
    return decoded


def decode_endpoint(values: list[str]) -> Endpoint:
    """Decodes one row of the endpoint list."""
    ident, zone, kind, cell, state, size, started_at = decode_values("ROW", values, ROW_FIELDS)
    return Endpoint(
        ident,
        zone,
        kind,
        -1 if cell is None else cell,
        state,
        1.0 if size is None else size,
        started_at / MICROS_PER_MS if started_at else None,
    )


def decode_note(value: int | None) -> tuple[LoadNote | None, int]:
    """Decodes a note: returns its load note, if any, and the requests of the function in flight at the worker."""
    concurrent, code = divmod(value or 0, NOTE_CODE_RANGE)
    return LOAD_NOTES.get(code), concurrent


def format_micros(ms: float | None) -> str:
    """Formats a duration in ms as whole microseconds, the unit of the protocol; "-" for None."""
    return "-" if ms is None else str(round(ms * MICROS_PER_MS))


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Sets the timer of an instance: the simulator sends a WAKEUP with the cookie after `delay` ms."""

    delay: float
    cookie: int


@dataclass(slots=True, frozen=True)
class InstanceFailure:
    """Reports that an instance has failed."""

    reason: str


Reply = Decision | SetTimer | InstanceFailure


def _one_line(text: str) -> str:
    return text.replace("\t", " ").replace("\n", " ")


def _encode_forward(decision: decisions.Forward) -> tuple[str, ...]:
    return "ROUTE", str(decision.request.ident), decision.worker.endpoint.ident, format_micros(decision.timeout)


def _encode_cancel(decision: decisions.Cancel) -> tuple[str, ...]:
    return "CALL_OFF", str(decision.attempt.request.ident), str(decision.attempt.number)


def _encode_prewarm(decision: decisions.Prewarm) -> tuple[str, ...]:
    return "PRELOAD", decision.worker.endpoint.ident, decision.function.name, str(decision.replicas)


ENCODERS: dict[type, Callable[[Any], tuple[str, ...]]] = {
    decisions.Forward: _encode_forward,
    decisions.Cancel: _encode_cancel,
    decisions.Reject: lambda reject: ("SAY_NO", str(reject.request.ident), format_micros(reject.retry_after)),
    decisions.Fail: lambda fail: ("ERROR", str(fail.request.ident)),
    decisions.Prewarm: _encode_prewarm,
    decisions.HealthCheck: lambda check: ("INSPECT", check.worker.endpoint.ident),
    decisions.FollowEndpoints: lambda follow: ("TAIL", "1" if follow.enabled else "0"),
    decisions.LogNote: lambda note: ("REMARK", _one_line(note.text)),
    SetTimer: lambda timer: ("SET_TIMER", format_micros(timer.delay), str(timer.cookie)),
    InstanceFailure: lambda failure: ("EXCEPTION", _one_line(failure.reason)),
}


def encode_line(instance: int, reply: Reply) -> str:
    """Encodes one line of a reply."""
    name, *values = ENCODERS[type(reply)](reply)
    return "\t".join((name, str(instance), *values)) + "\n"


def read_lines(lines: Iterable[str]) -> Iterator[tuple[int, list[str]]]:
    """Yields the number and the values of each line of the input.

    Raises InvalidInputError where a line has no end or is not UTF-8 text.
    """
    line_number = 0
    try:
        for line_number, text in enumerate(lines, 1):
            if not text.endswith("\n"):
                raise InvalidInputError(f"line {line_number}: {text[:MAX_TEXT_SHOWN]!r}: expected a newline at the end")
            yield line_number, text[:-1].split("\t")
    except UnicodeDecodeError:
        raise InvalidInputError(f"line {line_number + 1}: expected UTF-8 text") from None
