"""The JSON-RPC worker client: the outcome of each attempt, whatever the worker does to the connection."""

import os
import socket
import struct
import tempfile
import threading
import unittest

from tests.rig import EventRecorder, Peer, hello, lines_of, ok, until
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.jsonrpc.worker_client import WorkerClient, WorkerClientSettings
from wickdyke.jsonrpc.worker_command import Command
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer

BIG = b'"' + b"x" * (8 << 20) + b'"'


def reset(sock):
    """Ends the connection at once."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def answering(*lines):
    """Answers the first attempt with these lines (or functions of its number) and waits for the end."""

    def play(sock, number):
        source = lines_of(sock)
        hello(sock, source)
        run = next(source)
        for line in lines:
            sock.sendall(line(run["id"]) if callable(line) else line)
        for _ in source:
            pass

    return play


def dies_on_run(sock, number):
    """A worker that resets the connection at its first request."""
    source = lines_of(sock)
    hello(sock, source, start=number)
    next(source)
    reset(sock)


def half_answer(sock, number):
    """A worker that resets the connection in the middle of an answer."""
    source = lines_of(sock)
    hello(sock, source)
    sock.sendall(ok(next(source)["id"])[:20])
    reset(sock)


def dies_while_read(sock, number):
    """Reads a part of a large message and is gone."""
    hello(sock, lines_of_some(sock))
    sock.recv(1000)
    reset(sock)


def lines_of_some(sock):
    """The first line, read byte by byte, so that nothing of the next is read."""
    import msgspec

    line = b""
    while not line.endswith(b"\n"):
        line += sock.recv(1)
    yield msgspec.json.decode(line)


def no_hello(sock, number):
    """A worker that reads and answers nothing."""
    for _ in lines_of(sock):
        pass


def a_byte_a_time(sock, number):
    """Sends its hello so slowly that it is never complete."""
    stop = threading.Event()
    while not stop.wait(0.02):
        sock.sendall(b"{")


def error(code, data=b"null"):
    """What makes an error response for a request number."""
    return lambda n: jsonrpc.error_response(n, code, "x", data) + b"\n"


class WorkerClients(unittest.TestCase):
    """Outcomes of attempts, restarts, cancels and drains of a worker client."""

    def setUp(self):
        made = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(made.cleanup)
        self.folder, self.count = made.name, 0

    def connect(self, play, connect_timeout=5000.0, line=16 << 20):
        self.count += 1
        peer = Peer(self.folder, f"w{self.count}", play)
        posted = EventRecorder()
        client = WorkerClient("w", peer.path, WorkerClientSettings("g", connect_timeout, line, 32 << 20), posted)
        self.addCleanup(client.close)
        self.addCleanup(peer.close)
        return client, posted, peer

    def run_once(self, play, params=b"{}", **more):
        client, posted, _ = self.connect(play, **more)
        command = Command(CommandKind.ATTEMPT, None, "run", params)
        client.send(command)
        return posted.next("finished")[2:]

    def test_outcomes(self):
        """(worker, params of the attempt) -> the outcome."""
        for name, play, params, outcome in (
            ("answered", answering(ok), b"{}", "ok"),
            ("answered with 8 MB", answering(lambda n: ok(n, BIG)), b"{}", "ok"),
            ("full", answering(error(worker_messages.FULL)), b"{}", "full"),
            ("miss", answering(error(worker_messages.MISS)), b"{}", "miss"),
            ("failed", answering(error(worker_messages.FAILED)), b"{}", "error"),
            ("draining", answering(error(worker_messages.DRAINING)), b"{}", "full"),
            ("out of time there", answering(error(worker_messages.DEADLINE_EXCEEDED)), b"{}", "timeout"),
            ("an error nobody knows", answering(error(-5)), b"{}", "error"),
            ("an answer with neither result nor error", answering(b'{"jsonrpc":"2.0","id":1}\n'), b"{}", "cut"),
            ("an answer that is no JSON", answering(b"hello\n"), b"{}", "cut"),
            ("an answer that is no text", answering(b'{"id":1,"result":"\xff"}\n'), b"{}", "cut"),
            (
                "an answer longer than allowed",
                answering(lambda n: ok(n, b'"' + b"x" * (17 << 20) + b'"')),
                b"{}",
                "cut",
            ),
            ("the worker ends on the attempt", dies_on_run, b"{}", "cut"),
            ("an answer half read", half_answer, b"{}", "cut"),
            ("ends with half of the message read", dies_while_read, BIG, "cut"),
            ("a stray answer first", answering(b'{"jsonrpc":"2.0","id":77,"result":1}\n', ok), b"{}", "ok"),
            (
                "an answer without a number first",
                answering(b'{"jsonrpc":"2.0","id":null,"result":1}\n', ok),
                b"{}",
                "ok",
            ),
        ):
            with self.subTest(case=name):
                self.assertEqual(self.run_once(play, params)[1], outcome)

    def test_no_connection(self):
        """(worker) -> unreached, within the connect timeout."""
        for name, play in (
            ("no hello", no_hello),
            ("a byte at a time", a_byte_a_time),
            (
                "the wrong version",
                lambda sock, n: sock.sendall(
                    jsonrpc.result_response(0, b'{"version":99,"worker":"w","start":1}') + b"\n"
                ),
            ),
            ("garbage", lambda sock, n: sock.sendall(b"SSH-2.0\n")),
            ("an error", lambda sock, n: sock.sendall(jsonrpc.error_response(0, -1, "no") + b"\n")),
        ):
            with self.subTest(case=name):
                self.assertEqual(self.run_once(play, connect_timeout=150.0)[1], "unreached")
        settings = WorkerClientSettings("g", 1000.0, 1 << 20, 1 << 20)
        client = WorkerClient("w", os.path.join(self.folder, "nobody"), settings, posted := EventRecorder())
        self.addCleanup(client.close)
        client.send(Command(CommandKind.ATTEMPT, None, "run", b"{}"))
        self.assertEqual(posted.next("finished")[3], "unreached")

    def test_a_second_answer(self):
        """Two answers with one number: the first counts; the second, and one for an unknown number, do not."""
        client, posted, _ = self.connect(answering(ok, ok, b'{"jsonrpc":"2.0","id":99,"result":1}\n'))
        client.send(Command(CommandKind.ATTEMPT, None, "run", b"{}"))
        self.assertEqual(posted.next("finished")[3], "ok")
        self.assertTrue(until(lambda: client.counts == {"late": 1, "stray": 1}), client.counts)
        self.assertTrue(posted.events.empty())

    def test_a_restarted_worker(self):
        """What waits for a connection is not sent to a worker that has restarted meanwhile."""
        ready = threading.Event()

        def play(sock, number):
            source = lines_of(sock)
            if number > 1:
                ready.wait(20)
            hello(sock, source, start=number)
            if number == 1:
                next(source)
                reset(sock)
            for request in source:
                sock.sendall(ok(request["id"]))

        client, posted, _ = self.connect(play)
        client.send(Command(CommandKind.ATTEMPT, "first", "run", b"{}"))
        self.assertEqual(posted.next("finished")[3], "cut")
        posted.next("lost")
        client.send(Command(CommandKind.ATTEMPT, "second", "run", b"{}"))
        ready.set()
        self.assertEqual(posted.next("finished")[3], "unsent")
        client.send(Command(CommandKind.ATTEMPT, "third", "run", b"{}"))
        self.assertEqual(posted.next("finished")[3], "ok")

    def test_a_worker_that_reads_nothing(self):
        """What the kernel does not buffer waits here; withdrawn there it was never sent, else it is lost."""

        def play(sock, number):
            hello(sock, lines_of_some(sock))
            threading.Event().wait(60)

        client, posted, _ = self.connect(play)
        posted.next("connected")
        self.assertTrue(until(lambda: client.write_buffer is not None))
        commands = [Command(CommandKind.ATTEMPT, at, "run", BIG) for at in range(3)]
        for command in commands:
            client.send(command)  # must not wait
        self.assertTrue(until(lambda: commands[0].message.begun))
        self.assertEqual(client.cancel(commands[2], lambda: None), "unsent")
        self.assertEqual(client.cancel(commands[0], lambda: None), "pending")
        client.disconnect()
        received = {event[2].key: event[3] for event in (posted.next("finished"), posted.next("finished"))}
        self.assertEqual(received, {0: "cut", 1: "unsent"})

    def test_the_bound_of_the_write_buffer(self):
        """Past the bound the connection is ended; what never began to be sent is reported as unsent."""

        def play(sock, number):
            if number == 1:  # a second connection says no hello: what goes there ends as unreached
                hello(sock, lines_of_some(sock))
            threading.Event().wait(60)

        client, posted, _ = self.connect(play, connect_timeout=1000.0)
        self.assertTrue(until(lambda: client.write_buffer is not None))
        for at in range(6):
            client.send(Command(CommandKind.ATTEMPT, at, "run", BIG))
        received = sorted(posted.next("finished")[3] for _ in range(6))
        self.assertEqual(received.count("cut"), 1, received)
        self.assertEqual(
            set(received) - {"cut"}, {"unsent"} if "unreached" not in received else {"unsent", "unreached"}
        )

    def test_cancel(self):
        """A cancel that is with the kernel ends the attempt; its late answer is dropped and counted."""
        go = threading.Event()

        def play(sock, number):
            source = lines_of(sock)
            hello(sock, source)
            run = next(source)
            self.assertEqual(next(source), {"jsonrpc": "2.0", "method": "cancel", "params": {"id": run["id"]}})
            sock.sendall(ok(run["id"]))
            go.set()
            for _ in source:
                pass

        client, posted, _ = self.connect(play)
        posted.next("connected")
        self.assertTrue(until(lambda: client.write_buffer is not None))
        command = Command(CommandKind.ATTEMPT, None, "run", b"{}")
        client.send(command)
        self.assertEqual(client.cancel(command, lambda: None), "cancelled")
        self.assertEqual(client.cancel(command, lambda: None), "ended")
        self.assertTrue(go.wait(20))
        self.assertTrue(until(lambda: client.counts["late"] == 1))

    def test_drain(self):
        """A client that drains closes with its last command in flight, and sends nothing more."""
        answer = threading.Event()

        def play(sock, number):
            source = lines_of(sock)
            hello(sock, source)
            run = next(source)
            answer.wait(20)
            sock.sendall(ok(run["id"]))

        client, posted, _ = self.connect(play)
        client.send(Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
        self.assertTrue(until(lambda: client.commands.in_flight))
        client.drain()
        answer.set()
        self.assertEqual(posted.next("finished")[3], "ok")
        client.thread.join(20)
        self.assertFalse(client.thread.is_alive())
        client.send(Command(CommandKind.ATTEMPT, 2, "run", b"{}"))
        self.assertEqual(posted.next("finished")[3], "unsent")


class WriteBuffers(unittest.TestCase):
    """The order and the bound of a write buffer."""

    def test_order_and_bound(self):
        """All bytes arrive in their order, whoever wrote them; past the bound PeerTooSlowError is raised."""
        here, there = socket.socketpair()
        box = WriteBuffer(here, 1 << 20, "box")
        sent = b""
        for at in range(40):
            data = bytes([at]) * 20000
            sent += data
            box.put(OutgoingMessage(data))
        received = b""
        while len(received) < len(sent):
            received += there.recv(1 << 16)
        self.assertEqual(received, sent)
        with self.assertRaises(PeerTooSlowError):
            for _ in range(100):
                box.put(OutgoingMessage(b"x" * 50000))
        box.close()
        with self.assertRaises(OSError):
            box.put(OutgoingMessage(b"x"))
        if box.thread:
            box.thread.join(20)
            self.assertFalse(box.thread.is_alive())
        here.close()
        there.close()


if __name__ == "__main__":
    unittest.main()
