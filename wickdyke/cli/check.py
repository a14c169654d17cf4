"""check."""

import os
import sys

import click

from wickdyke.config import endpoint_file, gateway_config, route_config, sexpr, worker_config
from wickdyke.fault_injection import scenario
from wickdyke.jsonrpc.service import policy_environment
from wickdyke.worker import package


def _station(file: str) -> None:
    made = gateway_config.read(file)
    if made.routes is not None:
        route_config.read(made.routes, made.request_classes, policy_environment(made))


KINDS = {
    "workers": endpoint_file.read_endpoints,
    "script": scenario.read,
    "worker": worker_config.read,
    "store": worker_config.read_store_config,
    "package": lambda file: package.from_folder(os.path.dirname(os.path.abspath(file))),
}


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Say all that is wrong with settings (and their routes) of gateways, workers and stores, with worker lists,
    scripts and packages (their package.sexp); exit code 2 if anything is.

    \b
    Example:
        wickdyke check deploy/gateway.sexp run/workers.sexp
    """
    bad = False
    for file in files:
        try:
            forms = sexpr.read(file)
            kind = forms[0].name if forms else ""
            KINDS.get(kind, _station)(file)
            print(f"{file}: good")
        except sexpr.InvalidConfigError as unusable:
            bad = True
            print(unusable, file=sys.stderr)
    raise SystemExit(2 if bad else 0)
