"""System calls of connections to workers fail, once or thrice in a row, for every call on the path of an order."""

import errno
import os
import socket
import tempfile
import threading
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from tests import platform_rig as rig
from tests.rig import Peer, Told, willing
from tests.test_platform import Turned
from wickdyke.config import address as addresses
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.jsonrpc import worker_client as rpc_link
from wickdyke.platform import connection_pool, reachability, resp, worker_client, worker_command
from wickdyke.routing.model import NEVER_RAN
from wickdyke.transport import event_loop

SHORT = 0  # instead of an errno: the call takes or gives one byte
ENDED = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
MEMORY = (errno.ENOBUFS, errno.ENOMEM)
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


class OnLinks(Turned):
    """Links on a loop of their own, to workers that serve all."""

    def prepare(self, faults):
        self.loop.close()
        self.broken = []
        self.loop, self.told, self.faults, self.pool = (
            event_loop.EventLoop(self.broken.append),
            [],
            faults,
            connection_pool.ConnectionPool(20),
        )
        self.loop.epoll = FaultyEpoll(self.loop.epoll, faults)
        stand_in = SimpleNamespace(**{**vars(socket), "socket": faults.socket})
        return patch.object(event_loop, "socket", stand_in)

    def link(self, worker):
        def notify(event):
            self.told.append((event.command.ident, event.outcome))

        return worker_client.WorkerClient(
            "w", worker.address, notify, self.loop, self.pool, worker_client.WorkerClientSettings(60000.0, 60000.0, ())
        )

    def order(self, at, kind=CommandKind.ATTEMPT):
        ident = IDENTS[at]
        parts = (
            (b"invoke", ident, b"lane=look,name=x,ttl=9", BODY) if kind == CommandKind.ATTEMPT else (b"gauges", ident)
        )
        return worker_command.Command(kind, None, ident, resp.command(*parts))

    def end(self, many):
        self.until(lambda: len(self.told) >= many, f"an end of {many}, only {self.told},")

    def run_path(self, worker, healthy):
        """Two call-outs at once and a probe beside them, then two one after the other, then one to another worker."""
        link, other = self.link(worker), self.link(healthy)
        for at in (0, 1):
            link.send(self.order(at))
        link.send(self.order(2, CommandKind.HEALTH_CHECK))
        self.end(3)
        for at in (3, 4):
            link.send(self.order(at))
            self.end(at + 1)
        self.judge(link, other)
        self.faults.name = ""  # the fault is over
        link.send(self.order(5))
        other.send(self.order(6))
        self.end(7)
        self.judge(link, other)
        served = dict(self.told)
        self.assertEqual((served[IDENTS[5]], served[IDENTS[6]]), ("ok", "ok"))
        for each in (link, other):
            each.close()
        self.assertEqual((self.pool.used, self.faults.open_sockets(), self.loop.handlers), (0, set(), {}))
        self.assertEqual(self.pool.worker_clients, set())
        for _ in range(3):
            self.loop.run_once(0, lambda: None)
        self.assertEqual(len(self.told), 7)
        return link

    def judge(self, link, other):
        """One end for each order, which is true, and the books of connections are right."""
        idents = [ident for ident, _ in self.told]
        self.assertEqual(len(idents), len(set(idents)), self.told)
        refused = self.faults.code == errno.ECONNREFUSED
        for ident, outcome in self.told:
            if outcome in NEVER_RAN:
                self.assertNotIn(ident, self.faults.begun, outcome)
            if not refused:  # the worker lives, and nothing said otherwise
                self.assertNotIn(outcome, ("unreached", "cut"))
        connections = [*link.all_connections(), *other.all_connections()]
        self.assertEqual(self.pool.used, len(connections))
        self.assertEqual({conn.sock.fileno() for conn in connections}, self.faults.open_sockets())
        self.assertEqual(set(self.loop.handlers), self.faults.open_sockets())
        self.assertEqual((link.probe.unresolved, link.probe.connection), ([], None))
        self.assertEqual([conn.commands_in_flight for conn in connections], [0] * len(connections))
        self.assertEqual(self.broken, [])

    def workers(self):
        """Two workers."""
        made = [rig.Worker(), rig.Worker()]
        for worker in made:
            self.addCleanup(worker.close)
        return made


