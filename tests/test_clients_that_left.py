"""Clients that leave before a retry, a hedged request or a load: no attempt begins after it."""

import contextlib
import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import SteppedClockCase, request, settings
from tests.front_end_rig import reset


class ClientsThatLeft(SteppedClockCase):
    """No attempt begins more than 0.1 s after the client has closed or cancelled."""

    def leave(self, client, how):
        """The client closes, resets or cancels request 1."""
        if how == "cancel":
            client.send(rig.cancel(2, 1))
        elif how == "reset":
            reset(client.sock)
        else:
            client.close()

    def gone(self, client, how):
        """It leaves, and 0.1 s pass."""
        self.leave(client, how)
        self.until(lambda: self.service.coordinator.counts["clients_gone"], "its leaving")
        self.advance(100)

    def test_a_retry(self):
        for how in ("cancel", "close", "reset"):
            for cancelling in (True, False):
                for word in (b"AGAIN", b"NOENT", b"EIO"):
                    with self.subTest(how=how, cancelling=cancelling, word=word):
                        one, two = self.worker(), self.worker()
                        self.front_end(one.address, two.address, settings=settings({"cancelling": cancelling}))
                        client = self.client()
                        client.send(request(1, "look", b"slow"))
                        self.wait_for_commands(1)
                        self.gone(client, how)
                        sock, parts = self.held_commands.pop()
                        with contextlib.suppress(OSError):  # ended with the attempt
                            sock.sendall(rig.bulk(parts[1], word, b"-", b""))
                        self.advance(1000, 20.0)
                        self.assertEqual(len(one.received(b"invoke") + two.received(b"invoke")), 1)
                        self.close_front_end()

    def test_a_hedged_request(self):
        for how in ("cancel", "close", "reset"):
            for cancelling in (True, False):
                with self.subTest(how=how, cancelling=cancelling):
                    one, two = self.worker(), self.worker()
                    limits = {"cancelling": cancelling, "second-copies": True}
                    self.front_end(one.address, two.address, settings=settings(limits))
                    self.enable_hedging()
                    client = self.client()
                    client.send(request(1, "look", b"slow"))
                    self.wait_for_commands(1)
                    self.gone(client, how)
                    self.advance(1000, 20.0)
                    self.assertEqual(len(one.received(b"invoke") + two.received(b"invoke")), 1)
                    self.held_commands.clear()
                    self.close_front_end()

    def test_what_waits_for_a_load(self):
        """A miss led to an order to load, and the client leaves before it ends: the request goes nowhere."""
        family = {**rig.SETTINGS["family-info"], "if-cold": "miss"}
        for how in ("cancel", "close", "reset"):
            with self.subTest(how):
                orders = []

                def play(worker, sock, parts, orders=orders):
                    if parts[0] == b"invoke":
                        sock.sendall(rig.bulk(parts[1], b"NOENT", b"-", b""))
                        return True
                    return parts[0] == b"prewarm" and (orders.append((sock, parts)), True)[1]

                worker = self.close_on_cleanup(rig.Worker(play))
                self.front_end(worker.address, settings=settings(**{"family-info": family}))
                client = self.client()
                client.send(request(1, "look"))
                self.until(lambda orders=orders: (self.advance(1.0), orders)[1], "an order to load")
                many = len(worker.received(b"invoke"))
                self.assertFalse(client.waits())
                self.gone(client, how)
                worker.handle = None
                for sock, parts in orders:
                    sock.sendall(rig.bulk(parts[1], b"ACK", b"units=1", b""))
                self.advance(1000, 20.0)
                self.settle()
                self.assertEqual(len(worker.received(b"invoke")), many)
                self.close_front_end()


if __name__ == "__main__":
    unittest.main()
