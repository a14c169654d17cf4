"""The plain types that the decisions share with whatever feeds them: no decisions, no values.

Times are milliseconds with fractions. What is read at start comes in small records, one for each part.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from heapq import heappop
from typing import Any

from wickdyke.chance import mark
from wickdyke.samples import Recent, trim

NEVER_RAN = frozenset({"full", "unreached", "unsent", "miss"})  # outcomes that prove it


@dataclass(slots=True, eq=False, repr=False)
class Method:
    """A kind of RPC. `effect` is idempotent, tokened or side-effecting; `scope` is all, zone or cell."""

    name: str
    effect: str
    scope: str
    window: float
    soft: float
    soft_stretch: float
    deadline: float
    gain: float
    late_gain: float
    times: deque | None = None


@dataclass(slots=True, frozen=True)
class Warmup:
    """What a cold worker stands."""

    start_share: float
    ramp: float
    multiple: float
    window: float


@dataclass(slots=True, frozen=True)
class Ration:
    """How many holds may be ordered within the window; a window of 0 sets no limit."""

    free: float
    share: float
    window: float


@dataclass(slots=True, frozen=True)
class Stock:
    """How programs stand loaded on workers."""

    memory: tuple[float, ...]
    idle_life: float
    may_hold: bool
    loads_on_call: bool
    hold_wait: float
    tells_standing: bool
    tells_company: bool

    def memory_on(self, listing: "Listing") -> float:
        """MB that a worker of that kind has for copies; 0 where the settings do not tell."""
        return (self.memory[listing.kind :] or self.memory or (0.0,))[0]


@dataclass(slots=True, frozen=True)
class Allowance:
    """What an RPC and this front end may use."""

    call_outs: int
    overlap: bool
    cancel: bool
    probe: bool
    retry_after: float
    dial: float
    idle_close: float = 15000.0


@dataclass(slots=True, frozen=True)
class Directory:
    """How the worker list comes."""

    pushed: bool
    ask_within: float
    drain_grace: float


@dataclass(slots=True, frozen=True)
class Tariff:
    """What things cost, in parts of the gain asked for."""

    waste: float
    late: float
    fetch: float
    probe: float
    crossing: float
    idle_memory: float


@dataclass(slots=True, frozen=True)
class Shares:
    """What tenants are promised: RPCs a second of the whole fleet for each."""

    quotas: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class Seat:
    """Where this front end sits among its like."""

    number: int
    of: int
    zone: int
    report: tuple[str, ...]
    by_work: bool


@dataclass(slots=True, frozen=True, eq=False)
class Timing:
    """What a route states of an RPC's attempts; without one the module goes by its own lights.

    `pause` is (first, growth, most, spread), `second` (after, at once, share of RPCs), `budget` (window,
    share, floor). Equal ones are to be one object: what they may still spend hangs on it.
    """

    soft: float
    attempt: float | None
    attempts: int
    pause: tuple[float, float, float, float]
    again: frozenset[str]
    second: tuple[float, int, float] | None
    budget: tuple[float, float, float] | None
    queue: float | None
    priority: int
    account: str = ""


@dataclass(slots=True, eq=False, repr=False)
class RetryBudget:
    """What a route's RPCs may still spend: its RPCs and further attempts of late, second copies saved up."""

    taken: deque = field(default_factory=deque)
    paid: deque = field(default_factory=deque)
    seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class Listing:
    """One line of the worker list; `state` is ready, draining or gone."""

    ident: str
    zone: int
    kind: int
    cell: int
    state: str
    size: float
    born: float | None


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """A worker as this front end knows it.

    The first four and `sends` are records of dealings with it: empty tuples until it is first sent something,
    so that a worker that is only listed costs little.
    """

    listing: Listing
    ratios: Sequence
    results: Sequence
    reports: Sequence
    spent: Sequence
    budget: float
    limit: float
    cold_from: float | None
    mark: int
    sends: Sequence = field(default_factory=deque)
    out: list["CallOut"] = field(default_factory=list)
    lates: list[tuple] = field(default_factory=list)
    at_work: int = 0
    places: dict["Program", "Place"] = field(default_factory=dict)
    shun_until: float = 0.0
    shuns: int = 0
    mute: int = 0
    crammed: float = 0.0
    heard: float = 0.0
    probe_sent: float = 0.0
    lowered: float = 0.0
    busy: float = 0.0
    took: float = 0.0
    work: float = 0.0

    @classmethod
    def listed(cls, listing: Listing, budget: float, limit: float) -> "Worker":
        """A worker that is only listed: cold since it was born, with no records yet."""
        return cls(listing, (), (), (), (), budget, limit, listing.born, mark(listing.ident), ())

    def weigh(self, since: float) -> None:
        """Sums up the answers told after that time (ms): how long they took, and the work in them."""
        trim(self.ratios, since)
        self.took = sum(ms for _, ms, _ in self.ratios)
        self.work = sum(cost for _, _, cost in self.ratios)

    def pinned(self) -> float:
        """The part of its memory that its last report says is in use; 0 where it does not tell."""
        return self.reports and self.reports[-1][1].get("pinned") or 0.0

    def open_books(self, lengths: tuple[int, int, int, int]) -> None:
        """Begins the records, of so many samples at most, if it has none yet."""
        if self.sends == ():
            self.ratios, self.results, self.reports, self.spent = (Recent(most) for most in lengths)
            self.sends = Recent()


