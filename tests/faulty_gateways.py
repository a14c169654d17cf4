"""Gateways with a deliberate defect: `python -m tests.faulty_gateways DEFECT serve FILE`.

The rule checker must find the rule that each of them breaks.
"""

import itertools
import sys
from enum import Enum

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

DEFECTIVE_RESPONSE_INTERVAL = 50  # one of this many responses is wrong


class Defect(Enum):
    """The defects of faulty gateways; the value is the command-line argument."""

    NONE = "none"
    DUPLICATE_RESPONSES = "duplicate-responses"
    MISSING_RESPONSES = "missing-responses"
    RETRIES_EVERYTHING = "retries-everything"
    WITHDRAWS_WITHOUT_CANCEL = "withdraws-without-cancel"
    IGNORES_DRAINING = "ignores-draining"
    IGNORES_SLOW_START = "ignores-slow-start"
    ACCEPTS_ANY_ROUTES = "accepts-any-routes"
    UNLIMITED_PREWARMING = "unlimited-prewarming"


_response_numbers = itertools.count(1)
_original_answer = PendingRequest.answer
_original_apply = EndpointList.apply


def _is_defective_response():
    return next(_response_numbers) % DEFECTIVE_RESPONSE_INTERVAL == 0


def _answer_some_twice(request, body):
    _original_answer(request, body)
    if _is_defective_response():
        request.client.write(body + b"\n")


def _drop_some_answers(request, body):
    if not _is_defective_response():
        _original_answer(request, body)


def _withdraw_without_cancel(attempts, pending, attempt, outcome):
    attempts.context.post(AttemptWithdrawn(pending, attempt, outcome))


def _apply_all_as_ready(endpoint_list, rows, now):
    return _original_apply(endpoint_list, [_ready(row) for row in rows], now)


def _ready(row):
    return EndpointRow(**{name: getattr(row, name) for name in row.__slots__ if name != "state"}, state="ready")


def _no_draining_workers(endpoint_list, name):
    return []


def install(defect):
    """Patches the classes of the gateway in this process with the defect."""
    match defect:
        case Defect.NONE:
            pass
        case Defect.DUPLICATE_RESPONSES:
            PendingRequest.answer = _answer_some_twice
        case Defect.MISSING_RESPONSES:
            PendingRequest.answer = _drop_some_answers
        case Defect.RETRIES_EVERYTHING:
            Request.may_have_run = lambda request: []
        case Defect.WITHDRAWS_WITHOUT_CANCEL:
            Attempts._withdraw = _withdraw_without_cancel
        case Defect.IGNORES_DRAINING:
            EndpointList.apply = _apply_all_as_ready
            EndpointList.draining = _no_draining_workers
        case Defect.IGNORES_SLOW_START:
            SlowStartGuard.is_warming_up = lambda guard, worker, now: False
        case Defect.ACCEPTS_ANY_ROUTES:
            route_config.validation.validate = lambda policy, request_class, environment: []
        case Defect.UNLIMITED_PREWARMING:
            PrewarmLimiter.may_send = lambda limiter, worker, renewal, now: worker.endpoint.state == "ready"


if __name__ == "__main__":
    install(Defect(sys.argv.pop(1)))
    main(prog_name="faulty-gateway")
