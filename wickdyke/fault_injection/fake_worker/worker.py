"""The state of one fake worker: what becomes of attempts, prewarms and orders to fail."""

import os
import random
import threading
from functools import partial

import msgspec

from wickdyke.fault_injection.fake_worker import responses
from wickdyke.fault_injection.fake_worker.attempt_queue import AttemptQueue
from wickdyke.fault_injection.fake_worker.attempts import (
    AttemptEnd,
    AttemptKey,
    LoadNote,
    RunningAttempt,
)
from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.fake_worker.faults import (
    ActiveFaults,
    FaultKind,
    FaultOrder,
    FaultTrigger,
    FaultTriggers,
    TriggerEvent,
)
from wickdyke.fault_injection.fake_worker.load_report import WorkerLoad, load_report
from wickdyke.fault_injection.fake_worker.prewarms import PendingPrewarm, Prewarms
from wickdyke.fault_injection.fake_worker.replica_loader import ReplicaLoader
from wickdyke.fault_injection.fake_worker.replicas import FakeReplica, ReplicaMemory
from wickdyke.fault_injection.fake_worker.scheduler import Scheduler
from wickdyke.fault_injection.fake_worker.slow_start import SlowStart
from wickdyke.fault_injection.fake_worker.worker_trace import WorkerTrace
from wickdyke.fault_injection.request_input import RequestInput
from wickdyke.fault_injection.trace import clock
from wickdyke.protocol import jsonrpc, worker_messages
from wickdyke.transport.line_server import LineConnection

DEFAULT_LOAD_MS = 500.0  # of a prewarm that states none
DIED_EXIT_CODE = 1
CRASHED_EXIT_CODE = 3
STARTED_LONG_AGO = 10  # in ramps: the age of a worker that starts without a slow start


