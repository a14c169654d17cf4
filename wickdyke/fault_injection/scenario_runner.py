"""Plays a script: begins gateways, workers, a store and clients as processes, and does to them what it says."""

import heapq
import itertools
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence

import msgspec
import psutil

from wickdyke.config import endpoint_file
from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.fault_injection import fake_store, fake_worker, load_client, scenario
from wickdyke.fault_injection.scenario import Fault, Scenario
from wickdyke.fault_injection.trace import TraceRecorder, clock
from wickdyke.worker import package

GATEWAY = (sys.executable, "-m", "wickdyke.cli", "serve")
START_WITHIN = 30.0  # s until a process must be ready; generous, machines are busy


class RigError(Exception):
    """Something of the rig itself did not come up or did not end."""


class ChildProcess:
    """A process of ours, told what to do by lines on its standard input."""

    def __init__(self, argv: Sequence[str], log: str, ready: bool = True) -> None:
        self.errors = open(log, "ab")  # noqa: SIM115 - kept as long as the process
        self.process = subprocess.Popen(argv, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=self.errors)
        self.first = ""
        if ready:
            self.wait_ready(argv)

    def wait_ready(self, argv: Sequence[str]) -> None:
        """Waits for its first line."""
        line: list[bytes] = []
        reader = threading.Thread(target=lambda: line.append(self.process.stdout.readline()), daemon=True)
        reader.start()
        reader.join(START_WITHIN)
        if not line or not line[0]:
            self.kill()
            raise RigError(f"{' '.join(argv[:4])}: did not become ready; see {self.errors.name}")
        self.first = line[0].decode().strip()

    def tell(self, **order: object) -> None:
        """Says one line; it may be dead."""
        try:
            self.process.stdin.write(msgspec.json.encode(order) + b"\n")
            self.process.stdin.flush()
        except OSError:
            pass

    def kill(self) -> None:
        """Ends it outright."""
        self.process.kill()
        self.end()

    def end(self, within: float = 20.0) -> int:
        """Waits for its end and gives its code."""
        try:
            return self.process.wait(within)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return -signal.SIGKILL
        finally:
            for stream in (self.process.stdin, self.process.stdout, self.errors):
                try:
                    stream.close()
                except OSError:
                    pass


def gateway_text(script: Scenario, number: int) -> str:
    """The settings of one gateway of a script."""
    warmup, ration = script.warmup, script.ration
    lines = [
        "(gateway",
        f'  (name "g{number}")',
        f'  (listen (json-rpc "g{number}.sock"))',
        '  (workers (file "workers.sexp") (reread 50 ms))',
        f"  (seat (number {number - 1}) (of {script.gateways}))",
        f"  (seed {script.seed * 1000 + number})",
        f'  (kind "k" (memory {script.memory:g} MB))',
        *[f'  (zone "z{zone}")' for zone in range(1, script.zones + 1)],
        f'  (at "z{(number - 1) % script.zones + 1}")',
        f"  (report busy held queue{' pinned' if script.runtime else ''})",
        f"  (call-outs (most {script.call_outs}) (overlap {'yes' if script.overlap else 'no'})"
        f" (cancel {'yes' if script.cancel else 'no'}))",
        *(['  (routes (file "routes.sexp") (reread 50 ms))'] if script.routes else []),
        f"  (stock (idle-life {script.idle_life:g} ms) (may-hold {'yes' if script.holds else 'no'}))",
        f"  (warmup (start-share {warmup['start_share']:g}) (ramp {warmup['ramp']:g} ms)"
        f" (multiple {warmup['multiple']:g}) (window {warmup['window']:g} ms))",
        f"  (ration (free {ration['free']:g}) (share {ration['share']:g}) (window {ration['window']:g} ms))",
        f"  (drain-grace {script.drain_grace:g} ms)",
        f"  (answer-way {script.answer_way:g} ms)",
    ]
    for m in script.methods:
        window = f" (window {m.window:g} ms)" if m.effect == "tokened" else ""
        lines.append(
            f'  (method "{m.name}" (effect {m.effect}) (scope {m.scope}){window}'
            f" (soft-deadline {m.soft:g} ms) (deadline {m.deadline:g} ms) (gain {m.gain:g})"
            f" (late-gain {m.late_gain:g}))"
        )
    return "\n".join(lines) + ")\n"