class Paths(OnLinks):
    def test_every_call_fails_once_or_thrice(self):
        """For every call that the path makes, every errno of it, and sockets that take all at once or choke."""
        worker, healthy = self.workers()
        for chokes in (False, True):
            whole = Faults(chokes=chokes)
            with self.prepare(whole):
                self.run_path(worker, healthy)
            self.assertEqual([outcome for _, outcome in self.told], ["ok"] * 7)
            for name, codes in ERRORS.items():
                # An unregister is on the path of a connection that ends: the last comes with the end of the test.
                self.assertGreaterEqual(whole.calls[name], 1, name)
                for nth in range(1, whole.calls[name] + 1):
                    for code in codes:
                        for many in (1, 3):
                            fault = dict(name=name, nth=nth, code=errno.errorcode.get(code, "short"), many=many)
                            with self.subTest(chokes=chokes, **fault):
                                with self.prepare(Faults(name, nth, code, many, chokes)):
                                    self.run_path(worker, healthy)


class Unreachable(OnLinks):
    """What is learned of a worker from connections that can't be made."""

    def setUp(self):
        super().setUp()
        self.now = event_loop.clock()  # the loop's own timers go on by the real one
        for module in (worker_client, reachability):
            started = patch.object(module, "clock", lambda: self.now)
            started.start()
            self.addCleanup(started.stop)

    def outcome(self, link, at):
        before = len(self.told)
        link.send(self.order(at))
        self.end(before + 1)
        return self.told[-1][1]

    def test_refused_is_a_worker_that_is_away(self):
        for name in ("connect", "SO_ERROR"):
            with self.subTest(name), self.prepare(Faults(name, 1, errno.ECONNREFUSED)):
                link = self.link(self.workers()[0])
                self.assertEqual(self.outcome(link, 0), "unreached")
                link.close()

    def test_no_way_for_long_is_a_worker_that_is_away(self):
        """A moment of any number of tries tells nothing; a second of them does, and one that succeeds ends it."""
        for name in ("connect", "SO_ERROR"):
            for code in (errno.ENETUNREACH, errno.EHOSTUNREACH):
                with self.subTest(name, code=code), self.prepare(Faults(name, 1, code, 99)):
                    link = self.link(self.workers()[0])
                    found = []
                    for at in range(5):
                        found.append(self.outcome(link, at))
                        self.now += 300.0
                    self.assertEqual(found, ["unsent"] * 4 + ["unreached"])
                    self.faults.name = ""
                    self.assertEqual(self.outcome(link, 5), "ok")
                    self.assertEqual(self.pool.used, 1)
                    link.connections[0].end("idle")
                    self.faults.name, self.faults.many = name, 999
                    self.assertEqual(self.outcome(link, 6), "unsent")
                    link.close()

    def test_answers_take_back_no_late_connection(self):
        """Of one that answers and takes no new connection: the second that is late tells, as before."""
        with self.prepare(Faults()):
            link = self.link(self.workers()[0])
            self.assertEqual(self.outcome(link, 0), "ok")
            link.reachability.timeouts_in_row, link.reachability.timed_out_at = 1, self.now
            self.assertEqual(self.outcome(link, 1), "ok")
            self.assertEqual(link.reachability.timeouts_in_row, 1)
            link.close()

    def test_each_doubt_has_its_own_checks(self):
        """One that was taken back while it was looked into costs the next none of its connections."""
        worker = rig.Worker(lambda *_: True)  # it answers nothing
        self.addCleanup(worker.close)
        with self.prepare(Faults()):
            link = self.link(worker)
            link.probe.count = worker_client.SENDS_MOST
            link.send(order := self.order(0))
            self.until(lambda: self.faults.begun)
            order.connection.end("ended by the worker")
            self.assertEqual((self.told, link.probe.unresolved, link.probe.count), ([], [order], 1))
            self.end(1)
            self.assertEqual((self.told, link.probe.unresolved, link.probe.count), ([(IDENTS[0], "error")], [], 0))
            link.close()

    def test_moments_far_apart_tell_nothing(self):
        for name in ("connect", "SO_ERROR"):
            with self.subTest(name), self.prepare(Faults(name, 1, errno.ENETUNREACH, 99)):
                link = self.link(self.workers()[0])
                for at in range(4):
                    self.assertEqual(self.outcome(link, at), "unsent")
                    self.now += 60000.0
                link.close()

    def test_a_fault_of_our_own_tells_nothing_of_the_worker(self):
        """What nobody foresaw ends a connection that is being made: what waited for it has one end, never ran."""
        with self.prepare(Faults()):
            link = self.link(self.workers()[0])
            link.send(self.order(0))
            link.connections[0].broken()
            self.end(1)
            self.assertIn(self.told[0][1], ("ok", "unsent"))
            link.close()

    def test_a_cut_of_our_own_tells_nothing_of_the_worker(self):
        """The desk cuts a link that does not read: what waits for a connection there goes on another."""
        with self.prepare(Faults()):
            link = self.link(self.workers()[0])
            link.send(self.order(0))
            link.disconnect()
            self.end(1)
            self.assertEqual((self.told, self.pool.used), ([(IDENTS[0], "ok")], 1))
            link.close()
            self.assertEqual(self.pool.used, 0)


