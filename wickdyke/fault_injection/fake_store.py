"""A fake store from which workers fetch functions; all workers share its capacity, and it can be stalled."""

import heapq
import itertools
import os
import sys
import threading
from dataclasses import dataclass, field

import msgspec

from wickdyke.fault_injection.trace import TraceRecorder, clock
from wickdyke.protocol import jsonrpc
from wickdyke.transport.line_server import LineConnection, LineServer

OVERLOADED_ERROR_CODE = -32010  # of a rejected fetch


class FakeStoreConfig(msgspec.Struct):
    """Settings of a fake store, as JSON in the first argument of its command line.

    Attributes:
        socket: path of the Unix socket that it listens on.
        trace: path of the trace file.
        full_speed_fetches: fetches that can run at full speed at once.
        max_fetches: fetches accepted at once; further fetches are rejected.
    """

    socket: str
    trace: str
    full_speed_fetches: int = msgspec.field(default=8, name="pace")
    max_fetches: int = msgspec.field(default=60, name="most")


class FetchRequest(msgspec.Struct):
    """The params of `fetch`: a function, and the duration (ms) of its fetch at full speed."""

    function: str = msgspec.field(name="program")
    duration_ms: float = msgspec.field(name="took_ms")


class StallCommand(msgspec.Struct):
    """A command on standard input: serve nothing for `duration_ms`."""

    duration_ms: float = msgspec.field(name="for")


@dataclass(order=True, slots=True)
class PendingFetch:
    """A fetch and when it is due (ms, monotonic); fetches due at the same time are answered in order of arrival."""

    due_at: float
    number: int
    connection: LineConnection = field(compare=False)
    request_id: jsonrpc.Ident = field(compare=False)


class FakeStore:
    """Answers each fetch after its duration, which grows when many fetches run at once."""

    def __init__(self, config: FakeStoreConfig) -> None:
        """Starts to listen; raises AddressInUseError, or OSError where the trace can't be opened."""
        self.config = config
        self.record = TraceRecorder(config.trace, "store")
        self.lock = threading.RLock()
        self.fetches_changed = threading.Condition(self.lock)
        self.fetches: list[PendingFetch] = []  # a heap
        self.sequence_numbers = itertools.count()
        self.stalled_until = 0.0
        threading.Thread(target=self._answer_due_fetches, daemon=True).start()
        self.server = LineServer(config.socket, self._fetch_received, lambda connection: None)

    def stall(self, duration_ms: float) -> None:
        """Serves nothing for `duration_ms`; fetches in flight are answered that much later."""
        with self.lock:
            self.record("stalled", lasts=duration_ms)
            self.stalled_until = clock() + duration_ms
            for fetch in self.fetches:
                fetch.due_at = max(fetch.due_at, clock()) + duration_ms
            heapq.heapify(self.fetches)

    def _fetch_received(self, connection: LineConnection, request: jsonrpc.Request) -> None:
        fetch = msgspec.json.decode(request.params, type=FetchRequest)
        with self.lock:
            if len(self.fetches) >= self.config.max_fetches:
                self.record("refused")
                connection.send(jsonrpc.error_response(request.ident, OVERLOADED_ERROR_CODE, "crowded"))
                return
            slowdown = max(1.0, (len(self.fetches) + 1) / self.config.full_speed_fetches)
            due_at = max(clock(), self.stalled_until) + fetch.duration_ms * slowdown
            heapq.heappush(self.fetches, PendingFetch(due_at, next(self.sequence_numbers), connection, request.ident))
            self.fetches_changed.notify()

    def _answer_due_fetches(self) -> None:
        while True:
            with self.lock:
                while not self.fetches or self.fetches[0].due_at > clock():
                    self.fetches_changed.wait((self.fetches[0].due_at - clock()) / 1000 if self.fetches else None)
                fetch = heapq.heappop(self.fetches)
            fetch.connection.send(jsonrpc.result_response(fetch.request_id, b"{}"))


def main() -> None:
    """Runs a store until the end of standard input, from which it reads stall commands."""
    store = FakeStore(msgspec.json.decode(sys.argv[1], type=FakeStoreConfig))
    print("ready", flush=True)
    for line in sys.stdin:
        store.stall(msgspec.json.decode(line, type=StallCommand).duration_ms)
    os._exit(0)


if __name__ == "__main__":
    main()
