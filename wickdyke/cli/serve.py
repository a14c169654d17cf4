"""The commands `serve` and `up`, which run a gateway or a scenario's fleet in the foreground."""

import os
import signal
import sys
import tempfile

import click

from wickdyke.cli.common import ExitCode, fail, open_log_or_fail, read_or_fail
from wickdyke.config import gateway_config
from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import scenario
from wickdyke.fault_injection.child_process import RigError
from wickdyke.fault_injection.scenario_runner import ScenarioRunner
from wickdyke.gateway import log as logs
from wickdyke.jsonrpc.service import Gateway, serve_until_signal
from wickdyke.transport.line_server import AddressInUseError


@click.command()
@click.argument("file", type=click.Path())
@click.option("--log", "log_file", type=click.Path(), help="Append the log to this file (default: standard error).")
@click.option("--json", "as_json", is_flag=True, help="Log JSON lines instead of logfmt.")
@click.option("--debug", is_flag=True, help="Also log the end of each attempt and each answer.")
@click.option(
    "--tape", "recording_path", type=click.Path(), help="Record the router's inputs and decisions (see replay)."
)
def serve(file: str, log_file: str | None, as_json: bool, debug: bool, recording_path: str | None) -> None:
    """Run a gateway with the settings in FILE until SIGTERM.

    The first line on standard output is `ready` and the socket's path. On SIGTERM or SIGINT no new request is
    accepted, all pending ones are answered, and the exit code is 0; a second signal ends it at once.

    \b
    Example:
        wickdyke serve deploy/gateway.sexp --log run/gateway.log
    """
    config = read_or_fail(gateway_config.read, file)
    if recording_path:
        config.recording_path = recording_path
    sink = open_log_or_fail(log_file or config.log_path)
    log, log_writer = logs.logger(sink, as_json, debug, gateway=config.name)
    try:
        gateway = Gateway(config, log)
    except (AddressInUseError, InvalidConfigError) as error:
        fail(error)
    except OSError as error:
        fail(f"{error.filename or config.listen}: {error.strerror}")

    def report_ready() -> None:
        print(f"ready {config.listen}", flush=True)

    exit_code = serve_until_signal(gateway, report_ready)
    log_writer.close()
    sys.stdout.flush()
    os._exit(exit_code)  # skips daemon threads, which may be blocked on a full pipe; all answers are sent


@click.command()
@click.argument("file", type=click.Path())
@click.option("--folder", type=click.Path(), help="Folder for sockets, logs and traces (default: a temporary one).")
def up(file: str, folder: str | None) -> None:
    """Run the fake workers and the gateways of the scenario FILE, in the foreground, without traffic or faults.

    The first line on standard output is `ready` and the first gateway's socket. Stops cleanly on a signal.

    \b
    Example:
        wickdyke up scripts/small.sexp
    """
    script = read_or_fail(scenario.read, file)
    with tempfile.TemporaryDirectory(prefix="wickdyke-") as temporary:
        runner = ScenarioRunner(script, folder or os.path.join(temporary, "up"))
        try:
            _run_until_signal(runner)
        except RigError as error:
            fail(error, ExitCode.SCENARIO_RUN_FAILED)
        finally:
            runner.close()


def _run_until_signal(runner: ScenarioRunner) -> None:
    """Runs the processes of a scenario without traffic until SIGTERM or SIGINT. Raises RigError."""
    received_signals: list[int] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: received_signals.append(number))
    runner.start(traffic=False)
    print(f"ready {os.path.join(runner.folder, 'g1.sock')}", flush=True)
    while not received_signals:
        runner.step()
    gateways = runner.gateways.values()
    for gateway in gateways:
        gateway.process.send_signal(signal.SIGTERM)
    for gateway in gateways:
        gateway.wait()
