"""A front end as a process of its own, and what is known of its life."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field

from tests import platform_rig as rig
from tests.soak.addresses import reserve_address

READY_SECONDS = 20.0


@dataclass
class ProcessLife:
    """One process of a front end: when it was started, signalled and ended (Unix s), and its exit code."""

    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL
    ended_at: float | None = None
    code: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)  # when it was stopped and continued
    lines: list[str] = field(default_factory=list)


class SoakFrontEnd:
    """A front end on an address of its own, which it keeps over restarts."""

    def __init__(self, name: str, folder: str, settings: dict, index: int, count: int) -> None:
        self.name = name
        self.path = os.path.join(folder, f"{name}.json")
        self.address = reserve_address()
        self.settings = {**settings, "instances": count, "self-index": index}
        self.lives: list[ProcessLife] = []

    def write(self, bus: str, known: dict) -> None:
        """Replaces the configuration."""
        given = rig.config(self.address, bus, name=self.name, known=known, settings=self.settings)
        with open(self.path + ".new", "w") as out:
            json.dump(given, out)
        os.replace(self.path + ".new", self.path)

    def start(self) -> None:
        """Starts a process; returns once it serves."""
        life = ProcessLife(time.time())
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wickdyke.platform"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "GW_CONFIG": self.path, "GW_LISTEN": self.address, "GW_NAME": self.name},
        )
        self.lives.append(life)
        serving = threading.Event()
        threading.Thread(target=self._read_log, args=(self.process, life, serving), daemon=True).start()
        if not serving.wait(READY_SECONDS):
            return  # which the checks find
        life.ready_at = time.time()

    def _read_log(self, process: subprocess.Popen, life: ProcessLife, serving: threading.Event) -> None:
        for line in process.stderr:
            life.lines.append(line)
            if "event=serving" in line:
                serving.set()
        process.stderr.close()
        life.code = process.wait()
        life.ended_at = time.time()

    @property
    def life(self) -> ProcessLife:
        """The present process."""
        return self.lives[-1]

    def log_lines(self, event: str) -> list[str]:
        """The lines of that event, of all its processes."""
        quoted = f'event="{event}"' if " " in event else f"event={event}"
        return [line for life in self.lives for line in list(life.lines) if quoted in line]

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the present process."""
        if number == signal.SIGTERM and self.life.terminated_at is None:
            self.life.terminated_at = time.time()
        if number == signal.SIGKILL:
            self.life.killed_at = time.time()
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    def close(self) -> None:
        """Ends it."""
        if self.life.ended_at is None:
            self.signal(signal.SIGKILL)
        self.process.wait()
