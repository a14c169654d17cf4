"""A write buffer for one socket, so that the sender of a message never waits for the peer to read."""

import contextlib
import errno
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable

OUT_OF_MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)  # of send(2): nothing was sent, and the connection is still usable
MEMORY_RETRY_DELAY = 0.01  # s until the thread retries a send that failed for lack of memory
MAX_RENDER_TIME = 0.01  # s; a rendering that takes longer was interrupted, as by a stop of the process
MAX_RENDERINGS = 3  # of one message in a row, where they are interrupted
CLOSE_CHECK_INTERVAL = 1000  # ms after which the thread checks for `close` while the socket is not writable


class BufferClosedError(OSError):
    """The buffer, or its socket, is closed."""


class PeerTooSlowError(Exception):
    """The peer reads too slowly: more bytes wait for it than the buffer's capacity."""


class MessageExpiredError(Exception):
    """The deadline of a message passed before its first byte was sent; the message is dropped."""


class OutgoingMessage:
    """One message to be sent. `send_started` is set once the kernel may have accepted a byte of it.

    `data` is the bytes of the message, or a function that renders them. The function is called each time before the
    first byte is offered to the kernel, so that a deadline in the message is right at that moment, and never again once
    a byte was sent. It returns None if the deadline has passed; `on_expired` is then called, unless `put` raises
    MessageExpiredError. `on_written` is called once the whole message was sent, unless `put` returned True.
    """

    __slots__ = ("bytes_waiting", "data", "on_expired", "on_written", "send_started")

    def __init__(
        self,
        data: bytes | Callable[[], bytes | None],
        on_written: Callable[[], None] | None = None,
        on_expired: Callable[[], None] | None = None,
    ) -> None:
        self.data: bytes | memoryview | Callable[[], bytes | None] = data
        self.send_started = False
        self.on_written = on_written
        self.on_expired = on_expired
        self.bytes_waiting = 0  # bytes of this message that the buffer counts as waiting

    def render(self) -> bytes | memoryview | None:
        """Returns the bytes to be sent now, or None if the deadline has passed.

        An interrupted rendering is repeated, as the deadline in the message is that of its beginning.
        """
        if not callable(self.data):
            return self.data
        rendered = None
        render = self.data
        for _ in range(MAX_RENDERINGS):
            began_at = time.monotonic()
            rendered = render()
            if time.monotonic() - began_at <= MAX_RENDER_TIME:
                break
        return rendered

    def release(self) -> None:
        """Drops the data and the callback of a message that will not be sent any further."""
        # They refer to the command that holds this message, a cycle that only the garbage collector would free.
        self.data = b""
        self.on_expired = None


