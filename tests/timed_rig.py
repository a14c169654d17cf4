"""A front end whose iterations the test runs, on a clock that the test sets."""

import json
import select
import signal
from unittest.mock import Mock, patch

import wickdyke.platform.service as service
from tests import platform_rig as rig
from tests.front_end_rig import FrontEndCase
from wickdyke.gateway import context
from wickdyke.platform import (
    client_connection,
    client_observer,
    client_server,
    configuration,
    discovery,
    reachability,
    worker_client,
    worker_command,
    worker_connection,
)
from wickdyke.transport import event_loop

UNREACHABLE_ADDRESS = "127.0.0.1:1"


class TimedFrontEndCase(FrontEndCase):
    """Base of tests that run a front end's iterations on a clock of their own; its sockets and workers are real."""

    def setUp(self):
        super().setUp()
        self.now = event_loop.clock()
        self.addCleanup(patch.stopall)
        for module in (
            event_loop,
            context,
            client_connection,
            client_observer,
            client_server,
            reachability,
            worker_client,
            worker_command,
            worker_connection,
            discovery,
            service,
        ):
            patch.object(module, "clock", lambda: self.now).start()
        patch.object(service, "MAX_WAIT", 5.0).start()
        self.has_ended = False

    def front_end(self, *workers, opened=True, **config_fields):
        """Creates a front end with these workers, and starts it unless `opened` is false; returns its service."""
        instances = (rig.instance(f"w{number}", worker.address) for number, worker in enumerate(workers))
        with open(self.path, "w") as out:
            json.dump(rig.config(self.listen, UNREACHABLE_ADDRESS, *instances, **config_fields), out)
        self.log = Mock()
        self.service = service.Service(configuration.read(self.path), self.path, self.log)
        self.addCleanup(self.close_front_end)
        if opened:
            self.service.open()
        return self.service

    def run_once(self):
        """Runs one iteration unless the front end has ended."""
        if not self.has_ended:
            self.has_ended = not self.service.run_once()

    def until(self, condition, description="the expected state"):
        """Runs iterations until `condition()` is true; fails after 4000."""
        for _ in range(int(rig.TIMEOUT * 200)):
            if condition():
                return
            self.run_once()
        self.fail(f"timed out waiting for {description}")

    def idle_client(self):
        """Returns a connection that is idle after one answer."""
        client = self.client()
        client.send(rig.alive(1))
        self.answer(client)
        return client

    def send(self, client, data):
        """Sends on a connection that the front end has accepted; returns once it can read the bytes."""
        port = client.sock.getsockname()[1]
        (accepted,) = [
            each for each in self.service.client_server.clients.values() if each.sock.getpeername()[1] == port
        ]
        client.send(data)
        self.assertTrue(select.select([accepted.sock], [], [], rig.TIMEOUT)[0])

    def terminate(self):
        """Requests a shutdown as SIGTERM does."""
        self.service._request_shutdown(signal.SIGTERM, None)
        self.terminated_at = self.now
