"""serve and up."""

import os
import signal
import sys
import tempfile

import click

from wickdyke.config import gateway_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import scenario
from wickdyke.fault_injection.scenario_runner import RigError, ScenarioRunner
from wickdyke.gateway import log as logs
from wickdyke.jsonrpc.service import Gateway, until_signal
from wickdyke.transport.line_server import AddressInUseError

BAD = 2  # exit code of input that can't be used


@click.command()
@click.argument("file", type=click.Path())
@click.option("--log", "log_file", type=click.Path(), help="Append the log to this file (else standard error).")
@click.option("--json", "as_json", is_flag=True, help="Log JSON lines instead of logfmt.")
@click.option("--debug", is_flag=True, help="Also log each call-out that ends and each answer, by rpc.")
@click.option("--tape", type=click.Path(), help="Record what the module is told and decides (see replay).")
def serve(file: str, log_file: str | None, as_json: bool, debug: bool, tape: str | None) -> None:
    """Run a gateway as FILE states, until SIGTERM.

    The first line on standard output is `ready` and the socket's path. On SIGTERM or SIGINT no new RPC is taken,
    all that is held gets its answer, and the exit code is 0; a second signal ends it at once.

    \b
    Example:
        wickdyke serve deploy/gateway.sexp --log run/gateway.log
    """
    try:
        made = gateway_config.read(file)
    except InvalidConfigError as bad:
        _fail(str(bad))
    if tape:
        made.tape = tape
    try:
        sink = logs.opened(log_file or made.log)
    except OSError as bad:
        _fail(f"{bad.filename}: found no file to append to ({bad.strerror}), expected one")
    log, scribe = logs.logger(sink, as_json, debug, gateway=made.name)
    try:
        gateway = Gateway(made, log)
    except (AddressInUseError, InvalidConfigError) as bad:
        _fail(str(bad))
    except OSError as bad:
        _fail(f"{bad.filename or made.listen}: {bad.strerror}")

    def ready() -> None:
        print(f"ready {made.listen}", flush=True)

    code = until_signal(gateway, ready)
    scribe.close()
    sys.stdout.flush()
    os._exit(code)  # daemon threads may hang in a full pipe; all that is owed is done


@click.command()
@click.argument("file", type=click.Path())
@click.option("--folder", type=click.Path(), help="Where sockets, logs and traces go (else a new one).")
def up(file: str, folder: str | None) -> None:
    """Stand-in workers and gateways of the script FILE, in the foreground, with no traffic and no troubles.

    The first line on standard output is `ready` and the first gateway's socket. Stops cleanly on a signal.

    \b
    Example:
        wickdyke up scripts/small.sexp
    """
    try:
        script = scenario.read(file)
    except InvalidConfigError as bad:
        _fail(str(bad))
    with tempfile.TemporaryDirectory(prefix="wickdyke-") as made:
        director = ScenarioRunner(script, folder or os.path.join(made, "up"))
        ended: list[int] = []
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda n, frame: ended.append(n))
        try:
            director.start(traffic=False)
            print(f"ready {os.path.join(director.folder, 'g1.sock')}", flush=True)
            while not ended:
                director.step()
            for child in director.gateways.values():
                child.process.send_signal(signal.SIGTERM)
            for child in director.gateways.values():
                child.end()
        except RigError as bad:
            _fail(str(bad), 3)
        finally:
            director.close()


def _fail(text: str, code: int = BAD) -> None:
    print(text, file=sys.stderr)
    raise SystemExit(code)