class WriteBuffer:
    """Sends at once what the kernel accepts; a thread, or an event loop that calls `send_waiting`, sends the rest.

    `capacity` is the maximum number of waiting bytes. The thread starts when the first message has to wait, so a peer
    that reads in time needs no thread. With `on_waiting` there is no thread: it is called with True when messages start
    to wait and with False when none waits any more.
    """

    def __init__(
        self, sock: socket.socket, capacity: int, name: str, on_waiting: Callable[[bool], None] | None = None
    ) -> None:
        self.sock = sock
        self.capacity = capacity
        self.name = name
        self.on_waiting = on_waiting
        self.lock = threading.Lock()
        self.message_queued = threading.Condition(self.lock)
        self.waiting_messages: deque[OutgoingMessage] = deque()
        self.bytes_waiting = 0
        self.thread: threading.Thread | None = None
        self.closed = False
        self.out_of_memory = False  # whether the last send failed for lack of memory

    def put(self, message: OutgoingMessage) -> bool:
        """Sends or queues a message; returns True if the kernel has accepted all of it already.

        Raises PeerTooSlowError if the capacity is exceeded, MessageExpiredError if the deadline has passed,
        BufferClosedError if the buffer is closed, and OSError if the connection has ended.
        """
        with self.lock:
            if self.closed:
                raise BufferClosedError("the write buffer is closed")
            data = message.render()
            if data is None:
                message.release()
                raise MessageExpiredError
            sent = 0 if self.waiting_messages else self._send_at_once(message, data)
            if sent == len(data) and not self.waiting_messages:
                return True
            self._append(message, len(data) - sent)
            if self.on_waiting is not None:
                if len(self.waiting_messages) == 1:
                    self.on_waiting(True)
                return False
            if self.thread is None:
                self.thread = self._start_thread()
            self.message_queued.notify()
            return False

    def _send_at_once(self, message: OutgoingMessage, data: bytes | memoryview) -> int:
        try:
            return self._send(message, data)
        except OSError:
            message.send_started = True  # it is unknown how many bytes were sent
            message.release()
            raise

    def _append(self, message: OutgoingMessage, size: int) -> None:
        """Queues a message with `size` bytes still to be sent. Raises PeerTooSlowError."""
        message.bytes_waiting = size
        if self.bytes_waiting + size > self.capacity:
            message.release()
            raise PeerTooSlowError(f"{self.bytes_waiting} bytes wait to be read")
        self.bytes_waiting += size
        self.waiting_messages.append(message)

    def _start_thread(self) -> threading.Thread:
        """Starts the thread that sends waiting messages. Raises OSError if that fails; the caller closes the socket."""
        thread = threading.Thread(target=self._send_in_thread, name=self.name, daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            raise OSError(errno.EAGAIN, str(error)) from None
        return thread

    def _send(self, message: OutgoingMessage, data: bytes | memoryview) -> int:
        """Sends what the kernel accepts of `data`, the unsent part of the message; returns the number of bytes sent.

        Once the first byte is sent, the message is not rendered again.
        """
        self.out_of_memory = False
        try:
            sent = self.sock.send(data, socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            self.out_of_memory = error.errno in OUT_OF_MEMORY_ERRORS
            if self.out_of_memory:
                return 0
            raise
        if sent:
            message.send_started = True
            message.on_expired = None
            message.data = memoryview(data)[sent:] if sent < len(data) else b""
        return sent

    def _send_first(self) -> tuple[bool, Callable[[], None] | None]:
        """Sends what the kernel accepts of the first waiting message.

        Returns whether the message is finished (sent in full, or expired), and the callback to be called for that.
        """
        message = self.waiting_messages[0]
        data = message.render()
        sent = 0 if data is None else self._send(message, data)
        if data is not None and sent < len(data):
            if sent:
                self.bytes_waiting += len(data) - sent - message.bytes_waiting
                message.bytes_waiting = len(data) - sent
            return False, None
        self.waiting_messages.popleft()
        self.bytes_waiting -= message.bytes_waiting
        callback = message.on_expired if data is None else message.on_written
        message.release()
        return True, callback

    def withdraw(self, message: OutgoingMessage) -> bool:
        """Removes a waiting message; returns False if a byte of it may have been sent."""
        with self.lock:
            if message.send_started or message not in self.waiting_messages:
                return False
            self.waiting_messages.remove(message)
            self.bytes_waiting -= message.bytes_waiting
            message.release()
            return True

    def send_waiting(self) -> None:
        """Sends what the kernel accepts now, for an event loop. Raises OSError if the connection has ended."""
        while self.waiting_messages:
            done, callback = self._send_first()
            if not done:
                return
            if callback is not None:
                callback()
        if self.on_waiting is not None:
            self.on_waiting(False)

    def drop(self) -> None:
        """Closes the buffer and drops the waiting messages, for an event loop whose connection has ended."""
        # The callback and the messages refer to the connection that holds this buffer, a cycle that only the garbage
        # collector would free, minutes later.
        self.closed = True
        self.on_waiting = None
        self._drop_waiting()

    def _drop_waiting(self) -> None:
        for message in self.waiting_messages:
            message.release()
        self.waiting_messages.clear()

    def empty(self) -> bool:
        """Returns whether no message waits to be sent."""
        with self.lock:
            return not self.waiting_messages

    def close(self) -> None:
        """Ends the thread and drops the waiting messages. The socket is shut down, which ends a poll for it."""
        with self.lock:
            self.closed = True
            self._drop_waiting()
            self.message_queued.notify()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def _wait_until_writable(self, poll: select.poll) -> None:
        try:
            poll.poll(CLOSE_CHECK_INTERVAL)
        except OSError:  # refused, or no memory: the next send shows whether the connection has ended
            time.sleep(MEMORY_RETRY_DELAY)

    def _send_in_thread(self) -> None:
        # A blocking send would send the message as rendered before the wait, with a remaining time that is too long by
        # that wait. So the thread polls until the socket is writable, and renders the message then.
        writable = select.poll()
        try:
            writable.register(self.sock, select.POLLOUT)
        except (OSError, ValueError):  # the socket is closed already
            return
        while True:
            try:
                with self.lock:
                    while not self.waiting_messages and not self.closed:
                        self.message_queued.wait()
                    if self.closed:
                        return
                    done, callback = self._send_first()
                    if self.out_of_memory:
                        self.message_queued.wait(MEMORY_RETRY_DELAY)
                        continue
                if not done:
                    self._wait_until_writable(writable)
            except OSError:
                self.close()
                return
            if callback is not None:
                callback()