def worker_text(script: Scenario, name: str) -> str:
    """The settings of one worker of our own in a script."""
    return (
        f'(worker (name "{name}") (listen "{name}.sock") (store (service "store.sock"))\n'
        f'  (cache (folder "{name}.cache") (most 200 MB)) (memory {script.memory:g} MB) (queue {script.queue})\n'
        f"  (calls-at-once {script.cores}) (idle-life {script.idle_life:g} ms) (stop-within 300 ms)\n"
        f"  (ramp (start-share {script.warmup['start_share']:g}) (ramp {script.warmup['ramp']:g} ms)))\n"
    )


PACKAGE = """import time
time.sleep({load} / 1000)
def run(asked):
    time.sleep(asked["work_ms"] / 1000)
    return {{"mark": asked["mark"]}}
"""


def write_packages(script: Scenario, store_folder: str) -> None:
    """The packages that a script's methods call: work is time slept, as is the load."""
    with tempfile.TemporaryDirectory(prefix="wd-") as folder:
        for method in script.methods:
            for at in range(method.programs):
                with open(os.path.join(folder, "main.py"), "w", encoding="utf-8") as sink:
                    sink.write(PACKAGE.format(load=method.load))
                with open(os.path.join(folder, package.MANIFEST), "w", encoding="utf-8") as sink:
                    sink.write(
                        f'(package "{method.name}/{at}" (version "1") (entry "main:run")'
                        f" (memory {method.memory:g} MB) (lanes {method.lanes}))"
                    )
                package.pack(folder, store_folder)


