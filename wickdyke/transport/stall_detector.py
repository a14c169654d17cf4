"""Since when data may have waited unread, in a process whose threads block in their reads.

Such a thread can't tell a peer that was silent from a process that did not run. So one thread wakes at a fixed
interval: where it is late, the process was stopped or busy. Then the first thread that runs looks which sockets have
something to read. All times are monotonic ms.
"""

import math
import select
import socket
import threading

from wickdyke.transport.event_loop import clock

TICK_INTERVAL = 20.0  # ms
MIN_STALL = 30.0  # ms between two ticks from which on the process counts as stalled in between
MS_PER_SECOND = 1000


class StallDetector:
    """Notices when this process did not run, and then looks at all sockets."""

    def __init__(self) -> None:
        self.ticked_at = clock()
        self.arrivals: set[ArrivalBound] = set()
        self.lock = threading.Lock()  # guards `arrivals`
        self.tick_lock = threading.Lock()
        self.closed = threading.Event()

    def open(self) -> None:
        """Starts its thread. Raises RuntimeError where there is none to be had."""
        self.ticked_at = clock()
        threading.Thread(target=self._run, name="stall-detector", daemon=True).start()

    def close(self) -> None:
        """Ends its thread."""
        self.closed.set()

    def _run(self) -> None:
        while not self.closed.wait(TICK_INTERVAL / MS_PER_SECOND):
            self.tick()

    def tick(self) -> None:
        """Notes that the process runs. Any thread may call it."""
        with self.tick_lock:
            now = clock()
            if self.is_overdue(now):
                self._look()
            self.ticked_at = now  # last: until the sockets were looked at, all that is read may have waited

    def is_overdue(self, now: float) -> bool:
        """Whether the process did not run for a while before that time, and nobody has noticed yet."""
        return now - self.ticked_at >= MIN_STALL

    def _look(self) -> None:
        with self.lock:
            by_number = {arrival.sock.fileno(): arrival for arrival in self.arrivals}
        by_number.pop(-1, None)  # closed
        looked_at = clock()
        poller = select.poll()
        for number in by_number:
            poller.register(number, select.POLLIN)
        ready = {number for number, _ in poller.poll(0)}
        for number, arrival in by_number.items():
            if number in ready:
                arrival.waits_since(self.ticked_at)
            else:
                arrival.emptied(looked_at)


class ArrivalBound:
    """Since when what is unread on one socket may have waited there. One thread waits for that socket.

    `since`, of a connection that was accepted, is when it was made at the earliest. To be closed with the socket.
    """

    def __init__(self, detector: StallDetector, sock: socket.socket, since: float | None = None) -> None:
        self.detector = detector
        self.sock = sock
        self.waiting_since: float | None = None  # None where nothing is known to wait
        self.noted_at = clock()  # when `waiting_since` was noted
        self.empty_at = -math.inf  # there was nothing to read then
        self.lock = threading.Lock()  # guards these three
        self.poller = select.poll()
        self.poller.register(sock, select.POLLIN)
        with detector.lock:
            detector.arrivals.add(self)
        # From here on the detector looks at it. Before, the process may have been stopped without a look.
        if since is not None and clock() - since >= MIN_STALL:
            self.waits_since(since)
            self.look()

    def close(self) -> None:
        """Ends the observation of the socket."""
        with self.detector.lock:
            self.detector.arrivals.discard(self)

    def wait(self) -> float:
        """Waits until there is something to read, which is left there; returns since when it may have waited."""
        # A read that waits would take data from the kernel before this thread runs, and the socket would look empty.
        self.poller.poll()
        now = clock()
        if self.detector.is_overdue(now):
            self.detector.tick()
        waiting_since = self.waiting_since
        return now if waiting_since is None else min(now, waiting_since)

    def waits_since(self, since: float) -> None:
        """Something may wait there since then, if not for longer."""
        with self.lock:
            since = max(since, self.empty_at)
            self.waiting_since = since if self.waiting_since is None else min(since, self.waiting_since)
            self.noted_at = clock()

    def emptied(self, at: float) -> None:
        """There was nothing to read at that time."""
        with self.lock:
            self.empty_at = max(at, self.empty_at)
            if self.noted_at <= at:
                self.waiting_since = None
            elif self.waiting_since is not None:
                self.waiting_since = max(at, self.waiting_since)

    def look(self) -> None:
        """Forgets since when something may wait, if there is nothing to read now."""
        looked_at = clock()
        if not self.poller.poll(0):
            self.emptied(looked_at)
