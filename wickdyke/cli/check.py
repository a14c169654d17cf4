"""The command `check`, which validates files."""

import os
import sys
from collections.abc import Callable

import click

from wickdyke.cli.common import ExitCode
from wickdyke.config import endpoint_file, gateway_config, route_config, sexpr, store_config, worker_config
from wickdyke.fault_injection import scenario
from wickdyke.jsonrpc.service import policy_environment
from wickdyke.worker import package


def _check_gateway(path: str) -> None:
    config = gateway_config.read(path)
    if config.routes_path is not None:
        route_config.read(config.routes_path, config.request_classes, policy_environment(config))


def _check_package(path: str) -> None:
    package.from_folder(os.path.dirname(os.path.abspath(path)))


# The check of each kind of file, by the name of its first expression; all other files are checked as a gateway's.
CHECKS_BY_NAME: dict[str, Callable[[str], object]] = {
    "workers": endpoint_file.read_endpoints,
    "script": scenario.read,
    "worker": worker_config.read,
    "store": store_config.read,
    "package": _check_package,
}


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Report all errors in the settings (and routes) of gateways, workers and stores, in endpoint files, scenarios
    and packages (their package.sexp). Exit code 2 if there are any.

    \b
    Example:
        wickdyke check deploy/gateway.sexp run/workers.sexp
    """
    all_valid = True
    for path in files:
        try:
            expressions = sexpr.read(path)
            name = expressions[0].name if expressions else ""
            CHECKS_BY_NAME.get(name, _check_gateway)(path)
            print(f"{path}: good")
        except sexpr.InvalidConfigError as error:
            all_valid = False
            print(error, file=sys.stderr)
    raise SystemExit(int(ExitCode.OK if all_valid else ExitCode.INVALID_INPUT))
