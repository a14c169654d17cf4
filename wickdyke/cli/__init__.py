"""The `wickdyke` command; each module defines one subcommand or a group of related ones."""

import click

from wickdyke.cli import call, check, move, prove, routes, serve, worker


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="wickdyke", message="wickdyke %(version)s")
def main() -> None:
    """A gateway that sends requests to workers which load functions on demand."""


for _command in (
    serve.serve,
    serve.up,
    check.check,
    call.call,
    prove.prove,
    prove.judge,
    prove.replay,
    routes.routes,
    move.move,
    worker.worker,
    worker.pack,
    worker.store,
):
    main.add_command(_command)