class ScenarioRunner:
    """One run of a script in a folder of its own."""

    def __init__(
        self,
        script: Scenario,
        folder: str,
        gateway: Sequence[str] = GATEWAY,
        say: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.script, self.folder, self.gateway, self.say = script, folder, gateway, say
        shutil.rmtree(folder, ignore_errors=True)
        os.makedirs(folder)
        self.trace_files = [self._path("director.trace")]
        self.record = TraceRecorder(self.trace_files[0], "director")
        self.lock = threading.Lock()
        self.timers: list = []
        self.list_due, self.told = 0.0, {}
        self.turn = itertools.count()
        self.starts = itertools.count(script.seed * 100000 + 1)
        self.workers: dict[str, ChildProcess] = {}
        self.rows: dict[str, EndpointRow] = {}
        self.gateways: dict[str, ChildProcess] = {}
        self.store: ChildProcess | None = None
        self.callers: list[ChildProcess] = []
        self.lag = script.list_lag
        self.codes: list[str] = []
        self.down: set[str] = set()

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def _at(self, delay: float, act: Callable, *args: object) -> None:
        with self.lock:
            heapq.heappush(self.timers, (clock() + delay, next(self.turn), act, args))

    # ---- the list ----

    def _list(self, name: str, state: str, lag: float | None = None) -> None:
        """Has the list tell of a worker, as late as lists do, and in the order in which things happened."""
        row = self.rows[name]
        self.list_due = max(self.list_due, clock() + (self.lag if lag is None else lag))
        self._at(
            self.list_due - clock(),
            self._write,
            EndpointRow(row.name, row.address, row.zone, row.kind, row.cell, row.cores, state, row.start),
        )

    def _write(self, row: EndpointRow) -> None:
        self.told[row.name] = row
        # Danger: a gateway may read the new list before this process gets to write it down. Ready counts from before
        # it is put there, the rest from after; else what was sent rightly looks like a drain that was not kept.
        before = clock()
        self._replace()
        self.record("told", before if row.state == "ready" else None, worker=row.name, state=row.state, start=row.start)

    def _route(self, text: str) -> None:
        with open(self._path("routes.new"), "w", encoding="utf-8") as sink:
            sink.write(f"(routes {text})\n")
        os.replace(self._path("routes.new"), self._path("routes.sexp"))

    def _replace(self) -> None:
        with open(self._path("workers.new"), "w", encoding="utf-8") as sink:
            sink.write(endpoint_file.format_endpoints([row for row in self.told.values() if row.state != "gone"]))
        os.replace(self._path("workers.new"), self._path("workers.sexp"))

    # ---- processes ----

    def _start_worker(self, name: str, cold: bool) -> None:
        script, start = self.script, next(self.starts)
        trace = self._path(f"{name}.trace")
        if trace not in self.trace_files:
            self.trace_files.append(trace)
        build = fake_worker.FakeWorkerConfig(
            name,
            self._path(f"{name}.sock"),
            trace,
            self._path("store.sock"),
            start,
            script.seed * 7919 + start,
            script.cores,
            script.speed,
            script.memory,
            script.idle_life,
            queue_capacity=script.queue,
            warming_up=cold,
            **script.warmup,
        )
        self.rows[name] = EndpointRow(
            name,
            build.socket,
            scenario.zone_of(script, name),
            "k",
            int(name[1:]) % 3,
            float(script.cores) * script.speed,
            "ready",
            start,
        )
        if name in self.workers:
            self.workers[name].end()
        if script.runtime:
            with open(self._path(f"{name}.sexp"), "w", encoding="utf-8") as sink:
                sink.write(worker_text(script, name))
            self.workers[name] = ChildProcess(
                (
                    sys.executable,
                    "-m",
                    "wickdyke.cli",
                    "worker",
                    self._path(f"{name}.sexp"),
                    "--trace",
                    trace,
                    "--start",
                    str(start),
                    "--log",
                    self._path(f"{name}.log"),
                ),
                self._path(f"{name}.err"),
                ready=False,
            )
            return
        self.workers[name] = ChildProcess(
            (sys.executable, "-m", "wickdyke.fault_injection.fake_worker", msgspec.json.encode(build).decode()),
            self._path(f"{name}.err"),
            ready=False,
        )

    def _start_gateway(self, name: str) -> None:
        self.record("gateway-started", gateway=name)
        self.gateways[name] = ChildProcess(
            (*self.gateway, self._path(f"{name}.sexp"), "--log", self._path(f"{name}.log")),
            self._path(f"{name}.err"),
            ready=False,
        )

    def _start_store(self) -> None:
        script = self.script
        if script.runtime:
            if not os.path.exists(self._path("store")):
                write_packages(script, self._path("store"))
            with open(self._path("store.sexp"), "w", encoding="utf-8") as sink:
                sink.write('(store (listen "store.sock") (folder "store"))')
            self.store = ChildProcess(
                (sys.executable, "-m", "wickdyke.cli", "store", self._path("store.sexp")), self._path("store.err")
            )
            return
        self.trace_files.append(self._path("store.trace"))
        self.store = ChildProcess(
            (
                sys.executable,
                "-m",
                "wickdyke.fault_injection.fake_store",
                msgspec.json.encode(
                    fake_store.FakeStoreConfig(self._path("store.sock"), self._path("store.trace"), script.store_pace)
                ).decode(),
            ),
            self._path("store.err"),
        )

    def start(self, traffic: bool = True) -> None:
        """Begins everything; returns when all are ready."""
        script = self.script
        self.record(
            "terms",
            transit=script.transit,
            overlap=script.overlap,
            drain_grace=script.drain_grace,
            warmup=script.warmup,
            ration=script.ration,
            methods={
                m.name: {"effect": m.effect, "scope": m.scope, "window": m.window, "soft": m.soft}
                for m in script.methods
            },
            workers={
                name: {
                    "zone": scenario.zone_of(script, name),
                    "cell": int(name[1:]) % 3,
                    "capacity": script.cores * script.speed,
                }
                for name in scenario.worker_names(script)
            },
        )
        self._start_store()
        for name in scenario.worker_names(script):
            self._start_worker(name, cold=False)
        for name, child in self.workers.items():
            child.wait_ready((name,))
        self.told = dict(self.rows)
        self._replace()
        if script.routes:
            self._route(script.routes)
        for name in self.rows:
            self.record("told", worker=name, state="ready", start=self.rows[name].start)
        for number in range(1, script.gateways + 1):
            with open(self._path(f"g{number}.sexp"), "w", encoding="utf-8") as sink:
                sink.write(gateway_text(script, number))
            self._start_gateway(f"g{number}")
        for name, child in self.gateways.items():
            child.wait_ready((name,))
        if not traffic:
            return
        kinds = [
            load_client.RequestKind(
                m.name, m.part, m.deadline, m.work, m.programs, m.memory, m.lanes, m.load, m.effect == "tokened"
            )
            for m in script.methods
        ]
        plan = load_client.LoadPlan(
            "c1",
            self._path("c1.trace"),
            {f"g{n}": self._path(f"g{n}.sock") for n in range(1, script.gateways + 1)},
            kinds,
            script.rate,
            script.length,
            script.seed,
            script.connections,
            script.most,
        )
        self.trace_files.append(plan.trace)
        self.callers.append(
            ChildProcess(
                (sys.executable, "-m", "wickdyke.fault_injection.load_client", msgspec.json.encode(plan).decode()),
                self._path("c1.err"),
            )
        )

    # ---- troubles ----

    def _do(self, trouble: Fault) -> None:
        values = trouble.values
        shown = " ".join([trouble.kind, *trouble.who, *[f"{k}={v:g}" for k, v in values.items()]])
        self.record("trouble", text=shown)
        self.say(f"{(clock() - self.began) / 1000:6.1f} s  {shown}")
        match trouble.kind:
            case "die":
                for name in trouble.who:
                    self._kill_worker(name, values["back"])
            case "lose-zone":
                for name in [n for n in self.rows if self.rows[n].zone in trouble.who]:
                    self._kill_worker(name, values["back"])
            case "drain":
                for name in trouble.who:
                    self._drain(name, values["for"])
            case "deploy":
                for at, name in enumerate(trouble.who):
                    self._at(at * values["each"], self._drain, name, values["each"] * 0.8)
            case "age":
                for name in trouble.who:
                    self.workers[name].tell(fault="age", value=values["factor"], **{"for": values["for"]})
                    self._at(values["for"], self._kill_worker, name, values["back"])
            case "reroute":
                self._route(trouble.text)
            case "kill-copy":
                for name in trouble.who:
                    self._kill_copy(name)
            case "release":
                for child in self.workers.values():
                    child.tell(fault="release")
            case "list-lag":
                self.lag = values["by"]
                self._at(values["for"], setattr, self, "lag", self.script.list_lag)
            case "kill-gateway":
                for name in trouble.who:
                    self._kill_gateway(name, values["back"])
            case "stall" if self.script.runtime:
                self.store.process.send_signal(signal.SIGSTOP)
                self._at(values["for"], self.store.process.send_signal, signal.SIGCONT)
            case "stall":
                self.store.tell(**{"for": values["for"]})
            case "store-down":
                self.store.kill()
                self._at(values["back"], self._start_store)
            case "burst" | "hot" | "once" | "short":
                self._traffic(trouble.kind, values)
            case _:
                for name in trouble.who:
                    self.workers[name].tell(**_fault(trouble))

    def _traffic(self, kind: str, values: dict[str, float]) -> None:
        begins, ends = {
            "burst": (values.get("factor"), 1.0),
            "hot": ([values.get("programs"), values.get("share")], [1, 0.0]),
            "once": (values.get("share"), 0.0),
            "short": (values.get("share"), 0.0),
        }[kind]
        for child in self.callers:
            child.tell(**{kind: begins})
            self._at(values["for"], lambda child=child: child.tell(**{kind: ends}))

    def _kill_worker(self, name: str, back: float) -> None:
        if name in self.down:
            return
        self.down.add(name)
        self.workers[name].kill()
        self.record("worker-killed", worker=name)
        self._list(name, "gone")
        self._at(back, self._worker_back, name)

    def _worker_back(self, name: str) -> None:
        self._start_worker(name, cold=True)
        threading.Thread(target=self._listed_back, args=(name, self.workers[name]), daemon=True).start()

    def _listed_back(self, name: str, child: ChildProcess) -> None:
        child.wait_ready((name,))
        self.down.discard(name)
        self._at(0.0, self._list, name, "ready")

    def _drain(self, name: str, lasts: float) -> None:
        if name in self.down:
            return
        self._list(name, "draining", 0.0)
        self._at(lasts, self._replaced, name)

    def _replaced(self, name: str) -> None:
        if name in self.down:
            return
        if self.script.runtime:
            self.down.add(name)
            self.workers[name].process.send_signal(signal.SIGTERM)
            self._at(500.0, self._ended, name)
        else:
            self.workers[name].tell(fault="drain")  # what still comes is turned away, what it holds ends
            self._at(500.0, self._kill_worker, name, 0.0)

    def _ended(self, name: str) -> None:
        """A worker that was asked to end: it is let finish what it holds."""
        if (code := self.workers[name].process.poll()) is None:
            self._at(50.0, self._ended, name)
            return
        if code:
            raise RigError(f"worker {name} ended with code {code}, expected 0; see {self._path(name)}.err")
        self.record("worker-killed", worker=name)
        self._list(name, "gone")
        self._at(0.0, self._worker_back, name)

    def _kill_copy(self, name: str) -> None:
        """Kills one copy of a worker: a child of its parent process."""
        for parent in psutil.Process(self.workers[name].process.pid).children():
            for copy in parent.children()[:1]:
                copy.kill()

    def _kill_gateway(self, name: str, back: float) -> None:
        self.gateways[name].kill()
        self.record("gateway-killed", gateway=name)
        self._at(back, self._start_gateway, name)

    def _watch(self) -> None:
        """Workers that ended by themselves: those told to die on an event come back, those that fell stay."""
        for name, child in self.workers.items():
            if name not in self.down and child.process.poll() is not None:
                self.down.add(name)
                self.record("worker-killed", worker=name)
                self.say(f"{(clock() - self.began) / 1000:6.1f} s  {name} ended with code {child.process.poll()}")
                self._list(name, "gone")
                if child.process.poll() == 1:
                    self._at(3000.0, self._worker_back, name)

    # ---- the run ----

    def run(self) -> list[str]:
        """Plays the whole script and gives the paths of its trace; raises Failed where the rig itself does."""
        try:
            self.start()
            self.began = clock()
            for trouble in self.script.troubles:
                if trouble.at is not None:
                    self._at(trouble.at, self._do, trouble)
                else:
                    self.workers[trouble.event_worker].tell(on=trouble.event, nth=trouble.nth, fault=_fault(trouble))
            over = clock() + self.script.length + 20000 + max(m.deadline for m in self.script.methods)
            while any(child.process.poll() is None for child in self.callers):
                self.step()
                if clock() > over:
                    raise RigError("the clients did not end")
            for name, child in self.gateways.items():
                if child.process.poll() is None:
                    child.process.send_signal(signal.SIGTERM)
                if (code := child.end()) != 0:
                    raise RigError(f"gateway {name} ended with code {code}, expected 0; see {self._path(name)}.err")
        finally:
            self.close()
        return self.trace_files

    def step(self) -> None:
        """Does what is due."""
        while self.timers and self.timers[0][0] <= clock():
            with self.lock:
                _, _, act, args = heapq.heappop(self.timers)
            act(*args)
        self._watch()
        time.sleep(0.005)

    def close(self) -> None:
        """Ends every process."""
        for child in [*self.callers, *self.gateways.values(), *self.workers.values(), self.store]:
            if child is not None and child.process.poll() is None:
                child.kill()
            elif child is not None:
                child.end()


def _fault(trouble: Fault) -> dict:
    values = trouble.values
    order: dict[str, object] = {"fault": trouble.kind}
    if "for" in values:
        order["for"] = values["for"]
    for name in ("factor", "share", "past"):
        if name in values:
            order["value"] = values[name]
    return order
