"""The desk: whoever turns it owns the FrontEnd.

Events come in by a queue, the module is told, its decisions are pulled and carried out, and it is woken at its
`wake_at`. Nothing here decides and nothing here waits: doors and links take bytes without blocking. How clients and
workers are spoken to is the asks' and the speech's; the desk is turned by a thread of its own or by a loop.
"""

import heapq
import itertools
import os
import queue
import threading
import time
import traceback
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from wickdyke.gateway import log as logs
from wickdyke.gateway.interfaces import (
    PendingRequest,
    CommandResult,
    WorkerClient,
    Command,
    EndpointList,
    WorkerProtocol,
)
from wickdyke.routing.model import Attempt, Request
from wickdyke.routing import decisions
from wickdyke.routing.decisions import Cancel, Fail, FollowEndpoints, Forward, HealthCheck, LogNote, Prewarm, Reject
from wickdyke.routing.router import Router

if TYPE_CHECKING:  # only one of the two ways in is loaded
    from wickdyke.gateway.circuit_breaker import CircuitBreaker
    from wickdyke.gateway.recording import DecisionRecorder

ROUND = 512  # events told to the module before its decisions are pulled, at most


LINES = 32  # changes of the list that are logged one by one; more are counted in one line
WENT_DOWN = 1000.0  # ms after a connection ended by which it is back, or its worker went down


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * 1000


