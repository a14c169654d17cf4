"""The words and numbers of the wire, turned into the project's own and back.

Nothing here decides: a message becomes the arguments of a call, a decision becomes a line.
"""

from collections.abc import Callable, Iterator

from wickdyke.interface import RPC, CallOut, Listing, Program, Worker
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


def listing(values: list[str]) -> Listing:
    """One entry of the worker list."""
    ident, zone, kind, cell, state, size, born = parts("ROW", values, ROW)
    return Listing(
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


def _call(rpc: RPC, worker: Worker, patience: float | None) -> tuple:
    return "ROUTE", str(rpc.ident), worker.listing.ident, micros(patience)


def _cancel(call_out: CallOut) -> tuple:
    return "CALL_OFF", str(call_out.rpc.ident), str(call_out.number)


def _hold(worker: Worker, program: Program, copies: int) -> tuple:
    return "PRELOAD", worker.listing.ident, program.name, str(copies)


def _unload(worker: Worker, program: Program) -> tuple:
    return "EVICT", worker.listing.ident, program.name


VERBS: dict[str, Callable[..., tuple]] = {
    "call": _call,
    "cancel": _cancel,
    "deny": lambda rpc, wait: ("SAY_NO", str(rpc.ident), micros(wait)),
    "abort": lambda rpc: ("ERROR", str(rpc.ident)),
    "hold": _hold,
    "unload": _unload,
    "probe": lambda worker: ("INSPECT", worker.listing.ident),
    "hang_up": lambda worker: ("HANG_UP", worker.listing.ident),
    "tell": lambda peer, data: ("WRITE_PEER", "-1" if peer is None else str(peer), data.hex() or "-"),
    "follow_list": lambda on: ("TAIL", "1" if on else "0"),
    "ask_list": lambda: ("REFRESH",),
    "note": lambda text: ("REMARK", text.replace("\t", " ").replace("\n", " ")),
    "wake": lambda delay, cookie: ("SET_TIMER", micros(delay), str(cookie)),
    "fault": lambda text: ("EXCEPTION", text.replace("\t", " ").replace("\n", " ")),
}


def line(instance: int, decision: tuple) -> str:
    """One line of a reply."""
    name, *values = VERBS[decision[0]](*decision[1:])
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
