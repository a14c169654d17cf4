"""A front end that is stopped for a while, as by SIGSTOP: its clock advances, and data that its peers send waits."""

import socket

from tests.acceptance_rig import STEP, SteppedClockCase
from tests.test_deadlines import time_left_sent

STOP_DURATION = 1200.0  # ms


class StoppedCase(SteppedClockCase):
    """Base of tests in which a front end does not run while its clock advances."""

    def start_front_end(self, *workers, **config_fields):
        """Starts a front end with these workers and a current endpoint list, and runs its first iterations."""
        self.stopped = False
        self.front_end(*(worker.address for worker in workers), **config_fields)
        self.discovery_heard()
        self.iterate()

    def iterate(self, count=3):
        """Runs iterations, in which no time passes."""
        for _ in range(count):
            self.service.run_once()

    def connect_clients(self, count=1):
        """Returns clients whose connections wait in the listener's backlog."""
        clients = [self.client() for _ in range(count)]
        for client in clients:
            client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return clients

    def advance_until(self, condition, description):
        """Runs iterations, each STEP ms apart, until `condition()` is true; fails after 1000."""
        for _ in range(1000):
            if condition():
                return
            self.advance(STEP)
            self.settle()
        self.fail(f"timed out waiting for {description}")

    def stop_process(self, duration=STOP_DURATION):
        """Advances the clock by `duration` (ms) without an iteration."""
        self.now += duration
        self.stopped = True

    def time_left_values(self, worker, count):
        """Waits for `count` attempts; returns the time left (ms) that the worker was sent with each."""
        self.advance_until(lambda: len(worker.received(b"invoke")) >= count, "the attempts")
        return [time_left_sent(parts) for parts in worker.received(b"invoke")]

    def assert_not_sent(self, worker):
        """Fails if the worker receives an attempt within 30 iterations."""
        self.iterate(30)
        self.assertEqual(worker.received(b"invoke"), [])
