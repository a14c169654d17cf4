"""Attempts of keyed requests that wait between their decision and their first byte."""

import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import LANES, SteppedClockCase, request, settings
from tests.front_end_rig import FullListener
from tests.helpers import FrontEnd
from tests.test_attempts import first_decision, make_policy
from tests.worker_client_rig import WorkerClientCase
from wickdyke.gateway.events import EndpointsReceived
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.jsonrpc import worker_command
from wickdyke.routing.replicas import replica_of

WINDOW = 1000.0  # ms
CONNECT_TIMEOUT = 60000.0  # ms
EARLY = 60.0  # ms before the end of the window


class RepeatsThatWaitForAConnection(SteppedClockCase):
    """A repeat is decided within the key's window, and its connection is established later."""

    def repeat_waits(self, name):
        """Lets the repeat of a request wait for a connection EARLY before the end of the window."""
        lanes = [{**lane, "window": int(WINDOW * 1000)} for lane in LANES]
        limits = {"dial-timeout": int(CONNECT_TIMEOUT * 1000)}
        first = self.worker()
        self.front_end(first.address, settings=settings(limits, lanes=lanes))
        self.discovery_heard()
        client = self.client()
        client.send(request(1, name, b"slow", d="4000"))
        self.wait_for_commands(1)
        decided_at = self.now
        self.listener = FullListener(self)
        self.change_list(
            rig.instance("w0", first.address, lifecycle="DRAINING"), rig.instance("w9", self.listener.address)
        )
        self.now = decided_at + WINDOW - EARLY
        self.discovery_heard()
        sock, parts = self.held_commands.pop()
        sock.sendall(rig.bulk(parts[1], b"EIO", b"-", b""))
        self.until(self.waiting_connections, "the repeat")
        return client

    def change_list(self, *instances):
        """Reports entries of the endpoint list."""
        self.service.coordinator.post(EndpointsReceived([rig.event(2, *instances)]))
        self.service.run_once()

    def waiting_connections(self):
        """Returns the connections to the second worker on which an attempt waits."""
        client = self.service.coordinator.workers.clients.get("w9")
        return [
            connection
            for connection in (client.connections if client else ())
            if any(command.kind == CommandKind.ATTEMPT for command in connection.pending_commands)
        ]

    def establish(self, connection):
        """Lets a connection to the second worker be established; returns what arrives on it."""
        sock = self.listener.accept(connection, self.until)
        sock.settimeout(0.2)  # what was sent has arrived long before
        try:
            return sock.recv(1 << 16)
        except TimeoutError:
            return b""

    def test_a_connection_established_within_the_window(self):
        """The repeat is sent, as workers still recognize the key."""
        self.repeat_waits("rent")
        (connection,) = self.waiting_connections()
        self.now += EARLY / 2
        self.assertIn(b"invoke", self.establish(connection))

    def test_a_connection_established_after_the_window(self):
        """Guards against the repeats of issue 51 that ran twice: nothing is sent, even before the timer is served."""
        self.repeat_waits("rent")
        (connection,) = self.waiting_connections()
        self.now += EARLY
        command = connection.pending_commands[0]
        self.assertFalse(command.may_begin_at(self.now))
        self.assertTrue(command.may_begin_at(self.now - 1.0))
        self.assertNotIn(b"invoke", self.establish(connection))

    def test_the_request_is_answered_when_its_repeat_may_not_begin_any_more(self):
        """It is not held until its deadline: failed where not all workers recognize the key, else rejected."""
        for name, word in (("rent", "fault"), ("book", "shed")):
            with self.subTest(name):
                client = self.repeat_waits(name)
                self.advance(EARLY - 10.0)
                self.assertFalse(client.waits())
                self.assertEqual(self.final_answer(client, 20.0, settle=False)[:2], (1, word))
                self.assertEqual(self.waiting_connections(), [])
                self.assertEqual(self.service.coordinator.counts["begin_expired"], 1)
                self.assert_no_more_answers(client)
                self.assertEqual((self.service.coordinator.requests.by_id, self.logged_errors()), ({}, []))
                self.close_front_end()


