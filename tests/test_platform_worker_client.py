"""The platform's worker client against a worker on loopback: outcomes, connections, the pool, drains."""

import socket
import struct
import time
import unittest

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from tests.rig import event_tuple
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import connection_pool, resp, worker_client, worker_command
from wickdyke.transport.event_loop import clock


def writes(raw):
    """A worker that answers a command with the bytes that `raw` makes of its parts."""
    return lambda worker, sock, parts: parts[0] == b"invoke" and (sock.sendall(raw(parts)), True)[1]


def resets(worker, sock, parts):
    """A worker that resets the connection of a command."""
    if parts[0] == b"invoke":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
        return True
    return None


def dies(worker, sock, parts):
    """A worker that stops listening and resets the connection of a command."""
    if parts[0] == b"invoke":
        worker.listener.shutdown(socket.SHUT_RDWR)
        worker.listener.close()
    return resets(worker, sock, parts)


writes_half = writes(lambda p: rig.bulk(p[1], b"ACK", b"-", b"whole")[:-4])


def stops_short(worker, sock, parts):
    """A worker that ends the connection in the middle of an answer."""
    if writes_half(worker, sock, parts):
        sock.shutdown(socket.SHUT_RDWR)
        return True
    return None


class WorkerConnections(LoopCase):
    """Connections to a worker: outcomes, cancels, the pool, drains."""

    def upstream(self, play=None, dial=5000.0, most=20):
        self.worker = rig.Worker(play)
        self.addCleanup(self.worker.close)
        self.pool = connection_pool.ConnectionPool(most)
        upstream = worker_client.WorkerClient(
            "w",
            self.worker.address,
            lambda event: self.recorded.append(event_tuple(event)),
            self.loop,
            self.pool,
            worker_client.WorkerClientSettings(dial, 10000.0, ("utilization", "in_flight")),
        )
        self.addCleanup(upstream.close)
        return upstream

    def command(self, ident=b"9b1f03aa5c7e2d41", kind=CommandKind.ATTEMPT):
        verb = {
            CommandKind.ATTEMPT: (b"invoke", ident, b"lane=look,name=x,ttl=9", b"b"),
            CommandKind.PREWARM: (b"prewarm", ident, b"name=x,units=1"),
            CommandKind.HEALTH_CHECK: (b"gauges", ident),
        }[kind]
        return worker_command.Command(kind, None, ident, resp.command(*verb))

    def ended(self, many=1):
        self.until(lambda: len(self.recorded) >= many, "an end")
        return [(event[2].ident, event[3]) for event in self.recorded]

    def test_what_is_known_of_an_attempt(self):
        """(what the worker does, whether another connection stands) -> the outcome told."""

        for name, play, beside, outcome in (
            ("served", None, False, "ok"),
            ("reset", resets, False, "error"),
            ("gone", dies, False, "cut"),
            ("takes no new", dies, True, "error"),
            ("reset beside", resets, True, "error"),
            ("breaks off", stops_short, False, "error"),
            ("breaks off beside", stops_short, True, "error"),
            ("noise", writes(lambda p: b"\x01\x02noise"), False, "error"),
            (
                "another's answer first",
                writes(lambda p: rig.bulk(b"other", b"EIO", b"-", b"") + rig.bulk(p[1], b"ACK", b"-", b"x") * 2),
                False,
                "ok",
            ),
            ("full", writes(lambda p: rig.bulk(p[1], b"AGAIN", b"-", b"")), False, "full"),
        ):
            with self.subTest(name):
                self.recorded.clear()
                upstream = self.upstream(play)
                if beside:
                    upstream.send(self.command(b"t1", CommandKind.HEALTH_CHECK))
                    self.ended()
                    self.recorded.clear()
                upstream.send(self.command())
                self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", outcome)])
                for _ in range(5):
                    self.loop.run_once(5.0, lambda: None)
                self.assertEqual(len(self.recorded), 1)  # one end for each, whatever else comes

    def test_a_command_that_got_lost_beside_others_is_no_cut(self):
        upstream = self.upstream(lambda worker, sock, parts: parts[0] == b"prewarm" and (sock.sendall(b"??"), True)[1])
        upstream.send(self.command())
        self.ended()
        upstream.send(self.command(b"t1", CommandKind.PREWARM))
        self.assertEqual(self.ended(2)[1], (b"t1", "timeout"))

    def test_reset_as_it_comes_up(self):
        """(connections that are reset when new) -> served by a later one, or known never to have run."""
        for many, outcome in ((1, "ok"), (2, "ok"), (9, "unsent")):
            with self.subTest(many):
                self.recorded.clear()
                upstream, met = self.upstream(), []
                serve = self.worker._serve

                def new(sock, many=many, serve=serve, met=met):
                    met.append(sock)
                    if len(met) <= many:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        sock.close()
                    else:
                        serve(sock)

                self.worker._serve = new
                upstream.send(self.command())
                time.sleep(0.1)  # it comes up and is reset before the loop looks
                while not self.recorded:
                    self.loop.run_once(100.0, lambda: time.sleep(0.05))
                self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", outcome)])

    def test_nobody_there(self):
        upstream = self.upstream()
        self.worker.close()
        time.sleep(0.05)
        upstream.target = ("127.0.0.1", int(rig.free_address().rpartition(":")[2]))
        upstream.send(self.command())
        self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", "unreached")])
        self.assertEqual(self.pool.used, 0)

    def test_one_id_is_never_twice_on_a_connection(self):
        upstream = self.upstream(lambda worker, sock, parts: True, most=1)  # answers nothing; one connection only
        first, second = self.command(), self.command()
        upstream.send(first)
        self.until(lambda: self.worker.received(b"invoke"))
        upstream.send(second)
        self.assertEqual(self.ended(), [(second.ident, "unsent")])

    def test_taken_back(self):
        """Alone on its connection: that ends, and nothing comes later. Beside another: abort, and the other stays."""
        upstream = self.upstream(lambda worker, sock, parts: parts[1] != b"c" * 16, most=1)
        first, other = self.command(b"a" * 16), self.command(b"b" * 16)
        upstream.send(first)
        upstream.send(other)
        self.until(lambda: len(self.worker.received(b"invoke")) == 2)
        self.assertEqual(upstream.cancel(first, lambda: None), "cancelled")
        self.assertEqual(upstream.cancel(first, lambda: None), "ended")
        self.until(lambda: self.worker.received(b"abort"))
        self.assertEqual(self.worker.received(b"abort"), [[b"abort", b"a" * 16]])
        upstream.send(self.command(b"a" * 16))  # its late answer may still come there, and would end this one
        self.assertEqual(self.ended(), [(b"a" * 16, "unsent")])
        self.recorded.clear()
        self.assertEqual(upstream.cancel(other, lambda: None), "cancelled")
        self.assertEqual((self.pool.used, self.recorded), (0, []))
        upstream.send(self.command(b"c" * 16))
        self.assertEqual(self.ended(), [(b"c" * 16, "ok")])

    def test_attempts_have_connections_of_their_own_and_keep_them(self):
        upstream = self.upstream()
        for many in range(1, 4):
            for at in range(3):
                upstream.send(self.command(b"%016d" % at))
            self.ended(3 * many)
        self.assertEqual((self.pool.counts["dialled"], self.pool.used), (3, 3))

    def test_the_pool_is_shared_and_what_idles_makes_room(self):
        first, other = self.upstream(most=2), self.upstream(most=2)
        other.pool = first.pool
        first.pool.worker_clients.add(other)
        for at in range(2):
            first.send(self.command(b"%016d" % at))
        self.ended(2)
        other.send(self.command())  # both places idle at the first worker
        self.assertEqual(self.ended(3)[2], (b"9b1f03aa5c7e2d41", "ok"))
        self.assertEqual((first.pool.used, len(first.connections), len(other.connections)), (2, 1, 1))
        first.idle_timeout = other.idle_timeout = 0.0
        ends = clock() + 5
        self.until(lambda: clock() > ends)
        first.pool.sweep()
        self.assertEqual(first.pool.used, 0)

    def test_a_retired_worker_that_says_nothing_ends_with_the_last_given_up(self):
        """(how the last goes) -> all connections ended, nothing kept."""
        for kind in (CommandKind.ATTEMPT, CommandKind.HEALTH_CHECK):
            with self.subTest(kind):
                upstream = self.upstream(lambda worker, sock, parts: True)
                orders = [self.command(b"a" * 16), self.command(b"t1", CommandKind.HEALTH_CHECK)]
                for order in orders:
                    upstream.send(order)
                self.until(lambda: len(self.worker.received(b"invoke") + self.worker.received(b"gauges")) == 2)
                upstream.drain()
                for order in orders if kind == CommandKind.HEALTH_CHECK else orders[::-1]:
                    if order.kind == CommandKind.ATTEMPT:
                        self.assertEqual(upstream.cancel(order, lambda: None), "cancelled")
                    else:
                        self.assertTrue(upstream.abandon(order))
                self.assertEqual((self.pool.used, self.pool.worker_clients, upstream.closed), (0, set(), True))

    def test_a_retired_worker_ends_with_what_is_out(self):
        held = []
        upstream = self.upstream(
            lambda worker, sock, parts: parts[0] == b"invoke" and (held.append((sock, parts)), True)[1]
        )
        upstream.send(self.command())
        self.until(lambda: held)
        upstream.drain()
        self.assertEqual((self.recorded, self.pool.used), ([], 1))
        held[0][0].sendall(rig.bulk(held[0][1][1], b"ACK", b"-", b"x"))
        self.assertEqual(self.ended(), [(b"9b1f03aa5c7e2d41", "ok")])
        self.assertEqual(self.pool.used, 0)
        upstream.send(self.command(b"f" * 16))
        self.assertEqual(self.ended(2)[1], (b"f" * 16, "unsent"))


if __name__ == "__main__":
    unittest.main()
