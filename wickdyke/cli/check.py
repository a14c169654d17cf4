"""check."""

import sys

import click

from wickdyke.gateway.serve import ground
from wickdyke.proving import script as scripts
from wickdyke.settings import roll, routes, sexp, station


def _station(file: str) -> None:
    made = station.read(file)
    if made.routes is not None:
        routes.read(made.routes, made.methods, ground(made))


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Say all that is wrong with settings (and their routes), worker lists or scripts; exit code 2 if anything is.

    \b
    Example:
        wickdyke check deploy/gateway.sexp run/workers.sexp
    """
    bad = False
    for file in files:
        try:
            forms = sexp.read(file)
            kind = forms[0].name if forms else ""
            {"workers": roll.read, "script": scripts.read}.get(kind, _station)(file)
            print(f"{file}: good")
        except sexp.Unusable as unusable:
            bad = True
            print(unusable, file=sys.stderr)
    raise SystemExit(2 if bad else 0)
