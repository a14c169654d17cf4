"""The protocol of the platform's workers: renders commands as RESP arrays."""

import sys
from collections.abc import Callable

from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import CommandKind, CommandResult, PendingRequest, PrewarmKey
from wickdyke.platform import resp
from wickdyke.platform.connection_pool import ConnectionPool
from wickdyke.platform.requests import RequestParameters
from wickdyke.platform.worker_client import WorkerClient, WorkerClientSettings
from wickdyke.platform.worker_command import Command
from wickdyke.routing.model import Attempt, Function, Outcome
from wickdyke.transport.event_loop import EventLoop


class PlatformWorkerProtocol:
    """Creates worker clients and their commands, and returns the results."""

    connects_at_once = False

    def __init__(
        self, loop: EventLoop, settings: WorkerClientSettings, pool_capacity: int, answer_capacity: int = sys.maxsize
    ) -> None:
        self.loop = loop
        self.pool = ConnectionPool(pool_capacity, answer_capacity)
        self.settings = settings
        self.last_tag = 0  # the tag of the last prewarm or health check

    def _tag(self) -> bytes:
        self.last_tag += 1
        return b"t%d" % self.last_tag

    def client_for(self, name: str, address: str, notify: Callable[[Event], None]) -> WorkerClient:
        """Returns a client for the worker at that address (HOST:PORT)."""
        return WorkerClient(name, address, notify, self.loop, self.pool, self.settings)

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, deadline: float) -> Command:
        """Returns the command of an attempt that must be answered by `deadline` (monotonic ms)."""
        # An attempt may wait for its connection, for a second one, and for space in the kernel's send buffer. If it
        # carried the time that was left when it was decided, the worker would run past the client's deadline. So the
        # time left is rendered when the first byte is sent.
        parameters: RequestParameters = pending.params  # type: ignore[assignment]  # as in all platform requests
        ident = parameters.ident
        before = f"lane={attempt.request.request_class.name},name={attempt.request.function.name},ttl="
        after = f",dedupe={parameters.idempotency_key}" if parameters.idempotency_key else ""
        return Command(
            CommandKind.ATTEMPT,
            attempt,
            ident,
            # The body is not kept here as well: it is dropped once the request has ended, when no attempt may begin.
            lambda ttl: resp.command(b"invoke", ident, f"{before}{ttl}{after}".encode(), parameters.input or b""),
            deadline,
        )

    def prewarm_command(self, key: PrewarmKey, function: Function, replicas: int) -> Command:
        """Returns the command that loads the given number of replicas of a function."""
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
        """Returns the result of a command: its parsed answer, or the outcome alone where there was no answer."""
        return answer if answer is not None else CommandResult(outcome)
