"""The protocol of the platform's workers: commands as RESP arrays."""

from collections.abc import Callable

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import CommandKind, CommandResult, PendingRequest, PrewarmKey
from wickdyke.platform import resp
from wickdyke.platform.connection_pool import ConnectionPool
from wickdyke.platform.requests import Call
from wickdyke.platform.worker_client import WorkerClient, WorkerClientSettings
from wickdyke.platform.worker_command import Command
from wickdyke.routing.model import Attempt, Function, Outcome
from wickdyke.transport.event_loop import EventLoop, clock


class PlatformWorkerProtocol:
    """Makes worker clients and their commands, and reads their results."""

    connects_at_once = False

    def __init__(self, loop: EventLoop, settings: WorkerClientSettings, pool_capacity: int) -> None:
        self.loop = loop
        self.pool = ConnectionPool(pool_capacity)
        self.settings = settings
        self.last_tag = 0  # identifies a prewarm or a health check

    def _tag(self) -> bytes:
        self.last_tag += 1
        return b"t%d" % self.last_tag

    def client_for(self, name: str, address: str, notify: Callable[[Event], None]) -> WorkerClient:
        """Returns a client of the worker at that address (HOST:PORT)."""
        return WorkerClient(name, address, notify, self.loop, self.pool, self.settings)

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, time_left: float) -> Command:
        """Returns the command of an attempt, whose answer is waited for `time_left` ms."""
        # An attempt waits for its connection, a second one, and room at the kernel. With the time that was left when
        # it was decided, a worker would work on past the deadline of the client. So the time left is rendered as its
        # first byte is sent.
        deadline = clock() + time_left
        call: Call = pending.params  # type: ignore[assignment]  # of the platform's own requests, as all it is given
        ident = call.ident
        body: bytes = call.input  # type: ignore[assignment]  # None only once the request is answered
        before = f"lane={attempt.request.request_class.name},name={attempt.request.function.name},ttl="
        after = f",dedupe={call.idempotency_key}" if call.idempotency_key else ""
        return Command(
            CommandKind.ATTEMPT,
            attempt,
            ident,
            lambda ttl: resp.command(b"invoke", ident, f"{before}{ttl}{after}".encode(), body),
            deadline,
        )

    def prewarm_command(self, key: PrewarmKey, function: Function, replicas: int) -> Command:
        """Returns the command to load so many replicas of a function."""
        tag = self._tag()
        return Command(
            CommandKind.PREWARM,
            key,
            tag,
            resp.command(b"prewarm", tag, f"name={function.name},units={replicas}".encode()),
        )

    def health_check_command(self, key: str) -> Command:
        """Returns the command that requests a load report."""
        tag = self._tag()
        return Command(CommandKind.HEALTH_CHECK, key, tag, resp.command(b"gauges", tag))

    def result_of(
        self, command: Command, outcome: Outcome, answer: CommandResult | None, data: object
    ) -> CommandResult:
        """Returns how a command ended: the answer, which the connection has read, or the outcome alone."""
        return answer if answer is not None else CommandResult(outcome)
