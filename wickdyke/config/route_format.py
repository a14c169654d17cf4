"""Formats routes as text that parses to the same routes."""

from wickdyke.config.route_syntax import NO_OUTCOME, AttemptField, HedgeField, Route, RouteFields
from wickdyke.route_policy.matching import Pattern
from wickdyke.route_policy.policy import BackoffPolicy, RetryBudgetPolicy


def format_values(route_fields: RouteFields) -> dict[str, str]:
    """Returns the text of each stated field's value, without the key and its brackets, by key."""
    return {key: _format_value(stated.value) for key, stated in route_fields.stated_fields().items()}


def format_routes(routes: list[Route]) -> str:
    """Returns the text of a routes file."""
    return "(routes\n" + "\n".join(map(_format_route, routes)) + ")\n"


def _format_route(route: Route) -> str:
    expressions = [f"(like {_quote(route.like)})"] if route.like is not None else []
    expressions.append(f"(takes {_format_pattern(route.pattern)})")
    expressions += [f"({key} {value})" for key, value in format_values(route.fields).items()]
    return f"  (route {_quote(route.name)}\n    " + "\n    ".join(expressions) + ")"


def _format_pattern(pattern: Pattern) -> str:
    parts = {"method": pattern.method, "program": pattern.function, "tenant": pattern.tenant}
    return " ".join(f"({key} {_quote(part)})" for key, part in parts.items())


def _format_value(value: object) -> str:
    match value:
        case None:
            text = "never"
        case float():
            text = _format_time(value)
        case AttemptField():
            linger = f" (linger {_format_time(value.linger)})" if value.linger is not None else ""
            text = _format_time(value.timeout) + linger
        case BackoffPolicy():
            maximum = f" (most {_format_time(value.maximum)})" if value.maximum != float("inf") else ""
            text = f"(first {_format_time(value.initial)}) (growth {value.growth!r}){maximum} (spread {value.jitter!r})"
        case frozenset():
            text = " ".join(sorted(value)) or NO_OUTCOME
        case HedgeField():
            text = f"{_format_delay(value)} (at-once {value.max_concurrent}) (part {value.request_share!r})"
        case RetryBudgetPolicy():
            text = f"(window {_format_time(value.window)}) (share {value.share!r}) (floor {value.floor!r})"
        case _:
            text = str(value)
    return text


def _format_delay(hedge: HedgeField) -> str:
    return f"(after {_format_time(hedge.after)})" if hedge.after is not None else f"(after-share {hedge.after_share!r})"


def _format_time(ms: float) -> str:
    return f"{ms!r} ms"


def _quote(value: str) -> str:
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
