"""The requests that are open: admitted, answered once, and forgotten with the last of their attempts."""

import heapq
from collections.abc import Callable

from wickdyke.gateway.context import Context
from wickdyke.gateway.events import AttemptWithdrawn
from wickdyke.gateway.interfaces import PendingRequest
from wickdyke.gateway.isolation import Isolation
from wickdyke.routing.inputs import RequestReceived
from wickdyke.routing.model import Outcome


class PendingRequests:
    """Owns the pending requests, by the router's id."""

    def __init__(self, context: Context, isolation: Isolation) -> None:
        self.context, self.isolation = context, isolation
        self.by_id: dict[int, PendingRequest] = {}
        self.last_id = 0
        self.stopping = False
        # When the time of each request is up. Numbers only: those of many seconds are kept, and the garbage collector
        # would walk over them all if they held anything else.
        self.deadlines: list[tuple[float, int]] = []

    def is_full(self) -> bool:
        """Whether no more may be open."""
        return len(self.by_id) >= self.context.config.bounds.open_requests

    # ---- admission ----

    def received(self, pending: PendingRequest) -> None:
        """A client asked."""
        try:
            self._admit(pending)
        except Exception:
            if pending.router_id is None and not pending.closed:  # nothing else would answer it
                pending.closed = True
                pending.reject("fault")
            raise

    def _admit(self, pending: PendingRequest) -> None:
        if pending.closed:  # cancelled before its turn: it is no load, and the router need not hear of it
            return
        if self.stopping or self.is_full():
            pending.reject("stopping" if self.stopping else "gateway-full")
            return
        now = self.context.now()
        # What it waited for its turn here is no time that its client has left.
        waited = 0.0 if pending.received_at is None else now - pending.received_at
        time_left = pending.time_left - waited - self.context.config.answer_margin
        if time_left <= 0:
            pending.reject("no-time")
            return
        refusal = self.isolation.turned_away(pending.call.function, pending.call.input, now)
        if refusal is not None:
            why, wait = refusal
            self.context.counts[f"turned_away_{why}"] += 1
            pending.reject(why, wait)
            return
        self._open(pending, time_left)

    def _open(self, pending: PendingRequest, time_left: float) -> None:
        self.last_id += 1
        pending.router_id, call = self.last_id, pending.call
        self.by_id[self.last_id] = pending
        self.context.counts["requests"] += 1
        heapq.heappush(self.deadlines, (self.context.now() + time_left, self.last_id))
        self.context.inform(
            "request_received",
            RequestReceived(
                self.last_id,
                time_left,
                pending.request_class,
                call.function,
                call.memory_mb,
                call.concurrency,
                call.load_ms,
                call.work_ms,
                call.is_repeat,
                pending.route_policy,
            ),
        )

    # ---- deadlines ----

    def next_deadline(self) -> float:
        """When the time of the next one is up (ms)."""
        while self.deadlines and self.deadlines[0][1] not in self.by_id:
            heapq.heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else float("inf")

    def take_overdue(self, now: float) -> int | None:
        """The id of one whose time is up by then, once; None where there is none."""
        if not self.deadlines or self.deadlines[0][0] > now:
            return None
        return heapq.heappop(self.deadlines)[1]

    # ---- answers ----

    def answer(self, pending: PendingRequest, answer: Callable, *args: object) -> None:
        """Gives the final answer: one of the request's own methods, with its arguments."""
        pending.closed = True
        kind = answer.__name__
        self.context.counts[f"answers_{kind}"] += 1
        try:
            self.withdraw_unsent(pending)
        finally:
            answer(*args)
        self.context.log.debug("answered", request=pending.router_id, answer=kind, client=pending.client.number)
        pending.call.input = None  # of megabytes, maybe, while an attempt that was given up ends

    def answer_undecided(self, pending: PendingRequest, answer: Callable, *args: object) -> None:
        """Gives a final answer that the router did not decide."""
        try:
            self.answer(pending, answer, *args)
        finally:
            try:
                self.context.inform("client_gone", pending.router_id)
            finally:
                self.forget(pending)

    def answer_all(self, why: str) -> None:
        """The process ends, so all that is open gets its final answer now.

        A request is rejected where no attempt was sent, else it has failed.
        """
        for pending in list(self.by_id.values()):
            if not pending.closed:
                answer = pending.fail if pending.attempts_sent else pending.reject
                self.context.guarded(self.answer_undecided, pending, answer, why)

    def left_open(self, router_id: int) -> None:
        """Answers a request that the router left open past its deadline. Nothing known leads here; it is logged."""
        pending = self.by_id.get(router_id)
        if pending is not None and not pending.closed:
            self.context.counts["unanswered"] += 1
            self.context.log.error("request left open at its deadline", request=router_id)
            self.answer_undecided(pending, pending.fail, "left-open")

    def client_gone(self, pending: PendingRequest) -> None:
        """Its client cancelled it, or closed its connection."""
        if pending.closed:
            return
        pending.closed = True
        self.context.counts["clients_gone"] += 1
        if pending.router_id is not None:
            self.context.inform("client_gone", pending.router_id)
            self.withdraw_unsent(pending)
            self.forget(pending)

    def withdraw_unsent(self, pending: PendingRequest) -> None:
        """Takes back its attempts of which nothing was sent.

        What waits for a connection would go out after its request has ended, also where nothing may be cancelled.
        """
        for attempt, command in list(pending.commands.items()):
            if command.worker_client is not None and command.worker_client.withdraw_unsent(command):
                self.context.post(AttemptWithdrawn(pending, attempt, Outcome.UNSENT))

    def forget(self, pending: PendingRequest) -> None:
        """Drops it, if it is answered and has no attempt in flight."""
        if pending.closed and not pending.commands:
            self.by_id.pop(pending.router_id, None)
            if pending.request is not None:  # closed: without the reference cycle it is freed at once
                pending.request.attempts.clear()
