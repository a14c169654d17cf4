"""The load reports, prewarms and attempts of the coordinator match the traffic on loopback."""

import json
import os
import tempfile
import time
import unittest
from unittest.mock import Mock

from tests import platform_rig as rig
from wickdyke.platform import configuration
from wickdyke.platform.service import Service


class Traffic(unittest.TestCase):
    """What the module is told of load and health, beside what passed the sockets of a whole front end."""

    def test_attempts_reports_and_prewarms_match_the_traffic(self):
        held = []

        def play(worker, sock, parts):
            if parts[0] == b"invoke":
                held.append((sock, parts[1]))
            return parts[0] == b"invoke"

        worker, bus = rig.Worker(play), rig.Bus()
        self.addCleanup(worker.close)
        self.addCleanup(bus.close)
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "config.json")
            with open(path, "w") as out:
                json.dump(rig.config(rig.free_address(), bus.address, rig.instance("w0", worker.address)), out)
            serving = Service(configuration.read(path), path, Mock())
        self.addCleanup(serving.loop.close)
        self.addCleanup(lambda: [client.close() for client in list(serving.client_server.clients.values())])
        self.addCleanup(serving.discovery.close)
        self.addCleanup(lambda: [upstream.close() for upstream in list(serving.coordinator.workers.clients.values())])
        serving.open()
        self.addCleanup(serving.client_server.close_listener)
        told = serving.coordinator.router.workers["w0"]

        def until(done):
            ends = time.monotonic() + rig.LONG
            while not done():
                self.assertLess(time.monotonic(), ends)
                serving.run_once()

        client = rig.Client(":".join(map(str, serving.configuration.listen)))
        self.addCleanup(client.close)
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}", d="60000")) for n in (1, 2, 3)))
        until(lambda: len(held) == 3)
        self.assertEqual(len(told.in_flight), 3)
        for answer, results in ((b"ACK", [True]), (b"EIO", [True, False])):
            sock, ident = held.pop(0)
            sock.sendall(rig.bulk(ident, answer, b"why=w,ahead=2", b""))
            until(lambda results=results: [good for _, good in told.recent_results] == results)
        # an idempotent one that failed goes again: as many are out as the worker has
        until(lambda: len(held) == len(told.in_flight))
        until(lambda: told.load_reports)
        report = told.load_reports[-1]
        self.assertEqual((report.utilization, report.in_flight), (0.25, 2.0))
        until(lambda: worker.received(b"prewarm"))
        (place,) = serving.coordinator.router.functions["7f3a9c21e0b4d655"].replicas
        until(lambda: place.prewarm_sent_at is None)
        self.assertEqual(place.loaded, 1)
        client.close()
        until(lambda: not told.in_flight and not serving.coordinator.requests.by_id)
        self.assertEqual(serving.client_server.open_requests, {})
        self.assertEqual(
            sum(conn.commands_in_flight for conn in serving.coordinator.workers.clients["w0"].connections), 0
        )


if __name__ == "__main__":
    unittest.main()
