"""How the gateway speaks to workers in JSON-RPC: call-outs, holds and probes as messages, and their ends read."""

import msgspec

from wickdyke.gateway.worker_client import WorkerClient, Command, clock
from wickdyke.gateway.interfaces import PendingRequest, CommandResult
from wickdyke.routing.model import Attempt, Function
from wickdyke.protocol import back, jsonrpc
from wickdyke.settings.station import Station


class JsonRpcWorkerProtocol:
    """The speech of one gateway."""

    eager = True  # a worker's hello tells since when it is up

    def __init__(self, station: Station) -> None:
        self.station, self.names = station, station.instance.report_fields

    def link(self, name: str, address: str, tell) -> WorkerClient:
        """The way to one worker."""
        bounds = self.station.bounds
        return WorkerClient(
            name,
            address,
            self.station.name,
            tell,
            self.station.attempt_limits.connect_timeout,
            bounds.line,
            bounds.unread,
        )

    def run(self, attempt: Attempt, ask: PendingRequest, left: float) -> Command:
        """A call-out, to be waited for so many ms."""
        # Danger: it waits for its connection and for room at the kernel: see Speech.run in wickdyke/platform/back.py.
        ends = clock() + left
        program, call = attempt.request.function, ask.call
        run = back.Run(
            attempt.request.request_class.name,
            program.name,
            call.input,
            program.memory,
            program.concurrency,
            left,
            call.load_ms,
            call.token,
        )

        def params(time_left: float) -> bytes:
            run.time_left_ms = time_left
            return jsonrpc.encode(run)

        return Command("run", attempt, "run", params, ends)

    def hold(self, key: tuple, program: Function, copies: int) -> Command:
        """An order to have so many copies standing."""
        hold = back.Hold(program.name, program.memory, program.concurrency, copies, program.load_hint or None)
        return Command("hold", key, "hold", jsonrpc.encode(hold))

    def probe(self, key: str) -> Command:
        """A question for a report."""
        return Command("probe", key, "probe", b"{}")

    def ending(self, order: Command, outcome: str, result: bytes | None, data: bytes | None) -> CommandResult:
        """What a link told of an order's end."""
        if order.kind == "hold":
            held = _read(back.Held, result if result is not None else data)
            return CommandResult(outcome, copies=held.copies if held else 0)
        if order.kind == "probe":
            probed = _read(back.Probed, result)
            return CommandResult(outcome, report=back.report(probed.report, self.names) if probed else None)
        if outcome == "ok":
            ran = _read(back.Ran, result)
            if ran is None:  # it ran, and what it said can't be read
                return CommandResult("error")
            return CommandResult(
                "ok", bytes(ran.output), ran.standing, ran.company, back.report(ran.report, self.names)
            )
        told = _read(back.Told, data)
        if told is None:
            return CommandResult(outcome)
        return CommandResult(
            outcome, company=told.company, report=back.report(told.report, self.names), inside=told.inside
        )


def _read(kind: type, raw: bytes | None):
    """A value of that kind, or None where it can't be read."""
    if not raw:
        return None
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
