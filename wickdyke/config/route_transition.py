"""Checks whether a routes file may come into force while requests received under an earlier file are open."""

from wickdyke.config.route_config import Routes
from wickdyke.config.schema import Diagnostics
from wickdyke.config.sexpr import IncompleteInputError, SourceLocation
from wickdyke.route_policy.transition import PolicyTransition, StrandedRequests


def check_transition(new: Routes, path: str, transition: PolicyTransition, now: float) -> None:
    """Raises InvalidConfigError if the file would strand open requests.

    It is an IncompleteInputError, with the time until the file is valid, if the file becomes valid once the requests
    of earlier files have ended. `now` is the time of the caller's clock in ms.
    """
    diagnostics = Diagnostics()
    locations = {route.name: route.location for route in new.routes}
    stranded = transition.stranded_requests(new.retry_budget_users(), now)
    for requests in stranded:
        diagnostics.add(
            locations.get(requests.route_name, SourceLocation(path, 1, 1)),
            f'route "{requests.route_name}" {requests.reason}, and its requests in flight '
            f"can make further attempts only from the share of its budget (floor {requests.budget.floor:g})",
            "a change after which they have a retry budget",
            _suggested_fix(requests, now),
        )
    if stranded and all(requests.open_until is not None for requests in stranded):
        raise IncompleteInputError(diagnostics.entries)
    diagnostics.raise_if_any()


def _suggested_fix(requests: StrandedRequests, now: float) -> str:
    if requests.open_until is not None:
        return f"this file will pass in {requests.open_until - now:.0f} ms"
    budget = requests.budget
    return (
        f"nearest valid: first (budget (window {budget.window:g} ms) (share {budget.share:g}) (floor 1)), and "
        f"this file {requests.request_lifetime:g} ms later"
    )
