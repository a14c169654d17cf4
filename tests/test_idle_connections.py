"""Idle connections of workers and clients: closed or reset as the next request is sent, or idle for minutes."""

import signal
import socket
import struct
import unittest
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import REQUEST_CLASSES, SteppedClockCase, request
from tests.front_end_rig import reset, wait_for
from wickdyke.platform import service, worker_connection


def end_connection(sock, how):
    """Closes or resets a worker's side of a connection."""
    if how == "reset":
        reset(sock)
    else:
        sock.shutdown(socket.SHUT_RDWR)


class IdleConnections(SteppedClockCase):
    """The next request of each class on an idle connection that a worker has closed, reset or forgotten."""

    def workers(self):
        """Starts two workers that record executions, none on a forgotten connection; returns their addresses."""
        self.executed, self.socks, self.forgotten, self.how = [], [], [], ""

        def handle(worker, sock, parts):
            if parts[0] != b"invoke":
                return False
            if sock in self.forgotten:
                if self.how == "reset":
                    reset(sock)
                return True
            self.executed.append(parts[1])
            self.socks.append(sock)
            return False

        return [self.close_on_cleanup(rig.Worker(handle)).address for _ in range(2)]

    def idle_connection(self):
        """Starts a front end, which has one idle connection to a worker; returns its client."""
        self.front_end(*self.workers())
        client = self.client()
        client.send(request(1))
        self.assertEqual(self.final_answer(client, 500), (1, "answer", b"did x"))
        self.settle()
        return client

    def check(self, client, name, words, within, settle=True):
        """Sends a request of that class: one final answer with one of `words`, and no second execution."""
        client.send(request(2, name, d=str(within)))
        number, answered, _ = self.final_answer(client, within + 50, settle)
        self.assertEqual((number, answered in words), (2, True), answered)
        self.assert_no_more_answers(client)
        executed = self.executed.count(b"%016x" % 2)
        self.assertLessEqual(executed, 1)
        self.assertEqual(executed, answered == "answer")
        self.assertEqual(self.logged_errors(), [])

    def test_ended_before_the_next_request(self):
        """Nothing of the request was sent there: it is served, whatever its class."""
        for how in ("closed", "reset"):
            for name in REQUEST_CLASSES:
                with self.subTest(how=how, name=name):
                    client = self.idle_connection()
                    conn = next(
                        c
                        for upstream in self.service.coordinator.workers.clients.values()
                        for c in upstream.connections
                    )
                    end_connection(self.socks[-1], how)
                    wait_for(self, lambda conn=conn: not conn.alive())
                    self.check(client, name, ("answer",), 1500)
                    self.close_front_end()

    def test_ended_between_the_last_check_and_the_first_byte(self):
        """The front end cannot tell whether the request ran: only one that is safe to repeat is sent again."""
        for how in ("closed", "reset"):
            for name in REQUEST_CLASSES:
                with self.subTest(how=how, name=name):
                    client, alive, ended = self.idle_connection(), worker_connection.WorkerConnection.alive, []

                    def check_then_end(conn, how=how, alive=alive, ended=ended):
                        is_alive = alive(conn)
                        if is_alive and not ended:
                            ended.append(conn)
                            end_connection(self.socks[-1], how)
                            wait_for(self, lambda: not alive(conn))
                        return is_alive

                    with patch.object(worker_connection.WorkerConnection, "alive", check_then_end):
                        client.send(request(2, name))
                        number, answered, _ = self.final_answer(client, 1550)
                    self.assertEqual((number, len(ended)), (2, 1))
                    self.assertIn(answered, ("answer",) if name == "look" else ("answer", "fault"))
                    self.assert_no_more_answers(client)
                    self.assertEqual(self.executed.count(b"%016x" % 2), answered == "answer")
                    self.close_front_end()

    def test_forgotten(self):
        """The worker has lost the connection's state: the next bytes are answered with a reset, or not at all.

        An idempotent request may be rejected in the end; one that may have had its effect may not.
        """
        for how, name, words in (
            ("reset", "look", ("answer",)),
            ("reset", "pay", ("fault",)),
            ("reset", "book", ("answer", "fault")),
            ("silence", "look", ("answer", "fault", "shed")),
            ("silence", "pay", ("fault",)),
            ("silence", "book", ("answer", "fault", "shed")),  # its key is valid in all zones: a retry is safe
            ("reset", "rent", ("answer", "fault")),
            ("silence", "rent", ("answer", "fault")),
        ):
            with self.subTest(how=how, name=name):
                client = self.idle_connection()
                self.how = how
                self.forgotten += self.socks
                self.check(client, name, words, 600, settle=how == "reset")
                self.close_front_end()

    def test_many_idle_connections_reset_at_once(self):
        """Eight idle connections are reset as eight requests arrive: each is answered, and none is executed twice."""
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
    """Requests that cross the end of a client's idle connection."""

    def test_invalid_frame_after_an_open_request(self):
        """The open request is answered, then the connection ends; no later request reaches a worker."""
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

    def test_connection_idle_for_minutes_is_served(self):
        self.front_end(self.worker().address)
        client = self.client()
        client.send(request(1))
        self.final_answer(client, 500)
        self.advance(180000.0, 200.0, settle=True)
        client.send(request(2, "pay"))
        self.assertEqual(self.final_answer(client, 500), (2, "answer", b"did x"))

    def test_requests_crossing_the_end_of_the_grace_period(self):
        """Idle connections, each with a request sent just before the listener closes: all are answered."""
        front_end = self.front_end(self.worker().address)
        clients = [self.client() for _ in range(5)]
        for client in clients:
            client.send(rig.alive(1))
            self.answer(client)
        front_end._request_shutdown(signal.SIGTERM, None)
        self.advance(service.GRACE_PERIOD - 1, settle=True)
        close_listener = front_end.client_server.close_listener

        def send_then_close():
            if not front_end.client_server.listener_closed:
                for at, client in enumerate(clients):
                    client.send(request(2, REQUEST_CLASSES[at % 3], ident=f"{50 + at:016x}"))
            close_listener()

        front_end.client_server.close_listener = send_then_close
        self.now += 2
        front_end.run_once()
        for client in clients:
            self.assertEqual(self.final_answer(client, 1000), (2, "answer", b"did x"))
        self.until(lambda: not front_end.run_once(), "the end")


if __name__ == "__main__":
    unittest.main()
