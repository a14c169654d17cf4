"""Stand-ins of the platform for the cases of the second review: front end process, event bus, workers, clients.

Only the standard library is used. Every address is a loopback address with a free port. Times are seconds of the
system's monotonic clock, written to the record relative to the start of the play.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import weakref
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_SECONDS = 30.0
BROKEN = 10  # exit codes, which run.sh turns into those of the review
COULD_NOT_RUN = 2
VERSION = 0x80010000
KINDS = {1: "shed", 2: "fault"}


class CannotRunError(Exception):
    """The case could not run: this says nothing about the rule."""


def free_port() -> int:
    """Returns a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def run_command() -> str:
    """Returns the `run` command of the deploy file."""
    for line in (ROOT / "deploy" / "balancer.toml").read_text().splitlines():
        name, _, value = line.partition("=")
        if name.strip() == "run":
            return value.strip()[1:].partition('"')[0]
    raise CannotRunError("deploy/balancer.toml has no run command")


class Record:
    """What was sent, answered and run, a line each."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.path = folder / "record.txt"

    def now(self) -> float:
        """Returns the seconds since the start of the play."""
        return time.monotonic() - self.began

    def add(self, who: str, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{self.now():9.4f} {who}: {text}")

    def write(self, verdict: list[str]) -> None:
        """Writes the file, with the verdict at its end."""
        self.path.write_text("\n".join([*self.lines, *(f"verdict: {line}" for line in verdict), ""]))


# ---- the event bus ----


def instance(name: str, port: int, **more: Any) -> dict[str, Any]:
    """Returns an entry of the list of workers."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": "dc",
        "machineType": "std",
        "cell": 1,
        "lifecycle": "SERVING",
        "weight": 3,
        "startedAtMs": 0,
        **more,
    }


class Bus:
    """The event bus: numbered events over HTTP, and a comment each second."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def tell(self, *instances: dict[str, Any], reset: bool = False) -> None:
        """Adds an event that updates these instances."""
        offset = len(self.events) + 1
        topology = {"generation": offset, "reset": reset, "instances": list(instances)}
        self.events.append({"offset": offset, "topology": topology})
        self.record.add("bus", f"event {offset} {[(each['instanceId'], each['lifecycle']) for each in instances]}")
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.closing(writer), contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = next(
                (line.split(":")[1] for line in head.split("\r\n") if line.lower().startswith("last-event")), "0"
            )
            position = int(last)
            self.record.add("bus", f"read from {position}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while True:
                for event in self.events[position:]:
                    writer.write(f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode())
                position = len(self.events)
                await writer.drain()
                try:
                    async with asyncio.timeout(1.0), self.changed:
                        await self.changed.wait()
                except TimeoutError:
                    writer.write(b": \n\n")


# ---- workers ----


def bulk(*parts: bytes) -> bytes:
    """Encodes a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one RESP array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


def fields_of(text: bytes) -> dict[str, str]:
    """Returns the fields of a command."""
    return {} if text == b"-" else dict(pair.split("=", 1) for pair in text.decode().split(","))


@dataclass(eq=False)
class Attempt:
    """One attempt at a worker: from when it had come whole until its end was written or it was given up."""

    ident: bytes
    fields: dict[str, str]
    body: bytes
    came_at: float
    worker: str
    connection: int
    ended_at: float | None = None
    end: str = ""

    def finish(self, at: float, end: str) -> None:
        """Records the end, unless it has one."""
        if self.ended_at is None:
            self.ended_at, self.end = at, end


