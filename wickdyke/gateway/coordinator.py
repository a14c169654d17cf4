"""The coordinator: it owns the router and the pending requests, and carries out what the router decides.

Events arrive by a queue; the router is informed of them, its decisions are read and carried out, and it is advanced at
its `wake_at`. Nothing here decides and nothing here blocks: client connections and worker clients accept bytes without
blocking. It is run by a thread of its own, or by an event loop.
"""

import queue
import threading
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from wickdyke.gateway import events
from wickdyke.gateway import log as logs
from wickdyke.gateway.answers import Failure, Rejection
from wickdyke.gateway.attempts import Attempts
from wickdyke.gateway.config import CoordinatorConfig
from wickdyke.gateway.context import Context, clock
from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import (
    AnswerReason,
    AnyEndpointList,
    AnyWorkerClient,
    Command,
    CommandResult,
    HelloEndpointList,
    Log,
    PrewarmKey,
    RejectionReason,
)
from wickdyke.gateway.isolation import Isolation, NoIsolation
from wickdyke.gateway.pending_requests import PendingRequests
from wickdyke.gateway.router_driver import RouterDriver, settings_of
from wickdyke.gateway.worker_protocol import AnyWorkerProtocol
from wickdyke.gateway.worker_registry import WorkerRegistry
from wickdyke.gateway.worker_reports import WorkerReports
from wickdyke.routing import decisions
from wickdyke.routing.model import Attempt, Endpoint, Outcome, Request
from wickdyke.routing.router import Router
from wickdyke.transport.timers import Timers

if TYPE_CHECKING:  # only one of the two gateways records
    from wickdyke.gateway.recording import DecisionRecorder

MAX_EVENTS_AT_ONCE = 512  # handled before the decisions on them are read
MS_PER_SECOND = 1000


