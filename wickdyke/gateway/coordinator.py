"""The coordinator: it owns the router and the pending requests, and carries out what the router decides.

Events come by a queue; the router is told of them, its decisions are taken and carried out, and it is advanced at its
`wake_at`. Nothing here decides and nothing here waits: client connections and worker clients take bytes without
blocking. It is turned by a thread of its own, or by an event loop.
"""

import queue
import threading
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from wickdyke.gateway import events
from wickdyke.gateway import log as logs
from wickdyke.gateway.attempts import Attempts
from wickdyke.gateway.context import Context, clock
from wickdyke.gateway.events import Event
from wickdyke.gateway.interfaces import Command, CommandKind, EndpointList, WorkerClient, WorkerProtocol
from wickdyke.gateway.isolation import Isolation, NoIsolation
from wickdyke.gateway.pending_requests import PendingRequests
from wickdyke.gateway.router_driver import RouterDriver, settings_of
from wickdyke.gateway.worker_registry import WorkerRegistry
from wickdyke.routing import decisions
from wickdyke.routing.model import Endpoint, Outcome, Request
from wickdyke.routing.router import Router
from wickdyke.transport.timers import Timers

if TYPE_CHECKING:  # only one of the two gateways records
    from wickdyke.gateway.recording import DecisionRecorder

EVENTS_AT_ONCE = 512  # told to the router before its decisions are taken, at most


