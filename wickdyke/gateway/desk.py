"""The desk: the one thread that owns the FrontEnd.

Events come in by a queue, the module is told, its decisions are pulled and carried out, and it is woken at its
`wake_at`. Nothing here decides and nothing here waits: doors and links take bytes without blocking.
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

import msgspec

from wickdyke.gateway import log as logs
from wickdyke.gateway import ward as wards
from wickdyke.gateway.door import Ask
from wickdyke.gateway.link import Link, Order
from wickdyke.gateway.roster import Roster
from wickdyke.gateway.tape import Tape
from wickdyke.gateway.ward import Ward
from wickdyke.interface import CallOut, Program, Worker
from wickdyke.logic import FrontEnd
from wickdyke.protocol import back, front, jsonrpc
from wickdyke.settings.roll import Row
from wickdyke.settings.station import Station


ROUND = 512  # events told to the module before its decisions are pulled, at most


WENT_DOWN = 1000.0  # ms after a connection ended by which it is back, or its worker went down


def clock() -> float:
    """Monotonic time in ms."""
    return time.monotonic() * 1000


class Desk:
    """Carries out what the module decides; see docs/architecture.md for the door it uses."""

    def __init__(self, station: Station, seed: int, log, tape: Tape | None = None) -> None:
        self.station, self.log, self.tape = station, log, tape
        self.events: queue.SimpleQueue = queue.SimpleQueue()
        self.timers: list[tuple[float, int, Callable, tuple]] = []
        # When the time of each RPC is up. Numbers only: those of many seconds are kept, and the collector of
        # garbage would walk over them all if they held anything else.
        self.ends: list[tuple[float, int]] = []
        self.turn = itertools.count()
        self.links: dict[str, Link] = {}
        self.roster = Roster(station.zones, station.kinds)
        self.asks: dict[int, Ask] = {}
        self.stopping = self.told = False
        self.counts: Counter[str] = Counter()
        self.ident = 0
        parts = {"seat": station.seat, "allowance": station.allowance, "stock": station.stock,
                 "warmup": station.warmup, "ration": station.ration, "directory": station.directory,
                 "tariff": station.tariff, "shares": station.shares}
        now = clock()
        if tape is not None:
            tape.start(now, seed, station.methods, parts)
        self.front_end = FrontEnd(now, seed, station.methods, **parts)
        self.ward = Ward(station.isolation, station.seat.of, log)
        self.thread = threading.Thread(target=self._run, name="desk", daemon=True)
        self.verbs = {"call": self._call, "cancel": self._cancel, "deny": self._deny, "abort": self._abort,
                      "hold": self._hold, "probe": self._probe, "follow_list": self._follow, "note": self._note}
        self.handlers = {"asked": self._asked, "left": self._left, "gone": self._gone, "rows": self._rows,
                         "hello": self._hello, "lost": self._lost, "unheard": self._unheard,
                         "draining": self._draining, "back": self._back, "withdrawn": self._withdrawn}

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
        events = self.events
        while True:
            while self.ends and self.ends[0][1] not in self.asks:
                heapq.heappop(self.ends)
            wait = min(self.front_end.wake_at, self.timers[0][0] if self.timers else float("inf"),
                       self.ends[0][0] if self.ends else float("inf")) - clock()
            try:
                # Danger: when much is held one look costs more than the time between two, and each event alone
                # would wait for one. What has come by now is told first, then the decisions are pulled.
                event = events.get(True, wait / 1000) if wait > 0 else events.get(False)
                for left in range(ROUND, 0, -1):
                    if event is None:
                        return
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
            if self.told or self.front_end.wake_at <= now:
                self._guarded(self._pull, ())

    def _guarded(self, act: Callable, args: tuple) -> None:
        try:
            act(*args)
        except Exception as bad:  # Danger: one bad event must not end the one thread that all hang on
            self._broken(bad)

    def _broken(self, bad: Exception) -> None:
        self.counts["faults"] += 1
        last = traceback.extract_tb(bad.__traceback__)[-1]
        self.log.error("fault in the desk", why=f"{type(bad).__name__}: {bad}",
                       where=f"{os.path.basename(last.filename)}:{last.lineno}")

    def _at(self, when: float, act: Callable, *args: object) -> None:
        heapq.heappush(self.timers, (when, next(self.turn), act, args))

    def _inform(self, name: str, *args: object) -> None:
        """Tells the module one thing: that only updates its books."""
        now = clock()
        if self.tape is not None:
            self.tape.heard(now, name, args)
        self.front_end.woke(now)
        getattr(self.front_end, name)(*args)
        self.told = True

    def _pull(self) -> None:
        """Pulls all decisions and carries them out."""
        front_end, tape, self.told = self.front_end, self.tape, False
        now = clock()
        front_end.woke(now)
        if tape is not None:
            tape.heard(now, "decide", ())
        while (decision := front_end.decide()) is not None:
            if tape is not None:
                tape.decided(decision)
            self.verbs[decision[0]](*decision[1:])

    # ---- what happens ----

    def _asked(self, ask: Ask) -> None:
        if self.stopping or len(self.asks) >= self.station.bounds.open_rpcs:
            ask.answer(front.denied(ask.ident, "stopping" if self.stopping else "gateway-full"))
            return
        left = ask.left - self.station.answer_way
        if left <= 0:
            ask.answer(front.denied(ask.ident, "no-time"))
            return
        if (away := self.ward.turned_away(ask.call.program, ask.call.input, clock())) is not None:
            why, wait = away
            self.counts[f"turned_away_{why}"] += 1
            ask.answer(front.denied(ask.ident, why, wait))
            return
        self.ident += 1
        ask.told, call = self.ident, ask.call
        self.asks[self.ident] = ask
        self.counts["taken"] += 1
        heapq.heappush(self.ends, (clock() + left, self.ident))
        self._inform("took", self.ident, left, ask.method, call.program, call.memory_mb, call.lanes,
                     call.load_ms, call.work_ms, call.repeat, ask.timing)

    def _time_up(self, ident: int) -> None:
        ask = self.asks.get(ident)
        if ask is None:
            return
        # The module reads the client's time as up at the same moment: it answers for good on what it is told here.
        # Of one that is answered, only call-outs are left that could not be cancelled and may never end.
        self._at(clock() + self.station.answer_way / 2, self._left_open, ident)
        for call_out, order in list(ask.orders.items()):
            if order.link is not None and self.station.allowance.cancel:
                order.link.cancel(order, lambda: None)
            self._ended(ask, call_out, "timeout")
        self.told = True

    def _left_open(self, ident: int) -> None:
        ask = self.asks.get(ident)
        if ask is not None and not ask.done:
            # Danger: an RPC that the module left open would be lost. Nothing known leads here; it is logged.
            self.counts["unanswered"] += 1
            self.log.error("rpc left open at its time", rpc=ident)
            self._final(ask, front.aborted(ask.ident, "left-open"), "aborted")
            self._inform("left", ident)

    def _left(self, ask: Ask) -> None:
        if ask.told is not None and not ask.done:
            ask.done = True
            self.counts["left"] += 1
            self._inform("left", ask.told)
            self._forget(ask)

    def _gone(self, asks: list[Ask]) -> None:
        for ask in asks:
            self._left(ask)

    def _rows(self, rows: list[Row]) -> None:
        before = {name: seen.row.address for name, seen in self.roster.seen.items()}
        changes = self.roster.rows(rows, clock())
        for name, seen in self.roster.seen.items():
            if before.get(name) != seen.row.address:
                if name in self.links:
                    self.links[name].retire()
                self.links[name] = Link(name, seen.row.address, self.station.name, self.tell,
                                        self.station.allowance.dial, self.station.bounds.line,
                                        self.station.bounds.unread)
        for name in [name for name in self.links if name not in self.roster.seen]:
            self.links.pop(name).retire()
        self._listed(changes)

    def _listed(self, changes: list) -> None:
        if changes:
            for listing in changes:
                self.log.info("worker listed", worker=listing.ident, state=listing.state,
                              up_ms=None if listing.born is None else round(clock() - listing.born))
            self._inform("listed", changes, False)

    def _hello(self, link: Link, standing: back.Standing) -> None:
        if self.links.get(link.name) is link:
            self._listed(self.roster.hello(link.name, standing, clock()))

    def _unheard(self, link: Link, why: str) -> None:
        if self.links.get(link.name) is link:
            self._listed(self.roster.unheard(link.name, clock()))

    def _lost(self, link: Link, why: str) -> None:
        self.counts["links_lost"] += 1
        self.log.info("link lost", worker=link.name, why=why)

    def _draining(self, link: Link) -> None:
        if self.links.get(link.name) is link:
            self._listed(self.roster.draining(link.name))

    def _back(self, link: Link, order: Order, outcome: str, result: bytes | None, data: bytes | None) -> None:
        if order.kind == "run":
            self._run_back(order, outcome, result, data)
        elif order.kind == "hold":
            worker, program, at = order.key
            raw = result if result is not None else data
            held = _read(back.Held, raw)
            if outcome == "error":
                self.ward.load_failed(program, worker, clock())
            elif outcome == "ok" and held and held.copies:
                self.ward.stood(program)
            self._inform("held", worker, program, outcome, held.copies if held else 0, clock() - at)
        elif order.kind == "probe":
            probed = _read(back.Probed, result)
            self._inform("probed", order.key, outcome,
                         back.report(probed.report, self.station.seat.report) if probed else None)

    def _run_back(self, order: Order, outcome: str, result: bytes | None, data: bytes | None) -> None:
        call_out: CallOut = order.key
        ask = self.asks.get(call_out.rpc.ident)
        if ask is None or call_out not in ask.orders:
            self.counts["late"] += 1
            return
        names = self.station.seat.report
        if outcome == "ok":
            ran = _read(back.Ran, result)
            if ran is None:  # it ran, and what it said can't be read
                self._ended(ask, call_out, "error")
                return
            self.ward.stood(call_out.rpc.program.name)
            if not ask.done:
                self.ward.ran(call_out.rpc.program.name, ask.call.input)
                self._final(ask, front.ok(ask.ident, bytes(ran.output), len(call_out.rpc.call_outs)), "ok")
            self._ended(ask, call_out, "ok", ran.standing, ran.company, back.report(ran.report, names))
            return
        told = _read(back.Told, data)
        self._ended(ask, call_out, outcome, None, told.company if told else 0,
                    back.report(told.report, names) if told else None)
        self._harmed(ask, call_out, outcome, told.inside if told else 0)

    def _harmed(self, ask: Ask, call_out: CallOut, outcome: str, inside: int) -> None:
        """A call-out did not come to its answer: what that says of its program, or of the call."""
        program, worker = call_out.rpc.program.name, call_out.place.worker.listing.ident
        if outcome == "miss" and self.station.stock.loads_on_call:
            self.ward.load_failed(program, worker, clock())
        if ask.done or not (inside or outcome == "cut"):
            return
        mark = wards.digest(ask.call.input)
        if inside:
            self.ward.copy_ended(program, mark, inside, clock())
        else:
            seen = self.roster.seen.get(worker)
            if self.ward.cut(worker, seen.start if seen else 0, program, mark):
                self._at(clock() + WENT_DOWN, self._settle, worker)
        # Danger: taken before the bar, it goes on from copy to copy by its attempts. Idempotent: denied is as good.
        rpc = call_out.rpc
        if rpc.method.effect == "idempotent" and not rpc.closed and self.ward.is_barred(program, mark):
            self._final(ask, front.denied(ask.ident, "poison", self.ward.calls.pauses.first), "denied")
            self._inform("left", ask.told)
            self._forget(ask)

    def _settle(self, worker: str) -> None:
        seen, link = self.roster.seen.get(worker), self.links.get(worker)
        self.ward.settle(worker, seen.start if seen and link and link.up else None, clock())

    def _ended(self, ask: Ask, call_out: CallOut, outcome: str, standing: str | None = None, company: int = 0,
               report: tuple[float, ...] | None = None) -> None:
        del ask.orders[call_out]
        self.counts[f"call_outs_{outcome}"] += 1
        self.log.debug("call-out ended", rpc=ask.told, call_out=call_out.number, outcome=outcome,
                       worker=call_out.place.worker.listing.ident, took_ms=round(clock() - call_out.sent, 1))
        self._inform("ended", ask.told, call_out.number, outcome, ask.done, standing, company, report)
        self._forget(ask)

    def _withdrawn(self, ask: Ask, call_out: CallOut, outcome: str) -> None:
        if call_out in ask.orders:
            self._ended(ask, call_out, outcome)

    def _forget(self, ask: Ask) -> None:
        if ask.done and not ask.orders:
            self.asks.pop(ask.told, None)
            if ask.rpc is not None:  # it is closed: without the circle it goes at once, not by the collector
                ask.rpc.call_outs.clear()

    def _final(self, ask: Ask, body: bytes, answer: str) -> None:
        ask.done = True
        self.counts[answer] += 1
        ask.answer(body)
        self.log.debug("answered", rpc=ask.told, answer=answer, client=ask.client.number)
        ask.call.input = None  # of megabytes, maybe, while a call-out that was given up ends

    # ---- what is decided ----

    def _call(self, rpc, worker: Worker, patience: float | None) -> None:
        ask = self.asks[rpc.ident]
        ask.rpc = rpc
        call_out, call = rpc.call_outs[ask.sent], ask.call
        ask.sent += 1
        name = worker.listing.ident
        left = max(0.0, min(rpc.ends - clock(), rpc.ends if patience is None else patience))
        run = back.Run(rpc.method.name, rpc.program.name, call.input, rpc.program.memory, rpc.program.lanes, left,
                       call.load_ms, call.token)
        order = ask.orders[call_out] = Order("run", call_out, "run", jsonrpc.encode(run))
        link = order.link = self.links.get(name)
        if link is None:
            self.events.put(("back", None, order, "unsent", None, None))
            return
        if patience is not None and clock() + patience < rpc.ends:
            self._at(clock() + patience, self._patience_up, ask, call_out)
        link.send(order)

    def _patience_up(self, ask: Ask, call_out: CallOut) -> None:
        if call_out in ask.orders:
            if self.station.allowance.cancel:
                self._withdraw(ask, call_out, "timeout")
            else:  # it is out no more as far as the module goes; the check of routes has seen to the rest
                self._ended(ask, call_out, "timeout")

    def _cancel(self, call_out: CallOut) -> None:
        ask = self.asks.get(call_out.rpc.ident)
        if ask is not None and call_out in ask.orders:
            self._withdraw(ask, call_out, "cancelled")

    def _withdraw(self, ask: Ask, call_out: CallOut, outcome: str) -> None:
        # Danger: the next call-out beside one whose cancel still waits in our buffer would be a second at once.
        # So the outcome is told only when the cancel is with the kernel, or the connection is cut for it.
        order = ask.orders[call_out]
        link = order.link

        def done() -> None:
            self.events.put(("withdrawn", ask, call_out, outcome))

        said = link.cancel(order, done) if link is not None else "ended"
        if said == "unsent":
            self.events.put(("withdrawn", ask, call_out, "unsent"))
        elif said == "cancelled":
            done()
        elif said is None:
            self._at(clock() + self.station.allowance.dial, self._cut, ask, call_out, link)

    def _cut(self, ask: Ask, call_out: CallOut, link: Link) -> None:
        if call_out in ask.orders:
            self.log.warning("link cut", worker=link.name, why="it does not read, and a call-out is to end")
            link.cut()

    def _deny(self, rpc, wait: float | None) -> None:
        ask = self.asks[rpc.ident]
        self._final(ask, front.denied(ask.ident, self._why(rpc), wait), "denied")
        self._forget(ask)

    def _abort(self, rpc) -> None:
        ask = self.asks[rpc.ident]
        self._final(ask, front.aborted(ask.ident, self._why(rpc)), "aborted")
        self._forget(ask)

    def _why(self, rpc) -> str:
        ended = [call_out.outcome for call_out in rpc.call_outs if call_out.outcome]
        return ended[-1] if ended else "no-place"

    def _hold(self, worker: Worker, program: Program, copies: int) -> None:
        name = worker.listing.ident
        link = self.links.get(name)
        hold = back.Hold(program.name, program.memory, program.lanes, copies, program.load_hint or None)
        order = Order("hold", (name, program.name, clock()), "hold", jsonrpc.encode(hold))
        self.counts["holds"] += 1
        if link is None:
            self.events.put(("back", None, order, "unsent", None, None))
            return
        self._at(clock() + self.station.stock.hold_wait, self._unanswered, link, order)
        link.send(order)

    def _probe(self, worker: Worker) -> None:
        name = worker.listing.ident
        link, order = self.links.get(name), Order("probe", name, "probe", b"{}")
        self.counts["probes"] += 1
        if link is None:
            self.events.put(("back", None, order, "unsent", None, None))
            return
        self._at(clock() + self.station.probe_wait, self._unanswered, link, order)
        link.send(order)

    def _unanswered(self, link: Link, order: Order) -> None:
        if link.forget(order):
            self._back(link, order, "timeout", None, None)

    def _follow(self, on: bool) -> None:
        self.log.info("list followed", on=on)  # the list is pushed to us by its watcher in any case

    def _note(self, text: str) -> None:
        event, keys = logs.keys(text)
        self.log.info(event, **keys)


def _read(kind: type, raw: bytes | None):
    """A value of that kind, or None where it can't be read."""
    if not raw:
        return None
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
