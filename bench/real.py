"""One real front end of the platform beside a hollow fleet: its resident memory, processor time and bytes on the wire.

    python -m bench.real [WORKERS ...]

The list names that many workers, which share a few listeners on loopback. A client asks at 127 calls a second for
functions drawn evenly from 160,000, first not at all. Clients, workers and the event bus are stand-ins in this process;
the front end is the program as it is run. Prints one JSON object for each size.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time

import psutil

from tests import platform_rig as rig

LISTENERS, RATE, IDLE, LOADED = 8, 127.0, 5.0, 15.0  # seconds without and with calls
LIMITS = {"cores": 1.0, "memory_mb": 256, "sockets": 1024}


def told(front_end: psutil.Process) -> dict[str, float]:
    """Processor seconds and MB so far."""
    times = front_end.cpu_times()
    return {"processor": times.user + times.system, "rss_mb": front_end.memory_info().rss / 2**20}


def settled(front_end: psutil.Process, address: str) -> float:
    """Seconds until it says that it is ready."""
    began = time.monotonic()
    while time.monotonic() - began < 60:
        try:
            client = rig.Client(address)
            client.send(rig.alive(1))
            if client.answer()[1] == "good":
                client.close()
                return time.monotonic() - began
            client.close()
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError("the front end is not ready")


class Caller:
    """Asks at a steady rate on a few connections, and counts answers and bytes."""

    def __init__(self, address: str, connections: int = 8) -> None:
        self.clients = [rig.Client(address) for _ in range(connections)]
        self.answers: dict[str, int] = {}
        self.sent = 0
        self.lock = threading.Lock()
        for client in self.clients:
            threading.Thread(target=self._read, args=(client,), daemon=True).start()

    def _read(self, client: rig.Client) -> None:
        while (word := client.answer()[1]) != "closed":
            with self.lock:
                self.answers[word] = self.answers.get(word, 0) + 1

    def play(self, seconds: float) -> None:
        """Asks for that long."""
        chance, began = random.Random(5), time.monotonic()
        for number in range(int(seconds * RATE)):
            time.sleep(max(0.0, began + number / RATE - time.monotonic()))
            fields = rig.fields(f"{number + 1:016x}", o=f"{chance.randrange(160000):016x}", d="4000")
            data = rig.dispatch(number // len(self.clients) + 1, fields, b"x" * 100)
            self.sent += len(data)
            self.clients[number % len(self.clients)].send(data)
        time.sleep(1.0)


def measure(many: int) -> dict:
    """One front end with so many workers listed."""
    workers, bus = [rig.Worker() for _ in range(LISTENERS)], rig.Bus()
    rows = [rig.instance(f"s-{at:08x}", workers[at % LISTENERS].address, cell=at // 40) for at in range(many)]
    listen = rig.free_address()
    given = rig.config(listen, bus.address, *rows, limits=LIMITS)
    given["settings"] = {**rig.SETTINGS, "instances": 3300}
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as sink:
            json.dump(given, sink)
        environment = {**os.environ, "GW_CONFIG": path, "GW_LISTEN": listen}
        words = [sys.executable, "-m", "wickdyke.platform"]
        with subprocess.Popen(words, env=environment, stderr=subprocess.DEVNULL) as child:
            try:
                return _measure(psutil.Process(child.pid), listen, many, len(json.dumps(given)), workers)
            finally:
                child.terminate()
                child.wait(20)
                for each in (*workers, bus):
                    each.close()


def _measure(front_end: psutil.Process, listen: str, many: int, size: int, workers: list[rig.Worker]) -> dict:
    ready = settled(front_end, listen)
    start = told(front_end)
    time.sleep(IDLE)
    idle = told(front_end)
    caller = Caller(listen)
    caller.play(LOADED)
    loaded = told(front_end)
    commands = [
        parts for worker in workers for verb in (b"invoke", b"gauges", b"prewarm") for parts in worker.came(verb)
    ]
    return {
        "workers": many,
        "configuration_bytes": size,
        "ready_s": round(ready, 2),
        "start_processor_s": round(start["processor"], 2),
        "rss_mb": {name: round(each["rss_mb"], 1) for name, each in (("start", start), ("end", loaded))},
        "core_percent": {
            "idle": round(100 * (idle["processor"] - start["processor"]) / IDLE, 2),
            "loaded": round(100 * (loaded["processor"] - idle["processor"]) / LOADED, 2),
        },
        "answers": caller.answers,
        "connections_to_workers": sum(len(worker.socks) for worker in workers),
        "bytes_a_call": {
            "from_client": round(caller.sent / max(1, sum(caller.answers.values()))),
            "to_workers": round(sum(len(part) + 8 for parts in commands for part in parts) / (LOADED * RATE)),
        },
        "messages": {
            verb.decode(): sum(len(worker.came(verb)) for worker in workers)
            for verb in (b"invoke", b"gauges", b"prewarm")
        },
    }


if __name__ == "__main__":
    for size in [int(word) for word in sys.argv[1:]] or [200, 1000, 5000, 10000]:
        print(json.dumps(measure(size)), flush=True)
