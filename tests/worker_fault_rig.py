"""System calls of connections to workers that fail as a test plans them."""

import errno
import os
import socket
from types import SimpleNamespace
from unittest.mock import patch

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import connection_pool, resp, worker_client, worker_command
from wickdyke.routing.model import NEVER_RAN
from wickdyke.transport import event_loop

SHORT = 0  # instead of an errno: the call takes or gives one byte
MEMORY = (errno.ENOBUFS, errno.ENOMEM)
ENDED = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
# What Linux documents for each call (socket(2), connect(2), tcp(7), epoll_ctl(2), send(2), recv(2), getsockopt(2)).
ERRORS = {
    "socket": (errno.EMFILE, errno.ENFILE, errno.EACCES, errno.EPERM, *MEMORY),
    "setsockopt": (errno.EINVAL, *MEMORY),
    "connect": (
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EACCES,
        errno.EPERM,
        errno.ECONNREFUSED,
        errno.ECONNABORTED,
        *MEMORY,
        *ENDED,
    ),
    "register": (errno.ENOMEM, errno.ENOSPC),
    "modify": (errno.ENOMEM,),
    "unregister": (errno.ENOMEM,),
    "getsockopt": MEMORY,
    "SO_ERROR": (errno.ECONNREFUSED, errno.EADDRNOTAVAIL, *ENDED),
    "send": (SHORT, errno.EAGAIN, errno.EINTR, *MEMORY, *ENDED),
    "recv": (SHORT, errno.EAGAIN, errno.EINTR, *MEMORY, *ENDED),
}


class Faults:
    """Which call fails: the `nth` of that name and the `many - 1` after it. Counts the calls of each name."""

    def __init__(self, name="", nth=0, code=0, many=1, chokes=False):
        self.name, self.nth, self.code, self.many, self.chokes = name, nth, code, many, chokes
        self.calls, self.sockets, self.begun = dict.fromkeys(ERRORS, 0), [], set()

    def fails(self, name):
        """Counts a call; whether it is to fail."""
        self.calls[name] += 1
        return name == self.name and self.nth <= self.calls[name] < self.nth + self.many

    def check(self, name):
        """Counts a call, and raises where it is to fail."""
        if self.fails(name) and self.code != SHORT:
            raise OSError(self.code, os.strerror(self.code))

    def open_sockets(self):
        return {made.fileno() for made in self.sockets} - {-1}

    def socket(self, *args):
        """Stands in for socket.socket."""
        self.check("socket")
        made = FaultySocket(*args)
        made.faults, made.sends = self, 0
        self.sockets.append(made)
        return made


class FaultySocket(socket.socket):
    """A real socket whose calls fail as its `faults` say. One that chokes takes 10 bytes of the first, then none."""

    def setsockopt(self, *args):
        self.faults.check("setsockopt")
        return super().setsockopt(*args)

    def connect_ex(self, address):
        if self.faults.fails("connect"):
            return self.faults.code
        return super().connect_ex(address)

    def getsockopt(self, *args):
        self.faults.check("getsockopt")
        code = super().getsockopt(*args)
        return self.faults.code if self.faults.fails("SO_ERROR") else code

    def send(self, data, flags=0):
        self.sends += 1
        given = data
        if self.faults.chokes and self.sends % 3 == 1:
            given = data[:10]
        elif self.faults.chokes and self.sends % 3 == 2:
            raise BlockingIOError
        if self.faults.fails("send"):
            if self.faults.code != SHORT:
                raise OSError(self.faults.code, os.strerror(self.faults.code))
            given = data[:1]
        sent = super().send(given, flags)
        if sent:
            self.faults.begun.update(ident for ident in IDENTS if ident in bytes(data))
        return sent

    def recv(self, most, flags=0):
        if self.faults.fails("recv"):
            if self.faults.code != SHORT:
                raise OSError(self.faults.code, os.strerror(self.faults.code))
            most = 1
        return super().recv(most, flags)


