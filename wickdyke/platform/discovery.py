"""The discovery client: follows the endpoint list's events over HTTP and reconnects when they stop."""

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
from wickdyke.transport.event_loop import EventLoop, Priority, clock, close, dial, error_name, receive

PATH = "/bus/read"
READ_SIZE = 1 << 16  # bytes read at a time
MAX_READS = 64  # in one iteration, of what has waited for READ_ON_AFTER
READ_ON_AFTER = 100.0  # ms
MAX_HEARTBEAT_INTERVAL = 1200.0  # ms between two comments of a stream that is not silent
SILENCE_TIMEOUT = 1500.0  # ms without data after which the connection counts as dead: there is a heartbeat each second
MAX_SILENCE_TIMEOUT = 12000.0  # ms, while an event is coming
MAX_CONNECT_TIMEOUT = 400.0  # ms
MIN_CONNECT_TIMEOUT = 200.0  # ms
RESPONSE_TIMEOUT = 1500.0  # ms from the connect to the head of the response
CATCH_UP_TIME = 100.0  # ms from the head of the response: a comment before that may precede events that were missed
BACKOFF_FIRST = 50.0  # ms after the first failure, before jitter
BACKOFF_GROWTH = 1.5  # factor for each further failure
MAX_BACKOFF_EXPONENT = 20  # keeps the power finite


class InvalidResponseError(Exception):
    """The response is no stream of events."""


@dataclass(slots=True, frozen=True)
class DiscoverySettings:
    """The settings of the discovery client."""

    address: tuple[str, int]  # host and port
    backoff_limit: float  # ms between two attempts to connect, at most
    seed: int  # of the jitter


