"""Front ends, workers, discovery and clients together, and when the list of workers changed."""

import tempfile
import threading
import time
from dataclasses import dataclass

from tests import platform_rig as rig
from tests.soak.bus import BusMode, EventLog, SoakBus
from tests.soak.front_end import SoakFrontEnd
from tests.soak.load_client import LoadClient, SentRequest
from tests.soak.visitors import Visitors
from tests.soak.worker import SoakWorker

DRAIN_GRACE_SECONDS = rig.SETTINGS["rules"]["stop-sending-within"] / 1e6
FUNCTIONS = [f"{number:016x}" for number in range(1, 9)]


@dataclass(frozen=True)
class ListChange:
    """A worker's new state in the list, in force at the event log since `at` (Unix s)."""

    worker: SoakWorker
    lifecycle: str
    at: float


@dataclass(frozen=True)
class SceneSize:
    """How many of each there are."""

    front_ends: int = 3
    workers: int = 4
    clients_per_front_end: int = 2
    rate: float = 10.0  # requests a second of each client


class Scene:
    """A running rig; `close` ends all of it."""

    def __init__(self, size: SceneSize, seed: int = 1) -> None:
        self.size = size
        self.seed = seed
        self.folder = tempfile.TemporaryDirectory()
        self.log = EventLog()
        self.buses = [SoakBus(self.log) for _ in range(2)]
        self.workers = [SoakWorker(f"w{number}") for number in range(size.workers)]
        self.changes: list[ListChange] = []
        self.log.append(*(self._instance(worker, "SERVING") for worker in self.workers))
        self.front_ends = [
            SoakFrontEnd(f"n{index}", self.folder.name, rig.SETTINGS, index, size.front_ends)
            for index in range(size.front_ends)
        ]
        self.clients: list[LoadClient | Visitors] = []

    def start(self) -> None:
        """Starts the front ends, then their clients."""
        for front_end in self.front_ends:
            front_end.write(self.buses[0].address, self.log.known())
        starting = [threading.Thread(target=front_end.start) for front_end in self.front_ends]
        for thread in starting:
            thread.start()
        for thread in starting:
            thread.join()
        self.started_at = time.time()
        for _ in range(self.size.clients_per_front_end):
            self.add_clients(self.size.rate)

    def add_clients(self, rate: float) -> list[LoadClient]:
        """Starts one more client of each front end."""
        added = []
        for front_end in self.front_ends:
            client = LoadClient(front_end.address, rate, FUNCTIONS, self.seed * 1000 + len(self.clients))
            self.clients.append(client)
            added.append(client)
            client.start()
        return added

    def add_visitors(self, front_end: SoakFrontEnd) -> Visitors:
        """Clients of one front end that come when told to."""
        visitors = Visitors(front_end.address, FUNCTIONS, self.seed * 1000 + len(self.clients))
        self.clients.append(visitors)
        return visitors

    def set_discovery(self, mode: BusMode) -> None:
        """Discovery behaves that way at each of its addresses."""
        for bus in self.buses:
            bus.set_mode(mode)

    def drain(self, worker: SoakWorker) -> None:
        """The worker drains, and the list says so."""
        worker.drain()
        self._change(worker, "DRAINING")

    def remove(self, worker: SoakWorker) -> None:
        """The worker ends, and leaves the list."""
        worker.stop()
        self._change(worker, "DELETED")

    def bring_back(self, worker: SoakWorker) -> None:
        """The worker starts anew, with nothing loaded, and the list says so."""
        worker.start()
        worker.started_at_ms = int(time.time() * 1000)
        self._change(worker, "SERVING")

    def _change(self, worker: SoakWorker, lifecycle: str) -> None:
        self.log.append(self._instance(worker, lifecycle))
        self.changes.append(ListChange(worker, lifecycle, time.time()))

    def _instance(self, worker: SoakWorker, lifecycle: str) -> dict:
        return rig.instance(worker.name, worker.address, lifecycle=lifecycle, startedAtMs=worker.started_at_ms)

    def requests(self) -> list[SentRequest]:
        """All requests of all clients."""
        return [request for client in self.clients for request in client.requests]

    def busiest_worker(self) -> SoakWorker:
        """The worker that most work was sent to."""
        return max(self.workers, key=lambda worker: len(worker.new_work()))

    def stop_clients(self, wait: float = 4.0) -> None:
        """No more requests; waits for the open ones that long (s)."""
        stopping = [threading.Thread(target=client.stop, args=(wait,)) for client in self.clients]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join()

    def close(self) -> None:
        """Ends everything."""
        self.stop_clients(0.0)
        for front_end in self.front_ends:
            front_end.close()
        for bus in self.buses:
            bus.close()
        for worker in self.workers:
            worker.close()
        self.folder.cleanup()