class Link:
    """One connection to a worker, as the worker sees it."""

    numbers = itertools.count(1)

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.number = next(Link.numbers)
        self.open: list[Attempt] = []

    def write(self, data: bytes) -> None:
        """Writes without waiting; a connection that has ended takes nothing."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def reset(self) -> None:
        """Resets the connection, as when the process behind it ends."""
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Invoke = Callable[["Worker", Link, Attempt], Awaitable[None]]


@dataclass(eq=False)
class Worker:
    """A worker of the platform. `on_invoke` runs and answers an attempt; by default with ok, after `work` seconds."""

    name: str
    record: Record
    work: float = 0.05
    load: float = 0.3
    on_invoke: Invoke | None = None
    utilization: Callable[[], float] = lambda: 0.4
    draining: bool = False
    port: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    orders: list[tuple[float, str, int]] = field(default_factory=list)
    loaded: set[str] = field(default_factory=set)
    links: list[Link] = field(default_factory=list)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listens, on the same port as before where it has one, with nothing loaded."""
        self.loaded = set()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Ends the process: its connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.reset()
        self.record.add(self.name, "process ended")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(writer)
        self.links.append(link)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    self._handle(link, await read_command(reader))
        finally:
            for attempt in link.open:
                attempt.finish(self.record.now(), "given up: its connection ended")
            if link in self.links:
                self.links.remove(link)
            writer.close()

    def _handle(self, link: Link, parts: list[bytes]) -> None:
        match parts[0]:
            case b"invoke":
                attempt = Attempt(parts[1], fields_of(parts[2]), parts[3], self.record.now(), self.name, link.number)
                self.attempts.append(attempt)
                link.open.append(attempt)
                self.record.add(self.name, f"invoke {parts[1].decode()} on connection {link.number}")
                self._spawn((self.on_invoke or Worker.serve)(self, link, attempt))
            case b"abort":
                self.record.add(self.name, f"abort {parts[1].decode()}")
                for attempt in link.open:
                    if attempt.ident == parts[1]:
                        attempt.finish(self.record.now(), "given up: aborted")
            case b"prewarm":
                self._spawn(self._prewarm(link, parts))
            case b"alive" | b"gauges":
                word = b"AILING" if self.draining else b"READY"
                for each in self.links:
                    each.open = [attempt for attempt in each.open if attempt.ended_at is None]
                held = sum(len(each.open) for each in self.links)
                link.write(
                    bulk(
                        parts[1],
                        word,
                        b"rep=inflight:%d;util:%.2f;queue:0;x1:0;x0:0.2" % (held, self.utilization()),
                        b"",
                    )
                )

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)  # type: ignore[arg-type]
        task.add_done_callback(self.tasks.discard)  # type: ignore[arg-type]

    async def _prewarm(self, link: Link, parts: list[bytes]) -> None:
        fields = fields_of(parts[2])
        units = int(fields["units"])
        if units:
            self.orders.append((self.record.now(), fields["name"], units))
            self.record.add(self.name, f"prewarm {fields['name']} units={units}")
        if self.draining and units:
            link.write(bulk(parts[1], b"AGAIN", b"units=0", b""))
            return
        if units and fields["name"] not in self.loaded:
            await asyncio.sleep(self.load)
            self.loaded.add(fields["name"])
        link.write(bulk(parts[1], b"ACK", b"units=%d" % (fields["name"] in self.loaded), b""))

    async def run(self, attempt: Attempt) -> bytes:
        """Runs an attempt, after a load where its function is not loaded; returns the fields of its answer."""
        name = attempt.fields["name"]
        note = b"w"
        if name not in self.loaded:
            note = b"c"
            await asyncio.sleep(self.load)
            self.loaded.add(name)
        await asyncio.sleep(self.work)
        return b"why=%b,ahead=0" % note

    def answer(self, link: Link, attempt: Attempt, word: bytes, fields: bytes, body: bytes = b"") -> bytes:
        """Writes the answer to an attempt that was not given up; returns it."""
        data = bulk(attempt.ident, word, fields, body)
        if attempt.ended_at is None:
            link.write(data)
            attempt.finish(self.record.now(), word.decode())
            self.record.add(self.name, f"answer {attempt.ident.decode()} {word.decode()} on connection {link.number}")
        return data

    async def serve(self, link: Link, attempt: Attempt) -> None:
        """Serves an attempt as a sound worker does."""
        if self.draining:
            self.answer(link, attempt, b"AGAIN", b"-")
            return
        self.answer(link, attempt, b"ACK", await self.run(attempt), attempt.body)


