"""A write buffer for one socket: the sender of a message never waits for the peer to read."""

import contextlib
import errno
import select
import socket
import threading
from collections import deque
from collections.abc import Callable

SHORT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)  # of send(2): nothing was sent, and the connection is still good
MEMORY_RETRY = 0.01  # s until the thread retries a send that failed for want of memory
POLL_TIMEOUT = 1000  # ms after which the thread checks whether it is to end, if the socket takes no data


class BufferClosedError(OSError):
    """The buffer, or its socket, is closed."""


class PeerTooSlowError(Exception):
    """The peer reads too little: more bytes wait for it than the buffer may hold."""


class MessageExpiredError(Exception):
    """The deadline of a message passed before a byte of it was sent: it is dropped."""


class OutgoingMessage:
    """One message to be sent. `begun` once a byte of it may have been handed to the kernel.

    `data` is its bytes, or a function that renders them. That is called each time before its first byte is offered to
    the kernel, so that a deadline in the message is right at that moment, and never again once a byte was sent. It
    returns None where the deadline has passed; `expired` is then called, unless `put` raises MessageExpiredError.
    `written` is called once all of it was sent, unless `put` returned True.
    """

    __slots__ = ("begun", "bytes_waiting", "data", "expired", "written")

    def __init__(
        self,
        data: bytes | Callable[[], bytes | None],
        written: Callable[[], None] | None = None,
        expired: Callable[[], None] | None = None,
    ) -> None:
        self.data: bytes | memoryview | Callable[[], bytes | None] = data
        self.begun = False
        self.written = written
        self.expired = expired
        self.bytes_waiting = 0  # of it, as counted in the buffer

    def render(self) -> bytes | memoryview | None:
        """Returns the bytes to be sent now; None where its deadline has passed."""
        return self.data() if callable(self.data) else self.data

    def release(self) -> None:
        """Drops its data and callbacks once it is not sent any more."""
        # They refer to the command that holds this message: a cycle that only the garbage collector would free.
        self.data = b""
        self.expired = None


class WriteBuffer:
    """Sends at once what the kernel takes; a thread of its own sends the rest, or an event loop by `pump`.

    `capacity` is how many bytes may wait at most. The thread starts when a message has to wait first, so that a peer
    that reads in time costs none. With `on_waiting` there is no thread: it is called with True when a message begins to
    wait and with False when none waits any more.
    """

    def __init__(
        self, sock: socket.socket, capacity: int, name: str, on_waiting: Callable[[bool], None] | None = None
    ) -> None:
        self.sock = sock
        self.capacity = capacity
        self.name = name
        self.on_waiting = on_waiting
        self.lock = threading.Lock()
        self.more = threading.Condition(self.lock)
        self.waiting: deque[OutgoingMessage] = deque()
        self.bytes_waiting = 0
        self.thread: threading.Thread | None = None
        self.closed = False
        self.no_memory = False  # whether the last send failed for want of memory

    def put(self, message: OutgoingMessage) -> bool:
        """Sends a message or has it wait; True where the kernel has taken all of it already.

        Raises PeerTooSlowError past the capacity, MessageExpiredError where the deadline has passed, BufferClosedError
        when closed, and OSError where the connection has ended.
        """
        with self.lock:
            if self.closed:
                raise BufferClosedError("closed")
            data = message.render()
            if data is None:
                message.release()
                raise MessageExpiredError
            sent = 0 if self.waiting else self._send_at_once(message, data)
            if sent == len(data) and not self.waiting:
                return True
            self._append(message, len(data) - sent)
            if self.on_waiting is not None:
                if len(self.waiting) == 1:
                    self.on_waiting(True)
                return False
            if self.thread is None:
                self.thread = self._start_thread()
            self.more.notify()
            return False

    def _send_at_once(self, message: OutgoingMessage, data: bytes | memoryview) -> int:
        try:
            return self._send(message, data)
        except OSError:
            message.begun = True  # how much of it was sent is unknown
            message.release()
            raise

    def _append(self, message: OutgoingMessage, size: int) -> None:
        """Queues the message, of which `size` bytes are still to be sent. Raises PeerTooSlowError."""
        message.bytes_waiting = size
        if self.bytes_waiting + size > self.capacity:
            message.release()
            raise PeerTooSlowError(f"{self.bytes_waiting} bytes wait to be read")
        self.bytes_waiting += size
        self.waiting.append(message)

    def _start_thread(self) -> threading.Thread:
        """Starts the thread that sends what waits; raises OSError where that fails: the connection is to be closed."""
        thread = threading.Thread(target=self._write, name=self.name, daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            raise OSError(errno.EAGAIN, str(error)) from None
        return thread

    def _send(self, message: OutgoingMessage, data: bytes | memoryview) -> int:
        """Sends what the kernel takes of `data`, the rest of the message; returns how many bytes that were.

        From the first byte that was sent, the message stays as rendered.
        """
        self.no_memory = False
        try:
            sent = self.sock.send(data, socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            self.no_memory = error.errno in SHORT_OF_MEMORY
            if self.no_memory:
                return 0
            raise
        if sent:
            message.begun = True
            message.expired = None
            message.data = memoryview(data)[sent:] if sent < len(data) else b""
        return sent

    def _send_first(self) -> tuple[bool, Callable[[], None] | None]:
        """Sends of the first message that waits what the kernel takes.

        Returns whether it is done with (all was sent, or its deadline has passed), and the callback for that.
        """
        message = self.waiting[0]
        data = message.render()
        sent = 0 if data is None else self._send(message, data)
        if data is not None and sent < len(data):
            if sent:
                self.bytes_waiting += len(data) - sent - message.bytes_waiting
                message.bytes_waiting = len(data) - sent
            return False, None
        self.waiting.popleft()
        self.bytes_waiting -= message.bytes_waiting
        callback = message.expired if data is None else message.written
        message.release()
        return True, callback

    def withdraw(self, message: OutgoingMessage) -> bool:
        """Takes a message back; False where a byte of it may have been sent."""
        with self.lock:
            if message.begun or message not in self.waiting:
                return False
            self.waiting.remove(message)
            self.bytes_waiting -= message.bytes_waiting
            message.release()
            return True

    def pump(self) -> None:
        """For an event loop: sends what the kernel takes now; raises OSError where the connection has ended."""
        while self.waiting:
            done, callback = self._send_first()
            if not done:
                return
            if callback is not None:
                callback()
        if self.on_waiting is not None:
            self.on_waiting(False)

    def drop(self) -> None:
        """For an event loop, when the connection has ended: drops what waits and takes no more."""
        # The callback and the messages refer to the connection that holds this: a cycle, which only the garbage
        # collector would free, minutes later.
        self.closed = True
        self.on_waiting = None
        self._drop_waiting()

    def _drop_waiting(self) -> None:
        for message in self.waiting:
            message.release()
        self.waiting.clear()

    def empty(self) -> bool:
        """Returns whether nothing waits to be written."""
        with self.lock:
            return not self.waiting

    def close(self) -> None:
        """Ends the thread and drops what waits. The socket is shut down so that a wait for it ends."""
        with self.lock:
            self.closed = True
            self._drop_waiting()
            self.more.notify()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _write(self) -> None:
        # A blocking send would keep a message as rendered when it began to block, with a deadline that is too long by
        # that wait. So the thread polls until the kernel takes data, and the message is rendered then.
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
                    done, callback = self._send_first()
                    if self.no_memory:
                        self.more.wait(MEMORY_RETRY)
                        continue
                if not done:
                    writable.poll(POLL_TIMEOUT)
            except OSError:
                self.close()
                return
            if callback is not None:
                callback()
