"""The time left that a worker is told is that of the moment at which the first byte of the command is sent."""

import gc
import tempfile
import threading
import unittest
import weakref
from types import SimpleNamespace
from unittest.mock import patch

import msgspec

from tests import platform_rig as rig
from tests.front_end_rig import ASCII_A, ASCII_B, FullListener, LoopCase
from tests.rig import EventRecorder, ScriptedWorker, answer_hello, read_messages, success_line
from tests.scripted_socket import ScriptedSocket
from wickdyke.jsonrpc import worker_client as jsonrpc_client
from wickdyke.jsonrpc import worker_command as jsonrpc_command
from wickdyke.jsonrpc import worker_protocol as jsonrpc_protocol
from wickdyke.platform import (
    connection_pool,
    reachability,
    worker_client,
    worker_command,
    worker_connection,
    worker_protocol,
)
from wickdyke.routing.model import RequestClass
from wickdyke.transport import event_loop
from wickdyke.transport.write_buffer import OutgoingMessage


class Clock:
    """A monotonic clock that goes on when the test says so; in whole ms, from the real one, by which timers go."""

    def __init__(self, test, *modules):
        self.now = float(round(event_loop.clock()))
        for module in modules:
            started = patch.object(module, "clock", lambda: self.now)
            started.start()
            test.addCleanup(started.stop)


def attempt():
    """A attempt of a method `look` to a program `f`."""

    class Kept(SimpleNamespace):
        """Of which one can tell when it is gone."""

    method = RequestClass("look", "idempotent", "all", 0.0, 1.0, 0.0, 9.0, 1.0, 0.1)
    return Kept(
        request=SimpleNamespace(request_class=method, function=SimpleNamespace(name="f", memory=64.0, concurrency=1))
    )


def client_fields(ident=ASCII_A, body=b"x"):
    """What a client asked."""
    return SimpleNamespace(params=SimpleNamespace(ident=ident, idempotency_key="", input=body, load_ms=None))


def time_left_sent(parts):
    """The `ttl` of a command `invoke`."""
    return int(dict(pair.split(b"=") for pair in parts[2].split(b","))[b"ttl"])


class Platform(LoopCase):
    """Attempts to workers of the platform."""

    def setUp(self):
        super().setUp()
        self.pool = connection_pool.ConnectionPool(20)
        self.clock = Clock(self, reachability, worker_client, worker_command, worker_connection, worker_protocol)
        self.protocol = worker_protocol.PlatformWorkerProtocol(
            self.loop, worker_client.WorkerClientSettings(0.0, 0.0, ()), 20
        )

    def upstream(self, address, dial=60000.0):
        def notify(event):
            self.recorded.append((event.command.ident, event.outcome))

        made = worker_client.WorkerClient(
            "w", address, notify, self.loop, self.pool, worker_client.WorkerClientSettings(dial, 10000.0, ())
        )
        self.addCleanup(made.close)
        return made

    def held(self):
        """A worker client to a worker that answers nothing, and what came there: (socket, command)."""
        held = []
        worker = rig.Worker(lambda _, sock, parts: (held.append((sock, parts)), True)[1])
        self.addCleanup(worker.close)
        self.recorded.clear()
        return self.upstream(worker.address), held

    def elsewhere(self, upstream):
        """From now on nobody lets that worker client in; where it went before."""
        here, (host, _, port) = upstream.target, FullListener(self).address.rpartition(":")
        upstream.target = host, int(port)
        return here

    def command(self, left, ident=ASCII_A, body=b"x"):
        return self.protocol.attempt_command(attempt(), client_fields(ident, body), left)

    def test_told_at_most_what_is_left(self):
        """(ms left as it is sent) -> ttl, or None where it is not sent."""
        for left, ttl in ((1500.0, 1500), (1499.99, 1499), (1.5, 1), (0.4, 1), (0.0, None), (-3.0, None)):
            with self.subTest(left):
                line = self.command(left).render()
                self.assertEqual(line and time_left_sent([None, None, line.split(b"\r\n")[6]]), ttl)

    def test_a_connection_that_comes_up_late(self):
        upstream, held = self.held()
        upstream.send(self.command(1500.0))
        self.assertEqual(len(upstream.connections[0].pending_commands), 1)
        self.clock.now += 1000.5
        self.until(lambda: held)
        self.assertEqual(time_left_sent(held[0][1]), 499)

    def test_a_connection_that_comes_up_after_the_time_is_up(self):
        """It ends as never sent, and the connection is there for others."""
        upstream, held = self.held()
        upstream.send(self.command(1500.0))
        self.clock.now += 1500.0
        self.until(lambda: self.recorded)
        self.assertEqual(self.recorded, [(ASCII_A, "unsent")])
        upstream.send(self.command(800.0, ASCII_B))
        self.until(lambda: held)
        self.assertEqual((held[0][1][1], time_left_sent(held[0][1]), self.pool.used), (ASCII_B, 800, 1))

    def test_a_second_dial(self):
        """The first is never up: rendered with what is left at the second, and not connected again when nothing is."""
        for gone, expected in ((700.0, 800), (1500.0, None)):
            with self.subTest(gone):
                upstream, held = self.held()
                here = self.elsewhere(upstream)
                upstream.send(self.command(1500.0))
                upstream.target = here
                self.clock.now += gone
                upstream.connections[0]._connect_timed_out()
                if expected is None:
                    self.assertEqual(
                        (self.recorded, upstream.connections, self.pool.used), ([(ASCII_A, "unsent")], [], 0)
                    )
                    continue
                self.until(lambda held=held: held)
                self.assertEqual(time_left_sent(held[0][1]), expected)
                upstream.close()

    def test_what_waits_in_the_buffer(self):
        """(ms it waits behind another) -> rendered with what is left as its first byte goes; over, it is never sent."""
        for waits, expected in ((600.0, 900), (1600.0, None)):
            with self.subTest(waits):
                upstream, held = self.held()
                upstream.send(self.command(9000.0))
                self.until(lambda held=held: held)
                conn = upstream.connections[0]
                conn.write_buffer.sock = ScriptedSocket(BlockingIOError())
                conn.send(order := self.command(1500.0, ASCII_B))
                self.assertFalse(order.message.send_started)
                self.clock.now += waits
                conn.write_buffer.sock = conn.sock
                if expected is None:
                    self.until(lambda: self.recorded)
                    self.assertEqual((self.recorded, list(conn.open_commands)), ([(ASCII_B, "unsent")], [ASCII_A]))
                    self.assertFalse(upstream.withdraw_unsent(order))
                else:
                    self.until(lambda held=held: len(held) == 2)
                    self.assertEqual(time_left_sent(held[1][1]), expected)
                self.assertEqual((conn.write_buffer.bytes_waiting, conn.closed), (0, False))
                upstream.close()

    def test_what_has_ended_is_free_without_the_collector(self):
        """(how an order of the buffer ends) -> nothing is kept of it: the collector comes rarely."""
        gc.disable()
        self.addCleanup(gc.enable)
        for how in ("sent", "over", "withdrawn", "cut"):
            with self.subTest(how):
                upstream, held = self.held()
                upstream.send(self.command(9000.0))
                self.until(lambda held=held: held)
                conn = upstream.connections[0]
                conn.write_buffer.sock = ScriptedSocket(BlockingIOError())
                order = self.command(1500.0, ASCII_B)
                conn.send(order)
                kept = weakref.ref(order.key)
                if how == "withdrawn":
                    self.assertTrue(upstream.withdraw_unsent(order))
                elif how == "over":
                    self.clock.now += 1500.0
                conn.write_buffer.sock = conn.sock
                if how == "sent":
                    self.until(lambda held=held: len(held) == 2)
                    held[1][0].sendall(rig.bulk(ASCII_B, b"ACK", b"-", b""))
                if how != "cut":
                    self.until(lambda conn=conn: ASCII_B not in conn.open_commands)
                upstream.close()
                del order
                self.assertIsNone(kept())

    def test_time_up_while_nobody_lets_it_in(self):
        """Withdrawn or recalled as before: one end."""
        upstream = self.upstream(FullListener(self).address, dial=60000.0)
        upstream.send(order := self.command(10.0))
        self.clock.now += 20.0
        self.assertTrue(upstream.withdraw_unsent(order))
        self.assertEqual((self.recorded, upstream.connections[0].commands_in_flight), ([], 0))


