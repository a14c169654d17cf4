"""A front end stepped by the test, at times that the test sets."""

import json
import os
import select
import signal
import tempfile
import unittest
from unittest.mock import Mock, patch

import wickdyke.platform.service as service
from tests import platform_rig as rig
from wickdyke.gateway import context
from wickdyke.platform import (
    client_connection,
    client_server,
    configuration,
    discovery,
    reachability,
    worker_client,
    worker_command,
    worker_connection,
    worker_protocol,
)
from wickdyke.transport import event_loop

NOWHERE = "127.0.0.1:1"


class TimedFrontEndCase(unittest.TestCase):
    """A front end stepped by the test, at times that the test sets; workers are real and hold back what is `slow`."""

    def setUp(self):
        self.now = event_loop.clock()
        self.addCleanup(patch.stopall)
        for module in (
            event_loop,
            context,
            client_connection,
            client_server,
            reachability,
            worker_client,
            worker_command,
            worker_connection,
            worker_protocol,
            discovery,
            service,
        ):
            patch.object(module, "clock", lambda: self.now).start()
        patch.object(service, "MAX_WAIT", 5.0).start()
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path, self.listen, self.held = os.path.join(made.name, "config.json"), rig.free_address(), []
        self.over = False

    def made(self, thing):
        self.addCleanup(thing.close)
        return thing

    def worker(self):
        return self.made(
            rig.Worker(
                lambda worker, sock, parts: parts[0] == b"invoke"
                and parts[3] == b"slow"
                and (self.held.append((sock, parts)), True)[1]
            )
        )

    def front_end(self, *workers, opened=True, **more):
        instances = (rig.instance(f"w{number}", worker.address) for number, worker in enumerate(workers))
        with open(self.path, "w") as out:
            json.dump(rig.config(self.listen, NOWHERE, *instances, **more), out)
        self.log = Mock()
        self.serving = service.Service(configuration.read(self.path), self.path, self.log)
        self.addCleanup(self.end)
        if opened:
            self.serving.open()
        return self.serving

    def end(self):
        for client in list(self.serving.client_server.clients.values()):
            client.close()
        for upstream in list(self.serving.coordinator.workers.clients.values()):
            upstream.close()
        self.serving.discovery.close()
        self.serving.client_server.shut()
        self.serving.loop.close()

    def run_once(self):
        if not self.over:
            self.over = not self.serving.run_once()

    def until(self, done, what="it"):
        for _ in range(int(rig.LONG * 200)):
            if done():
                return
            self.run_once()
        self.fail(f"{what} did not come")

    def client(self):
        return self.made(rig.Client(self.listen))

    def idle_client(self):
        """A connection that was answered once."""
        client = self.client()
        client.send(rig.alive(1))
        self.answer(client)
        return client

    def answer(self, client):
        self.until(client.waits, "an answer")
        return client.answer()

    def send(self, client, data):
        """Sends to a connection the front end knows; returns once the bytes are there to be read."""
        port = client.sock.getsockname()[1]
        (known,) = [each for each in self.serving.client_server.clients.values() if each.sock.getpeername()[1] == port]
        client.send(data)
        self.assertTrue(select.select([known.sock], [], [], rig.LONG)[0])

    def terminate(self):
        self.serving._request_shutdown(signal.SIGTERM, None)
        self.terminated = self.now