class Coordinator:
    """Carries out what the module decides; see docs/architecture.md for the door it uses."""

    def __init__(
        self,
        station,
        seed: int,
        log,
        speech: WorkerProtocol,
        roster: EndpointList,
        tape: "DecisionRecorder | None" = None,
        breaker: "CircuitBreaker | None" = None,
    ) -> None:
        self.station, self.log, self.tape, self.breaker = station, log, tape, breaker
        self.speech, self.roster = speech, roster
        self.events: queue.SimpleQueue = queue.SimpleQueue()
        self.timers: list[tuple[float, int, Callable, tuple]] = []
        # When the time of each RPC is up. Numbers only: those of many seconds are kept, and the collector of
        # garbage would walk over them all if they held anything else.
        self.ends: list[tuple[float, int]] = []
        self.turn = itertools.count()
        self.links: dict[str, WorkerClient] = {}
        self.asks: dict[int, PendingRequest] = {}
        self.stopping = self.told = False
        self.counts: Counter[str] = Counter()
        self.ident = 0
        parts = {
            "instance": station.instance,
            "attempt_limits": station.attempt_limits,
            "function_cache": station.function_cache,
            "slow_start": station.slow_start,
            "prewarm_quota": station.prewarm_quota,
            "discovery": station.discovery,
            "cost_weights": station.cost_weights,
            "tenant_quotas": station.tenant_quotas,
        }
        now = clock()
        if tape is not None:
            tape.start(now, seed, station.methods, parts)
        self.router = Router(now, seed, station.methods, **parts)
        self.thread = threading.Thread(target=self._run, name="desk", daemon=True)
        self.actions = {
            decisions.Forward: self._call,
            decisions.Cancel: self._cancel,
            decisions.Reject: self._deny,
            decisions.Fail: self._abort,
            decisions.Prewarm: self._hold,
            decisions.HealthCheck: self._probe,
            decisions.FollowEndpoints: self._follow,
            decisions.LogNote: self._note,
        }
        self.handlers = {
            "asked": self._asked,
            "left": self._left,
            "gone": self._gone,
            "rows": self._rows,
            "hello": self._hello,
            "lost": self._lost,
            "unheard": self._unheard,
            "draining": self._draining,
            "back": self._back,
            "withdrawn": self._withdrawn,
        }

    # ---- called from other threads ----

    def open(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def take(self, event: tuple) -> None:
        """Takes an event from a door or the list: (name, ...)."""
        self.events.put(event)

    def tell(self, *event: object) -> None:
        """Takes an event from a link."""
        self.events.put(event)

    def busy(self) -> str:
        """Why no RPC can be taken now, in one word, or nothing."""
        if self.stopping:
            return "stopping"
        if len(self.asks) >= self.station.bounds.open_rpcs:
            return "gateway-full"
        return "overrun" if self.events.qsize() >= self.station.bounds.events else ""

    def idle(self) -> bool:
        """Whether nothing is owed."""
        return not self.asks and self.events.empty()

    def end(self) -> None:
        """Ends the thread and the links."""
        self.events.put(None)
        self.thread.join()
        for link in list(self.links.values()):
            link.close()

    # ---- the thread ----

    def _run(self) -> None:
        while self.turn_once(max(0.0, self.next_at() - clock())):
            pass

    # ---- for its thread, or for the loop that turns it ----

    def next_at(self) -> float:
        """When it is due next, if nothing comes before."""
        while self.ends and self.ends[0][1] not in self.asks:
            heapq.heappop(self.ends)
        return min(
            self.router.wake_at,
            self.timers[0][0] if self.timers else float("inf"),
            self.ends[0][0] if self.ends else float("inf"),
        )

    def turn_once(self, wait: float = 0.0) -> bool:
        """Takes what has come (waiting so many ms for a first event), does what is due, carries out what is
        decided. False once it was told to end."""
        events = self.events
        try:
            # Danger: when much is held one look costs more than the time between two, and each event alone
            # would wait for one. What has come by now is told first, then the decisions are pulled.
            event = events.get(True, wait / 1000) if wait > 0 else events.get(False)
            for left in range(ROUND, 0, -1):
                if event is None:
                    return False
                self._guarded(self.handlers[event[0]], event[1:])
                if left > 1:
                    event = events.get(False)
        except queue.Empty:
            pass
        now = clock()
        while self.ends and self.ends[0][0] <= now:
            self._guarded(self._time_up, (heapq.heappop(self.ends)[1],))
        while self.timers and self.timers[0][0] <= now:
            _, _, act, args = heapq.heappop(self.timers)
            self._guarded(act, args)
        if self.told or self.router.wake_at <= now:
            self._guarded(self._pull, ())
        return True

    def _guarded(self, act: Callable, args: tuple) -> None:
        try:
            act(*args)
        except Exception as bad:  # Danger: one bad event must not end the one thread that all hang on
            self._broken(bad)

    def _broken(self, bad: Exception) -> None:
        self.counts["faults"] += 1
        last = traceback.extract_tb(bad.__traceback__)[-1]
        self.log.error(
            "fault in the desk",
            why=f"{type(bad).__name__}: {bad}",
            where=f"{os.path.basename(last.filename)}:{last.lineno}",
        )

    def _at(self, when: float, act: Callable, *args: object) -> None:
        heapq.heappush(self.timers, (when, next(self.turn), act, args))

    def _inform(self, name: str, *args: object) -> None:
        """Tells the module one thing: that only updates its books."""
        now = clock()
        if self.tape is not None:
            self.tape.heard(now, name, args)
        self.router.advance(now)
        getattr(self.router, name)(*args)
        self.told = True

    def _pull(self) -> None:
        """Pulls all decisions and carries them out."""
        router, tape, self.told = self.router, self.tape, False
        now = clock()
        router.advance(now)
        if tape is not None:
            tape.heard(now, "decide", ())
        while (decision := router.decide()) is not None:
            if tape is not None:
                tape.decided(decision)
            # Danger: what breaks one decision must not keep the others back until the module is woken again.
            self._guarded(self.actions[type(decision)], (decision,))

    # ---- what happens ----

    def _asked(self, ask: PendingRequest) -> None:
        try:
            self._admit(ask)
        except Exception:
            if ask.told is None and not ask.done:  # nobody else knows of it; what is told is answered by its time
                ask.done = True
                ask.denied("fault")
            raise

    def _admit(self, ask: PendingRequest) -> None:
        if ask.done:  # taken back before its turn: it is no load, and the module need not hear of it
            return
        if self.stopping or len(self.asks) >= self.station.bounds.open_rpcs:
            ask.denied("stopping" if self.stopping else "gateway-full")
            return
        # What it waited for its turn here is no time that its client has left.
        waited = 0.0 if ask.begun is None else clock() - ask.begun
        left = ask.left - waited - self.station.answer_way
        if left <= 0:
            ask.denied("no-time")
            return
        away = self.breaker and self.breaker.turned_away(ask.call.program, ask.call.input, clock())
        if away is not None:
            why, wait = away
            self.counts[f"turned_away_{why}"] += 1
            ask.denied(why, wait)
            return
        self.ident += 1
        ask.told, call = self.ident, ask.call
        self.asks[self.ident] = ask
        self.counts["taken"] += 1
        heapq.heappush(self.ends, (clock() + left, self.ident))
        self._inform(
            "request_received",
            self.ident,
            left,
            ask.method,
            call.program,
            call.memory_mb,
            call.lanes,
            call.load_ms,
            call.work_ms,
            call.repeat,
            ask.timing,
        )

    def _time_up(self, ident: int) -> None:
        ask = self.asks.get(ident)
        if ask is None:
            return
        # The module reads the client's time as up at the same moment: it answers for good on what it is told here.
        # Of one that is answered, only call-outs are left that could not be cancelled and may never end.
        self._at(clock() + self.station.answer_way / 2, self._left_open, ident)
        self.told = True
        for attempt, order in list(ask.orders.items()):
            self._guarded(self._stop_waiting, (ask, order))
            self._guarded(self._ended, (ask, attempt, CommandResult("timeout")))

    def _stop_waiting(self, ask: PendingRequest, order: Command) -> None:
        if order.link is not None and self.station.attempt_limits.cancel:
            order.link.cancel(order, lambda: None)
        elif order.link is not None and not order.link.unsend(order):
            # Danger: where nothing may be cancelled, answers that never come would hold their places for good.
            self._at(clock() + ask.left, order.link.forget, order)

    def _left_open(self, ident: int) -> None:
        ask = self.asks.get(ident)
        if ask is not None and not ask.done:
            # Danger: an RPC that the module left open would be lost. Nothing known leads here; it is logged.
            self.counts["unanswered"] += 1
            self.log.error("rpc left open at its time", request=ident)
            self._close(ask, "aborted", "left-open")

    def answer_all(self, why: str) -> None:
        """For the loop that turns it: the process ends, so all that is open gets its final answer now. It is denied
        where no call-out was decided."""
        for ask in list(self.asks.values()):
            if not ask.done:
                self._guarded(self._close, (ask, "aborted" if ask.sent else "denied", why))

    def _close(self, ask: PendingRequest, answer: str, why: str) -> None:
        """Its final answer, which the module did not decide."""
        try:
            self._final(ask, answer, why)
        finally:
            try:
                self._inform("client_gone", ask.told)
            finally:
                self._forget(ask)

    def _left(self, ask: PendingRequest) -> None:
        if not ask.done:
            ask.done = True
            self.counts["left"] += 1
            if ask.told is not None:
                self._inform("client_gone", ask.told)
                self._unsend(ask)
                self._forget(ask)

    def _gone(self, asks: list[PendingRequest]) -> None:
        for ask in asks:
            self._left(ask)

    def _rows(self, rows: list) -> None:
        change = self.roster.rows(rows, clock())
        for name, address in change.addresses.items():
            if name in self.links:
                self.links.pop(name).retire()
            if address is not None and self.speech.eager:
                self._link(name)
        self._listed(change.listings)

    def _link(self, name: str) -> WorkerClient | None:
        """The way to a listed worker, made when it is first needed: most of a large fleet never is."""
        if name not in self.links and (address := self.roster.address(name)) is not None:
            self.links[name] = self.speech.link(name, address, self.tell)
        return self.links.get(name)

    def _listed(self, changes: list) -> None:
        if not changes:
            return
        for endpoint in changes:
            # Danger: what waits for a connection that is being made would go out after the time for a drain.
            # Also what waits for a worker to read. Could hurt nowhere: it never ran, and goes elsewhere.
            if endpoint.state != "ready" and endpoint.ident in self.links:
                self.links[endpoint.ident].recall()
        if len(changes) > LINES:
            self.log.info("workers listed", **Counter(endpoint.state for endpoint in changes))
        for endpoint in changes if len(changes) <= LINES else ():
            self.log.info(
                "worker listed",
                worker=endpoint.ident,
                state=endpoint.state,
                up_ms=None if endpoint.started_at is None else round(clock() - endpoint.started_at),
            )
        self._inform("endpoints_changed", changes, False)

    def _hello(self, link: WorkerClient, standing) -> None:
        if self.links.get(link.name) is link:
            self._listed(self.roster.hello(link.name, standing, clock()))

    def _unheard(self, link: WorkerClient, why: str) -> None:
        if self.links.get(link.name) is link:
            self._listed(self.roster.unheard(link.name, clock()))

    def _lost(self, link: WorkerClient, why: str) -> None:
        self.counts["links_lost"] += 1
        self.log.info("link lost", worker=link.name, why=why)

    def _draining(self, link: WorkerClient) -> None:
        if self.links.get(link.name) is link:
            self._listed(self.roster.draining(link.name))

    def _back(
        self, link: WorkerClient | None, order: Command, outcome: str, result: object = None, data: object = None
    ) -> None:
        ending = self.speech.ending(order, outcome, result, data)
        if order.kind == "run":
            self._run_back(order, ending)
        elif order.kind == "hold":
            worker, program, at = order.key
            if self.breaker and ending.outcome == "error":
                self.breaker.load_failed(program, worker, clock())
            elif self.breaker and ending.outcome == "ok" and ending.copies:
                self.breaker.stood(program)
            self._inform("prewarm_finished", worker, program, ending.outcome, ending.copies, clock() - at)
        elif order.kind == "probe":
            self._inform("health_checked", order.key, ending.outcome, ending.report)

    def _run_back(self, order: Command, ending: CommandResult) -> None:
        attempt: Attempt = order.key
        ask = self.asks.get(attempt.request.ident)
        if ask is None or attempt not in ask.orders:
            self.counts["late"] += 1
            return
        if ending.outcome == "ok":
            if self.breaker:
                self.breaker.stood(attempt.request.function.name)
            if not ask.done:
                if self.breaker:
                    self.breaker.ran(attempt.request.function.name, ask.call.input)
                self._final(ask, "ok", ending.output, len(attempt.request.attempts))
            self._ended(ask, attempt, ending)
            return
        self._ended(ask, attempt, ending)
        if self.breaker:
            self._harmed(ask, attempt, ending)

    def _harmed(self, ask: PendingRequest, attempt: Attempt, ending: CommandResult) -> None:
        """A call-out did not come to its answer: what that says of its program, or of the call."""
        program, worker = attempt.request.function.name, attempt.replica.worker.endpoint.ident
        if ending.outcome == "miss" and self.station.function_cache.loads_on_demand:
            self.breaker.load_failed(program, worker, clock())
        if ask.done or not (ending.inside or ending.outcome == "cut"):
            return
        mark = self.breaker.digest(ask.call.input)
        if ending.inside:
            self.breaker.copy_ended(program, mark, ending.inside, clock())
        else:
            seen = self.roster.seen.get(worker)
            if self.breaker.cut(worker, seen.start if seen else 0, program, mark):
                self._at(clock() + WENT_DOWN, self._settle, worker)
        # Danger: taken before the bar, it goes on from copy to copy by its attempts. Idempotent: denied is as good.
        request = attempt.request
        if (
            request.request_class.effect == "idempotent"
            and not request.closed
            and self.breaker.is_barred(program, mark)
        ):
            self._final(ask, "denied", "poison", self.breaker.calls.pauses.first)
            self._inform("client_gone", ask.told)
            self._forget(ask)

    def _settle(self, worker: str) -> None:
        seen, link = self.roster.seen.get(worker), self.links.get(worker)
        self.breaker.settle(worker, seen.start if seen and link and link.up else None, clock())

    def _ended(self, ask: PendingRequest, attempt: Attempt, ending: CommandResult) -> None:
        outcome = ending.outcome
        del ask.orders[attempt]
        self.counts[f"call_outs_{outcome}"] += 1
        self.log.debug(
            "call-out ended",
            request=ask.told,
            attempt=attempt.number,
            outcome=outcome,
            worker=attempt.replica.worker.endpoint.ident,
            took_ms=round(clock() - attempt.sent_at, 1),
        )
        try:
            self._inform(
                "attempt_finished",
                ask.told,
                attempt.number,
                outcome,
                ask.done,
                ending.standing,
                ending.company,
                ending.report,
            )
        finally:
            self._forget(ask)

    def _withdrawn(self, ask: PendingRequest, attempt: Attempt, outcome: str) -> None:
        if attempt in ask.orders:
            self._ended(ask, attempt, CommandResult(outcome))

    def _unsend(self, ask: PendingRequest) -> None:
        # Danger: what waits for a connection would go out after its RPC has ended, also where nothing may be
        # cancelled. Could hurt nowhere: no byte of it went.
        for attempt, order in list(ask.orders.items()):
            if order.link is not None and order.link.unsend(order):
                self.events.put(("withdrawn", ask, attempt, "unsent"))

    def _forget(self, ask: PendingRequest) -> None:
        if ask.done and not ask.orders:
            self.asks.pop(ask.told, None)
            if ask.rpc is not None:  # it is closed: without the circle it goes at once, not by the collector
                ask.rpc.attempts.clear()

    def _final(self, ask: PendingRequest, answer: str, *said: object) -> None:
        ask.done = True
        self.counts[answer] += 1
        try:
            self._unsend(ask)
        finally:
            getattr(ask, answer)(*said)
        self.log.debug("answered", request=ask.told, answer=answer, client=ask.client.number)
        ask.call.input = None  # of megabytes, maybe, while a call-out that was given up ends

    # ---- what is decided ----

    def _call(self, decision: Forward) -> None:
        request, worker, patience = decision.request, decision.worker, decision.timeout
        ask = self.asks[request.ident]
        ask.rpc = request
        attempt = request.attempts[ask.sent]
        ask.sent += 1
        name = worker.endpoint.ident
        left = max(0.0, min(request.deadline - clock(), request.deadline if patience is None else patience))
        order = ask.orders[attempt] = self.speech.run(attempt, ask, left)
        # Danger: its client may have left since it was decided. Nothing begins for it.
        link = order.link = self._link(name) if not ask.done and ask.wanted() else None
        if link is None:
            self.events.put(("back", None, order, "unsent"))
            return
        if patience is not None and clock() + patience < request.deadline:
            self._at(clock() + patience, self._patience_up, ask, attempt)
        link.send(order)

    def _patience_up(self, ask: PendingRequest, attempt: Attempt) -> None:
        if attempt in ask.orders:
            order = ask.orders[attempt]
            if self.station.attempt_limits.cancel:
                self._withdraw(ask, attempt, "timeout")
            elif order.link is not None and order.link.unsend(order):
                self._ended(ask, attempt, CommandResult("unsent"))
            else:  # it is out no more as far as the module goes; the check of routes has seen to the rest
                self._ended(ask, attempt, CommandResult("timeout"))

    def _cancel(self, decision: Cancel) -> None:
        attempt = decision.attempt
        ask = self.asks.get(attempt.request.ident)
        if ask is not None and attempt in ask.orders:
            self._withdraw(ask, attempt, "cancelled")

    def _withdraw(self, ask: PendingRequest, attempt: Attempt, outcome: str) -> None:
        # Danger: the next call-out beside one whose cancel still waits in our buffer would be a second at once.
        # So the outcome is told only when the cancel is with the kernel, or the connection is cut for it.
        order = ask.orders[attempt]
        link = order.link

        def done() -> None:
            self.events.put(("withdrawn", ask, attempt, outcome))

        said = link.cancel(order, done) if link is not None else "ended"
        if said == "unsent":
            self.events.put(("withdrawn", ask, attempt, "unsent"))
        elif said == "cancelled":
            done()
        elif said is None:
            self._at(clock() + self.station.attempt_limits.connect_timeout, self._cut, ask, attempt, link)

    def _cut(self, ask: PendingRequest, attempt: Attempt, link: WorkerClient) -> None:
        if attempt in ask.orders:
            self.log.warning("link cut", worker=link.name, why="it does not read, and a call-out is to end")
            link.cut()

    def _deny(self, decision: Reject) -> None:
        request, wait = decision.request, decision.retry_after
        ask, why = self.asks[request.ident], self._why(request)
        self.counts[f"denied_{why}"] += 1
        self._final(ask, "denied", why, wait)
        self._forget(ask)

    def _abort(self, decision: Fail) -> None:
        request = decision.request
        ask = self.asks[request.ident]
        self._final(ask, "aborted", self._why(request))
        self._forget(ask)

    def _why(self, request: Request) -> str:
        ended = [attempt.outcome for attempt in request.attempts if attempt.outcome]
        return ended[-1] if ended else "no-place"

    def _hold(self, decision: Prewarm) -> None:
        worker, program, copies = decision.worker, decision.function, decision.replicas
        name = worker.endpoint.ident
        link = self._link(name)
        order = self.speech.hold((name, program.name, clock()), program, copies)
        self.counts["holds"] += 1
        if link is None:
            self.events.put(("back", None, order, "unsent"))
            return
        self._at(clock() + self.station.function_cache.prewarm_timeout, self._unanswered, link, order)
        link.send(order)

    def _probe(self, decision: HealthCheck) -> None:
        worker = decision.worker
        name = worker.endpoint.ident
        link, order = self._link(name), self.speech.probe(name)
        self.counts["probes"] += 1
        if link is None:
            self.events.put(("back", None, order, "unsent"))
            return
        self._at(clock() + self.station.probe_wait, self._unanswered, link, order)
        link.send(order)

    def _unanswered(self, link: WorkerClient, order: Command) -> None:
        if link.forget(order):
            self._back(link, order, "timeout")

    def _follow(self, decision: FollowEndpoints) -> None:
        self.log.info("list followed", on=decision.enabled)  # the list is pushed to us by its watcher in any case

    def _note(self, decision: LogNote) -> None:
        event, keys = logs.keys(decision.text)
        self.log.info(event, **keys)
