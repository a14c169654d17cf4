"""What is to be written to one socket, so that whoever puts it there never waits."""

import errno
import select
import socket
import threading
from collections import deque
from collections.abc import Callable

SHORT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)  # send(2): for a moment; the connection stands and took nothing
MEMORY_RETRY = 0.01  # s until a thread offers the kernel again what it had no memory for
LOOK_AGAIN = 1000  # ms that a thread waits at most for room at the kernel before it looks whether it is to end


class PeerTooSlow(Exception):
    """The other side reads too little: more is waiting for it than is allowed."""


class Expired(Exception):
    """The deadline of a message passed before a byte of it went: it is not sent."""


class OutgoingMessage:
    """One message on its way out. `begun` once a byte of it may have been handed to the kernel.

    `data` is its bytes, or a function that renders them: called each time that its first byte is offered to the
    kernel, so that a deadline in it is that of this moment, and never again once a byte went. It returns None where
    the deadline has passed; `expired` is then told, unless `put` raises Expired.
    """

    __slots__ = ("data", "begun", "held", "written", "expired")

    def __init__(
        self,
        data: bytes | Callable[[], bytes | None],
        written: Callable[[], None] | None = None,
        expired: Callable[[], None] | None = None,
    ) -> None:
        self.data, self.begun, self.written, self.expired = data, False, written, expired
        self.held = 0  # bytes that it counts for among what waits

    def rendered(self) -> bytes | memoryview | None:
        """The bytes to be offered now; None where its deadline has passed."""
        return self.data() if callable(self.data) else self.data

    def release(self) -> None:
        """It is not offered again: nothing is kept of it."""
        # Danger: both functions hang on the order that holds this, a circle that only the collector would find.
        self.data, self.expired = b"", None


class WriteBuffer:
    """Sends at once what the kernel takes at once; a thread of its own writes the rest, or a loop by `pump`.

    `most` is the greatest number of bytes that may wait. The thread is begun only when something has to wait, so
    that a peer that reads costs none. With `waits` there is no thread: it is told when something begins to wait
    (True) and when nothing does any more.
    """

    def __init__(self, sock: socket.socket, most: int, name: str, waits: Callable[[bool], None] | None = None) -> None:
        self.sock, self.most, self.name, self.waits = sock, most, name, waits
        self.lock = threading.Lock()
        self.more = threading.Condition(self.lock)
        self.waiting: deque[OutgoingMessage] = deque()
        self.held = 0
        self.thread: threading.Thread | None = None
        self.closed = False
        self.no_memory = False  # whether the kernel had none for the last that it was offered

    def put(self, parcel: OutgoingMessage) -> bool:
        """True where all of it is with the kernel already; raises Unread past the bound, Expired where its deadline
        has passed, OSError when closed."""
        with self.lock:
            if self.closed:
                raise OSError("closed")
            data = parcel.rendered()
            if data is None:
                parcel.release()
                raise Expired
            sent = 0
            if not self.waiting:
                try:
                    sent = self._offer(parcel, data)
                except OSError:
                    parcel.begun = True  # nobody can tell how much of it went
                    parcel.release()
                    raise
                if sent == len(data):
                    return True
            parcel.held = len(data) - sent
            if self.held + parcel.held > self.most:
                parcel.release()
                raise PeerTooSlow(f"{self.held} bytes wait to be read")
            self.held += parcel.held
            self.waiting.append(parcel)
            if self.waits is not None:
                if len(self.waiting) == 1:
                    self.waits(True)
                return False
            if self.thread is None:
                self.thread = self._started()
            self.more.notify()
            return False

    def _started(self) -> threading.Thread:
        """The thread that writes what waits. Raises OSError where none can be had: the connection is to be ended."""
        thread = threading.Thread(target=self._write, name=self.name, daemon=True)
        try:
            thread.start()
        except RuntimeError as bad:
            raise OSError(errno.EAGAIN, str(bad)) from None
        return thread

    def _offer(self, parcel: OutgoingMessage, data: bytes | memoryview) -> int:
        """Offers the kernel `data`, the bytes of the parcel that have not gone, and returns how many it took. From the
        first that it takes, the parcel stays as rendered."""
        self.no_memory = False
        try:
            sent = self.sock.send(data, socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as bad:
            self.no_memory = bad.errno in SHORT_OF_MEMORY
            if self.no_memory:
                return 0
            raise
        if sent:
            parcel.begun, parcel.expired = True, None
            parcel.data = memoryview(data)[sent:] if sent < len(data) else b""
        return sent

    def _offer_first(self) -> tuple[bool, Callable[[], None] | None]:
        """Offers the kernel the first that waits: whether it is done with (all of it went, or its deadline passed), and
        who is to be told so."""
        parcel = self.waiting[0]
        data = parcel.rendered()
        sent = 0 if data is None else self._offer(parcel, data)
        if data is not None and sent < len(data):
            if sent:
                self.held += len(data) - sent - parcel.held
                parcel.held = len(data) - sent
            return False, None
        self.waiting.popleft()
        self.held -= parcel.held
        tell = parcel.expired if data is None else parcel.written
        parcel.release()
        return True, tell

    def withdraw(self, parcel: OutgoingMessage) -> bool:
        """Takes back what was not begun; False where a byte of it may be with the kernel."""
        with self.lock:
            if parcel.begun or parcel not in self.waiting:
                return False
            self.waiting.remove(parcel)
            self.held -= parcel.held
            parcel.release()
            return True

    def pump(self) -> None:
        """For the loop: sends what the kernel takes now; raises OSError where the connection has ended."""
        while self.waiting:
            done, tell = self._offer_first()
            if not done:
                return
            if tell is not None:
                tell()
        if self.waits is not None:
            self.waits(False)

    def drop(self) -> None:
        """For the loop: its connection has ended; what waits is dropped, and nothing more is taken."""
        # Danger: who is told hangs on the connection that holds this: a circle, which only the collector would find,
        # minutes later. Also what waited. Hurts nowhere.
        self.closed, self.waits = True, None
        self._drop_waiting()

    def _drop_waiting(self) -> None:
        for parcel in self.waiting:
            parcel.release()
        self.waiting.clear()

    def empty(self) -> bool:
        """Whether nothing waits to be written."""
        with self.lock:
            return not self.waiting

    def close(self) -> None:
        """Ends the thread; what waits is dropped. The socket is shut down so that a blocked send ends."""
        with self.lock:
            self.closed = True
            self._drop_waiting()
            self.more.notify()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def _write(self) -> None:
        # Danger: a send that blocks holds a message as it was rendered when it began to wait, with a deadline that is
        # too long by that wait. So the thread waits until the kernel takes something, and renders then.
        writable = select.poll()
        try:
            writable.register(self.sock, select.POLLOUT)
        except (OSError, ValueError):  # closed already
            return
        while True:
            try:
                with self.lock:
                    while not self.waiting and not self.closed:
                        self.more.wait()
                    if self.closed:
                        return
                    done, tell = self._offer_first()
                    if self.no_memory:
                        self.more.wait(MEMORY_RETRY)
                        continue
                if not done:
                    writable.poll(LOOK_AGAIN)
            except OSError:
                self.close()
                return
            if tell is not None:
                tell()
