"""The discovery client: follows the events of the endpoint list over HTTP, and reconnects when the stream fails."""

import errno
import os
import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import h11

from wickdyke.gateway.interfaces import Log
from wickdyke.platform import sse
from wickdyke.platform.endpoint_list import Event, UnusableEventError, parse_event
from wickdyke.transport.event_loop import EventLoop, Priority, clock
from wickdyke.transport.sockets import close, dial, error_name, receive
from wickdyke.transport.system_facts import connect_error

PATH = "/bus/read"
READ_SIZE = 1 << 16  # bytes read at a time
MAX_READS_PER_CALL = 64  # reads in one iteration, while data has waited for longer than UNREAD_AGE_THRESHOLD
UNREAD_AGE_THRESHOLD = 100.0  # ms that data has waited unread in the kernel
MAX_HEARTBEAT_INTERVAL = 1200.0  # ms between two comments of a live stream
SILENCE_TIMEOUT = 1500.0  # ms without data until the connection counts as dead; heartbeats come each second
MAX_SILENCE_TIMEOUT = 12000.0  # ms; the limit of the timeout where an event takes longer to arrive
MAX_CONNECT_TIMEOUT = 400.0  # ms for a connect, at most
MIN_CONNECT_TIMEOUT = 200.0  # ms for a connect, at least
RESPONSE_TIMEOUT = 1500.0  # ms from the connect to the response head
CATCH_UP_TIME = 100.0  # ms after the response head; earlier comments may precede missed events
INITIAL_BACKOFF = 50.0  # ms after the first failure, before jitter
BACKOFF_FACTOR = 1.5  # multiplies the backoff at each further failure
MAX_BACKOFF_EXPONENT = 20  # prevents an overflow of the power


class InvalidResponseError(Exception):
    """The response is not a stream of events."""


@dataclass(slots=True, frozen=True)
class DiscoverySettings:
    """The settings of the discovery client."""

    address: tuple[str, int]  # host and port
    backoff_limit: float  # ms between two connects, at most
    seed: int  # of the random jitter


