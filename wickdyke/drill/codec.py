"""The words and numbers of the wire, turned into the project's own and back.

Nothing here decides: a message becomes the arguments of a call, a decision becomes a line.
"""

from collections.abc import Callable, Iterator

from wickdyke.interface import (
    RPC,
    Allowance,
    CallOut,
    Directory,
    Listing,
    Method,
    Program,
    Ration,
    Seat,
    Shares,
    Stock,
    Tariff,
    Warmup,
    Worker,
)


class BadInput(Exception):
    """What came in is not the wire's."""


def whole(text: str) -> int:
    """A whole number."""
    if not text.removeprefix("-").isascii() or not text.removeprefix("-").isdigit():
        raise ValueError("a whole number")
    return int(text)


def count(text: str) -> int:
    """A whole number that is not negative."""
    if whole(text) < 0:
        raise ValueError("a whole number of at least 0")
    return int(text)


def number(text: str) -> float:
    """A number that is neither infinite nor undefined."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError("a number") from None
    if value - value != 0:
        raise ValueError("a finite number")
    return value


def span(text: str) -> float:
    """A time, in ms."""
    return whole(text) / 1000


def flag(text: str) -> bool:
    """1 or 0."""
    if text not in ("0", "1"):
        raise ValueError("1 or 0")
    return text == "1"


def word(text: str) -> str:
    """A text that is not empty."""
    if not text or text == "-":
        raise ValueError("a word")
    return text


def raw(text: str) -> bytes:
    """Hex digits."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise ValueError("hex digits") from None


def report(text: str) -> tuple[float, ...]:
    """A load report."""
    return tuple(number(part) for part in text.split(","))


def one_of(table: dict) -> Callable[[str], object]:
    """One word of a table."""

    def read(text: str):
        if text not in table:
            raise ValueError("one of " + ", ".join(table))
        return table[text]

    return read


def maybe(read: Callable) -> Callable:
    """What may be absent."""

    def optional(text: str):
        return None if text == "-" else read(text)

    return optional


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
EFFECTS = {"pure": "idempotent", "token": "tokened", "side_effect": "side-effecting"}
STATES = {"3": "ready", "0": "draining", "2": "gone"}
REPORTS = {
    "outstanding": "held",
    "backlog": "queue",
    "utilization": "busy",
    "recent_ms": "recent",
    "throughput": "rate",
    "errors_per_s": "errors",
    "x0": "pinned",
    "x1": "loads",
}

outcome = one_of(OUTCOMES)
EVENTS: dict[str, tuple[tuple[str, Callable], ...]] = {
    "HALT": (("instance", count),),
    "FLEET": (("instance", count), ("mode", one_of({m: m for m in "0123"})), ("revision", maybe(whole)),
              ("entries", maybe(count))),
    "NEW_REQUEST": (("instance", count), ("id", count), ("bits", count), ("left", span), ("class", count),
                    ("routine", word), ("effort", maybe(span)), ("project", maybe(count)),
                    ("footprint-mb", number), ("load-time-ms", maybe(number)), ("parallel", number)),
    "FIRST_BYTE": (("instance", count), ("id", count), ("round-no", count), ("worker", word),
                   ("latency", span)),
    "REPORT_BACK": (("instance", count), ("id", count), ("round-no", count), ("worker", word),
                    ("reason", outcome), ("latency", span), ("complete", flag), ("note", maybe(count)),
                    ("health-info", maybe(report))),
    "ABORTED": (("instance", count), ("id", count)),
    "WAKEUP": (("instance", count), ("cookie", count)),
    "PING_RESULT": (("instance", count), ("worker", word), ("reason", outcome), ("latency", span),
                    ("health-info", maybe(report))),
    "MEMO": (("instance", count), ("src", count), ("raw", maybe(raw))),
    "BROUGHT_UP": (("instance", count), ("reason", outcome), ("worker", word), ("instances", count),
                   ("latency", span), ("routine", word)),
}
ROW = (("worker", word), ("rack-zone", count), ("sku", count), ("cluster", maybe(whole)),
       ("lifecycle", one_of(STATES)), ("capacity-hint", maybe(number)), ("born", maybe(whole)))


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
    return Listing(ident, zone, kind, -1 if cell is None else cell, state, 1.0 if size is None else size,
                   born / 1000 if born else None)


def note(value: int | None) -> tuple[str | None, int]:
    """What an outcome tells of the copy, and how many RPCs of the program the worker held."""
    company, code = divmod(value or 0, 8)
    return NOTES.get(code), company


