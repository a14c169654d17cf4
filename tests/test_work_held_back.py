"""Commands that were decided while their worker was known to be ready, but are sent later or not at all."""

import socket
import unittest
from contextlib import suppress
from unittest.mock import patch

from tests import platform_rig as rig
from tests.acceptance_rig import SteppedClockCase, request
from tests.front_end_rig import FullListener, LoopCase
from tests.rig import event_tuple
from wickdyke.gateway.events import DiscoveryHeard, EndpointsReceived
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import connection_pool, worker_client, worker_command
from wickdyke.routing.model import Outcome
from wickdyke.routing.readiness import OUTAGE_NOTICE_DELAY

STOP_SENDING_WITHIN = rig.SETTINGS["rules"]["stop-sending-within"] / 1000  # ms


class LeaseWhileConnecting(SteppedClockCase):
    """The discovery lease expires while an attempt waits for its connection."""

    def test_the_attempt_is_not_sent_when_the_connection_is_established(self):
        """The attempt ends as unsent."""
        full = FullListener(self)
        settings = {**rig.SETTINGS, "limits": {**rig.SETTINGS["limits"], "dial-timeout": 60000000}}
        front_end = self.front_end(full.address, settings=settings)
        front_end.coordinator.post(DiscoveryHeard(self.now))
        client = self.client()
        client.send(request(1, d="4000"))
        upstream = front_end.coordinator.workers.clients["w0"]
        self.until(lambda: any(connection.pending_commands for connection in upstream.connections))
        (waiting,) = [connection for connection in upstream.connections if connection.pending_commands]
        self.now += OUTAGE_NOTICE_DELAY + STOP_SENDING_WITHIN
        for dialled in full.backlog_clients:
            dialled.close()
        full.sock.setblocking(False)

        def is_established():
            with suppress(BlockingIOError):
                full.accepted.append(full.sock.accept()[0])
            return waiting.established

        self.until(is_established, "the connection")
        in_flight = [
            command for connection in upstream.all_connections() for command in connection.open_commands.values()
        ]
        self.assertEqual([command for command in in_flight if command.kind == CommandKind.ATTEMPT], [])
        self.until(lambda: front_end.coordinator.counts["attempts_unsent"], "the end of the attempt")


class SilentDiscovery(SteppedClockCase):
    """The answers of the front end where discovery is silent and no worker is known as ready."""

    def silent_worker(self):
        """A worker that answers no health check."""
        return self.close_on_cleanup(rig.Worker(lambda worker, sock, parts: parts[0] == b"gauges"))

    def test_requests_are_rejected_in_time_with_the_reason(self):
        """A request is rejected before its deadline, counted under the reason, and no attempt is sent."""
        worker = self.silent_worker()
        front_end = self.front_end(worker.address)
        client = self.client()
        client.send(request(1))
        number, word, _ = self.final_answer(client, 1500, settle=False)
        self.assertEqual((number, word), (1, "shed"))
        self.assertEqual(front_end.coordinator.counts["rejected_discovery-lost"], 1)
        self.assertEqual(worker.received(b"invoke"), [])

    def test_a_worker_that_reports_that_it_is_not_ready_gets_no_commands(self):
        """Neither attempts nor prewarms are sent to it, also after another worker is ready."""

        def draining(worker, sock, parts):
            if parts[0] != b"gauges":
                return False
            sock.sendall(rig.bulk(parts[1], b"AILING", b"-", b""))
            return True

        not_ready = [self.close_on_cleanup(rig.Worker(draining)) for _ in range(3)]
        front_end = self.front_end(*(worker.address for worker in not_ready))
        client = self.client()
        client.send(request(1))
        self.assertEqual(self.final_answer(client, 1500)[:2], (1, "shed"))
        self.assertEqual(front_end.coordinator.counts["health_checks_not-ready"], 3)
        ready = self.worker()
        front_end.coordinator.post(EndpointsReceived([rig.event(2, rig.instance("w9", ready.address))]))
        for number in range(2, 9):
            client.send(request(number))
            self.assertEqual(self.final_answer(client, 1500), (number, "answer", b"did x"))
        self.assertEqual(
            [worker.received(b"invoke") + worker.received(b"prewarm") for worker in not_ready], [[], [], []]
        )
        self.assertEqual(self.logged_errors(), [])


