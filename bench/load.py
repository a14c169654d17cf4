"""Generates load on one socket: closed loops, or an open loop at a given rate. Run as a process of its own.

`python -m bench.load SOCKET closed CONNECTIONS SECONDS` or `... open RATE SECONDS`; prints one JSON object. In the
open loop a latency counts from the time at which the request was due, so that requests delayed by a stall show it.
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
SOCKET_TIMEOUT = 30  # s
START_DELAY = 0.05  # s before the first request of an open loop
OPEN_CONNECTIONS = 8


@dataclass(slots=True)
class Samples:
    """The samples of a load. Thread-safe, as each thread adds its own samples once, at its end."""

    latencies: list[float] = field(default_factory=list)  # ms
    failures: list[int] = field(default_factory=list)  # requests without the answer "ok", by connection

    def add(self, latencies: list[float], failures: int) -> None:
        """Adds the samples of one connection."""
        self.latencies.extend(latencies)
        self.failures.append(failures)


def connect(path: str) -> socket.socket:
    """Returns a blocking connection to a Unix socket; raises OSError."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(SOCKET_TIMEOUT)
    sock.connect(path)
    return sock


def closed_loops(path: str, connections: int, seconds: float) -> Samples:
    """Sends requests on several connections, on each the next one after the answer to the last."""
    samples = Samples()
    end_time = time.monotonic() + seconds

    def loop(connection: int) -> None:
        sock = connect(path)
        source = sock.makefile("rb")
        latencies: list[float] = []
        failures = 0
        number = 0
        while (sent_at := time.monotonic()) < end_time:
            number += 1
            sock.sendall(REQUEST % ((connection + number) % FUNCTIONS, PHOTO, number))
            failures += b'"ok"' not in source.readline()
            latencies.append((time.monotonic() - sent_at) * 1000)
        samples.add(latencies, failures)

    _join_threads([_start_thread(loop, connection) for connection in range(connections)])
    return samples


def open_loop(path: str, rate: float, seconds: float, connections: int = OPEN_CONNECTIONS) -> Samples:
    """Sends requests at a fixed rate per second, however many are in flight."""
    count = int(rate * seconds)
    started_at = time.monotonic() + START_DELAY
    due_times = [started_at + number / rate for number in range(count)]
    samples = Samples()
    socks = [connect(path) for _ in range(connections)]

    def read(sock: socket.socket, expected: int) -> None:
        source = sock.makefile("rb")
        latencies: list[float] = []
        failures = 0
        for _ in range(expected):
            line = source.readline()
            number = msgspec.json.decode(line)["id"]
            latencies.append((time.monotonic() - due_times[number]) * 1000)
            failures += b'"ok"' not in line
        samples.add(latencies, failures)

    readers = [_start_thread(read, sock, len(range(first, count, connections))) for first, sock in enumerate(socks)]
    for number in range(count):
        wait = due_times[number] - time.monotonic()
        if wait > 0:
            time.sleep(wait)
        socks[number % connections].sendall(REQUEST % (number % FUNCTIONS, PHOTO, number))
    _join_threads(readers)
    return samples


def _start_thread(target: Callable[..., None], *arguments: object) -> threading.Thread:
    thread = threading.Thread(target=target, args=arguments)
    thread.start()
    return thread


def _join_threads(threads: list[threading.Thread]) -> None:
    for thread in threads:
        thread.join()


def main() -> None:
    """Runs one load and prints its figures; `rpcs` in the output is the count of requests."""
    path, kind = sys.argv[1:3]
    level = float(sys.argv[3])
    seconds = float(sys.argv[4])
    started_at = time.monotonic()
    is_closed = kind == "closed"
    samples = closed_loops(path, int(level), seconds) if is_closed else open_loop(path, level, seconds)
    elapsed = time.monotonic() - started_at
    latencies = histogram(samples.latencies)
    figures = {
        "rpcs": len(samples.latencies),
        "not_ok": sum(samples.failures),
        "rate": len(samples.latencies) / elapsed,
        "ms": {f"p{percentile:g}": latencies.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES},
    }
    print(msgspec.json.encode(figures).decode())


if __name__ == "__main__":
    main()
