"""What a fake worker writes to its trace; the kinds of lines and their keys stand here alone."""

from wickdyke.fault_injection.fake_worker.attempts import RunningAttempt
from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.fake_worker.faults import FaultOrder
from wickdyke.fault_injection.trace import TraceRecorder
from wickdyke.protocol import worker_messages


class WorkerTrace:
    """The trace of one worker. Each method writes one line and raises InvalidTraceError where that fails."""

    def __init__(self, config: FakeWorkerConfig) -> None:
        self.config = config
        self.record = TraceRecorder(config.trace, config.name)

    def started(self) -> None:
        """The worker started."""
        config = self.config
        self.record("started", start=config.start, cold=config.warming_up, cores=config.cores, speed=config.speed)

    def hello(self, gateway: str) -> None:
        """A gateway introduced itself."""
        self.record("hello", gateway=gateway, start=self.config.start)

    def connection_closed(self, gateway: str) -> None:
        """A gateway closed its connection."""
        self.record("hung-up", gateway=gateway)

    def attempt_received(self, attempt: RunningAttempt, received_at: float) -> None:
        """An attempt arrived at `received_at` (ms, monotonic)."""
        self.record(
            "run",
            received_at,
            mark=attempt.input.mark,
            gateway=attempt.key.connection.peer,
            program=attempt.function,
            work=attempt.input.work_ms,
            token=attempt.request.idempotency_key,
            start=self.config.start,
            job=attempt.number,
        )

    def attempt_cancelled(self, attempt: RunningAttempt) -> None:
        """A gateway cancelled an attempt."""
        self.record("cancel", mark=attempt.input.mark, gateway=attempt.key.connection.peer, job=attempt.number)

    def attempt_ended(self, attempt: RunningAttempt, result: str) -> None:
        """An attempt ended, with an AttemptEnd or the outcome of a rejection."""
        self.record("end", mark=attempt.input.mark, gateway=attempt.key.connection.peer, how=result, job=attempt.number)

    def prewarm_received(self, gateway: str, prewarm: worker_messages.PrewarmRequest) -> None:
        """A gateway ordered replicas, or queried how many are loaded."""
        self.record("hold", gateway=gateway, program=prewarm.function, copies=prewarm.replicas, start=self.config.start)

    def load_finished(self, function: str, succeeded: bool) -> None:
        """A load of a replica succeeded or failed."""
        self.record("loaded", program=function, good=succeeded)

    def fault_ordered(self, order: FaultOrder) -> None:
        """A fault is about to begin."""
        self.record("fault", fault=order.kind, value=order.value, lasts=order.duration_ms)

    def crashed(self) -> None:
        """The worker was sent more than it withstands in slow start, and ends."""
        self.record("fell", start=self.config.start)
