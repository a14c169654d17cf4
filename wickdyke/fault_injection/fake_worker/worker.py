"""The state of one fake worker, and how it handles attempts, prewarms and fault commands."""

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
    FaultCommand,
    FaultKind,
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

DEFAULT_LOAD_MS = 500.0  # for a prewarm that does not state its load time
DIED_EXIT_CODE = 1
CRASHED_EXIT_CODE = 3
FULL_SPEED_AGE_RAMPS = 10  # the initial age, in ramps, of a worker without a slow start: past the end of its ramp


class FakeWorker:
    """One fake worker. `lock` guards its whole state; callers acquire it, and the scheduler does so for its actions."""

    def __init__(self, config: FakeWorkerConfig) -> None:
        """Raises OSError where the trace can't be opened."""
        self.config = config
        self.started_at = clock() if config.warming_up else clock() - FULL_SPEED_AGE_RAMPS * config.ramp
        self.trace = WorkerTrace(config)
        self.random = random.Random(config.seed)
        self.lock = threading.RLock()
        self.faults = ActiveFaults()
        self.triggers = FaultTriggers()
        self.draining = False
        self.attempts: dict[AttemptKey, RunningAttempt] = {}  # includes ended attempts whose answer was not sent
        self.slow_start = SlowStart(config, self.started_at)
        self.replicas = ReplicaMemory(config.memory_mb)
        self.prewarms = Prewarms(self.replicas)
        self.queue = AttemptQueue(config.cores, self.replicas, self._start_attempt)
        self.report: dict[str, float] = {}
        self.trace.started()
        self.scheduler = Scheduler(self.lock)
        self.loader = ReplicaLoader(config, self.scheduler, self._replica_loaded)
        self._update_periodically()

    def describe(self) -> worker_messages.WorkerHello:
        """Returns the answer to the hello message of a gateway."""
        up_ms = clock() - self.started_at
        return worker_messages.WorkerHello(
            worker_messages.VERSION, self.config.name, self.config.start, up_ms, self.draining
        )

    # ---- attempts ----

    def attempt_received(self, key: AttemptKey, run: worker_messages.RunRequest) -> None:
        """Queues, delays, rejects or ignores an attempt, depending on the active faults."""
        request_input = msgspec.json.decode(run.input, type=RequestInput)
        received_at = clock()
        number = self.triggers.event_counts[TriggerEvent.ATTEMPT] + 1
        attempt = RunningAttempt(key, run, request_input, self._in_flight(run.function), number)
        self.trace.attempt_received(attempt, received_at)
        self._record_event(TriggerEvent.ATTEMPT)
        self.attempts[key] = attempt
        if self.slow_start.record_work(received_at, request_input.work_ms):
            self.trace.crashed()
            os._exit(CRASHED_EXIT_CODE)
        if self.faults.hanging:
            return
        late_answer_delay = self.faults.pop_late_answer_delay()
        if late_answer_delay is not None:
            self.scheduler.call_later(run.time_left_ms + late_answer_delay, partial(self._answer_attempt, attempt))
            return
        self._admit(attempt)

    def attempt_cancelled(self, key: AttemptKey) -> None:
        """Ends the attempt with that key, if there is one."""
        attempt = self.attempts.get(key)
        if attempt is None:
            return
        self.trace.attempt_cancelled(attempt)
        if attempt.has_ended:
            del self.attempts[key]
        else:
            self._end_attempt(attempt, AttemptEnd.CANCELLED)

    def connection_closed(self, connection: LineConnection) -> None:
        """Ends all attempts of the connection."""
        if connection.peer:
            self.trace.connection_closed(connection.peer)
        attempts = [attempt for attempt in self.attempts.values() if attempt.key.connection is connection]
        for attempt in [attempt for attempt in attempts if not attempt.has_ended]:
            self._end_attempt(attempt, AttemptEnd.CONNECTION_CLOSED)

    def _in_flight(self, function: str | None = None) -> int:
        """Returns how many attempts of one function, or of all functions, have not ended."""
        return sum(
            not attempt.has_ended
            for attempt in self.attempts.values()
            if function is None or attempt.function == function
        )

    def _admit(self, attempt: RunningAttempt) -> None:
        if self.draining:
            self._reject_attempt(attempt, worker_messages.DRAINING, "draining")
        elif self.random.random() < self.faults.failure_rate:
            self._reject_attempt(attempt, worker_messages.FAILED, "failed")
        elif self._in_flight() > self.config.queue_capacity:
            self._reject_attempt(attempt, worker_messages.FULL, "queue full")
        else:
            self._enqueue(attempt)

    def _enqueue(self, attempt: RunningAttempt) -> None:
        """Queues an attempt; starts a load where its function has no replica, or rejects the attempt."""
        replicas = self.replicas.register(attempt.function)
        if not replicas:
            if not self.config.loads_on_demand:
                self._reject_attempt(attempt, worker_messages.MISS, "not loaded")
                return
            run = attempt.request
            replica = FakeReplica(run.function, run.memory_mb, run.concurrency, attempt.input.load_ms, clock())
            if not self._load(replica):
                self._reject_attempt(attempt, worker_messages.FULL, "no memory")
                return
            attempt.load_note = LoadNote.LOAD_STARTED
        elif not any(replica.ready for replica in replicas):
            attempt.load_note = LoadNote.LOAD_AWAITED
        self.queue.add(attempt)

    def _start_attempt(self, attempt: RunningAttempt) -> None:
        """Runs an attempt on a core; the work takes time but no CPU."""
        self.scheduler.call_later(
            attempt.input.work_ms * self._run_ms_per_work_ms(), partial(self._answer_attempt, attempt)
        )

    def _run_ms_per_work_ms(self) -> float:
        """Returns how many ms a ms of work takes on one core now."""
        capacity = self.config.speed * self.slow_start.capacity_share() * (1 - self.faults.neighbour_share)
        return self.faults.slowdown / capacity

    def _answer_attempt(self, attempt: RunningAttempt) -> None:
        if attempt.has_ended:
            return
        if self.faults.hanging or self.random.random() < self.faults.answer_loss_rate:
            self._end_attempt(attempt, AttemptEnd.ANSWER_LOST, keep_entry=True)
            return
        self._end_attempt(attempt, AttemptEnd.COMPLETED)
        responses.send_attempt_result(attempt, self.report)

    def _reject_attempt(self, attempt: RunningAttempt, code: int, reason: str) -> None:
        self._end_attempt(attempt, worker_messages.OUTCOMES[code])
        responses.send_attempt_error(attempt, code, reason, self.report, self.draining)

    def _end_attempt(self, attempt: RunningAttempt, result: str, keep_entry: bool = False) -> None:
        """Ends an attempt; with `keep_entry` it stays in `attempts` until the gateway cancels it."""
        self.trace.attempt_ended(attempt, result)
        attempt.has_ended = True
        if not keep_entry:
            self.attempts.pop(attempt.key, None)
        self.queue.remove(attempt)

    # ---- replicas ----

    def prewarm(self, prewarm: PendingPrewarm, prewarm_request: worker_messages.PrewarmRequest) -> None:
        """Starts the loads that a prewarm needs; the prewarm is answered when they are done."""
        if self.draining and prewarm_request.replicas:
            connection, request_id = prewarm.connection, prewarm.request_id
            connection.send(jsonrpc.error_response(request_id, worker_messages.DRAINING, "draining"))
            return
        replicas = self.replicas.register(prewarm_request.function)
        for replica in replicas[: prewarm_request.replicas]:
            replica.last_used_at = clock()
        load_ms = prewarm_request.load_ms or DEFAULT_LOAD_MS
        while len(replicas) < prewarm_request.replicas:
            replica = FakeReplica(
                prewarm_request.function, prewarm_request.memory_mb, prewarm_request.concurrency, load_ms, clock()
            )
            if not self._load(replica):
                self.prewarms.reject(prewarm, worker_messages.FULL, "no memory")
                return
        self.prewarms.add(prewarm)

    def _load(self, replica: FakeReplica) -> bool:
        """Starts to load a replica; returns False where there is not enough memory."""
        if not self.replicas.make_room(replica.memory_mb, self.queue.has_waiting):
            return False
        self.replicas.register(replica.function).append(replica)
        self.loader.pending_loads.append(replica)
        self._record_event(TriggerEvent.LOAD)
        self.loader.start_pending()
        return True

    def _replica_loaded(self, replica: FakeReplica, succeeded: bool) -> None:
        replicas = self.replicas.replicas_of(replica.function)
        if replica in replicas:
            replica.ready = succeeded
            replica.last_used_at = clock()
            self.trace.load_finished(replica.function, succeeded)
            if not succeeded:
                replicas.remove(replica)
                if not replicas:
                    for attempt in self.queue.attempts_waiting(replica.function):
                        self._reject_attempt(attempt, worker_messages.MISS, "the load failed")
        self.queue.dispatch(replica.function)
        self.prewarms.answer_finished()

    def _update_periodically(self) -> None:
        """Samples the load report, advances aging and unloads expired replicas; schedules itself after the interval."""
        self.report = load_report(
            WorkerLoad(
                running_attempts=self.queue.running_attempts,
                cores=self.config.cores,
                neighbour_share=self.faults.neighbour_share,
                in_flight=self._in_flight(),
                loads=self.loader.unfinished_count(),
                pinned_fraction=self.replicas.pinned_fraction(),
            )
        )
        self.faults.advance_aging()
        self.replicas.unload_expired(self.config.idle_life, self.queue.has_waiting)
        self.scheduler.call_later(self.config.report_interval, self._update_periodically)

    # ---- faults ----

    def add_trigger(self, trigger: FaultTrigger) -> None:
        """Adds a command that starts at the event of its trigger."""
        with self.lock:
            self.triggers.add(trigger)

    def apply_fault(self, command: FaultCommand) -> None:
        """Applies a fault command: ends the process, acts at once, or activates the fault."""
        with self.lock:
            self.trace.fault_received(command)
            match command.kind:
                case FaultKind.DIE:
                    os._exit(DIED_EXIT_CODE)
                case FaultKind.DRAIN:
                    self.draining = True
                case FaultKind.RELEASE:
                    self.replicas.unload_all_idle()
                case FaultKind.AGE:
                    self.faults.start_aging(command.value, command.duration_ms or 0.0, self.config.report_interval)
                case _:
                    self.faults.activate(command.kind, command.value)
                    if command.duration_ms is not None:
                        self.scheduler.call_later(command.duration_ms, partial(self._end_fault, command.kind))

    def _record_event(self, event: TriggerEvent) -> None:
        for command in self.triggers.record_event(event):
            self.apply_fault(command)

    def _end_fault(self, kind: FaultKind) -> None:
        self.faults.clear(kind)
        if kind is FaultKind.HANG:
            # Attempts without a replica by now are never answered, even if the end of another attempt frees a replica.
            attempts = [attempt for attempt in self.attempts.values() if not attempt.has_ended]
            for attempt in [attempt for attempt in attempts if attempt.replica is None]:
                self._end_attempt(attempt, AttemptEnd.ANSWER_LOST, keep_entry=True)
