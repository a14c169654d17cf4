"""No retry, hedge or attempt after a load begins for a client that has left."""

import contextlib
import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import SteppedClockCase, request, settings
from tests.front_end_rig import reset


class ClientsThatLeft(SteppedClockCase):
    """No attempt begins later than 0.1 s after the client has closed, reset or cancelled."""

    def leave(self, client, how):
        """The client closes, resets or cancels request 1."""
        if how == "cancel":
            client.send(rig.cancel(2, 1))
        elif how == "reset":
            reset(client.sock)
        else:
            client.close()

    def leave_and_wait(self, client, how):
        """The client leaves, and 0.1 s pass."""
        self.leave(client, how)
        self.until(lambda: self.service.coordinator.counts["clients_gone"], "the client's leaving")
        self.advance(100)

    def test_no_retry(self):
        for how in ("cancel", "close", "reset"):
            for cancelling in (True, False):
                for word in (b"AGAIN", b"NOENT", b"EIO"):
                    with self.subTest(how=how, cancelling=cancelling, word=word):
                        first, second = self.worker(), self.worker()
                        self.front_end(first.address, second.address, settings=settings({"cancelling": cancelling}))
                        client = self.client()
                        client.send(request(1, "look", b"slow"))
                        self.wait_for_commands(1)
                        self.leave_and_wait(client, how)
                        sock, parts = self.held_commands.pop()
                        with contextlib.suppress(OSError):  # the connection was closed with the attempt
                            sock.sendall(rig.bulk(parts[1], word, b"-", b""))
                        self.advance(1000, 20.0)
                        self.assertEqual(len(first.received(b"invoke") + second.received(b"invoke")), 1)
                        self.close_front_end()

    def test_no_hedge(self):
        for how in ("cancel", "close", "reset"):
            for cancelling in (True, False):
                with self.subTest(how=how, cancelling=cancelling):
                    first, second = self.worker(), self.worker()
                    limits = {"cancelling": cancelling, "second-copies": True}
                    self.front_end(first.address, second.address, settings=settings(limits))
                    self.enable_hedging()
                    client = self.client()
                    client.send(request(1, "look", b"slow"))
                    self.wait_for_commands(1)
                    self.leave_and_wait(client, how)
                    self.advance(1000, 20.0)
                    self.assertEqual(len(first.received(b"invoke") + second.received(b"invoke")), 1)
                    self.held_commands.clear()
                    self.close_front_end()

    def test_no_attempt_after_a_load(self):
        """A miss caused a prewarm, and the client leaves before it ends: the request is sent to no worker."""
        family = {**rig.SETTINGS["family-info"], "if-cold": "miss"}
        for how in ("cancel", "close", "reset"):
            with self.subTest(how):
                prewarms = []

                def handle(worker, sock, parts, prewarms=prewarms):
                    if parts[0] == b"invoke":
                        sock.sendall(rig.bulk(parts[1], b"NOENT", b"-", b""))
                        return True
                    return parts[0] == b"prewarm" and (prewarms.append((sock, parts)), True)[1]

                worker = self.close_on_cleanup(rig.Worker(handle))
                self.front_end(worker.address, settings=settings(**{"family-info": family}))
                client = self.client()
                client.send(request(1, "look"))
                self.until(lambda prewarms=prewarms: (self.advance(1.0), prewarms)[1], "a prewarm")
                attempt_count = len(worker.received(b"invoke"))
                self.assertFalse(client.waits())
                self.leave_and_wait(client, how)
                worker.handle = None
                for sock, parts in prewarms:
                    sock.sendall(rig.bulk(parts[1], b"ACK", b"units=1", b""))
                self.advance(1000, 20.0)
                self.settle()
                self.assertEqual(len(worker.received(b"invoke")), attempt_count)
                self.close_front_end()


if __name__ == "__main__":
    unittest.main()