class Coordinator:
    """Carries out what the router decides; docs/architecture.md shows its place."""

    def __init__(
        self,
        config,
        seed: int,
        log,
        protocol: WorkerProtocol,
        endpoints: EndpointList,
        recorder: "DecisionRecorder | None" = None,
        isolation: Isolation | None = None,
    ) -> None:
        self.config, self.log, self.protocol = config, log, protocol
        self.isolation = isolation or NoIsolation()
        self.events: queue.SimpleQueue[Event | None] = queue.SimpleQueue()
        self.driver = RouterDriver(clock(), seed, config.request_classes, settings_of(config), recorder)
        self.context = Context(config, log, self.driver, self.post)
        self.requests = PendingRequests(self.context, self.isolation)
        self.workers = WorkerRegistry(protocol, endpoints, self.post, self._endpoints_changed, log)
        self.isolation.attach(self.context, self.workers)
        self.attempts = Attempts(self.context, protocol, self.requests, self.workers, self.isolation)
        self.thread = threading.Thread(target=self._run, name="coordinator", daemon=True)
        self.actions = self._actions()
        self.handlers = self._handlers()

    def _actions(self) -> dict[type, Callable]:
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

    def _handlers(self) -> dict[type, Callable]:
        return {
            events.RequestReceived: lambda event: self.requests.received(event.pending),
            events.RequestCancelled: lambda event: self.requests.client_gone(event.pending),
            events.ClientClosed: self._client_closed,
            events.EndpointsReceived: lambda event: self.workers.apply(event.entries, self.context.now()),
            events.WorkerConnected: self._worker_connected,
            events.WorkerUnreachable: self._worker_unreachable,
            events.WorkerConnectionLost: self._worker_connection_lost,
            events.WorkerDraining: self._worker_draining,
            events.CommandFinished: self._command_finished,
            events.AttemptWithdrawn: self.attempts.withdrawn,
        }

    @property
    def router(self) -> Router:
        """The router, for those that look at its state."""
        return self.driver.router

    @property
    def counts(self) -> Counter[str]:
        """What happened how often, for the log."""
        return self.context.counts

    @property
    def timers(self) -> Timers:
        """What is due later."""
        return self.context.timers

    # ---- called from other threads ----

    def open(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def post(self, event: Event) -> None:
        """Queues an event."""
        self.events.put(event)

    def busy(self) -> str:
        """Why no request can be taken now, in one word, or nothing."""
        if self.requests.stopping:
            return "stopping"
        if self.requests.is_full():
            return "gateway-full"
        return "overrun" if self.events.qsize() >= self.config.bounds.events else ""

    def idle(self) -> bool:
        """Whether nothing is owed."""
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
        while self.turn_once(max(0.0, self.next_at() - self.context.now())):
            pass

    # ---- for its thread, or for the loop that turns it ----

    def next_at(self) -> float:
        """When it is due next (ms), if nothing comes before."""
        return min(self.router.wake_at, self.timers.next_deadline(), self.requests.next_deadline())

    def turn_once(self, wait: float = 0.0) -> bool:
        """Handles what has come (waiting so many ms for a first event), does what is due, carries out what is decided.

        Returns False once it is to end.
        """
        if not self._handle_events(wait):
            return False
        guarded, now = self.context.guarded, self.context.now()
        while (overdue := self.requests.take_overdue(now)) is not None:
            guarded(self.attempts.time_up, overdue)
        for act, args in self.timers.due(now):
            guarded(act, *args)
        if self.driver.is_due(now):
            guarded(self._carry_out_decisions)
        return True

    def _handle_events(self, wait: float) -> bool:
        # When much waits one look costs more than the time between two, and each event alone would wait for one. So
        # the router is told of all that has come by now, and then decides.
        try:
            event = self.events.get(True, wait / 1000) if wait > 0 else self.events.get(False)
            for left in range(EVENTS_AT_ONCE, 0, -1):
                if event is None:
                    return False
                self.context.guarded(self.handlers[type(event)], event)
                if left > 1:
                    event = self.events.get(False)
        except queue.Empty:
            pass
        return True

    def _carry_out_decisions(self) -> None:
        for decision in self.driver.decisions(self.context.now()):
            # What breaks one decision must not keep the others back until the router is advanced again.
            self.context.guarded(self.actions[type(decision)], decision)

    # ---- requests ----

    def answer_all(self, why: str) -> None:
        """For the loop that turns it: the process ends, so all that is open gets its final answer now."""
        self.requests.answer_all(why)

    def _client_closed(self, event: events.ClientClosed) -> None:
        for pending in event.pending:
            self.requests.client_gone(pending)

    def _reject(self, decision: decisions.Reject) -> None:
        pending, why = self.requests.by_id[decision.request.ident], _reason(decision.request)
        self.counts[f"rejected_{why}"] += 1
        self.requests.answer(pending, pending.reject, why, decision.retry_after)
        self.requests.forget(pending)

    def _fail(self, decision: decisions.Fail) -> None:
        pending = self.requests.by_id[decision.request.ident]
        self.requests.answer(pending, pending.fail, _reason(decision.request))
        self.requests.forget(pending)

    # ---- workers ----

    def _endpoints_changed(self, endpoints: list[Endpoint]) -> None:
        self.context.inform("endpoints_changed", endpoints, False)

    def _worker_connected(self, event: events.WorkerConnected) -> None:
        if self.workers.is_current(event.worker_client):
            name, now = event.worker_client.name, self.context.now()
            self.workers.report(self.workers.endpoints.hello(name, event.standing, now), now)

    def _worker_unreachable(self, event: events.WorkerUnreachable) -> None:
        if self.workers.is_current(event.worker_client):
            now = self.context.now()
            self.workers.report(self.workers.endpoints.unreachable(event.worker_client.name, now), now)

    def _worker_connection_lost(self, event: events.WorkerConnectionLost) -> None:
        self.counts["connections_lost"] += 1
        self.log.info("worker connection lost", worker=event.worker_client.name, why=event.why)

    def _worker_draining(self, event: events.WorkerDraining) -> None:
        if self.workers.is_current(event.worker_client):
            self.workers.report(self.workers.endpoints.draining(event.worker_client.name), self.context.now())

    # ---- commands ----

    def _command_finished(self, event: events.CommandFinished) -> None:
        command = event.command
        result = self.protocol.result_of(command, event.outcome, event.answer, event.data)
        if command.kind == CommandKind.ATTEMPT:
            self.attempts.finished(command, result)
        elif command.kind == CommandKind.PREWARM:
            worker, function, sent_at = command.key
            self.isolation.prewarmed(worker, function, result)
            took = self.context.now() - sent_at
            self.context.inform("prewarm_finished", worker, function, result.outcome, result.replicas, took)
        else:
            self.context.inform("health_checked", command.key, result.outcome, result.report)

    def _prewarm(self, decision: decisions.Prewarm) -> None:
        name, function = decision.worker.endpoint.ident, decision.function
        command = self.protocol.prewarm_command((name, function.name, self.context.now()), function, decision.replicas)
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

    def _command_timed_out(self, client: WorkerClient, command: Command) -> None:
        if client.abandon(command):
            self._command_finished(events.CommandFinished(client, command, Outcome.TIMEOUT))

    def _follow_endpoints(self, decision: decisions.FollowEndpoints) -> None:
        self.log.info("endpoint list followed", on=decision.enabled)  # its watcher pushes it in any case

    def _log_note(self, decision: decisions.LogNote) -> None:
        event, keys = logs.keys(decision.text)
        self.log.info(event, **keys)


def _reason(request: Request) -> str:
    """Why a request gets no answer from a worker: how its last attempt ended."""
    ended = [attempt.outcome for attempt in request.attempts if attempt.outcome]
    return ended[-1] if ended else "no-place"