@dataclass(slots=True, eq=False, repr=False)
class Program:
    """What an RPC runs and a worker loads.

    `cell` is its home, with `first` its nearest worker there, both as of the fleet's version `listed`; `ring`
    ranks the candidates `ringed`.
    """

    name: str
    method: Method
    memory: float
    lanes: int
    load_hint: float
    calls: deque
    times: deque
    loads: deque
    company: deque
    mark: int = 0
    places: list["Place"] = field(default_factory=list)
    called: float = 0.0
    settled: float = float("-inf")
    ring: list[Worker] = field(default_factory=list)
    ringed: Any = None
    proven: bool = False
    cell: Any = None
    first: Worker | None = None
    listed: int = -1


@dataclass(slots=True, eq=False, repr=False)
class Place:
    """A program on a worker: copies believed to stand, copies asked for, and when it was last used."""

    program: Program
    worker: Worker
    standing: int = 0
    wanted: int = 0
    placed: bool = False
    used: float = 0.0
    ordered: float | None = None
    loading: float | None = None
    missed: float = float("-inf")
    full_until: float = 0.0
    out: int = 0

    def lanes(self) -> int:
        """Requests that may run there at once."""
        return max(1, self.standing) * self.program.lanes


@dataclass(slots=True, eq=False, repr=False)
class RPC:
    """One RPC as taken; `ends` is when the client's time is up, `soft` when an answer is wanted."""

    ident: int
    program: Program
    method: Method
    taken: float
    ends: float
    soft: float
    work: float | None
    repeat: bool
    timing: Timing | None = None
    retry_budget: RetryBudget | None = None
    not_before: float = 0.0
    call_outs: list["CallOut"] = field(default_factory=list)
    closed: bool = False
    queued: bool = False

    def may_have_run(self) -> list["CallOut"]:
        """Its attempts that are not known never to have run."""
        return [call_out for call_out in self.call_outs if call_out.outcome not in NEVER_RAN]


@dataclass(slots=True, eq=False, repr=False)
class CallOut:
    """One call-out of an RPC."""

    rpc: RPC
    number: int
    place: Place
    sent: float
    expected: float
    warm: bool
    beside: int
    among: int
    late_at: float = 0.0
    outcome: str | None = None
    fled: bool = False


def place_of(program: Program, worker: Worker) -> Place:
    """The program's place on that worker, entered on both if it is new."""
    place = worker.places.get(program)
    if place is None:
        place = worker.places[program] = Place(program, worker)
        program.places.append(place)
    return place


def forget(places: list[Place]) -> None:
    """Takes places out of both lists."""
    for place in places:
        place.worker.places.pop(place.program, None)
        if place in place.program.places:
            place.program.places.remove(place)


def empty(worker: Worker) -> None:
    """Nothing stands or loads there any more."""
    for place in worker.places.values():
        place.standing, place.loading, place.used = 0, None, 0.0


def begin(call_out: CallOut) -> None:
    """Enters a call-out that goes out."""
    call_out.rpc.call_outs.append(call_out)
    call_out.place.out += 1
    call_out.place.worker.out.append(call_out)


def end(call_out: CallOut, outcome: str) -> None:
    """Enters how a call-out ended; it is out no more."""
    if call_out.outcome is None:
        call_out.place.out -= 1
        call_out.place.worker.out.remove(call_out)
    call_out.outcome = outcome


def working(worker: Worker, now: float) -> int:
    """Our attempts that take its cores now: neither waiting for a load nor overdue at that time (ms).

    Counted as they change, since thousands may be out.
    """
    while worker.lates and worker.lates[0][0] < now:
        call_out = heappop(worker.lates)[-1]
        worker.at_work -= call_out.warm and call_out.outcome is None
    return worker.at_work


def rest(call_out: CallOut, gates: tuple[Worker, ...], now: float) -> None:
    """Takes an attempt out of the count of those at work at these workers."""
    for gate in gates if call_out.warm and call_out.outcome is None else ():
        working(gate, now)
        gate.at_work -= call_out.late_at >= now


Decision = tuple
