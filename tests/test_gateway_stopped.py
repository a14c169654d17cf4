"""A JSON-RPC gateway process that is stopped by SIGSTOP for a while.

The time limit of a request that arrives meanwhile counts from its arrival, not from when the gateway reads it.
"""

import os
import signal
import tempfile
import threading
import time
import unittest

from tests.gateway_process_rig import GatewayProcessCase
from tests.rig import Client, answer_hello, read_messages, success_line, until
from wickdyke.protocol import jsonrpc, worker_messages

STOP_SECONDS = 0.7
SHORT_LIMIT_MS = 400  # a time limit that expires while the process is stopped
LONG_LIMIT_MS = 3000
SLACK_MS = 150  # by which the time limit passed to a worker may exceed the remaining time
CLIENTS = 10


class StoppedGateway(GatewayProcessCase):
    """Requests to a gateway that is stopped with SIGSTOP and continued with SIGCONT."""

    def setUp(self):
        self.received_limits = {}  # the time left (ms) that a worker received, by the request's id
        self.attempt_count = 0
        self.unanswered_attempts = []  # attempts that a worker has not answered: (socket, id)
        self.holds_answers = False
        self.lock = threading.Lock()
        folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(folder.cleanup)
        self.process, self.path = self.serve(folder.name, self.play, self.play)
        self.assertEqual(self.final(self.client(), 0), "ok")  # the worker is connected

    def play(self, sock, number):
        """A worker that records the attempts it receives, and answers at once unless `holds_answers` is set."""
        source = read_messages(sock)
        answer_hello(sock, source)
        for request in source:
            if request["method"] == "run":
                params = request["params"]
                with self.lock:
                    self.received_limits[params["input"]["n"]] = params["time_left_ms"]
                    self.attempt_count += 1
                    if self.holds_answers:
                        self.unanswered_attempts.append((sock, request["id"]))
                        continue
                sock.sendall(success_line(request["id"]))

    def client(self):
        """Returns a new client connection."""
        client = Client(self.path)
        self.addCleanup(client.close)
        return client

    def final(self, client, ident, **more):
        """Sends a request and returns its result: ok, or the reason of its rejection."""
        client.ask(ident, **more)
        return self.outcome(client)

    def outcome(self, client):
        """Returns the result of the next answer: ok, or the reason of the rejection."""
        received = client.answer()
        return received["result"]["answer"] if "result" in received else received["error"]["data"]["why"]

    def while_stopped(self, act):
        """Calls `act` while the process is stopped."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitpid(self.process.pid, os.WUNTRACED)
        began_at = time.monotonic()
        act()
        time.sleep(max(0.0, STOP_SECONDS - (time.monotonic() - began_at)))  # the rest of the outage
        self.process.send_signal(signal.SIGCONT)

    def ask_all(self, clients, time_left, **more):
        """Sends one request from each client, with ids from 1 on."""
        for ident, client in enumerate(clients, 1):
            client.ask(ident, time_left_ms=time_left, **more)

    def test_requests_whose_time_limit_has_expired_are_rejected(self):
        """(whether the connections are opened while the process is stopped, or before)"""
        for connects_while_stopped in (False, True):
            with self.subTest(connects_while_stopped=connects_while_stopped):
                clients = [] if connects_while_stopped else [self.client() for _ in range(CLIENTS)]

                def act(clients=clients):
                    clients += [self.client() for _ in range(CLIENTS - len(clients))]
                    self.ask_all(clients, SHORT_LIMIT_MS)

                self.while_stopped(act)
                self.assertEqual([self.outcome(client) for client in clients], ["no-time"] * CLIENTS)
                self.assertEqual(set(self.received_limits), {0})

    def test_the_remaining_time_is_passed_on(self):
        """(whether the connections are opened while the process is stopped) -> workers receive the remaining time."""
        for connects_while_stopped in (False, True):
            with self.subTest(connects_while_stopped=connects_while_stopped):
                self.received_limits.clear()
                clients = [] if connects_while_stopped else [self.client() for _ in range(CLIENTS)]

                def act(clients=clients):
                    clients += [self.client() for _ in range(CLIENTS - len(clients))]
                    self.ask_all(clients, LONG_LIMIT_MS)

                self.while_stopped(act)
                self.assertEqual([self.outcome(client) for client in clients], ["ok"] * CLIENTS)
                self.assertLessEqual(max(self.received_limits.values()), LONG_LIMIT_MS - STOP_SECONDS * 1000 + SLACK_MS)

    def test_requests_after_the_stop_have_their_full_time(self):
        """On connections that were silent during the stop, and on those whose request was answered after it."""
        silent, busy = self.client(), self.client()
        self.while_stopped(lambda: busy.ask(1, time_left_ms=LONG_LIMIT_MS))
        self.assertEqual(self.outcome(busy), "ok")
        self.assertEqual(self.final(busy, 2, time_left_ms=SHORT_LIMIT_MS), "ok")
        self.assertEqual(self.final(silent, 3, time_left_ms=SHORT_LIMIT_MS), "ok")

    def test_no_retry_for_clients_that_left(self):
        """During the stop the first attempts end as full and the clients close: no second attempt is made."""
        clients = [self.client() for _ in range(CLIENTS)]
        self.holds_answers = True
        self.ask_all(clients, 2 * LONG_LIMIT_MS)
        self.assertTrue(until(lambda: len(self.unanswered_attempts) == CLIENTS))
        self.holds_answers = False
        attempts_before = self.attempt_count

        def act():
            for sock, number in self.unanswered_attempts:
                sock.sendall(jsonrpc.error_response(number, worker_messages.FULL, "full", b"{}") + b"\n")
            for client in clients:
                client.sock.close()

        self.while_stopped(act)
        self.assertEqual(self.final(self.client(), 0), "ok")
        self.assertFalse(until(lambda: self.attempt_count > attempts_before + 1, 0.5))

    def test_clients_that_left(self):
        """(how clients leave, whether they connect during the stop) -> their requests reach no worker."""
        for how in ("close", "cancel"):
            for connects_while_stopped in (False, True):
                with self.subTest(how=how, connects_while_stopped=connects_while_stopped):
                    clients = [] if connects_while_stopped else [self.client() for _ in range(CLIENTS)]

                    def act(how=how, clients=clients):
                        clients += [self.client() for _ in range(CLIENTS - len(clients))]
                        self.ask_all(clients, LONG_LIMIT_MS)
                        for ident, client in enumerate(clients, 1):
                            if how == "close":
                                client.sock.close()
                            else:
                                client.send(jsonrpc.notification_line("cancel", b'{"id":%d}' % ident))

                    self.while_stopped(act)
                    self.assertEqual(self.final(self.client(), 0), "ok")
                    self.assertFalse(until(lambda: set(self.received_limits) != {0}, 0.2))


if __name__ == "__main__":
    unittest.main()