class Coordinator:
    """Carries out what the router decides; docs/architecture.md shows its place."""

    def __init__(
        self,
        config: CoordinatorConfig,
        seed: int,
        log: Log,
        protocol: AnyWorkerProtocol,
        endpoints: AnyEndpointList,
        recorder: "DecisionRecorder | None" = None,
        isolation: Isolation | None = None,
    ) -> None:
        self.config = config
        self.log = log
        self.protocol = protocol
        self.isolation = isolation or NoIsolation()
        self.events: queue.SimpleQueue[Event | None] = queue.SimpleQueue()
        self.driver = RouterDriver(clock(), seed, config.request_classes, settings_of(config), recorder)
        self.context = Context(config, log, self.driver, self.post)
        self.requests = PendingRequests(self.context, self.isolation)
        self.workers = WorkerRegistry(protocol, endpoints, self.post, self._endpoints_changed, log)
        self.isolation.attach(self.context, self.workers)
        self.attempts = Attempts(self.context, protocol, self.requests, self.workers, self.isolation)
        self.thread = threading.Thread(target=self._run, name="coordinator", daemon=True)
        # Called before anything is decided: waits, where this process did not run, until others have posted what they
        # had not read by then, and returns whether it did.
        self.catch_up: Callable[[], bool] = lambda: False
        self.actions = self._actions()
        self.handlers = self._handlers()
        if isinstance(endpoints, HelloEndpointList):
            self.handlers.update(WorkerReports(self.context, self.workers, endpoints).handlers())

    def _actions(self) -> dict[type, Callable[[Any], object]]:
        return {
            decisions.Forward: self.attempts.forward,
            decisions.Cancel: self.attempts.cancel,
            decisions.Reject: self._reject,
            decisions.Fail: self._fail,
            decisions.Prewarm: self._prewarm,
            decisions.HealthCheck: self._health_check,
            decisions.FollowEndpoints: self._follow_endpoints,
            decisions.LogNote: self._log_note,
        }

    def _handlers(self) -> dict[type, Callable[[Any], object]]:
        return {
            events.RequestReceived: lambda event: self.requests.received(event.pending),
            events.RequestCancelled: lambda event: self.requests.client_gone(event.pending),
            events.ClientClosed: self._client_closed,
            events.EndpointsReceived: lambda event: self.workers.apply(event.entries, self.context.now()),
            events.DiscoveryHeard: lambda event: self.context.inform("discovery_heard", event.at),
            events.DiscoveryLost: lambda event: self.context.inform("discovery_lost", event.at),
            events.CommandFinished: self._command_finished,
            events.AttemptWithdrawn: self.attempts.withdrawn,
        }

    @property
    def router(self) -> Router:
        """The router, for readers of its state."""
        return self.driver.router

    @property
    def counts(self) -> Counter[str]:
        """What happened how often, for the log."""
        return self.context.counts

    @property
    def timers(self) -> Timers:
        """Calls that are due later."""
        return self.context.timers

    # ---- called from other threads ----

    def open(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def post(self, event: Event) -> None:
        """Queues an event."""
        self.events.put(event)

    def busy(self) -> RejectionReason | None:
        """Why no request can be accepted now; None where one can."""
        if self.requests.stopping:
            return RejectionReason.STOPPING
        if self.requests.is_full():
            return RejectionReason.GATEWAY_FULL
        return RejectionReason.OVERRUN if self.events.qsize() >= self.config.bounds.events else None

    def idle(self) -> bool:
        """Whether no request is open and no event waits."""
        return not self.requests.by_id and self.events.empty()

    def stop_admitting(self) -> None:
        """Rejects every request from now on."""
        self.requests.stopping = True

    def end(self) -> None:
        """Ends the thread and the worker clients."""
        self.events.put(None)
        self.thread.join()
        self.workers.close()

    def _run(self) -> None:
        while self.run_once(max(0.0, self.next_deadline() - self.context.now())):
            pass

    # ---- for its thread, or for the event loop that runs it ----

    def next_deadline(self) -> float:
        """When it is due next (monotonic ms), if no event arrives before."""
        return min(self.router.wake_at, self.timers.next_deadline(), self.requests.next_deadline())

    def run_once(self, wait: float = 0.0) -> bool:
        """Handles the events that wait (after at most `wait` ms for a first one), timers that are due, and decisions.

        Returns False once it is to end.
        """
        if not self._handle_events(wait) or (self.catch_up() and not self._handle_events(0.0)):
            return False
        guarded = self.context.guarded
        now = self.context.now()
        while (overdue := self.requests.pop_overdue(now)) is not None:
            guarded(self.attempts.deadline_passed, overdue)
        for action, args in self.timers.due(now):
            guarded(action, *args)
        if self.driver.is_due(now):
            guarded(self._carry_out_decisions)
        return True

    def _handle_events(self, wait: float) -> bool:
        # Under load a round of decisions costs more than the time between two events, and each event alone would wait
        # for one. So the router is informed of all that wait by now, and then decides.
        try:
            event = self.events.get(True, wait / MS_PER_SECOND) if wait > 0 else self.events.get(False)
            for remaining in range(MAX_EVENTS_AT_ONCE, 0, -1):
                if event is None:
                    return False
                self.context.guarded(self.handlers[type(event)], event)
                if remaining > 1:
                    event = self.events.get(False)
        except queue.Empty:
            pass
        return True

    def _carry_out_decisions(self) -> None:
        for decision in self.driver.decisions(self.context.now()):
            # An exception on one decision must not delay the others until the router is advanced again.
            self.context.guarded(self.actions[type(decision)], decision)

    def handle_at_once(self, event: Event) -> None:
        """Handles an event before those that wait. For the event loop that runs it, outside of `run_once`."""
        self.context.guarded(self.handlers[type(event)], event)

    # ---- requests ----

    def answer_all(self, reason: RejectionReason) -> None:
        """For the event loop that runs it: all open requests get their final answer, as the process ends."""
        self.requests.answer_all(reason)

    def _client_closed(self, event: events.ClientClosed) -> None:
        for pending in event.pending:
            self.requests.client_gone(pending)

    def _reject(self, decision: decisions.Reject) -> None:
        pending = self.requests.by_id[decision.request.ident]
        reason = self._reason(decision.request)
        self.counts[f"rejected_{reason}"] += 1
        self.requests.answer(pending, Rejection(reason, decision.retry_after))
        self.requests.forget(pending)

    def _fail(self, decision: decisions.Fail) -> None:
        pending = self.requests.by_id[decision.request.ident]
        self.requests.answer(pending, Failure(self._reason(decision.request)))
        self.requests.forget(pending)

    def _reason(self, request: Request) -> AnswerReason:
        """Why a request gets no answer from a worker: how its last attempt ended, if there was one."""
        outcomes = [attempt.outcome for attempt in request.attempts if attempt.outcome]
        if outcomes:
            return Outcome(outcomes[-1])
        return RejectionReason.DISCOVERY_LOST if self.router.readiness.list_was_expired else RejectionReason.NO_PLACE

    # ---- workers ----

    def _endpoints_changed(self, endpoints: list[Endpoint]) -> None:
        self.context.inform("endpoints_changed", endpoints, False)

    # ---- commands ----

    def _command_finished(self, event: events.CommandFinished) -> None:
        result = self.protocol.result_of(event.command, event.outcome, event.answer, event.data)
        match event.command.key:
            case Attempt() as attempt:
                self.attempts.finished(attempt, result)
            case PrewarmKey() as key:
                self._prewarm_finished(key, result)
            case worker:
                self.counts[f"health_checks_{result.outcome}"] += 1
                self.context.inform("health_checked", worker, result.outcome, result.report, result.same_process_since)

    def _prewarm_finished(self, key: PrewarmKey, result: CommandResult) -> None:
        self.counts[f"prewarms_{result.outcome}"] += 1
        self.isolation.prewarmed(key.worker, key.function, result)
        elapsed = self.context.now() - key.sent_at
        self.context.inform("prewarm_finished", key.worker, key.function, result.outcome, result.replicas, elapsed)

    def _prewarm(self, decision: decisions.Prewarm) -> None:
        name = decision.worker.endpoint.ident
        function = decision.function
        key = PrewarmKey(name, function.name, self.context.now())
        command = self.protocol.prewarm_command(key, function, decision.replicas)
        command.may_begin = partial(self.router.may_send, decision.worker)
        self.counts["prewarms"] += 1
        self._send_to(name, command, self.config.function_cache.prewarm_timeout)

    def _health_check(self, decision: decisions.HealthCheck) -> None:
        name = decision.worker.endpoint.ident
        self.counts["health_checks"] += 1
        self._send_to(name, self.protocol.health_check_command(name), self.config.health_check_timeout)

    def _send_to(self, name: str, command: Command, timeout: float) -> None:
        client = self.workers.client(name)
        if client is None:
            self.post(events.CommandFinished(None, command, Outcome.UNSENT))
            return
        self.timers.at(self.context.now() + timeout, self._command_timed_out, client, command)
        client.send(command)

    def _command_timed_out(self, client: AnyWorkerClient, command: Command) -> None:
        if client.abandon(command):
            self._command_finished(events.CommandFinished(client, command, Outcome.TIMEOUT))

    def _follow_endpoints(self, decision: decisions.FollowEndpoints) -> None:
        self.log.info("endpoint list followed", enabled=decision.enabled)  # its watcher pushes it in any case

    def _log_note(self, decision: decisions.LogNote) -> None:
        note = logs.parse_note(decision.text)
        self.log.info(note.event, **note.fields)
