"""The commands `prove`, `judge` and `replay`: run scenarios, check the rules, compare recorded decisions."""

import os
import shutil
import tempfile
from collections.abc import Callable

import click

from wickdyke.cli.common import ExitCode, fail, read_or_fail
from wickdyke.fault_injection import report, scenario, trace
from wickdyke.fault_injection.child_process import RigError
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario import Scenario
from wickdyke.fault_injection.scenario_runner import ScenarioRunner
from wickdyke.gateway import recording as recordings

EXIT_RULE_BROKEN = 1
EXIT_DECISIONS_DIFFER = 1
MAX_FINDINGS_PER_RULE = 20  # shown by judge


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option(
    "--seeds", default=1, type=click.IntRange(1, 1000), help="Number of seeds with which each scenario is run."
)
@click.option(
    "--keep",
    type=click.Path(),
    help="Keep traces and logs in this folder (default: keep them only if a rule is broken).",
)
@click.option("--brief", is_flag=True, help="Print one line per run.")
def prove(files: tuple[str, ...], seeds: int, keep: str | None, brief: bool) -> None:
    """Run fault scenarios against real gateways and check the five rules against the recorded traffic.

    Exit code 0: all rules kept; 1: a rule is broken; 2: a scenario is invalid; 3: the run itself failed.

    \b
    Example:
        wickdyke prove scripts/bad-day.sexp
    """
    scenarios = [read_or_fail(scenario.read, file) for file in files]
    any_broken = False
    for current in scenarios:
        first_seed = current.seed
        for offset in range(seeds):
            current.seed = first_seed + offset
            folder = os.path.join(keep, f"{current.name.replace(' ', '-')}-{current.seed}") if keep else None
            any_broken |= _run(current, folder, brief)
    raise SystemExit(EXIT_RULE_BROKEN if any_broken else ExitCode.OK)


def _run(current: Scenario, requested_folder: str | None, brief: bool) -> bool:
    """Runs a scenario once and prints the result; returns whether a rule is broken."""
    folder = requested_folder or tempfile.mkdtemp(prefix="wd-")
    report_progress: Callable[[str], None] = (lambda text: None) if brief else print
    report_progress(
        f"{current.name}, seed {current.seed}: {current.gateway_count} gateways, {current.worker_count} workers, "
        f"{current.duration_ms / 1000:g} s"
    )
    runner = ScenarioRunner(current, folder, report_progress=report_progress)
    try:
        checker = RuleChecker(trace.read(runner.run()))
    except (RigError, trace.InvalidTraceError) as error:
        fail(f"{current.name}, seed {current.seed}: {error}", ExitCode.SCENARIO_RUN_FAILED)
    if brief:
        print(_brief_line(current, checker), flush=True)
    else:
        print("\n" + report.format_report(checker))
    if checker.findings or requested_folder:
        print(f"traces and logs: {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return bool(checker.findings)


def _brief_line(current: Scenario, checker: RuleChecker) -> str:
    outcomes = checker.outcomes().values()
    totals = [str(sum(counts[column] for counts in outcomes)) for column in report.COLUMNS]
    broken_rules = sorted({finding.rule for finding in checker.findings})
    rules = "BROKEN " + ", ".join(map(str, broken_rules)) if broken_rules else "rules kept"
    return f"{current.name} | {current.seed} | {rules} | " + " | ".join(totals)


@click.command()
@click.argument("traces", nargs=-1, required=True, type=click.Path())
def judge(traces: tuple[str, ...]) -> None:
    """Check the five rules against TRACES (files, or the folder of a run).

    Exit code 0: all kept; 1: a rule is broken; 2: a trace can't be read.

    \b
    Example:
        wickdyke judge run/bad-day-11
    """
    try:
        checker = RuleChecker(trace.read(_trace_files(traces)))
    except (trace.InvalidTraceError, ValueError) as error:
        fail(error)
    print(report.format_report(checker, MAX_FINDINGS_PER_RULE))
    raise SystemExit(EXIT_RULE_BROKEN if checker.findings else ExitCode.OK)


def _trace_files(paths: tuple[str, ...]) -> list[str]:
    """Returns the traces in those paths that are folders, then the other paths."""
    in_folders = [
        os.path.join(folder, name)
        for folder in paths
        if os.path.isdir(folder)
        for name in sorted(os.listdir(folder))
        if name.endswith(".trace")
    ]
    return in_folders + [path for path in paths if not os.path.isdir(path)]


@click.command()
@click.argument("recording", type=click.Path())
def replay(recording: str) -> None:
    """Replay the events of RECORDING to the router and compare its decisions with the recorded ones.

    Exit code 0: the same decisions; 1: they differ; 2: the recording can't be read.

    \b
    Example:
        wickdyke serve gateway.sexp --tape run/one.tape; wickdyke replay run/one.tape
    """
    try:
        with open(recording, "rb") as source:
            equal_count, difference = recordings.replay(source)
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(f"{recording}: found {error}, expected a recording")
    print(f"{equal_count} equal decisions" + (f"; first difference: {difference}" if difference else ""))
    raise SystemExit(EXIT_DECISIONS_DIFFER if difference else ExitCode.OK)
