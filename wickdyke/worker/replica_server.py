"""The code of a replica's process: slots, each a thread that calls the package's function, and their messages."""

import contextlib
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

# Private data beyond the memory that the manifest states, for the interpreter and the stacks of threads.
MEMORY_MARGIN_BYTES = 96 * MB
# Times the memory that the manifest states. By its measured memory the worker kills a replica long before this limit.
MEMORY_FACTOR = 1.5
STACK_BYTES = 512 * 1024  # of each thread
READ_BYTES = 1 << 18  # read at a time
MAX_OUTPUT_BYTES = LINE_LIMIT // 2  # of a function's encoded output
MAX_ERROR_LENGTH = 500  # characters of an error message that is sent
POLL_INTERVAL = 0.001  # s between two checks whether a stop is decided, or its exception raised
EXCEPTION_TIMEOUT = 1.0  # s, after which the function counts as having caught an exception set for its thread


class RequestStopped(BaseException):
    """Raised in the thread of a request that is stopped.

    It is a BaseException, like SystemExit, so that `except Exception` in a package does not catch it.
    """


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request in the replica.

    Its thread and the reader, which is the thread that reads messages, share it without a lock, as RequestStopped may
    be raised at any step and must never leave a lock held. Instead the reader sets `stop_requested` before it reads
    `ended`, and the thread sets `ended` before it reads `stop_requested`.
    """

    number: int
    input: msgspec.Raw
    thread: int = 0  # the identifier of the thread that runs it
    running: bool = False  # whether `thread` is set
    ended: bool = False  # whether the function has ended
    stop_requested: bool = False  # whether the worker has sent StopRequest
    stop_decided: bool = False  # whether the reader has set RequestStopped for the thread, or will not
    exception_set: bool = False  # whether RequestStopped has been set for the thread


class ReplicaServer:
    """The server of one replica: its slots, and the reader of messages from the worker."""

    def __init__(self, sock: socket.socket, start_message: StartReplica, function: Callable[[Any], object]) -> None:
        self.sock = sock
        self.start_message = start_message
        self.function = function
        self.send_lock = threading.Lock()
        self.request_queue: queue.SimpleQueue[RunningRequest] = queue.SimpleQueue()
        self.requests: dict[int, RunningRequest] = {}

    def serve(self) -> None:
        """Serves until the worker ends."""
        threading.stack_size(STACK_BYTES)
        for _ in range(self.start_message.concurrency):
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
        self.request_queue.put(request)

    def _stop(self, number: int) -> None:
        request = self.requests.get(number)
        if request is None:  # it has been answered already, so its slot is free
            self._send(SlotFreed(number))
            return
        request.stop_requested = True
        if request.running and not request.ended:
            request.exception_set = True
            thread = ctypes.c_ulong(request.thread)
            ctypes.pythonapi.PyThreadState_SetAsyncExc(thread, ctypes.py_object(RequestStopped))
        request.stop_decided = True

    def _run_slot(self) -> None:
        while True:
            request = self.request_queue.get()
            answer = self._run(request)
            self.requests.pop(request.number, None)
            self._send(SlotFreed(request.number) if request.stop_requested else answer)

    def _run(self, request: RunningRequest) -> ReplicaMessage:
        """Runs a request, and returns once RequestStopped can no longer be raised for it."""
        stop_caught = False
        answer: ReplicaMessage = FunctionRaised(request.number, "stopped")
        try:
            request.thread = threading.get_ident()
            request.running = True
            if not request.stop_requested:
                answer = self._call(request)
        except RequestStopped:
            stop_caught = True
        ended_at = time.monotonic()
        while True:
            try:
                request.ended = True
                while request.stop_requested and not request.stop_decided:
                    time.sleep(POLL_INTERVAL)
                # The exception may be raised late; it must not be raised in the next request of this thread.
                while request.exception_set and not stop_caught and time.monotonic() - ended_at < EXCEPTION_TIMEOUT:
                    time.sleep(POLL_INTERVAL)
                return answer
            except RequestStopped:
                stop_caught = True

    def _call(self, request: RunningRequest) -> ReplicaMessage:
        try:
            output = msgspec.json.encode(self.function(msgspec.json.decode(request.input)))
        except RequestStopped:
            raise
        except BaseException as error:  # noqa: BLE001 - also SystemExit: a package's function may raise anything
            return FunctionRaised(request.number, _describe(error))
        if len(output) > MAX_OUTPUT_BYTES:
            text = f"an output of {len(output)} bytes, expected at most {MAX_OUTPUT_BYTES}"
            return FunctionRaised(request.number, text)
        return FunctionReturned(request.number, msgspec.Raw(output))

    def _send(self, message: ReplicaMessage) -> None:
        with self.send_lock:
            _send(self.sock, message)


def _send(sock: socket.socket, message: ReplicaMessage) -> None:
    try:
        sock.sendall(msgspec.json.encode(message) + b"\n")
    except OSError:
        os._exit(0)  # the worker has ended


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH]


def _import_function(start_message: StartReplica) -> Callable[[Any], object]:
    """The package's function; raises whatever the package raises when it is imported."""
    module, _, name = start_message.entry.partition(":")
    sys.path.insert(0, start_message.folder)
    function = getattr(importlib.import_module(module), name)
    if not callable(function):
        raise TypeError(f"{start_message.entry} is not callable")
    return function  # type: ignore[no-any-return]  # the package's function is not typed


def _limit_memory(start_message: StartReplica) -> None:
    """Limits the replica's data size in the kernel.

    The limit takes effect where a replica grows far beyond its manifest before the worker measures it. Where the
    system does not tell the present size, or refuses the limit, there is none.
    """
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    data_bytes = _data_bytes()
    if data_bytes is None:
        return
    stack_bytes = start_message.concurrency * STACK_BYTES
    limit = int(data_bytes + start_message.memory_mb * MB * MEMORY_FACTOR + MEMORY_MARGIN_BYTES + stack_bytes)
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_DATA, (limit, limit))


def _data_bytes() -> int | None:
    """Returns the data size of this process in bytes, None where the system does not tell it."""
    try:
        with open("/proc/self/status") as source:
            return next(int(line.split()[1]) * 1024 for line in source if line.startswith("VmData"))
    except (OSError, ValueError, IndexError, StopIteration):
        return None


def run(sock: socket.socket, start_message: StartReplica) -> None:
    """Runs a replica in the process that was forked for it, until the worker ends."""
    os.chdir(start_message.folder)
    os.environ.update(start_message.environment)
    sys.dont_write_bytecode = True  # the package is a cache entry, which must not change
    _limit_memory(start_message)
    try:
        function = _import_function(start_message)
    except BaseException as error:  # noqa: BLE001 - a package may raise anything when it is imported
        _send(sock, StartFailed(_describe(error)))
        return
    ReplicaServer(sock, start_message, function).serve()