# ---- clients ----


def _text(value: bytes) -> bytes:
    return struct.pack(">i", len(value)) + value


def _message(verb: bytes, number: int, args: bytes, kind: int = 1) -> bytes:
    data = struct.pack(">I", VERSION | kind) + _text(verb) + struct.pack(">i", number) + args
    return struct.pack(">i", len(data)) + data


def _table(fields: dict[str, str]) -> bytes:
    pairs = b"".join(_text(name.encode()) + _text(value.encode()) for name, value in fields.items())
    return b"\x0b\x0b" + struct.pack(">i", len(fields)) + pairs


def dispatch(number: int, fields: dict[str, str], body: bytes) -> bytes:
    """Returns the frame of a request."""
    return _message(b"dispatch", number, b"\x0d\x00\x01" + _table(fields) + b"\x0b\x00\x02" + _text(body) + b"\x00")


def parse_reply(data: bytes) -> tuple[int, str, bytes]:
    """Returns the number of an answer, its kind as a word, and its body."""
    kind = data[3]
    (length,) = struct.unpack_from(">i", data, 4)
    verb = data[8 : 8 + length]
    (number,) = struct.unpack_from(">i", data, 8 + length)
    rest = data[12 + length :]
    if kind == 3:
        return number, "exception", b""
    (field_id,) = struct.unpack_from(">h", rest, 1)
    if field_id:
        return number, KINDS[field_id], b""
    (size,) = struct.unpack_from(">i", rest, 6)
    good = rest[10 + size + 3 + 6 + 3]
    word = "served" if verb == b"dispatch" else "good"
    return number, word if good else "bad", rest[10 : 10 + size]


@dataclass(eq=False)
class Call:
    """One request of a client, and what became of it."""

    ident: str
    sent_at: float
    wait: float
    fields: dict[str, str]
    body: bytes
    done: asyncio.Future[str]
    answers: list[tuple[float, str]] = field(default_factory=list)
    cancelled_at: float | None = None
    ended: str = ""  # how its connection ended, where that came first


