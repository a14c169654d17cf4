"""Since when data may have waited unread, in a process whose threads block in their reads.

Such a thread can't tell a peer that was silent from a process that did not run. So one thread wakes at a fixed
interval: where it is late, the process was stopped or busy. Then the first thread that runs looks which sockets have
something to read. All times are monotonic ms.
"""

import math
import select
import socket
import threading
import time

from wickdyke.transport.event_loop import clock

TICK_INTERVAL = 20.0  # ms
MIN_STALL = 30.0  # ms between two ticks from which on the process counts as stalled in between
# ms without a run after which what is decided next waits for the readers: a client that has left for longer than 100 ms
# must not be served.
MIN_CATCH_UP_STALL = 70.0
MAX_CATCH_UP = 50.0  # ms that it waits
CATCH_UP_POLL = 0.001  # s between two checks
MEMORY_RETRY = 0.02  # s until a system call is retried that failed for want of memory
MS_PER_SECOND = 1000


class StallDetector:
    """Notices when this process did not run, and then looks at all sockets."""

    def __init__(self) -> None:
        self.ticked_at = clock()
        self.arrivals: set[ArrivalBound] = set()
        self.lock = threading.Lock()  # guards `arrivals`
        self.tick_lock = threading.Lock()
        self.readers_behind = False  # since a long stall
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
            self.readers_behind |= now - self.ticked_at >= MIN_CATCH_UP_STALL
            self.ticked_at = now  # last: until the sockets were looked at, all that is read may have waited

    def is_overdue(self, now: float) -> bool:
        """Whether the process did not run for a while before that time, and nobody has noticed yet."""
        return now - self.ticked_at >= MIN_STALL

    def catch_up(self) -> bool:
        """After a long stall, waits until what was unread then is handled; returns whether there was such a stall.

        For the thread that decides by what the readers pass on. The wait is bounded by MAX_CATCH_UP.
        """
        now = clock()
        if self.is_overdue(now):
            self.tick()
        if not self.readers_behind:
            return False
        self.readers_behind = False
        while self._any_behind() and clock() - now < MAX_CATCH_UP:
            time.sleep(CATCH_UP_POLL)
        return True

    def _any_behind(self) -> bool:
        with self.lock:
            return any(arrival.is_behind() for arrival in self.arrivals)

    def _look(self) -> None:
        with self.lock:
            by_number = {arrival.sock.fileno(): arrival for arrival in self.arrivals}
        by_number.pop(-1, None)  # closed
        looked_at = clock()
        poller = select.poll()
        for number in by_number:
            poller.register(number, select.POLLIN)
        try:
            ready = {number for number, _ in poller.poll(0)}
        except OSError:  # ENOMEM: any of them may have something
            ready = set(by_number)
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
        self.handling = False  # what was read last
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
        self.handling = False

    def wait(self) -> float:
        """Waits until there is something to read, which is left there; returns since when it may have waited."""
        # A read that waits would take data from the kernel before this thread runs, and the socket would look empty.
        self.handling = False
        self._wait_until_readable()
        self.handling = True
        now = clock()
        if self.detector.is_overdue(now):
            self.detector.tick()
        waiting_since = self.waiting_since
        return now if waiting_since is None else min(now, waiting_since)

    def _wait_until_readable(self) -> None:
        while True:
            try:
                self.poller.poll()
                return
            except OSError:  # poll(2): ENOMEM, which passes
                time.sleep(MEMORY_RETRY)

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

    def is_behind(self) -> bool:
        """Whether something that waited is not handled yet."""
        return self.waiting_since is not None or self.handling

    def look(self) -> None:
        """Forgets since when something may wait, if there is nothing to read now."""
        looked_at = clock()
        try:
            is_empty = not self.poller.poll(0)
        except OSError:  # ENOMEM: unknown
            return
        if is_empty:
            self.emptied(looked_at)
