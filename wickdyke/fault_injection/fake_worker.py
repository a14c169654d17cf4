"""A stand-in worker: it loads, queues, runs and reports as a worker does, and fails as it is told to.

Work is time slept, not burned. What a call-out asks is in its input: {"mark": ..., "work_ms": ...,
"load_ms": ...}. All that comes in and goes out is written to the trace. Faults come as lines on standard input.
"""

import heapq
import itertools
import os
import random
import socket
import sys
import threading
from collections import deque

import msgspec

from wickdyke.fault_injection.trace import TraceRecorder, clock
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection, LineServer


class FakeWorkerConfig(msgspec.Struct):
    """What a stand-in is made of. Times are ms, memory is MB; capacity is ms of work a ms."""

    name: str
    socket: str
    trace: str
    store: str
    start: int
    seed: int
    cores: int = 4
    speed: float = 1.0
    memory_mb: float = 16000.0
    idle_life: float = 8000.0
    max_concurrent_loads: int = msgspec.field(default=4, name="loads_at_once")
    queue_capacity: int = msgspec.field(default=200, name="queue_most")
    start_share: float = 0.25
    ramp: float = 8000.0
    multiple: float = 3.0
    window: float = 1500.0
    fetch_fraction: float = msgspec.field(default=0.6, name="fetch_part")
    report_interval: float = msgspec.field(default=200.0, name="refresh")
    loads_on_demand: bool = msgspec.field(default=True, name="loads_on_call")
    warming_up: bool = msgspec.field(default=True, name="cold")


class Input(msgspec.Struct):
    """The input of a call-out."""

    mark: str = ""
    work_ms: float = 50.0
    load_ms: float = 500.0


class FakeReplica:
    """A copy of a program: standing once `ready`."""

    def __init__(self, program: str, memory: float, lanes: int, load: float, now: float) -> None:
        self.program, self.memory, self.lanes, self.load, self.used = program, memory, lanes, load, now
        self.busy, self.ready = 0, False


class RunningAttempt:
    """A call-out that is held here."""

    def __init__(
        self, wire: LineConnection, ident: int, run: worker_messages.RunRequest, asked: Input, company: int, number: int
    ) -> None:
        self.wire, self.ident, self.run, self.asked, self.company = wire, ident, run, asked, company
        self.number = number
        self.standing, self.copy, self.core, self.ended = "stood", None, False, False


