"""A hollow fleet: front ends with the real decision module, everything else made, in one process on a made clock.

Workers keep copies, idle lives, memory and load times; clients draw functions; the event bus counts what it sends.
Nothing sleeps and nothing is read from the machine's clock but processor time, so the same seed gives the same run.
Times are milliseconds.
"""

import heapq
import itertools
import random
import re
import time
import tracemalloc
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from math import sqrt
from typing import TYPE_CHECKING

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
from wickdyke.routing.inputs import AttemptFinished, RequestReceived, WorkerLoad
from wickdyke.routing.model import Attempt, Endpoint, Request, RequestClass
from wickdyke.routing.router import Router
from wickdyke.routing.settings import (
    AttemptLimits,
    CostWeights,
    Discovery,
    FunctionCache,
    GatewayInstance,
    PrewarmQuota,
    RouterSettings,
    SlowStart,
    TenantQuotas,
)

if TYPE_CHECKING:
    from wickdyke.gateway.recording import DecisionRecorder

REPORT_FIELDS = ("utilization", "in_flight")

RACK = 40  # workers that share a rack
FRAMES = 4  # of a call stack that are kept of an allocation
NEVER_RAN = frozenset({"full", "unreached", "unsent", "miss"})  # the judge's own reading of the protocol


def may_have_run(request: Request) -> list[Attempt]:
    """The attempts of a request that are not known never to have run."""
    return [attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN]


@dataclass(slots=True, frozen=True)
class Settings:
    """What a hollow deployment is like. The operators' letter states none of these; docs/CAPACITY.md has ranges."""

    front_ends: int = 3300
    zones: int = 11
    idle_timeout: float = 12000.0  # a copy's, unused
    load: float = 500.0  # of a function on a worker
    work: float = 40.0  # of a request
    memory: float = 32000.0  # MB of a worker
    copy: float = 512.0  # MB of a copy
    lanes: int = 4
    effect: str = "idempotent"
    deadline: float = 4000.0
    methods: int = 1
    crossing: float = 0.0  # price of a call to another zone
    loads_on_call: bool = True
    ration: PrewarmQuota = PrewarmQuota(6.0, 0.2, 5000.0)
    warmup: SlowStart = SlowStart(0.2, 18000.0, 2.0, 2000.0)
    directory: Discovery = Discovery(True, 10000.0, 500.0)

    def kinds(self) -> list[RequestClass]:
        """The kinds of request."""
        return [
            RequestClass(f"m{number}", self.effect, "all", 2000.0, 800.0, 0.0, self.deadline, 1.0, 0.2)
            for number in range(self.methods)
        ]

    def router_settings(self, number: int) -> RouterSettings:
        """What the front end of that number is made with, in the zone of its turn."""
        return RouterSettings(
            GatewayInstance(number, self.front_ends, number % self.zones, REPORT_FIELDS, False),
            AttemptLimits(4, False, True, True, 300.0, 250.0),
            FunctionCache((self.memory,), self.idle_timeout, True, self.loads_on_call, 10000.0, True, True),
            self.warmup,
            self.ration,
            self.directory,
            CostWeights(0.1, 0.05, 0.05, 0.01, self.crossing, 0.05),
            TenantQuotas(),
        )

    def router(self, now: float, number: int, tape: "DecisionRecorder | None" = None) -> Router:
        """A front end of that number among them."""
        settings, methods = self.router_settings(number), self.kinds()
        if tape is not None:
            tape.start(now, number + 1, methods, settings)
        return Router(now, number + 1, methods, settings)


