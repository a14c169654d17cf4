"""A worker: its doors to gateways, its parent process, its copies; the schedule decides, this carries it out.

One lock guards the schedule. What is done under it never waits: lines go to outboxes, loads to threads of their own.
"""

import contextlib
import os
import random
import socket
import subprocess
import sys
import threading
import time

import msgspec

from wickdyke.protocol import back, jsonrpc
from wickdyke.protocol.lines import Lines, TooLong
from wickdyke.settings.sexp import Unusable
from wickdyke.settings.workshop import Workshop
from wickdyke.transport.write_buffer import WriteBuffer, OutgoingMessage, PeerTooSlow
from wickdyke.transport.line_server import LineServer, LineConnection
from wickdyke.worker import copy as copies
from wickdyke.worker import meter, schedule, source
from wickdyke.worker.cache import Cache, NoRoom
from wickdyke.worker.schedule import Call, Copy, Hold, Schedule

CODES = {
    schedule.FULL: back.FULL,
    schedule.MISS: back.MISS,
    schedule.FAILED: back.FAILED,
    schedule.DRAINING: back.DRAINING,
    schedule.OUT_OF_TIME: back.OUT_OF_TIME,
    schedule.ENDED: back.ENDED,
}
WORDS = {
    schedule.FULL: "full",
    schedule.MISS: "the load failed",
    schedule.FAILED: "failed",
    schedule.DRAINING: "draining",
    schedule.OUT_OF_TIME: "its time is up",
    schedule.ENDED: "its copy ended",
}
COMPANY = 30  # told at most
START_WITHIN = 30.0  # s for a package to be imported
OUTPUT, EVERY = 1 << 16, 0.05  # bytes of what a copy prints that are read, and how often in s: a flood waits


def clock() -> float:
    """Monotonic ms."""
    return time.monotonic() * 1000


class House:
    """A standing copy as the worker holds it: its process and its socket."""

    def __init__(self, copy: Copy, sock: socket.socket, output: int, digest: str) -> None:
        self.copy, self.sock, self.output, self.digest = copy, sock, output, digest
        self.box = WriteBuffer(sock, 2 * copies.LINE, f"copy {copy.number}")
        self.pid = 0
        self.ready: threading.Event = threading.Event()
        self.failed: str | None = None
        self.printed = b""

    def say(self, message: dict) -> bool:
        """Sends it a line; False where it reads too little or is gone."""
        try:
            self.box.put(OutgoingMessage(msgspec.json.encode(message) + b"\n"))
        except (OSError, PeerTooSlow):
            return False
        return True


class Heard(msgspec.Struct):
    """A line of a copy."""

    ready: bool = False
    failed: str | None = None
    id: int | None = None
    output: msgspec.Raw = msgspec.Raw(b"")
    error: str | None = None
    freed: int | None = None


