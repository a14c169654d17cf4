"""Bars against programs that load nowhere and calls that end each copy they run in.

The mechanism places programs and retries RPCs in good faith: each front end would try a broken program on every
worker, and carry a poison call from copy to copy. Both bars are exceptions to it, the smallest that stop that: what is
barred is denied at once, saying when to come back, until a pause is over; then one RPC goes through as a trial, and the
pause doubles if it fails. All else goes on as before. Times are float ms of the host: same events, same answers.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

KEPT = 10_000  # programs or calls remembered; the longest unheard go first


@dataclass(slots=True, frozen=True)
class Isolation:
    """When something is kept from being tried. Times are ms."""

    workers: int = 2
    loads_window: float = 30000.0
    loads_first: float = 1000.0
    loads_most: float = 60000.0
    copies: float = 3.0
    calls_window: float = 60000.0
    calls_first: float = 10000.0
    calls_most: float = 600000.0


@dataclass(slots=True)
class Bar:
    """Why something is barred and until when; `step` doubles the pause. While `trial` is set, one is being tried."""

    until: float = 0.0
    step: int = 0
    up: bool = False
    trial: float | None = None


class Pauses:
    """Pauses of `first` ms, doubled up to `most`; with many front ends up to `first` for each, so that all of them
    together try about once in `first` at the longest."""

    def __init__(self, first: float, most: float, front_ends: int = 1) -> None:
        self.first, self.most = first, max(most, first * front_ends)

    def put_up(self, bar: Bar, now: float) -> float:
        """Bars for the next pause; gives its length."""
        pause = min(self.most, self.first * 2.0 ** min(bar.step, 40))
        bar.until, bar.step, bar.up, bar.trial = now + pause, bar.step + 1, True, None
        return pause

    def wait(self, bar: Bar, now: float) -> float | None:
        """None where an RPC may go (as the trial, once the pause is over), else ms until it is worth coming back."""
        if not bar.up:
            return None
        if now < bar.until:
            return bar.until - now
        if bar.trial is None or now >= bar.trial + self.first:  # a trial that came to nothing is not waited for
            bar.trial = now
            return None
        return bar.trial + self.first - now


@dataclass(slots=True)
class Loads:
    """How loads of a program went of late: workers where it failed since it last stood somewhere."""

    bar: Bar = field(default_factory=Bar)
    failed: dict[str, float] = field(default_factory=dict)


class Programs:
    """Programs that fail to load at `workers` different workers, none in between where it stood.

    A failure at fewer is the worker's own matter: the module goes elsewhere. A failure counts for `window` ms.
    """

    def __init__(self, workers: int, window: float, pauses: Pauses) -> None:
        self.workers, self.window, self.pauses = workers, window, pauses
        self.known: OrderedDict[str, Loads] = OrderedDict()

    def failed(self, program: str, worker: str, now: float) -> float | None:
        """A load failed there; the pause in ms where that puts up a bar."""
        loads = self.known.setdefault(program, Loads())
        self.known.move_to_end(program)
        if len(self.known) > KEPT:
            self.known.popitem(last=False)
        loads.failed = {name: at for name, at in loads.failed.items() if at > now - self.window}
        loads.failed[worker] = now
        bar = loads.bar
        if bar.up and bar.trial is None:
            return None  # sent before it was barred
        if bar.up or len(loads.failed) >= self.workers:
            return self.pauses.put_up(bar, now)
        return None

    def stood(self, program: str) -> bool:
        """It stands or ran somewhere: all is forgotten. True where that takes a bar down."""
        loads = self.known.pop(program, None)
        return loads is not None and loads.bar.up

    def wait(self, program: str, now: float) -> float | None:
        """None where an RPC of it may go, else ms until it is worth coming back."""
        loads = self.known.get(program)
        return None if loads is None else self.pauses.wait(loads.bar, now)


@dataclass(slots=True)
class Blame:
    """What a call is blamed for: parts of copies that ended with it inside, with their times."""

    bar: Bar = field(default_factory=Bar)
    parts: list[tuple[float, float]] = field(default_factory=list)


class Calls:
    """Calls that take down copies. Each copy that ends shares one blame among the calls that were in it; a call that
    gathers `copies` of them within `window` ms is barred. Calls are alike by program and input (the host's digest)."""

    def __init__(self, copies: float, window: float, pauses: Pauses) -> None:
        self.copies, self.window, self.pauses = copies, window, pauses
        self.known: OrderedDict[tuple[str, bytes], Blame] = OrderedDict()
        self.barred: dict[str, int] = {}

    def ended(self, program: str, digest: bytes, inside: int, now: float) -> float | None:
        """A copy or worker ended with this call and `inside` - 1 others in it; the pause where that bars it."""
        key = program, digest
        blame = self.known.setdefault(key, Blame())
        self.known.move_to_end(key)
        if len(self.known) > KEPT:
            old, gone = self.known.popitem(last=False)
            self._down(old, gone)
        blame.parts = [(at, part) for at, part in blame.parts if at > now - self.window] + [(now, 1 / max(1, inside))]
        bar = blame.bar
        if bar.up and bar.trial is None:
            return None
        if bar.up or sum(part for _, part in blame.parts) >= self.copies - 1e-9:
            if not bar.up:
                self.barred[program] = self.barred.get(program, 0) + 1
            return self.pauses.put_up(bar, now)
        return None

    def done(self, program: str, digest: bytes) -> bool:
        """It ran to an end that harmed nobody: forgotten. True where that takes a bar down."""
        blame = self.known.pop((program, digest), None)
        return blame is not None and self._down((program, digest), blame)

    def _down(self, key: tuple[str, bytes], blame: Blame) -> bool:
        if blame.bar.up:
            self.barred[key[0]] -= 1
            if not self.barred[key[0]]:
                del self.barred[key[0]]
        return blame.bar.up

    def wait(self, program: str, digest: bytes, now: float) -> float | None:
        """None where it may go, else ms until it is worth coming back. Asked only where `barred` has the program."""
        blame = self.known.get((program, digest))
        return None if blame is None else self.pauses.wait(blame.bar, now)

    def is_barred(self, program: str, digest: bytes) -> bool:
        """Whether a bar is up against it now, a trial or not."""
        blame = self.known.get((program, digest))
        return blame is not None and blame.bar.up
