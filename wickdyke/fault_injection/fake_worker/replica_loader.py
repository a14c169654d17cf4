"""Loads replicas: fetches them from the fake store, then starts them."""

import socket
import threading
from collections import deque
from collections.abc import Callable
from functools import partial

from wickdyke.fault_injection.fake_store import FetchRequest
from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.fake_worker.replicas import FakeReplica
from wickdyke.fault_injection.fake_worker.scheduler import Scheduler
from wickdyke.protocol import jsonrpc


class ReplicaLoader:
    """Loads up to `max_concurrent_loads` replicas at once and calls `on_loaded(replica, succeeded)` after each."""

    def __init__(
        self, config: FakeWorkerConfig, scheduler: Scheduler, on_loaded: Callable[[FakeReplica, bool], None]
    ) -> None:
        self.config = config
        self.scheduler = scheduler
        self.on_loaded = on_loaded
        self.pending_loads: deque[FakeReplica] = deque()
        self.loads_in_progress = 0

    def unfinished_count(self) -> int:
        """Returns how many replicas are loading or wait to be loaded."""
        return self.loads_in_progress + len(self.pending_loads)

    def start_pending(self) -> None:
        """Starts as many of the pending loads as may run at once."""
        while self.pending_loads and self.loads_in_progress < self.config.max_concurrent_loads:
            replica = self.pending_loads.popleft()
            self.loads_in_progress += 1
            threading.Thread(target=self._load, args=(replica,), daemon=True).start()

    def _load(self, replica: FakeReplica) -> None:
        """Waits for the store, then schedules the end of the load; runs in its own thread."""
        fetched = self._fetch(replica)
        start_ms = replica.load_ms * (1 - self.config.fetch_fraction) if fetched else 0.0
        self.scheduler.call_later(start_ms, partial(self._finish, replica, fetched))

    def _fetch(self, replica: FakeReplica) -> bool:
        """Fetches the function; returns whether the store served it."""
        request = FetchRequest(replica.function, replica.load_ms * self.config.fetch_fraction)
        try:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as store:
                store.connect(self.config.store)
                store.sendall(jsonrpc.request_line("fetch", jsonrpc.encode(request), 1))
                _, result, _ = jsonrpc.parse_response(store.makefile("rb").readline())
        except (OSError, jsonrpc.MalformedRequestError):
            return False
        return result is not None

    def _finish(self, replica: FakeReplica, succeeded: bool) -> None:
        self.loads_in_progress -= 1
        self.on_loaded(replica, succeeded)
        self.start_pending()
