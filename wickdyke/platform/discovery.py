"""The list's events over HTTP: read as they come, asked for again when they stop."""

import errno
import os
import random
import socket
from collections import Counter
from collections.abc import Callable

import h11

from wickdyke.platform import sse
from wickdyke.platform.endpoint_list import Unusable, change
from wickdyke.transport.event_loop import EventLoop, clock, close, dial, received

PATH = "/bus/read"
CHUNK = 1 << 16
PULSE = 1500.0  # ms without a sign of life after which the other side has stopped: it gives one each second
PATIENCE_MOST = 12000.0  # ms without a sign of life that are waited for while an event is coming, at most
DIAL, DIAL_LEAST, ANSWER = 400.0, 200.0, 1500.0  # ms for a connection, at most, at least; for the head of its answer
PAUSE, GROWTH = 50.0, 1.5  # ms after the first failure, before it is drawn; what each further one makes of that


class DiscoveryClient:
    """Follows the events from one address. `tell` takes those that came, `asked` when they are asked for again."""

    first = True

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        last: Callable[[], int],
        tell: Callable[[list[dict]], None],
        log,
        most: float,
        seed: int,
    ) -> None:
        self.loop, self.address, self.last, self.tell, self.log = loop, address, last, tell, log
        # ms that one try may take to connect, and to the next at most: also where drains leave next to no time, a bus
        # that is slow to take a connection has to be reached.
        self.dial, self.most = min(DIAL, max(DIAL_LEAST, most)), max(PAUSE, most)
        self.chance = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.sock: socket.socket | None = None
        self.number, self.failed = 0, 0  # of the try under way; tries since the last answer
        self.retry = 0  # the number of the one retry that is due; one set before it does nothing
        self.unsent = b""  # of the request, once connected
        self.patience = PULSE  # ms without a sign of life that are waited for
        self.connected = self.up = self.closed = False
        self.said, self.heard, self.since = "", 0.0, 0.0

    def open(self) -> None:
        """Begins to follow."""
        self._ask()

    def follow(self, address: tuple[str, int]) -> None:
        """Follows another address from now on."""
        self.address, self.failed = address, 0
        self._end()
        # Danger: each retry that is due sets the next. One left from the address before would go on beside that of the
        # new one, and with each new configuration the list would be asked for once more in the same time.
        self.retry += 1
        self._ask()

    def close(self) -> None:
        """Ends it."""
        self.closed = True
        self._end()

    def _ask(self) -> None:
        if self.closed or self.sock is not None:
            return
        self.counts["asked"] += 1
        self.number += 1
        self.connected, self.up, self.unsent, self.heard = False, False, b"", clock()
        self.http, self.events = h11.Connection(h11.CLIENT), sse.Events()
        self.sock, code = dial(self.address)
        if self.sock is None:
            self._again(f"connect: {errno.errorcode.get(code, code)}")
            return
        try:
            self.loop.add(self.sock, self, write=True)
        except OSError as bad:
            self._fail("watch", bad)
            return
        self.loop.at(self.heard + self.dial, self._watch, self.number)

    def _again(self, why: str) -> None:
        # Danger: hundreds of front ends that lost the list at one moment would ask for it in step, for as long as
        # it is away. Also one bus that answers only with errors. Could hurt where the list is back with a drain
        # just after a try: so `most` stays within the time in which a drain has to be heeded.
        self.failed = 1 if self.up and clock() - self.since > PULSE else self.failed + 1
        wait = min(self.most, PAUSE * GROWTH ** min(self.failed - 1, 20))
        self.retry += 1
        self.loop.at(clock() + wait * (0.5 + 0.5 * self.chance.random()), self._retry, self.retry)
        if why != self.said:
            self.said = why
            self.log.warning("list not followed", why=why, bus=":".join(map(str, self.address)))

    def _retry(self, number: int) -> None:
        if number != self.retry:
            return
        try:
            self._ask()
        except Exception:
            self.broken()  # a timer that fails is not set again by the loop
            raise

    def _end(self) -> None:
        if self.sock is not None:
            self.loop.remove(self.sock)
            close(self.sock)
            self.sock = None
            self.counts["ended"] += 1

    def _fail(self, step: str, bad: OSError) -> None:
        """A system call of the connection failed in that step: it is ended, and made again after a backoff."""
        self._end()
        self._again(f"{step}: {errno.errorcode.get(bad.errno, bad)}")

    def _watch(self, number: int) -> None:
        """Whether the connection of that number has said enough by now; asks again where it has not."""
        if self.sock is None or number != self.number:
            return
        due = self.heard + (self.patience if self.up else ANSWER if self.connected else self.dial)
        if clock() < due:
            self.loop.at(due, self._watch, number)
            return
        self.counts["silent"] += 1
        # An event that takes longer than a pulse would be begun anew for ever: a half one gets twice the time on the
        # next connection, until one has come whole.
        if self.up and self.events.begun:
            self.patience = min(2 * self.patience, PATIENCE_MOST)
        self._end()
        self._again("no answer" if not self.up else "silent")

    def writable(self) -> None:
        """Connected, or not; or more of the request can be sent."""
        if not self.connected:
            try:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            except OSError as bad:
                self._fail("connect", bad)
                return
            if code:
                self._fail("connect", OSError(code, os.strerror(code)))
                return
            self.connected, self.heard = True, clock()
            self.unsent = self._request()
        self._send()

    def _request(self) -> bytes:
        host = f"{self.address[0]}:{self.address[1]}"
        head = self.http.send(
            h11.Request(
                method="GET",
                target=PATH,
                headers=[("Host", host), ("Accept", "text/event-stream"), ("Last-Event-ID", str(self.last()))],
            )
        )
        return head + (self.http.send(h11.EndOfMessage()) or b"")

    def _send(self) -> None:
        if self.unsent:
            try:
                sent = self.sock.send(self.unsent)
            except (BlockingIOError, InterruptedError):
                return  # the loop tells when it can go on
            except OSError as bad:
                self._fail("send", bad)
                return
            self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.loop.want(self.sock, False)

    def broken(self) -> None:
        """It is asked for again."""
        self._end()
        self._again("fault")

    def readable(self) -> None:
        """Something came."""
        if (data := received(self.sock, CHUNK)) is None:
            return
        over = not data
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise sse.EventTooLarge(f"status {event.status_code}")
                    self.up, self.heard, self.since = True, clock(), clock()
                    if self.said:
                        self.said = ""
                        self.log.info("list followed again")
                elif isinstance(event, h11.Data):
                    self._take(bytes(event.data))
                else:
                    over = True
                    break
        except (h11.ProtocolError, sse.EventTooLarge) as bad:
            over, self.up = True, self.up and data == b""
            if data:
                self.counts["spoilt"] += 1
                self._end()
                self._again(str(bad))
                return
        # Danger: a stream that stopped within an event and drips bytes would count as alive for good, and the list
        # would stand still. Also a half event before a break. Could hurt where one event takes longer than a pulse.
        if data and not self.events.begun:
            self.heard = clock()
        if over:
            up = self.up
            self._end()
            self._again("ended" if up else "ended before its answer")

    def _take(self, data: bytes) -> None:
        found = []
        for event in self.events.feed(data):
            try:
                found.append(change(event.data))
            except Unusable:
                self.counts["unusable"] += 1
        if found:
            self.patience = PULSE
            self.tell(found)
