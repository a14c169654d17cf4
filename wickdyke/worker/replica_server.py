"""What runs in a replica's process: slots, each a thread that calls the package's function, and lines to the worker."""

import ctypes
import importlib
import os
import queue
import resource
import socket
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from wickdyke.protocol.framing import LineReader, LineTooLongError
from wickdyke.worker.replica_messages import (
    LINE_LIMIT,
    MB,
    FunctionRaised,
    FunctionReturned,
    ReplicaMessage,
    ReplicaReady,
    RunFunction,
    SlotFreed,
    StartFailed,
    StartReplica,
    StopRequest,
    WorkerMessage,
)

SPARE_BYTES = 96 * MB  # of private data beyond what a package states: for the interpreter and the threads' stacks
MEMORY_SLACK = 1.5  # times what a package states; measuring ends the replica long before
STACK_BYTES = 512 * 1024
READ_BYTES = 1 << 18
OUTPUT_LIMIT = LINE_LIMIT // 2  # bytes of a function's encoded output
ERROR_LENGTH = 500  # characters of an error's text that are sent
POLL_INTERVAL = 0.001  # s
EXCEPTION_TIMEOUT = 1.0  # s after which an exception set for a thread counts as swallowed by the function


class RequestStopped(BaseException):
    """Raised in the thread of a request that is to end. Like SystemExit it is no error, so that `except Exception`
    in a package does not catch it."""


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request in the replica.

    Its thread and the reader of messages share it without a lock, as RequestStopped may be raised at any step and must
    never leave a lock held. Instead the reader sets `stop_sent` before it looks at `over`, and the thread sets `over`
    before it looks at `stop_sent`.
    """

    number: int
    input: msgspec.Raw
    thread: int = 0  # the identifier of the thread that runs it
    running: bool = False  # `thread` is set
    over: bool = False  # the function has ended
    stop_sent: bool = False  # the worker wants it stopped
    stop_decided: bool = False  # the reader has raised RequestStopped, or will not
    raised: bool = False  # RequestStopped has been set for the thread


class ReplicaServer:
    """The slots of one replica."""

    def __init__(self, sock: socket.socket, order: StartReplica, function: Callable[[Any], object]) -> None:
        self.sock = sock
        self.order = order
        self.function = function
        self.send_lock = threading.Lock()
        self.waiting: queue.SimpleQueue[RunningRequest] = queue.SimpleQueue()
        self.requests: dict[int, RunningRequest] = {}

    def serve(self) -> None:
        """Serves until the worker is gone."""
        threading.stack_size(STACK_BYTES)
        for _ in range(self.order.concurrency):
            threading.Thread(target=self._run_slot, daemon=True).start()
        self._send(ReplicaReady())
        lines = LineReader(LINE_LIMIT)
        decoder: msgspec.json.Decoder[WorkerMessage] = msgspec.json.Decoder(RunFunction | StopRequest)
        try:
            while data := self.sock.recv(READ_BYTES):
                for line in lines.feed(data):
                    self._receive(decoder.decode(line))
        except (OSError, LineTooLongError, msgspec.MsgspecError):
            pass

    def _receive(self, message: WorkerMessage) -> None:
        if isinstance(message, StopRequest):
            self._stop(message.request)
            return
        request = RunningRequest(message.request, message.input)
        self.requests[request.number] = request
        self.waiting.put(request)

    def _stop(self, number: int) -> None:
        request = self.requests.get(number)
        if request is None:  # it has been answered already, which counts as its end
            self._send(SlotFreed(number))
            return
        request.stop_sent = True
        if request.running and not request.over:
            request.raised = True
            thread = ctypes.c_ulong(request.thread)
            ctypes.pythonapi.PyThreadState_SetAsyncExc(thread, ctypes.py_object(RequestStopped))
        request.stop_decided = True

    def _run_slot(self) -> None:
        while True:
            request = self.waiting.get()
            answer = self._run(request)
            self.requests.pop(request.number, None)
            self._send(SlotFreed(request.number) if request.stop_sent else answer)

    def _run(self, request: RunningRequest) -> ReplicaMessage:
        """Runs a request to its end, and until no RequestStopped can be raised for it any more."""
        caught = False
        answer: ReplicaMessage = FunctionRaised(request.number, "stopped")
        try:
            request.thread = threading.get_ident()
            request.running = True
            if not request.stop_sent:
                answer = self._call(request)
        except RequestStopped:
            caught = True
        ended_at = time.monotonic()
        while True:
            try:
                request.over = True
                while request.stop_sent and not request.stop_decided:
                    time.sleep(POLL_INTERVAL)
                # An exception may be raised late: it must not hit the next request of this thread.
                while request.raised and not caught and time.monotonic() - ended_at < EXCEPTION_TIMEOUT:
                    time.sleep(POLL_INTERVAL)
                return answer
            except RequestStopped:
                caught = True

    def _call(self, request: RunningRequest) -> ReplicaMessage:
        try:
            output = msgspec.json.encode(self.function(msgspec.json.decode(request.input)))
        except RequestStopped:
            raise
        except BaseException as error:  # noqa: BLE001 - also SystemExit: a package's function may raise anything
            return FunctionRaised(request.number, _describe(error))
        if len(output) > OUTPUT_LIMIT:
            text = f"an output of {len(output)} bytes, expected at most {OUTPUT_LIMIT}"
            return FunctionRaised(request.number, text)
        return FunctionReturned(request.number, msgspec.Raw(output))

    def _send(self, message: ReplicaMessage) -> None:
        with self.send_lock:
            _send(self.sock, message)


def _send(sock: socket.socket, message: ReplicaMessage) -> None:
    try:
        sock.sendall(msgspec.json.encode(message) + b"\n")
    except OSError:
        os._exit(0)  # the worker is gone


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:ERROR_LENGTH]


def _import_function(order: StartReplica) -> Callable[[Any], object]:
    """The package's function; raises whatever the package raises when it is imported."""
    module, _, name = order.entry.partition(":")
    sys.path.insert(0, order.folder)
    function = getattr(importlib.import_module(module), name)
    if not callable(function):
        raise TypeError(f"{order.entry} is no function")
    return function  # type: ignore[no-any-return]  # it is the package's


def _limit_memory(order: StartReplica) -> None:
    """Has the kernel refuse memory to a replica that grows far past its manifest before it is measured."""
    with open("/proc/self/status") as source:
        data_bytes = next(int(line.split()[1]) * 1024 for line in source if line.startswith("VmData"))
    stack_bytes = order.concurrency * STACK_BYTES
    limit = int(data_bytes + order.memory_mb * MB * MEMORY_SLACK + SPARE_BYTES + stack_bytes)
    resource.setrlimit(resource.RLIMIT_DATA, (limit, limit))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))


def run(sock: socket.socket, order: StartReplica) -> None:
    """Runs a replica in the process that was forked for it, until the worker is gone."""
    os.chdir(order.folder)
    os.environ.update(order.environment)
    sys.dont_write_bytecode = True  # an entry of the cache stays as it was installed
    _limit_memory(order)
    try:
        function = _import_function(order)
    except BaseException as error:  # noqa: BLE001 - a package may raise anything when it is imported
        _send(sock, StartFailed(_describe(error)))
        return
    ReplicaServer(sock, order, function).serve()
