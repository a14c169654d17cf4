"""Measures a real front end of the platform with simulated workers: resident memory, processor time and bytes sent.

    python -m bench.real [WORKERS ...]

The endpoint list has WORKERS entries, which share a few listeners on loopback. The front end is idle at first; then a
client sends 127 requests a second for functions drawn uniformly from 160,000. Client, workers and event bus are
simulated in this process; the front end is a real process. Prints one JSON object for each number of workers.
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

import psutil  # type: ignore[import-untyped]  # psutil has no type hints

from tests import platform_rig as rig

LISTENER_COUNT = 8
REQUESTS_PER_S = 127.0
FUNCTION_COUNT = 160000
IDLE_SECONDS = 5.0
LOADED_SECONDS = 15.0
LAST_ANSWERS_SECONDS = 1.0  # wait for answers after the last request
READY_TIMEOUT = 60  # s
READY_POLL_INTERVAL = 0.02  # s
STOP_TIMEOUT = 20  # s
WORKERS_IN_CELL = 40
PAYLOAD = b"x" * 100
WORKER_COUNTS = (200, 1000, 5000, 10000)  # by default
LIMITS = {"cores": 1.0, "memory_mb": 256, "sockets": 1024}
COMMAND_VERBS = (b"invoke", b"gauges", b"prewarm")  # of the commands that workers receive
FRAME_OVERHEAD = 8  # bytes that the wire format adds to each part of a command


@dataclass(slots=True, frozen=True)
class ProcessUse:
    """The processor time that a process has used since its start, and its resident memory."""

    cpu_seconds: float
    rss_mb: float


def process_use(process: psutil.Process) -> ProcessUse:
    """Returns what a process has used up to now; raises psutil.Error where it has ended."""
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
    raise TimeoutError("the front end did not become ready in time")


class LoadClient:
    """Sends requests at a fixed rate on several connections, and counts answers and the bytes sent."""

    def __init__(self, address: str, connections: int = 8) -> None:
        self.clients = [rig.Client(address) for _ in range(connections)]
        self.answers: dict[str, int] = {}  # counts by status
        self.bytes_sent = 0
        self.lock = threading.Lock()
        for client in self.clients:
            threading.Thread(target=self._read, args=(client,), daemon=True).start()

    def _read(self, client: rig.Client) -> None:
        while (status := client.answer()[1]) != "closed":
            with self.lock:
                self.answers[status] = self.answers.get(status, 0) + 1

    def run(self, seconds: float) -> None:
        """Sends requests for that many seconds, then waits for the last answers."""
        generator = random.Random(5)
        started_at = time.monotonic()
        for number in range(int(seconds * REQUESTS_PER_S)):
            time.sleep(max(0.0, started_at + number / REQUESTS_PER_S - time.monotonic()))
            fields = rig.fields(f"{number + 1:016x}", o=f"{generator.randrange(FUNCTION_COUNT):016x}", d="4000")
            data = rig.dispatch(number // len(self.clients) + 1, fields, PAYLOAD)
            self.bytes_sent += len(data)
            self.clients[number % len(self.clients)].send(data)
        time.sleep(LAST_ANSWERS_SECONDS)


def measure(worker_count: int) -> dict[str, Any]:
    """Starts a front end with that many listed workers; returns its figures by their keys in bench/real.json."""
    workers = [rig.Worker() for _ in range(LISTENER_COUNT)]
    bus = rig.Bus()
    rows = [
        rig.instance(f"s-{number:08x}", workers[number % LISTENER_COUNT].address, cell=number // WORKERS_IN_CELL)
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
    """Returns the figures of the front end, idle and under load, by their keys in bench/real.json."""
    ready_seconds = wait_until_ready(listen)
    at_start = process_use(front_end)
    time.sleep(IDLE_SECONDS)
    idle = process_use(front_end)
    client = LoadClient(listen)
    client.run(LOADED_SECONDS)
    loaded = process_use(front_end)
    return {
        "ready_s": round(ready_seconds, 2),
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
            "to_workers": round(_command_bytes(workers) / (LOADED_SECONDS * REQUESTS_PER_S)),
        },
        "messages": {verb.decode(): sum(len(worker.received(verb)) for worker in workers) for verb in COMMAND_VERBS},
    }


def _command_bytes(workers: list[rig.Worker]) -> int:
    """Returns the bytes on the wire of all commands that workers received."""
    commands = [parts for worker in workers for verb in COMMAND_VERBS for parts in worker.received(verb)]
    return sum(len(part) + FRAME_OVERHEAD for parts in commands for part in parts)


if __name__ == "__main__":
    for count in [int(word) for word in sys.argv[1:]] or WORKER_COUNTS:
        print(json.dumps(measure(count)), flush=True)
