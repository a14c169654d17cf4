"""Load on one socket, by a process of its own: closed loops, or an open loop at a stated rate.

`python -m bench.load SOCKET closed CONNECTIONS SECONDS` or `... open RATE SECONDS`; prints one JSON object. In the
open loop a latency counts from when the request was due, so that a stall is not hidden by the requests that wait.
"""

import socket
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from wickdyke.fault_injection.report import histogram

REQUEST = b'{"jsonrpc":"2.0","method":"call","params":{"method":"m","program":"p%d","input":{"photo":"%b"}},"id":%d}\n'
FUNCTIONS = 10  # p0 to p9
PHOTO = b"x" * 200
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
TIMEOUT = 30  # s
START_DELAY = 0.05  # s before the first request of an open loop
OPEN_CONNECTIONS = 8


@dataclass(slots=True)
class Samples:
    """What a load measured. Thread-safe, as threads only add what they have collected."""

    latencies: list[float] = field(default_factory=list)  # ms
    failures: list[int] = field(default_factory=list)  # requests without the answer "ok", by connection

    def add(self, latencies: list[float], failures: int) -> None:
        """Adds the samples of one connection."""
        self.latencies.extend(latencies)
        self.failures.append(failures)


def connect(path: str) -> socket.socket:
    """A blocking connection."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(TIMEOUT)
    sock.connect(path)
    return sock


def closed_loops(path: str, connections: int, seconds: float) -> Samples:
    """Each connection has one request in flight at a time."""
    samples = Samples()
    end = time.monotonic() + seconds

    def loop(connection: int) -> None:
        sock = connect(path)
        source = sock.makefile("rb")
        latencies: list[float] = []
        failures = 0
        number = 0
        while (sent_at := time.monotonic()) < end:
            number += 1
            sock.sendall(REQUEST % ((connection + number) % FUNCTIONS, PHOTO, number))
            failures += b'"ok"' not in source.readline()
            latencies.append((time.monotonic() - sent_at) * 1000)
        samples.add(latencies, failures)

    _join([_start(loop, connection) for connection in range(connections)])
    return samples


def open_loop(path: str, rate: float, seconds: float, connections: int = OPEN_CONNECTIONS) -> Samples:
    """Requests are sent when they are due, `rate` a second, however many are in flight."""
    count = int(rate * seconds)
    started_at = time.monotonic() + START_DELAY
    due = [started_at + number / rate for number in range(count)]
    samples = Samples()
    socks = [connect(path) for _ in range(connections)]

    def read(sock: socket.socket, expected: int) -> None:
        source = sock.makefile("rb")
        latencies: list[float] = []
        failures = 0
        for _ in range(expected):
            line = source.readline()
            number = msgspec.json.decode(line)["id"]
            latencies.append((time.monotonic() - due[number]) * 1000)
            failures += b'"ok"' not in line
        samples.add(latencies, failures)

    readers = [_start(read, sock, len(range(first, count, connections))) for first, sock in enumerate(socks)]
    for number in range(count):
        wait = due[number] - time.monotonic()
        if wait > 0:
            time.sleep(wait)
        socks[number % connections].sendall(REQUEST % (number % FUNCTIONS, PHOTO, number))
    _join(readers)
    return samples


def _start(target: Callable[..., None], *arguments: object) -> threading.Thread:
    thread = threading.Thread(target=target, args=arguments)
    thread.start()
    return thread


def _join(threads: list[threading.Thread]) -> None:
    for thread in threads:
        thread.join()


def main() -> None:
    """Runs one load and prints its figures. `rpcs`, the count of requests, keeps its name in the output."""
    path, kind = sys.argv[1:3]
    figure = float(sys.argv[3])
    seconds = float(sys.argv[4])
    started_at = time.monotonic()
    is_closed = kind == "closed"
    samples = closed_loops(path, int(figure), seconds) if is_closed else open_loop(path, figure, seconds)
    elapsed = time.monotonic() - started_at
    latencies = histogram(samples.latencies)
    figures = {
        "rpcs": len(samples.latencies),
        "not_ok": sum(samples.failures),
        "rate": len(samples.latencies) / elapsed,
        "ms": {f"p{point:g}": latencies.get_value_at_percentile(point) / 1000 for point in PERCENTILES},
    }
    print(msgspec.json.encode(figures).decode())


if __name__ == "__main__":
    main()