class FakeWorker:
    """One worker. One lock guards all of it; one thread acts when something is due."""

    def __init__(self, build: FakeWorkerConfig) -> None:
        self.build, self.born = build, clock() if build.warming_up else clock() - 10 * build.ramp
        self.record, self.chance = TraceRecorder(build.trace, build.name), random.Random(build.seed)
        self.lock = threading.RLock()
        self.due = threading.Condition(self.lock)
        self.timers: list = []
        self.turn = itertools.count()
        self.copies: dict[str, list[FakeReplica]] = {}
        self.waiting: dict[str, deque[RunningAttempt]] = {}
        self.cores: deque[RunningAttempt] = deque()
        self.running = 0
        self.jobs: dict[tuple[LineConnection, int], RunningAttempt] = {}
        self.holds: list[tuple[LineConnection, int, str, int]] = []
        self.loads: deque[FakeReplica] = deque()
        self.loading = 0
        self.received: deque[tuple[float, float]] = deque()
        self.faults: dict[str, float] = {}
        self.triggers: list[dict] = []
        self.seen = {"call-out": 0, "load": 0}
        self.draining = False
        self.report: dict[str, float] = {}
        self.record("started", start=build.start, cold=build.warming_up, cores=build.cores, speed=build.speed)
        threading.Thread(target=self._beat, daemon=True).start()
        self._refresh()
        self.server = LineServer(build.socket, self._heard, self._gone)

    # ---- time ----

    def _at(self, delay: float, act, *args) -> None:
        with self.lock:
            heapq.heappush(self.timers, (clock() + delay, next(self.turn), act, args))
            self.due.notify()

    def _beat(self) -> None:
        while True:
            with self.lock:
                while not self.timers or self.timers[0][0] > clock():
                    self.due.wait((self.timers[0][0] - clock()) / 1000 if self.timers else None)
                _, _, act, args = heapq.heappop(self.timers)
                act(*args)

    def _share(self) -> float:
        age = clock() - self.born
        return min(1.0, self.build.start_share + (1 - self.build.start_share) * age / max(1.0, self.build.ramp))

    def _pace(self) -> float:
        """How many ms a ms of work takes on one core now."""
        slow = self.faults.get("slow", 1.0) * (1 + self.faults.get("age", 0.0))
        return slow / (self.build.speed * self._share() * (1 - self.faults.get("neighbour", 0.0)))

    def _refresh(self) -> None:
        held = sum(not job.ended for job in self.jobs.values())
        memory = sum(c.memory for each in self.copies.values() for c in each if c.busy or not c.ready)
        self.report = {
            "busy": min(1.0, self.running / self.build.cores + self.faults.get("neighbour", 0.0)),
            "held": float(held),
            "queue": float(max(0, held - self.running)),
            "loads": float(self.loading + len(self.loads)),
            "pinned": memory / self.build.memory_mb,
        }
        if "age" in self.faults:
            self.faults["age"] += self.faults["age_step"]
        for program, copies in list(self.copies.items()):
            for copy in [c for c in copies if c.ready and not c.busy]:
                if clock() - copy.used > self.build.idle_life:
                    copies.remove(copy)
            if not copies and not self.waiting.get(program):
                del self.copies[program]
        self._at(self.build.report_interval, self._refresh)

    # ---- what comes in ----

    def _heard(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        with self.lock:
            act = {
                "hello": self._hello,
                "run": self._run,
                "hold": self._hold,
                "drop": self._drop,
                "cancel": self._cancel,
                "probe": self._probe,
            }.get(request.method)
            if act is None:
                wire.say(jsonrpc.error_response(request.ident, jsonrpc.METHOD_NOT_FOUND, "Method not found"))
                return
            act(wire, request)

    def _hello(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        hello = msgspec.json.decode(request.params, type=worker_messages.GatewayHello)
        wire.who = hello.gateway
        self.record("hello", gateway=wire.who, start=self.build.start)
        if self._hangs():
            return
        wire.say(
            jsonrpc.result_response(
                request.ident,
                jsonrpc.encode(
                    worker_messages.WorkerHello(
                        worker_messages.VERSION, self.build.name, self.build.start, clock() - self.born, self.draining
                    )
                ),
            )
        )

    def _hangs(self) -> bool:
        return "hang" in self.faults

    def _probe(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        if not self._hangs():
            wire.say(jsonrpc.result_response(request.ident, jsonrpc.encode(worker_messages.HealthReport(self.report))))

    def _run(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        run = msgspec.json.decode(request.params, type=worker_messages.RunRequest)
        asked = msgspec.json.decode(run.input, type=Input)
        now = clock()
        self.record(
            "run",
            now,
            mark=asked.mark,
            gateway=wire.who,
            program=run.function,
            work=asked.work_ms,
            token=run.idempotency_key,
            start=self.build.start,
            job=self.seen["call-out"] + 1,
        )
        self.seen["call-out"] += 1
        self._trigger("call-out")
        company = sum(job.run.function == run.function and not job.ended for job in self.jobs.values())
        job = self.jobs[wire, request.ident] = RunningAttempt(
            wire, request.ident, run, asked, company, self.seen["call-out"]
        )
        if self._falls(now, asked.work_ms) or self._hangs():
            return
        if (late := self.faults.pop("late", None)) is not None:
            self._at(run.time_left_ms + late, self._answer, job)
            return
        if self.draining:
            self._refuse(job, worker_messages.DRAINING, "draining")
        elif self.chance.random() < self.faults.get("fail", 0.0):
            self._refuse(job, worker_messages.FAILED, "failed")
        elif sum(not each.ended for each in self.jobs.values()) > self.build.queue_capacity:
            self._refuse(job, worker_messages.FULL, "queue full")
        else:
            self._place(job, run, asked, now)

    def _falls(self, now: float, work: float) -> bool:
        """Whether this is too much for a cold worker: what was sent within the window, rejected or not."""
        self.received.append((now, work))
        while self.received[0][0] <= now - self.build.window:
            self.received.popleft()
        cold = now - self.born < self.build.ramp
        stands = self.build.multiple * self._share() * self.build.cores * self.build.speed * self.build.window
        if cold and sum(each for _, each in self.received) > stands:
            self.record("fell", start=self.build.start)
            os._exit(3)
        return False

    def _place(self, job: RunningAttempt, run: worker_messages.RunRequest, asked: Input, now: float) -> None:
        copies = self.copies.setdefault(run.function, [])
        if not copies:
            if not self.build.loads_on_demand:
                self._refuse(job, worker_messages.MISS, "not loaded")
                return
            if not self._load(run.function, run.memory_mb, run.concurrency, asked.load_ms):
                self._refuse(job, worker_messages.FULL, "no memory")
                return
            job.standing = "began"
        elif not any(copy.ready for copy in copies):
            job.standing = "awaited"
        self.waiting.setdefault(run.function, deque()).append(job)
        self._lanes(run.function)

    def _cancel(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        job = self.jobs.get((wire, msgspec.json.decode(request.params, type=worker_messages.CancelRequest).id))
        if job is not None:
            self.record("cancel", mark=job.asked.mark, gateway=wire.who, job=job.number)
            if job.ended:
                del self.jobs[wire, job.ident]
            else:
                self._end(job, "cancelled")

    def _gone(self, wire: LineConnection) -> None:
        with self.lock:
            if wire.who:
                self.record("hung-up", gateway=wire.who)
            for job in [job for (where, _), job in self.jobs.items() if where is wire and not job.ended]:
                self._end(job, "dropped")

    # ---- copies and loads ----

    def _load(self, program: str, memory: float, lanes: int, load: float) -> bool:
        held = sum(c.memory for each in self.copies.values() for c in each)
        idle = sorted(
            (
                c
                for each in self.copies.values()
                for c in each
                if c.ready and not c.busy and not self.waiting.get(c.program)
            ),
            key=lambda c: c.used,
        )
        while held + memory > self.build.memory_mb and idle:
            out = idle.pop(0)
            self.copies[out.program].remove(out)
            held -= out.memory
        if held + memory > self.build.memory_mb:
            return False
        copy = FakeReplica(program, memory, lanes, load, clock())
        self.copies.setdefault(program, []).append(copy)
        self.loads.append(copy)
        self.seen["load"] += 1
        self._trigger("load")
        self._fetches()
        return True

    def _fetches(self) -> None:
        while self.loads and self.loading < self.build.max_concurrent_loads:
            copy = self.loads.popleft()
            self.loading += 1
            threading.Thread(target=self._fetch, args=(copy,), daemon=True).start()

    def _fetch(self, copy: FakeReplica) -> None:
        """Fetches from the store in a thread of its own, then starts the copy."""
        good = False
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
                sock.connect(self.build.store)
                asked = {"program": copy.program, "took_ms": copy.load * self.build.fetch_fraction}
                sock.sendall(jsonrpc.request_line("fetch", jsonrpc.encode(asked), 1))
                _, result, _ = jsonrpc.parse_response(sock.makefile("rb").readline())
                good = result is not None
        except (OSError, jsonrpc.MalformedRequestError):
            pass
        if good:
            self._at(copy.load * (1 - self.build.fetch_fraction), self._loaded, copy, True)
        else:
            self._at(0.0, self._loaded, copy, False)

    def _loaded(self, copy: FakeReplica, good: bool) -> None:
        self.loading -= 1
        program = copy.program
        copies = self.copies.get(program, [])
        if copy in copies:
            copy.ready, copy.used = good, clock()
            self.record("loaded", program=program, good=good)
            if not good:
                copies.remove(copy)
                for job in list(self.waiting.get(program, ())) if not copies else ():
                    self._refuse(job, worker_messages.MISS, "the load failed")
        self._lanes(program)
        self._holds()
        self._fetches()

    def _hold(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        hold = msgspec.json.decode(request.params, type=worker_messages.PrewarmRequest)
        self.record("hold", gateway=wire.who, program=hold.function, copies=hold.replicas, start=self.build.start)
        if self._hangs():
            return
        if self.draining and hold.replicas:
            wire.say(jsonrpc.error_response(request.ident, worker_messages.DRAINING, "draining"))
            return
        copies = self.copies.setdefault(hold.function, [])
        for copy in copies[: hold.replicas]:
            copy.used = clock()
        while len(copies) < hold.replicas:
            if not self._load(hold.function, hold.memory_mb, hold.concurrency, hold.load_ms or 500.0):
                standing = jsonrpc.encode(worker_messages.PrewarmResult(sum(c.ready for c in copies)))
                wire.say(jsonrpc.error_response(request.ident, worker_messages.FULL, "no memory", standing))
                return
        self.holds.append((wire, request.ident, hold.function, hold.replicas))
        self._holds()

    def _holds(self) -> None:
        for held in list(self.holds):
            wire, ident, program, wanted = held
            copies = self.copies.get(program, [])
            standing = sum(copy.ready for copy in copies)
            body = jsonrpc.encode(worker_messages.PrewarmResult(standing))
            if standing >= wanted:
                wire.say(jsonrpc.result_response(ident, body))
            elif len(copies) < wanted:
                wire.say(jsonrpc.error_response(ident, worker_messages.FAILED, "a load failed", body))
            else:
                continue
            self.holds.remove(held)

    def _drop(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        program = msgspec.json.decode(request.params, type=worker_messages.UnloadRequest).program
        copies = self.copies.get(program, [])
        copies[:] = [copy for copy in copies if copy.busy or not copy.ready]

    # ---- lanes, cores and answers ----

    def _lanes(self, program: str) -> None:
        jobs = self.waiting.get(program, deque())
        while jobs:
            free = next((c for c in self.copies.get(program, ()) if c.ready and c.busy < c.lanes), None)
            if free is None:
                return
            job = jobs.popleft()
            free.busy += 1
            job.copy = free
            self.cores.append(job)
        self._cores()

    def _cores(self) -> None:
        while self.cores and self.running < self.build.cores:
            job = self.cores.popleft()
            self.running += 1
            job.core = True
            self._at(job.asked.work_ms * self._pace(), self._answer, job)

    def _answer(self, job: RunningAttempt) -> None:
        if job.ended:
            return
        if self._hangs() or self.chance.random() < self.faults.get("lose", 0.0):
            self._end(job, "lost", keep=True)
            return
        self._end(job, "ok")
        output = b'{"mark":%b}' % jsonrpc.encode(job.asked.mark)
        ran = worker_messages.RunResult(msgspec.Raw(output), job.standing, min(30, job.company), self.report)
        job.wire.say(jsonrpc.result_response(job.ident, jsonrpc.encode(ran)))

    def _refuse(self, job: RunningAttempt, code: int, why: str) -> None:
        self._end(job, worker_messages.OUTCOMES[code])
        told = jsonrpc.encode(worker_messages.RunErrorData(min(30, job.company), self.report, self.draining))
        job.wire.say(jsonrpc.error_response(job.ident, code, why, told))

    def _end(self, job: RunningAttempt, how: str, keep: bool = False) -> None:
        """The job gives back its lane and core; `keep` leaves it held, as far as the gateway can tell."""
        self.record("end", mark=job.asked.mark, gateway=job.wire.who, how=how, job=job.number)
        job.ended = True
        if not keep:
            self.jobs.pop((job.wire, job.ident), None)
        program = job.run.function
        if job in self.waiting.get(program, ()):
            self.waiting[program].remove(job)
        if job in self.cores:
            self.cores.remove(job)
        if job.core:
            self.running -= 1
        if job.copy is not None:
            job.copy.busy -= 1
            job.copy.used = clock()
        self._lanes(program)
        self._cores()

    # ---- faults ----

    def _trigger(self, event: str) -> None:
        for trigger in [t for t in self.triggers if t["on"] == event and t["nth"] == self.seen[event]]:
            self.triggers.remove(trigger)
            self.fault(trigger["fault"])

    def fault(self, told: dict) -> None:
        """Does or begins what it is told: {"fault": name, "value": figure, "for": ms}."""
        with self.lock:
            name, value, lasts = told["fault"], told.get("value", 1.0), told.get("for")
            self.record("fault", fault=name, value=value, lasts=lasts)
            if name == "die":
                os._exit(1)
            elif name == "drain":
                self.draining = True
            elif name == "release":
                for copies in self.copies.values():
                    copies[:] = [copy for copy in copies if copy.busy or not copy.ready]
            elif name == "age":
                self.faults["age"], self.faults["age_step"] = 0.0, value * self.build.report_interval / max(1.0, lasts)
            else:
                self.faults[name] = value
                if lasts is not None:
                    self._at(lasts, self._mend, name)

    def _mend(self, name: str) -> None:
        self.faults.pop(name, None)
        if name == "hang":
            for job in [job for job in self.jobs.values() if not job.ended and job.copy is None]:
                self._end(job, "lost", keep=True)


def main() -> None:
    """Runs one stand-in, built as the JSON in the first argument states, until its input ends."""
    standin = FakeWorker(msgspec.json.decode(sys.argv[1], type=FakeWorkerConfig))
    print("ready", flush=True)
    for line in sys.stdin:
        told = msgspec.json.decode(line)
        if "on" in told:
            with standin.lock:
                standin.triggers.append(told)
        else:
            standin.fault(told)
    os._exit(0)


if __name__ == "__main__":
    main()
