"""Base of the tests of the platform's worker client: a client and its worker on loopback."""

from tests import platform_rig as rig
from tests.front_end_rig import LoopCase
from tests.rig import event_tuple
from wickdyke.gateway.interfaces import CommandKind
from wickdyke.platform import connection_pool, resp, worker_client, worker_command


class WorkerClientCase(LoopCase):
    """Base of tests that run a worker client's event loop in their own thread."""

    def make_client(self, respond=None, connect_timeout=5000.0, pool_capacity=20):
        """Returns a client of a new worker, which passes each command to `respond` first."""
        self.worker = rig.Worker(respond)
        self.addCleanup(self.worker.close)
        self.pool = connection_pool.ConnectionPool(pool_capacity)
        client = worker_client.WorkerClient(
            "w",
            self.worker.address,
            lambda event: self.recorded.append(event_tuple(event)),
            self.loop,
            self.pool,
            worker_client.WorkerClientSettings(connect_timeout, 10000.0, ("utilization", "in_flight")),
        )
        self.addCleanup(client.close)
        return client

    def command(self, ident=b"9b1f03aa5c7e2d41", kind=CommandKind.ATTEMPT):
        """Returns a command of that kind."""
        message = {
            CommandKind.ATTEMPT: (b"invoke", ident, b"lane=look,name=x,ttl=9", b"b"),
            CommandKind.PREWARM: (b"prewarm", ident, b"name=x,units=1"),
            CommandKind.HEALTH_CHECK: (b"gauges", ident),
        }[kind]
        return worker_command.Command(kind, None, ident, resp.command(*message))

    def outcomes(self, count=1):
        """Returns id and outcome of each command that has ended, once there are `count`."""
        self.until(lambda: len(self.recorded) >= count, "an end")
        return [(event[2].ident, event[3]) for event in self.recorded]
