"""The platform's worker client with a worker on loopback: outcomes, connections, the pool, drains."""

import socket
import struct
import time
import unittest

from tests import platform_rig as rig
from tests.worker_client_rig import WorkerClientCase
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.transport.event_loop import clock


def writes(encode):
    """Returns a response that answers an attempt with the bytes that `encode` returns for its parts."""
    return lambda worker, sock, parts: parts[0] == b"invoke" and (sock.sendall(encode(parts)), True)[1]


def resets(worker, sock, parts):
    """Resets the connection of an attempt."""
    if parts[0] == b"invoke":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
        return True
    return None


def stops_listening_and_resets(worker, sock, parts):
    """Stops listening and resets the connection of an attempt."""
    if parts[0] == b"invoke":
        worker.listener.shutdown(socket.SHUT_RDWR)
        worker.listener.close()
    return resets(worker, sock, parts)


writes_part_of_an_answer = writes(lambda parts: rig.bulk(parts[1], b"ACK", b"-", b"whole")[:-4])


def ends_within_an_answer(worker, sock, parts):
    """Ends the connection in the middle of an answer."""
    if writes_part_of_an_answer(worker, sock, parts):
        sock.shutdown(socket.SHUT_RDWR)
        return True
    return None


class WorkerConnections(WorkerClientCase):
    """Connections of one worker client: outcomes, cancels, the pool, drains."""

    def test_the_outcome_of_an_attempt(self):
        """Each case: the worker's response, whether another connection is established, and the outcome."""

        for name, respond, other_connection, outcome in (
            ("answered", None, False, "ok"),
            ("reset", resets, False, "error"),
            ("process ended", stops_listening_and_resets, False, "cut"),
            ("process accepts no connections, another is open", stops_listening_and_resets, True, "error"),
            ("reset while another is open", resets, True, "error"),
            ("incomplete answer", ends_within_an_answer, False, "error"),
            ("incomplete answer while another is open", ends_within_an_answer, True, "error"),
            ("random bytes", writes(lambda parts: b"\x01\x02noise"), False, "error"),
            (
                "answer of an unknown id first",
                writes(
                    lambda parts: rig.bulk(b"other", b"EIO", b"-", b"") + rig.bulk(parts[1], b"ACK", b"-", b"x") * 2
                ),
                False,
                "ok",
            ),
            ("full", writes(lambda parts: rig.bulk(parts[1], b"AGAIN", b"-", b"")), False, "full"),
        ):
            with self.subTest(name):
                self.recorded.clear()
                client = self.make_client(respond)
                if other_connection:
                    client.send(self.command(b"t1", CommandKind.HEALTH_CHECK))
                    self.outcomes()
                    self.recorded.clear()
                client.send(self.command())
                self.assertEqual(self.outcomes(), [(b"9b1f03aa5c7e2d41", outcome)])
                for _ in range(5):
                    self.loop.run_once(5.0, lambda: None)
                self.assertEqual(len(self.recorded), 1)  # each command ends once, whatever arrives later

    def test_a_prewarm_lost_while_another_connection_is_up_ends_as_a_timeout(self):
        client = self.make_client(lambda worker, sock, parts: parts[0] == b"prewarm" and (sock.sendall(b"??"), True)[1])
        client.send(self.command())
        self.outcomes()
        client.send(self.command(b"t1", CommandKind.PREWARM))
        self.assertEqual(self.outcomes(2)[1], (b"t1", "timeout"))

    def test_a_connection_reset_as_it_is_established(self):
        """The first connections are reset when new: a later one serves the attempt, or it ends as unsent."""
        for count, outcome in ((1, "ok"), (2, "ok"), (9, "unsent")):
            with self.subTest(count):
                self.recorded.clear()
                client, accepted = self.make_client(), []
                serve = self.worker._serve

                def serve_after_resets(sock, count=count, serve=serve, accepted=accepted):
                    accepted.append(sock)
                    if len(accepted) <= count:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        sock.close()
                    else:
                        serve(sock)

                self.worker._serve = serve_after_resets
                client.send(self.command())
                time.sleep(0.1)  # the connection is established and reset before the loop polls it
                while not self.recorded:
                    self.loop.run_once(100.0, lambda: time.sleep(0.05))
                self.assertEqual(self.outcomes(), [(b"9b1f03aa5c7e2d41", outcome)])

    def test_a_refused_connection(self):
        client = self.make_client()
        self.worker.close()
        time.sleep(0.05)
        client.target = ("127.0.0.1", int(rig.free_address().rpartition(":")[2]))
        client.send(self.command())
        self.assertEqual(self.outcomes(), [(b"9b1f03aa5c7e2d41", "unreached")])
        self.assertEqual(self.pool.used, 0)

    def test_an_id_in_use_is_not_sent_again_on_its_connection(self):
        # The worker never answers, and the pool allows one connection.
        client = self.make_client(lambda worker, sock, parts: True, pool_capacity=1)
        first, second = self.command(), self.command()
        client.send(first)
        self.until(lambda: self.worker.received(b"invoke"))
        client.send(second)
        self.assertEqual(self.outcomes(), [(second.ident, "unsent")])

    def test_cancelling(self):
        """A cancel closes a connection without other commands; otherwise it sends an abort and the others stay."""
        client = self.make_client(lambda worker, sock, parts: parts[1] != b"c" * 16, pool_capacity=1)
        first, other = self.command(b"a" * 16), self.command(b"b" * 16)
        client.send(first)
        client.send(other)
        self.until(lambda: len(self.worker.received(b"invoke")) == 2)
        self.assertEqual(client.cancel(first, lambda: None), "cancelled")
        self.assertEqual(client.cancel(first, lambda: None), "ended")
        self.until(lambda: self.worker.received(b"abort"))
        self.assertEqual(self.worker.received(b"abort"), [[b"abort", b"a" * 16]])
        client.send(self.command(b"a" * 16))  # a late answer to the first would end this one
        self.assertEqual(self.outcomes(), [(b"a" * 16, "unsent")])
        self.recorded.clear()
        self.assertEqual(client.cancel(other, lambda: None), "cancelled")
        self.assertEqual((self.pool.used, self.recorded), (0, []))
        client.send(self.command(b"c" * 16))
        self.assertEqual(self.outcomes(), [(b"c" * 16, "ok")])

    def test_attempts_have_their_own_connections_which_are_reused(self):
        client = self.make_client()
        for count in range(1, 4):
            for index in range(3):
                client.send(self.command(b"%016d" % index))
            self.outcomes(3 * count)
        self.assertEqual((self.pool.counts["dialled"], self.pool.used), (3, 3))

    def test_the_pool_is_shared_and_closes_idle_connections_to_make_room(self):
        first, other = self.make_client(pool_capacity=2), self.make_client(pool_capacity=2)
        other.pool = first.pool
        first.pool.worker_clients.add(other)
        for index in range(2):
            first.send(self.command(b"%016d" % index))
        self.outcomes(2)
        other.send(self.command())  # both connections of the pool are idle at the first worker
        self.assertEqual(self.outcomes(3)[2], (b"9b1f03aa5c7e2d41", "ok"))
        self.assertEqual((first.pool.used, len(first.connections), len(other.connections)), (2, 1, 1))
        first.idle_timeout = other.idle_timeout = 0.0
        deadline = clock() + 5
        self.until(lambda: clock() > deadline)
        first.pool.sweep()
        self.assertEqual(first.pool.used, 0)

    def test_a_drained_client_closes_after_its_last_command_is_given_up(self):
        """Whichever command is given up last, all connections are closed."""
        for kind in (CommandKind.ATTEMPT, CommandKind.HEALTH_CHECK):
            with self.subTest(kind):
                client = self.make_client(lambda worker, sock, parts: True)
                commands = [self.command(b"a" * 16), self.command(b"t1", CommandKind.HEALTH_CHECK)]
                for command in commands:
                    client.send(command)
                self.until(lambda: len(self.worker.received(b"invoke") + self.worker.received(b"gauges")) == 2)
                client.drain()
                for command in commands if kind == CommandKind.HEALTH_CHECK else commands[::-1]:
                    if command.kind == CommandKind.ATTEMPT:
                        self.assertEqual(client.cancel(command, lambda: None), "cancelled")
                    else:
                        self.assertTrue(client.abandon(command))
                self.assertEqual((self.pool.used, self.pool.worker_clients, client.closed), (0, set(), True))

    def test_a_drained_client_closes_after_its_last_answer(self):
        unanswered = []
        client = self.make_client(
            lambda worker, sock, parts: parts[0] == b"invoke" and (unanswered.append((sock, parts)), True)[1]
        )
        client.send(self.command())
        self.until(lambda: unanswered)
        client.drain()
        self.assertEqual((self.recorded, self.pool.used), ([], 1))
        unanswered[0][0].sendall(rig.bulk(unanswered[0][1][1], b"ACK", b"-", b"x"))
        self.assertEqual(self.outcomes(), [(b"9b1f03aa5c7e2d41", "ok")])
        self.assertEqual(self.pool.used, 0)
        client.send(self.command(b"f" * 16))
        self.assertEqual(self.outcomes(2)[1], (b"f" * 16, "unsent"))


if __name__ == "__main__":
    unittest.main()
