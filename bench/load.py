"""Load on one socket, as a process of its own: closed loops, or an open one at a stated rate.

`python -m bench.load SOCK closed CONNECTIONS SECONDS` or `... open RATE SECONDS`; prints one JSON object. In the
open loop a latency counts from when the RPC was due, so that a stall is not hidden by the wait for it.
"""

import socket
import sys
import threading
import time

import msgspec

from wickdyke.fault_injection.report import histogram

CALL = b'{"jsonrpc":"2.0","method":"call","params":{"method":"m","program":"p%d","input":{"photo":"%b"}},"id":%d}\n'
POINTS = (50.0, 90.0, 99.0, 99.9)
PHOTO = b"x" * 200


def connect(path: str) -> socket.socket:
    """A blocking connection."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(30)
    sock.connect(path)
    return sock


def closed(path: str, connections: int, seconds: float) -> tuple[list[float], int]:
    """Each connection has one RPC out at a time."""
    took: list[float] = []
    bad: list[int] = []
    ends = time.monotonic() + seconds

    def loop(number: int) -> None:
        sock, at, wrong, mine = connect(path), 0, 0, []
        source = sock.makefile("rb")
        while (began := time.monotonic()) < ends:
            at += 1
            sock.sendall(CALL % ((number + at) % 10, PHOTO, at))
            wrong += b'"ok"' not in source.readline()
            mine.append((time.monotonic() - began) * 1000)
        took.extend(mine)
        bad.append(wrong)

    threads = [threading.Thread(target=loop, args=(number,)) for number in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return took, sum(bad)


def opened(path: str, rate: float, seconds: float, connections: int = 8) -> tuple[list[float], int]:
    """RPCs sent when due, whatever is still out."""
    many = int(rate * seconds)
    began = time.monotonic() + 0.05
    due = [began + at / rate for at in range(many)]
    took: list[float] = []
    bad = [0]
    socks = [connect(path) for _ in range(connections)]

    def read(sock: socket.socket, owed: int) -> None:
        source, wrong, mine = sock.makefile("rb"), 0, []
        for _ in range(owed):
            line = source.readline()
            at = msgspec.json.decode(line)["id"]
            mine.append((time.monotonic() - due[at]) * 1000)
            wrong += b'"ok"' not in line
        took.extend(mine)
        bad[0] += wrong

    threads = [
        threading.Thread(target=read, args=(sock, len(range(n, many, connections)))) for n, sock in enumerate(socks)
    ]
    for thread in threads:
        thread.start()
    for at in range(many):
        if (wait := due[at] - time.monotonic()) > 0:
            time.sleep(wait)
        socks[at % connections].sendall(CALL % (at % 10, PHOTO, at))
    for thread in threads:
        thread.join()
    return took, bad[0]


def main() -> None:
    """Runs one load and prints what it found."""
    path, how, figure, seconds = sys.argv[1], sys.argv[2], float(sys.argv[3]), float(sys.argv[4])
    began = time.monotonic()
    took, bad = closed(path, int(figure), seconds) if how == "closed" else opened(path, figure, seconds)
    spent = time.monotonic() - began
    kept = histogram(took)
    print(
        msgspec.json.encode(
            {
                "rpcs": len(took),
                "not_ok": bad,
                "rate": len(took) / spent,
                "ms": {f"p{point:g}": kept.get_value_at_percentile(point) / 1000 for point in POINTS},
            }
        ).decode()
    )


if __name__ == "__main__":
    main()
