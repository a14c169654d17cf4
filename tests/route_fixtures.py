"""Request classes, environments and parsed routes for the tests of route policies."""

from dataclasses import replace

from wickdyke.config import route_config, sexpr
from wickdyke.route_policy.policy import Environment
from wickdyke.routing.model import RequestClass

REQUEST_CLASSES = [
    RequestClass("idem", "idempotent", "all", 0, 750, 0, 4000, 1, 0.2),
    RequestClass("side", "side-effecting", "all", 0, 750, 0, 4000, 1, 0.2),
    RequestClass("tok", "tokened", "zone", 1000, 750, 0, 4000, 1, 0.2),
]
STRICT = Environment(
    allows_overlap=False, timeout_cancels=True, connect_timeout=100.0, answer_transit=20.0, tick=50.0, max_attempts=3
)
OPEN = replace(STRICT, allows_overlap=True)
LOOSE = replace(STRICT, timeout_cancels=False)
RETRIES = "(again full miss unreached unsent timeout)"


def read_routes(text, environment=STRICT):
    """Parses and validates a text: either whole routes, or the fields of one route for method idem."""
    if not text.startswith("(route"):
        text = f'(route "r" (takes (method "idem")) {text})'
    return route_config.build(sexpr.parse(f"(routes {text})", "f"), "f", REQUEST_CLASSES, environment)


def request_class(name):
    """Returns the request class of that name."""
    return next(request_class for request_class in REQUEST_CLASSES if request_class.name == name)
