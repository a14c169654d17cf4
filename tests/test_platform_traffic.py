"""The router's state of load reports, prewarms and attempts matches the traffic of a front end on loopback."""

import json
import os
import tempfile
import time
import unittest
from unittest.mock import Mock

from tests import platform_rig as rig
from wickdyke.platform import configuration
from wickdyke.platform.service import Service


class TrafficTest(unittest.TestCase):
    """Compares the router's state of a worker with the messages on the sockets of a front end."""

    def test_attempts_reports_and_prewarms_match_the_traffic(self):
        unanswered = []

        def hold_attempts(worker, sock, parts):
            if parts[0] == b"invoke":
                unanswered.append((sock, parts[1]))
            return parts[0] == b"invoke"

        worker, bus = rig.Worker(hold_attempts), rig.Bus()
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
        self.addCleanup(lambda: [each.close() for each in list(serving.coordinator.workers.clients.values())])
        serving.open()
        self.addCleanup(serving.client_server.close_listener)
        worker_state = serving.coordinator.router.workers["w0"]

        def until(condition):
            deadline = time.monotonic() + rig.TIMEOUT
            while not condition():
                self.assertLess(time.monotonic(), deadline)
                serving.run_once()

        client = rig.Client(":".join(map(str, serving.configuration.listen)))
        self.addCleanup(client.close)
        client.send(b"".join(rig.dispatch(n, rig.fields(f"{n:016x}", d="60000")) for n in (1, 2, 3)))
        until(lambda: len(unanswered) == 3)
        self.assertEqual(len(worker_state.in_flight), 3)
        for answer, results in ((b"ACK", [True]), (b"EIO", [True, False])):
            sock, ident = unanswered.pop(0)
            sock.sendall(rig.bulk(ident, answer, b"why=w,ahead=2", b""))
            until(lambda results=results: [success for _, success in worker_state.recent_results] == results)
        # the failed idempotent request is retried: the router counts as many attempts as the worker holds
        until(lambda: len(unanswered) == len(worker_state.in_flight))
        until(lambda: worker_state.load_reports)
        report = worker_state.load_reports[-1]
        self.assertEqual((report.utilization, report.in_flight), (0.25, 2.0))
        until(lambda: worker.received(b"prewarm"))
        (replica,) = serving.coordinator.router.functions["7f3a9c21e0b4d655"].replicas
        until(lambda: replica.prewarm_sent_at is None)
        self.assertEqual(replica.loaded_replicas, 1)
        client.close()
        until(lambda: not worker_state.in_flight and not serving.coordinator.requests.by_id)
        self.assertEqual(serving.client_server.open_requests, {})
        self.assertEqual(
            sum(conn.commands_in_flight for conn in serving.coordinator.workers.clients["w0"].connections), 0
        )


if __name__ == "__main__":
    unittest.main()