class FakeWorker:
    """One fake worker. `lock` guards all of it: callers acquire it, the scheduler does so itself."""

    def __init__(self, config: FakeWorkerConfig) -> None:
        """Raises OSError where the trace can't be opened."""
        self.config = config
        self.started_at = clock() if config.warming_up else clock() - STARTED_LONG_AGO * config.ramp
        self.trace = WorkerTrace(config)
        self.random = random.Random(config.seed)
        self.lock = threading.RLock()
        self.faults = ActiveFaults()
        self.triggers = FaultTriggers()
        self.draining = False
        self.attempts: dict[AttemptKey, RunningAttempt] = {}  # among them ended ones without an answer
        self.slow_start = SlowStart(config, self.started_at)
        self.replicas = ReplicaMemory(config.memory_mb)
        self.prewarms = Prewarms(self.replicas)
        self.queue = AttemptQueue(config.cores, self.replicas, self._start)
        self.report: dict[str, float] = {}
        self.trace.started()
        self.scheduler = Scheduler(self.lock)
        self.loader = ReplicaLoader(config, self.scheduler, self._replica_loaded)
        self._refresh()

    def describe(self) -> worker_messages.WorkerHello:
        """What the worker answers to the hello of a gateway."""
        up_ms = clock() - self.started_at
        return worker_messages.WorkerHello(
            worker_messages.VERSION, self.config.name, self.config.start, up_ms, self.draining
        )

    # ---- attempts ----

    def attempt_received(self, key: AttemptKey, run: worker_messages.RunRequest) -> None:
        """Queues or rejects an attempt, as the faults in force have it."""
        request_input = msgspec.json.decode(run.input, type=RequestInput)
        received_at = clock()
        number = self.triggers.counts[TriggerEvent.ATTEMPT] + 1
        attempt = RunningAttempt(key, run, request_input, self._in_flight(run.function), number)
        self.trace.attempt_received(attempt, received_at)
        self._count(TriggerEvent.ATTEMPT)
        self.attempts[key] = attempt
        if self.slow_start.is_overloaded_by(received_at, request_input.work_ms):
            self.trace.crashed()
            os._exit(CRASHED_EXIT_CODE)
        if self.faults.hanging:
            return
        lateness = self.faults.take_lateness()
        if lateness is not None:
            self.scheduler.call_later(run.time_left_ms + lateness, partial(self._answer, attempt))
            return
        self._admit(attempt)

    def attempt_cancelled(self, key: AttemptKey) -> None:
        """Ends an attempt, if there is one of that key."""
        attempt = self.attempts.get(key)
        if attempt is None:
            return
        self.trace.attempt_cancelled(attempt)
        if attempt.ended:
            del self.attempts[key]
        else:
            self._end(attempt, AttemptEnd.CANCELLED)

    def connection_closed(self, connection: LineConnection) -> None:
        """Ends all attempts of the connection."""
        if connection.peer:
            self.trace.connection_closed(connection.peer)
        attempts = [attempt for attempt in self.attempts.values() if attempt.key.connection is connection]
        for attempt in [attempt for attempt in attempts if not attempt.ended]:
            self._end(attempt, AttemptEnd.CONNECTION_CLOSED)

    def _in_flight(self, function: str | None = None) -> int:
        """How many attempts have not ended, of one function or of all."""
        return sum(
            not attempt.ended for attempt in self.attempts.values() if function is None or attempt.function == function
        )

    def _admit(self, attempt: RunningAttempt) -> None:
        if self.draining:
            self._reject(attempt, worker_messages.DRAINING, "draining")
        elif self.random.random() < self.faults.failure_rate:
            self._reject(attempt, worker_messages.FAILED, "failed")
        elif self._in_flight() > self.config.queue_capacity:
            self._reject(attempt, worker_messages.FULL, "queue full")
        else:
            self._enqueue(attempt)

    def _enqueue(self, attempt: RunningAttempt) -> None:
        """Queues an attempt; starts a load where its function has no replica."""
        replicas = self.replicas.register(attempt.function)
        if not replicas:
            if not self.config.loads_on_demand:
                self._reject(attempt, worker_messages.MISS, "not loaded")
                return
            run = attempt.request
            replica = FakeReplica(run.function, run.memory_mb, run.concurrency, attempt.input.load_ms, clock())
            if not self._load(replica):
                self._reject(attempt, worker_messages.FULL, "no memory")
                return
            attempt.load_note = LoadNote.LOAD_STARTED
        elif not any(replica.ready for replica in replicas):
            attempt.load_note = LoadNote.LOAD_AWAITED
        self.queue.add(attempt)

    def _start(self, attempt: RunningAttempt) -> None:
        """Runs an attempt on a core, which takes time only."""
        self.scheduler.call_later(attempt.input.work_ms * self._run_ms_per_work_ms(), partial(self._answer, attempt))

    def _run_ms_per_work_ms(self) -> float:
        """How many ms a ms of work takes on one core now."""
        capacity = self.config.speed * self.slow_start.capacity_share() * (1 - self.faults.neighbour_share)
        return self.faults.slowdown / capacity

    def _answer(self, attempt: RunningAttempt) -> None:
        if attempt.ended:
            return
        if self.faults.hanging or self.random.random() < self.faults.answer_loss_rate:
            self._end(attempt, AttemptEnd.ANSWER_LOST, keep=True)
            return
        self._end(attempt, AttemptEnd.COMPLETED)
        responses.send_attempt_result(attempt, self.report)

    def _reject(self, attempt: RunningAttempt, code: int, reason: str) -> None:
        self._end(attempt, worker_messages.OUTCOMES[code])
        responses.send_attempt_error(attempt, code, reason, self.report, self.draining)

    def _end(self, attempt: RunningAttempt, result: str, keep: bool = False) -> None:
        """Frees the attempt's place; with `keep` it stays entered until the gateway cancels it."""
        self.trace.attempt_ended(attempt, result)
        attempt.ended = True
        if not keep:
            self.attempts.pop(attempt.key, None)
        self.queue.remove(attempt)

    # ---- replicas ----

    def prewarm(self, prewarm: PendingPrewarm, order: worker_messages.PrewarmRequest) -> None:
        """Starts the loads that are missing to an order, which is answered when they are done."""
        if self.draining and order.replicas:
            connection, request_id = prewarm.connection, prewarm.request_id
            connection.send(jsonrpc.error_response(request_id, worker_messages.DRAINING, "draining"))
            return
        replicas = self.replicas.register(order.function)
        for replica in replicas[: order.replicas]:
            replica.last_used = clock()
        load_ms = order.load_ms or DEFAULT_LOAD_MS
        while len(replicas) < order.replicas:
            replica = FakeReplica(order.function, order.memory_mb, order.concurrency, load_ms, clock())
            if not self._load(replica):
                self.prewarms.reject(prewarm, worker_messages.FULL, "no memory")
                return
        self.prewarms.add(prewarm)

    def _load(self, replica: FakeReplica) -> bool:
        """Starts to load a replica; False where there is no memory for it."""
        if not self.replicas.make_room(replica.memory_mb, self.queue.has_waiting):
            return False
        self.replicas.register(replica.function).append(replica)
        self.loader.pending.append(replica)
        self._count(TriggerEvent.LOAD)
        self.loader.start_pending()
        return True

    def _replica_loaded(self, replica: FakeReplica, succeeded: bool) -> None:
        replicas = self.replicas.replicas_of(replica.function)
        if replica in replicas:
            replica.ready = succeeded
            replica.last_used = clock()
            self.trace.load_finished(replica.function, succeeded)
            if not succeeded:
                replicas.remove(replica)
                if not replicas:
                    for attempt in self.queue.waiting(replica.function):
                        self._reject(attempt, worker_messages.MISS, "the load failed")
        self.queue.dispatch(replica.function)
        self.prewarms.answer_finished()

    def _refresh(self) -> None:
        """Samples the load report, ages, and unloads what was idle for long; then again after the interval."""
        self.report = load_report(
            WorkerLoad(
                running=self.queue.running,
                cores=self.config.cores,
                neighbour_share=self.faults.neighbour_share,
                in_flight=self._in_flight(),
                loads=self.loader.unfinished(),
                pinned_fraction=self.replicas.pinned_fraction(),
            )
        )
        self.faults.age()
        self.replicas.unload_expired(self.config.idle_life, self.queue.has_waiting)
        self.scheduler.call_later(self.config.report_interval, self._refresh)

    # ---- faults ----

    def add_trigger(self, trigger: FaultTrigger) -> None:
        """Keeps an order until the event that it waits for."""
        with self.lock:
            self.triggers.add(trigger)

    def apply_fault(self, order: FaultOrder) -> None:
        """Fails as ordered, at once or from now on."""
        with self.lock:
            self.trace.fault_ordered(order)
            match order.kind:
                case FaultKind.DIE:
                    os._exit(DIED_EXIT_CODE)
                case FaultKind.DRAIN:
                    self.draining = True
                case FaultKind.RELEASE:
                    self.replicas.unload_all_idle()
                case FaultKind.AGE:
                    self.faults.start_aging(order.value, order.duration_ms or 0.0, self.config.report_interval)
                case _:
                    self.faults.activate(order.kind, order.value)
                    if order.duration_ms is not None:
                        self.scheduler.call_later(order.duration_ms, partial(self._fault_over, order.kind))

    def _count(self, event: TriggerEvent) -> None:
        for order in self.triggers.count(event):
            self.apply_fault(order)

    def _fault_over(self, kind: FaultKind) -> None:
        self.faults.clear(kind)
        if kind is FaultKind.HANG:
            # What has no replica by now is never answered, also where the end of another frees one for it.
            attempts = [attempt for attempt in self.attempts.values() if not attempt.ended]
            for attempt in [attempt for attempt in attempts if attempt.replica is None]:
                self._end(attempt, AttemptEnd.ANSWER_LOST, keep=True)
