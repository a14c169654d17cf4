"""What a load client writes to its trace; the kinds of lines and their keys stand here alone."""

import msgspec

from wickdyke.fault_injection.load_client.plan import LoadPlan, TrafficChange
from wickdyke.fault_injection.load_client.request_generator import GeneratedRequest
from wickdyke.fault_injection.trace import TraceRecorder
from wickdyke.protocol import jsonrpc
from wickdyke.protocol.client_messages import FinalAnswer

NO_FINAL_ANSWER = "malformed"


class ClientTrace:
    """The trace of one client. Each method writes one line and raises InvalidTraceError where that fails."""

    def __init__(self, plan: LoadPlan) -> None:
        self.record = TraceRecorder(plan.trace, plan.name)

    def traffic_changed(self, change: TrafficChange) -> None:
        """The traffic is about to change."""
        self.record("traffic", **msgspec.to_builtins(change))

    def request_sent(self, mark: str, gateway: str, request: GeneratedRequest) -> None:
        """A request is about to be sent."""
        self.record(
            "asked",
            mark=mark,
            gateway=gateway,
            method=request.kind.method,
            program=request.function,
            left=request.time_left_ms,
            work=request.work_ms,
        )

    def request_unsent(self, mark: str) -> None:
        """A request was not sent, as there is no connection."""
        self.record("unsent", mark=mark)

    def request_lost(self, mark: str, gateway: str) -> None:
        """The connection closed before the answer to a request."""
        self.record("lost", mark=mark, gateway=gateway)

    def request_answered(
        self,
        mark: str,
        gateway: str,
        received_at: float,
        answer: FinalAnswer | None,
        error: jsonrpc.ErrorObject | None,
    ) -> None:
        """An answer arrived at `received_at` (ms, monotonic); None where it is no final one, with its error."""
        self.record(
            "answered",
            received_at,
            mark=mark,
            gateway=gateway,
            answer=answer.answer if answer else NO_FINAL_ANSWER,
            why=answer.reason if answer else str(error),
            call_outs=answer.attempts if answer else 0,
        )

    def done(self, requests: int) -> None:
        """All requests were sent, and those that got an answer have it."""
        self.record("done", asked=requests)
