"""One real front end of the platform beside simulated workers: its resident memory, processor time and bytes sent.

    python -m bench.real [WORKERS ...]

The list names that many workers, which share a few listeners on loopback. A client sends 127 requests a second for
functions drawn evenly from 160,000; before that the front end is idle. Client, workers and the event bus are simulated
in this process; the front end is the program as it is run. Prints one JSON object for each size.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from typing import Any

import psutil  # type: ignore[import-untyped]  # it has no type hints

from tests import platform_rig as rig

LISTENERS = 8
RATE = 127.0  # requests a second
FUNCTIONS = 160000
IDLE_SECONDS = 5.0
LOADED_SECONDS = 15.0
LAST_ANSWERS_SECONDS = 1.0  # after the last request
READY_TIMEOUT = 60  # s
READY_POLL_INTERVAL = 0.02  # s
STOP_TIMEOUT = 20  # s
WORKERS_IN_CELL = 40
PAYLOAD = b"x" * 100
SIZES = (200, 1000, 5000, 10000)  # workers, by default
LIMITS = {"cores": 1.0, "memory_mb": 256, "sockets": 1024}
VERBS = (b"invoke", b"gauges", b"prewarm")  # of commands to workers
FRAME_OVERHEAD = 8  # bytes of each part of a command on the wire


@dataclass(slots=True, frozen=True)
class ProcessUse:
    """What a process has used up to now."""

    cpu_seconds: float
    rss_mb: float


def process_use(process: psutil.Process) -> ProcessUse:
    """What a process has used up to now."""
    times = process.cpu_times()
    return ProcessUse(times.user + times.system, process.memory_info().rss / 2**20)


def wait_until_ready(address: str) -> float:
    """Waits until the front end answers that it is ready; returns the seconds. Raises TimeoutError."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < READY_TIMEOUT:
        try:
            client = rig.Client(address)
            client.send(rig.alive(1))
            if client.answer()[1] == "good":
                client.close()
                return time.monotonic() - started_at
            client.close()
        except OSError:
            pass
        time.sleep(READY_POLL_INTERVAL)
    raise TimeoutError("the front end is not ready")


class LoadClient:
    """Sends requests at a steady rate on a few connections, and counts answers and bytes."""

    def __init__(self, address: str, connections: int = 8) -> None:
        self.clients = [rig.Client(address) for _ in range(connections)]
        self.answers: dict[str, int] = {}  # counts by the answer's word
        self.bytes_sent = 0
        self.lock = threading.Lock()
        for client in self.clients:
            threading.Thread(target=self._read, args=(client,), daemon=True).start()

    def _read(self, client: rig.Client) -> None:
        while (word := client.answer()[1]) != "closed":
            with self.lock:
                self.answers[word] = self.answers.get(word, 0) + 1

    def run(self, seconds: float) -> None:
        """Sends requests for that long."""
        draw = random.Random(5)
        started_at = time.monotonic()
        for number in range(int(seconds * RATE)):
            time.sleep(max(0.0, started_at + number / RATE - time.monotonic()))
            fields = rig.fields(f"{number + 1:016x}", o=f"{draw.randrange(FUNCTIONS):016x}", d="4000")
            data = rig.dispatch(number // len(self.clients) + 1, fields, PAYLOAD)
            self.bytes_sent += len(data)
            self.clients[number % len(self.clients)].send(data)
        time.sleep(LAST_ANSWERS_SECONDS)


def measure(worker_count: int) -> dict[str, Any]:
    """The figures of one front end with so many workers listed."""
    workers = [rig.Worker() for _ in range(LISTENERS)]
    bus = rig.Bus()
    rows = [
        rig.instance(f"s-{number:08x}", workers[number % LISTENERS].address, cell=number // WORKERS_IN_CELL)
        for number in range(worker_count)
    ]
    listen = rig.free_address()
    config = rig.config(listen, bus.address, *rows, limits=LIMITS)
    config["settings"] = {**rig.SETTINGS, "instances": 3300}
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as sink:
            json.dump(config, sink)
        environment = {**os.environ, "GW_CONFIG": path, "GW_LISTEN": listen}
        command = [sys.executable, "-m", "wickdyke.platform"]
        with subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL) as child:
            try:
                figures = _measure(psutil.Process(child.pid), listen, workers)
            finally:
                child.terminate()
                child.wait(STOP_TIMEOUT)
                for server in (*workers, bus):
                    server.close()
    return {"workers": worker_count, "configuration_bytes": len(json.dumps(config)), **figures}


def _measure(front_end: psutil.Process, listen: str, workers: list[rig.Worker]) -> dict[str, Any]:
    """The figures by their keys in bench/real.json."""
    ready = wait_until_ready(listen)
    at_start = process_use(front_end)
    time.sleep(IDLE_SECONDS)
    idle = process_use(front_end)
    client = LoadClient(listen)
    client.run(LOADED_SECONDS)
    loaded = process_use(front_end)
    return {
        "ready_s": round(ready, 2),
        "start_processor_s": round(at_start.cpu_seconds, 2),
        "rss_mb": {"start": round(at_start.rss_mb, 1), "end": round(loaded.rss_mb, 1)},
        "core_percent": {
            "idle": round(100 * (idle.cpu_seconds - at_start.cpu_seconds) / IDLE_SECONDS, 2),
            "loaded": round(100 * (loaded.cpu_seconds - idle.cpu_seconds) / LOADED_SECONDS, 2),
        },
        "answers": client.answers,
        "connections_to_workers": sum(len(worker.socks) for worker in workers),
        "bytes_a_call": {
            "from_client": round(client.bytes_sent / max(1, sum(client.answers.values()))),
            "to_workers": round(_command_bytes(workers) / (LOADED_SECONDS * RATE)),
        },
        "messages": {verb.decode(): sum(len(worker.came(verb)) for worker in workers) for verb in VERBS},
    }


def _command_bytes(workers: list[rig.Worker]) -> int:
    """Bytes of all commands that workers received."""
    commands = [parts for worker in workers for verb in VERBS for parts in worker.came(verb)]
    return sum(len(part) + FRAME_OVERHEAD for parts in commands for part in parts)


if __name__ == "__main__":
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        print(json.dumps(measure(size)), flush=True)
