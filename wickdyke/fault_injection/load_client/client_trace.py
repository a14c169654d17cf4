"""The trace that a load client writes; the kinds of its lines and their keys are defined only here."""

import msgspec

from wickdyke.fault_injection.load_client.plan import LoadPlan, TrafficChange
from wickdyke.fault_injection.load_client.request_generator import GeneratedRequest
from wickdyke.fault_injection.trace import TraceRecorder
from wickdyke.protocol import jsonrpc
from wickdyke.protocol.client_messages import FinalAnswer

NO_FINAL_ANSWER = "malformed"


class ClientTrace:
    """The trace of one client. Each method writes one line; raises InvalidTraceError where it is not written."""

    def __init__(self, plan: LoadPlan) -> None:
        self.record = TraceRecorder(plan.trace, plan.name)

    def traffic_changed(self, change: TrafficChange) -> None:
        """Records that the traffic is about to change."""
        self.record("traffic", **msgspec.to_builtins(change))

    def request_sent(self, mark: str, gateway: str, request: GeneratedRequest) -> None:
        """Records that a request is about to be sent."""
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
        """Records that a request was not sent because there is no connection."""
        self.record("unsent", mark=mark)

    def request_lost(self, mark: str, gateway: str) -> None:
        """Records that the connection closed before the answer to a request."""
        self.record("lost", mark=mark, gateway=gateway)

    def request_answered(
        self,
        mark: str,
        gateway: str,
        received_at: float,
        answer: FinalAnswer | None,
        error: jsonrpc.ErrorObject | None,
    ) -> None:
        """Records an answer that arrived at `received_at` (ms, monotonic).

        `answer` is None where it is not a final answer of the protocol; `error` is then recorded as the reason.
        """
        self.record(
            "answered",
            received_at,
            mark=mark,
            gateway=gateway,
            answer=answer.answer if answer else NO_FINAL_ANSWER,
            why=answer.reason if answer else str(error),
            call_outs=answer.attempts if answer else 0,
        )

    def run_ended(self, requests: int) -> None:
        """Records that all requests were sent and the wait for answers is over."""
        self.record("done", asked=requests)
