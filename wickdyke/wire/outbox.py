"""What is to be written to one socket, so that whoever puts it there never waits."""

import socket
import threading
from collections import deque
from collections.abc import Callable


class Unread(Exception):
    """The other side reads too little: more is waiting for it than is allowed."""


class Parcel:
    """One message on its way out. `begun` once a byte of it may have been handed to the kernel."""

    __slots__ = ("data", "begun", "written")

    def __init__(self, data: bytes, written: Callable[[], None] | None = None) -> None:
        self.data, self.begun, self.written = data, False, written


class Outbox:
    """Sends at once what the kernel takes at once; a thread of its own writes the rest, or a loop by `pump`.

    `most` is the greatest number of bytes that may wait. The thread is begun only when something has to wait, so
    that a peer that reads costs none. With `waits` there is no thread: it is told when something begins to wait
    (True) and when nothing does any more.
    """

    def __init__(self, sock: socket.socket, most: int, name: str, waits: Callable[[bool], None] | None = None) -> None:
        self.sock, self.most, self.name, self.waits = sock, most, name, waits
        self.lock = threading.Lock()
        self.more = threading.Condition(self.lock)
        self.waiting: deque[Parcel] = deque()
        self.held = 0
        self.thread: threading.Thread | None = None
        self.closed = False

    def put(self, parcel: Parcel) -> bool:
        """True where all of it is with the kernel already; raises Unread past the bound, OSError when closed."""
        with self.lock:
            if self.closed:
                raise OSError("closed")
            if not self.waiting:
                try:
                    sent = self.sock.send(parcel.data, socket.MSG_DONTWAIT)
                except (BlockingIOError, InterruptedError):
                    sent = 0
                except OSError:
                    parcel.begun = True  # nobody can tell how much of it went
                    raise
                parcel.begun = sent > 0
                if sent == len(parcel.data):
                    return True
                parcel.data = memoryview(parcel.data)[sent:]
            if self.held + len(parcel.data) > self.most:
                raise Unread(f"{self.held} bytes wait to be read")
            self.held += len(parcel.data)
            self.waiting.append(parcel)
            if self.waits is not None:
                if len(self.waiting) == 1:
                    self.waits(True)
                return False
            if self.thread is None:
                self.thread = threading.Thread(target=self._write, name=self.name, daemon=True)
                self.thread.start()
            self.more.notify()
            return False

    def withdraw(self, parcel: Parcel) -> bool:
        """Takes back what was not begun; False where a byte of it may be with the kernel."""
        with self.lock:
            if parcel.begun or parcel not in self.waiting:
                return False
            self.waiting.remove(parcel)
            self.held -= len(parcel.data)
            return True

    def pump(self) -> None:
        """For the loop: sends what the kernel takes now; raises OSError where the connection has ended."""
        while self.waiting:
            parcel = self.waiting[0]
            try:
                sent = self.sock.send(parcel.data, socket.MSG_DONTWAIT)
            except (BlockingIOError, InterruptedError):
                return
            parcel.begun, self.held = True, self.held - sent
            if sent < len(parcel.data):
                parcel.data = memoryview(parcel.data)[sent:]
                return
            self.waiting.popleft()
            if parcel.written is not None:
                parcel.written()
        if self.waits is not None:
            self.waits(False)

    def drop(self) -> None:
        """For the loop: its connection has ended; what waits is dropped, and nothing more is taken."""
        # Danger: who is told hangs on the connection that holds this: a circle, which only the collector would find,
        # minutes later. Also what waited. Hurts nowhere.
        self.closed, self.waits = True, None
        self.waiting.clear()

    def empty(self) -> bool:
        """Whether nothing waits to be written."""
        with self.lock:
            return not self.waiting

    def close(self) -> None:
        """Ends the thread; what waits is dropped. The socket is shut down so that a blocked send ends."""
        with self.lock:
            self.closed = True
            self.waiting.clear()
            self.more.notify()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def _write(self) -> None:
        while True:
            with self.lock:
                while not self.waiting and not self.closed:
                    self.more.wait()
                if self.closed:
                    return
                parcel = self.waiting[0]
                parcel.begun = True
            try:
                self.sock.sendall(parcel.data)
            except OSError:
                self.close()
                return
            with self.lock:
                if self.waiting and self.waiting[0] is parcel:
                    self.waiting.popleft()
                    self.held -= len(parcel.data)
            if parcel.written is not None:
                parcel.written()
