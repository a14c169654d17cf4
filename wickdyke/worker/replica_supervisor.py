"""Supervises the replicas' processes: sends them requests, receives their answers, and ends them."""

from wickdyke.worker.actions import Run, Stop
from wickdyke.worker.cache import Cache
from wickdyke.worker.log import Log
from wickdyke.worker.model import Replica, ReplicaState, Request
from wickdyke.worker.open_requests import OpenRequests
from wickdyke.worker.parent_client import ParentClient
from wickdyke.worker.replica_messages import (
    FunctionRaised,
    FunctionReturned,
    ReplicaEnded,
    ReplicaMessage,
    ReplicaReady,
    ReplicaStarted,
    SlotFreed,
    StartFailed,
)
from wickdyke.worker.replica_process import ReplicaProcess
from wickdyke.worker.schedule import Schedule
from wickdyke.worker.schedule_runner import ScheduleRunner


class ReplicaSupervisor:
    """The processes of all replicas, by the number of the replica. The schedule's lock guards its state."""

    def __init__(
        self,
        runner: ScheduleRunner,
        parent: ParentClient,
        open_requests: OpenRequests,
        cache: Cache,
        log: Log,
    ) -> None:
        self.runner = runner
        self.parent = parent
        self.open_requests = open_requests
        self.cache = cache
        self.log = log
        self.processes: dict[int, ReplicaProcess] = {}
        self.running_requests: dict[int, Request] = {}  # by their number in messages to replicas
        # By the same number: the replicas of stopped requests whose slot is not free yet.
        self.stopped_request_replicas: dict[int, Replica] = {}
        self.last_number = 0

    def is_current(self, process: ReplicaProcess) -> bool:
        """Whether the process has not been ended by `end`."""
        return self.processes.get(process.replica.number) is process

    # ---- actions of the schedule, under its lock ----

    def run(self, action: Run) -> None:
        """Sends a request to its replica."""
        request = action.request
        replica = action.replica
        self.last_number += 1
        self.running_requests[self.last_number] = request
        request.number = self.last_number
        process = self.processes.get(replica.number)
        if process is None or not process.run(request.number, self.open_requests.input(request)):
            self.end(replica, "the replica does not read its messages")
            self.runner.schedule.replica_ended(replica)

    def stop(self, action: Stop) -> None:
        """Tells the request's replica to stop it."""
        number = action.request.number
        self.running_requests.pop(number, None)
        self.stopped_request_replicas[number] = action.replica
        process = self.processes.get(action.replica.number)
        if process is not None:
            process.stop(number)

    def end(self, replica: Replica, reason: str) -> None:
        """Ends a replica's process. Logs the `reason`, unless it is empty, as for an idle replica."""
        process = self.processes.pop(replica.number, None)
        if process is None:
            return
        if reason:
            self.log.warning("replica ended", function=replica.function.name, replica=replica.number, reason=reason)
        self.parent.end_replica(replica.number)
        process.write_buffer.close()
        self.cache.release(process.digest)

    # ---- threads ----

    def listen(self, process: ReplicaProcess) -> None:
        """Handles a replica's messages until it ends."""
        for message in process.messages():
            self._handle(process, message)
        if process.failure is None:
            process.failure = "the replica ended"
        process.start_ended.set()
        with self.runner.lock:
            is_loading = process.replica.state == ReplicaState.LOADING
            if self.is_current(process) and not is_loading:
                self.end(process.replica, "the replica ended by itself")
                with self.runner.event() as schedule:
                    schedule.replica_ended(process.replica)
        process.write_buffer.close()
        process.sock.close()
        with self.runner.lock:
            process.close_output()

    def _handle(self, process: ReplicaProcess, message: ReplicaMessage) -> None:
        match message:
            case ReplicaReady():
                process.start_ended.set()
            case StartFailed():
                process.failure = message.reason
                process.start_ended.set()
            case FunctionReturned() | FunctionRaised() | SlotFreed():
                with self.runner.event() as schedule:
                    # An answer that was sent before the replica received StopRequest frees the slot too.
                    if message.request in self.stopped_request_replicas:
                        self._free_slot(schedule, process, message.request)
                    elif not isinstance(message, SlotFreed):
                        self._handle_answer(schedule, process, message)

    def _free_slot(self, schedule: Schedule, process: ReplicaProcess, number: int) -> None:
        """Frees the slot of a stopped request that has ended."""
        if self.stopped_request_replicas[number] is process.replica:
            del self.stopped_request_replicas[number]
            schedule.slot_freed(process.replica)

    def _handle_answer(
        self, schedule: Schedule, process: ReplicaProcess, message: FunctionReturned | FunctionRaised
    ) -> None:
        request = self.running_requests.get(message.request)
        if request is None or request.replica is not process.replica:
            return
        del self.running_requests[message.request]
        if not schedule.request_answered(request.key):
            return
        if isinstance(message, FunctionRaised):
            self.open_requests.fail(request, message.error)
        else:
            self.open_requests.answer(request, message.output)

    def watch_parent(self) -> None:
        """Handles the parent's messages until it ends."""
        for event in self.parent.events():
            with self.runner.lock:
                self._handle_event(event)

    def _handle_event(self, event: ReplicaStarted | ReplicaEnded) -> None:
        process = self.processes.get(event.number)
        if process is None:
            return
        if isinstance(event, ReplicaStarted):
            process.pid = event.pid
            return
        replica = process.replica
        self.log.info(
            "replica's process ended", function=replica.function.name, replica=replica.number, status=event.status
        )

    def log_output(self) -> None:
        """Logs a part of the output of each replica; a replica that prints more blocks until the rest is read."""
        with self.runner.lock:
            for process in list(self.processes.values()):
                replica = process.replica
                for line in process.read_output():
                    self.log.info("printed", function=replica.function.name, replica=replica.number, line=line)
