"""The attempts of pending requests: sent to workers, withdrawn, timed out, and ended."""

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
from wickdyke.routing.model import Attempt, Outcome, Worker


class Attempts:
    """Sends attempts, and informs the router of how each ended."""

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
        time_left = max(0.0, min(request.deadline - now, request.deadline if timeout is None else timeout))
        command = self.protocol.attempt_command(attempt, pending, time_left)
        command.may_begin = partial(self._may_begin, pending, decision.worker)
        pending.commands[attempt] = command
        wanted = self._is_wanted(pending)
        client = self.workers.client(decision.worker.endpoint.ident) if wanted else None
        command.worker_client = client
        if client is None:
            self.context.post(CommandFinished(None, command, Outcome.UNSENT))
            return
        if timeout is not None and now + timeout < request.deadline:
            self.context.timers.at(now + timeout, self._timed_out, pending, attempt)
        client.send(command)

    def _is_wanted(self, pending: PendingRequest) -> bool:
        """Whether its client still waits: it may have left since an attempt was decided, and nothing begins for it."""
        return not pending.closed and pending.still_wanted()

    def _may_begin(self, pending: PendingRequest, worker: Worker, now: float) -> bool:
        """Whether the first byte of an attempt may be sent now, however long ago the attempt was decided."""
        return self.context.driver.router.may_send(worker, now) and self._is_wanted(pending)

    # ---- withdrawing ----

    def _timed_out(self, pending: PendingRequest, attempt: Attempt) -> None:
        if attempt not in pending.commands:
            return
        command = pending.commands[attempt]
        if self.context.config.attempt_limits.cancel:
            self._withdraw(pending, attempt, Outcome.TIMEOUT)
        elif command.worker_client is not None and command.worker_client.withdraw_unsent(command):
            self._ended(pending, attempt, CommandResult(Outcome.UNSENT))
        else:  # for the router it has ended; the checks of routes allow a timeout only where that is safe
            self._ended(pending, attempt, CommandResult(Outcome.TIMEOUT))

    def cancel(self, decision: Cancel) -> None:
        """Withdraws an attempt that the router has cancelled."""
        attempt = decision.attempt
        pending = self.requests.by_id.get(attempt.request.ident)
        if pending is not None and attempt in pending.commands:
            self._withdraw(pending, attempt, Outcome.CANCELLED)

    def _withdraw(self, pending: PendingRequest, attempt: Attempt, outcome: Outcome) -> None:
        # The next attempt beside one whose cancel still waits in our buffer would be a second at once. So the outcome
        # is reported only when the cancel is with the kernel, or the connection is ended for it.
        command = pending.commands[attempt]
        client = command.worker_client

        def done() -> None:
            self.context.post(AttemptWithdrawn(pending, attempt, outcome))

        if client is None:
            return
        match client.cancel(command, done):
            case Withdrawal.UNSENT:
                self.context.post(AttemptWithdrawn(pending, attempt, Outcome.UNSENT))
            case Withdrawal.CANCELLED:
                done()
            case Withdrawal.PENDING:
                timeout = self.context.config.attempt_limits.connect_timeout
                self.context.timers.at(self.context.now() + timeout, self._disconnect, pending, attempt, client)

    def _disconnect(self, pending: PendingRequest, attempt: Attempt, client: AnyWorkerClient) -> None:
        if attempt in pending.commands:
            reason = "it does not read, and an attempt is to end"
            self.context.log.warning("worker disconnected", worker=client.name, reason=reason)
            client.disconnect()

    def withdrawn(self, event: AttemptWithdrawn) -> None:
        """An attempt was withdrawn, and will get no answer."""
        if event.attempt in event.pending.commands:
            self._ended(event.pending, event.attempt, CommandResult(event.outcome))

    # ---- deadlines ----

    def deadline_passed(self, router_id: int) -> None:
        """The deadline of a request has passed: nothing is waited for any more.

        For the router the client's time is up at the same moment, so what it decides on these outcomes is final. Of a
        request that is answered, only attempts are left that could not be cancelled and may never end.
        """
        pending = self.requests.by_id.get(router_id)
        if pending is None:
            return
        context = self.context
        context.timers.at(context.now() + context.config.answer_margin / 2, self.requests.answer_overdue, router_id)
        context.driver.has_input = True
        for attempt, command in list(pending.commands.items()):
            context.guarded(self._stop_waiting, pending, command)
            context.guarded(self._ended, pending, attempt, CommandResult(Outcome.TIMEOUT))

    def _stop_waiting(self, pending: PendingRequest, command: Command) -> None:
        client = command.worker_client
        if client is None:
            return
        if self.context.config.attempt_limits.cancel:
            client.cancel(command, lambda: None)
        elif not client.withdraw_unsent(command):
            # Where nothing may be cancelled, answers that never come would hold their places for good.
            self.context.timers.at(self.context.now() + pending.time_left, client.abandon, command)

    # ---- ends ----

    def finished(self, attempt: Attempt, result: CommandResult) -> None:
        """The command of an attempt ended."""
        pending = self.requests.by_id.get(attempt.request.ident)
        if pending is None or attempt not in pending.commands:
            self.context.counts["late"] += 1
            return
        if result.outcome != Outcome.OK:
            self._ended(pending, attempt, result)
            rejection = self.isolation.attempt_failed(pending, attempt, result)
            if rejection is not None:
                self.requests.answer_undecided(pending, rejection)
            return
        answered = pending.closed
        self.isolation.served(attempt, None if answered else pending.params.input)
        if not answered:
            self.requests.answer(pending, Success(result.output, len(attempt.request.attempts)))
        self._ended(pending, attempt, result)

    def _ended(self, pending: PendingRequest, attempt: Attempt, result: CommandResult) -> None:
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
            self.context.inform(
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