def listing(number: int, zones: int = 11, **more: object) -> Endpoint:
    """The row of the worker of that number."""
    row = Endpoint(f"s-{number:08x}", number % zones, 0, number // zones // RACK, "ready", 4.0, None)
    return replace(row, **more)


def product_bytes() -> int:
    """Bytes held that the product's own code asked for, hollow parts left out; `tracemalloc` is to keep FRAMES."""
    traces = tracemalloc.take_snapshot().traces
    return sum(
        trace.size for trace in traces if any("wickdyke" in frame.filename.split("/") for frame in trace.traceback)
    )


def decision_word(decision: Decision) -> str:
    """What a decision is called in the counts and files of this rig."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", type(decision).__name__).lower()


class Draw:
    """Draws functions: evenly, or by Zipf's law with that exponent."""

    def __init__(self, functions: int, exponent: float, seed: int) -> None:
        self.functions, self.random = functions, random.Random(seed)
        self.sums = list(itertools.accumulate((rank + 1) ** -exponent for rank in range(functions))) if exponent else []

    def __call__(self) -> str:
        if not self.sums:
            return f"{self.random.randrange(self.functions):016x}"
        (rank,) = self.random.choices(range(self.functions), cum_weights=self.sums)
        return f"{rank * 0x9E3779B97F4A7C15 % 2**64:016x}"


@dataclass(slots=True, eq=False)
class Copy:
    """A copy of a function: when it stands, and when it was last used."""

    stands: float
    used: float


@dataclass(slots=True, eq=False)
class HollowWorker:
    """A worker that answers by what it holds."""

    endpoint: Endpoint
    settings: Settings
    copies: dict[str, Copy] = field(default_factory=dict)
    held: int = 0
    came: deque[float] = field(default_factory=deque)  # attempts of late, while it was cold
    dead: bool = False

    def _make_room(self, now: float) -> bool:
        idle = [name for name, copy in self.copies.items() if now - copy.used > self.settings.idle_timeout]
        for name in idle:
            del self.copies[name]
        return (len(self.copies) + 1) * self.settings.copy <= self.settings.memory

    def load(self, name: str, now: float) -> tuple[str, float]:
        """How the function's copy stands ("stood", "began", "awaited" or "full"), and when it does."""
        copy = self.copies.get(name)
        if copy is not None and (now < copy.stands or now - copy.used <= self.settings.idle_timeout):
            said = "stood" if copy.stands <= now else "awaited"
            copy.used = max(copy.used, copy.stands, now)
            return said, copy.stands
        self.copies.pop(name, None)
        if not self._make_room(now):
            return "full", now
        stands = now + self.settings.load
        self.copies[name] = Copy(stands, stands)
        return "began", stands

    def report(self) -> WorkerLoad | None:
        """Busy share and requests held."""
        return WorkerLoad.from_values(REPORT_FIELDS, (min(1.0, self.held / 16), float(self.held)))


@dataclass(slots=True)
class Costs:
    """What one front end spent: processor seconds in all and for control, the longest turn, and messages."""

    processor: float = 0.0
    control: float = 0.0
    longest: float = 0.0
    longest_at: float = 0.0
    turns: int = 0
    decisions: Counter = field(default_factory=Counter)
    answers: Counter = field(default_factory=Counter)


class Meter:
    """Processor time spent within some functions of the module, counted once where they call each other."""

    def __init__(self) -> None:
        self.depth, self.seconds, self.calls = 0, 0.0, Counter()

    def wrap(self, owner: object, name: str) -> None:
        """Measures that function from now on, if the text has it."""
        inner = getattr(owner, name, None)
        if inner is None:
            return

        def measured(*args: object, **more: object) -> object:
            self.calls[name] += 1
            if self.depth:
                return inner(*args, **more)
            self.depth, began = 1, time.process_time()
            try:
                return inner(*args, **more)
            finally:
                self.depth = 0
                self.seconds += time.process_time() - began

        setattr(owner, name, measured)


@dataclass(slots=True, eq=False)
class HollowFrontEnd:
    """A front end and what it is owed."""

    number: int
    router: Router
    costs: Costs = field(default_factory=Costs)
    wake_at: float = float("-inf")
    told: dict[str, float] = field(default_factory=dict)  # when it was told that a worker drains or is gone
    taken: deque[float] = field(default_factory=deque)
    ordered: deque[float] = field(default_factory=deque)
    final: dict[int, str] = field(default_factory=dict)  # answers of the requests that are not over yet
    due: dict[int, float] = field(default_factory=dict)


class HollowFleet:
    """Front ends, workers and clients; judges the five rules as they run, in `broken`."""

    def __init__(
        self,
        settings: Settings,
        rows: Iterable[Endpoint],
        front_ends: int,
        seed: int = 1,
        tape: "DecisionRecorder | None" = None,
    ) -> None:
        self.settings, self.random, self.now, self.tape = settings, random.Random(seed), 0.0, tape
        self.turn, self.events = itertools.count(), []
        self.workers = {row.ident: HollowWorker(row, settings) for row in rows}
        self.broken: list[str] = []
        self.cold_share: dict[str, float] = {}  # most that a cold worker got, of what it bears
        self.waits: list[float] = []  # ms until a request that began or awaited a load was answered
        self.ids = itertools.count(1)
        self.handlers = {
            Forward: self._forward,
            Cancel: self._cancel,
            Reject: self._reject,
            Fail: self._fail,
            Prewarm: self._prewarm,
            HealthCheck: self._health_check,
            FollowEndpoints: self._ignore,
            LogNote: self._ignore,
        }
        self.fronts = [HollowFrontEnd(number, settings.router(0.0, number, tape)) for number in range(front_ends)]
        for front in self.fronts:
            self.tell_list(front, [worker.endpoint for worker in self.workers.values()], True)

    # ---- time ----

    def at(self, when: float, act: Callable, *args: object) -> None:
        """Does that at that time."""
        heapq.heappush(self.events, (when, next(self.turn), act, args))

    def run(self, until: float) -> None:
        """Plays on to that time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        self.now = until

    # ---- the front ends' side ----

    def tell(self, front: HollowFrontEnd, name: str, *args: object) -> None:
        """Tells a front end one thing and carries out what it decides."""
        if self.tape is not None:
            for what, given in ((name, args), ("decide", ())):
                if what:
                    self.tape.record_input(self.now, what, given)
        began = time.process_time()
        front.router.advance(self.now)
        if name:
            getattr(front.router, name)(*args)
        decisions = list(iter(front.router.decide, None))
        took = time.process_time() - began
        for decision in decisions if self.tape is not None else ():
            self.tape.record_decision(decision)
        costs = front.costs
        costs.processor += took
        costs.turns += 1
        if took > costs.longest:
            costs.longest, costs.longest_at = took, self.now
        for decision in decisions:
            costs.decisions[decision_word(decision)] += 1
            self.handlers[type(decision)](front, decision)
        wake = front.router.wake_at
        if front.wake_at <= self.now or wake < front.wake_at:
            front.wake_at = max(wake, self.now + 0.001)
            self.at(front.wake_at, self._wake, front, front.wake_at)

    def _wake(self, front: HollowFrontEnd, due: float) -> None:
        if front.wake_at == due:
            self.tell(front, "")

    def tell_list(self, front: HollowFrontEnd, rows: list[Endpoint], whole: bool = False) -> None:
        """Tells a front end of rows of the list."""
        for row in rows:
            if row.state == "ready":
                front.told.pop(row.ident, None)
            else:
                front.told.setdefault(row.ident, self.now)
        self.tell(front, "endpoints_changed", rows, whole)

    def ask(self, front: HollowFrontEnd, name: str, repeat: bool = False) -> int:
        """A client asks a front end for a function."""
        ident, settings = next(self.ids), self.settings
        front.due[ident] = self.now + settings.deadline
        front.taken.append(self.now)
        self.at(front.due[ident], self._time_up, front, ident)
        method = front.router.request_classes[ident % settings.methods]
        self.tell(
            front,
            "request_received",
            RequestReceived(ident, settings.deadline, method, name, settings.copy, settings.lanes, None, None, repeat),
        )
        return ident

    def _time_up(self, front: HollowFrontEnd, ident: int) -> None:
        request = front.router.requests.get(ident)
        for attempt in [co for co in request.attempts if co.outcome is None] if request else ():
            self._end(front, request, attempt, "timeout", None)
        if front.final.pop(ident, None) is None:
            self.broken.append(f"rule 1: request {ident} of front end {front.number} was never answered")
        front.due.pop(ident, None)

    def _answer(self, front: HollowFrontEnd, ident: int, word: str) -> None:
        if ident in front.final or ident not in front.due:
            self.broken.append(f"rule 1: request {ident} of front end {front.number} was answered again or late")
        front.final[ident] = word
        front.costs.answers[word] += 1

    def _reject(self, front: HollowFrontEnd, decision: Reject) -> None:
        request = decision.request
        if request.request_class.effect != "idempotent" and may_have_run(request):
            self.broken.append(f"rule 2: request {request.ident} was refused and may have run")
        self._answer(front, request.ident, "denied")

    def _fail(self, front: HollowFrontEnd, decision: Fail) -> None:
        self._answer(front, decision.request.ident, "aborted")

    def _ignore(self, front: HollowFrontEnd, decision: Decision) -> None:
        pass

    def _cancel(self, front: HollowFrontEnd, decision: Cancel) -> None:
        attempt = decision.attempt
        if attempt.outcome is None:
            self._end(front, attempt.request, attempt, "cancelled", None)

    def _end(
        self, front: HollowFrontEnd, request: Request, attempt: Attempt, outcome: str, standing: str | None
    ) -> None:
        worker = self.workers.get(attempt.replica.worker.endpoint.ident)
        report = worker.report() if worker and outcome in ("ok", "full") else None
        company = worker.held if worker and outcome == "ok" else 0
        if outcome == "ok" and request.ident not in front.final:
            self._answer(front, request.ident, "ok")
            if standing != "stood":
                self.waits.append(self.now - request.received_at)
        final = request.ident in front.final
        finished = AttemptFinished(request.ident, attempt.number, outcome, final, standing, company, report)
        self.tell(front, "attempt_finished", finished)

    # ---- the workers' side ----

    def _may_send(self, front: HollowFrontEnd, ident: str, what: str) -> None:
        told = front.told.get(ident)
        if told is not None and self.now > told:
            self.broken.append(f"rule 3: front end {front.number} sent {what} to {ident}, told of at {told:.0f}")

    def _forward(self, front: HollowFrontEnd, decision: Forward) -> None:
        request = decision.request
        attempt, ident = request.attempts[-1], decision.worker.endpoint.ident
        self._may_send(front, ident, "a request")
        earlier = [co for co in may_have_run(request) if co is not attempt]
        if request.request_class.effect == "side-effecting" and earlier:
            self.broken.append(f"rule 2: request {request.ident} was sent again and may have run")
        there = self.workers.get(ident)
        if there is None or there.dead:
            self.at(self.now + 1.0, self._come_back, front, request, attempt, "unreached", None)
            return
        self._weigh_on(there)
        said, stands = there.load(request.function.name, self.now)
        if said == "full":
            self.at(self.now + 1.0, self._come_back, front, request, attempt, "full", None)
            return
        there.held += 1
        work = self.settings.work * self.random.uniform(0.5, 1.5)
        self.at(max(self.now, stands) + work, self._served, front, request, attempt, there, said)

    def _served(
        self, front: HollowFrontEnd, request: Request, attempt: Attempt, there: HollowWorker, said: str
    ) -> None:
        there.held -= 1
        copy = there.copies.get(request.function.name)
        if copy is not None:
            copy.used = max(copy.used, self.now)
        self._come_back(front, request, attempt, "cut" if there.dead else "ok", None if there.dead else said)

    def _come_back(
        self, front: HollowFrontEnd, request: Request, attempt: Attempt, outcome: str, standing: str | None
    ) -> None:
        if attempt.outcome is None:
            self._end(front, request, attempt, outcome, standing)

    def _weigh_on(self, there: HollowWorker) -> None:
        """Counts what a cold worker gets from all front ends within a window, against what it bears."""
        born, warmup = there.endpoint.started_at, self.settings.warmup
        if born is None or self.now - born >= warmup.ramp or self.rate is None:
            return
        there.came.append(self.now)
        while there.came[0] <= self.now - warmup.window:
            there.came.popleft()
        age = (self.now - born) / warmup.ramp
        share = warmup.multiple * (warmup.start_share + (1 - warmup.start_share) * age)
        allowed = share * self.rate * warmup.window
        bears = allowed + 2 * sqrt(allowed + 2) + 2
        part = len(there.came) / bears
        self.cold_share[there.endpoint.ident] = max(part, self.cold_share.get(there.endpoint.ident, 0.0))
        if part > 1:
            self.broken.append(f"rule 4: {len(there.came)} requests at {there.endpoint.ident}, which bears {bears:.1f}")

    rate: float | None = None  # requests a ms that a warm worker gets on average; cold ones are judged by it

    def _prewarm(self, front: HollowFrontEnd, decision: Prewarm) -> None:
        function = decision.function
        ident, ration = decision.worker.endpoint.ident, self.settings.ration
        self._may_send(front, ident, "a load order")
        front.ordered.append(self.now)
        for record in (front.ordered, front.taken):
            while record and record[0] <= self.now - ration.window:
                record.popleft()
        if len(front.ordered) > ration.free + ration.share * len(front.taken):
            self.broken.append(f"rule 5: {len(front.ordered)} load orders of front end {front.number}")
        there = self.workers.get(ident)
        said, stands = ("unreached", self.now) if there is None or there.dead else there.load(function.name, self.now)
        outcome = {"full": "full", "unreached": "unreached"}.get(said, "ok")
        self.at(max(self.now + 1.0, stands), self._held, front, ident, function.name, outcome, self.now)

    def _held(self, front: HollowFrontEnd, ident: str, name: str, outcome: str, since: float) -> None:
        self.tell(front, "prewarm_finished", ident, name, outcome, int(outcome == "ok"), self.now - since)

    def _health_check(self, front: HollowFrontEnd, decision: HealthCheck) -> None:
        self.at(self.now + 1.0, self._checked, front, decision.worker.endpoint.ident)

    def _checked(self, front: HollowFrontEnd, ident: str) -> None:
        there = self.workers.get(ident)
        if there is None or there.dead:
            self.tell(front, "health_checked", ident, "unreached", None)
        else:
            self.tell(front, "health_checked", ident, "ok", there.report())

    # ---- the list ----

    def announce(self, rows: list[Endpoint], delay: Callable[[HollowFrontEnd], float] = lambda front: 0.0) -> None:
        """Changes workers, and tells each front end after its delay."""
        for row in rows:
            if row.state == "gone":
                self.workers[row.ident].dead = True
                del self.workers[row.ident]
            elif row.ident in self.workers:
                self.workers[row.ident].endpoint = row
            else:
                self.workers[row.ident] = HollowWorker(row, self.settings)
        for front in self.fronts:
            self.at(self.now + delay(front), self.tell_list, front, rows)

    # ---- clients ----

    def clients(self, rate: float, draw: Callable[[], str], until: float) -> None:
        """Requests at that rate a second over all front ends, each at one by chance."""
        when = self.now + self.random.expovariate(rate / 1000)
        if when < until:
            self.at(when, self._client, rate, draw, until)

    def _client(self, rate: float, draw: Callable[[], str], until: float) -> None:
        self.ask(self.random.choice(self.fronts), draw())
        self.clients(rate, draw, until)

    def places(self) -> dict[str, set[str]]:
        """On which workers each function stands now."""
        found: dict[str, set[str]] = defaultdict(set)
        for ident, worker in self.workers.items():
            for name, copy in worker.copies.items():
                if copy.stands <= self.now and self.now - copy.used <= self.settings.idle_timeout:
                    found[name].add(ident)
        return found