class RepeatsOnTheSameConnection(WorkerClientCase):
    """A repeat of the same id at the worker that has just answered the attempt before it."""

    def answered(self, status):
        """Returns a client whose first attempt was answered with this status, and the sockets of its attempts."""
        self.recorded.clear()
        socks = []
        client = self.make_client(lambda worker, sock, parts: parts[0] == b"invoke" and (socks.append(sock), True)[1])
        client.send(self.command())
        self.until(lambda: socks)
        self.answer(socks[0], status)
        self.outcomes()
        client.send(self.command())
        self.until(lambda: len(socks) == 2)
        return socks

    def answer(self, sock, status):
        """Sends an answer to the attempt."""
        sock.sendall(rig.bulk(self.command().ident, status, b"-", b""))

    def test_only_after_an_error(self):
        """A second answer that says that nothing ran would be wrong of a repeat that runs."""
        for status, same in ((b"EIO", True), (b"AGAIN", False), (b"NOENT", False), (b"STALE", False)):
            with self.subTest(status):
                first, second = self.answered(status)
                self.assertEqual(second is first, same)

    def test_a_second_error_that_arrives_late(self):
        """It ends the repeat as one that may have run, and the repeat's own answer is dropped."""
        sock, _ = self.answered(b"EIO")
        self.answer(sock, b"EIO")
        self.assertEqual([outcome for _, outcome in self.outcomes(2)], ["error", "error"])
        self.answer(sock, b"ACK")
        self.until(lambda: self.pool.counts["strays"])
        self.assertEqual(len(self.recorded), 2)


class LatestBeginning(unittest.TestCase):
    """The time before which an attempt must begin, as the router decides it."""

    def begins_before(self, effect, outcomes, policy=None):
        """Returns that time of the last attempt after these outcomes, 100 ms each, from the time of the first."""
        front_end = FrontEnd(effect=effect, hedging=True)  # a window of 2 s
        decided_at = front_end.clock
        request = first_decision(front_end.submit(policy=policy)).request
        for outcome in outcomes:
            front_end.clock += 100.0
            front_end.finish_attempt(request, outcome)
        self.assertEqual(len(request.attempts), len(outcomes) + 1)
        return request.attempts[-1].begin_before - decided_at

    def test_it_counts_from_the_first_attempt_that_may_have_run(self):
        """(effect, outcomes of earlier attempts) -> the time of the latest beginning, after the first decision."""
        never = float("inf")
        for effect, outcomes, expected in (
            ("idempotent", ("error",), never),
            ("side-effecting", ("full",), never),
            ("tokened", (), never),
            ("tokened", ("full",), never),
            ("tokened", ("error",), 2000.0),
            ("tokened", ("error", "error"), 2000.0),
            ("tokened", ("unsent", "error"), 2100.0),
            ("tokened", ("error", "unsent"), 2000.0),
        ):
            with self.subTest(effect=effect, outcomes=outcomes):
                self.assertEqual(self.begins_before(effect, outcomes), expected)

    def test_the_first_attempt_of_a_request_that_may_be_hedged(self):
        """A hedge may be sent while the first attempt waits, which then counts from the hedge."""
        policy = make_policy(hedge=(20.0, 2, 1.0))
        self.assertEqual(self.begins_before("tokened", (), policy), 2000.0)
        self.assertEqual(self.begins_before("idempotent", (), policy), float("inf"))


class WorkerOfARepeat(unittest.TestCase):
    """Which worker a repeat goes to, of those that may recognize its key."""

    def test_little_time_for_a_new_connection(self):
        """Near the end of the window a repeat prefers a worker that answered lately, which has a connection."""
        for effect, elapsed, same_worker in (
            ("tokened", 500.0, False),
            ("tokened", 1900.0, True),  # 100 ms are left, and a connect may take 250 ms
            ("idempotent", 1900.0, False),
        ):
            with self.subTest(effect=effect, elapsed=elapsed):
                front_end = FrontEnd(workers=2, effect=effect)
                request = first_decision(front_end.submit()).request
                front_end.clock += elapsed
                tried = request.attempts[0].replica.worker
                (untried,) = (worker for worker in front_end.ready_workers if worker is not tried)
                other = replica_of(request.function, untried)
                other.loaded_replicas = 1
                other.last_used = front_end.clock
                front_end.finish_attempt(request, "error")
                first, second = (attempt.replica.worker for attempt in request.attempts)
                self.assertEqual(second is first, same_worker)


class JsonRpcCommands(unittest.TestCase):
    """A command of the JSON-RPC gateway that waited for its connection."""

    def test_it_is_not_rendered_when_it_may_not_begin_any_more(self):
        """The worker client ends such a command as unsent."""
        command = worker_command.Command(CommandKind.ATTEMPT, None, "run", b"{}")
        self.assertIsNotNone(command.line())
        command.begin_before = worker_command.clock()
        self.assertIsNone(command.line())


if __name__ == "__main__":
    unittest.main()
