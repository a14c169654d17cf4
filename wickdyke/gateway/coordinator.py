"""The coordinator: owns the router and the pending requests, and carries out the router's decisions.

Events arrive through a queue. The coordinator passes them to the router as inputs, carries out the decisions that
follow, and advances the router at its `wake_at`. It makes no decisions of its own and never blocks: client connections
and worker clients accept bytes without blocking. It runs in a thread of its own or in an event loop.
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
from wickdyke.gateway.exception_log import ExceptionLog
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

if TYPE_CHECKING:  # only one of the two gateways makes recordings
    from wickdyke.gateway.recording import DecisionRecorder

MAX_EVENTS_PER_ROUND = 512  # events handled before the router's decisions are taken
MS_PER_SECOND = 1000


class Coordinator:
    """Carries out the router's decisions; see docs/architecture.md for its place in the gateway."""

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
        self.context = Context(config, log, ExceptionLog(log), self.driver, self.post)
        self.requests = PendingRequests(self.context, self.isolation)
        self.workers = WorkerRegistry(protocol, endpoints, self.post, self._endpoints_changed, log)
        self.isolation.attach(self.context, self.workers)
        self.attempts = Attempts(self.context, protocol, self.requests, self.workers, self.isolation)
        self.thread = threading.Thread(target=self._run, name="coordinator", daemon=True)
        # Called before decisions are taken. After a time in which this process did not run, it reads what has come, or
        # waits until the other threads have posted the events that they had not read by then. Returns whether it
        # waited.
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
            events.RequestReceived: lambda event: self.requests.handle_received(event.pending),
            events.RequestCancelled: lambda event: self.requests.handle_client_gone(event.pending),
            events.ClientClosed: self._client_closed,
            events.EndpointsReceived: lambda event: self.workers.apply(event.entries, self.context.now()),
            events.DiscoveryHeard: lambda event: self.context.apply_input("discovery_heard", event.at),
            events.DiscoveryLost: lambda event: self.context.apply_input("discovery_lost", event.at),
            events.CommandFinished: self._command_finished,
            events.AttemptWithdrawn: self.attempts.handle_withdrawn,
        }

    @property
    def router(self) -> Router:
        """The router, to read its state."""
        return self.driver.router

    @property
    def counts(self) -> Counter[str]:
        """The event counters, for the log."""
        return self.context.counts

    @property
    def timers(self) -> Timers:
        """The scheduled callbacks."""
        return self.context.timers

    # ---- called from other threads ----

    def open(self) -> None:
        """Starts the coordinator's thread."""
        self.thread.start()

    def post(self, event: Event) -> None:
        """Queues an event."""
        self.events.put(event)

    def rejection_reason(self) -> RejectionReason | None:
        """Returns why no request can be accepted now, None where one can."""
        if self.requests.stopping:
            return RejectionReason.STOPPING
        if self.requests.is_full():
            return RejectionReason.GATEWAY_FULL
        return RejectionReason.OVERRUN if self.events.qsize() >= self.config.bounds.events else None

    def is_idle(self) -> bool:
        """Whether no request is open and no event is queued."""
        return not self.requests.by_id and self.events.empty()

    def stop_admitting(self) -> None:
        """Rejects every request from now on."""
        self.requests.stopping = True

    def close(self) -> None:
        """Stops the thread and closes the worker clients."""
        self.events.put(None)
        self.thread.join()
        self.workers.close()

    def _run(self) -> None:
        while self.run_once(max(0.0, self.next_deadline() - self.context.now())):
            pass

    # ---- called by the coordinator's thread, or by the event loop that runs it ----

    def next_deadline(self) -> float:
        """Returns when `run_once` is due next (monotonic ms), unless an event arrives before."""
        return min(self.router.wake_at, self.timers.next_deadline(), self.requests.next_deadline())

    def run_once(self, wait: float = 0.0) -> bool:
        """Handles queued events (waiting at most `wait` ms for a first one), due timers, and the router's decisions.

        Returns False once the coordinator is to stop.
        """
        if not self._handle_events(wait) or (self.catch_up() and not self._handle_events(0.0)):
            return False
        run_guarded = self.context.run_guarded
        now = self.context.now()
        while (overdue := self.requests.pop_overdue(now)) is not None:
            run_guarded(self.attempts.handle_deadline, overdue)
        for action, args in self.timers.due(now):
            run_guarded(action, *args)
        if self.driver.is_due(now):
            run_guarded(self._carry_out_decisions)
        return True

    def _handle_events(self, wait: float) -> bool:
        # Under load a round of decisions takes longer than the time between two events, so a round for each event
        # would delay the next ones. All queued events are passed to the router first, then it decides once.
        try:
            event = self.events.get(True, wait / MS_PER_SECOND) if wait > 0 else self.events.get(False)
            for remaining in range(MAX_EVENTS_PER_ROUND, 0, -1):
                if event is None:
                    return False
                self.context.run_guarded(self.handlers[type(event)], event)
                if remaining > 1:
                    event = self.events.get(False)
        except queue.Empty:
            pass
        return True

    def _carry_out_decisions(self) -> None:
        for decision in self.driver.decisions(self.context.now()):
            # An exception in one decision must not delay the others until the router is next advanced.
            self.context.run_guarded(self.actions[type(decision)], decision)

    def handle_at_once(self, event: Event) -> None:
        """Handles an event ahead of the queued ones. Called by the event loop, outside of `run_once`."""
        self.context.run_guarded(self.handlers[type(event)], event)

    # ---- requests ----

    def answer_all(self, reason: RejectionReason) -> None:
        """Sends all open requests their final answer at shutdown. Called by the event loop."""
        self.requests.answer_all(reason)

    def _client_closed(self, event: events.ClientClosed) -> None:
        for pending in event.pending:
            self.requests.handle_client_gone(pending)

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
        """Returns why a request got no answer from a worker: the outcome of its last attempt, if there was one."""
        outcomes = [attempt.outcome for attempt in request.attempts if attempt.outcome]
        if outcomes:
            return Outcome(outcomes[-1])
        return RejectionReason.DISCOVERY_LOST if self.router.readiness.list_was_expired else RejectionReason.NO_PLACE

    # ---- workers ----

    def _endpoints_changed(self, endpoints: list[Endpoint]) -> None:
        self.context.apply_input("endpoints_changed", endpoints, False)

    # ---- commands ----

    def _report_process(self, client: AnyWorkerClient) -> None:
        """Tells the router if, by the client's connections, another process may listen at its worker's address."""
        worker = self.router.workers.get(client.name)
        if worker is None or worker.process_changed_at == client.process_changed_at:
            return
        if self.workers.is_current(client):
            self.context.apply_input("process_changed", client.name, client.process_changed_at)

    def _command_finished(self, event: events.CommandFinished) -> None:
        if event.worker_client is not None:
            self._report_process(event.worker_client)
        result = self.protocol.result_of(event.command, event.outcome, event.answer, event.data)
        match event.command.key:
            case Attempt() as attempt:
                self.attempts.handle_finished(attempt, result)
            case PrewarmKey() as key:
                began_at = event.command.began_at
                waited = 0.0 if began_at is None else max(0.0, began_at - key.sent_at)
                self._prewarm_finished(key, result, waited)
            case worker:
                self.counts[f"health_checks_{result.outcome}"] += 1
                self.context.apply_input(
                    "health_checked", worker, result.outcome, result.report, result.same_process_since
                )

    def _prewarm_finished(self, key: PrewarmKey, result: CommandResult, waited: float) -> None:
        self.counts[f"prewarms_{result.outcome}"] += 1
        self.isolation.prewarm_finished(key.worker, key.function, result)
        elapsed = self.context.now() - key.sent_at
        self.context.apply_input(
            "prewarm_finished", key.worker, key.function, result.outcome, result.replicas, elapsed, waited
        )

    def _prewarm(self, decision: decisions.Prewarm) -> None:
        name = decision.worker.endpoint.ident
        function = decision.function
        key = PrewarmKey(name, function.name, self.context.now())
        command = self.protocol.prewarm_command(key, function, decision.replicas)
        command.begin_before = decision.begin_before
        command.may_begin = partial(self.context.may_send, decision.worker)
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
        # Only logged: the watcher of the endpoint list pushes changes in any case.
        self.log.info("endpoint list followed", enabled=decision.enabled)

    def _log_note(self, decision: decisions.LogNote) -> None:
        note = logs.parse_note(decision.text)
        self.log.info(note.event, **note.fields)