class JsonRpc(unittest.TestCase):
    """Attempts to workers of JSON-RPC: a thread for each link."""

    def setUp(self):
        made = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(made.cleanup)
        self.clock, self.folder = Clock(self, jsonrpc_command, jsonrpc_protocol), made.name
        self.protocol = jsonrpc_protocol.JsonRpcWorkerProtocol(
            SimpleNamespace(name="g", instance=SimpleNamespace(report_fields=()))
        )
        self.go, self.runs = threading.Event(), []

    def upstream(self):
        def play(sock, number):
            self.go.wait(20)
            source = read_messages(sock)
            answer_hello(sock, source)
            for request in source:
                self.runs.append(request["params"])
                sock.sendall(success_line(request["id"]))

        peer, events = ScriptedWorker(self.folder, "w", play), EventRecorder()
        upstream = jsonrpc_client.WorkerClient(
            "w", peer.path, jsonrpc_client.WorkerClientSettings("g", 20000.0, 16 << 20, 32 << 20), events
        )
        self.addCleanup(upstream.close)
        self.addCleanup(peer.close)
        return upstream, events

    def command(self, left):
        return self.protocol.attempt_command(attempt(), client_fields(body=msgspec.Raw(b'"x"')), left)

    def test_a_hello_that_comes_late(self):
        """(ms until it comes) -> rendered with what is left; where nothing is, never sent."""
        upstream, events = self.upstream()
        for left in (1500.0, 400.0):
            upstream.send(self.command(left))
        self.clock.now += 600.5
        self.go.set()
        ends = sorted(events.next("finished")[3] for _ in range(2))
        self.assertEqual((ends, [run["time_left_ms"] for run in self.runs]), (["ok", "unsent"], [899.5]))

    def test_over_behind_what_the_worker_does_not_read(self):
        """It never began: it ends as never sent, once, also where the worker client is to end with it."""
        upstream, events = self.upstream()
        self.go.set()
        events.next("connected")
        upstream.send(self.command(900.0))  # returns once the worker client has its outbox
        self.assertEqual(events.next("finished")[3], "ok")
        order = self.command(900.0)
        put = upstream.write_buffer.put

        def behind(parcel):  # as where others wait: it is the thread's to write
            with upstream.write_buffer.lock:
                parcel.bytes_waiting = len(parcel.render())
                upstream.write_buffer.bytes_waiting += parcel.bytes_waiting
                upstream.write_buffer.waiting_messages.append(parcel)
                return False

        with patch.object(upstream.write_buffer, "put", behind):
            upstream.send(order)
        self.clock.now += 900.0
        upstream.state = jsonrpc_client.ClientState.DRAINING
        put(OutgoingMessage(b"\n"))  # wakes the thread
        self.assertEqual(events.next("finished")[2:4], (order, "unsent"))
        upstream.thread.join(20)
        self.assertFalse(upstream.thread.is_alive())
        self.assertEqual(len(self.runs), 1)


if __name__ == "__main__":
    unittest.main()