class Client:
    """One connection of a client to a front end."""

    made: ClassVar["weakref.WeakSet[Client]"] = weakref.WeakSet()

    def __init__(self, record: Record, name: str = "client") -> None:
        Client.made.add(self)
        self.record = record
        self.name = name
        self.number = 0
        self.calls: dict[int, Call] = {}
        self.open_calls = 0  # requests without an answer
        self.alive: asyncio.Future[str] | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.reading: asyncio.Task[None] | None = None

    async def connect(self, port: int) -> None:
        """Connects to a front end."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.reading = asyncio.ensure_future(self._read(reader))

    @property
    def connected(self) -> bool:
        """Whether the connection stands."""
        return self.reading is not None and not self.reading.done()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        reason = "the front end closed the connection"
        try:
            while True:
                (length,) = struct.unpack(">i", await reader.readexactly(4))
                self._handle(*parse_reply(await reader.readexactly(length)))
        except asyncio.IncompleteReadError:
            pass
        except OSError as error:
            reason = f"the connection failed: {error}"
        for call in self.calls.values():
            if not call.done.done():
                call.ended = reason
                self.record.add(self.name, f"{call.ident} has no answer: {reason}")
                call.done.set_result("none")
        if self.alive is not None and not self.alive.done():
            self.alive.set_result("none")
        if self.writer is not None:
            self.writer.close()

    def _handle(self, number: int, word: str, body: bytes) -> None:
        call = self.calls.get(number)
        if call is None:
            if self.alive is not None and not self.alive.done():
                self.alive.set_result(word)
            return
        if word == "served" and body != call.body:
            word = "foreign"
        call.answers.append((self.record.now(), word))
        self.record.add(self.name, f"{call.ident} answered {word}")
        if not call.done.done():
            call.done.set_result(word)

    async def check_alive(self) -> str:
        """Asks whether the front end is alive; returns the word of the answer."""
        assert self.writer is not None
        self.number += 1
        self.alive = asyncio.get_running_loop().create_future()
        self.writer.write(_message(b"alive", self.number, b"\x02\x00\x01\x01\x00"))
        return await self.alive

    def send(self, lane: str, function: str, wait: float, body: bytes = b"", **more: str) -> Call:
        """Sends a request; the client waits for `wait` seconds."""
        assert self.writer is not None
        self.number += 1
        ident = f"{random.getrandbits(64):016x}"
        fields = {
            "c": lane,
            "i": ident,
            "d": str(round(wait * 1000)),
            "o": function,
            "tags": "memory_mb:512;lanes:4",
            **more,
        }
        call = Call(ident, self.record.now(), wait, fields, body, asyncio.get_running_loop().create_future())
        self.calls[self.number] = call
        self.open_calls += 1
        call.done.add_done_callback(self._call_done)
        self.writer.write(dispatch(self.number, fields, body))
        self.record.add(self.name, f"{ident} sent {lane} {function} d={fields['d']}")
        return call

    def _call_done(self, _done: asyncio.Future[str]) -> None:
        self.open_calls -= 1

    def cancel(self, call: Call) -> None:
        """Takes a request back."""
        assert self.writer is not None
        number = next(number for number, each in self.calls.items() if each is call)
        self.number += 1
        self.writer.write(
            _message(b"cancelRequest", self.number, b"\x08\x00\x01" + struct.pack(">i", number) + b"\x00", 4)
        )
        call.cancelled_at = self.record.now()
        self.record.add(self.name, f"{call.ident} cancelled")
        if not call.done.done():
            call.done.set_result("cancelled")

    async def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
            if self.reading is not None:
                await asyncio.wait([self.reading], timeout=1)


class ClientPool:
    """A client with several connections, which it opens as it needs them."""

    def __init__(self, record: Record, port: int, open_limit: int = 32) -> None:
        self.record = record
        self.port = port
        self.open_limit = open_limit
        self.clients: list[Client] = []
        self.calls: list[Call] = []

    async def send(self, lane: str, function: str, wait: float, body: bytes = b"", **more: str) -> Call:
        """Sends a request on a connection with room, or on a new one."""
        for client in self.clients:
            if client.connected and client.open_calls < self.open_limit:
                break
        else:
            client = Client(self.record, f"client{len(self.clients) + 1}")
            await client.connect(self.port)
            self.clients.append(client)
        call = client.send(lane, function, wait, body, **more)
        self.calls.append(call)
        return call

    async def close(self) -> None:
        """Closes all connections."""
        for client in self.clients:
            await client.close()


# ---- the front end ----


class FrontEnd:
    """One front end, started with the `run` command of the deploy file."""

    def __init__(self, record: Record, settings: dict[str, Any], bus: Bus, folder: Path, name: str = "n0") -> None:
        self.record = record
        self.settings = settings
        self.bus = bus
        self.name = name
        self.folder = folder
        self.port = free_port()
        self.config = folder / f"{name}.json"
        self.limits = {"cores": 1.0, "memory_mb": 128, "sockets": 512}
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, bus_port: int | None = None) -> None:
        """Writes the configuration, with the events of the bus up to now."""
        document = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits,
            "bus": f"127.0.0.1:{bus_port or self.bus.port}",
            "known": {"offset": len(self.bus.events), "batch": list(self.bus.events)},
            "settings": self.settings,
        }
        fresh = self.config.with_suffix(".new")
        fresh.write_text(json.dumps(document))
        fresh.replace(self.config)

    async def start(self) -> None:
        """Starts the front end and waits until it is alive."""
        self.write_config()
        env = {
            **os.environ,
            "GW_CONFIG": str(self.config),
            "GW_LISTEN": f"127.0.0.1:{self.port}",
            "GW_NAME": self.name,
            "TMPDIR": str(self.folder),
        }
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRunError(f"the front end ended with {self.process.returncode}: {self.log()[-300:]}")
            client = Client(self.record, "front")
            with contextlib.suppress(OSError):
                await client.connect(self.port)
                word = await client.check_alive()
                await client.close()
                if word == "good":
                    self.record.add(self.name, "alive")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError("the front end was not alive in time")

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.record.add(self.name, signal.Signals(number).name)

    def log(self) -> str:
        """Returns the log of the process."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    def crashed(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def end(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def platform_settings(**changes: Any) -> dict[str, Any]:
    """Returns settings of a small deployment; `changes` replace sections."""
    settings: dict[str, Any] = {
        "lanes": [],
        "instances": 1,
        "self-index": 0,
        "zones": ["dc"],
        "zone": 0,
        "flavors": ["std"],
        "discovery": "automatic",
        "report": {"source": "pull", "fields": ["utilization", "outstanding"]},
        "limits": {},
        "family-info": {},
        "rules": {},
        "prices": {},
    }
    return {**settings, **changes}


