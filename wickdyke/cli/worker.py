"""The commands `worker`, `pack` and `store`, which run a worker, write a package and serve packages."""

import os

import click

from wickdyke.cli.common import fail, open_log_or_fail, read_or_fail
from wickdyke.config import store_config, worker_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection.trace import TraceRecorder
from wickdyke.gateway import log as logs
from wickdyke.transport import termination
from wickdyke.transport.line_server import AddressInUseError
from wickdyke.worker import package, package_digest
from wickdyke.worker.cache_index import MB
from wickdyke.worker.runtime import Worker
from wickdyke.worker.source import FolderStore, PackageStore
from wickdyke.worker.store import StoreServer
from wickdyke.worker.store_client import StoreClient

DRAIN_MARGIN = 1000  # ms that a worker drains beyond the longest run time of a request


@click.command()
@click.argument("file", type=click.Path())
@click.option("--log", "log_file", type=click.Path(), help="Append the log to this file (default: standard error).")
@click.option("--json", "as_json", is_flag=True, help="Log JSON lines instead of logfmt.")
@click.option("--trace", type=click.Path(), help="Write a trace for the rule checker to this file.")
@click.option("--start", type=click.IntRange(1), help="The number of this start, as in the endpoint file.")
def worker(file: str, log_file: str | None, as_json: bool, trace: str | None, start: int | None) -> None:
    """Run a worker with the settings in FILE until SIGTERM.

    The first line on standard output is `ready` and the socket's path. On SIGTERM or SIGINT no further request is
    accepted, requests in flight finish, and the exit code is 0; a second signal ends it at once.

    \b
    Example:
        wickdyke worker deploy/worker.sexp
    """
    config = read_or_fail(worker_config.read, file)
    log, log_writer = logs.logger(open_log_or_fail(log_file or config.log_path), as_json, worker=config.name)
    trace = trace or config.trace_path
    terminated = termination.install_handlers()
    try:
        recorder = TraceRecorder(trace, config.name) if trace else None
        runtime = Worker(config, _package_store(config), log, recorder, start)
        runtime.open()
    except AddressInUseError as error:
        fail(error)
    except OSError as error:
        fail(f"{error.filename or config.listen}: {error.strerror}")
    print(f"ready {config.listen}", flush=True)
    termination.wait(terminated)
    runtime.drain(config.run_timeout + DRAIN_MARGIN)
    runtime.close()
    log_writer.close()
    os._exit(0)  # skips threads that may be blocked on a full pipe; all other work is done


def _package_store(config: worker_config.WorkerConfig) -> PackageStore:
    if config.store_folder:
        return FolderStore(config.store_folder)
    assert config.store_address is not None  # checked when the settings were read
    return StoreClient(config.store_address)


@click.command()
@click.argument("folder", type=click.Path())
@click.option("--into", default=".", type=click.Path(), help="The folder of the store.")
def pack(folder: str, into: str) -> None:
    """Check the package in FOLDER and write it as an archive, which is byte-identical for identical files.

    \b
    Example:
        wickdyke pack packages/tags --into store
    """
    try:
        manifest, path = package.pack(folder, into)
    except InvalidConfigError as error:
        fail(error)
    except OSError as error:
        fail(f"{error.filename or into}: {error.strerror}")
    print(f"{path} {package_digest.file_digest(path)} {manifest.memory:g} MB, {manifest.concurrency} lanes")


@click.command()
@click.argument("file", type=click.Path())
@click.option("--log", "log_file", type=click.Path(), help="Append the log to this file (default: standard error).")
def store(file: str, log_file: str | None) -> None:
    """Serve a folder of archives to workers with the settings in FILE until SIGTERM.

    The first line on standard output is `ready` and the address. Workers resume reads that are
    interrupted by the end of the store.

    \b
    Example:
        wickdyke store deploy/store.sexp
    """
    config = read_or_fail(store_config.read, file)
    _, log_writer = logs.logger(open_log_or_fail(log_file), False, store=config.listen)
    terminated = termination.install_handlers()
    try:
        server = StoreServer(config.listen, config.folder, config.bandwidth * MB, config.readers)
    except AddressInUseError as error:
        fail(error)
    print(f"ready {config.listen}", flush=True)
    termination.wait(terminated)
    server.close()
    log_writer.close()
