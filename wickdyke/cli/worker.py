"""worker, pack and store."""

import os
import sys

import click

from wickdyke.config import store_config, worker_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection.trace import TraceRecorder
from wickdyke.gateway import log as logs
from wickdyke.transport import termination
from wickdyke.transport.line_server import AddressInUseError
from wickdyke.worker import package
from wickdyke.worker.runtime import Worker
from wickdyke.worker.source import Folder
from wickdyke.worker.store import Store
from wickdyke.worker.store_client import StoreClient

BAD = 2


@click.command()
@click.argument("file", type=click.Path())
@click.option("--log", "log_file", type=click.Path(), help="Append the log to this file (else standard error).")
@click.option("--json", "as_json", is_flag=True, help="Log JSON lines instead of logfmt.")
@click.option("--trace", type=click.Path(), help="Write what passes, for the judge, to this file.")
@click.option("--start", type=click.IntRange(1), help="The number of this start, where who starts it lists it too.")
def worker(file: str, log_file: str | None, as_json: bool, trace: str | None, start: int | None) -> None:
    """Run a worker as FILE states, until SIGTERM.

    The first line on standard output is `ready` and the socket's path. On SIGTERM or SIGINT nothing new is begun,
    calls finish, and the exit code is 0; a second signal ends it at once.

    \b
    Example:
        wickdyke worker deploy/worker.sexp
    """
    try:
        shop = worker_config.read(file)
    except InvalidConfigError as bad:
        _fail(str(bad))
    try:
        sink = logs.open_sink(log_file or shop.log_path)
    except OSError as bad:
        _fail(f"{bad.filename}: found no file to append to ({bad.strerror}), expected one")
    log, scribe = logs.logger(sink, as_json, worker=shop.name)
    trace = trace or shop.trace_path
    ended = termination.install_handlers()
    try:
        source = Folder(shop.store_folder) if shop.store_folder else StoreClient(shop.store_address)
        made = Worker(shop, source, log, TraceRecorder(trace, shop.name) if trace else None, start)
        made.open()
    except AddressInUseError as bad:
        _fail(str(bad))
    except OSError as bad:
        _fail(f"{bad.filename or shop.listen}: {bad.strerror}")
    print(f"ready {shop.listen}", flush=True)
    termination.wait(ended)
    made.drain(shop.run_timeout + 1000)
    made.close()
    scribe.close()
    os._exit(0)  # threads may hang in a full pipe; all that is owed is done


@click.command()
@click.argument("folder", type=click.Path())
@click.option("--into", default=".", type=click.Path(), help="The folder of the store.")
def pack(folder: str, into: str) -> None:
    """Check the package in FOLDER and write it as an archive, the same bytes for the same files.

    \b
    Example:
        wickdyke pack packages/tags --into store
    """
    try:
        made, path = package.pack(folder, into)
    except InvalidConfigError as bad:
        _fail(str(bad))
    except OSError as bad:
        _fail(f"{bad.filename or into}: {bad.strerror}")
    print(f"{path} {package.file_digest(path)} {made.memory:g} MB, {made.lanes} lanes")


@click.command()
@click.argument("file", type=click.Path())
@click.option("--log", "log_file", type=click.Path(), help="Append the log to this file (else standard error).")
def store(file: str, log_file: str | None) -> None:
    """Serve a folder of archives to workers as FILE states, until SIGTERM.

    The first line on standard output is `ready` and the address. What workers were reading they read on later.

    \b
    Example:
        wickdyke store deploy/store.sexp
    """
    try:
        depot = store_config.read(file)
    except InvalidConfigError as bad:
        _fail(str(bad))
    try:
        sink = logs.open_sink(log_file)
    except OSError as bad:
        _fail(f"{bad.filename}: found no file to append to ({bad.strerror}), expected one")
    log, scribe = logs.logger(sink, False, store=depot.listen)
    ended = termination.install_handlers()
    try:
        made = Store(depot.listen, depot.folder, depot.bandwidth * (1 << 20), depot.readers, log)
    except AddressInUseError as bad:
        _fail(str(bad))
    print(f"ready {depot.listen}", flush=True)
    termination.wait(ended)
    made.close()
    scribe.close()


def _fail(text: str) -> None:
    print(text, file=sys.stderr)
    raise SystemExit(BAD)
