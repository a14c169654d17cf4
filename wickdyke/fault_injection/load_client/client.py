"""The open loop of a load client."""

import random
import time

import msgspec

from wickdyke.fault_injection.load_client.client_trace import ClientTrace
from wickdyke.fault_injection.load_client.connection import ClientConnection
from wickdyke.fault_injection.load_client.plan import LoadPlan, TrafficChange
from wickdyke.fault_injection.load_client.request_generator import GeneratedRequest, RequestGenerator
from wickdyke.fault_injection.request_input import RequestInput
from wickdyke.fault_injection.trace import clock
from wickdyke.protocol import jsonrpc

FINAL_ANSWER_WAIT_MS = 2000  # how long to wait for answers after the longest deadline
POLL_PAUSE_S = 0.02


class CallParams(msgspec.Struct, omit_defaults=True):
    """The params of `call` that this client sends. Times are in ms, memory in MB."""

    method: str
    function: str = msgspec.field(name="program")
    time_left_ms: float
    memory_mb: float
    concurrency: int = msgspec.field(name="lanes")
    load_ms: float
    input: RequestInput
    idempotency_key: str | None = msgspec.field(default=None, name="token")


class LoadClient:
    """Generates random requests and sends each when it is due."""

    def __init__(self, plan: LoadPlan) -> None:
        """Starts to connect; raises OSError where the trace can't be opened."""
        self.plan = plan
        self.trace = ClientTrace(plan)
        self.random = random.Random(plan.seed)
        self.generator = RequestGenerator(plan, self.random)
        self.rate = plan.rate  # requests per second
        self.request_count = 0  # generated so far
        self.connections = [
            ClientConnection(gateway, path, self.trace, self._request_mark)
            for gateway, path in plan.gateways.items()
            for _ in range(plan.connections)
        ]

    def change_traffic(self, change: TrafficChange) -> None:
        """Applies a change to all later requests; may be called from another thread."""
        self.trace.traffic_changed(change)
        if change.rate_factor is not None:
            self.rate = self.plan.rate * change.rate_factor
        self.generator.change(change)

    def run(self) -> None:
        """Sends requests until the plan's time is over or its requests are sent, then waits for the last answers."""
        started_at = clock()
        due_at = started_at
        while clock() - started_at < self.plan.duration_ms and not self._all_sent():
            wait_ms = due_at - clock()
            if wait_ms > 0:
                time.sleep(wait_ms / 1000)
            self._send_next()
            due_at += self.random.expovariate(1.0) * 1000 / self.rate
        self._await_answers()
        self.trace.run_ended(self.request_count)

    def _all_sent(self) -> bool:
        return bool(self.plan.max_requests) and self.request_count >= self.plan.max_requests

    def _await_answers(self) -> None:
        give_up_at = clock() + FINAL_ANSWER_WAIT_MS + max(kind.deadline_ms for kind in self.plan.kinds)
        while clock() < give_up_at and any(connection.in_flight for connection in self.connections):
            time.sleep(POLL_PAUSE_S)

    def _request_mark(self, request_id: jsonrpc.Ident) -> str:
        return f"{self.plan.name}-{request_id}"

    def _send_next(self) -> None:
        """Generates one request and sends it over a random connection, or the next open one."""
        request = self.generator.generate(self.request_count)
        self.request_count += 1
        request_id = self.request_count
        line = jsonrpc.request_line("call", jsonrpc.encode(self._call_params(request, request_id)), request_id)
        first = self.random.randrange(len(self.connections))
        for connection in self.connections[first:] + self.connections[:first]:
            if connection.send(request_id, line, request):
                return
        self.trace.request_unsent(self._request_mark(request_id))

    def _call_params(self, request: GeneratedRequest, request_id: int) -> CallParams:
        kind = request.kind
        mark = self._request_mark(request_id)
        return CallParams(
            method=kind.method,
            function=request.function,
            time_left_ms=request.time_left_ms,
            memory_mb=kind.memory_mb,
            concurrency=kind.concurrency,
            load_ms=kind.load_ms,
            input=RequestInput(mark=mark, work_ms=request.work_ms, load_ms=kind.load_ms),
            idempotency_key=mark if kind.has_idempotency_key else None,
        )
