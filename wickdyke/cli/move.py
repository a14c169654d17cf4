"""move: a gateway's settings for another shape of deployment."""

import os
import sys

import click

from wickdyke.config import endpoint_file, gateway_config, migration, route_config, schema, sexpr
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.jsonrpc.service import policy_environment


@click.command("move")
@click.argument("old", type=click.Path())
@click.argument("shape", type=click.Path())
@click.argument("new", type=click.Path())
@click.option("--dry-run", is_flag=True, help="Print what NEW would hold and what is lost; write nothing.")
def command(old: str, shape: str, new: str, dry_run: bool) -> None:
    """Write to NEW the counterpart of the gateway's settings OLD for the deployment that SHAPE describes, and list
    what changed or could not be carried over. OLD stays as it is, and NEW must not be there yet. docs/migration.md
    tells the steps of a move. Exit code 2 if nothing usable comes out.

    \b
    Example:
        wickdyke move --dry-run deploy/gateway.sexp deploy/shape.sexp run/gateway-new.sexp
    """
    try:
        text, told = _moved(old, shape, new)
    except InvalidConfigError as bad:
        print(bad, file=sys.stderr)
        raise SystemExit(2) from None
    if dry_run:
        print(text, end="")
    else:
        try:
            with open(new, "x") as sink:
                sink.write(text)
        except OSError as bad:
            print(f"{new}: found {bad.strerror}, expected a new file", file=sys.stderr)
            raise SystemExit(2) from None
    for line in told:
        print(line, file=sys.stderr)
    print(f"{new}: {'would be ' if dry_run else ''}written; {len(told)} to look at", file=sys.stderr)


def _moved(old: str, shape: str, new: str) -> tuple[str, list[str]]:
    """The text of the new file, checked, and what there is to tell."""
    gateway_config.read(old)
    notes = schema.Diagnostics()
    forms = [
        schema.single_expression(sexpr.read(file), name, file, notes)
        for file, name in ((old, "gateway"), (shape, "shape"))
    ]
    notes.done()
    made, told = migration.migrate(*forms, notes)
    notes.done()
    text, folder = migration.format_config(made), os.path.dirname(os.path.abspath(new))
    with open(old) as source:
        lost = migration.count_comments(source.read())
    told += [f"{old}: {lost} lines with comments: the comments are not carried over"] * (lost > 0)
    if os.path.dirname(os.path.abspath(old)) != folder:
        told.append(f"{old}: paths hang on the folder of the file that names them, and {new} stands in another")
    return text, told + _beside(gateway_config.build(sexpr.parse(text, new), new))


def _beside(made: gateway_config.GatewayConfig) -> list[str]:
    """What no longer fits in the files that the new one names and that stay as they are."""
    told = []
    for name, read in (
        (made.workers, lambda file: endpoint_file.read_endpoints(file, made.zones, made.kinds)),
        (made.routes, lambda file: route_config.read(file, made.request_classes, policy_environment(made))),
    ):
        try:
            if name is not None:
                read(name)
        except InvalidConfigError as bad:
            told += [f"no longer fits: {trouble}" for trouble in bad.troubles]
    return told
