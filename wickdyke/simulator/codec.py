"""The words and numbers of the wire, turned into the project's own and back.

Nothing here decides: a message becomes the arguments of a call, a decision becomes a line.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wickdyke.routing import decisions
from wickdyke.routing.decisions import Decision
from wickdyke.routing.model import Endpoint
from wickdyke.settings.terms import BadInput, count, flag, maybe, number, one_of, span, whole, word


def raw(text: str) -> bytes:
    """Hex digits."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise ValueError("hex digits") from None


def report(text: str) -> tuple[float, ...]:
    """A load report."""
    return tuple(number(part) for part in text.split(","))


OUTCOMES = {
    "pass": "ok",
    "fault": "error",
    "no_room": "full",
    "too_slow": "timeout",
    "no_route": "unreached",
    "cut": "cut",
    "undone": "cancelled",
    "stale_send": "unsent",
    "none_here": "miss",
}
NOTES = {1: "stood", 2: "began", 3: "awaited", 4: "load failed"}
STATES = {"3": "ready", "0": "draining", "2": "gone"}
outcome = one_of(OUTCOMES)
EVENTS: dict[str, tuple[tuple[str, Callable], ...]] = {
    "HALT": (("instance", count),),
    "FLEET": (
        ("instance", count),
        ("mode", one_of({m: m for m in "0123"})),
        ("revision", maybe(whole)),
        ("entries", maybe(count)),
    ),
    "NEW_REQUEST": (
        ("instance", count),
        ("id", count),
        ("bits", count),
        ("left", span),
        ("class", count),
        ("routine", word),
        ("effort", maybe(span)),
        ("project", maybe(count)),
        ("footprint-mb", number),
        ("load-time-ms", maybe(number)),
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
        ("note", maybe(count)),
        ("health-info", maybe(report)),
    ),
    "ABORTED": (("instance", count), ("id", count)),
    "WAKEUP": (("instance", count), ("cookie", count)),
    "PING_RESULT": (
        ("instance", count),
        ("worker", word),
        ("reason", outcome),
        ("latency", span),
        ("health-info", maybe(report)),
    ),
    "MEMO": (("instance", count), ("src", count), ("raw", maybe(raw))),
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
    ("cluster", maybe(whole)),
    ("lifecycle", one_of(STATES)),
    ("capacity-hint", maybe(number)),
    ("born", maybe(whole)),
)


def parts(name: str, values: list[str], fields: tuple) -> list:
    """The values of one message, read."""
    if len(values) != len(fields):
        raise BadInput(f"{name}: expected {len(fields)} values, got {len(values)}")
    read = []
    for (label, reader), text in zip(fields, values, strict=True):
        try:
            read.append(reader(text))
        except ValueError as bad:
            raise BadInput(f"{name}: {label} is {text[:40]!r}, expected {bad}") from None
    return read


def listing(values: list[str]) -> Endpoint:
    """One entry of the worker list."""
    ident, zone, kind, cell, state, size, born = parts("ROW", values, ROW)
    return Endpoint(
        ident,
        zone,
        kind,
        -1 if cell is None else cell,
        state,
        1.0 if size is None else size,
        born / 1000 if born else None,
    )


def note(value: int | None) -> tuple[str | None, int]:
    """What an outcome tells of the copy, and how many RPCs of the program the worker held."""
    company, code = divmod(value or 0, 8)
    return NOTES.get(code), company


def micros(ms: float | None) -> str:
    """A time for the wire."""
    return "-" if ms is None else str(round(ms * 1000))


@dataclass(slots=True, frozen=True)
class Wake:
    """The instance is to be advanced after that many ms; the simulator gives the cookie back."""

    delay: float
    cookie: int


@dataclass(slots=True, frozen=True)
class Fault:
    """The instance has failed."""

    why: str


Reply = Decision | Wake | Fault


def _one_line(text: str) -> str:
    return text.replace("\t", " ").replace("\n", " ")


def _forward(decision: decisions.Forward) -> tuple:
    return "ROUTE", str(decision.request.ident), decision.worker.endpoint.ident, micros(decision.timeout)


def _cancel(decision: decisions.Cancel) -> tuple:
    return "CALL_OFF", str(decision.attempt.request.ident), str(decision.attempt.number)


def _prewarm(decision: decisions.Prewarm) -> tuple:
    return "PRELOAD", decision.worker.endpoint.ident, decision.function.name, str(decision.replicas)


LINES: dict[type, Callable[..., tuple]] = {
    decisions.Forward: _forward,
    decisions.Cancel: _cancel,
    decisions.Reject: lambda reject: ("SAY_NO", str(reject.request.ident), micros(reject.retry_after)),
    decisions.Fail: lambda fail: ("ERROR", str(fail.request.ident)),
    decisions.Prewarm: _prewarm,
    decisions.HealthCheck: lambda check: ("INSPECT", check.worker.endpoint.ident),
    decisions.FollowEndpoints: lambda follow: ("TAIL", "1" if follow.enabled else "0"),
    decisions.LogNote: lambda note: ("REMARK", _one_line(note.text)),
    Wake: lambda wake: ("SET_TIMER", micros(wake.delay), str(wake.cookie)),
    Fault: lambda fault: ("EXCEPTION", _one_line(fault.why)),
}


def line(instance: int, decision: Reply) -> str:
    """One line of a reply."""
    name, *values = LINES[type(decision)](decision)
    return "\t".join((name, str(instance), *values)) + "\n"


def frames(source) -> Iterator[tuple[int, list[str]]]:
    """The lines that come in, numbered and split into their parts."""
    at = 0
    try:
        for at, text in enumerate(source, 1):
            if not text.endswith("\n"):
                raise BadInput(f"line {at}: {text[:40]!r}: expected the line to end")
            yield at, text[:-1].split("\t")
    except UnicodeDecodeError:
        raise BadInput(f"line {at + 1}: expected UTF-8 text") from None
