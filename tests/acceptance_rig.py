"""A front end whose iterations the test runs, on a monotonic clock that only the test advances."""

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

START_TIME = 1e9  # ms, of the simulated clock
STEP = 5.0  # ms of simulated time between two iterations
HEDGE_STEP = 1.0  # ms between iterations where a test acts between the two attempts of a hedged request

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
)  # idempotent, side-effecting, with an idempotency key valid in all zones (for `rent`: in one)
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
    """Returns settings with a request class of each kind; `limits` replaces limits, `more` settings."""
    return {**rig.SETTINGS, "lanes": LANES, "limits": {**rig.SETTINGS["limits"], **(limits or {})}, **more}


def request(number, name="look", body=b"x", ident=None, **more):
    """Returns the frame of a request of the class `name`; its id is its number where none is given."""
    more |= {"k": KEY} if name in ("book", "rent") else {}
    return rig.dispatch(number, rig.fields(ident or f"{number:016x}", name, **more), body)


class SteppedClockCase(front_end_rig.FrontEndCase):
    """Base of tests in which a front end's monotonic clock stands still until the test advances it."""

    def setUp(self):
        super().setUp()
        self.now = START_TIME
        self.addCleanup(patch.stopall)
        stand_in = SimpleNamespace(**{**vars(time), "monotonic": lambda: self.now / 1000})
        for module in (event_loop, context):
            patch.object(module, "time", stand_in).start()
        patch.object(
            service, "MAX_WAIT", 1.0
        ).start()  # real ms of one wait, during which the simulated clock stands still

    def front_end(self, *workers, **more):
        """Starts a front end with workers at these addresses; returns its service."""
        self.listen = rig.free_address()  # a failed subtest may have left a front end on the previous address
        return super().front_end(*workers, **{"settings": settings(), **more})

    def enable_hedging(self):
        """From now on the front end may hedge each request 20 ms after its first attempt."""
        post = self.service.client_server.post

        def post_with_policy(event):
            if isinstance(event, RequestReceived):
                event.pending.route_policy = HEDGED
            post(event)

        self.service.client_server.post = post_with_policy

    def pending_command_count(self):
        """Returns how many commands of any kind are unanswered."""
        return sum(
            connection.commands_in_flight
            for client in self.service.coordinator.workers.clients.values()
            for connection in client.all_connections()
        )

    def settle(self):
        """Runs iterations until workers have answered all commands; the clock stands still."""
        self.until(
            lambda: not self.pending_command_count() and self.service.coordinator.events.empty(), "the workers' answers"
        )

    def advance(self, duration, step=STEP, settle=False):
        """Advances the clock by `duration` (ms), with an iteration after each `step`.

        With `settle`, workers answer all commands in each iteration.
        """
        end = self.now + duration
        while self.now < end:
            self.now = min(end, self.now + step)
            self.service.run_once()
            if settle:
                self.settle()

    def final_answer(self, client, within, settle=True, step=STEP):
        """Returns the next answer to a client; fails if it takes longer than `within` (ms).

        With `settle`, workers answer without delay.
        """
        deadline = self.now + within
        self.service.run_once()
        while not client.waits():
            if settle:
                self.settle()
            self.service.run_once()
            if not client.waits():
                self.assertLess(self.now, deadline, "no final answer in time")
                self.now += step
        return client.answer()

    def assert_no_more_answers(self, client, duration=1000.0):
        """Fails if an answer or the end of the connection arrives within `duration` (ms)."""
        self.advance(duration, 20.0)
        self.assertFalse(client.waits(), "a second answer, or the end of the connection")


SSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"


def sse_event(number, *instances):
    """Returns an event of the endpoint list as a server-sent event."""
    return b"id: %d\ndata: %s\n\n" % (number, json.dumps(rig.event(number, *instances)).encode())
