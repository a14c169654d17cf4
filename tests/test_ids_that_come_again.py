"""Ids of requests that come again after their requests have ended."""

import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import SteppedClockCase, request, settings
from wickdyke.platform.ended_request_ids import EndedRequestIds
from wickdyke.platform.memory_budget import ENDED_ID_BYTES, MemoryBudget


class IdsThatComeAgain(SteppedClockCase):
    """A request whose client has left, and another one under its id."""

    def leave(self, client, how):
        """The client cancels its request, or closes its connection."""
        if how == "cancel":
            client.send(rig.cancel(2, 1))
        else:
            client.close()
        self.until(lambda: self.service.coordinator.counts["clients_gone"], "its leaving")

    def test_an_id_that_may_have_run(self):
        """Guards against an id that runs twice as it comes again after its client has left."""
        for name in ("pay", "book", "rent"):
            for how in ("cancel", "close"):
                for cancelling in (True, False):
                    with self.subTest(name=name, how=how, cancelling=cancelling):
                        worker = self.worker()
                        self.front_end(worker.address, settings=settings({"cancelling": cancelling}))
                        self.discovery_heard()
                        first = self.client()
                        first.send(request(1, name, b"slow", "a" * 16))
                        self.wait_for_commands(len(self.held_commands) + 1)
                        self.leave(first, how)
                        second = self.client()
                        second.send(request(1, name, b"y", "a" * 16))
                        self.assertEqual(self.answer(second)[:2], (1, "exception"))
                        self.assertEqual(len(worker.received(b"invoke")), 1)
                        self.close_front_end()

    def test_an_id_that_may_have_run_and_was_answered(self):
        """An answer, whatever it says, does not free the id of a request that may have run."""
        for word in (b"ACK", b"EIO"):
            with self.subTest(word):
                worker = self.worker()
                self.front_end(worker.address)
                self.discovery_heard()
                client = self.client()
                client.send(request(1, "pay", b"slow", "a" * 16))
                self.wait_for_commands(1)
                sock, parts = self.held_commands.pop()
                sock.sendall(rig.bulk(parts[1], word, b"-", b""))
                self.assertIn(self.answer(client)[1], ("answer", "fault"))
                client.send(request(2, "pay", b"y", "a" * 16))
                self.assertEqual(self.answer(client)[:2], (2, "exception"))
                self.assertEqual(len(worker.received(b"invoke")), 1)
                self.close_front_end()

    def test_an_id_is_free_once_its_time_is_over(self):
        worker = self.worker()
        self.front_end(worker.address)
        self.discovery_heard()
        first = self.client()
        first.send(request(1, "pay", b"slow", "a" * 16, d="1500"))
        self.wait_for_commands(1)
        self.leave(first, "close")
        self.advance(1600.0, 50.0)
        second = self.client()
        second.send(request(1, "pay", b"y", "a" * 16))
        self.assertEqual(self.answer(second)[:2], (1, "answer"))

    def test_an_id_that_never_ran_is_free_at_once(self):
        """What no worker was sent, or said that it never ran, may come again; so may what has no effect."""
        for name, word in (("pay", b"AGAIN"), ("pay", None), ("look", b"slow")):
            with self.subTest(name=name, word=word):
                worker = self.worker()
                self.front_end(*([worker.address] if word else []))
                self.discovery_heard()
                client = self.client()
                client.send(request(1, name, b"slow", "a" * 16, d="400"))
                if word == b"AGAIN":
                    worker.handle = lambda worker, sock, parts: (
                        parts[0] == b"invoke"
                        and parts[3] == b"slow"
                        and (sock.sendall(rig.bulk(parts[1], b"AGAIN", b"-", b"")), True)[1]
                    )
                if word == b"slow":
                    self.wait_for_commands(1)
                    self.held_commands.clear()
                    client.send(rig.cancel(2, 1))
                    self.until(lambda: self.service.coordinator.counts["clients_gone"])
                else:
                    self.assertEqual(self.final_answer(client, 500.0)[1], "shed")
                client.send(request(3, name, b"y", "a" * 16))
                self.assertEqual(self.final_answer(client, 2000.0)[:2], (3, "answer" if word else "shed"))
                self.close_front_end()


class EndedIds(unittest.TestCase):
    """The record of ids that may have run."""

    def test_ids_are_counted_until_their_time_is_over(self):
        """Guards against ids that take memory without bound, or stay counted for good."""
        budget = MemoryBudget(100000)
        ids = EndedRequestIds(budget)
        for until, ident in ((300.0, b"c"), (100.0, b"a"), (200.0, b"b"), (100.0, b"a")):
            ids.remember(ident, until, 0.0)
        self.assertEqual(budget.requests, 3 * ENDED_ID_BYTES)
        self.assertEqual([ids.is_known(ident, 100.0) for ident in (b"a", b"b", b"c")], [False, True, True])
        ids.remember(b"d", 150.0, 200.0)
        self.assertEqual(budget.requests, ENDED_ID_BYTES)
        self.assertFalse(ids.is_known(b"c", 300.0))
        self.assertEqual(budget.requests, 0)


if __name__ == "__main__":
    unittest.main()