class DiscoveryClient:
    """Follows the events from one address and passes them to `notify`.

    `notify_heard` is called, after the events, with the time (ms) up to which no event is missing. `notify_lost` is
    called with the time (ms) since which events may be missing after a stall of this process.

    `last_offset` returns the number of the last applied event; later events are requested.
    """

    priority = Priority.FIRST

    def __init__(
        self,
        loop: EventLoop,
        settings: DiscoverySettings,
        last_offset: Callable[[], int],
        notify: Callable[[list[Event]], None],
        log: Log,
        notify_heard: Callable[[float], None] = lambda at: None,
        notify_lost: Callable[[float], None] = lambda at: None,
    ) -> None:
        self.loop = loop
        self.address = settings.address
        self.last_offset = last_offset
        self.notify = notify
        self.notify_heard = notify_heard
        self.notify_lost = notify_lost
        self.log = log
        # A slow server must still be reachable where a short grace period for drains leaves almost no time.
        self.connect_timeout = min(MAX_CONNECT_TIMEOUT, max(MIN_CONNECT_TIMEOUT, settings.backoff_limit))
        self.backoff_limit = max(INITIAL_BACKOFF, settings.backoff_limit)
        self.random = random.Random(settings.seed)
        self.counts: Counter[str] = Counter()
        self.sock: socket.socket | None = None
        self.connection_number = 0  # number of the present connection
        self.consecutive_failures = 0  # failed connections since the last stable response
        self.retry_number = 0  # number of the pending retry; timers of earlier retries do nothing
        self.unsent_request = b""  # rest of the request, once connected
        self.silence_timeout = SILENCE_TIMEOUT  # ms; longer after an event was not complete in time
        self.connected = False  # whether the connect has succeeded
        self.response_started = False  # whether the head of the response was received
        self.closed = False
        self.http = h11.Connection(h11.CLIENT)  # of the present connection
        self.event_parser = sse.EventParser()  # of the present connection
        self.logged_failure = ""  # the last logged reason, until events are received again
        self.last_activity = 0.0  # ms; when complete events or comments were last received, or a connect step was done
        self.response_started_at = 0.0  # ms; when the head of the last response was received
        self.caught_up = False  # whether events missed before this connection have been received
        self.unread_since: float | None = None  # ms; no unread data is older; None where no data is left unread
        self.heard_at: float | None = None  # ms; all events up to this time have been received; None if never

    def open(self) -> None:
        """Starts following the events."""
        self._connect()

    def follow(self, address: tuple[str, int]) -> None:
        """Switches to another address."""
        self.address = address
        self.consecutive_failures = 0
        self._close_connection()
        # Each retry schedules the next. A pending retry for the previous address would continue in addition to that of
        # the new one, so each new configuration would increase the rate of connects.
        self.retry_number += 1
        self._connect()

    def close(self) -> None:
        """Stops following."""
        self.closed = True
        self._close_connection()

    def _connect(self) -> None:
        if self.closed or self.sock is not None:
            return
        self.counts["connects"] += 1
        self.connection_number += 1
        self.connected = False
        self.response_started = False
        self.caught_up = False
        self.unread_since = None
        self.unsent_request = b""
        self.last_activity = clock()
        self.http = h11.Connection(h11.CLIENT)
        self.event_parser = sse.EventParser()
        self.sock, code = dial(self.address)
        if self.sock is None:
            self._schedule_retry(f"connect: {error_name(code)}")
            return
        try:
            self.loop.add(self.sock, self, write=True)
        except OSError as error:
            self._fail("watch", error)
            return
        self.loop.call_at(self.last_activity + self.connect_timeout, self._check_timeout, self.connection_number)

    def _schedule_retry(self, reason: str) -> None:
        # Backoff with jitter: otherwise hundreds of front ends that lost discovery at the same moment would reconnect
        # in step while discovery is down or returns errors. Discovery may recover, and report a drain, just after a
        # failed connect: so `backoff_limit` is shorter than the time within which a drain has to take effect.
        was_stable = self.response_started and clock() - self.response_started_at > SILENCE_TIMEOUT
        self.consecutive_failures = 1 if was_stable else self.consecutive_failures + 1
        exponent = min(self.consecutive_failures - 1, MAX_BACKOFF_EXPONENT)
        backoff = min(self.backoff_limit, INITIAL_BACKOFF * BACKOFF_FACTOR**exponent)
        jitter = 0.5 + 0.5 * self.random.random()
        self.retry_number += 1
        self.loop.call_at(clock() + backoff * jitter, self._retry, self.retry_number)
        if reason != self.logged_failure:
            self.logged_failure = reason
            self.log.warning(
                "endpoint list disconnected",
                reason=reason,
                bus=":".join(map(str, self.address)),
                offset=self.last_offset(),
                heard_ms=self.heard_ms(),
            )

    def process_stalled(self, since: float) -> None:
        """Handles a stall of this process: it did not poll its sockets since that time (ms), and has now read them.

        Calls `notify_lost` unless there is a connection that has received all missed events and regular comments.
        """
        # While the process runs, it replaces a lost connection within the grace period for drains, or discovery is
        # unreachable. During the stall discovery may have been reachable, and may have reported a drain.
        is_silent = clock() - self.last_activity > MAX_HEARTBEAT_INTERVAL
        if self.sock is None or not self.caught_up or self.event_parser.has_partial_event or is_silent:
            self.notify_lost(since)

    def heard_ms(self) -> int | None:
        """Returns for how long (ms) events may have been missed; None where the list was never complete."""
        return None if self.heard_at is None else round(clock() - self.heard_at)

    def _retry(self, number: int) -> None:
        if number != self.retry_number:
            return
        try:
            self._connect()
        except Exception:
            self.broken()  # schedules a new retry, as the loop does not repeat a timer that raises
            raise

    def _close_connection(self) -> None:
        if self.sock is not None:
            self.loop.remove(self.sock)
            close(self.sock)
            self.sock = None
            self.counts["ended"] += 1

    def _fail(self, step: str, error: OSError) -> None:
        """Closes the connection after a system call failed in that step, and schedules a new one after a backoff."""
        self._close_connection()
        self._schedule_retry(f"{step}: {errno.errorcode.get(error.errno or 0, error)}")

    def _silence_limit(self) -> float:
        """Returns for how long (ms) the connection may be silent in its present state."""
        if self.response_started:
            return self.silence_timeout
        return RESPONSE_TIMEOUT if self.connected else self.connect_timeout

    def _check_timeout(self, number: int) -> None:
        """Reconnects if the connection of that number has been silent for too long."""
        if self.sock is None or number != self.connection_number:
            return
        timeout_at = self.last_activity + self._silence_limit()
        if clock() < timeout_at:
            self.loop.call_at(timeout_at, self._check_timeout, number)
            return
        self.counts["silent"] += 1
        # An event that takes longer than the timeout would be restarted for ever. So the timeout is doubled for the
        # next connection, until an event has been received completely.
        if self.response_started and self.event_parser.has_partial_event:
            self.silence_timeout = min(2 * self.silence_timeout, MAX_SILENCE_TIMEOUT)
        self._close_connection()
        self._schedule_retry("silent" if self.response_started else "no answer")

    def writable(self) -> None:
        """Handles the end of the connect, or sends more of the request."""
        assert self.sock is not None
        if not self.connected:
            if code := connect_error(self.sock):
                self._fail("connect", OSError(code, os.strerror(code)))
                return
            self.connected = True
            self.last_activity = clock()
            self.unsent_request = self._request()
        self._send()

    def _request(self) -> bytes:
        host = f"{self.address[0]}:{self.address[1]}"
        head = self.http.send(
            h11.Request(
                method="GET",
                target=PATH,
                headers=[("Host", host), ("Accept", "text/event-stream"), ("Last-Event-ID", str(self.last_offset()))],
            )
        )
        return head + (self.http.send(h11.EndOfMessage()) or b"")

    def _send(self) -> None:
        assert self.sock is not None
        if self.unsent_request:
            try:
                sent = self.sock.send(self.unsent_request)
            except (BlockingIOError, InterruptedError):
                return  # called again when the socket is writable
            except OSError as error:
                self._fail("send", error)
                return
            self.unsent_request = self.unsent_request[sent:]
        if not self.unsent_request:
            self.loop.set_interest(self.sock, False)

    def broken(self) -> None:
        """Closes the connection after its handler raised an exception, and schedules a new one after a backoff."""
        self._close_connection()
        self._schedule_retry("fault")

    def readable(self) -> None:
        """Reads data of the response, or the end of the stream."""
        # If this process was stopped, a drain may follow much other data, and must take effect before the next command
        # is sent. In other iterations a large event is read piece by piece, so that workers and clients don't wait for
        # it.
        sock = self.sock
        assert sock is not None
        for _ in range(MAX_READS_PER_CALL):
            waited = self.loop.unread_for(sock, clock()) > UNREAD_AGE_THRESHOLD
            if not self._read_once(sock) or not waited or self.sock is not sock:
                return

    def _read_once(self, sock: socket.socket) -> bool:
        """Reads once; returns whether the socket was readable."""
        data = receive(sock, READ_SIZE).data
        self.loop.data_read(sock, data is not None and len(data) == READ_SIZE)
        if data is None:
            return False
        # The data may have waited in the kernel while this process did not run. Its age is counted from the last poll
        # before the one that found the socket readable.
        arrived_after = self.loop.arrived_after if self.unread_since is None else self.unread_since
        self.unread_since = arrived_after if len(data) == READ_SIZE else None
        try:
            ended = self._parse_http(data)
        except (h11.ProtocolError, InvalidResponseError, sse.EventTooLargeError) as error:
            if data:
                self.response_started = False  # counts as one more consecutive failure, whatever was received before
                self.counts["invalid"] += 1
                self._close_connection()
                self._schedule_retry(str(error))
                return True
            ended = True  # the connection ended within the response
        # Otherwise a stream that stops within an event and sends a few bytes now and then would count as alive for
        # ever, with the list out of date. So only data that leaves no event incomplete counts as activity.
        if data and not self.event_parser.has_partial_event:
            self.last_activity = clock()
            if self.caught_up and self.unread_since is None:
                self._record_heard(arrived_after)
        if ended or not data:
            had_response = self.response_started
            self._close_connection()
            self._schedule_retry("ended" if had_response else "ended before its answer")
        return True

    def _parse_http(self, data: bytes) -> bool:
        """Parses data of the response; returns whether it has ended."""
        self.http.receive_data(data)
        while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                self._handle_response(event)
            elif isinstance(event, h11.Data):
                self._parse_events(bytes(event.data))
            else:
                return True
        return False

    def _handle_response(self, response: h11.Response) -> None:
        if response.status_code != 200:
            raise InvalidResponseError(f"status {response.status_code}")
        self.response_started = True
        self.last_activity = clock()
        self.response_started_at = clock()

    def _record_heard(self, at: float) -> None:
        """Records that no event that discovery reported up to that time (ms) is missing."""
        outage = self.heard_ms()
        self.heard_at = at if self.heard_at is None else max(at, self.heard_at)
        if self.logged_failure:
            self.logged_failure = ""
            self.log.info("endpoint list connected", outage_ms=outage, offset=self.last_offset())
        self.notify_heard(self.heard_at)

    def _parse_events(self, data: bytes) -> None:
        events = []
        comment_count = self.event_parser.comment_count
        for event in self.event_parser.feed(data):
            try:
                events.append(parse_event(event.data))
            except UnusableEventError:
                self.counts["unusable"] += 1
        if events:
            self.silence_timeout = SILENCE_TIMEOUT
            self.notify(events)
        # A new connection first sends the events that were missed, then a comment each second.
        if self.event_parser.comment_count > comment_count and clock() - self.response_started_at >= CATCH_UP_TIME:
            self.caught_up = True