class ProcessesBehindConnections(LoopCase):
    """What the connections to a worker tell about its process: whether it may have been replaced by a new one."""

    def client(self, play=None):
        """Starts a scripted worker and returns a client of it."""
        self.worker = rig.Worker(play)
        self.addCleanup(self.worker.close)
        client = worker_client.WorkerClient(
            "w",
            self.worker.address,
            lambda event: self.recorded.append(event_tuple(event)),
            self.loop,
            connection_pool.ConnectionPool(20),
            worker_client.WorkerClientSettings(5000.0, 10000.0, ()),
        )
        self.addCleanup(client.close)
        return client

    def check(self, client, number):
        """Sends a health check and returns its result."""
        events_before = len(self.recorded)
        tag = b"t%d" % number
        command = worker_command.Command(CommandKind.HEALTH_CHECK, "w", tag, rig.bulk(b"gauges", tag))
        client.send(command)
        self.until(lambda: len(self.recorded) > events_before, "the result")
        return self.recorded[-1]

    def test_the_first_connection_is_no_sign_of_a_new_process(self):
        """Nothing shows a restart of the process: it counts as running since -inf."""
        client = self.client()
        self.check(client, 1)
        self.assertEqual(client.same_process_since, float("-inf"))

    def test_a_reset_of_the_only_connection_may_be_a_new_process(self):
        """Once no connection is left, the worker's process may have been replaced."""
        client = self.client()
        self.check(client, 1)
        worker_socks = list(self.worker.socks)
        for sock in worker_socks:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            sock.shutdown(socket.SHUT_RD)
            sock.close()
        self.until(lambda: client.shared_connection is None, "the end")
        self.check(client, 2)
        self.assertGreater(client.same_process_since, 0.0)

    def test_a_reset_beside_another_connection_is_no_sign_of_a_new_process(self):
        """Another connection that stays open shows that the worker's process is still the same."""
        client = self.client()
        attempt = worker_command.Command(CommandKind.ATTEMPT, "a", b"a", rig.bulk(b"invoke", b"a", b"-", b"x"))
        client.send(attempt)
        self.until(lambda: self.recorded, "the answer")
        self.check(client, 1)  # on the connection that the attempt used before
        attempt = worker_command.Command(CommandKind.ATTEMPT, "b", b"b", rig.bulk(b"invoke", b"b", b"-", b"x"))
        client.send(attempt)
        self.until(lambda: len(self.recorded) == 3, "the answer")
        self.assertEqual(len(self.worker.socks), 2)
        self.worker.socks[1].shutdown(socket.SHUT_RDWR)
        self.until(lambda: not client.connections, "the end")
        self.check(client, 2)
        self.assertEqual(client.same_process_since, float("-inf"))

    def test_a_health_check_takes_an_idle_connection(self):
        """No second connection is opened for a health check while one is idle."""
        client = self.client()
        attempt = worker_command.Command(CommandKind.ATTEMPT, "a", b"a", rig.bulk(b"invoke", b"a", b"-", b"x"))
        client.send(attempt)
        self.until(lambda: self.recorded, "the answer")
        self.check(client, 1)
        self.assertEqual(len(self.worker.socks), 1)

    def test_a_command_that_may_not_begin_is_not_sent(self):
        """The command ends as unsent."""
        client = self.client()
        command = worker_command.Command(CommandKind.PREWARM, "p", b"p", rig.bulk(b"prewarm", b"p", b"name=x,units=1"))
        command.may_begin = lambda now: False
        client.send(command)
        self.until(lambda: self.recorded, "the end")
        self.assertEqual(self.worker.received(b"prewarm"), [])
        self.assertEqual(self.recorded[-1][3], Outcome.UNSENT)

    def test_a_command_that_may_not_begin_once_connected_is_not_sent(self):
        """The command is allowed when it is queued, and no longer when its connection is established."""
        client = self.client()
        may_begin = [True]
        command = worker_command.Command(CommandKind.PREWARM, "p", b"p", rig.bulk(b"prewarm", b"p", b"name=x,units=1"))
        command.may_begin = lambda now: may_begin[0]
        client.send(command)
        self.assertEqual(self.recorded, [])
        may_begin[0] = False
        with patch.object(client, "finish", side_effect=client.finish) as finished:
            self.until(lambda: self.recorded, "the end")
        self.assertEqual(finished.call_args.args[1], Outcome.UNSENT)
        self.assertEqual(self.worker.received(b"prewarm"), [])


if __name__ == "__main__":
    unittest.main()
