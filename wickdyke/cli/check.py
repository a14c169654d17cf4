"""check."""

import os
import sys

import click

from wickdyke.gateway.service import ground
from wickdyke.proving import script as scripts
from wickdyke.settings import roll, routes, sexp, station, workshop
from wickdyke.worker import package


def _station(file: str) -> None:
    made = station.read(file)
    if made.routes is not None:
        routes.read(made.routes, made.request_classes, ground(made))


KINDS = {
    "workers": roll.read,
    "script": scripts.read,
    "worker": workshop.read,
    "store": workshop.read_depot,
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
            forms = sexp.read(file)
            kind = forms[0].name if forms else ""
            KINDS.get(kind, _station)(file)
            print(f"{file}: good")
        except sexp.Unusable as unusable:
            bad = True
            print(unusable, file=sys.stderr)
    raise SystemExit(2 if bad else 0)
