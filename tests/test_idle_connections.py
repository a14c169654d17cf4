"""Connections to workers and of clients that were idle: closed or reset under the next request, at rest for minutes."""

import signal
import socket
import struct
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import REQUEST_CLASSES, SteppedClockCase, request
from tests.front_end_rig import reset, wait_for
from wickdyke.platform import service, worker_connection


def end(sock, how):
    """A worker's end of a connection, closed or reset."""
    if how == "reset":
        reset(sock)
    else:
        sock.shutdown(socket.SHUT_RDWR)


class IdleConnections(SteppedClockCase):
    """Workers that close, reset or forget connections that idle: the next request of each class on one."""

    def workers(self):
        """Two that note what they executed; on a forgotten connection they execute nothing."""
        self.executed, self.socks, self.forgotten, self.how = [], [], [], ""

        def play(worker, sock, parts):
            if parts[0] != b"invoke":
                return False
            if sock in self.forgotten:
                if self.how == "reset":
                    reset(sock)
                return True
            self.executed.append(parts[1])
            self.socks.append(sock)
            return False

        return [self.close_on_cleanup(rig.Worker(play)).address for _ in range(2)]

    def idle_connection(self):
        """A client, and the front end with one connection to a worker that idles."""
        self.front_end(*self.workers())
        client = self.client()
        client.send(request(1))
        self.assertEqual(self.final_answer(client, 500), (1, "answer", b"did x"))
        self.settle()
        return client

    def check(self, client, name, word, within, settle=True):
        """The next request of that class: its one final answer, and no second execution unless that is safe."""
        client.send(request(2, name, d=str(within)))
        number, answered, _ = self.final_answer(client, within + 50, settle)
        self.assertEqual((number, answered in word), (2, True), answered)
        self.assert_no_more_answers(client)
        executed = self.executed.count(b"%016x" % 2)
        self.assertLessEqual(executed, 1)
        self.assertEqual(executed, answered == "answer")
        self.assertEqual(self.logged_errors(), [])

    def test_ended_before_the_next_request(self):
        """Nothing of it went there: it is served, whatever its class."""
        for how in ("closed", "reset"):
            for name in REQUEST_CLASSES:
                with self.subTest(how=how, name=name):
                    client = self.idle_connection()
                    conn = next(
                        c
                        for upstream in self.service.coordinator.workers.clients.values()
                        for c in upstream.connections
                    )
                    end(self.socks[-1], how)
                    wait_for(self, lambda conn=conn: not conn.alive())
                    self.check(client, name, ("answer",), 1500)
                    self.close_front_end()

    def test_ended_between_the_last_look_and_the_first_byte(self):
        """It may have run, as far as the front end can tell: only what is safe to repeat is sent again."""
        for how in ("closed", "reset"):
            for name in REQUEST_CLASSES:
                with self.subTest(how=how, name=name):
                    client, alive, ended = self.idle_connection(), worker_connection.WorkerConnection.alive, []

                    def look(conn, how=how, alive=alive, ended=ended):
                        stands = alive(conn)
                        if stands and not ended:
                            ended.append(conn)
                            end(self.socks[-1], how)
                            wait_for(self, lambda: not alive(conn))
                        return stands

                    with patch.object(worker_connection.WorkerConnection, "alive", look):
                        client.send(request(2, name))
                        number, answered, _ = self.final_answer(client, 1550)
                    self.assertEqual((number, len(ended)), (2, 1))
                    self.assertIn(answered, ("answer",) if name == "look" else ("answer", "fault"))
                    self.assert_no_more_answers(client)
                    self.assertEqual(self.executed.count(b"%016x" % 2), answered == "answer")
                    self.close_front_end()

    def test_forgotten(self):
        """The connection's state is gone at the worker's side: the next bytes meet a reset, or silence. An idempotent
        request may be refused at its end; one that may have had its effect may not."""
        for how, name, word in (
            ("reset", "look", ("answer",)),
            ("reset", "pay", ("fault",)),
            ("reset", "book", ("answer", "fault")),
            ("silence", "look", ("answer", "fault", "shed")),
            ("silence", "pay", ("fault",)),
            ("silence", "book", ("answer", "fault", "shed")),  # its key is known everywhere: trying again is harmless
            ("reset", "rent", ("answer", "fault")),
            ("silence", "rent", ("answer", "fault")),
        ):
            with self.subTest(how=how, name=name):
                client = self.idle_connection()
                self.how = how
                self.forgotten += self.socks
                self.check(client, name, word, 600, settle=how == "reset")
                self.close_front_end()

    def test_all_of_many_idle_connections_at_once(self):
        """Eight connections idle and all are reset as eight requests come: each its answer, none executed twice."""
        self.front_end(*self.workers())
        clients = [self.client() for _ in range(8)]
        for at, client in enumerate(clients):
            client.send(request(1, ident=f"{100 + at:016x}"))
        for client in clients:
            self.assertEqual(self.final_answer(client, 1500)[1], "answer")
        self.settle()
        conns = [
            conn for upstream in self.service.coordinator.workers.clients.values() for conn in upstream.connections
        ]
        for sock in set(self.socks):
            reset(sock)
        for conn in conns:
            wait_for(self, lambda conn=conn: conn.closed or not conn.alive())
        for at, client in enumerate(clients):
            client.send(request(2, "pay", ident=f"{200 + at:016x}"))
        for client in clients:
            self.assertEqual(self.final_answer(client, 1500), (2, "answer", b"did x"))
        for at in range(8):
            self.assertEqual(self.executed.count(b"%016x" % (200 + at)), 1)
        self.assertEqual(self.logged_errors(), [])


