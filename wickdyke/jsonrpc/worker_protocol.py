"""How the gateway speaks to workers in JSON-RPC: commands as messages, and their results read."""

from collections.abc import Callable
from typing import TypeVar, cast

import msgspec

from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import CommandKind, CommandResult, PendingRequest, PrewarmKey
from wickdyke.jsonrpc.worker_client import WorkerClient, WorkerClientSettings
from wickdyke.jsonrpc.worker_command import Command, clock
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import Attempt, Function, LoadNote, Outcome

NO_INPUT = b"null"
MessageT = TypeVar("MessageT")


class JsonRpcWorkerProtocol:
    """The worker protocol of one gateway."""

    connects_at_once = True  # a worker's hello reports since when it is up

    def __init__(self, config: GatewayConfig) -> None:
        self.config = config
        self.report_fields = config.instance.report_fields

    def client_for(self, name: str, address: str, notify: Callable[[Event], None]) -> WorkerClient:
        """The client of one worker."""
        settings = WorkerClientSettings(
            gateway=self.config.name,
            connect_timeout=self.config.attempt_limits.connect_timeout,
            max_line=self.config.bounds.line_bytes,
            max_unread=self.config.bounds.unread_bytes,
        )
        return WorkerClient(name, address, settings, notify)

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, time_left: float) -> Command:
        """An attempt, to be waited for so many ms."""
        # It may wait for its connection and for the kernel: the time left is written as its first byte is sent.
        deadline = clock() + time_left
        function = attempt.request.function
        params = pending.params
        run = worker_messages.RunRequest(
            attempt.request.request_class.name,
            function.name,
            msgspec.Raw(NO_INPUT if params.input is None else params.input),
            function.memory,
            function.concurrency,
            time_left,
            params.load_ms,
            params.idempotency_key,
        )

        def render(time_left_now: float) -> bytes:
            run.time_left_ms = time_left_now
            return jsonrpc.encode(run)

        return Command(CommandKind.ATTEMPT, attempt, "run", render, deadline)

    def prewarm_command(self, key: PrewarmKey, function: Function, replicas: int) -> Command:
        """A prewarm of so many replicas."""
        prewarm = worker_messages.PrewarmRequest(
            function.name, function.memory, function.concurrency, replicas, function.load_hint or None
        )
        return Command(CommandKind.PREWARM, key, "hold", jsonrpc.encode(prewarm))

    def health_check_command(self, key: str) -> Command:
        """A request for a load report."""
        return Command(CommandKind.HEALTH_CHECK, key, "probe", b"{}")

    def result_of(self, command: Command, outcome: Outcome, answer: bytes | None, data: bytes | None) -> CommandResult:
        """The result of a command: `answer` is the worker's result, `data` that of its error."""
        if command.kind == CommandKind.PREWARM:
            prewarmed = _decode(worker_messages.PrewarmResult, answer if answer is not None else data)
            return CommandResult(outcome, replicas=prewarmed.replicas if prewarmed else 0)
        if command.kind == CommandKind.HEALTH_CHECK:
            health = _decode(worker_messages.HealthReport, answer)
            return CommandResult(outcome, report=self._report(health.report) if health else None)
        if outcome == Outcome.OK:
            return self._succeeded(answer)
        return self._failed(outcome, data)

    def _succeeded(self, answer: bytes | None) -> CommandResult:
        result = _decode(worker_messages.RunResult, answer)
        if result is None:  # it ran, and the response is not valid
            return CommandResult(Outcome.ERROR)
        return CommandResult(
            Outcome.OK,
            output=bytes(result.output),
            load_note=cast(LoadNote | None, result.load_note),  # a word that is none is passed on as it is
            concurrent=result.concurrent,
            report=self._report(result.report),
        )

    def _failed(self, outcome: Outcome, data: bytes | None) -> CommandResult:
        error_data = _decode(worker_messages.RunErrorData, data)
        if error_data is None:
            return CommandResult(outcome)
        return CommandResult(
            outcome,
            concurrent=error_data.concurrent,
            report=self._report(error_data.report),
            requests_in_replica=error_data.requests_in_replica,
        )

    def _report(self, report: dict[str, float] | None) -> WorkerLoad | None:
        values = worker_messages.ordered_report(report, self.report_fields)
        return WorkerLoad.from_values(self.report_fields, values)


def _decode(message_type: type[MessageT], raw: bytes | None) -> MessageT | None:
    """A message of that type, or None where it is not valid."""
    if not raw:
        return None
    try:
        return msgspec.json.decode(raw, type=message_type)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
