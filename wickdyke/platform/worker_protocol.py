"""How workers of the platform are spoken to: commands as RESP arrays."""

from wickdyke.gateway.interfaces import CommandKind, CommandResult, PendingRequest, PrewarmKey
from wickdyke.platform import resp
from wickdyke.platform.connection_pool import ConnectionPool
from wickdyke.platform.worker_client import WorkerClient
from wickdyke.platform.worker_command import Command
from wickdyke.routing.model import Attempt, Function, Outcome
from wickdyke.transport.event_loop import EventLoop, clock

IDLE_PART = 0.7  # of the time after which the worker ends an idle connection, we end it


class PlatformWorkerProtocol:
    """Makes worker clients and their commands; reads their results."""

    connects_at_once = False

    def __init__(self, loop: EventLoop, config, log, most: int) -> None:
        self.loop, self.config, self.log = loop, config, log
        self.pool, self.report_fields = ConnectionPool(most), config.instance.report_fields
        self.number = 0

    def _tag(self) -> bytes:
        self.number += 1
        return b"t%d" % self.number

    def client_for(self, name: str, address: str, notify) -> WorkerClient:
        """The client of one worker."""
        return WorkerClient(
            name,
            address,
            notify,
            self.loop,
            self.pool,
            self.config.attempt_limits.connect_timeout,
            self.config.attempt_limits.idle_timeout * IDLE_PART,
            self.report_fields,
        )

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, time_left: float) -> Command:
        """An attempt, to be waited for so many ms."""
        # it waits for its connection, a second one, and room at the kernel. Told what was left when it was
        # decided, a worker would work on past the deadline of the client. So it is written as its first byte goes.
        deadline, ident, body = clock() + time_left, pending.params.ident, pending.params.input
        before = f"lane={attempt.request.request_class.name},name={attempt.request.function.name},ttl="
        after = f",dedupe={pending.params.idempotency_key}" if pending.params.idempotency_key else ""
        return Command(
            CommandKind.ATTEMPT,
            attempt,
            ident,
            lambda ttl: resp.command(b"invoke", ident, f"{before}{ttl}{after}".encode(), body),
            deadline,
        )

    def prewarm_command(self, key: PrewarmKey, function: Function, replicas: int) -> Command:
        """A prewarm of so many replicas."""
        tag = self._tag()
        return Command(
            CommandKind.PREWARM,
            key,
            tag,
            resp.command(b"prewarm", tag, f"name={function.name},units={replicas}".encode()),
        )

    def health_check_command(self, key: str) -> Command:
        """A question for a report."""
        tag = self._tag()
        return Command(CommandKind.HEALTH_CHECK, key, tag, resp.command(b"gauges", tag))

    def result_of(
        self, command: Command, outcome: Outcome, answer: CommandResult | None, data: object
    ) -> CommandResult:
        """What a worker client told of a command's end: read already where an answer came."""
        return answer if answer is not None else CommandResult(outcome)
