"""The attempts of pending requests: sent to workers, withdrawn, timed out, and ended."""

from wickdyke.gateway.context import Context
from wickdyke.gateway.events import AttemptWithdrawn, CommandFinished
from wickdyke.gateway.interfaces import Command, CommandResult, PendingRequest, WorkerClient, WorkerProtocol
from wickdyke.gateway.isolation import Isolation
from wickdyke.gateway.pending_requests import PendingRequests
from wickdyke.gateway.worker_registry import WorkerRegistry
from wickdyke.routing.decisions import Cancel, Forward
from wickdyke.routing.inputs import AttemptFinished
from wickdyke.routing.model import Attempt, Outcome


class Attempts:
    """Sends attempts and tells the router how each ended."""

    def __init__(
        self,
        context: Context,
        protocol: WorkerProtocol,
        requests: PendingRequests,
        workers: WorkerRegistry,
        isolation: Isolation,
    ) -> None:
        self.context, self.protocol, self.requests = context, protocol, requests
        self.workers, self.isolation = workers, isolation

    def forward(self, decision: Forward) -> None:
        """Sends the next attempt of a request."""
        request, timeout = decision.request, decision.timeout
        pending = self.requests.by_id[request.ident]
        pending.request = request
        attempt = request.attempts[pending.attempts_sent]
        pending.attempts_sent += 1
        now = self.context.now()
        time_left = max(0.0, min(request.deadline - now, request.deadline if timeout is None else timeout))
        command = pending.commands[attempt] = self.protocol.attempt_command(attempt, pending, time_left)
        # The client may have left since it was decided: nothing begins for it.
        wanted = not pending.closed and pending.still_wanted()
        client = command.worker_client = self.workers.client(decision.worker.endpoint.ident) if wanted else None
        if client is None:
            self.context.post(CommandFinished(None, command, Outcome.UNSENT))
            return
        if timeout is not None and now + timeout < request.deadline:
            self.context.timers.at(now + timeout, self._timed_out, pending, attempt)
        client.send(command)

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
        """Withdraws an attempt that the router no longer wants."""
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

        state = client.cancel(command, done) if client is not None else "ended"
        if state == Outcome.UNSENT:
            self.context.post(AttemptWithdrawn(pending, attempt, Outcome.UNSENT))
        elif state == Outcome.CANCELLED:
            done()
        elif state is None:
            wait = self.context.config.attempt_limits.connect_timeout
            self.context.timers.at(self.context.now() + wait, self._disconnect, pending, attempt, client)

    def _disconnect(self, pending: PendingRequest, attempt: Attempt, client: WorkerClient) -> None:
        if attempt in pending.commands:
            why = "it does not read, and an attempt is to end"
            self.context.log.warning("worker disconnected", worker=client.name, why=why)
            client.disconnect()

    def withdrawn(self, event: AttemptWithdrawn) -> None:
        """An attempt was withdrawn, and will get no answer."""
        if event.attempt in event.pending.commands:
            self._ended(event.pending, event.attempt, CommandResult(event.outcome))

    # ---- deadlines ----

    def time_up(self, router_id: int) -> None:
        """The time of a request is up: nothing is waited for any more.

        For the router the client's time is up at the same moment, so what it decides on these outcomes is final. Of a
        request that is answered, only attempts are left that could not be cancelled and may never end.
        """
        pending = self.requests.by_id.get(router_id)
        if pending is None:
            return
        context = self.context
        context.timers.at(context.now() + context.config.answer_margin / 2, self.requests.left_open, router_id)
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

    def finished(self, command: Command, result: CommandResult) -> None:
        """The command of an attempt ended."""
        attempt: Attempt = command.key
        pending = self.requests.by_id.get(attempt.request.ident)
        if pending is None or attempt not in pending.commands:
            self.context.counts["late"] += 1
            return
        if result.outcome != Outcome.OK:
            self._ended(pending, attempt, result)
            retry_after = self.isolation.attempt_failed(pending, attempt, result)
            if retry_after is not None:
                self.requests.answer_undecided(pending, pending.reject, "poison", retry_after)
            return
        answered = pending.closed
        self.isolation.served(attempt, None if answered else pending.call.input)
        if not answered:
            self.requests.answer(pending, pending.succeed, result.output, len(attempt.request.attempts))
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
            took_ms=round(self.context.now() - attempt.sent_at, 1),
        )
        try:
            self.context.inform(
                "attempt_finished",
                AttemptFinished(
                    pending.router_id,
                    attempt.number,
                    result.outcome,
                    pending.closed,
                    result.load_note,
                    result.concurrent,
                    result.report,
                ),
            )
        finally:
            self.requests.forget(pending)
