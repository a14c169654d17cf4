"""A front end stepped by hand on a clock that only the test moves."""

import json
import time
from types import SimpleNamespace
from unittest.mock import patch

from tests import front_end_rig
from tests import platform_rig as rig
from wickdyke.gateway import context
from wickdyke.gateway.events import RequestReceived
from wickdyke.platform import service
from wickdyke.routing.model import Backoff, Hedging, RoutePolicy
from wickdyke.transport import event_loop

START_TIME = 1e9  # ms on the fake clock
STEP = 5.0  # ms of it that pass between two iterations
HEDGE_STEP = 1.0  # ms, where a hedged request is to be caught between its attempts

LANES = [
    *rig.SETTINGS["lanes"],
    {
        "name": "book",
        "repeat": "token",
        "key-scope": "all",
        "window": 6000000,
        "aim": 500000,
        "deadline": 4000000,
        "gain": 2.0,
    },
]
LANES.append({**LANES[-1], "name": "rent", "key-scope": "zone"})
REQUEST_CLASSES = (
    "look",
    "pay",
    "book",
)  # idempotent, side-effecting, with an idempotency key; `rent`'s is known in one zone
KEY = "2d071f1f7aeaaed654f62e293c13f6a0"

HEDGED = RoutePolicy(
    latency_objective=500.0,
    attempt_timeout=None,
    attempts=4,
    backoff=Backoff(0.0, 1.0, 0.0, 0.0),
    retryable=frozenset({"full", "unreached", "unsent", "error", "timeout", "cut"}),
    hedge=Hedging(20.0, 2, 1.0),
    budget_terms=None,
    queue_timeout=None,
    priority=0,
)


def settings(limits=None, **more):
    """Settings with a class of each kind."""
    return {**rig.SETTINGS, "lanes": LANES, "limits": {**rig.SETTINGS["limits"], **(limits or {})}, **more}


def request(number, name="look", body=b"x", ident=None, **more):
    """A request of that class, its id drawn from its number where none is given."""
    more |= {"k": KEY} if name in ("book", "rent") else {}
    return rig.dispatch(number, rig.fields(ident or f"{number:016x}", name, **more), body)


class SteppedClockCase(front_end_rig.FrontEndCase):
    """A front end whose monotonic clock stands still until the test moves it on."""

    def setUp(self):
        super().setUp()
        self.now = START_TIME
        self.addCleanup(patch.stopall)
        stand_in = SimpleNamespace(**{**vars(time), "monotonic": lambda: self.now / 1000})
        for module in (event_loop, context):
            patch.object(module, "time", stand_in).start()
        patch.object(service, "MAX_WAIT", 1.0).start()  # real ms of one wait: the clock does not move meanwhile

    def front_end(self, *workers, **more):
        self.listen = rig.free_address()  # its own: what failed before it may still hold the last
        return super().front_end(*workers, **{"settings": settings(), **more})

    def enable_hedging(self):
        """From now on each request may be hedged 20 ms after its first attempt."""
        take = self.service.client_server.post

        def timed(event):
            if isinstance(event, RequestReceived):
                event.pending.route_policy = HEDGED
            take(event)

        self.service.client_server.post = timed

    def pending_command_count(self):
        """Commands that wait for a worker, of any kind."""
        return sum(
            connection.commands_in_flight
            for client in self.service.coordinator.workers.clients.values()
            for connection in client.all_connections()
        )

    def settle(self):
        """Steps until workers have answered all that is out, and no time passes."""
        self.until(
            lambda: not self.pending_command_count() and self.service.coordinator.events.empty(), "the workers' answers"
        )

    def advance(self, span, step=STEP, settle=False):
        """Lets a time pass, an iteration in each step; with `settle`, workers answer all within each."""
        ends = self.now + span
        while self.now < ends:
            self.now = min(ends, self.now + step)
            self.service.run_once()
            if settle:
                self.settle()

    def final_answer(self, client, within, settle=True, step=STEP):
        """The answer that comes next, which may take so many ms; with `settle`, workers answer all at once."""
        ends = self.now + within
        self.service.run_once()
        while not client.waits():
            if settle:
                self.settle()
            self.service.run_once()
            if not client.waits():
                self.assertLess(self.now, ends, "no final answer in time")
                self.now += step
        return client.answer()

    def assert_no_more_answers(self, client, span=1000.0):
        """Nothing more comes on that connection."""
        self.advance(span, 20.0)
        self.assertFalse(client.waits(), "a second answer, or an end")


SSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"


def sse_event(number, *instances):
    """An event as it stands on the stream."""
    return b"id: %d\ndata: %s\n\n" % (number, json.dumps(rig.event(number, *instances)).encode())
