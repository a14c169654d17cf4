"""A simulated fleet: front ends with the real router and simulated workers, in one process on a simulated clock.

Clients draw functions; nothing sleeps, and of the machine's clock only processor time is read, so the same seed gives
the same run. Times are milliseconds.
"""

import heapq
import itertools
import random
import re
import time
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import sqrt
from typing import TYPE_CHECKING

from bench.cost_meter import Costs
from bench.simulated_worker import Settings, SimulatedWorker
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
from wickdyke.routing.inputs import AttemptFinished, RequestReceived
from wickdyke.routing.model import Attempt, Endpoint, Request
from wickdyke.routing.router import Router

if TYPE_CHECKING:
    from wickdyke.gateway.recording import DecisionRecorder

NEVER_RAN = frozenset({"full", "unreached", "unsent", "miss"})  # independent of the router's own set


def may_have_run(request: Request) -> list[Attempt]:
    """The attempts of a request that may have run."""
    return [attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN]


def decision_word(decision: Decision) -> str:
    """The name of a decision in counts and files."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", type(decision).__name__).lower()


@dataclass(slots=True, eq=False)
class SimulatedFrontEnd:
    """A front end, and the answers and limits that it is checked against."""

    number: int
    router: Router
    costs: Costs = field(default_factory=Costs)
    wake_at: float = float("-inf")
    notified_at: dict[str, float] = field(default_factory=dict)  # of workers that drain or are gone (ms)
    request_times: deque[float] = field(default_factory=deque)
    prewarm_times: deque[float] = field(default_factory=deque)
    final: dict[int, str] = field(default_factory=dict)  # answers of open requests
    deadlines: dict[int, float] = field(default_factory=dict)


class SimulatedFleet:
    """Front ends, workers and clients; checks the five rules as they run, and lists the violations."""

    def __init__(
        self,
        settings: Settings,
        rows: Iterable[Endpoint],
        front_ends: int,
        seed: int = 1,
        recorder: "DecisionRecorder | None" = None,
    ) -> None:
        self.settings, self.random, self.now, self.recorder = settings, random.Random(seed), 0.0, recorder
        self.turn, self.events = itertools.count(), []
        self.workers = {row.ident: SimulatedWorker(row, settings) for row in rows}
        self.violations: list[str] = []
        self.slow_start_load: dict[str, float] = {}  # the highest part of its capacity that a warming worker was sent
        self.waits: list[float] = []  # ms until a request that started or awaited a load was answered
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
        self.fronts = [
            SimulatedFrontEnd(number, settings.router(0.0, number, recorder)) for number in range(front_ends)
        ]
        for front in self.fronts:
            self.notify_list(front, [worker.endpoint for worker in self.workers.values()], True)

    # ---- time ----

    def at(self, when: float, act: Callable, *args: object) -> None:
        """Schedules a call at that time (ms)."""
        heapq.heappush(self.events, (when, next(self.turn), act, args))

    def run(self, until: float) -> None:
        """Runs until that time (ms)."""
        while self.events and self.events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        self.now = until

    # ---- the front ends' side ----

    def inform(self, front: SimulatedFrontEnd, name: str, *args: object) -> None:
        """Passes one input to a front end and carries out its decisions."""
        if self.recorder is not None:
            for input_name, arguments in ((name, args), ("decide", ())):
                if input_name:
                    self.recorder.record_input(self.now, input_name, arguments)
        started = time.process_time()
        front.router.advance(self.now)
        if name:
            getattr(front.router, name)(*args)
        decisions = list(iter(front.router.decide, None))
        elapsed = time.process_time() - started
        for decision in decisions if self.recorder is not None else ():
            self.recorder.record_decision(decision)
        costs = front.costs
        costs.processor += elapsed
        costs.turns += 1
        if elapsed > costs.longest:
            costs.longest, costs.longest_at = elapsed, self.now
        for decision in decisions:
            costs.decisions[decision_word(decision)] += 1
            self.handlers[type(decision)](front, decision)
        wake = front.router.wake_at
        if front.wake_at <= self.now or wake < front.wake_at:
            front.wake_at = max(wake, self.now + 0.001)
            self.at(front.wake_at, self._wake, front, front.wake_at)

    def _wake(self, front: SimulatedFrontEnd, due: float) -> None:
        if front.wake_at == due:
            self.inform(front, "")

    def notify_list(self, front: SimulatedFrontEnd, rows: list[Endpoint], whole: bool = False) -> None:
        """Notifies a front end of entries of the endpoint list."""
        for row in rows:
            if row.state == "ready":
                front.notified_at.pop(row.ident, None)
            else:
                front.notified_at.setdefault(row.ident, self.now)
        self.inform(front, "endpoints_changed", rows, whole)

    def submit_request(self, front: SimulatedFrontEnd, name: str, repeat: bool = False) -> int:
        """A client sends a request of a function to a front end; returns the request's id."""
        ident, settings = next(self.ids), self.settings
        front.deadlines[ident] = self.now + settings.deadline
        front.request_times.append(self.now)
        self.at(front.deadlines[ident], self._time_up, front, ident)
        method = front.router.request_classes[ident % settings.class_count]
        self.inform(
            front,
            "request_received",
            RequestReceived(
                ident,
                settings.deadline,
                method,
                name,
                settings.replica_memory,
                settings.concurrency,
                None,
                None,
                repeat,
            ),
        )
        return ident

    def _time_up(self, front: SimulatedFrontEnd, ident: int) -> None:
        request = front.router.requests.get(ident)
        for attempt in [attempt for attempt in request.attempts if attempt.outcome is None] if request else ():
            self._end(front, request, attempt, "timeout", None)
        if front.final.pop(ident, None) is None:
            self.violations.append(f"rule 1: request {ident} of front end {front.number} was never answered")
        front.deadlines.pop(ident, None)

    def _answer(self, front: SimulatedFrontEnd, ident: int, word: str) -> None:
        if ident in front.final or ident not in front.deadlines:
            self.violations.append(f"rule 1: request {ident} of front end {front.number} was answered again or late")
        front.final[ident] = word
        front.costs.answers[word] += 1

    def _reject(self, front: SimulatedFrontEnd, decision: Reject) -> None:
        request = decision.request
        if request.request_class.effect != "idempotent" and may_have_run(request):
            self.violations.append(f"rule 2: request {request.ident} was refused and may have run")
        self._answer(front, request.ident, "denied")

    def _fail(self, front: SimulatedFrontEnd, decision: Fail) -> None:
        self._answer(front, decision.request.ident, "aborted")

    def _ignore(self, front: SimulatedFrontEnd, decision: Decision) -> None:
        pass

    def _cancel(self, front: SimulatedFrontEnd, decision: Cancel) -> None:
        attempt = decision.attempt
        if attempt.outcome is None:
            self._end(front, attempt.request, attempt, "cancelled", None)

    def _end(
        self, front: SimulatedFrontEnd, request: Request, attempt: Attempt, outcome: str, load_note: str | None
    ) -> None:
        worker = self.workers.get(attempt.replica.worker.endpoint.ident)
        report = worker.report() if worker and outcome in ("ok", "full") else None
        concurrent = worker.in_flight if worker and outcome == "ok" else 0
        if outcome == "ok" and request.ident not in front.final:
            self._answer(front, request.ident, "ok")
            if load_note != "stood":
                self.waits.append(self.now - request.received_at)
        final = request.ident in front.final
        finished = AttemptFinished(request.ident, attempt.number, outcome, final, load_note, concurrent, report)
        self.inform(front, "attempt_finished", finished)

    # ---- the workers' side ----

    def _may_send(self, front: SimulatedFrontEnd, ident: str, what: str) -> None:
        notified = front.notified_at.get(ident)
        if notified is not None and self.now > notified:
            self.violations.append(
                f"rule 3: front end {front.number} sent {what} to {ident}, told of at {notified:.0f}"
            )

    def _forward(self, front: SimulatedFrontEnd, decision: Forward) -> None:
        request = decision.request
        attempt, ident = request.attempts[-1], decision.worker.endpoint.ident
        self._may_send(front, ident, "a request")
        earlier = [other for other in may_have_run(request) if other is not attempt]
        if request.request_class.effect == "side-effecting" and earlier:
            self.violations.append(f"rule 2: request {request.ident} was sent again and may have run")
        worker = self.workers.get(ident)
        if worker is None or worker.dead:
            self.at(self.now + 1.0, self._attempt_returned, front, request, attempt, "unreached", None)
            return
        self._check_slow_start(worker)
        load_note, loaded_at = worker.load(request.function.name, self.now)
        if load_note == "full":
            self.at(self.now + 1.0, self._attempt_returned, front, request, attempt, "full", None)
            return
        worker.in_flight += 1
        work = self.settings.work * self.random.uniform(0.5, 1.5)
        self.at(max(self.now, loaded_at) + work, self._served, front, request, attempt, worker, load_note)

    def _served(
        self, front: SimulatedFrontEnd, request: Request, attempt: Attempt, worker: SimulatedWorker, load_note: str
    ) -> None:
        worker.in_flight -= 1
        replica = worker.replicas.get(request.function.name)
        if replica is not None:
            replica.used_at = max(replica.used_at, self.now)
        self._attempt_returned(
            front, request, attempt, "cut" if worker.dead else "ok", None if worker.dead else load_note
        )

    def _attempt_returned(
        self, front: SimulatedFrontEnd, request: Request, attempt: Attempt, outcome: str, load_note: str | None
    ) -> None:
        if attempt.outcome is None:
            self._end(front, request, attempt, outcome, load_note)

    def _check_slow_start(self, worker: SimulatedWorker) -> None:
        """Counts what a warming worker is sent within a window by all front ends, against its capacity."""
        born, slow_start = worker.endpoint.started_at, self.settings.slow_start
        if born is None or self.now - born >= slow_start.ramp or self.rate is None:
            return
        worker.recent_arrivals.append(self.now)
        while worker.recent_arrivals[0] <= self.now - slow_start.window:
            worker.recent_arrivals.popleft()
        age = (self.now - born) / slow_start.ramp
        share = slow_start.multiple * (slow_start.start_share + (1 - slow_start.start_share) * age)
        allowed = share * self.rate * slow_start.window
        bears = allowed + 2 * sqrt(allowed + 2) + 2
        part = len(worker.recent_arrivals) / bears
        self.slow_start_load[worker.endpoint.ident] = max(part, self.slow_start_load.get(worker.endpoint.ident, 0.0))
        if part > 1:
            self.violations.append(
                f"rule 4: {len(worker.recent_arrivals)} requests at {worker.endpoint.ident}, which bears {bears:.1f}"
            )

    rate: float | None = None  # requests a ms that a warm worker gets on average; warming ones are checked against it

    def _prewarm(self, front: SimulatedFrontEnd, decision: Prewarm) -> None:
        function = decision.function
        ident, prewarm_quota = decision.worker.endpoint.ident, self.settings.prewarm_quota
        self._may_send(front, ident, "a load order")
        front.prewarm_times.append(self.now)
        for record in (front.prewarm_times, front.request_times):
            while record and record[0] <= self.now - prewarm_quota.window:
                record.popleft()
        if len(front.prewarm_times) > prewarm_quota.free + prewarm_quota.share * len(front.request_times):
            self.violations.append(f"rule 5: {len(front.prewarm_times)} load orders of front end {front.number}")
        worker = self.workers.get(ident)
        load_note, loaded_at = (
            ("unreached", self.now) if worker is None or worker.dead else worker.load(function.name, self.now)
        )
        outcome = {"full": "full", "unreached": "unreached"}.get(load_note, "ok")
        self.at(max(self.now + 1.0, loaded_at), self._prewarmed, front, ident, function.name, outcome, self.now)

    def _prewarmed(self, front: SimulatedFrontEnd, ident: str, name: str, outcome: str, since: float) -> None:
        self.inform(front, "prewarm_finished", ident, name, outcome, int(outcome == "ok"), self.now - since)

    def _health_check(self, front: SimulatedFrontEnd, decision: HealthCheck) -> None:
        self.at(self.now + 1.0, self._checked, front, decision.worker.endpoint.ident)

    def _checked(self, front: SimulatedFrontEnd, ident: str) -> None:
        worker = self.workers.get(ident)
        if worker is None or worker.dead:
            self.inform(front, "health_checked", ident, "unreached", None)
        else:
            self.inform(front, "health_checked", ident, "ok", worker.report())

    # ---- the list ----

    def announce(self, rows: list[Endpoint], delay: Callable[[SimulatedFrontEnd], float] = lambda front: 0.0) -> None:
        """Changes workers, and notifies each front end after its delay (ms)."""
        for row in rows:
            if row.state == "gone":
                self.workers[row.ident].dead = True
                del self.workers[row.ident]
            elif row.ident in self.workers:
                self.workers[row.ident].endpoint = row
            else:
                self.workers[row.ident] = SimulatedWorker(row, self.settings)
        for front in self.fronts:
            self.at(self.now + delay(front), self.notify_list, front, rows)

    # ---- clients ----

    def clients(self, rate: float, draw: Callable[[], str], until: float) -> None:
        """Requests at `rate` per second until that time (ms), each at a random front end."""
        when = self.now + self.random.expovariate(rate / 1000)
        if when < until:
            self.at(when, self._client, rate, draw, until)

    def _client(self, rate: float, draw: Callable[[], str], until: float) -> None:
        self.submit_request(self.random.choice(self.fronts), draw())
        self.clients(rate, draw, until)

    def places(self) -> dict[str, set[str]]:
        """The workers on which each function is loaded now."""
        found: dict[str, set[str]] = defaultdict(set)
        for ident, worker in self.workers.items():
            for name, replica in worker.replicas.items():
                if replica.loaded_at <= self.now and self.now - replica.used_at <= self.settings.idle_timeout:
                    found[name].add(ident)
        return found