class DiscoveryClient:
    """Follows the events from one address and passes them to `notify`.

    `notify_heard` is called with each time (ms) as of which no event is missing, after the events up to then.

    `last_offset` returns the number of the last event applied, after which events are requested.
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
        # Where the grace for drains leaves next to no time, a server that is slow to accept has to be reached still.
        self.connect_timeout = min(MAX_CONNECT_TIMEOUT, max(MIN_CONNECT_TIMEOUT, settings.backoff_limit))
        self.backoff_limit = max(BACKOFF_FIRST, settings.backoff_limit)
        self.random = random.Random(settings.seed)
        self.counts: Counter[str] = Counter()
        self.sock: socket.socket | None = None
        self.attempt_number = 0  # of the connection under way
        self.failures = 0  # since the last response
        self.retry_number = 0  # of the one retry that is due; one set before it does nothing
        self.unsent = b""  # of the request, once connected
        self.silence_timeout = SILENCE_TIMEOUT  # ms; longer where an event was not complete in time
        self.connected = False  # whether the connect has succeeded
        self.up = False  # whether the response has begun
        self.closed = False
        self.http = h11.Connection(h11.CLIENT)  # of the connection under way
        self.events = sse.Events()  # likewise
        self.logged_failure = ""  # the reason logged last, until events are received again
        self.last_activity = 0.0  # ms; when data was received last, or the last step of connecting was done
        self.up_since = 0.0  # ms; when the last response began
        self.caught_up = False  # whether the events that were missed before this connection have been received
        self.unread_since: float | None = None  # ms; no byte that was left unread is older; None where none was left
        self.heard_at: float | None = None  # ms; all events up to then have been received; None before the first time

    def open(self) -> None:
        """Starts to follow."""
        self._connect()

    def follow(self, address: tuple[str, int]) -> None:
        """Follows another address from now on."""
        self.address = address
        self.failures = 0
        self._end()
        # Each retry that is due sets the next. One left from the address before would continue beside that of the new
        # one, and each new configuration would add to the number of attempts in the same time.
        self.retry_number += 1
        self._connect()

    def close(self) -> None:
        """Stops following."""
        self.closed = True
        self._end()

    def _connect(self) -> None:
        if self.closed or self.sock is not None:
            return
        self.counts["connects"] += 1
        self.attempt_number += 1
        self.connected = False
        self.up = False
        self.caught_up = False
        self.unread_since = None
        self.unsent = b""
        self.last_activity = clock()
        self.http = h11.Connection(h11.CLIENT)
        self.events = sse.Events()
        self.sock, code = dial(self.address)
        if self.sock is None:
            self._retry_later(f"connect: {error_name(code)}")
            return
        try:
            self.loop.add(self.sock, self, write=True)
        except OSError as error:
            self._fail("watch", error)
            return
        self.loop.call_at(self.last_activity + self.connect_timeout, self._check_timeout, self.attempt_number)

    def _retry_later(self, reason: str) -> None:
        # Backoff with jitter: hundreds of front ends that lost discovery at one moment would otherwise reconnect in
        # step while it is down or answers only with errors. It may be back, with a drain, just after an attempt failed:
        # so `backoff_limit` stays within the time within which a drain has to take effect.
        was_stable = self.up and clock() - self.up_since > SILENCE_TIMEOUT
        self.failures = 1 if was_stable else self.failures + 1
        exponent = min(self.failures - 1, MAX_BACKOFF_EXPONENT)
        backoff = min(self.backoff_limit, BACKOFF_FIRST * BACKOFF_GROWTH**exponent)
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
        """This process has not looked at its sockets since then (ms); what this connection brought was read.

        Calls `notify_lost` where there is no connection on which all events were received, and a comment each second.
        """
        # While the process runs, a lost connection is made anew within the grace for drains, or discovery is out of
        # reach. While it did not, discovery may have been in reach, and have reported a drain.
        is_silent = clock() - self.last_activity > MAX_HEARTBEAT_INTERVAL
        if self.sock is None or not self.caught_up or self.events.begun or is_silent:
            self.notify_lost(since)

    def heard_ms(self) -> int | None:
        """Returns how long ago (ms) all events were known; None where they never were."""
        return None if self.heard_at is None else round(clock() - self.heard_at)

    def _retry(self, number: int) -> None:
        if number != self.retry_number:
            return
        try:
            self._connect()
        except Exception:
            self.broken()  # sets a new retry: the loop does not repeat a timer that raises
            raise

    def _end(self) -> None:
        if self.sock is not None:
            self.loop.remove(self.sock)
            close(self.sock)
            self.sock = None
            self.counts["ended"] += 1

    def _fail(self, step: str, error: OSError) -> None:
        """A system call failed in that step: closes the connection, and makes a new one after a backoff."""
        self._end()
        self._retry_later(f"{step}: {errno.errorcode.get(error.errno or 0, error)}")

    def _timeout(self) -> float:
        """Returns how long (ms) the connection may be silent in its present state."""
        if self.up:
            return self.silence_timeout
        return RESPONSE_TIMEOUT if self.connected else self.connect_timeout

    def _check_timeout(self, number: int) -> None:
        """Reconnects where the connection of that number has been silent for too long."""
        if self.sock is None or number != self.attempt_number:
            return
        due = self.last_activity + self._timeout()
        if clock() < due:
            self.loop.call_at(due, self._check_timeout, number)
            return
        self.counts["silent"] += 1
        # An event that takes longer than the timeout would be begun anew for ever. So the next connection gets twice
        # the time, until an event was complete.
        if self.up and self.events.begun:
            self.silence_timeout = min(2 * self.silence_timeout, MAX_SILENCE_TIMEOUT)
        self._end()
        self._retry_later("silent" if self.up else "no answer")

    def writable(self) -> None:
        """The connect has succeeded or failed, or more of the request can be sent."""
        assert self.sock is not None
        if not self.connected:
            try:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            except OSError as error:
                self._fail("connect", error)
                return
            if code:
                self._fail("connect", OSError(code, os.strerror(code)))
                return
            self.connected = True
            self.last_activity = clock()
            self.unsent = self._request()
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
        if self.unsent:
            try:
                sent = self.sock.send(self.unsent)
            except (BlockingIOError, InterruptedError):
                return  # called again when the socket accepts more
            except OSError as error:
                self._fail("send", error)
                return
            self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.loop.set_interest(self.sock, False)

    def broken(self) -> None:
        """Serving it raised an exception: makes a new connection after a backoff."""
        self._end()
        self._retry_later("fault")

    def readable(self) -> None:
        """Reads data of the response, or its end."""
        # Where this process was stopped, a drain may be behind much else, and what is sent next must heed it. In other
        # iterations a large event is read piece by piece, so that workers and clients don't wait for it.
        sock = self.sock
        assert sock is not None
        for _ in range(MAX_READS):
            waited = self.loop.unread_for(sock, clock()) > READ_ON_AFTER
            if not self._read_piece(sock) or not waited or self.sock is not sock:
                return

    def _read_piece(self, sock: socket.socket) -> bool:
        """Reads once; returns whether there was anything."""
        data = receive(sock, READ_SIZE)
        self.loop.data_read(sock, data is not None and len(data) == READ_SIZE)
        if data is None:
            return False
        # The data may have waited in the kernel while this process did not run: it is as old as the poll before the
        # first that found the socket ready.
        arrived_after = self.loop.arrived_after if self.unread_since is None else self.unread_since
        self.unread_since = arrived_after if len(data) == READ_SIZE else None
        try:
            ended = self._parse_http(data)
        except (h11.ProtocolError, InvalidResponseError, sse.EventTooLargeError) as error:
            if data:
                self.up = False  # whatever was received before, it counts as one more failure in a row
                self.counts["invalid"] += 1
                self._end()
                self._retry_later(str(error))
                return True
            ended = True  # the connection ended within the response
        # A stream that stops within an event and sends a few bytes now and then would count as alive for ever, with the
        # list out of date. So only data after which no event is incomplete counts as a sign of life.
        if data and not self.events.begun:
            self.last_activity = clock()
            if self.caught_up and self.unread_since is None:
                self._heard(arrived_after)
        if ended or not data:
            was_up = self.up
            self._end()
            self._retry_later("ended" if was_up else "ended before its answer")
        return True

    def _parse_http(self, data: bytes) -> bool:
        """Parses data of the response; returns whether it has ended."""
        self.http.receive_data(data)
        while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                self._response_begun(event)
            elif isinstance(event, h11.Data):
                self._parse_events(bytes(event.data))
            else:
                return True
        return False

    def _response_begun(self, response: h11.Response) -> None:
        if response.status_code != 200:
            raise InvalidResponseError(f"status {response.status_code}")
        self.up = True
        self.last_activity = clock()
        self.up_since = clock()

    def _heard(self, at: float) -> None:
        """Nothing that discovery reported up to that time (ms) is missing."""
        outage = self.heard_ms()
        self.heard_at = at if self.heard_at is None else max(at, self.heard_at)
        if self.logged_failure:
            self.logged_failure = ""
            self.log.info("endpoint list connected", outage_ms=outage, offset=self.last_offset())
        self.notify_heard(self.heard_at)

    def _parse_events(self, data: bytes) -> None:
        events = []
        comments = self.events.comments
        for event in self.events.feed(data):
            try:
                events.append(parse_event(event.data))
            except UnusableEventError:
                self.counts["unusable"] += 1
        if events:
            self.silence_timeout = SILENCE_TIMEOUT
            self.notify(events)
        # Events that were missed come first on a new connection, then a comment each second.
        if self.events.comments > comments and clock() - self.up_since >= CATCH_UP_TIME:
            self.caught_up = True
