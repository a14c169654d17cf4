"""Whether the endpoint list describes the process that listens at a worker's address.

A new worker may take the address of one that has gone, under another identifier and in another cell or zone, before the
list reports either. The host sees only that connections ended and new ones are established: the process may be the same
worker restarted, or another worker. A repeat whose key is shared within a cell or zone must not go there until the list
has been heard long enough after that: it could run a second time.
"""

import math

from wickdyke.routing.model import Attempt, EndpointState, Request, Worker
from wickdyke.routing.retries import is_bound_to_scope

MAX_REPORT_DELAY = 2000.0  # ms by which discovery may report a start late


def is_listed_process(worker: Worker, discovery_heard_at: float | None) -> bool:
    """Returns whether the list, complete as of `discovery_heard_at` (ms), describes the process at the address."""
    if worker.process_changed_at == -math.inf:
        return True
    if worker.endpoint.state == EndpointState.GONE or discovery_heard_at is None:
        return False
    return discovery_heard_at >= worker.process_changed_at + MAX_REPORT_DELAY


def may_repeat_at(request: Request, worker: Worker, discovery_heard_at: float | None) -> bool:
    """Returns whether the scope is known of all attempts that may have run, and of the worker."""
    if not is_bound_to_scope(request):
        return True
    may_have_run = request.may_have_run()
    if not may_have_run:
        return True
    if not all(attempt.to_listed_process for attempt in may_have_run):
        return False
    return is_listed_process(worker, discovery_heard_at)


def is_as_decided(attempt: Attempt, process_changed_at: float) -> bool:
    """Returns whether an attempt that begins now goes to the process that it was decided for.

    `process_changed_at` is the present time (ms) since which the process at the worker's address may be another one.
    """
    return not is_bound_to_scope(attempt.request) or process_changed_at <= attempt.process_changed_at