class FailingReads:
    """A real socket of which the second read and the third fail, or give one byte."""

    def __init__(self, sock, code):
        self.sock, self.code, self.reads = sock, code, 0

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def recv(self, most):
        self.reads += 1
        if self.reads in (2, 3) and self.code != SHORT:
            raise OSError(self.code, os.strerror(self.code))
        return self.sock.recv(1 if self.reads in (2, 3) else most)


class JsonRpc(unittest.TestCase):
    """Links of threads: what a failed call tells of a worker that lives, and that a later order is served."""

    LOCAL = (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
    )

    def setUp(self):
        made = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(made.cleanup)
        self.folder, self.made = made.name, 0

    def link(self):
        self.made += 1
        peer, told = Peer(self.folder, f"w{self.made}", willing), Told()
        self.addCleanup(peer.close)
        link = rpc_link.WorkerClient("w", peer.path, "g", told, 20000.0, 16 << 20, 32 << 20)
        self.addCleanup(link.close)
        return link, told

    def test_a_connection_that_this_machine_does_not_make(self):
        """(errno) -> what waits ends as never sent, the worker is not told as unheard, and the next is served."""
        for code in self.LOCAL:
            with self.subTest(errno.errorcode[code]):
                connect, tries, go = addresses.connect, [], threading.Event()

                def fails_first(address, within, code=code, connect=connect, tries=tries, go=go):
                    tries.append(code)
                    if len(tries) == 1:
                        go.wait(20)
                        raise OSError(code, os.strerror(code))
                    return connect(address, within)

                with patch.object(rpc_link.addresses, "connect", fails_first):
                    link, told = self.link()
                    link.send(first := rpc_link.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                    go.set()
                    self.assertEqual(told.events.get(timeout=20)[2:4], (first, "unsent"))
                    link.send(second := rpc_link.Command(CommandKind.ATTEMPT, 2, "run", b"{}"))
                    self.assertEqual(told.events.get(timeout=20)[0], "connected")
                    self.assertEqual(told.events.get(timeout=20)[2:4], (second, "ok"))
                    link.close()

    def test_what_proves_that_nobody_is_there(self):
        for code in (errno.ECONNREFUSED, errno.ENOENT, errno.ECONNRESET):
            with self.subTest(errno.errorcode[code]):
                with patch.object(rpc_link.addresses, "connect", side_effect=OSError(code, os.strerror(code))):
                    link, told = self.link()
                    told.next("unreachable")
                    link.send(rpc_link.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                    self.assertEqual(told.next("finished")[3], "unreached")
                    link.close()

    def test_a_read_that_finds_no_memory_or_is_short(self):
        """(errno of the second read and the third) -> the connection stands, and the answer comes by it."""
        for code in (*MEMORY, errno.EINTR, SHORT):
            with self.subTest(errno.errorcode.get(code, "short")):
                connect = addresses.connect

                def faulty(address, within, code=code, connect=connect):
                    return FailingReads(connect(address, within), code)

                with patch.object(rpc_link.addresses, "connect", faulty):
                    link, told = self.link()
                    told.next("connected")
                    link.send(rpc_link.Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
                    self.assertEqual(told.next("finished", "lost")[3:4], ("ok",))
                    link.close()


if __name__ == "__main__":
    unittest.main()
