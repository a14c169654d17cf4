"""Retries and hedged requests whose attempt fails at once, and requests with very little time left."""

import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import HEDGE_STEP, REQUEST_CLASSES, SteppedClockCase, request, settings
from tests.front_end_rig import reset
from wickdyke.gateway.events import EndpointsReceived


class ImmediateFailures(SteppedClockCase):
    """Retries and hedged requests whose attempt fails as it begins."""

    def add_worker(self, address):
        """Adds a worker to the endpoint list."""
        self.service.coordinator.post(EndpointsReceived([rig.event(2, rig.instance("w9", address))]))
        self.service.run_once()

    def refused_connects(self):
        """Returns how many connects failed."""
        counts = self.service.protocol.pool.counts
        return sum(count for name, count in counts.items() if name.startswith("connect"))

    def test_retry_whose_connection_is_refused(self):
        """The first worker is full and the only other one refuses connections: one final answer."""
        for name in REQUEST_CLASSES:
            with self.subTest(name):
                worker = self.worker()
                self.front_end(worker.address)
                client = self.client()
                client.send(request(1, name, b"slow"))
                self.wait_for_commands(1)
                self.add_worker(rig.free_address())
                sock, parts = self.held_commands.pop()
                sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b""))
                number, word, _ = self.final_answer(client, 1550, settle=False)
                self.assertEqual((number, word in ("shed", "fault", "answer")), (1, True))
                self.assert_no_more_answers(client)
                self.assertEqual((self.service.coordinator.requests.by_id, self.logged_errors()), ({}, []))
                self.held_commands.clear()
                self.close_front_end()

    def test_hedge_whose_connection_is_refused(self):
        """The hedge fails at once, a second one too: the first attempt's answer is the final one."""
        self.front_end(self.worker().address, settings=settings({"second-copies": True}))
        self.enable_hedging()
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.wait_for_commands(1)
        self.add_worker(rig.free_address())
        self.advance(200)
        self.assertGreater(self.refused_connects(), 0)
        self.assertFalse(client.waits())
        self.answer_held_command()
        self.assertEqual(self.answer(client), (1, "answer", b"at last"))
        self.assert_no_more_answers(client)
        self.assertEqual((self.service.coordinator.requests.by_id, self.logged_errors()), ({}, []))

    def test_hedge_and_first_attempt_fail_in_one_iteration(self):
        """The connections of both attempts are reset in one iteration: one final answer."""
        self.front_end(self.worker().address, settings=settings({"second-copies": True}))
        self.enable_hedging()
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.wait_for_commands(1)
        self.add_worker(self.worker().address)
        self.until(lambda: (self.advance(HEDGE_STEP), len(self.held_commands) >= 2)[1], "the hedge")
        for sock, _ in self.held_commands:
            reset(sock)
        number, word, _ = self.final_answer(client, 1550, settle=False)
        self.assertEqual(number, 1)
        self.assertIn(word, ("answer", "fault", "shed"))  # a rejection is as good, as the request is idempotent
        self.assert_no_more_answers(client)
        self.assertEqual((self.service.coordinator.requests.by_id, self.logged_errors()), ({}, []))

    def test_hedge_and_first_attempt_are_answered_in_one_iteration(self):
        """The answers of both attempts are read in one iteration: the client gets one."""
        self.front_end(self.worker().address, settings=settings({"second-copies": True}))
        self.enable_hedging()
        client = self.client()
        client.send(request(1, "look", b"slow"))
        self.wait_for_commands(1)
        self.add_worker(self.worker().address)
        self.until(lambda: (self.advance(HEDGE_STEP), len(self.held_commands) >= 2)[1], "the hedge")
        self.answer_held_command(b"one")
        self.answer_held_command(b"one")
        self.assertEqual(self.answer(client), (1, "answer", b"one"))
        self.assert_no_more_answers(client)
        self.assertEqual((self.service.coordinator.requests.by_id, self.logged_errors()), ({}, []))


class ShortDeadlines(SteppedClockCase):
    """Requests with 1 to 30 ms left, which workers drop without an answer."""

    def test_one_answer_in_time_and_the_worker_counts_as_healthy(self):
        for name in REQUEST_CLASSES:
            with self.subTest(name):
                dropped = []
                worker = self.close_on_cleanup(
                    rig.Worker(
                        lambda _, sock, parts, dropped=dropped: (
                            parts[0] == b"invoke" and parts[3] == b"short" and (dropped.append(parts[1]), True)[1]
                        )
                    )
                )
                self.front_end(worker.address)
                client, rejected = self.client(), []
                client.send(request(1))
                self.assertEqual(self.final_answer(client, 500)[1], "answer")
                for time_left in range(1, 31):
                    client.send(request(time_left + 1, name, b"short", d=str(time_left)))
                    number, word, _ = self.final_answer(client, time_left + 10, settle=False, step=1.0)
                    self.assertEqual(number, time_left + 1)
                    self.assertIn(word, ("shed", "fault"))
                    if word == "shed":
                        rejected.append(b"%016x" % number)
                self.advance(1000, 20.0)
                self.assertFalse(client.waits())
                if name == "pay":
                    self.assertEqual(set(rejected) & set(dropped), set())
                for at in range(20):
                    client.send(request(100 + at, name))
                    self.assertEqual(self.final_answer(client, 500), (100 + at, "answer", b"did x"))
                self.assertEqual(self.logged_errors(), [])
                self.close_front_end()

    def test_many_requests_in_one_write(self):
        """Thirty requests of all three classes, sent in one write: one answer each, in time."""
        worker = self.close_on_cleanup(
            rig.Worker(lambda _, sock, parts: parts[0] == b"invoke" and parts[3] == b"short")
        )
        self.front_end(worker.address)
        client = self.client()
        client.send(b"".join(request(at, REQUEST_CLASSES[at % 3], b"short", d=str(at)) for at in range(1, 31)))
        answers = []
        for _ in range(50):
            self.service.run_once()
            self.now += 1
            while client.waits():
                answers.append(client.answer())
        self.assertEqual(sorted(number for number, _, _ in answers), list(range(1, 31)))
        self.assertLessEqual({word for _, word, _ in answers}, {"shed", "fault"})
        self.assert_no_more_answers(client)
        self.assertEqual((self.service.coordinator.requests.by_id, self.logged_errors()), ({}, []))


if __name__ == "__main__":
    unittest.main()
