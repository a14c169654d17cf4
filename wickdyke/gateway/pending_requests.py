"""The open requests: admitted, answered once, and removed when their last attempt has ended."""

import heapq

from wickdyke.gateway.answers import Failure, FinalAnswer, Rejection
from wickdyke.gateway.context import Context
from wickdyke.gateway.events import AttemptWithdrawn
from wickdyke.gateway.interfaces import PendingRequest, RejectionReason
from wickdyke.gateway.isolation import Isolation
from wickdyke.routing.inputs import RequestReceived
from wickdyke.routing.model import Outcome

MIN_DEADLINES_TO_COMPACT = 256  # deadlines; while there are fewer, those of ended requests stay until they are due


class PendingRequests:
    """Owns the pending requests, by their id at the router."""

    def __init__(self, context: Context, isolation: Isolation) -> None:
        self.context = context
        self.isolation = isolation
        self.by_id: dict[int, PendingRequest] = {}
        self.last_id = 0
        self.stopping = False
        # A heap of (deadline, id). The tuples hold only numbers, which keeps them untracked by the garbage collector:
        # entries stay after their request has ended, and each full collection would traverse them all.
        self.deadlines: list[tuple[float, int]] = []

    def is_full(self) -> bool:
        """Whether the limit of open requests is reached."""
        return len(self.by_id) >= self.context.config.bounds.open_requests

    # ---- admission ----

    def handle_received(self, pending: PendingRequest) -> None:
        """Handles the arrival of a client's request: admits or rejects it."""
        try:
            self._admit(pending)
        except Exception:
            if pending.router_id is None and not pending.closed:  # nothing else would answer the request
                pending.closed = True
                pending.reject(RejectionReason.FAULT)
            raise
        finally:
            if pending.router_id is None:
                pending.released()

    def _admit(self, pending: PendingRequest) -> None:
        if pending.closed:  # cancelled while queued: it is not counted as load, and the router does not see it
            return
        if self.stopping or self.is_full():
            pending.reject(RejectionReason.STOPPING if self.stopping else RejectionReason.GATEWAY_FULL)
            return
        now = self.context.now()
        # The time in the event queue counts against the client's time limit. All that follows uses this one reading of
        # the clock: the process may not run for a while between two readings, and a time left that was computed at the
        # first would be too long at the second.
        received_at = now if pending.received_at is None else pending.received_at
        deadline = received_at + pending.time_left - self.context.config.answer_margin
        if deadline <= now:
            pending.reject(RejectionReason.NO_TIME)
            return
        rejection = self.isolation.rejection(pending.params.function, pending.params.input, now)
        if rejection is not None:
            self.context.counts[f"turned_away_{rejection.reason}"] += 1
            rejection.send(pending)
            return
        self._open(pending, deadline, now, now - received_at)

    def _open(self, pending: PendingRequest, deadline: float, now: float, waited: float) -> None:
        self.last_id += 1
        pending.router_id = self.last_id
        params = pending.params
        self.by_id[self.last_id] = pending
        self.context.counts["requests"] += 1
        self._push_deadline(deadline, self.last_id)
        self.context.driver.apply_input(
            now,
            "request_received",
            RequestReceived(
                ident=self.last_id,
                time_left=deadline - now,
                request_class=pending.request_class,
                function_name=params.function,
                memory=params.memory_mb,
                concurrency=params.concurrency,
                load_hint=params.load_ms,
                work=params.work_ms,
                is_repeat=params.is_repeat,
                policy=pending.route_policy,
                waited=waited,
            ),
        )

    # ---- deadlines ----

    def _push_deadline(self, deadline: float, router_id: int) -> None:
        heapq.heappush(self.deadlines, (deadline, router_id))
        if len(self.deadlines) > MIN_DEADLINES_TO_COMPACT + 2 * len(self.by_id):
            # A client may state a deadline of an hour, and its requests may end at once.
            self.deadlines = [entry for entry in self.deadlines if entry[1] in self.by_id]
            heapq.heapify(self.deadlines)

    def next_deadline(self) -> float:
        """Returns the earliest deadline of an open request (monotonic ms), infinity where none is open."""
        while self.deadlines and self.deadlines[0][1] not in self.by_id:
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else float("inf")

    def pop_overdue(self, now: float) -> int | None:
        """Removes one deadline that has passed by `now` and returns its request's id; None where none has passed."""
        if not self.deadlines or self.deadlines[0][0] > now:
            return None
        return heapq.heappop(self.deadlines)[1]

    # ---- answers ----

    def answer(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        """Sends the final answer, and withdraws the attempts that were not sent yet."""
        pending.closed = True
        self.context.counts[answer.count_name] += 1
        try:
            self.withdraw_unsent(pending)
        finally:
            answer.send(pending)
        self.context.log.debug(
            "answered", request=pending.router_id, answer=type(answer).__name__, client=pending.client.number
        )
        # The input may hold megabytes, and a withdrawn attempt may take long to end.
        pending.params.input = None

    def answer_undecided(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        """Sends a final answer that the router did not decide."""
        try:
            self.answer(pending, answer)
        finally:
            try:
                self.context.apply_input("client_gone", pending.router_id)
            finally:
                self.forget(pending)

    def answer_all(self, reason: RejectionReason) -> None:
        """Sends all open requests their final answer at shutdown.

        A request is rejected where no attempt was sent; otherwise it fails.
        """
        for pending in list(self.by_id.values()):
            if not pending.closed:
                answer = Failure(reason) if pending.attempts_sent else Rejection(reason)
                self.context.run_guarded(self.answer_undecided, pending, answer)

    def answer_overdue(self, router_id: int) -> None:
        """Fails a request that the router left open past its deadline, and logs that as a fault."""
        pending = self.by_id.get(router_id)
        if pending is not None and not pending.closed:
            self.context.counts["unanswered"] += 1
            self.context.log.error("request left open at its deadline", request=router_id)
            self.answer_undecided(pending, Failure(RejectionReason.LEFT_OPEN))

    def handle_client_gone(self, pending: PendingRequest) -> None:
        """Handles a client that cancelled its request or closed its connection."""
        if pending.closed:
            return
        pending.closed = True
        self.context.counts["clients_gone"] += 1
        if pending.router_id is not None:
            self.context.apply_input("client_gone", pending.router_id)
            self.withdraw_unsent(pending)
            self.forget(pending)

    def withdraw_unsent(self, pending: PendingRequest) -> None:
        """Withdraws the request's attempts of which no byte was sent.

        An attempt that waits for a connection would otherwise be sent after its request has ended. This also applies
        where the settings allow no cancels.
        """
        for attempt, command in list(pending.commands.items()):
            if command.worker_client is not None and command.worker_client.withdraw_unsent(command):
                self.context.post(AttemptWithdrawn(pending, attempt, Outcome.UNSENT))

    def forget(self, pending: PendingRequest) -> None:
        """Removes the request, if it is closed and has no attempt in flight."""
        if pending.closed and not pending.commands:
            if pending.router_id is not None:
                self.by_id.pop(pending.router_id, None)
            pending.released()
            if pending.request is not None:  # breaks the reference cycle, so that the request is freed at once
                pending.request.attempts.clear()