class IdleClients(SteppedClockCase):
    """Requests that cross the end of a client's connection that rests."""

    def test_an_unreadable_frame_behind_an_open_request(self):
        """The request before it is answered, then the connection ends; nothing after it reaches a worker."""
        worker = self.worker()
        self.front_end(worker.address)
        client = self.client()
        client.send(request(1, "pay", b"slow"))
        self.wait_for_commands(1)
        client.send(struct.pack(">i", -1) + request(2, "pay"))
        self.until(lambda: any(each.ending for each in self.service.client_server.clients.values()))
        self.assertEqual(self.answer(client)[1], "exception")
        client.send(request(3, "pay"))
        self.advance(100)
        self.answer_held_command()
        self.assertEqual(self.answer(client), (1, "answer", b"at last"))
        self.assertEqual(self.answer(client)[1], "closed")
        self.assertEqual(len(worker.received(b"invoke")), 1)

    def test_a_connection_that_rested_for_minutes_is_served(self):
        self.front_end(self.worker().address)
        client = self.client()
        client.send(request(1))
        self.final_answer(client, 500)
        self.advance(180000.0, 200.0, settle=True)
        client.send(request(2, "pay"))
        self.assertEqual(self.final_answer(client, 500), (2, "answer", b"did x"))

    def test_crossing_the_end_of_the_grace(self):
        """Connections that rest, each with a request sent just before the listener closes: all are answered."""
        front_end = self.front_end(self.worker().address)
        clients = [self.client() for _ in range(5)]
        for client in clients:
            client.send(rig.alive(1))
            self.answer(client)
        front_end._request_shutdown(signal.SIGTERM, None)
        self.advance(service.GRACE_PERIOD - 1, settle=True)
        shut = front_end.client_server.close_listener

        def crossing():
            if not front_end.client_server.listener_closed:
                for at, client in enumerate(clients):
                    client.send(request(2, REQUEST_CLASSES[at % 3], ident=f"{50 + at:016x}"))
            shut()

        front_end.client_server.close_listener = crossing
        self.now += 2
        front_end.run_once()
        for client in clients:
            self.assertEqual(self.final_answer(client, 1000), (2, "answer", b"did x"))
        self.until(lambda: not front_end.run_once(), "the end")


if __name__ == "__main__":
    unittest.main()