class FaultyEpoll:
    """A real epoll whose calls fail as `faults` say."""

    def __init__(self, epoll, faults):
        self.epoll, self.faults = epoll, faults
        self.poll, self.close = epoll.poll, epoll.close

    def register(self, *args):
        self.faults.check("register")
        self.epoll.register(*args)

    def modify(self, *args):
        self.faults.check("modify")
        self.epoll.modify(*args)

    def unregister(self, *args):
        self.faults.check("unregister")
        self.epoll.unregister(*args)


IDENTS = [b"%016d" % at for at in range(9)]
BODY = b"x" * 300


class WorkerConnectionCase(LoopCase):
    """Connections on a loop of their own, to workers that serve all."""

    def prepare(self, faults):
        self.loop.close()
        self.broken = []
        self.loop, self.recorded, self.faults, self.pool = (
            event_loop.EventLoop(self.broken.append),
            [],
            faults,
            connection_pool.ConnectionPool(20),
        )
        self.loop.epoll = FaultyEpoll(self.loop.epoll, faults)
        stand_in = SimpleNamespace(**{**vars(socket), "socket": faults.socket})
        return patch.object(event_loop, "socket", stand_in)

    def upstream(self, worker):
        def notify(event):
            self.recorded.append((event.command.ident, event.outcome))

        return worker_client.WorkerClient(
            "w", worker.address, notify, self.loop, self.pool, worker_client.WorkerClientSettings(60000.0, 60000.0, ())
        )

    def command(self, at, kind=CommandKind.ATTEMPT):
        ident = IDENTS[at]
        parts = (
            (b"invoke", ident, b"lane=look,name=x,ttl=9", BODY) if kind == CommandKind.ATTEMPT else (b"gauges", ident)
        )
        return worker_command.Command(kind, None, ident, resp.command(*parts))

    def end(self, many):
        self.until(lambda: len(self.recorded) >= many, f"an end of {many}, only {self.recorded},")

    def run_path(self, worker, healthy):
        """Two attempts at once and a probe beside them, then two one after the other, then one to another worker."""
        upstream, other = self.upstream(worker), self.upstream(healthy)
        for at in (0, 1):
            upstream.send(self.command(at))
        upstream.send(self.command(2, CommandKind.HEALTH_CHECK))
        self.end(3)
        for at in (3, 4):
            upstream.send(self.command(at))
            self.end(at + 1)
        self.judge(upstream, other)
        self.faults.name = ""  # the fault is over
        upstream.send(self.command(5))
        other.send(self.command(6))
        self.end(7)
        self.judge(upstream, other)
        served = dict(self.recorded)
        self.assertEqual((served[IDENTS[5]], served[IDENTS[6]]), ("ok", "ok"))
        for each in (upstream, other):
            each.close()
        self.assertEqual((self.pool.used, self.faults.open_sockets(), self.loop.handlers), (0, set(), {}))
        self.assertEqual(self.pool.worker_clients, set())
        for _ in range(3):
            self.loop.run_once(0, lambda: None)
        self.assertEqual(len(self.recorded), 7)
        return upstream

    def judge(self, upstream, other):
        """One end for each order, which is true, and the books of connections are right."""
        idents = [ident for ident, _ in self.recorded]
        self.assertEqual(len(idents), len(set(idents)), self.recorded)
        refused = self.faults.code == errno.ECONNREFUSED
        for ident, outcome in self.recorded:
            if outcome in NEVER_RAN:
                self.assertNotIn(ident, self.faults.begun, outcome)
            if not refused:  # the worker lives, and nothing said otherwise
                self.assertNotIn(outcome, ("unreached", "cut"))
        connections = [*upstream.all_connections(), *other.all_connections()]
        self.assertEqual(self.pool.used, len(connections))
        self.assertEqual({conn.sock.fileno() for conn in connections}, self.faults.open_sockets())
        self.assertEqual(set(self.loop.handlers), self.faults.open_sockets())
        self.assertEqual((upstream.probe.unresolved, upstream.probe.connection), ([], None))
        self.assertEqual([conn.commands_in_flight for conn in connections], [0] * len(connections))
        self.assertEqual(self.broken, [])

    def workers(self):
        """Two workers."""
        made = [rig.Worker(), rig.Worker()]
        for worker in made:
            self.addCleanup(worker.close)
        return made
