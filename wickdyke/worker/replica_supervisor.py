"""The replicas that run: hands them requests, takes their answers, and ends them."""

from wickdyke.worker.actions import Run, Stop
from wickdyke.worker.cache import Cache
from wickdyke.worker.model import Replica, ReplicaState, Request
from wickdyke.worker.open_requests import OpenRequests
from wickdyke.worker.parent_client import ParentClient
from wickdyke.worker.replica_messages import ReplicaEnded, ReplicaMessage, ReplicaStarted
from wickdyke.worker.replica_process import ReplicaProcess
from wickdyke.worker.schedule import Schedule
from wickdyke.worker.schedule_runner import ScheduleRunner


class ReplicaSupervisor:
    """All replicas' processes, by number. What it keeps is guarded by the schedule's lock."""

    def __init__(
        self, runner: ScheduleRunner, parent: ParentClient, open_requests: OpenRequests, cache: Cache, log
    ) -> None:
        self.runner, self.parent, self.open_requests = runner, parent, open_requests
        self.cache, self.log = cache, log
        self.processes: dict[int, ReplicaProcess] = {}
        self.running: dict[int, Request] = {}  # by the number that replicas know them by
        self.stopped: dict[int, Replica] = {}  # whose lane is not free yet, by the same number
        self.last_number = 0

    def is_current(self, process: ReplicaProcess) -> bool:
        """Whether it has not been ended."""
        return self.processes.get(process.replica.number) is process

    # ---- actions of the schedule, under its lock ----

    def run(self, action: Run) -> None:
        """Hands a request to its replica."""
        request, replica = action.request, action.replica
        self.last_number += 1
        self.running[self.last_number] = request
        request.number = self.last_number
        process = self.processes.get(replica.number)
        if process is None or not process.run(request.number, self.open_requests.input(request.key)):
            self.end(replica, "it does not read")
            self.runner.schedule.replica_ended(replica)

    def stop(self, action: Stop) -> None:
        """Has a replica end a request."""
        number = action.request.number
        self.running.pop(number, None)
        self.stopped[number] = action.replica
        process = self.processes.get(action.replica.number)
        if process is not None:
            process.stop(number)

    def end(self, replica: Replica, reason: str) -> None:
        """Ends a replica's process. A `reason` is logged; there is none where it was idle."""
        process = self.processes.pop(replica.number, None)
        if process is None:
            return
        if reason:
            self.log.warning("replica ended", function=replica.function.name, replica=replica.number, why=reason)
        self.parent.end_replica(replica.number)
        process.write_buffer.close()
        self.cache.give(process.digest)

    # ---- threads ----

    def listen(self, process: ReplicaProcess) -> None:
        """Takes what a replica sends, until it is gone."""
        for message in process.messages():
            self._handle(process, message)
        if process.failure is None:
            process.failure = "it ended"
        process.started.set()
        with self.runner.lock:
            is_loading = process.replica.state == ReplicaState.LOADING
            if self.is_current(process) and not is_loading:
                self.end(process.replica, "it ended by itself")
                with self.runner.event() as schedule:
                    schedule.replica_ended(process.replica)
        process.write_buffer.close()
        process.sock.close()
        with self.runner.lock:
            process.close_output()

    def _handle(self, process: ReplicaProcess, message: ReplicaMessage) -> None:
        if message.ready or message.failed is not None:
            process.failure = message.failed
            process.started.set()
            return
        with self.runner.event() as schedule:
            number = message.freed if message.freed is not None else message.id
            if number in self.stopped:
                self._lane_freed(schedule, process, number)
            else:
                self._answered(schedule, process, number, message)

    def _lane_freed(self, schedule: Schedule, process: ReplicaProcess, number: int) -> None:
        """A stopped request ended, whatever came of it."""
        if self.stopped[number] is process.replica:
            del self.stopped[number]
            schedule.lane_freed(process.replica)

    def _answered(
        self, schedule: Schedule, process: ReplicaProcess, number: int | None, message: ReplicaMessage
    ) -> None:
        request = self.running.get(number)
        if request is None or request.replica is not process.replica:
            return
        del self.running[number]
        if not schedule.request_answered(request.key):
            return
        if message.error is not None:
            self.open_requests.fail(request, message.error)
        else:
            self.open_requests.answer(request, message.output)

    def watch_parent(self) -> None:
        """Takes what the parent reports, until it is gone."""
        for event in self.parent.events():
            with self.runner.lock:
                self._parent_reported(event)

    def _parent_reported(self, event: ReplicaStarted | ReplicaEnded) -> None:
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
        """Logs a little of what each replica printed; one that prints more waits for the rest to be read."""
        with self.runner.lock:
            for process in list(self.processes.values()):
                replica = process.replica
                for line in process.read_output():
                    self.log.info("printed", function=replica.function.name, replica=replica.number, line=line)
