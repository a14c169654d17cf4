"""The JSON-RPC protocol between gateway and workers: encodes commands and decodes their results."""

from collections.abc import Callable
from typing import TypeVar, cast

import msgspec

from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import CommandKind, CommandResult, PendingRequest, PrewarmKey
from wickdyke.jsonrpc.worker_client import WorkerClient, WorkerClientSettings
from wickdyke.jsonrpc.worker_command import Command
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import Attempt, Function, LoadNote, Outcome

NO_INPUT = b"null"
MessageT = TypeVar("MessageT")


class JsonRpcWorkerProtocol:
    """The worker protocol of one gateway."""

    connects_at_once = True  # a worker's hello reports for how long it has been up

    def __init__(self, config: GatewayConfig) -> None:
        self.config = config
        self.report_fields = config.instance.report_fields

    def client_for(self, name: str, address: str, notify: Callable[[Event], None]) -> WorkerClient:
        """Returns a new client of one worker."""
        settings = WorkerClientSettings(
            gateway=self.config.name,
            connect_timeout=self.config.attempt_limits.connect_timeout,
            max_line=self.config.bounds.line_bytes,
            max_unread=self.config.bounds.unread_bytes,
        )
        return WorkerClient(name, address, settings, notify)

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, deadline: float) -> Command:
        """Returns the command of an attempt, whose result is awaited until `deadline` (monotonic ms)."""
        # The command may wait for a connection and for the kernel, so the time left is rendered when its first byte is
        # sent.
        function = attempt.request.function
        params = pending.params
        run = worker_messages.RunRequest(
            attempt.request.request_class.name,
            function.name,
            msgspec.Raw(NO_INPUT if params.input is None else params.input),
            function.memory,
            function.concurrency,
            0.0,  # the time left, set when the command is rendered
            params.load_ms,
            params.idempotency_key,
        )

        def render(time_left_now: float) -> bytes:
            run.time_left_ms = time_left_now
            return jsonrpc.encode(run)

        return Command(CommandKind.ATTEMPT, attempt, "run", render, deadline)

    def prewarm_command(self, key: PrewarmKey, function: Function, replicas: int) -> Command:
        """Returns the command that prewarms `replicas` replicas of a function."""
        prewarm = worker_messages.PrewarmRequest(
            function.name, function.memory, function.concurrency, replicas, function.load_hint or None
        )
        return Command(CommandKind.PREWARM, key, "hold", jsonrpc.encode(prewarm))

    def health_check_command(self, key: str) -> Command:
        """Returns the command that requests a load report."""
        return Command(CommandKind.HEALTH_CHECK, key, "probe", b"{}")

    def result_of(self, command: Command, outcome: Outcome, answer: bytes | None, data: bytes | None) -> CommandResult:
        """Decodes the result of a command from the worker's result `answer`, or from the `data` of its error."""
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
        if result is None:  # the request ran, but its response is not valid
            return CommandResult(Outcome.ERROR)
        return CommandResult(
            Outcome.OK,
            output=bytes(result.output),
            load_note=cast(LoadNote | None, result.load_note),  # an unknown note is passed on unchanged
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
    """Returns the decoded message of that type, or None if it is missing or invalid."""
    if not raw:
        return None
    try:
        return msgspec.json.decode(raw, type=message_type)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
