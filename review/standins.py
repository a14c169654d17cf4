"""Stand-ins of the platform for the cases of this review: event bus, workers, clients, and the front end's process.

They follow `../given/kit/more/node/PROTOCOL.md`. All of them run in one asyncio loop, on loopback addresses. Each
message that passes is added to a `Record`, with the Unix time of this machine.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PYTHON = os.path.join(ROOT, ".venv", "bin", "python")
CROSSING = 0.05  # s; a request that crosses the close of its connection within this time is sent again, once
LONGEST_RUN = 110.0  # s after which a case is given up
READY_TIME = 25.0  # s within which a front end has to answer `alive`
NEVER_RAN = ("AGAIN", "NOENT", "STALE")  # answers by which a request never ran


class CannotRunError(Exception):
    """The case could not run: no verdict."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str]] = []
        self.started_at = time.time()

    def add(self, text: str, at: float | None = None) -> None:
        """Adds one line."""
        self.lines.append((time.time() if at is None else at, text))

    def write(self, path: str) -> None:
        """Writes the lines, with seconds since the start."""
        with open(path, "w", encoding="utf-8") as out:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                out.write(f"{at - self.started_at:9.4f} {text}\n")


def free_port() -> int:
    """Returns a free port of the loopback address."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


# ---- event bus ----


class Bus:
    """The event bus: keeps all events, and tells them to each front end that reads."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.instances: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.told: list[tuple[float, str, str]] = []  # time, worker, state
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent = False  # connections stay open and carry nothing
        self.server: asyncio.Server | None = None
        self.port = free_port()

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def close(self) -> None:
        """Ends all connections and refuses new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def tell(self, *instances: dict[str, Any]) -> None:
        """Puts an event into the bus; it counts as told from now on."""
        now = time.time()
        for each in instances:
            self.told.append((now, each["instanceId"], each["lifecycle"]))
            self.record.add(f"bus tells {each['instanceId']} {each['lifecycle']} at {each['hostPort']}", now)
            self.instances[each["instanceId"]] = each
            if each["lifecycle"] == "DELETED":
                del self.instances[each["instanceId"]]
        offset = len(self.events) + 1
        topology = {"generation": offset, "reset": offset == 1, "instances": list(instances)}
        self.events.append({"offset": offset, "topology": topology})
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """Returns the `known` of a configuration that is written now."""
        offset = len(self.events)
        topology = {"generation": offset, "reset": True, "instances": list(self.instances.values())}
        return {"offset": offset, "batch": [{"offset": offset, "topology": topology}]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            offset = next((int(x.split(b":")[1]) for x in head.split(b"\r\n") if x.startswith(b"last-event-id")), 0)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while not writer.is_closing():
                if not self.silent:
                    for event in self.events[offset:]:
                        writer.write(f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode())
                    offset = len(self.events)
                    writer.write(b": comment\n\n")
                await writer.drain()
                with suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), 1.0)
        self.writers.discard(writer)
        writer.close()


# ---- workers ----


@dataclass
class Reply:
    """What a worker does with a request: it answers after `delay` s, and runs it where `runs`."""

    delay: float = 0.05
    word: str = "ACK"
    fields: str = "-"
    body: bytes | None = None  # None: the request's own body
    runs: bool = True
    silent: bool = False  # the answer is never written


@dataclass
class Arrival:
    """A command that came whole to a worker."""

    at: float
    worker: str
    zone: str
    verb: str
    ident: str
    fields: dict[str, str]
    body: bytes
    connection: int
    reply: Reply | None = None
    answered_at: float | None = None
    noted: bool = True  # whether it is recorded

    @property
    def ran(self) -> bool:
        """Whether the worker ran it."""
        return self.verb == "invoke" and self.reply is not None and self.reply.runs


def bulk(*parts: bytes) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one RESP array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    parts = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


Behaviour = Callable[["Worker", Arrival], Reply]


class Worker:
    """A worker. `behaviour` decides what becomes of each `invoke`; all else is answered as by a sound worker."""

    def __init__(self, name: str, record: Record, behaviour: Behaviour, zone: str = "", **entry: Any) -> None:
        self.name = name
        self.record = record
        self.behaviour = behaviour
        self.zone = zone
        self.entry = entry
        self.port = free_port()
        self.arrivals: list[Arrival] = []
        self.loaded: set[str] = set()
        self.draining = False
        self.probe_delay = 0.0
        self.load_time = 0.1
        self.report = "inflight:1;util:0.2;queue:0"
        self.connections = 0
        self.open = 0
        self.accepting: asyncio.Task[None] | None = None  # None: connections are left in the kernel's queue
        self.filler: list[socket.socket] = []
        self.sock: socket.socket | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.started_at_ms = 0
        self.executed = 0

    def instance(self, lifecycle: str = "SERVING") -> dict[str, Any]:
        """Returns the entry of the event bus."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": "std",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 4,
            "startedAtMs": self.started_at_ms,
            **self.entry,
        }

    def start(self) -> None:
        """Listens, with nothing loaded."""
        self.loaded = set()
        self.draining = False
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", self.port))
        self.sock.listen(128)
        self.sock.setblocking(False)
        self.accepting = self._spawn(self._accept(self.sock))

    def stop(self) -> None:
        """Ends as a process that dies: all connections are reset, new ones refused."""
        for task in list(self.tasks):
            task.cancel()
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        for writer in list(self.writers):
            writer.transport.abort()
        self._drop_filler()

    def hold(self) -> None:
        """Lets no new connection come up from now on: the queue of the listening socket is full."""
        assert self.sock is not None
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        self.sock.listen(0)
        for _ in range(2):  # the first fills the queue, the second stands for the next that comes
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
            self.filler.append(sock)

    def release(self) -> None:
        """Lets connections come up again."""
        if self.filler:
            self._drop_filler()
            if self.sock is not None:
                self.sock.listen(128)
                self.accepting = self._spawn(self._accept(self.sock))

    def _drop_filler(self) -> None:
        for sock in self.filler:
            sock.close()
        self.filler = []

    def reset_connections(self) -> None:
        """Resets all connections; the process lives on."""
        for writer in list(self.writers):
            writer.transport.abort()

    def _spawn(self, job: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                taken, _ = await loop.sock_accept(sock)
            except OSError:
                return
            taken.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._spawn(self._serve(taken))

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self.connections += 1
        self.open += 1
        number = self.connections
        self.writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                parts = await read_command(reader)
                self._handle(parts, writer, number)
        self.open -= 1
        self.writers.discard(writer)
        writer.close()

    def takes_note(self, arrival: Arrival) -> bool:
        """Returns whether a command is recorded: all are, but where a case plays very many."""
        return True

    def _handle(self, parts: list[bytes], writer: asyncio.StreamWriter, number: int) -> None:
        now = time.time()
        verb = parts[0].decode()
        ident = parts[1].decode()
        text = parts[2].decode() if len(parts) > 2 else "-"
        fields = dict(pair.split("=", 1) for pair in text.split(",")) if text != "-" else {}
        body = parts[3] if len(parts) > 3 else b""
        arrival = Arrival(now, self.name, self.zone, verb, ident, fields, body, number)
        arrival.noted = self.takes_note(arrival)
        if arrival.noted:
            self.arrivals.append(arrival)
        if arrival.noted and verb in ("invoke", "prewarm", "abort", "evict"):
            self.record.add(f"{self.name} gets {verb} {ident} {text} (connection {number})", now)
        if verb in ("alive", "gauges"):
            word = "AILING" if self.draining else "READY"
            reply = Reply(self.probe_delay, word, f"rep={self.report}" if self.report else "-", b"", False)
        elif verb == "prewarm":
            reply = self._prewarm(fields)
        elif verb == "invoke":
            reply = Reply(0.0, "AGAIN", "-", b"", False) if self.draining else self.behaviour(self, arrival)
            if reply.runs:
                self.executed += 1
                self.record.add(f"{self.name} runs {ident}")
        else:
            return
        arrival.reply = reply
        if not reply.silent:
            asyncio.get_running_loop().call_later(reply.delay, self._answer, writer, arrival, reply)

    def _prewarm(self, fields: dict[str, str]) -> Reply:
        name, units = fields["name"], int(fields["units"])
        if units == 0:
            return Reply(0.0, "ACK", f"units={int(name in self.loaded)}", b"", False)
        if self.draining:
            return Reply(0.0, "AGAIN", "units=0", b"", False)
        delay = 0.0 if name in self.loaded else self.load_time
        self.loaded.add(name)
        return Reply(delay, "ACK", f"units={units}", b"", False)

    def _answer(self, writer: asyncio.StreamWriter, arrival: Arrival, reply: Reply) -> None:
        if writer.is_closing():
            return
        body = arrival.body if reply.body is None else reply.body
        arrival.answered_at = time.time()
        if arrival.noted and arrival.verb in ("invoke", "prewarm"):
            self.record.add(f"{self.name} answers {arrival.ident} {reply.word} {reply.fields}")
        writer.write(self.encode(arrival, reply, body))

    def encode(self, arrival: Arrival, reply: Reply, body: bytes) -> bytes:
        """Encodes an answer."""
        return bulk(arrival.ident.encode(), reply.word.encode(), reply.fields.encode(), body)


# ---- clients ----


def text(value: bytes | str) -> bytes:
    """Encodes a Thrift string."""
    data = value.encode() if isinstance(value, str) else value
    return struct.pack(">i", len(data)) + data


def message(verb: str, number: int, arguments: bytes, kind: int = 1) -> bytes:
    """Encodes a framed Thrift message of the strict binary protocol; kind 1 is a call, 4 a one-way call."""
    data = struct.pack(">I", 0x80010000 | kind) + text(verb) + struct.pack(">i", number) + arguments
    return struct.pack(">i", len(data)) + data


def dispatch(number: int, fields: dict[str, str], body: bytes) -> bytes:
    """Encodes a request."""
    table = b"\x0b\x0b" + struct.pack(">i", len(fields)) + b"".join(text(k) + text(v) for k, v in fields.items())
    return message("dispatch", number, b"\x0d\x00\x01" + table + b"\x0b\x00\x02" + text(body) + b"\x00")


def parse_answer(data: bytes) -> tuple[int, str, bytes]:
    """Returns the number of an answer, its kind as a word, and its body."""
    kind, length = data[3], struct.unpack_from(">i", data, 4)[0]
    verb, (number,) = data[8 : 8 + length], struct.unpack_from(">i", data, 8 + length)
    rest = data[12 + length :]
    if kind == 3:
        return number, "exception", rest
    field_id = struct.unpack_from(">h", rest, 1)[0]
    if field_id:
        return number, {1: "shed", 2: "fault"}[field_id], rest
    size = struct.unpack_from(">i", rest, 6)[0]
    good = rest[10 + size + 3 + 6 + 3]
    word = ("good" if good else "bad") if verb == b"alive" else "answer"
    return number, word, rest[10 : 10 + size]


@dataclass
class Request:
    """A request and what became of it; times are Unix s, `left` is the field `d` in ms."""

    ident: str
    name: str
    left: int
    sent_at: float = 0.0
    body: bytes = b""
    words: list[str] = field(default_factory=list)
    answer_body: bytes = b""
    answered_at: float | None = None
    gone_at: float | None = None  # when the client cancelled or closed
    closed_at: float | None = None  # when the connection ended with no answer
    sent_again: bool = False
    key: str = ""

    @property
    def due_at(self) -> float:
        """The time at which the client gives up."""
        return self.sent_at + self.left / 1000


class Client:
    """One connection to a front end at a time; up to 32 requests open on it."""

    def __init__(self, address: str, record: Record, name: str = "c", seed: int = 0) -> None:
        self.address = address
        self.record = record
        self.name = name
        self.random = random.Random(f"{seed} {name}")
        self.requests: list[Request] = []
        self.open: dict[int, Request] = {}
        self.number = 0
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.alive_answer: asyncio.Future[str] | None = None

    async def connect(self) -> bool:
        """Connects; returns whether that worked."""
        host, _, port = self.address.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        except (TimeoutError, OSError):
            return False
        self.writer = writer
        self.number = 0
        self.open = {}
        self.task = asyncio.ensure_future(self._read(reader, writer))
        return True

    async def is_ready(self) -> bool:
        """Asks `alive`; returns whether the front end is ready."""
        if self.writer is None and not await self.connect():
            return False
        assert self.writer is not None
        self.alive_answer = asyncio.get_running_loop().create_future()
        self.number += 1
        self.writer.write(message("alive", self.number, b"\x02\x00\x01\x01\x00"))
        with suppress(asyncio.TimeoutError):
            return await asyncio.wait_for(self.alive_answer, 1.0) == "good"
        return False

    async def send(self, name: str, function: str, left: int, body: bytes | None = None, **more: str) -> Request | None:
        """Sends a request, with further fields; returns it, or None where no connection can be made."""
        ident = f"{self.random.getrandbits(64):016x}"
        request = Request(ident, name, left, body=ident.encode() if body is None else body, key=more.get("k", ""))
        fields = {"c": name, "i": ident, "d": str(left), "o": function, "tags": "memory_mb:512;lanes:2", **more}
        if self.writer is None and not await self.connect():
            return None
        self.requests.append(request)
        request.sent_at = time.time()
        self._write(request, fields)
        return request

    def _write(self, request: Request, fields: dict[str, str]) -> None:
        assert self.writer is not None
        self.number += 1
        self.open[self.number] = request
        request.fields = fields  # type: ignore[attr-defined]
        self.writer.write(dispatch(self.number, fields, request.body))
        shown = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record.add(f"{self.name} sends {shown}")

    def cancel(self, request: Request) -> None:
        """Takes a request back."""
        number = next((number for number, each in self.open.items() if each is request), None)
        if number is None or self.writer is None:
            return
        del self.open[number]
        request.gone_at = time.time()
        self.number += 1
        self.writer.write(message("cancelRequest", self.number, b"\x08\x00\x01" + struct.pack(">i", number) + b"\0", 4))
        self.record.add(f"{self.name} cancels {request.ident}")

    def close(self) -> None:
        """Closes the connection; its open requests are given up."""
        if self.writer is not None:
            for request in self.open.values():
                request.gone_at = time.time()
            self.open = {}
            self.writer.close()
            self.writer = None

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                (length,) = struct.unpack(">i", await reader.readexactly(4))
                self._handle(await reader.readexactly(length))
        if self.writer is writer:
            self.writer = None
            await self._ended()

    async def _ended(self) -> None:
        now = time.time()
        unanswered, self.open = list(self.open.values()), {}
        again = [r for r in unanswered if now - r.sent_at <= CROSSING and not r.sent_again]
        for request in unanswered:
            if request not in again:
                request.closed_at = now
                self.record.add(f"{self.name} sees its connection end without an answer to {request.ident}")
        if again and await self.connect():
            for request in again:
                request.sent_again = True
                self._write(request, request.fields)  # type: ignore[attr-defined]

    def _handle(self, frame: bytes) -> None:
        number, word, body = parse_answer(frame)
        if word in ("good", "bad"):
            if self.alive_answer is not None and not self.alive_answer.done():
                self.alive_answer.set_result(word)
            return
        request = self.open.pop(number, None)
        if request is None:
            self.record.add(f"{self.name} gets an answer {word} that it does not wait for, number {number}")
            return
        request.words.append(word)
        request.answered_at = time.time()
        request.answer_body = body if word == "answer" else b""
        self.record.add(f"{self.name} gets {word} for {request.ident}")


# ---- front end ----


class FrontEnd:
    """A front end in a process of its own, started as the deploy file starts it."""

    def __init__(self, name: str, folder: str, settings: dict[str, Any], record: Record, **config: Any) -> None:
        self.name = name
        self.record = record
        self.path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.address = f"127.0.0.1:{free_port()}"
        self.settings = settings
        self.config = config
        self.process: asyncio.subprocess.Process | None = None

    def write(self, bus: Bus) -> None:
        """Writes the configuration."""
        content = {
            "name": self.name,
            "listen": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "bus": bus.address,
            "known": bus.known(),
            "settings": self.settings,
            **self.config,
        }
        with open(self.path + ".new", "w", encoding="utf-8") as out:
            json.dump(content, out)
        os.replace(self.path + ".new", self.path)

    async def start(self, wait: bool = True) -> None:
        """Starts the process; returns once it is ready."""
        environment = {**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.address, "GW_NAME": self.name}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PYTHON, "-m", "wickdyke.platform", cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f"{self.name} is started")
        if wait:
            await self.wait_ready()

    async def wait_ready(self) -> None:
        """Waits until it answers `alive`. Raises CannotRunError."""
        until = time.time() + READY_TIME
        while time.time() < until:
            client = Client(self.address, self.record)
            ready = await client.is_ready()
            client.close()
            if ready:
                self.record.add(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.log()[-500:]}")

    def log(self) -> str:
        """Returns the log."""
        with open(self.log_path, encoding="utf-8", errors="replace") as source:
            return source.read()

    def count(self, name: str) -> int:
        """Returns a count of the last line of counts in the log; 0 where it is not there."""
        found = 0
        for line in self.log().splitlines():
            if "event=counts" in line:
                pairs = dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
                found = int(pairs.get(name, "0"))
        return found

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.process is not None and self.process.returncode is None:
            self.record.add(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process where it still runs, and waits for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                with suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()


@dataclass
class Stage:
    """What a case has started."""

    bus: Bus
    front_ends: list[FrontEnd]


@asynccontextmanager
async def started(
    record: Record, workers: Sequence[Worker], settings: Callable[[int, int], dict[str, Any]], count: int, **config: Any
) -> AsyncIterator[Stage]:
    """Starts an event bus, workers and `count` front ends, and ends them all."""
    bus = Bus(record)
    await bus.open()
    for worker in workers:
        worker.start()
    bus.tell(*(worker.instance() for worker in workers))
    with tempfile.TemporaryDirectory() as folder:
        stage = Stage(bus, [FrontEnd(f"n{i}", folder, settings(count, i), record, **config) for i in range(count)])
        try:
            for front_end in stage.front_ends:
                front_end.write(bus)
            await asyncio.gather(*(front_end.start() for front_end in stage.front_ends))
            await asyncio.sleep(1.5)  # until the front ends have heard the bus
            yield stage
        finally:
            for front_end in stage.front_ends:
                await front_end.end()
            for worker in workers:
                worker.stop()
            await bus.close()


async def _play_to_the_end(play: Callable[[Record, bool], Awaitable[list[str]]], record: Record) -> list[str]:
    """Plays a case; a signal or LONGEST_RUN ends it, and with it all that it started. Raises CannotRunError."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    job = asyncio.ensure_future(play(record, trouble))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, job.cancel)
    try:
        return await asyncio.wait_for(job, LONGEST_RUN)
    except TimeoutError:
        raise CannotRunError(f"not at its end after {LONGEST_RUN:.0f} s") from None
    except asyncio.CancelledError:
        raise CannotRunError("ended by a signal") from None


def run_case(folder: str, play: Callable[[Record, bool], Awaitable[list[str]]]) -> int:
    """Plays a case; writes the record; returns the exit code: 1 broken, 0 held, 2 could not run."""
    record = Record()
    try:
        broken = asyncio.run(_play_to_the_end(play, record))
    except (CannotRunError, OSError) as error:
        record.add(f"could not run: {error}")
        record.write(os.path.join(folder, "record.txt"))
        print(f"could not run: {error}")
        return 2
    for line in broken:
        record.add(f"BROKEN {line}")
        print(line)
    record.add("the rule was broken" if broken else "the rule held")
    record.write(os.path.join(folder, "record.txt"))
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit("a module for the cases, not a program")
