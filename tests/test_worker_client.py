"""The JSON-RPC worker client: the outcome of each attempt, for each way in which a worker may fail."""

import os
import socket
import struct
import tempfile
import threading
import unittest

from tests.rig import EventRecorder, ScriptedWorker, answer_hello, read_messages, success_line, until
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.jsonrpc.worker_client import WorkerClient, WorkerClientSettings
from wickdyke.jsonrpc.worker_command import Command
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.write_buffer import OutgoingMessage, PeerTooSlowError, WriteBuffer

LARGE_JSON = b'"' + b"x" * (8 << 20) + b'"'


def reset_connection(sock):
    """Resets the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def answers_with(*lines):
    """Returns a worker that answers the first attempt with these lines (or functions of its number)."""

    def play(sock, number):
        source = read_messages(sock)
        answer_hello(sock, source)
        run = next(source)
        for line in lines:
            sock.sendall(line(run["id"]) if callable(line) else line)
        for _ in source:
            pass

    return play


def resets_on_run(sock, number):
    """Resets the connection at the first request."""
    source = read_messages(sock)
    answer_hello(sock, source, start=number)
    next(source)
    reset_connection(sock)


def resets_within_answer(sock, number):
    """Resets the connection in the middle of an answer."""
    source = read_messages(sock)
    answer_hello(sock, source)
    sock.sendall(success_line(next(source)["id"])[:20])
    reset_connection(sock)


def resets_while_reading(sock, number):
    """Reads a part of a large message, then resets the connection."""
    answer_hello(sock, first_message_of(sock))
    sock.recv(1000)
    reset_connection(sock)


def first_message_of(sock):
    """Yields the first message, read byte by byte so that no byte of the next line is read."""
    import msgspec

    line = b""
    while not line.endswith(b"\n"):
        line += sock.recv(1)
    yield msgspec.json.decode(line)


def sends_no_hello(sock, number):
    """Reads everything and answers nothing."""
    for _ in read_messages(sock):
        pass


def sends_byte_by_byte(sock, number):
    """Sends a hello byte by byte that is never complete."""
    stop = threading.Event()
    while not stop.wait(0.02):
        sock.sendall(b"{")


def error_line(code, data=b"null"):
    """Returns a function that makes an error response from a request number."""
    return lambda n: jsonrpc.error_response(n, code, "x", data) + b"\n"


class WorkerClients(unittest.TestCase):
    """Outcomes of attempts, restarts, cancels and drains of a worker client."""

    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(temporary_folder.cleanup)
        self.folder, self.count = temporary_folder.name, 0

    def connect(self, play, connect_timeout=5000.0, line=16 << 20):
        """Returns a worker client, the recorder of its events and the worker, played by `play`."""
        self.count += 1
        peer = ScriptedWorker(self.folder, f"w{self.count}", play)
        event_recorder = EventRecorder()
        client = WorkerClient(
            "w", peer.path, WorkerClientSettings("g", connect_timeout, line, 32 << 20), event_recorder
        )
        self.addCleanup(client.close)
        self.addCleanup(peer.close)
        return client, event_recorder, peer

    def run_once(self, play, params=b"{}", **more):
        """Sends one attempt; returns its command, its outcome and what else its event has."""
        client, event_recorder, _ = self.connect(play, **more)
        command = Command(CommandKind.ATTEMPT, None, "run", params)
        client.send(command)
        return event_recorder.next("finished")[2:]

    def test_outcomes(self):
        """(worker, params of the attempt) -> the outcome."""
        for name, play, params, outcome in (
            ("answered", answers_with(success_line), b"{}", "ok"),
            ("answered with 8 MB", answers_with(lambda n: success_line(n, LARGE_JSON)), b"{}", "ok"),
            ("full", answers_with(error_line(worker_messages.FULL)), b"{}", "full"),
            ("miss", answers_with(error_line(worker_messages.MISS)), b"{}", "miss"),
            ("failed", answers_with(error_line(worker_messages.FAILED)), b"{}", "error"),
            ("draining", answers_with(error_line(worker_messages.DRAINING)), b"{}", "full"),
            ("deadline exceeded", answers_with(error_line(worker_messages.DEADLINE_EXCEEDED)), b"{}", "timeout"),
            ("an unknown error code", answers_with(error_line(-5)), b"{}", "error"),
            ("an answer with neither result nor error", answers_with(b'{"jsonrpc":"2.0","id":1}\n'), b"{}", "cut"),
            ("an answer that is not JSON", answers_with(b"hello\n"), b"{}", "cut"),
            ("an answer that is not UTF-8", answers_with(b'{"id":1,"result":"\xff"}\n'), b"{}", "cut"),
            (
                "an answer longer than allowed",
                answers_with(lambda n: success_line(n, b'"' + b"x" * (17 << 20) + b'"')),
                b"{}",
                "cut",
            ),
            (
                "a line longer than allowed behind the answer",
                answers_with(lambda n: success_line(n) + b"x" * (17 << 20)),
                b"{}",
                "ok",
            ),
            ("the worker ends on the attempt", resets_on_run, b"{}", "cut"),
            ("the connection is reset within the answer", resets_within_answer, b"{}", "cut"),
            ("the connection is reset before the message is read in full", resets_while_reading, LARGE_JSON, "cut"),
            (
                "a stray answer first",
                answers_with(b'{"jsonrpc":"2.0","id":77,"result":1}\n', success_line),
                b"{}",
                "ok",
            ),
            (
                "an answer without a number first",
                answers_with(b'{"jsonrpc":"2.0","id":null,"result":1}\n', success_line),
                b"{}",
                "ok",
            ),
        ):
            with self.subTest(case=name):
                self.assertEqual(self.run_once(play, params)[1], outcome)

    def test_an_answer_in_the_same_read_as_a_line_that_is_too_long(self):
        """Guards against whole answers that were dropped with what followed them."""
        play = answers_with(lambda n: success_line(n) + b"x" * 300)
        self.assertEqual(self.run_once(play, line=200)[1], "ok")

    def test_no_connection(self):
        """(worker) -> unreached, within the connect timeout."""
        for name, play in (
            ("no hello", sends_no_hello),
            ("a byte at a time", sends_byte_by_byte),
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
        client = WorkerClient("w", os.path.join(self.folder, "nobody"), settings, event_recorder := EventRecorder())
        self.addCleanup(client.close)
        client.send(Command(CommandKind.ATTEMPT, None, "run", b"{}"))
        self.assertEqual(event_recorder.next("finished")[3], "unreached")

    def test_a_second_answer(self):
        """Of two answers with the same number the first counts; the second, and one with an unknown number, do not."""
        client, event_recorder, _ = self.connect(
            answers_with(success_line, success_line, b'{"jsonrpc":"2.0","id":99,"result":1}\n')
        )
        client.send(Command(CommandKind.ATTEMPT, None, "run", b"{}"))
        self.assertEqual(event_recorder.next("finished")[3], "ok")
        self.assertTrue(until(lambda: client.counts == {"late": 1, "stray": 1}), client.counts)
        self.assertTrue(event_recorder.events.empty())

    def test_a_restarted_worker(self):
        """A command that waits for a connection is not sent to a worker that has restarted meanwhile."""
        may_answer = threading.Event()

        def play(sock, number):
            source = read_messages(sock)
            if number > 1:
                may_answer.wait(20)
            answer_hello(sock, source, start=number)
            if number == 1:
                next(source)
                reset_connection(sock)
            for request in source:
                sock.sendall(success_line(request["id"]))

        client, event_recorder, _ = self.connect(play)
        client.send(Command(CommandKind.ATTEMPT, "first", "run", b"{}"))
        self.assertEqual(event_recorder.next("finished")[3], "cut")
        event_recorder.next("lost")
        client.send(Command(CommandKind.ATTEMPT, "second", "run", b"{}"))
        may_answer.set()
        self.assertEqual(event_recorder.next("finished")[3], "unsent")
        client.send(Command(CommandKind.ATTEMPT, "third", "run", b"{}"))
        self.assertEqual(event_recorder.next("finished")[3], "ok")

    def test_a_worker_that_reads_nothing(self):
        """Messages wait in the write buffer while the kernel accepts no more.

        A message withdrawn there ends as unsent; one sent in part ends as lost with its connection.
        """

        def play(sock, number):
            answer_hello(sock, first_message_of(sock))
            threading.Event().wait(60)

        client, event_recorder, _ = self.connect(play)
        event_recorder.next("connected")
        self.assertTrue(until(lambda: client.write_buffer is not None))
        commands = [Command(CommandKind.ATTEMPT, index, "run", LARGE_JSON) for index in range(3)]
        for command in commands:
            client.send(command)  # must not block
        self.assertTrue(until(lambda: commands[0].message.send_started))
        self.assertEqual(client.cancel(commands[2], lambda: None), "unsent")
        self.assertEqual(client.cancel(commands[0], lambda: None), "pending")
        client.disconnect()
        received = {
            event[2].key: event[3] for event in (event_recorder.next("finished"), event_recorder.next("finished"))
        }
        self.assertEqual(received, {0: "cut", 1: "unsent"})

    def test_the_bound_of_the_write_buffer(self):
        """Past the bound the connection is ended; commands of which no byte was sent are reported as unsent."""

        def play(sock, number):
            if number == 1:  # a second connection gets no hello, so its commands end as unreached
                answer_hello(sock, first_message_of(sock))
            threading.Event().wait(60)

        client, event_recorder, _ = self.connect(play, connect_timeout=1000.0)
        self.assertTrue(until(lambda: client.write_buffer is not None))
        for index in range(6):
            client.send(Command(CommandKind.ATTEMPT, index, "run", LARGE_JSON))
        received = sorted(event_recorder.next("finished")[3] for _ in range(6))
        self.assertEqual(received.count("cut"), 1, received)
        self.assertEqual(
            set(received) - {"cut"}, {"unsent"} if "unreached" not in received else {"unsent", "unreached"}
        )

    def test_cancel(self):
        """A cancel accepted by the kernel ends the attempt; its late answer is dropped and counted."""
        answer_sent = threading.Event()

        def play(sock, number):
            source = read_messages(sock)
            answer_hello(sock, source)
            run = next(source)
            self.assertEqual(next(source), {"jsonrpc": "2.0", "method": "cancel", "params": {"id": run["id"]}})
            sock.sendall(success_line(run["id"]))
            answer_sent.set()
            for _ in source:
                pass

        client, event_recorder, _ = self.connect(play)
        event_recorder.next("connected")
        self.assertTrue(until(lambda: client.write_buffer is not None))
        command = Command(CommandKind.ATTEMPT, None, "run", b"{}")
        client.send(command)
        self.assertEqual(client.cancel(command, lambda: None), "cancelled")
        self.assertEqual(client.cancel(command, lambda: None), "ended")
        self.assertTrue(answer_sent.wait(20))
        self.assertTrue(until(lambda: client.counts["late"] == 1))

    def test_drain(self):
        """A client that drains closes with its last command in flight, and sends nothing more."""
        answer = threading.Event()

        def play(sock, number):
            source = read_messages(sock)
            answer_hello(sock, source)
            run = next(source)
            answer.wait(20)
            sock.sendall(success_line(run["id"]))

        client, event_recorder, _ = self.connect(play)
        client.send(Command(CommandKind.ATTEMPT, 1, "run", b"{}"))
        self.assertTrue(until(lambda: client.commands.in_flight))
        client.drain()
        answer.set()
        self.assertEqual(event_recorder.next("finished")[3], "ok")
        client.thread.join(20)
        self.assertFalse(client.thread.is_alive())
        client.send(Command(CommandKind.ATTEMPT, 2, "run", b"{}"))
        self.assertEqual(event_recorder.next("finished")[3], "unsent")


class WriteBuffers(unittest.TestCase):
    """The order and the bound of a write buffer."""

    def test_order_and_bound(self):
        """All bytes arrive in order, sent by `put` or by the thread; past the bound PeerTooSlowError is raised."""
        sock, peer = socket.socketpair()
        write_buffer = WriteBuffer(sock, 1 << 20, "box")
        sent = b""
        for index in range(40):
            data = bytes([index]) * 20000
            sent += data
            write_buffer.put(OutgoingMessage(data))
        received = b""
        while len(received) < len(sent):
            received += peer.recv(1 << 16)
        self.assertEqual(received, sent)
        with self.assertRaises(PeerTooSlowError):
            for _ in range(100):
                write_buffer.put(OutgoingMessage(b"x" * 50000))
        write_buffer.close()
        with self.assertRaises(OSError):
            write_buffer.put(OutgoingMessage(b"x"))
        if write_buffer.thread:
            write_buffer.thread.join(20)
            self.assertFalse(write_buffer.thread.is_alive())
        sock.close()
        peer.close()


if __name__ == "__main__":
    unittest.main()
