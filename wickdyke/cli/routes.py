"""The commands `routes`, which show the policy that applies to a request."""

import click

from wickdyke.cli.common import fail
from wickdyke.config import gateway_config, route_config
from wickdyke.config.effective_policy import EffectivePolicy
from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.config.route_config import Routes
from wickdyke.config.route_format import format_values
from wickdyke.config.route_syntax import ATTRIBUTES_BY_KEY
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection.report import table
from wickdyke.jsonrpc.service import policy_environment
from wickdyke.route_policy.policy import Environment, format_sum, worst_case_components
from wickdyke.routing.model import RequestClass

DEADLINE_FIELDS = ("soft-deadline", "deadline")


@click.group()
def routes() -> None:
    """Show the routes of a gateway."""


@routes.command()
@click.argument("file", type=click.Path())
@click.argument("method")
@click.argument("program")
@click.option("--tenant", default="", help="The tenant of the request.")
def show(file: str, method: str, program: str, tenant: str) -> None:
    """Print the policy that the gateway's settings FILE give a request, and the source line of each value.

    \b
    Example:
        wickdyke routes show deploy/gateway.sexp suggest-tags tags/agency-7
    """
    try:
        config = gateway_config.read(file)
        environment = policy_environment(config)
        loaded = _read_routes(config, environment)
    except InvalidConfigError as error:
        fail(error)
    request_class = _request_class(config, method)
    effective = loaded.find(method, program, tenant) if loaded else None
    if effective is None:
        print(
            f"no route matches: soft deadline {request_class.latency_objective:g} ms, "
            f"deadline {request_class.deadline:g} ms; the router applies no route policy"
        )
        return
    _print_policy(effective, method, environment)


def _read_routes(config: GatewayConfig, environment: Environment) -> Routes | None:
    """Returns the routes of the file that the settings name, if any. Raises InvalidConfigError."""
    if config.routes_path is None:
        return None
    return route_config.read(config.routes_path, config.request_classes, environment)


def _request_class(config: GatewayConfig, name: str) -> RequestClass:
    """Returns the request class of that name; ends the command if there is none."""
    classes_by_name = {request_class.name: request_class for request_class in config.request_classes}
    if name not in classes_by_name:
        fail(f"METHOD: found {name}, expected one of {', '.join(classes_by_name)}")
    return classes_by_name[name]


def _print_policy(effective: EffectivePolicy, method: str, environment: Environment) -> None:
    print(f'route "{effective.route.name}", {effective.route.location}')
    rows = [[key, value, _describe_origin(effective, key, method)] for key, value in _field_values(effective).items()]
    print(table(("field", "value", "source"), rows))
    worst_case = format_sum(worst_case_components(effective.policy, environment))
    print(f"worst case: {worst_case} of {effective.policy.deadline:g} ms")


def _describe_origin(effective: EffectivePolicy, key: str, method: str) -> str:
    location = effective.origins.get(key)
    if location is not None:
        return str(location)
    return f'method "{method}"' if key in DEADLINE_FIELDS else "not stated"


def _field_values(effective: EffectivePolicy) -> dict[str, str]:
    """Returns the value of each field by its key in the file: the stated value, else the default, else a dash."""
    policy = effective.policy
    defaults = {
        "soft-deadline": f"{policy.latency_objective:g} ms",
        "deadline": f"{policy.deadline:g} ms",
        "attempts": str(policy.max_attempts),
        "again": " ".join(sorted(policy.retryable)),
        "priority": str(policy.priority),
    }
    stated = format_values(effective.fields)
    return {key: stated.get(key, defaults.get(key, "-")) for key in ATTRIBUTES_BY_KEY}
