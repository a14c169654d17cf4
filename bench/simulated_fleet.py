"""A simulated fleet: front ends with the real router and simulated workers, in one process on a simulated clock.

Clients send requests for random functions. Nothing sleeps, and the only real clock that is read is that of processor
time, so the same seed gives the same run. Times are in milliseconds unless stated otherwise.
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

# Stated apart from the router's own set, so that rule 2 is checked independently of it.
NOT_RUN_OUTCOMES = frozenset({"full", "unreached", "unsent", "miss"})


def may_have_run(request: Request) -> list[Attempt]:
    """Returns the attempts of a request that a worker may have run."""
    return [attempt for attempt in request.attempts if attempt.outcome not in NOT_RUN_OUTCOMES]


def decision_name(decision: Decision) -> str:
    """Returns the name of a decision in counts and files: its class name in snake case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", type(decision).__name__).lower()


@dataclass(slots=True, eq=False)
class SimulatedFrontEnd:
    """A front end with its router, and the state that the rules are checked against. Times are simulated ms."""

    number: int
    router: Router
    costs: Costs = field(default_factory=Costs)
    wake_at: float = float("-inf")
    notified_at: dict[str, float] = field(default_factory=dict)  # for workers that drain or were removed
    request_times: deque[float] = field(default_factory=deque)
    prewarm_times: deque[float] = field(default_factory=deque)
    answer_by_request: dict[int, str] = field(default_factory=dict)  # of requests before their deadline
    deadlines: dict[int, float] = field(default_factory=dict)


