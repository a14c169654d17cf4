"""The trace that a fake worker writes; the kinds of its lines and their keys are defined only here."""

from wickdyke.fault_injection.fake_worker.attempts import RunningAttempt
from wickdyke.fault_injection.fake_worker.config import FakeWorkerConfig
from wickdyke.fault_injection.fake_worker.faults import FaultCommand
from wickdyke.fault_injection.trace import TraceRecorder
from wickdyke.protocol import worker_messages


class WorkerTrace:
    """The trace of one worker. Each method writes one line; raises InvalidTraceError where it is not written."""

    def __init__(self, config: FakeWorkerConfig) -> None:
        self.config = config
        self.record = TraceRecorder(config.trace, config.name)

    def started(self) -> None:
        """Records the start of the worker."""
        config = self.config
        self.record("started", start=config.start, cold=config.warming_up, cores=config.cores, speed=config.speed)

    def hello(self, gateway: str) -> None:
        """Records the hello message of a gateway."""
        self.record("hello", gateway=gateway, start=self.config.start)

    def connection_closed(self, gateway: str) -> None:
        """Records that a gateway closed its connection."""
        self.record("hung-up", gateway=gateway)

    def attempt_received(self, attempt: RunningAttempt, received_at: float) -> None:
        """Records an attempt that arrived at `received_at` (ms, monotonic)."""
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
        """Records that a gateway cancelled an attempt."""
        self.record("cancel", mark=attempt.input.mark, gateway=attempt.key.connection.peer, job=attempt.number)

    def attempt_ended(self, attempt: RunningAttempt, result: str) -> None:
        """Records the end of an attempt; `result` is an AttemptEnd or the outcome of a rejection."""
        self.record("end", mark=attempt.input.mark, gateway=attempt.key.connection.peer, how=result, job=attempt.number)

    def prewarm_received(self, gateway: str, prewarm: worker_messages.PrewarmRequest) -> None:
        """Records that a gateway requested replicas, or queried how many are loaded."""
        self.record("hold", gateway=gateway, program=prewarm.function, copies=prewarm.replicas, start=self.config.start)

    def load_finished(self, function: str, succeeded: bool) -> None:
        """Records that the load of a replica succeeded or failed."""
        self.record("loaded", program=function, good=succeeded)

    def fault_received(self, command: FaultCommand) -> None:
        """Records that a fault is about to start."""
        self.record("fault", fault=command.kind, value=command.value, lasts=command.duration_ms)

    def crashed(self) -> None:
        """Records that the worker crashes because it received more work in slow start than its limit."""
        self.record("fell", start=self.config.start)
