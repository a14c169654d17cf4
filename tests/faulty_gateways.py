"""A gateway made wrong on purpose: `python -m tests.faulty_gateways MISTAKE serve FILE`. The checker must find each."""

import itertools
import sys

from wickdyke.cli import main
from wickdyke.config import route_config
from wickdyke.config.endpoint_file import EndpointRow
from wickdyke.gateway.attempts import Attempts
from wickdyke.gateway.events import AttemptWithdrawn
from wickdyke.jsonrpc.client_connection import PendingRequest
from wickdyke.jsonrpc.endpoint_list import EndpointList
from wickdyke.routing.model import Request
from wickdyke.routing.prewarming import PrewarmLimiter
from wickdyke.routing.slow_start import SlowStartGuard

_turn = itertools.count(1)
_answer = PendingRequest.answer


def _twice(ask, body):
    _answer(ask, body)
    if next(_turn) % 50 == 0:
        ask.client.write(body + b"\n")


def _never(ask, body):
    if next(_turn) % 50:
        _answer(ask, body)


def _unsaid(attempts, pending, attempt, outcome):
    attempts.context.post(AttemptWithdrawn(pending, attempt, outcome))


_rows = EndpointList.apply


def _deaf(roster, rows, now):
    return _rows(
        roster,
        [
            EndpointRow(**{name: getattr(row, name) for name in row.__slots__ if name != "state"}, state="ready")
            for row in rows
        ],
        now,
    )


def _draining(roster, name):
    return []


def make(mistake):
    """Puts the mistake in."""
    match mistake:
        case "none":
            pass
        case "answers twice":
            PendingRequest.answer = _twice
        case "never answers":
            PendingRequest.answer = _never
        case "repeats all":
            Request.may_have_run = lambda request: []
        case "cancels in silence":
            Attempts._withdraw = _unsaid
        case "deaf to drains":
            EndpointList.apply, EndpointList.draining = _deaf, _draining
        case "blind to the cold":
            SlowStartGuard.is_warming_up = lambda guard, worker, now: False
        case "checks no routes":
            route_config.validation.validate = lambda policy, request_class, environment: []
        case "orders at will":
            PrewarmLimiter.may_send = lambda limiter, worker, renewal, now: worker.endpoint.state == "ready"
        case _:
            raise SystemExit(f"no such mistake: {mistake}")


if __name__ == "__main__":
    make(sys.argv.pop(1))
    main(prog_name="wrong")
