"""What passed the sockets, written down by clients and stand-ins: one JSON object a line.

`t` is this machine's monotonic time in ms, `by` who wrote it, `n` its number there. docs/protocol.md names the
kinds of line.
"""

import os
import time
from collections.abc import Iterable

import msgspec


def clock() -> float:
    """Monotonic time in ms, the same for all processes of the machine."""
    return time.monotonic() * 1000


class Recorder:
    """Writes lines at once, unbuffered, so that what a killed stand-in saw is kept."""

    def __init__(self, path: str, by: str) -> None:
        self.file, self.by, self.n = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644), by, 0

    def __call__(self, what: str, t: float | None = None, **more: object) -> None:
        """Writes one line; `t` where it happened before now."""
        self.n += 1
        os.write(
            self.file,
            msgspec.json.encode({"t": clock() if t is None else t, "by": self.by, "n": self.n, "what": what, **more})
            + b"\n",
        )


class Broken(Exception):
    """A trace that can't be read."""


def read(paths: Iterable[str]) -> list[dict]:
    """All lines of the files, merged in the order of time, then of writer and number."""
    lines: list[dict] = []
    for path in paths:
        try:
            with open(path, "rb") as source:
                content = source.read().split(b"\n")
        except OSError as bad:
            raise Broken(f"{path}: {bad.strerror}, expected a trace") from None
        for at, line in enumerate(content, 1):
            if not line:
                continue
            try:
                entry = msgspec.json.decode(line)
                float(entry["t"]), str(entry["by"]), int(entry["n"]), str(entry["what"])
            except (msgspec.MsgspecError, TypeError, KeyError, ValueError):
                if at == len(content):
                    continue  # its writer was killed in the middle of its last line
                raise Broken(f"{path}:{at}: found {line[:40]!r}, expected a line of a trace") from None
            lines.append(entry)
    lines.sort(key=lambda e: (e["t"], e["by"], e["n"]))
    return lines
