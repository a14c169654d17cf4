"""What a worker does with calls, orders and memory: events in, decisions out. No clock, no I/O, no threads.

A host tells what happens (call, hold, cancel, loaded, ended, freed ...): these only update the books. Then it pulls
decide() until that returns None: tuples of a verb and objects of this module. `wake_at` is when to call woke next.

    load COPY            begin its load          run CALL COPY        hand the call to a free lane of the copy
    unload COPY          end it; it is idle      refuse CALL OUTCOME  answer it; `began` tells whether it may have run
    end COPY             end it, busy or not     stop CALL COPY       answer is given; have its lane end it
    held HOLD COUNT      answer an order         unheld HOLD OUTCOME COUNT

Times are float ms of the host, memory is MB.
"""

from collections import deque
from dataclasses import dataclass, field

FULL, FAILED, MISS, DRAINING, OUT_OF_TIME, ENDED = "full", "failed", "miss", "draining", "out-of-time", "ended"


@dataclass(slots=True, eq=False, repr=False)
class Copy:
    """A copy of a program. `state`: queued, loading, standing, spent (it gets no further call), gone."""

    program: "Program"
    number: int
    memory: float
    lanes: int
    state: str = "queued"
    calls: list["Call"] = field(default_factory=list)
    stuck: int = 0
    stuck_since: float = 0.0
    used: float = 0.0
    measured: float = 0.0

    @property
    def charge(self) -> float:
        """What it counts for: as stated, or as measured where that is more."""
        return max(self.memory, self.measured)

    @property
    def idle(self) -> bool:
        """Whether nothing is in it."""
        return self.state == "standing" and not self.calls and not self.stuck


@dataclass(slots=True, eq=False, repr=False)
class Program:
    """A program by name. `memory` and `lanes` are of the last order or, once loaded, of its manifest."""

    name: str
    copies: list[Copy] = field(default_factory=list)
    waiting: deque["Call"] = field(default_factory=deque)


@dataclass(slots=True, eq=False, repr=False)
class Call:
    """A call that is held. `ends` is when its time is up; `most` the greatest time it may run."""

    key: object
    program: Program
    memory: float
    lanes: int
    ends: float
    came: float
    standing: str = "stood"
    company: int = 0
    copy: Copy | None = None
    began: float | None = None
    done: bool = False
    number: int = 0  # the host's
    inside: int = 0  # calls in the copy that ended with it


@dataclass(slots=True, eq=False, repr=False)
class Hold:
    """An order for copies that is not answered yet."""

    key: object
    program: Program
    copies: int


@dataclass(slots=True, frozen=True)
class Ramp:
    """How a cold worker takes load: `start_share` of its calls at once at first, all after `ramp` ms. A ramp of 0 ms
    is none."""

    start_share: float = 0.25
    ramp: float = 0.0

    def share(self, age: float) -> float:
        """The part of its full load that it takes at this age in ms."""
        if age >= self.ramp:
            return 1.0
        return self.start_share + (1 - self.start_share) * age / self.ramp


