"""The list's events over HTTP: read as they come, asked for again at once when they stop."""

import errno
import socket
from collections import Counter
from collections.abc import Callable

import h11

from wickdyke.platform import sse
from wickdyke.platform.roster import Unusable, change
from wickdyke.wire.loop import Loop, clock, received

PATH = "/bus/read"
CHUNK = 1 << 16
PULSE = 1500.0  # ms without a byte after which the other side has stopped: it says something each second
DIAL, PAUSE = 400.0, 100.0  # ms for a connection and its answer; between one that failed and the next


class Bus:
    """Follows the events from one address. `tell` takes those that came, `asked` when they are asked for again."""

    first = True

    def __init__(self, loop: Loop, address: tuple[str, int], last: Callable[[], int],
                 tell: Callable[[list[dict]], None], log) -> None:
        self.loop, self.address, self.last, self.tell, self.log = loop, address, last, tell, log
        self.counts: Counter[str] = Counter()
        self.sock: socket.socket | None = None
        self.number, self.up, self.said, self.closed = 0, False, "", False
        self.heard = 0.0

    def open(self) -> None:
        """Begins to follow."""
        self._ask()
        self._watch()

    def follow(self, address: tuple[str, int]) -> None:
        """Follows another address from now on."""
        self.address = address
        self._end("another address")
        self._ask()

    def close(self) -> None:
        """Ends it."""
        self.closed = True
        self._end("closed")

    def _ask(self) -> None:
        if self.closed or self.sock is not None:
            return
        self.counts["asked"] += 1
        self.number += 1
        self.up, self.heard = False, clock()
        self.http, self.events = h11.Connection(h11.CLIENT), sse.Events()
        self.sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self.sock = None
            self._again(f"connect: {errno.errorcode.get(code, code)}")
            return
        self.loop.add(sock, self, write=True)

    def _again(self, why: str) -> None:
        if why != self.said:
            self.said = why
            self.log.warning("list not followed", why=why, bus=":".join(map(str, self.address)))
        self.loop.at(clock() + PAUSE, self._ask)

    def _end(self, why: str) -> None:
        if self.sock is not None:
            self.loop.remove(self.sock)
            self.sock.close()
            self.sock = None
            self.counts["ended"] += 1

    def _watch(self) -> None:
        if self.closed:
            return
        quiet = clock() - self.heard
        if self.sock is not None and quiet > (PULSE if self.up else DIAL):
            self._end("silent")
            self.counts["silent"] += 1
            if self.up:
                self._ask()
            else:
                self._again("no answer")
        self.loop.at(clock() + 100.0, self._watch)

    def writable(self) -> None:
        """Connected, or not."""
        if code := self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._end("connect")
            self._again(f"connect: {errno.errorcode.get(code, code)}")
            return
        host = f"{self.address[0]}:{self.address[1]}"
        said = self.http.send(h11.Request(method="GET", target=PATH, headers=[
            ("Host", host), ("Accept", "text/event-stream"), ("Last-Event-ID", str(self.last()))]))
        try:
            self.sock.send(said + (self.http.send(h11.EndOfMessage()) or b""))
        except OSError as bad:
            self._end("send")
            self._again(f"send: {bad.strerror}")
            return
        self.loop.want(self.sock, False)

    def broken(self) -> None:
        """It is asked for again."""
        self._end("fault")
        self._again("fault")

    def readable(self) -> None:
        """Something came."""
        if (data := received(self.sock, CHUNK)) is None:
            return
        self.heard = clock()
        over = not data
        try:
            self.http.receive_data(data)
            while (event := self.http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise sse.TooMuch(f"status {event.status_code}")
                    self.up = True
                    if self.said:
                        self.said = ""
                        self.log.info("list followed again")
                elif isinstance(event, h11.Data):
                    self._take(bytes(event.data))
                else:
                    over = True
                    break
        except (h11.ProtocolError, sse.TooMuch) as bad:
            over, self.up = True, self.up and data == b""
            if data:
                self.counts["spoilt"] += 1
                self._end("spoilt")
                self._again(str(bad))
                return
        if over:
            self._end("over")
            if self.up:
                self._ask()
            else:
                self._again("ended before its answer")

    def _take(self, data: bytes) -> None:
        found = []
        for event in self.events.feed(data):
            try:
                found.append(change(event.data))
            except Unusable:
                self.counts["unusable"] += 1
        if found:
            self.tell(found)
