"""routes: what holds for an RPC."""

import sys

import click

from wickdyke.config import gateway_config, route_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection.report import table
from wickdyke.jsonrpc.service import policy_environment
from wickdyke.route_policy.policy import format_schedule, worst_case_schedule


@click.group()
def routes() -> None:
    """What the routes of a gateway state."""


@routes.command()
@click.argument("file", type=click.Path())
@click.argument("method")
@click.argument("program")
@click.option("--tenant", default="", help="The tenant of the RPC.")
def show(file: str, method: str, program: str, tenant: str) -> None:
    """Print what holds for an RPC under the gateway's settings FILE, and the line that each value comes from.

    \b
    Example:
        wickdyke routes show deploy/gateway.sexp suggest-tags tags/agency-7
    """
    try:
        made = gateway_config.read(file)
        found = route_config.read(made.routes, made.request_classes, policy_environment(made)) if made.routes else None
    except InvalidConfigError as bad:
        print(bad, file=sys.stderr)
        raise SystemExit(2) from None
    known = next((each for each in made.request_classes if each.name == method), None)
    if known is None:
        print(
            f"METHOD: found {method}, expected one of {', '.join(m.name for m in made.request_classes)}",
            file=sys.stderr,
        )
        raise SystemExit(2)
    held = found.find(method, program, tenant) if found else None
    if held is None:
        print(
            f"no route takes it: soft deadline {known.soft:g} ms, deadline {known.deadline:g} ms; "
            "the module goes by its own lights"
        )
        return
    print(f'route "{held.route.name}", {held.route.spot}')
    rows = []
    for name, value in _values(held).items():
        spot = held.origins.get(name)
        rows.append([name, value, str(spot) if spot else f'method "{method}"' if "deadline" in name else "not stated"])
    print(table(("field", "holds", "from"), rows))
    schedule = format_schedule(worst_case_schedule(held.terms, policy_environment(made)))
    print(f"longest course: {schedule} of {held.terms.deadline:g} ms")


def _values(held: route_config.EffectivePolicy) -> dict[str, str]:
    values = {}
    for name in route_config.READERS:
        stated = held.route.holds(name)
        if stated is not None:
            text = route_config.field_text(name, stated[0])
            values[name] = text[len(name) + 2 : -1]
        else:
            own = {
                "soft-deadline": f"{held.terms.soft:g} ms",
                "deadline": f"{held.terms.deadline:g} ms",
                "attempts": str(held.terms.attempts),
                "again": " ".join(sorted(held.terms.again)),
                "priority": str(held.terms.priority),
            }
            values[name] = own.get(name, "-")
    return values
