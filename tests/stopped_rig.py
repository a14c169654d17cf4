"""A front end that does not run for a while: its clock goes on, and what others send waits."""

import socket

from tests.acceptance_rig import STEP, SteppedClockCase
from tests.test_deadlines import time_left_sent

STOP_DURATION = 1200.0  # ms


class StoppedCase(SteppedClockCase):
    """A front end that does not run while its clock goes on."""

    def start_front_end(self, *workers, **more):
        """A front end with that worker, which discovery has reported, after its first iterations."""
        self.stopped = False
        self.front_end(*(worker.address for worker in workers), **more)
        self.discovery_heard()
        self.iterate()

    def iterate(self, count=3):
        for _ in range(count):
            self.service.run_once()

    def connect_clients(self, count=1):
        """Clients whose connections wait in the backlog."""
        clients = [self.client() for _ in range(count)]
        for client in clients:
            client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return clients

    def advance_until(self, done, what):
        """Steps until it is done, while time passes."""
        for _ in range(1000):
            if done():
                return
            self.advance(STEP)
            self.settle()
        self.fail(f"{what} did not come")

    def stop_process(self, span=STOP_DURATION):
        """The process does not run for so long; all that was sent by now is there afterwards."""
        self.now += span
        self.stopped = True

    def time_left_values(self, worker, count):
        """The time that a worker was told for each of so many requests (ms)."""
        self.advance_until(lambda: len(worker.received(b"invoke")) >= count, "the attempts")
        return [time_left_sent(parts) for parts in worker.received(b"invoke")]

    def assert_not_sent(self, worker):
        self.iterate(30)
        self.assertEqual(worker.received(b"invoke"), [])
