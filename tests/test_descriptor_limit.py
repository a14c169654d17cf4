"""A front end whose few descriptors idle clients try to use up."""

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


class DescriptorLimit(unittest.TestCase):
    """A process with a low limit of descriptors, and how it divides them."""

    def test_idle_clients_during_an_outage_of_discovery(self):
        with tempfile.TemporaryDirectory() as folder:
            path, listen = os.path.join(folder, "config.json"), rig.free_address()
            bus, first, second = rig.Bus(), rig.Worker(), rig.Worker()
            for worker in (first, second):
                self.addCleanup(worker.close)
            given = rig.config(listen, bus.address, rig.instance("w0", first.address))
            given["limits"]["sockets"] = 64
            with open(path, "w") as out:
                json.dump(given, out)
            process = subprocess.Popen(
                [sys.executable, "-m", "wickdyke.platform"],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "GW_CONFIG": path, "GW_LISTEN": listen},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)),
            )
            self.addCleanup(process.stderr.close)
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            lines = []
            threading.Thread(target=lambda: [lines.append(line) for line in process.stderr], daemon=True).start()
            wait_for(self, lambda: any("event=serving" in line for line in lines))
            port = int(bus.address.rpartition(":")[2])
            wait_for(self, lambda: bus.readers)
            bus.listener.shutdown(socket.SHUT_RDWR)
            bus.close()
            clients = []
            for _ in range(90):
                client = rig.Client(listen)
                self.addCleanup(client.close)
                client.send(rig.alive(1))
                self.assertEqual(client.answer()[1], "good")
                clients.append(client)
            restarted_bus = rig.Bus.__new__(rig.Bus)
            restarted_bus.offsets, restarted_bus.readers = [], []
            create_server = socket.create_server
            with patch.object(rig.socket, "create_server", lambda address: create_server(("127.0.0.1", port))):
                rig.Listener.__init__(restarted_bus)
            self.addCleanup(restarted_bus.close)
            wait_for(self, lambda: restarted_bus.offsets)

            def send_events():  # repeated, as the front end leaves a connection without heartbeats for a new one
                with contextlib.suppress(OSError):
                    restarted_bus.event(
                        rig.event(
                            2,
                            rig.instance("w0", first.address, lifecycle="DELETED"),
                            rig.instance("w9", second.address),
                        )
                    )
                return any("worker=w9" in line for line in lines)

            wait_for(self, send_events)
            self.assertFalse([line for line in lines if "fault" in line])
            clients[-1].send(rig.dispatch(2, rig.fields(A), b"a"))
            self.assertEqual(clients[-1].answer(), (2, "answer", b"did a"))
            self.assertEqual(len(second.received(b"invoke")), 1)

    def test_division_of_the_limit(self):
        """(limit): connections of clients and workers and reserved descriptors together stay within it."""
        for limit in (64, 256, 544, 1024):
            with self.subTest(limit), tempfile.TemporaryDirectory() as folder:
                path = os.path.join(folder, "config.json")
                given = rig.config(rig.free_address(), UNREACHABLE_ADDRESS)
                given["limits"]["sockets"] = limit
                with open(path, "w") as out:
                    json.dump(given, out)
                created_service = service.Service(configuration.read(path), path, Mock())
                self.addCleanup(created_service.loop.close)
                connection_count, used = (
                    created_service.client_server.connection_limit + created_service.protocol.pool.capacity,
                    service.open_descriptors(limit),
                )
                self.assertLessEqual(
                    connection_count + used + service.RESERVED_DESCRIPTORS - 1, limit
                )  # the event loop opened its own descriptor in between
                self.assertGreater(connection_count, limit / 2)
                self.assertLessEqual(
                    created_service.client_server.connection_limit, created_service.protocol.pool.capacity
                )


if __name__ == "__main__":
    unittest.main()
