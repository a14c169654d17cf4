"""The command `move`, which converts a gateway's settings to another shape of deployment."""

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
@click.option("--dry-run", is_flag=True, help="Print the text of NEW and the remarks without writing a file.")
def move(old: str, shape: str, new: str, dry_run: bool) -> None:
    """Convert the gateway's settings OLD to the deployment that SHAPE describes and write the result to NEW; list
    what changed or has no counterpart. OLD is not modified, and NEW must not exist. docs/migration.md describes the
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
    print(f"{new}: {'would be ' if dry_run else ''}written; {len(remarks)} remarks to check", file=sys.stderr)


def _write_new(path: str, text: str) -> None:
    """Writes a file that must not exist; ends the command if it does or can't be written."""
    try:
        with open(path, "x") as sink:
            sink.write(text)
    except OSError as error:
        fail(f"{path}: found {error.strerror}, expected a new file")


def _read_expressions(old: str, shape: str, diagnostics: schema.Diagnostics) -> tuple[Expression, Expression]:
    """Returns the expressions of the gateway and of the shape. Raises InvalidConfigError."""
    gateway = schema.single_expression(sexpr.read(old), "gateway", old, diagnostics)
    new_shape = schema.single_expression(sexpr.read(shape), "shape", shape, diagnostics)
    return schema.required(gateway, diagnostics), schema.required(new_shape, diagnostics)


def _migrate(old: str, shape: str, new: str) -> tuple[str, list[str]]:
    """Returns the validated text of the new file, and remarks for the user to check. Raises InvalidConfigError."""
    gateway_config.read(old)
    diagnostics = schema.Diagnostics()
    migrated, remarks = migration.migrate(*_read_expressions(old, shape, diagnostics), diagnostics)
    diagnostics.raise_if_any()
    text = migration.format_config(migrated)
    with open(old) as source:
        comment_lines = migration.count_comments(source.read())
    if comment_lines:
        remarks.append(f"{old}: {comment_lines} lines with comments: the comments are not copied")
    if os.path.dirname(os.path.abspath(old)) != os.path.dirname(os.path.abspath(new)):
        remarks.append(f"{old}: relative paths start from the folder of their file, and {new} is in another folder")
    return text, remarks + _invalid_files(gateway_config.build(sexpr.parse(text, new), new))


def _invalid_files(config: GatewayConfig) -> list[str]:
    """Returns remarks on errors under the new settings in the files that they name, which are not converted."""

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
            remarks += [f"invalid under the new settings: {diagnostic}" for diagnostic in error.diagnostics]
    return remarks
