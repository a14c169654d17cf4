"""The attempts of pending requests: sends and withdraws them, and handles their timeouts and results."""

from functools import partial

from wickdyke.gateway.answers import Success
from wickdyke.gateway.context import Context
from wickdyke.gateway.events import AttemptWithdrawn, CommandFinished
from wickdyke.gateway.interfaces import (
    AnyWorkerClient,
    Command,
    CommandResult,
    PendingRequest,
    Withdrawal,
)
from wickdyke.gateway.isolation import Isolation
from wickdyke.gateway.pending_requests import PendingRequests
from wickdyke.gateway.worker_protocol import AnyWorkerProtocol
from wickdyke.gateway.worker_registry import WorkerRegistry
from wickdyke.routing.decisions import Cancel, Forward
from wickdyke.routing.inputs import AttemptFinished
from wickdyke.routing.model import Attempt, Outcome


class Attempts:
    """Sends attempts, and reports to the router how each one ended."""

    def __init__(
        self,
        context: Context,
        protocol: AnyWorkerProtocol,
        requests: PendingRequests,
        workers: WorkerRegistry,
        isolation: Isolation,
    ) -> None:
        self.context = context
        self.protocol = protocol
        self.requests = requests
        self.workers = workers
        self.isolation = isolation

    def forward(self, decision: Forward) -> None:
        """Sends the next attempt of a request."""
        request = decision.request
        timeout = decision.timeout
        pending = self.requests.by_id[request.ident]
        pending.request = request
        attempt = request.attempts[pending.attempts_sent]
        pending.attempts_sent += 1
        now = self.context.now()
        deadline = request.deadline if timeout is None else min(request.deadline, now + timeout)
        command = self.protocol.attempt_command(attempt, pending, deadline)
        command.begin_before = attempt.begin_before
        command.may_begin = partial(self._may_begin, pending, attempt)
        pending.commands[attempt] = command
        is_wanted = self._is_wanted(pending)
        client = self.workers.client(decision.worker.endpoint.ident) if is_wanted else None
        command.worker_client = client
        if client is None:
            self.context.post(CommandFinished(None, command, Outcome.UNSENT))
            return
        if timeout is not None and now + timeout < request.deadline:
            self.context.timers.at(now + timeout, self._handle_timeout, pending, attempt)
        client.send(command)
        if attempt.begin_before < request.deadline and not command.send_started:
            self.context.timers.at(attempt.begin_before, self._handle_begin_expired, pending, attempt)

    def _is_wanted(self, pending: PendingRequest) -> bool:
        """Whether the client still waits for the request.

        The client may leave after an attempt was decided; then no attempt is to be sent.
        """
        return not pending.closed and pending.is_client_waiting()

    def _may_begin(self, pending: PendingRequest, attempt: Attempt, now: float) -> bool:
        """Whether the first byte of an attempt may be sent now; the attempt may have been decided long ago."""
        command = pending.commands.get(attempt)
        client = None if command is None else command.worker_client
        return (
            self.context.may_send(attempt.replica.worker, now)
            and (client is None or self.context.is_as_decided(attempt, client.process_changed_at))
            and self._is_wanted(pending)
        )

    # ---- withdrawing ----

    def _handle_begin_expired(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Withdraws an attempt that still waits to be sent and may not begin any more.

        The router then decides at once what becomes of the request.
        """
        command = pending.commands.get(attempt)
        if command is not None and command.worker_client is not None and command.worker_client.withdraw_unsent(command):
            self.context.counts["begin_expired"] += 1
            self._finish(pending, attempt, CommandResult(Outcome.UNSENT))

    def _handle_timeout(self, pending: PendingRequest, attempt: Attempt) -> None:
        if attempt not in pending.commands:
            return
        command = pending.commands[attempt]
        if self.context.config.attempt_limits.cancel:
            self._withdraw(pending, attempt, Outcome.TIMEOUT)
        elif command.worker_client is not None and command.worker_client.withdraw_unsent(command):
            self._finish(pending, attempt, CommandResult(Outcome.UNSENT))
        else:  # the attempt may still run: route validation allows a timeout without cancels only where that is safe
            self._finish(pending, attempt, CommandResult(Outcome.TIMEOUT))

    def cancel(self, decision: Cancel) -> None:
        """Withdraws an attempt that the router has cancelled."""
        attempt = decision.attempt
        pending = self.requests.by_id.get(attempt.request.ident)
        if pending is not None and attempt in pending.commands:
            self._withdraw(pending, attempt, Outcome.CANCELLED)

    def _withdraw(self, pending: PendingRequest, attempt: Attempt, outcome: Outcome) -> None:
        # While the cancel is still in the write buffer, the next attempt would run concurrently with this one. So the
        # outcome is reported only once the cancel is written to the socket or the connection was closed instead.
        command = pending.commands[attempt]
        client = command.worker_client

        def report_outcome() -> None:
            self.context.post(AttemptWithdrawn(pending, attempt, outcome))

        if client is None:
            return
        match client.cancel(command, report_outcome):
            case Withdrawal.UNSENT:
                self.context.post(AttemptWithdrawn(pending, attempt, Outcome.UNSENT))
            case Withdrawal.CANCELLED:
                report_outcome()
            case Withdrawal.PENDING:
                timeout = self.context.config.attempt_limits.connect_timeout
                self.context.timers.at(self.context.now() + timeout, self._disconnect, pending, attempt, client)

    def _disconnect(self, pending: PendingRequest, attempt: Attempt, client: AnyWorkerClient) -> None:
        if attempt in pending.commands:
            reason = "the worker does not read, so an attempt could not be cancelled"
            self.context.log.warning("worker disconnected", worker=client.name, reason=reason)
            client.disconnect()

    def handle_withdrawn(self, event: AttemptWithdrawn) -> None:
        """Handles the end of an attempt that was withdrawn and will get no answer."""
        if event.attempt in event.pending.commands:
            self._finish(event.pending, event.attempt, CommandResult(event.outcome))

    # ---- deadlines ----

    def handle_deadline(self, router_id: int) -> None:
        """Ends all attempts of a request whose deadline has passed.

        The router uses the same deadline, so its decision on these outcomes is final. A request that was answered
        before has only attempts left that could not be cancelled and may never end.
        """
        pending = self.requests.by_id.get(router_id)
        if pending is None:
            return
        context = self.context
        context.timers.at(context.now() + context.config.answer_margin / 2, self.requests.answer_overdue, router_id)
        context.driver.has_input = True
        for attempt, command in list(pending.commands.items()):
            context.run_guarded(self._stop_waiting, pending, command)
            context.run_guarded(self._finish, pending, attempt, CommandResult(Outcome.TIMEOUT))

    def _stop_waiting(self, pending: PendingRequest, command: Command) -> None:
        client = command.worker_client
        if client is None:
            return
        if self.context.config.attempt_limits.cancel:
            client.cancel(command, lambda: None)
        elif not client.withdraw_unsent(command):
            # Without cancels, an attempt that is never answered would occupy its connection forever.
            self.context.timers.at(self.context.now() + pending.time_left, client.abandon, command)

    # ---- results ----

    def handle_finished(self, attempt: Attempt, result: CommandResult) -> None:
        """Handles the result of an attempt's command."""
        pending = self.requests.by_id.get(attempt.request.ident)
        if pending is None or attempt not in pending.commands:
            self.context.counts["late"] += 1
            return
        if result.outcome != Outcome.OK:
            self._finish(pending, attempt, result)
            rejection = self.isolation.attempt_failed(pending, attempt, result)
            if rejection is not None:
                self.requests.answer_undecided(pending, rejection)
            return
        is_closed = pending.closed
        self.isolation.attempt_succeeded(attempt, None if is_closed else pending.params.input)
        if not is_closed:
            self.requests.answer(pending, Success(result.output, len(attempt.request.attempts)))
        self._finish(pending, attempt, result)

    def _finish(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> None:
        del pending.commands[attempt]
        self.context.counts[f"attempts_{result.outcome}"] += 1
        self.context.log.debug(
            "attempt ended",
            request=pending.router_id,
            attempt=attempt.number,
            outcome=str(result.outcome),
            worker=attempt.replica.worker.endpoint.ident,
            elapsed_ms=round(self.context.now() - attempt.sent_at, 1),
        )
        try:
            self.context.apply_input(
                "attempt_finished",
                AttemptFinished(
                    ident=attempt.request.ident,
                    number=attempt.number,
                    outcome=result.outcome,
                    final=pending.closed,
                    load_note=result.load_note,
                    concurrent=result.concurrent,
                    load=result.report,
                ),
            )
        finally:
            self.requests.forget(pending)
