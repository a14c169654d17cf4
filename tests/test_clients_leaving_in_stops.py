"""No attempt begins for a client that leaves while the process is stopped."""

import socket
import unittest

from tests import platform_rig as rig
from tests.acceptance_rig import request, settings
from tests.front_end_rig import FullListener, reset
from tests.stopped_rig import StoppedCase

WAYS_TO_LEAVE = ("close", "reset", "cancel")


class ClientsLeavingInStops(StoppedCase):
    """Clients that close, reset or cancel while the process is stopped."""

    def leave(self, client, how):
        """Closes or resets the client's connection, or cancels its request 1."""
        if how == "close":
            client.close()
        elif how == "reset":
            reset(client.sock)
        else:
            client.send(rig.cancel(2, 1))

    def test_after_a_request_on_a_new_connection(self):
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                worker = self.worker()
                self.start_front_end(worker)
                (client,) = self.connect_clients()
                client.send(request(1, d="3000"))
                self.leave(client, how)
                self.stop_process()
                self.assert_not_sent(worker)
                self.close_front_end()

    def test_after_a_request_on_an_open_connection(self):
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                worker = self.worker()
                self.start_front_end(worker)
                (client,) = self.connect_clients()
                client.send(rig.alive(1))
                self.answer(client)
                client.send(request(2, d="3000"))
                if how == "cancel":
                    client.send(rig.cancel(3, 2))
                else:
                    self.leave(client, how)
                self.stop_process()
                self.assert_not_sent(worker)
                self.close_front_end()

    def test_after_more_data_than_one_read_takes(self):
        """Three requests of 16 KiB, followed by the end of the connection or by their cancels."""
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                worker = self.worker()
                self.start_front_end(worker)
                (client,) = self.connect_clients()
                client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 18)
                for number in range(1, 4):
                    client.send(request(number, d="3000", body=b"x" * (1 << 14)))
                for number in range(1, 4):
                    if how == "cancel":
                        client.send(rig.cancel(3 + number, number))
                if how != "cancel":
                    self.leave(client, how)
                self.stop_process()
                self.assert_not_sent(worker)
                self.close_front_end()

    def test_while_an_attempt_waits_for_its_connection(self):
        """When the process runs again, the worker's connection is established and the client has left."""
        for how in WAYS_TO_LEAVE:
            with self.subTest(how=how):
                full = FullListener(self)
                limits = {"dial-timeout": 60000000}
                self.start_front_end(full, settings=settings(limits))
                (client,) = self.connect_clients()
                client.send(request(1, d="4000"))
                upstream = self.service.coordinator.workers.clients["w0"]
                self.until(
                    lambda upstream=upstream: any(each.pending_commands for each in upstream.connections), "the attempt"
                )
                (waiting,) = [each for each in upstream.connections if each.pending_commands]
                self.leave(client, how)
                self.stop_process()
                waiting.writable()  # the worker's connection is served first, once its connect has succeeded
                self.assertTrue(waiting.established)
                attempts = [command for command in waiting.open_commands.values() if command.ident == b"%016x" % 1]
                self.assertEqual(attempts, [])
                self.close_front_end()


if __name__ == "__main__":
    unittest.main()
