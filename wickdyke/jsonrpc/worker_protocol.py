"""How the gateway speaks to workers in JSON-RPC: commands as messages, and their results read."""

import msgspec

from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.gateway.interfaces import CommandKind, CommandResult, PendingRequest
from wickdyke.jsonrpc.worker_client import Command, WorkerClient, clock
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.routing.inputs import WorkerLoad
from wickdyke.routing.model import Attempt, Function, Outcome


class JsonRpcWorkerProtocol:
    """The worker protocol of one gateway."""

    connects_at_once = True  # a worker's hello tells since when it is up

    def __init__(self, config: GatewayConfig) -> None:
        self.config, self.report_fields = config, config.instance.report_fields

    def client_for(self, name: str, address: str, notify) -> WorkerClient:
        """The client of one worker."""
        bounds = self.config.bounds
        return WorkerClient(
            name,
            address,
            self.config.name,
            notify,
            self.config.attempt_limits.connect_timeout,
            bounds.line_bytes,
            bounds.unread_bytes,
        )

    def attempt_command(self, attempt: Attempt, pending: PendingRequest, time_left: float) -> Command:
        """An attempt, to be waited for so many ms."""
        # It waits for its connection and for room at the kernel: its time left is written as its first byte goes.
        deadline = clock() + time_left
        function, call = attempt.request.function, pending.call
        run = worker_messages.RunRequest(
            attempt.request.request_class.name,
            function.name,
            call.input,
            function.memory,
            function.concurrency,
            time_left,
            call.load_ms,
            call.idempotency_key,
        )

        def params(left: float) -> bytes:
            run.time_left_ms = left
            return jsonrpc.encode(run)

        return Command(CommandKind.ATTEMPT, attempt, "run", params, deadline)

    def prewarm_command(self, key: tuple, function: Function, replicas: int) -> Command:
        """A prewarm of so many replicas."""
        hold = worker_messages.PrewarmRequest(
            function.name, function.memory, function.concurrency, replicas, function.load_hint or None
        )
        return Command(CommandKind.PREWARM, key, "hold", jsonrpc.encode(hold))

    def health_check_command(self, key: str) -> Command:
        """A question for a load report."""
        return Command(CommandKind.HEALTH_CHECK, key, "probe", b"{}")

    def result_of(self, command: Command, outcome: str, answer: bytes | None, data: bytes | None) -> CommandResult:
        """The result of a command: `answer` is what the worker returned, `data` what came with its error."""
        if command.kind == CommandKind.PREWARM:
            held = _read(worker_messages.PrewarmResult, answer if answer is not None else data)
            return CommandResult(outcome, replicas=held.replicas if held else 0)
        if command.kind == CommandKind.HEALTH_CHECK:
            probed = _read(worker_messages.HealthReport, answer)
            return CommandResult(outcome, report=self._report(probed.report) if probed else None)
        if outcome == Outcome.OK:
            return self._succeeded(answer)
        return self._failed(outcome, data)

    def _succeeded(self, answer: bytes | None) -> CommandResult:
        ran = _read(worker_messages.RunResult, answer)
        if ran is None:  # it ran, and what it said can't be read
            return CommandResult(Outcome.ERROR)
        return CommandResult(
            Outcome.OK,
            output=bytes(ran.output),
            load_note=ran.load_note,
            concurrent=ran.concurrent,
            report=self._report(ran.report),
        )

    def _failed(self, outcome: str, data: bytes | None) -> CommandResult:
        told = _read(worker_messages.RunErrorData, data)
        if told is None:
            return CommandResult(outcome)
        return CommandResult(
            outcome,
            concurrent=told.concurrent,
            report=self._report(told.report),
            requests_in_replica=told.requests_in_replica,
        )

    def _report(self, report: dict[str, float] | None) -> WorkerLoad | None:
        values = worker_messages.ordered_report(report, self.report_fields)
        return WorkerLoad.from_values(self.report_fields, values)


def _read(kind: type, raw: bytes | None):
    """A value of that kind, or None where it can't be read."""
    if not raw:
        return None
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