class Schedule:
    """The books of one worker."""

    def __init__(
        self,
        now: float,
        memory: float,
        at_once: int,
        loads_at_once: int,
        queue: int,
        idle_life: float,
        run_time: float,
        stop_within: float,
        ramp: Ramp,
    ) -> None:
        self.now, self.born, self.memory, self.at_once = now, now, memory, at_once
        self.loads_at_once, self.queue, self.idle_life = loads_at_once, queue, idle_life
        self.run_time, self.stop_within, self.ramp = run_time, stop_within, ramp
        self.programs: dict[str, Program] = {}
        self.calls: dict[object, Call] = {}
        self.holds: dict[object, Hold] = {}
        self.loads: deque[Copy] = deque()
        self.loading = self.running = self.numbers = 0
        self.draining = False
        self.acts: deque[tuple] = deque()
        self.limits: dict[str, float] = {}
        self.next_look = now

    # ---- what the host tells ----

    def woke(self, now: float) -> None:
        """The time."""
        self.now = now

    def call(self, key: object, name: str, memory: float, lanes: int, left: float) -> None:
        """A call came; `left` ms until whoever asked gives up."""
        if key in self.calls:
            return
        program = self._program(name)
        call = Call(key, program, memory, lanes, self.now + left, self.now)
        call.company = sum(held.program is program for held in self.calls.values())
        self.calls[key] = call
        if self.draining:
            return self._refuse(call, DRAINING)
        held = len(self.calls)
        if held > self.queue or held > self._cold_most():
            return self._refuse(call, FULL)
        if not any(copy.state != "spent" for copy in program.copies):
            if self._order(program, memory, lanes) is None:
                return self._refuse(call, FULL)
            call.standing = "began"
        elif not any(copy.state == "standing" for copy in program.copies):
            call.standing = "awaited"
        program.waiting.append(call)

    def hold(self, key: object, name: str, memory: float, lanes: int, copies: int) -> None:
        """An order to have so many copies standing; 0 only asks. Those there are count as used now."""
        program = self._program(name)
        if copies and self.draining:
            self.acts.append(("unheld", Hold(key, program, copies), DRAINING, self._standing(program)))
            return
        live = [copy for copy in program.copies if copy.state != "spent"]
        for copy in live[:copies]:
            copy.used = self.now
        hold = Hold(key, program, copies)
        while len(live) < copies:
            copy = self._order(program, memory, lanes)
            if copy is None:
                self.acts.append(("unheld", hold, FULL, self._standing(program)))
                return
            live.append(copy)
        self.holds[key] = hold

    def cancel(self, key: object) -> None:
        """Whoever asked wants no answer any more (to a call or an order)."""
        self.holds.pop(key, None)
        call = self.calls.get(key)
        if call is not None and not call.done:
            self._over(call)
            self.calls.pop(key, None)

    def drop(self, name: str) -> None:
        """Idle copies of a program are to go."""
        for copy in [copy for copy in self._program(name).copies if copy.idle]:
            self._unload(copy)

    def fits(self, copy: Copy, memory: float, lanes: int, run_time: float | None) -> bool:
        """The manifest is read: what the copy really takes. False where there is no room for it; it is then over."""
        if copy.state != "loading":
            return False
        copy.lanes = lanes
        if run_time is not None:
            self.limits[copy.program.name] = run_time
        more, copy.memory = memory - copy.memory, memory
        if more > 0 and not self._room(0.0, keep=copy):
            return False
        return True

    def loaded(self, copy: Copy, outcome: str | None) -> None:
        """A load is over; None where the copy stands, else how it failed: full, miss or failed."""
        if copy.state != "loading":
            return
        self.loading -= 1
        if outcome is None:
            copy.state, copy.used = "standing", self.now
            return
        self._forget(copy)
        program = copy.program
        if not any(each.state != "spent" for each in program.copies):
            word = FULL if outcome == FULL else MISS  # nothing ran
            while program.waiting:
                self._refuse(program.waiting.popleft(), word)
        for hold in [hold for hold in self.holds.values() if hold.program is program]:
            if sum(each.state != "spent" for each in program.copies) < hold.copies:
                del self.holds[hold.key]
                self.acts.append(("unheld", hold, outcome, self._standing(program)))

    def ended(self, copy: Copy) -> None:
        """A copy is gone by itself, or was ended: what was in it may have run."""
        if copy.state in ("gone", "queued"):
            return
        if copy.state == "loading":
            self.loaded(copy, FAILED)
            return
        calls, copy.calls = copy.calls, []
        for call in calls:
            self.running -= 1
            call.copy, call.inside = None, len(calls) + copy.stuck
            self._refuse(call, ENDED)
        self.running -= copy.stuck
        copy.stuck = 0
        self._forget(copy)

    def answered(self, key: object) -> bool:
        """The copy gave the call's answer, good or bad. False where nobody waits for it."""
        call = self.calls.get(key)
        if call is None or call.done or call.copy is None:
            return False
        del self.calls[key]
        call.done = True
        self.running -= 1
        call.copy.calls.remove(call)
        call.copy.used = self.now
        return True

    def freed(self, copy: Copy) -> None:
        """A lane whose call was stopped is free again."""
        if copy.state in ("standing", "spent") and copy.stuck:
            copy.stuck -= 1
            self.running -= 1
            copy.used = self.now
            if not copy.stuck and copy.state == "spent":
                copy.state = "standing"

    def measured(self, copy: Copy, memory: float) -> None:
        """What a copy takes, in MB. Past what its manifest states it is ended."""
        copy.measured = memory
        if memory > copy.memory and copy.state in ("standing", "spent"):
            self.acts.append(("end", copy, f"{memory:.1f} MB of {copy.memory:g} MB"))
            self.ended(copy)

    def drain(self) -> None:
        """Nothing new is begun; what is held goes on."""
        self.draining = True

    # ---- what the host is told to do ----

    def decide(self) -> tuple | None:
        """The next decision, None where there is none for now."""
        if not self.acts:
            self._look()
        return self.acts.popleft() if self.acts else None

    @property
    def wake_at(self) -> float:
        """When to call woke and decide again, if nothing comes before."""
        whens = [call.ends for call in self.calls.values()]
        whens += [call.began + self._run_time(call.program) for call in self.calls.values() if call.began is not None]
        whens += [copy.stuck_since + self.stop_within for copy in self._copies() if copy.stuck]
        whens += [copy.used + self.idle_life for copy in self._copies() if copy.idle]
        return min(whens, default=self.now + 1000.0)

    def figures(self) -> dict[str, float]:
        """For reports: parts of calls at once and memory, RPCs held and waiting, loads."""
        held = len(self.calls)
        return {
            "busy": min(1.0, self.running / self.at_once),
            "held": float(held),
            "queue": float(max(0, held - self.running)),
            "loads": float(self.loading + len(self.loads)),
            "pinned": sum(c.charge for c in self._copies() if not c.idle) / self.memory,
            "cold": 1.0 - self.ramp.share(self.now - self.born),
        }

    # ---- the books ----

    def _program(self, name: str) -> Program:
        return self.programs.setdefault(name, Program(name))

    def _copies(self) -> list[Copy]:
        return [copy for program in self.programs.values() for copy in program.copies]

    def _standing(self, program: Program) -> int:
        return sum(copy.state == "standing" for copy in program.copies)

    def _run_time(self, program: Program) -> float:
        return min(self.run_time, self.limits.get(program.name, self.run_time))

    def _cold_most(self) -> float:
        share = self.ramp.share(self.now - self.born)
        return self.queue if share >= 1 else max(1.0, share * self.at_once)

    def _room(self, memory: float, keep: Copy | None = None, program: Program | None = None) -> bool:
        """Makes room by ending idle copies, those idle longest first; ends none where that would not do, nor `keep`
        nor a copy of `program`."""
        held = sum(copy.charge for copy in self._copies())
        idle = sorted(
            (
                copy
                for copy in self._copies()
                if copy.idle and copy is not keep and copy.program is not program and not copy.program.waiting
            ),
            key=lambda copy: copy.used,
        )
        if held - sum(copy.charge for copy in idle) + memory > self.memory:
            return False
        while held + memory > self.memory:
            copy = idle.pop(0)
            held -= copy.charge
            self._unload(copy)
        return True

    def _order(self, program: Program, memory: float, lanes: int) -> Copy | None:
        # Danger: room for a further copy is made by ending one that the same order counts as standing.
        if not self._room(memory, program=program):
            return None
        self.numbers += 1
        copy = Copy(program, self.numbers, memory, max(1, lanes))
        program.copies.append(copy)
        self.loads.append(copy)
        return copy

    def _unload(self, copy: Copy) -> None:
        self.acts.append(("unload", copy))
        self._forget(copy)

    def _forget(self, copy: Copy) -> None:
        copy.state = "gone"
        copy.program.copies.remove(copy)

    def _refuse(self, call: Call, outcome: str) -> None:
        if call.done:
            return
        call.done = True
        self.calls.pop(call.key, None)
        self.acts.append(("refuse", call, outcome))

    def _over(self, call: Call) -> None:
        """A call is not wanted any more: out of the queue, or its lane is to end it."""
        call.done = True
        if call.copy is None:
            if call in call.program.waiting:
                call.program.waiting.remove(call)
            return
        copy = call.copy
        copy.calls.remove(call)
        copy.stuck_since = self.now if not copy.stuck else copy.stuck_since
        copy.stuck += 1  # the lane is taken until it says otherwise
        self.acts.append(("stop", call, copy))

    def _look(self) -> None:
        now = self.now
        for call in [call for call in self.calls.values() if now >= call.ends]:
            self._time_up(call)
        for call in [
            call
            for call in self.calls.values()
            if call.began is not None and now >= call.began + self._run_time(call.program)
        ]:
            self._time_up(call)
        for copy in self._copies():
            if copy.stuck and now >= copy.stuck_since + self.stop_within:
                # Danger: a call that does not end takes its lane for ever. The rest of the copy is let finish first.
                copy.state = "spent"
                if not copy.calls:
                    self.acts.append(("end", copy, "a call does not end"))
                    self.ended(copy)
            elif copy.idle and now >= copy.used + self.idle_life and not copy.program.waiting:
                self._unload(copy)
        self._replace()
        self._start_loads()
        self._run()
        self._answer_holds()
        ordered = {hold.program for hold in self.holds.values()}
        for program in [
            each for each in self.programs.values() if not each.copies and not each.waiting and each not in ordered
        ]:
            del self.programs[program.name]
            self.limits.pop(program.name, None)

    def _time_up(self, call: Call) -> None:
        ran = call.copy is not None
        if call.done:
            return
        self._over(call)
        self.calls.pop(call.key, None)
        self.acts.append(("refuse", call, OUT_OF_TIME if ran else FULL))

    def _replace(self) -> None:
        """Where all copies of a program are spent, what waits for it needs another."""
        for program in list(self.programs.values()):
            if program.waiting and not any(copy.state != "spent" for copy in program.copies):
                first = program.waiting[0]
                if self._order(program, first.memory, first.lanes) is None and not program.copies:
                    while program.waiting:
                        self._refuse(program.waiting.popleft(), FULL)

    def _wanted(self, copy: Copy) -> bool:
        program = copy.program
        live = [each for each in program.copies if each.state != "spent"]
        ordered = max((hold.copies for hold in self.holds.values() if hold.program is program), default=0)
        return bool(program.waiting) and live.index(copy) == 0 or live.index(copy) < ordered

    def _start_loads(self) -> None:
        for copy in [copy for copy in self.loads if copy.state == "queued" and not self._wanted(copy)]:
            self._forget(copy)  # nothing waits for it any more
        self.loads = deque(copy for copy in self.loads if copy.state == "queued")
        while self.loads and self.loading < self.loads_at_once:
            copy = self.loads.popleft()
            copy.state = "loading"
            self.loading += 1
            self.acts.append(("load", copy))

    def _run(self) -> None:
        if self.running >= self.at_once:
            return
        ready = sorted(
            (
                call
                for program in self.programs.values()
                if program.waiting and any(copy.state == "standing" for copy in program.copies)
                for call in program.waiting
            ),
            key=lambda c: c.came,
        )
        for call in ready:
            if self.running >= self.at_once:
                return
            free = [
                copy
                for copy in call.program.copies
                if copy.state == "standing" and len(copy.calls) + copy.stuck < copy.lanes
            ]
            if free:
                copy = min(free, key=lambda each: (len(each.calls) + each.stuck, each.number))
                call.program.waiting.remove(call)
                call.copy, call.began, copy.used = copy, self.now, self.now
                copy.calls.append(call)
                self.running += 1
                self.acts.append(("run", call, copy))

    def _answer_holds(self) -> None:
        for hold in list(self.holds.values()):
            standing = self._standing(hold.program)
            if standing >= hold.copies:
                del self.holds[hold.key]
                self.acts.append(("held", hold, standing))
            elif len(hold.program.copies) < hold.copies and not self._order_for(hold):
                del self.holds[hold.key]
                self.acts.append(("unheld", hold, FAILED, standing))

    def _order_for(self, hold: Hold) -> bool:
        like = hold.program.copies[0] if hold.program.copies else None
        return like is not None and self._order(hold.program, like.memory, like.lanes) is not None
