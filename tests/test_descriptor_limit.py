"""A front end with few descriptors, which idle clients try to use up."""

import contextlib
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from tests.front_end_rig import UNREACHABLE_ADDRESS, A, wait_for
from wickdyke.platform import configuration, service


class Descriptors(unittest.TestCase):
    """The program with few descriptors, which idle clients try to take."""

    def test_clients_that_idle_while_the_list_is_away(self):
        with tempfile.TemporaryDirectory() as folder:
            path, listen = os.path.join(folder, "config.json"), rig.free_address()
            first, one, two = rig.Bus(), rig.Worker(), rig.Worker()
            for made in (one, two):
                self.addCleanup(made.close)
            given = rig.config(listen, first.address, rig.instance("w0", one.address))
            given["limits"]["sockets"] = 64
            with open(path, "w") as out:
                json.dump(given, out)
            ran = subprocess.Popen(
                [sys.executable, "-m", "wickdyke.platform"],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "GW_CONFIG": path, "GW_LISTEN": listen},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)),
            )
            self.addCleanup(ran.stderr.close)
            self.addCleanup(ran.wait)
            self.addCleanup(ran.kill)
            lines = []
            threading.Thread(target=lambda: [lines.append(line) for line in ran.stderr], daemon=True).start()
            wait_for(self, lambda: any("event=serving" in line for line in lines))
            port = int(first.address.rpartition(":")[2])
            wait_for(self, lambda: first.readers)
            first.listener.shutdown(socket.SHUT_RDWR)
            first.close()
            clients = []
            for _ in range(90):
                client = rig.Client(listen)
                self.addCleanup(client.close)
                client.send(rig.alive(1))
                self.assertEqual(client.answer()[1], "good")
                clients.append(client)
            back_again = rig.Bus.__new__(rig.Bus)
            back_again.offsets, back_again.readers = [], []
            make = socket.create_server
            with patch.object(rig.socket, "create_server", lambda at: make(("127.0.0.1", port))):
                rig.Listener.__init__(back_again)
            self.addCleanup(back_again.close)
            wait_for(self, lambda: back_again.offsets)

            def send_events():  # again and again: without a pulse the stream is left, and asked for anew
                with contextlib.suppress(OSError):
                    back_again.event(
                        rig.event(
                            2, rig.instance("w0", one.address, lifecycle="DELETED"), rig.instance("w9", two.address)
                        )
                    )
                return any("worker=w9" in line for line in lines)

            wait_for(self, send_events)
            self.assertFalse([line for line in lines if "fault" in line])
            clients[-1].send(rig.dispatch(2, rig.fields(A), b"a"))
            self.assertEqual(clients[-1].answer(), (2, "answer", b"did a"))
            self.assertEqual(len(two.received(b"invoke")), 1)

    def test_dealt_out_whole(self):
        """(limit): clients, workers and what is kept back are never more than the process may have."""
        for limit in (64, 256, 544, 1024):
            with self.subTest(limit), tempfile.TemporaryDirectory() as folder:
                path = os.path.join(folder, "config.json")
                given = rig.config(rig.free_address(), UNREACHABLE_ADDRESS)
                given["limits"]["sockets"] = limit
                with open(path, "w") as out:
                    json.dump(given, out)
                made = service.Service(configuration.read(path), path, Mock())
                self.addCleanup(made.loop.close)
                most, used = (
                    made.client_server.connection_limit + made.protocol.pool.capacity,
                    service.open_descriptors(limit),
                )
                self.assertLessEqual(
                    most + used + service.RESERVED_DESCRIPTORS - 1, limit
                )  # the loop's own was made in between
                self.assertGreater(most, limit / 2)
                self.assertLessEqual(made.client_server.connection_limit, made.protocol.pool.capacity)


if __name__ == "__main__":
    unittest.main()
