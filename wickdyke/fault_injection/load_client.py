"""A stand-in for clients: an open loop of RPCs over several connections, each RPC and each answer written down."""

import os
import random
import socket
import sys
import threading
import time

import msgspec

from wickdyke.fault_injection.trace import TraceRecorder, clock
from wickdyke.protocol import client_messages, jsonrpc
from wickdyke.protocol.framing import LineReader


class RequestKind(msgspec.Struct):
    """One method's traffic: `part` of all RPCs, over `programs` of which few are wanted often."""

    method: str
    part: float
    deadline: float
    work_ms: float
    programs: int
    memory_mb: float
    lanes: int
    load_ms: float
    tokened: bool = False


class LoadPlan(msgspec.Struct):
    """Whom to call, how often and for how long (ms)."""

    name: str
    trace: str
    gateways: dict[str, str]
    kinds: list[RequestKind]
    rate: float
    length: float
    seed: int
    connections: int = 4
    most: int = 0


class ClientConnection:
    """One connection to a gateway, made anew when lost."""

    def __init__(self, caller: "LoadClient", gateway: str, path: str) -> None:
        self.caller, self.gateway, self.path = caller, gateway, path
        self.sock: socket.socket | None = None
        self.out: dict[int, str] = {}
        self.lock = threading.Lock()
        threading.Thread(target=self._serve, daemon=True).start()

    def ask(self, ident: int, mark: str, line: bytes, record: dict) -> bool:
        """Sends one RPC; False where there is no connection."""
        with self.lock:
            if self.sock is None:
                return False
            self.out[ident] = mark
            self.caller.record("asked", mark=mark, gateway=self.gateway, **record)
            try:
                self.sock.sendall(line)
            except OSError:
                pass  # the reader finds it out and writes it down
            return True

    def _serve(self) -> None:
        while True:
            try:
                sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                sock.connect(self.path)
            except OSError:
                sock.close()
                time.sleep(0.05)
                continue
            with self.lock:
                self.sock = sock
            lines = LineReader(64 << 20)
            try:
                while data := sock.recv(1 << 16):
                    now = clock()
                    for line in lines.feed(data):
                        self._answer(line, now)
            except OSError:
                pass
            with self.lock:
                out, self.out, self.sock = self.out, {}, None
                for mark in out.values():
                    self.caller.record("lost", mark=mark, gateway=self.gateway)
            sock.close()

    def _answer(self, line: bytes, now: float) -> None:
        ident, result, problem = jsonrpc.parse_response(line)
        mark = f"{self.caller.plan.name}-{ident}"
        final = client_messages.read_final_answer(result, problem)
        with self.lock:
            self.out.pop(ident, None)
            self.caller.record(
                "answered",
                now,
                mark=mark,
                gateway=self.gateway,
                answer=final.answer if final else "malformed",
                why=final.reason if final else str(problem),
                call_outs=final.attempts if final else 0,
            )


class LoadClient:
    """Draws RPCs and sends them when their time has come, whatever became of those before."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan, self.record = plan, TraceRecorder(plan.trace, plan.name)
        self.chance = random.Random(plan.seed)
        self.lines = [
            ClientConnection(self, name, path) for name, path in plan.gateways.items() for _ in range(plan.connections)
        ]
        self.rate, self.hot, self.once, self.short = plan.rate, (0, 0.0), 0.0, 0.0
        self.asked = 0

    def told(self, order: dict) -> None:
        """A change of traffic: {"burst": factor}, {"hot": [programs, share]}, {"once": share}, {"short": share}."""
        self.record("traffic", **order)
        if "burst" in order:
            self.rate = self.plan.rate * order["burst"]
        if "hot" in order:
            self.hot = tuple(order["hot"])
        self.once, self.short = order.get("once", self.once), order.get("short", self.short)

    def run(self) -> None:
        """Sends until the length is over (or `most` RPCs are), then waits until each has its answer or is lost."""
        began = due = clock()
        while clock() - began < self.plan.length and (not self.plan.most or self.asked < self.plan.most):
            if (wait := due - clock()) > 0:
                time.sleep(wait / 1000)
            self._one()
            due += self.chance.expovariate(1.0) * 1000 / self.rate
        ends = clock() + 2000 + max(kind.deadline for kind in self.plan.kinds)
        while clock() < ends and any(line.out for line in self.lines):
            time.sleep(0.02)
        self.record("done", asked=self.asked)

    def _one(self) -> None:
        chance, plan = self.chance, self.plan
        kind = chance.choices(plan.kinds, [each.part for each in plan.kinds])[0]
        at = min(int(chance.paretovariate(0.8)) - 1, 10**6) % kind.programs
        program = f"{kind.method}/{at}"
        if chance.random() < self.hot[1]:
            program = f"{kind.method}/hot{chance.randrange(int(self.hot[0]))}"
        elif chance.random() < self.once:
            program = f"{kind.method}/once{self.asked}"
        left = kind.deadline * (0.3 if chance.random() < self.short else 1.0)
        work = kind.work_ms * chance.lognormvariate(-0.08, 0.4)
        self.asked += 1
        ident = self.asked
        mark = f"{plan.name}-{ident}"
        call = {
            "method": kind.method,
            "program": program,
            "time_left_ms": left,
            "memory_mb": kind.memory_mb,
            "lanes": kind.lanes,
            "load_ms": kind.load_ms,
            "input": {"mark": mark, "work_ms": work, "load_ms": kind.load_ms},
        }
        if kind.tokened:
            call["token"] = mark
        line = jsonrpc.request_line("call", jsonrpc.encode(call), ident)
        first = chance.randrange(len(self.lines))
        for step in range(len(self.lines)):
            if self.lines[(first + step) % len(self.lines)].ask(
                ident, mark, line, {"method": kind.method, "program": program, "left": left, "work": work}
            ):
                return
        self.record("unsent", mark=mark)


def main() -> None:
    """Plays the plan in the first argument; changes come as lines on standard input."""
    caller = LoadClient(msgspec.json.decode(sys.argv[1], type=LoadPlan))

    def listen() -> None:
        for line in sys.stdin:
            caller.told(msgspec.json.decode(line))
        os._exit(1)  # whoever began us is gone

    threading.Thread(target=listen, daemon=True).start()
    time.sleep(0.2)
    print("ready", flush=True)
    caller.run()
    print("done", flush=True)
    os._exit(0)


if __name__ == "__main__":
    main()
