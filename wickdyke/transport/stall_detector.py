"""Detects stalls of the process, and bounds how long data has waited unread on sockets with blocking readers.

A thread that blocks in a read can't tell a silent peer from a process that was not running. So one thread wakes at a
fixed interval: if it is late, the process was stopped or busy. The first thread that runs after such a stall checks
which sockets have data to read. All times are monotonic ms.
"""

import math
import select
import socket
import threading
import time

from wickdyke.transport.event_loop import clock
from wickdyke.transport.system_facts import OUT_OF_MEMORY_ERRORS

TICK_INTERVAL = 20.0  # ms
MIN_STALL = 30.0  # ms between two ticks from which on the process counts as stalled
# ms of a stall from which on the next decision waits until the readers have caught up: a client that left more than
# 100 ms ago must not be served.
MIN_CATCH_UP_STALL = 70.0
MAX_CATCH_UP_WAIT = 50.0  # ms for which a decision waits at most
CATCH_UP_POLL_INTERVAL = 0.001  # s between two checks whether the readers have caught up
MEMORY_RETRY_DELAY = 0.02  # s until a system call that failed for lack of memory is retried
MS_PER_SECOND = 1000


class StallDetector:
    """Detects when this process was not running, and then checks all sockets for unread data."""

    def __init__(self) -> None:
        self.ticked_at = clock()
        self.arrival_bounds: set[ArrivalBound] = set()
        self.lock = threading.Lock()  # guards `arrival_bounds`
        self.tick_lock = threading.Lock()
        self.readers_behind = False  # whether readers may still have to catch up after a long stall
        self.closed = threading.Event()

    def open(self) -> None:
        """Starts the detector's thread. Raises RuntimeError if it can't be started."""
        self.ticked_at = clock()
        threading.Thread(target=self._run, name="stall-detector", daemon=True).start()

    def close(self) -> None:
        """Ends the detector's thread."""
        self.closed.set()

    def _run(self) -> None:
        while not self.closed.wait(TICK_INTERVAL / MS_PER_SECOND):
            self.tick()

    def tick(self) -> None:
        """Records that the process is running, and checks the sockets after a stall. Any thread may call it."""
        with self.tick_lock:
            now = clock()
            if self.is_overdue(now):
                self._check_sockets()
            self.readers_behind |= now - self.ticked_at >= MIN_CATCH_UP_STALL
            self.ticked_at = now  # set last: until the sockets are checked, any data read may have waited

    def is_overdue(self, now: float) -> bool:
        """Returns whether the process was stalled before that time and no thread has detected it yet."""
        return now - self.ticked_at >= MIN_STALL

    def catch_up(self) -> bool:
        """Waits after a long stall until the data unread by then is handled; returns whether there was such a stall.

        It is called by the thread that makes decisions on what the readers pass on. The wait is bounded by
        MAX_CATCH_UP_WAIT.
        """
        now = clock()
        if self.is_overdue(now):
            self.tick()
        if not self.readers_behind:
            return False
        self.readers_behind = False
        while self._any_unhandled_data() and clock() - now < MAX_CATCH_UP_WAIT:
            time.sleep(CATCH_UP_POLL_INTERVAL)
        return True

    def _any_unhandled_data(self) -> bool:
        with self.lock:
            return any(arrival_bound.has_unhandled_data() for arrival_bound in self.arrival_bounds)

    def _check_sockets(self) -> None:
        with self.lock:
            by_fd = {arrival_bound.sock.fileno(): arrival_bound for arrival_bound in self.arrival_bounds}
        by_fd.pop(-1, None)  # closed
        checked_at = clock()
        poller = select.poll()
        for fd in by_fd:
            poller.register(fd, select.POLLIN)
        try:
            ready = {fd for fd, _ in poller.poll(0)}
        except OSError:  # ENOMEM: any of the sockets may have unread data
            ready = set(by_fd)
        for fd, arrival_bound in by_fd.items():
            if fd in ready:
                arrival_bound.mark_waiting_since(self.ticked_at)
            else:
                arrival_bound.mark_empty(checked_at)


class ArrivalBound:
    """A lower bound for the arrival time of the unread data of one socket, which a single thread reads.

    `since`, for an accepted connection, is the earliest time at which it may have been made. It is to be closed
    together with the socket.
    """

    def __init__(self, detector: StallDetector, sock: socket.socket, since: float | None = None) -> None:
        self.detector = detector
        self.sock = sock
        self.waiting_since: float | None = None  # None if no data is known to wait
        self.noted_at = clock()  # when `waiting_since` was set
        self.last_empty_at = -math.inf  # the last time at which there was nothing to read
        self.is_handling = False  # whether the thread is handling the data read last
        self.lock = threading.Lock()  # guards `waiting_since`, `noted_at` and `last_empty_at`
        self.poller = select.poll()
        self.poller.register(sock, select.POLLIN)
        with detector.lock:
            detector.arrival_bounds.add(self)
        # The detector checks the socket from here on. The process may have been stalled before, without a check.
        if since is not None and clock() - since >= MIN_STALL:
            self.mark_waiting_since(since)
            self.clear_if_empty()

    def close(self) -> None:
        """Removes the socket from the detector."""
        with self.detector.lock:
            self.detector.arrival_bounds.discard(self)
        self.is_handling = False

    def wait(self) -> float:
        """Waits until there is data to read, without reading it; returns since when it may have waited."""
        # A blocking read would take data from the kernel before this thread runs, and the socket would look empty.
        self.is_handling = False
        self._wait_until_readable()
        self.is_handling = True
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
            except OSError as error:
                if error.errno not in OUT_OF_MEMORY_ERRORS:
                    self._wait_by_look()
                    return
                time.sleep(MEMORY_RETRY_DELAY)

    def _wait_by_look(self) -> None:
        """Waits for data, or the end of the connection, where the system refuses poll(2)."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError:  # an error of the connection, which the read reports; a refusal must not make a busy loop
            time.sleep(MEMORY_RETRY_DELAY)

    def mark_waiting_since(self, since: float) -> None:
        """Records that data may wait since that time, or since an earlier time recorded already."""
        with self.lock:
            since = max(since, self.last_empty_at)
            self.waiting_since = since if self.waiting_since is None else min(since, self.waiting_since)
            self.noted_at = clock()

    def mark_empty(self, at: float) -> None:
        """Records that there was nothing to read at that time."""
        with self.lock:
            self.last_empty_at = max(at, self.last_empty_at)
            if self.noted_at <= at:
                self.waiting_since = None
            elif self.waiting_since is not None:
                self.waiting_since = max(at, self.waiting_since)

    def has_unhandled_data(self) -> bool:
        """Returns whether data that waited has not been handled yet."""
        return self.waiting_since is not None or self.is_handling

    def clear_if_empty(self) -> None:
        """Clears the time since which data may wait, if there is nothing to read now."""
        checked_at = clock()
        try:
            is_empty = not self.poller.poll(0)
        except OSError:  # ENOMEM: unknown
            return
        if is_empty:
            self.mark_empty(checked_at)
