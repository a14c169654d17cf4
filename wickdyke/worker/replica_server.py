"""What runs in a replica's process: lanes, each a thread that calls the package's entry, and lines to the worker."""

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

from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.worker.replica_messages import LINE_MOST, MB, ReplicaMessage, StartReplica, WorkerMessage

SPARE_BYTES = 96 * MB  # of private data beyond what a package states: for the interpreter and the lanes' stacks
MEMORY_SLACK = 1.5  # times what a package states; measuring ends it long before
STACK_BYTES = 512 * 1024
READ_BYTES = 1 << 18
ERROR_MOST = 500  # characters of an error's text
POLL_INTERVAL = 0.001  # s
EXCEPTION_TIMEOUT = 1.0  # s after which an exception that was set for a lane counts as swallowed by what ran there


class Stopped(BaseException):
    """Set in a lane's thread whose request is to end."""


class Job:
    """A request in the replica.

    There is no lock, so that the exception, which may come at any step, never leaves one held. Instead `stop_sent` is
    set before `over` is looked at by the reader, and `over` before `stop_sent` is by the lane.
    """

    __slots__ = ("number", "input", "thread", "running", "over", "stop_sent", "stop_decided", "raised")

    def __init__(self, number: int, content: msgspec.Raw) -> None:
        self.number, self.input, self.thread = number, content, 0
        self.running = self.over = self.stop_sent = self.stop_decided = self.raised = False


class ReplicaServer:
    """The lanes of one replica."""

    def __init__(self, sock: socket.socket, order: StartReplica) -> None:
        self.sock, self.order = sock, order
        self.send_lock = threading.Lock()
        self.waiting: queue.SimpleQueue[Job] = queue.SimpleQueue()
        self.jobs: dict[int, Job] = {}
        self.entry = None

    def serve(self) -> None:
        """Imports the package and serves until the worker is gone."""
        try:
            self.entry = self._import_entry()
        except BaseException as error:  # whatever a package does when it is imported
            self._send(ReplicaMessage(failed=_describe(error)))
            return
        threading.stack_size(STACK_BYTES)
        for _ in range(self.order.lanes):
            threading.Thread(target=self._run_lane, daemon=True).start()
        self._send(ReplicaMessage(ready=True))
        lines, decoder = LineReader(LINE_MOST), msgspec.json.Decoder(WorkerMessage)
        try:
            while data := self.sock.recv(READ_BYTES):
                for line in lines.feed(data):
                    self._receive(decoder.decode(line))
        except (OSError, LineTooLongError, msgspec.MsgspecError):
            pass

    def _import_entry(self):
        module, _, name = self.order.entry.partition(":")
        sys.path.insert(0, self.order.folder)
        entry = getattr(importlib.import_module(module), name)
        if not callable(entry):
            raise TypeError(f"{self.order.entry} is no function")
        return entry

    def _receive(self, message: WorkerMessage) -> None:
        if message.stop is not None:
            self._stop(message.stop)
            return
        job = Job(message.id, message.input)
        self.jobs[job.number] = job
        self.waiting.put(job)

    def _stop(self, number: int) -> None:
        job = self.jobs.get(number)
        if job is None:  # it has answered already; the answer is on its way and counts as its end
            self._send(ReplicaMessage(freed=number))
            return
        job.stop_sent = True
        if job.running and not job.over:
            job.raised = True
            ctypes.pythonapi.PyThreadState_SetAsyncExc(ctypes.c_ulong(job.thread), ctypes.py_object(Stopped))
        job.stop_decided = True

    def _run_lane(self) -> None:
        while True:
            job = self.waiting.get()
            answer = self._run(job)
            self.jobs.pop(job.number, None)
            self._send(ReplicaMessage(freed=job.number) if job.stop_sent else answer)

    def _run(self, job: Job) -> ReplicaMessage:
        caught, answer = False, ReplicaMessage(id=job.number, error="stopped")
        try:
            job.thread = threading.get_ident()
            job.running = True
            if not job.stop_sent:
                answer = self._call(job)
        except Stopped:
            caught = True
        began = time.monotonic()
        while True:
            try:
                job.over = True
                while job.stop_sent and not job.stop_decided:
                    time.sleep(POLL_INTERVAL)
                # An exception that was set may land only later: it must not hit the next request of this lane.
                while job.raised and not caught and time.monotonic() - began < EXCEPTION_TIMEOUT:
                    time.sleep(POLL_INTERVAL)
                return answer
            except Stopped:
                caught = True

    def _call(self, job: Job) -> ReplicaMessage:
        try:
            output = msgspec.json.encode(self.entry(msgspec.json.decode(job.input)))
        except Stopped:
            raise
        except BaseException as error:  # also SystemExit: a package's function may do anything
            return ReplicaMessage(id=job.number, error=_describe(error))
        most = LINE_MOST // 2
        if len(output) > most:
            return ReplicaMessage(id=job.number, error=f"an output of {len(output)} bytes, expected at most {most}")
        return ReplicaMessage(id=job.number, output=msgspec.Raw(output))

    def _send(self, message: ReplicaMessage) -> None:
        body = msgspec.json.encode(message) + b"\n"
        with self.send_lock:
            try:
                self.sock.sendall(body)
            except OSError:
                os._exit(0)  # the worker is gone


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:ERROR_MOST]


def _limit_memory(order: StartReplica) -> None:
    """Has the kernel refuse what grows far past the manifest faster than it is measured."""
    with open("/proc/self/status") as source:
        data = next(int(line.split()[1]) * 1024 for line in source if line.startswith("VmData"))
    most = int(data + order.memory_mb * MB * MEMORY_SLACK + SPARE_BYTES + order.lanes * STACK_BYTES)
    resource.setrlimit(resource.RLIMIT_DATA, (most, most))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


def run(sock: socket.socket, order: StartReplica) -> None:
    """The life of a replica's process from the fork on."""
    os.chdir(order.folder)
    os.environ.update(order.environment)
    sys.dont_write_bytecode = True  # an entry of the cache stays as it was put there
    _limit_memory(order)
    ReplicaServer(sock, order).serve()
