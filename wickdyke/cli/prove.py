"""prove, judge and replay."""

import os
import shutil
import sys
import tempfile
from collections.abc import Callable

import click

from wickdyke.config.sexpr import InvalidConfigError
from wickdyke.fault_injection import report, scenario, trace
from wickdyke.fault_injection.rule_checker import RuleChecker
from wickdyke.fault_injection.scenario_runner import RigError, ScenarioRunner
from wickdyke.gateway import recording as recordings

BROKEN, BAD, RIG = 1, 2, 3


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--seeds", default=1, type=click.IntRange(1, 1000), help="Play each script with so many seeds.")
@click.option("--keep", type=click.Path(), help="Keep traces and logs in this folder (else only if a rule broke).")
@click.option("--brief", is_flag=True, help="One line a run.")
def prove(files: tuple[str, ...], seeds: int, keep: str | None, brief: bool) -> None:
    """Play fault scripts against real gateways and judge the five rules from the traffic.

    Exit code 0: all rules kept; 1: a rule broke; 2: a script can't be used; 3: the rig itself failed.

    \b
    Example:
        wickdyke prove scripts/bad-day.sexp
    """
    try:
        played = [scenario.read(file) for file in files]
    except InvalidConfigError as bad:
        print(bad, file=sys.stderr)
        raise SystemExit(BAD) from None
    broken = False
    for script in played:
        first = script.seed
        for step in range(seeds):
            script.seed = first + step
            folder = os.path.join(keep, f"{script.name.replace(' ', '-')}-{script.seed}") if keep else None
            broken |= _play(script, folder, brief)
    raise SystemExit(BROKEN if broken else 0)


def _play(script: scenario.Scenario, folder: str | None, brief: bool) -> bool:
    made = folder or tempfile.mkdtemp(prefix="wd-")
    say: Callable[[str], None] = (lambda text: None) if brief else print
    say(
        f"{script.name}, seed {script.seed}: {script.gateways} gateways, {script.workers} workers, "
        f"{script.length / 1000:g} s"
    )
    director = ScenarioRunner(script, made, say=say)
    try:
        judge = RuleChecker(trace.read(director.run()))
    except (RigError, trace.InvalidTraceError) as bad:
        print(f"{script.name}, seed {script.seed}: {bad}", file=sys.stderr)
        raise SystemExit(RIG) from None
    if brief:
        totals = {column: sum(counts[column] for counts in judge.outcomes().values()) for column in report.COLUMNS}
        rules = (
            "rules kept"
            if not judge.findings
            else "BROKEN " + ", ".join(str(rule) for rule in sorted({finding.rule for finding in judge.findings}))
        )
        print(f"{script.name} | {script.seed} | {rules} | " + " | ".join(map(str, totals.values())), flush=True)
    else:
        say("\n" + report.verdict(judge))
    if judge.findings or folder:
        print(f"traces and logs: {made}")
    else:
        shutil.rmtree(made, ignore_errors=True)
    return bool(judge.findings)


@click.command()
@click.argument("traces", nargs=-1, required=True, type=click.Path())
def judge(traces: tuple[str, ...]) -> None:
    """Judge the five rules from TRACES (files, or one folder of a run).

    Exit code 0: all kept; 1: a rule broke; 2: a trace can't be read.

    \b
    Example:
        wickdyke judge run/bad-day-11
    """
    paths = [
        os.path.join(each, name)
        for each in traces
        if os.path.isdir(each)
        for name in sorted(os.listdir(each))
        if name.endswith(".trace")
    ]
    paths += [each for each in traces if not os.path.isdir(each)]
    try:
        judged = RuleChecker(trace.read(paths))
    except (trace.InvalidTraceError, ValueError) as bad:
        print(bad, file=sys.stderr)
        raise SystemExit(BAD) from None
    print(report.verdict(judged, shown=20))
    raise SystemExit(BROKEN if judged.findings else 0)


@click.command()
@click.argument("recording", type=click.Path())
def replay(recording: str) -> None:
    """Tell the module again what RECORDING holds, and compare what it decides.

    Exit code 0: the same decisions; 1: they differ; 2: the recording can't be read.

    \b
    Example:
        wickdyke serve gateway.sexp --tape run/one.tape; wickdyke replay run/one.tape
    """
    try:
        with open(recording, "rb") as source:
            alike, differs = recordings.replay(source)
    except (OSError, ValueError, KeyError, TypeError) as bad:
        print(f"{recording}: found {bad}, expected a recording", file=sys.stderr)
        raise SystemExit(BAD) from None
    print(f"{alike} decisions alike" + (f"; then: {differs}" if differs else ""))
    raise SystemExit(BROKEN if differs else 0)