class Worker:
    """`open` begins to serve, `drain` and `close` end it."""

    def __init__(self, shop: Workshop, store, log, record=None, start: int | None = None) -> None:
        self.shop, self.store, self.log, self.tracing = shop, store, log, record is not None
        self.record = record or (lambda what, **more: None)
        self.start = start or random.SystemRandom().getrandbits(48)
        self.born = clock()
        self.cache = Cache(shop.cache, shop.cache_most)
        self.schedule = Schedule(
            self.born,
            shop.memory,
            shop.calls_at_once,
            shop.loads_at_once,
            shop.queue,
            shop.idle_life,
            shop.run_time,
            shop.stop_within,
            shop.ramp,
        )
        self.lock = threading.RLock()
        self.due = threading.Condition(self.lock)
        self.houses: dict[int, House] = {}
        self.runs: dict[tuple[LineConnection, jsonrpc.Ident], back.Run] = {}
        self.numbers: dict[int, Call] = {}
        self.stopped: dict[int, Copy] = {}
        self.marks: dict[int, tuple[str, str]] = {}
        self.turn = 0
        self.ended = threading.Event()
        self.measured: dict[str, float] = {"copies": 0.0, "worker": 0.0, "parent": 0.0, "cache": 0.0}
        self.server: LineServer | None = None
        self.control, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.parent = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.worker.parent", str(theirs.fileno())],
            pass_fds=(theirs.fileno(),),
            stdin=subprocess.DEVNULL,
        )
        theirs.close()

    # ---- its life ----

    def open(self) -> None:
        """Begins to serve."""
        for act, name in ((self._beat, "beat"), (self._parent, "parent"), (self._meter, "meter")):
            threading.Thread(target=act, name=name, daemon=True).start()
        self.record("started", start=self.start, cold=self.shop.ramp.ramp > 0, cores=self.shop.calls_at_once, speed=1.0)
        self.server = LineServer(self.shop.listen, self._heard, self._gone)
        self.log.info("serving", socket=self.shop.listen, start=self.start)

    def drain(self, within: float) -> bool:
        """Takes nothing new and lets calls finish; False where some were left after so many ms."""
        with self.lock:
            self.schedule.drain()
            self.log.info("draining", held=len(self.schedule.calls))
            self._act()
        ends = clock() + within
        while clock() < ends:
            with self.lock:
                if not self.schedule.calls and all(wire.box.empty() for wire in list(self.server.wires)):
                    return True
            time.sleep(0.01)
        return False

    def close(self) -> None:
        """Ends all: copies, parent, threads."""
        self.ended.set()
        with self.lock:
            self.due.notify_all()
        if self.server is not None:
            self.server.close()
        with contextlib.suppress(OSError):
            self.control.shutdown(socket.SHUT_RDWR)
        try:
            self.parent.wait(10)
        except subprocess.TimeoutExpired:
            self.parent.kill()
            self.parent.wait()
        self.control.close()
        self.log.info("stopped", up_ms=round(clock() - self.born))

    # ---- what gateways say ----

    def _heard(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        act = {
            "hello": self._hello,
            "run": self._run,
            "hold": self._hold,
            "drop": self._drop,
            "cancel": self._cancel,
            "probe": self._probe,
        }.get(request.method)
        if act is None:
            if not request.told:
                wire.say(jsonrpc.problem(request.ident, jsonrpc.NO_METHOD, "Method not found"))
            return
        try:
            act(wire, request)
        except msgspec.MsgspecError as bad:
            if not request.told:
                wire.say(jsonrpc.problem(request.ident, jsonrpc.BAD_PARAMS, f"Invalid params: {bad}"[:300]))

    def _hello(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        wire.who = msgspec.json.decode(request.params, type=back.Hello).gateway
        self.record("hello", gateway=wire.who, start=self.start)
        wire.say(
            jsonrpc.result(
                request.ident,
                jsonrpc.encode(
                    back.Standing(back.VERSION, self.shop.name, self.start, clock() - self.born, self.schedule.draining)
                ),
            )
        )

    def _probe(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        with self.lock:
            body = jsonrpc.encode(back.Probed(self._report()))
        wire.say(jsonrpc.result(request.ident, body))

    def _report(self) -> dict[str, float]:
        self.schedule.woke(clock())
        figures = self.schedule.figures()
        taken = sum(mb for what, mb in self.measured.items() if what != "cache")  # that is on disk
        return {
            **figures,
            "memory": taken / self.shop.memory,
            **{f"{what}_mb": mb for what, mb in self.measured.items()},
        }

    def _run(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        run = msgspec.json.decode(request.params, type=back.Run)
        key = wire, request.ident
        with self.lock:
            if key in self.runs or request.ident is None:
                wire.say(jsonrpc.problem(None, jsonrpc.INVALID, "an id that is in use, or none"))
                return
            self.turn += 1
            mark = _marked(run.input) if self.tracing else _Marked()
            self.record(
                "run",
                mark=mark.mark,
                gateway=wire.who,
                program=run.program,
                work=mark.work_ms,
                token=run.token,
                start=self.start,
                job=self.turn,
            )
            self.runs[key] = run
            self.marks[id(run)] = mark.mark, self.turn
            self.schedule.woke(clock())
            self.schedule.call(key, run.program, run.memory_mb, run.lanes, run.time_left_ms)
            self._act()

    def _hold(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        hold = msgspec.json.decode(request.params, type=back.Hold)
        with self.lock:
            self.record("hold", gateway=wire.who, program=hold.program, copies=hold.copies, start=self.start)
            self.schedule.woke(clock())
            self.schedule.hold((wire, request.ident), hold.program, hold.memory_mb, hold.lanes, hold.copies)
            self._act()

    def _drop(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        with self.lock:
            self.schedule.drop(msgspec.json.decode(request.params, type=back.Drop).program)
            self._act()

    def _cancel(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        with self.lock:
            self._left((wire, msgspec.json.decode(request.params, type=back.Cancel).id), "cancelled")
            self._act()

    def _gone(self, wire: LineConnection) -> None:
        with self.lock:
            if wire.who:
                self.record("hung-up", gateway=wire.who)
            for key in [key for key in self.runs if key[0] is wire]:
                self._left(key, "dropped")
            for key in [key for key in self.schedule.holds if key[0] is wire]:
                self.schedule.cancel(key)
            self._act()

    def _left(self, key: tuple, how: str) -> None:
        if (run := self.runs.pop(key, None)) is not None:
            self._note_end(run, key[0], how, cancel=how == "cancelled")
        self.schedule.woke(clock())
        self.schedule.cancel(key)

    def _note_end(self, run: back.Run, wire: LineConnection, how: str, cancel: bool = False) -> None:
        mark, job = self.marks.pop(id(run))
        if cancel:
            self.record("cancel", mark=mark, gateway=wire.who, job=job)
        self.record("end", mark=mark, gateway=wire.who, how=how, job=job)

    # ---- what the schedule decides ----

    def _act(self) -> None:
        for verb, it, *more in iter(self.schedule.decide, None):
            match verb:
                case "load":
                    self._begin_load(it)
                case "unload" | "end":
                    self._end(it, more[0] if more else "")
                case "run":
                    self._hand(it, more[0])
                case "stop":
                    self._stop(it, more[0])
                case "refuse":
                    self._refuse(it, more[0])
                case "held":
                    it.key[0].say(jsonrpc.result(it.key[1], jsonrpc.encode(back.Held(more[0]))))
                case "unheld":
                    self._unheld(it, *more)
        self.due.notify()

    def _unheld(self, hold: Hold, outcome: str, standing: int) -> None:
        code = back.FAILED if outcome == schedule.MISS else CODES[outcome]
        hold.key[0].say(jsonrpc.problem(hold.key[1], code, WORDS[outcome], jsonrpc.encode(back.Held(standing))))

    def _refuse(self, call: Call, outcome: str, why: str = "") -> None:
        run = self.runs.pop(call.key, None)
        if run is None:
            return
        self._note_end(run, call.key[0], "ok" if outcome == "failed" and why else outcome)
        told = jsonrpc.encode(
            back.Told(min(COMPANY, call.company), self._report(), self.schedule.draining, call.inside)
        )
        call.key[0].say(jsonrpc.problem(call.key[1], CODES[outcome], why or WORDS[outcome], told))

    def _hand(self, call: Call, copy: Copy) -> None:
        self.turn += 1
        self.numbers[self.turn] = call
        call.number = self.turn
        house = self.houses.get(copy.number)
        if house is None or not house.say({"id": self.turn, "input": self.runs[call.key].input}):
            self._end(copy, "it does not read")
            self.schedule.ended(copy)

    def _stop(self, call: Call, copy: Copy) -> None:
        self.numbers.pop(call.number, None)
        self.stopped[call.number] = copy
        house = self.houses.get(copy.number)
        if house is not None:
            house.say({"stop": call.number})

    def _end(self, copy: Copy, why: str) -> None:
        house = self.houses.pop(copy.number, None)
        if house is None:
            return
        if why:
            self.log.warning("copy ended", program=copy.program.name, copy=copy.number, why=why)
        self._tell_parent({"end": copy.number})
        house.box.close()
        self.cache.give(house.digest)

    def _tell_parent(self, message: object, descriptors: tuple[int, ...] = ()) -> None:
        with contextlib.suppress(OSError):
            if descriptors:
                socket.send_fds(self.control, [msgspec.json.encode(message)], list(descriptors))
            else:
                self.control.send(msgspec.json.encode(message))

    # ---- loads ----

    def _begin_load(self, copy: Copy) -> None:
        try:
            threading.Thread(target=self._load, args=(copy,), name=f"load {copy.number}", daemon=True).start()
        except RuntimeError as bad:  # no thread to be had: whoever waits for the load is told so
            self.log.warning("load failed", why=str(bad), program=copy.program.name, copy=copy.number, took_ms=0)
            self.schedule.loaded(copy, schedule.FULL)

    def _load(self, copy: Copy) -> None:
        """Fetches, starts and waits for one copy, in a thread of its own."""
        began, outcome, why = clock(), schedule.MISS, ""
        try:
            self._fetched(copy)
            outcome = None
        except NoRoom as bad:
            outcome, why = schedule.FULL, str(bad)
        except source.Unknown as bad:
            why = str(bad)
        except Unusable as bad:
            why = str(bad.troubles[0])
        except OSError as bad:
            why = f"{bad.filename or 'the store'}: {bad.strerror or bad}"
        except ValueError as bad:
            why = str(bad)
        except Exception as bad:  # whatever it is, the load is over and its calls get their answer now
            why = f"{type(bad).__name__}: {bad}"
        with self.lock:
            if outcome is not None:
                self._end(copy, "")
            self.schedule.woke(clock())
            self.schedule.loaded(copy, outcome)
            if outcome is None and copy.state != "standing":
                self._end(copy, "")
            self.record("loaded", program=copy.program.name, good=outcome is None)
            told = {"program": copy.program.name, "copy": copy.number, "took_ms": round(clock() - began)}
            self.log.info("loaded", **told) if outcome is None else self.log.warning("load failed", why=why, **told)
            self._act()

    def _fetched(self, copy: Copy) -> None:
        found = self.store.find(copy.program.name)
        made, folder = self.cache.take(found.digest, lambda path: self.store.fetch(found, path))
        house = None
        try:
            if made.name != found.name or made.version != found.version:
                raise ValueError(f"{found.name}@{found.version} holds {made.name}@{made.version}")
            with self.lock:
                if not self.schedule.fits(copy, made.memory, made.lanes, made.run_time):
                    raise NoRoom(f"{made.memory:g} MB, as its manifest says, do not fit")
            mine, theirs = socket.socketpair()
            out, into = os.pipe()
            os.set_blocking(out, False)
            house = House(copy, mine, out, found.digest)
            with self.lock:
                self.houses[copy.number] = house
                self._tell_parent(
                    copies.Order(copy.number, folder, made.entry, made.lanes, made.memory, dict(made.environment)),
                    (theirs.fileno(), into),
                )
            theirs.close()
            os.close(into)
            threading.Thread(target=self._listen, args=(house,), name=f"copy {copy.number}", daemon=True).start()
            if not house.ready.wait(START_WITHIN):
                raise ValueError(f"not ready within {START_WITHIN:g} s")
            if house.failed is not None:
                raise ValueError(f"{made.entry}: {house.failed}")
        except BaseException:
            if house is None:
                self.cache.give(found.digest)
            raise

    # ---- what copies say ----

    def _listen(self, house: House) -> None:
        lines, decoder = Lines(copies.LINE), msgspec.json.Decoder(Heard)
        try:
            while data := house.sock.recv(1 << 18):
                for line in lines.feed(data):
                    self._said(house, decoder.decode(line))
        except (OSError, TooLong, msgspec.MsgspecError):
            pass
        if house.failed is None:
            house.failed = "it ended"
        house.ready.set()
        with self.lock:
            if self.houses.get(house.copy.number) is house and house.copy.state != "loading":
                self._end(house.copy, "it ended by itself")
                self.schedule.woke(clock())
                self.schedule.ended(house.copy)
                self._act()
        house.box.close()
        house.sock.close()
        with self.lock:
            os.close(house.output)
            house.output = -1

    def _said(self, house: House, heard: Heard) -> None:
        if heard.ready or heard.failed is not None:
            house.failed = heard.failed
            house.ready.set()
            return
        with self.lock:
            self.schedule.woke(clock())
            number = heard.freed if heard.freed is not None else heard.id
            if number in self.stopped:  # it was to end: whatever came of it, its lane is free
                if self.stopped[number] is house.copy:
                    del self.stopped[number]
                    self.schedule.freed(house.copy)
            elif (call := self.numbers.get(number)) is not None and call.copy is house.copy:
                del self.numbers[number]
                if self.schedule.answered(call.key):
                    self._answer(call, heard)
            self._act()

    def _answer(self, call: Call, heard: Heard) -> None:
        if heard.error is not None:
            call.done = True
            self._refuse(call, schedule.FAILED, heard.error)
            return
        run = self.runs.pop(call.key)
        self._note_end(run, call.key[0], "ok")
        ran = back.Ran(heard.output, call.standing, min(COMPANY, call.company), self._report())
        call.key[0].say(jsonrpc.result(call.key[1], jsonrpc.encode(ran)))

    # ---- threads ----

    def _beat(self) -> None:
        with self.lock:
            while not self.ended.is_set():
                self.schedule.woke(clock())
                self._act()
                self.due.wait(min(1.0, max(0.001, (self.schedule.wake_at - clock()) / 1000)))

    def _parent(self) -> None:
        while True:
            try:
                data = self.control.recv(1 << 16)
            except OSError:
                data = b""
            if not data:
                break
            told = msgspec.json.decode(data)
            with self.lock:
                house = self.houses.get(told.get("started", told.get("ended")))
                if house is None:
                    continue
                if "started" in told:
                    house.pid = told["pid"]
                else:
                    self.log.info(
                        "copy's process ended",
                        program=house.copy.program.name,
                        copy=house.copy.number,
                        status=told["status"],
                    )
        if not self.ended.is_set():
            self.log.error("parent ended", why="its process is gone")  # and with it all copies: a start anew is due
            os._exit(4)

    def _meter(self) -> None:
        while not self.ended.wait(self.shop.measure / 1000):
            self.measure()
            self._read_output()

    def measure(self) -> None:
        """Measures once: copies, parent, this process, and the cache on disk."""
        with self.lock:
            houses = [house for house in self.houses.values() if house.pid]
        sizes = [(house, meter.family(house.pid)) for house in houses]
        mine, parents = meter.alone(os.getpid()), meter.alone(self.parent.pid)
        with self.lock:
            self.measured = {
                "copies": sum(size for _, size in sizes),
                "worker": mine,
                "parent": parents,
                "cache": self.cache.bytes / (1 << 20),
            }
            self.schedule.woke(clock())
            for house, size in sizes:
                if self.houses.get(house.copy.number) is house and size:
                    self.schedule.measured(house.copy, size)
            self._act()

    def _read_output(self) -> None:
        """Reads a little of what each copy prints; of a flood the copy itself waits for the rest."""
        with self.lock:
            houses = list(self.houses.values())
            for house in houses:
                try:
                    data = os.read(house.output, OUTPUT) if house.output >= 0 else b""
                except (BlockingIOError, OSError):
                    continue
                house.printed = (house.printed + data)[-OUTPUT:]
                *whole, rest = house.printed.split(b"\n")
                for line in whole[:20]:
                    self.log.info(
                        "printed",
                        program=house.copy.program.name,
                        copy=house.copy.number,
                        line=line[:300].decode("utf-8", "replace"),
                    )
                if len(whole) > 20:
                    self.log.info(
                        "printed",
                        program=house.copy.program.name,
                        copy=house.copy.number,
                        line=f"({len(whole) - 20} lines more)",
                    )
                house.printed = rest[-300:]


class _Marked(msgspec.Struct):
    mark: str = ""
    work_ms: float = 0.0


def _marked(content: msgspec.Raw) -> _Marked:
    try:
        return msgspec.json.decode(content, type=_Marked)
    except msgspec.MsgspecError:
        return _Marked()
