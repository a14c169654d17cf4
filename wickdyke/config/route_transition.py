"""Whether a routes file may come into force while requests received under an earlier one are open."""

from wickdyke.config.route_config import Routes
from wickdyke.config.schema import Diagnostics
from wickdyke.config.sexpr import IncompleteInputError, SourceLocation
from wickdyke.route_policy.transition import PolicyTransition, StrandedRequests


def check_transition(new: Routes, path: str, transition: PolicyTransition, now: float) -> None:
    """Raises InvalidConfigError if the file would strand open requests.

    It is an IncompleteInputError, with the time after which the file can be used, where it only needs waiting for
    requests of earlier files. `now` is ms of the caller's clock.
    """
    diagnostics = Diagnostics()
    locations = {route.name: route.location for route in new.routes}
    stranded = transition.stranded_requests(new.retry_budget_users(), now)
    for requests in stranded:
        diagnostics.add(
            locations.get(requests.route_name, SourceLocation(path, 1, 1)),
            f'route "{requests.route_name}" {requests.reason}, and its RPCs in flight '
            f"pay for further attempts from its share alone (floor {requests.budget.floor:g})",
            "a change that leaves them a budget",
            _suggested_fix(requests, now),
        )
    if stranded and all(requests.open_until is not None for requests in stranded):
        raise IncompleteInputError(diagnostics.entries)
    diagnostics.raise_if_any()


def _suggested_fix(requests: StrandedRequests, now: float) -> str:
    if requests.open_until is not None:
        return f"this will pass in {requests.open_until - now:.0f} ms"
    budget = requests.budget
    return (
        f"nearest: first (budget (window {budget.window:g} ms) (share {budget.share:g}) (floor 1)), and this "
        f"{requests.request_lifetime:g} ms later"
    )