class Terms:
    """The start-up pairs of one instance, read one by one so that a missing one can be named."""

    def __init__(self, pairs: list[str]) -> None:
        self.values: dict[str, str] = {}
        for pair in pairs:
            name, sign, value = pair.partition("=")
            if not sign:
                raise BadInput(f"POWER_ON: {pair[:40]!r}, expected path=value")
            self.values[name] = value

    def get(self, name: str, read: Callable, absent: object = None):
        """The value of one setting; named in the error where it is required and missing."""
        text = self.values.get(name)
        if text is None:
            if absent is None:
                raise BadInput(f"POWER_ON: the setting {name} is missing")
            return absent
        try:
            return read(text)
        except ValueError as bad:
            raise BadInput(f"POWER_ON: {name} is {text[:40]!r}, expected {bad}") from None

    def names(self, name: str) -> tuple[str, ...]:
        """A list of plain values."""
        text = self.get(name, str)
        return tuple(text.split(",")) if text else ()

    def numbers(self, name: str) -> tuple[float, ...]:
        """A list of numbers."""
        try:
            return tuple(number(part) for part in self.names(name))
        except ValueError as bad:
            raise BadInput(f"POWER_ON: {name}, expected {bad} in each place") from None


truth = one_of({"true": True, "false": False})
scope = one_of({"all": "all", "zone": "zone", "cell": "cell"})


def method(terms: Terms, place: int) -> Method:
    """One of the methods."""
    def at(name: str, read: Callable, absent: object = None):
        return terms.get(f"lanes.{place}.{name}", read, absent)

    return Method(
        name=at("name", str), effect=at("repeat", one_of(EFFECTS)), scope=at("key-scope", scope, "all"),
        window=at("window", span, 0.0), soft=at("aim", span), soft_stretch=at("aim-stretch", number, 0.0),
        deadline=at("deadline", span), gain=at("gain", number), late_gain=at("late-worth", number, 0.0))


def start(pairs: list[str]) -> dict[str, object]:
    """What one instance is given at its start."""
    terms = Terms(pairs)
    get = terms.get
    return {
        "methods": [method(terms, place) for place in range(get("lanes.count", count))],
        "seat": Seat(
            number=get("self-index", count), of=get("instances", count), zone=get("zone", count, 0),
            report=tuple(REPORTS.get(name, name) for name in terms.names("report.fields")),
            by_work=get("value-by", one_of({"request": False, "work": True}), False)),
        "allowance": Allowance(
            call_outs=get("limits.send-cap", count), overlap=get("limits.second-copies", truth),
            cancel=get("limits.cancelling", truth), probe=get("limits.probing", truth),
            retry_after=get("limits.max-retry-after", span, 0.0) if get("limits.retry-after", truth, False)
            else 0.0,
            dial=get("limits.dial-timeout", span), idle_close=get("limits.idle-close", span, 15000.0)),
        "stock": Stock(
            memory=terms.numbers("family-info.memory-mb-by-kind"),
            idle_life=get("family-info.idle-life", span),
            may_hold=get("family-info.may-load", truth),
            loads_on_call=get("family-info.if-cold", one_of({"load": True, "miss": False})),
            hold_wait=get("family-info.load-wait", span), tells_standing=get("family-info.warm-notes", truth),
            tells_company=get("family-info.says-company", truth)),
        "warmup": Warmup(
            start_share=get("rules.cold-from", number), ramp=get("rules.ramp-time", span),
            multiple=get("rules.overload-factor", number), window=get("rules.tip-after", span)),
        "ration": Ration(
            free=get("family-info.free-loads", number, 0.0), share=get("family-info.load-part", number, 0.0),
            window=get("family-info.load-window", span, 0.0)),
        "directory": Directory(
            pushed=get("discovery", one_of({"automatic": True, "subscribe": False})),
            ask_within=get("rules.ask-within", span, 0.0),
            drain_grace=get("rules.stop-sending-within", span)),
        "shares": Shares(
            quotas=tuple(get(f"tenants.{place}.quota-rps", number)
                         for place in range(get("tenants.count", count, 0)))),
        "tariff": Tariff(
            waste=get("prices.waste", number, 0.0), late=get("prices.late-fail", number, 0.0),
            fetch=get("prices.origin", number, 0.0), probe=get("prices.probe", number, 0.0),
            crossing=get("prices.cross-zone", number, 0.0),
            idle_memory=get("family-info.idle-memory-cost", number, 0.0)),
    }


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
