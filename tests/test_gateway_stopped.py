"""A JSON-RPC gateway as a process that is stopped for a while: what arrives meanwhile counts from when it arrived."""

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
SHORT_MS = 400  # is over before the process runs again
LONG_MS = 3000
SLACK_MS = 150  # by which the time passed on may exceed what is left
CLIENTS = 10


class StoppedGateway(GatewayProcessCase):
    """SIGSTOP, then SIGCONT."""

    def setUp(self):
        self.runs = {}  # what a worker was told of the time left (ms), by the call's id
        self.run_count = 0
        self.held = []  # attempts that a worker has not answered: (socket, number)
        self.holds = False
        self.lock = threading.Lock()
        folder = tempfile.TemporaryDirectory(prefix="wd-")
        self.addCleanup(folder.cleanup)
        self.process, self.path = self.serve(folder.name, self.play, self.play)
        self.assertEqual(self.final(self.client(), 0), "ok")  # the worker is connected

    def play(self, sock, number):
        """A worker that notes what it is sent and answers at once, unless attempts are held."""
        source = read_messages(sock)
        answer_hello(sock, source)
        for request in source:
            if request["method"] == "run":
                params = request["params"]
                with self.lock:
                    self.runs[params["input"]["n"]] = params["time_left_ms"]
                    self.run_count += 1
                    if self.holds:
                        self.held.append((sock, request["id"]))
                        continue
                sock.sendall(success_line(request["id"]))

    def client(self):
        client = Client(self.path)
        self.addCleanup(client.close)
        return client

    def final(self, client, ident, **more):
        """How a call ends: ok, or the reason of its rejection."""
        client.ask(ident, **more)
        return self.outcome(client)

    def outcome(self, client):
        received = client.answer()
        return received["result"]["answer"] if "result" in received else received["error"]["data"]["why"]

    def stopped(self, act):
        """Does that while the process does not run."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitpid(self.process.pid, os.WUNTRACED)
        began_at = time.monotonic()
        act()
        time.sleep(max(0.0, STOP_SECONDS - (time.monotonic() - began_at)))  # the outage itself
        self.process.send_signal(signal.SIGCONT)

    def ask_all(self, clients, time_left, **more):
        for ident, client in enumerate(clients, 1):
            client.ask(ident, time_left_ms=time_left, **more)

    def test_calls_whose_time_is_up_are_rejected(self):
        """(the connections are open, or made in the stop)"""
        for new in (False, True):
            with self.subTest(new=new):
                clients = [] if new else [self.client() for _ in range(CLIENTS)]

                def act(clients=clients):
                    clients += [self.client() for _ in range(CLIENTS - len(clients))]
                    self.ask_all(clients, SHORT_MS)

                self.stopped(act)
                self.assertEqual([self.outcome(client) for client in clients], ["no-time"] * CLIENTS)
                self.assertEqual(set(self.runs), {0})

    def test_what_is_left_is_passed_on(self):
        for new in (False, True):
            with self.subTest(new=new):
                self.runs.clear()
                clients = [] if new else [self.client() for _ in range(CLIENTS)]

                def act(clients=clients):
                    clients += [self.client() for _ in range(CLIENTS - len(clients))]
                    self.ask_all(clients, LONG_MS)

                self.stopped(act)
                self.assertEqual([self.outcome(client) for client in clients], ["ok"] * CLIENTS)
                self.assertLessEqual(max(self.runs.values()), LONG_MS - STOP_SECONDS * 1000 + SLACK_MS)

    def test_calls_after_the_stop_have_all_their_time(self):
        """On connections that were silent in it, and on those that were answered after it."""
        silent, busy = self.client(), self.client()
        self.stopped(lambda: busy.ask(1, time_left_ms=LONG_MS))
        self.assertEqual(self.outcome(busy), "ok")
        self.assertEqual(self.final(busy, 2, time_left_ms=SHORT_MS), "ok")
        self.assertEqual(self.final(silent, 3, time_left_ms=SHORT_MS), "ok")

    def test_no_retry_for_clients_that_left(self):
        """In the stop their first attempts end as full, and they close."""
        clients = [self.client() for _ in range(CLIENTS)]
        self.holds = True
        self.ask_all(clients, 2 * LONG_MS)
        self.assertTrue(until(lambda: len(self.held) == CLIENTS))
        self.holds = False
        before = self.run_count

        def act():
            for sock, number in self.held:
                sock.sendall(jsonrpc.error_response(number, worker_messages.FULL, "full", b"{}") + b"\n")
            for client in clients:
                client.sock.close()

        self.stopped(act)
        self.assertEqual(self.final(self.client(), 0), "ok")
        self.assertFalse(until(lambda: self.run_count > before + 1, 0.5))

    def test_clients_that_left(self):
        """(how) -> their calls reach no worker."""
        for how in ("close", "cancel"):
            for new in (False, True):
                with self.subTest(how=how, new=new):
                    clients = [] if new else [self.client() for _ in range(CLIENTS)]

                    def act(how=how, clients=clients):
                        clients += [self.client() for _ in range(CLIENTS - len(clients))]
                        self.ask_all(clients, LONG_MS)
                        for ident, client in enumerate(clients, 1):
                            if how == "close":
                                client.sock.close()
                            else:
                                client.send(jsonrpc.notification_line("cancel", b'{"id":%d}' % ident))

                    self.stopped(act)
                    self.assertEqual(self.final(self.client(), 0), "ok")
                    self.assertFalse(until(lambda: set(self.runs) != {0}, 0.2))


if __name__ == "__main__":
    unittest.main()
