"""The command move: a gateway's settings for another shape of deployment."""

import os
import sys
from collections.abc import Callable

import click

from wickdyke.cli.common import fail
from wickdyke.config import endpoint_file, gateway_config, migration, route_config, schema, sexpr
from wickdyke.config.gateway_config import GatewayConfig
from wickdyke.config.sexpr import Expression, InvalidConfigError
from wickdyke.jsonrpc.service import policy_environment


@click.command("move")
@click.argument("old", type=click.Path())
@click.argument("shape", type=click.Path())
@click.argument("new", type=click.Path())
@click.option("--dry-run", is_flag=True, help="Print the text of NEW and what is lost; write nothing.")
def move(old: str, shape: str, new: str, dry_run: bool) -> None:
    """Write to NEW the counterpart of the gateway's settings OLD for the deployment that SHAPE describes, and list
    what changed or has no counterpart. OLD stays as it is, and NEW must not exist. docs/migration.md describes the
    steps of a migration. Exit code 2 if the result is invalid.

    \b
    Example:
        wickdyke move --dry-run deploy/gateway.sexp deploy/shape.sexp run/gateway-new.sexp
    """
    try:
        text, remarks = _migrate(old, shape, new)
    except InvalidConfigError as error:
        fail(error)
    if dry_run:
        print(text, end="")
    else:
        _write_new(new, text)
    for remark in remarks:
        print(remark, file=sys.stderr)
    print(f"{new}: {'would be ' if dry_run else ''}written; {len(remarks)} to look at", file=sys.stderr)


def _write_new(path: str, text: str) -> None:
    """Writes a file that must not exist."""
    try:
        with open(path, "x") as sink:
            sink.write(text)
    except OSError as error:
        fail(f"{path}: found {error.strerror}, expected a new file")


def _read_expressions(old: str, shape: str, diagnostics: schema.Diagnostics) -> tuple[Expression, Expression]:
    """The gateway's expression and the shape's; raises InvalidConfigError."""
    gateway = schema.single_expression(sexpr.read(old), "gateway", old, diagnostics)
    new_shape = schema.single_expression(sexpr.read(shape), "shape", shape, diagnostics)
    return schema.required(gateway, diagnostics), schema.required(new_shape, diagnostics)


def _migrate(old: str, shape: str, new: str) -> tuple[str, list[str]]:
    """The text of the new file, checked, and remarks on what the user has to look at; raises InvalidConfigError."""
    gateway_config.read(old)
    diagnostics = schema.Diagnostics()
    migrated, remarks = migration.migrate(*_read_expressions(old, shape, diagnostics), diagnostics)
    diagnostics.raise_if_any()
    text = migration.format_config(migrated)
    with open(old) as source:
        comments = migration.count_comments(source.read())
    if comments:
        remarks.append(f"{old}: {comments} lines with comments: the comments are not carried over")
    if os.path.dirname(os.path.abspath(old)) != os.path.dirname(os.path.abspath(new)):
        remarks.append(f"{old}: paths hang on the folder of the file that names them, and {new} stands in another")
    return text, remarks + _invalid_files(gateway_config.build(sexpr.parse(text, new), new))


def _invalid_files(config: GatewayConfig) -> list[str]:
    """What is invalid under the new settings in the files that they name, which stay as they are."""

    def read_endpoints(path: str) -> object:
        return endpoint_file.read_endpoints(path, config.zones, config.kinds)

    def read_routes(path: str) -> object:
        return route_config.read(path, config.request_classes, policy_environment(config))

    files: list[tuple[str | None, Callable[[str], object]]] = [
        (config.endpoints_path, read_endpoints),
        (config.routes_path, read_routes),
    ]
    remarks: list[str] = []
    for path, read in files:
        try:
            if path is not None:
                read(path)
        except InvalidConfigError as error:
            remarks += [f"no longer fits: {diagnostic}" for diagnostic in error.diagnostics]
    return remarks