Play = Callable[["Stage"], Awaitable[list[str]]]


class Stage:
    """What a play uses; all that it starts is ended after it."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.bus = Bus(record)
        self.workers: list[Worker] = []
        self.front_ends: list[FrontEnd] = []
        self.pools: list[ClientPool] = []

    async def open(
        self,
        settings: dict[str, Any],
        workers: list[Worker],
        front_ends: int = 1,
        limits: dict[str, float] | None = None,
    ) -> None:
        """Starts the bus, the workers and the front ends, with these limits."""
        await self.bus.start()
        self.workers = workers
        for worker in workers:
            await worker.start()
        await self.bus.tell(*(instance(worker.name, worker.port) for worker in workers), reset=True)
        for index in range(front_ends):
            mine = {**settings, "instances": front_ends, "self-index": index}
            front_end = FrontEnd(self.record, mine, self.bus, self.folder, f"n{index}")
            front_end.limits = limits or front_end.limits
            self.front_ends.append(front_end)
            await front_end.start()
            self.pools.append(ClientPool(self.record, front_end.port))

    def attempts(self) -> dict[str, list[Attempt]]:
        """Returns the attempts of each request, in the order in which they came."""
        found: dict[str, list[Attempt]] = {}
        for attempt in sorted(
            (each for worker in self.workers for each in worker.attempts), key=lambda each: each.came_at
        ):
            found.setdefault(attempt.ident.decode(), []).append(attempt)
        return found

    async def close(self) -> None:
        """Ends the front ends, and all connections."""
        for front_end in self.front_ends:
            front_end.end()
        for worker in self.workers:
            worker.stop()
        for server in [self.bus.server, *(worker.server for worker in self.workers)]:
            if server is not None:
                server.close()
        for client in Client.made:
            if client.writer is not None:
                client.writer.transport.abort()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.05)


async def _play(play: Play, folder: Path, record: Record, seconds: float) -> list[str]:
    stage = Stage(record, folder)
    play_task = asyncio.current_task()
    assert play_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, play_task.cancel)
    try:
        async with asyncio.timeout(seconds):
            broken = await play(stage)
        broken += [f"{each.name} has crashed" for each in stage.front_ends if each.crashed()]
        return broken
    finally:
        await stage.close()


def main(play: Play, folder: Path, seconds: float = 110.0) -> int:
    """Runs a play; returns BROKEN where it found the rule broken, 0 where the rule held, 2 where it could not run."""
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp())
    random.seed(1)
    try:
        broken = asyncio.run(_play(play, scratch, record, seconds))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - whatever ended the play, nothing was judged
        traceback.print_exc()
        record.write([f"could not run: {type(error).__name__}: {error}"])
        return COULD_NOT_RUN
    finally:
        logs = [path.read_text(errors="replace") for path in sorted(scratch.glob("*.log"))]
        record.lines += [f"log: {line}" for text in logs for line in text.splitlines()]
        shutil.rmtree(scratch, ignore_errors=True)
    verdict = broken or ["the rule held"]
    record.write([f"TROUBLE={int(TROUBLE)}", f"broken {len(broken)} times", *verdict])
    print(f"trouble={int(TROUBLE)} broken={len(broken)}", *broken[:5], sep="\n  ", file=sys.stdout)
    return BROKEN if broken else 0