class SimulatedFleet:
    """Front ends, workers and clients. Checks five rules during the run and lists the violations:

    1. Each request gets one answer, before its deadline.
    2. A request that may have run is neither rejected nor sent again where its effect forbids that.
    3. A front end sends nothing to a worker after it was notified that the worker drains or was removed.
    4. All front ends together keep to the limit of a worker in slow start.
    5. Each front end keeps to its prewarm quota.
    """

    def __init__(
        self,
        settings: Settings,
        rows: Iterable[Endpoint],
        front_end_count: int,
        seed: int = 1,
        recorder: "DecisionRecorder | None" = None,
    ) -> None:
        self.settings, self.random, self.now, self.recorder = settings, random.Random(seed), 0.0, recorder
        self.event_numbers, self.events = itertools.count(), []
        self.workers = {row.ident: SimulatedWorker(row, settings) for row in rows}
        self.violations: list[str] = []
        self.slow_start_load: dict[str, float] = {}  # by worker: the maximum ratio of requests to the limit
        self.load_waits: list[float] = []  # ms to the answer of requests whose function was not loaded
        self.request_ids = itertools.count(1)
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
        self.front_ends = [
            SimulatedFrontEnd(number, settings.router(0.0, number, recorder)) for number in range(front_end_count)
        ]
        for front_end in self.front_ends:
            self.notify_endpoints(front_end, [worker.endpoint for worker in self.workers.values()], True)

    # ---- simulated time ----

    def schedule(self, due_at: float, callback: Callable, *args: object) -> None:
        """Schedules a call of `callback` at the simulated time `due_at` (ms)."""
        heapq.heappush(self.events, (due_at, next(self.event_numbers), callback, args))

    def run(self, until: float) -> None:
        """Handles all events up to the simulated time `until` (ms)."""
        while self.events and self.events[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = until

    # ---- front ends ----

    def handle_input(self, front_end: SimulatedFrontEnd, name: str, *args: object) -> None:
        """Passes one input to a front end's router and carries out its decisions; an empty name is no input."""
        if self.recorder is not None:
            for input_name, arguments in ((name, args), ("decide", ())):
                if input_name:
                    self.recorder.record_input(self.now, input_name, arguments)
        started = time.process_time()
        front_end.router.advance(self.now)
        if name:
            getattr(front_end.router, name)(*args)
        decisions = list(iter(front_end.router.decide, None))
        elapsed = time.process_time() - started
        for decision in decisions if self.recorder is not None else ():
            self.recorder.record_decision(decision)
        costs = front_end.costs
        costs.cpu_seconds += elapsed
        costs.turn_count += 1
        if elapsed > costs.longest_turn_seconds:
            costs.longest_turn_seconds, costs.longest_turn_at = elapsed, self.now
        for decision in decisions:
            costs.decisions[decision_name(decision)] += 1
            self.handlers[type(decision)](front_end, decision)
        router_wake_at = front_end.router.wake_at
        if front_end.wake_at <= self.now or router_wake_at < front_end.wake_at:
            front_end.wake_at = max(router_wake_at, self.now + 0.001)
            self.schedule(front_end.wake_at, self._wake_up, front_end, front_end.wake_at)

    def _wake_up(self, front_end: SimulatedFrontEnd, due_at: float) -> None:
        if front_end.wake_at == due_at:
            self.handle_input(front_end, "")

    def notify_endpoints(self, front_end: SimulatedFrontEnd, rows: list[Endpoint], is_full_list: bool = False) -> None:
        """Notifies a front end of changed entries of the endpoint list, or of all entries where `is_full_list`."""
        for row in rows:
            if row.state == "ready":
                front_end.notified_at.pop(row.ident, None)
            else:
                front_end.notified_at.setdefault(row.ident, self.now)
        self.handle_input(front_end, "endpoints_changed", rows, is_full_list)

    def submit_request(self, front_end: SimulatedFrontEnd, name: str, repeat: bool = False) -> int:
        """Sends a client's request for the function `name` to a front end; returns the request's id."""
        ident, settings = next(self.request_ids), self.settings
        front_end.deadlines[ident] = self.now + settings.deadline
        front_end.request_times.append(self.now)
        self.schedule(front_end.deadlines[ident], self._check_deadline, front_end, ident)
        request_class = front_end.router.request_classes[ident % settings.class_count]
        self.handle_input(
            front_end,
            "request_received",
            RequestReceived(
                ident,
                settings.deadline,
                request_class,
                name,
                settings.replica_memory,
                settings.concurrency,
                None,
                None,
                repeat,
            ),
        )
        return ident

    def _check_deadline(self, front_end: SimulatedFrontEnd, ident: int) -> None:
        request = front_end.router.requests.get(ident)
        for attempt in [attempt for attempt in request.attempts if attempt.outcome is None] if request else ():
            self._finish_attempt(front_end, request, attempt, "timeout", None)
        if front_end.answer_by_request.pop(ident, None) is None:
            self.violations.append(f"rule 1: request {ident} of front end {front_end.number} was never answered")
        front_end.deadlines.pop(ident, None)

    def _record_answer(self, front_end: SimulatedFrontEnd, ident: int, answer: str) -> None:
        if ident in front_end.answer_by_request or ident not in front_end.deadlines:
            self.violations.append(
                f"rule 1: request {ident} of front end {front_end.number} was answered again or late"
            )
        front_end.answer_by_request[ident] = answer
        front_end.costs.answers[answer] += 1

    def _reject(self, front_end: SimulatedFrontEnd, decision: Reject) -> None:
        request = decision.request
        if request.request_class.effect != "idempotent" and may_have_run(request):
            self.violations.append(f"rule 2: request {request.ident} was rejected and may have run")
        self._record_answer(front_end, request.ident, "denied")

    def _fail(self, front_end: SimulatedFrontEnd, decision: Fail) -> None:
        self._record_answer(front_end, decision.request.ident, "aborted")

    def _ignore(self, front_end: SimulatedFrontEnd, decision: Decision) -> None:
        pass

    def _cancel(self, front_end: SimulatedFrontEnd, decision: Cancel) -> None:
        attempt = decision.attempt
        if attempt.outcome is None:
            self._finish_attempt(front_end, attempt.request, attempt, "cancelled", None)

    def _finish_attempt(
        self, front_end: SimulatedFrontEnd, request: Request, attempt: Attempt, outcome: str, load_note: str | None
    ) -> None:
        worker = self.workers.get(attempt.replica.worker.endpoint.ident)
        report = worker.report() if worker and outcome in ("ok", "full") else None
        concurrent = worker.in_flight if worker and outcome == "ok" else 0
        if outcome == "ok" and request.ident not in front_end.answer_by_request:
            self._record_answer(front_end, request.ident, "ok")
            if load_note != "stood":
                self.load_waits.append(self.now - request.received_at)
        is_answered = request.ident in front_end.answer_by_request
        finished = AttemptFinished(request.ident, attempt.number, outcome, is_answered, load_note, concurrent, report)
        self.handle_input(front_end, "attempt_finished", finished)

    # ---- workers ----

    def _check_may_send(self, front_end: SimulatedFrontEnd, ident: str, message: str) -> None:
        notified = front_end.notified_at.get(ident)
        if notified is not None and self.now > notified:
            self.violations.append(
                f"rule 3: front end {front_end.number} sent {message} to {ident}, notified at {notified:.0f}"
            )

    def _forward(self, front_end: SimulatedFrontEnd, decision: Forward) -> None:
        request = decision.request
        attempt, ident = request.attempts[-1], decision.worker.endpoint.ident
        self._check_may_send(front_end, ident, "a request")
        earlier_attempts = [other for other in may_have_run(request) if other is not attempt]
        if request.request_class.effect == "side-effecting" and earlier_attempts:
            self.violations.append(f"rule 2: request {request.ident} was sent again and may have run")
        worker = self.workers.get(ident)
        if worker is None or worker.dead:
            self.schedule(self.now + 1.0, self._return_attempt, front_end, request, attempt, "unreached", None)
            return
        self._check_slow_start(worker)
        load_note, loaded_at = worker.load(request.function.name, self.now)
        if load_note == "full":
            self.schedule(self.now + 1.0, self._return_attempt, front_end, request, attempt, "full", None)
            return
        worker.in_flight += 1
        work = self.settings.work * self.random.uniform(0.5, 1.5)
        self.schedule(
            max(self.now, loaded_at) + work, self._finish_work, front_end, request, attempt, worker, load_note
        )

    def _finish_work(
        self, front_end: SimulatedFrontEnd, request: Request, attempt: Attempt, worker: SimulatedWorker, load_note: str
    ) -> None:
        worker.in_flight -= 1
        replica = worker.replicas.get(request.function.name)
        if replica is not None:
            replica.used_at = max(replica.used_at, self.now)
        self._return_attempt(
            front_end, request, attempt, "cut" if worker.dead else "ok", None if worker.dead else load_note
        )

    def _return_attempt(
        self, front_end: SimulatedFrontEnd, request: Request, attempt: Attempt, outcome: str, load_note: str | None
    ) -> None:
        if attempt.outcome is None:
            self._finish_attempt(front_end, request, attempt, outcome, load_note)

    def _check_slow_start(self, worker: SimulatedWorker) -> None:
        """Checks rule 4: how many attempts all front ends send to a worker in slow start within a window.

        The limit is the mean number N that the settings allow, plus 2 x root of (N + 2) and 2 for chance.
        """
        started_at, slow_start = worker.endpoint.started_at, self.settings.slow_start
        if started_at is None or self.now - started_at >= slow_start.ramp or self.worker_request_rate is None:
            return
        worker.recent_arrivals.append(self.now)
        while worker.recent_arrivals[0] <= self.now - slow_start.window:
            worker.recent_arrivals.popleft()
        age = (self.now - started_at) / slow_start.ramp
        share = slow_start.multiple * (slow_start.start_share + (1 - slow_start.start_share) * age)
        allowed = share * self.worker_request_rate * slow_start.window
        max_requests = allowed + 2 * sqrt(allowed + 2) + 2
        load_ratio = len(worker.recent_arrivals) / max_requests
        self.slow_start_load[worker.endpoint.ident] = max(
            load_ratio, self.slow_start_load.get(worker.endpoint.ident, 0.0)
        )
        if load_ratio > 1:
            self.violations.append(
                f"rule 4: {len(worker.recent_arrivals)} requests at {worker.endpoint.ident}, over {max_requests:.1f}"
            )

    worker_request_rate: float | None = None  # mean requests per ms of a warm worker; None turns rule 4's check off

    def _prewarm(self, front_end: SimulatedFrontEnd, decision: Prewarm) -> None:
        function = decision.function
        ident, prewarm_quota = decision.worker.endpoint.ident, self.settings.prewarm_quota
        self._check_may_send(front_end, ident, "a prewarm")
        front_end.prewarm_times.append(self.now)
        for times in (front_end.prewarm_times, front_end.request_times):
            while times and times[0] <= self.now - prewarm_quota.window:
                times.popleft()
        if len(front_end.prewarm_times) > prewarm_quota.free + prewarm_quota.share * len(front_end.request_times):
            self.violations.append(f"rule 5: {len(front_end.prewarm_times)} prewarms of front end {front_end.number}")
        worker = self.workers.get(ident)
        load_note, loaded_at = (
            ("unreached", self.now) if worker is None or worker.dead else worker.load(function.name, self.now)
        )
        outcome = {"full": "full", "unreached": "unreached"}.get(load_note, "ok")
        self.schedule(
            max(self.now + 1.0, loaded_at), self._finish_prewarm, front_end, ident, function.name, outcome, self.now
        )

    def _finish_prewarm(
        self, front_end: SimulatedFrontEnd, ident: str, name: str, outcome: str, started_at: float
    ) -> None:
        self.handle_input(
            front_end, "prewarm_finished", ident, name, outcome, int(outcome == "ok"), self.now - started_at
        )

    def _health_check(self, front_end: SimulatedFrontEnd, decision: HealthCheck) -> None:
        self.schedule(self.now + 1.0, self._finish_health_check, front_end, decision.worker.endpoint.ident)

    def _finish_health_check(self, front_end: SimulatedFrontEnd, ident: str) -> None:
        worker = self.workers.get(ident)
        if worker is None or worker.dead:
            self.handle_input(front_end, "health_checked", ident, "unreached", None)
        else:
            self.handle_input(front_end, "health_checked", ident, "ok", worker.report())

    # ---- endpoint list ----

    def update_endpoints(
        self, rows: list[Endpoint], delay: Callable[[SimulatedFrontEnd], float] = lambda front_end: 0.0
    ) -> None:
        """Adds, changes and removes workers, and notifies each front end after its delay (ms)."""
        for row in rows:
            if row.state == "gone":
                self.workers[row.ident].dead = True
                del self.workers[row.ident]
            elif row.ident in self.workers:
                self.workers[row.ident].endpoint = row
            else:
                self.workers[row.ident] = SimulatedWorker(row, self.settings)
        for front_end in self.front_ends:
            self.schedule(self.now + delay(front_end), self.notify_endpoints, front_end, rows)

    # ---- clients ----

    def generate_requests(self, rate: float, next_function: Callable[[], str], until: float) -> None:
        """Generates `rate` requests per second until a simulated time (ms), each to a random front end."""
        sent_at = self.now + self.random.expovariate(rate / 1000)
        if sent_at < until:
            self.schedule(sent_at, self._send_generated_request, rate, next_function, until)

    def _send_generated_request(self, rate: float, next_function: Callable[[], str], until: float) -> None:
        self.submit_request(self.random.choice(self.front_ends), next_function())
        self.generate_requests(rate, next_function, until)

    def workers_by_function(self) -> dict[str, set[str]]:
        """Returns the ids of the workers on which each function is loaded now."""
        workers: dict[str, set[str]] = defaultdict(set)
        for ident, worker in self.workers.items():
            for name, replica in worker.replicas.items():
                if replica.loaded_at <= self.now and self.now - replica.used_at <= self.settings.idle_timeout:
                    workers[name].add(ident)
        return workers
