"""A stand-in store that programs are fetched from: of limited pace, shared by all workers; it may stall."""

import heapq
import itertools
import os
import sys
import threading

import msgspec

from wickdyke.fault_injection.trace import TraceRecorder, clock
from wickdyke.protocol import jsonrpc
from wickdyke.transport.line_server import LineConnection, LineServer


class FakeStoreConfig(msgspec.Struct):
    """`pace` fetches run at full speed at once, `most` at all; more are refused."""

    socket: str
    trace: str
    pace: int = 8
    most: int = 60


class FakeStore:
    """Each fetch takes its time, longer when crowded."""

    def __init__(self, build: FakeStoreConfig) -> None:
        self.build, self.record = build, TraceRecorder(build.trace, "store")
        self.lock = threading.RLock()
        self.due = threading.Condition(self.lock)
        self.fetches: list[tuple[float, int, LineConnection, jsonrpc.Ident]] = []
        self.turn = itertools.count()
        self.stalled = 0.0
        threading.Thread(target=self._beat, daemon=True).start()
        self.server = LineServer(build.socket, self._heard, lambda wire: None)

    def _heard(self, wire: LineConnection, request: jsonrpc.Request) -> None:
        took = float(msgspec.json.decode(request.params)["took_ms"])
        with self.lock:
            if len(self.fetches) >= self.build.most:
                self.record("refused")
                wire.say(jsonrpc.error_response(request.ident, -32010, "crowded"))
                return
            crowd = max(1.0, (len(self.fetches) + 1) / self.build.pace)
            when = max(clock(), self.stalled) + took * crowd
            heapq.heappush(self.fetches, (when, next(self.turn), wire, request.ident))
            self.due.notify()

    def stall(self, ms: float) -> None:
        """Nothing is served for so long."""
        with self.lock:
            self.record("stalled", lasts=ms)
            self.stalled = clock() + ms
            self.fetches = [(max(when, clock()) + ms, *rest) for when, *rest in self.fetches]
            heapq.heapify(self.fetches)

    def _beat(self) -> None:
        while True:
            with self.lock:
                while not self.fetches or self.fetches[0][0] > clock():
                    self.due.wait((self.fetches[0][0] - clock()) / 1000 if self.fetches else None)
                _, _, wire, ident = heapq.heappop(self.fetches)
            wire.say(jsonrpc.result_response(ident, b"{}"))


def main() -> None:
    """Runs a store, built as the JSON in the first argument states, until its input ends."""
    store = FakeStore(msgspec.json.decode(sys.argv[1], type=FakeStoreConfig))
    print("ready", flush=True)
    for line in sys.stdin:
        told = msgspec.json.decode(line)
        store.stall(float(told["for"]))
    os._exit(0)


if __name__ == "__main__":
    main()
