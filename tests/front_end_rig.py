"""Set-up shared by tests of the platform: a front end, or an event loop, that the test itself steps."""

import errno
import json
import os
import socket
import struct
import tempfile
import time
import unittest
from contextlib import contextmanager
from types import SimpleNamespace
from unittest.mock import Mock, patch

from tests import platform_rig as rig
from wickdyke.gateway.events import DiscoveryHeard
from wickdyke.platform import configuration, service
from wickdyke.transport import event_loop
from wickdyke.transport.event_loop import EventLoop


class LoopCase(unittest.TestCase):
    """What is stepped by a loop in the test's own thread."""

    def setUp(self):
        self.loop, self.recorded = EventLoop(), []
        self.addCleanup(self.loop.close)

    def until(self, done, what="it"):
        ends = time.monotonic() + rig.TIMEOUT
        while not done():
            self.assertLess(time.monotonic(), ends, f"{what} did not come")
            self.loop.run_once(10.0, lambda: None)


UNREACHABLE_ADDRESS = "127.0.0.1:9"
A, B, C = "a" * 16, "b" * 16, "c" * 16
ASCII_A, ASCII_B = A.encode(), B.encode()


def reset(sock):
    """Ends a connection with a reset, also where a file of it is being read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.shutdown(socket.SHUT_RD)
    sock.close()


@contextmanager
def no_descriptor(sockets=socket.socket):
    """No socket can be made by the loop's dial, as when all descriptors are in use."""

    def none(*args, **more):
        raise OSError(errno.EMFILE, "Too many open files")

    with patch.object(event_loop, "socket", SimpleNamespace(**{**vars(socket), "socket": none})):
        yield


def wait_for(test, done):
    """For what another process does: looked for again and again, with a bound."""
    ends = time.monotonic() + rig.TIMEOUT
    while not done():
        test.assertLess(time.monotonic(), ends)
        time.sleep(0.01)


class FullListener:
    """A listener that takes no more connections: whoever dials it waits. `open()` takes all of them."""

    def __init__(self, test):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.first, self.taken = [], []
        for _ in range(8):
            dialled = socket.socket()
            dialled.setblocking(False)
            dialled.connect_ex(self.sock.getsockname())
            self.first.append(dialled)
        test.addCleanup(lambda: [each.close() for each in [self.sock, *self.first, *self.taken]])


class FrontEndCase(unittest.TestCase):
    """A front end stepped by the test's own thread."""

    def setUp(self):
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.path, self.listen = os.path.join(made.name, "config.json"), rig.free_address()
        self.held_commands = []

    def close_on_cleanup(self, thing):
        self.addCleanup(thing.close)
        return thing

    def worker(self):
        """A worker that holds back each answer to `slow`: (socket, command) in `held`."""
        return self.close_on_cleanup(
            rig.Worker(
                lambda worker, sock, parts: parts[0] == b"invoke"
                and parts[3] == b"slow"
                and (self.held_commands.append((sock, parts)), True)[1]
            )
        )

    def answer_held_command(self, body=b"at last"):
        sock, parts = self.held_commands.pop(0)
        sock.sendall(rig.bulk(parts[1], b"ACK", b"why=w,ahead=0", body))

    def write(self, bus, *workers, **more):
        given = rig.config(self.listen, bus, *(rig.instance(f"w{n}", at) for n, at in enumerate(workers)), **more)
        with open(self.path + ".new", "w") as out:
            json.dump(given, out)
        os.replace(self.path + ".new", self.path)

    def front_end(self, *workers, bus=UNREACHABLE_ADDRESS, **more):
        self.write(bus, *workers, **more)
        self.log = Mock()
        self.service = service.Service(configuration.read(self.path), self.path, self.log)
        self.addCleanup(self.close_front_end)
        self.service.open()
        return self.service

    def discovery_heard(self):
        """The endpoint list is complete as of now: workers need not prove ready."""
        self.service.coordinator.post(DiscoveryHeard(event_loop.clock()))

    def close_front_end(self):
        for client in list(self.service.client_server.clients.values()):
            client.close()
        for upstream in list(self.service.coordinator.workers.clients.values()):
            upstream.close()
        self.service.discovery.close()
        self.service.client_server.close_listener()
        self.service.loop.close()

    def until(self, done, what="it"):
        ends = time.monotonic() + rig.TIMEOUT
        while not done():
            self.assertLess(time.monotonic(), ends, f"{what} did not come")
            self.service.run_once()

    def client(self):
        return self.close_on_cleanup(rig.Client(self.listen))

    def answer(self, client):
        """The next answer, the front end stepped until it is there."""
        self.until(client.waits, "an answer")
        return client.answer()

    def wait_for_commands(self, many):
        self.until(lambda: len(self.held_commands) >= many, "a call-out")

    def logged_errors(self):
        return self.log.error.call_args_list + self.log.bind().error.call_args_list
