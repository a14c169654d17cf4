"""What runs in a copy's process: lanes, each a thread that calls the package's entry; lines to and from the worker.

worker to copy   {"id": 7, "input": ...}    {"stop": 7}
copy to worker   {"ready": true}   {"failed": "why"}   {"id": 7, "output": ...}   {"id": 7, "error": "why"}
                 {"freed": 7}, once a stopped call has left its lane
"""

import ctypes
import importlib
import os
import queue
import resource
import socket
import sys
import threading
import time

import msgspec

from wickdyke.protocol.lines import Lines, TooLong

MB = 1 << 20
SPARE = 96 * MB  # of private data beyond what a package states, before the kernel refuses: interpreter, lanes' stacks
SLACK = 1.5  # times what a package states; measuring ends it long before
STACK = 512 * 1024
LINE = 64 * MB
SWALLOWED = 1.0  # s after which an exception that was set for a lane counts as swallowed by what ran there


class Order(msgspec.Struct):
    """How a copy is to be started."""

    number: int
    folder: str
    entry: str
    lanes: int
    memory_mb: float
    environment: dict[str, str] = {}


class Heard(msgspec.Struct):
    """A line from the worker."""

    id: int | None = None
    input: msgspec.Raw = msgspec.Raw(b"null")
    stop: int | None = None


class Stopped(BaseException):
    """Set in a lane's thread whose call is to end."""


class Job:
    """A call in the copy. `sent` before `raised` is looked at, `over` before `sent` is: no lock, so that the exception,
    which may come at any step, never leaves one held."""

    __slots__ = ("number", "input", "thread", "running", "over", "sent", "decided", "raised")

    def __init__(self, number: int, content: msgspec.Raw) -> None:
        self.number, self.input, self.thread = number, content, 0
        self.running = self.over = self.sent = self.decided = self.raised = False


class Copy:
    """The lanes of one copy."""

    def __init__(self, sock: socket.socket, order: Order) -> None:
        self.sock, self.order, self.lock = sock, order, threading.Lock()
        self.jobs: queue.SimpleQueue = queue.SimpleQueue()
        self.known: dict[int, Job] = {}
        self.entry = None

    def serve(self) -> None:
        """Imports the package and serves until the worker is gone."""
        module, _, name = self.order.entry.partition(":")
        try:
            sys.path.insert(0, self.order.folder)
            self.entry = getattr(importlib.import_module(module), name)
            if not callable(self.entry):
                raise TypeError(f"{self.order.entry} is no function")
        except BaseException as bad:  # whatever a package does when it is imported
            self._say({"failed": f"{type(bad).__name__}: {bad}"[:500]})
            return
        threading.stack_size(STACK)
        for _ in range(self.order.lanes):
            threading.Thread(target=self._lane, daemon=True).start()
        self._say({"ready": True})
        lines, decoder = Lines(LINE), msgspec.json.Decoder(Heard)
        try:
            while data := self.sock.recv(1 << 18):
                for line in lines.feed(data):
                    self._heard(decoder.decode(line))
        except (OSError, TooLong, msgspec.MsgspecError):
            pass

    def _heard(self, heard: Heard) -> None:
        if heard.stop is not None:
            job = self.known.get(heard.stop)
            if job is None:  # it has answered already; the answer is on its way and counts as its end
                self._say({"freed": heard.stop})
                return
            job.sent = True
            if job.running and not job.over:
                job.raised = True
                ctypes.pythonapi.PyThreadState_SetAsyncExc(ctypes.c_ulong(job.thread), ctypes.py_object(Stopped))
            job.decided = True
            return
        job = Job(heard.id, heard.input)
        self.known[job.number] = job
        self.jobs.put(job)

    def _lane(self) -> None:
        while True:
            job = self.jobs.get()
            answer = self._run(job)
            self.known.pop(job.number, None)
            self._say({"freed": job.number} if job.sent else answer)

    def _run(self, job: Job) -> dict:
        caught, answer = False, {"id": job.number, "error": "stopped"}
        try:
            job.thread = threading.get_ident()
            job.running = True
            if not job.sent:
                answer = self._call(job)
        except Stopped:
            caught = True
        began = time.monotonic()
        while True:
            try:
                job.over = True
                while job.sent and not job.decided:
                    time.sleep(0.001)
                # Danger: the exception is set and lands only later, in the next call of this lane.
                while job.raised and not caught and time.monotonic() - began < SWALLOWED:
                    time.sleep(0.001)
                return answer
            except Stopped:
                caught = True

    def _call(self, job: Job) -> dict:
        try:
            output = msgspec.json.encode(self.entry(msgspec.json.decode(job.input)))
        except Stopped:
            raise
        except BaseException as bad:  # also SystemExit: a package's call may do anything
            return {"id": job.number, "error": f"{type(bad).__name__}: {bad}"[:500]}
        if len(output) > LINE // 2:
            return {"id": job.number, "error": f"an output of {len(output)} bytes, expected at most {LINE // 2}"}
        return {"id": job.number, "output": msgspec.Raw(output)}

    def _say(self, message: dict) -> None:
        body = msgspec.json.encode(message) + b"\n"
        with self.lock:
            try:
                self.sock.sendall(body)
            except OSError:
                os._exit(0)  # the worker is gone


def limit(order: Order) -> None:
    """Has the kernel refuse what grows far past the manifest faster than it is measured."""
    with open("/proc/self/status") as source:
        data = next(int(line.split()[1]) * 1024 for line in source if line.startswith("VmData"))
    most = int(data + order.memory_mb * MB * SLACK + SPARE + order.lanes * STACK)
    resource.setrlimit(resource.RLIMIT_DATA, (most, most))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


def run(sock: socket.socket, order: Order) -> None:
    """The life of a copy's process from the fork on."""
    os.chdir(order.folder)
    os.environ.update(order.environment)
    sys.dont_write_bytecode = True  # an entry of the cache stays as it was put there
    limit(order)
    Copy(sock, order).serve()
